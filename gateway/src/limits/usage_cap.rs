//! Usage caps of workspaces, applied across all hosts.
//!
//! Each host keeps one bucket per workspace. It takes from the bucket what it admits itself and
//! what its peers report. A silent peer may still be serving callers, so its equal share of the
//! rate is left to it: hosts that cannot reach each other do not spend the same allowance twice.
//!
//! A deployment states how far a cap may be exceeded within a window. While nobody waits for an
//! endpoint, callers may use this overshoot too, because refusing them would protect no one. A
//! sliding sum records the usage beyond the cap, and a margin is kept for usage that other hosts
//! have not reported yet.

use std::rc::Rc;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use super::fair_share::WorkspaceDemand;
use super::relayed_usage::RelayedUsage;
use super::usage_window::UsageWindow;
use crate::catalog::{UsageCap, UsageUnit, WorkspaceEntry};
use crate::ids::{FastMap, HostAddress, Incarnation, NameHash, WorkspaceName, hash_name};

/// Maximum retry delay for callers over their cap.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(3);
/// Minimum retry delay for callers over their cap.
const MIN_RETRY_AFTER: Duration = Duration::from_secs(1);

/// Amount by which caps may be exceeded, over all hosts.
#[derive(Clone, Copy, Debug)]
pub struct CapTolerance {
    /// Time window in which usage is counted.
    pub window: Duration,
    /// Overshoot as a share of the units that the cap grants in one window.
    pub overshoot_ratio: f64,
    /// Additional overshoot in one window, in units.
    pub overshoot_units: f64,
}

impl CapTolerance {
    /// Returns the units that may be used beyond a cap within one window.
    fn max_overshoot(&self, cap: &UsageCap) -> f64 {
        let cap_units = cap.rate_per_s * self.window.as_secs_f64() + cap.burst;
        cap_units * self.overshoot_ratio + self.overshoot_units
    }
}

/// Time for which usage of other hosts may be unknown: until a network partition or the silence of
/// a hub is detected.
const MAX_REPORT_DELAY: Duration = Duration::from_millis(700);
/// Minimum share of the overshoot that is kept as a margin for unknown usage.
const MIN_MARGIN_SHARE: f64 = 0.1;
/// Time constant with which recent demand decays.
const DEMAND_DECAY_TIME: Duration = Duration::from_secs(2);
/// Share of the overshoot that a host presumes used when it starts. With the rest, a restart of all
/// hosts grants hardly more than twice the whole overshoot in one window.
const PRESUMED_USED_SHARE: f64 = 0.75;

/// Usage of a cap by one or more hosts since their start. All counts only increase, so a late or
/// repeated report changes nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageCount {
    pub admitted: u64,
    /// Part of `admitted` that was refunded because it did not run anywhere.
    pub refunded: u64,
    /// Units that were requested but not admitted.
    pub refused: u64,
}

impl UsageCount {
    /// Returns the increase since an earlier count; zero if this one is the earlier.
    #[must_use]
    pub fn since(self, earlier: Self) -> Self {
        Self {
            admitted: self.admitted.saturating_sub(earlier.admitted),
            refunded: self.refunded.saturating_sub(earlier.refunded),
            refused: self.refused.saturating_sub(earlier.refused),
        }
    }

    #[must_use]
    pub fn plus(self, other: Self) -> Self {
        Self {
            admitted: self.admitted.saturating_add(other.admitted),
            refunded: self.refunded.saturating_add(other.refunded),
            refused: self.refused.saturating_add(other.refused),
        }
    }

    /// Returns the larger value of each field.
    #[must_use]
    pub fn max_with(self, other: Self) -> Self {
        Self {
            admitted: self.admitted.max(other.admitted),
            refunded: self.refunded.max(other.refunded),
            refused: self.refused.max(other.refused),
        }
    }
}

/// Usage of one workspace by one host since its start.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageReport {
    pub workspace: NameHash,
    pub count: UsageCount,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageVerdict {
    Admitted,
    /// The workspace is over its cap; `level` units are left, or owed if negative.
    Refused {
        retry_after: Duration,
        level: i64,
    },
}

#[derive(Debug)]
struct CapBucket {
    cap: UsageCap,
    level: f64,
    /// Known usage of all hosts beyond the cap.
    overshoot: UsageWindow,
    /// Approximate units that callers of all hosts requested within `DEMAND_DECAY_TIME` before
    /// `refilled`. While hosts do not learn of each other's usage, they may admit all of their
    /// demand.
    recent_demand: f64,
    /// Approximate units within the cap that hosts admitted in the same time.
    recent_admitted: f64,
    /// Part of them that did not run.
    recent_refunded: f64,
    refilled: Instant,
    /// Usage by this host since its start.
    count: UsageCount,
}

impl CapBucket {
    /// Creates an empty bucket and presumes most of the overshoot used, so that a restart of all
    /// hosts grants nothing twice.
    fn new(cap: UsageCap, tolerance: &CapTolerance, now: Instant) -> Self {
        let mut overshoot = UsageWindow::default();
        overshoot.add(PRESUMED_USED_SHARE * tolerance.max_overshoot(&cap), now);
        Self {
            cap,
            level: 0.0,
            overshoot,
            recent_demand: 0.0,
            recent_admitted: 0.0,
            recent_refunded: 0.0,
            refilled: now,
            count: UsageCount::default(),
        }
    }

    fn refill(&mut self, tolerance: &CapTolerance, share: f64, now: Instant) {
        let elapsed = now.duration_since(self.refilled).as_secs_f64();
        let level = self.level + elapsed * share * self.cap.rate_per_s;
        self.level = level.min(self.cap.burst * share);
        let decay = (-elapsed / DEMAND_DECAY_TIME.as_secs_f64()).exp();
        self.recent_demand *= decay;
        self.recent_admitted *= decay;
        self.recent_refunded *= decay;
        self.refilled = now;
        self.move_debt_to_overshoot(tolerance, share, now);
    }

    /// Takes units from the cap, and those that exceed it from the overshoot.
    fn consume(&mut self, units: f64, tolerance: &CapTolerance, share: f64, now: Instant) {
        self.level -= units;
        self.recent_admitted += units;
        self.move_debt_to_overshoot(tolerance, share, now);
    }

    /// Returns units to the bucket that were admitted but did not run.
    fn refund(&mut self, units: f64) {
        self.recent_refunded += units;
        self.level = (self.level + units).min(self.cap.burst);
    }

    /// Records a debt as overshoot, up to the allowed amount. If many hosts admit requests at once,
    /// before they learn of each other's usage, their debt exceeds that amount.
    fn move_debt_to_overshoot(&mut self, tolerance: &CapTolerance, share: f64, now: Instant) {
        if self.level < 0.0 {
            let left = self.overshoot_headroom(tolerance, share, now).max(0.0);
            let moved = left.min(-self.level);
            if moved > 0.0 {
                self.overshoot.add(moved, now);
                self.level += moved;
            }
        }
    }

    /// Returns the units beyond the cap that may still be used by this host and the peers that it
    /// can reach.
    fn overshoot_headroom(&mut self, tolerance: &CapTolerance, share: f64, now: Instant) -> f64 {
        let max_overshoot = tolerance.max_overshoot(&self.cap) * share;
        let unreported =
            self.recent_demand / DEMAND_DECAY_TIME.as_secs_f64() * MAX_REPORT_DELAY.as_secs_f64();
        let margin = unreported.max(MIN_MARGIN_SHARE * max_overshoot);
        max_overshoot - margin - self.overshoot.sum(tolerance.window, now)
    }
}

#[derive(Debug)]
struct PeerUsage {
    incarnation: Incarnation,
    counts: FastMap<NameHash, UsageCount>,
}

/// Buckets of all workspaces that have a cap.
#[derive(Debug)]
pub struct UsageCaps {
    tolerance: CapTolerance,
    buckets: FastMap<WorkspaceName, CapBucket>,
    /// Names of the workspaces in `buckets`, by hash.
    names: FastMap<NameHash, WorkspaceName>,
    peers: FastMap<HostAddress, PeerUsage>,
    relayed: RelayedUsage,
    /// Share of each rate that is not left to unreachable peers.
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

    /// Applies the caps of a new configuration. Levels stay; a new bucket starts empty, so that a
    /// restart of all hosts grants no second burst.
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
            // A workspace occurs once for each of its keys.
            if self.buckets.contains_key(&name) {
                continue;
            }
            self.names.insert(hash_name(&name), name.clone());
            let previous = previous.remove(&name);
            let mut bucket = previous.unwrap_or_else(|| CapBucket::new(cap, &self.tolerance, now));
            bucket.refill(&self.tolerance, self.share, now);
            bucket.cap = cap;
            bucket.level = bucket.level.min(cap.burst);
            self.buckets.insert(name, bucket);
        }
    }

    /// Applies a changed tolerance.
    pub fn apply_tolerance(&mut self, tolerance: CapTolerance) {
        self.tolerance = tolerance;
    }

    /// Sets the share of each rate that this host and its reachable peers may use.
    pub fn set_unreachable_hosts(&mut self, hosts: usize, unreachable: usize, now: Instant) {
        #[expect(clippy::cast_precision_loss, reason = "at most some hundred hosts")]
        let share = 1.0 - unreachable as f64 / hosts.max(1) as f64;
        // The levels are scaled down too, because each side of a partition holds the same level.
        let kept_share = (share / self.share).min(1.0);
        for bucket in self.buckets.values_mut() {
            bucket.refill(&self.tolerance, self.share, now);
            if bucket.level > 0.0 {
                bucket.level *= kept_share;
            }
            // Unreachable hosts may have used the share that was left to them.
            let regained_share = (share - self.share).max(0.0);
            if regained_share > 0.0 {
                let presumed = regained_share * self.tolerance.max_overshoot(&bucket.cap);
                bucket.overshoot.add(presumed, now);
            }
        }
        self.share = share;
    }

    /// Admits or refuses a request. A bucket above zero admits a request of any size, and the debt
    /// must be paid off before the next one. `idle` is set if no request waits for an endpoint.
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
        bucket.refill(&tolerance, share, now);
        let cost = request_cost(&bucket.cap, tokens);
        let (units, cost) = (u64::from(cost), f64::from(cost));
        bucket.recent_demand += cost;
        self.changed = true;
        let is_within_cap = bucket.level > 0.0;
        let headroom = bucket.overshoot_headroom(&tolerance, share, now);
        if !(is_within_cap || idle && headroom >= cost) {
            let rate = (bucket.cap.rate_per_s * share).max(1.0);
            let wait = Duration::from_secs_f64(((cost - bucket.level) / rate).clamp(0.0, 60.0));
            let retry_after = wait.clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER);
            #[expect(clippy::cast_possible_truncation, reason = "for the log")]
            let level = bucket.level as i64;
            bucket.count.refused += units;
            return UsageVerdict::Refused { retry_after, level };
        }
        bucket.consume(cost, &tolerance, share, now);
        bucket.count.admitted += units;
        UsageVerdict::Admitted
    }

    /// Refunds the units of a request that did not run anywhere.
    pub fn refund(&mut self, workspace: &WorkspaceName, tokens: Option<u32>) {
        if let Some(bucket) = self.buckets.get_mut(workspace) {
            let cost = request_cost(&bucket.cap, tokens);
            bucket.refund(f64::from(cost));
            bucket.count.refunded += u64::from(cost);
            self.changed = true;
        }
    }

    /// Applies what a peer admitted since its last report. The first report of an incarnation that
    /// was running before this host discovered it only sets the baseline, and so does the first
    /// report after a silence: a silent peer admits requests from the share that was left to it.
    pub fn apply_peer_usage(
        &mut self,
        peer: HostAddress,
        incarnation: Incarnation,
        reports: &[UsageReport],
        was_unreachable: bool,
        now: Instant,
    ) {
        // From now on, the peers report what the hubs reported before.
        self.relayed.clear();
        let is_known = self.peers.contains_key(&peer);
        let usage = self.peers.entry(peer).or_insert_with(|| PeerUsage {
            incarnation,
            counts: FastMap::default(),
        });
        let restarted = usage.incarnation != incarnation;
        if restarted {
            usage.incarnation = incarnation;
            usage.counts.clear();
        }
        let mut increments = Vec::new();
        for report in reports {
            let previous = usage.counts.insert(report.workspace, report.count);
            // If a known peer reports a workspace for the first time, its usage has just begun.
            let baseline = if is_known && !was_unreachable {
                UsageCount::default()
            } else {
                report.count
            };
            let earlier = match previous {
                Some(previous) if !was_unreachable || restarted => previous,
                _ => baseline,
            };
            increments.push((report.workspace, report.count.since(earlier)));
        }
        for (workspace, increment) in increments {
            self.apply_usage(workspace, increment, now);
        }
    }

    /// Applies a hub's report on the usage of all other hosts together.
    pub fn apply_hub_usage(
        &mut self,
        hub: HostAddress,
        incarnation: Incarnation,
        reports: &[UsageReport],
        now: Instant,
    ) {
        // While hubs relay, peers send no reports; their next reports only set the baseline again.
        self.peers.clear();
        for (workspace, increment) in self.relayed.apply_sums(hub, incarnation, reports, now) {
            self.apply_usage(workspace, increment, now);
        }
    }

    /// Applies the usage of other hosts to a workspace's bucket.
    fn apply_usage(&mut self, workspace: NameHash, increment: UsageCount, now: Instant) {
        let name = self.names.get(&workspace);
        if let Some(bucket) = name.and_then(|name| self.buckets.get_mut(name)) {
            bucket.refill(&self.tolerance, self.share, now);
            #[expect(clippy::cast_precision_loss, reason = "tokens of a short time")]
            let [admitted, refunded, refused] =
                [increment.admitted, increment.refunded, increment.refused]
                    .map(|units| units as f64);
            bucket.recent_demand += admitted + refused;
            bucket.consume(admitted, &self.tolerance, self.share, now);
            bucket.refund(refunded);
        }
    }

    /// Returns the recent usage of all hosts by workspace, except for its tier.
    pub fn recent_demands(&mut self, now: Instant) -> Vec<WorkspaceDemand> {
        let (tolerance, share) = (self.tolerance, self.share);
        let buckets = self.buckets.iter_mut();
        buckets
            .map(|(name, bucket)| {
                bucket.refill(&tolerance, share, now);
                WorkspaceDemand {
                    workspace: hash_name(name),
                    tier: None,
                    weight: bucket.cap.rate_per_s,
                    asked: bucket.recent_admitted,
                    served: (bucket.recent_admitted - bucket.recent_refunded).max(0.0),
                }
            })
            .collect()
    }

    /// Returns whether this host's usage changed since the last call.
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

fn request_cost(cap: &UsageCap, tokens: Option<u32>) -> u32 {
    match cap.unit {
        UsageUnit::Requests => 1,
        UsageUnit::Tokens => tokens.unwrap_or(cap.default_tokens),
    }
}
