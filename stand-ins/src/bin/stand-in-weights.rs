//! Stand-in for the rate-limited weight store.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use clap::Parser;
use http::StatusCode;
use http::header::{CONTENT_LENGTH, CONTENT_TYPE, HeaderValue};
use http_util::{BodySender, HttpReply, body_channel, json_reply};
use serde::{Deserialize, Serialize};
use stand_ins::behaviour::{FaultSettings, check_factor, patch_settings};
use stand_ins::server::{
    CallError, CallRequest, ListenArgs, send_chunk, serve_calls, start_logging,
};

const CHUNK_BYTES: u64 = 64 * 1024;

#[derive(Parser)]
#[command(about = "Stand-in for the rate-limited weight store")]
struct WeightsArgs {
    #[command(flatten)]
    listen: ListenArgs,
    /// Size of every weight file in bytes.
    #[arg(long, default_value_t = 8 * 1024 * 1024)]
    bytes: u64,
    #[command(flatten)]
    faults: WeightsFaults,
}

#[derive(Clone, Debug, Serialize, Deserialize, clap::Args)]
#[serde(deny_unknown_fields, default)]
struct WeightsFaults {
    /// Bytes per second, shared by all downloads.
    #[arg(long, default_value_t = DEFAULT_BYTES_PER_SECOND)]
    bytes_per_second: f64,
    /// Answer 503 to every download.
    #[arg(long)]
    outage: bool,
    /// Close the connection after this number of bytes of a download.
    #[arg(long)]
    cut_after_bytes: Option<u64>,
}

const DEFAULT_BYTES_PER_SECOND: f64 = 16.0 * 1024.0 * 1024.0;

impl Default for WeightsFaults {
    fn default() -> Self {
        Self {
            bytes_per_second: DEFAULT_BYTES_PER_SECOND,
            outage: false,
            cut_after_bytes: None,
        }
    }
}

impl FaultSettings for WeightsFaults {
    fn check(&self) -> Result<(), String> {
        check_factor("bytes_per_second", self.bytes_per_second)
    }
}

#[derive(Default, Serialize)]
struct WeightsStats {
    downloads: u64,
    completed: u64,
    refused: u64,
    sent_bytes: u64,
}

struct WeightsState {
    file_bytes: u64,
    faults: WeightsFaults,
    /// Time at which the bytes granted so far have been sent at the allowed rate.
    granted_until: Instant,
    stats: WeightsStats,
}

type SharedState = Rc<RefCell<WeightsState>>;

#[compio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    start_logging();
    let args = WeightsArgs::parse();
    args.faults.check()?;
    let state = Rc::new(RefCell::new(WeightsState {
        file_bytes: args.bytes,
        faults: args.faults,
        granted_until: Instant::now(),
        stats: WeightsStats::default(),
    }));
    serve_calls(args.listen.listen, move |call| {
        let reply = answer(&state, &call);
        async move { reply }
    })
    .await?;
    Ok(())
}

fn answer(state: &SharedState, call: &CallRequest) -> Result<HttpReply, CallError> {
    match (call.method.as_str(), call.segments().as_slice()) {
        ("GET", ["v1", "weights", _]) => start_download(state),
        ("POST", ["admin", "behaviour"]) => {
            let mut state = state.borrow_mut();
            state.faults = patch_settings(&state.faults, &call.body)?;
            Ok(json_reply(StatusCode::OK, &state.faults))
        }
        ("GET", ["admin", "stats"]) => Ok(json_reply(StatusCode::OK, &state.borrow().stats)),
        _ => Err(call.unknown()),
    }
}

fn start_download(state: &SharedState) -> Result<HttpReply, CallError> {
    let file_bytes = {
        let mut state = state.borrow_mut();
        if state.faults.outage {
            state.stats.refused += 1;
            return Err(CallError::new(StatusCode::SERVICE_UNAVAILABLE, "outage"));
        }
        state.stats.downloads += 1;
        state.file_bytes
    };
    let (sender, mut reply) = body_channel(StatusCode::OK, 1);
    let kind = HeaderValue::from_static("application/octet-stream");
    reply.headers_mut().insert(CONTENT_TYPE, kind);
    // With a length, a body that ends early closes the connection.
    reply
        .headers_mut()
        .insert(CONTENT_LENGTH, HeaderValue::from(file_bytes));
    compio::runtime::spawn(send_weights(Rc::clone(state), file_bytes, sender)).detach();
    Ok(reply)
}

async fn send_weights(state: SharedState, file_bytes: u64, mut sender: BodySender) {
    let mut sent = 0;
    while sent < file_bytes {
        let cut = state.borrow().faults.cut_after_bytes.unwrap_or(u64::MAX);
        let size = CHUNK_BYTES
            .min(file_bytes - sent)
            .min(cut.saturating_sub(sent));
        if size == 0 {
            return;
        }
        let due = state.borrow_mut().reserve(size, Instant::now());
        compio::time::sleep_until(due).await;
        let chunk = Bytes::from(vec![0; usize::try_from(size).unwrap_or(0)]);
        if !send_chunk(&mut sender, chunk).await {
            return;
        }
        sent += size;
        state.borrow_mut().stats.sent_bytes += size;
    }
    state.borrow_mut().stats.completed += 1;
}

impl WeightsState {
    // Returns the time at which the bytes may be sent.
    fn reserve(&mut self, bytes: u64, now: Instant) -> Instant {
        // Chunks are far smaller than 2^52 bytes.
        #[allow(clippy::cast_precision_loss)]
        let seconds = bytes as f64 / self.faults.bytes_per_second;
        self.granted_until = self.granted_until.max(now) + Duration::from_secs_f64(seconds);
        self.granted_until
    }
}
