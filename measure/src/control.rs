//! What a daemon costs while no caller sends anything.

use std::collections::HashMap;
use std::time::{Duration, Instant};

use fleet::{EnginePlan, Fleet, FleetPlan, document};
use futures_util::future::join_all;
use serde_json::json;

use crate::fleets::{OPERATOR, start};
use crate::keys::to_float;
use crate::proc_stat::{processor_time, resident_bytes};

/// Headers of TCP and IP with Ethernet, added per message.
pub const HEADER_BYTES: f64 = 66.0;

/// Size of a fleet whose idle cost is measured.
#[derive(Clone, Copy, Debug)]
pub struct FleetSize {
    pub daemons: usize,
    pub workspaces: usize,
    pub engines: usize,
}

/// Cost of one daemon per second, and its memory.
#[derive(Clone, Copy, Debug, Default)]
pub struct HostCost {
    /// Percent of one core.
    pub processor: f64,
    pub memory_mb: f64,
    /// Bytes per second with headers: peers (sent), platform, load polling.
    pub peer_bytes: f64,
    pub platform_bytes: f64,
    pub poll_bytes: f64,
}

/// Cost of the mean daemon and of the one that owns the engine pool.
#[derive(Clone, Copy, Debug, Default)]
pub struct FleetCost {
    pub mean: HostCost,
    pub owner: HostCost,
}

/// Starts an idle fleet, lets it settle and measures each daemon over `window`.
pub async fn idle_cost(size: FleetSize, window: Duration) -> FleetCost {
    let fleet = start(idle_plan(size)).await;
    // A large fleet goes on exchanging its first heartbeats after every pool has an owner.
    compio::time::sleep(Duration::from_millis(100) * u32::try_from(size.daemons).unwrap_or(0))
        .await;
    let before = readings(&fleet).await;
    let began = Instant::now();
    compio::time::sleep(window).await;
    let after = readings(&fleet).await;
    let seconds = began.elapsed().as_secs_f64();
    let pairs = before.iter().zip(&after);
    let costs: Vec<HostCost> = pairs
        .map(|(before, after)| before.cost(after, seconds))
        .collect();
    let owner = fleet.owner(0, "assistant").await.unwrap_or(0);
    FleetCost {
        mean: mean(&costs),
        owner: costs[owner],
    }
}

/// A fleet with generated workspaces and quick engines.
#[must_use]
pub fn idle_plan(size: FleetSize) -> FleetPlan {
    let mut config = document();
    let digest = config["workspaces"][0]["token_sha256"].clone();
    if let Some(list) = config["workspaces"].as_array_mut() {
        for number in list.len()..size.workspaces {
            // Any 64 hexadecimal digits are a valid digest, as long as they differ.
            let tail = digest.as_str().unwrap_or_default()[16..].to_owned();
            list.push(json!({"name": format!("workspace-{number}"),
                "token_sha256": format!("{number:016x}{tail}")}));
        }
    }
    let mut plan = FleetPlan {
        document: config,
        ..FleetPlan::new(size.daemons)
    };
    for number in 0..size.engines {
        let zone = plan.zones[number % 3].clone();
        plan = plan.engine(EnginePlan::new(&format!("engine-{number}"), &zone, &[]));
    }
    plan
}

struct HostReading {
    processor: Duration,
    memory: u64,
    counters: HashMap<String, u64>,
}

impl HostReading {
    fn cost(&self, later: &Self, seconds: f64) -> HostCost {
        let used = later.processor.saturating_sub(self.processor).as_secs_f64();
        let rate = |name: &str| {
            let read = |reading: &Self| reading.counters.get(name).copied().unwrap_or(0);
            to_float(read(later).saturating_sub(read(self))) / seconds
        };
        let bytes = |bytes, messages| rate(bytes) + HEADER_BYTES * rate(messages);
        HostCost {
            processor: used / seconds * 100.0,
            memory_mb: to_float(later.memory) / 1e6,
            peer_bytes: bytes("peer_bytes_sent", "peer_messages_sent"),
            platform_bytes: bytes("platform_bytes", "platform_messages"),
            poll_bytes: bytes("poll_bytes", "poll_messages"),
        }
    }
}

async fn readings(fleet: &Fleet) -> Vec<HostReading> {
    let read = async |index: usize| {
        let (_, reply) = fleet.operate(index, OPERATOR, &["counters"]).await;
        let list = reply["counters"].as_array().cloned().unwrap_or_default();
        let entry = |entry: &serde_json::Value| {
            let value = &entry["value"];
            let number = value.as_u64().or_else(|| value.as_str()?.parse().ok())?;
            Some((entry["name"].as_str()?.to_owned(), number))
        };
        let id = fleet.daemons[index].id();
        HostReading {
            processor: processor_time(id),
            memory: resident_bytes(id),
            counters: list.iter().filter_map(entry).collect(),
        }
    };
    join_all((0..fleet.daemons.len()).map(read)).await
}

fn mean(costs: &[HostCost]) -> HostCost {
    let count = costs.iter().fold(0.0, |count, _| count + 1.0);
    let over = |part: fn(&HostCost) -> f64| costs.iter().map(part).sum::<f64>() / count;
    HostCost {
        processor: over(|cost| cost.processor),
        memory_mb: over(|cost| cost.memory_mb),
        peer_bytes: over(|cost| cost.peer_bytes),
        platform_bytes: over(|cost| cost.platform_bytes),
        poll_bytes: over(|cost| cost.poll_bytes),
    }
}
