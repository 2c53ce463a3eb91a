//! Simulation of several hosts that exchange membership messages in virtual time.

use std::collections::{BTreeMap, VecDeque};
use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::configs::membership::MemberSettings;
use crate::context::Context;
use crate::ids::{ConfigVersion, HostBrief, Incarnation, PoolName};
use crate::membership::{EntryListing, LocalFacts, MemberEffect, MemberTable};
use crate::messages::{PeerMessage, SnapshotPart};

pub const STEP: Duration = Duration::from_millis(25);
pub const LEASE: Duration = Duration::from_millis(1500);

/// One host address and the process that runs there, if any.
pub struct SimulatedHost {
    pub brief: HostBrief,
    pub table: Option<MemberTable>,
    pub version: ConfigVersion,
    pub log_end_read: bool,
    /// Time until which the process is paused.
    pub resume_at: Duration,
    /// Number of the host's network partition; only hosts with equal numbers reach each other.
    pub partition: u8,
    /// Whether the list that a starting host reads shows this host.
    pub listed: bool,
    /// Whether the host applies no configuration, neither from the log nor from snapshots.
    pub config_stuck: bool,
    inbox: VecDeque<(HostBrief, PeerMessage)>,
}

pub struct MemberSimulation {
    pub now: Duration,
    pub hosts: Vec<SimulatedHost>,
    pub pools: Vec<PoolName>,
    pub log_up: bool,
    pub log_version: ConfigVersion,
    pub trace: String,
    pub settings: MemberSettings,
    /// Returns the delays of the next message, one for each copy that arrives; none if it is lost.
    pub next_delays: Box<dyn FnMut() -> Vec<Duration>>,
    started_at: Instant,
    in_transit: BTreeMap<(Duration, u64), (SocketAddr, HostBrief, PeerMessage)>,
    sent_count: u64,
    /// Versions that a majority has confirmed, each with the time of the first confirmation.
    confirmed: Vec<(ConfigVersion, Duration)>,
}

pub fn host_brief(index: u16, generation: u64) -> HostBrief {
    let name = char::from_u32(u32::from(b'a') + u32::from(index)).unwrap();
    HostBrief {
        name: compact_str::format_compact!("{name}"),
        region: "pl-south".into(),
        zone: "krk-a".into(),
        incarnation: u64::from(index) * 1000 + generation,
        caller_address: SocketAddr::from(([127, 0, 0, 1], 7000 + index)),
        peer_address: SocketAddr::from(([127, 0, 0, 1], 8000 + index)),
    }
}

impl MemberSimulation {
    pub fn new(count: u16, pools: &[&str]) -> Self {
        let mut simulation = Self {
            now: Duration::ZERO,
            hosts: Vec::new(),
            pools: pools.iter().map(|pool| PoolName::from(*pool)).collect(),
            log_up: true,
            log_version: 1,
            trace: String::new(),
            settings: MemberSettings::default(),
            next_delays: Box::new(|| vec![Duration::from_millis(1)]),
            started_at: Instant::now(),
            in_transit: BTreeMap::new(),
            sent_count: 0,
            confirmed: Vec::new(),
        };
        for index in 0..count {
            simulation.add(index);
        }
        simulation
    }

    /// Starts every host.
    pub fn start_all(&mut self) {
        for index in 0..self.hosts.len() {
            self.start(index);
        }
    }

    pub fn add(&mut self, index: u16) {
        self.hosts.push(SimulatedHost {
            brief: host_brief(index, 0),
            table: None,
            version: 0,
            log_end_read: false,
            resume_at: Duration::ZERO,
            partition: 0,
            listed: true,
            config_stuck: false,
            inbox: VecDeque::new(),
        });
    }

    pub fn instant(&self) -> Instant {
        self.started_at + self.now
    }

    /// Starts a new process at the address, which reads the list immediately.
    pub fn start(&mut self, index: usize) {
        let now = self.instant();
        let host = &mut self.hosts[index];
        host.brief.incarnation += 1;
        host.version = 0;
        host.log_end_read = false;
        host.inbox.clear();
        host.resume_at = Duration::ZERO;
        let settings = self.settings.clone();
        host.table = Some(MemberTable::new(settings, vec![], now));
        let listing = self.listing(|other| self.hosts[other].listed);
        self.deliver_listing(index, &listing);
    }

    pub fn crash(&mut self, index: usize) {
        self.hosts[index].table = None;
    }

    pub fn listing(&self, shows: impl Fn(usize) -> bool) -> Vec<EntryListing> {
        let hosts = self.hosts.iter().enumerate();
        hosts
            .filter(|(index, _)| shows(*index))
            .map(|(_, host)| EntryListing {
                name: host.brief.name.clone(),
                region: host.brief.region.clone(),
                zone: host.brief.zone.clone(),
                caller_address: host.brief.caller_address,
                peer_address: host.brief.peer_address,
                leaving: false,
            })
            .collect()
    }

    pub fn deliver_listing(&mut self, index: usize, listing: &[EntryListing]) {
        let context = self.context(index);
        if let Some(table) = &mut self.hosts[index].table {
            table.apply_listing(listing, &context);
        }
    }

    pub fn deliver_listing_to_all(&mut self, listing: &[EntryListing]) {
        for index in 0..self.hosts.len() {
            self.deliver_listing(index, listing);
        }
    }

    pub fn leave(&mut self, index: usize) {
        let context = self.context(index);
        let table = self.hosts[index].table.as_mut().expect("running");
        let effects = table.leave(&context);
        self.execute(index, effects);
    }

    pub fn goodbye(&mut self, index: usize) {
        for to in 0..self.hosts.len() {
            let address = self.hosts[to].brief.peer_address;
            if to != index {
                self.send(index, address, &PeerMessage::Goodbye);
            }
        }
        self.crash(index);
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        while self.now < end {
            self.step();
        }
    }

    /// Runs until the condition holds; panics if it does not hold within `limit`.
    pub fn run_until(&mut self, limit: Duration, what: &str, holds: impl Fn(&Self) -> bool) {
        let end = self.now + limit;
        while !holds(self) {
            assert!(
                self.now < end,
                "{what} not within {limit:?}\n{}",
                self.trace
            );
            self.step();
        }
    }

    pub fn step(&mut self) {
        self.now += STEP;
        let later = self.in_transit.split_off(&(self.now, u64::MAX));
        for (_, (to, from, message)) in std::mem::replace(&mut self.in_transit, later) {
            if let Some(host) = self
                .hosts
                .iter_mut()
                .find(|host| host.brief.peer_address == to && host.table.is_some())
            {
                host.inbox.push_back((from, message));
            }
        }
        for index in 0..self.hosts.len() {
            if self.hosts[index].table.is_some() && self.hosts[index].resume_at <= self.now {
                self.run_host(index);
            }
        }
        self.check_invariants();
    }

    fn run_host(&mut self, index: usize) {
        let context = self.context(index);
        let mut effects = Vec::new();
        while let Some((from, message)) = self.hosts[index].inbox.pop_front() {
            effects.extend(self.receive(index, &from, message, &context));
        }
        if self.log_up && !self.hosts[index].config_stuck {
            self.hosts[index].version = self.log_version;
            self.hosts[index].log_end_read = true;
        }
        let pools = &self.pools;
        let host = &mut self.hosts[index];
        let facts = build_facts(host.version, host.log_end_read, pools);
        effects.extend(host.table.as_mut().expect("running").tick(&facts, &context));
        self.execute(index, effects);
    }

    fn receive(
        &mut self,
        index: usize,
        from: &HostBrief,
        message: PeerMessage,
        context: &Context,
    ) -> Vec<MemberEffect> {
        let pools = &self.pools;
        let host = &mut self.hosts[index];
        let table = host.table.as_mut().expect("running");
        match message {
            PeerMessage::Heartbeat(heartbeat) => {
                let facts = build_facts(host.version, host.log_end_read, pools);
                table.receive_heartbeat(from, &heartbeat, &facts, context)
            }
            PeerMessage::Goodbye => table.receive_goodbye(from, context),
            PeerMessage::SnapshotRequest => {
                let snapshot = PeerMessage::Snapshot(SnapshotPart {
                    version: host.version,
                    index: 0,
                    count: 1,
                    text: String::new(),
                });
                self.send(index, from.peer_address, &snapshot);
                Vec::new()
            }
            PeerMessage::Snapshot(snapshot) => {
                if !host.config_stuck {
                    host.version = host.version.max(snapshot.version);
                }
                table.receive_snapshot(from, snapshot.version, context)
            }
            other => unreachable!("not sent by member tables: {other:?}"),
        }
    }

    fn execute(&mut self, index: usize, effects: Vec<MemberEffect>) {
        for effect in effects {
            let text = match effect {
                MemberEffect::Send { to, message } => {
                    self.send(index, to, &message);
                    continue;
                }
                MemberEffect::FetchSnapshot { from } => {
                    self.send(index, from, &PeerMessage::SnapshotRequest);
                    format!("asks port {} for a snapshot", from.port())
                }
                MemberEffect::OwnerChanged { pool, owner } => {
                    let owner = owner.map_or("nobody".into(), |owner| owner.name);
                    format!("follows {owner} for {pool}")
                }
                MemberEffect::OwnershipGained { pool } => format!("gains {pool}"),
                MemberEffect::OwnershipLost { pool } => format!("loses {pool}"),
                MemberEffect::HostGone { incarnation } => format!("drops {incarnation}"),
                MemberEffect::Synced => "is synced".to_owned(),
            };
            let name = &self.hosts[index].brief.name;
            let time = self.now.as_secs_f64();
            writeln!(self.trace, "{time:7.3} {name} {text}").unwrap();
        }
    }

    fn send(&mut self, index: usize, to: SocketAddr, message: &PeerMessage) {
        let from = self.hosts[index].brief.clone();
        let partition = self.hosts[index].partition;
        let reaches =
            |host: &SimulatedHost| host.brief.peer_address == to && host.partition == partition;
        if !self.hosts.iter().any(reaches) {
            return;
        }
        for delay in (self.next_delays)() {
            self.sent_count += 1;
            let packet = (to, from.clone(), message.clone());
            self.in_transit
                .insert((self.now + delay, self.sent_count), packet);
        }
    }

    pub fn context(&self, index: usize) -> Context {
        Context {
            brief: self.hosts[index].brief.clone(),
            now: self.instant(),
            unix_time: self.now,
            random: SmallRng::seed_from_u64(1),
        }
    }

    pub fn owners(&self, pool: &str) -> Vec<Incarnation> {
        let owns = |host: &&SimulatedHost| {
            let table = host.table.as_ref();
            table.is_some_and(|table| table.owns(pool, host.version, self.instant()))
        };
        let owners = self.hosts.iter().filter(owns);
        owners.map(|host| host.brief.incarnation).collect()
    }

    pub fn all_owned(&self) -> bool {
        self.pools.iter().all(|pool| !self.owners(pool).is_empty())
    }

    /// Checks that no pool has two owners, and that no owner uses a configuration older than one
    /// that was confirmed more than a lease ago. Paused hosts are included.
    fn check_invariants(&mut self) {
        for pool in &self.pools {
            let owners = self.owners(pool);
            let (now, trace) = (self.now, &self.trace);
            assert!(
                owners.len() < 2,
                "{pool} has owners {owners:?} at {now:?}\n{trace}"
            );
        }
        let now = self.instant();
        for host in &self.hosts {
            let newest = self.confirmed.last().map_or(0, |(version, _)| *version);
            let Some(table) = &host.table else { continue };
            for version in newest + 1..=self.log_version {
                if table.confirmations(version, now).majority {
                    self.confirmed.push((version, self.now));
                }
            }
        }
        let due = |(_, at): &&(ConfigVersion, Duration)| *at + LEASE < self.now;
        let required = self.confirmed.iter().rfind(due).map_or(0, |due| due.0);
        for host in self.hosts.iter().filter(|host| host.version < required) {
            let Some(table) = &host.table else { continue };
            for pool in &self.pools {
                assert!(
                    !table.owns(pool, host.version, now),
                    "{} owns {pool} at version {} though {required} is confirmed\n{}",
                    host.brief.name,
                    host.version,
                    self.trace
                );
            }
        }
    }
}

pub fn build_facts(
    version: ConfigVersion,
    log_end_read: bool,
    pools: &[PoolName],
) -> LocalFacts<'_> {
    LocalFacts {
        config_version: version,
        log_age: Duration::ZERO,
        log_end_read,
        brakes: Vec::new(),
        suspects: Vec::new(),
        pools,
    }
}
