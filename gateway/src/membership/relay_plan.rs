//! The plan of which hosts exchange messages: all with each other in a small fleet, through hubs in
//! a larger one.
//!
//! The hosts of a fleet form cells, and each cell has two hubs. A fleet of at most `MAX_CELL_HOSTS`
//! hosts is one cell. In a larger fleet each availability zone is a cell, and the hubs send the
//! sums of their cell to the hubs of all other cells. The work and the traffic of one host are
//! therefore bounded by the size of its cell and the number of cells, not by the size of the fleet.
//!
//! Each host computes its plan alone, from the hosts that it knows. A host that cannot reach its
//! hubs uses the next candidates; it never sends to all other hosts directly.

use std::cmp::Reverse;
use std::collections::BTreeMap;

use super::hubs::{HUBS_PER_CELL, MAX_DIRECT_HOSTS};
use crate::ids::{HostAddress, ZoneName};

/// Maximum size of a fleet that is one cell. A hub of 85 hosts spends 1 to 2 percent of a core on
/// them, and 100 hosts that each hold one slot of 250 endpoints fill half of a 20 Mbit/s link.
pub const MAX_CELL_HOSTS: usize = 100;
/// Number of hosts that wait for updates at the store; the others read only after these have found
/// some. With two of them, the loss of one causes no delay.
pub const STORE_READERS: usize = 2;

/// A host of the fleet, possibly this one, as the plan considers it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RelayCandidate {
    pub host: HostAddress,
    /// Zone of the host; empty while only the address is known.
    pub zone: ZoneName,
    /// Size of the host, in thousandths of a core.
    pub cpu_permille: u32,
    /// Whether the host may be a hub: it is not about to stop, and is not silent while others are
    /// heard.
    pub eligible: bool,
}

/// The hosts with which one host exchanges messages.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RelayPlan {
    /// The zone that is this host's cell; `None` if the whole fleet is one cell.
    pub cell: Option<ZoneName>,
    /// Hubs of the own cell in order of rank; empty while all hosts exchange messages directly.
    pub hubs: Vec<HostAddress>,
    /// Hubs of the other cells.
    pub other_hubs: Vec<HostAddress>,
    /// Hosts that wait for updates at the store; empty while all hosts exchange messages directly.
    pub readers: Vec<HostAddress>,
}

impl RelayPlan {
    /// Computes the plan of `own`, which is one of the `known` hosts.
    #[must_use]
    pub fn new(own: HostAddress, own_zone: &ZoneName, known: &[RelayCandidate]) -> Self {
        if known.len() <= MAX_DIRECT_HOSTS {
            return Self::default();
        }
        let has_cells = known.len() > MAX_CELL_HOSTS;
        let mut hubs: BTreeMap<Option<&ZoneName>, Vec<&RelayCandidate>> = BTreeMap::new();
        for candidate in known.iter().filter(|candidate| candidate.eligible) {
            // A host that was not heard yet may be known only by its address.
            if candidate.zone.is_empty() && candidate.host != own {
                continue;
            }
            let cell = has_cells.then_some(&candidate.zone);
            hubs.entry(cell).or_default().push(candidate);
        }
        for cell in hubs.values_mut() {
            cell.sort_unstable_by_key(|candidate| rank(candidate));
            cell.truncate(HUBS_PER_CELL);
        }
        let mut all: Vec<_> = hubs.values().flatten().copied().collect();
        all.sort_unstable_by_key(|candidate| rank(candidate));
        let addresses = |list: &[&RelayCandidate]| list.iter().map(|hub| hub.host).collect();
        let cell = has_cells.then_some(own_zone);
        let own_hubs: Vec<HostAddress> = addresses(&hubs.remove(&cell).unwrap_or_default());
        Self {
            cell: cell.cloned(),
            other_hubs: addresses(&hubs.into_values().flatten().collect::<Vec<_>>()),
            readers: addresses(&all[..all.len().min(STORE_READERS)]),
            hubs: own_hubs,
        }
    }

    /// Returns whether hubs relay the messages between hosts.
    #[must_use]
    pub fn is_relayed(&self) -> bool {
        !self.readers.is_empty()
    }

    /// Returns the hub that `own` follows while that hub can be heard. Each hub of a cell serves
    /// half of its hosts.
    #[must_use]
    pub fn preferred_hub(&self, own: HostAddress) -> Option<HostAddress> {
        let last_byte = match own {
            HostAddress::V4(address) => address.octets()[3],
            HostAddress::V6(address) => address.octets()[15],
        };
        let index = usize::from(last_byte) % self.hubs.len().max(1);
        self.hubs.get(index).copied()
    }
}

/// Returns the sort key of a candidate: the largest hosts come first, then the lowest addresses.
/// The order is the same on every host.
fn rank(candidate: &RelayCandidate) -> (Reverse<u32>, HostAddress) {
    (Reverse(candidate.cpu_permille), candidate.host)
}
