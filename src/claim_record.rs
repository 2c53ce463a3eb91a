//! Records of the claims topic, and the format of claim keys.

use compact_str::{CompactString, format_compact};
use serde::{Deserialize, Serialize};

use crate::ids::{ContentDigest, Incarnation, RequestKey, WorkspaceName, format_incarnation};
use crate::result_code::ResultCode;

const MAX_WORKSPACE_BYTES: usize = 64;

/// Identifier of a non-idempotent call. The key is unique within its workspace.
#[derive(Clone, Debug, PartialEq, Eq, Hash, PartialOrd, Ord)]
pub struct ClaimKey {
    pub workspace: WorkspaceName,
    pub key: RequestKey,
}

/// One line of the claims topic. 64-bit numbers are encoded as hexadecimal text, because many
/// JSON parsers lose digits of large numbers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
enum ClaimLine {
    Claim {
        workspace: WorkspaceName,
        key: RequestKey,
        digest: CompactString,
        nonce: CompactString,
        claimant: CompactString,
    },
    Outcome {
        workspace: WorkspaceName,
        key: RequestKey,
        nonce: CompactString,
        code: u16,
        #[serde(default, skip_serializing_if = "Option::is_none")]
        result: Option<String>,
    },
}

/// A parsed record of the claims topic.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum ClaimRecord {
    Claim {
        claim: ClaimKey,
        digest: ContentDigest,
        nonce: u64,
        claimant: Incarnation,
    },
    Outcome {
        claim: ClaimKey,
        nonce: u64,
        result: Result<String, ResultCode>,
    },
}

impl ClaimRecord {
    /// Encodes the record as one line.
    pub(crate) fn encode(&self) -> String {
        let line = match self {
            Self::Claim {
                claim,
                digest,
                nonce,
                claimant,
            } => ClaimLine::Claim {
                workspace: claim.workspace.clone(),
                key: claim.key.clone(),
                digest: format_compact!("{:032x}", u128::from_be_bytes(*digest)),
                nonce: format_incarnation(*nonce),
                claimant: format_incarnation(*claimant),
            },
            Self::Outcome {
                claim,
                nonce,
                result,
            } => ClaimLine::Outcome {
                workspace: claim.workspace.clone(),
                key: claim.key.clone(),
                nonce: format_incarnation(*nonce),
                code: result
                    .as_ref()
                    .err()
                    .unwrap_or(&ResultCode::Completed)
                    .number(),
                result: result.as_ref().ok().cloned(),
            },
        };
        serde_json::to_string(&line).expect("claim lines always serialise")
    }

    /// Parses one line. Returns `None` if the line is malformed.
    pub(crate) fn decode(line: &str) -> Option<Self> {
        let record = match serde_json::from_str(line).ok()? {
            ClaimLine::Claim {
                workspace,
                key,
                digest,
                nonce,
                claimant,
            } => Self::Claim {
                claim: ClaimKey { workspace, key },
                digest: parse_hex(&digest, 32)?.to_be_bytes(),
                nonce: parse_hex(&nonce, 16)?.try_into().ok()?,
                claimant: parse_hex(&claimant, 16)?.try_into().ok()?,
            },
            ClaimLine::Outcome {
                workspace,
                key,
                nonce,
                code,
                result,
            } => Self::Outcome {
                claim: ClaimKey { workspace, key },
                nonce: parse_hex(&nonce, 16)?.try_into().ok()?,
                result: decode_result(code, result),
            },
        };
        let (Self::Claim { claim, .. } | Self::Outcome { claim, .. }) = &record;
        (claim.workspace.len() <= MAX_WORKSPACE_BYTES).then_some(record)
    }
}

fn decode_result(code: u16, result: Option<String>) -> Result<String, ResultCode> {
    let code = ResultCode::ALL.iter().find(|known| known.number() == code);
    match (code, result) {
        (Some(ResultCode::Completed), Some(result)) => Ok(result),
        (Some(ResultCode::Completed) | None, _) => Err(ResultCode::CallMayHaveRun),
        (Some(code), _) => Err(*code),
    }
}

fn parse_hex(text: &str, digits: usize) -> Option<u128> {
    let is_valid = text.len() == digits && text.bytes().all(|byte| byte.is_ascii_hexdigit());
    is_valid
        .then(|| u128::from_str_radix(text, 16).ok())
        .flatten()
}

/// Parses the Unix time in seconds from a key of the form `<unix seconds>-<suffix>`.
pub(crate) fn parse_timestamp(key: &str) -> Option<u64> {
    let (seconds, suffix) = key.split_once('-')?;
    let is_seconds_valid =
        (1..=12).contains(&seconds.len()) && seconds.bytes().all(|byte| byte.is_ascii_digit());
    let is_suffix_valid = (1..=48).contains(&suffix.len())
        && suffix
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    (is_seconds_valid && is_suffix_valid)
        .then(|| seconds.parse().ok())
        .flatten()
}
