//! Reads whole bodies into memory that is drawn from the process's account.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures_channel::oneshot;
use futures_util::future::{Either, select};
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use super::state::Edge;
use crate::memory::{BodyUse, HolderNumber, ReserveOutcome};

/// Minimum growth of a buffer.
const MIN_GROWTH_BYTES: usize = 16 * 1024;
/// Time between two attempts to get memory.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of attempts of a request: as long as a connection that is closed lingers.
const MAX_REQUEST_ATTEMPTS: u32 = 50;
/// Number of frames after which reading yields to other tasks. Frames may be single bytes.
const MAX_FRAMES_PER_TURN: u32 = 256;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadFailure {
    TooLarge,
    Truncated,
    /// There is no memory for the body.
    NoMemory,
    /// The body made too little progress while memory was short.
    Reclaimed,
}

/// Memory of one body, which is given back when this is dropped.
pub(crate) struct MemoryHold {
    edge: Rc<Edge>,
    number: HolderNumber,
}

impl MemoryHold {
    fn open(edge: &Rc<Edge>, body_use: BodyUse) -> (Self, oneshot::Receiver<()>) {
        let (sender, receiver) = oneshot::channel();
        let state = &mut *edge.state.borrow_mut();
        let number = state.memory.open(body_use, Instant::now());
        state.reclaim_signals.insert(number, sender);
        let hold = Self {
            edge: Rc::clone(edge),
            number,
        };
        (hold, receiver)
    }

    /// Takes memory. Responses wait for it until their request ends.
    async fn reserve(&self, bytes: usize, body_use: BodyUse) -> Result<(), ReadFailure> {
        let mut attempts = 0;
        loop {
            let outcome = {
                let state = &mut *self.edge.state.borrow_mut();
                let outcome = state.memory.reserve(self.number, bytes, Instant::now());
                if let ReserveOutcome::Reclaiming(number) = outcome
                    && let Some(signal) = state.reclaim_signals.remove(&number)
                {
                    // The reader may have just ended by itself.
                    let _ = signal.send(());
                }
                outcome
            };
            match outcome {
                ReserveOutcome::Granted => return Ok(()),
                ReserveOutcome::Reclaiming(_) => self.edge.count("memory_reclaimed"),
                ReserveOutcome::Refused => {}
            }
            attempts += 1;
            if body_use == BodyUse::Request && attempts >= MAX_REQUEST_ATTEMPTS {
                return Err(ReadFailure::NoMemory);
            }
            compio::time::sleep(RETRY_INTERVAL).await;
        }
    }

    fn record_progress(&self, bytes: usize) {
        let state = &mut *self.edge.state.borrow_mut();
        state
            .memory
            .record_progress(self.number, bytes, Instant::now());
    }

    fn complete(&self) {
        self.edge.state.borrow_mut().memory.complete(self.number);
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        let state = &mut *self.edge.state.borrow_mut();
        state.memory.close(self.number);
        state.reclaim_signals.remove(&self.number);
    }
}

/// Reads a whole body of at most `limit_bytes`. The memory stays in the account until the hold is
/// dropped.
pub(crate) async fn read_whole_body(
    edge: &Rc<Edge>,
    body: Incoming,
    body_use: BodyUse,
    limit_bytes: usize,
) -> Result<(Bytes, MemoryHold), ReadFailure> {
    let announced = body.size_hint().exact();
    let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if announced.is_some_and(|bytes| bytes > limit_bytes) {
        return Err(ReadFailure::TooLarge);
    }
    let (hold, reclaimed) = MemoryHold::open(edge, body_use);
    let max_bytes = announced.unwrap_or(limit_bytes);
    let reading = std::pin::pin!(collect(hold, body, body_use, max_bytes));
    match select(reading, reclaimed).await {
        Either::Left((read, _)) => read,
        Either::Right(_) => Err(ReadFailure::Reclaimed),
    }
}

/// Copies the frames of a body into one buffer. Frames would keep whole read buffers.
async fn collect(
    hold: MemoryHold,
    mut body: Incoming,
    body_use: BodyUse,
    max_bytes: usize,
) -> Result<(Bytes, MemoryHold), ReadFailure> {
    let mut buffer: Vec<u8> = Vec::new();
    let mut frames = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadFailure::Truncated)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = buffer.len() + data.len();
        if length > max_bytes {
            return Err(ReadFailure::TooLarge);
        }
        if length > buffer.capacity() {
            let growth = (buffer.capacity() / 2).max(MIN_GROWTH_BYTES);
            let capacity = (buffer.capacity() + growth).max(length).min(max_bytes);
            let more = capacity - buffer.capacity();
            hold.reserve(more, body_use).await?;
            buffer.reserve_exact(capacity - buffer.len());
        }
        buffer.extend_from_slice(&data);
        hold.record_progress(data.len());
        frames += 1;
        if frames % MAX_FRAMES_PER_TURN == 0 {
            compio::time::sleep(Duration::ZERO).await;
        }
    }
    hold.complete();
    Ok((buffer.into(), hold))
}
