//! Datagrams of hosts whose builds may differ, and how their format is recognized.

use serde::Deserialize;

use super::feed_positions::FeedPosition;
use super::format_trailer::{FormatNumber, stated_format};
use super::legacy_message::LegacyMessage;
use super::peer_message::{PeerHeartbeat, PeerMessage};
use crate::ids::HostAddress;

/// Largest size of a host, in thousandths of a core.
const MAX_CPU_PERMILLE: u32 = 1_000_000;

/// The format in which a host sends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PeerFormat {
    /// Positions have no era.
    Offsets,
    /// The current layout without a number.
    Eras,
    /// The current layout with a number, possibly of a later build.
    Numbered(FormatNumber),
}

/// What a host knows when a datagram arrives.
#[derive(Clone, Copy, Debug)]
pub struct DatagramContext {
    /// Address from which the datagram came.
    pub source: HostAddress,
    /// The format of the last datagram from there that left no doubt.
    pub known_format: Option<PeerFormat>,
    /// Era of the store that this host knows.
    pub era: u64,
}

/// A message and its format.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PeerDatagram {
    pub message: PeerMessage,
    /// `None` if the bytes leave it open.
    pub format: Option<PeerFormat>,
}

impl PeerDatagram {
    /// Decodes a datagram of any known format, or returns `None` if the bytes are not one.
    ///
    /// Without a number, the message must take up all bytes and name its source as its sender. Where
    /// the bytes are such a message in both layouts, earlier datagrams of the source decide.
    #[must_use]
    pub fn decode(bytes: &[u8], context: &DatagramContext) -> Option<Self> {
        if let Some(number) = stated_format(bytes) {
            let message = PeerMessage::decode(bytes)?;
            let format = Some(PeerFormat::Numbered(number));
            return Some(Self { message, format });
        }
        let is_plausible = |message: &PeerMessage| is_plausible(message, context.source);
        let current = decode_exactly::<PeerMessage>(bytes).filter(is_plausible);
        let legacy = decode_exactly::<LegacyMessage>(bytes)
            .map(|message| message.into_current(context.era))
            .filter(is_plausible);
        let (message, format) = match (current, legacy) {
            (None, None) => return None,
            (Some(current), None) => (current, Some(PeerFormat::Eras)),
            (None, Some(legacy)) => (legacy, Some(PeerFormat::Offsets)),
            (Some(current), Some(legacy)) => {
                let message = match context.known_format {
                    Some(PeerFormat::Offsets) => legacy,
                    Some(PeerFormat::Eras | PeerFormat::Numbered(_)) => current,
                    None => choose_first_heard(current, legacy)?,
                };
                (message, None)
            }
        };
        Some(Self { message, format })
    }
}

impl PeerMessage {
    /// Encodes the message for a host that sends in this format. A host that was not heard yet gets
    /// the current one: it is heard within a heartbeat if it can be reached.
    #[must_use]
    pub fn encode_for(&self, format: Option<PeerFormat>) -> Vec<u8> {
        match format {
            Some(PeerFormat::Offsets) => LegacyMessage::from_current(self.clone()).encode(),
            Some(PeerFormat::Eras | PeerFormat::Numbered(_)) | None => self.encode(),
        }
    }
}

/// Decodes bytes of which none may be left over.
fn decode_exactly<'a, T: Deserialize<'a>>(bytes: &'a [u8]) -> Option<T> {
    let (message, rest) = postcard::take_from_bytes(bytes).ok()?;
    rest.is_empty().then_some(message)
}

/// Returns whether the host at this address may have sent the message.
fn is_plausible(message: &PeerMessage, source: HostAddress) -> bool {
    match message {
        PeerMessage::Heartbeat(heartbeat) => {
            heartbeat.sender.host == source
                && heartbeat.sender.cpu_permille <= MAX_CPU_PERMILLE
                && have_distinct_topics(&heartbeat.positions)
        }
        PeerMessage::HubSummary(summary) => {
            summary.hub == source && have_distinct_topics(&summary.positions)
        }
        PeerMessage::CellSummary(summary) => {
            summary.hub == source && have_distinct_topics(&summary.positions)
        }
        PeerMessage::SignalDigest(digest) => digest.sender == source,
        PeerMessage::QuarantineDigest(digest) => digest.sender == source,
        PeerMessage::DutyPoll(poll) => poll.sender == source,
        PeerMessage::DutyReply(reply) => reply.sender == source,
    }
}

fn have_distinct_topics(positions: &[FeedPosition]) -> bool {
    match positions {
        [] | [_] => true,
        [first, second] => first.topic != second.topic,
        _ => false,
    }
}

/// Chooses between the two readings of the first datagram of a host. Heartbeats without positions
/// have both; the size that one of them takes for a version of the configuration tells them apart.
fn choose_first_heard(current: PeerMessage, legacy: PeerMessage) -> Option<PeerMessage> {
    let is_sized = |heartbeat: &PeerHeartbeat| heartbeat.sender.cpu_permille > 1;
    match (&current, &legacy) {
        (PeerMessage::Heartbeat(heartbeat), PeerMessage::Heartbeat(legacy_heartbeat)) => {
            let is_legacy = is_sized(legacy_heartbeat) && !is_sized(heartbeat);
            Some(if is_legacy { legacy } else { current })
        }
        _ => (current == legacy).then_some(current),
    }
}
