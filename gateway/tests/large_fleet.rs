//! Tests of a large fleet in virtual time and without a network: the member tables, relay plans and
//! hubs of its hosts. Datagrams arrive one step later, are lost, or go to hosts that are gone.

mod common;

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use common::heartbeat;
use gateway::limits::{UsageCount, UsageReport};
use gateway::membership::{
    CellSummary, HubChoice, HubTally, MemberReport, MemberTable, PeerHeartbeat, RelayPlan,
    select_hosts,
};
use gateway::scheduler::EndpointReport;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const ZONES: usize = 5;
const STEP: Duration = Duration::from_millis(100);
/// Time within which a fleet must recover, as the target of the large deployment states.
const MAX_RECOVERY_TIME: Duration = Duration::from_secs(15);
/// One in this many summaries lists the hosts and also goes to hosts that follow the other hub.
const FULL_SUMMARY_INTERVAL: u64 = 3;

/// Returns the maximum number of datagrams that one host sends in one step. A hub sends to the
/// hosts of its cell and to the hubs of other cells; the size of the fleet doesn't matter.
fn max_sent(cell_hosts: usize) -> usize {
    cell_hosts + 2 * ZONES + 8
}

fn address(number: usize) -> IpAddr {
    let [.., high, low] = number.to_be_bytes();
    IpAddr::from([10, 1, high, low])
}

fn zone(number: usize) -> &'static str {
    ["a", "b", "c", "d", "e"][number % ZONES]
}

enum Datagram {
    Heartbeat(PeerHeartbeat),
    HubSummary {
        hub: IpAddr,
        sequence: u64,
        members: Vec<MemberReport>,
        alive: Vec<IpAddr>,
    },
    CellSummary(CellSummary),
}

struct FleetHost {
    table: MemberTable,
    choice: HubChoice,
    tally: HubTally,
    plan: RelayPlan,
    report: MemberReport,
    is_running: bool,
    sent: usize,
}

impl FleetHost {
    fn new(number: usize, incarnation: u64) -> Self {
        let mut report = heartbeat(1, incarnation, 0).sender;
        report.host = address(number);
        report.zone = zone(number).into();
        // Five percent of the hosts are larger.
        report.cpu_permille = if number % 20 < 1 { 500 } else { 120 };
        Self {
            table: MemberTable::new(report.host),
            choice: HubChoice::default(),
            tally: HubTally::default(),
            plan: RelayPlan::default(),
            report,
            is_running: true,
            sent: 0,
        }
    }

    fn is_hub(&self) -> bool {
        self.plan.hubs.contains(&self.report.host)
    }

    fn next_heartbeat(&mut self, now: Instant) -> PeerHeartbeat {
        self.report.sequence += 1;
        let mut heartbeat = heartbeat(1, 1, 1);
        heartbeat.sender = self.report.clone();
        heartbeat.loads = vec![EndpointReport {
            endpoint: 7,
            active: 1,
            pending_prefill_tokens: 0,
        }];
        heartbeat.usage = vec![UsageReport {
            workspace: 5,
            count: UsageCount {
                admitted: self.report.sequence,
                ..UsageCount::default()
            },
        }];
        heartbeat.followed_hub = self.choice.followed(now);
        if !self.plan.is_relayed() {
            heartbeat.reachable = self.table.reachable(8, now);
        }
        heartbeat
    }
}

struct FleetSimulation {
    now: Instant,
    step: u64,
    hosts: BTreeMap<IpAddr, FleetHost>,
    in_flight: Vec<(IpAddr, IpAddr, Datagram)>,
    random: SmallRng,
    /// Share of the datagrams that are lost.
    loss: f64,
}

impl FleetSimulation {
    /// Starts a fleet of hosts at the same time. Each host finds in the store those that registered
    /// before it.
    fn start(count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut random = SmallRng::seed_from_u64(seed);
        let mut hosts = BTreeMap::new();
        for number in 0..count {
            let mut host = FleetHost::new(number, 1);
            for earlier in 0..number {
                // A host that reads the store while others register finds most of them.
                if random.random_bool(0.9) {
                    let other = FleetHost::new(earlier, 1).report;
                    let members = &mut host.table;
                    members.add_registered_host(other.host, other.zone, other.cpu_permille, now);
                }
            }
            hosts.insert(host.report.host, host);
        }
        Self {
            now,
            step: 0,
            hosts,
            in_flight: Vec::new(),
            random,
            loss: 0.01,
        }
    }

    fn run(&mut self, span: Duration) {
        let steps = span.as_millis() / STEP.as_millis();
        for _ in 0..steps {
            self.deliver();
            self.send();
            self.step += 1;
            self.now += STEP;
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        for (from, to, datagram) in std::mem::take(&mut self.in_flight) {
            if self.random.random_bool(self.loss) {
                continue;
            }
            let Some(host) = self.hosts.get_mut(&to).filter(|host| host.is_running) else {
                continue;
            };
            match datagram {
                Datagram::Heartbeat(heartbeat) => {
                    let change = host.table.apply_heartbeat(&heartbeat, now);
                    host.tally.apply_heartbeat(&heartbeat, now);
                    if change == gateway::membership::MemberChange::Appeared {
                        let mut answer = host.next_heartbeat(now);
                        let hubs: Vec<_> = host
                            .plan
                            .hubs
                            .iter()
                            .chain(&host.plan.other_hubs)
                            .copied()
                            .collect();
                        answer.hubs = host.table.reports_of(&hubs);
                        answer.reachable = host.table.reachable(8, now);
                        host.sent += 1;
                        self.in_flight.push((to, from, Datagram::Heartbeat(answer)));
                    }
                }
                Datagram::HubSummary {
                    hub,
                    sequence,
                    members,
                    alive,
                } => {
                    let is_preferred = host.plan.preferred_hub(to) == Some(hub);
                    host.choice
                        .record_summary(hub, 1, sequence, is_preferred, now);
                    for report in members {
                        host.table.apply_report(report, now);
                    }
                    if !host.is_hub() {
                        host.table.record_alive(&alive, now);
                    }
                    host.table.record_datagram(hub, now);
                }
                Datagram::CellSummary(summary) => {
                    host.tally.apply_cell_summary(&summary, now);
                    for report in summary.members {
                        host.table.apply_report(report, now);
                    }
                    host.table.record_datagram(summary.hub, now);
                }
            }
        }
    }

    fn send(&mut self) {
        let (now, step) = (self.now, self.step);
        for host in self.hosts.values_mut().filter(|host| host.is_running) {
            let own = host.report.host;
            let own_zone = host.report.zone.clone();
            host.plan = host.table.plan(&own_zone, host.report.cpu_permille, now);
            let heartbeat = host.next_heartbeat(now);
            let follows = host.choice.is_following(now);
            for target in host.table.heartbeat_targets(&host.plan, follows, now) {
                self.in_flight
                    .push((own, target, Datagram::Heartbeat(heartbeat.clone())));
                host.sent += 1;
            }
            if !host.is_hub() {
                continue;
            }
            host.tally.apply_heartbeat(&heartbeat, now);
            let is_full = step.is_multiple_of(FULL_SUMMARY_INTERVAL);
            let cell = host.plan.cell.clone();
            let mut members = Vec::new();
            if is_full {
                members = host.table.reports(now);
                members.push(host.report.clone());
            }
            let alive: Vec<_> = members.iter().map(|report| report.host).collect();
            for target in host.table.cell_members(cell.as_ref(), now) {
                if !is_full && !host.tally.relies_on(target, own) {
                    continue;
                }
                let summary = Datagram::HubSummary {
                    hub: own,
                    sequence: step,
                    members: members.clone(),
                    alive: alive.clone(),
                };
                self.in_flight.push((own, target, summary));
                host.sent += 1;
            }
            let Some(cell) = cell else { continue };
            let totals = host.tally.cell_totals(Some(&cell), now);
            let sums = host.tally.sums_without(&totals, Some(&cell), None);
            let summary = CellSummary {
                cell: cell.clone(),
                hub: own,
                incarnation: 1,
                sequence: step,
                loads: sums.loads,
                usage: sums.usage,
                rollouts: sums.rollouts,
                positions: Vec::new(),
                members: members
                    .into_iter()
                    .filter(|report| report.zone == cell)
                    .collect(),
                paces: Vec::new(),
                updates: Vec::new(),
            };
            for target in host.plan.other_hubs.clone() {
                self.in_flight
                    .push((own, target, Datagram::CellSummary(summary.clone())));
                host.sent += 1;
            }
        }
    }

    fn running_hosts(&self) -> impl Iterator<Item = &FleetHost> {
        self.hosts.values().filter(|host| host.is_running)
    }

    fn stop(&mut self, mut should_stop: impl FnMut(&FleetHost) -> bool) {
        for host in self.hosts.values_mut() {
            if should_stop(host) {
                host.is_running = false;
            }
        }
    }

    /// Asserts that every running host follows a running hub and lists all other running hosts.
    fn assert_recovered(&self, case: &str) {
        let running_count = self.running_hosts().count();
        for host in self.running_hosts() {
            let hub = host.choice.followed(self.now);
            let hub = hub.unwrap_or_else(|| panic!("{case}: {} follows no hub", host.report.host));
            assert!(self.hosts[&hub].is_running, "{case}: {hub} is gone");
            let listed = host.table.serving(self.now).len();
            assert_eq!(
                listed,
                running_count - 1,
                "{case}: {} lists other hosts",
                host.report.host
            );
        }
    }

    /// Runs the simulation for `span` and returns the number of datagrams per step, on average, of
    /// the host that sent the most.
    fn max_sent_per_step(&mut self, span: Duration) -> f64 {
        self.hosts.values_mut().for_each(|host| host.sent = 0);
        self.run(span);
        let steps = span.as_secs_f64() / STEP.as_secs_f64();
        let sent = self
            .running_hosts()
            .map(|host| host.sent)
            .max()
            .unwrap_or(0);
        f64::from(u32::try_from(sent).expect("few")) / steps
    }
}

/// Guards against a fleet whose hosts send to all others directly while they hear no hub: 295 hosts
/// sent 87,000 datagrams per round and never finished starting.
#[test]
fn a_large_fleet_starts_within_seconds_at_a_bounded_cost() {
    for (count, seed) in [(295, 1), (340, 2), (120, 3)] {
        let mut simulation = FleetSimulation::start(count, seed);
        let sent = simulation.max_sent_per_step(Duration::from_secs(5));
        simulation.assert_recovered(&format!("{count} hosts"));
        let bound = max_sent(count / ZONES + 1);
        assert!(
            sent <= f64::from(u32::try_from(bound).expect("few")),
            "{count}: {sent} of {bound}"
        );
    }
}

type HostFilter = fn(&FleetHost) -> bool;

/// Guards against a fleet that stays overloaded by its own datagrams, or split, after the loss of
/// its hubs, a zone, or most of its hosts. It must recover by itself.
#[test]
fn a_large_fleet_recovers_from_the_loss_of_its_hubs() {
    let losses: [(&str, HostFilter); 4] = [
        ("all hubs", FleetHost::is_hub),
        ("all large hosts", |host| host.report.cpu_permille > 120),
        ("a zone", |host| host.report.zone == "c"),
        ("more than half", |host| {
            let IpAddr::V4(address) = host.report.host else {
                return false;
            };
            !address.octets()[3].is_multiple_of(5) || host.report.cpu_permille > 120
        }),
    ];
    for (case, should_stop) in losses {
        let mut simulation = FleetSimulation::start(150, 4);
        simulation.run(Duration::from_secs(4));
        simulation.stop(should_stop);
        let sent = simulation.max_sent_per_step(MAX_RECOVERY_TIME);
        assert!(
            sent <= f64::from(u32::try_from(max_sent(150 / ZONES)).expect("few")),
            "{case}: {sent}"
        );
        simulation.assert_recovered(case);
    }
}

/// Guards against sums that count the hosts of other cells twice or leave them out.
#[test]
fn hubs_know_the_load_of_the_whole_fleet() {
    let mut simulation = FleetSimulation::start(295, 5);
    simulation.loss = 0.0;
    simulation.run(Duration::from_secs(6));
    let hubs: Vec<_> = simulation
        .running_hosts()
        .filter(|host| host.is_hub())
        .collect();
    assert_eq!(hubs.len(), 2 * ZONES);
    for hub in hubs {
        let cell = hub.plan.cell.as_ref();
        let mut totals = hub.tally.cell_totals(cell, simulation.now);
        hub.tally.add_cells(&mut totals, cell);
        let member = hub.table.cell_members(cell, simulation.now)[0];
        let sums = hub.tally.sums_without(&totals, cell, Some(member));
        assert_eq!(sums.loads.len(), 1);
        assert_eq!(sums.loads[0].active, 294, "{}", hub.report.host);
    }
}

/// Guards against a directory that lists the same 64 hosts to every caller, so that the others stay
/// idle, and against one that lists only hosts of the caller's zone, which may fail.
#[test]
fn every_host_is_listed_to_some_callers() {
    let serving: Vec<_> = (0..295)
        .map(|number| (address(number), zone(number).into()))
        .collect();
    let mut random = SmallRng::seed_from_u64(6);
    let mut listed: BTreeMap<IpAddr, usize> = BTreeMap::new();
    for caller in 0..500 {
        let zone = zone(caller).into();
        let hosts = select_hosts(serving.clone(), Some(&zone), 64, &mut random);
        assert_eq!(hosts.len(), 64);
        let local = hosts
            .iter()
            .filter(|host| serving.contains(&(**host, zone.clone())));
        assert!((50..=56).contains(&local.count()));
        for host in hosts {
            *listed.entry(host).or_default() += 1;
        }
    }
    assert_eq!(listed.len(), 295);
    let fewest = listed.values().min().expect("some");
    assert!(*fewest >= 60, "{fewest} of 500 callers");
    let few = select_hosts(serving[..9].to_vec(), Some(&"a".into()), 64, &mut random);
    assert_eq!(few.len(), 9, "a small fleet is listed completely");
}
