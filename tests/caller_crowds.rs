//! Crowds of callers that fill the memory of a daemon, or take all its connections. Each test starts
//! real processes and runs by itself: `cargo test` runs the files one after the other, and a lock
//! does so for the tests of this file.

mod failure_support;

use std::convert::Infallible;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use cyper_core::{CompioExecutor, HyperStream};
use failure_support::SETTLE_TIME;
use fleet::{
    EnginePlan, Fleet, FleetPlan, ServicePlan, home_key, send, submit_body, unix_seconds,
    wait_until,
};
use futures_util::{StreamExt, stream};
use http::Method;
use http_body_util::StreamBody;
use hyper::body::Frame;
use serde_json::{Value, json};

/// Memory of the host, as the settings of the daemon state it.
const MEMORY_MB: u64 = 88;
const MAX_DESCRIPTORS: usize = 600;
const MAX_CONNECTIONS: &str = "300";
const MAX_BODY_BYTES: usize = 1_000_000;
/// Connections of a crowd. Their bodies are 158 MB.
const CROWD: usize = 160;
/// Bytes that a body lacks at its end.
const MISSING_BYTES: usize = 10_000;
/// Whole requests that each caller of a crowd sends one after the other.
const REQUESTS_PER_CALLER: usize = 3;
/// Connections of a crowd that takes all of them.
const FEW_CONNECTIONS: &str = "100";
const CONNECTION_CROWD: usize = 150;
/// Calls of operators at the same time, and the length of their messages: 128 MB.
const OPERATOR_CALLS: usize = 16;
const OPERATOR_MESSAGE_BYTES: usize = 8_000_000;
/// Connections to the port of the other hosts; each announces a message of 1 MiB.
const PEER_CROWD: usize = 150;
const PEER_MESSAGE_BYTES: usize = 1 << 20;

static ONE_AT_A_TIME: Mutex<()> = Mutex::new(());

/// A fleet of one daemon with little memory.
struct SmallDaemon {
    fleet: Fleet,
    home: String,
}

/// What each caller of a crowd knows.
#[derive(Clone)]
struct CrowdTarget {
    address: SocketAddr,
    home: String,
}

/// Runs a test with a daemon whose settings state little memory.
fn run<F: Future<Output = ()>>(max_connections: &str, test: impl FnOnce(SmallDaemon) -> F) {
    let _turn = ONE_AT_A_TIME.lock().unwrap_or_else(PoisonError::into_inner);
    failure_support::run(async {
        let mut plan = FleetPlan::new(1)
            .engine(EnginePlan::new("m1", "krk-a", &["--capacity", "4"]))
            .service(ServicePlan::new("s1", "krk-a", &[]));
        let max_body_bytes = MAX_BODY_BYTES.to_string();
        let arguments = [
            ["--max-body-bytes", &max_body_bytes],
            ["--max-connections", max_connections],
        ];
        plan.daemon_arguments = arguments.concat().iter().map(ToString::to_string).collect();
        plan.daemon_environment
            .push(("WISTERIAPIN_MEMORY_MB".to_owned(), MEMORY_MB.to_string()));
        let fleet = Fleet::start(plan).await;
        let home = fleet.home(0).await;
        test(SmallDaemon { fleet, home }).await;
    });
}

/// Runs a test with a crowd that sends to the port of the callers and leaves its connections open.
fn run_crowd(crowd: usize, send: fn(&mut TcpStream, &CrowdTarget, usize)) {
    run(MAX_CONNECTIONS, async |daemon| {
        daemon.check_crowd(crowd, send).await;
    });
}

impl SmallDaemon {
    /// Lets each caller of a crowd send, and checks the daemon while all connections are open.
    async fn check_crowd(&self, crowd: usize, send: fn(&mut TcpStream, &CrowdTarget, usize)) {
        let streams = self.open_crowd(crowd, send);
        self.check_while_open().await;
        drop(streams);
        self.check_memory();
    }

    fn open_crowd(
        &self,
        crowd: usize,
        send: fn(&mut TcpStream, &CrowdTarget, usize),
    ) -> Vec<TcpStream> {
        let target = CrowdTarget {
            address: self.fleet.caller(0),
            home: self.home.clone(),
        };
        let callers: Vec<_> = (0..crowd)
            .map(|number| {
                let target = target.clone();
                std::thread::spawn(move || {
                    let mut stream = connect(target.address);
                    send(&mut stream, &target, number);
                    stream
                })
            })
            .collect();
        let streams = callers.into_iter().map(std::thread::JoinHandle::join);
        streams
            .map(|stream| stream.expect("the caller does not panic"))
            .collect()
    }

    /// Checks descriptors and memory, and that an ordinary call is answered.
    async fn check_while_open(&self) {
        self.wait_until_settled().await;
        let descriptors = std::fs::read_dir(format!("/proc/{}/fd", self.process()));
        let descriptors = descriptors.expect("the process runs").count();
        assert!(descriptors <= MAX_DESCRIPTORS, "{descriptors} descriptors");
        let mut tries = 0;
        wait_until("an ordinary call is answered", SETTLE_TIME, || {
            tries += 1;
            self.is_ordinary_call_answered(tries)
        })
        .await;
        self.check_memory();
    }

    /// Sends an ordinary call, which comes back if it is refused.
    async fn is_ordinary_call_answered(&self, number: usize) -> bool {
        let body = call_body(number, &json!("primer"));
        let address = self.fleet.caller(0);
        let token = Some("big-token");
        let sent = send(address, Method::POST, "/v1/calls", token, Some(&body)).await;
        sent.is_ok_and(|reply| reply.code() == 1000)
    }

    /// Checks the peak of the memory.
    fn check_memory(&self) {
        let peak = self.memory_kb("VmHWM:");
        println!("peak {peak} KB of {}", MEMORY_MB * 1024);
        assert!(peak <= MEMORY_MB * 1024, "{peak} KB");
    }

    /// Gives the process time to read what was sent: until its memory doesn't change any more.
    async fn wait_until_settled(&self) {
        let (mut last, mut unchanged) = (0, 0);
        let deadline = Instant::now() + SETTLE_TIME;
        while unchanged < 10 && Instant::now() < deadline {
            compio::time::sleep(Duration::from_millis(100)).await;
            let resident = self.memory_kb("VmRSS:");
            unchanged = if resident == last { unchanged + 1 } else { 0 };
            last = resident;
        }
    }

    fn process(&self) -> u32 {
        self.fleet.daemons[0].id()
    }

    /// Reads a field of the process's status, which has none once the process has ended.
    fn memory_kb(&self, field: &str) -> u64 {
        let status = std::fs::read_to_string(format!("/proc/{}/status", self.process()));
        let status = status.expect("the process runs");
        let line = status.lines().find(|line| line.starts_with(field));
        let value = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
        value.expect("the process runs")
    }
}

fn connect(address: SocketAddr) -> TcpStream {
    let stream = TcpStream::connect(address).expect("the daemon listens");
    for set in [TcpStream::set_read_timeout, TcpStream::set_write_timeout] {
        set(&stream, Some(SETTLE_TIME)).expect("the timeout is valid");
    }
    stream
}

fn head(path: &str, framing: &str) -> String {
    format!(
        "POST {path} HTTP/1.1\r\nhost: x\r\nauthorization: Bearer big-token\r\n{framing}\r\n\r\n"
    )
}

/// Path to which a caller of a crowd sends.
fn path(number: usize) -> &'static str {
    if number.is_multiple_of(2) {
        "/v1/requests"
    } else {
        "/v1/calls"
    }
}

/// Writes as much as the daemon takes; it may refuse the request and close the connection.
fn write_all(stream: &mut TcpStream, bytes: &[u8]) -> bool {
    stream.write_all(bytes).is_ok()
}

/// Writes a whole request.
fn write_request(stream: &mut TcpStream, path: &str, body: &Value) -> bool {
    let body = body.to_string();
    let head = head(path, &format!("content-length: {}", body.len()));
    write_all(stream, format!("{head}{body}").as_bytes())
}

/// Reads the head and the start of an answer, if there is one.
fn read_some(stream: &mut TcpStream) -> bool {
    let mut bytes = [0; 16 * 1024];
    stream.read(&mut bytes).is_ok_and(|length| length > 0)
}

/// Body of a call that may be repeated.
fn call_body(number: usize, body: &Value) -> Value {
    let key = format!("{}-c{number}", unix_seconds());
    json!({
        "key": key, "pool": "orders", "operation": "read_stock", "idempotent": true, "tier": 1,
        "body": body,
    })
}

/// Body of a model request whose prompt is almost as long as is allowed.
fn long_body(target: &CrowdTarget, number: usize) -> Value {
    let prompt = "wet deck ".repeat((MAX_BODY_BYTES - MISSING_BYTES) / 9);
    submit_body(
        &home_key(&target.home, &format!("l{number}")),
        3,
        &prompt,
        3,
    )
}

/// Guards against bodies of legal size that are sent whole but for their end, and together fill the
/// memory.
#[test]
fn large_bodies_that_stop_short_fit_into_a_daemon() {
    run_crowd(CROWD, |stream, _, number| {
        let head = head(path(number), &format!("content-length: {MAX_BODY_BYTES}"));
        write_all(stream, head.as_bytes());
        write_all(stream, &vec![b'a'; MAX_BODY_BYTES - MISSING_BYTES]);
    });
}

/// Guards against such bodies that are sent piece by piece.
#[test]
fn large_bodies_in_pieces_that_stop_short_fit_into_a_daemon() {
    run_crowd(CROWD, |stream, _, number| {
        let head = head(path(number), &format!("content-length: {MAX_BODY_BYTES}"));
        write_all(stream, head.as_bytes());
        for _ in 0..(MAX_BODY_BYTES - MISSING_BYTES) / 10_000 {
            if !write_all(stream, &[b'a'; 10_000]) {
                break;
            }
            std::thread::sleep(Duration::from_millis(2));
        }
    });
}

/// Writes chunks of a body that stops short of its end.
fn write_chunks(stream: &mut TcpStream, number: usize, chunk_bytes: usize, body_bytes: usize) {
    let head = head(path(number), "transfer-encoding: chunked");
    write_all(stream, head.as_bytes());
    let chunk = format!("{chunk_bytes:x}\r\n{}\r\n", "a".repeat(chunk_bytes));
    let batch = chunk.repeat((100_000 / chunk_bytes).max(1));
    let batches = body_bytes / 100_000;
    for _ in 0..batches {
        if !write_all(stream, batch.as_bytes()) {
            break;
        }
    }
}

/// Guards against chunked bodies in large chunks that stop short of their end.
#[test]
fn chunked_bodies_in_large_chunks_fit_into_a_daemon() {
    run_crowd(CROWD, |stream, _, number| {
        write_chunks(stream, number, 90_000, MAX_BODY_BYTES);
    });
}

/// Guards against chunked bodies in chunks of 32 bytes.
#[test]
fn chunked_bodies_in_small_chunks_fit_into_a_daemon() {
    run_crowd(CROWD, |stream, _, number| {
        write_chunks(stream, number, 32, MAX_BODY_BYTES - 100_000);
    });
}

/// Guards against chunked bodies in chunks of one byte, each of which costs more than it holds.
#[test]
fn chunked_bodies_in_very_small_chunks_fit_into_a_daemon() {
    run_crowd(CROWD / 4, |stream, _, number| {
        write_chunks(stream, number, 1, 200_000);
    });
}

/// Guards against bodies that are announced or just sent far beyond the limit.
#[test]
fn bodies_far_over_the_limit_fit_into_a_daemon() {
    run_crowd(CROWD, |stream, _, number| {
        let framing = match number / 2 % 2 {
            0 => "content-length: 1000000000",
            _ => "transfer-encoding: chunked",
        };
        write_all(stream, head(path(number), framing).as_bytes());
        let chunk = format!("{:x}\r\n{}\r\n", 100_000, "a".repeat(100_000));
        for _ in 0..40 {
            if !write_all(stream, chunk.as_bytes()) {
                break;
            }
        }
    });
}

/// Guards against whole requests that wait for an endpoint and together fill the memory.
#[test]
fn whole_requests_that_wait_fit_into_a_daemon() {
    run(MAX_CONNECTIONS, async |daemon| {
        let frozen = json!({"freeze_streams": true});
        daemon.fleet.behave(&daemon.fleet.engines[0], &frozen).await;
        daemon
            .check_crowd(CROWD, |stream, target, number| {
                write_request(stream, "/v1/requests", &long_body(target, number));
            })
            .await;
    });
}

/// Guards against requests that have ended and still occupy the memory of their bodies.
#[test]
fn ended_requests_give_their_memory_back_in_a_daemon() {
    run_crowd(CROWD, |stream, target, number| {
        for turn in 0..REQUESTS_PER_CALLER {
            let mut body = long_body(target, number * REQUESTS_PER_CALLER + turn);
            body["deadline_ms"] = json!(1);
            if !write_request(stream, "/v1/requests", &body) || !read_some(stream) {
                break;
            }
        }
    });
}

/// Guards against bodies of calls that occupy many times their length once they are decoded.
#[test]
fn bodies_of_many_small_values_fit_into_a_daemon() {
    run(MAX_CONNECTIONS, async |daemon| {
        let slow = json!({"delay_ms": 5_000});
        daemon.fleet.behave(&daemon.fleet.services[0], &slow).await;
        let streams = daemon.open_crowd(CROWD / 4, |stream, _, number| {
            let zeros = vec![json!(0); (MAX_BODY_BYTES - MISSING_BYTES) / 2];
            write_request(
                stream,
                "/v1/calls",
                &call_body(1_000 + number, &json!(zeros)),
            );
        });
        let fast = json!({"delay_ms": 0});
        daemon.fleet.behave(&daemon.fleet.services[0], &fast).await;
        daemon.check_while_open().await;
        drop(streams);
    });
}

/// Guards against answers that callers don't read and that fill the memory.
#[test]
fn answers_that_are_not_read_fit_into_a_daemon() {
    run_crowd(CROWD / 4, |stream, _, number| {
        let item = "a".repeat(MAX_BODY_BYTES - MISSING_BYTES);
        for turn in 0..10 {
            let body = call_body(1_000 + number * 10 + turn, &json!(item));
            if !write_request(stream, "/v1/calls", &body) {
                break;
            }
        }
    });
}

/// Guards against heads that stop short of their end.
#[test]
fn heads_that_stop_short_fit_into_a_daemon() {
    run_crowd(250, |stream, _, number| {
        let head = head(path(number), &format!("x-long: {}", "a".repeat(30_000)));
        write_all(stream, head.trim_end().as_bytes());
    });
}

/// Guards against a crowd that takes all connections and stays.
#[test]
fn a_crowd_that_takes_all_connections_of_a_daemon_leaves_room() {
    run(FEW_CONNECTIONS, async |daemon| {
        let open = || {
            daemon.open_crowd(CONNECTION_CROWD, |stream, _, number| {
                if number.is_multiple_of(2) {
                    write_all(stream, b"POST /v1/requests HTTP/1.1\r\n");
                }
            })
        };
        let first = open();
        daemon.wait_until_settled().await;
        // Takes the places that were in use when the first ones came.
        let second = open();
        daemon.check_while_open().await;
        drop((first, second));
    });
}

/// Guards against messages on the operators' port that stop short of their end.
#[test]
fn messages_of_operators_that_stop_short_fit_into_a_daemon() {
    run(MAX_CONNECTIONS, async |daemon| {
        let address = daemon.fleet.operator(0);
        for _ in 0..OPERATOR_CALLS {
            open_operator_call(address).await;
        }
        daemon.check_while_open().await;
    });
}

/// Starts a call of an operator whose message stops short of its end.
async fn open_operator_call(address: SocketAddr) {
    let connected = compio::net::TcpStream::connect(address).await;
    let connected = HyperStream::new_plain(connected.expect("the daemon listens"));
    let shaken = hyper::client::conn::http2::handshake(CompioExecutor, connected).await;
    let (mut sender, connection) = shaken.expect("the daemon speaks HTTP/2");
    compio::runtime::spawn(async move { connection.await.ok() }).detach();
    let piece = Bytes::from(vec![b'a'; 100_000]);
    let pieces = stream::repeat(piece).take(OPERATOR_MESSAGE_BYTES / 100_000);
    let frames = pieces
        .chain(stream::pending())
        .map(|piece| Ok::<_, Infallible>(Frame::data(piece)));
    let uri = format!("http://{address}/wisteriapin.v1.Operator/ValidateConfig");
    let request = http::Request::post(uri)
        .header("content-type", "application/grpc")
        .header("authorization", "Bearer night-token")
        .body(StreamBody::new(frames))
        .expect("the request head is valid");
    compio::runtime::spawn(async move {
        let _ = sender.send_request(request).await;
        // Keeps the connection open.
        futures_util::future::pending::<()>().await;
    })
    .detach();
}

/// Guards against messages on the port of the other hosts that stop short of their end.
#[test]
fn messages_of_strangers_that_stop_short_fit_into_a_daemon() {
    run(MAX_CONNECTIONS, async |daemon| {
        let address = daemon.fleet.peer_address(0);
        let streams: Vec<_> = (0..PEER_CROWD)
            .map(|_| {
                let mut stream = connect(address);
                write_all(&mut stream, &[0, b'S', b'P', 0, 0, 0x50, 0, 0]);
                write_all(&mut stream, &(PEER_MESSAGE_BYTES as u64).to_be_bytes());
                write_all(&mut stream, &vec![1; PEER_MESSAGE_BYTES - 1]);
                stream
            })
            .collect();
        daemon.check_while_open().await;
        drop(streams);
        daemon.check_memory();
    });
}

/// Guards against a limit that refuses a single large request on a quiet daemon, and one that a slow
/// but sound caller sends.
#[test]
fn single_large_bodies_are_served_in_calm_by_a_daemon() {
    run(MAX_CONNECTIONS, async |daemon| {
        let target = CrowdTarget {
            address: daemon.fleet.caller(0),
            home: daemon.home.clone(),
        };
        let token = Some("big-token");
        let body = long_body(&target, 1);
        let whole = send(
            target.address,
            Method::POST,
            "/v1/requests",
            token,
            Some(&body),
        );
        let reply = whole.await.expect("the daemon answers");
        assert!(reply.is_whole(0, 3), "{} {}", reply.status, reply.code());

        let item = "a".repeat(MAX_BODY_BYTES - MISSING_BYTES);
        let body = call_body(2, &json!(item)).to_string();
        let mut stream = connect(target.address);
        let framing = format!("connection: close\r\ncontent-length: {}", body.len());
        write_all(&mut stream, head("/v1/calls", &framing).as_bytes());
        for piece in body.as_bytes().chunks(MAX_BODY_BYTES / 10) {
            assert!(write_all(&mut stream, piece));
            std::thread::sleep(Duration::from_millis(200));
        }
        let mut answer = String::new();
        stream
            .read_to_string(&mut answer)
            .expect("the answer is whole");
        assert!(answer.starts_with("HTTP/1.1 200 "), "{answer:.200}");
        assert!(answer.contains(&item));
    });
}
