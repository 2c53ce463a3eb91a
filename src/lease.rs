//! Promises that followers make to pool owners, and the heartbeat send times from which owners
//! measure their leases.

use std::collections::VecDeque;
use std::time::Instant;

use crate::ids::{FastMap, HostBrief, Incarnation, PoolName};

/// Ring buffer with the send times of the newest heartbeats, by sequence number.
pub struct SendRing {
    sent: VecDeque<Instant>,
    limit: usize,
    newest: u64,
}

impl SendRing {
    #[must_use]
    pub fn new(limit: usize) -> Self {
        Self {
            sent: VecDeque::with_capacity(limit),
            limit,
            newest: 0,
        }
    }

    /// Records heartbeats that are sent at `now` and returns their sequence number.
    pub fn record(&mut self, now: Instant) -> u64 {
        if self.sent.len() == self.limit {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
        self.newest += 1;
        self.newest
    }

    /// Returns the sequence number of the newest heartbeat; 0 before the first.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Returns the time at which a sequence number was sent; `None` if it was not sent yet or has
    /// been evicted.
    #[must_use]
    pub fn sent_at(&self, sequence: u64) -> Option<Instant> {
        let age = usize::try_from(self.newest.checked_sub(sequence)?).ok()?;
        let index = self.sent.len().checked_sub(age + 1)?;
        self.sent.get(index).copied()
    }
}

/// Promise to follow one owner of one pool.
struct Follow {
    owner: HostBrief,
    until: Instant,
    /// Whether the owner currently ranks first, so that heartbeats to it renew the promise.
    renewed: bool,
}

/// The owner that this host follows for each pool.
///
/// A promise lasts for one lease after the follower received the heartbeat that it echoes. The
/// owner measures its lease from the time at which it sent that heartbeat, which is earlier. The
/// owner's lease therefore always ends before the promise does, and no second owner can hold a
/// lease at the same time.
#[derive(Default)]
pub struct FollowTable {
    follows: FastMap<PoolName, Follow>,
}

impl FollowTable {
    /// Renews the promise for a pool, or makes one to `target` if no other promise is in force.
    /// `target` carries the time at which the promise ends.
    pub fn refresh(
        &mut self,
        pool: &PoolName,
        target: Option<(&HostBrief, Instant)>,
        now: Instant,
    ) {
        if let Some(follow) = self.follows.get_mut(pool)
            && now < follow.until
        {
            let same = target.filter(|(owner, _)| owner.incarnation == follow.owner.incarnation);
            follow.renewed = same.is_some();
            if let Some((_, until)) = same {
                follow.until = follow.until.max(until);
            }
            return;
        }
        match target.filter(|(_, until)| now < *until) {
            Some((owner, until)) => {
                let follow = Follow {
                    owner: owner.clone(),
                    until,
                    renewed: true,
                };
                self.follows.insert(pool.clone(), follow);
            }
            None => {
                self.follows.remove(pool);
            }
        }
    }

    /// Removes expired promises and stops renewing those for pools that are no longer served.
    pub fn retain(&mut self, pools: &[PoolName], now: Instant) {
        self.follows.retain(|_, follow| now < follow.until);
        for (pool, follow) in &mut self.follows {
            follow.renewed &= pools.contains(pool);
        }
    }

    /// Ends the promises to an owner that announced that it gives up all its pools for good.
    pub fn release(&mut self, owner: Incarnation) {
        self.follows
            .retain(|_, follow| follow.owner.incarnation != owner);
    }

    /// Returns the pools whose promise to the owner is being renewed, in order of name.
    #[must_use]
    pub fn renewed_pools(&self, owner: Incarnation) -> Vec<PoolName> {
        let renews = |follow: &Follow| follow.renewed && follow.owner.incarnation == owner;
        let mut pools: Vec<_> = self
            .follows
            .iter()
            .filter(|(_, follow)| renews(follow))
            .map(|(pool, _)| pool.clone())
            .collect();
        pools.sort_unstable();
        pools
    }

    /// Returns the owner to which a promise for the pool is in force.
    #[must_use]
    pub fn owner(&self, pool: &str, now: Instant) -> Option<&HostBrief> {
        let follow = self.follows.get(pool)?;
        (now < follow.until).then_some(&follow.owner)
    }
}
