//! Service while operators take a zone out and return it.

use std::collections::BTreeMap;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use fleet::Fleet;
use serde_json::Value;

use crate::fleets::{operate, start};
use crate::keys::{KeyRecord, goodput_by_tier, read_keys, to_float};
use crate::load::{LoadPlan, run_load};
use crate::report::FigureTable;
use crate::shapes::FirmShape;

/// Share of the run's time at which the zone leaves and returns.
const OUT_AT: f64 = 0.3;
const IN_AT: f64 = 0.6;

/// Goodput of one second by tier, in percent of the requests sent in it.
pub type SecondSeries = BTreeMap<u8, Vec<(f64, f64)>>;

/// Runs load at half of the capacity, takes the first zone out and returns it.
pub async fn measure_zone_move(
    table: &mut FigureTable,
    shape: &FirmShape,
    capacity: f64,
    seed: u64,
    seconds: f64,
) -> SecondSeries {
    let fleet = start(shape.plan("current")).await;
    let plan = LoadPlan::new(capacity * 0.5, seconds, seed);
    let zone = shape.zones()[0];
    let workload = shape.workload();
    let moves = async {
        compio::time::sleep(Duration::from_secs_f64(seconds * OUT_AT)).await;
        let out = unix_ms();
        operate(&fleet, &["zone", "out", zone]).await;
        let accepted = unix_ms();
        compio::time::sleep(Duration::from_secs_f64(seconds * (IN_AT - OUT_AT))).await;
        let back = unix_ms();
        operate(&fleet, &["zone", "in", zone]).await;
        [out, accepted, back]
    };
    let load = run_load(&fleet, &workload, &plan);
    let (summary, [out, accepted, back]) = futures_util::join!(load, moves);
    let dispatches = zone_dispatches(&fleet, zone).await;
    let case = format!("{}, {zone} out and in at load 0.5", shape.name);
    let place = ["zone move", case.as_str(), "current"];
    let within = dispatches.iter().filter(|at| **at >= out && **at < back);
    let last = within.clone().max().copied().unwrap_or(out);
    let seconds_after = |from: u64, to: u64| to_float(to.saturating_sub(from)) / 1000.0;
    table.add(
        place,
        "command to its acceptance",
        seconds_after(out, accepted),
        "s",
    );
    table.add(
        place,
        "command to the last new dispatch into the zone",
        seconds_after(out, last),
        "s",
    );
    let late = within.filter(|at| **at > accepted).count();
    table.add(
        place,
        "dispatches into the zone after acceptance",
        to_float(late as u64),
        "requests",
    );
    let first = dispatches.iter().filter(|at| **at >= back).min().copied();
    if let Some(first) = first {
        table.add(
            place,
            "return to the first new dispatch",
            seconds_after(back, first),
            "s",
        );
    }
    let keys = read_keys(&summary);
    log_undelivered(&keys);
    let cut = keys.iter().filter(|key| key.outcome.starts_with("failed"));
    let cut = cut.filter(|key| !key.outcome.ends_with("time-out")).count();
    table.add(place, "requests cut off", to_float(cut as u64), "requests");
    add_phases(table, place, shape, &keys, seconds);
    by_second(shape, &keys, seconds)
}

/// Prints each request that was not answered in time; the table has no room for the codes.
fn log_undelivered(keys: &[KeyRecord]) {
    for key in keys.iter().filter(|key| !key.in_time) {
        let KeyRecord {
            class,
            outcome,
            sent_ms,
            whole_ms,
            ..
        } = key;
        eprintln!("measure: {class} sent at {sent_ms} ms: {outcome} after {whole_ms} ms");
    }
}

fn add_phases(
    table: &mut FigureTable,
    place: [&str; 3],
    shape: &FirmShape,
    keys: &[KeyRecord],
    seconds: f64,
) {
    // Whole milliseconds of a run of minutes fit into 64 bits.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let at = |share: f64| (seconds * share * 1000.0) as u64;
    for (phase, from, until) in [
        ("before", 0.1, OUT_AT),
        ("zone out", OUT_AT, IN_AT),
        ("zone back", IN_AT, 1.0),
    ] {
        for (tier, goodput) in goodput_by_tier(keys, &shape.tiers(false), at(from), at(until)) {
            let figure = format!("tier {tier} in time, {phase}");
            table.add(place, &figure, goodput.share() * 100.0, "% of sent");
        }
    }
}

fn by_second(shape: &FirmShape, keys: &[KeyRecord], seconds: f64) -> SecondSeries {
    let mut series = SecondSeries::new();
    let mut second = 0;
    while to_float(second) < seconds {
        let from = second * 1000;
        for (tier, goodput) in goodput_by_tier(keys, &shape.tiers(false), from, from + 1000) {
            let point = (to_float(second), goodput.share() * 100.0);
            series.entry(tier).or_default().push(point);
        }
        second += 1;
    }
    series
}

/// Wall-clock times of all dispatches to the engines of a zone.
async fn zone_dispatches(fleet: &Fleet, zone: &str) -> Vec<u64> {
    let mut times = Vec::new();
    for (engine, plan) in fleet.engines.iter().zip(&fleet.plan.engines) {
        if plan.zone == zone {
            let stats = fleet.stats(engine).await;
            let order = stats["order"].as_array().cloned().unwrap_or_default();
            times.extend(
                order
                    .iter()
                    .filter_map(|entry: &Value| entry["unix_ms"].as_u64()),
            );
        }
    }
    times
}

fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(elapsed.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}
