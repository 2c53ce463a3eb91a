//! Peers that answer while a request is still being written. The tests run the client on their own
//! runtime, which stands still while the peer resets or ends the connection.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::task::Poll;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::{BodyExt, Collected, Full};
use http_util::{DialedConnection, KeepAliveConnection};
use socket2::{Domain, SockRef, Socket, Type};

/// Size of a request that fits into no socket buffer.
const UPLOAD_BYTES: usize = 16 * 1024 * 1024;
const RECEIVE_BUFFER_BYTES: usize = 4 * 1024;
const ANSWER: &str = "HTTP/1.1 200 OK\r\n\r\npart";
const ANSWER_BODY: &str = "part";

/// How the peer ends its answer.
#[derive(Clone, Copy, Debug)]
enum AnswerEnd {
    Reset,
    /// The peer ends its half of the connection and reads on.
    Shutdown,
}

/// Peer that answers one request before it reads the request's body.
struct EarlyPeer {
    address: SocketAddr,
    requested_ends: Sender<AnswerEnd>,
    ends: Receiver<()>,
}

impl EarlyPeer {
    fn start() -> Self {
        let listener = listen();
        let address = listener.local_addr().expect("the listener has an address");
        let (requested_ends, end_receiver) = channel();
        let (end_sender, ends) = channel();
        std::thread::spawn(move || {
            let (mut stream, _) = listener.accept().expect("the client connects");
            stream.read_exact(&mut [0; 16]).expect("the client writes");
            stream
                .write_all(ANSWER.as_bytes())
                .expect("the client reads");
            match end_receiver.recv().expect("the test runs") {
                AnswerEnd::Reset => {
                    SockRef::from(&stream)
                        .set_linger(Some(Duration::ZERO))
                        .expect("the socket is open");
                    drop(stream);
                    end_sender.send(()).expect("the test runs");
                }
                AnswerEnd::Shutdown => {
                    stream
                        .shutdown(Shutdown::Write)
                        .expect("the socket is open");
                    end_sender.send(()).expect("the test runs");
                    let _ = std::io::copy(&mut stream, &mut std::io::sink());
                }
            }
        });
        Self {
            address,
            requested_ends,
            ends,
        }
    }

    /// Ends the answer while the client's runtime stands still.
    fn end_answer(&self, end: AnswerEnd) {
        self.requested_ends.send(end).expect("the peer runs");
        self.ends.recv().expect("the peer runs");
    }
}

fn listen() -> TcpListener {
    let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("sockets are available");
    socket
        .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
        .expect("the buffer size is valid");
    let address = SocketAddr::from(([127, 0, 0, 1], 0));
    socket.bind(&address.into()).expect("a port is free");
    socket.listen(1).expect("the socket is bound");
    socket.into()
}

fn upload() -> Request<Full<Bytes>> {
    Request::post("/")
        .header("host", "h.example")
        .body(Full::new(vec![0; UPLOAD_BYTES].into()))
        .expect("the request is valid")
}

/// Lets the driver complete the operations that are ready, before any other task runs.
async fn poll_driver() {
    let mut is_polled = false;
    std::future::poll_fn(|context| {
        context.waker().wake_by_ref();
        if std::mem::replace(&mut is_polled, true) {
            Poll::Ready(())
        } else {
            Poll::Pending
        }
    })
    .await;
}

/// Returns the body as the gateway reads it, or `None` if it is truncated.
async fn read_kept_alive(end: AnswerEnd) -> Option<Bytes> {
    let peer = EarlyPeer::start();
    let mut connection = KeepAliveConnection::open(peer.address, Duration::from_secs(5))
        .await
        .expect("the peer listens");
    let response = connection.send(upload()).await.expect("the peer answers");
    peer.end_answer(end);
    poll_driver().await;
    let body = response.into_body().collect().await;
    body.ok().map(Collected::to_bytes)
}

/// Returns the body as the daemon reads it, or `None` if it is truncated.
async fn read_dialed(end: AnswerEnd) -> Option<Bytes> {
    let peer = EarlyPeer::start();
    let connection = DialedConnection::open(peer.address)
        .await
        .expect("the peer listens");
    let (_head, stream) = connection.send(upload()).await.expect("the peer answers");
    peer.end_answer(end);
    poll_driver().await;
    stream.read_all(1024).await.ok()
}

fn run<T>(test: impl Future<Output = T>) -> T {
    let runtime = compio::runtime::Runtime::new().expect("a runtime starts");
    runtime.block_on(test)
}

/// Guards against a part of an answer that counts as complete because the failed write of the
/// request consumed the error of the reset.
#[test]
fn an_answer_that_is_reset_during_the_upload_is_truncated() {
    assert_eq!(run(read_kept_alive(AnswerEnd::Reset)), None);
}

/// Guards against the same fault in the client of the daemon and the tools.
#[test]
fn a_dialed_answer_that_is_reset_during_the_upload_is_truncated() {
    assert_eq!(run(read_dialed(AnswerEnd::Reset)), None);
}

/// Guards against a complete answer that counts as truncated because its upload is unfinished.
#[test]
fn an_answer_that_ends_during_the_upload_is_complete() {
    let answer = Some(Bytes::from_static(ANSWER_BODY.as_bytes()));
    assert_eq!(run(read_kept_alive(AnswerEnd::Shutdown)), answer);
    assert_eq!(run(read_dialed(AnswerEnd::Shutdown)), answer);
}
