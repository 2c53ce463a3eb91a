//! Rendezvous hashing: an order of hosts for each key, on which all hosts agree without messages.

use std::hash::{Hash, Hasher};

use crate::ids::HostAddress;

/// Rank of a host for a key. The hosts with the lowest ranks are chosen.
type HostRank = (u64, HostAddress);

/// Returns the rank of a host for a key.
pub(crate) fn host_rank(key: impl Hash, host: HostAddress) -> HostRank {
    let mut hasher = rustc_hash::FxHasher::default();
    (key, host).hash(&mut hasher);
    (hasher.finish(), host)
}

/// Returns how many of `hosts` rank before the host `own` for a key.
pub(crate) fn hosts_before(key: impl Hash, own: HostAddress, hosts: &[HostAddress]) -> usize {
    let own_rank = host_rank(&key, own);
    let ranks = hosts.iter().map(|host| host_rank(&key, *host));
    ranks.filter(|rank| *rank < own_rank).count()
}
