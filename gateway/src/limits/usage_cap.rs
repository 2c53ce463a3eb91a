//! Caps on what a workspace uses, over all hosts.
//!
//! Each host keeps one bucket per workspace. It takes from it what it admits itself and what its
//! peers report. A silent peer may still be serving callers; its equal share of the rate is left
//! to it, so that hosts that cannot reach each other do not spend the same allowance twice.
//!
//! A deployment states how far a cap may be exceeded within a window. While nobody waits for an
//! endpoint, callers get that too: refusing them would protect no one. A sliding sum keeps what
//! goes beyond the cap, less a margin for what other hosts have used and not told yet.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::relayed_usage::RelayedUsage;
use super::usage_window::UsageWindow;
use crate::catalog::{UsageCap, UsageUnit, WorkspaceEntry};
use crate::ids::{FastMap, HostAddress, Incarnation, NameHash, WorkspaceName, hash_name};

/// Longest wait that a caller over its cap is told.
const MOST_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Shortest such wait.
const LEAST_RETRY_AFTER: Duration = Duration::from_secs(1);

/// How far caps may be exceeded, over all hosts.
#[derive(Clone, Copy, Debug)]
pub struct CapTolerance {
    /// Span in which usage is counted.
    pub window: Duration,
    /// Part of what the cap gives in one window by which it may be exceeded.
    pub overshoot_ratio: f64,
    /// Units in one window beyond that.
    pub overshoot_units: f64,
}

impl CapTolerance {
    /// Units that may be used beyond a cap within one window.
    fn extra_units(&self, cap: &UsageCap) -> f64 {
        let given = cap.rate_per_s * self.window.as_secs_f64() + cap.burst;
        given * self.overshoot_ratio + self.overshoot_units
    }
}

/// Time for which usage of other hosts may be unknown: until a cut, or the silence of a hub, is
/// noticed.
const UNTOLD_TIME: Duration = Duration::from_millis(700);
/// Least part of the units beyond a cap that is left for that.
const LEAST_MARGIN: f64 = 0.1;
/// Time over which recent demand is averaged.
const RECENT_TIME: Duration = Duration::from_secs(2);
/// Part of the units beyond a cap that a host which has just started takes for used. With what it
/// leaves, a restart of all hosts grants hardly more than the whole twice in one window.
const PRESUMED_PART: f64 = 0.75;

/// What one host, or several, used of a cap since a start. All counts only rise, so that an
/// overtaken or repeated report changes nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCount {
    pub admitted: u64,
    /// Of `admitted`, what was given back because it did not run anywhere.
    pub refunded: u64,
    /// What was asked for beyond `admitted`.
    pub refused: u64,
}

impl UsageCount {
    /// What came since an earlier count; nothing where this one is the earlier.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            admitted: self.admitted.saturating_sub(earlier.admitted),
            refunded: self.refunded.saturating_sub(earlier.refunded),
            refused: self.refused.saturating_sub(earlier.refused),
        }
    }

    #[must_use]
    pub fn plus(self, more: Self) -> Self {
        Self {
            admitted: self.admitted.saturating_add(more.admitted),
            refunded: self.refunded.saturating_add(more.refunded),
            refused: self.refused.saturating_add(more.refused),
        }
    }

    /// The further of each count.
    #[must_use]
    pub fn max_with(self, other: Self) -> Self {
        Self {
            admitted: self.admitted.max(other.admitted),
            refunded: self.refunded.max(other.refunded),
            refused: self.refused.max(other.refused),
        }
    }
}

/// What one host used for one workspace since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    pub workspace: NameHash,
    pub count: UsageCount,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageVerdict {
    Admitted,
    /// Over the cap; `level` units are left, a debt if negative.
    Refused {
        retry_after: Duration,
        level: i64,
    },
}

#[derive(Debug)]
struct CapBucket {
    cap: UsageCap,
    level: f64,
    /// What all hosts are known to have used beyond the cap.
    extra: UsageWindow,
    /// Units that all hosts were asked for within `RECENT_TIME` before `filled`, about. While hosts
    /// don't hear of each other, they may admit as much as they are asked for.
    asked: f64,
    filled: Instant,
    /// Used by this host since its start.
    count: UsageCount,
}

impl CapBucket {
    /// A bucket that starts empty, and as if all that goes beyond the cap had just been used: a
    /// restart of all hosts grants nothing twice.
    fn new(cap: UsageCap, tolerance: &CapTolerance, now: Instant) -> Self {
        let mut extra = UsageWindow::default();
        extra.add(PRESUMED_PART * tolerance.extra_units(&cap), now);
        Self {
            cap,
            level: 0.0,
            extra,
            asked: 0.0,
            filled: now,
            count: UsageCount::default(),
        }
    }

    fn fill(&mut self, tolerance: &CapTolerance, share: f64, now: Instant) {
        let elapsed = now.duration_since(self.filled).as_secs_f64();
        let filled = self.level + elapsed * share * self.cap.rate_per_s;
        self.level = filled.min(self.cap.burst * share);
        self.asked *= (-elapsed / RECENT_TIME.as_secs_f64()).exp();
        self.filled = now;
        self.settle(tolerance, share, now);
    }

    /// Takes units from the cap, and what it lacks from what may go beyond it.
    fn take(&mut self, units: f64, tolerance: &CapTolerance, share: f64, now: Instant) {
        self.level -= units;
        self.settle(tolerance, share, now);
    }

    /// Takes back what was admitted and did not run.
    fn refund(&mut self, units: f64) {
        self.level = (self.level + units).min(self.cap.burst);
    }

    /// Counts a debt as usage beyond the cap, as far as that is allowed. Many hosts that admit at
    /// once, before they hear of each other, leave a debt that is more than that.
    fn settle(&mut self, tolerance: &CapTolerance, share: f64, now: Instant) {
        if self.level < 0.0 {
            let left = self.headroom(tolerance, share, now).max(0.0);
            let counted = left.min(-self.level);
            if counted > 0.0 {
                self.extra.add(counted, now);
                self.level += counted;
            }
        }
    }

    /// Units beyond the cap that may still be used, by this host and those that it hears.
    fn headroom(&mut self, tolerance: &CapTolerance, share: f64, now: Instant) -> f64 {
        let most = tolerance.extra_units(&self.cap) * share;
        let untold = self.asked / RECENT_TIME.as_secs_f64() * UNTOLD_TIME.as_secs_f64();
        let margin = untold.max(LEAST_MARGIN * most);
        most - margin - self.extra.sum(tolerance.window, now)
    }
}

#[derive(Debug)]
struct PeerUsage {
    incarnation: Incarnation,
    counts: FastMap<NameHash, UsageCount>,
}

/// The buckets of all capped workspaces.
#[derive(Debug)]
pub struct UsageCaps {
    tolerance: CapTolerance,
    buckets: FastMap<WorkspaceName, CapBucket>,
    names: FastMap<NameHash, WorkspaceName>,
    peers: FastMap<HostAddress, PeerUsage>,
    relayed: RelayedUsage,
    /// Part of each rate that is not left to silent peers.
    share: f64,
    changed: bool,
}

impl UsageCaps {
    #[must_use]
    pub fn new(tolerance: CapTolerance) -> Self {
        Self {
            tolerance,
            buckets: FastMap::default(),
            names: FastMap::default(),
            peers: FastMap::default(),
            relayed: RelayedUsage::default(),
            share: 1.0,
            changed: false,
        }
    }

    /// Takes over the caps of a new configuration. Levels stay; a new bucket starts empty, so
    /// that a restart of all hosts grants no second burst.
    pub fn apply_workspaces<'a>(
        &mut self,
        workspaces: impl Iterator<Item = &'a Rc<WorkspaceEntry>>,
        now: Instant,
    ) {
        let mut previous = std::mem::take(&mut self.buckets);
        self.names.clear();
        for workspace in workspaces {
            let Some(cap) = workspace.cap else { continue };
            let name = workspace.name.clone();
            // A workspace comes once for each of its keys.
            if self.buckets.contains_key(&name) {
                continue;
            }
            self.names.insert(hash_name(&name), name.clone());
            let previous = previous.remove(&name);
            let mut bucket = previous.unwrap_or_else(|| CapBucket::new(cap, &self.tolerance, now));
            bucket.fill(&self.tolerance, self.share, now);
            bucket.cap = cap;
            bucket.level = bucket.level.min(cap.burst);
            self.buckets.insert(name, bucket);
        }
    }

    /// Takes over a changed tolerance.
    pub fn apply_tolerance(&mut self, tolerance: CapTolerance) {
        self.tolerance = tolerance;
    }

    /// Sets which part of each rate this host and the peers that it hears may use.
    pub fn set_unreachable_hosts(&mut self, hosts: usize, silent: usize, now: Instant) {
        #[expect(clippy::cast_precision_loss, reason = "at most some hundred hosts")]
        let share = 1.0 - silent as f64 / hosts.max(1) as f64;
        // What the buckets hold is divided too: each side of a cut holds the same level.
        let kept = (share / self.share).min(1.0);
        for bucket in self.buckets.values_mut() {
            bucket.fill(&self.tolerance, self.share, now);
            if bucket.level > 0.0 {
                bucket.level *= kept;
            }
            // What was left to silent hosts may have been used by them.
            let regained = (share - self.share).max(0.0);
            if regained > 0.0 {
                let presumed = regained * self.tolerance.extra_units(&bucket.cap);
                bucket.extra.add(presumed, now);
            }
        }
        self.share = share;
    }

    /// Admits a request or refuses it. A bucket above zero admits a request of any size; the
    /// debt is paid before the next one. `idle`: nobody waits for an endpoint.
    pub fn admit(
        &mut self,
        workspace: &WorkspaceName,
        tokens: Option<u32>,
        idle: bool,
        now: Instant,
    ) -> UsageVerdict {
        let (tolerance, share) = (self.tolerance, self.share);
        let Some(bucket) = self.buckets.get_mut(workspace) else {
            return UsageVerdict::Admitted;
        };
        bucket.fill(&tolerance, share, now);
        let cost = cost_of(&bucket.cap, tokens);
        let (units, cost) = (u64::from(cost), f64::from(cost));
        bucket.asked += cost;
        self.changed = true;
        let within = bucket.level > 0.0;
        let headroom = bucket.headroom(&tolerance, share, now);
        if !(within || idle && headroom >= cost) {
            let rate = (bucket.cap.rate_per_s * share).max(1.0);
            let wait = Duration::from_secs_f64(((cost - bucket.level) / rate).clamp(0.0, 60.0));
            let retry_after = wait.clamp(LEAST_RETRY_AFTER, MOST_RETRY_AFTER);
            #[expect(clippy::cast_possible_truncation, reason = "for the log")]
            let level = bucket.level as i64;
            bucket.count.refused += units;
            return UsageVerdict::Refused { retry_after, level };
        }
        bucket.take(cost, &tolerance, share, now);
        bucket.count.admitted += units;
        UsageVerdict::Admitted
    }

    /// Gives back what a request took that did not run anywhere.
    pub fn refund(&mut self, workspace: &WorkspaceName, tokens: Option<u32>) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            let cost = cost_of(&bucket.cap, tokens);
            bucket.refund(f64::from(cost));
            bucket.count.refunded += u64::from(cost);
            self.changed = true;
        }
    }

    /// Takes what a peer admitted since its last report. The first report of an incarnation that
    /// was running before this host heard of it only sets the mark, and so does the first one
    /// after a silence: what a silent peer admits comes out of the share that was left to it.
    pub fn apply_peer_usage(
        &mut self,
        peer: HostAddress,
        incarnation: Incarnation,
        reports: &[UsageReport],
        was_silent: bool,
        now: Instant,
    ) {
        // From here on the peers tell what the hubs told before.
        self.relayed.clear();
        let known = self.peers.contains_key(&peer);
        let usage = self.peers.entry(peer).or_insert_with(|| PeerUsage {
            incarnation,
            counts: FastMap::default(),
        });
        let restarted = usage.incarnation != incarnation;
        if restarted {
            usage.incarnation = incarnation;
            usage.counts.clear();
        }
        let mut used = Vec::new();
        for report in reports {
            let before = usage.counts.insert(report.workspace, report.count);
            // A known peer that reports a workspace for the first time has just begun with it.
            let unknown = if known && !was_silent {
                UsageCount::default()
            } else {
                report.count
            };
            let before = match before {
                Some(before) if !was_silent || restarted => before,
                _ => unknown,
            };
            used.push((report.workspace, report.count.since(before)));
        }
        for (workspace, more) in used {
            self.take(workspace, more, now);
        }
    }

    /// Takes what a hub tells of all other hosts together.
    pub fn apply_hub_usage(
        &mut self,
        hub: HostAddress,
        incarnation: Incarnation,
        reports: &[UsageReport],
        now: Instant,
    ) {
        // While hubs relay, peers are not heard; their next reports only set the mark again.
        self.peers.clear();
        for (workspace, more) in self.relayed.apply_sums(hub, incarnation, reports, now) {
            self.take(workspace, more, now);
        }
    }

    /// Takes what other hosts used.
    fn take(&mut self, workspace: NameHash, more: UsageCount, now: Instant) {
        let name = self.names.get(&workspace);
        if let Some(bucket) = name.and_then(|name| self.buckets.get_mut(name)) {
            bucket.fill(&self.tolerance, self.share, now);
            #[expect(clippy::cast_precision_loss, reason = "tokens of a short time")]
            let [admitted, refunded, refused] =
                [more.admitted, more.refunded, more.refused].map(|units| units as f64);
            bucket.asked += admitted + refused;
            bucket.take(admitted, &self.tolerance, self.share, now);
            bucket.refund(refunded);
        }
    }

    /// Own usage for the peers, if it changed since the last call.
    pub fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    #[must_use]
    pub fn reports(&self) -> Vec<UsageReport> {
        let used = self
            .buckets
            .iter()
            .filter(|(_, bucket)| bucket.count != UsageCount::default());
        used.map(|(name, bucket)| UsageReport {
            workspace: hash_name(name),
            count: bucket.count,
        })
        .collect()
    }
}

fn cost_of(cap: &UsageCap, tokens: Option<u32>) -> u32 {
    match cap.unit {
        UsageUnit::Requests => 1,
        UsageUnit::Tokens => tokens.unwrap_or(cap.default_tokens),
    }
}
