//! Permit grants of one owned pool: which queued request runs next, and on which endpoint.

use std::time::Instant;

use rand::Rng;

use crate::choice::{ChoiceAnswer, ChoiceQuery, RunForecast, VersionChoice, leading_blocks};
use crate::context::Context;
use crate::endpoint_state::{EndpointState, FlightEntry, FlightNumber};
use crate::fairness::{ArrivalNumber, QueuedTicket};
use crate::ids::{PermitNumber, TierNumber};
use crate::pool::{PoolEffect, PoolState, RunningPermit, SuspectRun};
use crate::pool_queue::refusal;
use crate::result_code::ResultCode;
use crate::rollout::RolloutSide;
use crate::suspect::SuspicionLevel;

/// Decision on the next request of a tier.
enum GrantDecision {
    Place {
        index: usize,
        forecast: RunForecast,
        side: RolloutSide,
    },
    Wait,
    Park,
    Refuse(ResultCode),
}

impl PoolState {
    /// Grants permits to all requests that can run now. It is called often, and only while this
    /// host owns the pool.
    pub fn grant(&mut self, context: &mut Context) -> Vec<PoolEffect> {
        let now = context.now;
        let mut effects = Vec::new();
        let proposal = self.runner.as_mut().and_then(|runner| runner.tick(context));
        effects.extend(proposal.map(PoolEffect::Propose));
        self.release_orphans(now);
        self.expire_takeover(now);
        self.refuse_expired(now, &mut effects);
        self.refuse_if_unusable(now, &mut effects);
        if self.is_baseline() {
            self.grant_baseline(context, &mut effects);
            return effects;
        }
        self.grant_suspect(context, &mut effects);
        for tier in self.queue.tiers() {
            self.grant_tier(tier, context, &mut effects);
        }
        effects
    }

    fn expire_takeover(&mut self, now: Instant) {
        let wait = self.settings.slow_start.takeover_wait;
        if now.saturating_duration_since(self.owned_since) >= wait {
            for endpoint in &mut self.endpoints {
                endpoint.slow_start.expire_unknown(now);
            }
        }
    }

    fn refuse_expired(&mut self, now: Instant, effects: &mut Vec<PoolEffect>) {
        while let Some(arrival) = self.queue.first_expired(now) {
            self.refuse_queued(arrival, ResultCode::DeadlinePassed, effects);
        }
    }

    fn refuse_queued(
        &mut self,
        arrival: ArrivalNumber,
        code: ResultCode,
        effects: &mut Vec<PoolEffect>,
    ) {
        if let Some(queued) = self.drop_queued(arrival) {
            effects.push(refusal(queued.id(), code));
        }
    }

    /// Refuses all queued requests if the pool has been without a usable endpoint for too long.
    fn refuse_if_unusable(&mut self, now: Instant, effects: &mut Vec<PoolEffect>) {
        if self.any_usable("") {
            self.unusable_since = None;
            return;
        }
        self.unusable_since.get_or_insert(now);
        if self.is_closed(now) {
            // Starts at the lowest tier, so that no tier is refused while a lower one is still
            // queued.
            for arrival in self.queue.arrivals().into_iter().rev() {
                self.refuse_queued(arrival, ResultCode::NoEndpoint, effects);
            }
        }
    }

    fn grant_tier(
        &mut self,
        tier: TierNumber,
        context: &mut Context,
        effects: &mut Vec<PoolEffect>,
    ) {
        let mut skipped = Vec::new();
        while skipped.len() < self.settings.max_skipped && self.has_room(tier, context.now) {
            let Some(arrival) = self.queue.next_in_tier(tier) else {
                break;
            };
            match self.decide_grant(arrival, context.now) {
                GrantDecision::Place {
                    index,
                    forecast,
                    side,
                } => effects.extend(self.issue_permit(arrival, index, forecast, side, context)),
                GrantDecision::Refuse(code) => self.refuse_queued(arrival, code, effects),
                GrantDecision::Park => self.park(arrival),
                GrantDecision::Wait => {
                    self.queue.set_aside(arrival);
                    skipped.push(arrival);
                }
            }
        }
        for arrival in skipped {
            self.queue.restore(arrival);
        }
    }

    /// Returns whether any endpoint has room for a request of `tier`.
    fn has_room(&self, tier: TierNumber, now: Instant) -> bool {
        let kept_free = self.kept_free_index();
        let settings = &self.settings.choice;
        let mut endpoints = self.endpoints.iter().enumerate();
        self.running.len() < self.settings.running_limit
            && endpoints.any(|(index, endpoint)| {
                Some(index) != kept_free && endpoint.has_free_slot(tier, settings, now)
            })
    }

    /// Returns the index of the endpoint that is kept free for a crash suspect.
    fn kept_free_index(&self) -> Option<usize> {
        let run = self.suspect_run.as_ref()?;
        self.endpoint_index.get(&run.endpoint).copied()
    }

    fn decide_grant(&self, arrival: ArrivalNumber, now: Instant) -> GrantDecision {
        let Some(queued) = self.queue.get(arrival) else {
            return GrantDecision::Wait;
        };
        match self.suspects.level(&queued.ticket.digest, now) {
            SuspicionLevel::Quarantined => GrantDecision::Refuse(ResultCode::Quarantined),
            SuspicionLevel::Suspect => GrantDecision::Park,
            SuspicionLevel::None => {
                self.choose_placement(queued, false, self.kept_free_index(), now)
            }
        }
    }

    /// Chooses an endpoint on the side that the rollout share selects. A request for the new
    /// version falls back to the old one. The reverse isn't allowed, since it would exceed the
    /// share.
    fn choose_placement(
        &self,
        queued: &QueuedTicket,
        requires_idle: bool,
        kept_free: Option<usize>,
        now: Instant,
    ) -> GrantDecision {
        let (versions, side) = self.versions_for(&queued.ticket.route);
        let choose = |versions: &VersionChoice| {
            let query = ChoiceQuery {
                queued,
                versions,
                requires_idle,
                kept_free,
                now,
            };
            self.chooser().choose(&query)
        };
        let mut answer = choose(&versions);
        let mut chosen_side = side;
        let may_fall_back = side == RolloutSide::New && versions.allowed.len() > 1;
        if may_fall_back && !matches!(answer, ChoiceAnswer::Place { .. }) {
            chosen_side = RolloutSide::Old;
            answer = choose(&VersionChoice {
                side: self.view.version.clone(),
                ..versions
            });
        }
        match answer {
            ChoiceAnswer::Place { index, forecast } => GrantDecision::Place {
                index,
                forecast,
                side: chosen_side,
            },
            ChoiceAnswer::Wait => GrantDecision::Wait,
            ChoiceAnswer::CannotFinish if !self.any_usable(&queued.ticket.route) => {
                GrantDecision::Wait
            }
            ChoiceAnswer::CannotFinish => GrantDecision::Refuse(ResultCode::DeadlineUnreachable),
        }
    }

    pub(crate) fn park(&mut self, arrival: ArrivalNumber) {
        self.queue.set_aside(arrival);
        if let Some(queued) = self.queue.get(arrival) {
            self.parked
                .insert((queued.ticket.tier, queued.deadline, arrival));
        }
    }

    /// Runs the next crash suspect alone on an endpoint. If no endpoint is idle, keeps the one with
    /// the least work free until it is idle, since a busy pool would otherwise never have one.
    fn grant_suspect(&mut self, context: &mut Context, effects: &mut Vec<PoolEffect>) {
        let now = context.now;
        if self
            .suspect_run
            .as_ref()
            .is_some_and(|run| run.running.is_some())
        {
            return;
        }
        self.unpark_cleared(now);
        let Some((_, _, arrival)) = self.parked.first().copied() else {
            self.suspect_run = None;
            return;
        };
        let Some(queued) = self.queue.get(arrival) else {
            return;
        };
        if self.suspects.level(&queued.ticket.digest, now) == SuspicionLevel::Quarantined {
            return self.refuse_queued(arrival, ResultCode::Quarantined, effects);
        }
        match self.choose_placement(queued, true, None, now) {
            GrantDecision::Place {
                index,
                forecast,
                side,
            } => {
                self.parked.pop_first();
                let id = queued.id();
                self.suspect_run = Some(SuspectRun {
                    endpoint: self.endpoints[index].name.clone(),
                    running: Some(id),
                });
                effects.extend(self.issue_permit(arrival, index, forecast, side, context));
            }
            GrantDecision::Refuse(code) => self.refuse_queued(arrival, code, effects),
            GrantDecision::Wait | GrantDecision::Park => self.keep_endpoint_free(arrival, now),
        }
    }

    /// Returns parked requests that are no longer suspects to the grant order.
    fn unpark_cleared(&mut self, now: Instant) {
        while let Some(place) = self.parked.first().copied() {
            let queued = self.queue.get(place.2);
            let is_cleared = queued.is_none_or(|queued| {
                self.suspects.level(&queued.ticket.digest, now) == SuspicionLevel::None
            });
            if !is_cleared {
                return;
            }
            self.parked.remove(&place);
            self.queue.restore(place.2);
        }
    }

    fn keep_endpoint_free(&mut self, arrival: ArrivalNumber, now: Instant) {
        let Some(queued) = self.queue.get(arrival) else {
            return;
        };
        let side = self.versions_for(&queued.ticket.route).0.side;
        let is_eligible = |endpoint: &&EndpointState| {
            endpoint.is_usable() && endpoint.version == side && endpoint.held_until(now).is_none()
        };
        let kept_index = self
            .suspect_run
            .as_ref()
            .and_then(|run| self.endpoint_index.get(&run.endpoint));
        if kept_index.is_some_and(|index| is_eligible(&&self.endpoints[*index])) {
            return;
        }
        let endpoints = self.endpoints.iter().filter(is_eligible);
        let least_loaded = endpoints.min_by_key(|endpoint| endpoint.flights.len());
        self.suspect_run = least_loaded.map(|endpoint| SuspectRun {
            endpoint: endpoint.name.clone(),
            running: None,
        });
    }

    /// Removes the ticket from the queue and issues a permit for it.
    pub(crate) fn issue_permit(
        &mut self,
        arrival: ArrivalNumber,
        index: usize,
        forecast: RunForecast,
        side: RolloutSide,
        context: &mut Context,
    ) -> Option<PoolEffect> {
        let now = context.now;
        let workspace = &self.queue.get(arrival)?.ticket.workspace;
        let weight = self.view.weights.get(workspace).copied().unwrap_or(1);
        let permit = self.next_permit_number(context);
        let queued = self.queue.take_granted(arrival, weight)?;
        let id = queued.id();
        let high_load = self.is_highly_loaded(index);
        let flight = self.begin_flight(index, &queued, &forecast, now);
        if let Some(runner) = &mut self.runner {
            runner.record_dispatch(&queued.ticket.route, side);
        }
        let endpoint = &self.endpoints[index];
        let running = RunningPermit {
            permit,
            endpoint: endpoint.name.clone(),
            version: endpoint.version.clone(),
            flight,
            granted: now,
            started: false,
            forecast: Some(forecast),
            high_load,
            weight,
            queued,
        };
        let effect = self.grant_effect(&id, &running, endpoint);
        self.running.insert(id, running);
        effect
    }

    fn is_highly_loaded(&self, index: usize) -> bool {
        let endpoint = &self.endpoints[index];
        u64::from(endpoint.occupied()) * 100
            >= u64::from(endpoint.cap()) * u64::from(self.settings.choice.high_load_percent)
    }

    fn begin_flight(
        &mut self,
        index: usize,
        queued: &QueuedTicket,
        forecast: &RunForecast,
        now: Instant,
    ) -> FlightNumber {
        self.next_flight += 1;
        let entry = FlightEntry {
            id: queued.id(),
            granted: now,
            ends: now + forecast.finish,
            prefill: forecast.prefill,
            orphaned: None,
        };
        let endpoint = &mut self.endpoints[index];
        endpoint.begin_flight(self.next_flight, entry);
        let blocks = leading_blocks(&queued.ticket, &self.settings.choice);
        endpoint.prefix.store(blocks);
        self.next_flight
    }

    /// Returns a new permit number. Each ownership starts at a random number, so numbers remain
    /// unique if this host loses the pool and owns it again.
    fn next_permit_number(&mut self, context: &mut Context) -> PermitNumber {
        let base = *self
            .permit_base
            .get_or_insert_with(|| PermitNumber::from(context.random.random::<u32>()) << 32);
        let number = base + self.next_permit;
        self.next_permit += 1;
        number
    }
}
