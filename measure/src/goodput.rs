//! Goodput by tier and wasted prefill, for the current policy and the baselines.

use std::collections::BTreeMap;

use fleet::Fleet;
use futures_util::future::join_all;
use serde_json::json;

use crate::fleets::{LONG_ROLLOUT, operate, start};
use crate::keys::{TierGoodput, delivered, goodput_by_tier, read_keys, to_float};
use crate::load::{LoadPlan, run_load};
use crate::plot::PlotLine;
use crate::report::FigureTable;
use crate::shapes::FirmShape;
use crate::waste::{PrefillWaste, prefill_waste, read_record};

pub const POLICIES: [&str; 3] = ["round-robin", "least-outstanding", "current"];
/// Requests that are sent earlier are not counted: no policy knows the engines' speeds yet.
const WARM_UP_MS: u64 = 4_000;
/// Load goes on for this time after the last request that is counted: an overloaded policy would
/// otherwise look better for requests with long deadlines, which are served when the load has ended.
const COOL_DOWN_MS: u64 = 10_000;
/// Requests per second that overload the scaled-down engines several times.
const SATURATING_RATE: f64 = 90.0;

/// One case: load relative to the capacity, and faults.
#[derive(Clone, Copy, Debug)]
pub struct LoadCase {
    pub name: &'static str,
    pub load: f64,
    /// Part of the quick set.
    pub quick: bool,
    /// Load rises by this factor for a fifth of the time.
    pub burst: Option<f64>,
    /// Two engines take this many times as long from the first third of the time on.
    pub slowed: Option<f64>,
}

pub const CASES: [LoadCase; 5] = [
    LoadCase {
        name: "load 0.7",
        quick: false,
        load: 0.7,
        burst: None,
        slowed: None,
    },
    LoadCase {
        name: "load 1.0",
        quick: false,
        load: 1.0,
        burst: None,
        slowed: None,
    },
    LoadCase {
        name: "load 1.5",
        quick: true,
        load: 1.5,
        burst: None,
        slowed: None,
    },
    LoadCase {
        name: "load 0.7, burst x3",
        quick: false,
        load: 0.7,
        burst: Some(3.0),
        slowed: None,
    },
    LoadCase {
        name: "load 0.7, 2 engines slowed x4",
        quick: false,
        load: 0.7,
        burst: None,
        slowed: Some(4.0),
    },
];

/// What one run of one policy gave.
#[derive(Clone, Debug)]
pub struct PolicyRun {
    pub policy: &'static str,
    pub case: LoadCase,
    pub tiers: BTreeMap<u8, TierGoodput>,
    pub calls_in_time: f64,
    pub waste: PrefillWaste,
    /// Seconds over which goodput is counted.
    pub seconds: f64,
}

/// Requests per second (all classes) at which the engines are just busy: a saturated run with the
/// policy `least-outstanding`, whose order of arrival keeps the mix, counted at the engines.
pub async fn measure_capacity(shape: &FirmShape, seed: u64, seconds: f64) -> f64 {
    let fleet = start_firm(shape, "least-outstanding").await;
    let mut plan = LoadPlan::new(SATURATING_RATE, seconds, seed);
    // Requests that expire in the queue would change the mix.
    plan.deadline_ms = Some(12_000);
    let settle = std::time::Duration::from_secs_f64(seconds * 0.3);
    let rest = std::time::Duration::from_secs_f64(seconds * 0.7);
    let count = async {
        compio::time::sleep(settle).await;
        let before = completed(&fleet).await;
        compio::time::sleep(rest).await;
        completed(&fleet).await - before
    };
    let workload = shape.workload();
    let load = run_load(&fleet, &workload, &plan);
    let (completed, _) = futures_util::join!(count, load);
    let model_share = shape.model_share();
    completed / rest.as_secs_f64() / model_share
}

async fn completed(fleet: &Fleet) -> f64 {
    let stats = join_all(fleet.engines.iter().map(|engine| fleet.stats(engine))).await;
    let total = stats
        .iter()
        .filter_map(|stats| stats["completed"].as_u64())
        .sum();
    to_float(total)
}

async fn start_firm(shape: &FirmShape, policy: &str) -> Fleet {
    let fleet = start(shape.plan(policy)).await;
    if shape.has_rollout() {
        let arguments = ["rollout", "start", "beside", "--pool", "assistant"];
        let rest = ["--version", "v2", "--deadline", LONG_ROLLOUT];
        operate(&fleet, &[&arguments[..], &rest[..]].concat()).await;
    }
    fleet
}

/// Runs one case with all policies at the same time, each in its own fleet.
pub async fn run_case(
    shape: &FirmShape,
    case: LoadCase,
    capacity: f64,
    seed: u64,
    seconds: f64,
) -> Vec<PolicyRun> {
    let rate = capacity * case.load;
    let runs =
        POLICIES.map(|policy| run_policy(shape, case, policy, LoadPlan::new(rate, seconds, seed)));
    join_all(runs).await
}

async fn run_policy(
    shape: &FirmShape,
    case: LoadCase,
    policy: &'static str,
    mut plan: LoadPlan,
) -> PolicyRun {
    let fleet = start_firm(shape, policy).await;
    let seconds = plan.seconds;
    plan.burst = case
        .burst
        .map(|factor| (seconds * 0.4, seconds * 0.2, factor));
    let workload = shape.workload();
    let load = run_load(&fleet, &workload, &plan);
    let fault = async {
        let Some(factor) = case.slowed else { return };
        compio::time::sleep(std::time::Duration::from_secs_f64(seconds / 3.0)).await;
        for engine in [0, 1] {
            let behaviour = json!({"slow_factor": factor});
            fleet.behave(&fleet.engines[engine], &behaviour).await;
        }
    };
    let (summary, ()) = futures_util::join!(load, fault);
    let keys = read_keys(&summary);
    log_refusals(policy, &summary);
    let stats = join_all(fleet.engines.iter().map(|engine| fleet.stats(engine))).await;
    let records: Vec<_> = stats.into_iter().map(read_record).collect();
    // Whole milliseconds of a run of minutes fit into 64 bits.
    #[allow(clippy::cast_possible_truncation, clippy::cast_sign_loss)]
    let until_ms = ((seconds * 1000.0) as u64).saturating_sub(COOL_DOWN_MS);
    let tiers = goodput_by_tier(&keys, &shape.tiers(false), WARM_UP_MS, until_ms);
    let all = goodput_by_tier(&keys, &shape.tiers(true), WARM_UP_MS, until_ms);
    let count = |tiers: &BTreeMap<u8, TierGoodput>| {
        tiers.values().fold((0, 0), |sum, tier| {
            (sum.0 + tier.sent, sum.1 + tier.in_time)
        })
    };
    let (model, every) = (count(&tiers), count(&all));
    PolicyRun {
        policy,
        case,
        calls_in_time: to_float(every.1 - model.1) / to_float((every.0 - model.0).max(1)),
        waste: prefill_waste(&records, &delivered(&keys)),
        tiers,
        seconds: to_float(until_ms.saturating_sub(WARM_UP_MS)) / 1000.0,
    }
}

/// Prints why requests were not served; the table has no room for the codes.
fn log_refusals(policy: &str, summary: &serde_json::Value) {
    for (class, counts) in summary["classes"].as_object().into_iter().flatten() {
        let (refused, failed) = (&counts["refused"], &counts["failed"]);
        let (sent, late) = (&counts["sent"], &counts["complete_late"]);
        eprintln!(
            "measure: {policy}: {class}: sent {sent}, late {late}, refused {refused}, failed {failed}"
        );
    }
}

/// Adds the figures of one run to the table.
pub fn add_rows(table: &mut FigureTable, shape: &FirmShape, run: &PolicyRun) {
    let case = format!("{}, {}", shape.name, run.case.name);
    let place = ["goodput", case.as_str(), run.policy];
    let (mut sent, mut in_time, mut tokens) = (0, 0, 0);
    for (number, tier) in &run.tiers {
        let figure = format!("tier {number} in time");
        table.add(place, &figure, tier.share() * 100.0, "% of sent");
        let rate = to_float(tier.tokens_in_time) / run.seconds;
        table.add(
            place,
            &format!("tier {number} tokens in time"),
            rate,
            "tokens/s",
        );
        sent += tier.sent;
        in_time += tier.in_time;
        tokens += tier.tokens_in_time;
    }
    let answered = to_float(in_time) / to_float(sent.max(1));
    table.add(place, "all tiers in time", answered * 100.0, "% of sent");
    table.add(
        place,
        "all tiers tokens in time",
        to_float(tokens) / run.seconds,
        "tokens/s",
    );
    table.add(
        place,
        "calls in time",
        run.calls_in_time * 100.0,
        "% of sent",
    );
    let waste = &run.waste;
    table.add(
        place,
        "wasted prefill",
        waste.share() * 100.0,
        "% of prefilled tokens",
    );
    table.add(
        place,
        "prefill undelivered",
        to_float(waste.undelivered),
        "tokens",
    );
    table.add(
        place,
        "prefill repeated",
        to_float(waste.repeated),
        "tokens",
    );
}

/// Goodput of a policy against the load, one line per tier, without the cases with faults.
#[must_use]
pub fn load_lines(runs: &[PolicyRun], policy: &str) -> Vec<PlotLine> {
    let mut lines: BTreeMap<u8, Vec<(f64, f64)>> = BTreeMap::new();
    let plain = |run: &&PolicyRun| {
        run.policy == policy && run.case.burst.is_none() && run.case.slowed.is_none()
    };
    for run in runs.iter().filter(plain) {
        for (tier, goodput) in &run.tiers {
            let point = (run.case.load, goodput.share() * 100.0);
            lines.entry(*tier).or_default().push(point);
        }
    }
    let named = lines.into_iter();
    named
        .map(|(tier, points)| PlotLine {
            name: format!("tier {tier}"),
            points,
        })
        .collect()
}
