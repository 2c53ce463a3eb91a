//! Tests of the loss of the pool owner: queued requests are still served, and none runs twice.

mod support;

use std::cell::Cell;
use std::time::{Duration, Instant};

use fleet::{Fleet, Reply};
use futures_util::future::{join, join_all};
use serde_json::json;
use support::{
    LEASE, TAKEOVER_LIMIT, assert_consistent_reply, assert_no_repeated_dispatch, dispatch_count,
    engine_load, follower_and_owner, new_key, open_stream, plan, run, submit, wait_until_queued,
};

const ENGINE_CAPACITY: u64 = 2;
/// Length of the answers of queued requests. They take 0.1 s, so that two engines serve eight of
/// them well within the time left after the takeover.
const SHORT_TOKENS: u32 = 5;

fn small_plan(engines: usize) -> fleet::FleetPlan {
    plan(3, engines, &["--capacity", "2"])
}

/// Polls the engines until `stop` is set and returns the highest load. Fails if an engine exceeds
/// its capacity.
async fn watch_capacity(fleet: &Fleet, stop: &Cell<bool>) -> u64 {
    let mut max_load = 0;
    while !stop.get() {
        for engine in 0..fleet.engines.len() {
            max_load = max_load.max(engine_load(fleet, engine).await);
        }
        assert!(
            max_load <= ENGINE_CAPACITY,
            "an engine has {max_load} requests"
        );
        compio::time::sleep(Duration::from_millis(20)).await;
    }
    max_load
}

/// Fills all engines, queues requests at two followers, injects a fault into the owner and checks
/// how long the queued requests take from then on.
async fn check_owner_loss<F: Future<Output = ()>>(fleet: &Fleet, fault: impl FnOnce(usize) -> F) {
    let (first, owner) = follower_and_owner(fleet).await;
    let second = (0..3)
        .find(|host| *host != first && *host != owner)
        .unwrap();
    let mut running = Vec::new();
    for index in 0..4 {
        let host = [first, second][index % 2];
        let key = new_key(fleet, host, &format!("run{index}")).await;
        running.push((key.clone(), open_stream(fleet, host, &key, 100).await));
    }
    let lost_at = Cell::new(Instant::now());
    let stop = Cell::new(false);
    let is_over = Cell::new(false);
    let waiting = (0..8).map(|index| {
        let (lost_at, is_over) = (&lost_at, &is_over);
        async move {
            let host = [first, second][index % 2];
            let mut served = Vec::new();
            while served.is_empty() || !is_over.get() {
                let began = Instant::now();
                let key = new_key(fleet, host, &format!("wait{index}-{}", served.len())).await;
                let reply = submit(fleet, host, &key, SHORT_TOKENS).await.unwrap();
                let took = lost_at.get().max(began).elapsed();
                served.push((key, reply, took));
            }
            served
        }
    });
    let breaking = async {
        wait_until_queued(fleet, owner, 8).await;
        lost_at.set(Instant::now());
        fault(owner).await;
        is_over.set(true);
    };
    let runs = running
        .into_iter()
        .map(|(key, stream)| async move { (key, stream.rest().await) });
    let all = async {
        let (waited, ran, ()) = futures_util::join!(join_all(waiting), join_all(runs), breaking);
        stop.set(true);
        (waited, ran)
    };
    let ((waited, ran), max_load) = join(all, watch_capacity(fleet, &stop)).await;
    check_served(fleet, &waited.concat()).await;
    for (key, reply) in ran {
        assert_eq!(reply.code(), 1000, "{key}: {reply:?}");
        assert_eq!(dispatch_count(fleet, &key).await, 1);
    }
    println!("at most {max_load} requests on one engine");
    assert_no_repeated_dispatch(fleet).await;
}

async fn check_served(fleet: &Fleet, waited: &[(String, Reply, Duration)]) {
    let slowest = waited.iter().map(|(_, _, took)| *took).max().unwrap();
    let count = waited.len();
    println!("{count} requests were queued; the slowest took {slowest:?} after the loss");
    for (key, reply, took) in waited {
        assert!(
            reply.is_whole(0, u64::from(SHORT_TOKENS)),
            "{key}: {reply:?}"
        );
        assert!(*took < TAKEOVER_LIMIT, "{key} took {took:?}");
        assert_consistent_reply(fleet, key, reply).await;
    }
}

/// Guards against queued requests that are lost, run twice or take more than 5 s, and against
/// overloaded engines, when the pool owner is killed.
#[test]
fn owner_killed() {
    run(async {
        let fleet = Fleet::start(small_plan(2)).await;
        check_owner_loss(&fleet, |owner| {
            fleet.daemons[owner].crash();
            async {}
        })
        .await;
    });
}

/// Guards against the same faults when the owner is paused, and against an owner that continues to
/// grant permits after its pause although another host has taken over.
#[test]
fn owner_paused() {
    run(async {
        let fleet = Fleet::start(small_plan(2)).await;
        check_owner_loss(&fleet, |owner| {
            let fleet = &fleet;
            async move {
                fleet.daemons[owner].pause();
                compio::time::sleep(LEASE * 2).await;
                fleet.daemons[owner].resume();
                // Requests continue while the old owner learns that it has been replaced.
                compio::time::sleep(LEASE).await;
            }
        })
        .await;
    });
}

/// Guards against a takeover that depends on the log.
#[test]
fn owner_killed_while_the_log_is_down() {
    run(async {
        let fleet = Fleet::start(small_plan(2)).await;
        fleet.behave(&fleet.log, &json!({"outage": true})).await;
        check_owner_loss(&fleet, |owner| {
            fleet.daemons[owner].crash();
            async {}
        })
        .await;
    });
}
