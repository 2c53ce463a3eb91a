//! Which hosts there are, and what they tell each other. Callers use `MemberTable` and `PeerBeat`.

mod beat;
mod feed_marks;
mod members;

pub use beat::PeerBeat;
pub use feed_marks::{FeedDuty, FeedMark, FeedMarks, FeedTopic};
pub use members::{BeatNews, MemberTable, MemberView};
