//! Connections between entry hosts over nng: one listening socket, and one dialled socket per peer.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Instant;

use bytes::Bytes;
use futures_channel::mpsc;
use nng::options::transport::tcp::NoDelay;
use nng::options::{
    Options, ReconnectMaxTime, ReconnectMinTime, RecvBufferSize, RecvMaxSize, SendBufferSize,
};
use nng::{Aio, AioResult, DialerBuilder, ListenerBuilder, Protocol, Socket};
use snafu::{ResultExt, Snafu};

use crate::configs::peer_link::LinkSettings;
use crate::ids::FastMap;

#[derive(Debug, Snafu)]
pub enum LinkError {
    #[snafu(display("peer link: cannot listen on {address}"))]
    Listen {
        address: SocketAddr,
        source: nng::Error,
    },
    #[snafu(display("peer link: cannot dial {address}"))]
    Dial {
        address: SocketAddr,
        source: nng::Error,
    },
}

/// Whether a message was passed to the socket. A sent message may still be lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendOutcome {
    Sent,
    Dropped,
}

/// Channel of received messages, which are still encoded.
pub type PeerInbox = mpsc::Receiver<Bytes>;

/// The sockets that connect one host with its peers.
pub struct PeerLink {
    settings: LinkSettings,
    listener: Socket,
    receiver: Aio,
    peers: FastMap<SocketAddr, DialledPeer>,
    dropped: Arc<AtomicU64>,
}

struct DialledPeer {
    socket: Socket,
    last_send: Instant,
}

impl PeerLink {
    /// Listens on `address` and returns the link with the channel of the messages that it receives.
    ///
    /// # Errors
    /// Returns `Listen` if the address cannot be bound or nng lacks resources.
    pub fn open(
        address: SocketAddr,
        settings: LinkSettings,
    ) -> Result<(Self, PeerInbox), LinkError> {
        let dropped = Arc::new(AtomicU64::new(0));
        let (sender, inbox) = mpsc::channel(settings.max_inbox_messages);
        let (listener, receiver) = listen(address, &settings, sender, Arc::clone(&dropped))
            .context(ListenSnafu { address })?;
        let link = Self {
            settings,
            listener,
            receiver,
            peers: FastMap::default(),
            dropped,
        };
        Ok((link, inbox))
    }

    /// Passes a message to the peer's socket without blocking; dials the peer if it is not
    /// connected.
    pub fn send(&mut self, to: SocketAddr, bytes: &[u8]) -> SendOutcome {
        if bytes.len() > self.settings.max_message_bytes {
            return SendOutcome::Dropped;
        }
        if !self.peers.contains_key(&to) {
            match dial(to, &self.settings).context(DialSnafu { address: to }) {
                Ok(peer) => self.peers.insert(to, peer),
                Err(error) => {
                    log::warn!(source:% = source_text(&error); "{error}");
                    return SendOutcome::Dropped;
                }
            };
        }
        let Some(peer) = self.peers.get_mut(&to) else {
            return SendOutcome::Dropped;
        };
        peer.last_send = Instant::now();
        match peer.socket.try_send(bytes) {
            Ok(()) => SendOutcome::Sent,
            Err(_) => SendOutcome::Dropped,
        }
    }

    /// Disconnects the peers to which nothing was sent within the idle timeout; returns their
    /// number.
    pub fn close_idle(&mut self, now: Instant) -> usize {
        let limit = self.settings.idle_timeout;
        let before = self.peers.len();
        self.peers
            .retain(|_, peer| now.saturating_duration_since(peer.last_send) < limit);
        before - self.peers.len()
    }

    /// Returns the number of received messages that were dropped because the inbox was full.
    #[must_use]
    pub fn dropped_count(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    /// Returns the number of peers with an open socket.
    #[must_use]
    pub fn peer_count(&self) -> usize {
        self.peers.len()
    }

    /// Closes all sockets. Messages that are still in send buffers are lost.
    pub fn close(self) {
        drop(self);
    }
}

impl Drop for PeerLink {
    fn drop(&mut self) {
        self.listener.close();
        // The last handle to an `Aio` must not be dropped inside its own callback, where nng would
        // wait forever for that callback to return.
        self.receiver.wait();
    }
}

fn source_text(error: &LinkError) -> String {
    std::error::Error::source(error).map_or_else(String::new, ToString::to_string)
}

fn listen(
    address: SocketAddr,
    settings: &LinkSettings,
    sender: mpsc::Sender<Bytes>,
    dropped: Arc<AtomicU64>,
) -> Result<(Socket, Aio), nng::Error> {
    let socket = Socket::new(Protocol::Pull0)?;
    socket.set_opt::<RecvMaxSize>(settings.max_message_bytes)?;
    socket.set_opt::<RecvBufferSize>(64)?;
    let builder = ListenerBuilder::new(&socket, &format!("tcp://{address}"))?;
    builder.set_opt::<NoDelay>(true)?;
    builder.start().map_err(|(_, error)| error)?;
    let callback_socket = socket.clone();
    let sender = Mutex::new(sender);
    let aio = Aio::new(move |aio, result| {
        handle_receive(&callback_socket, &aio, result, &sender, &dropped);
    })?;
    socket.recv_async(&aio)?;
    Ok((socket, aio))
}

/// Queues a received message and starts the next receive. Runs on a thread of nng.
fn handle_receive(
    socket: &Socket,
    aio: &Aio,
    result: AioResult,
    sender: &Mutex<mpsc::Sender<Bytes>>,
    dropped: &AtomicU64,
) {
    match result {
        AioResult::Recv(Ok(message)) => {
            // The sender is shared, since each clone would add a slot to the channel's capacity.
            let sender = sender.lock();
            let mut sender = sender.unwrap_or_else(PoisonError::into_inner);
            if sender.try_send(Bytes::copy_from_slice(&message)).is_err() {
                dropped.fetch_add(1, Ordering::Relaxed);
            }
        }
        AioResult::Recv(Err(nng::Error::Closed | nng::Error::Canceled)) => return,
        AioResult::Recv(Err(error)) => log::warn!(error:%; "peer link: receive failed"),
        AioResult::Send(_) | AioResult::Sleep(_) => {}
    }
    if let Err(error) = socket.recv_async(aio)
        && error != nng::Error::Closed
    {
        log::error!(error:%; "peer link: cannot start the next receive; receiving has stopped");
    }
}

fn dial(address: SocketAddr, settings: &LinkSettings) -> Result<DialledPeer, nng::Error> {
    let socket = Socket::new(Protocol::Push0)?;
    socket.set_opt::<SendBufferSize>(i32::from(settings.max_send_buffer_messages))?;
    let builder = DialerBuilder::new(&socket, &format!("tcp://{address}"))?;
    builder.set_opt::<ReconnectMinTime>(Some(settings.min_reconnect_delay))?;
    builder.set_opt::<ReconnectMaxTime>(Some(settings.max_reconnect_delay))?;
    // This is the default of nng. It is set explicitly because permits depend on single small
    // messages being sent without delay.
    builder.set_opt::<NoDelay>(true)?;
    builder.start(true).map_err(|(_, error)| error)?;
    let last_send = Instant::now();
    Ok(DialledPeer { socket, last_send })
}
