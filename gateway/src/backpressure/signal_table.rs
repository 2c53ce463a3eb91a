//! The latest statements of all endpoints.

use std::time::{Duration, Instant};

use super::signal::{EndpointSignal, RateMilli};
use crate::ids::{FastMap, IncarnationHash};

/// Time for which the statements of an endpoint that is no longer registered are kept. An entry may
/// lapse while the store is unreachable and come back.
const RETENTION_TIME: Duration = Duration::from_mins(10);

/// Change of what is known of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SignalChange {
    RateLimit {
        before: Option<RateMilli>,
        limit: Option<RateMilli>,
    },
    Paused(Duration),
    Leaving,
}

/// The limit that an endpoint named, or that it named none.
#[derive(Clone, Copy, Debug)]
struct LimitStatement {
    limit: Option<RateMilli>,
    /// When the request was sent whose answer said so.
    asked: Instant,
    /// When an answer last said so.
    heard: Instant,
}

#[derive(Debug, Default)]
struct EndpointSignals {
    limit: Option<LimitStatement>,
    paused_until: Option<Instant>,
    leaving: bool,
    last_heard: Option<Instant>,
}

impl EndpointSignals {
    /// Applies a statement about the limit unless a newer one is known. An answer that permits more
    /// must belong to a request that was sent after the last answer that permitted less, because
    /// the answers of requests that run side by side arrive in any order.
    fn apply_limit(&mut self, statement: LimitStatement) -> Option<SignalChange> {
        let Some(known) = &mut self.limit else {
            let limit = Some(statement.limit?);
            self.limit = Some(statement);
            return Some(SignalChange::RateLimit {
                before: None,
                limit,
            });
        };
        if known.limit == statement.limit {
            known.asked = known.asked.max(statement.asked);
            known.heard = known.heard.max(statement.heard);
            return None;
        }
        let permits_more = match (known.limit, statement.limit) {
            (Some(known), Some(limit)) => limit > known,
            (Some(_), None) => true,
            (None, _) => false,
        };
        let newer_than = if permits_more {
            known.heard
        } else {
            known.asked
        };
        if statement.asked < newer_than {
            return None;
        }
        let before = known.limit;
        *known = statement;
        Some(SignalChange::RateLimit {
            before,
            limit: statement.limit,
        })
    }

    fn is_empty(&self, now: Instant) -> bool {
        self.limit.is_none() && !self.leaving && self.paused_until.is_none_or(|until| now >= until)
    }
}

/// The statements of all endpoints that made any. They belong to one incarnation of an endpoint.
#[derive(Debug, Default)]
pub struct SignalTable {
    endpoints: FastMap<IncarnationHash, EndpointSignals>,
}

impl SignalTable {
    /// Applies what an endpoint said in an answer that arrived at `now`, to a request that was sent
    /// at `asked`.
    pub fn apply_signal(
        &mut self,
        endpoint: IncarnationHash,
        signal: EndpointSignal,
        asked: Instant,
        now: Instant,
    ) -> Option<SignalChange> {
        let limit = match signal {
            EndpointSignal::RateLimit(limit) => Some(limit),
            EndpointSignal::NoRateLimit => {
                let known = self.endpoints.get(&endpoint);
                known.filter(|signals| signals.limit.is_some())?;
                None
            }
            EndpointSignal::Pause(pause) => {
                let signals = self.signals_of(endpoint, now);
                let until = Some(now + pause);
                if pause.is_zero() || signals.paused_until >= until {
                    return None;
                }
                signals.paused_until = until;
                return Some(SignalChange::Paused(pause));
            }
            EndpointSignal::Leaving => {
                let signals = self.signals_of(endpoint, now);
                let was_leaving = std::mem::replace(&mut signals.leaving, true);
                return (!was_leaving).then_some(SignalChange::Leaving);
            }
        };
        let statement = LimitStatement {
            limit,
            asked,
            heard: now,
        };
        self.signals_of(endpoint, now).apply_limit(statement)
    }

    fn signals_of(&mut self, endpoint: IncarnationHash, now: Instant) -> &mut EndpointSignals {
        let signals = self.endpoints.entry(endpoint).or_default();
        signals.last_heard = Some(now);
        signals
    }

    /// Drops what is known of endpoints that are no longer registered and were not heard for long.
    pub fn drop_expired(&mut self, registered: impl Fn(IncarnationHash) -> bool, now: Instant) {
        self.endpoints.retain(|endpoint, signals| {
            let is_recent = signals
                .last_heard
                .is_some_and(|heard| now.saturating_duration_since(heard) < RETENTION_TIME);
            !signals.is_empty(now) && (is_recent || registered(*endpoint))
        });
    }
}
