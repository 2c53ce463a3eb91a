//! Progress of an operator's order that removes endpoints from service or returns them to service.

use std::time::Duration;

use compact_str::CompactString;

use crate::ids::PoolName;

/// Use of the affected endpoints by one pool.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PoolUsage {
    pub pool: PoolName,
    /// Time since the Unix epoch of the pool's last permit for one of these endpoints.
    pub last_grant: Option<Duration>,
    /// Number of requests that still run on these endpoints.
    pub running: u32,
}

/// The facts from which the progress of one order is judged. All times are read from one clock and
/// count from the Unix epoch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OrderFacts {
    /// Time at which the order was recorded.
    pub recorded: Duration,
    /// Time at which a majority had confirmed the order.
    pub confirmed: Option<Duration>,
    /// Time after confirmation until no permit under the old configuration is valid: the sum of the
    /// lease, the validity of a permit, and a round trip.
    pub settle_time: Duration,
    pub now: Duration,
    /// Pools with endpoints that the order affects.
    pub pools: Vec<PoolUsage>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OrderProgress {
    /// Removal: recorded in the log, but not confirmed by a majority.
    Recorded,
    /// Removal: confirmed, but requests still run or permits are still valid.
    Removing,
    /// Removal: no request runs, and no new request can be sent.
    Removed,
    /// Return: some pool owners may not have received the order yet.
    Returning,
    /// Return: every pool owner may send requests.
    Returned,
}

/// Progress of an order, and a sentence that describes it to the operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ProgressVerdict {
    pub progress: OrderProgress,
    pub sentence: String,
}

impl ProgressVerdict {
    #[must_use]
    pub fn is_done(&self) -> bool {
        match self.progress {
            OrderProgress::Removed | OrderProgress::Returned => true,
            OrderProgress::Recorded | OrderProgress::Removing | OrderProgress::Returning => false,
        }
    }

    fn pending(progress: OrderProgress, reason: &str) -> Self {
        let sentence = format!("not done yet because {reason}");
        Self { progress, sentence }
    }
}

/// Returns the progress of an order that removes the endpoints of `subject` from service.
pub(crate) fn judge_removal(subject: &str, facts: &OrderFacts) -> ProgressVerdict {
    let Some(settled) = facts.settled() else {
        return ProgressVerdict::pending(OrderProgress::Recorded, UNCONFIRMED);
    };
    if facts.now < settled {
        let reason = format!("permits for {subject} that were granted before may still be used");
        return ProgressVerdict::pending(OrderProgress::Removing, &reason);
    }
    // A permit of a pool owner that did not apply the order is valid for at most `settle_time`.
    let is_late = |grant: Duration| grant > settled && facts.now < grant + facts.settle_time;
    if let Some(late) = facts
        .pools
        .iter()
        .find(|pool| pool.last_grant.is_some_and(is_late))
    {
        let reason = format!("pool {} still granted a permit for {subject}", late.pool);
        return ProgressVerdict::pending(OrderProgress::Removing, &reason);
    }
    let busy: Vec<&PoolUsage> = facts.pools.iter().filter(|pool| pool.running > 0).collect();
    if !busy.is_empty() {
        let running: u64 = busy.iter().map(|pool| u64::from(pool.running)).sum();
        let names = join_names(&busy);
        let reason = format!("{subject} still runs {running} requests (pools {names})");
        return ProgressVerdict::pending(OrderProgress::Removing, &reason);
    }
    let sentence = format!("done: {subject} runs nothing and receives nothing new");
    ProgressVerdict {
        progress: OrderProgress::Removed,
        sentence,
    }
}

/// Returns the progress of an order that returns the endpoints of `subject` to service.
pub(crate) fn judge_return(subject: &str, facts: &OrderFacts) -> ProgressVerdict {
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
        // A pool without traffic grants no permits, so unused pools do not delay the verdict.
        let names = join_names(&unused);
        format!("done: {subject} may receive requests; none came yet in pools {names}")
    };
    ProgressVerdict {
        progress: OrderProgress::Returned,
        sentence,
    }
}

const UNCONFIRMED: &str = "the order is recorded, but too few hosts have confirmed it";

impl OrderFacts {
    fn settled(&self) -> Option<Duration> {
        self.confirmed.map(|confirmed| confirmed + self.settle_time)
    }
}

fn join_names(pools: &[&PoolUsage]) -> CompactString {
    let names: Vec<&str> = pools.iter().map(|pool| pool.pool.as_str()).collect();
    names.join(", ").into()
}
