//! Stand-in for the platform's eventually consistent host list.

use std::cell::RefCell;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::Parser;
use http::StatusCode;
use http_util::{HttpReply, json_reply};
use serde::{Deserialize, Serialize};
use serde_json::json;
use stand_ins::behaviour::{FaultSettings, patch_settings};
use stand_ins::host_entries::{HostChange, HostEntry, HostHistory};
use stand_ins::server::{CallError, CallRequest, ListenArgs, serve_calls, start_logging};

#[derive(Parser)]
#[command(about = "Stand-in for the list of live and leaving hosts")]
struct HostsArgs {
    #[command(flatten)]
    listen: ListenArgs,
    /// JSON file `{"hosts":[...]}` with the list at start.
    #[arg(long)]
    hosts: Option<PathBuf>,
    /// Delay after which a change is shown, in milliseconds.
    #[arg(long, default_value_t = 1000)]
    lag_ms: u64,
    #[command(flatten)]
    faults: HostsFaults,
}

#[derive(Clone, Debug, Serialize, Deserialize, clap::Args)]
#[serde(deny_unknown_fields, default)]
struct HostsFaults {
    /// Answer 503 to every read of the list.
    #[arg(long)]
    outage: bool,
    /// Show an earlier state for this number of milliseconds from now on.
    #[arg(long, default_value_t = 0)]
    flap_ms: u64,
    /// How many states the earlier state lies behind.
    #[arg(long, default_value_t = 1)]
    flap_back: usize,
}

impl Default for HostsFaults {
    fn default() -> Self {
        Self {
            outage: false,
            flap_ms: 0,
            flap_back: 1,
        }
    }
}

impl FaultSettings for HostsFaults {
    fn check(&self) -> Result<(), String> {
        Ok(())
    }
}

#[derive(Default, Serialize)]
struct HostsStats {
    reads: u64,
    refused: u64,
    changes: u64,
}

struct HostsState {
    faults: HostsFaults,
    history: HostHistory,
    flap_until: Instant,
    stats: HostsStats,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct HostsFile {
    hosts: Vec<HostEntry>,
}

#[compio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    start_logging();
    let args = HostsArgs::parse();
    let hosts = match &args.hosts {
        Some(path) => serde_json::from_str::<HostsFile>(&std::fs::read_to_string(path)?)?.hosts,
        None => Vec::new(),
    };
    hosts.iter().try_for_each(HostEntry::check)?;
    let now = Instant::now();
    let state = Rc::new(RefCell::new(HostsState {
        flap_until: now + Duration::from_millis(args.faults.flap_ms),
        faults: args.faults,
        history: HostHistory::new(Duration::from_millis(args.lag_ms), hosts, now),
        stats: HostsStats::default(),
    }));
    serve_calls(args.listen.listen, move |call| {
        let reply = answer(&mut state.borrow_mut(), &call);
        async move { reply }
    })
    .await?;
    Ok(())
}

fn answer(state: &mut HostsState, call: &CallRequest) -> Result<HttpReply, CallError> {
    let now = Instant::now();
    match (call.method.as_str(), call.segments().as_slice()) {
        ("GET", ["v1", "hosts"]) => {
            if state.faults.outage {
                state.stats.refused += 1;
                return Err(CallError::new(StatusCode::SERVICE_UNAVAILABLE, "outage"));
            }
            state.stats.reads += 1;
            let is_flapping = now < state.flap_until;
            let back = if is_flapping {
                state.faults.flap_back
            } else {
                0
            };
            let body = json!({ "hosts": state.history.shown(back, now) });
            Ok(json_reply(StatusCode::OK, &body))
        }
        ("POST", ["admin", "hosts"]) => {
            let change: HostChange = call.json()?;
            state
                .history
                .change(change, now)
                .map_err(CallError::bad_request)?;
            state.stats.changes += 1;
            Ok(json_reply(StatusCode::OK, &json!({})))
        }
        ("POST", ["admin", "behaviour"]) => {
            state.faults = patch_settings(&state.faults, &call.body)?;
            // The flap is an event of limited length, not a lasting state.
            let flap_ms = std::mem::take(&mut state.faults.flap_ms);
            state.flap_until = now + Duration::from_millis(flap_ms);
            Ok(json_reply(StatusCode::OK, &state.faults))
        }
        ("GET", ["admin", "stats"]) => Ok(json_reply(StatusCode::OK, &state.stats)),
        _ => Err(call.unknown()),
    }
}
