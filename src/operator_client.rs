//! Connects the generated RPC client to an operators' port.

use std::net::SocketAddr;
use std::time::Duration;

use compio::net::TcpStream;
use cyper_core::{CompioExecutor, CompioTimer, HyperStream};
use http::{Request, Response, Uri};
use hyper::body::Incoming;
use hyper::client::conn::http2;
use snafu::{OptionExt, ResultExt, Snafu};
use tonic::body::Body;
use tower::util::BoxCloneService;

use crate::generated::operator::operator_client::OperatorClient;

/// Longest reply; the server accepts documents of 8 MB and adds little to them.
const MAX_REPLY_BYTES: usize = 16 * 1024 * 1024;
const KEEP_ALIVE_INTERVAL: Duration = Duration::from_secs(10);

/// One HTTP/2 connection.
pub type OperatorChannel = BoxCloneService<Request<Body>, Response<Incoming>, hyper::Error>;

/// No connection could be made; no call was sent.
#[derive(Debug, Snafu)]
pub enum ConnectError {
    #[snafu(display("could not connect to {address}"))]
    Refused {
        address: SocketAddr,
        source: std::io::Error,
    },
    #[snafu(display("no connection to {address} within {} ms", timeout.as_millis()))]
    TooSlow {
        address: SocketAddr,
        timeout: Duration,
    },
    #[snafu(display("{address} does not speak HTTP/2"))]
    Handshake {
        address: SocketAddr,
        source: hyper::Error,
    },
}

/// Opens a connection to an operators' port.
///
/// # Errors
///
/// Fails if there is no connection within the timeout; nothing has been sent then.
///
/// # Panics
///
/// Never panics: a socket address is a valid authority.
pub async fn connect(
    address: SocketAddr,
    timeout: Duration,
) -> Result<OperatorClient<OperatorChannel>, ConnectError> {
    let connected = compio::time::timeout(timeout, open_channel(address)).await;
    let channel = connected
        .ok()
        .context(TooSlowSnafu { address, timeout })??;
    let origin = Uri::builder()
        .scheme("http")
        .authority(address.to_string())
        .path_and_query("/")
        .build()
        .expect("a socket address is a valid authority");
    Ok(OperatorClient::with_origin(channel, origin).max_decoding_message_size(MAX_REPLY_BYTES))
}

async fn open_channel(address: SocketAddr) -> Result<OperatorChannel, ConnectError> {
    let stream = TcpStream::connect(address)
        .await
        .context(RefusedSnafu { address })?;
    stream.set_nodelay(true).context(RefusedSnafu { address })?;
    let (sender, connection) = http2::Builder::new(CompioExecutor)
        .timer(CompioTimer)
        .keep_alive_interval(KEEP_ALIVE_INTERVAL)
        .handshake(HyperStream::new_plain(stream))
        .await
        .context(HandshakeSnafu { address })?;
    compio::runtime::spawn(async move {
        // Errors of the connection surface at the calls that run on it.
        drop(connection.await);
    })
    .detach();
    let channel = tower::service_fn(move |request| {
        let mut sender = sender.clone();
        async move {
            sender.ready().await?;
            sender.send_request(request).await
        }
    });
    Ok(BoxCloneService::new(channel))
}
