//! Property test of several simulated hosts under random faults.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use arbtest::arbitrary::{Result, Unstructured};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use crate::member_simulation::{LEASE, MemberSimulation, STEP};

/// Default number of runs of the test; `MEMBER_RUNS` sets another.
const RUNS: u64 = 150;
const FAULT_TIME: Duration = Duration::from_secs(15);

/// Guards against two owners of a pool at the same time, an owner with a configuration older than
/// one that was confirmed a lease ago, and pools that have no owner after the faults end.
#[test]
fn random_faults_never_give_two_owners() {
    let runs = std::env::var("MEMBER_RUNS").map_or(RUNS, |runs| runs.parse().unwrap());
    for run in 0..runs {
        // The lower 32 bits of an arbtest seed give the number of random bytes.
        let seed = (run << 32) | 4096;
        arbtest::arbtest(random_session).seed(seed).run();
    }
}

fn random_session(u: &mut Unstructured) -> Result<()> {
    let count = u.int_in_range(3..=7)?;
    let mut simulation = MemberSimulation::new(count, &["bielik", "orders"]);
    // The hold is so short that hosts become live again while earlier messages are still in
    // transit.
    simulation.settings.leaving_hold = Duration::from_secs(2);
    simulation.start_all();
    let loss = u.int_in_range(0..=30)?;
    let faulty = Rc::new(RefCell::new(true));
    simulation.next_delays = random_delays(u.arbitrary()?, loss, Rc::clone(&faulty));
    while simulation.now < FAULT_TIME {
        if u.ratio(1, 16)? {
            random_fault(&mut simulation, u)?;
        }
        simulation.step();
    }
    *faulty.borrow_mut() = false;
    heal(&mut simulation);
    simulation.run(LEASE * 3);
    assert!(
        simulation.all_owned(),
        "no owner after healing\n{}",
        simulation.trace
    );
    Ok(())
}

fn random_delays(
    seed: u64,
    loss: u32,
    faulty: Rc<RefCell<bool>>,
) -> Box<dyn FnMut() -> Vec<Duration>> {
    let mut random = SmallRng::seed_from_u64(seed);
    Box::new(move || {
        if !*faulty.borrow() {
            return vec![Duration::from_millis(1)];
        }
        if random.random_ratio(loss, 100) {
            return Vec::new();
        }
        let copies = if random.random_ratio(1, 10) { 2 } else { 1 };
        let mut delay = || {
            let limit = if random.random_ratio(1, 20) {
                3000
            } else {
                150
            };
            Duration::from_millis(random.random_range(1..limit))
        };
        (0..copies).map(|_| delay()).collect()
    })
}

fn random_fault(simulation: &mut MemberSimulation, u: &mut Unstructured) -> Result<()> {
    let index = u.choose_index(simulation.hosts.len())?;
    let running = simulation.hosts[index].table.is_some();
    match u.int_in_range(0..=10)? {
        0 => simulation.hosts[index].resume_at = simulation.now + STEP * u.int_in_range(1..=160)?,
        1 | 2 => {
            simulation.crash(index);
            simulation.start(index);
        }
        3 if running => {
            simulation.leave(index);
            simulation.goodbye(index);
        }
        3 | 4 => simulation.start(index),
        5 => simulation.log_up = !simulation.log_up,
        6 => simulation.log_version += 1,
        10 => simulation.hosts[index].config_stuck = u.arbitrary()?,
        7 => simulation.hosts[index].partition = u.int_in_range(0..=2)?,
        8 => {
            for host in &mut simulation.hosts {
                host.partition = u.int_in_range(0..=1)?;
            }
        }
        _ => {
            let shown: u8 = u.arbitrary()?;
            let mut listing = simulation.listing(|host| shown & (1 << host) != 0);
            for entry in &mut listing {
                entry.leaving = u.ratio(1, 20)?;
            }
            simulation.deliver_listing(index, &listing);
        }
    }
    Ok(())
}

fn heal(simulation: &mut MemberSimulation) {
    simulation.log_up = true;
    for index in 0..simulation.hosts.len() {
        simulation.hosts[index].partition = 0;
        simulation.hosts[index].config_stuck = false;
        simulation.hosts[index].resume_at = Duration::ZERO;
        if simulation.hosts[index].table.is_none() {
            simulation.start(index);
        }
    }
}
