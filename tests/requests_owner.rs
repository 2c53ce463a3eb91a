//! Loss of the pool owner: waiting requests go on, and none runs twice.

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

const CAPACITY: u64 = 2;
/// Answers of the waiting requests take 0.1 s, so that eight of them on two engines are done well
/// within the time left after the takeover.
const SHORT_TOKENS: u32 = 5;

fn small_plan(engines: usize) -> fleet::FleetPlan {
    plan(3, engines, &["--capacity", "2"])
}

/// Watches the engines until told to stop; fails when one holds more than its capacity.
async fn watch_capacity(fleet: &Fleet, stop: &Cell<bool>) -> u64 {
    let mut most = 0;
    while !stop.get() {
        for engine in 0..fleet.engines.len() {
            most = most.max(engine_load(fleet, engine).await);
        }
        assert!(most <= CAPACITY, "an engine holds {most} requests");
        compio::time::sleep(Duration::from_millis(20)).await;
    }
    most
}

/// Fills all engines, lets requests wait at two followers, breaks the owner and measures how long
/// the waiting ones take from then on.
async fn lose_owner<F: Future<Output = ()>>(fleet: &Fleet, fault: impl FnOnce(usize) -> F) {
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
    let lost = Cell::new(Instant::now());
    let stop = Cell::new(false);
    let over = Cell::new(false);
    let waiting = (0..8).map(|index| {
        let (lost, over) = (&lost, &over);
        async move {
            let host = [first, second][index % 2];
            let mut served = Vec::new();
            while served.is_empty() || !over.get() {
                let began = Instant::now();
                let key = new_key(fleet, host, &format!("wait{index}-{}", served.len())).await;
                let reply = submit(fleet, host, &key, SHORT_TOKENS).await.unwrap();
                let took = lost.get().max(began).elapsed();
                served.push((key, reply, took));
            }
            served
        }
    });
    let breaking = async {
        wait_until_queued(fleet, owner, 8).await;
        lost.set(Instant::now());
        fault(owner).await;
        over.set(true);
    };
    let runs = running
        .into_iter()
        .map(|(key, stream)| async move { (key, stream.rest().await) });
    let all = async {
        let (waited, ran, ()) = futures_util::join!(join_all(waiting), join_all(runs), breaking);
        stop.set(true);
        (waited, ran)
    };
    let ((waited, ran), most) = join(all, watch_capacity(fleet, &stop)).await;
    check_served(fleet, &waited.concat()).await;
    for (key, reply) in ran {
        assert_eq!(reply.code(), 1000, "{key}: {reply:?}");
        assert_eq!(dispatch_count(fleet, &key).await, 1);
    }
    println!("at most {most} requests on one engine");
    assert_no_repeated_dispatch(fleet).await;
}

async fn check_served(fleet: &Fleet, waited: &[(String, Reply, Duration)]) {
    let slowest = waited.iter().map(|(_, _, took)| *took).max().unwrap();
    let count = waited.len();
    println!("{count} requests waited; the slowest for {slowest:?} after the loss");
    for (key, reply, took) in waited {
        assert!(
            reply.is_whole(0, u64::from(SHORT_TOKENS)),
            "{key}: {reply:?}"
        );
        assert!(*took < TAKEOVER_LIMIT, "{key} took {took:?}");
        assert_consistent_reply(fleet, key, reply).await;
    }
}

/// Guards against waiting requests that are lost, run twice or wait for more than 5 s, and against
/// overfilled engines, when the pool owner is killed.
#[test]
fn owner_killed() {
    run(async {
        let fleet = Fleet::start(small_plan(2)).await;
        lose_owner(&fleet, |owner| {
            fleet.daemons[owner].crash();
            async {}
        })
        .await;
    });
}

/// Guards against the same when the owner is paused, and against an owner that grants on after its
/// pause though another one has taken over.
#[test]
fn owner_paused() {
    run(async {
        let fleet = Fleet::start(small_plan(2)).await;
        lose_owner(&fleet, |owner| {
            let fleet = &fleet;
            async move {
                fleet.daemons[owner].pause();
                compio::time::sleep(LEASE * 2).await;
                fleet.daemons[owner].resume();
                // Work goes on while the old owner finds out that it has been replaced.
                compio::time::sleep(LEASE).await;
            }
        })
        .await;
    });
}

/// Guards against a takeover that needs the log.
#[test]
fn owner_killed_while_the_log_is_down() {
    run(async {
        let fleet = Fleet::start(small_plan(2)).await;
        fleet.behave(&fleet.log, &json!({"outage": true})).await;
        lose_owner(&fleet, |owner| {
            fleet.daemons[owner].crash();
            async {}
        })
        .await;
    });
}
