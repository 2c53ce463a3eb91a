//! Rollouts that many hosts decide together: exposure, verdicts, and the status in the store.

mod common;
#[path = "../../tests/seeds/mod.rs"]
mod seeds;

use std::time::{Duration, Instant};

use arbtest::arbitrary::{Result, Unstructured};
use common::host;
use compact_str::CompactString;
use gateway::rollouts::{
    ExposureBound, RolloutController, RolloutPhase, RolloutReport, RunCounts, SideCounts,
    StatusKind, VersionRun,
};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rollout_judge::{FULL_SHARE_PERMILLE, RolloutSide, ShareCount};
use seeds::check_seeds;

/// Bound of the deployment: a bad version may receive this share of the requests, and this number
/// of requests beyond it.
const BOUND: ExposureBound = ExposureBound {
    share: 0.1,
    tolerance: 50.0,
};
/// Time after the 50th bad answer by which the version must receive no more requests.
const MAX_ROLLBACK_TIME: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(100);
const SERVICE: &str = "pool";
const ORDER: u64 = 7;

#[derive(Clone, Copy, Debug, PartialEq)]
enum VersionBehaviour {
    Good,
    FailsAtOnce,
    FailsLater,
    Slow,
    FailsOnOneRoute,
    /// Turns several times slower after a part of its time, in all runs.
    TurnsSlow(f64),
    /// Turns several times slower, on one route.
    TurnsSlowOnOneRoute(f64),
    /// Begins to fail in a part of its runs.
    TurnsFailing,
    /// Good, while both versions are slow for a tenth of the time limit.
    GoodWhileAllAreSlow,
    /// Good, on the slowest of the three kinds of hardware that the old version runs on.
    GoodOnSlowHardware,
}

#[derive(Debug)]
struct RolloutScenario {
    behaviour: VersionBehaviour,
    hosts: u8,
    requests_per_s: u32,
    time_limit: Duration,
    /// Range of the time limit, in tenths, in which the first host is suspended.
    suspended_tenths: (u32, u32),
    /// Hundredth of the time limit at which a version turns bad.
    turns_at: u32,
    seed: u64,
}

impl RolloutScenario {
    fn draw(source: &mut Unstructured, behaviours: &[VersionBehaviour]) -> Result<Self> {
        let from = source.int_in_range(0..=10_u32)?;
        let is_large = source.ratio(1_u8, 8)?;
        let hosts = source.int_in_range(if is_large { 13..=85 } else { 1..=9_u8 })?;
        // A single host is never suspended, as no other could continue the rollout.
        let from = if hosts == 1 { 10 } else { from };
        Ok(Self {
            behaviour: *source.choose(behaviours)?,
            hosts,
            requests_per_s: source.int_in_range(10..=400_u32)?,
            time_limit: Duration::from_secs(source.int_in_range(20..=90_u64)?),
            suspended_tenths: (from, from + source.int_in_range(0..=5_u32)?),
            turns_at: source.int_in_range(5..=99_u32)?,
            seed: source.arbitrary()?,
        })
    }
}

struct SimulatedHost {
    controller: RolloutController,
    count: ShareCount,
    permille: u16,
}

/// Outcome of one simulated request.
struct SimulatedRun {
    side: RolloutSide,
    is_bad: bool,
}

impl SimulatedHost {
    /// Sends one request to either version and reports the run to the controller.
    fn send_request(
        &mut self,
        scenario: &RolloutScenario,
        elapsed_fraction: f64,
        random: &mut SmallRng,
        now: Instant,
    ) -> SimulatedRun {
        let side = self.count.side(self.permille);
        self.count.record_dispatch(side, self.permille);
        let route = random.random_range(0..4);
        // Run times vary by a factor of about two.
        let spread = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
        let (version, endpoint, failed, slowdown) = match side {
            RolloutSide::Old => {
                let (endpoint, slowdown) = match scenario.behaviour {
                    VersionBehaviour::GoodOnSlowHardware => HARDWARE[random.random_range(0..3)],
                    _ => ("o", slowdown_of_all(scenario, elapsed_fraction)),
                };
                ("v1", endpoint, random.random_bool(0.01), slowdown)
            }
            RolloutSide::New => {
                let (failed, slowdown) = draw_fault(scenario, route, elapsed_fraction, random);
                ("v2", "n", failed, slowdown)
            }
        };
        let took = Duration::from_secs_f64(0.3 * (0.4 * spread).exp() * slowdown);
        self.controller
            .record_dispatch(&SERVICE.into(), &version.into());
        if !failed {
            let pace_ms = took.as_secs_f64() * 1_000.0;
            self.controller
                .record_initial_pace(&SERVICE.into(), &version.into(), pace_ms, now);
        }
        self.controller.record_run(&VersionRun {
            service: SERVICE.into(),
            version: version.into(),
            endpoint: endpoint.into(),
            route: ["a", "b", "c", "d"][route].into(),
            failed,
            unfinished: false,
            took,
            units: 1.0,
        });
        SimulatedRun {
            side,
            is_bad: failed || slowdown > 1.0,
        }
    }
}

/// Status of the service in the store, and the number of times that it was written.
#[derive(Default)]
struct SimulatedStore {
    status: Option<StatusKind>,
    writes: u32,
}

#[derive(Debug, Default)]
struct ScenarioResult {
    status: Option<StatusKind>,
    decided_after: Option<Duration>,
    all_requests: u32,
    new_requests: u32,
    bad_answers: u32,
    /// Time from the 50th bad answer to the last request that the new version received.
    overrun: Duration,
}

/// Draws whether a run of the new version fails, and the factor by which it takes longer.
fn draw_fault(
    scenario: &RolloutScenario,
    route: usize,
    elapsed_fraction: f64,
    random: &mut SmallRng,
) -> (bool, f64) {
    let fails = random.random_bool(0.4);
    let has_turned = elapsed_fraction * 100.0 >= f64::from(scenario.turns_at);
    let turned_factor = |factor| if has_turned { factor } else { 1.0 };
    match scenario.behaviour {
        VersionBehaviour::FailsAtOnce => (fails, 1.0),
        VersionBehaviour::FailsLater => (elapsed_fraction > 0.3 && fails, 1.0),
        VersionBehaviour::FailsOnOneRoute => (route == 0 && random.random_bool(0.6), 1.0),
        VersionBehaviour::Slow => (false, 4.0),
        VersionBehaviour::TurnsSlow(factor) => (false, turned_factor(factor)),
        VersionBehaviour::TurnsSlowOnOneRoute(factor) if route == 0 => {
            (false, turned_factor(factor))
        }
        VersionBehaviour::TurnsSlowOnOneRoute(_) => (false, 1.0),
        VersionBehaviour::TurnsFailing => (has_turned && fails, 1.0),
        VersionBehaviour::Good => (random.random_bool(0.01), 1.0),
        VersionBehaviour::GoodWhileAllAreSlow => {
            (false, slowdown_of_all(scenario, elapsed_fraction))
        }
        VersionBehaviour::GoodOnSlowHardware => (false, HARDWARE[HARDWARE.len() - 1].1),
    }
}

/// Names of the old version's endpoints and the factors by which their hardware is slower.
const HARDWARE: [(&str, f64); 3] = [("o", 1.0), ("o2", 1.4), ("o3", 2.0)];

/// Returns the factor by which both versions are slower at a time.
fn slowdown_of_all(scenario: &RolloutScenario, elapsed_fraction: f64) -> f64 {
    let from = f64::from(scenario.turns_at) / 100.0;
    let is_slow = scenario.behaviour == VersionBehaviour::GoodWhileAllAreSlow
        && (from..from + 0.1).contains(&elapsed_fraction);
    if is_slow { 2.0 } else { 1.0 }
}

fn run_scenario(scenario: &RolloutScenario) -> ScenarioResult {
    let start = Instant::now();
    let mut random = SmallRng::seed_from_u64(scenario.seed);
    let mut hosts: Vec<SimulatedHost> = (0..scenario.hosts)
        .map(|_| SimulatedHost {
            controller: controller_with_order(scenario.time_limit, start),
            count: ShareCount::default(),
            permille: 0,
        })
        .collect();
    let mut store = SimulatedStore::default();
    let mut result = ScenarioResult::default();
    let mut fiftieth_bad_at = None;
    let steps = scenario.time_limit.as_millis() / STEP.as_millis();
    for step in 0..u32::try_from(steps).expect("small") {
        let elapsed = STEP * step;
        let now = start + elapsed;
        let elapsed_fraction = elapsed.as_secs_f64() / scenario.time_limit.as_secs_f64();
        let suspended = f64::from(scenario.suspended_tenths.0) / 10.0
            ..f64::from(scenario.suspended_tenths.1) / 10.0;
        let is_suspended = |index: usize| index == 0 && suspended.contains(&elapsed_fraction);
        // The first host that is not suspended records statuses.
        let recorder = usize::from(is_suspended(0) && hosts.len() > 1);
        for (index, sim_host) in hosts.iter_mut().enumerate() {
            if is_suspended(index) {
                continue;
            }
            for share in sim_host.controller.advance(index == recorder, now) {
                sim_host.permille = share.permille.unwrap_or(FULL_SHARE_PERMILLE);
                sim_host.count.limit_credit();
            }
        }
        record_statuses(&mut hosts[recorder].controller, &mut store, now);
        if result.decided_after.is_none()
            && store
                .status
                .is_some_and(|status| status != StatusKind::InProgress)
        {
            result.decided_after = Some(elapsed);
        }
        for _ in 0..scenario.requests_per_s.div_ceil(10) {
            let index = random.random_range(0..hosts.len());
            if is_suspended(index) {
                continue;
            }
            let sim_host = &mut hosts[index];
            let run = sim_host.send_request(scenario, elapsed_fraction, &mut random, now);
            result.all_requests += 1;
            if run.side == RolloutSide::New {
                result.new_requests += 1;
                result.bad_answers += u32::from(run.is_bad);
                let since_fiftieth =
                    fiftieth_bad_at.map_or(Duration::ZERO, |at| elapsed.saturating_sub(at));
                result.overrun = result.overrun.max(since_fiftieth);
                if result.bad_answers >= 50 {
                    fiftieth_bad_at = fiftieth_bad_at.or(Some(elapsed));
                }
            }
        }
        let all_reports: Vec<_> = hosts
            .iter()
            .map(|sim_host| sim_host.controller.reports(now))
            .collect();
        for (index, sim_host) in hosts.iter_mut().enumerate() {
            for (peer, reports) in all_reports.iter().enumerate() {
                if index != peer && !is_suspended(index) && !is_suspended(peer) {
                    let number = u8::try_from(peer).expect("small");
                    sim_host
                        .controller
                        .apply_peer_reports(host(number), reports, now);
                }
            }
        }
    }
    result.status = store.status;
    result
}

/// Checks that the new version received no more than its share, and nothing long after it was found
/// bad.
fn assert_exposure_is_bounded(scenario: &RolloutScenario, result: &ScenarioResult) {
    let max_requests = BOUND.share * f64::from(result.all_requests) + BOUND.tolerance;
    assert!(
        f64::from(result.new_requests) <= max_requests,
        "{scenario:?}: {result:?}"
    );
    assert!(
        result.overrun <= MAX_ROLLBACK_TIME,
        "{scenario:?}: {result:?}"
    );
}

/// Records the statuses of one host in the store.
fn record_statuses(controller: &mut RolloutController, store: &mut SimulatedStore, now: Instant) {
    for status in controller.statuses(now) {
        let stored_status = store.status.map(|status| (status, Duration::ZERO));
        controller.apply_stored_status(&SERVICE.into(), ORDER, stored_status, now);
        if store
            .status
            .is_some_and(|status| status != StatusKind::InProgress)
        {
            return;
        }
        if store.status != Some(status.kind) {
            store.status = Some(status.kind);
            store.writes += 1;
            controller.apply_stored_status(
                &SERVICE.into(),
                ORDER,
                Some((status.kind, Duration::ZERO)),
                now,
            );
        }
    }
}

/// Guards against bad versions that are completed, receive more than their share of the requests,
/// or still receive requests long after they were found bad. The number of hosts varies, and the
/// host that records statuses may be suspended.
#[test]
fn bad_versions_are_rolled_back_in_time() {
    let behaviours = [
        VersionBehaviour::FailsAtOnce,
        VersionBehaviour::FailsLater,
        VersionBehaviour::Slow,
        VersionBehaviour::FailsOnOneRoute,
    ];
    check_seeds(60, |source| {
        let scenario = RolloutScenario::draw(source, &behaviours)?;
        let result = run_scenario(&scenario);
        assert_eq!(
            result.status,
            Some(StatusKind::RolledBack),
            "{scenario:?}: {result:?}"
        );
        assert_exposure_is_bounded(&scenario, &result);
        Ok(())
    });
}

/// Guards against versions that receive more than their share of the requests because they turn bad
/// after their share has begun to rise, or so late that nothing is compared any more.
#[test]
fn versions_that_turn_bad_at_any_moment_stay_within_their_share() {
    let behaviours = [
        VersionBehaviour::TurnsSlow(3.0),
        VersionBehaviour::TurnsSlow(5.0),
        VersionBehaviour::TurnsSlowOnOneRoute(5.0),
        VersionBehaviour::TurnsFailing,
    ];
    check_seeds(40, |source| {
        let mut scenario = RolloutScenario::draw(source, &behaviours)?;
        // Nothing can be rolled back once the order is completed.
        scenario.turns_at = scenario.turns_at.min(96);
        let result = run_scenario(&scenario);
        assert_exposure_is_bounded(&scenario, &result);
        Ok(())
    });
}

/// Guards against completing a version that becomes several times slower late, before or while its
/// share rises.
#[test]
fn versions_that_turn_slow_late_are_rolled_back() {
    let behaviours = [
        VersionBehaviour::TurnsSlow(3.0),
        VersionBehaviour::TurnsSlow(5.0),
    ];
    check_seeds(40, |source| {
        let mut scenario = RolloutScenario::draw(source, &behaviours)?;
        scenario.turns_at = scenario.turns_at.min(92);
        scenario.requests_per_s = scenario.requests_per_s.max(50);
        let result = run_scenario(&scenario);
        assert_eq!(
            result.status,
            Some(StatusKind::RolledBack),
            "{scenario:?}: {result:?}"
        );
        Ok(())
    });
}

/// Guards against a restarted peer whose earlier counts are forgotten, so that the version receives
/// its early requests once more and evidence against it is lost.
#[test]
fn counts_of_a_restarted_peer_are_kept() {
    let now = Instant::now();
    let later = now + Duration::from_secs(30);
    let mut controller = controller_at(None, now);
    let report = |dispatched| RolloutReport {
        service: gateway::ids::hash_name(SERVICE),
        order: ORDER,
        phase: RolloutPhase::Testing,
        elapsed_ms: 30_000,
        counts: SideCounts {
            new: RunCounts {
                dispatched,
                runs: dispatched,
                ..RunCounts::default()
            },
            ..SideCounts::default()
        },
    };
    for dispatched in [45, 0] {
        controller.apply_peer_reports(host(1), &[report(dispatched)], later);
    }
    assert_eq!(permille(&mut controller, later), Some(30));
}

/// Guards against good versions that are rolled back, or not completed within their time limit.
#[test]
fn good_versions_are_completed_in_time() {
    let behaviours = [
        VersionBehaviour::Good,
        VersionBehaviour::GoodWhileAllAreSlow,
    ];
    check_seeds(60, |source| {
        let scenario = RolloutScenario::draw(source, &behaviours)?;
        let result = run_scenario(&scenario);
        assert_eq!(
            result.status,
            Some(StatusKind::Completed),
            "{scenario:?}: {result:?}"
        );
        assert!(result.decided_after.is_some(), "{scenario:?}: {result:?}");
        Ok(())
    });
}

/// Guards against good versions that are rolled back because they run on the slowest of several
/// kinds of hardware.
#[test]
fn good_versions_on_slow_hardware_are_completed() {
    check_seeds(40, |source| {
        let scenario = RolloutScenario::draw(source, &[VersionBehaviour::GoodOnSlowHardware])?;
        let result = run_scenario(&scenario);
        assert_eq!(
            result.status,
            Some(StatusKind::Completed),
            "{scenario:?}: {result:?}"
        );
        Ok(())
    });
}

fn controller_with_order(time_limit: Duration, now: Instant) -> RolloutController {
    let mut controller = RolloutController::new(BOUND);
    controller.apply_order(SERVICE.into(), "v2".into(), time_limit, ORDER, now);
    controller
}

fn controller_at(status: Option<StatusKind>, now: Instant) -> RolloutController {
    let mut controller = controller_with_order(Duration::from_mins(1), now);
    let stored_status = status.map(|status| (status, Duration::ZERO));
    controller.apply_stored_status(&SERVICE.into(), ORDER, stored_status, now);
    controller
}

fn permille(controller: &mut RolloutController, now: Instant) -> Option<u16> {
    let shares = controller.advance(false, now);
    shares.first().and_then(|share| share.permille)
}

/// Guards against a host that starts during or after a rollout and sends traffic to a version that
/// was rolled back.
#[test]
fn a_new_version_receives_nothing_before_its_status_is_known() {
    let now = Instant::now();
    let mut controller = controller_with_order(Duration::from_mins(1), now);
    let later = now + Duration::from_secs(30);
    assert!(controller.has_unknown_phase());
    assert_eq!(permille(&mut controller, later), Some(0));
    let mut in_progress = controller_at(None, now);
    // A version with few runs so far receives a larger share.
    assert_eq!(permille(&mut in_progress, later), Some(300));
    let report = RolloutReport {
        service: gateway::ids::hash_name(SERVICE),
        order: ORDER,
        phase: RolloutPhase::Testing,
        elapsed_ms: 30_000,
        counts: SideCounts {
            new: RunCounts {
                dispatched: 45,
                ..RunCounts::default()
            },
            ..SideCounts::default()
        },
    };
    in_progress.apply_peer_reports(host(1), &[report], later);
    assert_eq!(permille(&mut in_progress, later), Some(30));
    let mut rolled_back = controller_at(Some(StatusKind::RolledBack), now);
    assert_eq!(permille(&mut rolled_back, later), Some(0));
    let mut completed = controller_at(Some(StatusKind::Completed), now);
    // Any version may be used: the old endpoints stop on their own, and later versions may follow.
    assert_eq!(completed.advance(false, later)[0].permille, None);
    // An older order of the same service is ignored if it is read again; a later one starts a new
    // rollout.
    completed.apply_order(
        SERVICE.into(),
        "v3".into(),
        Duration::from_mins(1),
        ORDER - 1,
        later,
    );
    assert_eq!(permille(&mut completed, later), None);
    completed.apply_order(
        SERVICE.into(),
        "v3".into(),
        Duration::from_mins(1),
        ORDER + 1,
        later,
    );
    assert_eq!(permille(&mut completed, later), Some(0));
}

/// Guards against a verdict that is forgotten, or no longer recorded, because the store has lost the
/// order and its status and the order is written again.
#[test]
fn the_verdict_on_an_order_that_is_written_again_is_recorded_again() {
    let now = Instant::now();
    let service = SERVICE.into();
    let statuses = [StatusKind::RolledBack, StatusKind::Completed].map(|kind| {
        let mut controller = controller_at(Some(kind), now);
        assert_eq!(controller.statuses(now), []);
        controller.renumber_order(&service, ORDER + 5);
        let statuses = controller.statuses(now);
        (statuses[0].order, statuses[0].kind)
    });
    assert_eq!(
        statuses,
        [
            (ORDER + 5, StatusKind::RolledBack),
            (ORDER + 5, StatusKind::Completed)
        ]
    );
}

/// Guards against a host that ignores its peers' verdict because its own runs were good, and
/// against a resumed host that reverts a verdict.
#[test]
fn the_verdict_of_a_peer_is_applied() {
    let now = Instant::now();
    let mut controller = controller_at(None, now);
    let report = |phase| RolloutReport {
        service: gateway::ids::hash_name(SERVICE),
        order: ORDER,
        phase,
        elapsed_ms: 20_000,
        counts: SideCounts::default(),
    };
    controller.apply_peer_reports(host(1), &[report(RolloutPhase::RolledBack)], now);
    controller.apply_peer_reports(host(2), &[report(RolloutPhase::Promoting)], now);
    assert_eq!(permille(&mut controller, now), Some(0));
    assert_eq!(controller.statuses(now)[0].kind, StatusKind::RolledBack);
}

/// Guards against verdicts that are based on a handful of runs, and against bad versions of which
/// no single host sees enough runs.
#[test]
fn counts_of_all_hosts_decide_together() {
    let counts = |runs, failed| SideCounts {
        old: RunCounts {
            runs: 2_000,
            failed: 20,
            timed: 2_000,
            slow: 300,
            ..RunCounts::default()
        },
        new: RunCounts {
            runs,
            failed,
            ..RunCounts::default()
        },
    };
    assert!(!counts(3, 3).is_bad());
    assert!(!counts(400, 8).is_bad());
    assert!(counts(60, 20).is_bad());
}

/// Returns the shortest times between two events at endpoints on three kinds of hardware,
/// multiplied by `slowdown`.
fn min_event_gaps(version: &str, slowdown: f64) -> Vec<(CompactString, Option<f64>)> {
    let kinds = [13.0, 13.4, 13.2, 14.1, 24.0, 25.1, 24.6, 26.0, 62.0, 65.0];
    let gaps = kinds
        .iter()
        .map(|gap| (version.into(), Some(gap * slowdown)));
    gaps.collect()
}

/// Guards against completing a version that is a few times slower. Its endpoints look fast compared
/// with the old version's, which are loaded and partly run on slower hardware.
#[test]
fn a_version_whose_endpoints_are_all_slower_is_rolled_back() {
    let now = Instant::now();
    let status_after_comparison = |old: &[_], new: &[_]| {
        let mut controller = controller_at(None, now);
        controller.roll_back_slower_versions(|_| [old, new].concat());
        controller.statuses(now)[0].kind
    };
    let old = min_event_gaps("v1", 1.0);
    assert_eq!(
        status_after_comparison(&old, &min_event_gaps("v2", 2.0)),
        StatusKind::RolledBack
    );
    assert_eq!(
        status_after_comparison(&old, &min_event_gaps("v2", 1.2)),
        StatusKind::InProgress
    );
    // Only endpoints on the slower hardware, and too few of them for a comparison.
    let slow_hardware = &min_event_gaps("v2", 1.0)[4..];
    assert_eq!(
        status_after_comparison(&old, slow_hardware),
        StatusKind::InProgress
    );
    let few = &min_event_gaps("v2", 2.0)[..7];
    assert_eq!(status_after_comparison(&old, few), StatusKind::InProgress);
    // The fastest endpoint is as fast as the old ones, so the others run on slower hardware.
    let mut mixed = min_event_gaps("v2", 2.0);
    mixed[0].1 = Some(13.5);
    assert_eq!(
        status_after_comparison(&old, &mixed),
        StatusKind::InProgress
    );
    // Slow endpoints receive few requests, so their times may be unknown. More than half of the
    // endpoints must be known.
    let mut partly_known = min_event_gaps("v2", 2.0);
    partly_known[8..].iter_mut().for_each(|gap| gap.1 = None);
    assert_eq!(
        status_after_comparison(&old, &partly_known),
        StatusKind::RolledBack
    );
    partly_known[3..].iter_mut().for_each(|gap| gap.1 = None);
    assert_eq!(
        status_after_comparison(&old, &partly_known),
        StatusKind::InProgress
    );
}
