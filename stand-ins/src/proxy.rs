//! One route of the fault proxy.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::BufResult;
use compio::io::{AsyncRead, AsyncWrite, AsyncWriteExt};
use compio::net::{TcpListener, TcpStream};
use futures_channel::mpsc;
use futures_util::future::{Either, select, try_join};
use futures_util::{StreamExt, TryFutureExt};
use serde::{Deserialize, Serialize};

use crate::behaviour::FaultSettings;
use crate::chance::FaultChance;
use crate::signal::Signal;

const CHUNK_BYTES: usize = 16 * 1024;
/// Chunks that one direction of a connection holds while they are delayed.
const HELD_CHUNKS: usize = 256;
/// Pause before the listening address is bound again after a failure.
const BIND_RETRY: Duration = Duration::from_millis(10);

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum BlackholeMode {
    #[default]
    None,
    Both,
    ToTarget,
    ToClient,
}

/// Injected faults of a route.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct RouteFaults {
    /// Close open connections and refuse new ones.
    pub cut: bool,
    /// Accept connections but hold the data of these directions until the fault ends.
    pub blackhole: BlackholeMode,
    pub delay_ms: u64,
    /// Largest random addition to the delay.
    pub jitter_ms: u64,
    /// Bytes in both directions after which a connection is closed.
    pub drop_after_bytes: Option<u64>,
}

impl FaultSettings for RouteFaults {
    fn check(&self) -> Result<(), String> {
        Ok(())
    }
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum FlowDirection {
    ToTarget,
    ToClient,
}

/// How the open connections of a route are ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndMode {
    Close,
    Reset,
}

#[derive(Clone, Debug, Default, Serialize)]
pub struct RouteStats {
    pub accepted: u64,
    pub open: u64,
    pub to_target_bytes: u64,
    pub to_client_bytes: u64,
}

/// A pair of listening and target address with its faults.
pub struct ProxyRoute {
    pub listen: SocketAddr,
    pub target: SocketAddr,
    faults: RefCell<RouteFaults>,
    stats: RefCell<RouteStats>,
    chance: RefCell<FaultChance>,
    /// Counts the commands to end all open connections, with the mode of the last one.
    ended: Cell<(u64, EndMode)>,
    changed: Signal,
}

/// A held piece of data; an empty one ends the direction.
struct HeldChunk {
    due: Instant,
    data: Vec<u8>,
}

impl ProxyRoute {
    /// Binds the listening address.
    ///
    /// # Errors
    ///
    /// Returns the error of the listening socket.
    pub async fn bind(
        listen: SocketAddr,
        target: SocketAddr,
        seed: u64,
    ) -> std::io::Result<(Rc<Self>, TcpListener)> {
        let listener = TcpListener::bind(listen).await?;
        let route = Rc::new(Self {
            listen: listener.local_addr()?,
            target,
            faults: RefCell::default(),
            stats: RefCell::default(),
            chance: RefCell::new(FaultChance::new(seed)),
            ended: Cell::new((0, EndMode::Close)),
            changed: Signal::default(),
        });
        Ok((route, listener))
    }

    #[must_use]
    pub fn faults(&self) -> RouteFaults {
        self.faults.borrow().clone()
    }

    #[must_use]
    pub fn stats(&self) -> RouteStats {
        self.stats.borrow().clone()
    }

    pub fn set_faults(&self, faults: RouteFaults) {
        let is_cut = faults.cut;
        *self.faults.borrow_mut() = faults;
        if is_cut {
            self.end_connections(EndMode::Close);
        }
        self.changed.notify();
    }

    pub fn end_connections(&self, mode: EndMode) {
        let (count, _) = self.ended.get();
        self.ended.set((count + 1, mode));
        self.changed.notify();
    }

    /// Accepts connections without end; listens only while the route is not cut.
    pub async fn run(self: Rc<Self>, first: TcpListener) {
        let mut bound = Some(first);
        loop {
            if let Some(listener) = bound.take() {
                self.accept_until_cut(&listener).await;
                // The address refuses connections only when the socket is really closed.
                let _ = listener.close().await;
            }
            let changed = self.changed.wait();
            if self.faults.borrow().cut {
                changed.await;
                continue;
            }
            match TcpListener::bind(self.listen).await {
                Ok(listener) => bound = Some(listener),
                Err(error) => {
                    log::warn!("proxy: could not bind {}: {error}", self.listen);
                    compio::time::sleep(BIND_RETRY).await;
                }
            }
        }
    }

    async fn accept_until_cut(self: &Rc<Self>, listener: &TcpListener) {
        loop {
            let mut accept = pin!(listener.accept());
            let accepted = loop {
                let changed = self.changed.wait();
                if self.faults.borrow().cut {
                    return;
                }
                match select(accept.as_mut(), pin!(changed)).await {
                    Either::Left((accepted, _)) => break accepted,
                    Either::Right(((), _)) => {}
                }
            };
            match accepted {
                // It was accepted in the moment of the cut; dropping it closes it.
                Ok(_) if self.faults.borrow().cut => return,
                Ok((client, _)) => {
                    compio::runtime::spawn(Rc::clone(self).serve_connection(client)).detach();
                }
                Err(error) => {
                    log::warn!("proxy: could not accept on {}: {error}", self.listen);
                    compio::time::sleep(BIND_RETRY).await;
                }
            }
        }
    }

    async fn serve_connection(self: Rc<Self>, client: TcpStream) {
        self.stats.borrow_mut().accepted += 1;
        self.stats.borrow_mut().open += 1;
        let target = RefCell::new(None);
        let (count, _) = self.ended.get();
        {
            let mut copy = pin!(self.copy_both(&client, &target));
            loop {
                let changed = self.changed.wait();
                if self.ended.get().0 != count {
                    break;
                }
                match select(copy.as_mut(), pin!(changed)).await {
                    Either::Left((_, _)) => break,
                    Either::Right(((), _)) => {}
                }
            }
        }
        let (ended, mode) = self.ended.get();
        if ended != count && mode == EndMode::Reset {
            let _ = client.set_zero_linger();
            if let Some(target) = target.borrow().as_ref() {
                let _ = TcpStream::set_zero_linger(target);
            }
        }
        self.stats.borrow_mut().open -= 1;
    }

    // The target connection is left in `opened`, so that it can be reset.
    async fn copy_both(
        &self,
        client: &TcpStream,
        opened: &RefCell<Option<TcpStream>>,
    ) -> std::io::Result<()> {
        client.set_nodelay(true)?;
        self.wait_open(FlowDirection::ToTarget).await;
        let target = match TcpStream::connect(self.target).await {
            Ok(target) => target,
            Err(error) => {
                // As close to a refused connection as an accepted one can be.
                let _ = client.set_zero_linger();
                return Err(error);
            }
        };
        target.set_nodelay(true)?;
        *opened.borrow_mut() = Some(target.clone());
        let forwarded = Cell::new(0);
        try_join(
            self.copy(FlowDirection::ToTarget, client, &target, &forwarded),
            self.copy(FlowDirection::ToClient, &target, client, &forwarded),
        )
        .await?;
        Ok(())
    }

    async fn copy(
        &self,
        direction: FlowDirection,
        from: &TcpStream,
        to: &TcpStream,
        forwarded: &Cell<u64>,
    ) -> std::io::Result<()> {
        let (sender, receiver) = mpsc::channel(HELD_CHUNKS);
        let reading = self.read_chunks(from, sender);
        let writing = self.write_chunks(direction, to, receiver, forwarded);
        try_join(reading, writing).map_ok(|_| ()).await
    }

    async fn read_chunks(
        &self,
        mut from: &TcpStream,
        mut sender: mpsc::Sender<HeldChunk>,
    ) -> std::io::Result<()> {
        let mut due = Instant::now();
        loop {
            let buffer = Vec::with_capacity(CHUNK_BYTES);
            let BufResult(read, data) = AsyncRead::read(&mut from, buffer).await;
            let size = read?;
            // A random delay must not change the order of the data.
            due = due.max(Instant::now() + self.delay());
            let ready = std::future::poll_fn(|context| sender.poll_ready(context)).await;
            if ready.is_err() || sender.start_send(HeldChunk { due, data }).is_err() || size == 0 {
                return Ok(());
            }
        }
    }

    async fn write_chunks(
        &self,
        direction: FlowDirection,
        mut to: &TcpStream,
        mut receiver: mpsc::Receiver<HeldChunk>,
        forwarded: &Cell<u64>,
    ) -> std::io::Result<()> {
        while let Some(mut chunk) = receiver.next().await {
            if chunk.due > Instant::now() {
                compio::time::sleep_until(chunk.due).await;
            }
            self.wait_open(direction).await;
            if chunk.data.is_empty() {
                return AsyncWrite::shutdown(&mut to).await;
            }
            let limit = self.faults.borrow().drop_after_bytes.unwrap_or(u64::MAX);
            let left = usize::try_from(limit.saturating_sub(forwarded.get())).unwrap_or(usize::MAX);
            let is_dropped = chunk.data.len() >= left;
            chunk.data.truncate(left);
            let size = chunk.data.len() as u64;
            to.write_all(chunk.data).await.0?;
            forwarded.set(forwarded.get() + size);
            self.count_bytes(direction, size);
            if is_dropped {
                return Err(std::io::ErrorKind::ConnectionAborted.into());
            }
        }
        Ok(())
    }

    fn count_bytes(&self, direction: FlowDirection, size: u64) {
        let mut stats = self.stats.borrow_mut();
        match direction {
            FlowDirection::ToTarget => stats.to_target_bytes += size,
            FlowDirection::ToClient => stats.to_client_bytes += size,
        }
    }

    fn delay(&self) -> Duration {
        let faults = self.faults.borrow();
        let jitter_ms = match faults.jitter_ms {
            0 => 0,
            limit => self.chance.borrow_mut().up_to(limit),
        };
        Duration::from_millis(faults.delay_ms.saturating_add(jitter_ms))
    }

    // Data is held, not lost, like in a network that repeats lost packets.
    async fn wait_open(&self, direction: FlowDirection) {
        loop {
            let changed = self.changed.wait();
            let is_held = match self.faults.borrow().blackhole {
                BlackholeMode::None => false,
                BlackholeMode::Both => true,
                BlackholeMode::ToTarget => direction == FlowDirection::ToTarget,
                BlackholeMode::ToClient => direction == FlowDirection::ToClient,
            };
            if !is_held {
                return;
            }
            changed.await;
        }
    }
}
