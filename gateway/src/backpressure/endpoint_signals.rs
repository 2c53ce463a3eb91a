//! The latest statements of one endpoint.

use std::time::{Duration, Instant};

use super::limit_share::LimitShare;
use super::signal::RateMilli;
use super::signal_report::{ReportedSignal, SignalReport};
use crate::gossip::{ReportSchedule, age_ms};
use crate::ids::IncarnationHash;

/// Time for which the end of a limit is remembered, so that late reports don't restore the limit.
const LIFTED_TIME: Duration = Duration::from_secs(10);
/// Time after the end of a limit until an endpoint gets requests without restriction.
const RAMP_TIME: Duration = Duration::from_millis(1_500);
/// Time in which the rate doubles after the end of a limit.
const RAMP_DOUBLING_TIME: Duration = Duration::from_millis(250);
/// Time without an answer after which a limited endpoint is preferred for the next request.
const PROBE_INTERVAL: Duration = Duration::from_secs(1);

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
pub(super) struct LimitStatement {
    pub limit: Option<RateMilli>,
    /// When the request was sent whose answer said so.
    pub asked: Instant,
    /// When an answer last named the limit, or first named none.
    pub heard: Instant,
}

/// What one endpoint has said, and this host's share of its limit.
#[derive(Debug)]
pub(super) struct EndpointSignals {
    pub limit: Option<LimitStatement>,
    pub share: LimitShare,
    /// Version of the sender view for which the share was computed.
    pub view_version: Option<u64>,
    pub paused_until: Option<Instant>,
    /// When the endpoint was first heard to be leaving.
    pub leaving_since: Option<Instant>,
    pub last_change: Instant,
    pub schedule: ReportSchedule,
}

impl EndpointSignals {
    pub fn new(now: Instant) -> Self {
        Self {
            limit: None,
            share: LimitShare::default(),
            view_version: None,
            paused_until: None,
            leaving_since: None,
            last_change: now,
            schedule: ReportSchedule::default(),
        }
    }

    /// Applies a statement about the limit unless a newer one is known. An answer that permits more
    /// must belong to a request that was sent after the last answer that permitted less, because
    /// the answers of requests that run side by side arrive in any order.
    pub fn apply_limit(&mut self, statement: LimitStatement) -> Option<SignalChange> {
        let Some(known) = &mut self.limit else {
            let limit = Some(statement.limit?);
            self.limit = Some(statement);
            self.view_version = None;
            return Some(SignalChange::RateLimit {
                before: None,
                limit,
            });
        };
        if known.limit == statement.limit {
            known.asked = known.asked.max(statement.asked);
            if known.limit.is_some() {
                known.heard = known.heard.max(statement.heard);
            }
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
        if statement.limit.is_some() {
            self.view_version = None;
            if before.is_none() {
                self.share = LimitShare::default();
            }
        }
        Some(SignalChange::RateLimit {
            before,
            limit: statement.limit,
        })
    }

    pub fn apply_leaving(&mut self, now: Instant) -> Option<SignalChange> {
        if self.leaving_since.is_some() {
            return None;
        }
        self.leaving_since = Some(now);
        Some(SignalChange::Leaving)
    }

    /// Schedules reports of a change, if there is one.
    pub fn record_change(
        &mut self,
        change: Option<SignalChange>,
        now: Instant,
    ) -> Option<SignalChange> {
        if change.is_some() {
            self.last_change = now;
            self.schedule.restart(now);
        }
        change
    }

    pub fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    pub fn is_limited(&self) -> bool {
        self.limit.is_some_and(|known| known.limit.is_some())
    }

    /// Returns whether the limit may have ended without an answer that shows it.
    pub fn is_probe_due(&self, now: Instant) -> bool {
        self.limit.is_some_and(|known| {
            known.limit.is_some() && now.saturating_duration_since(known.heard) > PROBE_INTERVAL
        })
    }

    /// Returns whether nothing that the endpoint has said matters any more.
    pub fn is_outdated(&self, now: Instant) -> bool {
        let is_lifted = self.limit.is_none_or(|known| {
            known.limit.is_none() && now.saturating_duration_since(known.heard) > LIFTED_TIME
        });
        is_lifted && self.leaving_since.is_none() && !self.is_paused(now)
    }

    /// Returns the factor by which the rate has grown since the limit ended; 1 while it holds, and
    /// `None` once there is no restriction.
    pub fn growth(&self, now: Instant) -> Option<f64> {
        let known = self.limit?;
        if known.limit.is_some() {
            return Some(1.0);
        }
        let elapsed = now.saturating_duration_since(known.heard);
        let doublings = elapsed.as_secs_f64() / RAMP_DOUBLING_TIME.as_secs_f64();
        (elapsed < RAMP_TIME).then(|| doublings.exp2())
    }

    /// Returns what other hosts should hear of the endpoint.
    pub fn report(&self, endpoint: IncarnationHash, now: Instant) -> Option<SignalReport> {
        if self.is_outdated(now) {
            return None;
        }
        let report = |signal, asked, heard| SignalReport {
            endpoint,
            signal,
            asked_ago_ms: age_ms(asked, now),
            heard_ago_ms: age_ms(heard, now),
        };
        if let Some(since) = self.leaving_since {
            return Some(report(ReportedSignal::Leaving, since, since));
        }
        let known = self.limit?;
        let signal = known
            .limit
            .map_or(ReportedSignal::NoRateLimit, ReportedSignal::RateLimit);
        Some(report(signal, known.asked, known.heard))
    }
}
