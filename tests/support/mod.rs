//! Helpers of the tests that run requests through real daemons under failure.
#![allow(dead_code)]

use std::collections::BTreeMap;
use std::sync::{Condvar, Mutex};
use std::time::Duration;

use fleet::{CallerStream, EnginePlan, Fleet, FleetPlan, Reply, home_key, send, submit_body};
use futures_util::future::join_all;
use http::Method;
use http_util::ClientError;
use serde_json::{Value, json};

/// Length of a lease in a small region.
pub const LEASE: Duration = Duration::from_millis(1500);
/// Lease, one heartbeat interval, and the rest of the 5 s that the design allows.
pub const TAKEOVER_LIMIT: Duration = Duration::from_secs(5);
/// Fleets that run at the same time; more of them distort each other's timing.
const MAX_FLEETS: usize = 4;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

struct FleetSlot;

impl FleetSlot {
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

/// Runs a test that has one fleet, as soon as fewer than four others run.
pub fn run(test: impl Future<Output = ()>) {
    let _slot = FleetSlot::acquire();
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(test);
}

/// A plan with the given numbers of hosts and engines. Reports of the engines have no lag, so
/// that `/v1/load` shows what an engine holds at the moment.
pub fn plan(daemons: usize, engines: usize, arguments: &[&str]) -> FleetPlan {
    let mut all = vec!["--report-lag-ms", "0"];
    all.extend(arguments);
    (0..engines).fold(FleetPlan::new(daemons), |plan, index| {
        let zone = ["krk-a", "krk-b", "kat-c"][index % 3];
        plan.engine(EnginePlan::new(&format!("m{}", index + 1), zone, &all))
    })
}

pub async fn new_key(fleet: &Fleet, home: usize, suffix: &str) -> String {
    home_key(&fleet.home(home).await, suffix)
}

/// Sends a request of the workspace `big` and reads the whole answer.
pub async fn submit(
    fleet: &Fleet,
    host: usize,
    key: &str,
    tokens: u32,
) -> Result<Reply, ClientError> {
    submit_value(fleet, host, &submit_body(key, 1, prompt(key), tokens)).await
}

/// A prompt that differs between keys, so that no content is suspected for another one.
fn prompt(key: &str) -> &str {
    key
}

pub async fn submit_value(fleet: &Fleet, host: usize, body: &Value) -> Result<Reply, ClientError> {
    let address = fleet.caller(host);
    let token = Some("big-token");
    send(address, Method::POST, "/v1/requests", token, Some(body)).await
}

/// Sends the request with this key in the name of another workspace.
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

/// Opens a request's stream and leaves the rest of it unread.
pub async fn open_stream(fleet: &Fleet, host: usize, key: &str, tokens: u32) -> CallerStream {
    let body = submit_body(key, 1, prompt(key), tokens);
    let address = fleet.caller(host);
    let token = Some("big-token");
    let stream = CallerStream::open(address, Method::POST, "/v1/requests", token, Some(&body))
        .await
        .expect("the daemon answers");
    if stream.status != 200 {
        let again = submit(fleet, host, key, tokens).await;
        panic!("{key} was refused: {again:?}");
    }
    stream
}

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

/// How often each request reached an engine, by request id, over all engines that run.
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

/// How often the request with this key reached an engine.
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
    assert!(repeated.is_empty(), "dispatched repeatedly: {repeated:?}");
}

/// Fails if a reply to the submission of a key says "not run" though it reached an engine, or if
/// it says neither what became of the request.
pub async fn assert_consistent_reply(fleet: &Fleet, key: &str, reply: &Reply) {
    let count = dispatch_count(fleet, key).await;
    assert!(count <= 1, "{key} was dispatched {count} times");
    if reply.ran() == "not_run" {
        assert_eq!(count, 0, "{key} was dispatched in spite of {reply:?}");
    }
    assert!(reply.code() != 0, "no result code: {reply:?}");
}

/// Requests that an engine holds now, running or in its accept queue.
pub async fn engine_load(fleet: &Fleet, engine: usize) -> u64 {
    let address = fleet.engines[engine].address;
    let reply = send(address, Method::GET, "/v1/load", None, None).await;
    let reply = reply.expect("the engine answers");
    let load = &reply.lines[0];
    load["running"].as_u64().unwrap_or(0) + load["waiting"].as_u64().unwrap_or(0)
}

/// Freezes or unfreezes all engines.
pub async fn freeze(fleet: &Fleet, frozen: bool) {
    for engine in &fleet.engines {
        fleet
            .behave(engine, &json!({"freeze_streams": frozen}))
            .await;
    }
}

/// A host that does not own the pool of the model engines.
pub async fn follower_and_owner(fleet: &Fleet) -> (usize, usize) {
    let owner = fleet
        .owner(0, "assistant")
        .await
        .expect("the pool is owned");
    ((owner + 1) % fleet.plan.daemons, owner)
}

/// Waits until the owner of the model engines' pool has this many requests in its queue.
pub async fn wait_until_queued(fleet: &Fleet, owner: usize, count: u64) {
    fleet::wait_until("requests wait at the owner", TAKEOVER_LIMIT, || async {
        let status = fleet.status(owner).await;
        queued_in(&status, "assistant") == count
    })
    .await;
}

fn queued_in(status: &Value, pool: &str) -> u64 {
    let pools = status["pools"].as_array().into_iter().flatten();
    let loads = pools
        .filter(|entry| entry["name"] == pool)
        .flat_map(|entry| entry["tiers"].as_array().into_iter().flatten());
    loads.filter_map(|load| load["queued"].as_u64()).sum()
}
