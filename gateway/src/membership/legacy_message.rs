//! Messages of builds whose positions in the store have no era.
//!
//! Their offsets count as positions of the era that this host knows. Their hubs' updates are not
//! taken over, since nothing tells of which era the records are.

use serde::{Deserialize, Serialize};

use super::feed_positions::{FeedPosition, FeedTopic};
use super::feed_updates::FeedUpdate;
use super::hubs::{CellSummary, HubSummary, MemberReport, MemberStage};
use super::log_position::LogPosition;
use super::peer_message::{PeerHeartbeat, PeerMessage, QuarantineDigest, SignalDigest};
use crate::duties::{DutyPoll, DutyReply};
use crate::ids::{HostAddress, Incarnation, ZoneName};
use crate::limits::UsageReport;
use crate::rollouts::RolloutReport;
use crate::scheduler::{EndpointReport, PaceReport};

#[derive(Debug, Serialize, Deserialize)]
struct LegacyReport {
    host: HostAddress,
    zone: ZoneName,
    incarnation: Incarnation,
    sequence: u64,
    ready: bool,
    leaving: bool,
    cpu_permille: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct LegacyPosition {
    topic: FeedTopic,
    next_offset: u64,
    age_ms: u32,
    contact_ms: u32,
}

#[derive(Debug, Serialize, Deserialize)]
struct LegacyUpdate {
    topic: FeedTopic,
    from_offset: u64,
    next_offset: u64,
    body: Vec<u8>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct LegacyHeartbeat {
    sender: LegacyReport,
    positions: Vec<LegacyPosition>,
    loads: Vec<EndpointReport>,
    paces: Vec<PaceReport>,
    usage: Vec<UsageReport>,
    rollouts: Vec<RolloutReport>,
    reachable: Vec<HostAddress>,
    hubs: Vec<LegacyReport>,
    followed_hub: Option<HostAddress>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct LegacyHubSummary {
    hub: HostAddress,
    incarnation: Incarnation,
    sequence: u64,
    loads: Vec<EndpointReport>,
    loads_zone: Option<ZoneName>,
    usage: Vec<UsageReport>,
    rollouts: Vec<RolloutReport>,
    positions: Vec<LegacyPosition>,
    members: Vec<LegacyReport>,
    alive: Vec<HostAddress>,
    paces: Vec<PaceReport>,
    updates: Vec<LegacyUpdate>,
}

#[derive(Debug, Serialize, Deserialize)]
pub(super) struct LegacyCellSummary {
    cell: ZoneName,
    hub: HostAddress,
    incarnation: Incarnation,
    sequence: u64,
    loads: Vec<EndpointReport>,
    usage: Vec<UsageReport>,
    rollouts: Vec<RolloutReport>,
    positions: Vec<LegacyPosition>,
    members: Vec<LegacyReport>,
    paces: Vec<PaceReport>,
    updates: Vec<LegacyUpdate>,
}

/// A datagram of these builds. Messages that have not changed since are the current ones.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum LegacyMessage {
    Heartbeat(LegacyHeartbeat),
    HubSummary(LegacyHubSummary),
    CellSummary(LegacyCellSummary),
    SignalDigest(SignalDigest),
    QuarantineDigest(QuarantineDigest),
    DutyPoll(DutyPoll),
    DutyReply(DutyReply),
}

impl LegacyMessage {
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("every message can be encoded")
    }

    pub fn from_current(message: PeerMessage) -> Self {
        match message {
            PeerMessage::Heartbeat(heartbeat) => Self::Heartbeat(LegacyHeartbeat {
                sender: to_legacy_report(heartbeat.sender),
                positions: to_legacy_positions(heartbeat.positions),
                loads: heartbeat.loads,
                paces: heartbeat.paces,
                usage: heartbeat.usage,
                rollouts: to_legacy_rollouts(heartbeat.rollouts),
                reachable: heartbeat.reachable,
                hubs: heartbeat.hubs.into_iter().map(to_legacy_report).collect(),
                followed_hub: heartbeat.followed_hub,
            }),
            PeerMessage::HubSummary(summary) => Self::HubSummary(LegacyHubSummary {
                hub: summary.hub,
                incarnation: summary.incarnation,
                sequence: summary.sequence,
                loads: summary.loads,
                loads_zone: summary.loads_zone,
                usage: summary.usage,
                rollouts: to_legacy_rollouts(summary.rollouts),
                positions: to_legacy_positions(summary.positions),
                members: summary.members.into_iter().map(to_legacy_report).collect(),
                alive: summary.alive,
                paces: summary.paces,
                updates: to_legacy_updates(summary.updates),
            }),
            PeerMessage::CellSummary(summary) => Self::CellSummary(LegacyCellSummary {
                cell: summary.cell,
                hub: summary.hub,
                incarnation: summary.incarnation,
                sequence: summary.sequence,
                loads: summary.loads,
                usage: summary.usage,
                rollouts: to_legacy_rollouts(summary.rollouts),
                positions: to_legacy_positions(summary.positions),
                members: summary.members.into_iter().map(to_legacy_report).collect(),
                paces: summary.paces,
                updates: to_legacy_updates(summary.updates),
            }),
            PeerMessage::SignalDigest(digest) => Self::SignalDigest(digest),
            PeerMessage::QuarantineDigest(digest) => Self::QuarantineDigest(digest),
            PeerMessage::DutyPoll(poll) => Self::DutyPoll(poll),
            PeerMessage::DutyReply(reply) => Self::DutyReply(reply),
        }
    }

    /// Converts the message; `era` is the era of the store that this host knows.
    pub fn into_current(self, era: u64) -> PeerMessage {
        match self {
            Self::Heartbeat(heartbeat) => PeerMessage::Heartbeat(PeerHeartbeat {
                sender: from_legacy_report(heartbeat.sender),
                config_version: 0,
                positions: from_legacy_positions(heartbeat.positions, era),
                loads: heartbeat.loads,
                paces: heartbeat.paces,
                usage: heartbeat.usage,
                rollouts: from_legacy_rollouts(heartbeat.rollouts, era),
                reachable: heartbeat.reachable,
                hubs: heartbeat.hubs.into_iter().map(from_legacy_report).collect(),
                followed_hub: heartbeat.followed_hub,
            }),
            Self::HubSummary(summary) => PeerMessage::HubSummary(HubSummary {
                hub: summary.hub,
                incarnation: summary.incarnation,
                sequence: summary.sequence,
                config_version: 0,
                loads: summary.loads,
                loads_zone: summary.loads_zone,
                usage: summary.usage,
                rollouts: from_legacy_rollouts(summary.rollouts, era),
                positions: from_legacy_positions(summary.positions, era),
                members: summary
                    .members
                    .into_iter()
                    .map(from_legacy_report)
                    .collect(),
                alive: summary.alive,
                paces: summary.paces,
                updates: Vec::new(),
            }),
            Self::CellSummary(summary) => PeerMessage::CellSummary(CellSummary {
                cell: summary.cell,
                hub: summary.hub,
                incarnation: summary.incarnation,
                sequence: summary.sequence,
                loads: summary.loads,
                usage: summary.usage,
                rollouts: from_legacy_rollouts(summary.rollouts, era),
                positions: from_legacy_positions(summary.positions, era),
                members: summary
                    .members
                    .into_iter()
                    .map(from_legacy_report)
                    .collect(),
                paces: summary.paces,
                updates: Vec::new(),
            }),
            Self::SignalDigest(digest) => PeerMessage::SignalDigest(digest),
            Self::QuarantineDigest(digest) => PeerMessage::QuarantineDigest(digest),
            Self::DutyPoll(poll) => PeerMessage::DutyPoll(poll),
            Self::DutyReply(reply) => PeerMessage::DutyReply(reply),
        }
    }
}

fn to_legacy_report(report: MemberReport) -> LegacyReport {
    let stage = report.stage;
    LegacyReport {
        host: report.host,
        zone: report.zone,
        incarnation: report.incarnation,
        sequence: report.sequence,
        ready: matches!(stage, MemberStage::Serving | MemberStage::Isolated),
        leaving: stage == MemberStage::Leaving,
        cpu_permille: report.cpu_permille,
    }
}

fn from_legacy_report(report: LegacyReport) -> MemberReport {
    let stage = match (report.leaving, report.ready) {
        (true, _) => MemberStage::Leaving,
        (false, true) => MemberStage::Serving,
        (false, false) => MemberStage::Starting,
    };
    MemberReport {
        host: report.host,
        zone: report.zone,
        incarnation: report.incarnation,
        sequence: report.sequence,
        stage,
        cpu_permille: report.cpu_permille,
    }
}

fn to_legacy_positions(positions: Vec<FeedPosition>) -> Vec<LegacyPosition> {
    let positions = positions.into_iter().map(|position| LegacyPosition {
        topic: position.topic,
        next_offset: position.next.offset,
        age_ms: position.age_ms,
        contact_ms: position.contact_ms,
    });
    positions.collect()
}

fn from_legacy_positions(positions: Vec<LegacyPosition>, era: u64) -> Vec<FeedPosition> {
    let positions = positions.into_iter().map(|position| FeedPosition {
        topic: position.topic,
        next: LogPosition {
            era,
            offset: position.next_offset,
        },
        age_ms: position.age_ms,
        contact_ms: position.contact_ms,
    });
    positions.collect()
}

fn to_legacy_updates(updates: Vec<FeedUpdate>) -> Vec<LegacyUpdate> {
    let updates = updates.into_iter().map(|update| LegacyUpdate {
        topic: update.topic,
        from_offset: update.from.offset,
        next_offset: update.next.offset,
        body: update.body,
    });
    updates.collect()
}

/// Orders of these builds are numbered by their offsets alone.
fn to_legacy_rollouts(mut reports: Vec<RolloutReport>) -> Vec<RolloutReport> {
    for report in &mut reports {
        report.order = LogPosition::offset_of_order(report.order);
    }
    reports
}

fn from_legacy_rollouts(mut reports: Vec<RolloutReport>, era: u64) -> Vec<RolloutReport> {
    for report in &mut reports {
        let offset = report.order;
        report.order = LogPosition { era, offset }.order_number();
    }
    reports
}
