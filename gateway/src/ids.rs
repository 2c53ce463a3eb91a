//! Type aliases for ids and hash maps.

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
/// Number that identifies a request within one process.
pub type TicketNumber = u64;
/// Random number that identifies one run of a process.
pub type Incarnation = u64;
/// Hash that stands for one incarnation of an endpoint, also in messages between hosts.
pub type IncarnationHash = u64;
/// Hash of a content of a request, such as a part of its prompt, also in messages between hosts.
pub type ContentHash = u64;
/// Short hash that stands for the name of an endpoint, a workspace or a service in messages between
/// hosts.
pub type NameHash = u32;

pub type FastMap<K, V> = rustc_hash::FxHashMap<K, V>;
pub type FastSet<K> = rustc_hash::FxHashSet<K>;

/// Returns the hash of a name, which is the same in every process.
#[must_use]
pub fn hash_name(name: &str) -> NameHash {
    let hash = hash_content(name);
    #[expect(
        clippy::cast_possible_truncation,
        reason = "the upper half is folded into the lower one"
    )]
    let folded = (hash ^ (hash >> 32)) as u32;
    folded
}

/// Returns the hash of a content, which is the same in every process.
#[must_use]
pub fn hash_content(content: impl std::hash::Hash) -> ContentHash {
    use std::hash::{BuildHasher, BuildHasherDefault};
    BuildHasherDefault::<rustc_hash::FxHasher>::default().hash_one(content)
}
