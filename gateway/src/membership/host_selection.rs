//! The selection of hosts that a caller may connect to.

use rand::Rng;
use rand::seq::SliceRandom;

use crate::ids::{HostAddress, ZoneName};

/// One in this many hosts of an answer belongs to another zone, so that a caller whose zone fails
/// has a host to connect to.
const OTHER_ZONES_PART: usize = 8;

/// Selects up to `max_hosts` of the `serving` hosts. If there are more, hosts of the caller's zone
/// go first. The selection is drawn again for each caller, so that every host is selected equally
/// often.
pub fn select_hosts(
    mut serving: Vec<(HostAddress, ZoneName)>,
    zone: Option<&ZoneName>,
    max_hosts: usize,
    random: &mut impl Rng,
) -> Vec<HostAddress> {
    let hosts = |list: Vec<(HostAddress, ZoneName)>| list.into_iter().map(|(host, _)| host);
    if serving.len() <= max_hosts {
        return hosts(serving).collect();
    }
    serving.shuffle(random);
    let (local, mut remote): (Vec<_>, Vec<_>) = serving
        .into_iter()
        .partition(|(_, host_zone)| Some(host_zone) == zone);
    let local_count = local.len().min(max_hosts - max_hosts / OTHER_ZONES_PART);
    remote.truncate(max_hosts - local_count);
    hosts(local)
        .take(local_count)
        .chain(hosts(remote))
        .collect()
}
