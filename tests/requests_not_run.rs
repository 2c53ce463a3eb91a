//! Tests of guarantee 7: a request whose refusal says "not run" has not run.

mod support;

use std::time::Duration;

use fleet::{Fleet, Reply, submit_body};
use futures_util::future::{join, join_all};
use serde_json::{Value, json};
use support::{
    assert_consistent_reply, cancel, dispatch_count, freeze, new_key, plan, run, submit,
    submit_value, wait_until_dispatched,
};

fn body(key: &str, tokens: u32, deadline_ms: u64) -> Value {
    let mut body = submit_body(key, 1, key, tokens);
    body["deadline_ms"] = json!(deadline_ms);
    body
}

/// Submits one request through each host and returns the keys and replies.
async fn send_all(fleet: &Fleet, name: &str, deadline_ms: u64) -> Vec<(String, Reply)> {
    let submissions = (0..3).map(|host| async move {
        let key = new_key(fleet, host, name).await;
        let body = body(&key, 5, deadline_ms);
        let reply = submit_value(fleet, host, &body).await.unwrap();
        (key, reply)
    });
    join_all(submissions).await
}

/// Guards against "not run" for a request that is still dispatched later, and against "may have
/// run" for one that never reached an engine, while engines refuse connections or requests.
#[test]
fn refusals_of_engines_are_not_run() {
    run(async {
        let mut fleet = Fleet::start(plan(3, 2, &[])).await;
        for engine in &fleet.engines {
            fleet.behave(engine, &json!({"refuse": true})).await;
        }
        let mut refused = send_all(&fleet, "declined", 1500).await;
        for engine in &fleet.engines {
            fleet.behave(engine, &json!({"refuse": null})).await;
            engine.crash();
        }
        refused.extend(send_all(&fleet, "unreachable", 1500).await);
        for index in 0..2 {
            fleet.restart_engine(index, &["--report-lag-ms", "0"]);
        }
        for (key, reply) in &refused {
            assert_eq!(reply.ran(), "not_run", "{key}: {reply:?}");
        }
        // Served requests show that the engines accept work again; the refused ones must not run.
        for (key, reply) in send_all(&fleet, "after", 10_000).await {
            assert!(reply.is_whole(0, 5), "{key}: {reply:?}");
        }
        for (key, reply) in &refused {
            assert_consistent_reply(&fleet, key, reply).await;
        }
    });
}

/// Guards against "not run" for a request that reached the engine before the connection broke and
/// all attempts to resume the stream failed.
#[test]
fn connection_broken_after_the_request_was_sent() {
    run(async {
        let fleet = Fleet::start(plan(3, 1, &[]).proxied_engines()).await;
        let key = new_key(&fleet, 0, "broken").await;
        // The engine accepts the request and sends nothing before the connection breaks.
        let silent = json!({"freeze_streams": true, "drop_answer": true});
        fleet.behave(&fleet.engines[0], &silent).await;
        let breaking = async {
            wait_until_dispatched(&fleet, &key).await;
            fleet.fault_engine(0, &json!({"cut": true})).await;
        };
        let (reply, ()) = join(submit(&fleet, 0, &key, 10), breaking).await;
        let reply = reply.unwrap();
        assert_eq!(
            (reply.code(), reply.ran()),
            (2103, "may_have_run"),
            "{reply:?}"
        );
        assert_eq!(dispatch_count(&fleet, &key).await, 1);
        let again = submit(&fleet, 0, &key, 10).await.unwrap();
        assert_eq!(again.ran(), "may_have_run", "{again:?}");

        let normal = json!({"freeze_streams": null, "drop_answer": null});
        fleet.behave(&fleet.engines[0], &normal).await;
        fleet.fault_engine(0, &json!({"cut": false})).await;
        let next = new_key(&fleet, 1, "next").await;
        let reply = submit(&fleet, 1, &next, 10).await.unwrap();
        assert!(reply.is_whole(0, 10), "{reply:?}");
        assert_eq!(dispatch_count(&fleet, &key).await, 1);
    });
}

/// Sends a request with a deadline of 1 s that stays in the accept queue of the engine for longer
/// than that: a frozen engine accepts requests but starts none.
async fn check_accept_queue(cancelled: bool) {
    let fleet = Fleet::start(plan(3, 1, &["--capacity", "1"])).await;
    freeze(&fleet, true).await;
    let key = new_key(&fleet, 0, "late").await;
    let ending = async {
        wait_until_dispatched(&fleet, &key).await;
        // Longer than the deadline of 1 s.
        compio::time::sleep(Duration::from_millis(1500)).await;
        let stats = fleet.stats(&fleet.engines[0]).await;
        assert_eq!(stats["started"], 0, "the request left the accept queue");
        if cancelled {
            cancel(&fleet, 0, "big-token", &key).await;
        }
        freeze(&fleet, false).await;
    };
    let sent = body(&key, 5, 1000);
    let (reply, ()) = join(submit_value(&fleet, 0, &sent), ending).await;
    let reply = reply.unwrap();
    assert_consistent_reply(&fleet, &key, &reply).await;
    if cancelled {
        assert_eq!((reply.code(), reply.ran()), (1001, "may_have_run"));
    } else {
        let is_consistent = reply.is_whole(0, 5) || reply.ran() == "may_have_run";
        assert!(is_consistent, "{reply:?}");
    }
}

/// Guards against "not run" for a request whose deadline passes in the accept queue of the engine.
#[test]
fn deadline_in_the_accept_queue() {
    run(check_accept_queue(false));
}

/// Guards against "not run" for a request that is cancelled in the accept queue of the engine.
#[test]
fn cancellation_in_the_accept_queue() {
    run(check_accept_queue(true));
}

/// Guards against the dispatch of a request after its caller received that its deadline passed in
/// the queue of the pool.
#[test]
fn deadline_in_the_queue() {
    run(async {
        let fleet = Fleet::start(plan(3, 1, &["--capacity", "1"])).await;
        let first = new_key(&fleet, 0, "first").await;
        let mut refused = Vec::new();
        let behind = async {
            wait_until_dispatched(&fleet, &first).await;
            for round in 0..3 {
                let replies = send_all(&fleet, &format!("late{round}"), 300).await;
                refused.extend(replies);
            }
        };
        let (reply, ()) = join(submit(&fleet, 0, &first, 100), behind).await;
        assert!(reply.unwrap().is_whole(0, 100));
        let last = new_key(&fleet, 1, "last").await;
        let reply = submit(&fleet, 1, &last, 5).await.unwrap();
        assert!(reply.is_whole(0, 5), "{reply:?}");
        for (key, reply) in &refused {
            assert_consistent_reply(&fleet, key, reply).await;
        }
        let codes: Vec<_> = refused.iter().map(|(_, reply)| reply.code()).collect();
        let expired = codes.iter().filter(|code| [1302, 1305].contains(*code));
        assert!(
            expired.count() > 0,
            "no request passed its deadline: {codes:?}"
        );
    });
}
