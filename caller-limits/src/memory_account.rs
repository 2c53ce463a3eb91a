//! Decides which bodies may grow.
//!
//! The load that it answers: many bodies at once, most of which stop short of their end and stay
//! open. Large request bodies may fill a part of the account, small ones a little more, and the rest
//! is left to responses, which endpoints have already worked on. When memory is short, the largest
//! body that makes no progress gives its memory back: one that is received, or an answer that its
//! caller doesn't read.

use std::collections::BTreeMap;
use std::time::Instant;

use crate::progress_meter::ProgressMeter;

/// Number of one body in the account.
pub type HolderNumber = u64;

/// Part of the account that request bodies may occupy, in tenths.
const REQUEST_TENTHS: usize = 7;
/// Part of it that request bodies beyond `SMALL_BODY_BYTES` may occupy, in tenths.
const LARGE_REQUEST_TENTHS: usize = 6;
/// Size up to which a body counts as small.
const SMALL_BODY_BYTES: usize = 64 * 1024;
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

/// What happens to a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum HolderPhase {
    Receiving,
    /// Complete and in use, so that it cannot be given up.
    Complete,
    /// Being sent to a caller.
    Delivering,
}

#[derive(Debug)]
struct Holder {
    body_use: BodyUse,
    bytes: usize,
    meter: ProgressMeter,
    phase: HolderPhase,
    is_reclaimed: bool,
}

impl Holder {
    /// Returns whether a body of this use may take the holder's memory. Bodies of requests don't
    /// take it from responses that are received: those may have run.
    fn yields_to(&self, body_use: BodyUse) -> bool {
        match self.phase {
            HolderPhase::Receiving => self.body_use == body_use || body_use == BodyUse::Response,
            HolderPhase::Complete => false,
            HolderPhase::Delivering => true,
        }
    }
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
            meter: ProgressMeter::new(now),
            phase: HolderPhase::Receiving,
            is_reclaimed: false,
        };
        self.holders.insert(self.last_number, holder);
        self.last_number
    }

    /// Records bytes that were received or delivered.
    pub fn record_progress(&mut self, number: HolderNumber, bytes: usize, now: Instant) {
        if let Some(holder) = self.holders.get_mut(&number) {
            holder.meter.record(bytes, now);
        }
    }

    /// Records that a body is complete.
    pub fn complete(&mut self, number: HolderNumber) {
        if let Some(holder) = self.holders.get_mut(&number) {
            holder.phase = HolderPhase::Complete;
        }
    }

    /// Records that a body is sent to its caller from now on.
    pub fn deliver(&mut self, number: HolderNumber, now: Instant) {
        if let Some(holder) = self.holders.get_mut(&number) {
            holder.phase = HolderPhase::Delivering;
            holder.meter = ProgressMeter::new(now);
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

    /// Returns the largest other body that makes no progress and yields to this use.
    fn stalled_holder(
        &self,
        number: HolderNumber,
        body_use: BodyUse,
        now: Instant,
    ) -> Option<HolderNumber> {
        let others = self.holders.iter().filter(|(other, holder)| {
            **other != number
                && holder.bytes > 0
                && !holder.is_reclaimed
                && holder.yields_to(body_use)
                && holder.meter.is_stalled(now)
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

    /// Gives back what a body occupies beyond `bytes`.
    pub fn shrink(&mut self, number: HolderNumber, bytes: usize) {
        if let Some(holder) = self.holders.get_mut(&number) {
            let surplus = holder.bytes.saturating_sub(bytes);
            holder.bytes -= surplus;
            *used_by(&mut self.usage, holder.body_use) -= surplus;
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
