//! One request that crashes every endpoint that runs it, and crashes combined with other faults.

mod support;

use std::time::Duration;

use fleet::{Fleet, Reply, submit_body};
use support::{
    assert_no_repeated_dispatch, dispatch_count, follower_and_owner, new_key, open_stream, plan,
    run, submit, submit_value, wait_until_dispatched,
};

const BAD_PROMPT: &str = "explain the poison datasheet of the old mix";
const GOOD_PROMPT: &str = "explain the harmless datasheet of the old mix";
const FLAGS: [&str; 2] = ["--crash-word", "poison"];
/// A restarted engine begins cold, as real ones do.
const RESTART: [&str; 4] = ["--crash-word", "poison", "--report-lag-ms", "0"];

async fn send(fleet: &Fleet, host: usize, prompt: &str, suffix: &str) -> Reply {
    let key = new_key(fleet, host, suffix).await;
    let body = submit_body(&key, 1, prompt, 10);
    submit_value(fleet, host, &body).await.unwrap()
}

/// Restarts engines that have exited; returns how many had crashed.
fn restart_crashed(fleet: &mut Fleet) -> usize {
    let mut crashed = 0;
    for index in 0..fleet.engines.len() {
        if fleet.engines[index].exit_code() == Some(101) {
            let mut arguments = RESTART.to_vec();
            arguments.push("--cold");
            fleet.restart_engine(index, &arguments);
            crashed += 1;
        }
    }
    crashed
}

/// Guards against one request that takes down endpoint after endpoint while its caller sends it
/// again with new keys through all hosts, against a refusal that lasts, and against a similar
/// request that is refused with it.
#[test]
fn one_request_crashes_few_endpoints() {
    run(async {
        let mut fleet = Fleet::start(plan(3, 4, &FLAGS)).await;
        let mut crashed = 0;
        let mut crashed_before_detection = 0;
        let mut refused = 0;
        for turn in 0..8 {
            let reply = send(&fleet, turn % 3, BAD_PROMPT, &format!("bad{turn}")).await;
            let lost = restart_crashed(&mut fleet);
            crashed += lost;
            if turn == 1 {
                // The second request follows at once, before the first crash can be confirmed by
                // a load poll.
                crashed_before_detection = lost;
            }
            if reply.code() == 1401 {
                assert_eq!((reply.ran(), lost), ("not_run", 0), "{reply:?}");
                refused += 1;
            } else {
                assert_eq!(reply.ran(), "may_have_run", "{reply:?}");
                assert_eq!(refused, 0, "run again after a refusal: {reply:?}");
            }
            if turn == 0 {
                continue;
            }
            let good = send(&fleet, turn % 3, GOOD_PROMPT, &format!("good{turn}")).await;
            assert!(good.is_whole(0, 10), "turn {turn}: {good:?}");
        }
        println!("{crashed} engines crashed, {refused} of 8 requests refused");
        assert!(crashed <= 2 + crashed_before_detection, "{crashed} engines");
        assert!(
            refused >= 8 - 2 - crashed_before_detection,
            "{refused} refused"
        );
    });
}

/// Guards against an innocent request that is refused for long because it ran on an engine that
/// another one crashed.
#[test]
fn innocent_request_beside_a_crashing_one() {
    run(async {
        let mut fleet = Fleet::start(plan(3, 2, &FLAGS)).await;
        let beside: Vec<_> = [0, 1, 2, 0]
            .into_iter()
            .enumerate()
            .map(|(index, host)| (host, format!("beside{index}")))
            .collect();
        let mut streams = Vec::new();
        for (host, name) in &beside {
            let key = new_key(&fleet, *host, name).await;
            streams.push((
                *host,
                key.clone(),
                open_stream(&fleet, *host, &key, 400).await,
            ));
        }
        let reply = send(&fleet, 1, BAD_PROMPT, "bad").await;
        assert_eq!(reply.ran(), "may_have_run", "{reply:?}");
        assert_eq!(restart_crashed(&mut fleet), 1);
        let mut lost = 0;
        for (host, key, stream) in streams {
            let reply = stream.rest().await;
            if reply.code() == 1000 {
                continue;
            }
            assert_eq!(reply.code(), 2103, "{reply:?}");
            lost += 1;
            // The same content with a new key; it runs alone at first, and is served.
            let again = new_key(&fleet, host, &format!("again{lost}")).await;
            let body = submit_body(&again, 1, &key, 10);
            let began = std::time::Instant::now();
            let reply = submit_value(&fleet, host, &body).await.unwrap();
            assert!(reply.is_whole(0, 10), "{reply:?}");
            assert!(
                began.elapsed() < Duration::from_secs(10),
                "{:?}",
                began.elapsed()
            );
        }
        assert!(lost > 0, "no request shared the engine");
    });
}

/// Guards against a second dispatch, or a caller without an answer, when the home is paused while
/// the engine of its request crashes.
#[test]
fn home_paused_while_the_engine_crashes() {
    run(async {
        let mut fleet = Fleet::start(plan(3, 1, &[])).await;
        let (home, owner) = follower_and_owner(&fleet).await;
        let key = new_key(&fleet, home, "both").await;
        let faults = async {
            wait_until_dispatched(&fleet, &key).await;
            fleet.daemons[home].pause();
            fleet.engines[0].crash();
            // Neither the home nor the engine can say what became of it.
            let reply = submit(&fleet, owner, &key, 200).await.unwrap();
            assert_eq!(reply.ran(), "may_have_run", "{reply:?}");
        };
        let mut stream = open_stream(&fleet, home, &key, 200).await;
        stream.next().await.expect("the stream begins");
        faults.await;
        fleet.restart_engine(0, &["--report-lag-ms", "0"]);
        fleet.daemons[home].resume();
        let reply = stream.rest().await;
        assert_eq!(
            (reply.code(), reply.ran()),
            (2103, "may_have_run"),
            "{reply:?}"
        );
        let next = new_key(&fleet, home, "next").await;
        let reply = submit(&fleet, home, &next, 10).await.unwrap();
        assert!(reply.is_whole(0, 10), "{reply:?}");
        assert_eq!(
            dispatch_count(&fleet, &key).await,
            0,
            "not dispatched again"
        );
        assert_no_repeated_dispatch(&fleet).await;
    });
}
