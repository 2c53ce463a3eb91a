//! Usage of all other hosts, as reported by hubs.

use std::time::{Duration, Instant};

use super::usage_cap::{UsageCount, UsageReport};
use crate::ids::{FastMap, HostAddress, Incarnation, NameHash};

/// Silence after which a hub counts as a new one, because other hubs have meanwhile reported usage
/// that it had not: six missed summaries.
const MAX_HUB_SILENCE: Duration = Duration::from_millis(600);

/// Usage of one workspace as reported by one hub.
#[derive(Clone, Copy, Debug)]
struct HubCount {
    /// Latest count from the hub. Each hub counts from its own start.
    reported: UsageCount,
    /// Position of that count on the scale of `RelayedUsage::totals`.
    position: UsageCount,
}

#[derive(Debug)]
struct HubUsage {
    incarnation: Incarnation,
    last_received: Instant,
    counts: FastMap<NameHash, HubCount>,
}

/// Tracks all hubs at once and uses the highest count of any hub for each workspace. So the loss of
/// one hub hides no usage, and usage that several hubs report counts once.
#[derive(Debug, Default)]
pub(crate) struct RelayedUsage {
    hubs: FastMap<HostAddress, HubUsage>,
    totals: FastMap<NameHash, UsageCount>,
}

impl RelayedUsage {
    pub fn clear(&mut self) {
        self.hubs.clear();
    }

    /// Applies a hub's sums and returns what other hosts have used beyond what was known. The first
    /// sums of a hub only set its position.
    pub fn apply_sums(
        &mut self,
        hub: HostAddress,
        incarnation: Incarnation,
        reports: &[UsageReport],
        now: Instant,
    ) -> Vec<(NameHash, UsageCount)> {
        let previous = self.hubs.get(&hub);
        let is_new = previous.is_none_or(|usage| {
            usage.incarnation != incarnation
                || now.duration_since(usage.last_received) > MAX_HUB_SILENCE
        });
        if is_new {
            let counts = FastMap::default();
            self.hubs.insert(
                hub,
                HubUsage {
                    incarnation,
                    last_received: now,
                    counts,
                },
            );
        }
        let Some(usage) = self.hubs.get_mut(&hub) else {
            return Vec::new();
        };
        usage.last_received = now;
        let mut increments = Vec::new();
        for report in reports {
            let total = self.totals.entry(report.workspace).or_default();
            let count = usage.counts.entry(report.workspace).or_insert(HubCount {
                // If a known hub reports a workspace for the first time, its usage has just begun.
                reported: if is_new {
                    report.count
                } else {
                    UsageCount::default()
                },
                position: *total,
            });
            count.position = count.position.plus(report.count.since(count.reported));
            count.reported = report.count;
            let increment = count.position.since(*total);
            if increment != UsageCount::default() {
                increments.push((report.workspace, increment));
                *total = total.max_with(count.position);
            }
        }
        increments
    }
}
