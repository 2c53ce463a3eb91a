//! Choice of an endpoint by predicted finish.

use std::time::{Duration, Instant};

use crate::configs::choice::ChoiceSettings;
use crate::endpoint_state::EndpointState;
use crate::fairness::QueuedTicket;
use crate::ids::VersionName;
use crate::learned::{SpeedTable, Speeds};
use crate::messages::QueueTicket;

/// Predicted times from the dispatch on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunForecast {
    /// Own prefill without that of requests placed earlier.
    pub prefill: Duration,
    pub first_token: Duration,
    pub finish: Duration,
    pub trusted: bool,
}

/// Versions that may run a request. `side` is the one to choose from.
#[derive(Clone, Debug)]
pub(crate) struct VersionChoice {
    pub allowed: Vec<VersionName>,
    pub side: VersionName,
}

/// What is asked about one request.
pub(crate) struct ChoiceQuery<'a> {
    pub queued: &'a QueuedTicket,
    pub versions: &'a VersionChoice,
    /// Only an endpoint without any known work will do.
    pub requires_idle: bool,
    /// Endpoint that is kept free for a crash suspect.
    pub kept_free: Option<usize>,
    pub now: Instant,
}

#[derive(Debug)]
pub(crate) enum ChoiceAnswer {
    Place {
        index: usize,
        forecast: RunForecast,
    },
    /// An endpoint without a free slot can still finish it in time.
    Wait,
    CannotFinish,
}

/// Endpoints and what was learned about them.
#[derive(Clone, Copy)]
pub(crate) struct EndpointChooser<'a> {
    pub endpoints: &'a [EndpointState],
    pub speeds: &'a SpeedTable,
    pub settings: &'a ChoiceSettings,
}

impl EndpointChooser<'_> {
    pub fn choose(&self, query: &ChoiceQuery) -> ChoiceAnswer {
        let ticket = &query.queued.ticket;
        let mut best: Option<(bool, Duration, usize, RunForecast)> = None;
        let mut possible = false;
        let mut fastest = None;
        for (index, endpoint) in self.endpoints.iter().enumerate() {
            if !endpoint.is_usable() || !query.versions.allowed.contains(&endpoint.version) {
                continue;
            }
            let speeds = self.endpoint_speeds(endpoint, query.now);
            let forecast = self.forecast(endpoint, &speeds, ticket, query.now);
            let in_time = query.now + forecast.finish <= query.queued.deadline;
            possible |=
                in_time || !forecast.trusted || self.can_finish_later(query, endpoint, &forecast);
            if !self.is_candidate(query, index, endpoint) || (forecast.trusted && !in_time) {
                continue;
            }
            let fastest = || *fastest.get_or_insert_with(|| self.fastest(query));
            let crowded = self.crowds_fastest(ticket, endpoint, &speeds, &forecast, fastest);
            let score = self.score(endpoint, &forecast);
            if best.is_none_or(|known| (crowded, score) < (known.0, known.1)) {
                best = Some((crowded, score, index, forecast));
            }
        }
        match best {
            Some((_, _, index, forecast)) => ChoiceAnswer::Place { index, forecast },
            None if possible => ChoiceAnswer::Wait,
            None => ChoiceAnswer::CannotFinish,
        }
    }

    /// Whether any endpoint is predicted to finish the request in time when `ahead` of queued work
    /// goes first. True when nothing reliable is known or no endpoint is usable at the moment.
    pub fn can_finish(&self, query: &ChoiceQuery, ahead: Duration) -> bool {
        let ticket = &query.queued.ticket;
        let usable = |endpoint: &&EndpointState| {
            endpoint.is_usable() && query.versions.allowed.contains(&endpoint.version)
        };
        let expected_cap = |endpoint: &EndpointState| {
            let cap = endpoint.slow_start.expected_cap(endpoint.limit.limit());
            EndpointState::usable_slots(cap, ticket.tier, self.settings)
        };
        let slots: u32 = self.endpoints.iter().filter(usable).map(expected_cap).sum();
        let queue_wait = ahead / slots.max(1);
        let mut any_usable = false;
        for endpoint in self.endpoints.iter().filter(usable) {
            any_usable = true;
            let speeds = self.endpoint_speeds(endpoint, query.now);
            let forecast = self.forecast(endpoint, &speeds, ticket, query.now);
            let slot_wait = endpoint.wait_time(ticket.tier, self.settings, query.now);
            let finish = query.now + forecast.finish + queue_wait + slot_wait;
            if !forecast.trusted || finish <= query.queued.deadline {
                return true;
            }
        }
        !any_usable
    }

    /// The backlog that is counted now will be done when a slot becomes free.
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
            trusted: speeds.trusted && (speeds.decode_known || ticket.max_tokens <= 1),
        }
    }

    /// Predicted finish, raised by the used share of the endpoint.
    fn score(&self, endpoint: &EndpointState, forecast: &RunForecast) -> Duration {
        let used = f64::from(endpoint.occupied()) / f64::from(endpoint.cap().max(1));
        forecast
            .finish
            .mul_f64(1.0 + self.settings.load_weight * used.min(4.0))
    }

    fn fastest(&self, query: &ChoiceQuery) -> f64 {
        let usable = self
            .endpoints
            .iter()
            .filter(|endpoint| endpoint.is_usable());
        let speed = |endpoint: &EndpointState| self.endpoint_speeds(endpoint, query.now).decode;
        usable.map(speed).fold(0.0, f64::max)
    }

    /// Whether long low-tier work would fill more than its part of a fastest endpoint.
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
        let part = endpoint.cap() * settings.long_work_percent / 100;
        long && endpoint.occupied() >= part.max(1) && speeds.decode >= fastest()
    }
}

pub(crate) fn leading_blocks<'a>(ticket: &'a QueueTicket, settings: &ChoiceSettings) -> &'a [u64] {
    let count = ticket.prefix_blocks.len().min(settings.block_limit);
    &ticket.prefix_blocks[..count]
}
