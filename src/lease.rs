//! Follower promises and the send times from which owners count leases.

use std::collections::VecDeque;
use std::time::Instant;

use crate::ids::{FastMap, HostBrief, Incarnation, PoolName};

/// Send times of the newest heartbeats, by sequence.
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

    /// Takes the next sequence for heartbeats sent at `now`.
    pub fn record(&mut self, now: Instant) -> u64 {
        if self.sent.len() == self.limit {
            self.sent.pop_front();
        }
        self.sent.push_back(now);
        self.newest += 1;
        self.newest
    }

    /// Sequence of the newest heartbeat; 0 before the first.
    #[must_use]
    pub fn newest(&self) -> u64 {
        self.newest
    }

    /// Returns when a sequence was sent; `None` if it never was or is too old to matter.
    #[must_use]
    pub fn sent_at(&self, sequence: u64) -> Option<Instant> {
        let age = usize::try_from(self.newest.checked_sub(sequence)?).ok()?;
        let index = self.sent.len().checked_sub(age + 1)?;
        self.sent.get(index).copied()
    }
}

/// The promise to follow one owner of one pool.
struct Follow {
    owner: HostBrief,
    until: Instant,
    /// The owner ranks first at present, so that heartbeats to it renew the promise.
    renewed: bool,
}

/// Whom this host follows for each pool.
///
/// A promise lasts one lease from the moment the follower heard the heartbeat that it echoes. The
/// owner counts from the moment it sent that heartbeat, which is earlier, so the owner's lease has
/// always ended when the promise ends, and no second owner can hold one in between.
#[derive(Default)]
pub struct FollowTable {
    follows: FastMap<PoolName, Follow>,
}

impl FollowTable {
    /// Renews the promise, or makes one to `target` when no other is in force.
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

    /// Stops the renewal of promises for pools that are no longer served and drops ended ones.
    pub fn retain(&mut self, pools: &[PoolName], now: Instant) {
        self.follows.retain(|_, follow| now < follow.until);
        for (pool, follow) in &mut self.follows {
            follow.renewed &= pools.contains(pool);
        }
    }

    /// Ends the promises to an owner that said that it will never own anything again.
    pub fn release(&mut self, owner: Incarnation) {
        self.follows
            .retain(|_, follow| follow.owner.incarnation != owner);
    }

    /// Pools whose promise to the owner is being renewed, in order of name.
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

    /// Returns the owner to whom a promise is in force.
    #[must_use]
    pub fn owner(&self, pool: &str, now: Instant) -> Option<&HostBrief> {
        let follow = self.follows.get(pool)?;
        (now < follow.until).then_some(&follow.owner)
    }
}
