//! Reports to the owner of a pool: finished runs, endpoint load and cache events.

use std::time::{Duration, Instant};

use crate::context::Context;
use crate::endpoint_state::EndpointState;
use crate::fairness::TicketId;
use crate::ids::{ContentDigest, Incarnation};
use crate::learned::RunSample;
use crate::messages::{FinishReport, RunOutcome};
use crate::pool::{LoadReport, PoolEffect, PoolState, RunningPermit};
use crate::rollout::{RolloutSide, RunObservation};
use crate::slow_start::is_late;
use crate::suspect::SuspicionLevel;

impl PoolState {
    /// Removes a permit or run, which frees its slot.
    pub(crate) fn release(&mut self, id: &TicketId, now: Instant) -> Option<RunningPermit> {
        let running = self.running.remove(id)?;
        if let Some(index) = self.endpoint_index.get(&running.endpoint) {
            let flight = self.endpoints[*index].end_flight(running.flight, now);
            if let Some(since) = flight.and_then(|flight| flight.orphaned) {
                self.orphans.remove(&(since, id.clone()));
            }
        }
        let suspect = self
            .suspect_run
            .as_ref()
            .and_then(|run| run.running.as_ref());
        if suspect == Some(id) {
            self.suspect_run = None;
        }
        Some(running)
    }

    /// Records the end of a run. Unknown and repeated reports are ignored.
    pub fn record_finish(
        &mut self,
        home: Incarnation,
        report: &FinishReport,
        context: &mut Context,
    ) -> Vec<PoolEffect> {
        let now = context.now;
        let id = (home, report.key.clone());
        let is_known = self
            .running
            .get(&id)
            .is_some_and(|known| known.permit == report.permit);
        let index = self.endpoint_index.get(&report.endpoint).copied();
        let (true, Some(index)) = (is_known, index) else {
            return Vec::new();
        };
        let occupied = self.endpoints[index].occupied();
        let digests_in_flight = self.running_digests(index, report.outcome);
        let Some(running) = self.release(&id, now) else {
            return Vec::new();
        };
        match report.outcome {
            RunOutcome::Completed => {
                self.endpoints[index].reset_backoff();
                self.clear_suspect(&report.digest, now);
            }
            RunOutcome::Failed | RunOutcome::Cancelled => {}
            RunOutcome::Declined | RunOutcome::Unreachable => {
                self.record_not_run(index, &running, report, context);
            }
            RunOutcome::Broken => {
                self.suspects.record_break(
                    &report.endpoint,
                    running.granted,
                    &digests_in_flight,
                    now,
                );
                let hold = self.settings.break_hold;
                self.endpoints[index].record_broken_connection(hold, now);
            }
        }
        let effect = self.record_rollout_run(&running, report, context);
        self.learn_from_run(index, &running, report, occupied, now);
        effect.into_iter().collect()
    }

    /// Returns the grant times and digests of all runs on an endpoint whose connection broke, or
    /// nothing for other outcomes.
    fn running_digests(&self, index: usize, outcome: RunOutcome) -> Vec<(Instant, ContentDigest)> {
        if outcome != RunOutcome::Broken {
            return Vec::new();
        }
        let flights = self.endpoints[index].flights.values();
        let running = flights.filter_map(|flight| self.running.get(&flight.id));
        running
            .map(|running| (running.granted, running.queued.ticket.digest))
            .collect()
    }

    /// Clears a digest and returns parked tickets with this digest to the grant order.
    fn clear_suspect(&mut self, digest: &ContentDigest, now: Instant) {
        let level = self.suspects.level(digest, now);
        self.suspects.record_completion(digest, now);
        if level == SuspicionLevel::None {
            return;
        }
        let queue = &self.queue;
        let is_cleared = |parked_ticket: &(_, _, u64)| {
            queue
                .get(parked_ticket.2)
                .is_none_or(|queued| queued.ticket.digest == *digest)
        };
        let cleared_tickets: Vec<_> = self.parked.iter().copied().filter(is_cleared).collect();
        for parked_ticket in cleared_tickets {
            self.parked.remove(&parked_ticket);
            self.queue.restore(parked_ticket.2);
        }
    }

    /// Records that an endpoint didn't accept a request. Its home sends the ticket again.
    fn record_not_run(
        &mut self,
        index: usize,
        running: &RunningPermit,
        report: &FinishReport,
        context: &mut Context,
    ) {
        let now = context.now;
        let id = running.queued.id();
        self.retries.record_declined(id, running.queued.arrival);
        let endpoint = &mut self.endpoints[index];
        endpoint.start_backoff(&self.settings, &mut context.random, now);
        let unreachable = report.outcome == RunOutcome::Unreachable;
        if unreachable || report.cold {
            endpoint.mark_restarted(now);
            self.suspects.confirm_crash(&report.endpoint, now);
        } else {
            endpoint
                .limit
                .record_overload(self.settings.learned.overload_limit_percent);
        }
    }

    /// Updates learned speeds, the limit and the warmth of the endpoint from a run. The run must
    /// have sent a part of its answer, or nothing for longer than predicted.
    fn learn_from_run(
        &mut self,
        index: usize,
        running: &RunningPermit,
        report: &FinishReport,
        occupied: u32,
        now: Instant,
    ) {
        let Some(sample) = run_sample(running, report) else {
            return;
        };
        let endpoint = &mut self.endpoints[index];
        let class = endpoint.limit.class();
        let learned = &self.settings.learned;
        if endpoint.version == report.version {
            endpoint.speed.record_run(&sample, learned.decay, now);
        }
        self.speeds.record_run(&report.version, class, &sample, now);
        let settings = &self.settings.slow_start;
        let is_run_late = running.forecast.is_some_and(|forecast| {
            forecast.is_trusted && is_late(sample.first_token, forecast.first_token, settings)
        });
        if is_run_late {
            endpoint
                .limit
                .record_overload(learned.overload_limit_percent);
            endpoint.slow_start.record_late_run(settings, now);
        } else if report.outcome == RunOutcome::Completed {
            endpoint.limit.record_timely_run(occupied);
            endpoint
                .slow_start
                .record_timely_run(running.granted, endpoint.limit.limit());
        }
    }

    /// Reports a run to the rollout, compared with the learned speeds of the old version.
    fn record_rollout_run(
        &mut self,
        running: &RunningPermit,
        report: &FinishReport,
        context: &Context,
    ) -> Option<PoolEffect> {
        let rollout = self.view.rollout.as_ref()?;
        let side = match &report.version {
            version if *version == rollout.to => RolloutSide::New,
            version if *version == rollout.from => RolloutSide::Old,
            _ => return None,
        };
        let failed = match report.outcome {
            RunOutcome::Failed | RunOutcome::Broken => true,
            RunOutcome::Completed | RunOutcome::Cancelled => false,
            RunOutcome::Declined | RunOutcome::Unreachable => return None,
        };
        let sample = run_sample(running, report);
        if !failed && sample.is_none() {
            return None;
        }
        let class = self.endpoint_index.get(&report.endpoint);
        let class = class.map_or(0, |index| self.endpoints[*index].limit.class());
        let old = self
            .speeds
            .version_speeds(&rollout.from, class, context.now);
        let ratio = sample.zip(old).map_or(1.0, |(sample, old)| {
            let work = sample.prefill + sample.total.saturating_sub(sample.first_token);
            let predicted =
                old.prefill_time(sample.prefill_tokens) + old.decode_time(sample.tokens);
            work.as_secs_f64() / predicted.as_secs_f64().max(0.001)
        });
        let observation = RunObservation {
            side,
            endpoint: report.endpoint.clone(),
            route: report.route.clone(),
            high_load: running.high_load,
            failed,
            work_time_ratio: ratio,
        };
        let proposal = self.runner.as_mut()?.record_run(&observation, context);
        proposal.map(PoolEffect::Propose)
    }

    pub fn record_load_report(
        &mut self,
        endpoint: &str,
        report: &LoadReport,
        context: &mut Context,
    ) {
        let now = context.now;
        let Some(index) = self.endpoint_index.get(endpoint).copied() else {
            return;
        };
        let state = &mut self.endpoints[index];
        if !state.record_load_report(report, &self.settings, self.owned_since, now) {
            return;
        }
        let report_time = now.checked_sub(report.age).unwrap_or(self.owned_since);
        let reported = report.running.saturating_add(report.waiting);
        for id in state.find_ended_orphans(reported, report_time) {
            self.release(&id, now);
        }
        if report.cold {
            self.suspects.confirm_crash(endpoint, report_time);
        }
    }

    /// Records a failed load request.
    pub fn record_load_failure(&mut self, endpoint: &str, context: &mut Context) {
        let Some(index) = self.endpoint_index.get(endpoint).copied() else {
            return;
        };
        self.endpoints[index].record_failed_poll(&self.settings, context.now);
        if self.suspects.confirm_crash(endpoint, context.now) {
            self.endpoints[index].mark_restarted(context.now);
        }
    }

    pub fn record_cache_event(&mut self, endpoint: &str, stored: &[u64], evicted: &[u64]) {
        let index = self.endpoint_index.get(endpoint).copied();
        if let Some(state) = index.and_then(|index| self.endpoints.get_mut(index)) {
            let EndpointState { prefix, .. } = state;
            prefix.evict(evicted);
            prefix.store(stored);
        }
    }
}

/// Returns the speed sample of a run. Complete and partial answers yield one, and so does a run
/// that sent nothing for longer than the predicted time to the first token.
fn run_sample(running: &RunningPermit, report: &FinishReport) -> Option<RunSample> {
    let has_answer = report.outcome == RunOutcome::Completed || !report.first_token.is_zero();
    let is_overdue = running
        .forecast
        .is_some_and(|forecast| report.total > forecast.first_token);
    match report.outcome {
        RunOutcome::Completed | RunOutcome::Cancelled if has_answer || is_overdue => {}
        RunOutcome::Completed
        | RunOutcome::Cancelled
        | RunOutcome::Failed
        | RunOutcome::Declined
        | RunOutcome::Unreachable
        | RunOutcome::Broken => return None,
    }
    let first_token = match report.first_token {
        Duration::ZERO => report.total,
        first_token => first_token,
    };
    // The rest of the time was spent on the prefill of requests placed earlier. Learning from all
    // of it would count that work twice, since forecasts add it again.
    let own_part = running.forecast.map_or(1.0, |forecast| {
        let predicted = forecast.first_token.as_secs_f64();
        forecast.prefill.as_secs_f64() / predicted.max(f64::MIN_POSITIVE)
    });
    Some(RunSample {
        prefill_tokens: report.prompt_tokens.saturating_sub(report.cached_tokens),
        tokens: report.tokens,
        prefill: first_token.mul_f64(own_part.min(1.0)),
        first_token,
        total: report.total,
    })
}
