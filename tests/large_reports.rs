//! Load reports of engines with numbers at the ends of their ranges.

mod pool_support;

use std::time::Duration;

use pool_support::{Session, load_report, ticket};
use wisteriapin::configs::pool::{PoolPolicy, PoolSettings};
use wisteriapin::messages::RunOutcome;

const POLICIES: [PoolPolicy; 3] = [
    PoolPolicy::Current,
    PoolPolicy::RoundRobin,
    PoolPolicy::LeastOutstanding,
];

/// Guards against a capacity whose sum or share overflows, which ends the owner of the pool.
#[test]
fn engines_of_any_capacity_get_requests() {
    for policy in POLICIES {
        for capacity in [u32::MAX, u32::MAX / 2 + 1, u32::MAX / 20] {
            let settings = PoolSettings {
                policy,
                ..PoolSettings::default()
            };
            let mut session = Session::with_engines(settings, &["e1", "e2"], capacity);
            for (key, tier) in [("a", 0), ("b", 1), ("c", 2), ("d", 3)] {
                session.enqueue(1, ticket(key, "desk", tier));
                session.grant();
            }
            assert_eq!(session.granted.len(), 4, "{policy:?} {capacity}");
            session.finish("a", RunOutcome::Completed);
        }
    }
}

/// Guards against any other number of a report that ends the owner of the pool.
#[test]
fn reports_with_any_numbers_are_taken() {
    for number in [0, 1, u32::MAX] {
        for rate in [0.0, -1e300, f64::MAX] {
            let mut session = Session::with_engines(PoolSettings::default(), &["e1", "e2"], 4);
            for age in [
                Duration::ZERO,
                Duration::MAX,
                Duration::from_millis(u64::MAX),
            ] {
                session.advance(2_000);
                let mut report = load_report(number);
                report.age = age;
                report.cold = number == 1;
                report.bearable = number;
                report.running = number;
                report.waiting = number;
                report.tokens_per_second = rate;
                session.report("e1", &report);
                session.enqueue(1, ticket(&format!("{age:?}"), "desk", 3));
                session.grant();
            }
        }
    }
}
