//! Reads whole bodies into memory that is drawn from the process's account.

use std::time::Duration;

use bytes::Bytes;
use futures_util::future::Abortable;
use http_body_util::BodyExt;
use hyper::body::{Body, Incoming};

use crate::body_buffer::BodyBuffer;
use crate::memory_account::BodyUse;
use crate::memory_pool::{MemoryHold, MemoryPool};

/// Number of frames after which reading yields to other tasks. Frames may be single bytes.
const MAX_FRAMES_PER_TURN: u32 = 256;

/// Why a body could not be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReadFailure {
    TooLarge,
    Truncated,
    /// There is no memory for the body.
    NoMemory,
    /// The body made too little progress while memory was short.
    Reclaimed,
}

/// Reads a whole body of at most `limit_bytes`. The memory stays in the account until the hold is
/// dropped.
///
/// # Errors
///
/// Returns a [`ReadFailure`] if the body is too large or truncated, or if there is no memory for it.
pub async fn read_whole_body(
    pool: &MemoryPool,
    body: Incoming,
    body_use: BodyUse,
    limit_bytes: usize,
) -> Result<(Bytes, MemoryHold), ReadFailure> {
    let announced = body.size_hint().exact();
    let announced = announced.map(|bytes| usize::try_from(bytes).unwrap_or(usize::MAX));
    if announced.is_some_and(|bytes| bytes > limit_bytes) {
        return Err(ReadFailure::TooLarge);
    }
    let (hold, reclaimed) = MemoryHold::open(pool, body_use);
    let max_bytes = announced.unwrap_or(limit_bytes);
    let reading = Abortable::new(collect(hold, body, max_bytes), reclaimed);
    reading.await.unwrap_or(Err(ReadFailure::Reclaimed))
}

/// Copies the frames of a body into one buffer. Frames would keep whole read buffers.
async fn collect(
    hold: MemoryHold,
    mut body: Incoming,
    max_bytes: usize,
) -> Result<(Bytes, MemoryHold), ReadFailure> {
    let mut buffer = BodyBuffer::new(max_bytes);
    let mut frames = 0;
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|_| ReadFailure::Truncated)?;
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if buffer.len() + data.len() > max_bytes {
            return Err(ReadFailure::TooLarge);
        }
        let more = buffer.missing_capacity(data.len());
        if more > 0 {
            let reserved = hold.reserve(more).await;
            reserved.map_err(|_| ReadFailure::NoMemory)?;
            let grown = buffer.grow(more);
            grown.map_err(|_| ReadFailure::NoMemory)?;
        }
        buffer.extend(&data);
        hold.record_progress(data.len());
        frames += 1;
        if frames % MAX_FRAMES_PER_TURN == 0 {
            compio::time::sleep(Duration::ZERO).await;
        }
    }
    hold.complete();
    Ok((buffer.into_bytes(), hold))
}
