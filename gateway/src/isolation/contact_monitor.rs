//! Decides from the results of requests and probes whether this host reaches any endpoint.
//!
//! Only responses on new connections prove that it does: connections that were opened before a
//! network partition may live on. Suspicion alone decides nothing, because endpoints may also have
//! crashed or be slow; a round of probes to other endpoints confirms it.

use std::time::{Duration, Instant};

use crate::ids::{EndpointId, FastMap, FastSet, TicketNumber};

/// Number of different endpoints that must fail before the contact to all is in doubt.
const MIN_FAILED: usize = 2;
/// Number of different endpoints that must be silent for an isolation without confirmation.
const MIN_SILENT: usize = 3;
/// Time for which a failure counts.
const FAILURE_MEMORY: Duration = Duration::from_secs(3);
/// Silence of all endpoints after which the contact is in doubt.
const DOUBTFUL_SILENCE: Duration = Duration::from_millis(500);
/// Silence of all endpoints after which the host counts as isolated, even if connections can be
/// opened. A sound endpoint may be silent for about a second.
const ISOLATING_SILENCE: Duration = Duration::from_millis(1_200);
/// Number of different endpoints that isolate a host if each has been silent for `PAIR_SILENCE`. A
/// host may use no more than that.
const MIN_PAIR: usize = 2;
const PAIR_SILENCE: Duration = Duration::from_millis(1_800);
/// Time between two ticks after which the host was suspended in between.
const MAX_TICK_GAP: Duration = Duration::from_millis(500);
/// Time between two rounds of probes while nothing is reachable.
const PROBE_INTERVAL: Duration = Duration::from_millis(300);
/// Time between two rounds of probes after one that found an endpoint.
const CONFIRMED_INTERVAL: Duration = Duration::from_secs(1);
/// Time between two requests that an isolated host sends to endpoints as a trial.
const TRIAL_INTERVAL: Duration = Duration::from_millis(500);
/// Time for which a host does not count as isolated after no other host could help.
const SHARED_TIME: Duration = Duration::from_secs(2);
/// Time after which an isolation ends if connections can be opened and no request could be used as a
/// trial.
const MAX_UNTRIED: Duration = Duration::from_secs(10);

/// A request that was sent and has not been answered.
#[derive(Debug)]
struct OpenRun {
    is_fresh: bool,
    sent: Instant,
}

/// Why a host counts as isolated.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IsolationCause {
    /// No new connection could be opened. Older ones may live on.
    Unreachable,
    /// All endpoints were silent. Any byte of one ends the isolation.
    Silent,
}

/// What an isolated host knows.
#[derive(Debug)]
struct Isolation {
    since: Instant,
    cause: IsolationCause,
    /// Since when connections can be opened.
    reachable_since: Option<Instant>,
    last_trial: Option<Instant>,
}

/// A change that the monitor has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ContactChange {
    Lost,
    Regained,
    /// No other host reaches endpoints either, so the fault may be theirs.
    Shared,
}

/// The contact of this host with all endpoints.
#[derive(Debug, Default)]
pub struct ContactMonitor {
    runs: FastMap<TicketNumber, OpenRun>,
    /// Endpoints that failed on new connections since one of them answered on one.
    failed: FastMap<EndpointId, Instant>,
    /// Endpoints to which requests were sent since any endpoint was heard, and when first.
    unanswered: FastMap<EndpointId, Instant>,
    next_probe: Option<Instant>,
    last_tick: Option<Instant>,
    /// Until then, the loss of contact counts as that of the endpoints.
    shared_until: Option<Instant>,
    isolation: Option<Isolation>,
}

impl ContactMonitor {
    #[must_use]
    pub fn is_isolated(&self) -> bool {
        self.isolation.is_some()
    }

    /// Records that a request is sent. `is_fresh`: on a new connection.
    pub fn record_sent(
        &mut self,
        ticket: TicketNumber,
        endpoint: &EndpointId,
        is_fresh: bool,
        now: Instant,
    ) {
        self.unanswered.entry(endpoint.clone()).or_insert(now);
        let sent = now;
        self.runs.insert(ticket, OpenRun { is_fresh, sent });
    }

    /// Records that bytes of any endpoint arrived.
    pub fn record_bytes(&mut self) -> Option<ContactChange> {
        self.unanswered.clear();
        self.isolation
            .take_if(|isolation| isolation.cause == IsolationCause::Silent)
            .map(|_| ContactChange::Regained)
    }

    /// Records that the endpoint of a request has begun to answer.
    pub fn record_answer(&mut self, ticket: TicketNumber) -> Option<ContactChange> {
        let change = self.record_bytes();
        let run = self.runs.remove(&ticket).filter(|run| run.is_fresh);
        let Some(run) = run else { return change };
        self.failed.clear();
        let isolation = self
            .isolation
            .take_if(|isolation| run.sent >= isolation.since);
        isolation.map(|_| ContactChange::Regained).or(change)
    }

    /// Records the end of a request. `is_lost`: its connection could not be opened or ended.
    pub fn record_end(
        &mut self,
        ticket: TicketNumber,
        endpoint: &EndpointId,
        is_lost: bool,
        now: Instant,
    ) {
        let run = self.runs.remove(&ticket);
        if is_lost {
            self.failed.insert(endpoint.clone(), now);
        }
        if let Some(isolation) = &mut self.isolation {
            let is_trial = run.is_some_and(|run| run.is_fresh && run.sent >= isolation.since);
            if is_trial || is_lost {
                isolation.reachable_since = None;
            }
        }
    }

    /// Returns whether endpoints are to be probed now. `known`: number of endpoints.
    #[must_use]
    pub fn is_probe_due(&mut self, known: usize, now: Instant) -> bool {
        let is_early = self.next_probe.is_some_and(|at| now < at);
        if known == 0 || is_early || self.is_shared(now) {
            return false;
        }
        if let Some(isolation) = &self.isolation {
            return isolation.reachable_since.is_none();
        }
        self.failed
            .retain(|_, at| now.duration_since(*at) < FAILURE_MEMORY);
        self.failed.len() >= MIN_FAILED.min(known)
            || self.unanswered.len() >= MIN_FAILED.min(known)
                && self.silent_count(DOUBTFUL_SILENCE, now) > 0
    }

    /// Returns the endpoints that have failed, which a probe should leave out.
    #[must_use]
    pub fn failed_endpoints(&self) -> FastSet<EndpointId> {
        self.failed.keys().cloned().collect()
    }

    /// Records the result of a round of probes: whether any connection could be opened.
    pub fn record_probe(&mut self, is_reachable: bool, now: Instant) -> Option<ContactChange> {
        let interval = if is_reachable {
            CONFIRMED_INTERVAL
        } else {
            PROBE_INTERVAL
        };
        self.next_probe = Some(now + interval);
        match (&mut self.isolation, is_reachable) {
            (Some(isolation), true) => isolation.reachable_since = Some(now),
            (None, true) => self.failed.clear(),
            (Some(_), false) => {}
            (None, false) => return Some(self.isolate(IsolationCause::Unreachable, now)),
        }
        None
    }

    /// Applies the passing of time.
    pub fn tick(&mut self, now: Instant) -> Option<ContactChange> {
        let last_tick = self.last_tick.replace(now);
        if last_tick.is_some_and(|last| now.duration_since(last) > MAX_TICK_GAP) {
            // This host was suspended, and could not hear anybody.
            self.unanswered.values_mut().for_each(|since| *since = now);
        }
        let Some(isolation) = &self.isolation else {
            let is_silent = self.unanswered.len() >= MIN_SILENT
                && self.silent_count(ISOLATING_SILENCE, now) > 0
                || self.silent_count(PAIR_SILENCE, now) >= MIN_PAIR;
            let is_isolating = is_silent && !self.is_shared(now);
            return is_isolating.then(|| self.isolate(IsolationCause::Silent, now));
        };
        let reachable_since = isolation.reachable_since?;
        let last_trial = isolation.last_trial.max(Some(reachable_since))?;
        if now.duration_since(last_trial) < MAX_UNTRIED {
            return None;
        }
        self.isolation = None;
        Some(ContactChange::Regained)
    }

    /// Returns whether an isolated host may send a request to an endpoint as a trial, and counts it.
    pub fn take_trial(&mut self, now: Instant) -> bool {
        let Some(isolation) = &mut self.isolation else {
            return false;
        };
        let is_due = isolation
            .last_trial
            .is_none_or(|last| now.duration_since(last) >= TRIAL_INTERVAL);
        let is_permitted = isolation.reachable_since.is_some() && is_due;
        if is_permitted {
            isolation.last_trial = Some(now);
        }
        is_permitted
    }

    /// Ends an isolation because no other host reaches endpoints.
    pub fn share_loss(&mut self, now: Instant) -> Option<ContactChange> {
        self.isolation.take()?;
        self.shared_until = Some(now + SHARED_TIME);
        Some(ContactChange::Shared)
    }

    fn is_shared(&self, now: Instant) -> bool {
        self.shared_until.is_some_and(|until| now < until)
    }

    /// Returns how many endpoints have been silent for at least `silence`.
    fn silent_count(&self, silence: Duration, now: Instant) -> usize {
        let ages = self.unanswered.values().map(|at| now.duration_since(*at));
        ages.filter(|age| *age >= silence).count()
    }

    fn isolate(&mut self, cause: IsolationCause, now: Instant) -> ContactChange {
        self.isolation = Some(Isolation {
            since: now,
            cause,
            reachable_since: None,
            last_trial: None,
        });
        self.failed.clear();
        self.unanswered.clear();
        ContactChange::Lost
    }
}
