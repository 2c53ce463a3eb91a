//! State of one owned pool: its view, versions and brakes. `pool_queue` admits requests,
//! `pool_grant` decides which of them run next, and `pool_report` and `pool_home` process the
//! reports of endpoints and homes.

use std::collections::BTreeSet;
use std::time::{Duration, Instant};

use crate::choice::{EndpointChooser, RunForecast, VersionChoice};
use crate::config_change::RolloutState;
use crate::configs::pool::PoolSettings;
use crate::context::Context;
use crate::endpoint_state::{EndpointState, FlightNumber};
use crate::fairness::{ArrivalNumber, QueuedTicket, TicketId, TicketQueue};
use crate::ids::{
    ConfigVersion, EndpointBrief, EndpointName, FastMap, FastSet, Incarnation, PermitNumber,
    PoolName, RequestKey, TierNumber, VersionName, WorkspaceName,
};
use crate::learned::SpeedTable;
use crate::messages::{PermitGrant, SuspectEntry, VersionBrake};
use crate::result_code::ResultCode;
use crate::retry_budget::RetryBudget;
use crate::rollout::{RolloutProposal, RolloutRunner, RolloutSide};
use crate::slow_start::WarmthState;
use crate::suspect::SuspectTable;

/// Maximum number of brakes that are kept from other hosts until the configuration settles them.
const MAX_ADOPTED_BRAKES: usize = 16;

/// Pool as described by the configuration and the host list.
#[derive(Clone, Debug, Default)]
pub struct PoolView {
    pub endpoints: Vec<EndpointBrief>,
    /// Listed endpoints that are leaving or whose zone is taken out. They finish what they run, but
    /// receive no new work.
    pub excluded: FastSet<EndpointName>,
    pub version: VersionName,
    pub rollout: Option<RolloutState>,
    pub weights: FastMap<WorkspaceName, u32>,
    pub config_version: ConfigVersion,
}

/// Load report of an engine. `age` is its age when it was received.
#[derive(Clone, Debug, PartialEq)]
pub struct LoadReport {
    pub age: Duration,
    pub version: VersionName,
    pub cold: bool,
    pub bearable: u32,
    pub running: u32,
    pub waiting: u32,
    pub capacity: u32,
    /// Sum over all running requests.
    pub tokens_per_second: f64,
}

#[derive(Clone, Debug, PartialEq)]
pub enum PoolEffect {
    Grant {
        home: Incarnation,
        grant: PermitGrant,
    },
    Refuse {
        home: Incarnation,
        key: RequestKey,
        code: ResultCode,
    },
    Propose(RolloutProposal),
}

/// Permit that was granted and whose run hasn't finished.
#[derive(Clone, Debug)]
pub(crate) struct RunningPermit {
    pub queued: QueuedTicket,
    pub permit: PermitNumber,
    pub endpoint: EndpointName,
    pub version: VersionName,
    pub flight: FlightNumber,
    pub granted: Instant,
    pub started: bool,
    /// `None` for runs that a previous owner granted.
    pub forecast: Option<RunForecast>,
    pub high_load: bool,
    /// Workspace weight that applied when the work was charged.
    pub weight: u32,
}

/// Endpoint that is kept free for a crash suspect, and the suspect that runs there. Only one
/// suspect runs at a time.
#[derive(Clone, Debug)]
pub(crate) struct SuspectRun {
    pub endpoint: EndpointName,
    /// `None` while the endpoint still has other work in flight.
    pub running: Option<TicketId>,
}

#[derive(Debug)]
pub struct PoolState {
    pub(crate) name: PoolName,
    pub(crate) settings: PoolSettings,
    pub(crate) owned_since: Instant,
    pub(crate) view: PoolView,
    pub(crate) has_view: bool,
    pub(crate) queue: TicketQueue,
    pub(crate) running: FastMap<TicketId, RunningPermit>,
    /// Sorted by name.
    pub(crate) endpoints: Vec<EndpointState>,
    pub(crate) endpoint_index: FastMap<EndpointName, usize>,
    pub(crate) speeds: SpeedTable,
    pub(crate) suspects: SuspectTable,
    /// Queued crash suspects that wait for their turn, in the order in which they run.
    pub(crate) parked: BTreeSet<(TierNumber, Instant, ArrivalNumber)>,
    pub(crate) suspect_run: Option<SuspectRun>,
    pub(crate) retries: RetryBudget,
    pub(crate) runner: Option<RolloutRunner>,
    pub(crate) adopted_brakes: Vec<VersionBrake>,
    pub(crate) orphans: BTreeSet<(Instant, TicketId)>,
    pub(crate) unusable_since: Option<Instant>,
    pub(crate) permit_base: Option<PermitNumber>,
    pub(crate) next_permit: PermitNumber,
    pub(crate) next_flight: FlightNumber,
    pub(crate) next_arrival: ArrivalNumber,
    /// Index at which a baseline policy starts to look for the next endpoint.
    pub(crate) next_baseline_index: usize,
}

impl PoolState {
    #[must_use]
    pub fn new(name: PoolName, settings: PoolSettings, now: Instant) -> Self {
        Self {
            name,
            owned_since: now,
            view: PoolView::default(),
            has_view: false,
            queue: TicketQueue::new(settings.fairness.clone()),
            running: FastMap::default(),
            endpoints: Vec::new(),
            endpoint_index: FastMap::default(),
            speeds: SpeedTable::new(settings.learned.clone()),
            suspects: SuspectTable::new(settings.suspect.clone()),
            parked: BTreeSet::new(),
            suspect_run: None,
            retries: RetryBudget::new(
                settings.retry_window,
                settings.retry_percent,
                settings.min_retries,
                settings.retry_entries,
            ),
            runner: None,
            adopted_brakes: Vec::new(),
            orphans: BTreeSet::new(),
            unusable_since: Some(now),
            permit_base: None,
            next_permit: 1,
            next_flight: 1,
            next_arrival: 1,
            next_baseline_index: 0,
            settings,
        }
    }

    pub fn set_view(&mut self, view: PoolView, context: &mut Context) -> Vec<PoolEffect> {
        let now = context.now;
        let first_state = if self.has_view {
            WarmthState::Cold
        } else {
            WarmthState::Unknown
        };
        for endpoint in &mut self.endpoints {
            endpoint.listed &= view
                .endpoints
                .iter()
                .any(|brief| brief.name == endpoint.name);
        }
        for brief in &view.endpoints {
            let position = self.ensure_endpoint(&brief.name, first_state, now);
            let excluded = brief.leaving || view.excluded.contains(&brief.name);
            self.endpoints[position].apply_listing(brief, excluded, now);
        }
        self.drop_unlisted();
        self.set_rollout(view.rollout.as_ref(), now);
        self.view = view;
        self.has_view = true;
        self.retain_listed_versions();
        Vec::new()
    }

    fn set_rollout(&mut self, rollout: Option<&RolloutState>, now: Instant) {
        let Some(state) = rollout else {
            self.runner = None;
            self.adopted_brakes.clear();
            return;
        };
        let is_same_rollout = self
            .view
            .rollout
            .as_ref()
            .is_some_and(|known| known.name == state.name);
        match self.runner.as_mut().filter(|_| is_same_rollout) {
            Some(runner) => runner.apply_state(state, now),
            None => self.runner = Some(RolloutRunner::new(state, &self.settings.rollout, now)),
        }
        self.adopted_brakes
            .retain(|brake| brake.rollout == state.name);
        if let (Some(runner), Some(brake)) = (&mut self.runner, self.adopted_brakes.first()) {
            runner.brake(&brake.reason);
        }
    }

    /// Returns the index of an endpoint, and adds the endpoint if it is unknown.
    pub(crate) fn ensure_endpoint(
        &mut self,
        name: &EndpointName,
        state: WarmthState,
        now: Instant,
    ) -> usize {
        if let Some(position) = self.endpoint_index.get(name) {
            return *position;
        }
        let endpoint = EndpointState::new(name.clone(), state, &self.settings, now);
        let position = self.endpoints.partition_point(|known| known.name < *name);
        self.endpoints.insert(position, endpoint);
        self.rebuild_index();
        position
    }

    fn drop_unlisted(&mut self) {
        self.endpoints
            .retain(|endpoint| endpoint.listed || !endpoint.flights.is_empty());
        self.rebuild_index();
    }

    fn rebuild_index(&mut self) {
        let entries = self.endpoints.iter().enumerate();
        self.endpoint_index = entries
            .map(|(position, endpoint)| (endpoint.name.clone(), position))
            .collect();
    }

    fn retain_listed_versions(&mut self) {
        let listed: FastSet<VersionName> = self
            .endpoints
            .iter()
            .map(|endpoint| endpoint.version.clone())
            .collect();
        let current = &self.view.version;
        self.speeds
            .retain_versions(|version| version == current || listed.contains(version));
    }

    /// Returns the versions that may run a request of `route`, and the side that the rollout share
    /// selects for it.
    pub(crate) fn versions_for(&self, route: &str) -> (VersionChoice, RolloutSide) {
        let only = |version: &VersionName, side| {
            let choice = VersionChoice {
                allowed: vec![version.clone()],
                side: version.clone(),
            };
            (choice, side)
        };
        let (Some(rollout), Some(runner)) = (&self.view.rollout, &self.runner) else {
            return only(&self.view.version, RolloutSide::Old);
        };
        if runner.brake_reason().is_some() {
            return only(&self.view.version, RolloutSide::Old);
        }
        if rollout.share_permille >= 1000 {
            return only(&rollout.to, RolloutSide::New);
        }
        let side = runner.choose_side(route);
        let choice = VersionChoice {
            allowed: vec![self.view.version.clone(), rollout.to.clone()],
            side: match side {
                RolloutSide::Old => self.view.version.clone(),
                RolloutSide::New => rollout.to.clone(),
            },
        };
        (choice, side)
    }

    pub(crate) fn chooser(&self) -> EndpointChooser<'_> {
        EndpointChooser {
            endpoints: &self.endpoints,
            speeds: &self.speeds,
            settings: &self.settings.choice,
        }
    }

    /// Returns whether the pool refuses requests because it has been without a usable endpoint for
    /// too long.
    pub(crate) fn is_closed(&self, now: Instant) -> bool {
        let has_timed_out = self.unusable_since.is_some_and(|since| {
            now.saturating_duration_since(since) >= self.settings.unusable_timeout
        });
        // `unusable_since` may be stale, because only `grant` updates it.
        has_timed_out && !self.any_usable("")
    }

    /// Returns whether there is a usable endpoint of a version that may run `route`.
    pub(crate) fn any_usable(&self, route: &str) -> bool {
        let allowed = self.versions_for(route).0.allowed;
        let mut endpoints = self.endpoints.iter();
        endpoints.any(|endpoint| endpoint.is_usable() && allowed.contains(&endpoint.version))
    }

    #[must_use]
    pub fn brakes(&self) -> Vec<VersionBrake> {
        let active_rollout = self.view.rollout.as_ref().zip(self.runner.as_ref());
        let own_brake = active_rollout.and_then(|(rollout, runner)| {
            Some(VersionBrake {
                pool: self.name.clone(),
                rollout: rollout.name.clone(),
                version: rollout.to.clone(),
                reason: runner.brake_reason()?.into(),
            })
        });
        match own_brake {
            Some(brake) => vec![brake],
            None => self.adopted_brakes.clone(),
        }
    }

    /// Adopts a brake from another host. Before the first view every brake is kept. Afterwards only
    /// a brake of the running rollout counts, because that of an earlier one must not stop it.
    pub fn adopt_brake(&mut self, brake: &VersionBrake) {
        let running = self.view.rollout.as_ref().map(|rollout| &rollout.name);
        let is_relevant = !self.has_view || running == Some(&brake.rollout);
        if brake.pool != self.name || !is_relevant || self.adopted_brakes.contains(brake) {
            return;
        }
        if let Some(runner) = &mut self.runner {
            runner.brake(&brake.reason);
        }
        if self.adopted_brakes.len() < MAX_ADOPTED_BRAKES {
            self.adopted_brakes.push(brake.clone());
        }
    }

    #[must_use]
    pub fn suspects(&self, now: Instant) -> Vec<SuspectEntry> {
        self.suspects.entries(&self.name, now)
    }

    pub fn adopt_suspect(&mut self, entry: &SuspectEntry, now: Instant) {
        if entry.pool == self.name {
            self.suspects.apply_entry(entry, now);
        }
    }
}
