//! The part of the configuration state that a snapshot contains, and the preconditions of changes.

use std::collections::{BTreeSet, VecDeque};
use std::time::Duration;

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::config_change::{ChangeKind, ConfigChange};
use crate::config_document::{ConfigDocument, ConfigError, TierEntry};
use crate::config_rollouts::RolloutHistory;
use crate::config_validation::{check_name, validate_document, validate_tiers};
use crate::ids::{ConfigVersion, HostName};

/// Number of recent record ids that are kept. At 9,600 changes a day they cover more than two
/// hours, while a retried append arrives within minutes.
const MAX_RECENT_IDS: usize = 1_024;
const MAX_ID_BYTES: usize = 64;
const MAX_AUTHOR_BYTES: usize = 128;
const MAX_DRAINED_HOSTS: usize = 1_000;

/// The part of the configuration state that a snapshot contains.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct SnapshotContent {
    pub(crate) changed_version: ConfigVersion,
    /// Log time of the newest record that had an effect, in milliseconds since the Unix epoch.
    pub(crate) newest_unix_ms: u64,
    pub(crate) document: ConfigDocument,
    pub(crate) rollouts: RolloutHistory,
    pub(crate) drained: BTreeSet<HostName>,
    pub(crate) recent_ids: VecDeque<CompactString>,
}

impl SnapshotContent {
    /// Checks whether a change would be applied at a version and a time since the Unix epoch.
    pub(crate) fn check(
        &self,
        version: ConfigVersion,
        change: &ConfigChange,
        at: Duration,
    ) -> Result<(), ConfigError> {
        check_id_and_author(change)?;
        if self.recent_ids.contains(&change.id) {
            return Err(ConfigError::conflict("id", "the id was already used"));
        }
        let history = &self.rollouts;
        match &change.change {
            ChangeKind::Publish {
                expected_version,
                document,
            } => self.check_publish(version, *expected_version, document),
            ChangeKind::PutTier { tier } => validate_tiers(&self.tiers_with(tier), ""),
            ChangeKind::SetZone {
                zone,
                expected_version,
                ..
            } => {
                expected_version
                    .map_or(Ok(()), |expected| self.check_expected(version, expected))?;
                if self.document.zones.iter().all(|entry| entry.name != *zone) {
                    return Err(ConfigError::unknown("zone", "no such zone is configured"));
                }
                Ok(())
            }
            ChangeKind::StartRollout {
                rollout,
                pool,
                version,
                deadline,
            } => history.check_start(
                rollout,
                self.document.pools.iter().find(|entry| entry.name == *pool),
                version,
                *deadline,
                at,
            ),
            ChangeKind::RolloutStep {
                rollout,
                follows_step,
                share_permille,
            } => history.check_step(rollout, *follows_step, *share_permille, at),
            ChangeKind::RolloutVerdict {
                rollout,
                follows_step,
                verdict,
            } => history.check_verdict(rollout, *follows_step, verdict, at),
            ChangeKind::DrainHost { host, drained } => self.check_drain(host, *drained),
            ChangeKind::Snapshot { version: own, .. } => check_snapshot(version, *own),
        }
    }

    fn check_publish(
        &self,
        version: ConfigVersion,
        expected: ConfigVersion,
        document: &ConfigDocument,
    ) -> Result<(), ConfigError> {
        self.check_expected(version, expected)?;
        validate_document(document, "document.")?;
        for rollout in self.rollouts.running() {
            let kept = document
                .pools
                .iter()
                .any(|entry| entry.name == rollout.pool && entry.version == rollout.from);
            if !kept {
                return Err(ConfigError::conflict(
                    "document.pools",
                    format_compact!(
                        "pool {} must stay at version {} while rollout {} runs",
                        rollout.pool,
                        rollout.from,
                        rollout.name
                    ),
                ));
            }
        }
        Ok(())
    }

    fn check_expected(
        &self,
        version: ConfigVersion,
        expected: ConfigVersion,
    ) -> Result<(), ConfigError> {
        if expected > version {
            return Err(ConfigError::conflict(
                "expected_version",
                format_compact!("lies above the present version {version}"),
            ));
        }
        if expected < self.changed_version {
            return Err(ConfigError::conflict(
                "expected_version",
                format_compact!("the document changed at version {}", self.changed_version),
            ));
        }
        Ok(())
    }

    fn check_drain(&self, host: &HostName, drained: bool) -> Result<(), ConfigError> {
        check_name("host", host)?;
        if drained && !self.drained.contains(host) && self.drained.len() >= MAX_DRAINED_HOSTS {
            return Err(ConfigError::conflict(
                "host",
                "too many hosts are drained; at most 1000 are allowed",
            ));
        }
        Ok(())
    }

    pub(crate) fn tiers_with(&self, tier: &TierEntry) -> Vec<TierEntry> {
        let mut tiers = self.document.tiers.clone();
        match tiers.iter_mut().find(|entry| entry.tier == tier.tier) {
            Some(entry) => *entry = tier.clone(),
            None => tiers.push(tier.clone()),
        }
        tiers
    }

    pub(crate) fn record_id(&mut self, id: &CompactString) {
        self.recent_ids.push_back(id.clone());
        if self.recent_ids.len() > MAX_RECENT_IDS {
            self.recent_ids.pop_front();
        }
    }
}

fn check_snapshot(version: ConfigVersion, own: ConfigVersion) -> Result<(), ConfigError> {
    if own == version {
        return Ok(());
    }
    Err(ConfigError::conflict(
        "version",
        format_compact!("the snapshot must directly follow its version; it is at {version}"),
    ))
}

pub(crate) fn check_id_and_author(change: &ConfigChange) -> Result<(), ConfigError> {
    if !(1..=MAX_ID_BYTES).contains(&change.id.len()) {
        return Err(ConfigError::invalid("id", "must have 1 to 64 bytes"));
    }
    if !(1..=MAX_AUTHOR_BYTES).contains(&change.author.len()) {
        return Err(ConfigError::invalid("author", "must have 1 to 128 bytes"));
    }
    Ok(())
}
