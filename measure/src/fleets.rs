//! Fleets for measurements.

use std::time::Duration;

use fleet::{Fleet, FleetPlan};
use serde_json::Value;

/// Operator token of the harness.
pub const OPERATOR: &str = "night-token";
/// Time in which a rollout beside the measured traffic does not end.
pub const LONG_ROLLOUT: &str = "1h";

/// Starts a fleet and waits until load reports have reached the owners.
pub async fn start(plan: FleetPlan) -> Fleet {
    let fleet = Fleet::start(plan).await;
    // A new owner waits 3 s for the reports of others before it treats an endpoint as cold.
    compio::time::sleep(Duration::from_millis(3500)).await;
    fleet
}

/// Runs an operator's command on the first daemon.
///
/// # Panics
///
/// Panics if the command fails.
pub async fn operate(fleet: &Fleet, arguments: &[&str]) -> Value {
    let (code, reply) = fleet.operate(0, OPERATOR, arguments).await;
    assert_eq!(code, 0, "{arguments:?}: {reply}");
    reply
}
