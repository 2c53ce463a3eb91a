//! The latest statements of all endpoints, and which requests they permit.

use std::time::{Duration, Instant};

use super::limit_share::{LimitShare, SenderView, sender_share};
use super::signal::{EndpointSignal, RateMilli};
use super::signal_report::{
    MAX_REPORTS, ReportSchedule, ReportedSignal, SignalReport, age_ms, time_ago,
};
use crate::ids::{FastMap, HostAddress, IncarnationHash};

/// Time for which the statements of an endpoint that is no longer registered are kept. An entry may
/// lapse while the store is unreachable and come back.
const RETENTION_TIME: Duration = Duration::from_mins(10);
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

/// Whether this host may send a request to an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SendPermission {
    Granted,
    /// As `Granted`, but the limit may have ended, which only an answer of the endpoint shows.
    Probe,
    /// The endpoint limits its requests, and this host's next permit is due at this time.
    Limited(Instant),
    /// The endpoint limits its requests, and other hosts have all permits.
    NoShare,
    /// The endpoint wants no request from this host before this time.
    Paused(Instant),
    /// The endpoint is about to stop.
    Leaving,
}

impl SendPermission {
    #[must_use]
    pub fn is_granted(self) -> bool {
        matches!(self, Self::Granted | Self::Probe)
    }
}

/// Numbers of endpoints that restrict the requests of this host.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SignalCounts {
    pub limited: usize,
    pub paused: usize,
    pub leaving: usize,
}

/// The limit that an endpoint named, or that it named none.
#[derive(Clone, Copy, Debug)]
struct LimitStatement {
    limit: Option<RateMilli>,
    /// When the request was sent whose answer said so.
    asked: Instant,
    /// When an answer last named the limit, or first named none.
    heard: Instant,
}

#[derive(Debug)]
struct EndpointSignals {
    limit: Option<LimitStatement>,
    share: LimitShare,
    /// Version of the sender view for which the share was computed.
    view_version: Option<u64>,
    paused_until: Option<Instant>,
    /// When the endpoint was first heard to be leaving.
    leaving_since: Option<Instant>,
    last_change: Instant,
    schedule: ReportSchedule,
}

impl EndpointSignals {
    fn new(now: Instant) -> Self {
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
    fn apply_limit(&mut self, statement: LimitStatement) -> Option<SignalChange> {
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

    fn apply_leaving(&mut self, now: Instant) -> Option<SignalChange> {
        if self.leaving_since.is_some() {
            return None;
        }
        self.leaving_since = Some(now);
        Some(SignalChange::Leaving)
    }

    /// Schedules reports of a change, if there is one.
    fn record_change(
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

    fn is_paused(&self, now: Instant) -> bool {
        self.paused_until.is_some_and(|until| now < until)
    }

    fn is_limited(&self) -> bool {
        self.limit.is_some_and(|known| known.limit.is_some())
    }

    fn is_probe_due(&self, now: Instant) -> bool {
        self.limit.is_some_and(|known| {
            known.limit.is_some() && now.saturating_duration_since(known.heard) > PROBE_INTERVAL
        })
    }

    fn is_outdated(&self, now: Instant) -> bool {
        let is_lifted = self.limit.is_none_or(|known| {
            known.limit.is_none() && now.saturating_duration_since(known.heard) > LIFTED_TIME
        });
        is_lifted && self.leaving_since.is_none() && !self.is_paused(now)
    }

    /// Returns the factor by which the rate has grown since the limit ended; 1 while it holds, and
    /// `None` once there is no restriction.
    fn growth(&self, now: Instant) -> Option<f64> {
        let known = self.limit?;
        if known.limit.is_some() {
            return Some(1.0);
        }
        let elapsed = now.saturating_duration_since(known.heard);
        let doublings = elapsed.as_secs_f64() / RAMP_DOUBLING_TIME.as_secs_f64();
        (elapsed < RAMP_TIME).then(|| doublings.exp2())
    }

    fn report(&self, endpoint: IncarnationHash, now: Instant) -> Option<SignalReport> {
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

/// The statements of all endpoints that made any. They belong to one incarnation of an endpoint and
/// outlive its entry in the catalog.
#[derive(Debug, Default)]
pub struct SignalTable {
    endpoints: FastMap<IncarnationHash, EndpointSignals>,
    own_host: Option<HostAddress>,
    view: SenderView,
    view_version: u64,
}

impl SignalTable {
    /// Sets the hosts that share the limits.
    pub fn set_view(&mut self, own: HostAddress, view: SenderView) {
        if self.own_host != Some(own) || self.view != view {
            self.own_host = Some(own);
            self.view = view;
            self.view_version += 1;
        }
    }

    /// Applies what an endpoint said in an answer that arrived at `now`, to a request that was sent
    /// at `asked`.
    pub fn apply_signal(
        &mut self,
        endpoint: IncarnationHash,
        signal: EndpointSignal,
        asked: Instant,
        now: Instant,
    ) -> Option<SignalChange> {
        match signal {
            EndpointSignal::RateLimit(limit) => {
                self.apply_limit(endpoint, Some(limit), asked, now, now)
            }
            EndpointSignal::NoRateLimit => self.apply_limit(endpoint, None, asked, now, now),
            EndpointSignal::Leaving => self.apply_leaving(endpoint, now),
            EndpointSignal::Pause(pause) => {
                let until = Some(now + pause);
                if pause.is_zero() {
                    return None;
                }
                let signals = self.signals_of(endpoint, now);
                if signals.paused_until >= until {
                    return None;
                }
                signals.paused_until = until;
                Some(SignalChange::Paused(pause))
            }
        }
    }

    /// Applies the report of another host.
    pub fn apply_report(&mut self, report: &SignalReport, now: Instant) -> Option<SignalChange> {
        let limit = match report.signal {
            ReportedSignal::Leaving => return self.apply_leaving(report.endpoint, now),
            ReportedSignal::RateLimit(limit) => Some(limit),
            ReportedSignal::NoRateLimit => None,
        };
        let asked = time_ago(report.asked_ago_ms, now);
        let heard = time_ago(report.heard_ago_ms, now);
        self.apply_limit(report.endpoint, limit, asked, heard, now)
    }

    fn apply_limit(
        &mut self,
        endpoint: IncarnationHash,
        limit: Option<RateMilli>,
        asked: Instant,
        heard: Instant,
        now: Instant,
    ) -> Option<SignalChange> {
        if limit.is_none() && !self.endpoints.contains_key(&endpoint) {
            return None;
        }
        let signals = self.signals_of(endpoint, now);
        let change = signals.apply_limit(LimitStatement {
            limit,
            asked,
            heard,
        });
        signals.record_change(change, now)
    }

    fn apply_leaving(&mut self, endpoint: IncarnationHash, now: Instant) -> Option<SignalChange> {
        let signals = self.signals_of(endpoint, now);
        let change = signals.apply_leaving(now);
        signals.record_change(change, now)
    }

    fn signals_of(&mut self, endpoint: IncarnationHash, now: Instant) -> &mut EndpointSignals {
        let signals = self.endpoints.entry(endpoint);
        signals.or_insert_with(|| EndpointSignals::new(now))
    }

    /// Returns whether this host may send a request to an endpoint now.
    pub fn permission(&mut self, endpoint: IncarnationHash, now: Instant) -> SendPermission {
        let Some(signals) = self.endpoints.get_mut(&endpoint) else {
            return SendPermission::Granted;
        };
        if signals.leaving_since.is_some() {
            return SendPermission::Leaving;
        }
        if let Some(until) = signals.paused_until.filter(|until| now < *until) {
            return SendPermission::Paused(until);
        }
        let Some(growth) = signals.growth(now) else {
            return SendPermission::Granted;
        };
        let limit = signals.limit.and_then(|known| known.limit);
        if let (Some(limit), Some(own)) = (limit, self.own_host)
            && signals.view_version != Some(self.view_version)
        {
            signals.view_version = Some(self.view_version);
            let share = sender_share(endpoint, limit, own, &self.view);
            signals.share.apply(share, now);
        }
        match signals.share.next_permit(growth, now) {
            Some(at) if at <= now && signals.is_probe_due(now) => SendPermission::Probe,
            Some(at) if at <= now => SendPermission::Granted,
            Some(at) => SendPermission::Limited(at),
            None => SendPermission::NoShare,
        }
    }

    /// Records that a request is sent to an endpoint.
    pub fn record_dispatch(&mut self, endpoint: IncarnationHash) {
        if let Some(signals) = self.endpoints.get_mut(&endpoint) {
            signals.share.consume_permit();
        }
    }

    /// Returns whether an endpoint has said that it wants fewer requests, so that a refusal is no
    /// failure.
    #[must_use]
    pub fn is_restricted(&self, endpoint: IncarnationHash, now: Instant) -> bool {
        self.endpoints.get(&endpoint).is_some_and(|signals| {
            signals.is_limited() || signals.leaving_since.is_some() || signals.is_paused(now)
        })
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.endpoints.is_empty()
    }

    #[must_use]
    pub fn counts(&self, now: Instant) -> SignalCounts {
        let mut counts = SignalCounts::default();
        for signals in self.endpoints.values() {
            counts.limited += usize::from(signals.is_limited());
            counts.paused += usize::from(signals.is_paused(now));
            counts.leaving += usize::from(signals.leaving_since.is_some());
        }
        counts
    }

    /// Returns the reports that are due, for other hosts.
    pub fn take_reports(&mut self, now: Instant) -> Vec<SignalReport> {
        let mut due: Vec<_> = self
            .endpoints
            .iter()
            .filter_map(|(endpoint, signals)| {
                let due_since = signals.schedule.due_since(now)?;
                Some((due_since, signals.report(*endpoint, now)?))
            })
            .collect();
        due.sort_unstable_by_key(|(due_since, report)| (*due_since, report.endpoint));
        due.truncate(MAX_REPORTS);
        for (_, report) in &due {
            if let Some(signals) = self.endpoints.get_mut(&report.endpoint) {
                signals.schedule.advance(now);
            }
        }
        due.into_iter().map(|(_, report)| report).collect()
    }

    /// Drops statements that no longer restrict anything, and those of endpoints that are not
    /// registered and have said nothing new for long.
    pub fn drop_outdated(&mut self, is_registered: impl Fn(IncarnationHash) -> bool, now: Instant) {
        self.endpoints.retain(|endpoint, signals| {
            let age = now.saturating_duration_since(signals.last_change);
            !signals.is_outdated(now) && (age < RETENTION_TIME || is_registered(*endpoint))
        });
    }
}
