//! Settings of each concern, with their defaults.

pub mod choice;
pub mod claim;
pub mod daemon;
pub mod fairness;
pub mod learned;
pub mod membership;
pub mod operator;
pub mod peer_link;
pub mod pool;
pub mod request;
pub mod rollout;
pub mod slow_start;
pub mod suspect;
