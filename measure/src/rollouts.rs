//! Rollouts of good and bad versions under load.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use fleet::{EnginePlan, Fleet, FleetPlan};
use futures_util::future::join_all;

use crate::fleets::{OPERATOR, operate, start};
use crate::keys::to_float;
use crate::load::{LoadPlan, run_load};
use crate::report::FigureTable;

/// A kind of version and the further arguments of its engines.
#[derive(Clone, Copy, Debug)]
pub struct VersionKind {
    pub name: &'static str,
    pub good: bool,
    arguments: &'static [&'static str],
}

pub const GOOD: VersionKind = VersionKind {
    name: "good",
    good: true,
    arguments: &[],
};

pub const BAD: [VersionKind; 5] = [
    VersionKind {
        name: "fails at once",
        good: false,
        arguments: &["--fail-ratio", "1"],
    },
    VersionKind {
        name: "fails after 30 requests",
        good: false,
        arguments: &["--fail-after-requests", "30"],
    },
    VersionKind {
        name: "fails above 2 running",
        good: false,
        arguments: &["--fail-over-running", "2"],
    },
    VersionKind {
        name: "fails on one route",
        good: false,
        arguments: &["--fail-route", "tag"],
    },
    VersionKind {
        name: "takes 3 times as long",
        good: false,
        arguments: &["--slow-factor", "3"],
    },
];

/// How one rollout went.
#[derive(Clone, Debug)]
pub struct RolloutRun {
    pub kind: VersionKind,
    pub verdict: String,
    pub reason: String,
    pub seconds: f64,
    /// Requests that engines of the new version received, and that all engines received.
    pub to_new: u64,
    pub to_all: u64,
}

/// Runs one rollout per kind, all at the same time, each in a fleet of one daemon.
pub async fn run_rollouts(kinds: &[VersionKind], seed: u64, deadline: Duration) -> Vec<RolloutRun> {
    let runs = kinds.iter().zip(seed..);
    join_all(runs.map(|(kind, seed)| run_rollout(*kind, seed, deadline))).await
}

fn plan(kind: VersionKind) -> FleetPlan {
    let common = [
        "--decode-step-ms",
        "5",
        "--prefill-tokens-per-second",
        "20000",
        "--capacity",
        "8",
    ];
    let mut plan = FleetPlan::new(1);
    for (index, zone) in ["krk-a", "krk-b"].iter().enumerate() {
        plan = plan.engine(EnginePlan::new(&format!("old-{index}"), zone, &common));
        let arguments = [&common[..], kind.arguments].concat();
        let engine = EnginePlan::new(&format!("new-{index}"), zone, &arguments);
        plan = plan.engine(engine.version("v2"));
    }
    plan
}

async fn run_rollout(kind: VersionKind, seed: u64, deadline: Duration) -> RolloutRun {
    let fleet = start(plan(kind)).await;
    let seconds = deadline.as_secs_f64();
    let workload = PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/rollout-load.json"));
    let load = LoadPlan::new(60.0, seconds + 3.0, seed);
    let watch = async {
        compio::time::sleep(Duration::from_secs(2)).await;
        let limit = format!("{}s", deadline.as_secs());
        let arguments = ["rollout", "start", "shift", "--pool", "assistant"];
        let rest = ["--version", "v2", "--deadline", &limit];
        operate(&fleet, &[&arguments[..], &rest[..]].concat()).await;
        let began = Instant::now();
        let (verdict, reason) = wait_verdict(&fleet, deadline + Duration::from_secs(3)).await;
        let took = began.elapsed().as_secs_f64();
        let counts = dispatched(&fleet).await;
        (verdict, reason, took, counts)
    };
    let sent = run_load(&fleet, &workload, &load);
    let (_, (verdict, reason, seconds, (to_new, to_all))) = futures_util::join!(sent, watch);
    RolloutRun {
        kind,
        verdict,
        reason,
        seconds,
        to_new,
        to_all,
    }
}

/// Polls the rollout until it has a verdict.
async fn wait_verdict(fleet: &Fleet, limit: Duration) -> (String, String) {
    let began = Instant::now();
    while began.elapsed() < limit {
        let arguments = ["rollout", "status", "shift"];
        let (_, reply) = fleet.operate(0, OPERATOR, &arguments).await;
        let rollout = &reply["rollouts"][0];
        let verdict = rollout["verdict"].as_str().unwrap_or_default();
        if !verdict.is_empty() && !verdict.to_lowercase().contains("running") {
            let reason = rollout["reason"].as_str().unwrap_or_default();
            return (verdict.to_owned(), reason.to_owned());
        }
        compio::time::sleep(Duration::from_millis(300)).await;
    }
    ("none".to_owned(), String::new())
}

async fn dispatched(fleet: &Fleet) -> (u64, u64) {
    let (mut to_new, mut to_all) = (0, 0);
    for (engine, plan) in fleet.engines.iter().zip(&fleet.plan.engines) {
        let stats = fleet.stats(engine).await;
        let count = stats["dispatched"]
            .as_object()
            .map_or(0, serde_json::Map::len);
        let count = u64::try_from(count).unwrap_or(u64::MAX);
        to_all += count;
        if plan.version == "v2" {
            to_new += count;
        }
    }
    (to_new, to_all)
}

impl RolloutRun {
    /// Done for a good version, taken back for a bad one.
    #[must_use]
    pub fn is_right(&self) -> bool {
        let verdict = self.verdict.to_lowercase();
        verdict.contains(if self.kind.good { "done" } else { "taken" })
    }
}

/// Adds the figures of all runs, grouped by kind.
pub fn add_rows(table: &mut FigureTable, runs: &[RolloutRun]) {
    let mut names: Vec<&str> = runs.iter().map(|run| run.kind.name).collect();
    names.dedup();
    for name in names {
        let of_kind: Vec<&RolloutRun> = runs.iter().filter(|run| run.kind.name == name).collect();
        let count = |test: &dyn Fn(&RolloutRun) -> bool| {
            let found = of_kind.iter().filter(|run| test(run)).count();
            to_float(u64::try_from(found).unwrap_or(0))
        };
        let place = ["rollout", name, "current"];
        table.add(place, "rollouts", count(&|_| true), "rollouts");
        let right = if of_kind[0].kind.good {
            "completed by the deadline"
        } else {
            "taken back"
        };
        table.add(place, right, count(&RolloutRun::is_right), "rollouts");
        if of_kind[0].kind.good {
            let alarms = count(&|run| !run.is_right());
            table.add(place, "false alarms or late", alarms, "rollouts");
        }
        let total = |part: fn(&RolloutRun) -> f64| of_kind.iter().map(|run| part(run)).sum::<f64>();
        let runs = count(&|_| true);
        table.add(
            place,
            "mean time to the verdict",
            total(|run| run.seconds) / runs,
            "s",
        );
        let to_new = total(|run| to_float(run.to_new));
        table.add(
            place,
            "mean requests to the new version",
            to_new / runs,
            "requests",
        );
        let share = to_new / total(|run| to_float(run.to_all)).max(1.0);
        table.add(
            place,
            "share to the new version until the verdict",
            share * 100.0,
            "% of dispatches",
        );
        for run in of_kind.iter().filter(|run| !run.is_right()) {
            eprintln!("measure: rollout {name}: {} {}", run.verdict, run.reason);
        }
    }
}
