//! Guards against callers that are sent to hosts which refuse them, or all to the same host.

use crate::discovery::{DiscoveryScope, list_addresses};
use crate::ids::{HostBrief, HostState};
use crate::member_simulation::host_brief;

#[test]
fn only_accepting_hosts_are_listed_and_own_zone_comes_first() {
    let mut briefs: Vec<HostBrief> = (0..8).map(|index| host_brief(index, 1)).collect();
    for index in [1, 5] {
        briefs[index].zone = "krk-b".into();
    }
    briefs[7].zone = "kat-c".into();
    let state = |index| match index {
        2 => HostState::Leaving,
        3 => HostState::Starting,
        _ => HostState::Live,
    };
    let members: Vec<_> = briefs.iter().zip((0..8).map(state)).collect();
    let drained = std::iter::once("g".into()).collect();
    let zones_out = std::iter::once("kat-c".into()).collect();
    let names = |rotation, limit| -> Vec<&str> {
        let scope = DiscoveryScope {
            drained: &drained,
            zones_out: &zones_out,
            own_zone: "krk-b",
            rotation,
            limit,
        };
        let hosts = list_addresses(&members, &scope);
        hosts.iter().map(|brief| brief.name.as_str()).collect()
    };
    assert_eq!(names(0, 9), ["b", "f", "a", "e"]);
    assert_eq!(names(1, 9), ["f", "b", "e", "a"]);
    assert_eq!(names(usize::MAX, 3), ["f", "b", "e"]);
}
