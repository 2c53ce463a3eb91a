//! The table of hosts.

use std::time::{Duration, Instant};

use super::hubs::MemberReport;
use super::peer_message::PeerHeartbeat;
use super::relay_plan::{MAX_CELL_HOSTS, RelayCandidate, RelayPlan};
use crate::ids::{FastMap, HostAddress, ZoneName};

/// A host that is silent for longer is not named to callers: eight missed beats. Callers must
/// not be sent to a host that has been gone for some seconds.
const SILENCE_LIMIT: Duration = Duration::from_secs(2);
/// A host that is silent for longer may be cut off: its share of limits is left to it. Nearly
/// three missed beats; a shorter time would count a single lost datagram.
const CUT_SUSPICION: Duration = Duration::from_millis(700);
/// A host that was never heard is called for as long; it may just be starting.
const UNHEARD_LIMIT: Duration = Duration::from_secs(30);
/// After this silence a host counts as gone for good, if most hosts can be heard.
const GONE_AFTER: Duration = Duration::from_secs(15);
/// A hub that was mute for longer may be relied on again.
const MUTE_PAUSE: Duration = Duration::from_secs(10);
/// When one in so many hosts of a cell was heard, those that were not are silent themselves.
const FRESH_PART: usize = 10;
/// The same in a small cell: a few datagrams that came past the hubs say nothing yet.
const LEAST_FRESH: usize = 3;
/// Hosts that are called beside the hubs while none is followed: enough to find one, and bounded
/// whatever the size of the fleet.
const MOST_CALLED: usize = 4;

#[derive(Debug)]
struct MemberEntry {
    /// What was told last; of a host that was never heard only the address is known.
    line: MemberReport,
    heard: Option<Instant>,
    /// When its last own datagram came; hubs tell of it more often.
    heard_itself: Option<Instant>,
    /// Since when this host relies on it as a hub.
    relied_since: Option<Instant>,
    /// When this host called it to find a hub; `None` once it answered.
    called: Option<Instant>,
    introduced: Instant,
}

/// What a beat changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// Older than the last one; nothing of it counts.
    Stale,
    /// The sender was not heard before, or was silent.
    Appeared,
    Known,
}

/// Hosts as this host sees them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberView {
    /// Hosts that may be serving callers, this one among them.
    pub counted: Vec<HostAddress>,
    /// How many of them are silent.
    pub silent: usize,
}

#[derive(Debug)]
pub struct MemberTable {
    own: HostAddress,
    members: FastMap<HostAddress, MemberEntry>,
    /// Where the next calls of hosts begin that may know a hub.
    next_called: usize,
}

impl MemberTable {
    #[must_use]
    pub fn new(own: HostAddress) -> Self {
        Self {
            own,
            members: FastMap::default(),
            next_called: 0,
        }
    }

    /// Adds a host that is known by its address only.
    pub fn add_host(&mut self, host: HostAddress, now: Instant) {
        self.add_registered_host(host, ZoneName::default(), 0, now);
    }

    /// Adds a host that has registered itself with its zone and size, in thousandths of a core.
    pub fn add_registered_host(
        &mut self,
        host: HostAddress,
        zone: ZoneName,
        cpu_permille: u32,
        now: Instant,
    ) {
        if host == self.own {
            return;
        }
        let member = self.members.entry(host).or_insert_with(|| MemberEntry {
            line: MemberReport {
                host,
                zone: ZoneName::default(),
                incarnation: 0,
                sequence: 0,
                ready: false,
                leaving: false,
                cpu_permille: 0,
            },
            heard: None,
            heard_itself: None,
            relied_since: None,
            called: None,
            introduced: now,
        });
        if member.heard.is_none() && !zone.is_empty() {
            member.line.zone = zone;
            member.line.cpu_permille = cpu_permille;
        }
    }

    pub fn apply_heartbeat(&mut self, beat: &PeerHeartbeat, now: Instant) -> MemberChange {
        for host in &beat.reachable {
            self.add_host(*host, now);
        }
        for line in &beat.hubs {
            self.add_registered_host(line.host, line.zone.clone(), line.cpu_permille, now);
        }
        self.record_datagram(beat.sender.host, now);
        self.apply_report(beat.sender.clone(), now)
    }

    /// A datagram of a host came.
    pub fn record_datagram(&mut self, host: HostAddress, now: Instant) {
        if let Some(member) = self.members.get_mut(&host) {
            member.heard_itself = Some(now);
            member.called = None;
        }
    }

    /// Takes what a host, or a hub that hears it, tells of it.
    pub fn apply_report(&mut self, line: MemberReport, now: Instant) -> MemberChange {
        if line.host == self.own {
            return MemberChange::Stale;
        }
        self.add_host(line.host, now);
        let Some(member) = self.members.get_mut(&line.host) else {
            return MemberChange::Stale;
        };
        let same = member.line.incarnation == line.incarnation;
        if same && line.sequence <= member.line.sequence {
            return MemberChange::Stale;
        }
        let news = if same && is_heard_within(member, CUT_SUSPICION, now) {
            MemberChange::Known
        } else {
            MemberChange::Appeared
        };
        if member.heard.is_none() {
            // It may be the very datagram that introduced it.
            member.heard_itself = Some(now);
        }
        member.line = line;
        member.heard = Some(now);
        news
    }

    /// A hub of its cell still hears these hosts.
    pub fn record_alive(&mut self, hosts: &[HostAddress], now: Instant) {
        for host in hosts {
            if let Some(member) = self.members.get_mut(host)
                && member.heard.is_some()
            {
                member.heard = Some(now);
            }
        }
    }

    /// Hosts that are heard, for a summary.
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<MemberReport> {
        let heard = self
            .members
            .values()
            .filter(|member| is_heard_within(member, CUT_SUSPICION, now));
        heard.map(|member| member.line.clone()).collect()
    }

    /// Works out whom this host tells what, and notes on which hubs it relies.
    ///
    /// `own_cpu_permille`: size of this host.
    pub fn plan(&mut self, own_zone: &ZoneName, own_cpu_permille: u32, now: Instant) -> RelayPlan {
        let recent = || {
            self.members
                .iter()
                .filter(|(_, member)| !member.line.leaving && is_recent(member, now))
        };
        let divided = recent().count() >= MAX_CELL_HOSTS;
        let cell_of = |member: &MemberEntry| divided.then(|| member.line.zone.clone());
        let mut heard: FastMap<Option<ZoneName>, Vec<Instant>> = FastMap::default();
        for (_, member) in recent() {
            let times = heard.entry(cell_of(member)).or_default();
            times.push(heard_or_named(member));
        }
        let fresh_since: FastMap<_, _> = heard
            .into_iter()
            .map(|(cell, times)| (cell, fresh_since(times)))
            .collect();
        let mut known: Vec<RelayCandidate> = recent()
            .map(|(host, member)| {
                let since = fresh_since.get(&cell_of(member)).copied().flatten();
                RelayCandidate {
                    host: *host,
                    zone: member.line.zone.clone(),
                    cpu_permille: member.line.cpu_permille,
                    eligible: !is_silent_beside(member, since) && !is_mute_hub(member, now),
                }
            })
            .collect();
        known.push(RelayCandidate {
            host: self.own,
            zone: own_zone.clone(),
            cpu_permille: own_cpu_permille,
            eligible: true,
        });
        let plan = RelayPlan::new(self.own, own_zone, &known);
        let is_hub = plan.hubs.contains(&self.own);
        for (host, member) in &mut self.members {
            let relied = plan.hubs.contains(host) || is_hub && plan.other_hubs.contains(host);
            if relied {
                member.relied_since.get_or_insert(now);
            } else if hub_silence(member, now) > MUTE_PAUSE {
                member.relied_since = None;
                member.called = None;
            } else if !is_mute_hub(member, now) {
                member.relied_since = None;
            }
        }
        plan
    }

    /// Hosts to which beats go while all tell each other directly: few by definition.
    #[must_use]
    pub fn targets(&self, now: Instant) -> Vec<HostAddress> {
        self.cell_members(None, now)
    }

    /// Hosts of a cell that get a hub's summaries, those included that have not been heard yet.
    #[must_use]
    pub fn cell_members(&self, cell: Option<&ZoneName>, now: Instant) -> Vec<HostAddress> {
        let wanted = self.members.iter().filter(|(_, member)| {
            is_recent(member, now) && cell.is_none_or(|cell| *cell == member.line.zone)
        });
        wanted.map(|(host, _)| *host).collect()
    }

    /// Hosts to which this host's next beat goes. `follows`: it hears a hub.
    pub fn heartbeat_targets(
        &mut self,
        plan: &RelayPlan,
        follows: bool,
        now: Instant,
    ) -> Vec<HostAddress> {
        if !plan.is_relayed() {
            return self.targets(now);
        }
        let mut targets = plan.hubs.clone();
        if !follows && !plan.hubs.contains(&self.own) {
            targets.extend(self.next_called(plan.cell.as_ref(), now));
            targets.sort_unstable();
            targets.dedup();
        }
        targets.retain(|host| *host != self.own);
        targets
    }

    /// A few hosts that may know a hub: those of the own cell that were not called yet, then others.
    fn next_called(&mut self, cell: Option<&ZoneName>, now: Instant) -> Vec<HostAddress> {
        let mut near = self.cell_members(cell, now);
        near.retain(|host| self.members[host].called.is_none());
        near.sort_unstable();
        near.truncate(MOST_CALLED);
        for host in &near {
            if let Some(member) = self.members.get_mut(host) {
                member.called = Some(now);
            }
        }
        if !near.is_empty() {
            return near;
        }
        let mut known = self.targets(now);
        known.sort_unstable();
        let count = known.len();
        let start = self.next_called;
        self.next_called = start.wrapping_add(MOST_CALLED);
        let called = (0..count.min(MOST_CALLED)).map(|step| known[(start + step) % count]);
        called.collect()
    }

    /// What is known of these hosts, to add_host them to another.
    #[must_use]
    pub fn reports_of(&self, hosts: &[HostAddress]) -> Vec<MemberReport> {
        let known = hosts.iter().filter_map(|host| self.members.get(host));
        known.map(|member| member.line.clone()).collect()
    }

    #[must_use]
    pub fn zone_of(&self, host: HostAddress) -> Option<&ZoneName> {
        self.members.get(&host).map(|member| &member.line.zone)
    }

    /// Hosts that answer callers, with their zones; this one is not among them.
    #[must_use]
    pub fn serving(&self, now: Instant) -> Vec<(HostAddress, ZoneName)> {
        let serving = self.members.iter().filter(|(_, member)| {
            member.line.ready && !member.line.leaving && is_reachable(member, now)
        });
        serving
            .map(|(host, member)| (*host, member.line.zone.clone()))
            .collect()
    }

    /// A few hosts that are heard, for the beat.
    #[must_use]
    pub fn reachable(&self, most: usize, now: Instant) -> Vec<HostAddress> {
        let reachable = self
            .members
            .iter()
            .filter(|(_, member)| is_reachable(member, now));
        reachable.map(|(host, _)| *host).take(most).collect()
    }

    /// Whether this host is one of the `count` hosts that do a shared duty. Every host that is heard
    /// takes part in the ranking, so a silent one is replaced as soon as its silence is noticed.
    #[must_use]
    pub fn is_elected(&self, count: usize, now: Instant) -> bool {
        let before = self.members.iter().filter(|(host, member)| {
            **host < self.own && !member.line.leaving && is_heard_within(member, CUT_SUSPICION, now)
        });
        before.count() < count
    }

    /// Hosts over which limits are shared.
    ///
    /// A host that falls silent may be cut off and still serving, so it counts on. It stops to
    /// count only where this host is plainly on the greater side of any cut: it hears more than
    /// half of the others and reaches the store.
    #[must_use]
    pub fn view(&self, store_reached: bool, now: Instant) -> MemberView {
        let candidates: Vec<_> = self
            .members
            .iter()
            .filter(|(_, member)| member.heard.is_some() && !member.line.leaving)
            .collect();
        let reachable = candidates
            .iter()
            .filter(|(_, member)| is_reachable(member, now))
            .count();
        let greater_side = store_reached && reachable * 2 > candidates.len();
        let mut counted = vec![self.own];
        let mut silent = 0;
        for (host, member) in candidates {
            let gone = member
                .heard
                .is_none_or(|heard| now.duration_since(heard) > GONE_AFTER);
            if gone && greater_side {
                continue;
            }
            counted.push(*host);
            silent += usize::from(!is_heard_within(member, CUT_SUSPICION, now));
        }
        counted.sort_unstable();
        MemberView { counted, silent }
    }
}

/// Whether a host was heard, or named, within the time in which it may still be starting.
fn is_recent(member: &MemberEntry, now: Instant) -> bool {
    now.duration_since(heard_or_named(member)) <= UNHEARD_LIMIT
}

/// Since when many of the hosts of a cell have been heard, so that one that wasn't is silent itself.
fn fresh_since(mut heard: Vec<Instant>) -> Option<Instant> {
    if heard.is_empty() {
        return None;
    }
    let many = (heard.len() / FRESH_PART)
        .max(LEAST_FRESH)
        .min(heard.len() - 1);
    let (_, since, _) = heard.select_nth_unstable_by(many, |a, b| b.cmp(a));
    Some(*since)
}

/// Whether many others of its cell were heard later, by a time in which it would have been heard too. When a
/// hub falls silent all its hosts do, and all stay eligible.
fn is_silent_beside(member: &MemberEntry, fresh_since: Option<Instant>) -> bool {
    let heard = heard_or_named(member);
    fresh_since.is_some_and(|since| since.saturating_duration_since(heard) > CUT_SUSPICION)
}

/// Whether this host relies on it and hears nothing of it.
fn is_mute_hub(member: &MemberEntry, now: Instant) -> bool {
    hub_silence(member, now) > CUT_SUSPICION
}

/// For how long this host has relied on it and heard nothing of it.
fn hub_silence(member: &MemberEntry, now: Instant) -> Duration {
    let relied = member.relied_since.map(|since| {
        let last = member.heard_itself.map_or(since, |heard| heard.max(since));
        now.saturating_duration_since(last)
    });
    let called = member
        .called
        .map(|called| now.saturating_duration_since(called));
    relied.max(called).unwrap_or_default()
}

fn heard_or_named(member: &MemberEntry) -> Instant {
    member.heard.unwrap_or(member.introduced)
}

fn is_reachable(member: &MemberEntry, now: Instant) -> bool {
    is_heard_within(member, SILENCE_LIMIT, now)
}

fn is_heard_within(member: &MemberEntry, limit: Duration, now: Instant) -> bool {
    member
        .heard
        .is_some_and(|heard| now.duration_since(heard) <= limit)
}
