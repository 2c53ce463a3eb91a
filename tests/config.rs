//! Tests of guarantee 11 with real processes: an accepted configuration is in force on every host
//! within seconds and is never reverted.

mod support_moves;

use std::time::{Duration, Instant};

use fleet::{EnginePlan, Fleet, FleetPlan, home_key, wait_until};
use serde_json::json;
use support_moves::{
    FRESHNESS_BOUND, IN_FORCE_BOUND, accept, config_version, document, home, operate, request, run,
    wait_live, wait_version, zone_state,
};

const CONFLICT: u64 = 3102;
const ISOLATED: u64 = 1301;

fn three_hosts() -> FleetPlan {
    FleetPlan::new(3)
        .engine(EnginePlan::new("m1", "krk-a", &[]))
        .engine(EnginePlan::new("m2", "krk-b", &[]))
}

async fn assert_agreement(fleet: &Fleet) {
    let first = document(fleet, 0).await;
    assert!(first.is_object(), "{first}");
    for daemon in 1..fleet.plan.daemons {
        assert_eq!(document(fleet, daemon).await, first, "host {daemon}");
    }
}

/// Guards against accepting two operators' changes to the same version, and against hosts that
/// disagree on which one was accepted.
#[test]
fn of_two_racing_operators_one_wins() {
    run(async {
        let fleet = Fleet::start(three_hosts()).await;
        for _ in 0..3 {
            let base = config_version(&fleet, 0).await;
            wait_version(&fleet, &[0, 1, 2], base).await;
            let base = base.to_string();
            let night = ["zone", "out", "krk-a", "--expected-version", &base];
            let day = ["zone", "out", "krk-b", "--expected-version", &base];
            let (night, day) = futures_util::future::join(
                fleet.operate(0, "night-token", &night),
                fleet.operate(1, "day-token", &day),
            )
            .await;
            let winners = usize::from(night.0 == 0) + usize::from(day.0 == 0);
            assert_eq!(winners, 1, "night {night:?}, day {day:?}");
            let loser = if night.0 == 0 { &day.1 } else { &night.1 };
            assert!(loser.to_string().contains(&CONFLICT.to_string()), "{loser}");
            let version = config_version(&fleet, 0).await;
            wait_version(&fleet, &[0, 1, 2], version).await;
            assert_agreement(&fleet).await;
            let winner = if night.0 == 0 { "krk-a" } else { "krk-b" };
            assert_eq!(zone_state(&fleet, 2, winner).await, "out");
            accept(&fleet, 2, &["zone", "in", winner]).await;
        }
    });
}

/// Guards against a change that is applied twice, or reported as failed, because the log's reply
/// was lost after the append took effect, and against a retry that reverts or repeats the change.
#[test]
fn a_lost_answer_of_the_log_changes_nothing() {
    run(async {
        let fleet = Fleet::start(three_hosts()).await;
        let before = config_version(&fleet, 0).await;
        fleet.behave(&fleet.log, &json!({"lose_answers": 1})).await;
        let first = accept(&fleet, 0, &["zone", "out", "krk-a"]).await;
        let stats = fleet.stats(&fleet.log).await;
        assert_eq!(stats["lost_answers"], 1, "{stats}");
        assert_eq!(first["config_version"].as_u64(), Some(before + 1));
        // The append's reply is lost and reads fail: the outcome is unknown, the operator retries.
        fleet
            .behave(&fleet.log, &json!({"lose_answers": 1, "read_outage": true}))
            .await;
        let (code, reply) = operate(&fleet, 1, &["zone", "in", "krk-a"]).await;
        assert_ne!(
            code, 0,
            "nobody can know that the change is recorded: {reply}"
        );
        assert!(reply.to_string().contains("3105"), "{reply}");
        fleet
            .behave(&fleet.log, &json!({"read_outage": false}))
            .await;
        accept(&fleet, 1, &["zone", "in", "krk-a"]).await;
        for daemon in 0..3 {
            wait_until("the zone is back", IN_FORCE_BOUND, || async {
                zone_state(&fleet, daemon, "krk-a").await == "in"
            })
            .await;
        }
        assert_agreement(&fleet).await;
    });
}

/// Guards against a host that starts without a configuration because its records have expired from
/// the log, also while the host that is first in turn to publish snapshots cannot reach the log.
#[test]
fn a_host_starts_after_old_records_expired() {
    run(async {
        let mut plan = three_hosts();
        plan.log_arguments = ["--retain-records", "4"].map(str::to_owned).to_vec();
        plan.daemon_arguments = ["--claim-window", "10s"].map(str::to_owned).to_vec();
        let mut fleet = Fleet::start(plan.proxied()).await;
        accept(&fleet, 0, &["zone", "out", "krk-a"]).await;
        let mut homes = Vec::new();
        for daemon in 0..3 {
            homes.push((home(&fleet, daemon).await, daemon));
        }
        let (_, first_in_turn) = homes.into_iter().min().expect("three hosts");
        fleet.fault_log(first_in_turn, &json!({"cut": true})).await;
        let first = || async {
            let stats = fleet.stats(&fleet.log).await;
            stats["topics"]["config"][0].as_u64().unwrap_or(0)
        };
        // Other hosts publish snapshots, so that the original records expire.
        wait_until(
            "old records are dropped",
            Duration::from_secs(70),
            || async { first().await > 1 },
        )
        .await;
        fleet.fault_log(first_in_turn, &json!({"cut": false})).await;
        let expected = document(&fleet, 0).await;
        let version = config_version(&fleet, 0).await;
        // All hosts restart at once, so that the log is the only source of the configuration.
        for daemon in 0..3 {
            fleet.daemons[daemon].kill();
        }
        for daemon in 0..3 {
            fleet.restart_daemon(daemon);
        }
        for daemon in 0..3 {
            wait_live(&fleet, daemon, 3).await;
            assert!(config_version(&fleet, daemon).await >= version);
            assert_eq!(document(&fleet, daemon).await, expected, "host {daemon}");
        }
    });
}

/// Guards against a configuration that is lost or reverted when all hosts are replaced one by one
/// while the log is down.
#[test]
fn replacing_every_host_during_an_outage_keeps_the_configuration() {
    run(async {
        let mut fleet = Fleet::start(three_hosts()).await;
        let reply = accept(&fleet, 1, &["zone", "out", "krk-a"]).await;
        let version = reply["config_version"].as_u64().expect("a version");
        fleet.behave(&fleet.log, &json!({"outage": true})).await;
        let expected = document(&fleet, 1).await;
        for daemon in 0..3 {
            fleet.restart_daemon(daemon);
            wait_live(&fleet, daemon, 3).await;
            for viewer in 0..3 {
                wait_live(&fleet, viewer, 3).await;
                assert!(
                    config_version(&fleet, viewer).await >= version,
                    "host {viewer}"
                );
                assert_eq!(document(&fleet, viewer).await, expected, "host {viewer}");
            }
        }
        fleet.behave(&fleet.log, &json!({"outage": false})).await;
        let reply = accept(&fleet, 2, &["zone", "in", "krk-a"]).await;
        let version = reply["config_version"].as_u64().expect("a version");
        wait_version(&fleet, &[0, 1, 2], version).await;
        assert_agreement(&fleet).await;
    });
}

/// Guards against a host that keeps using an old configuration while it is disconnected from the
/// log and from all peers, and against a refusal that does not state that nothing ran.
#[test]
fn an_isolated_host_refuses_and_dispatches_nothing() {
    run(async {
        let fleet = Fleet::start(three_hosts().proxied()).await;
        let home = fleet.home(2).await;
        let served = request(fleet.caller(2), &home_key(&home, "a"), "question", 1, 4).await;
        assert!(served.is_whole(), "{served:?}");
        fleet.fault_peers(2, &[0, 1], &json!({"cut": true})).await;
        fleet.fault_log(2, &json!({"cut": true})).await;
        let accepted = async {
            loop {
                let (code, _) = operate(&fleet, 0, &["zone", "out", "krk-a"]).await;
                if code == 0 {
                    return Instant::now();
                }
            }
        }
        .await;
        wait_until("the host refuses", Duration::from_secs(10), || async {
            let key = home_key(&home, &format!("b{:?}", accepted.elapsed().as_micros()));
            let outcome = request(fleet.caller(2), &key, "question", 1, 4).await;
            if outcome.is_whole() {
                assert!(
                    outcome.began < accepted + FRESHNESS_BOUND,
                    "served {:?} after the change was accepted",
                    outcome.began - accepted
                );
                return false;
            }
            let reply = outcome.reply.expect("the host answers");
            assert_eq!(
                (reply.code(), reply.ran()),
                (ISOLATED, "not_run"),
                "{reply:?}"
            );
            true
        })
        .await;
        assert_eq!(zone_state(&fleet, 2, "krk-a").await, "in", "it cannot know");
        fleet.fault_peers(2, &[0, 1], &json!({"cut": false})).await;
        fleet.fault_log(2, &json!({"cut": false})).await;
        wait_until("the host catches up", IN_FORCE_BOUND, || async {
            zone_state(&fleet, 2, "krk-a").await == "out"
        })
        .await;
    });
}

/// Guards against a change that a minority with access to the log reports as accepted, and
/// against requests that the minority dispatches.
#[test]
fn a_minority_that_reaches_the_log_accepts_nothing() {
    run(async {
        let fleet = Fleet::start(three_hosts().proxied()).await;
        fleet.fault_peers(2, &[0, 1], &json!({"cut": true})).await;
        let home = fleet.home(2).await;
        let key = home_key(&home, "a");
        wait_until("the host refuses changes", IN_FORCE_BOUND, || async {
            let (code, reply) = operate(&fleet, 2, &["zone", "out", "krk-b"]).await;
            code != 0 && reply.to_string().contains("3108")
        })
        .await;
        let outcome = request(fleet.caller(2), &key, "question", 1, 4).await;
        let reply = outcome.reply.expect("the host answers");
        assert_eq!(
            (reply.code(), reply.ran()),
            (ISOLATED, "not_run"),
            "{reply:?}"
        );
        let version = accept(&fleet, 0, &["zone", "out", "krk-a"]).await;
        let version = version["config_version"].as_u64().expect("a version");
        // The host reads the change from the log at once, although it cannot reach its peers.
        wait_version(&fleet, &[2], version).await;
        assert_eq!(zone_state(&fleet, 2, "krk-a").await, "out");
    });
}
