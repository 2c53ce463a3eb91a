//! The configuration document: its entries and its parser.

use compact_str::{CompactString, ToCompactString};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};
use snafu::Snafu;

use crate::config_schema::find_schema_error;
use crate::config_validation::validate_document;
use crate::ids::{
    PoolKind, PoolName, RegionName, TierNumber, VersionName, WorkspaceName, ZoneName,
};
use crate::result_code::ResultCode;

pub const SCHEMA_NUMBER: u32 = 1;
/// Reason for which a document, a change or a snapshot is rejected.
#[derive(Clone, Debug, PartialEq, Eq, Snafu)]
pub enum ConfigError {
    #[snafu(display("{path}: {problem}"))]
    Invalid {
        path: CompactString,
        problem: CompactString,
    },
    #[snafu(display("{path}: {problem}"))]
    Conflict {
        path: CompactString,
        problem: CompactString,
    },
    #[snafu(display("{path}: {problem}"))]
    Unknown {
        path: CompactString,
        problem: CompactString,
    },
}

impl ConfigError {
    #[must_use]
    pub fn code(&self) -> ResultCode {
        match self {
            Self::Invalid { .. } => ResultCode::ConfigInvalid,
            Self::Conflict { .. } => ResultCode::ConfigConflict,
            Self::Unknown { .. } => ResultCode::UnknownObject,
        }
    }

    pub(crate) fn invalid(path: impl AsRef<str>, problem: impl AsRef<str>) -> Self {
        Self::Invalid {
            path: path.as_ref().into(),
            problem: problem.as_ref().into(),
        }
    }

    pub(crate) fn conflict(path: impl AsRef<str>, problem: impl AsRef<str>) -> Self {
        Self::Conflict {
            path: path.as_ref().into(),
            problem: problem.as_ref().into(),
        }
    }

    pub(crate) fn unknown(path: impl AsRef<str>, problem: impl AsRef<str>) -> Self {
        Self::Unknown {
            path: path.as_ref().into(),
            problem: problem.as_ref().into(),
        }
    }
}

/// SHA-256 digest of a bearer token. The tokens themselves are never stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(try_from = "CompactString", into = "CompactString")]
pub struct TokenDigest([u8; 32]);

impl TokenDigest {
    #[must_use]
    pub fn of(token: &str) -> Self {
        Self(Sha256::digest(token.as_bytes()).into())
    }
}

impl TryFrom<CompactString> for TokenDigest {
    type Error = &'static str;

    fn try_from(text: CompactString) -> Result<Self, Self::Error> {
        const EXPECTED: &str = "expected 64 lower-case hexadecimal digits";
        let digits = text.as_bytes();
        if digits.len() != 64 {
            return Err(EXPECTED);
        }
        let mut bytes = [0; 32];
        for (byte, pair) in bytes.iter_mut().zip(digits.chunks_exact(2)) {
            let (Some(high), Some(low)) = (parse_hex_digit(pair[0]), parse_hex_digit(pair[1]))
            else {
                return Err(EXPECTED);
            };
            *byte = high << 4 | low;
        }
        Ok(Self(bytes))
    }
}

impl From<TokenDigest> for CompactString {
    fn from(digest: TokenDigest) -> Self {
        let mut text = Self::with_capacity(64);
        for byte in digest.0 {
            for nibble in [byte >> 4, byte & 15] {
                text.push(char::from(b"0123456789abcdef"[usize::from(nibble)]));
            }
        }
        text
    }
}

fn parse_hex_digit(digit: u8) -> Option<u8> {
    match digit {
        b'0'..=b'9' => Some(digit - b'0'),
        b'a'..=b'f' => Some(digit - b'a' + 10),
        _ => None,
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ZoneState {
    In,
    Out,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierEntry {
    pub tier: TierNumber,
    pub name: CompactString,
    pub default_deadline_ms: u64,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ZoneEntry {
    pub name: ZoneName,
    pub region: RegionName,
    /// Required, because a default of `in` would silently return a zone to service.
    pub state: ZoneState,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolEntry {
    pub name: PoolName,
    pub kind: PoolKind,
    pub version: VersionName,
    /// Operations of a service pool that must run at most once.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub non_idempotent: Vec<CompactString>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct WorkspaceEntry {
    pub name: WorkspaceName,
    pub token_sha256: TokenDigest,
    /// Weight of the workspace's share of a pool, relative to other workspaces of the same tier.
    #[serde(default = "default_weight")]
    pub weight: u32,
    #[serde(default = "default_max_queued")]
    pub max_queued: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct OperatorEntry {
    pub name: CompactString,
    pub token_sha256: TokenDigest,
}

/// The complete desired state of tiers, zones, pools, workspaces and operators.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ConfigDocument {
    pub schema: u32,
    #[serde(default)]
    pub tiers: Vec<TierEntry>,
    #[serde(default)]
    pub zones: Vec<ZoneEntry>,
    #[serde(default)]
    pub pools: Vec<PoolEntry>,
    #[serde(default)]
    pub workspaces: Vec<WorkspaceEntry>,
    #[serde(default)]
    pub operators: Vec<OperatorEntry>,
}

impl Default for ConfigDocument {
    fn default() -> Self {
        Self {
            schema: SCHEMA_NUMBER,
            tiers: Vec::new(),
            zones: Vec::new(),
            pools: Vec::new(),
            workspaces: Vec::new(),
            operators: Vec::new(),
        }
    }
}

fn default_weight() -> u32 {
    1
}

fn default_max_queued() -> u32 {
    1_000
}

/// Parses and validates a document.
///
/// # Errors
/// Returns an error that names the path of the first invalid field and the values allowed there.
pub fn parse_document(text: &str) -> Result<ConfigDocument, ConfigError> {
    let document = serde_json::from_str::<ConfigDocument>(text).map_err(|error| {
        // The typed parser does not report a path. The slower schema check finds it and runs only
        // after an error.
        serde_json::from_str(text)
            .ok()
            .and_then(|value| find_schema_error(&value, ""))
            .unwrap_or_else(|| ConfigError::invalid("document", error.to_compact_string()))
    })?;
    validate_document(&document, "")?;
    Ok(document)
}
