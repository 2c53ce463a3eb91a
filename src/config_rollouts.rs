//! State of the rollout records: the running rollouts and the most recently ended ones.

use std::collections::VecDeque;
use std::time::Duration;

use compact_str::format_compact;
use serde::{Deserialize, Serialize};

use crate::config_change::{RolloutState, RolloutVerdict};
use crate::config_document::{ConfigError, PoolEntry};
use crate::config_validation::check_name;
use crate::ids::{RolloutName, VersionName};

const MAX_ENDED: usize = 100;
const MAX_REASON_BYTES: usize = 500;
const FULL_SHARE_PERMILLE: u16 = 1_000;

/// Running rollouts in the order in which they started, and ended ones in the order of their ends.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct RolloutHistory {
    running: Vec<RolloutState>,
    ended: VecDeque<RolloutState>,
}

impl RolloutHistory {
    pub(crate) fn running_in(&self, pool: &str) -> Option<&RolloutState> {
        self.running.iter().find(|rollout| rollout.pool == pool)
    }

    pub(crate) fn running(&self) -> &[RolloutState] {
        &self.running
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &RolloutState> {
        self.running.iter().chain(&self.ended)
    }

    pub(crate) fn check_start(
        &self,
        rollout: &str,
        pool: Option<&PoolEntry>,
        version: &str,
        deadline: Duration,
        at: Duration,
    ) -> Result<(), ConfigError> {
        check_name("rollout", rollout)?;
        check_name("version", version)?;
        let Some(pool) = pool else {
            return Err(ConfigError::unknown("pool", "no such pool is configured"));
        };
        if self.iter().any(|known| known.name == rollout) {
            return Err(ConfigError::conflict(
                "rollout",
                "the name was already used; choose a new one",
            ));
        }
        if let Some(running) = self.running_in(&pool.name) {
            return Err(ConfigError::conflict(
                "pool",
                format_compact!("rollout {} runs in this pool", running.name),
            ));
        }
        if pool.version == version {
            return Err(ConfigError::conflict(
                "version",
                "the pool already has this version",
            ));
        }
        if deadline <= at {
            return Err(ConfigError::invalid(
                "deadline_unix_ms",
                "must lie in the future",
            ));
        }
        Ok(())
    }

    pub(crate) fn start(
        &mut self,
        rollout: RolloutName,
        pool: &PoolEntry,
        version: VersionName,
        deadline: Duration,
        at: Duration,
    ) {
        self.running.push(RolloutState {
            name: rollout,
            pool: pool.name.clone(),
            from: pool.version.clone(),
            to: version,
            started: at,
            deadline,
            step: 0,
            share_permille: 0,
            verdict: RolloutVerdict::Running,
        });
    }

    /// Accepts a step only if it raises the share, comes before the deadline and follows the step
    /// that it names.
    pub(crate) fn check_step(
        &self,
        rollout: &str,
        follows_step: u32,
        share_permille: u16,
        at: Duration,
    ) -> Result<(), ConfigError> {
        let state = self.find_running(rollout, follows_step)?;
        if share_permille > FULL_SHARE_PERMILLE {
            return Err(ConfigError::invalid(
                "share_permille",
                "must be a whole number from 1 to 1000",
            ));
        }
        if share_permille <= state.share_permille {
            return Err(ConfigError::conflict(
                "share_permille",
                format_compact!(
                    "must be above the present share of {}",
                    state.share_permille
                ),
            ));
        }
        check_deadline(state, at)
    }

    pub(crate) fn apply_step(&mut self, rollout: &str, share_permille: u16) {
        if let Some(state) = self.running.iter_mut().find(|state| state.name == rollout) {
            state.step += 1;
            state.share_permille = share_permille;
        }
    }

    /// Accepts `Done` only at the full share and before the deadline, and `TakenBack` at any share
    /// and time.
    pub(crate) fn check_verdict(
        &self,
        rollout: &str,
        follows_step: u32,
        verdict: &RolloutVerdict,
        at: Duration,
    ) -> Result<(), ConfigError> {
        let state = self.find_running(rollout, follows_step)?;
        match verdict {
            RolloutVerdict::Running => Err(ConfigError::invalid(
                "verdict",
                "must be \"done\" or \"taken_back\"",
            )),
            RolloutVerdict::Done if state.share_permille < FULL_SHARE_PERMILLE => Err(
                ConfigError::conflict("verdict", "\"done\" is allowed only at a share of 1000"),
            ),
            RolloutVerdict::Done => check_deadline(state, at),
            RolloutVerdict::TakenBack { reason } if reason.len() > MAX_REASON_BYTES => Err(
                ConfigError::invalid("verdict.taken_back.reason", "must be at most 500 bytes"),
            ),
            RolloutVerdict::TakenBack { .. } => Ok(()),
        }
    }

    /// Ends a rollout. Returns the rollout if the pool now has the new version.
    pub(crate) fn end(&mut self, rollout: &str, verdict: &RolloutVerdict) -> Option<&RolloutState> {
        let index = self
            .running
            .iter()
            .position(|state| state.name == rollout)?;
        let mut state = self.running.remove(index);
        state.verdict = verdict.clone();
        self.ended.push_back(state);
        if self.ended.len() > MAX_ENDED {
            self.ended.pop_front();
        }
        self.ended
            .back()
            .filter(|state| state.verdict == RolloutVerdict::Done)
    }

    fn find_running(&self, rollout: &str, follows_step: u32) -> Result<&RolloutState, ConfigError> {
        let Some(state) = self.iter().find(|state| state.name == rollout) else {
            return Err(ConfigError::unknown("rollout", "no such rollout"));
        };
        if state.verdict != RolloutVerdict::Running {
            return Err(ConfigError::conflict("rollout", "the rollout has ended"));
        }
        if state.step != follows_step {
            return Err(ConfigError::conflict(
                "follows_step",
                format_compact!("the rollout is at step {}", state.step),
            ));
        }
        Ok(state)
    }
}

fn check_deadline(state: &RolloutState, at: Duration) -> Result<(), ConfigError> {
    if at < state.deadline {
        return Ok(());
    }
    Err(ConfigError::conflict(
        "rollout",
        "the rollout's deadline has passed",
    ))
}
