//! Rollouts, judged by many hosts together: exposure, verdicts, and one record in the store.

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

/// Bounds of the deployment: a bad version may get this part of the requests, and so many more.
const BOUND: ExposureBound = ExposureBound {
    share: 0.1,
    tolerance: 50.0,
};
/// Time after the 50th bad answer within which the version must get nothing more.
const ROLLBACK: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(100);
const SERVICE: &str = "pool";
const ORDER: u64 = 7;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum VersionKind {
    Good,
    FailsAtOnce,
    FailsLater,
    Slow,
    FailsOnOneRoute,
}

#[derive(Debug)]
struct RolloutPlay {
    kind: VersionKind,
    hosts: u8,
    requests_per_s: u32,
    within: Duration,
    /// The first host stands still from one tenth of the time to another.
    frozen: (u32, u32),
    seed: u64,
}

impl RolloutPlay {
    fn draw(source: &mut Unstructured, kinds: &[VersionKind]) -> Result<Self> {
        let from = source.int_in_range(0..=10_u32)?;
        let is_large = source.ratio(1_u8, 8)?;
        let hosts = source.int_in_range(if is_large { 13..=85 } else { 1..=9_u8 })?;
        // Without another host nobody could go on.
        let from = if hosts == 1 { 10 } else { from };
        Ok(Self {
            kind: *source.choose(kinds)?,
            hosts,
            requests_per_s: source.int_in_range(10..=400_u32)?,
            within: Duration::from_secs(source.int_in_range(20..=90_u64)?),
            frozen: (from, from + source.int_in_range(0..=5_u32)?),
            seed: source.arbitrary()?,
        })
    }
}

struct PlayHost {
    board: RolloutController,
    count: ShareCount,
    permille: u16,
}

/// The one record of the service in the store: what it says, and how often it was written.
#[derive(Default)]
struct PlayStore {
    word: Option<StatusKind>,
    end: u32,
}

#[derive(Debug, Default)]
struct PlayEnd {
    word: Option<StatusKind>,
    decided: Option<Duration>,
    all: u32,
    new: u32,
    bad: u32,
    /// Time from the 50th bad answer to the last request that the version got.
    overrun: Duration,
}

/// Whether a run of the new version fails, and how much longer it takes.
fn fault(play: &RolloutPlay, route: usize, part: f64, random: &mut SmallRng) -> (bool, f64) {
    let often = random.random_bool(0.4);
    match play.kind {
        VersionKind::FailsAtOnce => (often, 1.0),
        VersionKind::FailsLater => (part > 0.3 && often, 1.0),
        VersionKind::FailsOnOneRoute => (route == 0 && random.random_bool(0.6), 1.0),
        VersionKind::Slow => (false, 4.0),
        VersionKind::Good => (random.random_bool(0.01), 1.0),
    }
}

fn run_play(play: &RolloutPlay) -> PlayEnd {
    let start = Instant::now();
    let mut random = SmallRng::seed_from_u64(play.seed);
    let mut hosts: Vec<PlayHost> = (0..play.hosts)
        .map(|_| PlayHost {
            board: ordered_board(play.within, start),
            count: ShareCount::default(),
            permille: 0,
        })
        .collect();
    let mut store = PlayStore::default();
    let mut end = PlayEnd::default();
    let mut fiftieth = None;
    let steps = play.within.as_millis() / STEP.as_millis();
    for step in 0..u32::try_from(steps).expect("small") {
        let elapsed = STEP * step;
        let now = start + elapsed;
        let part = elapsed.as_secs_f64() / play.within.as_secs_f64();
        let frozen = f64::from(play.frozen.0) / 10.0..f64::from(play.frozen.1) / 10.0;
        let is_frozen = |index: usize| index == 0 && frozen.contains(&part);
        // The first host that is heard records.
        let writer = usize::from(is_frozen(0) && hosts.len() > 1);
        for (index, one) in hosts.iter_mut().enumerate() {
            if is_frozen(index) {
                continue;
            }
            for share in one.board.advance(index == writer, now) {
                one.permille = share.permille.unwrap_or(FULL_SHARE_PERMILLE);
                one.count.limit_credit();
            }
        }
        record(&mut hosts[writer].board, &mut store, now);
        if end.decided.is_none()
            && store
                .word
                .is_some_and(|word| word != StatusKind::InProgress)
        {
            end.decided = Some(elapsed);
        }
        for _ in 0..play.requests_per_s.div_ceil(10) {
            let index = random.random_range(0..hosts.len());
            if is_frozen(index) {
                continue;
            }
            let one = &mut hosts[index];
            let side = one.count.side(one.permille);
            one.count.record_dispatch(side, one.permille);
            let route = random.random_range(0..4);
            // Times vary by a factor of two or so.
            let spread = (0..12).map(|_| random.random::<f64>()).sum::<f64>() - 6.0;
            let (failed, slower) = match side {
                RolloutSide::Old => (random.random_bool(0.01), 1.0),
                RolloutSide::New => fault(play, route, part, &mut random),
            };
            end.all += 1;
            if side == RolloutSide::New {
                end.new += 1;
                end.bad += u32::from(failed || slower > 1.0);
                let since = fiftieth.map_or(Duration::ZERO, |at| elapsed.saturating_sub(at));
                end.overrun = end.overrun.max(since);
                if end.bad >= 50 {
                    fiftieth = fiftieth.or(Some(elapsed));
                }
            }
            one.board.record_run(&VersionRun {
                service: SERVICE.into(),
                version: if side == RolloutSide::New { "v2" } else { "v1" }.into(),
                endpoint: if side == RolloutSide::New { "n" } else { "o" }.into(),
                route: ["a", "b", "c", "d"][route].into(),
                failed,
                unfinished: false,
                took: Duration::from_secs_f64(0.3 * (0.4 * spread).exp() * slower),
                units: 1.0,
            });
        }
        let lines: Vec<_> = hosts.iter().map(|one| one.board.reports(now)).collect();
        for (index, one) in hosts.iter_mut().enumerate() {
            for (peer, line) in lines.iter().enumerate() {
                if index != peer && !is_frozen(index) && !is_frozen(peer) {
                    let number = u8::try_from(peer).expect("small");
                    one.board.apply_peer_reports(host(number), line, now);
                }
            }
        }
    }
    end.word = store.word;
    end
}

/// One look of the host that records.
fn record(board: &mut RolloutController, store: &mut PlayStore, now: Instant) {
    for status in board.statuses(now) {
        let held = store.word.map(|word| (word, Duration::ZERO));
        board.apply_stored_status(&SERVICE.into(), ORDER, held, now);
        if store
            .word
            .is_some_and(|word| word != StatusKind::InProgress)
        {
            return;
        }
        if store.word != Some(status.kind) {
            store.word = Some(status.kind);
            store.end += 1;
            board.apply_stored_status(
                &SERVICE.into(),
                ORDER,
                Some((status.kind, Duration::ZERO)),
                now,
            );
        }
    }
}

/// Guards against bad versions that are completed, get more than their share of the requests, or
/// go on getting some long after they were seen to be bad; with any number of hosts, also when the
/// one that records stands still.
#[test]
fn bad_versions_are_taken_back_in_time() {
    let kinds = [
        VersionKind::FailsAtOnce,
        VersionKind::FailsLater,
        VersionKind::Slow,
        VersionKind::FailsOnOneRoute,
    ];
    check_seeds(60, |source| {
        let play = RolloutPlay::draw(source, &kinds)?;
        let end = run_play(&play);
        assert_eq!(end.word, Some(StatusKind::RolledBack), "{play:?}: {end:?}");
        let most = BOUND.share * f64::from(end.all) + BOUND.tolerance;
        assert!(f64::from(end.new) <= most, "{play:?}: {end:?}");
        assert!(end.overrun <= ROLLBACK, "{play:?}: {end:?}");
        Ok(())
    });
}

/// Guards against good versions that are taken back, or not completed within their time.
#[test]
fn good_versions_are_completed_in_time() {
    check_seeds(60, |source| {
        let play = RolloutPlay::draw(source, &[VersionKind::Good])?;
        let end = run_play(&play);
        assert_eq!(end.word, Some(StatusKind::Completed), "{play:?}: {end:?}");
        assert!(end.decided.is_some(), "{play:?}: {end:?}");
        Ok(())
    });
}

fn ordered_board(within: Duration, now: Instant) -> RolloutController {
    let mut board = RolloutController::new(BOUND);
    board.apply_order(SERVICE.into(), "v2".into(), within, ORDER, now);
    board
}

fn board_at(phase: Option<StatusKind>, now: Instant) -> RolloutController {
    let mut board = ordered_board(Duration::from_mins(1), now);
    let recorded = phase.map(|word| (word, Duration::ZERO));
    board.apply_stored_status(&SERVICE.into(), ORDER, recorded, now);
    board
}

fn permille(board: &mut RolloutController, now: Instant) -> Option<u16> {
    let shares = board.advance(false, now);
    shares.first().and_then(|share| share.permille)
}

/// Guards against a host that starts in the middle of a rollout, or after it, and gives traffic to
/// a version that was taken back.
#[test]
fn nothing_is_sent_before_the_verdict_is_known() {
    let now = Instant::now();
    let mut board = ordered_board(Duration::from_mins(1), now);
    let later = now + Duration::from_secs(30);
    assert!(board.has_unknown_phase());
    assert_eq!(permille(&mut board, later), Some(0));
    let mut open = board_at(None, now);
    // Where the version had few runs so far, it gets more of them.
    assert_eq!(permille(&mut open, later), Some(300));
    let line = RolloutReport {
        service: gateway::ids::hash_name(SERVICE),
        order: ORDER,
        phase: RolloutPhase::Testing,
        elapsed_ms: 30_000,
        counts: SideCounts {
            new: RunCounts {
                runs: 25,
                ..RunCounts::default()
            },
            ..SideCounts::default()
        },
    };
    open.apply_peer_reports(host(1), &[line], later);
    assert_eq!(permille(&mut open, later), Some(50));
    let mut taken_back = board_at(Some(StatusKind::RolledBack), now);
    assert_eq!(permille(&mut taken_back, later), Some(0));
    let mut done = board_at(Some(StatusKind::Completed), now);
    // Any version may be used: the old endpoints stop by themselves, and others may follow.
    assert_eq!(done.advance(false, later)[0].permille, None);
    // A later order of the same service begins anew; an older one that is read again doesn't.
    done.apply_order(
        SERVICE.into(),
        "v3".into(),
        Duration::from_mins(1),
        ORDER - 1,
        later,
    );
    assert_eq!(permille(&mut done, later), None);
    done.apply_order(
        SERVICE.into(),
        "v3".into(),
        Duration::from_mins(1),
        ORDER + 1,
        later,
    );
    assert_eq!(permille(&mut done, later), Some(0));
}

/// Guards against a host that has seen nothing bad itself and doesn't believe the others, and
/// against one that wakes up and undoes a verdict.
#[test]
fn a_peers_verdict_counts() {
    let now = Instant::now();
    let mut board = board_at(None, now);
    let line = |phase| RolloutReport {
        service: gateway::ids::hash_name(SERVICE),
        order: ORDER,
        phase,
        elapsed_ms: 20_000,
        counts: SideCounts::default(),
    };
    board.apply_peer_reports(host(1), &[line(RolloutPhase::RolledBack)], now);
    board.apply_peer_reports(host(2), &[line(RolloutPhase::Promoting)], now);
    assert_eq!(permille(&mut board, now), Some(0));
    assert_eq!(board.statuses(now)[0].kind, StatusKind::RolledBack);
}

/// Guards against verdicts from a handful of runs, and against bad runs of many hosts that none
/// of them sees enough of.
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

/// Least times between two events on endpoints of three kinds of hardware, `slower` times as long.
fn least_gaps(version: &str, slower: f64) -> Vec<(CompactString, Option<f64>)> {
    let kinds = [13.0, 13.4, 13.2, 14.1, 24.0, 25.1, 24.6, 26.0, 62.0, 65.0];
    let gaps = kinds.iter().map(|gap| (version.into(), Some(gap * slower)));
    gaps.collect()
}

/// Guards against a version that is a few times slower, whose endpoints seem fast beside loaded ones
/// of the old version and others of slower hardware, and that is completed and kept.
#[test]
fn a_version_whose_endpoints_are_all_slower_is_taken_back() {
    let now = Instant::now();
    let word = |old: &[_], new: &[_]| {
        let mut board = board_at(None, now);
        board.roll_back_slower_versions(|_| [old, new].concat());
        board.statuses(now)[0].kind
    };
    let old = least_gaps("v1", 1.0);
    assert_eq!(word(&old, &least_gaps("v2", 2.0)), StatusKind::RolledBack);
    assert_eq!(word(&old, &least_gaps("v2", 1.2)), StatusKind::InProgress);
    // Endpoints of the slower kinds only, and too few of them to say.
    let slow_kinds = &least_gaps("v2", 1.0)[4..];
    assert_eq!(word(&old, slow_kinds), StatusKind::InProgress);
    let few = &least_gaps("v2", 2.0)[..7];
    assert_eq!(word(&old, few), StatusKind::InProgress);
    // The fastest are as fast as the old ones, so the others are slower hardware.
    let mut mixed = least_gaps("v2", 2.0);
    mixed[0].1 = Some(13.5);
    assert_eq!(word(&old, &mixed), StatusKind::InProgress);
    // Slow endpoints get few requests and may not be known; more than half of them must be.
    let mut partly = least_gaps("v2", 2.0);
    partly[8..].iter_mut().for_each(|gap| gap.1 = None);
    assert_eq!(word(&old, &partly), StatusKind::RolledBack);
    partly[3..].iter_mut().for_each(|gap| gap.1 = None);
    assert_eq!(word(&old, &partly), StatusKind::InProgress);
}
