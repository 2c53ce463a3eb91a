//! The table of the fleet's hosts.

use std::time::{Duration, Instant};

use super::hubs::{MemberReport, MemberStage};
use super::peer_datagram::PeerFormat;
use super::peer_message::PeerHeartbeat;
use super::relay_plan::{MAX_CELL_HOSTS, RelayCandidate, RelayPlan};
use crate::ids::{FastMap, HostAddress, Incarnation, ZoneName};

/// Time without a report after which a host is no longer listed to callers: eight missed
/// heartbeats. Callers must not connect to a host that has been gone for several seconds.
const SERVING_TIMEOUT: Duration = Duration::from_secs(2);
/// Time without a report after which a host may be cut off and still serving, so that its share of
/// limits is left to it. Nearly three missed heartbeats: with a shorter time, one lost datagram
/// would be enough.
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(700);
/// Time for which a host that was never heard is contacted; it may still be starting.
const STARTUP_TIMEOUT: Duration = Duration::from_secs(30);
/// Time without a report after which a host counts as gone for good, if this host can reach most
/// other hosts.
const GONE_TIMEOUT: Duration = Duration::from_secs(15);
/// Time after which a hub that did not respond may be used again.
const UNRESPONSIVE_HUB_BACKOFF: Duration = Duration::from_secs(10);
/// Once one in this many hosts of a cell was heard, the hosts that were not are silent themselves.
const HEARD_PART: usize = 10;
/// Minimum number of such hosts in a small cell: a few datagrams that bypassed the hubs prove
/// nothing.
const MIN_HEARD_HOSTS: usize = 3;
/// Maximum number of hosts that are probed besides the hubs while no hub is followed. They are
/// enough to find a hub, and the number doesn't depend on the size of the fleet.
const MAX_PROBED_HOSTS: usize = 4;

#[derive(Debug)]
struct MemberEntry {
    /// The last report. Of a host that was never heard only the address is known, and the zone and
    /// size if it has registered.
    report: MemberReport,
    /// When the member was last heard, directly or through a hub.
    last_heard: Option<Instant>,
    /// When the last datagram of the member itself arrived. Reports of hubs arrive more often.
    last_datagram: Option<Instant>,
    /// When this host began to use the member as a hub.
    hub_since: Option<Instant>,
    /// When this host probed the member to find a hub; `None` after an answer.
    probed_at: Option<Instant>,
    added_at: Instant,
    /// Version of the configuration that the last datagram of the member has named.
    config_version: u64,
}

/// What a report changes in the table.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MemberChange {
    /// The report is not newer than the last one and is discarded.
    Stale,
    /// The host was not heard before, has restarted, or was silent.
    Appeared,
    /// The host was heard recently.
    Known,
}

/// The fleet as this host sees it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MemberView {
    /// Hosts that may be serving callers, including this one.
    pub counted: Vec<HostAddress>,
    /// How many of them are silent.
    pub silent: usize,
}

/// The other hosts of the fleet, and when they were heard.
#[derive(Debug)]
pub struct MemberTable {
    own: HostAddress,
    members: FastMap<HostAddress, MemberEntry>,
    /// The format in which each host last sent.
    formats: FastMap<HostAddress, PeerFormat>,
    /// Position in the sorted list of hosts at which the next probes for a hub begin.
    next_probed: usize,
}

impl MemberTable {
    #[must_use]
    pub fn new(own: HostAddress) -> Self {
        Self {
            own,
            members: FastMap::default(),
            formats: FastMap::default(),
            next_probed: 0,
        }
    }

    /// Adds a host of which only the address is known.
    pub fn add_host(&mut self, host: HostAddress, now: Instant) {
        self.add_registered_host(host, ZoneName::default(), 0, now);
    }

    /// Adds a host that has registered with its zone and its size in thousandths of a core.
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
            report: MemberReport {
                host,
                zone: ZoneName::default(),
                incarnation: 0,
                sequence: 0,
                stage: MemberStage::Starting,
                cpu_permille: 0,
            },
            last_heard: None,
            last_datagram: None,
            hub_since: None,
            probed_at: None,
            added_at: now,
            config_version: 0,
        });
        if member.last_heard.is_none() && !zone.is_empty() {
            member.report.zone = zone;
            member.report.cpu_permille = cpu_permille;
        }
    }

    /// Applies a heartbeat of another host, and adds the hosts that it lists.
    pub fn apply_heartbeat(&mut self, heartbeat: &PeerHeartbeat, now: Instant) -> MemberChange {
        for host in &heartbeat.reachable {
            self.add_host(*host, now);
        }
        for hub in &heartbeat.hubs {
            self.add_registered_host(hub.host, hub.zone.clone(), hub.cpu_permille, now);
        }
        self.record_datagram(heartbeat.sender.host, now);
        let change = self.apply_report(heartbeat.sender.clone(), now);
        if change != MemberChange::Stale {
            self.record_configuration(heartbeat.sender.host, heartbeat.config_version);
        }
        change
    }

    /// Records that a datagram of a host arrived.
    pub fn record_datagram(&mut self, host: HostAddress, now: Instant) {
        if let Some(member) = self.members.get_mut(&host) {
            member.last_datagram = Some(now);
            member.probed_at = None;
        }
    }

    /// Records the format in which a host sends. Returns whether it is another one than before.
    pub fn record_format(&mut self, host: HostAddress, format: PeerFormat) -> bool {
        self.formats.insert(host, format) != Some(format)
    }

    /// Returns the format in which a host sends, if that is known.
    #[must_use]
    pub fn format_of(&self, host: HostAddress) -> Option<PeerFormat> {
        self.formats.get(&host).copied()
    }

    /// Records the version of the configuration that a host has in force.
    pub fn record_configuration(&mut self, host: HostAddress, version: u64) {
        if let Some(member) = self.members.get_mut(&host) {
            member.config_version = version;
        }
    }

    /// Applies the report of a host that the host itself or a hub sent.
    pub fn apply_report(&mut self, report: MemberReport, now: Instant) -> MemberChange {
        if report.host == self.own {
            return MemberChange::Stale;
        }
        self.add_host(report.host, now);
        let Some(member) = self.members.get_mut(&report.host) else {
            return MemberChange::Stale;
        };
        let is_same_run = member.report.incarnation == report.incarnation;
        if is_same_run && report.sequence <= member.report.sequence {
            return MemberChange::Stale;
        }
        let change = if is_same_run && is_heard_within(member, SUSPICION_TIMEOUT, now) {
            MemberChange::Known
        } else {
            MemberChange::Appeared
        };
        if member.last_heard.is_none() {
            // `record_datagram` skips a host that is not in the table yet, and this may be the
            // first datagram of the host itself.
            member.last_datagram = Some(now);
        }
        member.report = report;
        member.last_heard = Some(now);
        change
    }

    /// Records that a hub of their cell can still reach these hosts.
    pub fn record_alive(&mut self, hosts: &[HostAddress], now: Instant) {
        for host in hosts {
            if let Some(member) = self.members.get_mut(host)
                && member.last_heard.is_some()
            {
                member.last_heard = Some(now);
            }
        }
    }

    /// Returns the reports of all hosts that are not silent, for a summary.
    #[must_use]
    pub fn reports(&self, now: Instant) -> Vec<MemberReport> {
        let heard = self
            .members
            .values()
            .filter(|member| is_heard_within(member, SUSPICION_TIMEOUT, now));
        heard.map(|member| member.report.clone()).collect()
    }

    /// Computes the hosts with which this host communicates, and records which hubs it uses.
    ///
    /// `own_cpu_permille`: the size of this host in thousandths of a core.
    pub fn plan(&mut self, own_zone: &ZoneName, own_cpu_permille: u32, now: Instant) -> RelayPlan {
        let recent = || {
            self.members.iter().filter(|(_, member)| {
                member.report.stage != MemberStage::Leaving && is_recent(member, now)
            })
        };
        let has_cells = recent().count() >= MAX_CELL_HOSTS;
        let cell_of = |member: &MemberEntry| has_cells.then(|| member.report.zone.clone());
        let mut last_heard: FastMap<Option<ZoneName>, Vec<Instant>> = FastMap::default();
        for (_, member) in recent() {
            let times = last_heard.entry(cell_of(member)).or_default();
            times.push(last_heard_or_added(member));
        }
        let many_heard_since: FastMap<_, _> = last_heard
            .into_iter()
            .map(|(cell, times)| (cell, many_heard_since(times)))
            .collect();
        let mut known: Vec<RelayCandidate> = recent()
            .map(|(host, member)| {
                let since = many_heard_since.get(&cell_of(member)).copied().flatten();
                RelayCandidate {
                    host: *host,
                    zone: member.report.zone.clone(),
                    cpu_permille: member.report.cpu_permille,
                    eligible: !is_silent_alone(member, since) && !is_unresponsive_hub(member, now),
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
            let is_relied_on = plan.hubs.contains(host) || is_hub && plan.other_hubs.contains(host);
            if is_relied_on {
                member.hub_since.get_or_insert(now);
            } else if hub_silence(member, now) > UNRESPONSIVE_HUB_BACKOFF {
                member.hub_since = None;
                member.probed_at = None;
            } else if !is_unresponsive_hub(member, now) {
                member.hub_since = None;
            }
        }
        plan
    }

    /// Returns the targets of heartbeats in a fleet without hubs, which is small by definition.
    #[must_use]
    pub fn direct_targets(&self, now: Instant) -> Vec<HostAddress> {
        self.cell_members(None, now)
    }

    /// Returns the hosts of a cell that receive a hub's summaries, including those that have not
    /// been heard yet.
    #[must_use]
    pub fn cell_members(&self, cell: Option<&ZoneName>, now: Instant) -> Vec<HostAddress> {
        let wanted = self.members.iter().filter(|(_, member)| {
            is_recent(member, now) && cell.is_none_or(|cell| *cell == member.report.zone)
        });
        wanted.map(|(host, _)| *host).collect()
    }

    /// Returns the targets of this host's next heartbeat.
    ///
    /// `follows_hub`: whether this host follows a hub.
    pub fn heartbeat_targets(
        &mut self,
        plan: &RelayPlan,
        follows_hub: bool,
        now: Instant,
    ) -> Vec<HostAddress> {
        if !plan.is_relayed() {
            return self.direct_targets(now);
        }
        let mut targets = plan.hubs.clone();
        if !follows_hub && !plan.hubs.contains(&self.own) {
            targets.extend(self.next_probe_targets(plan.cell.as_ref(), now));
            targets.sort_unstable();
            targets.dedup();
        }
        targets.retain(|host| *host != self.own);
        targets
    }

    /// Returns a few hosts that may know a hub: first those of the own cell that were not probed
    /// yet, then all in turn.
    fn next_probe_targets(&mut self, cell: Option<&ZoneName>, now: Instant) -> Vec<HostAddress> {
        let mut unprobed = self.cell_members(cell, now);
        unprobed.retain(|host| self.members[host].probed_at.is_none());
        unprobed.sort_unstable();
        unprobed.truncate(MAX_PROBED_HOSTS);
        for host in &unprobed {
            if let Some(member) = self.members.get_mut(host) {
                member.probed_at = Some(now);
            }
        }
        if !unprobed.is_empty() {
            return unprobed;
        }
        let mut known = self.direct_targets(now);
        known.sort_unstable();
        let count = known.len();
        let start = self.next_probed;
        self.next_probed = start.wrapping_add(MAX_PROBED_HOSTS);
        let probed = (0..count.min(MAX_PROBED_HOSTS)).map(|step| known[(start + step) % count]);
        probed.collect()
    }

    /// Returns the last reports of these hosts, to introduce them to another host.
    #[must_use]
    pub fn reports_of(&self, hosts: &[HostAddress]) -> Vec<MemberReport> {
        let known = hosts.iter().filter_map(|host| self.members.get(host));
        known.map(|member| member.report.clone()).collect()
    }

    /// Returns whether a host has ever been heard.
    #[must_use]
    pub fn is_heard(&self, host: HostAddress) -> bool {
        let member = self.members.get(&host);
        member.is_some_and(|member| member.last_heard.is_some())
    }

    /// Returns the incarnation of a host that has been heard.
    #[must_use]
    pub fn incarnation_of(&self, host: HostAddress) -> Option<Incarnation> {
        let member = self.members.get(&host)?;
        member.last_heard.map(|_| member.report.incarnation)
    }

    #[must_use]
    pub fn zone_of(&self, host: HostAddress) -> Option<&ZoneName> {
        self.members.get(&host).map(|member| &member.report.zone)
    }

    /// Returns the other hosts that serve callers, with their zones.
    #[must_use]
    pub fn serving(&self, now: Instant) -> Vec<(HostAddress, ZoneName)> {
        let serving = self.members.iter().filter(|(_, member)| {
            matches!(
                member.report.stage,
                MemberStage::Serving | MemberStage::Isolated
            ) && is_reachable(member, now)
        });
        serving
            .map(|(host, member)| (*host, member.report.zone.clone()))
            .collect()
    }

    /// Returns a reachable host that has the newest configuration, and its version.
    #[must_use]
    pub fn newest_configuration(&self, now: Instant) -> Option<(HostAddress, u64)> {
        let reachable = self
            .members
            .iter()
            .filter(|(_, member)| is_reachable(member, now));
        reachable
            .map(|(host, member)| (*host, member.config_version))
            .max_by_key(|(_, version)| *version)
    }

    /// Returns the version of the configuration that a host has in force.
    #[must_use]
    pub fn configuration_of(&self, host: HostAddress) -> Option<u64> {
        let member = self.members.get(&host);
        member.map(|member| member.config_version)
    }

    /// Returns up to `max_hosts` reachable hosts, for a heartbeat.
    #[must_use]
    pub fn reachable(&self, max_hosts: usize, now: Instant) -> Vec<HostAddress> {
        let reachable = self
            .members
            .iter()
            .filter(|(_, member)| is_reachable(member, now));
        reachable.map(|(host, _)| *host).take(max_hosts).collect()
    }

    /// Returns whether this host is one of the `count` hosts that perform a shared task. The hosts
    /// with the lowest addresses do; silent hosts don't count, so one that fails is soon replaced.
    #[must_use]
    pub fn is_elected(&self, count: usize, now: Instant) -> bool {
        self.lower_hosts(now).count() < count
    }

    /// Returns the same for tasks whose results only hosts that know eras can rely on.
    #[must_use]
    pub fn is_elected_reader(&self, count: usize, now: Instant) -> bool {
        let lower = self.lower_hosts(now);
        let lower = lower.filter(|host| self.format_of(*host) != Some(PeerFormat::Offsets));
        lower.count() < count
    }

    /// Returns the hosts with lower addresses that were heard recently and are not about to stop.
    fn lower_hosts(&self, now: Instant) -> impl Iterator<Item = HostAddress> {
        let lower = self.members.iter().filter(move |(host, member)| {
            **host < self.own
                && member.report.stage != MemberStage::Leaving
                && is_heard_within(member, SUSPICION_TIMEOUT, now)
        });
        lower.map(|(host, _)| *host)
    }

    /// Returns the hosts that were heard recently, reach endpoints and are not about to stop, and
    /// this host.
    #[must_use]
    pub fn live(&self, now: Instant) -> Vec<HostAddress> {
        let heard = self.members.iter().filter(|(_, member)| {
            let stage = member.report.stage;
            !matches!(stage, MemberStage::Isolated | MemberStage::Leaving)
                && is_reachable(member, now)
        });
        let mut live: Vec<_> = heard.map(|(host, _)| *host).chain([self.own]).collect();
        live.sort_unstable();
        live
    }

    /// Returns the hosts over which limits are shared.
    ///
    /// A host that falls silent may be cut off and still serving, so it continues to count. It is
    /// left out only if this host is clearly on the larger side of any network partition: if it can
    /// reach the store and more than half of the other hosts.
    #[must_use]
    pub fn view(&self, is_store_reachable: bool, now: Instant) -> MemberView {
        let is_on_larger_side = is_store_reachable && self.reaches_most_hosts(now);
        let mut counted = vec![self.own];
        let mut silent = 0;
        for (host, member) in self.staying_members() {
            if is_on_larger_side && !is_heard_within(member, GONE_TIMEOUT, now) {
                continue;
            }
            counted.push(*host);
            silent += usize::from(!is_heard_within(member, SUSPICION_TIMEOUT, now));
        }
        counted.sort_unstable();
        MemberView { counted, silent }
    }

    /// Returns the number of hosts over which a budget of retries within `window` is shared.
    ///
    /// Unlike in `view`, hosts that are stopping, or that stopped within the window, count: they
    /// have used their share in it. While this host may be cut off, so do hosts that it has never
    /// heard.
    #[must_use]
    pub fn budget_hosts(&self, is_store_reachable: bool, window: Duration, now: Instant) -> usize {
        let timeout = GONE_TIMEOUT.max(window);
        let is_on_larger_side = is_store_reachable && self.reaches_most_hosts(now);
        let members = self.members.values();
        let sharing =
            members.filter(|member| !is_on_larger_side || is_heard_within(member, timeout, now));
        sharing.count() + 1
    }

    /// Returns the hosts that were heard and are not about to stop.
    fn staying_members(&self) -> impl Iterator<Item = (&HostAddress, &MemberEntry)> {
        let members = self.members.iter();
        members.filter(|(_, member)| {
            member.last_heard.is_some() && member.report.stage != MemberStage::Leaving
        })
    }

    fn reaches_most_hosts(&self, now: Instant) -> bool {
        let reachable = self
            .staying_members()
            .filter(|(_, member)| is_reachable(member, now));
        reachable.count() * 2 > self.staying_members().count()
    }
}

/// Returns whether a host was heard, or added without being heard, within `STARTUP_TIMEOUT`.
fn is_recent(member: &MemberEntry, now: Instant) -> bool {
    now.duration_since(last_heard_or_added(member)) <= STARTUP_TIMEOUT
}

/// Returns the time since which so many hosts of a cell were heard that a host that was not is
/// silent itself.
fn many_heard_since(mut heard: Vec<Instant>) -> Option<Instant> {
    if heard.is_empty() {
        return None;
    }
    let many = (heard.len() / HEARD_PART)
        .max(MIN_HEARD_HOSTS)
        .min(heard.len() - 1);
    let (_, since, _) = heard.select_nth_unstable_by(many, |a, b| b.cmp(a));
    Some(*since)
}

/// Returns whether many other hosts of its cell were heard long enough after this one that it
/// should have been heard too. If a hub falls silent, all its hosts do, and all stay eligible.
fn is_silent_alone(member: &MemberEntry, many_heard_since: Option<Instant>) -> bool {
    let heard = last_heard_or_added(member);
    many_heard_since.is_some_and(|since| since.saturating_duration_since(heard) > SUSPICION_TIMEOUT)
}

/// Returns whether this host uses the member as a hub, or probed it, and receives no answer.
fn is_unresponsive_hub(member: &MemberEntry, now: Instant) -> bool {
    hub_silence(member, now) > SUSPICION_TIMEOUT
}

/// Returns the time for which this host has used or probed the member as a hub without an answer.
fn hub_silence(member: &MemberEntry, now: Instant) -> Duration {
    let relied_on = member.hub_since.map(|since| {
        let last = member.last_datagram.map_or(since, |heard| heard.max(since));
        now.saturating_duration_since(last)
    });
    let probed = member
        .probed_at
        .map(|probed_at| now.saturating_duration_since(probed_at));
    relied_on.max(probed).unwrap_or_default()
}

fn last_heard_or_added(member: &MemberEntry) -> Instant {
    member.last_heard.unwrap_or(member.added_at)
}

fn is_reachable(member: &MemberEntry, now: Instant) -> bool {
    is_heard_within(member, SERVING_TIMEOUT, now)
}

fn is_heard_within(member: &MemberEntry, limit: Duration, now: Instant) -> bool {
    member
        .last_heard
        .is_some_and(|heard| now.duration_since(heard) <= limit)
}
