//! Selects the entry hosts that callers are told to use.

use crate::ids::{FastSet, HostBrief, HostName, HostState, ZoneName};

/// What discovery knows beside the members.
pub struct DiscoveryScope<'a> {
    pub drained: &'a FastSet<HostName>,
    pub zones_out: &'a FastSet<ZoneName>,
    pub own_zone: &'a str,
    /// Counts the calls; successive values start at successive hosts.
    pub rotation: usize,
    pub limit: usize,
}

/// Lists the hosts that accept new callers: live, not drained and not in a zone taken out. Hosts
/// of the own zone come first; each of the two groups is rotated so that callers spread.
#[must_use]
pub fn list_addresses<'a>(
    members: &[(&'a HostBrief, HostState)],
    scope: &DiscoveryScope<'_>,
) -> Vec<&'a HostBrief> {
    let accepts = |brief: &HostBrief, state: HostState| {
        state == HostState::Live
            && !scope.drained.contains(&brief.name)
            && !scope.zones_out.contains(&brief.zone)
    };
    let mut hosts: Vec<&HostBrief> = members
        .iter()
        .filter(|(brief, state)| accepts(brief, *state))
        .map(|(brief, _)| *brief)
        .collect();
    // A stable order on every host, so that rotation visits all of them in turn.
    hosts.sort_unstable_by(|a, b| a.name.cmp(&b.name).then(a.incarnation.cmp(&b.incarnation)));
    let (mut near, mut far): (Vec<_>, Vec<_>) = hosts
        .into_iter()
        .partition(|brief| brief.zone == scope.own_zone);
    rotate(&mut near, scope.rotation);
    rotate(&mut far, scope.rotation);
    near.append(&mut far);
    near.truncate(scope.limit);
    near
}

fn rotate(hosts: &mut [&HostBrief], rotation: usize) {
    if !hosts.is_empty() {
        let count = hosts.len();
        hosts.rotate_left(rotation % count);
    }
}
