//! The datagrams that hosts send to each other.

use serde::{Deserialize, Serialize};

use super::feed_positions::FeedPosition;
use super::hubs::{CellSummary, HubSummary, MemberReport};
use crate::ids::HostAddress;
use crate::limits::UsageReport;
use crate::rollouts::RolloutReport;
use crate::scheduler::{EndpointReport, PaceReport};

/// A beat replaces every earlier one of its sender; a lost one needs no repeat.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerHeartbeat {
    /// The sender. Its number rises with each beat; an older one that comes late is dropped.
    pub sender: MemberReport,
    /// How far the sender has read the store.
    pub positions: Vec<FeedPosition>,
    pub loads: Vec<EndpointReport>,
    /// What the sender has observed of endpoints since its last beat.
    pub paces: Vec<PaceReport>,
    pub usage: Vec<UsageReport>,
    pub rollouts: Vec<RolloutReport>,
    /// A few other hosts that the sender hears, so that a host finds all from any one.
    pub reachable: Vec<HostAddress>,
    /// Hubs that the sender knows, in an answer to a host that has not been heard before.
    pub hubs: Vec<MemberReport>,
    /// The hub whose loads the sender uses; the others tell it less often.
    pub followed_hub: Option<HostAddress>,
}

/// Largest datagram that is read: near the most that UDP carries.
pub const MAX_DATAGRAM_BYTES: usize = 60 * 1024;

/// A datagram between hosts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum PeerMessage {
    Heartbeat(PeerHeartbeat),
    HubSummary(HubSummary),
    CellSummary(CellSummary),
}

impl PeerMessage {
    /// # Panics
    ///
    /// Never panics: every field has an encoding.
    #[must_use]
    pub fn encode(&self) -> Vec<u8> {
        postcard::to_stdvec(self).expect("a message has an encoding")
    }

    /// Returns `None` for bytes that are no message.
    #[must_use]
    pub fn decode(bytes: &[u8]) -> Option<Self> {
        postcard::from_bytes(bytes).ok()
    }
}
