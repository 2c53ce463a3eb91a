//! Settings of rollouts.

pub use rollout_judge::RolloutSettings;
