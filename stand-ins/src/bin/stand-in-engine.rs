//! Stand-in for a model engine.

use std::rc::Rc;
use std::time::Instant;

use clap::Parser;
use http::StatusCode;
use http_util::{HttpReply, body_channel, closed_reply, empty_reply, json_reply, request_json};
use serde::Deserialize;
use serde_json::json;
use stand_ins::behaviour::FaultSettings;
use stand_ins::engine::faults::EngineFaults;
use stand_ins::engine::settings::EngineSettings;
use stand_ins::engine::state::{AcceptError, Engine, GenerateRequest};
use stand_ins::engine::stream::{FailPoint, StreamEnd};
use stand_ins::server::{CallError, CallRequest, ListenArgs, serve_calls, start_logging};

/// Chunks of a stream that may wait for a slow reader.
const STREAM_CHUNKS: usize = 4;
/// Longest weights that are loaded.
const WEIGHTS_LIMIT_BYTES: usize = 1024 * 1024 * 1024;

#[derive(Parser)]
#[command(about = "Stand-in for a model engine with continuous batching")]
struct EngineArgs {
    #[command(flatten)]
    listen: ListenArgs,
    #[command(flatten)]
    settings: EngineSettings,
    #[command(flatten)]
    faults: EngineFaults,
    /// Records the prefill of each request and each change of the cache in the statistics.
    #[arg(long)]
    record_prefill: bool,
}

#[derive(Deserialize)]
#[serde(rename_all = "snake_case")]
enum OrderKind {
    LoadModel,
    LoadAdapter,
    LoadVersion,
    SetRole,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct OrderRequest {
    order: OrderKind,
    name: String,
    fence: u64,
}

#[compio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    start_logging();
    let args = EngineArgs::parse();
    args.settings.check()?;
    args.faults.check()?;
    let engine = Engine::new(args.settings, args.faults, args.listen.seed);
    if args.record_prefill {
        engine.state().cache.changes = Some(Vec::new());
    }
    let stepping = Rc::clone(&engine);
    compio::runtime::spawn(async move { stepping.run_steps().await }).detach();
    let cleaning = Rc::clone(&engine);
    compio::runtime::spawn(async move { cleaning.run_housekeeping().await }).detach();
    serve_calls(args.listen.listen, move |call| {
        answer(Rc::clone(&engine), call)
    })
    .await?;
    Ok(())
}

async fn answer(engine: Rc<Engine>, call: CallRequest) -> Result<HttpReply, CallError> {
    let now = Instant::now();
    match (call.method.as_str(), call.segments().as_slice()) {
        ("POST", ["v1", "generate"]) => generate(engine, call.json()?).await,
        ("GET", ["v1", "streams", id]) => resume(engine, id, call.query("from")?.unwrap_or(0)),
        ("DELETE", ["v1", "streams", id]) if engine.cancel(id) => Ok(empty_reply(StatusCode::OK)),
        ("DELETE", ["v1", "streams", _]) => Err(CallError::not_found("unknown stream")),
        ("GET", ["v1", "load"]) => Ok(json_reply(StatusCode::OK, &engine.state().load.report(now))),
        ("GET", ["v1", "cache-events"]) => {
            let from = call.query("from")?.unwrap_or(0);
            let (next, events) = engine.state().cache.events(from, now);
            Ok(json_reply(
                StatusCode::OK,
                &json!({"next": next, "events": events}),
            ))
        }
        ("POST", ["v1", "orders"]) => execute_order(&engine, call.json()?).await,
        ("GET", ["v1", "kv", id]) => match engine.export_kv(id) {
            Some(export) => Ok(json_reply(StatusCode::OK, &export)),
            None => Err(CallError::not_found("unknown stream")),
        },
        ("PUT", ["v1", "kv", id]) => match engine.import_kv(id, call.json()?) {
            Ok(true) => Ok(empty_reply(StatusCode::OK)),
            Ok(false) => Err(CallError::new(StatusCode::CONFLICT, "the stream exists")),
            Err(message) => Err(CallError::bad_request(message)),
        },
        ("POST", ["admin", "behaviour"]) => Ok(json_reply(
            StatusCode::OK,
            &engine.patch_faults(&call.body)?,
        )),
        ("GET", ["admin", "stats"]) => {
            let state = engine.state();
            let mut body = serde_json::to_value(&state.stats).map_err(CallError::malformed)?;
            body["block_changes"] = json!(state.cache.changes);
            Ok(json_reply(StatusCode::OK, &body))
        }
        _ => Err(call.unknown()),
    }
}

async fn generate(engine: Rc<Engine>, request: GenerateRequest) -> Result<HttpReply, CallError> {
    let request_id = request.request_id.clone();
    if let Err(error) = engine.accept(request) {
        return Ok(refusal(error));
    }
    let fails_with_status = engine
        .state()
        .streams
        .get(&request_id)
        .is_some_and(|stream| stream.fail_point == Some(FailPoint::Status));
    if fails_with_status && engine.wait_end(&request_id).await == Some(StreamEnd::Failed) {
        let body = json!({"error": "injected failure", "ran": true});
        return Ok(json_reply(StatusCode::INTERNAL_SERVER_ERROR, &body));
    }
    if engine.state().faults.drop_answer {
        engine.wait_end(&request_id).await;
        return Ok(closed_reply());
    }
    Ok(stream_reply(engine, request_id, 0))
}

fn refusal(error: AcceptError) -> HttpReply {
    let (status, name, ran) = match error {
        AcceptError::Full => (StatusCode::SERVICE_UNAVAILABLE, "full", false),
        AcceptError::Cold => (StatusCode::SERVICE_UNAVAILABLE, "cold", false),
        AcceptError::UnknownModel => (StatusCode::SERVICE_UNAVAILABLE, "unknown model", false),
        AcceptError::Duplicate => (StatusCode::CONFLICT, "duplicate request_id", true),
    };
    json_reply(status, &json!({"error": name, "ran": ran}))
}

fn resume(engine: Rc<Engine>, request_id: &str, from: u32) -> Result<HttpReply, CallError> {
    if !engine.state().streams.contains_key(request_id) {
        return Err(CallError::not_found("unknown stream"));
    }
    Ok(stream_reply(engine, request_id.to_owned(), from))
}

fn stream_reply(engine: Rc<Engine>, request_id: String, from: u32) -> HttpReply {
    let (sender, reply) = body_channel(StatusCode::OK, STREAM_CHUNKS);
    compio::runtime::spawn(async move { engine.send_stream(&request_id, from, sender).await })
        .detach();
    reply
}

async fn execute_order(engine: &Engine, order: OrderRequest) -> Result<HttpReply, CallError> {
    {
        let mut state = engine.state();
        if engine.settings.checks_fence && order.fence < state.fence {
            state.stats.rejected_orders += 1;
            let body = json!({"error": "stale_fence", "fence": state.fence});
            return Ok(json_reply(StatusCode::CONFLICT, &body));
        }
        state.fence = state.fence.max(order.fence);
        state.stats.orders.push(order.name.clone());
    }
    match order.order {
        OrderKind::LoadModel => {
            load_weights(engine, &order.name).await?;
            engine.state().models.insert(order.name);
        }
        OrderKind::LoadVersion => {
            load_weights(engine, &order.name).await?;
            let mut state = engine.state();
            state.version = order.name;
            if engine.settings.cold_after_load {
                state.set_cold(true, Instant::now());
            }
        }
        OrderKind::LoadAdapter => load_weights(engine, &order.name).await?,
        OrderKind::SetRole => {}
    }
    Ok(empty_reply(StatusCode::OK))
}

async fn load_weights(engine: &Engine, name: &str) -> Result<(), CallError> {
    let Some(store) = engine.settings.weights else {
        return Ok(());
    };
    let path = format!("/v1/weights/{name}");
    let loaded = request_json(store, http::Method::GET, &path, None, WEIGHTS_LIMIT_BYTES).await;
    match loaded {
        Ok((StatusCode::OK, _)) => Ok(()),
        Ok((status, _)) => {
            let message = format!("the weight store answered {status}");
            Err(CallError::new(StatusCode::BAD_GATEWAY, message))
        }
        Err(error) => Err(CallError::new(StatusCode::BAD_GATEWAY, error.to_string())),
    }
}
