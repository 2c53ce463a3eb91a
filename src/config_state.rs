//! Configuration state, built from the records of the config topic. The same records produce the
//! same state on every host.

use std::time::Duration;

use compact_str::{CompactString, ToCompactString};

use crate::config_change::{ChangeKind, ConfigChange, RolloutState, RolloutVerdict, parse_change};
use crate::config_document::{
    ConfigDocument, ConfigError, OperatorEntry, PoolEntry, TierEntry, WorkspaceEntry, ZoneState,
};
use crate::config_index::DocumentIndex;
use crate::config_snapshot::{SnapshotContent, check_id_and_author};
use crate::config_validation::validate_document;
use crate::ids::{ConfigVersion, TierNumber};
use crate::messages::{ConfigRecord, ConfigSnapshot};
use crate::result_code::ResultCode;

/// Effect of one record on the state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum ApplyOutcome {
    Applied,
    /// The record's id or offset was already processed.
    Duplicate,
    Rejected {
        code: ResultCode,
        reason: String,
    },
}

/// The configuration that results from the records of the config topic.
///
/// `version` is the offset after the newest record that the state includes. `changed_version` is
/// the version after the last record that changed the document: an accepted `Publish`, a `PutTier`
/// or `SetZone` that changed a value, or a `Done` verdict, which changes the pool's version. An
/// `expected_version` is compared with `changed_version`, so that rollout starts, steps,
/// `TakenBack` verdicts, host drains, snapshots and rejected records do not cause an operator's
/// change to conflict.
///
/// A rejected record changes only the version and the list of recent ids. Its id is recorded
/// because its author receives the reply that nothing was changed: a second copy of the record,
/// from a retried append, must not take effect even if its precondition holds by then.
#[derive(Clone, Debug, Default)]
pub struct ConfigState {
    version: ConfigVersion,
    content: SnapshotContent,
    index: DocumentIndex,
}

impl ConfigState {
    /// Applies one record and sets the version to the record's offset + 1.
    ///
    /// Two kinds of record leave the version unchanged, so that it never decreases and never
    /// covers records that were not applied. A record below the version was read before and is a
    /// `Duplicate`. A record above the version follows a gap, because older records have expired
    /// from the log: it is rejected with `NotReady` unless it is a valid snapshot, which closes
    /// the gap.
    pub fn apply(&mut self, record: &ConfigRecord) -> ApplyOutcome {
        if record.offset < self.version {
            return ApplyOutcome::Duplicate;
        }
        if record.offset > self.version {
            return self.apply_after_gap(record);
        }
        let outcome = match parse_change(&record.data) {
            Ok(change) => self.apply_change(change, truncate_to_ms(record.at)),
            Err(error) => reject(&error),
        };
        self.version = record.offset + 1;
        outcome
    }

    fn apply_after_gap(&mut self, record: &ConfigRecord) -> ApplyOutcome {
        if let Ok(ConfigChange {
            change: ChangeKind::Snapshot { state, version },
            ..
        }) = parse_change(&record.data)
            && version == record.offset
        {
            if let Err(error) = self.apply_snapshot(&ConfigSnapshot { version, state }) {
                return reject(&error);
            }
            self.version = record.offset + 1;
            return ApplyOutcome::Applied;
        }
        ApplyOutcome::Rejected {
            code: ResultCode::NotReady,
            reason: format!(
                "records {} to {} were not read",
                self.version,
                record.offset - 1
            ),
        }
    }

    fn apply_change(&mut self, change: ConfigChange, at: Duration) -> ApplyOutcome {
        // Ids of snapshots are not recorded: a reader that starts at one does not know its id.
        let is_snapshot = matches!(change.change, ChangeKind::Snapshot { .. });
        if !is_snapshot && self.content.recent_ids.contains(&change.id) {
            return ApplyOutcome::Duplicate;
        }
        let verdict = self.check_at(&change, at);
        if !is_snapshot && check_id_and_author(&change).is_ok() {
            self.content.record_id(&change.id);
        }
        if let Err(error) = verdict {
            return reject(&error);
        }
        if !is_snapshot {
            let unix_ms = u64::try_from(at.as_millis()).unwrap_or(u64::MAX);
            self.content.newest_unix_ms = self.content.newest_unix_ms.max(unix_ms);
        }
        if self.execute(change.change, at) {
            self.content.changed_version = self.version + 1;
        }
        ApplyOutcome::Applied
    }

    /// Checks whether a change would be applied at the time of the newest record that had an
    /// effect.
    ///
    /// # Errors
    /// Returns the reason for which the change would be rejected, with the path of the invalid
    /// field.
    pub fn check(&self, change: &ConfigChange) -> Result<(), ConfigError> {
        self.check_at(change, Duration::from_millis(self.content.newest_unix_ms))
    }

    /// Checks like `check`, but at a given time since the Unix epoch.
    ///
    /// # Errors
    /// Returns the reason for which the change would be rejected.
    pub fn check_at(&self, change: &ConfigChange, at: Duration) -> Result<(), ConfigError> {
        self.content.check(self.version, change, at)
    }

    /// Performs a change that has passed the check. Returns whether the document changed.
    fn execute(&mut self, change: ChangeKind, at: Duration) -> bool {
        match change {
            ChangeKind::Publish { document, .. } => {
                self.set_document(document);
                true
            }
            ChangeKind::PutTier { tier } => {
                let tiers = self.content.tiers_with(&tier);
                let changed = tiers != self.content.document.tiers;
                self.content.document.tiers = tiers;
                changed
            }
            ChangeKind::SetZone { zone, state, .. } => self.set_zone(&zone, state),
            ChangeKind::StartRollout {
                rollout,
                pool,
                version,
                deadline,
            } => {
                if let Some(index) = self.index.pool(&pool) {
                    let entry = &self.content.document.pools[index];
                    self.content.rollouts.start(
                        rollout,
                        entry,
                        version,
                        truncate_to_ms(deadline),
                        at,
                    );
                }
                false
            }
            ChangeKind::RolloutStep {
                rollout,
                share_permille,
                ..
            } => {
                self.content.rollouts.apply_step(&rollout, share_permille);
                false
            }
            ChangeKind::RolloutVerdict {
                rollout, verdict, ..
            } => self.end_rollout(&rollout, &verdict),
            ChangeKind::DrainHost { host, drained } => {
                if drained {
                    self.content.drained.insert(host);
                } else {
                    self.content.drained.remove(&host);
                }
                false
            }
            ChangeKind::Snapshot { .. } => false,
        }
    }

    fn set_document(&mut self, mut document: ConfigDocument) {
        // The parser leaves up to half of the list's capacity unused: 1.6 MB for 40,000 entries.
        document.workspaces.shrink_to_fit();
        self.index = DocumentIndex::of(&document);
        self.content.document = document;
    }

    fn set_zone(&mut self, zone: &CompactString, state: ZoneState) -> bool {
        self.index.set_zone(zone, state);
        let zones = &mut self.content.document.zones;
        let entry = zones
            .iter_mut()
            .find(|entry| entry.name == *zone && entry.state != state);
        entry.map(|entry| entry.state = state).is_some()
    }

    fn end_rollout(&mut self, rollout: &str, verdict: &RolloutVerdict) -> bool {
        let Some(done) = self.content.rollouts.end(rollout, verdict) else {
            return false;
        };
        let Some(index) = self.index.pool(&done.pool) else {
            return false;
        };
        self.content.document.pools[index].version = done.to.clone();
        true
    }

    /// Returns the offset of the newest applied record, plus one.
    #[must_use]
    pub fn version(&self) -> ConfigVersion {
        self.version
    }

    /// Returns the version after the last record that changed the document, as [`ConfigState`]
    /// describes.
    #[must_use]
    pub fn changed_version(&self) -> ConfigVersion {
        self.content.changed_version
    }

    /// Returns the serialised state with its version.
    ///
    /// # Panics
    /// Never panics: the state contains only text keys, numbers and text.
    #[must_use]
    pub fn snapshot(&self) -> ConfigSnapshot {
        let state = serde_json::to_string(&self.content).expect("the state always serialises");
        ConfigSnapshot {
            version: self.version,
            state,
        }
    }

    /// Replaces the state by that of a newer snapshot. Returns false if the snapshot is not newer.
    ///
    /// # Errors
    /// Returns an error if the snapshot is malformed. The state is then unchanged.
    pub fn apply_snapshot(&mut self, snapshot: &ConfigSnapshot) -> Result<bool, ConfigError> {
        if snapshot.version <= self.version {
            return Ok(false);
        }
        let content: SnapshotContent = serde_json::from_str(&snapshot.state)
            .map_err(|error| ConfigError::invalid("snapshot", error.to_compact_string()))?;
        validate_document(&content.document, "snapshot.document.")?;
        let document = content.document;
        self.content = SnapshotContent {
            document: ConfigDocument::default(),
            ..content
        };
        self.set_document(document);
        self.version = snapshot.version;
        Ok(true)
    }

    #[must_use]
    pub fn document(&self) -> &ConfigDocument {
        &self.content.document
    }

    #[must_use]
    pub fn is_zone_out(&self, zone: &str) -> bool {
        self.index.is_zone_out(zone)
    }

    #[must_use]
    pub fn pool(&self, name: &str) -> Option<&PoolEntry> {
        self.index
            .pool(name)
            .map(|index| &self.content.document.pools[index])
    }

    #[must_use]
    pub fn tier(&self, tier: TierNumber) -> Option<&TierEntry> {
        self.content
            .document
            .tiers
            .iter()
            .find(|entry| entry.tier == tier)
    }

    #[must_use]
    pub fn workspace_by_token(&self, token: &str) -> Option<&WorkspaceEntry> {
        self.index
            .workspace(token)
            .map(|index| &self.content.document.workspaces[index])
    }

    #[must_use]
    pub fn operator_by_token(&self, token: &str) -> Option<&OperatorEntry> {
        self.index
            .operator(token)
            .map(|index| &self.content.document.operators[index])
    }

    /// Returns the running rollout of a pool.
    #[must_use]
    pub fn running_rollout(&self, pool: &str) -> Option<&RolloutState> {
        self.content.rollouts.running_in(pool)
    }

    /// Returns the running rollouts and the 100 most recently ended ones.
    pub fn rollouts(&self) -> impl Iterator<Item = &RolloutState> {
        self.content.rollouts.iter()
    }

    #[must_use]
    pub fn is_host_drained(&self, host: &str) -> bool {
        self.content.drained.contains(host)
    }
}

fn reject(error: &ConfigError) -> ApplyOutcome {
    ApplyOutcome::Rejected {
        code: error.code(),
        reason: error.to_string(),
    }
}

/// Truncates a time to whole milliseconds, the precision of snapshots.
fn truncate_to_ms(time: Duration) -> Duration {
    Duration::from_millis(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
}
