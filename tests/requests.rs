//! Tests of guarantee 1: a request is dispatched at most once, whatever fails.

mod support;

use fleet::{Fleet, wait_until};
use futures_util::future::{join, join_all};
use serde_json::json;
use support::{
    LEASE, TAKEOVER_LIMIT, assert_consistent_reply, assert_no_repeated_dispatch, dispatch_count,
    engine_load, follower_and_owner, freeze, new_key, open_stream, plan, run, submit,
    wait_until_dispatched, wait_until_queued,
};

/// Guards against a second dispatch by a host that is not the home when a caller sends the same key
/// to all hosts concurrently.
#[test]
fn one_key_sent_to_three_hosts_concurrently() {
    run(async {
        let fleet = Fleet::start(plan(3, 2, &[])).await;
        let mut abandoned = 0;
        for round in 0..12 {
            let key = new_key(&fleet, round % 3, &format!("t{round}")).await;
            let home = round % 3;
            // The home is the first host in every other round and the last one in the others.
            let mut hosts = [home, (home + 1) % 3, (home + 2) % 3];
            hosts.rotate_left(round % 2);
            let submissions = hosts.map(|host| submit(&fleet, host, &key, 8));
            let replies = join_all(submissions).await;
            let replies: Vec<_> = replies.into_iter().map(Result::unwrap).collect();
            let count = dispatch_count(&fleet, &key).await;
            let complete = replies.iter().filter(|reply| reply.is_whole(0, 8)).count();
            let home_index = hosts.iter().position(|host| *host == home).unwrap();
            match replies[home_index].code() {
                1000 => assert_eq!(count, 1, "{replies:?}"),
                1105 => assert_eq!((count, complete), (0, 0), "{replies:?}"),
                _ => panic!("unexpected reply of the home in {replies:?}"),
            }
            for reply in &replies {
                let is_expected = match reply.code() {
                    1105 => count == 0,
                    1000 => reply.is_whole(0, 8),
                    1106 => true,
                    _ => false,
                };
                assert!(is_expected, "dispatched {count} times: {replies:?}");
            }
            abandoned += usize::from(count == 0);
        }
        println!("{abandoned} of 12 keys were abandoned before they reached their home");
        assert_no_repeated_dispatch(&fleet).await;
    });
}

/// Guards against the dispatch of a key after another host has replied "not run, use a new key" to
/// its caller.
#[test]
fn an_abandoned_key_is_never_dispatched() {
    run(async {
        let fleet = Fleet::start(plan(3, 1, &[])).await;
        let key = new_key(&fleet, 0, "abandoned").await;
        for host in [1, 0, 2, 0] {
            let reply = submit(&fleet, host, &key, 5).await.unwrap();
            assert_eq!((reply.code(), reply.ran()), (1105, "not_run"), "{reply:?}");
        }
        let next = new_key(&fleet, 0, "next").await;
        let reply = submit(&fleet, 0, &next, 5).await.unwrap();
        assert!(reply.is_whole(0, 5), "{reply:?}");
        assert_eq!(dispatch_count(&fleet, &key).await, 0);
    });
}

/// Guards against a second dispatch after the home of a queued and a running request is killed, and
/// against the loss of the running answer.
#[test]
fn home_killed_with_open_requests() {
    run(async {
        let fleet = Fleet::start(plan(3, 1, &["--capacity", "1"])).await;
        let (home, owner) = follower_and_owner(&fleet).await;
        let running = new_key(&fleet, home, "running").await;
        let waiting = new_key(&fleet, home, "waiting").await;
        let mut stream = open_stream(&fleet, home, &running, 150).await;
        stream.next().await.expect("the stream begins");
        let queued = async {
            let reply = submit(&fleet, home, &waiting, 5).await;
            assert!(
                reply.is_err() || reply.unwrap().cut,
                "the answer ended although the home was killed"
            );
        };
        let kill = async {
            wait_until_queued(&fleet, owner, 1).await;
            fleet.daemons[home].crash();
        };
        join(queued, kill).await;
        let other = (home + 1) % 3;
        let replies = join(
            submit(&fleet, other, &running, 150),
            submit(&fleet, (home + 2) % 3, &waiting, 5),
        );
        let (first, second) = replies.await;
        let (first, second) = (first.unwrap(), second.unwrap());
        assert!(first.is_whole(0, 150), "{first:?}");
        assert_eq!((second.code(), second.ran()), (2101, "may_have_run"));
        assert_eq!(dispatch_count(&fleet, &running).await, 1);
        assert_eq!(dispatch_count(&fleet, &waiting).await, 0);
    });
}

/// Guards against a second dispatch after the home is paused for longer than its lease, for a
/// running request, a queued one, and one whose permit arrives during the pause.
#[test]
fn home_paused_beyond_the_lease() {
    run(async {
        let fleet = Fleet::start(plan(3, 1, &["--capacity", "1"])).await;
        let (home, owner) = follower_and_owner(&fleet).await;
        let running = new_key(&fleet, owner, "running").await;
        let first = new_key(&fleet, home, "first").await;
        let second = new_key(&fleet, home, "second").await;
        let faults = async {
            wait_until_queued(&fleet, owner, 2).await;
            fleet.daemons[home].pause();
            // When the running request ends, its slot becomes free and the permit for the next
            // request goes to the paused home.
            wait_until("the engine is idle", TAKEOVER_LIMIT, || async {
                engine_load(&fleet, 0).await == 0
            })
            .await;
            let other = (0..3).find(|host| *host != home && *host != owner).unwrap();
            let reply = submit(&fleet, other, &first, 5).await.unwrap();
            assert_eq!((reply.code(), reply.ran()), (2101, "may_have_run"));
            // The duration of the fault, not a wait for its effect.
            compio::time::sleep(LEASE * 2).await;
            fleet.daemons[home].resume();
        };
        let waiting = async {
            // Both requests are queued behind the running one.
            wait_until_dispatched(&fleet, &running).await;
            join(
                submit(&fleet, home, &first, 5),
                submit(&fleet, home, &second, 5),
            )
            .await
        };
        let (running, (first, second), ()) =
            futures_util::join!(submit(&fleet, owner, &running, 60), waiting, faults);
        for (reply, count) in [(running, 60), (first, 5), (second, 5)] {
            let reply = reply.unwrap();
            assert!(reply.is_whole(0, count), "{reply:?}");
        }
        assert_no_repeated_dispatch(&fleet).await;
        assert_eq!(support::dispatch_counts(&fleet).await.len(), 3);
    });
}

/// Guards against a repeated dispatch after its answer or its engine is lost.
#[test]
fn requests_with_lost_answers_are_not_dispatched_again() {
    run(async {
        let mut fleet = Fleet::start(plan(3, 1, &[]).proxied_engines()).await;
        let drop_answer = json!({"drop_answer": true});
        fleet.behave(&fleet.engines[0], &drop_answer).await;
        let key = new_key(&fleet, 0, "dropped").await;
        let reply = submit(&fleet, 0, &key, 10).await.unwrap();
        assert!(
            reply.is_whole(0, 10),
            "not resumed after the loss: {reply:?}"
        );
        assert_eq!(dispatch_count(&fleet, &key).await, 1);
        fleet
            .behave(&fleet.engines[0], &json!({"drop_answer": null}))
            .await;

        freeze(&fleet, true).await;
        let key = new_key(&fleet, 1, "restarted").await;
        let restart = async {
            wait_until_dispatched(&fleet, &key).await;
            fleet.engines[0].crash();
        };
        let (reply, ()) = join(submit(&fleet, 1, &key, 10), restart).await;
        let reply = reply.unwrap();
        assert_eq!(
            (reply.code(), reply.ran()),
            (2103, "may_have_run"),
            "{reply:?}"
        );
        fleet.restart_engine(0, &["--report-lag-ms", "0"]);
        for host in 0..3 {
            let reply = submit(&fleet, host, &key, 10).await.unwrap();
            assert_eq!(reply.ran(), "may_have_run", "host {host}: {reply:?}");
        }
        // A later request shows that the engine accepts work again.
        let next = new_key(&fleet, 2, "next").await;
        let reply = submit(&fleet, 2, &next, 10).await.unwrap();
        assert!(reply.is_whole(0, 10), "{reply:?}");
        assert_consistent_reply(&fleet, &next, &reply).await;
        assert_eq!(
            dispatch_count(&fleet, &key).await,
            0,
            "dispatched again after the restart"
        );
    });
}
