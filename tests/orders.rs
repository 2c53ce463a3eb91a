//! Tests guarantee 8 with real processes: an order runs at most once, whatever fails.

mod failure_support;

use failure_support::{
    SETTLE_TIME, assert_no_key_ran_twice, claim_records, order_body, place, run, runs, try_place,
    wait_claims, wait_service,
};
use fleet::{Fleet, FleetPlan, Reply, ServicePlan, send, unix_seconds, wait_until};
use futures_util::future::{join, join_all};
use http::Method;
use serde_json::{Value, json};

fn plan() -> FleetPlan {
    FleetPlan::new(3).service(ServicePlan::new("s1", "krk-a", &[]))
}

fn new_key(suffix: &str) -> String {
    format!("{}-{suffix}", unix_seconds())
}

async fn log_faults(fleet: &Fleet, faults: Value) {
    fleet.behave(&fleet.log, &faults).await;
}

async fn service_faults(fleet: &Fleet, faults: Value) {
    fleet.behave(&fleet.services[0], &faults).await;
}

/// Asserts that the reply has this code and says "not run".
fn assert_not_run(reply: &Reply, code: u64) {
    assert_eq!((reply.code(), reply.ran()), (code, "not_run"), "{reply:?}");
}

/// Sends an order repeatedly until the reply contains its result.
async fn place_until_done(fleet: &Fleet, host: usize, body: &Value) -> Reply {
    wait_until("the order is done", SETTLE_TIME, || async {
        place(fleet, host, body).await.code() == 1000
    })
    .await;
    place(fleet, host, body).await
}

/// Places an order that the service refuses, until it is refused after its claim was won.
///
/// If the backoff of the endpoint ends after the deadline of the order, the pool replies with 1302
/// instead of 1305. An order that is refused so before its claim is placed again.
async fn place_refused_after_claim(fleet: &Fleet, host: usize, body: &Value) {
    wait_until("the order is claimed and refused", SETTLE_TIME, || async {
        let before = claim_records(fleet).await;
        let reply = place(fleet, host, body).await;
        assert_eq!(reply.ran(), "not_run", "{reply:?}");
        assert!(
            [1302, 1305, 1306, 1308].contains(&reply.code()),
            "{reply:?}"
        );
        claim_records(fleet).await > before
    })
    .await;
}

/// Guards against two hosts that both act as the holder of a claim, and against a host that does
/// not receive the outcome of another host's claim.
#[test]
fn hosts_with_the_same_order_at_once_run_it_once() {
    run(async {
        let fleet = Fleet::start(plan()).await;
        for (round, hosts) in [vec![0, 1], vec![0, 1, 2], vec![2, 1, 0, 0, 1, 2]]
            .into_iter()
            .enumerate()
        {
            let key = new_key(&format!("race{round}"));
            let body = order_body(&key, 2);
            let replies = join_all(hosts.iter().map(|host| place(&fleet, *host, &body))).await;
            for reply in &replies {
                assert_eq!(reply.code(), 1000, "{replies:?}");
                assert_eq!(reply.lines, replies[0].lines);
            }
            assert_eq!(runs(&fleet, &key).await, 1);
        }
        // A resend after success receives the same result at every host.
        let body = order_body(&new_key("again"), 3);
        let first = place(&fleet, 0, &body).await;
        for host in [0, 1, 2] {
            assert_eq!(place(&fleet, host, &body).await, first, "host {host}");
        }
        assert_no_key_ran_twice(&fleet).await;
    });
}

/// Guards against a claim that is appended again or abandoned because the answer of the log was
/// lost after the record was stored.
#[test]
fn a_lost_claim_answer_does_not_repeat_the_order() {
    run(async {
        let fleet = Fleet::start(plan()).await;
        for lost in [1, 3] {
            let key = new_key(&format!("lost{lost}"));
            let body = order_body(&key, lost);
            log_faults(&fleet, json!({ "lose_answers": lost })).await;
            let (left, right) = join(place(&fleet, 0, &body), place(&fleet, 1, &body)).await;
            assert_eq!(
                (left.code(), right.code()),
                (1000, 1000),
                "{left:?} {right:?}"
            );
            assert_eq!(runs(&fleet, &key).await, 1);
        }
        log_faults(&fleet, json!({ "lose_answers": 0, "lose_ratio": 0.5 })).await;
        for round in 0..10 {
            let key = new_key(&format!("ratio{round}"));
            let body = order_body(&key, 1);
            let replies = join_all((0..3).map(|host| place(&fleet, host, &body))).await;
            for reply in &replies {
                assert_eq!(reply.code(), 1000, "{replies:?}");
            }
        }
        assert_no_key_ran_twice(&fleet).await;
    });
}

/// Guards against an order that runs without a claim during a log outage, and against a key that is
/// unusable after it was refused.
#[test]
fn an_order_refused_in_a_log_outage_runs_later_with_its_key() {
    run(async {
        let fleet = Fleet::start(plan()).await;
        let key = new_key("outage");
        let body = order_body(&key, 4);
        log_faults(&fleet, json!({ "outage": true })).await;
        for host in [0, 1, 2, 0] {
            assert_not_run(&place(&fleet, host, &body).await, 1203);
        }
        assert_eq!(runs(&fleet, &key).await, 0);
        log_faults(&fleet, json!({ "outage": false })).await;
        let first = place_until_done(&fleet, 0, &body).await;
        for host in [1, 2] {
            assert_eq!(place(&fleet, host, &body).await, first, "host {host}");
        }
        assert_eq!(runs(&fleet, &key).await, 1);
        assert_no_key_ran_twice(&fleet).await;
    });
}

/// Guards against a second run and a false "not run" when the log answers late: first within the
/// time-out of an append (2 s), then after it.
#[test]
fn a_slow_log_delays_orders_but_does_not_repeat_them() {
    run(async {
        let fleet = Fleet::start(plan()).await;
        log_faults(&fleet, json!({ "slow_ms": 500 })).await;
        let key = new_key("slow");
        let body = order_body(&key, 1);
        let (left, right) = join(place(&fleet, 0, &body), place(&fleet, 2, &body)).await;
        assert_eq!(
            (left.code(), right.code()),
            (1000, 1000),
            "{left:?} {right:?}"
        );
        assert_eq!(runs(&fleet, &key).await, 1);

        log_faults(&fleet, json!({ "slow_ms": 2500 })).await;
        let key = new_key("slower");
        let body = order_body(&key, 1);
        let replies = join(place(&fleet, 0, &body), place(&fleet, 2, &body)).await;
        log_faults(&fleet, json!({ "slow_ms": 0 })).await;
        for reply in [&replies.0, &replies.1] {
            assert!([1000, 1203, 2102].contains(&reply.code()), "{replies:?}");
        }
        let ran_at_once = runs(&fleet, &key).await;
        let later = place_until_settled(&fleet, 0, &body).await;
        assert_eq!(runs(&fleet, &key).await, 1, "{replies:?} {later:?}");
        let all_refused = [&replies.0, &replies.1]
            .iter()
            .all(|reply| reply.ran() == "not_run");
        assert!(
            !(all_refused && ran_at_once > 0),
            "a false refusal: {replies:?}"
        );
        assert_no_key_ran_twice(&fleet).await;
    });
}

/// Sends an order repeatedly until the reply is a result or "may have run".
async fn place_until_settled(fleet: &Fleet, host: usize, body: &Value) -> Reply {
    wait_until("the order is settled", SETTLE_TIME, || async {
        place(fleet, host, body).await.ran() != "not_run"
    })
    .await;
    place(fleet, host, body).await
}

/// Guards against accepted keys that are outside the claim window, and against two different orders
/// under one key.
#[test]
fn keys_out_of_the_window_and_changed_contents_are_refused() {
    run(async {
        let mut plan = plan();
        plan.daemon_arguments = vec!["--claim-window".to_owned(), "20s".to_owned()];
        let fleet = Fleet::start(plan).await;
        let now = unix_seconds();
        for key in [
            format!("{}-old", now - 22),
            format!("{}-future", now + 60),
            "order-17".to_owned(),
            format!("{now}-"),
        ] {
            assert_not_run(&place(&fleet, 0, &order_body(&key, 1)).await, 1204);
            assert_eq!(runs(&fleet, &key).await, 0);
        }
        let key = new_key("content");
        let first = place(&fleet, 0, &order_body(&key, 1)).await;
        assert_eq!(first.code(), 1000, "{first:?}");
        for host in [0, 1, 2] {
            assert_not_run(&place(&fleet, host, &order_body(&key, 2)).await, 1205);
        }
        // Of two different orders at the same time, one runs and the other is refused.
        let key = new_key("contents");
        let (one, two) = (order_body(&key, 1), order_body(&key, 2));
        let (left, right) = join(place(&fleet, 0, &one), place(&fleet, 1, &two)).await;
        let mut codes = [left.code(), right.code()];
        codes.sort_unstable();
        assert_eq!(codes, [1000, 1205], "{left:?} {right:?}");
        // The same key in another workspace is a different key.
        let address = fleet.caller(0);
        let other = send(
            address,
            Method::POST,
            "/v1/calls",
            Some("big-token"),
            Some(&two),
        )
        .await;
        assert_eq!(other.expect("the daemon must answer").code(), 1000);
        assert_no_key_ran_twice(&fleet).await;
    });
}

/// Guards against a claim that is transferred to another host while its holder is paused, and
/// against a holder that runs the call after another host has run it.
#[test]
fn a_claimant_paused_before_its_call_does_not_cause_a_second_run() {
    run(async {
        let fleet = Fleet::start(plan()).await;
        let owner = fleet
            .owner(0, "orders")
            .await
            .expect("the pool must have an owner");
        let claimant = (owner + 1) % 3;
        let other = (owner + 2) % 3;
        service_faults(&fleet, json!({ "refuse": true })).await;
        let key = new_key("paused");
        let body = order_body(&key, 5);
        let resent = async {
            wait_service(&fleet, "refused", 1).await;
            fleet.daemons[claimant].pause();
            service_faults(&fleet, json!({ "refuse": false })).await;
            let reply = place(&fleet, other, &body).await;
            let ran_meanwhile = runs(&fleet, &key).await;
            fleet.daemons[claimant].resume();
            (reply, ran_meanwhile)
        };
        let (first, (reply, ran_meanwhile)) = join(place(&fleet, claimant, &body), resent).await;
        // The other host must not run the order without the outcome of the claimant.
        assert!([1000, 2102].contains(&reply.code()), "{reply:?}");
        assert_eq!(ran_meanwhile, u64::from(reply.code() == 1000));
        assert_eq!(first.code(), 1000, "{first:?}");
        let again = place(&fleet, other, &body).await;
        assert_eq!(again, first);
        assert_eq!(runs(&fleet, &key).await, 1);
        assert_no_key_ran_twice(&fleet).await;
    });
}

/// Guards against a second run, and against a false "not run", after the only host that holds the
/// outcome of the first run has crashed.
#[test]
fn a_claimant_killed_during_its_call_leaves_may_have_run() {
    run(async {
        let mut fleet = Fleet::start(plan()).await;
        service_faults(&fleet, json!({ "delay_ms": 1500 })).await;
        let key = new_key("killed");
        let body = order_body(&key, 6);
        let failure = async {
            wait_service(&fleet, "received", 1).await;
            fleet.daemons[0].crash();
        };
        let (first, ()) = join(try_place(&fleet, 0, &body), failure).await;
        assert!(first.is_err() || first.is_ok_and(|reply| reply.cut));
        wait_until("the service ran the call", SETTLE_TIME, || async {
            runs(&fleet, &key).await == 1
        })
        .await;
        fleet.restart_daemon(0);
        fleet.wait_synchronised().await;
        for host in [1, 2, 0] {
            let reply = place_until_settled(&fleet, host, &body).await;
            assert_eq!(
                (reply.code(), reply.ran()),
                (2102, "may_have_run"),
                "{reply:?}"
            );
        }
        assert_eq!(runs(&fleet, &key).await, 1);
        assert_no_key_ran_twice(&fleet).await;
    });
}

/// Guards against a repeated call whose answer was lost after the service ran it.
#[test]
fn a_lost_answer_of_the_service_is_not_repeated() {
    run(async {
        let fleet = Fleet::start(plan()).await;
        service_faults(&fleet, json!({ "drop_answer": true })).await;
        let key = new_key("dropped");
        let body = order_body(&key, 7);
        let first = place(&fleet, 0, &body).await;
        assert_eq!(first.ran(), "may_have_run", "{first:?}");
        service_faults(&fleet, json!({ "drop_answer": false })).await;
        for host in [0, 1, 2] {
            let reply = place(&fleet, host, &body).await;
            assert_eq!(reply.ran(), "may_have_run", "host {host}: {reply:?}");
        }
        assert_eq!(runs(&fleet, &key).await, 1);
        // A failure that the service reports after the run is final too.
        service_faults(&fleet, json!({ "fail_ratio": 1.0 })).await;
        let key = new_key("failed");
        let body = order_body(&key, 8);
        let replies = join_all((0..3).map(|host| place(&fleet, host, &body))).await;
        for reply in &replies {
            assert_ne!(reply.ran(), "not_run", "{replies:?}");
            assert_ne!(reply.code(), 1000, "{replies:?}");
        }
        assert_eq!(runs(&fleet, &key).await, 1);
        assert_no_key_ran_twice(&fleet).await;
    });
}

/// Guards against a call that is abandoned or run twice after the service first refused it.
#[test]
fn a_refusing_service_runs_the_order_once_when_it_recovers() {
    run(async {
        let fleet = Fleet::start(plan()).await;
        service_faults(&fleet, json!({ "refuse": true })).await;
        let key = new_key("refused");
        let body = order_body(&key, 9);
        let recovery = async {
            wait_service(&fleet, "refused", 2).await;
            service_faults(&fleet, json!({ "refuse": false })).await;
        };
        let (replies, ()) = join(
            join_all((0..3).map(|host| place(&fleet, host, &body))),
            recovery,
        )
        .await;
        for reply in &replies {
            assert_eq!(reply.code(), 1000, "{replies:?}");
        }
        assert_eq!(runs(&fleet, &key).await, 1);
        assert_no_key_ran_twice(&fleet).await;
    });
}

/// Guards against a key that stays claimed after its call ended without running: a reply "not run"
/// must allow a resend to the same host and to another host.
#[test]
fn an_order_that_ended_unrun_after_its_claim_can_be_sent_again() {
    run(async {
        let fleet = Fleet::start(plan()).await;
        for (case, (first, second)) in [(0, 0), (0, 1), (2, 1)].into_iter().enumerate() {
            service_faults(&fleet, json!({ "refuse": true })).await;
            let key = new_key(&format!("unrun{case}"));
            let body = order_body(&key, 10);
            let mut short = body.clone();
            short["deadline_ms"] = json!(600);
            // The second round wins the released key again and releases it again.
            for _ in 0..2 {
                place_refused_after_claim(&fleet, first, &short).await;
            }
            service_faults(&fleet, json!({ "refuse": false })).await;
            let done = place_until_done(&fleet, second, &body).await;
            let replies = join_all((0..3).map(|host| place(&fleet, host, &body))).await;
            for reply in &replies {
                assert_eq!(*reply, done);
            }
            assert_eq!(runs(&fleet, &key).await, 1);
        }
        assert_no_key_ran_twice(&fleet).await;
    });
}

/// Guards against a claim that is lost or duplicated under two failures: a log outage while a call
/// runs, and a crash of the claimant before it could record the outcome.
#[test]
fn log_outage_and_claimant_killed_together_run_the_order_once() {
    run(async {
        let fleet = Fleet::start(plan()).await;
        service_faults(&fleet, json!({ "delay_ms": 1000 })).await;
        let key = new_key("both");
        let body = order_body(&key, 11);
        let failures = async {
            wait_claims(&fleet, 1).await;
            wait_service(&fleet, "received", 1).await;
            log_faults(&fleet, json!({ "outage": true })).await;
            wait_until("the service ran the call", SETTLE_TIME, || async {
                runs(&fleet, &key).await == 1
            })
            .await;
            fleet.daemons[0].crash();
        };
        let (_, ()) = join(try_place(&fleet, 0, &body), failures).await;
        // The other hosts have read the claim, but its outcome was never recorded.
        for host in [1, 2] {
            let reply = place(&fleet, host, &body).await;
            assert_ne!(reply.code(), 1000, "{reply:?}");
            assert_eq!(runs(&fleet, &key).await, 1);
        }
        log_faults(&fleet, json!({ "outage": false })).await;
        for host in [1, 2] {
            let reply = place_until_settled(&fleet, host, &body).await;
            assert_eq!(reply.code(), 2102, "{reply:?}");
        }
        assert_no_key_ran_twice(&fleet).await;
    });
}

/// Guards against a second run under two failures: the pool owner is paused between the claim and
/// the permit, and the answers of the log to the claims are lost.
#[test]
fn owner_paused_and_claim_answers_lost_run_the_order_once() {
    run(async {
        let fleet = Fleet::start(plan()).await;
        let owner = fleet
            .owner(0, "orders")
            .await
            .expect("the pool must have an owner");
        let hosts = [(owner + 1) % 3, (owner + 2) % 3];
        log_faults(&fleet, json!({ "lose_answers": 2 })).await;
        fleet.daemons[owner].pause();
        let key = new_key("owner");
        let body = order_body(&key, 12);
        let replies = join_all(hosts.map(|host| place(&fleet, host, &body))).await;
        fleet.daemons[owner].resume();
        for reply in &replies {
            assert_eq!(reply.code(), 1000, "{replies:?}");
        }
        let again = place_until_done(&fleet, owner, &body).await;
        assert_eq!(again, replies[0]);
        assert_eq!(runs(&fleet, &key).await, 1);
        assert_no_key_ran_twice(&fleet).await;
    });
}
