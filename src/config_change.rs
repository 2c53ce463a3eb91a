//! Records of the config topic, and the state of rollouts.

use std::time::Duration;

use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};

use crate::config_document::{ConfigDocument, ConfigError, TierEntry, ZoneState};
use crate::config_schema::find_schema_error;
use crate::ids::{ConfigVersion, HostName, PoolName, RolloutName, VersionName, ZoneName};

/// One record of the config topic.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigChange {
    /// Random id. A second record with the same id is a retried append and has no effect.
    pub id: CompactString,
    pub author: CompactString,
    pub change: ChangeKind,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub enum ChangeKind {
    /// Replaces the whole document, including every zone's state.
    Publish {
        /// Configuration version at which the author read the document that this one replaces.
        expected_version: ConfigVersion,
        document: ConfigDocument,
    },
    /// Adds a tier or replaces the one with the same number.
    PutTier {
        tier: TierEntry,
    },
    SetZone {
        zone: ZoneName,
        state: ZoneState,
        #[serde(default)]
        expected_version: Option<ConfigVersion>,
    },
    StartRollout {
        rollout: RolloutName,
        pool: PoolName,
        version: VersionName,
        /// Time since the Unix epoch.
        #[serde(rename = "deadline_unix_ms", with = "unix_ms")]
        deadline: Duration,
    },
    RolloutStep {
        rollout: RolloutName,
        follows_step: u32,
        share_permille: u16,
    },
    RolloutVerdict {
        rollout: RolloutName,
        follows_step: u32,
        verdict: RolloutVerdict,
    },
    DrainHost {
        host: HostName,
        drained: bool,
    },
    /// The state after all records below offset `version`. It is valid only at offset `version`,
    /// directly after the records that it covers, so that a reader that starts here misses none.
    Snapshot {
        state: String,
        version: ConfigVersion,
    },
}

/// A running or ended rollout.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct RolloutState {
    pub name: RolloutName,
    pub pool: PoolName,
    pub from: VersionName,
    pub to: VersionName,
    /// Time since the Unix epoch of the record that started the rollout, on the log's clock.
    #[serde(rename = "started_unix_ms", with = "unix_ms")]
    pub started: Duration,
    /// Time since the Unix epoch.
    #[serde(rename = "deadline_unix_ms", with = "unix_ms")]
    pub deadline: Duration,
    /// Number of steps recorded so far; 0 before the first step.
    pub step: u32,
    pub share_permille: u16,
    pub verdict: RolloutVerdict,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RolloutVerdict {
    Running,
    /// The pool now runs the new version.
    Done,
    TakenBack {
        reason: CompactString,
    },
}

/// Parses one record of the config topic.
///
/// # Errors
/// Returns an error that names the path of the invalid field.
pub fn parse_change(data: &str) -> Result<ConfigChange, ConfigError> {
    serde_json::from_str(data).map_err(|error| {
        let located = serde_json::from_str::<serde_json::Value>(data)
            .ok()
            .and_then(|value| {
                find_schema_error(
                    value.pointer("/change/Publish/document")?,
                    "change.Publish.document.",
                )
            });
        located.unwrap_or_else(|| ConfigError::invalid("record", error.to_compact_string()))
    })
}

/// Encodes a change as one record of the config topic.
///
/// # Panics
/// Never panics: the types contain only text keys, numbers and text.
#[must_use]
pub fn encode_change(change: &ConfigChange) -> String {
    serde_json::to_string(change).expect("configuration changes always serialise")
}

/// Serialises a time since the Unix epoch as whole milliseconds.
mod unix_ms {
    use std::time::Duration;

    use serde::{Deserialize, Deserializer, Serializer};

    pub fn serialize<S: Serializer>(time: &Duration, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_u64(u64::try_from(time.as_millis()).unwrap_or(u64::MAX))
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Duration, D::Error> {
        u64::deserialize(deserializer).map(Duration::from_millis)
    }
}
