//! Time from the start of a replaced host to its first served request.

use std::time::{Duration, Instant};

use fleet::EnginePlan;
use serde_json::json;

use crate::control::{FleetSize, idle_plan};
use crate::fleets::start;
use crate::latency::is_served;
use crate::report::FigureTable;

/// Longest wait for the first served request.
const LIMIT: Duration = Duration::from_mins(1);

/// Replaces one of three hosts and waits for its first answer, `rounds` times.
///
/// # Panics
///
/// Panics if no request is served within a minute.
pub async fn recover(case: &str, workspaces: usize, log_down: bool, rounds: u32) -> FigureTable {
    let mut table = FigureTable::default();
    let size = FleetSize {
        daemons: 3,
        workspaces,
        engines: 0,
    };
    let mut plan = idle_plan(size);
    for (name, zone) in [("engine-1", "krk-a"), ("engine-2", "krk-b")] {
        plan = plan.engine(EnginePlan::new(name, zone, &["--decode-step-ms", "1"]));
    }
    let mut fleet = start(plan).await;
    if log_down {
        fleet.behave(&fleet.log, &json!({"outage": true})).await;
    }
    for round in 0..rounds {
        let index = usize::try_from(round % 3).unwrap_or(0);
        let began = Instant::now();
        fleet.restart_daemon(index);
        let address = fleet.caller(index);
        let mut attempt = 0;
        while !is_served(address, &format!("r{round}n{attempt}")).await {
            assert!(
                began.elapsed() < LIMIT,
                "{case}: no answer within {LIMIT:?}"
            );
            compio::time::sleep(Duration::from_millis(20)).await;
            attempt += 1;
        }
        let place = ["recovery", case, "current"];
        let figure = format!("start to first served request, round {}", round + 1);
        table.add(place, &figure, began.elapsed().as_secs_f64(), "s");
        compio::time::sleep(Duration::from_secs(3)).await;
    }
    table
}
