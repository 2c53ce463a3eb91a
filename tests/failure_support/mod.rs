//! Parts that the tests of guarantees under failure share.

#![allow(dead_code)]

use std::sync::{Condvar, Mutex, PoisonError};
use std::time::Duration;

use fleet::{Fleet, Reply, send, wait_until};
use http::Method;
use serde_json::{Value, json};

/// Longest time until a condition holds that the daemons bring about by themselves.
pub const SETTLE_TIME: Duration = Duration::from_secs(15);
/// Fleets that one test program runs at the same time.
const MAX_FLEETS: usize = 4;

static RUNNING: Mutex<usize> = Mutex::new(0);
static ENDED: Condvar = Condvar::new();

struct FleetSlot;

impl Drop for FleetSlot {
    fn drop(&mut self) {
        *RUNNING.lock().unwrap_or_else(PoisonError::into_inner) -= 1;
        ENDED.notify_one();
    }
}

/// Runs a test with its own runtime, at most four at the same time.
pub fn run(test: impl Future<Output = ()>) {
    let mut running = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    while *running >= MAX_FLEETS {
        running = ENDED.wait(running).unwrap_or_else(PoisonError::into_inner);
    }
    *running += 1;
    drop(running);
    let _slot = FleetSlot;
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(test);
}

/// Body of an order for the pool `orders`.
pub fn order_body(key: &str, barrels: u32) -> Value {
    json!({
        "key": key, "pool": "orders", "operation": "place_order", "tier": 1,
        "body": {"barrels": barrels},
    })
}

/// Sends an order to a daemon for the workspace `small`.
pub async fn place(fleet: &Fleet, daemon: usize, body: &Value) -> Reply {
    try_place(fleet, daemon, body)
        .await
        .unwrap_or_else(|error| panic!("host {daemon} did not answer: {error}"))
}

pub async fn try_place(
    fleet: &Fleet,
    daemon: usize,
    body: &Value,
) -> Result<Reply, http_util::ClientError> {
    let token = Some("small-token");
    send(
        fleet.caller(daemon),
        Method::POST,
        "/v1/calls",
        token,
        Some(body),
    )
    .await
}

/// Times that the service ran a key of the workspace `small`.
pub async fn runs(fleet: &Fleet, key: &str) -> u64 {
    let stats = fleet.stats(&fleet.services[0]).await;
    // The daemons add a digest to the caller's key.
    let name = format!("small/{key}.");
    let ran = stats["ran"].as_object().expect("runs by key");
    let own = ran.iter().filter(|(other, _)| other.starts_with(&name));
    own.filter_map(|(_, count)| count.as_u64()).sum()
}

/// Asserts guarantee 8 over everything that the service saw.
pub async fn assert_no_key_ran_twice(fleet: &Fleet) {
    let stats = fleet.stats(&fleet.services[0]).await;
    let ran = stats["ran"].as_object().expect("runs by key");
    assert!(ran.values().all(|count| count == 1), "{stats}");
}

/// Number of records in the claims topic.
pub async fn claim_records(fleet: &Fleet) -> u64 {
    let stats = fleet.stats(&fleet.log).await;
    stats["topics"]["claims"][1].as_u64().unwrap_or(0)
}

/// Waits until the claims topic holds at least this many records.
pub async fn wait_claims(fleet: &Fleet, records: u64) {
    wait_until("the claim is in the log", SETTLE_TIME, || async {
        claim_records(fleet).await >= records
    })
    .await;
}

/// Waits until a number in the statistics of the service is at least `least`.
pub async fn wait_service(fleet: &Fleet, name: &str, least: u64) {
    wait_until(name, SETTLE_TIME, || async {
        let stats = fleet.stats(&fleet.services[0]).await;
        stats[name].as_u64().unwrap_or(0) >= least
    })
    .await;
}

/// Value of a counter of a daemon, by the name that `wisteriapin counters` prints.
pub async fn counter(fleet: &Fleet, daemon: usize, name: &str) -> u64 {
    let (code, reply) = fleet.operate(daemon, "night-token", &["counters"]).await;
    assert_eq!(code, 0, "{reply}");
    let counters = reply["counters"].as_array().cloned().unwrap_or_default();
    let found = counters.iter().find(|entry| entry["name"] == name);
    found.map_or(0, |entry| {
        let value = &entry["value"];
        let text = value.as_str().and_then(|text| text.parse().ok());
        value.as_u64().or(text).unwrap_or(0)
    })
}
