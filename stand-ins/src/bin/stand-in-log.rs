//! Stand-in for the platform's append-only log service.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use clap::Parser;
use http::StatusCode;
use http_util::{HttpReply, closed_reply, json_reply};
use rustc_hash::FxHashMap;
use serde::{Deserialize, Serialize};
use serde_json::json;
use stand_ins::behaviour::{FaultSettings, check_factor, check_ratio, patch_settings};
use stand_ins::chance::FaultChance;
use stand_ins::server::{CallError, CallRequest, ListenArgs, serve_calls, start_logging};
use stand_ins::signal::Signal;
use stand_ins::topic::{RetentionLimits, TokenBucket, TopicLog};

/// Interval at which a long poll applies retention.
const POLL_CHECK: Duration = Duration::from_secs(1);
/// Records returned by a read that names no number.
const DEFAULT_MAX_RECORDS: usize = 1000;

#[derive(Parser)]
#[command(about = "Stand-in for the append-only log service")]
struct LogArgs {
    #[command(flatten)]
    listen: ListenArgs,
    /// Age above which records are dropped.
    #[arg(long, default_value_t = 3600.0)]
    retain_seconds: f64,
    /// Records kept per topic.
    #[arg(long, default_value_t = 1_000_000)]
    retain_records: usize,
    /// Appends per second over all topics.
    #[arg(long, default_value_t = 400.0)]
    appends_per_second: f64,
    /// Appends that may come at once.
    #[arg(long, default_value_t = 40.0)]
    append_burst: f64,
    #[command(flatten)]
    faults: LogFaults,
}

#[derive(Clone, Debug, Default, Serialize, Deserialize, clap::Args)]
#[serde(deny_unknown_fields, default)]
struct LogFaults {
    /// Answer 503 to every append and read.
    #[arg(long)]
    outage: bool,
    /// Answer 503 to every read.
    #[arg(long)]
    read_outage: bool,
    /// Delay of every answer in milliseconds.
    #[arg(long, default_value_t = 0)]
    slow_ms: u64,
    /// Number of next appends that take effect without an answer.
    #[arg(long, default_value_t = 0)]
    lose_answers: u64,
    /// Share of appends that take effect without an answer.
    #[arg(long, default_value_t = 0.0)]
    lose_ratio: f64,
}

impl FaultSettings for LogFaults {
    fn check(&self) -> Result<(), String> {
        check_ratio("lose_ratio", self.lose_ratio)
    }
}

#[derive(Clone, Debug, Default, Serialize)]
struct LogStats {
    appends: u64,
    records: u64,
    reads: u64,
    rate_limited: u64,
    lost_answers: u64,
    /// First and next offset by topic.
    topics: FxHashMap<String, (u64, u64)>,
}

struct LogState {
    faults: LogFaults,
    topics: FxHashMap<String, TopicLog>,
    bucket: TokenBucket,
    chance: FaultChance,
    stats: LogStats,
}

struct LogService {
    limits: RetentionLimits,
    state: RefCell<LogState>,
    changed: Signal,
}

#[derive(Deserialize)]
#[serde(deny_unknown_fields)]
struct AppendRequest {
    records: Vec<String>,
}

#[compio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    start_logging();
    let args = LogArgs::parse();
    args.faults.check()?;
    check_factor("appends_per_second", args.appends_per_second)?;
    let age = Duration::try_from_secs_f64(args.retain_seconds)?;
    let now = Instant::now();
    let service = Rc::new(LogService {
        limits: RetentionLimits {
            age,
            records: args.retain_records,
        },
        state: RefCell::new(LogState {
            faults: args.faults,
            topics: FxHashMap::default(),
            bucket: TokenBucket::new(args.appends_per_second, args.append_burst.max(1.0), now),
            chance: FaultChance::new(args.listen.seed),
            stats: LogStats::default(),
        }),
        changed: Signal::default(),
    });
    serve_calls(args.listen.listen, move |call| {
        answer(Rc::clone(&service), call)
    })
    .await?;
    Ok(())
}

async fn answer(service: Rc<LogService>, call: CallRequest) -> Result<HttpReply, CallError> {
    match (call.method.as_str(), call.segments().as_slice()) {
        ("POST", ["v1", "topics", topic, "records"]) => {
            let request: AppendRequest = call.json()?;
            let reply = service.append(topic, request.records);
            service.delay().await;
            reply
        }
        ("GET", ["v1", "topics", topic, "records"]) => {
            service.delay().await;
            let from = call.query("from")?.unwrap_or(0);
            let max = call.query("max")?.unwrap_or(DEFAULT_MAX_RECORDS);
            let wait = Duration::from_millis(call.query("wait_ms")?.unwrap_or(0));
            service.read(topic, from, max, wait).await
        }
        ("POST", ["admin", "behaviour"]) => service.patch_faults(&call.body),
        ("GET", ["admin", "stats"]) => Ok(service.stats()),
        _ => Err(call.unknown()),
    }
}

fn outage() -> CallError {
    CallError::new(StatusCode::SERVICE_UNAVAILABLE, "outage")
}

impl LogService {
    async fn delay(&self) {
        let slow_ms = self.state.borrow().faults.slow_ms;
        if slow_ms > 0 {
            compio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
    }

    fn append(&self, topic: &str, records: Vec<String>) -> Result<HttpReply, CallError> {
        let now = Instant::now();
        let mut state = self.state.borrow_mut();
        if state.faults.outage {
            return Err(outage());
        }
        if records.is_empty() {
            return Err(CallError::bad_request("records is empty"));
        }
        if !state.bucket.take(now) {
            state.stats.rate_limited += 1;
            let message = "append rate exceeded";
            return Err(CallError::new(StatusCode::TOO_MANY_REQUESTS, message));
        }
        state.stats.appends += 1;
        state.stats.records += records.len() as u64;
        let log = state.topics.entry(topic.to_owned()).or_default();
        let offset = log.append(records, now);
        log.expire(self.limits, now);
        let is_lost = state.lose_answer();
        drop(state);
        self.changed.notify();
        if is_lost {
            return Ok(closed_reply());
        }
        Ok(json_reply(StatusCode::OK, &json!({ "offset": offset })))
    }

    async fn read(
        &self,
        topic: &str,
        from: u64,
        max: usize,
        wait: Duration,
    ) -> Result<HttpReply, CallError> {
        let deadline = Instant::now() + wait;
        loop {
            let changed = self.changed.wait();
            let now = Instant::now();
            if let Some(reply) = self.try_read(topic, from, max, now >= deadline)? {
                return Ok(reply);
            }
            let limit = deadline.saturating_duration_since(now).min(POLL_CHECK);
            let _ = compio::time::timeout(limit, changed).await;
        }
    }

    // Returns nothing when there are no records yet and the reader still waits.
    fn try_read(
        &self,
        topic: &str,
        from: u64,
        max: usize,
        is_due: bool,
    ) -> Result<Option<HttpReply>, CallError> {
        let mut state = self.state.borrow_mut();
        if state.faults.outage || state.faults.read_outage {
            return Err(outage());
        }
        let log = state.topics.entry(topic.to_owned()).or_default();
        log.expire(self.limits, Instant::now());
        let first = log.first();
        if from < first {
            return Ok(Some(json_reply(
                StatusCode::GONE,
                &json!({ "first": first }),
            )));
        }
        let records = log.read(from, max);
        if records.is_empty() && !is_due {
            return Ok(None);
        }
        let body = json!({"first": first, "end": log.end(), "records": records});
        state.stats.reads += 1;
        Ok(Some(json_reply(StatusCode::OK, &body)))
    }

    fn patch_faults(&self, patch: &[u8]) -> Result<HttpReply, CallError> {
        let mut state = self.state.borrow_mut();
        state.faults = patch_settings(&state.faults, patch)?;
        let reply = json_reply(StatusCode::OK, &state.faults);
        drop(state);
        self.changed.notify();
        Ok(reply)
    }

    fn stats(&self) -> HttpReply {
        let state = self.state.borrow();
        let mut totals = state.stats.clone();
        for (name, log) in &state.topics {
            totals.topics.insert(name.clone(), (log.first(), log.end()));
        }
        json_reply(StatusCode::OK, &totals)
    }
}

impl LogState {
    fn lose_answer(&mut self) -> bool {
        let is_lost = self.faults.lose_answers > 0 || self.chance.hit(self.faults.lose_ratio);
        self.faults.lose_answers = self.faults.lose_answers.saturating_sub(1);
        self.stats.lost_answers += u64::from(is_lost);
        is_lost
    }
}
