//! Added latency over a direct call, and requests per second per core.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use fleet::{CallerStream, EnginePlan, Fleet, FleetPlan, home_key, submit_body};
use futures_util::future::join_all;
use hdrhistogram::Histogram;
use http::Method;
use serde_json::json;

use crate::fleets::start;
use crate::keys::to_float;
use crate::proc_stat::processor_time;
use crate::report::FigureTable;
use crate::slope::fit_slope;

const TOKEN: &str = "big-token";

fn plan() -> FleetPlan {
    let quick = [
        "--decode-step-ms",
        "1",
        "--prefill-tokens-per-second",
        "1000000",
        "--capacity",
        "64",
    ];
    FleetPlan::new(3)
        .engine(EnginePlan::new("engine-1", "krk-a", &quick))
        .engine(EnginePlan::new("engine-2", "krk-b", &quick))
}

async fn first_token(
    address: SocketAddr,
    path: &str,
    token: Option<&str>,
    body: &serde_json::Value,
    is_token: impl Fn(&serde_json::Value) -> bool,
) -> Option<Duration> {
    let began = Instant::now();
    let opened = CallerStream::open(address, Method::POST, path, token, Some(body)).await;
    let mut stream = opened.ok()?;
    let mut first = None;
    while let Ok(Some(line)) = stream.next().await {
        if first.is_none() && is_token(&line) {
            first = Some(began.elapsed());
        }
    }
    first
}

/// Alternates direct calls with calls through each daemon, one at a time.
///
/// # Panics
///
/// Panics if the fleet does not start.
pub async fn measure_latency(table: &mut FigureTable, rounds: u32) {
    let fleet = start(plan()).await;
    let homes = join_all((0..3).map(|index| fleet.home(index))).await;
    let new = || Histogram::<u64>::new_with_bounds(1, 60_000_000, 3).expect("the bounds are valid");
    let (mut direct, mut through) = (new(), new());
    for round in 0..rounds {
        let index = usize::try_from(round % 3).unwrap_or(0);
        let body = json!({"request_id": format!("direct-{round}"), "model": "assistant",
            "route": "question", "prompt": "which mix gives dense fog", "max_tokens": 2});
        let engine = fleet.engines[index % 2].address;
        let took = first_token(engine, "/v1/generate", None, &body, |line| {
            line["index"] == 0
        });
        record(&mut direct, took.await);
        let key = home_key(&homes[index], &format!("l{round}"));
        let body = submit_body(&key, 0, "which mix gives dense fog", 2);
        let address = fleet.caller(index);
        let is_token = |line: &serde_json::Value| line["event"] == "token";
        let took = first_token(address, "/v1/requests", Some(TOKEN), &body, is_token);
        record(&mut through, took.await);
    }
    for (name, quantile) in [("p50", 0.5), ("p99", 0.99), ("p99.9", 0.999)] {
        let read =
            |histogram: &Histogram<u64>| to_float(histogram.value_at_quantile(quantile)) / 1000.0;
        let (plain, served) = (read(&direct), read(&through));
        let place = ["latency", "first token, low load", name];
        table.add(place, "direct call", plain, "ms");
        table.add(place, "through a daemon", served, "ms");
        table.add(place, "added", served - plain, "ms");
    }
    table.add(
        ["latency", "first token, low load", "all"],
        "calls",
        to_float(through.len()),
        "calls",
    );
}

fn record(histogram: &mut Histogram<u64>, took: Option<Duration>) {
    let Some(took) = took else { return };
    let micros = u64::try_from(took.as_micros()).unwrap_or(u64::MAX);
    histogram.saturating_record(micros.max(1));
}

/// Processor time of all daemons per request, for answers of several lengths.
pub async fn measure_throughput(table: &mut FigureTable, seconds: f64) {
    let fleet = start(plan()).await;
    let mut points = Vec::new();
    for tokens in [1_u32, 16, 64] {
        let used = |fleet: &Fleet| -> Duration {
            fleet
                .daemons
                .iter()
                .map(|daemon| processor_time(daemon.id()))
                .sum()
        };
        let before = used(&fleet);
        let began = Instant::now();
        let until = began + Duration::from_secs_f64(seconds);
        let workers = (0..24).map(|worker| work(&fleet, worker, tokens, until));
        let done: u64 = join_all(workers).await.into_iter().sum();
        let elapsed = began.elapsed().as_secs_f64();
        let cost = used(&fleet).saturating_sub(before).as_secs_f64();
        let case = format!("answers of {tokens} tokens");
        let place = ["throughput", case.as_str(), "current"];
        table.add(
            place,
            "requests served",
            to_float(done) / elapsed,
            "requests/s",
        );
        table.add(
            place,
            "requests per core of a daemon",
            to_float(done) / cost,
            "requests/s",
        );
        let each = cost / to_float(done.max(1)) * 1e6;
        table.add(place, "processor time per request", each, "us");
        points.push((f64::from(tokens), each));
    }
    if let Some(fit) = fit_slope(&points) {
        let place = ["throughput", "slope over tokens", "current"];
        let unit = "us per token";
        table.add_with_error(place, "processor time", fit.slope, fit.slope_error, unit);
        table.add(
            place,
            "processor time at 0 tokens",
            fit.offset,
            "us per request",
        );
    }
}

/// One caller that sends the next request when the last is answered.
async fn work(fleet: &Fleet, worker: u32, tokens: u32, until: Instant) -> u64 {
    let index = usize::try_from(worker % 3).unwrap_or(0);
    let (address, home) = (fleet.caller(index), fleet.home(index).await);
    let mut done = 0_u64;
    while Instant::now() < until {
        let key = home_key(&home, &format!("w{worker}t{tokens}n{done}"));
        let body = submit_body(&key, 0, "which mix gives dense fog", tokens);
        let sent = fleet::send(
            address,
            Method::POST,
            "/v1/requests",
            Some(TOKEN),
            Some(&body),
        );
        if sent.await.is_ok_and(|reply| reply.code() == 1000) {
            done += 1;
        }
    }
    done
}

/// Sends one short request to a daemon; true when the answer is whole.
pub async fn is_served(address: SocketAddr, suffix: &str) -> bool {
    let Ok(hosts) = fleet::discover(address).await else {
        return false;
    };
    let Some((_, home)) = hosts.into_iter().find(|(listed, _)| *listed == address) else {
        return false;
    };
    let body = submit_body(&home_key(&home, suffix), 0, "which mix gives dense fog", 2);
    let sent = fleet::send(
        address,
        Method::POST,
        "/v1/requests",
        Some(TOKEN),
        Some(&body),
    );
    sent.await.is_ok_and(|reply| reply.code() == 1000)
}
