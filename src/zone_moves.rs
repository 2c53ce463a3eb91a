//! Zone moves that this host has applied, and the running work that pool owners report.

use std::time::{Duration, Instant};

use crate::config_document::{ZoneEntry, ZoneState};
use crate::ids::{ConfigVersion, FastMap, PoolName, ZoneName};
use crate::messages::PoolWork;
use crate::progress::PoolUsage;

/// Interval between two queries to the pool owners.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Age from which an owner's report is stale. It equals the lease, after which another host may own
/// the pool.
const REPORT_VALIDITY: Duration = Duration::from_millis(1500);

/// The most recent move of one zone.
#[derive(Clone, Debug)]
pub(crate) struct ZoneMove {
    pub state: ZoneState,
    pub version: ConfigVersion,
    /// Time since the Unix epoch at which this host applied the move.
    pub applied_at: Duration,
    /// Time since the Unix epoch at which this host learned that a majority had applied the move.
    pub confirmed_at: Option<Duration>,
    /// Pools that have reported work in the zone since the move.
    used_by: Vec<PoolName>,
}

/// Moves of all zones, and the newest report of each pool owner.
#[derive(Debug, Default)]
pub(crate) struct MoveTable {
    zones: FastMap<ZoneName, ZoneMove>,
    reports: FastMap<PoolName, (Instant, PoolWork)>,
    next_query_at: Option<Instant>,
}

impl MoveTable {
    /// Applies the zones of a new configuration.
    pub(crate) fn apply_zones(
        &mut self,
        zones: &[ZoneEntry],
        version: ConfigVersion,
        now: Duration,
    ) {
        self.zones
            .retain(|name, _| zones.iter().any(|zone| zone.name == *name));
        for zone in zones {
            let known = self.zones.get(&zone.name);
            if known.is_some_and(|zone_move| zone_move.state == zone.state) {
                continue;
            }
            let zone_move = ZoneMove {
                state: zone.state,
                version,
                applied_at: now,
                confirmed_at: None,
                used_by: Vec::new(),
            };
            self.zones.insert(zone.name.clone(), zone_move);
        }
    }

    /// Marks the moves that a majority has applied as confirmed.
    pub(crate) fn confirm(&mut self, now: Duration, is_confirmed: impl Fn(ConfigVersion) -> bool) {
        for zone_move in self.zones.values_mut() {
            if zone_move.confirmed_at.is_none() && is_confirmed(zone_move.version) {
                zone_move.confirmed_at = Some(now);
            }
        }
    }

    pub(crate) fn zone(&self, name: &str) -> Option<&ZoneMove> {
        self.zones.get(name)
    }

    /// Records the work that pool owners report.
    pub(crate) fn record_work(&mut self, reports: Vec<PoolWork>, now: Instant) {
        for work in reports {
            for (zone, running) in &work.zones {
                if let Some(zone_move) = self.zones.get_mut(zone)
                    && *running > 0
                    && work.config_version >= zone_move.version
                    && !zone_move.used_by.contains(&work.pool)
                {
                    zone_move.used_by.push(work.pool.clone());
                }
            }
            self.reports.insert(work.pool.clone(), (now, work));
        }
    }

    /// Returns whether the owners are to be queried now, and if so schedules the next query.
    pub(crate) fn start_query_if_due(&mut self, now: Instant) -> bool {
        if self.next_query_at.is_some_and(|next| now < next) {
            return false;
        }
        self.next_query_at = Some(now + QUERY_INTERVAL);
        true
    }

    /// Returns the first pool without a recent report by its owner at the move's version.
    pub(crate) fn find_unanswered_pool<'a>(
        &self,
        pools: &'a [PoolName],
        version: ConfigVersion,
        now: Instant,
    ) -> Option<&'a PoolName> {
        pools.iter().find(|pool| {
            self.reports.get(*pool).is_none_or(|(received_at, work)| {
                work.config_version < version
                    || now.saturating_duration_since(*received_at) >= REPORT_VALIDITY
            })
        })
    }

    /// Returns each pool's use of a zone, as its owner last reported it.
    pub(crate) fn pool_usages(&self, zone: &str, pools: &[PoolName]) -> Vec<PoolUsage> {
        let zone_move = self.zones.get(zone);
        let is_used =
            |pool: &PoolName| zone_move.is_some_and(|zone_move| zone_move.used_by.contains(pool));
        let pool_usage = |pool: &PoolName| {
            let (_, work) = self.reports.get(pool)?;
            let entry = work.zones.iter().find(|(name, _)| name == zone)?;
            Some(PoolUsage {
                pool: pool.clone(),
                last_grant: zone_move
                    .filter(|_| is_used(pool))
                    .map(|zone_move| zone_move.applied_at),
                running: entry.1,
            })
        };
        pools.iter().filter_map(pool_usage).collect()
    }
}
