//! State machine of the rollouts of all services on one host.

use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use rollout_judge::{
    RateCount, RolloutSettings, RolloutSide, RouteTable, RunFinding, RunObservation,
};

use super::counts::{PaceDecay, RolloutReport, RunTime, SideCounts};
use super::endpoint_speed::is_slower_at_all_quantiles;
use super::plan::{self, ExposureBound, RolloutPhase};
use super::run::VersionRun;
use crate::ids::{FastMap, HostAddress, ServiceName, VersionName, hash_name};

/// Minimum number of good runs, across all hosts, before a version is promoted. A version that
/// fails in 37% of its runs passes ten of them with a probability of 1%.
const MIN_GOOD_RUNS: u32 = 10;
/// A host that did not run for longer than this was suspended. After resuming, it only receives
/// reports for the same time before it records anything. Hosts report a verdict to each other
/// within half of this time.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Probability that one test on one host finds a good version bad. Many hosts test each route, so
/// it is a tenth of the default in [`RolloutSettings`]. The counts of all hosts together are tested
/// separately.
const FALSE_ALARM_PROBABILITY: f64 = 0.0001;
/// A run of the new version is slow while the share rises if its time exceeds the old version's
/// usual time by this factor. Load shifts between the versions in these seconds, so a smaller factor
/// would find good versions slow.
const SLOW_FACTOR_WHILE_RISING: f64 = 2.5;
/// Half-life of recent paces, as a fraction of the time limit: a fraction of the time for which the
/// version receives all requests before it is completed.
const RECENT_FRACTION: f64 = 0.015;

/// State of a rollout as operators see it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusKind {
    InProgress,
    Completed,
    RolledBack,
}

/// Status of a rollout, to be recorded in the store.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    pub service: ServiceName,
    pub target: VersionName,
    pub order: u64,
    pub kind: StatusKind,
    pub elapsed: Duration,
    /// Why the rollout was rolled back.
    pub reason: Option<CompactString>,
}

/// Share of a service's requests that its new version receives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionShare {
    pub service: ServiceName,
    pub version: VersionName,
    /// In thousandths; `None` once the rollout is completed and any version may be used.
    pub permille: Option<u16>,
}

#[derive(Debug)]
struct ServiceRollout {
    order: u64,
    target: VersionName,
    time_limit: Duration,
    started: Instant,
    phase: RolloutPhase,
    /// Whether the store holds the final status.
    is_recorded: bool,
    reason: Option<CompactString>,
    routes: RouteTable,
    old_failures: RateCount,
    own_counts: SideCounts,
    old_recent: PaceDecay,
    new_recent: PaceDecay,
    peer_counts: FastMap<HostAddress, SideCounts>,
    /// Counts of peers that have restarted since, or that have begun to count anew.
    ended_counts: SideCounts,
    /// Share that was last returned to the scheduler.
    last_share: Option<VersionShare>,
}

impl ServiceRollout {
    fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    fn side_of(&self, version: &VersionName) -> RolloutSide {
        if *version == self.target {
            RolloutSide::New
        } else {
            RolloutSide::Old
        }
    }

    /// Returns the counts of this host.
    fn own_counts(&self, now: Instant) -> SideCounts {
        let mut counts = self.own_counts;
        counts.old.recent = self.old_recent.sums(now);
        counts.new.recent = self.new_recent.sums(now);
        counts
    }

    /// Returns the counts of all hosts.
    fn counts(&self, now: Instant) -> SideCounts {
        let mut counts = self.own_counts(now);
        counts.add(&self.ended_counts);
        for peer_counts in self.peer_counts.values() {
            counts.add(peer_counts);
        }
        counts
    }

    fn roll_back(&mut self, reason: CompactString) {
        if self.phase < RolloutPhase::RolledBack {
            self.phase = RolloutPhase::RolledBack;
            self.reason = Some(reason);
        }
    }

    fn kind(&self, now: Instant) -> StatusKind {
        match self.phase {
            RolloutPhase::Promoting if plan::is_complete(self.elapsed(now), self.time_limit) => {
                StatusKind::Completed
            }
            RolloutPhase::Unknown | RolloutPhase::Testing | RolloutPhase::Promoting => {
                StatusKind::InProgress
            }
            RolloutPhase::RolledBack => StatusKind::RolledBack,
            RolloutPhase::Completed => StatusKind::Completed,
        }
    }

    /// Updates the phase for the current time and the counts of all hosts. Every host rolls a
    /// version back on its own, but only the host that records statuses promotes one.
    fn advance(
        &mut self,
        counts: &SideCounts,
        is_recorder: bool,
        settings: &RolloutSettings,
        now: Instant,
    ) {
        let elapsed = self.elapsed(now);
        if counts.is_bad() {
            self.roll_back("it is worse than the old version over all hosts".into());
        }
        let is_open = matches!(self.phase, RolloutPhase::Testing | RolloutPhase::Promoting);
        if is_open && plan::is_overdue(elapsed, self.time_limit) {
            self.roll_back("it was not completed in time".into());
        }
        let is_tested =
            counts.new_good_runs() >= MIN_GOOD_RUNS && !self.routes.is_doubtful(settings);
        if is_recorder
            && self.phase == RolloutPhase::Testing
            && plan::may_promote(elapsed, self.time_limit)
            && is_tested
        {
            self.phase = RolloutPhase::Promoting;
        }
    }
}

/// Compares versions during rollouts and decides what share of the requests the new ones receive.
///
/// Every host enforces the share and rolls a bad version back on its own. It reports its phases and
/// counts to the other hosts with its heartbeats. One host records statuses in the store, and a
/// rollout is completed when the store has recorded its completion.
#[derive(Debug)]
pub struct RolloutController {
    settings: RolloutSettings,
    /// The same settings with `SLOW_FACTOR_WHILE_RISING`.
    rise_settings: RolloutSettings,
    exposure_bound: ExposureBound,
    rollouts: FastMap<ServiceName, ServiceRollout>,
    last_advanced: Option<Instant>,
    /// Until then, this host receives the reports that it missed while suspended, and records
    /// nothing.
    catch_up_until: Option<Instant>,
}

impl RolloutController {
    #[must_use]
    pub fn new(exposure_bound: ExposureBound) -> Self {
        let settings = RolloutSettings {
            false_alarm: FALSE_ALARM_PROBABILITY,
            ..RolloutSettings::default()
        };
        Self {
            rise_settings: RolloutSettings {
                slow_factor: SLOW_FACTOR_WHILE_RISING,
                ..settings.clone()
            },
            settings,
            exposure_bound,
            rollouts: FastMap::default(),
            last_advanced: None,
            catch_up_until: None,
        }
    }

    /// Returns whether this host has not seen any rollout order.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rollouts.is_empty()
    }

    /// Applies a rollout order. The new version receives no requests until the store confirms that
    /// the order is open.
    pub fn apply_order(
        &mut self,
        service: ServiceName,
        target: VersionName,
        time_limit: Duration,
        order: u64,
        now: Instant,
    ) {
        let existing = self.rollouts.get(&service);
        if existing.is_some_and(|existing| existing.order >= order) {
            return;
        }
        let half_life = time_limit.mul_f64(RECENT_FRACTION);
        let rollout = ServiceRollout {
            order,
            target,
            time_limit,
            started: now,
            phase: RolloutPhase::Unknown,
            is_recorded: false,
            reason: None,
            routes: RouteTable::default(),
            old_failures: RateCount::default(),
            own_counts: SideCounts::default(),
            old_recent: PaceDecay::new(half_life, now),
            new_recent: PaceDecay::new(half_life, now),
            peer_counts: FastMap::default(),
            ended_counts: SideCounts::default(),
            last_share: None,
        };
        self.rollouts.insert(service, rollout);
    }

    /// Gives the order of a service another number, because the store had lost the order and its
    /// status. The status has to be recorded again.
    pub fn renumber_order(&mut self, service: &ServiceName, order: u64) {
        if let Some(rollout) = self.rollouts.get_mut(service)
            && rollout.order < order
        {
            rollout.order = order;
            rollout.is_recorded = false;
        }
    }

    /// Rolls a service's rollout back, unless it is completed, because its order was withdrawn.
    pub fn withdraw_order(&mut self, service: &ServiceName) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.roll_back("the order was withdrawn".into());
            // The status of a withdrawn order is no longer needed.
            rollout.is_recorded = true;
        }
    }

    /// Applies the status that the store holds for an order; `None` if it holds none.
    pub fn apply_stored_status(
        &mut self,
        service: &ServiceName,
        order: u64,
        status: Option<(StatusKind, Duration)>,
        now: Instant,
    ) {
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return;
        };
        if rollout.order != order {
            return;
        }
        if let Some((_, elapsed)) = status
            && rollout.phase == RolloutPhase::Unknown
        {
            let elapsed = elapsed.min(rollout.time_limit);
            let started = now.checked_sub(elapsed).unwrap_or(now);
            rollout.started = rollout.started.min(started);
        }
        match status.map(|(kind, _)| kind) {
            None | Some(StatusKind::InProgress) => {
                rollout.phase = rollout.phase.max(RolloutPhase::Testing);
            }
            Some(StatusKind::RolledBack) => {
                rollout.roll_back("the store says so".into());
                rollout.is_recorded = true;
            }
            Some(StatusKind::Completed) => {
                rollout.phase = RolloutPhase::Completed;
                rollout.is_recorded = true;
            }
        }
    }

    /// Rolls back versions whose endpoints are slower than those of the old version.
    ///
    /// `gaps_of` returns, for each endpoint of a service, its version and the shortest time between
    /// two events, if known.
    pub fn roll_back_slower_versions(
        &mut self,
        gaps_of: impl Fn(&ServiceName) -> Vec<(VersionName, Option<f64>)>,
    ) {
        for (service, rollout) in &mut self.rollouts {
            if rollout.phase >= RolloutPhase::RolledBack {
                continue;
            }
            let (mut old, mut new) = (Vec::new(), Vec::new());
            for (version, gap) in gaps_of(service) {
                let side = if version == rollout.target {
                    &mut new
                } else {
                    &mut old
                };
                side.push(gap);
            }
            if is_slower_at_all_quantiles(&old, &new) {
                rollout.roll_back("its endpoints are slower than those of the old version".into());
            }
        }
    }

    /// Records a request that this host sends to a version.
    pub fn record_dispatch(&mut self, service: &ServiceName, version: &VersionName) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            let side = rollout.side_of(version);
            let counts = rollout.own_counts.side_mut(side);
            counts.dispatched = counts.dispatched.saturating_add(1);
        }
    }

    /// Records the pace at which an endpoint began an answer: the time for one unit of work, which
    /// is known long before a stream ends.
    pub fn record_initial_pace(
        &mut self,
        service: &ServiceName,
        version: &VersionName,
        pace_ms: f64,
        now: Instant,
    ) {
        let Some(rollout) = self.rollouts.get_mut(service) else {
            return;
        };
        let side = rollout.side_of(version);
        let recent = match side {
            RolloutSide::Old => &mut rollout.old_recent,
            RolloutSide::New => &mut rollout.new_recent,
        };
        recent.record(pace_ms, now);
        // While the share rises, the old version has less and less load, so its paces are no
        // baseline for a version with all of it.
        if side == RolloutSide::New || rollout.phase <= RolloutPhase::Testing {
            rollout.own_counts.side_mut(side).initial.record(pace_ms);
        }
    }

    /// Records a run that this host dispatched.
    pub fn record_run(&mut self, run: &VersionRun) {
        let Some(rollout) = self.rollouts.get_mut(&run.service) else {
            return;
        };
        let side = rollout.side_of(&run.version);
        let is_rising = rollout.phase > RolloutPhase::Testing;
        let settings = if is_rising {
            &self.rise_settings
        } else {
            &self.settings
        };
        let pace_ms = run.pace_ms();
        let observation = RunObservation {
            side,
            endpoint: run.endpoint.clone(),
            route: run.route.clone(),
            high_load: false,
            failed: run.failed,
            work_time_ratio: pace_ms,
        };
        let entry = rollout.routes.entry(&run.route);
        // An abandoned run would have taken at least this long. If that is below the usual time,
        // it doesn't show whether the run was slow.
        let seems_slow = entry.is_slow(&observation, settings)
            || rollout.own_counts.old.is_slower_than_mean(pace_ms);
        if run.unfinished && !seems_slow {
            return;
        }
        let has_baseline = entry.is_measured(&observation);
        if side == RolloutSide::Old {
            rollout.old_failures.add(run.failed);
            if is_rising {
                // The baselines stay as they were with the old version under full load.
                entry.observe_old_failure(run.failed);
                let time = RunTime::default();
                rollout.own_counts.old.record(run.failed, &time);
                return;
            }
            let poor = entry.observe_old(&observation, settings);
            // Slow runs are relative to the slowest endpoint, so the others would make the old
            // version's rate too low for a new version that runs on hardware like that endpoint's.
            let is_comparable = has_baseline && entry.is_slowest(&observation);
            let time = RunTime {
                slow: is_comparable.then_some(poor),
                pace_ms: Some(pace_ms),
            };
            rollout.own_counts.old.record(run.failed, &time);
            return;
        }
        // The tests of single hosts expect the same load on both versions.
        let compares_times = !is_rising;
        let failures = rollout.old_failures;
        let is_slow = entry.is_slow(&observation, settings);
        let finding = entry.observe_new(&observation, failures, compares_times, settings);
        let poor = is_slow || !matches!(finding, RunFinding::Good);
        let time = RunTime {
            slow: has_baseline.then_some(poor),
            pace_ms: compares_times.then_some(pace_ms),
        };
        rollout.own_counts.new.record(run.failed, &time);
        if let RunFinding::Bad(reason) = finding {
            rollout.roll_back(format_compact!("route {}: {reason}", run.route));
        }
    }

    /// Applies the reports of a peer. The reports of a hub cover all other hosts.
    pub fn apply_peer_reports(
        &mut self,
        peer: HostAddress,
        reports: &[RolloutReport],
        now: Instant,
    ) {
        for (service, rollout) in &mut self.rollouts {
            let hash = hash_name(service);
            let report = reports
                .iter()
                .find(|report| report.service == hash && report.order == rollout.order);
            let Some(report) = report else { continue };
            let previous = rollout.peer_counts.insert(peer, report.counts);
            // The sums of a hub also fall when one of its hosts is silent, and rise again later.
            let is_host = !peer.is_unspecified();
            if let Some(previous) = previous.filter(|previous| report.counts.is_before(previous))
                && is_host
            {
                rollout.ended_counts.add(&previous.ended());
            }
            let elapsed = Duration::from_millis(report.elapsed_ms.into());
            if let Some(started) = now.checked_sub(elapsed) {
                rollout.started = rollout.started.min(started);
            }
            if report.phase > rollout.phase {
                rollout.phase = report.phase;
            }
        }
    }

    /// Removes the counts of one peer, before the reports of other peers cover the same runs.
    pub fn remove_peer(&mut self, peer: HostAddress) {
        for rollout in self.rollouts.values_mut() {
            rollout.peer_counts.remove(&peer);
        }
    }

    /// Removes the counts of all peers, before the reports of a hub cover the same runs.
    pub fn clear_peers(&mut self) {
        for rollout in self.rollouts.values_mut() {
            rollout.peer_counts.clear();
        }
    }

    /// Returns the reports for the peers, which cover only this host.
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<RolloutReport> {
        let reports = self
            .rollouts
            .iter()
            .map(|(service, rollout)| RolloutReport {
                service: hash_name(service),
                order: rollout.order,
                phase: rollout.phase,
                elapsed_ms: u32::try_from(rollout.elapsed(now).as_millis()).unwrap_or(u32::MAX),
                counts: rollout.own_counts(now),
            });
        reports.collect()
    }

    /// Advances all rollouts to the current time and returns the shares that changed.
    ///
    /// `is_recorder` is whether this host records statuses in the store.
    pub fn advance(&mut self, is_recorder: bool, now: Instant) -> Vec<VersionShare> {
        let was_suspended = self
            .last_advanced
            .is_some_and(|before| now.saturating_duration_since(before) > MAX_PAUSE);
        if was_suspended {
            self.catch_up_until = Some(now + MAX_PAUSE);
        }
        self.last_advanced = Some(now);
        let is_recorder = is_recorder && !self.is_catching_up(now);
        let mut changed_shares = Vec::new();
        for (service, rollout) in &mut self.rollouts {
            let counts = rollout.counts(now);
            rollout.advance(&counts, is_recorder, &self.settings, now);
            let elapsed = rollout.elapsed(now);
            let dispatches = counts.dispatches();
            let (phase, time_limit) = (rollout.phase, rollout.time_limit);
            let permille =
                plan::share_permille(phase, elapsed, time_limit, &self.exposure_bound, dispatches);
            let share = VersionShare {
                service: service.clone(),
                version: rollout.target.clone(),
                permille,
            };
            if rollout.last_share.as_ref() != Some(&share) {
                rollout.last_share = Some(share.clone());
                changed_shares.push(share);
            }
        }
        changed_shares
    }

    /// Returns the statuses that the store may not hold yet: those of open orders and of orders
    /// that this host decided.
    #[must_use]
    pub fn statuses(&self, now: Instant) -> Vec<RolloutStatus> {
        if self.is_catching_up(now) {
            return Vec::new();
        }
        let unrecorded = self
            .rollouts
            .iter()
            .filter(|(_, rollout)| !rollout.is_recorded);
        let statuses = unrecorded.map(|(service, rollout)| RolloutStatus {
            service: service.clone(),
            target: rollout.target.clone(),
            order: rollout.order,
            kind: rollout.kind(now),
            elapsed: rollout.elapsed(now),
            reason: rollout.reason.clone(),
        });
        statuses.collect()
    }

    fn is_catching_up(&self, now: Instant) -> bool {
        self.catch_up_until.is_some_and(|until| now < until)
    }

    /// Returns whether this host must read the status of an order from the store.
    #[must_use]
    pub fn has_unknown_phase(&self) -> bool {
        let mut rollouts = self.rollouts.values();
        rollouts.any(|rollout| rollout.phase == RolloutPhase::Unknown)
    }
}
