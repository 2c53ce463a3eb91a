//! The hosts of the fleet and the messages that they exchange. Callers use `MemberTable` and
//! `PeerHeartbeat`.

mod feed_positions;
mod feed_updates;
mod format_trailer;
mod host_selection;
mod hub_choice;
mod hubs;
mod legacy_message;
mod log_position;
mod members;
mod peer_datagram;
mod peer_message;
mod relay_plan;

pub(crate) use feed_positions::ContactSpan;
pub use feed_positions::{FeedAction, FeedPosition, FeedPositions, FeedTopic};
pub use feed_updates::{FeedUpdate, UpdateQueue};
pub use format_trailer::{CURRENT_FORMAT, FormatNumber, stated_format};
pub use host_selection::select_hosts;
pub use hub_choice::{HubChoice, SummaryOutcome};
pub use hubs::{
    CellSummary, HUBS_PER_CELL, HubSummary, HubSums, HubTally, HubTotals, MAX_DIRECT_HOSTS,
    MemberReport, MemberStage,
};
pub use log_position::LogPosition;
pub use members::{MemberChange, MemberTable, MemberView};
pub use peer_datagram::{DatagramContext, PeerDatagram, PeerFormat};
pub use peer_message::{
    MAX_DATAGRAM_BYTES, PeerHeartbeat, PeerMessage, QuarantineDigest, SignalDigest,
};
pub use relay_plan::{MAX_CELL_HOSTS, RelayCandidate, RelayPlan, STORE_READERS};
