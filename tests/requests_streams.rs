//! Tests of guarantee 6: a caller receives the complete answer to its own request.

mod support;

use fleet::{Fleet, wait_until};
use futures_util::future::{join, join_all};
use serde_json::json;
use support::{
    TAKEOVER_LIMIT, assert_no_repeated_dispatch, cancel, dispatch_count, engine_load,
    follower_and_owner, freeze, new_key, open_stream, plan, resume, run, submit, submit_as,
    wait_until_dispatched, wait_until_queued,
};

/// Guards against chunks that are lost, duplicated or mixed up between concurrent streams.
#[test]
fn concurrent_streams_are_complete() {
    run(async {
        let fleet = Fleet::start(plan(3, 2, &[])).await;
        let lengths = [1, 2, 3, 5, 8, 13, 21, 34, 55, 89, 144, 7];
        let mut keys = Vec::new();
        for index in 0..lengths.len() {
            keys.push(new_key(&fleet, index % 3, &format!("s{index}")).await);
        }
        let streams = lengths.iter().zip(&keys).enumerate();
        let streams = streams.map(|(index, (length, key))| submit(&fleet, index % 3, key, *length));
        let replies = join_all(streams).await;
        for (reply, length) in replies.into_iter().zip(lengths) {
            let reply = reply.unwrap();
            assert!(reply.is_whole(0, u64::from(length)), "{length}: {reply:?}");
        }
        assert_no_repeated_dispatch(&fleet).await;
        assert_eq!(support::dispatch_counts(&fleet).await.len(), lengths.len());
    });
}

/// Guards against a resume through another host that misses or repeats chunks: while the home is
/// alive, after the answer has ended, and after the home has crashed.
#[test]
fn streams_are_resumed_through_other_hosts() {
    run(async {
        let fleet = Fleet::start(plan(3, 2, &[])).await;
        let (home, _) = follower_and_owner(&fleet).await;
        let others = [(home + 1) % 3, (home + 2) % 3];
        let key = new_key(&fleet, home, "alive").await;
        let mut stream = open_stream(&fleet, home, &key, 60).await;
        stream.next().await.expect("the stream begins");
        let reads = [(home, 0), (home, 20), (others[0], 0), (others[1], 20)];
        let resumes = reads.map(|(host, from)| resume(&fleet, host, "big-token", &key, from));
        let (own, replies) = join(stream.rest(), join_all(resumes)).await;
        assert!(!own.cut && own.code() == 1000, "{own:?}");
        for ((host, from), reply) in reads.iter().zip(&replies) {
            assert!(reply.is_whole(*from, 60), "host {host}, {from}: {reply:?}");
        }
        for (host, from) in reads {
            let reply = resume(&fleet, host, "big-token", &key, from).await;
            assert!(
                reply.is_whole(from, 60),
                "resumed after the end; host {host}, {from}: {reply:?}"
            );
        }
        for host in others {
            let reply = submit(&fleet, host, &key, 60).await.unwrap();
            assert!(reply.is_whole(0, 60), "submitted again: {reply:?}");
        }

        let key = new_key(&fleet, home, "dead").await;
        let mut stream = open_stream(&fleet, home, &key, 100).await;
        stream.next().await.expect("the stream begins");
        fleet.daemons[home].crash();
        assert!(
            stream.rest().await.cut,
            "the stream ended although the home was killed"
        );
        let reads = [(others[0], 0), (others[1], 40)];
        let resumes = reads.map(|(host, from)| resume(&fleet, host, "big-token", &key, from));
        for ((_, from), reply) in reads.iter().zip(join_all(resumes).await) {
            assert!(
                reply.is_whole(*from, 100),
                "resumed without the home; {from}: {reply:?}"
            );
        }
        assert_no_repeated_dispatch(&fleet).await;
    });
}

/// Guards against an answer that is truncated, or a second dispatch, because the engine stalls for
/// longer than a lease.
#[test]
fn streams_survive_a_frozen_engine() {
    run(async {
        let fleet = Fleet::start(plan(3, 1, &[])).await;
        let (home, _) = follower_and_owner(&fleet).await;
        let key = new_key(&fleet, home, "frozen").await;
        let mut stream = open_stream(&fleet, home, &key, 40).await;
        stream.next().await.expect("the stream begins");
        let remote = resume(&fleet, (home + 1) % 3, "big-token", &key, 0);
        let freezing = async {
            freeze(&fleet, true).await;
            compio::time::sleep(support::LEASE * 2).await;
            freeze(&fleet, false).await;
        };
        let (own, remote, ()) = futures_util::join!(stream.rest(), remote, freezing);
        assert!(remote.is_whole(0, 40), "{remote:?}");
        assert_eq!((own.tokens().len(), own.code()), (40, 1000), "{own:?}");
        assert_no_repeated_dispatch(&fleet).await;
    });
}

/// Guards against an answer that is truncated, or a second dispatch, because the connections to the
/// engine break repeatedly.
#[test]
fn streams_survive_broken_connections_to_the_engine() {
    run(async {
        let fleet = Fleet::start(plan(3, 1, &[]).proxied_engines()).await;
        let (home, _) = follower_and_owner(&fleet).await;
        let key = new_key(&fleet, home, "cut").await;
        let mut stream = open_stream(&fleet, home, &key, 100).await;
        stream.next().await.expect("the stream begins");
        let remote = resume(&fleet, (home + 1) % 3, "big-token", &key, 0);
        let cutting = async {
            for produced in [10, 30, 50] {
                wait_until(
                    "the engine produces more tokens",
                    TAKEOVER_LIMIT,
                    || async {
                        let stats = fleet.stats(&fleet.engines[0]).await;
                        stats["decode_tokens"].as_u64() >= Some(produced)
                    },
                )
                .await;
                fleet.fault_engine(0, &json!({"reset": true})).await;
            }
        };
        let (own, remote, ()) = futures_util::join!(stream.rest(), remote, cutting);
        assert!(remote.is_whole(0, 100), "{remote:?}");
        assert_eq!((own.tokens().len(), own.code()), (100, 1000), "{own:?}");
        assert_no_repeated_dispatch(&fleet).await;
    });
}

/// Guards against tokens, or "not run", for a request that its caller cancelled while the endpoint
/// ran it, and against an engine that continues to run it.
#[test]
fn cancelled_requests_stay_cancelled() {
    run(async {
        let fleet = Fleet::start(plan(3, 1, &["--capacity", "1"])).await;
        let (home, owner) = follower_and_owner(&fleet).await;
        for canceller in [home, (home + 1) % 3] {
            let key = new_key(&fleet, home, &format!("c{canceller}")).await;
            let waiting = new_key(&fleet, home, &format!("w{canceller}")).await;
            freeze(&fleet, true).await;
            let cancelling = async {
                wait_until_dispatched(&fleet, &key).await;
                let cancelled = cancel(&fleet, canceller, "big-token", &key).await;
                assert_eq!(cancelled.status, 200, "{cancelled:?}");
                freeze(&fleet, false).await;
            };
            let (reply, ()) = join(submit(&fleet, home, &key, 50), cancelling).await;
            let reply = reply.unwrap();
            assert_eq!(reply.ran(), "may_have_run", "{reply:?}");
            assert!(reply.tokens().len() < 50, "{reply:?}");
            wait_until("the engine ends the request", TAKEOVER_LIMIT, || async {
                engine_load(&fleet, 0).await == 0
            })
            .await;
            for host in 0..3 {
                let reply = submit(&fleet, host, &key, 50).await.unwrap();
                assert!(reply.tokens().is_empty(), "host {host}: {reply:?}");
                assert_eq!(reply.ran(), "may_have_run", "host {host}: {reply:?}");
            }
            assert_eq!(dispatch_count(&fleet, &key).await, 1);

            // A queued request is cancelled without a dispatch.
            let running = new_key(&fleet, home, &format!("r{canceller}")).await;
            let cancelling = async {
                wait_until_queued(&fleet, owner, 1).await;
                let reply = cancel(&fleet, home, "big-token", &waiting).await;
                assert_eq!(reply.status, 200, "{reply:?}");
            };
            let behind = async {
                wait_until_dispatched(&fleet, &running).await;
                submit(&fleet, home, &waiting, 5).await
            };
            let (first, second, ()) =
                futures_util::join!(submit(&fleet, home, &running, 60), behind, cancelling);
            assert!(first.unwrap().is_whole(0, 60));
            let second = second.unwrap();
            assert_eq!((second.code(), second.ran()), (1002, "not_run"));
            assert_eq!(dispatch_count(&fleet, &waiting).await, 0);
        }
    });
}

/// Guards against access to the data or control of a request by another workspace that knows its
/// key, at every host and stage, and against a refusal of the rightful workspace because the other
/// one asks at the same time.
#[test]
fn another_workspace_gets_nothing() {
    run(async {
        let fleet = Fleet::start(plan(3, 1, &[])).await;
        let (home, _) = follower_and_owner(&fleet).await;
        let key = new_key(&fleet, home, "private").await;
        let mut stream = open_stream(&fleet, home, &key, 100).await;
        stream.next().await.expect("the stream begins");
        let check_foreign_access = |host| {
            let (fleet, key) = (&fleet, &key);
            async move {
                let read = resume(fleet, host, "small-token", key, 0).await;
                let ended = cancel(fleet, host, "small-token", key).await;
                let sent = submit_as(fleet, host, "small-token", key, 100)
                    .await
                    .unwrap();
                for reply in [read, ended, sent] {
                    assert_eq!(reply.code(), 1202, "host {host}: {reply:?}");
                    assert!(reply.tokens().is_empty(), "host {host}: {reply:?}");
                }
            }
        };
        let other = (home + 1) % 3;
        let own = resume(&fleet, other, "big-token", &key, 0);
        let (_, own, rest) = futures_util::join!(
            join_all((0..3).map(check_foreign_access)),
            own,
            stream.rest()
        );
        assert!(
            own.is_whole(0, 100),
            "the own workspace through another host: {own:?}"
        );
        assert_eq!((rest.tokens().len(), rest.code()), (100, 1000), "{rest:?}");
        join_all((0..3).map(check_foreign_access)).await;

        // Without the home, the stream is searched at the endpoints under the name of the asking
        // workspace.
        fleet.daemons[home].crash();
        let reply = resume(&fleet, other, "small-token", &key, 0).await;
        assert_eq!((reply.code(), reply.tokens().len()), (2101, 0), "{reply:?}");
        let reply = resume(&fleet, other, "big-token", &key, 50).await;
        assert!(reply.is_whole(50, 100), "{reply:?}");
        assert_no_repeated_dispatch(&fleet).await;
    });
}
