//! Limits retries to a share of the recent first attempts.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use crate::fairness::{ArrivalNumber, TicketId};
use crate::ids::FastMap;

/// Number of buckets in the window. The attempts in a bucket expire together.
const WINDOW_BUCKETS: u32 = 10;

#[derive(Debug)]
pub(crate) struct RetryBudget {
    window: Duration,
    percent: u32,
    min_retries: u32,
    /// Start, first attempts and retries of each bucket.
    buckets: VecDeque<(Instant, u32, u32)>,
    max_declined: usize,
    declined: FastMap<TicketId, ArrivalNumber>,
    /// Declined requests from the oldest to the newest.
    declined_order: VecDeque<TicketId>,
}

impl RetryBudget {
    pub fn new(window: Duration, percent: u32, min_retries: u32, max_declined: usize) -> Self {
        Self {
            window,
            percent,
            min_retries,
            buckets: VecDeque::new(),
            max_declined,
            declined: FastMap::default(),
            declined_order: VecDeque::new(),
        }
    }

    /// Records a request that did not run, and its place in the queue.
    pub fn record_declined(&mut self, id: TicketId, arrival: ArrivalNumber) {
        while self.declined_order.len() >= self.max_declined {
            if let Some(oldest) = self.declined_order.pop_front() {
                self.declined.remove(&oldest);
            }
        }
        if self.declined.insert(id.clone(), arrival).is_none() {
            self.declined_order.push_back(id);
        }
    }

    /// Removes a declined request that its home sends again, and returns its place in the queue.
    pub fn take_declined(&mut self, id: &TicketId) -> Option<ArrivalNumber> {
        let arrival = self.declined.remove(id)?;
        // A linear search is cheap enough, because retries are a small share of all requests.
        self.declined_order.retain(|other| other != id);
        Some(arrival)
    }

    pub fn record_first_attempt(&mut self, now: Instant) {
        self.current_bucket(now).1 += 1;
    }

    /// Counts a retry if the budget allows one more. Returns whether it does.
    pub fn try_retry(&mut self, now: Instant) -> bool {
        self.current_bucket(now);
        let (mut firsts, mut retries) = (0u32, 0u32);
        for bucket in &self.buckets {
            firsts = firsts.saturating_add(bucket.1);
            retries = retries.saturating_add(bucket.2);
        }
        let allowed = firsts.saturating_mul(self.percent) / 100 + self.min_retries;
        if retries >= allowed {
            return false;
        }
        self.current_bucket(now).2 += 1;
        true
    }

    fn current_bucket(&mut self, now: Instant) -> &mut (Instant, u32, u32) {
        let age = |bucket: &(Instant, u32, u32)| now.saturating_duration_since(bucket.0);
        while self
            .buckets
            .front()
            .is_some_and(|bucket| age(bucket) >= self.window)
        {
            self.buckets.pop_front();
        }
        let bucket_length = self.window / WINDOW_BUCKETS;
        if self
            .buckets
            .back()
            .is_none_or(|bucket| age(bucket) >= bucket_length)
        {
            self.buckets.push_back((now, 0, 0));
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
