//! Choice of an endpoint for a request by predicted finish time.

use std::time::{Duration, Instant};

use crate::configs::choice::ChoiceSettings;
use crate::endpoint_state::{EndpointState, percentage_of};
use crate::fairness::QueuedTicket;
use crate::ids::VersionName;
use crate::learned::{SpeedTable, Speeds};
use crate::messages::QueueTicket;

/// Predicted durations of a run, counted from its dispatch.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunForecast {
    /// Prefill of this request, without that of requests placed on the endpoint earlier.
    pub prefill: Duration,
    pub first_token: Duration,
    pub finish: Duration,
    /// Whether the prediction is based on recent measurements.
    pub is_trusted: bool,
}

/// Versions that may run a request. Endpoints are chosen among those of version `side`.
#[derive(Clone, Debug)]
pub(crate) struct VersionChoice {
    pub allowed: Vec<VersionName>,
    pub side: VersionName,
}

/// Request to place and the constraints on its endpoint.
pub(crate) struct ChoiceQuery<'a> {
    pub queued: &'a QueuedTicket,
    pub versions: &'a VersionChoice,
    /// Whether only an endpoint without any work in flight is acceptable.
    pub requires_idle: bool,
    /// Index of the endpoint that is kept free for a crash suspect.
    pub kept_free: Option<usize>,
    pub now: Instant,
}

#[derive(Debug)]
pub(crate) enum ChoiceAnswer {
    Place {
        index: usize,
        forecast: RunForecast,
    },
    /// No endpoint takes the request now, but one may still finish it in time later.
    Wait,
    CannotFinish,
}

/// Endpoints of a pool with their learned speeds, from which one is chosen for each request.
#[derive(Clone, Copy)]
pub(crate) struct EndpointChooser<'a> {
    pub endpoints: &'a [EndpointState],
    pub speeds: &'a SpeedTable,
    pub settings: &'a ChoiceSettings,
}

impl EndpointChooser<'_> {
    /// Chooses the endpoint with the best score among those that can finish the request in time.
    pub fn choose(&self, query: &ChoiceQuery) -> ChoiceAnswer {
        let ticket = &query.queued.ticket;
        let mut best: Option<(bool, Duration, usize, RunForecast)> = None;
        let mut is_possible = false;
        let mut fastest = None;
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            if !endpoint.is_usable() || !query.versions.allowed.contains(&endpoint.version) {
                continue;
            }
            let speeds = self.endpoint_speeds(endpoint, query.now);
            let forecast = self.forecast(endpoint, &speeds, ticket, query.now);
            let in_time = query.now + forecast.finish <= query.queued.deadline;
            is_possible |= in_time
                || !forecast.is_trusted
                || self.can_finish_later(query, endpoint, &forecast);
            if !self.is_candidate(query, index, endpoint) || (forecast.is_trusted && !in_time) {
                continue;
            }
            let fastest = || *fastest.get_or_insert_with(|| self.fastest_decode(query));
            let is_crowding = self.crowds_fastest(ticket, endpoint, &speeds, &forecast, fastest);
            let score = self.score(endpoint, &forecast);
            if best.is_none_or(|known| (is_crowding, score) < (known.0, known.1)) {
                best = Some((is_crowding, score, index, forecast));
            }
        }
        match best {
            Some((_, _, index, forecast)) => ChoiceAnswer::Place { index, forecast },
            None if is_possible => ChoiceAnswer::Wait,
            None => ChoiceAnswer::CannotFinish,
        }
    }

    /// Returns whether any endpoint is predicted to finish the request in time after `work_ahead`,
    /// the queued work that goes first. Also returns true if a prediction isn't reliable or no
    /// endpoint is usable.
    pub fn can_finish(&self, query: &ChoiceQuery, work_ahead: Duration) -> bool {
        let ticket = &query.queued.ticket;
        let usable = |endpoint: &&EndpointState| {
            endpoint.is_usable() && query.versions.allowed.contains(&endpoint.version)
        };
        let expected_cap = |endpoint: &EndpointState| {
            let cap = endpoint.slow_start.expected_cap(endpoint.limit.limit());
            EndpointState::usable_slots(cap, ticket.tier, self.settings)
        };
        let caps = self.endpoints.iter().filter(usable).map(expected_cap);
        let slots = caps.fold(0, u32::saturating_add);
        let queue_wait = work_ahead / slots.max(1);
        let mut is_any_usable = false;
        for endpoint in self.endpoints.iter().filter(usable) {
            is_any_usable = true;
            let speeds = self.endpoint_speeds(endpoint, query.now);
            let forecast = self.forecast(endpoint, &speeds, ticket, query.now);
            let slot_wait = endpoint.wait_time(ticket.tier, self.settings, query.now);
            let finish = query.now + forecast.finish + queue_wait + slot_wait;
            if !forecast.is_trusted || finish <= query.queued.deadline {
                return true;
            }
        }
        !is_any_usable
    }

    /// Returns whether the endpoint can finish the request in time once a slot becomes free. The
    /// wait for a slot and the current prefill backlog overlap, so only the longer of them counts.
    fn can_finish_later(
        &self,
        query: &ChoiceQuery,
        endpoint: &EndpointState,
        forecast: &RunForecast,
    ) -> bool {
        let tier = query.queued.ticket.tier;
        let wait = endpoint.wait_time(tier, self.settings, query.now);
        let backlog = forecast.first_token.saturating_sub(forecast.prefill);
        let run = forecast.finish.saturating_sub(backlog);
        query.now + wait.max(backlog) + run <= query.queued.deadline
    }

    fn is_candidate(&self, query: &ChoiceQuery, index: usize, endpoint: &EndpointState) -> bool {
        endpoint.version == query.versions.side
            && query.kept_free != Some(index)
            && endpoint.has_free_slot(query.queued.ticket.tier, self.settings, query.now)
            && (!query.requires_idle || endpoint.flights.is_empty())
    }

    pub fn endpoint_speeds(&self, endpoint: &EndpointState, now: Instant) -> Speeds {
        self.speeds.speeds(
            &endpoint.speed,
            &endpoint.version,
            endpoint.limit.class(),
            now,
        )
    }

    pub fn forecast(
        &self,
        endpoint: &EndpointState,
        speeds: &Speeds,
        ticket: &QueueTicket,
        now: Instant,
    ) -> RunForecast {
        let blocks = leading_blocks(ticket, self.settings);
        let matched = u32::try_from(endpoint.prefix.matched(blocks)).unwrap_or(u32::MAX);
        let cached = matched.saturating_mul(self.settings.block_tokens);
        let prefill = speeds.prefill_time(ticket.prompt_tokens.saturating_sub(cached));
        let first_token = endpoint.prefill_backlog(now) + prefill;
        RunForecast {
            prefill,
            first_token,
            finish: first_token + speeds.decode_time(ticket.max_tokens),
            is_trusted: speeds.is_trusted && (speeds.is_decode_known || ticket.max_tokens <= 1),
        }
    }

    /// Returns the predicted finish time, increased in proportion to the endpoint's load.
    fn score(&self, endpoint: &EndpointState, forecast: &RunForecast) -> Duration {
        let used = f64::from(endpoint.occupied()) / f64::from(endpoint.cap().max(1));
        forecast
            .finish
            .mul_f64(1.0 + self.settings.load_weight * used.min(4.0))
    }

    fn fastest_decode(&self, query: &ChoiceQuery) -> f64 {
        let usable = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.is_usable());
        let speed = |endpoint: &EndpointState| self.endpoint_speeds(endpoint, query.now).decode;
        usable.map(speed).fold(0.0, f64::max)
    }

    /// Returns whether the request is long low-tier work and the endpoint is one of the fastest,
    /// with its limit for such work already reached.
    fn crowds_fastest(
        &self,
        ticket: &QueueTicket,
        endpoint: &EndpointState,
        speeds: &Speeds,
        forecast: &RunForecast,
        mut fastest: impl FnMut() -> f64,
    ) -> bool {
        let settings = self.settings;
        let long = ticket.tier >= settings.low_tier && forecast.finish >= settings.long_work;
        let long_work_slots = percentage_of(endpoint.cap(), settings.long_work_percent);
        long && endpoint.occupied() >= long_work_slots.max(1) && speeds.decode >= fastest()
    }
}

pub(crate) fn leading_blocks<'a>(ticket: &'a QueueTicket, settings: &ChoiceSettings) -> &'a [u64] {
    let count = ticket.prefix_blocks.len().min(settings.block_limit);
    &ticket.prefix_blocks[..count]
}
