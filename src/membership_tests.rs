//! Snapshot tests of several simulated hosts. Each guards against changes of which owners the hosts
//! follow, which hosts they report as gone, and when. `MemberSimulation` checks at every step that
//! no pool has two owners.

use std::time::Duration;

use crate::ids::HostState;
use crate::member_simulation::{LEASE, MemberSimulation};

const SETTLE: Duration = Duration::from_secs(5);

/// Returns a simulation of `count` hosts and one pool that has an owner, with an empty trace.
fn settled_simulation(count: u16) -> MemberSimulation {
    let mut simulation = MemberSimulation::new(count, &["bielik"]);
    simulation.start_all();
    simulation.run_until(SETTLE, "an owner", MemberSimulation::all_owned);
    simulation.run(Duration::from_secs(1));
    simulation.trace.clear();
    simulation
}

fn owner_index(simulation: &MemberSimulation) -> usize {
    let owners = simulation.owners("bielik");
    let owns = |incarnation| owners.contains(&incarnation);
    simulation
        .hosts
        .iter()
        .position(|host| owns(host.brief.incarnation))
        .expect("an owner")
}

/// Guards against hosts that vote or confirm within one lease of their start.
#[test]
fn start_up_of_three_hosts() {
    let mut simulation = MemberSimulation::new(3, &["bielik", "orders"]);
    simulation.start_all();
    simulation.run(LEASE * 14 / 15);
    let table = simulation.hosts[0].table.as_ref().unwrap();
    assert_eq!(table.confirmations(1, simulation.instant()).confirmed, 0);
    simulation.run_until(SETTLE, "owners", MemberSimulation::all_owned);
    assert!(simulation.now >= LEASE);
    insta::assert_snapshot!(simulation.trace);
}

/// Guards against a pool without an owner for more than a lease and a heartbeat interval after its
/// owner crashed.
#[test]
fn owner_killed() {
    let mut simulation = settled_simulation(3);
    let owner = owner_index(&simulation);
    simulation.crash(owner);
    let gap = LEASE + Duration::from_millis(250 + 100);
    simulation.run_until(gap, "another owner", MemberSimulation::all_owned);
    simulation.run(Duration::from_secs(11));
    insta::assert_snapshot!(simulation.trace);
}

/// Guards against an owner that still grants permits after a pause, and against hosts that do not
/// follow it again.
#[test]
fn owner_paused_and_resumed() {
    let mut simulation = settled_simulation(3);
    let owner = owner_index(&simulation);
    simulation.hosts[owner].resume_at = simulation.now + Duration::from_secs(4);
    simulation.run(Duration::from_secs(9));
    assert_eq!(owner_index(&simulation), owner);
    insta::assert_snapshot!(simulation.trace);
}

/// Guards against an isolated owner that keeps granting permits for more than a lease.
#[test]
fn owner_cut_off_from_all() {
    let mut simulation = settled_simulation(3);
    let owner = owner_index(&simulation);
    simulation.hosts[owner].partition = 1;
    simulation.run(LEASE);
    let now = simulation.instant();
    let table = simulation.hosts[owner].table.as_ref().unwrap();
    assert!(!table.owns("bielik", 1, now));
    assert!(!table.has_majority(now));
    simulation.run(Duration::from_secs(3));
    simulation.hosts[owner].partition = 0;
    simulation.run(SETTLE);
    insta::assert_snapshot!(simulation.trace);
}

/// Guards against an owner in a minority that grants permits, during a partition longer than
/// `forget_after`.
#[test]
fn split_into_minority_and_majority() {
    let mut simulation = settled_simulation(5);
    let owner = owner_index(&simulation);
    let other = usize::from(owner == 0);
    simulation.hosts[owner].partition = 1;
    simulation.hosts[other].partition = 1;
    // The list shows all hosts and is then not read for longer than `forget_after`; no host may be
    // removed.
    let listing = simulation.listing(|_| true);
    simulation.deliver_listing_to_all(&listing);
    simulation.run(Duration::from_secs(70));
    let now = simulation.instant();
    let minority = simulation.hosts[owner].table.as_ref().unwrap();
    assert_eq!(minority.confirmations(1, now).electorate, 5);
    assert!(!minority.has_majority(now));
    insta::assert_snapshot!(simulation.trace);
}

/// Guards against a leaving host that becomes a candidate again because the list flaps, and against
/// hosts that are removed because the list lags.
#[test]
fn list_lags_and_flaps() {
    let mut simulation = settled_simulation(3);
    let owner = owner_index(&simulation);
    let mut leaving = simulation.listing(|_| true);
    leaving[owner].leaving = true;
    simulation.deliver_listing_to_all(&leaving);
    simulation.run(Duration::from_secs(2));
    let live = simulation.listing(|_| true);
    simulation.deliver_listing_to_all(&live);
    simulation.run(Duration::from_secs(27));
    let table = simulation.hosts[owner].table.as_ref().unwrap();
    let shown = table.live_hosts(simulation.instant());
    assert_eq!(shown[owner].1, HostState::Leaving);
    simulation.run(Duration::from_secs(5));
    assert_eq!(owner_index(&simulation), owner);
    // The list omits two hosts that still send heartbeats; neither may be removed.
    for _ in 0..8 {
        let lagging = simulation.listing(|index| index == 0);
        simulation.deliver_listing_to_all(&lagging);
        simulation.run(Duration::from_secs(10));
    }
    let table = simulation.hosts[0].table.as_ref().unwrap();
    let size = table.confirmations(1, simulation.instant()).electorate;
    assert_eq!(size, 3);
    insta::assert_snapshot!(simulation.trace);
}

/// Guards against an old incarnation that stays after a heartbeat of its successor was received, or
/// that returns because of a delayed message.
#[test]
fn restart_with_new_incarnation() {
    let mut simulation = settled_simulation(3);
    let owner = owner_index(&simulation);
    let old = simulation.hosts[owner].brief.clone();
    simulation.next_delays = Box::new(|| [1, 900].map(Duration::from_millis).to_vec());
    simulation.run(LEASE);
    simulation.crash(owner);
    simulation.start(owner);
    simulation.run(Duration::from_millis(300));
    let other = (owner + 1) % 3;
    let now = simulation.instant();
    let table = simulation.hosts[other].table.as_ref().unwrap();
    assert!(table.find(old.incarnation, now).is_none());
    assert!(table.find(old.incarnation + 1, now).is_some());
    simulation.run(SETTLE);
    insta::assert_snapshot!(simulation.trace);
}

/// Guards against the loss of a confirmed configuration while no host can read the log.
#[test]
fn hosts_replaced_one_by_one_with_the_log_down() {
    let mut simulation = settled_simulation(3);
    simulation.log_version = 7;
    simulation.run(Duration::from_secs(1));
    simulation.log_up = false;
    for old in 0..3 {
        simulation.leave(old);
        simulation.run(Duration::from_secs(1));
        let new = simulation.hosts.len();
        simulation.add(u16::try_from(new).unwrap());
        simulation.start(new);
        simulation.run(SETTLE);
        simulation.goodbye(old);
        simulation.hosts[old].listed = false;
        simulation.run(SETTLE);
        assert!(simulation.all_owned(), "{}", simulation.trace);
    }
    assert!(simulation.hosts[3..].iter().all(|host| host.version == 7));
    insta::assert_snapshot!(simulation.trace);
}

/// Guards against a host that leaves gracefully but whose pools have no owner for a whole lease.
#[test]
fn graceful_leave() {
    let mut simulation = settled_simulation(3);
    let owner = owner_index(&simulation);
    simulation.leave(owner);
    assert!(!simulation.all_owned());
    let gap = Duration::from_millis(2 * 250 + 100);
    simulation.run_until(gap, "another owner", MemberSimulation::all_owned);
    simulation.run(Duration::from_secs(2));
    simulation.goodbye(owner);
    simulation.run(Duration::from_secs(3));
    let now = simulation.instant();
    let other = simulation.hosts[(owner + 1) % 3].table.as_ref().unwrap();
    assert_eq!(other.confirmations(1, now).electorate, 2);
    insta::assert_snapshot!(simulation.trace);
}

/// Guards against an electorate that shrinks while the leases of departed hosts still count.
#[test]
fn two_hosts_leave_from_one_side_of_a_partition() {
    let mut simulation = settled_simulation(5);
    let owner = owner_index(&simulation);
    let others: Vec<_> = (0..5).filter(|index| *index != owner).collect();
    for index in &others[2..] {
        simulation.hosts[*index].partition = 1;
    }
    simulation.run(SETTLE);
    for index in &others[..2] {
        simulation.hosts[*index].partition = 1;
        simulation.leave(*index);
        simulation.goodbye(*index);
    }
    simulation.run(SETTLE);
    assert_ne!(owner_index(&simulation), owner);
    insta::assert_snapshot!(simulation.trace);
}

/// Guards against two owners when the list of an owner lags and shows a smaller electorate than its
/// follower knows.
#[test]
fn follower_knows_a_larger_electorate() {
    for small in [0, 1] {
        let mut simulation = MemberSimulation::new(5, &["bielik", "orders", "stock"]);
        for index in 0..5 {
            simulation.hosts[index].partition = u8::from(index > 1);
            simulation.hosts[index].listed = index < 2;
        }
        simulation.start(small);
        simulation
            .hosts
            .iter_mut()
            .for_each(|host| host.listed = true);
        for index in (0..5).filter(|index| *index != small) {
            simulation.start(index);
        }
        simulation.run(SETTLE);
        assert!(simulation.all_owned(), "{}", simulation.trace);
    }
}

/// Guards against a lone host that waits for a log that it cannot reach, or starts without a list.
#[test]
fn lone_host_with_the_log_down() {
    let mut simulation = MemberSimulation::new(1, &["bielik"]);
    simulation.log_up = false;
    simulation.start_all();
    simulation.run_until(LEASE + LEASE, "an owner", MemberSimulation::all_owned);
    insta::assert_snapshot!(simulation.trace);
}
