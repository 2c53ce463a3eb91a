//! The state that hubs aggregate from the hosts of their cell and from other cells, and the
//! summaries that they send of it.
//!
//! Any host can be a hub; `relay_plan.rs` selects them. Both hubs of a cell hold the full state, so
//! one of them can fail without a gap. A third host takes its place as soon as the others notice
//! that it is silent.

use std::time::Instant;

use serde::{Deserialize, Serialize};

use super::feed_positions::FeedPosition;
use super::feed_updates::FeedUpdate;
use super::hub_choice::{HUB_TIMEOUT, HubChoice, SummaryOutcome};
use super::peer_message::PeerHeartbeat;
use crate::ids::{FastMap, HostAddress, Incarnation, NameHash, ZoneName};
use crate::limits::{RelayedUsage, UsageCount, UsageReport};
use crate::rollouts::{RolloutReport, merge_reports};
use crate::scheduler::{EndpointReport, PaceReport};

/// Maximum size of a fleet whose hosts send heartbeats to all others directly. When each of 12
/// hosts has a change, they send 130 datagrams, which a host with an eighth of a core can handle.
pub const MAX_DIRECT_HOSTS: usize = 12;
/// Number of hubs of a cell.
pub const HUBS_PER_CELL: usize = 2;

/// What a host does now.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum MemberStage {
    /// It does not serve callers yet.
    Starting,
    Serving,
    /// It serves callers, and reaches no endpoint.
    Isolated,
    /// It is about to stop.
    Leaving,
}

/// The state of one host. The host reports it in its heartbeats, hubs pass it on in their
/// summaries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MemberReport {
    pub host: HostAddress,
    pub zone: ZoneName,
    pub incarnation: Incarnation,
    pub sequence: u64,
    pub stage: MemberStage,
    /// Size of the host, in thousandths of a core.
    pub cpu_permille: u32,
}

/// The message in which a hub sums up all other hosts for one host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HubSummary {
    pub hub: HostAddress,
    pub incarnation: Incarnation,
    pub sequence: u64,
    /// Version of the configuration that the hub has in force; 0 before the first one.
    pub config_version: u64,
    /// Loads of all hosts except the receiver.
    pub loads: Vec<EndpointReport>,
    /// The zone whose endpoints `loads` covers; `None` if it covers all endpoints.
    pub loads_zone: Option<ZoneName>,
    /// Usage of all hosts except the receiver since the hub began to count.
    pub usage: Vec<UsageReport>,
    /// Rollouts as observed by all hosts except the receiver.
    pub rollouts: Vec<RolloutReport>,
    pub positions: Vec<FeedPosition>,
    /// Hosts that the hub can reach; left out of most summaries. Of the hosts of other cells it
    /// lists those that changed and those of one cell in turn.
    pub members: Vec<MemberReport>,
    /// All hosts that this hub or a hub of another cell can reach; left out of most summaries.
    pub alive: Vec<HostAddress>,
    /// The hub's estimates of the pace of endpoints; left out of most summaries.
    pub paces: Vec<PaceReport>,
    /// Records that hubs have read from the store since this hub's last summaries.
    pub updates: Vec<FeedUpdate>,
}

/// The message in which a hub sums up its own cell for the hubs of other cells.
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
    /// Hosts of the cell; left out of most summaries.
    pub members: Vec<MemberReport>,
    pub paces: Vec<PaceReport>,
    /// Records that the hub itself has read from the store.
    pub updates: Vec<FeedUpdate>,
}

/// The last report of one host, and its usage since the hub first heard from it.
#[derive(Debug)]
struct HostTally {
    incarnation: Incarnation,
    zone: ZoneName,
    loads: Vec<EndpointReport>,
    rollouts: Vec<RolloutReport>,
    /// Last reports of the host's earlier incarnations.
    ended_rollouts: Vec<RolloutReport>,
    last_counts: FastMap<NameHash, UsageCount>,
    usage: FastMap<NameHash, UsageCount>,
    followed_hub: Option<HostAddress>,
    last_heartbeat: Instant,
}

/// The last report of another cell, and its usage.
#[derive(Debug, Default)]
struct CellTally {
    choice: HubChoice,
    loads: Vec<EndpointReport>,
    rollouts: Vec<RolloutReport>,
    relayed_usage: RelayedUsage,
    usage: FastMap<NameHash, UsageCount>,
}

/// Sums over many hosts.
#[derive(Debug)]
pub struct HubSums {
    pub loads: Vec<EndpointReport>,
    pub usage: Vec<UsageReport>,
    pub rollouts: Vec<RolloutReport>,
}

/// Sums over all hosts at one moment. `HubTally::sums_without` subtracts one host from them.
#[derive(Debug)]
pub struct HubTotals {
    loads: FastMap<NameHash, EndpointReport>,
    usage: FastMap<NameHash, UsageCount>,
    /// Rollouts of other cells. Those of the own cell are merged for each receiver.
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

/// The reports of all hosts and of other cells, from which a hub computes its summaries.
#[derive(Debug, Default)]
pub struct HubTally {
    hosts: FastMap<HostAddress, HostTally>,
    cells: FastMap<ZoneName, CellTally>,
}

impl HubTally {
    /// Applies a heartbeat of a host. The usage of a host that is new to this hub counts from its
    /// first heartbeat on; the usage of a new incarnation counts in full.
    pub fn apply_heartbeat(&mut self, heartbeat: &PeerHeartbeat, now: Instant) {
        let tally = self
            .hosts
            .entry(heartbeat.sender.host)
            .or_insert_with(|| HostTally {
                incarnation: heartbeat.sender.incarnation,
                zone: heartbeat.sender.zone.clone(),
                loads: Vec::new(),
                rollouts: Vec::new(),
                ended_rollouts: Vec::new(),
                last_counts: heartbeat
                    .usage
                    .iter()
                    .map(|report| (report.workspace, report.count))
                    .collect(),
                usage: FastMap::default(),
                followed_hub: None,
                last_heartbeat: now,
            });
        if tally.incarnation != heartbeat.sender.incarnation {
            tally.incarnation = heartbeat.sender.incarnation;
            tally.last_counts.clear();
            let ended = tally.rollouts.drain(..).map(RolloutReport::ended);
            let ended: Vec<_> = ended.chain(tally.ended_rollouts.drain(..)).collect();
            tally.ended_rollouts = merge_reports(ended.iter());
        } else if now.duration_since(tally.last_heartbeat) > HUB_TIMEOUT {
            // Other hubs have reported its usage of this time. If no hub heard it, its usage is
            // covered by the share that is left to silent hosts.
            let counts = heartbeat
                .usage
                .iter()
                .map(|report| (report.workspace, report.count));
            tally.last_counts = counts.collect();
        }
        for report in &heartbeat.usage {
            let previous = tally.last_counts.insert(report.workspace, report.count);
            let more = report.count.since(previous.unwrap_or_default());
            let used = tally.usage.entry(report.workspace).or_default();
            *used = used.plus(more);
        }
        tally.loads.clone_from(&heartbeat.loads);
        tally.rollouts.clone_from(&heartbeat.rollouts);
        tally.followed_hub = heartbeat.followed_hub;
        tally.last_heartbeat = now;
    }

    /// Returns whether a host uses the loads of `hub`, or follows no hub yet.
    #[must_use]
    pub fn relies_on(&self, host: HostAddress, hub: HostAddress) -> bool {
        let tally = self.hosts.get(&host);
        tally.is_some_and(|tally| tally.followed_hub.is_none_or(|followed| followed == hub))
    }

    /// Applies the summary of another cell. Usage counts from every hub of that cell. Loads count
    /// from the hub that was heard first, until it falls silent. Returns false if the summary is
    /// not newer than the last one of its hub.
    pub fn apply_cell_summary(&mut self, summary: &CellSummary, now: Instant) -> bool {
        let cell = self.cells.entry(summary.cell.clone()).or_default();
        let outcome = cell.choice.record_summary(
            summary.hub,
            summary.incarnation,
            summary.sequence,
            false,
            now,
        );
        if outcome == SummaryOutcome::Stale {
            return false;
        }
        let usage =
            cell.relayed_usage
                .apply_sums(summary.hub, summary.incarnation, &summary.usage, now);
        for (workspace, more) in usage {
            let used = cell.usage.entry(workspace).or_default();
            *used = used.plus(more);
        }
        if outcome != SummaryOutcome::NotFollowed {
            cell.loads.clone_from(&summary.loads);
            cell.rollouts.clone_from(&summary.rollouts);
        }
        true
    }

    /// Adds the other cells to the totals of the own cell. Loads of silent cells are left out.
    pub fn add_cells(&self, totals: &mut HubTotals, cell: Option<&ZoneName>) {
        for (zone, tally) in &self.cells {
            if cell.is_none_or(|own| own == zone) {
                continue;
            }
            totals.add_usage(&tally.usage);
            if tally.choice.is_following(totals.now) {
                tally.loads.iter().for_each(|load| totals.add_load(load));
                totals.other_rollouts.extend(&tally.rollouts);
            }
        }
    }

    /// Sums up the hosts of the own cell. Loads of silent hosts are left out. `cell` is `None` in a
    /// fleet of one cell.
    #[must_use]
    pub fn cell_totals(&self, cell: Option<&ZoneName>, now: Instant) -> HubTotals {
        let mut totals = HubTotals {
            loads: FastMap::default(),
            usage: FastMap::default(),
            other_rollouts: Vec::new(),
            now,
        };
        for tally in self.cell_hosts(cell) {
            totals.add_usage(&tally.usage);
            if now.saturating_duration_since(tally.last_heartbeat) <= HUB_TIMEOUT {
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

    /// Returns the totals without the part of the receiver.
    #[must_use]
    pub fn sums_without(
        &self,
        totals: &HubTotals,
        cell: Option<&ZoneName>,
        receiver: Option<HostAddress>,
    ) -> HubSums {
        let own = receiver.and_then(|receiver| self.hosts.get(&receiver));
        let own = own.filter(|own| cell.is_none_or(|cell| *cell == own.zone));
        let recent = own
            .filter(|own| totals.now.saturating_duration_since(own.last_heartbeat) <= HUB_TIMEOUT);
        let own_loads = recent.map_or(&[][..], |own| &own.loads);
        let loads = totals.loads.values().filter_map(|sum| {
            let own = own_loads.iter().find(|load| load.endpoint == sum.endpoint);
            let (active, pending) =
                own.map_or((0, 0), |own| (own.active, own.pending_prefill_tokens));
            let rest = EndpointReport {
                endpoint: sum.endpoint,
                active: sum.active.saturating_sub(active),
                pending_prefill_tokens: sum.pending_prefill_tokens.saturating_sub(pending),
            };
            (rest.active > 0 || rest.pending_prefill_tokens > 0).then_some(rest)
        });
        let usage = totals.usage.iter().map(|(workspace, sum)| {
            let own = own.and_then(|own| own.usage.get(workspace));
            UsageReport {
                workspace: *workspace,
                count: sum.since(own.copied().unwrap_or_default()),
            }
        });
        let others = self
            .cell_hosts(cell)
            .filter(|tally| own.is_none_or(|own| !std::ptr::eq::<HostTally>(own, *tally)));
        let reports = others.flat_map(|tally| tally.rollouts.iter().chain(&tally.ended_rollouts));
        HubSums {
            loads: loads.collect(),
            usage: usage.collect(),
            rollouts: merge_reports(reports.chain(&totals.other_rollouts)),
        }
    }
}
