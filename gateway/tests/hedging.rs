//! Second sends of slow requests, played without a network.

use std::time::Duration;

use gateway::hedging::{HedgeControl, HedgeSettings, size_factor};
use gateway::ids::RouteName;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Result of a play: times to the first byte in milliseconds, sorted, and the share of second sends.
struct Played {
    times_ms: Vec<u64>,
    second_share: f64,
}

impl Played {
    fn percentile(&self, percent: usize) -> u64 {
        self.times_ms[self.times_ms.len() * percent / 100]
    }
}

/// Sends requests to endpoints of which each is slow at some moments: an answer begins after 40 to
/// 80 ms, and after 1 to 3 s in `slow_percent` of the cases.
fn play(max_share: f64, slow_percent: u32) -> Played {
    const REQUESTS: u32 = 5_000;
    let route = RouteName::from("chat");
    let mut random = SmallRng::seed_from_u64(7);
    let mut control = HedgeControl::new(HedgeSettings { max_share });
    let mut draw = || {
        let millis = if random.random_range(0..100) < slow_percent {
            random.random_range(1_000..3_000)
        } else {
            random.random_range(40..80)
        };
        Duration::from_millis(millis)
    };
    let mut seconds = 0;
    let mut times_ms = Vec::new();
    for _ in 0..REQUESTS {
        control.record_request();
        let first = draw();
        let delay = control.delay(&route, 1.0);
        let took = match delay {
            Some(delay) if first > delay && control.try_take() => {
                seconds += 1;
                control.record_time(&route, 1.0, delay);
                let second = draw();
                control.record_time(&route, 1.0, second);
                delay + second
            }
            _ => {
                control.record_time(&route, 1.0, first);
                first
            }
        };
        times_ms.push(u64::try_from(took.as_millis()).expect("the time is short"));
    }
    times_ms.sort_unstable();
    Played {
        times_ms,
        second_share: f64::from(seconds) / f64::from(REQUESTS),
    }
}

/// Guards against second sends that don't cut the slowest answers.
#[test]
fn the_slowest_answers_are_cut() {
    let off = play(0.0, 3);
    let on = play(0.05, 3);
    assert!(off.percentile(99) > 1_000, "{} ms", off.percentile(99));
    assert!(on.percentile(99) < 400, "{} ms", on.percentile(99));
    assert_eq!(on.percentile(50), off.percentile(50));
}

/// Guards against more second sends than the operator permits, also when much is slow, and against
/// second sends while they are off.
#[test]
fn second_sends_stay_within_their_share() {
    for slow_percent in [3, 20, 60] {
        let played = play(0.02, slow_percent);
        assert!(played.second_share <= 0.021, "{}", played.second_share);
    }
    assert!(play(0.0, 20).second_share <= 0.0);
}

/// Guards against a delay that follows from the short prompts of a route alone, so that each long
/// one would be sent twice.
#[test]
fn long_prompts_are_given_more_time() {
    let route = RouteName::from("chat");
    let mut control = HedgeControl::new(HedgeSettings { max_share: 0.1 });
    assert_eq!(control.delay(&route, 1.0), None);
    for _ in 0..100 {
        control.record_time(&route, size_factor(0), Duration::from_millis(50));
    }
    let short = control
        .delay(&route, size_factor(0))
        .expect("times are known");
    let long = control
        .delay(&route, size_factor(20_000))
        .expect("times are known");
    assert!(long > short * 8, "{short:?}, {long:?}");
    assert!(short < Duration::from_millis(60), "{short:?}");
}

/// Guards against an allowance that is lost although nothing was sent, and one that grows without
/// end.
#[test]
fn allowances_are_returned_and_bounded() {
    let mut control = HedgeControl::new(HedgeSettings { max_share: 0.5 });
    for _ in 0..100 {
        control.record_request();
    }
    let taken = (0..10).filter(|_| control.try_take()).count();
    assert_eq!(taken, 3);
    control.refund();
    assert!(control.try_take());
    assert!(!control.try_take());
}
