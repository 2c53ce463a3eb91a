//! Builders that the tests share.
#![allow(dead_code, reason = "not every test file uses every builder")]

use std::net::IpAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use gateway::catalog::{EndpointEntry, ServiceEntry};
use gateway::configs::SchedulerSettings;
use gateway::membership::{MemberReport, MemberStage, PeerHeartbeat};
use gateway::scheduler::{SchedulerEffect, SchedulerEvent, SchedulerState, WorkItem};

pub const SLOTS: u32 = 4;

pub fn host(number: u8) -> IpAddr {
    IpAddr::from([10, 0, 0, number])
}

/// Returns a heartbeat of a host that serves callers and has nothing else to report.
pub fn heartbeat(number: u8, incarnation: u64, sequence: u64) -> PeerHeartbeat {
    PeerHeartbeat {
        sender: MemberReport {
            host: host(number),
            zone: "a".into(),
            incarnation,
            sequence,
            stage: MemberStage::Serving,
            cpu_permille: 250,
        },
        config_version: 0,
        positions: Vec::new(),
        loads: Vec::new(),
        paces: Vec::new(),
        usage: Vec::new(),
        rollouts: Vec::new(),
        reachable: Vec::new(),
        hubs: Vec::new(),
        followed_hub: None,
    }
}

pub fn service(model_engine: bool, cold_rate_per_s: f64) -> ServiceEntry {
    ServiceEntry {
        name: "pool".into(),
        cold_start: Duration::from_secs(3),
        cold_rate_per_s,
        model_engine,
        scaling: None,
        tokens_per_event: None,
    }
}

pub fn endpoint(name: &str, zone: &str) -> EndpointEntry {
    EndpointEntry {
        id: name.into(),
        service: "pool".into(),
        address: "10.9.0.1:80".parse().expect("an address"),
        zone: zone.into(),
        version: "v1".into(),
        slots: SLOTS,
        draining: false,
        cold_for: Duration::ZERO,
        started_unix_ms: Some(1),
    }
}

/// Returns a scheduler to which the given endpoints are known from its start.
pub fn scheduler(endpoints: &[EndpointEntry], model_engine: bool, now: Instant) -> SchedulerState {
    seeded_scheduler(endpoints, model_engine, 7, now)
}

/// Returns such a scheduler with the given seed of its random generator.
pub fn seeded_scheduler(
    endpoints: &[EndpointEntry],
    model_engine: bool,
    seed: u64,
    now: Instant,
) -> SchedulerState {
    let mut state = SchedulerState::new(SchedulerSettings::default(), seed);
    let services = vec![service(model_engine, 14.0)];
    state.reduce(SchedulerEvent::ServicesChanged(services), now);
    for entry in endpoints {
        let event = SchedulerEvent::EndpointUpdated {
            entry: Rc::new(entry.clone()),
            existed_at_start: true,
        };
        state.reduce(event, now);
    }
    state
}

pub fn work(ticket: u64, route_tier: u8, arrived: Instant) -> WorkItem {
    WorkItem {
        ticket,
        service: "pool".into(),
        workspace: None,
        tier: 1,
        route_tier,
        arrived,
        first_byte_deadline: arrived + Duration::from_millis(400),
        deadline: arrived + Duration::from_secs(10),
        prompt_tokens: 600,
        output_tokens: 200,
        excluded: Vec::new(),
    }
}

/// Returns one line for each effect, for snapshots and comparisons.
pub fn lines(effects: &[SchedulerEffect]) -> Vec<String> {
    effects
        .iter()
        .map(|effect| match effect {
            SchedulerEffect::Dispatch { ticket, endpoint } => {
                format!("dispatch {ticket} to {}", endpoint.id)
            }
            SchedulerEffect::Refuse {
                ticket,
                reason,
                retry_after,
            } => format!("refuse {ticket}: {reason:?}, back in {retry_after:?}"),
            SchedulerEffect::SignalChanged {
                endpoint, change, ..
            } => {
                format!("{endpoint}: {change:?}")
            }
        })
        .collect()
}

pub fn dispatched(effects: &[SchedulerEffect]) -> Vec<(u64, String)> {
    effects
        .iter()
        .filter_map(|effect| match effect {
            SchedulerEffect::Dispatch { ticket, endpoint } => {
                Some((*ticket, endpoint.id.to_string()))
            }
            SchedulerEffect::Refuse { .. } | SchedulerEffect::SignalChanged { .. } => None,
        })
        .collect()
}
