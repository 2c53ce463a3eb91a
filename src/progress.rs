//! Progress of an operator's order that takes endpoints out of service or returns them.

use std::time::Duration;

use compact_str::CompactString;

use crate::ids::PoolName;

/// Use of the affected endpoints by one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolUsage {
    pub pool: PoolName,
    /// When the pool last granted a permit for one of them, since the Unix epoch.
    pub last_grant: Option<Duration>,
    /// Requests that still run on them.
    pub running: u32,
}

/// What is known of one order. All times are on one clock, since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct MoveFacts {
    /// When the order was recorded.
    pub recorded: Duration,
    /// When a majority had confirmed it.
    pub confirmed: Option<Duration>,
    /// Time after confirmation until no permit under the old configuration is valid: the lease,
    /// the validity of a permit, and a round trip.
    pub settle: Duration,
    pub now: Duration,
    /// Pools with endpoints that the order affects.
    pub pools: Vec<PoolUsage>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderProgress {
    /// Taken out: in the log, but not confirmed by a majority.
    Recorded,
    /// Taken out: confirmed, but requests still run, or permits are still valid.
    InForce,
    /// Taken out: nothing runs, and nothing new can be sent.
    Empty,
    /// Returned: not every pool owner needs to know yet.
    Returning,
    /// Returned: every pool owner may send requests.
    Back,
}

/// Progress of an order, and one sentence on it for the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgressVerdict {
    pub progress: OrderProgress,
    pub sentence: String,
}

impl ProgressVerdict {
    #[must_use]
    pub fn is_done(&self) -> bool {
        match self.progress {
            OrderProgress::Empty | OrderProgress::Back => true,
            OrderProgress::Recorded | OrderProgress::InForce | OrderProgress::Returning => false,
        }
    }

    fn pending(progress: OrderProgress, reason: &str) -> Self {
        let sentence = format!("not done yet because {reason}");
        Self { progress, sentence }
    }
}

/// Judges an order that takes the endpoints of `subject` out of service.
pub(crate) fn judge_removal(subject: &str, facts: &MoveFacts) -> ProgressVerdict {
    let Some(settled) = facts.settled() else {
        return ProgressVerdict::pending(OrderProgress::Recorded, UNCONFIRMED);
    };
    if facts.now < settled {
        let reason = format!("permits for {subject} that were granted before may still be used");
        return ProgressVerdict::pending(OrderProgress::InForce, &reason);
    }
    // A permit from a pool owner that did not follow the order is valid for `settle` at most.
    let is_late = |grant: Duration| grant > settled && facts.now < grant + facts.settle;
    if let Some(late) = facts
        .pools
        .iter()
        .find(|pool| pool.last_grant.is_some_and(is_late))
    {
        let reason = format!("pool {} still granted a permit for {subject}", late.pool);
        return ProgressVerdict::pending(OrderProgress::InForce, &reason);
    }
    let busy: Vec<&PoolUsage> = facts.pools.iter().filter(|pool| pool.running > 0).collect();
    if !busy.is_empty() {
        let running: u64 = busy.iter().map(|pool| u64::from(pool.running)).sum();
        let names = join_names(&busy);
        let reason = format!("{subject} still runs {running} requests (pools {names})");
        return ProgressVerdict::pending(OrderProgress::InForce, &reason);
    }
    let sentence = format!("done: {subject} runs nothing and receives nothing new");
    ProgressVerdict {
        progress: OrderProgress::Empty,
        sentence,
    }
}

/// Judges an order that returns the endpoints of `subject` to service.
pub(crate) fn judge_return(subject: &str, facts: &MoveFacts) -> ProgressVerdict {
    let Some(settled) = facts.settled() else {
        return ProgressVerdict::pending(OrderProgress::Returning, UNCONFIRMED);
    };
    if facts.now < settled {
        let reason = format!("pool owners may not all know yet that {subject} is back");
        return ProgressVerdict::pending(OrderProgress::Returning, &reason);
    }
    let unused = facts
        .pools
        .iter()
        .filter(|pool| pool.last_grant < Some(facts.recorded));
    let unused: Vec<&PoolUsage> = unused.collect();
    let sentence = if unused.is_empty() {
        format!("done: {subject} receives requests")
    } else {
        // A pool without traffic grants nothing, so this does not delay the verdict.
        let names = join_names(&unused);
        format!("done: {subject} may receive requests; none came yet in pools {names}")
    };
    ProgressVerdict {
        progress: OrderProgress::Back,
        sentence,
    }
}

const UNCONFIRMED: &str = "the order is recorded, but too few hosts have confirmed it";

impl MoveFacts {
    fn settled(&self) -> Option<Duration> {
        self.confirmed.map(|confirmed| confirmed + self.settle)
    }
}

fn join_names(pools: &[&PoolUsage]) -> CompactString {
    let names: Vec<&str> = pools.iter().map(|pool| pool.pool.as_str()).collect();
    names.join(", ").into()
}
