//! Guarantee 1: a request is dispatched at most once, whatever fails.

mod support;

use fleet::{Fleet, wait_until};
use futures_util::future::{join, join_all};
use serde_json::json;
use support::{
    LEASE, TAKEOVER_LIMIT, assert_consistent_reply, assert_no_repeated_dispatch, dispatch_count,
    engine_load, follower_and_owner, freeze, new_key, open_stream, plan, run, submit,
    wait_until_dispatched, wait_until_queued,
};

/// Guards against a second dispatch by a host that is not the home, when a caller sends one key
/// to all hosts at once.
#[test]
fn one_key_at_three_hosts_at_once() {
    run(async {
        let fleet = Fleet::start(plan(3, 2, &[])).await;
        let mut abandoned = 0;
        for turn in 0..12 {
            let key = new_key(&fleet, turn % 3, &format!("t{turn}")).await;
            let home = turn % 3;
            // The home is asked first in every other turn, and last in the others.
            let mut hosts = [home, (home + 1) % 3, (home + 2) % 3];
            hosts.rotate_left(turn % 2);
            let sent = hosts.map(|host| submit(&fleet, host, &key, 8));
            let replies = join_all(sent).await;
            let replies: Vec<_> = replies.into_iter().map(Result::unwrap).collect();
            let count = dispatch_count(&fleet, &key).await;
            let whole = replies.iter().filter(|reply| reply.is_whole(0, 8)).count();
            let own = hosts.iter().position(|host| *host == home).unwrap();
            match replies[own].code() {
                1000 => assert_eq!(count, 1, "{replies:?}"),
                1105 => assert_eq!((count, whole), (0, 0), "{replies:?}"),
                _ => panic!("the home answered {replies:?}"),
            }
            for reply in &replies {
                let expected = match reply.code() {
                    1105 => count == 0,
                    1000 => reply.is_whole(0, 8),
                    1106 => true,
                    _ => false,
                };
                assert!(expected, "{count} dispatched: {replies:?}");
            }
            abandoned += usize::from(count == 0);
        }
        println!("{abandoned} of 12 keys were abandoned before they reached their home");
        assert_no_repeated_dispatch(&fleet).await;
    });
}

/// Guards against a dispatch of a key after another host has told its caller "not run, use a new
/// key".
#[test]
fn abandoned_key_is_never_dispatched() {
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

/// Guards against a second dispatch after the home of a waiting and of a running request was
/// killed, and against a running answer that is lost with it.
#[test]
fn home_killed_with_requests() {
    run(async {
        let fleet = Fleet::start(plan(3, 1, &["--capacity", "1"])).await;
        let (home, owner) = follower_and_owner(&fleet).await;
        let running = new_key(&fleet, home, "running").await;
        let waiting = new_key(&fleet, home, "waiting").await;
        let mut stream = open_stream(&fleet, home, &running, 150).await;
        stream.next().await.expect("the stream begins");
        let second = async {
            let reply = submit(&fleet, home, &waiting, 5).await;
            assert!(reply.is_err() || reply.unwrap().cut, "the home is killed");
        };
        let kill = async {
            wait_until_queued(&fleet, owner, 1).await;
            fleet.daemons[home].crash();
        };
        join(second, kill).await;
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

/// Guards against a second dispatch after a pause of the home that outlasts its lease, for a
/// request that runs, one that waits, and one whose permit arrives during the pause.
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
            // The slot of the running request becomes free: the permit for the next one goes to
            // the paused home.
            wait_until("the engine is idle", TAKEOVER_LIMIT, || async {
                engine_load(&fleet, 0).await == 0
            })
            .await;
            let other = (0..3).find(|host| *host != home && *host != owner).unwrap();
            let reply = submit(&fleet, other, &first, 5).await.unwrap();
            assert_eq!((reply.code(), reply.ran()), (2101, "may_have_run"));
            // How long the fault lasts, not a wait for its effect.
            compio::time::sleep(LEASE * 2).await;
            fleet.daemons[home].resume();
        };
        let waiting = async {
            // Both wait behind the running request.
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

/// Guards against a dispatch that is repeated because its answer, or the engine, was lost.
#[test]
fn lost_answers_are_not_repeated() {
    run(async {
        let mut fleet = Fleet::start(plan(3, 1, &[]).proxied_engines()).await;
        let drop = json!({"drop_answer": true});
        fleet.behave(&fleet.engines[0], &drop).await;
        let key = new_key(&fleet, 0, "dropped").await;
        let reply = submit(&fleet, 0, &key, 10).await.unwrap();
        assert!(reply.is_whole(0, 10), "resumed after the loss: {reply:?}");
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
        // A later request shows that the engine takes work again.
        let next = new_key(&fleet, 2, "next").await;
        let reply = submit(&fleet, 2, &next, 10).await.unwrap();
        assert!(reply.is_whole(0, 10), "{reply:?}");
        assert_consistent_reply(&fleet, &next, &reply).await;
        assert_eq!(
            dispatch_count(&fleet, &key).await,
            0,
            "not dispatched again"
        );
    });
}
