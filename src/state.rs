//! The state of one entry host. Only the reducer changes it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::claim::ClaimTable;
use crate::config_state::ConfigState;
use crate::configs::claim::ClaimSettings;
use crate::configs::daemon::DaemonSettings;
use crate::configs::membership::MemberSettings;
use crate::configs::pool::PoolSettings;
use crate::configs::request::RequestSettings;
use crate::events::{AppendId, Counter, Effect, HostListing};
use crate::host_listing::ListSmoother;
use crate::ids::{EndpointBrief, FastMap, PoolKind, PoolName};
use crate::log_progress::LogProgress;
use crate::lookup::LookupTable;
use crate::membership::{LocalFacts, MemberTable};
use crate::messages::{SuspectEntry, VersionBrake};
use crate::operator::OperatorTable;
use crate::pool::PoolState;
use crate::request::RequestTable;
use crate::snapshot_parts::SnapshotAssembly;
use crate::zone_moves::MoveTable;

/// What an append to the log was for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum AppendPurpose {
    Claims {
        batch: u64,
    },
    OperatorChange {
        id: CompactString,
    },
    /// Rollout steps, verdicts and snapshots; repeated by their makers if lost.
    Housekeeping,
}

/// Everything that an entry host knows. Nothing of it is on disk.
pub(crate) struct State {
    pub region: crate::ids::RegionName,
    pub bootstrap_token: String,
    pub discovery_ttl: Duration,
    pub drain_limit: Duration,
    pub snapshot_interval: Duration,
    pub config: ConfigState,
    pub log: LogProgress,
    pub members: MemberTable,
    pub snapshots: SnapshotAssembly,
    pub smoother: ListSmoother,
    pub listing: HostListing,
    /// Endpoints of the own region, with "leaving" held against a flapping list.
    pub endpoints: Vec<EndpointBrief>,
    pub pool_names: Vec<PoolName>,
    /// Pools that this host owns.
    pub pools: FastMap<PoolName, PoolState>,
    pub pool_settings: PoolSettings,
    /// Brakes and suspects heard from other owners, for the next ownership.
    pub brakes: Vec<VersionBrake>,
    pub suspects: Vec<(Instant, SuspectEntry)>,
    pub requests: RequestTable,
    pub claims: ClaimTable,
    pub lookups: LookupTable,
    pub operators: OperatorTable,
    pub moves: MoveTable,
    pub appends: FastMap<AppendId, AppendPurpose>,
    pub next_append: AppendId,
    pub ownerless: FastMap<PoolName, Instant>,
    pub counters: FastMap<Counter, u64>,
    pub leaving_since: Option<Instant>,
    pub discovery_turn: usize,
    pub next_sync: Instant,
    pub next_poll: Instant,
    pub next_snapshot_check: Instant,
}

/// Part of the memory of bodies that answers may occupy which are kept to be read again.
const KEPT_ANSWER_DIVISOR: usize = 8;

impl State {
    pub(crate) fn new(settings: &DaemonSettings, nonce_seed: u64, now: Instant) -> Self {
        let request_settings = RequestSettings {
            max_open: settings.max_requests,
            max_kept_bytes: settings.memory_plan().body_bytes / KEPT_ANSWER_DIVISOR,
            ..RequestSettings::default()
        };
        let mut pool_settings = PoolSettings {
            policy: settings.policy,
            ..PoolSettings::default()
        };
        pool_settings.fairness.queue_limit = settings.max_queued;
        let claim_settings = ClaimSettings {
            window: settings.claim_window,
            ..ClaimSettings::default()
        };
        Self {
            region: settings.region.clone(),
            bootstrap_token: String::from_utf8_lossy(settings.peer_secret.as_bytes()).into_owned(),
            discovery_ttl: settings.discovery_ttl,
            drain_limit: settings.drain_limit,
            snapshot_interval: settings.claim_window,
            config: ConfigState::default(),
            log: LogProgress::default(),
            members: MemberTable::new(MemberSettings::default(), settings.peers.clone(), now),
            snapshots: SnapshotAssembly::default(),
            smoother: ListSmoother::default(),
            listing: HostListing::default(),
            endpoints: Vec::new(),
            pool_names: Vec::new(),
            pools: FastMap::default(),
            pool_settings,
            brakes: Vec::new(),
            suspects: Vec::new(),
            requests: RequestTable::new(request_settings),
            claims: ClaimTable::new(claim_settings, nonce_seed),
            lookups: LookupTable::default(),
            operators: OperatorTable::default(),
            moves: MoveTable::default(),
            appends: FastMap::default(),
            next_append: 0,
            ownerless: FastMap::default(),
            counters: FastMap::default(),
            leaving_since: None,
            discovery_turn: 0,
            next_sync: now,
            next_poll: now,
            next_snapshot_check: now,
        }
    }

    /// Splits off membership, with what it needs to know of the other concerns.
    pub(crate) fn split_members(&mut self, now: Instant) -> (&mut MemberTable, LocalFacts<'_>) {
        let mut brakes: Vec<VersionBrake> = Vec::new();
        let mut suspects = Vec::new();
        let mut names: Vec<&PoolName> = self.pools.keys().collect();
        names.sort();
        for name in names {
            brakes.extend(self.pools[name].brakes());
            suspects.extend(self.pools[name].suspects(now));
        }
        // Passed on by every host, because the next owner may not have heard the last one.
        for brake in &self.brakes {
            if brakes.iter().all(|known| known.rollout != brake.rollout) {
                brakes.push(brake.clone());
            }
        }
        let facts = LocalFacts {
            config_version: self.config.version(),
            log_age: self.log.age(now),
            log_end_read: self.log.has_read_end(),
            brakes,
            suspects,
            pools: &self.pool_names,
        };
        (&mut self.members, facts)
    }

    /// Registers an append and asks for it.
    pub(crate) fn append(
        &mut self,
        topic: crate::events::LogTopic,
        records: Vec<String>,
        purpose: AppendPurpose,
    ) -> Effect {
        self.next_append += 1;
        self.appends.insert(self.next_append, purpose);
        Effect::Append {
            append: self.next_append,
            topic,
            records,
        }
    }

    /// Addresses of the model engines of the region, for the search of a stream.
    pub(crate) fn engine_addresses(&self) -> Vec<SocketAddr> {
        self.endpoints
            .iter()
            .filter(|endpoint| endpoint.kind == PoolKind::Engine)
            .map(|endpoint| endpoint.address)
            .collect()
    }

    /// Whether this host's configuration forbids new work on an endpoint.
    pub(crate) fn is_excluded(&self, endpoint: &EndpointBrief) -> bool {
        endpoint.leaving
            || self.config.is_zone_out(&endpoint.zone)
            || self.config.is_host_drained(&endpoint.name)
    }
}
