//! Tests of the baseline policies, which serve as a comparison for the current policy.

mod pool_support;

use pool_support::{Session, ticket};
use wisteriapin::configs::pool::{PoolPolicy, PoolSettings};

/// Number of requests that a baseline policy places above the capacity of 2.
const ACCEPT_DEPTH: u32 = 1;

fn session(policy: PoolPolicy, queue_limit: usize) -> Session {
    let mut settings = PoolSettings {
        policy,
        baseline_accept_depth: ACCEPT_DEPTH,
        ..PoolSettings::default()
    };
    settings.fairness.queue_limit = queue_limit;
    Session::with_engines(settings, &["e1", "e2"], 2)
}

fn enqueue(session: &mut Session, keys: &[(&str, u8)]) {
    for (key, tier) in keys {
        session.enqueue(1, ticket(key, "desk", *tier));
    }
}

fn endpoints(session: &Session, keys: &[&str]) -> Vec<String> {
    let granted = |key: &&str| session.granted[*key].1.endpoint.to_string();
    keys.iter().map(granted).collect()
}

/// Guards against a baseline policy that takes tiers into account, or that places more
/// requests than the capacity plus the accept depth.
#[test]
fn round_robin_serves_in_order_of_arrival_up_to_its_depth() {
    let mut session = session(PoolPolicy::RoundRobin, 100);
    let keys = [
        ("a", 3),
        ("b", 2),
        ("c", 1),
        ("d", 3),
        ("e", 3),
        ("f", 3),
        ("g", 0),
    ];
    enqueue(&mut session, &keys);
    session.grant();
    let granted_endpoints = endpoints(&session, &["a", "b", "c", "d", "e", "f"]);
    assert_eq!(granted_endpoints, ["e1", "e2", "e1", "e2", "e1", "e2"]);
    assert!(!session.granted.contains_key("g"), "{}", session.log);
}

/// Guards against a choice that ignores how many requests each endpoint already runs.
#[test]
fn least_outstanding_fills_the_emptier_endpoint() {
    let mut session = session(PoolPolicy::LeastOutstanding, 100);
    enqueue(&mut session, &[("a", 1), ("b", 1), ("c", 1), ("d", 1)]);
    session.grant();
    let (on_first, on_second) = (["a", "c"], ["b", "d"]);
    assert_eq!(
        endpoints(&session, &on_first),
        ["e1", "e1"],
        "{}",
        session.log
    );
    assert_eq!(endpoints(&session, &on_second), ["e2", "e2"]);
    for key in on_second {
        session.finish(key, wisteriapin::messages::RunOutcome::Completed);
    }
    enqueue(&mut session, &[("x", 3), ("y", 0)]);
    session.grant();
    assert_eq!(endpoints(&session, &["x", "y"]), ["e2", "e2"]);
}

/// Guards against a baseline policy that sheds a lower tier in favour of a higher one when its
/// queue is full.
#[test]
fn full_queue_refuses_the_arriving_request() {
    let mut session = session(PoolPolicy::RoundRobin, 2);
    enqueue(&mut session, &[("a", 3), ("b", 3), ("late", 0)]);
    session.grant();
    assert!(session.granted.contains_key("a") && session.granted.contains_key("b"));
    assert!(!session.granted.contains_key("late"), "{}", session.log);
}
