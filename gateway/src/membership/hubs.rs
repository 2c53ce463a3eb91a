//! What hubs collect of the hosts of their cell and of other cells, and what they tell of it.
//!
//! Any host can be a hub; `relay_plan.rs` says which are. Both hubs of a cell know everything, so
//! the loss of one is bridged at once, and a third host takes its place as soon as its silence is
//! noticed.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::feed_positions::FeedPosition;
use super::feed_updates::FeedUpdate;
use super::hub_choice::{HUB_SILENCE, HubChoice, SummaryOutcome};
use super::peer_message::PeerHeartbeat;
use crate::ids::{FastMap, HostAddress, Incarnation, NameHash, ZoneName};
use crate::limits::{RelayedUsage, UsageCount, UsageReport};
use crate::rollouts::{RolloutReport, merge_reports};
use crate::scheduler::{EndpointReport, PaceReport};

/// Hosts up to which each tells all others directly: 12 hosts send 130 datagrams for one change
/// each, which a host of an eighth of a core bears.
pub const MAX_DIRECT_HOSTS: usize = 12;
/// Hubs at a time.
pub const HUBS_PER_CELL: usize = 2;

/// What is told of one host: by itself in its beats, by hubs in their summaries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    pub host: HostAddress,
    pub zone: ZoneName,
    pub incarnation: Incarnation,
    pub sequence: u64,
    /// Answers callers.
    pub ready: bool,
    /// Is about to stop.
    pub leaving: bool,
    /// Size of the host, in thousandths of a core.
    pub cpu_permille: u32,
}

/// What a hub tells one host of all the others.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HubSummary {
    pub hub: HostAddress,
    pub incarnation: Incarnation,
    pub sequence: u64,
    /// Load of all hosts but the receiver.
    pub loads: Vec<EndpointReport>,
    /// The zone whose endpoints `loads` are about; `None` for all endpoints.
    pub loads_zone: Option<ZoneName>,
    /// Usage of all hosts but the receiver, since the hub began to count.
    pub usage: Vec<UsageReport>,
    /// Rollouts as all hosts but the receiver see them.
    pub rollouts: Vec<RolloutReport>,
    pub positions: Vec<FeedPosition>,
    /// Hosts that the hub hears; left out of most summaries. Of other cells only what changed, and
    /// a part in turn.
    pub members: Vec<MemberReport>,
    /// All hosts that the hub, or one of another cell, hears; left out of most summaries.
    pub alive: Vec<HostAddress>,
    /// What the hub knows of endpoints' pace; left out of most summaries.
    pub paces: Vec<PaceReport>,
    /// What was read from the store since the hub's last summaries.
    pub updates: Vec<FeedUpdate>,
}

/// What a hub tells the hubs of other cells of its own cell.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CellSummary {
    pub cell: ZoneName,
    pub hub: HostAddress,
    pub incarnation: Incarnation,
    pub sequence: u64,
    pub loads: Vec<EndpointReport>,
    pub usage: Vec<UsageReport>,
    pub rollouts: Vec<RolloutReport>,
    pub positions: Vec<FeedPosition>,
    /// Hosts of the cell; left out of most digests.
    pub members: Vec<MemberReport>,
    pub paces: Vec<PaceReport>,
    /// What the hub itself has read from the store.
    pub updates: Vec<FeedUpdate>,
}

/// What one host told last, and what it has used since the hub heard of it.
#[derive(Debug)]
struct HostTally {
    incarnation: Incarnation,
    zone: ZoneName,
    loads: Vec<EndpointReport>,
    rollouts: Vec<RolloutReport>,
    last: FastMap<NameHash, UsageCount>,
    used: FastMap<NameHash, UsageCount>,
    follows: Option<HostAddress>,
    heard: Instant,
}

/// What the hubs of another cell told.
#[derive(Debug, Default)]
struct CellTally {
    choice: HubChoice,
    loads: Vec<EndpointReport>,
    rollouts: Vec<RolloutReport>,
    relayed: RelayedUsage,
    used: FastMap<NameHash, UsageCount>,
}

/// Sums over many hosts.
#[derive(Debug)]
pub struct HubSums {
    pub loads: Vec<EndpointReport>,
    pub usage: Vec<UsageReport>,
    pub rollouts: Vec<RolloutReport>,
}

/// Sums over hosts at one moment, out of which those without one host are taken.
#[derive(Debug)]
pub struct HubTotals {
    loads: FastMap<NameHash, EndpointReport>,
    usage: FastMap<NameHash, UsageCount>,
    /// Of other cells; those of the own one are summed for each receiver.
    other_rollouts: Vec<RolloutReport>,
    now: Instant,
}

impl HubTotals {
    fn add_load(&mut self, report: &EndpointReport) {
        let sum = self.loads.entry(report.endpoint).or_insert(EndpointReport {
            endpoint: report.endpoint,
            active: 0,
            pending_prefill_tokens: 0,
        });
        sum.active = sum.active.saturating_add(report.active);
        sum.pending_prefill_tokens = sum
            .pending_prefill_tokens
            .saturating_add(report.pending_prefill_tokens);
    }

    fn add_usage(&mut self, used: &FastMap<NameHash, UsageCount>) {
        for (workspace, count) in used {
            let sum = self.usage.entry(*workspace).or_default();
            *sum = sum.plus(*count);
        }
    }
}

/// Sums of what all hosts told.
#[derive(Debug, Default)]
pub struct HubTally {
    hosts: FastMap<HostAddress, HostTally>,
    cells: FastMap<ZoneName, CellTally>,
}

impl HubTally {
    pub fn apply_heartbeat(&mut self, beat: &PeerHeartbeat, now: Instant) {
        let tally = self
            .hosts
            .entry(beat.sender.host)
            .or_insert_with(|| HostTally {
                incarnation: beat.sender.incarnation,
                zone: beat.sender.zone.clone(),
                loads: Vec::new(),
                rollouts: Vec::new(),
                last: beat
                    .usage
                    .iter()
                    .map(|report| (report.workspace, report.count))
                    .collect(),
                used: FastMap::default(),
                follows: None,
                heard: now,
            });
        if tally.incarnation != beat.sender.incarnation {
            tally.incarnation = beat.sender.incarnation;
            tally.last.clear();
        } else if now.duration_since(tally.heard) > HUB_SILENCE {
            // Other hubs have told what it used meanwhile, or nobody has heard it; that comes out
            // of the share that is left to silent hosts.
            let counts = beat
                .usage
                .iter()
                .map(|report| (report.workspace, report.count));
            tally.last = counts.collect();
        }
        for report in &beat.usage {
            let last = tally.last.insert(report.workspace, report.count);
            let more = report.count.since(last.unwrap_or_default());
            let used = tally.used.entry(report.workspace).or_default();
            *used = used.plus(more);
        }
        tally.loads.clone_from(&beat.loads);
        tally.rollouts.clone_from(&beat.rollouts);
        tally.follows = beat.followed_hub;
        tally.heard = now;
    }

    /// Whether a host uses the loads that `hub` tells, or those of none yet.
    #[must_use]
    pub fn relies_on(&self, host: HostAddress, hub: HostAddress) -> bool {
        let tally = self.hosts.get(&host);
        tally.is_some_and(|tally| tally.follows.is_none_or(|followed| followed == hub))
    }

    /// Takes what a hub of another cell tells of it. Its usage counts from every hub of that cell,
    /// its loads from the one that was heard first, while it is heard. False for a digest that was
    /// overtaken.
    pub fn apply_cell_summary(&mut self, digest: &CellSummary, now: Instant) -> bool {
        let cell = self.cells.entry(digest.cell.clone()).or_default();
        let news =
            cell.choice
                .record_summary(digest.hub, digest.incarnation, digest.sequence, false, now);
        if news == SummaryOutcome::Stale {
            return false;
        }
        let usage = cell
            .relayed
            .apply_sums(digest.hub, digest.incarnation, &digest.usage, now);
        for (workspace, more) in usage {
            let used = cell.used.entry(workspace).or_default();
            *used = used.plus(more);
        }
        if news != SummaryOutcome::NotFollowed {
            cell.loads.clone_from(&digest.loads);
            cell.rollouts.clone_from(&digest.rollouts);
        }
        true
    }

    /// Adds the other cells to the totals of the own one; loads of silent ones are left out.
    pub fn add_cells(&self, totals: &mut HubTotals, cell: Option<&ZoneName>) {
        for (zone, tally) in &self.cells {
            if cell.is_none_or(|own| own == zone) {
                continue;
            }
            totals.add_usage(&tally.used);
            if tally.choice.is_following(totals.now) {
                tally.loads.iter().for_each(|load| totals.add_load(load));
                totals.other_rollouts.extend(&tally.rollouts);
            }
        }
    }

    /// Sums over the hosts of the own cell alone; loads of silent ones are left out. In a fleet of one
    /// cell, `cell` is `None`.
    #[must_use]
    pub fn cell_totals(&self, cell: Option<&ZoneName>, now: Instant) -> HubTotals {
        let mut totals = HubTotals {
            loads: FastMap::default(),
            usage: FastMap::default(),
            other_rollouts: Vec::new(),
            now,
        };
        for tally in self.cell_hosts(cell) {
            totals.add_usage(&tally.used);
            if now.saturating_duration_since(tally.heard) <= HUB_SILENCE {
                tally.loads.iter().for_each(|load| totals.add_load(load));
            }
        }
        totals
    }

    fn cell_hosts<'a>(
        &'a self,
        cell: Option<&'a ZoneName>,
    ) -> impl Iterator<Item = &'a HostTally> + 'a {
        let hosts = self.hosts.values();
        hosts.filter(move |tally| cell.is_none_or(|cell| *cell == tally.zone))
    }

    /// Takes one host's own part out of the totals.
    #[must_use]
    pub fn sums_without(
        &self,
        totals: &HubTotals,
        cell: Option<&ZoneName>,
        receiver: Option<HostAddress>,
    ) -> HubSums {
        let own = receiver.and_then(|receiver| self.hosts.get(&receiver));
        let own = own.filter(|own| cell.is_none_or(|cell| *cell == own.zone));
        let heard =
            own.filter(|own| totals.now.saturating_duration_since(own.heard) <= HUB_SILENCE);
        let own_loads = heard.map_or(&[][..], |own| &own.loads);
        let loads = totals.loads.values().filter_map(|sum| {
            let own = own_loads.iter().find(|load| load.endpoint == sum.endpoint);
            let (active, unread) =
                own.map_or((0, 0), |own| (own.active, own.pending_prefill_tokens));
            let left = EndpointReport {
                endpoint: sum.endpoint,
                active: sum.active.saturating_sub(active),
                pending_prefill_tokens: sum.pending_prefill_tokens.saturating_sub(unread),
            };
            (left.active > 0 || left.pending_prefill_tokens > 0).then_some(left)
        });
        let usage = totals.usage.iter().map(|(workspace, sum)| {
            let own = own.and_then(|own| own.used.get(workspace));
            UsageReport {
                workspace: *workspace,
                count: sum.since(own.copied().unwrap_or_default()),
            }
        });
        let others = self
            .cell_hosts(cell)
            .filter(|tally| own.is_none_or(|own| !std::ptr::eq::<HostTally>(own, *tally)));
        let lines = others.flat_map(|tally| &tally.rollouts);
        HubSums {
            loads: loads.collect(),
            usage: usage.collect(),
            rollouts: merge_reports(lines.chain(&totals.other_rollouts)),
        }
    }
}
