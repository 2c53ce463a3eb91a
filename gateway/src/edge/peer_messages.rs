//! What this host takes from the datagrams of others, and what it tells them.

use std::time::Instant;

use super::state::Edge;
use crate::ids::{FastMap, FastSet, HostAddress, Incarnation, NameHash, ZoneName};
use crate::membership::{
    CellSummary, FeedPosition, FeedUpdate, HubSummary, HubSums, HubTotals, MemberChange,
    MemberReport, PeerHeartbeat, SummaryOutcome,
};
use crate::scheduler::{EndpointReport, PaceReport, SchedulerEvent};

/// Under this address the loads and runs that a hub sums up are kept, whichever hub sent them.
const HUB_PEER: HostAddress = HostAddress::V4(std::net::Ipv4Addr::UNSPECIFIED);
/// Hosts that one beat names, so that a host finds all others from any one.
const MAX_HEARD_PER_HEARTBEAT: usize = 8;

/// What is left out of most rounds of summaries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RoundParts {
    /// Hosts, and the endpoints of other zones; also goes to hosts that follow the other hub.
    pub full: bool,
    pub paces: bool,
}

/// What one round of a hub's summaries tells every host.
#[derive(Debug)]
pub(crate) struct SummaryRound {
    cell: Option<ZoneName>,
    totals: HubTotals,
    /// The sums of the own cell, for the hubs of others; `None` in a fleet of one cell.
    cell_sums: Option<HubSums>,
    /// The endpoints that are told of; `None` for all.
    near: Option<FastSet<NameHash>>,
    marks: Vec<FeedPosition>,
    members: Vec<MemberReport>,
    alive: Vec<HostAddress>,
    paces: Vec<PaceReport>,
    /// What this host has read from the store.
    own_news: Vec<FeedUpdate>,
    /// The same and what hubs of other cells have read.
    news: Vec<FeedUpdate>,
}

impl SummaryRound {
    fn is_reported(&self, load: &EndpointReport) -> bool {
        let near = self.near.as_ref();
        near.is_none_or(|near| near.contains(&load.endpoint))
    }
}

/// What a hub told last of hosts of other cells.
#[derive(Debug, Default)]
pub(crate) struct SentMembers {
    states: FastMap<HostAddress, (Incarnation, bool, bool)>,
    cell_turn: usize,
}

impl SentMembers {
    /// Picks the lines for the next summaries: those of the own cell, those that changed, and those
    /// of one other cell in turn. A summary with all hosts of a large fleet would fill the links.
    fn select(&mut self, lines: Vec<MemberReport>, cell: Option<&ZoneName>) -> Vec<MemberReport> {
        let Some(cell) = cell else { return lines };
        let mut zones: Vec<ZoneName> = lines.iter().map(|line| line.zone.clone()).collect();
        zones.sort_unstable();
        zones.dedup();
        self.cell_turn = (self.cell_turn + 1) % zones.len().max(1);
        let in_turn = zones.get(self.cell_turn).cloned().unwrap_or_default();
        let mut picked = Vec::new();
        for line in lines {
            let state = (line.incarnation, line.ready, line.leaving);
            let changed = self.states.insert(line.host, state) != Some(state);
            if changed || line.zone == *cell || line.zone == in_turn {
                picked.push(line);
            }
        }
        picked
    }
}

impl Edge {
    /// Takes a beat of a peer; true when the peer should hear from this host at once.
    pub(crate) fn apply_heartbeat(&self, beat: PeerHeartbeat) -> bool {
        let now = Instant::now();
        let (news, direct, moved) = {
            let state = &mut *self.state.borrow_mut();
            let news = state.members.apply_heartbeat(&beat, now);
            let follows_hub = state.hub_choice.is_following(now);
            let mut moved = false;
            if news != MemberChange::Stale {
                state.tally.apply_heartbeat(&beat, now);
                let marks = &mut state.marks;
                moved = marks.apply_peer_positions(beat.sender.host, beat.positions.clone(), now);
                if !follows_hub {
                    let was_silent = news == MemberChange::Appeared;
                    let caps = &mut state.caps;
                    caps.apply_peer_usage(
                        beat.sender.host,
                        beat.sender.incarnation,
                        &beat.usage,
                        was_silent,
                        now,
                    );
                    state.rollouts.remove_peer(HUB_PEER);
                    state
                        .rollouts
                        .apply_peer_reports(beat.sender.host, &beat.rollouts, now);
                }
            }
            (news, !follows_hub, moved)
        };
        if moved {
            self.wake_update_waiters();
        }
        if news == MemberChange::Stale {
            return false;
        }
        if news == MemberChange::Appeared {
            self.plan_relay(now);
            log::info!(peer = beat.sender.host.to_string().as_str(), zone = beat.sender.zone.as_str(), ready = beat.sender.ready; "peer: heard");
        }
        if !beat.paces.is_empty() {
            self.schedule(SchedulerEvent::PacesObserved(beat.paces));
        }
        if direct {
            self.schedule(SchedulerEvent::PeerReported {
                peer: beat.sender.host,
                reports: beat.loads,
            });
        }
        news == MemberChange::Appeared
    }

    /// Takes a hub's summary.
    pub(crate) fn apply_summary(&self, summary: HubSummary) {
        let now = Instant::now();
        let mut awaited = !summary.updates.is_empty();
        let used = {
            let state = &mut *self.state.borrow_mut();
            let is_first = state.plan.preferred_hub(self.settings.host) == Some(summary.hub);
            let (hub, incarnation) = (summary.hub, summary.incarnation);
            let choice = &mut state.hub_choice;
            let news = choice.record_summary(hub, incarnation, summary.sequence, is_first, now);
            if news == SummaryOutcome::Stale {
                self.count("summary_overtaken");
                return;
            }
            for news in summary.updates {
                state.received_updates.push(news);
            }
            for line in summary.members {
                state.members.apply_report(line, now);
            }
            // Hubs that told each other whom they hear would keep the dead alive.
            if !self.settings.is_among(&state.plan.hubs) {
                state.members.record_alive(&summary.alive, now);
            }
            state.members.record_datagram(hub, now);
            awaited |= state
                .marks
                .apply_peer_positions(hub, summary.positions, now);
            // Usage counts from every hub: the loss of one must not hide any.
            state
                .caps
                .apply_hub_usage(hub, incarnation, &summary.usage, now);
            if news == SummaryOutcome::Switched {
                log::info!(hub = hub.to_string().as_str(); "hub: followed");
            }
            let used = news != SummaryOutcome::NotFollowed;
            if used {
                state.rollouts.clear_peers();
                state
                    .rollouts
                    .apply_peer_reports(HUB_PEER, &summary.rollouts, now);
            }
            used
        };
        if awaited {
            self.wake_update_waiters();
        }
        if !used {
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

    /// Takes what a hub of another cell tells of it.
    pub(crate) fn apply_cell_summary(&self, digest: CellSummary) {
        let now = Instant::now();
        let mut awaited = !digest.updates.is_empty();
        {
            let state = &mut *self.state.borrow_mut();
            if !state.tally.apply_cell_summary(&digest, now) {
                self.count("digest_overtaken");
                return;
            }
            for line in digest.members {
                state.members.apply_report(line, now);
            }
            state.members.record_datagram(digest.hub, now);
            awaited |= state
                .marks
                .apply_peer_positions(digest.hub, digest.positions, now);
            for news in digest.updates {
                state.received_updates.push(news.clone());
                state.updates_to_forward.push(news);
            }
        }
        if awaited {
            self.wake_update_waiters();
        }
        if !digest.paces.is_empty() {
            self.schedule(SchedulerEvent::PacesObserved(digest.paces));
        }
    }

    /// Whom the next beat goes to.
    pub(crate) fn heartbeat_targets(&self) -> Vec<HostAddress> {
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        let follows = state.hub_choice.is_following(now);
        state.members.heartbeat_targets(&state.plan, follows, now)
    }

    /// Whether this host is a hub.
    pub(crate) fn is_hub(&self) -> bool {
        self.settings.is_among(&self.state.borrow().plan.hubs)
    }

    /// Whether hubs relay what hosts tell each other.
    pub(crate) fn is_relayed(&self) -> bool {
        self.state.borrow().plan.is_relayed()
    }

    /// Hosts that get a hub's next summary. Those that follow the other hub get fewer.
    pub(crate) fn summary_targets(&self, parts: RoundParts) -> Vec<HostAddress> {
        let state = self.state.borrow();
        let cell = state.plan.cell.as_ref();
        let mut targets = state.members.cell_members(cell, Instant::now());
        if !parts.full {
            targets.retain(|host| state.tally.relies_on(*host, self.settings.host));
        }
        targets
    }

    /// Hubs of other cells, which get this hub's digests.
    pub(crate) fn cell_summary_targets(&self) -> Vec<HostAddress> {
        self.state.borrow().plan.other_hubs.clone()
    }

    /// Counts this host's own beat among those that the next summaries are about, and collects what
    /// they tell every host.
    pub(crate) fn begin_summary_round(&self, parts: RoundParts) -> SummaryRound {
        let own = self.base_heartbeat();
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        state.tally.apply_heartbeat(&own, now);
        let cell = state.plan.cell.clone();
        let own_news = state.updates_to_send.take_all();
        let passed = state.updates_to_forward.take_all();
        let near = cell.as_ref().filter(|_| !parts.full);
        let tally = &state.tally;
        let mut totals = tally.cell_totals(cell.as_ref(), now);
        let cell_sums = cell
            .as_ref()
            .map(|cell| tally.sums_without(&totals, Some(cell), None));
        tally.add_cells(&mut totals, cell.as_ref());
        let mut round = SummaryRound {
            totals,
            cell_sums,
            near: near.map(|zone| state.scheduler.endpoint_hashes_in(zone)),
            marks: state.marks.freshest_positions(now),
            members: Vec::new(),
            alive: Vec::new(),
            paces: Vec::new(),
            news: own_news.iter().chain(&passed).cloned().collect(),
            own_news,
            cell,
        };
        if parts.full {
            let mut lines = state.members.reports(now);
            lines.push(own.sender);
            if round.cell.is_some() {
                round.alive = lines.iter().map(|line| line.host).collect();
            }
            round.members = state.sent_members.select(lines, round.cell.as_ref());
        }
        if parts.paces {
            round.paces = state.scheduler.pace_estimates();
        }
        round
    }

    /// Builds the summary for one host.
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
            loads: sums.loads,
            loads_zone: cell.filter(|_| round.near.is_some()).cloned(),
            usage: sums.usage,
            rollouts: sums.rollouts,
            positions: round.marks.clone(),
            members: round.members.clone(),
            alive: round.alive.clone(),
            paces: round.paces.clone(),
            updates: round.news.clone(),
        }
    }

    /// Builds the digest for the hubs of other cells; `None` where there are none.
    pub(crate) fn build_cell_summary(&self, round: &mut SummaryRound) -> Option<CellSummary> {
        let cell = round.cell.as_ref()?;
        let sums = round.cell_sums.take()?;
        let state = &mut *self.state.borrow_mut();
        state.summary_number += 1;
        let of_cell = |line: &&MemberReport| line.zone == *cell;
        Some(CellSummary {
            cell: cell.clone(),
            hub: self.settings.host,
            incarnation: self.incarnation,
            sequence: state.summary_number,
            loads: sums.loads,
            usage: sums.usage,
            rollouts: sums.rollouts,
            positions: round.marks.clone(),
            members: round.members.iter().filter(of_cell).cloned().collect(),
            paces: round.paces.clone(),
            updates: round.own_news.clone(),
        })
    }

    /// Builds the next beat, with what was observed since the last one that was sent.
    pub(crate) fn build_heartbeat(&self) -> PeerHeartbeat {
        let mut beat = self.base_heartbeat();
        beat.paces = self.state.borrow_mut().scheduler.take_pace_reports();
        beat
    }

    /// Builds the next beat, without observations.
    pub(crate) fn base_heartbeat(&self) -> PeerHeartbeat {
        let ready = self.is_ready();
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        state.heartbeat_number += 1;
        PeerHeartbeat {
            sender: MemberReport {
                host: self.settings.host,
                zone: self.settings.zone.clone(),
                incarnation: self.incarnation,
                sequence: state.heartbeat_number,
                ready,
                leaving: state.leaving_since.is_some(),
                cpu_permille: self.settings.cpu_permille,
            },
            positions: state.marks.own_positions(now),
            loads: state.scheduler.load_reports(),
            paces: Vec::new(),
            usage: state.caps.reports(),
            rollouts: state.rollouts.reports(now),
            reachable: if state.plan.is_relayed() {
                Vec::new()
            } else {
                state.members.reachable(MAX_HEARD_PER_HEARTBEAT, now)
            },
            hubs: Vec::new(),
            followed_hub: state.hub_choice.followed(now),
        }
    }

    /// Builds the answer to a host that has not been heard before: it names the hubs.
    pub(crate) fn build_introduction(&self) -> PeerHeartbeat {
        let mut beat = self.base_heartbeat();
        let state = self.state.borrow();
        let plan = &state.plan;
        let hubs: Vec<_> = plan.hubs.iter().chain(&plan.other_hubs).copied().collect();
        beat.hubs = state.members.reports_of(&hubs);
        beat.reachable = state
            .members
            .reachable(MAX_HEARD_PER_HEARTBEAT, Instant::now());
        beat
    }
}
