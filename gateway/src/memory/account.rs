//! Decides which bodies may grow.
//!
//! The load that it answers: many bodies at once, most of which stop short of their end and stay
//! open. Large request bodies may fill a part of the account, small ones a little more, and the rest
//! is left to responses, which endpoints have already worked on. When memory is short, the largest
//! body that makes no progress gives its memory back.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// Number of one body in the account.
pub type HolderNumber = u64;

/// Part of the account that request bodies may occupy, in tenths.
const REQUEST_TENTHS: usize = 7;
/// Part of it that request bodies beyond `SMALL_BODY_BYTES` may occupy, in tenths.
const LARGE_REQUEST_TENTHS: usize = 6;
/// Size up to which a body counts as small.
const SMALL_BODY_BYTES: usize = 64 * 1024;
/// Time after which a body is asked for its progress. Sound endpoints may be silent for about a
/// second.
const PROGRESS_TIME: Duration = Duration::from_secs(2);
/// Bytes that a body must receive in this time while memory is short: 64 kbit/s.
const MIN_PROGRESS_BYTES: usize = 16 * 1024;

/// What a body belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BodyUse {
    Request,
    Response,
}

/// Outcome of asking for memory.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReserveOutcome {
    Granted,
    /// Another body is to give its memory back; ask again.
    Reclaiming(HolderNumber),
    /// There is no memory that could be reclaimed now.
    Refused,
}

#[derive(Debug)]
struct Holder {
    body_use: BodyUse,
    bytes: usize,
    /// Start of the span in which progress is measured, and the bytes received since.
    span_start: Instant,
    span_bytes: usize,
    /// Whether the last whole span had enough progress.
    has_progressed: bool,
    /// Whether the body is complete, so that it cannot be given up.
    is_complete: bool,
    is_reclaimed: bool,
}

/// Memory in use, for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MemoryUsage {
    pub budget_bytes: usize,
    pub request_bytes: usize,
    pub response_bytes: usize,
}

/// The memory of all bodies in a process.
#[derive(Debug)]
pub struct MemoryAccount {
    usage: MemoryUsage,
    holders: BTreeMap<HolderNumber, Holder>,
    last_number: HolderNumber,
}

impl MemoryAccount {
    #[must_use]
    pub fn new(budget_bytes: usize) -> Self {
        Self {
            usage: MemoryUsage {
                budget_bytes,
                ..MemoryUsage::default()
            },
            holders: BTreeMap::new(),
            last_number: 0,
        }
    }

    #[must_use]
    pub fn usage(&self) -> MemoryUsage {
        self.usage
    }

    /// Adds a body that occupies nothing yet.
    pub fn open(&mut self, body_use: BodyUse, now: Instant) -> HolderNumber {
        self.last_number += 1;
        let holder = Holder {
            body_use,
            bytes: 0,
            span_start: now,
            span_bytes: 0,
            has_progressed: true,
            is_complete: false,
            is_reclaimed: false,
        };
        self.holders.insert(self.last_number, holder);
        self.last_number
    }

    /// Records bytes that were received.
    pub fn record_progress(&mut self, number: HolderNumber, bytes: usize, now: Instant) {
        if let Some(holder) = self.holders.get_mut(&number) {
            holder.span_bytes = holder.span_bytes.saturating_add(bytes);
            if now.duration_since(holder.span_start) >= PROGRESS_TIME {
                holder.has_progressed = holder.span_bytes >= MIN_PROGRESS_BYTES;
                holder.span_start = now;
                holder.span_bytes = 0;
            }
        }
    }

    /// Records that a body is complete.
    pub fn complete(&mut self, number: HolderNumber) {
        if let Some(holder) = self.holders.get_mut(&number) {
            holder.is_complete = true;
        }
    }

    /// Takes `bytes` more for a body, or names the body that has to give its memory back first.
    pub fn reserve(&mut self, number: HolderNumber, bytes: usize, now: Instant) -> ReserveOutcome {
        let Some(holder) = self.holders.get(&number) else {
            return ReserveOutcome::Refused;
        };
        let body_use = holder.body_use;
        if self.has_room(body_use, holder.bytes, bytes) {
            self.add(number, bytes);
            return ReserveOutcome::Granted;
        }
        match self.stalled_holder(number, body_use, now) {
            Some(stalled) => {
                if let Some(holder) = self.holders.get_mut(&stalled) {
                    holder.is_reclaimed = true;
                }
                ReserveOutcome::Reclaiming(stalled)
            }
            // A body that was reclaimed before may not have given its memory back yet.
            None => ReserveOutcome::Refused,
        }
    }

    fn has_room(&self, body_use: BodyUse, held: usize, more: usize) -> bool {
        let MemoryUsage {
            budget_bytes,
            request_bytes,
            response_bytes,
        } = self.usage;
        let fits = request_bytes + response_bytes + more <= budget_bytes;
        let tenths = if held + more > SMALL_BODY_BYTES {
            LARGE_REQUEST_TENTHS
        } else {
            REQUEST_TENTHS
        };
        match body_use {
            BodyUse::Request => fits && request_bytes + more <= budget_bytes / 10 * tenths,
            BodyUse::Response => fits,
        }
    }

    /// Returns the largest other body of this use that makes no progress. Bodies of requests don't
    /// take memory from responses: those may have run.
    fn stalled_holder(
        &self,
        number: HolderNumber,
        body_use: BodyUse,
        now: Instant,
    ) -> Option<HolderNumber> {
        let others = self.holders.iter().filter(|(other, holder)| {
            let is_open = !holder.is_complete && !holder.is_reclaimed;
            **other != number
                && is_open
                && holder.bytes > 0
                && (holder.body_use == body_use || body_use == BodyUse::Response)
                && is_stalled(holder, now)
        });
        let largest = others.max_by_key(|(_, holder)| holder.bytes);
        largest.map(|(number, _)| *number)
    }

    fn add(&mut self, number: HolderNumber, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&number) {
            holder.bytes += bytes;
            *used_by(&mut self.usage, holder.body_use) += bytes;
        }
    }

    /// Removes a body and returns the bytes that it occupied.
    pub fn close(&mut self, number: HolderNumber) -> usize {
        let Some(holder) = self.holders.remove(&number) else {
            return 0;
        };
        *used_by(&mut self.usage, holder.body_use) -= holder.bytes;
        holder.bytes
    }
}

fn used_by(usage: &mut MemoryUsage, body_use: BodyUse) -> &mut usize {
    match body_use {
        BodyUse::Request => &mut usage.request_bytes,
        BodyUse::Response => &mut usage.response_bytes,
    }
}

fn is_stalled(holder: &Holder, now: Instant) -> bool {
    let is_span_over = now.duration_since(holder.span_start) >= PROGRESS_TIME;
    if is_span_over {
        holder.span_bytes < MIN_PROGRESS_BYTES
    } else {
        !holder.has_progressed
    }
}
