//! What hubs tell of the usage of all other hosts.

use std::time::{Duration, Instant};

use super::usage_cap::{UsageCount, UsageReport};
use crate::ids::{FastMap, HostAddress, Incarnation, NameHash};

/// Time after which a hub that was silent counts as a new one: others have told meanwhile what it
/// had not. Six missed summaries.
const HUB_GAP: Duration = Duration::from_millis(600);

/// Usage of one workspace as one hub tells it.
#[derive(Clone, Copy, Debug)]
struct HubCount {
    /// What the hub said last. Each hub counts from its own start.
    said: UsageCount,
    /// The same on the scale of `RelayedUsage::counted`.
    place: UsageCount,
}

#[derive(Debug)]
struct HubUsage {
    incarnation: Incarnation,
    heard: Instant,
    counts: FastMap<NameHash, HubCount>,
}

/// Follows all hubs at once: the largest of their counts applies for each workspace. So the loss of one
/// hub hides no usage, and what both tell counts once.
#[derive(Debug, Default)]
pub(crate) struct RelayedUsage {
    hubs: FastMap<HostAddress, HubUsage>,
    counted: FastMap<NameHash, UsageCount>,
}

impl RelayedUsage {
    pub fn clear(&mut self) {
        self.hubs.clear();
    }

    /// Takes a hub's sums and returns what other hosts have used beyond what was known. The first
    /// sums of a hub only set its place.
    pub fn apply_sums(
        &mut self,
        hub: HostAddress,
        incarnation: Incarnation,
        reports: &[UsageReport],
        now: Instant,
    ) -> Vec<(NameHash, UsageCount)> {
        let known = self.hubs.get(&hub);
        let is_new = known.is_none_or(|usage| {
            usage.incarnation != incarnation || now.duration_since(usage.heard) > HUB_GAP
        });
        if is_new {
            let counts = FastMap::default();
            self.hubs.insert(
                hub,
                HubUsage {
                    incarnation,
                    heard: now,
                    counts,
                },
            );
        }
        let Some(usage) = self.hubs.get_mut(&hub) else {
            return Vec::new();
        };
        usage.heard = now;
        let mut more = Vec::new();
        for report in reports {
            let counted = self.counted.entry(report.workspace).or_default();
            let count = usage.counts.entry(report.workspace).or_insert(HubCount {
                // A workspace that a known hub tells for the first time has just begun.
                said: if is_new {
                    report.count
                } else {
                    UsageCount::default()
                },
                place: *counted,
            });
            count.place = count.place.plus(report.count.since(count.said));
            count.said = report.count;
            let news = count.place.since(*counted);
            if news != UsageCount::default() {
                more.push((report.workspace, news));
                *counted = counted.max_with(count.place);
            }
        }
        more
    }
}
