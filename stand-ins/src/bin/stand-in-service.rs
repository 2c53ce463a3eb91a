//! Stand-in for a service endpoint.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use clap::Parser;
use futures_channel::oneshot;
use http::StatusCode;
use http_util::{HttpReply, closed_reply, json_reply};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use serde_json::{Value, json};
use stand_ins::behaviour::{FaultSettings, check_ratio, patch_settings};
use stand_ins::chance::FaultChance;
use stand_ins::server::{CallError, CallRequest, ListenArgs, serve_calls, start_logging};

#[derive(Parser)]
#[command(about = "Stand-in for a service endpoint")]
struct ServiceArgs {
    #[command(flatten)]
    listen: ListenArgs,
    #[command(flatten)]
    faults: ServiceFaults,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize, clap::Args)]
#[serde(deny_unknown_fields, default)]
struct ServiceFaults {
    /// Time that a call takes, in milliseconds.
    #[arg(long, default_value_t = 0)]
    delay_ms: u64,
    /// Answer 503 to every call without running it.
    #[arg(long)]
    refuse: bool,
    /// Close the connection without an answer after the call ran.
    #[arg(long)]
    drop_answer: bool,
    /// Share of calls that fail after they ran.
    #[arg(long, default_value_t = 0.0)]
    fail_ratio: f64,
}

impl FaultSettings for ServiceFaults {
    fn check(&self) -> Result<(), String> {
        check_ratio("fail_ratio", self.fail_ratio)
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
enum OperationName {
    PlaceOrder,
    RegisterWarranty,
    ReadStock,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct ServiceCall {
    key: String,
    workspace: String,
    operation: OperationName,
    body: Value,
}

#[derive(Default, Serialize)]
struct ServiceStats {
    /// Times that each key ran, by workspace and key joined by a slash.
    ran: FxHashMap<String, u64>,
    /// Calls that began to run.
    received: u64,
    operations: FxHashMap<OperationName, u64>,
    refused: u64,
    failed: u64,
    dropped: u64,
}

struct ServiceState {
    faults: ServiceFaults,
    chance: FaultChance,
    stats: ServiceStats,
}

type SharedState = Rc<RefCell<ServiceState>>;

#[compio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    start_logging();
    let args = ServiceArgs::parse();
    args.faults.check()?;
    let state = Rc::new(RefCell::new(ServiceState {
        faults: args.faults,
        chance: FaultChance::new(args.listen.seed),
        stats: ServiceStats::default(),
    }));
    serve_calls(args.listen.listen, move |call| {
        answer(Rc::clone(&state), call)
    })
    .await?;
    Ok(())
}

async fn answer(state: SharedState, call: CallRequest) -> Result<HttpReply, CallError> {
    match (call.method.as_str(), call.segments().as_slice()) {
        ("POST", ["v1", "call"]) => receive_call(state, call.json()?).await,
        ("POST", ["admin", "behaviour"]) => {
            let mut state = state.borrow_mut();
            state.faults = patch_settings(&state.faults, &call.body)?;
            Ok(json_reply(StatusCode::OK, &state.faults))
        }
        ("GET", ["admin", "stats"]) => Ok(json_reply(StatusCode::OK, &state.borrow().stats)),
        _ => Err(call.unknown()),
    }
}

async fn receive_call(state: SharedState, call: ServiceCall) -> Result<HttpReply, CallError> {
    if state.borrow().faults.refuse {
        state.borrow_mut().stats.refused += 1;
        let body = json!({"error": "refused", "ran": false});
        return Ok(json_reply(StatusCode::SERVICE_UNAVAILABLE, &body));
    }
    state.borrow_mut().stats.received += 1;
    let (sender, receiver) = oneshot::channel();
    // A call that was received runs also when its caller disconnects.
    compio::runtime::spawn(async move {
        let reply = run_call(&state, &call).await;
        let _ = sender.send(reply);
    })
    .detach();
    receiver
        .await
        .map_err(|_| CallError::new(StatusCode::INTERNAL_SERVER_ERROR, "the call was lost"))
}

async fn run_call(state: &SharedState, call: &ServiceCall) -> HttpReply {
    let delay_ms = state.borrow().faults.delay_ms;
    if delay_ms > 0 {
        compio::time::sleep(Duration::from_millis(delay_ms)).await;
    }
    let mut state = state.borrow_mut();
    let ServiceState {
        faults,
        chance,
        stats,
    } = &mut *state;
    let name = format!("{}/{}", call.workspace, call.key);
    *stats.ran.entry(name).or_default() += 1;
    *stats.operations.entry(call.operation).or_default() += 1;
    if faults.drop_answer {
        stats.dropped += 1;
        return closed_reply();
    }
    if chance.hit(faults.fail_ratio) {
        stats.failed += 1;
        let body = json!({"error": "injected failure", "ran": true});
        return json_reply(StatusCode::INTERNAL_SERVER_ERROR, &body);
    }
    json_reply(StatusCode::OK, &json!({ "result": result(call) }))
}

fn result(call: &ServiceCall) -> Value {
    match call.operation {
        OperationName::PlaceOrder => json!({"order": call.key, "placed": call.body}),
        OperationName::RegisterWarranty => json!({"warranty": call.key, "registered": call.body}),
        OperationName::ReadStock => json!({"stock": 42, "item": call.body}),
    }
}
