//! Applies the messages that other hosts send, and builds the messages that this host sends.

use std::time::Instant;

use super::state::Edge;
use crate::ids::{FastMap, FastSet, HostAddress, Incarnation, NameHash, ZoneName};
use crate::membership::{
    CellSummary, DatagramContext, FeedPosition, FeedUpdate, HubSummary, HubSums, HubTotals,
    MemberChange, MemberReport, MemberStage, PeerDatagram, PeerFormat, PeerHeartbeat, PeerMessage,
    SignalDigest, SummaryOutcome,
};
use crate::scheduler::{EndpointReport, PaceReport, SchedulerEvent};

/// Placeholder address under which loads and runs summarized by a hub are stored, regardless of
/// which hub sent them.
const HUB_PEER: HostAddress = HostAddress::V4(std::net::Ipv4Addr::UNSPECIFIED);
/// Maximum number of reachable hosts listed in a heartbeat. The list lets a new host discover all
/// others through any single host.
const MAX_HEARD_PER_HEARTBEAT: usize = 8;
/// Maximum number of senders of unreadable datagrams that are logged.
const MAX_UNREADABLE_SENDERS: usize = 512;

/// Optional parts of a summary round. Most rounds leave them out.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoundParts {
    /// Includes the hosts and the endpoints of other zones. A full summary is also sent to hosts
    /// that follow the other hub.
    pub full: bool,
    /// Includes the pace estimates of the endpoints.
    pub paces: bool,
}

/// Contents shared by all summaries that a hub sends in one round.
#[derive(Debug)]
pub(crate) struct SummaryRound {
    cell: Option<ZoneName>,
    totals: HubTotals,
    /// Sums over this hub's own cell, sent to the hubs of other cells; `None` in a fleet with a
    /// single cell.
    cell_sums: Option<HubSums>,
    /// Endpoints included in the summaries; `None` for all.
    reported_endpoints: Option<FastSet<NameHash>>,
    positions: Vec<FeedPosition>,
    members: Vec<MemberReport>,
    alive: Vec<HostAddress>,
    paces: Vec<PaceReport>,
    /// Updates that this host has read from the store.
    own_updates: Vec<FeedUpdate>,
    /// The updates in `own_updates`, followed by those read by hubs of other cells.
    updates: Vec<FeedUpdate>,
}

impl SummaryRound {
    fn is_reported(&self, load: &EndpointReport) -> bool {
        let endpoints = self.reported_endpoints.as_ref();
        endpoints.is_none_or(|endpoints| endpoints.contains(&load.endpoint))
    }
}

/// Host states last included in this hub's summaries.
#[derive(Debug, Default)]
pub(crate) struct SentMembers {
    /// Incarnation and stage by host.
    states: FastMap<HostAddress, (Incarnation, MemberStage)>,
    cell_turn: usize,
}

impl SentMembers {
    /// Selects the host reports for the next summaries: those of the hub's own cell, those that
    /// have changed, and those of one zone per round in rotation. Summaries that listed all hosts
    /// of a large fleet would saturate the links.
    fn select(&mut self, reports: Vec<MemberReport>, cell: Option<&ZoneName>) -> Vec<MemberReport> {
        let Some(cell) = cell else { return reports };
        let mut zones: Vec<ZoneName> = reports.iter().map(|report| report.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        self.cell_turn = (self.cell_turn + 1) % zones.len().max(1);
        let zone_in_turn = zones.get(self.cell_turn).cloned().unwrap_or_default();
        let mut selected = Vec::new();
        for report in reports {
            let state = (report.incarnation, report.stage);
            let changed = self.states.insert(report.host, state) != Some(state);
            if changed || report.zone == *cell || report.zone == zone_in_turn {
                selected.push(report);
            }
        }
        selected
    }
}

impl Edge {
    /// Applies a heartbeat of a peer. Returns `true` if this host should answer the peer at once.
    pub(crate) fn apply_heartbeat(&self, heartbeat: PeerHeartbeat) -> bool {
        let now = Instant::now();
        let (change, uses_loads, offsets_advanced) = {
            let state = &mut *self.state.borrow_mut();
            let change = state.members.apply_heartbeat(&heartbeat, now);
            let follows_hub = state.hub_choice.is_following(now);
            let mut offsets_advanced = false;
            if change != MemberChange::Stale {
                state.tally.apply_heartbeat(&heartbeat, now);
                let positions = &mut state.feed_positions;
                let is_newer = heartbeat.config_version > state.catalog.version();
                offsets_advanced = is_newer
                    | positions.apply_peer_positions(
                        heartbeat.sender.host,
                        heartbeat.positions.clone(),
                        now,
                    );
                if !follows_hub {
                    let was_silent = change == MemberChange::Appeared;
                    let caps = &mut state.caps;
                    caps.apply_peer_usage(
                        heartbeat.sender.host,
                        heartbeat.sender.incarnation,
                        &heartbeat.usage,
                        was_silent,
                        now,
                    );
                    state.rollouts.remove_peer(HUB_PEER);
                    state.rollouts.apply_peer_reports(
                        heartbeat.sender.host,
                        &heartbeat.rollouts,
                        now,
                    );
                }
            }
            (change, !follows_hub, offsets_advanced)
        };
        if offsets_advanced {
            self.wake_update_waiters();
        }
        if change == MemberChange::Stale {
            return false;
        }
        if change == MemberChange::Appeared {
            self.update_relay_plan(now);
            log::info!(peer = heartbeat.sender.host.to_string().as_str(), zone = heartbeat.sender.zone.as_str(), stage:? = heartbeat.sender.stage; "peer: became reachable");
        }
        if !heartbeat.paces.is_empty() {
            self.schedule(SchedulerEvent::PacesObserved(heartbeat.paces));
        }
        if uses_loads {
            self.schedule(SchedulerEvent::PeerReported {
                peer: heartbeat.sender.host,
                reports: heartbeat.loads,
            });
        }
        change == MemberChange::Appeared
    }

    /// Applies a summary sent by a hub.
    pub(crate) fn apply_summary(&self, summary: HubSummary) {
        let now = Instant::now();
        let mut has_updates = !summary.updates.is_empty();
        let is_followed = {
            let state = &mut *self.state.borrow_mut();
            let is_preferred =
                state.relay_plan.preferred_hub(self.settings.host) == Some(summary.hub);
            let (hub, incarnation) = (summary.hub, summary.incarnation);
            let choice = &mut state.hub_choice;
            let outcome =
                choice.record_summary(hub, incarnation, summary.sequence, is_preferred, now);
            if outcome == SummaryOutcome::Stale {
                self.count("summary_overtaken");
                return;
            }
            for update in summary.updates {
                state.received_updates.push(update);
            }
            for report in summary.members {
                state.members.apply_report(report, now);
            }
            // If hubs relied on each other's lists of live hosts, they would keep dead hosts alive.
            if !self.settings.is_among(&state.relay_plan.hubs) {
                state.members.record_alive(&summary.alive, now);
            }
            state.members.record_datagram(hub, now);
            state
                .members
                .record_configuration(hub, summary.config_version);
            has_updates |= summary.config_version > state.catalog.version();
            has_updates |= state
                .feed_positions
                .apply_peer_positions(hub, summary.positions, now);
            // Usage is counted from every hub, so that the loss of one hub hides no usage.
            state
                .caps
                .apply_hub_usage(hub, incarnation, &summary.usage, now);
            if outcome == SummaryOutcome::Switched {
                log::info!(hub = hub.to_string().as_str(); "hub: following a new hub");
            }
            let is_followed = outcome != SummaryOutcome::NotFollowed;
            if is_followed {
                state.rollouts.clear_peers();
                state
                    .rollouts
                    .apply_peer_reports(HUB_PEER, &summary.rollouts, now);
            }
            is_followed
        };
        if has_updates {
            self.wake_update_waiters();
        }
        if !is_followed {
            return;
        }
        if !summary.paces.is_empty() {
            self.schedule(SchedulerEvent::PacesEstimated(summary.paces));
        }
        self.schedule(SchedulerEvent::HubReported {
            peer: HUB_PEER,
            reports: summary.loads,
            zone: summary.loads_zone,
        });
    }

    /// Applies a cell summary sent by a hub of another cell.
    pub(crate) fn apply_cell_summary(&self, summary: CellSummary) {
        let now = Instant::now();
        let mut has_updates = !summary.updates.is_empty();
        {
            let state = &mut *self.state.borrow_mut();
            if !state.tally.apply_cell_summary(&summary, now) {
                self.count("digest_overtaken");
                return;
            }
            for report in summary.members {
                state.members.apply_report(report, now);
            }
            state.members.record_datagram(summary.hub, now);
            has_updates |=
                state
                    .feed_positions
                    .apply_peer_positions(summary.hub, summary.positions, now);
            for update in summary.updates {
                state.received_updates.push(update.clone());
                state.updates_to_forward.push(update);
            }
        }
        if has_updates {
            self.wake_update_waiters();
        }
        if !summary.paces.is_empty() {
            self.schedule(SchedulerEvent::PacesObserved(summary.paces));
        }
    }

    /// Decodes a datagram, whose format is remembered for the answers to its source.
    pub(crate) fn decode_datagram(&self, bytes: &[u8], source: HostAddress) -> Option<PeerMessage> {
        let state = &mut *self.state.borrow_mut();
        let context = DatagramContext {
            source,
            known_format: state.members.format_of(source),
            era: state.feed_positions.era(),
        };
        let PeerDatagram { message, format } = PeerDatagram::decode(bytes, &context)?;
        if let Some(format) = format
            && state.members.record_format(source, format)
        {
            log::info!(peer = source.to_string().as_str(), format:? = format; "peer: format of messages");
        }
        Some(message)
    }

    /// Returns whether a host sends in the format without eras.
    pub(crate) fn is_legacy_host(&self, host: HostAddress) -> bool {
        self.state.borrow().members.format_of(host) == Some(PeerFormat::Offsets)
    }

    /// Encodes a message in the format that a host sends itself.
    pub(crate) fn encode_for(&self, message: &PeerMessage, host: HostAddress) -> Vec<u8> {
        message.encode_for(self.state.borrow().members.format_of(host))
    }

    /// Records that a datagram of another host cannot be read.
    pub(crate) fn record_unreadable(&self, sender: HostAddress, length: usize) {
        self.count("beat_unreadable");
        let senders = &mut self.state.borrow_mut().unreadable_senders;
        if senders.len() < MAX_UNREADABLE_SENDERS && senders.insert(sender) {
            log::warn!(peer = sender.to_string().as_str(), bytes = length; "peer: datagram not readable");
        }
    }

    /// Applies what another host has heard of endpoints.
    pub(crate) fn apply_signal_digest(&self, digest: SignalDigest) {
        if digest.sender != self.settings.host {
            self.schedule(SchedulerEvent::SignalsReported(digest.reports));
        }
    }

    /// Returns what this host has heard of endpoints, if anything is due.
    pub(crate) fn next_signal_digest(&self) -> Option<SignalDigest> {
        let scheduler = &mut self.state.borrow_mut().scheduler;
        let reports = scheduler.take_signal_reports(Instant::now());
        (!reports.is_empty()).then_some(SignalDigest {
            sender: self.settings.host,
            reports,
        })
    }

    /// Returns the hosts that receive this host's digests: the hubs, which pass on what they learn
    /// to their followers and to all other hubs, or all hosts of a small fleet.
    pub(crate) fn signal_targets(&self) -> Vec<HostAddress> {
        let own = self.settings.host;
        let state = self.state.borrow();
        let plan = &state.relay_plan;
        let is_hub = self.settings.is_among(&plan.hubs);
        let mut targets = plan.hubs.clone();
        if is_hub || !plan.is_relayed() {
            let members = state
                .members
                .cell_members(plan.cell.as_ref(), Instant::now());
            let receivers = members
                .into_iter()
                .filter(|host| !is_hub || state.tally.relies_on(*host, own));
            targets.extend(receivers);
        }
        if is_hub {
            targets.extend(&plan.other_hubs);
        }
        targets.retain(|host| *host != own);
        targets.sort_unstable();
        targets.dedup();
        targets
    }

    /// Returns the hosts that receive the next heartbeat.
    pub(crate) fn heartbeat_targets(&self) -> Vec<HostAddress> {
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        let follows_hub = state.hub_choice.is_following(now);
        state
            .members
            .heartbeat_targets(&state.relay_plan, follows_hub, now)
    }

    /// Returns whether this host is a hub.
    pub(crate) fn is_hub(&self) -> bool {
        self.settings.is_among(&self.state.borrow().relay_plan.hubs)
    }

    /// Returns whether hubs relay the messages between hosts.
    #[must_use]
    pub fn is_relayed(&self) -> bool {
        self.state.borrow().relay_plan.is_relayed()
    }

    /// Returns the hosts that receive this hub's next summary. Hosts that follow the other hub
    /// receive only the full summaries.
    pub(crate) fn summary_targets(&self, parts: RoundParts) -> Vec<HostAddress> {
        let state = self.state.borrow();
        let cell = state.relay_plan.cell.as_ref();
        let mut targets = state.members.cell_members(cell, Instant::now());
        if !parts.full {
            targets.retain(|host| state.tally.relies_on(*host, self.settings.host));
        }
        targets
    }

    /// Returns the hubs of other cells, which receive this hub's cell summaries.
    pub(crate) fn cell_summary_targets(&self) -> Vec<HostAddress> {
        self.state.borrow().relay_plan.other_hubs.clone()
    }

    /// Starts a summary round: adds this host's own heartbeat to the tally and collects the
    /// contents that all summaries of the round share.
    pub(crate) fn begin_summary_round(&self, parts: RoundParts) -> SummaryRound {
        let own_heartbeat = self.base_heartbeat();
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        state.tally.apply_heartbeat(&own_heartbeat, now);
        let cell = state.relay_plan.cell.clone();
        let own_updates = state.updates_to_send.take_all();
        let forwarded = state.updates_to_forward.take_all();
        let limited_zone = cell.as_ref().filter(|_| !parts.full);
        let tally = &state.tally;
        let mut totals = tally.cell_totals(cell.as_ref(), now);
        let cell_sums = cell
            .as_ref()
            .map(|cell| tally.sums_without(&totals, Some(cell), None));
        tally.add_cells(&mut totals, cell.as_ref());
        let mut round = SummaryRound {
            totals,
            cell_sums,
            reported_endpoints: limited_zone.map(|zone| state.scheduler.endpoint_hashes_in(zone)),
            positions: state.feed_positions.freshest_positions(now),
            members: Vec::new(),
            alive: Vec::new(),
            paces: Vec::new(),
            updates: own_updates.iter().chain(&forwarded).cloned().collect(),
            own_updates,
            cell,
        };
        if parts.full {
            let mut reports = state.members.reports(now);
            reports.push(own_heartbeat.sender);
            if round.cell.is_some() {
                round.alive = reports.iter().map(|report| report.host).collect();
            }
            round.members = state.sent_members.select(reports, round.cell.as_ref());
        }
        if parts.paces {
            round.paces = state.scheduler.pace_estimates();
        }
        round
    }

    /// Builds the summary for `receiver`, without the figures that `receiver` itself reported.
    pub(crate) fn build_summary(&self, receiver: HostAddress, round: &SummaryRound) -> HubSummary {
        let state = &mut *self.state.borrow_mut();
        state.summary_number += 1;
        let cell = round.cell.as_ref();
        let mut sums = state
            .tally
            .sums_without(&round.totals, cell, Some(receiver));
        sums.loads.retain(|load| round.is_reported(load));
        HubSummary {
            hub: self.settings.host,
            incarnation: self.incarnation,
            sequence: state.summary_number,
            config_version: state.catalog.version(),
            loads: sums.loads,
            loads_zone: cell.filter(|_| round.reported_endpoints.is_some()).cloned(),
            usage: sums.usage,
            rollouts: sums.rollouts,
            positions: round.positions.clone(),
            members: round.members.clone(),
            alive: round.alive.clone(),
            paces: round.paces.clone(),
            updates: round.updates.clone(),
        }
    }

    /// Builds the cell summary for the hubs of other cells. Returns `None` in a fleet with a single
    /// cell.
    pub(crate) fn build_cell_summary(&self, round: &mut SummaryRound) -> Option<CellSummary> {
        let cell = round.cell.as_ref()?;
        let sums = round.cell_sums.take()?;
        let state = &mut *self.state.borrow_mut();
        state.summary_number += 1;
        let is_in_cell = |report: &&MemberReport| report.zone == *cell;
        Some(CellSummary {
            cell: cell.clone(),
            hub: self.settings.host,
            incarnation: self.incarnation,
            sequence: state.summary_number,
            loads: sums.loads,
            usage: sums.usage,
            rollouts: sums.rollouts,
            positions: round.positions.clone(),
            members: round.members.iter().filter(is_in_cell).cloned().collect(),
            paces: round.paces.clone(),
            updates: round.own_updates.clone(),
        })
    }

    /// Builds the next heartbeat to send, including the pace reports collected since the last one.
    pub(crate) fn build_heartbeat(&self) -> PeerHeartbeat {
        let mut heartbeat = self.base_heartbeat();
        heartbeat.paces = self.state.borrow_mut().scheduler.take_pace_reports();
        heartbeat
    }

    fn own_stage(&self) -> MemberStage {
        if self.state.borrow().leaving_since.is_some() {
            MemberStage::Leaving
        } else if !self.is_ready() {
            MemberStage::Starting
        } else if self.is_isolated() {
            MemberStage::Isolated
        } else {
            MemberStage::Serving
        }
    }

    /// Builds the next heartbeat without pace reports.
    pub(crate) fn base_heartbeat(&self) -> PeerHeartbeat {
        let own_stage = self.own_stage();
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        state.heartbeat_number += 1;
        PeerHeartbeat {
            sender: MemberReport {
                host: self.settings.host,
                zone: self.settings.zone.clone(),
                incarnation: self.incarnation,
                sequence: state.heartbeat_number,
                stage: own_stage,
                cpu_permille: self.settings.cpu_permille,
            },
            config_version: state.catalog.version(),
            positions: state.feed_positions.own_positions(now),
            loads: state.scheduler.load_reports(),
            paces: Vec::new(),
            usage: state.caps.reports(),
            rollouts: state.rollouts.reports(now),
            reachable: if state.relay_plan.is_relayed() {
                Vec::new()
            } else {
                state.members.reachable(MAX_HEARD_PER_HEARTBEAT, now)
            },
            hubs: Vec::new(),
            followed_hub: state.hub_choice.followed(now),
        }
    }

    /// Builds the answer to a host that became reachable. It lists the known hubs.
    pub(crate) fn build_introduction(&self) -> PeerHeartbeat {
        let mut heartbeat = self.base_heartbeat();
        let state = self.state.borrow();
        let plan = &state.relay_plan;
        let hubs: Vec<_> = plan.hubs.iter().chain(&plan.other_hubs).copied().collect();
        heartbeat.hubs = state.members.reports_of(&hubs);
        heartbeat.reachable = state
            .members
            .reachable(MAX_HEARD_PER_HEARTBEAT, Instant::now());
        heartbeat
    }
}
