//! Tests of a request that crashes every endpoint that runs it, and of crashes combined with other
//! faults.

mod support;

use std::time::Duration;

use fleet::{Fleet, Reply, submit_body};
use support::{
    assert_no_repeated_dispatch, dispatch_count, follower_and_owner, new_key, open_stream, plan,
    run, submit, submit_value, wait_until_dispatched,
};

const BAD_PROMPT: &str = "explain the poison datasheet of the old mix";
const GOOD_PROMPT: &str = "explain the harmless datasheet of the old mix";
const CRASH_FLAGS: [&str; 2] = ["--crash-word", "poison"];
/// Flags of a restarted engine; `--cold` is added, because real engines start cold.
const RESTART_FLAGS: [&str; 4] = ["--crash-word", "poison", "--report-lag-ms", "0"];

async fn send(fleet: &Fleet, host: usize, prompt: &str, suffix: &str) -> Reply {
    let key = new_key(fleet, host, suffix).await;
    let body = submit_body(&key, 1, prompt, 10);
    submit_value(fleet, host, &body).await.unwrap()
}

/// Restarts the engines that have crashed and returns their number.
fn restart_crashed(fleet: &mut Fleet) -> usize {
    let mut crashed = 0;
    for index in 0..fleet.engines.len() {
        if fleet.engines[index].exit_code() == Some(101) {
            let mut arguments = RESTART_FLAGS.to_vec();
            arguments.push("--cold");
            fleet.restart_engine(index, &arguments);
            crashed += 1;
        }
    }
    crashed
}

/// Guards against a request that crashes endpoint after endpoint while its caller submits it again
/// with new keys through all hosts, against a lasting refusal, and against the refusal of a similar
/// request together with it.
#[test]
fn one_request_crashes_few_endpoints() {
    run(async {
        let mut fleet = Fleet::start(plan(3, 4, &CRASH_FLAGS)).await;
        let mut crashed = 0;
        let mut crashed_before_detection = 0;
        let mut refused = 0;
        for turn in 0..8 {
            let reply = send(&fleet, turn % 3, BAD_PROMPT, &format!("bad{turn}")).await;
            let lost = restart_crashed(&mut fleet);
            crashed += lost;
            if turn == 1 {
                // The second request follows immediately, before a load poll can confirm the first
                // crash.
                crashed_before_detection = lost;
            }
            if reply.code() == 1401 {
                assert_eq!((reply.ran(), lost), ("not_run", 0), "{reply:?}");
                refused += 1;
            } else {
                assert_eq!(reply.ran(), "may_have_run", "{reply:?}");
                assert_eq!(refused, 0, "dispatched after a refusal: {reply:?}");
            }
            if turn == 0 {
                continue;
            }
            let good = send(&fleet, turn % 3, GOOD_PROMPT, &format!("good{turn}")).await;
            assert!(good.is_whole(0, 10), "turn {turn}: {good:?}");
        }
        println!("{crashed} engines crashed, {refused} of 8 requests refused");
        assert!(
            crashed <= 2 + crashed_before_detection,
            "{crashed} engines crashed"
        );
        assert!(
            refused >= 8 - 2 - crashed_before_detection,
            "only {refused} requests were refused"
        );
    });
}

/// Guards against the lasting refusal of a harmless request that ran on an engine which another
/// request crashed.
#[test]
fn a_harmless_request_next_to_a_crashing_one_is_served() {
    run(async {
        let mut fleet = Fleet::start(plan(3, 2, &CRASH_FLAGS)).await;
        let neighbours: Vec<_> = [0, 1, 2, 0]
            .into_iter()
            .enumerate()
            .map(|(index, host)| (host, format!("beside{index}")))
            .collect();
        let mut streams = Vec::new();
        for (host, name) in &neighbours {
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
            // The same content with a new key runs alone at first and is served.
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
        assert!(lost > 0, "no request ran on the crashed engine");
    });
}

/// Guards against a second dispatch, or a caller that receives no reply, when the home is paused
/// while the engine of its request crashes.
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
            // Neither the home nor the engine can report the outcome of the request.
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
            "dispatched again after the restart"
        );
        assert_no_repeated_dispatch(&fleet).await;
    });
}
