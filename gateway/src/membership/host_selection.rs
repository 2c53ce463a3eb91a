//! Which hosts are named to a caller that asks where to connect.

use rand::Rng;
use rand::seq::SliceRandom;

use crate::ids::{HostAddress, ZoneName};

/// Part of an answer that is left to hosts of other zones, so that a caller whose zone fails has
/// someone to turn to.
const OTHER_ZONES_PART: usize = 8;

/// Names up to `most` of the `serving` hosts. All of them where there are no more; else those of
/// the caller's zone first, drawn anew for each caller, so that every host is named as often.
pub fn select_hosts(
    mut serving: Vec<(HostAddress, ZoneName)>,
    zone: Option<&ZoneName>,
    most: usize,
    random: &mut impl Rng,
) -> Vec<HostAddress> {
    let hosts = |list: Vec<(HostAddress, ZoneName)>| list.into_iter().map(|(host, _)| host);
    if serving.len() <= most {
        return hosts(serving).collect();
    }
    serving.shuffle(random);
    let (near, mut far): (Vec<_>, Vec<_>) =
        serving.into_iter().partition(|(_, of)| Some(of) == zone);
    let near_count = near.len().min(most - most / OTHER_ZONES_PART);
    far.truncate(most - near_count);
    hosts(near).take(near_count).chain(hosts(far)).collect()
}
