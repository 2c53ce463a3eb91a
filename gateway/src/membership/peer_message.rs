//! The datagrams that hosts send to each other.

use serde::{Deserialize, Serialize};

use super::feed_positions::FeedPosition;
use super::format_trailer;
use super::hubs::{CellSummary, HubSummary, MemberReport};
use crate::backpressure::SignalReport;
use crate::duties::{DutyPoll, DutyReply};
use crate::ids::HostAddress;
use crate::limits::UsageReport;
use crate::quarantine::QuarantineReport;
use crate::rollouts::RolloutReport;
use crate::scheduler::{EndpointReport, PaceReport};

/// The periodic message of a host. It replaces every earlier one of its sender, so a lost one is
/// not sent again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The state of the sender. Its sequence number increases with each heartbeat; receivers
    /// discard a heartbeat that arrives after a newer one.
    pub sender: MemberReport,
    /// Version of the configuration that the sender has in force; 0 before the first one.
    pub config_version: u64,
    /// How far the sender has read the store.
    pub positions: Vec<FeedPosition>,
    pub loads: Vec<EndpointReport>,
    /// What the sender has observed of endpoints since its last heartbeat.
    pub paces: Vec<PaceReport>,
    pub usage: Vec<UsageReport>,
    pub rollouts: Vec<RolloutReport>,
    /// A few other hosts that the sender can reach, so that a host finds all hosts from any one.
    pub reachable: Vec<HostAddress>,
    /// Hubs that the sender knows, in its answer to a host that is new to it.
    pub hubs: Vec<MemberReport>,
    /// The hub whose loads the sender uses; other hubs send it fewer summaries.
    pub followed_hub: Option<HostAddress>,
}

/// What a host has heard of endpoints. It is a message of its own, since most fleets have nothing to
/// report.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SignalDigest {
    pub sender: HostAddress,
    pub reports: Vec<SignalReport>,
}

/// What a host knows of crashes and of the contents that cause them.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct QuarantineDigest {
    pub sender: HostAddress,
    /// Whether the sender reports all that it knows, to a host that was not heard before.
    pub is_complete: bool,
    pub reports: Vec<QuarantineReport>,
}

/// Size of the largest datagram that a host receives, close to the maximum of UDP.
pub const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// A datagram between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    Heartbeat(PeerHeartbeat),
    HubSummary(HubSummary),
    CellSummary(CellSummary),
    SignalDigest(SignalDigest),
    QuarantineDigest(QuarantineDigest),
    DutyPoll(DutyPoll),
    DutyReply(DutyReply),
}

impl PeerMessage {
    /// Encodes the message in the current format, which the end of the datagram states.
    ///
    /// # Panics
    ///
    /// Never panics, since every field can be encoded.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        let mut bytes = postcard::to_stdvec(self).expect("every message can be encoded");
        format_trailer::append(&mut bytes);
        bytes
    }

    /// Decodes a message of the current format or of a later one, or returns `None` if the bytes are
    /// not one. Fields that a later format adds behind the message are ignored.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
