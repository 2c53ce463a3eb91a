//! Every queue and table has a bound, and its refusals have a code and a counter. Tables without a
//! setting of the daemon are filled in `src/bounds_tests.rs`.

mod failure_support;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use failure_support::{SETTLE_TIME, counter, run};
use fleet::{EnginePlan, Fleet, FleetPlan, home_key, send, submit_body, token_digest, wait_until};
use futures_util::future::join_all;
use http::Method;
use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde_json::{Value, json};
use wisteriapin::claim::{ClaimAnswer, ClaimKey, ClaimTable};
use wisteriapin::configs::claim::ClaimSettings;
use wisteriapin::context::Context;
use wisteriapin::ids::HostBrief;
use wisteriapin::result_code::ResultCode;

const WAITING: usize = 10_000;
/// A workspace may have 2000 requests in the queue of a pool.
const WORKSPACES: usize = 5;
/// Bound on the control state of a host, from the capacity requirement (section 1.8).
const CONTROL_STATE_KB: u64 = 64 * 1024;

fn workspace_token(index: usize) -> String {
    format!("team{index}-token")
}

/// A fleet whose only engine runs one request and never ends it.
async fn stuck_fleet(daemons: usize, arguments: &[&str]) -> Fleet {
    let engine = EnginePlan::new("m1", "krk-a", &["--capacity", "1"]);
    let mut plan = FleetPlan::new(daemons).engine(engine);
    plan.daemon_arguments = arguments.iter().map(ToString::to_string).collect();
    let teams = (0..WORKSPACES).map(|index| {
        let digest = token_digest(&workspace_token(index));
        json!({"name": format!("team{index}"), "token_sha256": digest})
    });
    let workspaces = plan.document["workspaces"].as_array_mut();
    workspaces
        .expect("the document has workspaces")
        .extend(teams);
    let fleet = Fleet::start(plan).await;
    let faults = json!({"freeze_streams": true});
    fleet.behave(&fleet.engines[0], &faults).await;
    fleet
}

/// Sends a request and leaves its connection open.
fn send_and_hold(address: SocketAddr, token: &str, body: &Value) -> TcpStream {
    let mut stream = TcpStream::connect(address).expect("the daemon accepts");
    write_request(&mut stream, token, body);
    stream
}

fn write_request(stream: &mut TcpStream, token: &str, body: &Value) {
    let body = body.to_string();
    let head = format!(
        "POST /v1/requests HTTP/1.1\r\nhost: x\r\nauthorization: Bearer {token}\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    );
    stream.write_all(head.as_bytes()).expect("it is sent");
}

fn resident_kb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status"));
    let status = status.expect("the process runs");
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let value = line.and_then(|line| line.split_whitespace().nth(1)?.parse().ok());
    value.expect("the status names the resident memory")
}

/// Requests that wait in the queue of `assistant`, at its owner.
async fn queued(fleet: &Fleet, viewer: usize) -> u64 {
    let Some(owner) = fleet.owner(viewer, "assistant").await else {
        return 0;
    };
    let status = fleet.status(owner).await;
    let pools = status["pools"].as_array().cloned().unwrap_or_default();
    let pool = pools.iter().find(|pool| pool["name"] == "assistant");
    let tiers = pool.and_then(|pool| pool["tiers"].as_array().cloned());
    let count = |entry: &Value| {
        let value = &entry["queued"];
        let text = value.as_str().and_then(|text| text.parse().ok());
        value.as_u64().or(text).unwrap_or(0)
    };
    tiers.unwrap_or_default().iter().map(count).sum()
}

/// Guards against a request table without a bound, against memory that grows with more than the
/// table, and against a queue that does not survive its owner because it is larger than a message.
#[test]
fn ten_thousand_waiting_requests_are_bounded_and_survive_their_owner() {
    run(async {
        let limit = WAITING.to_string();
        let arguments = ["--max-requests", &limit, "--max-connections", "12000"];
        let mut fleet = stuck_fleet(3, &arguments).await;
        let owner = fleet
            .owner(0, "assistant")
            .await
            .expect("the pool has an owner");
        let home = (owner + 1) % 3;
        let incarnation = fleet.home(home).await;
        let before = resident_kb(fleet.daemons[home].id());
        let owner_before = resident_kb(fleet.daemons[owner].id());
        let address = fleet.caller(home);
        let mut held: Vec<TcpStream> = (0..WAITING)
            .map(|_| TcpStream::connect(address).expect("the daemon accepts"))
            .collect();
        // The last connection is answered after all others were accepted.
        let hosts = send(address, Method::GET, "/v1/hosts", None, None).await;
        assert_eq!(hosts.expect("the daemon answers").status, 200);
        let connected = resident_kb(fleet.daemons[home].id());
        // 256 words, so that the prompts have prefix blocks.
        let prompt = "a question about wet decks in the rain ".repeat(32);
        for (index, stream) in held.iter_mut().enumerate() {
            let key = home_key(&incarnation, &format!("w{index}"));
            let body = submit_body(&key, 3, &prompt, 100);
            write_request(stream, &workspace_token(index % WORKSPACES), &body);
        }
        let waiting = WAITING as u64 - 10;
        wait_until("the queue is filled", SETTLE_TIME, || async {
            queued(&fleet, home).await >= waiting
        })
        .await;
        let after = resident_kb(fleet.daemons[home].id());
        let owner_after = resident_kb(fleet.daemons[owner].id());
        println!(
            "resident memory with {WAITING} waiting requests: home {before} KB, with \
             the connections {connected} KB, with the requests {after} KB; owner {owner_before} KB, \
             with its queue {owner_after} KB"
        );
        let key = home_key(&incarnation, "over");
        let body = submit_body(&key, 0, "one more", 3);
        let token = workspace_token(0);
        let over = send(
            address,
            Method::POST,
            "/v1/requests",
            Some(&token),
            Some(&body),
        )
        .await;
        let over = over.expect("the daemon answers");
        assert_eq!((over.code(), over.ran()), (1309, "not_run"), "{over:?}");
        assert_eq!(counter(&fleet, home, "refused.HostFull").await, 1);
        assert!(
            owner_after - owner_before <= CONTROL_STATE_KB,
            "at the owner"
        );

        fleet.daemons[owner].kill();
        wait_until("the next owner has the queue", SETTLE_TIME, || async {
            queued(&fleet, home).await >= waiting
        })
        .await;
        drop(held);
    });
}

/// Guards against a pool queue without a bound, and against refusals that nobody counts.
#[test]
fn a_full_pool_queue_refuses_and_counts() {
    run(async {
        let fleet = stuck_fleet(1, &["--max-queued", "8"]).await;
        let incarnation = fleet.home(0).await;
        let address = fleet.caller(0);
        let held: Vec<TcpStream> = (0..40)
            .map(|index| {
                let key = home_key(&incarnation, &format!("q{index}"));
                let body = submit_body(&key, 3, "a question", 3);
                send_and_hold(address, "team0-token", &body)
            })
            .collect();
        wait_until("the queue refuses", SETTLE_TIME, || async {
            counter(&fleet, 0, "refused.QueueFull").await >= 20
        })
        .await;
        assert!(queued(&fleet, 0).await <= 8);
        let mut answered = 0;
        for mut stream in held {
            let wait = Some(Duration::from_millis(50));
            stream
                .set_read_timeout(wait)
                .expect("a time-out can be set");
            let mut bytes = [0; 12];
            let refused = stream.read_exact(&mut bytes).is_ok() && &bytes == b"HTTP/1.1 503";
            answered += u64::from(refused);
        }
        assert_eq!(answered, counter(&fleet, 0, "refused.QueueFull").await);
    });
}

/// Guards against a claim table without a bound, and against a key that is judged although the
/// table had no room for its claim.
#[test]
fn a_full_claim_table_refuses() {
    let address = "127.0.0.1:1".parse().expect("an address");
    let brief = HostBrief {
        name: "entry".into(),
        region: "r".into(),
        zone: "z".into(),
        incarnation: 1,
        caller_address: address,
        peer_address: address,
    };
    let unix_time = Duration::from_secs(1_000_000);
    let context = Context {
        brief,
        now: Instant::now(),
        unix_time,
        random: SmallRng::seed_from_u64(1),
    };
    let settings = ClaimSettings {
        max_entries: 4,
        ..ClaimSettings::default()
    };
    let mut table = ClaimTable::new(settings, 1);
    table.record_topic_end(0, &context);
    let claim = |index: u32| ClaimKey {
        workspace: "small".into(),
        key: format!("1000000-k{index}").into(),
    };
    for index in 0..4 {
        let answer = table.request(claim(index), [0; 16], &context);
        assert_eq!(answer, ClaimAnswer::Pending);
    }
    for index in 4..8 {
        let answer = table.request(claim(index), [0; 16], &context);
        assert_eq!(answer, ClaimAnswer::Refused(ResultCode::ClaimTableFull));
    }
}

/// Guards against tables that keep what ended: after the callers have gone, a full host is free
/// again once the requests without readers have been cancelled (10 s).
#[test]
fn a_full_host_is_free_again_when_its_callers_have_gone() {
    run(async {
        let fleet = stuck_fleet(1, &["--max-requests", "50"]).await;
        let incarnation = fleet.home(0).await;
        let address = fleet.caller(0);
        let held: Vec<TcpStream> = (0..60)
            .map(|index| {
                let key = home_key(&incarnation, &format!("f{index}"));
                let body = submit_body(&key, 3, "a question", 3);
                send_and_hold(address, "team0-token", &body)
            })
            .collect();
        wait_until("the host is full", SETTLE_TIME, || async {
            counter(&fleet, 0, "refused.HostFull").await >= 10
        })
        .await;
        drop(held);
        wait_until("the host is free", SETTLE_TIME, || async {
            // A request that runs is cancelled first in some runs, and its slot is then granted
            // to one that waits.
            let waiting = counter(&fleet, 0, "refused.CancelledQueued").await;
            let running = counter(&fleet, 0, "ended.Cancelled").await;
            waiting + running == 50
        })
        .await;
        let faults = json!({"freeze_streams": false});
        fleet.behave(&fleet.engines[0], &faults).await;
        let sends = (0..5).map(|index| {
            let key = home_key(&incarnation, &format!("g{index}"));
            let body = submit_body(&key, 1, "a question", 3);
            async move {
                send(
                    address,
                    Method::POST,
                    "/v1/requests",
                    Some("big-token"),
                    Some(&body),
                )
                .await
            }
        });
        for reply in join_all(sends).await {
            let reply = reply.expect("the daemon answers");
            assert!(reply.is_whole(0, 3), "{reply:?}");
        }
    });
}
