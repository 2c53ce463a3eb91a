//! Zone moves as this host has seen them, and the work that pool owners say still runs.

use std::time::{Duration, Instant};

use crate::config_document::{ZoneEntry, ZoneState};
use crate::ids::{ConfigVersion, FastMap, PoolName, ZoneName};
use crate::messages::PoolWork;
use crate::progress::PoolUsage;

/// Time between two questions to the pool owners.
const QUERY_INTERVAL: Duration = Duration::from_millis(500);
/// Age above which an owner's answer says nothing about the present; a lease, after which another
/// host may own the pool.
const ANSWER_VALIDITY: Duration = Duration::from_millis(1500);

/// The last move of one zone.
#[derive(Clone, Debug)]
pub(crate) struct ZoneMove {
    pub state: ZoneState,
    pub version: ConfigVersion,
    /// When this host applied it, since the Unix epoch.
    pub recorded: Duration,
    /// When this host knew that a majority had applied it.
    pub confirmed: Option<Duration>,
    /// Pools that were seen to have work in the zone since.
    used: Vec<PoolName>,
}

/// Moves of all zones, and the owners' newest answers.
#[derive(Debug, Default)]
pub(crate) struct MoveTable {
    zones: FastMap<ZoneName, ZoneMove>,
    answers: FastMap<PoolName, (Instant, PoolWork)>,
    next_query: Option<Instant>,
}

impl MoveTable {
    /// Takes the zones of a new configuration.
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
                recorded: now,
                confirmed: None,
                used: Vec::new(),
            };
            self.zones.insert(zone.name.clone(), zone_move);
        }
    }

    /// Notes the moves that a majority has applied.
    pub(crate) fn confirm(&mut self, now: Duration, confirmed: impl Fn(ConfigVersion) -> bool) {
        for zone_move in self.zones.values_mut() {
            if zone_move.confirmed.is_none() && confirmed(zone_move.version) {
                zone_move.confirmed = Some(now);
            }
        }
    }

    pub(crate) fn zone(&self, name: &str) -> Option<&ZoneMove> {
        self.zones.get(name)
    }

    /// Takes an owner's answer.
    pub(crate) fn record_work(&mut self, work: Vec<PoolWork>, now: Instant) {
        for work in work {
            for (zone, running) in &work.zones {
                if let Some(zone_move) = self.zones.get_mut(zone)
                    && *running > 0
                    && work.config_version >= zone_move.version
                    && !zone_move.used.contains(&work.pool)
                {
                    zone_move.used.push(work.pool.clone());
                }
            }
            self.answers.insert(work.pool.clone(), (now, work));
        }
    }

    /// Whether the owners should be asked now.
    pub(crate) fn start_query_if_due(&mut self, now: Instant) -> bool {
        if self.next_query.is_some_and(|next| now < next) {
            return false;
        }
        self.next_query = Some(now + QUERY_INTERVAL);
        true
    }

    /// The first pool whose owner has not answered lately, under the version of the move.
    pub(crate) fn find_unanswered_pool<'a>(
        &self,
        pools: &'a [PoolName],
        version: ConfigVersion,
        now: Instant,
    ) -> Option<&'a PoolName> {
        pools.iter().find(|pool| {
            self.answers.get(*pool).is_none_or(|(heard, work)| {
                work.config_version < version
                    || now.saturating_duration_since(*heard) >= ANSWER_VALIDITY
            })
        })
    }

    /// Use of a zone by each pool, as its owner stated it last.
    pub(crate) fn pool_usages(&self, zone: &str, pools: &[PoolName]) -> Vec<PoolUsage> {
        let zone_move = self.zones.get(zone);
        let used =
            |pool: &PoolName| zone_move.is_some_and(|zone_move| zone_move.used.contains(pool));
        let of_pool = |pool: &PoolName| {
            let (_, work) = self.answers.get(pool)?;
            let entry = work.zones.iter().find(|(name, _)| name == zone)?;
            Some(PoolUsage {
                pool: pool.clone(),
                last_grant: zone_move
                    .filter(|_| used(pool))
                    .map(|zone_move| zone_move.recorded),
                running: entry.1,
            })
        };
        pools.iter().filter_map(of_pool).collect()
    }
}
