//! Which hosts there are, and what they tell each other. Callers use `MemberTable` and `PeerBeat`.

mod beat;
mod feed_marks;
mod hubs;
mod members;

pub use beat::{PeerBeat, PeerMessage};
pub use feed_marks::{FeedDuty, FeedMark, FeedMarks, FeedTopic};
pub use hubs::{DIRECT_HOSTS, HUBS, HubSummary, HubTally, MemberLine};
pub use members::{BeatNews, MemberTable, MemberView};
