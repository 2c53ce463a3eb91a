//! Which hosts there are, and what they tell each other. Callers use `MemberTable` and `PeerHeartbeat`.

mod peer_message;
mod feed_positions;
mod feed_updates;
mod hub_choice;
mod hubs;
mod members;
mod host_selection;
mod relay_plan;

pub use peer_message::{MAX_DATAGRAM_BYTES, PeerHeartbeat, PeerMessage};
pub(crate) use feed_positions::ContactSpan;
pub use feed_positions::{FeedAction, FeedPosition, FeedPositions, FeedTopic};
pub use feed_updates::{FeedUpdate, UpdateQueue};
pub use hub_choice::{HubChoice, SummaryOutcome};
pub use hubs::{
    CellSummary, MAX_DIRECT_HOSTS, HUBS_PER_CELL, HubSummary, HubSums, HubTally, HubTotals, MemberReport,
};
pub use members::{MemberChange, MemberTable, MemberView};
pub use host_selection::select_hosts;
pub use relay_plan::{MAX_CELL_HOSTS, RelayCandidate, RelayPlan, STORE_READERS};
