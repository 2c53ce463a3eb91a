//! Runs the load tool.

use std::net::SocketAddr;
use std::path::Path;
use std::process::{Command, Stdio};

use fleet::{Fleet, binary};
use serde_json::Value;

/// Arguments of one run of the load tool.
#[derive(Clone, Debug)]
pub struct LoadPlan {
    pub rate: f64,
    pub seconds: f64,
    pub seed: u64,
    /// Start, length and factor, in seconds.
    pub burst: Option<(f64, f64, f64)>,
    /// Replaces the deadlines of the workload.
    pub deadline_ms: Option<u64>,
    /// Time after its deadline for which an answer is awaited.
    pub late_seconds: f64,
}

impl LoadPlan {
    #[must_use]
    pub fn new(rate: f64, seconds: f64, seed: u64) -> Self {
        Self {
            rate,
            seconds,
            seed,
            burst: None,
            deadline_ms: None,
            late_seconds: 0.5,
        }
    }
}

/// Runs the load tool against a fleet to its end and returns its summary with all keys.
///
/// # Panics
///
/// Panics if the tool cannot be run or fails.
pub async fn run_load(fleet: &Fleet, workload: &Path, plan: &LoadPlan) -> Value {
    let entries: Vec<SocketAddr> = (0..fleet.plan.daemons)
        .map(|index| fleet.caller(index))
        .collect();
    let mut command = Command::new(binary("load-tool"));
    command.arg("--list-keys").arg("--workload").arg(workload);
    for entry in entries {
        command.args(["--entry", &entry.to_string()]);
    }
    for (flag, value) in [
        ("--rate", plan.rate.to_string()),
        ("--seconds", plan.seconds.to_string()),
        ("--seed", plan.seed.to_string()),
        ("--late-seconds", plan.late_seconds.to_string()),
    ] {
        command.args([flag, &value]);
    }
    if let Some((start, length, factor)) = plan.burst {
        command.args(["--burst", &format!("{start},{length},{factor}")]);
    }
    if let Some(deadline_ms) = plan.deadline_ms {
        command.args(["--deadline-ms", &deadline_ms.to_string()]);
    }
    command.stderr(Stdio::null());
    let output = fleet::run_command(command).await;
    assert!(
        output.status.success(),
        "the load tool failed: {}",
        output.status
    );
    serde_json::from_slice(&output.stdout).expect("the load tool prints a summary")
}
