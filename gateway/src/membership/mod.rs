//! Which hosts there are, and what they tell each other. Callers use `MemberTable` and `PeerBeat`.

mod beat;
mod members;

pub use beat::PeerBeat;
pub use members::{BeatNews, MemberTable, MemberView};
