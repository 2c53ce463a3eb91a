//! Benchmark of `grant` at the target load of one pool owner. Run it with `--release -- --ignored`.

mod pool_support;

use std::time::{Duration, Instant};

use pool_support::{Session, load_report, ticket};
use wisteriapin::configs::pool::PoolSettings;
use wisteriapin::messages::RunOutcome;

/// Guards against a pool owner that needs more than half a core at 175 requests/s with 79 endpoints
/// and 5,000 queued requests.
#[test]
#[ignore = "benchmark: prints the time per request"]
fn grant_cost_at_target_load() {
    const ROUNDS: u32 = 5_000;
    let names: Vec<String> = (0..79).map(|number| format!("engine-{number}")).collect();
    let names: Vec<&str> = names.iter().map(String::as_str).collect();
    let mut session = Session::with_engines(PoolSettings::default(), &names, 16);
    let enqueue_request = |session: &mut Session, number: u32| {
        let mut ticket = ticket(
            &format!("00000000000000a1-request-{number}"),
            &format!("workspace-{}", number % 50),
            u8::try_from(number % 4).unwrap(),
        );
        ticket.deadline_in = Duration::from_hours(1);
        ticket.prefix_blocks = (0..40)
            .map(|block| u64::from(number % 20) << 32 | block)
            .collect();
        session.enqueue(1, ticket);
    };
    let total_slots = 79 * 16;
    (0..5_000 + total_slots).for_each(|number| enqueue_request(&mut session, number));
    session.grant();
    let queued: usize = session
        .pool
        .summary(session.context.now)
        .queued
        .iter()
        .map(|tier| tier.1)
        .sum();
    let mut keys: Vec<String> = session.granted.keys().cloned().collect();
    session.log.clear();
    let (mut max_time, start) = (Duration::ZERO, Instant::now());
    for round in 0..ROUNDS {
        let begin = Instant::now();
        session.advance(6);
        if round % 4 == 0 {
            let name = names[usize::try_from(round / 4 % 79).unwrap()];
            let mut load = load_report(16);
            load.running = 16;
            load.tokens_per_second = 640.0;
            session.report(name, &load);
        }
        enqueue_request(&mut session, 100_000 + round);
        session.grant();
        session.finish(&keys.swap_remove(0), RunOutcome::Completed);
        session.grant();
        let last = session.granted.keys().next_back().unwrap();
        keys.push(last.clone());
        keys.retain(|key| session.granted.contains_key(key));
        max_time = max_time.max(begin.elapsed());
    }
    let time_per_request = start.elapsed() / ROUNDS;
    println!("{queued} queued at the start, {time_per_request:?} per request, worst {max_time:?}");
    println!(
        "{:.2}% of a core at 175 requests/s",
        time_per_request.as_secs_f64() * 17_500.0
    );
}
