//! Limits retries to a share of recent first tries.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::fairness::{ArrivalNumber, TicketId};
use crate::ids::FastMap;

/// Parts of the window in which tries are counted and forgotten together.
const WINDOW_PARTS: u32 = 10;

#[derive(Debug)]
pub(crate) struct RetryBudget {
    window: Duration,
    percent: u32,
    floor: u32,
    /// Start, first tries and retries of each part of the window.
    parts: VecDeque<(Instant, u32, u32)>,
    entries: usize,
    declined: FastMap<TicketId, ArrivalNumber>,
    order: VecDeque<TicketId>,
}

impl RetryBudget {
    pub fn new(window: Duration, percent: u32, floor: u32, entries: usize) -> Self {
        Self {
            window,
            percent,
            floor,
            parts: VecDeque::new(),
            entries,
            declined: FastMap::default(),
            order: VecDeque::new(),
        }
    }

    /// Remembers a request that did not run, and its place in the queue.
    pub fn record_declined(&mut self, id: TicketId, arrival: ArrivalNumber) {
        while self.order.len() >= self.entries {
            if let Some(oldest) = self.order.pop_front() {
                self.declined.remove(&oldest);
            }
        }
        if self.declined.insert(id.clone(), arrival).is_none() {
            self.order.push_back(id);
        }
    }

    /// The queue place of a declined request that its home sends again.
    pub fn take_declined(&mut self, id: &TicketId) -> Option<ArrivalNumber> {
        let arrival = self.declined.remove(id)?;
        // A linear search is acceptable: retries are a small share of all requests.
        self.order.retain(|other| other != id);
        Some(arrival)
    }

    pub fn record_first_attempt(&mut self, now: Instant) {
        self.current(now).1 += 1;
    }

    /// Counts a retry if the budget allows one more.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.current(now);
        let (mut firsts, mut retries) = (0u32, 0u32);
        for part in &self.parts {
            firsts = firsts.saturating_add(part.1);
            retries = retries.saturating_add(part.2);
        }
        let allowed = firsts.saturating_mul(self.percent) / 100 + self.floor;
        if retries >= allowed {
            return false;
        }
        self.current(now).2 += 1;
        true
    }

    fn current(&mut self, now: Instant) -> &mut (Instant, u32, u32) {
        let age = |part: &(Instant, u32, u32)| now.saturating_duration_since(part.0);
        while self
            .parts
            .front()
            .is_some_and(|part| age(part) >= self.window)
        {
            self.parts.pop_front();
        }
        let length = self.window / WINDOW_PARTS;
        if self.parts.back().is_none_or(|part| age(part) >= length) {
            self.parts.push_back((now, 0, 0));
        }
        let last = self.parts.len() - 1;
        &mut self.parts[last]
    }
}
