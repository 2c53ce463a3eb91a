//! Tests of guarantee 5 with real processes: a zone that operators have taken out receives no new
//! requests after a few seconds, and neither its removal nor its return interrupts a request.

mod support_moves;

use std::time::{Duration, Instant};

use fleet::{EnginePlan, Fleet, FleetPlan, Process, home_key, wait_until};
use serde_json::{Value, json};
use support_moves::{
    IN_FORCE_BOUND, Load, LoadPlan, ZONE_BOUND, accept, assert_all_whole, assert_none_cut,
    config_version, dispatches, last_after, mark, operate, request, run, wait_live, wait_version,
    zone_state,
};

const ARRIVAL_LIMIT: Duration = Duration::from_secs(20);

fn three_zones() -> FleetPlan {
    FleetPlan::new(3)
        .engine(EnginePlan::new("m1", "krk-a", &[]))
        .engine(EnginePlan::new("m2", "krk-b", &[]))
        .engine(EnginePlan::new("m3", "kat-c", &[]))
}

async fn wait_dispatched(fleet: &Fleet, engine: &Process, more: usize) {
    let before = dispatches(fleet, engine).await.len();
    let began = Instant::now();
    while dispatches(fleet, engine).await.len() < before + more {
        if began.elapsed() > ARRIVAL_LIMIT {
            let owner = fleet.owner(0, "assistant").await.unwrap_or(0);
            panic!(
                "{} gets no work: {}",
                engine.name,
                fleet.status(owner).await
            );
        }
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Asserts that the engine received no request after the bound, counted from the mark.
async fn assert_no_late_work(fleet: &Fleet, engine: &Process, name: &str) {
    let last = last_after(fleet, engine, name).await;
    println!("{}: last dispatch {last:?} after {name}", engine.name);
    assert!(
        last.is_none_or(|last| last <= ZONE_BOUND),
        "{} got work {last:?} after {name}",
        engine.name
    );
}

/// Returns the index of a host that does not own the pool.
async fn non_owner(fleet: &Fleet) -> usize {
    let owner = fleet.owner(0, "assistant").await.expect("an owner");
    (owner + 1) % fleet.plan.daemons
}

fn others(fleet: &Fleet, daemon: usize) -> Vec<usize> {
    (0..fleet.plan.daemons)
        .filter(|other| *other != daemon)
        .collect()
}

/// Waits for longer than the bound while requests are served elsewhere.
async fn watch_past_bound(load: &Load) {
    let began = Instant::now();
    while began.elapsed() < ZONE_BOUND + Duration::from_secs(1) {
        load.wait_whole(5, ARRIVAL_LIMIT).await;
    }
}

/// Guards against requests to a zone that was taken out, against answers that the move interrupts,
/// and against a zone that receives no requests after its return.
#[test]
fn a_zone_leaves_and_returns_under_load() {
    run(async {
        let fleet = Fleet::start(three_zones()).await;
        let load = Load::start(&fleet, &[0, 1, 2], &LoadPlan::new(12, 20)).await;
        for engine in &fleet.engines {
            wait_dispatched(&fleet, engine, 5).await;
        }
        for round in 0..2 {
            accept(&fleet, 0, &["zone", "out", "krk-a"]).await;
            let name = format!("out{round}");
            mark(&fleet.engines[0], &name).await;
            watch_past_bound(&load).await;
            assert_no_late_work(&fleet, &fleet.engines[0], &name).await;
            accept(&fleet, 1, &["zone", "in", "krk-a"]).await;
            wait_dispatched(&fleet, &fleet.engines[0], 5).await;
        }
        let outcomes = load.stop().await;
        assert_all_whole(&outcomes);
    });
}

/// Guards against requests that were queued before the zone was taken out and are sent there
/// afterwards.
#[test]
fn queued_work_does_not_follow_a_zone_out() {
    run(async {
        let slow = ["--capacity", "2", "--decode-step-ms", "40"];
        let plan = FleetPlan::new(3)
            .engine(EnginePlan::new("m1", "krk-a", &slow))
            .engine(EnginePlan::new("m2", "krk-b", &slow));
        let fleet = Fleet::start(plan).await;
        let mut shape = LoadPlan::new(40, 25);
        shape.tier = 3;
        let load = Load::start(&fleet, &[0, 1, 2], &shape).await;
        wait_dispatched(&fleet, &fleet.engines[0], 4).await;
        accept(&fleet, 2, &["zone", "out", "krk-a"]).await;
        mark(&fleet.engines[0], "out").await;
        watch_past_bound(&load).await;
        assert_no_late_work(&fleet, &fleet.engines[0], "out").await;
        accept(&fleet, 2, &["zone", "in", "krk-a"]).await;
        wait_dispatched(&fleet, &fleet.engines[0], 4).await;
        let outcomes = load.stop().await;
        assert_all_whole(&outcomes);
    });
}

/// Guards against a host that cannot read the log and keeps using the old configuration. The test
/// covers a host that does not own the pool, then the owner.
#[test]
fn a_host_cut_off_from_the_log_follows_a_zone_out() {
    run(async {
        let fleet = Fleet::start(three_zones().proxied()).await;
        let load = Load::start(&fleet, &[0, 1, 2], &LoadPlan::new(12, 20)).await;
        let owner = fleet.owner(0, "assistant").await.expect("an owner");
        for (round, victim) in [non_owner(&fleet).await, owner].into_iter().enumerate() {
            wait_dispatched(&fleet, &fleet.engines[0], 5).await;
            fleet.fault_log(victim, &json!({"blackhole": "both"})).await;
            let operator = (victim + 1) % 3;
            accept(&fleet, operator, &["zone", "out", "krk-a"]).await;
            let name = format!("out{round}");
            mark(&fleet.engines[0], &name).await;
            watch_past_bound(&load).await;
            assert_no_late_work(&fleet, &fleet.engines[0], &name).await;
            wait_until(
                "the host learns it from its peers",
                IN_FORCE_BOUND,
                || async { zone_state(&fleet, victim, "krk-a").await == "out" },
            )
            .await;
            fleet.fault_log(victim, &json!({"blackhole": "none"})).await;
            accept(&fleet, operator, &["zone", "in", "krk-a"]).await;
        }
        wait_dispatched(&fleet, &fleet.engines[0], 5).await;
        let outcomes = load.stop().await;
        assert_all_whole(&outcomes);
    });
}

/// Guards against an owner that is disconnected from the log and from all peers and still
/// dispatches its own callers' requests into the zone under its old configuration. The test
/// combines two failures.
#[test]
fn an_isolated_owner_sends_nothing_into_a_zone_out() {
    run(async {
        let fleet = Fleet::start(three_zones().proxied()).await;
        let owner = fleet.owner(0, "assistant").await.expect("an owner");
        let rest = others(&fleet, owner);
        let load = Load::start(&fleet, &rest, &LoadPlan::new(8, 10)).await;
        let isolated_load = Load::start(&fleet, &[owner], &LoadPlan::new(4, 10)).await;
        wait_dispatched(&fleet, &fleet.engines[0], 5).await;
        fleet.fault_peers(owner, &rest, &json!({"cut": true})).await;
        fleet.fault_log(owner, &json!({"cut": true})).await;
        wait_until("the rest accepts the move", IN_FORCE_BOUND, || async {
            operate(&fleet, rest[0], &["zone", "out", "krk-a"]).await.0 == 0
        })
        .await;
        mark(&fleet.engines[0], "out").await;
        watch_past_bound(&load).await;
        assert_no_late_work(&fleet, &fleet.engines[0], "out").await;
        fleet
            .fault_peers(owner, &rest, &json!({"cut": false}))
            .await;
        fleet.fault_log(owner, &json!({"cut": false})).await;
        wait_until("the host catches up", IN_FORCE_BOUND, || async {
            zone_state(&fleet, owner, "krk-a").await == "out"
        })
        .await;
        isolated_load.wait_whole(5, ARRIVAL_LIMIT).await;
        assert_no_late_work(&fleet, &fleet.engines[0], "out").await;
        accept(&fleet, rest[0], &["zone", "in", "krk-a"]).await;
        wait_dispatched(&fleet, &fleet.engines[0], 5).await;
        assert_none_cut(&load.stop().await);
        assert_none_cut(&isolated_load.stop().await);
    });
}

/// Guards against an accepted move that is lost because the log goes down right after it was
/// accepted and the pool's owner is killed and replaced. The test combines two failures.
#[test]
fn a_zone_stays_out_when_log_and_owner_fail() {
    run(async {
        let mut fleet = Fleet::start(three_zones()).await;
        let owner = fleet.owner(0, "assistant").await.expect("an owner");
        let rest = others(&fleet, owner);
        let load = Load::start(&fleet, &rest, &LoadPlan::new(8, 10)).await;
        wait_dispatched(&fleet, &fleet.engines[0], 5).await;
        let reply = accept(&fleet, rest[0], &["zone", "out", "krk-a"]).await;
        fleet.behave(&fleet.log, &json!({"outage": true})).await;
        mark(&fleet.engines[0], "out").await;
        fleet.restart_daemon(owner);
        watch_past_bound(&load).await;
        for daemon in 0..3 {
            wait_live(&fleet, daemon, 3).await;
        }
        let version = reply["config_version"].as_u64().expect("a version");
        assert!(config_version(&fleet, owner).await >= version);
        let late = Load::start(&fleet, &[owner], &LoadPlan::new(4, 10)).await;
        late.wait_whole(20, ARRIVAL_LIMIT).await;
        assert_no_late_work(&fleet, &fleet.engines[0], "out").await;
        fleet.behave(&fleet.log, &json!({"outage": false})).await;
        accept(&fleet, owner, &["zone", "in", "krk-a"]).await;
        wait_dispatched(&fleet, &fleet.engines[0], 5).await;
        assert_none_cut(&load.stop().await);
        assert_none_cut(&late.stop().await);
    });
}

/// Returns the state of a zone move as one host reports it.
async fn zone_report(fleet: &Fleet, daemon: usize) -> Value {
    operate(fleet, daemon, &["zone", "status", "krk-a"]).await.1
}

/// Guards against a host that reports a zone as empty because another host owns the pool with
/// requests there.
#[test]
fn every_host_reports_a_zone_busy_while_work_runs_there() {
    run(async {
        let plan = FleetPlan::new(3).engine(EnginePlan::new("m1", "krk-a", &[]));
        let fleet = Fleet::start(plan).await;
        let home = fleet.home(0).await;
        let (address, key) = (fleet.caller(0), home_key(&home, "long"));
        let long = compio::runtime::spawn(async move {
            // 300 decoding steps of 20 ms.
            request(address, &key, "question", 2, 300).await
        });
        wait_dispatched(&fleet, &fleet.engines[0], 1).await;
        let reply = accept(&fleet, 0, &["zone", "out", "krk-a"]).await;
        let version = reply["config_version"].as_u64().expect("a version");
        wait_version(&fleet, &[0, 1, 2], version).await;
        for daemon in 0..3 {
            wait_until("the host reports the running work", ZONE_BOUND, || async {
                zone_report(&fleet, daemon).await["running"] == 1
            })
            .await;
        }
        let busy = zone_report(&fleet, 1).await;
        assert_eq!(busy["done"], false, "{busy}");
        let outcome = long.await.expect("the request ends");
        assert!(outcome.is_whole(), "{outcome:?}");
        for daemon in 0..3 {
            wait_until("the host reports the zone as done", ZONE_BOUND, || async {
                zone_report(&fleet, daemon).await["done"] == true
            })
            .await;
        }
    });
}
