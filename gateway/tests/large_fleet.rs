//! A large fleet in virtual time: its hosts' tables of members, plans and hubs, with datagrams that
//! arrive a step later, are lost, or go to hosts that are gone. No network.

mod common;

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::time::{Duration, Instant};

use common::beat;
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
/// Time within which a fleet must have recovered, as the large deployment states it.
const RECOVERY: Duration = Duration::from_secs(15);
/// Summaries that list the hosts, and go to those that follow the other hub.
const WHOLE_EVERY: u64 = 3;

/// Datagrams that one host sends in one step at most: a hub tells its cell and the other cells'
/// hubs; the fleet's size doesn't enter.
fn most_sent(cell_hosts: usize) -> usize {
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
    Beat(PeerHeartbeat),
    Summary {
        hub: IpAddr,
        number: u64,
        members: Vec<MemberReport>,
        alive: Vec<IpAddr>,
    },
    Digest(CellSummary),
}

struct FleetHost {
    table: MemberTable,
    choice: HubChoice,
    tally: HubTally,
    plan: RelayPlan,
    line: MemberReport,
    up: bool,
    sent: usize,
}

impl FleetHost {
    fn new(number: usize, incarnation: u64) -> Self {
        let mut line = beat(1, incarnation, 0).sender;
        line.host = address(number);
        line.zone = zone(number).into();
        // Five in a hundred hosts are larger.
        line.cpu_permille = if number % 20 < 1 { 500 } else { 120 };
        Self {
            table: MemberTable::new(line.host),
            choice: HubChoice::default(),
            tally: HubTally::default(),
            plan: RelayPlan::default(),
            line,
            up: true,
            sent: 0,
        }
    }

    fn is_hub(&self) -> bool {
        self.plan.hubs.contains(&self.line.host)
    }

    fn next_beat(&mut self, now: Instant) -> PeerHeartbeat {
        self.line.sequence += 1;
        let mut beat = beat(1, 1, 1);
        beat.sender = self.line.clone();
        beat.loads = vec![EndpointReport {
            endpoint: 7,
            active: 1,
            pending_prefill_tokens: 0,
        }];
        beat.usage = vec![UsageReport {
            workspace: 5,
            count: UsageCount {
                admitted: self.line.sequence,
                ..UsageCount::default()
            },
        }];
        beat.followed_hub = self.choice.followed(now);
        if !self.plan.is_relayed() {
            beat.reachable = self.table.reachable(8, now);
        }
        beat
    }
}

struct FleetPlay {
    now: Instant,
    step: u64,
    hosts: BTreeMap<IpAddr, FleetHost>,
    travelling: Vec<(IpAddr, IpAddr, Datagram)>,
    random: SmallRng,
    /// Part of the datagrams that is lost.
    loss: f64,
}

impl FleetPlay {
    /// Hosts that start together. Each finds in the store those that registered before it.
    fn start(count: usize, seed: u64) -> Self {
        let now = Instant::now();
        let mut random = SmallRng::seed_from_u64(seed);
        let mut hosts = BTreeMap::new();
        for number in 0..count {
            let mut host = FleetHost::new(number, 1);
            for before in 0..number {
                // A store that is read while others register shows most of them.
                if random.random_bool(0.9) {
                    let other = FleetHost::new(before, 1).line;
                    let members = &mut host.table;
                    members.add_registered_host(other.host, other.zone, other.cpu_permille, now);
                }
            }
            hosts.insert(host.line.host, host);
        }
        Self {
            now,
            step: 0,
            hosts,
            travelling: Vec::new(),
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
        for (from, to, datagram) in std::mem::take(&mut self.travelling) {
            if self.random.random_bool(self.loss) {
                continue;
            }
            let Some(host) = self.hosts.get_mut(&to).filter(|host| host.up) else {
                continue;
            };
            match datagram {
                Datagram::Beat(beat) => {
                    let news = host.table.apply_heartbeat(&beat, now);
                    host.tally.apply_heartbeat(&beat, now);
                    if news == gateway::membership::MemberChange::Appeared {
                        let mut answer = host.next_beat(now);
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
                        self.travelling.push((to, from, Datagram::Beat(answer)));
                    }
                }
                Datagram::Summary {
                    hub,
                    number,
                    members,
                    alive,
                } => {
                    let first = host.plan.preferred_hub(to) == Some(hub);
                    host.choice.record_summary(hub, 1, number, first, now);
                    for line in members {
                        host.table.apply_report(line, now);
                    }
                    if !host.is_hub() {
                        host.table.record_alive(&alive, now);
                    }
                    host.table.record_datagram(hub, now);
                }
                Datagram::Digest(digest) => {
                    host.tally.apply_cell_summary(&digest, now);
                    for line in digest.members {
                        host.table.apply_report(line, now);
                    }
                    host.table.record_datagram(digest.hub, now);
                }
            }
        }
    }

    fn send(&mut self) {
        let (now, step) = (self.now, self.step);
        for host in self.hosts.values_mut().filter(|host| host.up) {
            let own = host.line.host;
            let own_zone = host.line.zone.clone();
            host.plan = host.table.plan(&own_zone, host.line.cpu_permille, now);
            let beat = host.next_beat(now);
            let follows = host.choice.is_following(now);
            for target in host.table.heartbeat_targets(&host.plan, follows, now) {
                self.travelling
                    .push((own, target, Datagram::Beat(beat.clone())));
                host.sent += 1;
            }
            if !host.is_hub() {
                continue;
            }
            host.tally.apply_heartbeat(&beat, now);
            let whole = step.is_multiple_of(WHOLE_EVERY);
            let cell = host.plan.cell.clone();
            let mut members = Vec::new();
            if whole {
                members = host.table.reports(now);
                members.push(host.line.clone());
            }
            let alive: Vec<_> = members.iter().map(|line| line.host).collect();
            for target in host.table.cell_members(cell.as_ref(), now) {
                if !whole && !host.tally.relies_on(target, own) {
                    continue;
                }
                let summary = Datagram::Summary {
                    hub: own,
                    number: step,
                    members: members.clone(),
                    alive: alive.clone(),
                };
                self.travelling.push((own, target, summary));
                host.sent += 1;
            }
            let Some(cell) = cell else { continue };
            let totals = host.tally.cell_totals(Some(&cell), now);
            let sums = host.tally.sums_without(&totals, Some(&cell), None);
            let digest = CellSummary {
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
                    .filter(|line| line.zone == cell)
                    .collect(),
                paces: Vec::new(),
                updates: Vec::new(),
            };
            for target in host.plan.other_hubs.clone() {
                self.travelling
                    .push((own, target, Datagram::Digest(digest.clone())));
                host.sent += 1;
            }
        }
    }

    fn up(&self) -> impl Iterator<Item = &FleetHost> {
        self.hosts.values().filter(|host| host.up)
    }

    fn stop(&mut self, mut stops: impl FnMut(&FleetHost) -> bool) {
        for host in self.hosts.values_mut() {
            if stops(host) {
                host.up = false;
            }
        }
    }

    /// Every host that runs follows a hub that runs, and hears of all others.
    fn assert_whole(&self, what: &str) {
        let running = self.up().count();
        for host in self.up() {
            let hub = host.choice.followed(self.now);
            let hub = hub.unwrap_or_else(|| panic!("{what}: {} follows nobody", host.line.host));
            assert!(self.hosts[&hub].up, "{what}: {hub} is gone");
            let named = host.table.serving(self.now).len();
            assert_eq!(
                named,
                running - 1,
                "{what}: {} hears others",
                host.line.host
            );
        }
    }

    /// Resets the counts of datagrams and returns the most that one host sent in a step, on average.
    fn most_sent_per_step(&mut self, span: Duration) -> f64 {
        self.hosts.values_mut().for_each(|host| host.sent = 0);
        self.run(span);
        let steps = span.as_secs_f64() / STEP.as_secs_f64();
        let most = self.up().map(|host| host.sent).max().unwrap_or(0);
        f64::from(u32::try_from(most).expect("few")) / steps
    }
}

/// Guards against a fleet whose hosts tell all others directly while they hear no hub: 295 hosts
/// sent 87,000 datagrams a round, and never came up.
#[test]
fn a_large_fleet_comes_up_within_seconds_at_a_bounded_cost() {
    for (count, seed) in [(295, 1), (340, 2), (120, 3)] {
        let mut play = FleetPlay::start(count, seed);
        let most = play.most_sent_per_step(Duration::from_secs(5));
        play.assert_whole(&format!("{count} hosts"));
        let bound = most_sent(count / ZONES + 1);
        assert!(
            most <= f64::from(u32::try_from(bound).expect("few")),
            "{count}: {most} of {bound}"
        );
    }
}

type HostFilter = fn(&FleetHost) -> bool;

/// Guards against a fleet that stays in a storm, or apart, after its hubs, a zone, or most of its
/// hosts are gone: it must come back by itself.
#[test]
fn a_large_fleet_gets_over_the_loss_of_its_hubs() {
    let losses: [(&str, HostFilter); 4] = [
        ("all hubs", FleetHost::is_hub),
        ("all large hosts", |host| host.line.cpu_permille > 120),
        ("a zone", |host| host.line.zone == "c"),
        ("more than half", |host| {
            let IpAddr::V4(address) = host.line.host else {
                return false;
            };
            !address.octets()[3].is_multiple_of(5) || host.line.cpu_permille > 120
        }),
    ];
    for (what, stops) in losses {
        let mut play = FleetPlay::start(150, 4);
        play.run(Duration::from_secs(4));
        play.stop(stops);
        let most = play.most_sent_per_step(RECOVERY);
        assert!(
            most <= f64::from(u32::try_from(most_sent(150 / ZONES)).expect("few")),
            "{what}: {most}"
        );
        play.assert_whole(what);
    }
}

/// Guards against sums that count the hosts of other cells twice or not at all.
#[test]
fn hubs_know_the_load_of_the_whole_fleet() {
    let mut play = FleetPlay::start(295, 5);
    play.loss = 0.0;
    play.run(Duration::from_secs(6));
    let hubs: Vec<_> = play.up().filter(|host| host.is_hub()).collect();
    assert_eq!(hubs.len(), 2 * ZONES);
    for hub in hubs {
        let cell = hub.plan.cell.as_ref();
        let mut totals = hub.tally.cell_totals(cell, play.now);
        hub.tally.add_cells(&mut totals, cell);
        let member = hub.table.cell_members(cell, play.now)[0];
        let sums = hub.tally.sums_without(&totals, cell, Some(member));
        assert_eq!(sums.loads.len(), 1);
        assert_eq!(sums.loads[0].active, 294, "{}", hub.line.host);
    }
}

/// Guards against a directory that names the same 64 hosts to everyone, so that the others stand
/// idle, and against one that names none outside of a zone that may fail.
#[test]
fn every_host_is_named_to_some_callers() {
    let serving: Vec<_> = (0..295)
        .map(|number| (address(number), zone(number).into()))
        .collect();
    let mut random = SmallRng::seed_from_u64(6);
    let mut named: BTreeMap<IpAddr, usize> = BTreeMap::new();
    for caller in 0..500 {
        let zone = zone(caller).into();
        let hosts = select_hosts(serving.clone(), Some(&zone), 64, &mut random);
        assert_eq!(hosts.len(), 64);
        let near = hosts
            .iter()
            .filter(|host| serving.contains(&(**host, zone.clone())));
        assert!((50..=56).contains(&near.count()));
        for host in hosts {
            *named.entry(host).or_default() += 1;
        }
    }
    assert_eq!(named.len(), 295);
    let least = named.values().min().expect("some");
    assert!(*least >= 60, "{least} of 500 callers");
    let few = select_hosts(serving[..9].to_vec(), Some(&"a".into()), 64, &mut random);
    assert_eq!(few.len(), 9, "a small fleet is named whole");
}
