//! Helpers shared by the tests of configuration, zones, drains and rollouts.
#![allow(dead_code)]

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Condvar, Mutex, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use fleet::{Fleet, Process, Reply, home_key, send, submit_body, wait_until};
use http::Method;
use serde_json::{Value, json};

/// Lease of the pool owner.
pub const LEASE: Duration = Duration::from_millis(1500);
/// Time after the accepted reply from which no dispatch uses an older configuration: the lease, the
/// permit validity and one heartbeat interval of slack.
pub const FRESHNESS_BOUND: Duration = Duration::from_millis(2250);
/// Maximum time from the accepted reply to the last dispatch into a zone that was taken out.
pub const ZONE_BOUND: Duration = Duration::from_millis(3500);
/// Target time within which a configuration change is in force on every host.
pub const IN_FORCE_BOUND: Duration = Duration::from_secs(13);
/// Time within which a restarted host rejoins: the lease, start-up reads and heartbeats.
pub const REJOIN_BOUND: Duration = Duration::from_secs(15);

/// With more fleets at once, the machine rather than the product would cause delays.
const FLEETS_AT_ONCE: usize = 4;

static FLEETS: Mutex<usize> = Mutex::new(0);
static FLEET_ENDED: Condvar = Condvar::new();

struct FleetSlot;

impl FleetSlot {
    fn acquire() -> Self {
        let mut running = FLEETS.lock().unwrap_or_else(PoisonError::into_inner);
        while *running >= FLEETS_AT_ONCE {
            running = FLEET_ENDED
                .wait(running)
                .unwrap_or_else(PoisonError::into_inner);
        }
        *running += 1;
        Self
    }
}

impl Drop for FleetSlot {
    fn drop(&mut self) {
        let mut running = FLEETS.lock().unwrap_or_else(PoisonError::into_inner);
        *running -= 1;
        FLEET_ENDED.notify_one();
    }
}

/// Runs a test with one fleet.
pub fn run(test: impl Future<Output = ()>) {
    let _slot = FleetSlot::acquire();
    let runtime = compio::runtime::Runtime::new().expect("the runtime starts");
    runtime.block_on(test);
}

/// Runs an operator's command as operator `night`.
pub async fn operate(fleet: &Fleet, daemon: usize, arguments: &[&str]) -> (i32, Value) {
    fleet.operate(daemon, "night-token", arguments).await
}

/// Runs an operator's command and asserts that it is accepted.
pub async fn accept(fleet: &Fleet, daemon: usize, arguments: &[&str]) -> Value {
    let (code, reply) = operate(fleet, daemon, arguments).await;
    assert_eq!(code, 0, "{arguments:?} was not accepted: {reply}");
    reply
}

/// Returns the configuration version that a daemon has applied, or 0 if it does not answer.
pub async fn config_version(fleet: &Fleet, daemon: usize) -> u64 {
    fleet.status(daemon).await["config_version"]
        .as_u64()
        .unwrap_or(0)
}

/// Returns the document that a daemon has applied, or null if it does not answer.
pub async fn document(fleet: &Fleet, daemon: usize) -> Value {
    let (code, reply) = operate(fleet, daemon, &["config", "show"]).await;
    if code != 0 {
        return Value::Null;
    }
    match &reply["document"] {
        Value::String(text) => serde_json::from_str(text).unwrap_or(Value::Null),
        Value::Null => reply,
        document => document.clone(),
    }
}

/// Returns the state of a zone in the document that a daemon has applied.
pub async fn zone_state(fleet: &Fleet, daemon: usize, zone: &str) -> String {
    let document = document(fleet, daemon).await;
    let zones = document["zones"].as_array().cloned().unwrap_or_default();
    let entry = zones.iter().find(|entry| entry["name"] == zone);
    let state = entry.and_then(|entry| entry["state"].as_str());
    state.unwrap_or("").to_owned()
}

/// Returns the home (incarnation) of a daemon, also of one that discovery does not list.
pub async fn home(fleet: &Fleet, daemon: usize) -> String {
    let status = fleet.status(daemon).await;
    let home = status["incarnation"].as_str();
    home.expect("the daemon answers").to_owned()
}

/// Waits until every daemon has applied a version.
pub async fn wait_version(fleet: &Fleet, daemons: &[usize], version: u64) {
    for daemon in daemons {
        wait_until("the version is in force", IN_FORCE_BOUND, || async {
            config_version(fleet, *daemon).await >= version
        })
        .await;
    }
}

/// Waits until a daemon is live and sees `count` live hosts.
pub async fn wait_live(fleet: &Fleet, daemon: usize, count: usize) {
    wait_until("the host is live again", REJOIN_BOUND, || async {
        let status = fleet.status(daemon).await;
        let hosts = status["electorate"].as_array().cloned().unwrap_or_default();
        let live = hosts.iter().filter(|host| host["state"] == "live").count();
        status["state"] == "live" && live == count
    })
    .await;
}

/// One finished request.
#[derive(Clone, Debug)]
pub struct Outcome {
    pub key: String,
    pub began: Instant,
    pub ended_unix_ms: u64,
    /// `None` if the connection failed before the head of the answer.
    pub reply: Option<Reply>,
    pub max_tokens: u32,
}

impl Outcome {
    /// Returns whether the answer is complete.
    pub fn is_whole(&self) -> bool {
        let count = u64::from(self.max_tokens);
        self.reply
            .as_ref()
            .is_some_and(|reply| reply.is_whole(0, count))
    }

    /// Returns whether the answer began and then stopped early.
    pub fn is_cut(&self) -> bool {
        self.reply
            .as_ref()
            .is_some_and(|reply| reply.status == 200 && !self.is_whole())
    }
}

/// Shape of the requests of a load.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub workers: usize,
    pub max_tokens: u32,
    pub tier: u8,
    pub routes: Vec<String>,
}

impl LoadPlan {
    pub fn new(workers: usize, max_tokens: u32) -> Self {
        Self {
            workers,
            max_tokens,
            tier: 1,
            routes: vec!["question".to_owned()],
        }
    }
}

/// A load of requests that several workers send one after another until it is stopped.
pub struct Load {
    stop: Rc<Cell<bool>>,
    outcomes: Rc<RefCell<Vec<Outcome>>>,
    workers: Vec<compio::runtime::JoinHandle<()>>,
}

impl Load {
    /// Starts the workers and distributes them over the given daemons in turn.
    pub async fn start(fleet: &Fleet, daemons: &[usize], plan: &LoadPlan) -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let load = NEXT.fetch_add(1, Ordering::Relaxed);
        let stop = Rc::new(Cell::new(false));
        let outcomes = Rc::new(RefCell::new(Vec::new()));
        let mut targets = Vec::new();
        for daemon in daemons {
            targets.push((fleet.caller(*daemon), home(fleet, *daemon).await));
        }
        let workers = (0..plan.workers).map(|worker| {
            let (address, home) = targets[worker % targets.len()].clone();
            let route = plan.routes[worker % plan.routes.len()].clone();
            let (stop, outcomes) = (Rc::clone(&stop), Rc::clone(&outcomes));
            let plan = plan.clone();
            compio::runtime::spawn(async move {
                let mut turn = 0;
                while !stop.get() {
                    turn += 1;
                    let key = home_key(&home, &format!("{load}-{worker}-{turn}"));
                    let outcome = request(address, &key, &route, plan.tier, plan.max_tokens).await;
                    let refused = outcome.reply.is_none();
                    outcomes.borrow_mut().push(outcome);
                    if refused {
                        // Avoids a tight loop of requests to a host that is down.
                        compio::time::sleep(Duration::from_millis(20)).await;
                    }
                }
            })
        });
        let workers = workers.collect();
        Self {
            stop,
            outcomes,
            workers,
        }
    }

    /// Returns the number of complete answers so far.
    pub fn whole(&self) -> usize {
        let outcomes = self.outcomes.borrow();
        outcomes.iter().filter(|outcome| outcome.is_whole()).count()
    }

    /// Waits until `more` further answers are complete.
    pub async fn wait_whole(&self, more: usize, limit: Duration) {
        let target = self.whole() + more;
        wait_until("answers arrive", limit, || async { self.whole() >= target }).await;
    }

    /// Stops the load after every worker's last request and returns all outcomes.
    pub async fn stop(self) -> Vec<Outcome> {
        self.stop.set(true);
        for worker in self.workers {
            worker.await.expect("the worker ends");
        }
        self.outcomes.take()
    }
}

/// Sends one request and reads its complete answer.
pub async fn request(
    address: SocketAddr,
    key: &str,
    route: &str,
    tier: u8,
    max_tokens: u32,
) -> Outcome {
    let began = Instant::now();
    let mut body = submit_body(key, tier, "which mix gives dense fog", max_tokens);
    body["route"] = json!(route);
    let path = "/v1/requests";
    let reply = send(address, Method::POST, path, Some("big-token"), Some(&body)).await;
    Outcome {
        key: key.to_owned(),
        began,
        ended_unix_ms: unix_ms(),
        reply: reply.ok(),
        max_tokens,
    }
}

/// Returns the current time in milliseconds since the Unix epoch.
pub fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    let elapsed = elapsed.expect("the clock is past 1970").as_millis();
    u64::try_from(elapsed).expect("a time of this century")
}

/// Returns the records that the log still has, with the time of each append in Unix milliseconds.
pub async fn log_records(fleet: &Fleet, topic: &str) -> Vec<(u64, Value)> {
    let stats = fleet.stats(&fleet.log).await;
    let first = stats["topics"][topic][0].as_u64().unwrap_or(0);
    let path = format!("/v1/topics/{topic}/records?from={first}&max=10000&wait_ms=0");
    let reply = send(fleet.log.address, Method::GET, &path, None, None).await;
    let reply = reply.expect("the log answers");
    let records = reply.lines[0]["records"].as_array().cloned();
    let entry = |record: Value| {
        let data = record["data"].as_str().unwrap_or("");
        let change = serde_json::from_str(data).unwrap_or(Value::Null);
        (record["at_ms"].as_u64().unwrap_or(0), change)
    };
    records.unwrap_or_default().into_iter().map(entry).collect()
}

/// Returns the requests that an engine received, with the time of each on the engine's clock.
pub async fn dispatches(fleet: &Fleet, engine: &Process) -> Vec<(String, u64)> {
    let stats = fleet.stats(engine).await;
    let order = stats["order"].as_array().cloned().unwrap_or_default();
    let entry = |entry: &Value| {
        let id = entry["request_id"].as_str().unwrap_or("").to_owned();
        (id, entry["at_ms"].as_u64().unwrap_or(0))
    };
    order.iter().map(entry).collect()
}

/// Marks the current time on an engine's clock with a request by the test itself.
pub async fn mark(engine: &Process, name: &str) {
    let body = json!({
        "request_id": format!("mark-{name}"), "model": "assistant", "route": "mark",
        "prompt": "mark", "max_tokens": 1,
    });
    let reply = send(
        engine.address,
        Method::POST,
        "/v1/generate",
        None,
        Some(&body),
    );
    let reply = reply.await.expect("the engine answers");
    assert_eq!(reply.status, 200, "{reply:?}");
}

/// Returns the time from a mark to the last dispatch after it, or `None` if there was none.
pub async fn last_after(fleet: &Fleet, engine: &Process, name: &str) -> Option<Duration> {
    let dispatches = dispatches(fleet, engine).await;
    let mark_id = format!("mark-{name}");
    let (_, marked) = dispatches
        .iter()
        .find(|(id, _)| *id == mark_id)
        .expect("the mark is there");
    let last = dispatches
        .iter()
        .filter(|(id, at)| !id.starts_with("mark-") && at > marked)
        .map(|(_, at)| *at)
        .max()?;
    Some(Duration::from_millis(last - marked))
}

/// Asserts that no answer began and then stopped early. Returns the number of complete answers.
pub fn assert_none_cut(outcomes: &[Outcome]) -> usize {
    let cut: Vec<_> = outcomes.iter().filter(|outcome| outcome.is_cut()).collect();
    assert!(
        cut.is_empty(),
        "{} answers were cut: {:?}",
        cut.len(),
        cut[0]
    );
    outcomes.iter().filter(|outcome| outcome.is_whole()).count()
}

/// Returns the host list as its readers see it.
pub async fn listing(list: &Process) -> String {
    let reply = send(list.address, Method::GET, "/v1/hosts", None, None).await;
    let reply = reply.expect("the list answers");
    reply
        .lines
        .first()
        .map(Value::to_string)
        .unwrap_or_default()
}

/// Asserts that every request received a complete answer.
pub fn assert_all_whole(outcomes: &[Outcome]) {
    let failed: Vec<_> = outcomes
        .iter()
        .filter(|outcome| !outcome.is_whole())
        .collect();
    assert!(
        failed.is_empty(),
        "{} of {} requests failed; the first: {:?}",
        failed.len(),
        outcomes.len(),
        failed[0]
    );
}
