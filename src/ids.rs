//! Aliases for identifiers and hash maps, and the small records that describe hosts and endpoints.

use std::net::SocketAddr;
use std::time::Duration;

use compact_str::CompactString;
use serde::{Deserialize, Serialize};

pub type HostName = CompactString;
pub type RegionName = CompactString;
pub type ZoneName = CompactString;
pub type PoolName = CompactString;
pub type WorkspaceName = CompactString;
pub type EndpointName = CompactString;
pub type VersionName = CompactString;
pub type RouteName = CompactString;
pub type RolloutName = CompactString;
pub type RequestKey = CompactString;
/// Random number that a process draws at its start; formatted as 16 hexadecimal digits.
pub type Incarnation = u64;
/// Permit number, unique within one incarnation of a pool owner.
pub type PermitNumber = u64;
/// Offset of the newest applied configuration record, plus one; 0 before the first record.
pub type ConfigVersion = u64;
pub type LogOffset = u64;
/// Tier 0 is the highest.
pub type TierNumber = u8;
/// First 16 bytes of a SHA-256 digest.
pub type ContentDigest = [u8; 16];

pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;
pub type FastSet<K> = rustc_hash::FxHashSet<K>;

/// State that an entry host reports about itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum HostState {
    /// The host is not synchronised yet: it neither follows pool owners nor confirms configuration.
    Starting,
    Live,
    Leaving,
}

/// Name, location and addresses of an entry host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct HostBrief {
    pub name: HostName,
    pub region: RegionName,
    pub zone: ZoneName,
    pub incarnation: Incarnation,
    pub caller_address: SocketAddr,
    pub peer_address: SocketAddr,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum PoolKind {
    Engine,
    Service,
}

/// Entry of an endpoint in the platform's host list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointBrief {
    pub name: EndpointName,
    pub address: SocketAddr,
    pub region: RegionName,
    pub zone: ZoneName,
    pub pool: PoolName,
    pub version: VersionName,
    pub kind: PoolKind,
    pub leaving: bool,
}

/// Formats an incarnation as it appears in request keys and in the host list.
#[must_use]
pub fn format_incarnation(incarnation: Incarnation) -> CompactString {
    compact_str::format_compact!("{incarnation:016x}")
}

/// The parts of a model request's key, `<home>-<unix seconds>-<suffix>`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct KeyParts {
    pub home: Incarnation,
    /// Time at which the caller created the key, since the Unix epoch.
    pub created_at: Duration,
}

/// Parses a model request's key; returns `None` if it is malformed.
#[must_use]
pub fn parse_key(key: &str) -> Option<KeyParts> {
    let (home, rest) = key.split_once('-')?;
    let (created_at, suffix) = rest.split_once('-')?;
    let suffix_valid = (1..=48).contains(&suffix.len())
        && suffix
            .bytes()
            .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
    let home_valid =
        home.len() == 16 && home.bytes().all(|byte| b"0123456789abcdef".contains(&byte));
    let created_at_valid = (1..=12).contains(&created_at.len())
        && created_at.bytes().all(|byte| byte.is_ascii_digit());
    if !suffix_valid || !home_valid || !created_at_valid {
        return None;
    }
    Some(KeyParts {
        home: Incarnation::from_str_radix(home, 16).ok()?,
        created_at: Duration::from_secs(created_at.parse().ok()?),
    })
}
