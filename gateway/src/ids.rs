//! Id aliases and the hash map alias.

use compact_str::CompactString;

pub type EndpointId = CompactString;
pub type HostAddress = std::net::IpAddr;
pub type RequestId = CompactString;
pub type RouteName = CompactString;
pub type ServiceName = CompactString;
pub type VersionName = CompactString;
pub type WorkspaceName = CompactString;
pub type ZoneName = CompactString;
/// Tier 0 is the highest.
pub type TierNumber = u8;
/// Number of a request within one process.
pub type TicketNumber = u64;
/// Random number drawn at process start.
pub type Incarnation = u64;
/// Short hash under which peers name an endpoint or a workspace to each other.
pub type NameHash = u32;

pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;
pub type FastSet<K> = rustc_hash::FxHashSet<K>;

/// Hashes a name in the same way in every process.
#[must_use]
pub fn hash_name(name: &str) -> NameHash {
    use std::hash::{Hash, Hasher};
    let mut hasher = rustc_hash::FxHasher::default();
    name.hash(&mut hasher);
    let hash = hasher.finish();
    #[expect(
        clippy::cast_possible_truncation,
        reason = "folds both halves into 32 bits"
    )]
    let folded = (hash ^ (hash >> 32)) as u32;
    folded
}
