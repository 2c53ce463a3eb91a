//! Numbers at the ends of their ranges in entries and configurations. Overflow panics in debug
//! builds and wraps in release builds, so these tests run in both.

mod common;

use std::rc::Rc;
use std::time::{Duration, Instant};

use common::{dispatched, endpoint, scheduler, work};
use gateway::catalog::{RequestKind, RouteEntry, RouteTarget, UsageCap, UsageUnit, WorkspaceEntry};
use gateway::limits::{CapTolerance, UsageCaps};
use gateway::scheduler::SchedulerEvent;

const WINDOW: Duration = Duration::from_secs(8);

/// Guards against an endpoint whose capacity overflows: it ended the process or took one request.
#[test]
fn an_endpoint_with_the_largest_number_of_slots_takes_requests() {
    let now = Instant::now();
    for slots in [u32::MAX, u32::MAX - 1, u32::MAX - 2] {
        let mut entry = endpoint("e1", "a");
        entry.slots = slots;
        let mut state = scheduler(&[entry], false, now);
        for ticket in 1..=3 {
            let effects = state.reduce(SchedulerEvent::Submitted(work(ticket, 1, now)), now);
            assert_eq!(dispatched(&effects), [(ticket, "e1".to_owned())], "{slots}");
        }
    }
}

fn route(weights: &[u32]) -> RouteEntry {
    let targets = weights
        .iter()
        .enumerate()
        .map(|(index, weight)| RouteTarget {
            service: format!("s{index}").as_str().into(),
            weight: *weight,
        });
    RouteEntry {
        name: "r".into(),
        host: "h.example".into(),
        path_prefix: "/".into(),
        kind: RequestKind::Idempotent,
        timeout: WINDOW,
        latency_target: WINDOW,
        event_gap_target: WINDOW,
        tier: 0,
        targets: targets.collect(),
        max_attempts: 1,
        public: true,
    }
}

/// Guards against a sum of weights that overflows: it ended the process or starved a service.
#[test]
fn traffic_is_split_by_the_largest_weights() {
    let route = route(&[u32::MAX, u32::MAX, u32::MAX]);
    let picked = |draw: f64| route.pick_target(draw).map(ToString::to_string);
    assert_eq!(picked(0.1), Some("s0".to_owned()));
    assert_eq!(picked(0.5), Some("s1".to_owned()));
    assert_eq!(picked(0.9), Some("s2".to_owned()));
}

/// Guards against a usage cap of any size that ends the process, also with a share of zero.
#[test]
fn usage_caps_of_any_size_are_applied() {
    let numbers = [f64::MAX, 1e300, 1e-300, -1e300, f64::MIN, 0.0];
    for (rate_per_s, burst) in numbers
        .into_iter()
        .flat_map(|rate| numbers.map(|burst| (rate, burst)))
    {
        for overshoot_ratio in [0.0, 0.1, f64::MAX] {
            apply_cap(rate_per_s, burst, overshoot_ratio);
        }
    }
}

fn apply_cap(rate_per_s: f64, burst: f64, overshoot_ratio: f64) {
    let start = Instant::now();
    let mut caps = UsageCaps::new(CapTolerance {
        window: WINDOW,
        overshoot_ratio,
        overshoot_units: 0.0,
    });
    let workspace = Rc::new(WorkspaceEntry {
        name: "w".into(),
        tier: None,
        cap: Some(UsageCap {
            unit: UsageUnit::Tokens,
            rate_per_s,
            burst,
            default_tokens: u32::MAX,
        }),
    });
    for second in 0..4_u32 {
        let now = start + Duration::from_secs(second.into());
        caps.apply_workspaces([&workspace].into_iter(), now);
        caps.admit(&"w".into(), None, second % 2 == 0, now);
        caps.admit(&"w".into(), Some(u32::MAX), true, now);
        caps.refund(&"w".into(), None);
        caps.set_unreachable_hosts(4, second.try_into().unwrap_or(4), now);
    }
}
