//! The rollouts of all services, as one host sees them.

use std::time::{Duration, Instant};

use compact_str::{CompactString, format_compact};
use rollout_judge::{
    RateCount, RolloutSettings, RolloutSide, RouteTable, RunFinding, RunObservation,
};

use super::counts::{RolloutReport, RunTime, SideCounts};
use super::endpoint_speed::is_slower_on_all;
use super::plan::{self, ExposureBound, RolloutPhase};
use super::run::VersionRun;
use crate::ids::{FastMap, HostAddress, ServiceName, VersionName, hash_name};

/// Good runs without which a version is not moved to, over all hosts. A version that fails in 37%
/// of its runs passes ten of them with a probability of 1%.
const LEAST_GOOD: u32 = 10;
/// A host that did nothing for longer was frozen, and first hears the others for as long. Hosts
/// tell each other of a verdict within half of it.
const STANDSTILL: Duration = Duration::from_secs(1);
/// Probability that one test of one host calls a good version bad. Many hosts test each route, so
/// it is a tenth of what one pool owner allows itself; what they see together is tested beside it.
const FALSE_ALARM: f64 = 0.0001;

/// What operators read of a rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StatusKind {
    InProgress,
    Completed,
    RolledBack,
}

/// A status that the store should hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutStatus {
    pub service: ServiceName,
    pub target: VersionName,
    pub order: u64,
    pub kind: StatusKind,
    pub elapsed: Duration,
    /// Why it was taken back.
    pub reason: Option<CompactString>,
}

/// Part of a service's requests that its new version gets.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionShare {
    pub service: ServiceName,
    pub version: VersionName,
    /// In thousandths; `None` once the rollout is done and any version may be used.
    pub permille: Option<u16>,
}

#[derive(Debug)]
struct ServiceRollout {
    order: u64,
    target: VersionName,
    within: Duration,
    started: Instant,
    phase: RolloutPhase,
    /// The store has the final status.
    recorded: bool,
    reason: Option<CompactString>,
    routes: RouteTable,
    old_failures: RateCount,
    own: SideCounts,
    peers: FastMap<HostAddress, SideCounts>,
    /// The share that the scheduler was told last.
    announced: Option<VersionShare>,
}

impl ServiceRollout {
    fn elapsed(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.started)
    }

    fn counts(&self) -> SideCounts {
        let mut counts = self.own;
        for peer in self.peers.values() {
            counts.add(peer);
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
            RolloutPhase::Promoting if plan::is_complete(self.elapsed(now), self.within) => {
                StatusKind::Completed
            }
            RolloutPhase::Unknown | RolloutPhase::Testing | RolloutPhase::Promoting => {
                StatusKind::InProgress
            }
            RolloutPhase::RolledBack => StatusKind::RolledBack,
            RolloutPhase::Completed => StatusKind::Completed,
        }
    }

    /// Moves on with time. Only the host that records statuses lets a version move on; every host
    /// takes one back.
    fn advance(&mut self, records: bool, settings: &RolloutSettings, now: Instant) {
        let elapsed = self.elapsed(now);
        if self.counts().is_bad() {
            self.roll_back("it is worse than the old version over all hosts".into());
        }
        let open = matches!(self.phase, RolloutPhase::Testing | RolloutPhase::Promoting);
        if open && plan::is_late(elapsed, self.within) {
            self.roll_back("it was not completed in time".into());
        }
        let tested = self.counts().new_good() >= LEAST_GOOD && !self.routes.is_doubtful(settings);
        if records
            && self.phase == RolloutPhase::Testing
            && plan::may_move(elapsed, self.within)
            && tested
        {
            self.phase = RolloutPhase::Promoting;
        }
    }
}

/// Judges versions and says which part of the requests they get.
///
/// Every host keeps the share and takes a bad version back by itself; its word and its counts go
/// to the others with the beats. One host records statuses in the store, and a rollout is done
/// when the store has recorded that.
#[derive(Debug)]
pub struct RolloutController {
    settings: RolloutSettings,
    bound: ExposureBound,
    rollouts: FastMap<ServiceName, ServiceRollout>,
    advanced: Option<Instant>,
    /// Until then this host hears what happened while it stood still, and records nothing.
    quiet_until: Option<Instant>,
}

impl RolloutController {
    #[must_use]
    pub fn new(bound: ExposureBound) -> Self {
        Self {
            settings: RolloutSettings {
                false_alarm: FALSE_ALARM,
                ..RolloutSettings::default()
            },
            bound,
            rollouts: FastMap::default(),
            advanced: None,
            quiet_until: None,
        }
    }

    /// Whether no order was ever seen.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.rollouts.is_empty()
    }

    /// Takes an order. The version gets nothing until it is known that the order is open.
    pub fn apply_order(
        &mut self,
        service: ServiceName,
        target: VersionName,
        within: Duration,
        order: u64,
        now: Instant,
    ) {
        let known = self.rollouts.get(&service);
        if known.is_some_and(|known| known.order >= order) {
            return;
        }
        let rollout = ServiceRollout {
            order,
            target,
            within,
            started: now,
            phase: RolloutPhase::Unknown,
            recorded: false,
            reason: None,
            routes: RouteTable::default(),
            old_failures: RateCount::default(),
            own: SideCounts::default(),
            peers: FastMap::default(),
            announced: None,
        };
        self.rollouts.insert(service, rollout);
    }

    /// The order was withdrawn. What was not completed stays taken back.
    pub fn withdraw_order(&mut self, service: &ServiceName) {
        if let Some(rollout) = self.rollouts.get_mut(service) {
            rollout.roll_back("the order was withdrawn".into());
            // Nobody asks for its status any more.
            rollout.recorded = true;
        }
    }

    /// Takes what the store holds: `status` of an order, or none for it.
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
            let elapsed = elapsed.min(rollout.within);
            let started = now.checked_sub(elapsed).unwrap_or(now);
            rollout.started = rollout.started.min(started);
        }
        match status.map(|(kind, _)| kind) {
            None | Some(StatusKind::InProgress) => {
                rollout.phase = rollout.phase.max(RolloutPhase::Testing);
            }
            Some(StatusKind::RolledBack) => {
                rollout.roll_back("the store says so".into());
                rollout.recorded = true;
            }
            Some(StatusKind::Completed) => {
                rollout.phase = RolloutPhase::Completed;
                rollout.recorded = true;
            }
        }
    }

    /// Takes back open versions whose endpoints are slower than those of the old version.
    ///
    /// `gaps_of`: version and least time between two events of each endpoint of a service, where
    /// known.
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
            if is_slower_on_all(&old, &new) {
                rollout.roll_back("its endpoints are slower than those of the old version".into());
            }
        }
    }

    /// Learns from a run of this host.
    pub fn record_run(&mut self, run: &VersionRun) {
        let Some(rollout) = self.rollouts.get_mut(&run.service) else {
            return;
        };
        let side = if run.version == rollout.target {
            RolloutSide::New
        } else {
            RolloutSide::Old
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
        // What was given up took at least so long; below the usual time that says nothing.
        let says_slow =
            entry.is_slow(&observation, &self.settings) || rollout.own.old.is_above_mean(pace_ms);
        if run.unfinished && !says_slow {
            return;
        }
        let is_timed = entry.is_measured(&observation);
        if side == RolloutSide::Old {
            let poor = entry.observe_old(&observation, &self.settings);
            rollout.old_failures.add(run.failed);
            let time = RunTime {
                slow: is_timed.then_some(poor),
                pace_ms,
            };
            rollout.own.old.note(run.failed, Some(time));
            return;
        }
        // While the share rises, load moves from the old endpoints to the new ones, and times
        // differ for that reason.
        let compares_times = rollout.phase == RolloutPhase::Testing;
        let failures = rollout.old_failures;
        let finding = entry.observe_new(&observation, failures, compares_times, &self.settings);
        let poor = !matches!(finding, RunFinding::Good);
        let time = RunTime {
            slow: is_timed.then_some(poor),
            pace_ms,
        };
        rollout
            .own
            .new
            .note(run.failed, compares_times.then_some(time));
        if let RunFinding::Bad(reason) = finding {
            rollout.roll_back(format_compact!("route {}: {reason}", run.route));
        }
    }

    /// Takes what a peer tells. A hub's lines are about all other hosts.
    pub fn apply_peer_reports(&mut self, peer: HostAddress, lines: &[RolloutReport], now: Instant) {
        for (service, rollout) in &mut self.rollouts {
            let hash = hash_name(service);
            let line = lines
                .iter()
                .find(|line| line.service == hash && line.order == rollout.order);
            let Some(line) = line else { continue };
            rollout.peers.insert(peer, line.counts);
            let elapsed = Duration::from_millis(line.elapsed_ms.into());
            if let Some(started) = now.checked_sub(elapsed) {
                rollout.started = rollout.started.min(started);
            }
            if line.phase > rollout.phase {
                rollout.phase = line.phase;
            }
        }
    }

    /// Forgets what one peer counted, before others speak for it.
    pub fn remove_peer(&mut self, peer: HostAddress) {
        for rollout in self.rollouts.values_mut() {
            rollout.peers.remove(&peer);
        }
    }

    /// Forgets what peers counted, before a hub speaks for them.
    pub fn clear_peers(&mut self) {
        for rollout in self.rollouts.values_mut() {
            rollout.peers.clear();
        }
    }

    /// Lines for the peers, about this host alone.
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<RolloutReport> {
        let lines = self
            .rollouts
            .iter()
            .map(|(service, rollout)| RolloutReport {
                service: hash_name(service),
                order: rollout.order,
                phase: rollout.phase,
                elapsed_ms: u32::try_from(rollout.elapsed(now).as_millis()).unwrap_or(u32::MAX),
                counts: rollout.own,
            });
        lines.collect()
    }

    /// Moves all rollouts on and returns the shares that changed.
    ///
    /// `records`: this host records statuses.
    pub fn advance(&mut self, records: bool, now: Instant) -> Vec<VersionShare> {
        let stood_still = self
            .advanced
            .is_some_and(|before| now.saturating_duration_since(before) > STANDSTILL);
        if stood_still {
            self.quiet_until = Some(now + STANDSTILL);
        }
        self.advanced = Some(now);
        let records = records && !self.is_quiet(now);
        let mut changed = Vec::new();
        for (service, rollout) in &mut self.rollouts {
            rollout.advance(records, &self.settings, now);
            let elapsed = rollout.elapsed(now);
            let new_runs = rollout.counts().new.runs;
            let (phase, within) = (rollout.phase, rollout.within);
            let permille = plan::share_permille(phase, elapsed, within, &self.bound, new_runs);
            let share = VersionShare {
                service: service.clone(),
                version: rollout.target.clone(),
                permille,
            };
            if rollout.announced.as_ref() != Some(&share) {
                rollout.announced = Some(share.clone());
                changed.push(share);
            }
        }
        changed
    }

    /// Statuses that the store may not hold yet: of orders that are open, or were decided here.
    #[must_use]
    pub fn statuses(&self, now: Instant) -> Vec<RolloutStatus> {
        if self.is_quiet(now) {
            return Vec::new();
        }
        let open = self
            .rollouts
            .iter()
            .filter(|(_, rollout)| !rollout.recorded);
        let statuses = open.map(|(service, rollout)| RolloutStatus {
            service: service.clone(),
            target: rollout.target.clone(),
            order: rollout.order,
            kind: rollout.kind(now),
            elapsed: rollout.elapsed(now),
            reason: rollout.reason.clone(),
        });
        statuses.collect()
    }

    fn is_quiet(&self, now: Instant) -> bool {
        self.quiet_until.is_some_and(|until| now < until)
    }

    /// Whether this host must ask the store what became of an order.
    #[must_use]
    pub fn has_unknown_phase(&self) -> bool {
        let mut rollouts = self.rollouts.values();
        rollouts.any(|rollout| rollout.phase == RolloutPhase::Unknown)
    }
}
