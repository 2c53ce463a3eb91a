//! Helpers for tests that send requests through real daemons while faults occur.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex};
use std::time::Duration;

use fleet::{CallerStream, EnginePlan, Fleet, FleetPlan, Reply, home_key, send, submit_body};
use futures_util::future::join_all;
use http::Method;
use http_util::ClientError;
use serde_json::{Value, json};

/// Duration of a lease in a small region.
pub const LEASE: Duration = Duration::from_millis(1500);
/// Maximum time of a takeover in the design: the lease, one heartbeat interval, and the rest of 5
/// s.
pub const TAKEOVER_LIMIT: Duration = Duration::from_secs(5);
/// Maximum number of concurrent fleets; more of them would distort each other's timing.
const MAX_FLEETS: usize = 4;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

/// The right to run one fleet; released on drop.
struct FleetSlot;

impl FleetSlot {
    /// Waits until fewer than `MAX_FLEETS` fleets run.
    fn acquire() -> Self {
        let running = RUNNING.lock().expect("no holder panics");
        let mut running = ENDED
            .wait_while(running, |running| *running >= MAX_FLEETS)
            .expect("no holder panics");
        *running += 1;
        Self
    }
}

impl Drop for FleetSlot {
    fn drop(&mut self) {
        *RUNNING.lock().expect("no holder panics") -= 1;
        ENDED.notify_one();
    }
}

/// Runs a test with one fleet as soon as fewer than `MAX_FLEETS` others run.
pub fn run(test: impl Future<Output = ()>) {
    let _slot = FleetSlot::acquire();
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(test);
}

/// Returns a plan with the given numbers of daemons and engines. The load reports of the engines
/// have no lag, so that `/v1/load` shows the current load of an engine.
pub fn plan(daemons: usize, engines: usize, arguments: &[&str]) -> FleetPlan {
    let mut all = vec!["--report-lag-ms", "0"];
    all.extend(arguments);
    (0..engines).fold(FleetPlan::new(daemons), |plan, index| {
        let zone = ["krk-a", "krk-b", "kat-c"][index % 3];
        plan.engine(EnginePlan::new(&format!("m{}", index + 1), zone, &all))
    })
}

/// Returns a new key whose home is the given host.
pub async fn new_key(fleet: &Fleet, home: usize, suffix: &str) -> String {
    home_key(&fleet.home(home).await, suffix)
}

/// Submits a request for the workspace `big` and reads the complete answer.
pub async fn submit(
    fleet: &Fleet,
    host: usize,
    key: &str,
    tokens: u32,
) -> Result<Reply, ClientError> {
    submit_value(fleet, host, &submit_body(key, 1, prompt(key), tokens)).await
}

/// Returns a prompt that is unique to the key, so that no request becomes a crash suspect because
/// of another one with the same content.
fn prompt(key: &str) -> &str {
    key
}

/// Submits the given request body for the workspace `big` and reads the complete answer.
pub async fn submit_value(fleet: &Fleet, host: usize, body: &Value) -> Result<Reply, ClientError> {
    let address = fleet.caller(host);
    let token = Some("big-token");
    send(address, Method::POST, "/v1/requests", token, Some(body)).await
}

/// Submits the request with this key with the token of another workspace.
pub async fn submit_as(
    fleet: &Fleet,
    host: usize,
    token: &str,
    key: &str,
    tokens: u32,
) -> Result<Reply, ClientError> {
    let body = submit_body(key, 1, prompt(key), tokens);
    let address = fleet.caller(host);
    send(
        address,
        Method::POST,
        "/v1/requests",
        Some(token),
        Some(&body),
    )
    .await
}

/// Submits a request and returns its stream unread.
pub async fn open_stream(fleet: &Fleet, host: usize, key: &str, tokens: u32) -> CallerStream {
    let body = submit_body(key, 1, prompt(key), tokens);
    let address = fleet.caller(host);
    let token = Some("big-token");
    let stream = CallerStream::open(address, Method::POST, "/v1/requests", token, Some(&body))
        .await
        .expect("the daemon answers");
    if stream.status != 200 {
        let retry = submit(fleet, host, key, tokens).await;
        panic!("{key} was refused: {retry:?}");
    }
    stream
}

/// Reads the answer of a request from the given index onwards.
pub async fn resume(fleet: &Fleet, host: usize, token: &str, key: &str, from: u64) -> Reply {
    let path = format!("/v1/requests/{key}?from={from}");
    let address = fleet.caller(host);
    let reply = send(address, Method::GET, &path, Some(token), None).await;
    reply.expect("the daemon answers")
}

pub async fn cancel(fleet: &Fleet, host: usize, token: &str, key: &str) -> Reply {
    let path = format!("/v1/requests/{key}");
    let address = fleet.caller(host);
    let reply = send(address, Method::DELETE, &path, Some(token), None).await;
    reply.expect("the daemon answers")
}

/// Returns how often each request reached one of the running engines, by request id.
pub async fn dispatch_counts(fleet: &Fleet) -> BTreeMap<String, u64> {
    let stats = join_all(fleet.engines.iter().map(|engine| fleet.stats(engine))).await;
    let mut counts = BTreeMap::new();
    for entry in &stats {
        for (id, count) in entry["dispatched"].as_object().into_iter().flatten() {
            *counts.entry(id.clone()).or_default() += count.as_u64().unwrap_or(0);
        }
    }
    counts
}

/// Returns how often the request with this key reached an engine.
pub async fn dispatch_count(fleet: &Fleet, key: &str) -> u64 {
    let counts = dispatch_counts(fleet).await;
    let own = counts
        .iter()
        .filter(|(id, _)| *id == key || id.starts_with(&format!("{key}.")));
    own.map(|(_, count)| count).sum()
}

/// Waits until the request has reached an engine.
pub async fn wait_until_dispatched(fleet: &Fleet, key: &str) {
    fleet::wait_until("the request is dispatched", TAKEOVER_LIMIT, || async {
        dispatch_count(fleet, key).await > 0
    })
    .await;
}

/// Fails if a request reached the engines more than once.
pub async fn assert_no_repeated_dispatch(fleet: &Fleet) {
    let counts = dispatch_counts(fleet).await;
    let repeated: Vec<_> = counts.iter().filter(|(_, count)| **count > 1).collect();
    assert!(
        repeated.is_empty(),
        "dispatched more than once: {repeated:?}"
    );
}

/// Fails if the reply to a submission says "not run" although the request reached an engine, if it
/// reached an engine more than once, or if the reply has no result code.
pub async fn assert_consistent_reply(fleet: &Fleet, key: &str, reply: &Reply) {
    let count = dispatch_count(fleet, key).await;
    assert!(count <= 1, "{key} was dispatched {count} times");
    if reply.ran() == "not_run" {
        assert_eq!(count, 0, "{key} was dispatched despite {reply:?}");
    }
    assert!(reply.code() != 0, "no result code in {reply:?}");
}

/// Returns the number of requests that run or wait in the accept queue of an engine.
pub async fn engine_load(fleet: &Fleet, engine: usize) -> u64 {
    let address = fleet.engines[engine].address;
    let reply = send(address, Method::GET, "/v1/load", None, None).await;
    let reply = reply.expect("the engine answers");
    let load = &reply.lines[0];
    load["running"].as_u64().unwrap_or(0) + load["waiting"].as_u64().unwrap_or(0)
}

/// Freezes or unfreezes the streams of all engines.
pub async fn freeze(fleet: &Fleet, frozen: bool) {
    for engine in &fleet.engines {
        fleet
            .behave(engine, &json!({"freeze_streams": frozen}))
            .await;
    }
}

/// Returns a host that does not own the pool of the model engines, and the host that owns it.
pub async fn follower_and_owner(fleet: &Fleet) -> (usize, usize) {
    let owner = fleet
        .owner(0, "assistant")
        .await
        .expect("the pool is owned");
    ((owner + 1) % fleet.plan.daemons, owner)
}

/// Waits until the queue of the pool of the model engines has the given length at its owner.
pub async fn wait_until_queued(fleet: &Fleet, owner: usize, count: u64) {
    fleet::wait_until(
        "the requests are queued at the owner",
        TAKEOVER_LIMIT,
        || async {
            let status = fleet.status(owner).await;
            queued_in(&status, "assistant") == count
        },
    )
    .await;
}

fn queued_in(status: &Value, pool: &str) -> u64 {
    let pools = status["pools"].as_array().into_iter().flatten();
    let loads = pools
        .filter(|entry| entry["name"] == pool)
        .flat_map(|entry| entry["tiers"].as_array().into_iter().flatten());
    loads.filter_map(|load| load["queued"].as_u64()).sum()
}
