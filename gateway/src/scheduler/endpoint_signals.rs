//! Passes what endpoints say of themselves on to the table of signals, and its changes to the edge.

use std::time::Instant;

use super::state::SchedulerState;
use super::types::SchedulerEffect;
use crate::backpressure::{EndpointSignal, SendPermission, SenderView, SignalCounts, SignalReport};
use crate::catalog::EndpointEntry;
use crate::ids::{FastSet, ServiceName};

impl SchedulerState {
    /// Applies what an endpoint said of itself in its answer to a request that was sent at `asked`.
    pub(super) fn apply_signal(
        &mut self,
        endpoint: &EndpointEntry,
        signal: EndpointSignal,
        asked: Instant,
        now: Instant,
    ) -> Vec<SchedulerEffect> {
        let incarnation = endpoint.incarnation_hash();
        let change = self.signals.apply_signal(incarnation, signal, asked, now);
        let Some(change) = change else {
            return Vec::new();
        };
        let mut effects = vec![SchedulerEffect::SignalChanged {
            endpoint: endpoint.id.clone(),
            change,
            reported: false,
        }];
        effects.extend(self.dispatch_waiting(now));
        effects
    }

    /// Applies what another host has heard of endpoints.
    pub(super) fn apply_signal_reports(
        &mut self,
        reports: &[SignalReport],
        now: Instant,
    ) -> Vec<SchedulerEffect> {
        let mut effects = Vec::new();
        for report in reports {
            let Some(change) = self.signals.apply_report(report, now) else {
                continue;
            };
            let mut loads = self.loads.iter();
            let load = loads.find(|load| load.incarnation == report.endpoint);
            effects.push(SchedulerEffect::SignalChanged {
                endpoint: load.map_or("-".into(), |load| load.entry.id.clone()),
                change,
                reported: true,
            });
        }
        if !effects.is_empty() {
            effects.extend(self.dispatch_waiting(now));
        }
        effects
    }

    /// Returns the reports on endpoints that are due, for other hosts.
    pub fn take_signal_reports(&mut self, now: Instant) -> Vec<SignalReport> {
        self.signals.take_reports(now)
    }

    /// Returns the numbers of endpoints that restrict the requests of this host, for metrics.
    #[must_use]
    pub fn signal_counts(&self, now: Instant) -> SignalCounts {
        self.signals.counts(now)
    }

    /// Returns when the first endpoint of a service takes requests again, or `None` if any of them
    /// doesn't pause.
    pub fn pause_end(&mut self, service: &ServiceName, now: Instant) -> Option<Instant> {
        let mut first_end: Option<Instant> = None;
        let loads = self.loads.iter().filter(|load| {
            let entry = &load.entry;
            entry.service == *service && !entry.draining
        });
        for load in loads {
            match self.signals.permission(load.incarnation, now) {
                SendPermission::Paused(until) => {
                    first_end = Some(first_end.map_or(until, |end| end.min(until)));
                }
                SendPermission::Leaving => {}
                SendPermission::Granted
                | SendPermission::Probe
                | SendPermission::Limited(_)
                | SendPermission::NoShare => return None,
            }
        }
        first_end
    }

    pub(super) fn update_sender_view(&mut self) {
        let Some(own_host) = self.own_host else {
            return;
        };
        let view = SenderView {
            counted: self.hosts.len(),
            live: self.live_hosts.clone(),
        };
        self.signals.set_view(own_host, view);
    }

    /// Drops what is known of endpoints that have left.
    pub(super) fn drop_outdated_signals(&mut self, now: Instant) {
        if self.signals.is_empty() {
            return;
        }
        let registered: FastSet<_> = self.loads.iter().map(|load| load.incarnation).collect();
        self.signals
            .drop_outdated(|endpoint| registered.contains(&endpoint), now);
    }
}
