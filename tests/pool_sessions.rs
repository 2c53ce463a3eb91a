//! Snapshot tests of one owned pool, which show every event and effect in order.

mod pool_support;

use std::time::Duration;

use pool_support::{Session, engine, load_report, rollout, ticket};
use wisteriapin::configs::pool::PoolSettings;
use wisteriapin::messages::{PoolSync, RunOutcome};
use wisteriapin::pool::LoadReport;

fn small_queue(queue_limit: usize, workspace_queue_limit: usize) -> PoolSettings {
    let mut settings = PoolSettings::default();
    settings.fairness.queue_limit = queue_limit;
    settings.fairness.workspace_queue_limit = workspace_queue_limit;
    settings
}

fn cold_report(bearable: u32, running: u32) -> LoadReport {
    LoadReport {
        cold: true,
        bearable,
        running,
        ..load_report(8)
    }
}

fn sync(session: &Session, queued: &[&str], running: &[&str]) -> PoolSync {
    PoolSync {
        pool: "sheets".into(),
        complete: true,
        queued: queued.iter().map(|key| ticket(key, "teams", 1)).collect(),
        running: running
            .iter()
            .map(|key| session.running_entry(key))
            .collect(),
    }
}

/// Guards against granting a lower tier first, shedding a higher tier first, and granting reserved
/// slots to low tiers.
#[test]
fn burst_is_granted_by_tier_and_shed_from_the_lowest() {
    let mut session = Session::with_engines(small_queue(5, 3), &["e1"], 5);
    for (key, workspace, tier) in [
        ("d3", "desk", 3),
        ("d2", "desk", 2),
        ("d3-late", "desk", 3),
        ("d1", "desk", 1),
        ("t3", "teams", 3),
        ("t0", "teams", 0),
        ("t0-2", "teams", 0),
        ("c0", "crews", 0),
        ("c2", "crews", 2),
        ("c3", "crews", 3),
    ] {
        session.enqueue(1, ticket(key, workspace, tier));
    }
    session.log_line("grant");
    session.grant();
    session.enqueue(1, ticket("b2", "desk", 2));
    session.enqueue(1, ticket("b3", "desk", 3));
    session.enqueue(1, ticket("b2-2", "crews", 2));
    session.log_line("tiers 2 and 3 leave one of five slots free");
    session.finish("t0", RunOutcome::Completed);
    session.grant();
    session.finish("t0-2", RunOutcome::Completed);
    session.finish("c0", RunOutcome::Completed);
    session.grant();
    insta::assert_snapshot!(session.log);
}

/// Guards against a workspace that receives more than its share because it has a long queue or long
/// requests.
#[test]
fn workspaces_share_by_weight_and_work() {
    let mut session = Session::with_engines(PoolSettings::default(), &["e1"], 1);
    session.view.weights.insert("heavy".into(), 2);
    session.apply_view();
    for number in 0..6 {
        session.enqueue(1, ticket(&format!("heavy-{number}"), "heavy", 1));
        let mut long = ticket(&format!("long-{number}"), "long", 1);
        long.max_tokens = 79;
        session.enqueue(1, long);
    }
    let mut urgent = ticket("heavy-urgent", "heavy", 1);
    urgent.deadline_in = Duration::from_secs(30);
    session.enqueue(1, urgent);
    session.enqueue(1, ticket("newcomer", "small", 1));
    for _ in 0..9 {
        session.grant();
        let key = session.granted.keys().next().unwrap().clone();
        session.finish(&key, RunOutcome::Completed);
    }
    insta::assert_snapshot!(session.log);
}

/// Guards against more load on a cold endpoint than it bears. This covers its start, the
/// time while it reports that it is cold, and a takeover after which the runs of a home that
/// hasn't synced are unknown.
#[test]
fn cold_start_is_capped_for_several_homes_and_a_takeover() {
    let mut session = Session::with_engines(PoolSettings::default(), &["e1"], 8);
    session.log_line("e1 restarts and reports cold, bearing 2");
    session.report("e1", &cold_report(2, 0));
    for number in 0..6 {
        let home = 1 + number % 3;
        session.enqueue(home, ticket(&format!("k{number}"), "teams", 1));
    }
    session.grant();
    for _ in 0..2 {
        session.advance(300);
        let key = session.granted.keys().next().unwrap().clone();
        session.finish(&key, RunOutcome::Completed);
        session.grant();
        session.log_endpoints();
    }
    let entry = sync(&session, &["q1", "q2"], &["k2"]);
    let mut next = Session::new(PoolSettings::default());
    next.log_line("takeover: home 1 syncs one run, another home's run is unknown");
    next.view.endpoints = session.view.endpoints.clone();
    next.view.endpoints.push(engine("e2", "v1", "krk-b"));
    next.apply_view();
    let effects = next.pool.apply_sync(1, entry, &mut next.context);
    next.log_effects(effects);
    for key in ["q1", "q2"] {
        next.enqueue(1, ticket(key, "teams", 1));
    }
    next.advance(200);
    let stale = LoadReport {
        age: Duration::from_secs(1),
        ..cold_report(2, 0)
    };
    next.report("e1", &stale);
    next.grant();
    next.log_endpoints();
    next.log_line("fresh report: both slots are taken");
    next.report("e1", &cold_report(2, 2));
    next.grant();
    next.log_endpoints();
    next.advance(2800);
    next.log_line("e2 has not reported for 3 s");
    next.grant();
    next.log_endpoints();
    insta::assert_snapshot!(format!("{}--\n{}", session.log, next.log));
}

/// Guards against new work in a zone that was taken out, and against full load on endpoints that
/// were just unreachable or are newly listed.
#[test]
fn excluded_zone_receives_nothing_new() {
    let mut session = Session::with_engines(PoolSettings::default(), &["a1", "b1"], 2);
    for number in 0..8 {
        session.enqueue(1, ticket(&format!("k{number}"), "teams", 1));
    }
    session.grant();
    session.log_line("zone of a1 out");
    session.view.excluded.insert("a1".into());
    session.apply_view();
    for key in ["k0", "k1", "k2"] {
        session.finish(key, RunOutcome::Completed);
    }
    session.grant();
    session.log_endpoints();
    session.log_line("b1 silent: nothing is usable");
    session.pool.record_load_failure("b1", &mut session.context);
    session.pool.record_load_failure("b1", &mut session.context);
    session.grant();
    session.advance(4000);
    session.grant();
    session.log_line("zone of a1 in again, b1 found again");
    session.view.excluded.clear();
    session.apply_view();
    session.report("b1", &load_report(2));
    session.grant();
    session.log_endpoints();
    session.log_line("no endpoint for 5 s");
    session.view.endpoints.clear();
    session.apply_view();
    session.grant();
    session.advance(5000);
    session.grant();
    session.enqueue(1, ticket("late", "teams", 1));
    insta::assert_snapshot!(session.log);
}

/// Guards against three faults of the crash suspicion: a request that crashes endpoints reaches a
/// third one, a harmless request on the same endpoint is refused, and one crash that several homes
/// report counts twice.
#[test]
fn crash_suspects_run_alone_and_two_crashes_quarantine() {
    let mut session = Session::with_engines(PoolSettings::default(), &["e1", "e2"], 4);
    session.enqueue(1, ticket("poison", "teams", 1));
    session.enqueue(2, ticket("innocent", "teams", 1));
    session.enqueue(2, ticket("other", "teams", 1));
    session.grant();
    let shared = session.granted["poison"].1.endpoint.clone();
    session.enqueue(2, ticket("neighbour", "teams", 1));
    session.grant();
    let neighbours = session
        .granted
        .iter()
        .filter(|run| run.1.1.endpoint == shared);
    let mut keys: Vec<String> = neighbours.map(|run| run.0.clone()).collect();
    keys.retain(|key| key != "poison");
    session.finish("poison", RunOutcome::Broken);
    session
        .pool
        .record_load_failure(&shared, &mut session.context);
    session.advance(500);
    for key in &keys {
        session.finish(key, RunOutcome::Broken);
    }
    session
        .pool
        .record_load_failure(&shared, &mut session.context);
    let found = session.pool.suspects(session.context.now);
    session.log_line(&format!("{} suspects after the first crash", found.len()));
    session.advance(500);
    session.report(&shared, &cold_report(1, 0));
    let mut again = ticket("poison", "teams", 1);
    again.key = "poison-2".into();
    session.enqueue(1, again.clone());
    let mut resent = ticket(&keys[0], "teams", 1);
    resent.key = "resent".into();
    session.enqueue(2, resent);
    session.enqueue(2, ticket("plain", "teams", 1));
    session.grant();
    session.log_endpoints();
    session.log_line("its second crash");
    let second = session.granted["poison-2"].1.endpoint.clone();
    session.finish("poison-2", RunOutcome::Broken);
    session
        .pool
        .record_load_failure(&second, &mut session.context);
    again.key = "poison-3".into();
    session.enqueue(1, again.clone());
    session.advance(1000);
    session.report(&second, &load_report(4));
    session.grant();
    session.log_endpoints();
    let key = session.granted.keys().find(|key| *key == "resent").cloned();
    session.finish(
        &key.expect("the harmless request should be running"),
        RunOutcome::Completed,
    );
    let left = session.pool.suspects(session.context.now);
    session.log_line(&format!(
        "{} suspects, crashes {}",
        left.len(),
        left[0].crashes
    ));
    session.advance(600_000);
    session.enqueue(1, again);
    session.log_line("queued again after the quarantine");
    insta::assert_snapshot!(session.log);
}

/// Guards against a new version that receives more than its share, or anything after a brake.
#[test]
fn rollout_share_is_exact_and_a_brake_stops_it() {
    let mut session = Session::with_engines(PoolSettings::default(), &["old"], 40);
    session.view.endpoints.push(engine("new", "v2", "krk-b"));
    session.view.endpoints.push(engine("odd", "v9", "krk-b"));
    session.view.rollout = Some(rollout(300));
    session.apply_view();
    session.report("new", &load_report(40));
    for number in 10..20 {
        session.enqueue(1, ticket(&format!("k{number}"), "teams", 1));
    }
    session.log_line("v2 is newly listed: one slot, the rest of its share goes to v1");
    session.grant();
    session.log_line("v2 fails until it is braked");
    for round in 0..12 {
        let failing = session.granted.iter().filter(|run| run.1.1.version == "v2");
        let keys: Vec<String> = failing.map(|run| run.0.clone()).collect();
        for key in keys {
            session.finish(&key, RunOutcome::Failed);
        }
        session.enqueue(1, ticket(&format!("r{round}"), "teams", 1));
        session.grant();
    }
    let brakes = session.pool.brakes();
    session.log_line(&format!("brakes {brakes:?}"));
    session.log_line("next owner adopts the brake before its first view");
    let mut next = Session::new(PoolSettings::default());
    next.pool.adopt_brake(&brakes[0]);
    next.view = session.view.clone();
    next.view.rollout = Some(rollout(1000));
    next.apply_view();
    next.advance(10);
    for name in ["old", "new"] {
        next.report(name, &load_report(40));
    }
    for number in 0..4 {
        next.enqueue(1, ticket(&format!("n{number}"), "teams", 1));
    }
    next.grant();
    next.log_line("a new rollout without a brake, at the full share");
    next.view.rollout = None;
    next.apply_view();
    let fresh = rollout(1000);
    next.view.rollout = Some(fresh);
    next.apply_view();
    next.enqueue(1, ticket("full-share", "teams", 1));
    next.grant();
    insta::assert_snapshot!(format!("{}--\n{}", session.log, next.log));
}

/// Guards against refusals based on unknown speeds, late dispatches that can't succeed, and refusal
/// of a higher tier because of lower-tier work in the queue.
#[test]
fn deadlines_refuse_only_what_cannot_finish() {
    let mut session = Session::with_engines(PoolSettings::default(), &["e1"], 4);
    let long = |key: &str, tier, seconds| {
        let mut long = ticket(key, "teams", tier);
        long.max_tokens = 400;
        long.deadline_in = Duration::from_secs(seconds);
        long
    };
    session.log_line("nothing is known of the speed yet");
    session.enqueue(1, long("unproven", 1, 5));
    session.grant();
    session.advance(250);
    session.finish("unproven", RunOutcome::Completed);
    session.log_line("a run takes 10 s");
    session.enqueue(1, long("too-long", 1, 5));
    for number in 0..8 {
        session.enqueue(1, long(&format!("night-{number}"), 3, 25));
    }
    session.enqueue(1, long("night-last", 3, 25));
    session.grant();
    session.log_line("lower-tier requests are queued");
    session.enqueue(1, long("urgent", 0, 11));
    session.enqueue(1, long("night-too-late", 3, 25));
    session.grant();
    session.advance(15_500);
    session.log_line("the queued ones could not finish any more");
    session.finish("night-0", RunOutcome::Cancelled);
    session.finish("urgent", RunOutcome::Cancelled);
    session.grant();
    session.advance(11_000);
    session.grant();
    insta::assert_snapshot!(session.log);
}

/// Guards against lost, duplicate or leaked permits. This covers returned permits, resent tickets,
/// declined requests over the retry budget, and lost homes.
#[test]
fn permits_return_and_homes_vanish() {
    let settings = PoolSettings {
        min_retries: 1,
        ..PoolSettings::default()
    };
    let mut session = Session::with_engines(settings, &["e1"], 2);
    for (home, key) in [(1, "a"), (1, "b"), (2, "c"), (2, "d"), (1, "e")] {
        session.enqueue(home, ticket(key, "teams", 1));
    }
    session.grant();
    session.log_line("a is resent: the same permit again; then it starts and is resent no more");
    session.enqueue(1, ticket("a", "teams", 1));
    let permit = session.granted["a"].1.permit;
    session
        .pool
        .record_start(1, "a", permit, session.context.now);
    session.enqueue(1, ticket("a", "teams", 1));
    session
        .pool
        .record_returned_permit(1, "a", permit, &mut session.context);
    session.log_line("b comes back and keeps its place");
    let permit = session.granted["b"].1.permit;
    session
        .pool
        .record_returned_permit(1, "b", permit, &mut session.context);
    session
        .pool
        .record_returned_permit(1, "b", permit, &mut session.context);
    session.grant();
    session.log_line("home 1 syncs a as running only: b and e are gone");
    let entry = sync(&session, &[], &["a"]);
    let effects = session.pool.apply_sync(1, entry, &mut session.context);
    session.log_effects(effects);
    session.grant();
    session.log_line("home 1 is gone: a counts for 10 s");
    session.pool.record_lost_home(1, session.context.now);
    session.advance(9_900);
    session.grant();
    session.advance(100);
    session.grant();
    session.log_line("declined requests are sent again: the budget allows one");
    for key in ["c", "d"] {
        session.finish(key, RunOutcome::Declined);
        session.advance(2_000);
        session.report("e1", &load_report(2));
        session.enqueue(2, ticket(key, "teams", 1));
    }
    session.grant();
    session.log_endpoints();
    insta::assert_snapshot!(session.log);
}

/// Guards against a choice that ignores prompt caches or learned speeds, sends work to an
/// overloaded engine because of a cached prefix, or fills every slot of the fastest engine with
/// long low-tier work.
#[test]
fn choice_weighs_prefix_speed_and_load() {
    let mut session = Session::with_engines(PoolSettings::default(), &["fast", "slow"], 6);
    let prefixed = |key: &str| {
        let mut prefixed = ticket(key, "teams", 1);
        prefixed.prompt_tokens = 640;
        prefixed.max_tokens = 24;
        prefixed.prefix_blocks = (1..=10).collect();
        prefixed
    };
    session.log_line("equal speeds, then a prefix that one of them holds");
    session
        .pool
        .record_cache_event("slow", &[1, 2, 3, 4, 5, 6, 7, 8, 9, 10], &[]);
    for number in 0..7 {
        session.enqueue(1, prefixed(&format!("p{number}")));
        session.grant();
    }
    session.log_line("fast answers at 80 tokens per second, slow at 20");
    for number in 0..7 {
        let key = format!("p{number}");
        let fast = session.granted[&key].1.endpoint == "fast";
        let millis = if fast { 125 } else { 500 };
        session.finish_with(&key, |report| {
            report.total = report.first_token + Duration::from_millis(millis);
        });
    }
    session.advance(1_000);
    session.log_line("long night work");
    for number in 0..6 {
        let mut night = ticket(&format!("night-{number}"), "desk", 3);
        night.max_tokens = 800;
        night.deadline_in = Duration::from_mins(50);
        session.enqueue(1, night);
    }
    session.grant();
    session.enqueue(1, ticket("short", "teams", 1));
    session.grant();
    session.log_endpoints();
    insta::assert_snapshot!(session.log);
}
