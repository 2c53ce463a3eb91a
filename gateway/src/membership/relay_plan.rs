//! Who tells whom: directly in a small fleet, through hubs in a larger one.
//!
//! Hosts of a fleet form cells, and each cell has two hubs. A fleet of at most `MAX_CELL_HOSTS`
//! hosts is one cell; in a larger one each availability zone is a cell, and the hubs of all cells
//! tell each other the sums of their cells. So what one host sends, reads and computes is bounded
//! by the size of its cell and the number of cells, not by the size of the fleet.
//!
//! Every host works out its plan alone, from the hosts that it knows. A host that doesn't hear its
//! hubs takes the next ones; it never tells all others directly.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::hubs::{HUBS_PER_CELL, MAX_DIRECT_HOSTS};
use crate::ids::{HostAddress, ZoneName};

/// Hosts up to which a fleet is one cell: the hubs of 85 hosts spend 1 to 2 in 100 of a core on
/// them, and 100 hosts and a place each on 250 endpoints fill half of a link of 20 Mbit/s.
pub const MAX_CELL_HOSTS: usize = 100;
/// Hosts that wait at the store for news; the others ask when these have found some. Two, so that
/// the loss of one delays nothing.
pub const STORE_READERS: usize = 2;

/// What a plan needs to know of one host, this one among them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    pub host: HostAddress,
    /// Empty while only the address is known.
    pub zone: ZoneName,
    /// Size of the host, in thousandths of a core.
    pub cpu_permille: u32,
    /// May be a hub: it is not about to stop, and is not silent while others are heard.
    pub eligible: bool,
}

/// Whom one host tells what.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayPlan {
    /// The zone that is this host's cell; `None` where the whole fleet is one cell.
    pub cell: Option<ZoneName>,
    /// Hubs of the own cell, the first one first; empty while hosts tell each other directly.
    pub hubs: Vec<HostAddress>,
    /// Hubs of the other cells.
    pub other_hubs: Vec<HostAddress>,
    /// Hosts that wait at the store; empty while hosts tell each other directly.
    pub readers: Vec<HostAddress>,
}

impl RelayPlan {
    /// Works out the plan of `own`, which is one of the `known` hosts.
    #[must_use]
    pub fn new(own: HostAddress, own_zone: &ZoneName, known: &[RelayCandidate]) -> Self {
        if known.len() <= MAX_DIRECT_HOSTS {
            return Self::default();
        }
        let cells = known.len() > MAX_CELL_HOSTS;
        let mut hubs: BTreeMap<Option<&ZoneName>, Vec<&RelayCandidate>> = BTreeMap::new();
        for candidate in known.iter().filter(|candidate| candidate.eligible) {
            // Of a host that isn't heard yet only the address may be known.
            if candidate.zone.is_empty() && candidate.host != own {
                continue;
            }
            let cell = cells.then_some(&candidate.zone);
            hubs.entry(cell).or_default().push(candidate);
        }
        for cell in hubs.values_mut() {
            cell.sort_unstable_by_key(|candidate| rank(candidate));
            cell.truncate(HUBS_PER_CELL);
        }
        let mut all: Vec<_> = hubs.values().flatten().copied().collect();
        all.sort_unstable_by_key(|candidate| rank(candidate));
        let addresses = |list: &[&RelayCandidate]| list.iter().map(|hub| hub.host).collect();
        let cell = cells.then_some(own_zone);
        let own_hubs: Vec<HostAddress> = addresses(&hubs.remove(&cell).unwrap_or_default());
        Self {
            cell: cell.cloned(),
            other_hubs: addresses(&hubs.into_values().flatten().collect::<Vec<_>>()),
            readers: addresses(&all[..all.len().min(STORE_READERS)]),
            hubs: own_hubs,
        }
    }

    /// Whether hubs relay what hosts tell each other.
    #[must_use]
    pub fn is_relayed(&self) -> bool {
        !self.readers.is_empty()
    }

    /// The hub that this host follows while it is heard. Each hub has half of the cell.
    #[must_use]
    pub fn preferred_hub(&self, own: HostAddress) -> Option<HostAddress> {
        let last_byte = match own {
            HostAddress::V4(address) => address.octets()[3],
            HostAddress::V6(address) => address.octets()[15],
        };
        let turn = usize::from(last_byte) % self.hubs.len().max(1);
        self.hubs.get(turn).copied()
    }
}

/// The largest hosts first, then by address: the same order on every host.
fn rank(candidate: &RelayCandidate) -> (Reverse<u32>, HostAddress) {
    (Reverse(candidate.cpu_permille), candidate.host)
}
