//! The latest statements of all endpoints, and which requests they permit.

use std::time::{Duration, Instant};

use super::endpoint_signals::{EndpointSignals, LimitStatement, SignalChange};
use super::limit_share::{SenderView, sender_share};
use super::signal::{EndpointSignal, RateMilli};
use super::signal_report::{MAX_REPORTS, ReportedSignal, SignalReport};
use crate::gossip::time_ago;
use crate::ids::{FastMap, HostAddress, IncarnationHash};

/// Time for which the statements of an endpoint that is no longer registered are kept. An entry may
/// lapse while the store is unreachable and come back.
const RETENTION_TIME: Duration = Duration::from_mins(10);

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
                signals.schedule.advance(true, now);
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
