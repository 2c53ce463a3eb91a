//! Connects the lease, the usage reports and the orders of endpoints.

use std::collections::BTreeMap;
use std::time::Duration;

use super::capacity_plan::{CapacityObservation, CapacityPlan, EndpointOrder};
use super::demand_counter::DemandCounter;
use super::lease::{AppendOutcome, CandidateRank, LeaseAction, LeaseState};
use super::usage_ledger::UsageLedger;
use super::{
    BootTime, ClockReading, DemandReport, DutyListing, DutyPoll, DutyRecord, DutyReply,
    FencingToken, FleetClock, LeaseRecord, LogEra, UsageCounter, UsageRecord, WindowNumber, millis,
};
use crate::ids::{
    FastMap, HostAddress, Incarnation, NameHash, ServiceName, WorkspaceName, ZoneName,
};

/// Time between two polls of the holder. A host that is killed takes the counts since the last one
/// with it.
const POLL_INTERVAL: Duration = Duration::from_secs(1);
/// Delay before a call that was rejected or not answered is repeated.
const CALL_BACKOFF: Duration = Duration::from_millis(800);
/// Time after which an order that got no answer no longer takes effect by itself.
const LATE_EFFECT_TIME: Duration = Duration::from_secs(15);
/// Part of the permitted rate of calls that is used. The holder before may still be calling.
const RATE_PART: f64 = 0.5;
/// Time for which a host that cannot reach the platform leaves the duties to others.
const UNREACHED_BAR: Duration = Duration::from_secs(10);
/// Time between two observations of the services' load.
const OBSERVATION_INTERVAL: Duration = Duration::from_millis(500);
/// Silence after which a host's demand no longer counts.
const DEMAND_TIMEOUT: Duration = Duration::from_secs(5);

/// Settings of the duties.
#[derive(Clone, Debug, PartialEq)]
pub struct DutySettings {
    /// Time without a renewal after which another host may take over.
    pub lease: Duration,
    /// Whether the platform rejects calls with a lower token than it has seen.
    pub is_fenced: bool,
    pub reports_usage: bool,
    pub orders_endpoints: bool,
    /// Length of a reporting window.
    pub window: Duration,
    /// Time after the end of a window within which its report is due.
    pub late: Duration,
    /// Calls per second that the platform accepts from all hosts together.
    pub max_calls_per_s: f64,
}

/// This host among the others, as the duties need it.
#[derive(Clone, Debug)]
pub struct DutyHosts {
    pub rank: CandidateRank,
    /// Hosts that are heard, this one included.
    pub live: Vec<HostAddress>,
}

/// What the host should do at the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyLogAction {
    Wait,
    Read,
    Append {
        end_offset: u64,
        records: Vec<DutyRecord>,
    },
}

/// A call to the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum DutyCall {
    ReportUsage {
        token: FencingToken,
        record: UsageRecord,
    },
    OrderEndpoints {
        token: FencingToken,
        order: EndpointOrder,
    },
}

/// Outcome of a call to the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallOutcome {
    Accepted,
    /// The platform has seen a higher token.
    Fenced,
    /// The platform did nothing and wants the call later.
    Rejected,
    /// The call may take effect, also later.
    Unanswered,
}

/// What operators see of the duties.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DutyStatus {
    /// The token while this host is the holder.
    pub token: Option<FencingToken>,
    pub last_reported: Option<WindowNumber>,
    /// Windows whose report was not accepted in time or could not be counted.
    pub missed: u64,
    /// Time since the end of the oldest window that isn't reported.
    pub lag: Duration,
    pub orders: Vec<EndpointOrder>,
}

/// How far an order has got.
#[derive(Clone, Debug, Default)]
struct OrderProgress {
    accepted: Option<u32>,
    next_send: BootTime,
    /// Whether an earlier call of unknown outcome may still take effect, and until when.
    unsure_until: Option<BootTime>,
}

/// Counts of one incarnation of a host.
#[derive(Debug)]
struct HostDemand {
    heard: BootTime,
    services: Vec<DemandReport>,
}

/// The duties as one host sees them. Every host counts; the holder collects, records and calls.
#[derive(Debug)]
pub struct DutyState {
    settings: DutySettings,
    own: HostAddress,
    incarnation: Incarnation,
    started_ms: u64,
    lease: LeaseState,
    clock: FleetClock,
    counter: UsageCounter,
    demand: DemandCounter,
    names: FastMap<NameHash, WorkspaceName>,
    ledger: UsageLedger,
    plan: CapacityPlan,
    /// Usage records of the last listing.
    listed_usage: Vec<UsageRecord>,
    listed_era: Option<LogEra>,
    reports_from: WindowNumber,
    appended: Vec<DutyRecord>,
    recorded_orders: Vec<EndpointOrder>,
    order_progress: BTreeMap<(ServiceName, ZoneName), OrderProgress>,
    host_demand: FastMap<(HostAddress, Incarnation), HostDemand>,
    clock_offsets: FastMap<HostAddress, i64>,
    last_poll: Option<BootTime>,
    last_observation: BootTime,
    next_call: BootTime,
    unreached_since: Option<BootTime>,
    is_holder: bool,
}

impl DutyState {
    #[must_use]
    pub fn new(
        settings: DutySettings,
        own: HostAddress,
        incarnation: Incarnation,
        now: ClockReading,
    ) -> Self {
        let clock = FleetClock::new(now);
        Self {
            own,
            incarnation,
            started_ms: clock.fleet_ms(now.boot),
            lease: LeaseState::new(own, incarnation, settings.lease, now.boot),
            clock,
            counter: UsageCounter::new(settings.window),
            demand: DemandCounter::default(),
            names: FastMap::default(),
            ledger: UsageLedger::new(settings.window, settings.late),
            plan: CapacityPlan::default(),
            listed_usage: Vec::new(),
            listed_era: None,
            reports_from: 0,
            appended: Vec::new(),
            recorded_orders: Vec::new(),
            order_progress: BTreeMap::new(),
            host_demand: FastMap::default(),
            clock_offsets: FastMap::default(),
            last_poll: None,
            last_observation: now.boot,
            next_call: now.boot,
            unreached_since: None,
            is_holder: false,
            settings,
        }
    }

    /// Adds the names of workspaces. Those of an earlier configuration are kept for its last
    /// windows.
    pub fn add_workspaces<'a>(
        &mut self,
        names: impl Iterator<Item = (NameHash, &'a WorkspaceName)>,
    ) {
        for (hash, name) in names {
            self.names.entry(hash).or_insert_with(|| name.clone());
        }
    }

    /// Counts a request that began to run at `begun`.
    pub fn record_begun(&mut self, workspace: NameHash, begun: BootTime) {
        let fleet_ms = self.clock.fleet_ms(begun);
        self.counter.record_begun(workspace, fleet_ms);
    }

    pub fn record_dispatch(&mut self, service: NameHash) {
        self.demand.record_dispatch(service);
    }

    pub fn record_refusal(&mut self, service: NameHash) {
        self.demand.record_refusal(service);
    }

    /// Returns the next poll if this host is the holder and one is due.
    pub fn next_poll(&mut self, now: ClockReading) -> Option<DutyPoll> {
        let token = self.lease.token(now.boot)?;
        let last = self.last_poll.filter(|_| self.is_holder);
        if last.is_some_and(|last| now.boot.saturating_sub(last) < POLL_INTERVAL) {
            return None;
        }
        self.last_poll = Some(now.boot);
        let offsets = std::mem::take(&mut self.clock_offsets);
        self.clock
            .apply_median(offsets.into_values().collect(), now);
        Some(DutyPoll {
            sender: self.own,
            token,
            fleet_ms: self.clock.fleet_ms(now.boot),
            first_window: self.ledger.next_window().unwrap_or(0),
        })
    }

    /// Applies the poll of the holder and returns this host's counts. `waiting`: requests that wait
    /// now, by service.
    pub fn apply_poll(
        &mut self,
        poll: &DutyPoll,
        waiting: &FastMap<NameHash, u32>,
        now: ClockReading,
    ) -> DutyReply {
        if poll.sender != self.own {
            self.lease.record_holder(poll.token, now.boot);
            self.clock.apply_estimate(poll.fleet_ms, now);
        }
        DutyReply {
            sender: self.own,
            incarnation: self.incarnation,
            since_ms: self.started_ms,
            fleet_ms: self.clock.fleet_ms(now.boot),
            wall_ms: millis(now.wall),
            windows: self.counter.counts_from(poll.first_window),
            demand: self.demand.reports(waiting),
        }
    }

    /// Applies the counts of a host.
    pub fn apply_reply(&mut self, reply: DutyReply, now: BootTime) {
        self.ledger.apply_reply(&reply);
        if reply.sender != self.own {
            let offset = FleetClock::clock_offset_ms(reply.wall_ms, now);
            self.clock_offsets.insert(reply.sender, offset);
        }
        let demand = HostDemand {
            heard: now,
            services: reply.demand,
        };
        self.host_demand
            .insert((reply.sender, reply.incarnation), demand);
    }

    /// Returns the requests for a service over all hosts: dispatched and refused since their starts,
    /// and those that wait.
    #[must_use]
    pub fn service_demand(&self, service: NameHash, now: BootTime) -> DemandReport {
        let mut sum = DemandReport {
            service,
            dispatched: 0,
            refused: 0,
            waiting: 0,
        };
        for host in self.host_demand.values() {
            let is_live = now.saturating_sub(host.heard) <= DEMAND_TIMEOUT;
            let report = host
                .services
                .iter()
                .find(|report| report.service == service);
            if let Some(report) = report {
                sum.dispatched += report.dispatched;
                sum.refused += report.refused;
                sum.waiting += if is_live { report.waiting } else { 0 };
            }
        }
        sum
    }

    /// Returns whether this host should observe the load of the services now.
    pub fn observes_load(&mut self, now: BootTime) -> bool {
        let is_due = now.saturating_sub(self.last_observation) >= OBSERVATION_INTERVAL;
        let holds = self.is_holder && self.lease.token(now).is_some();
        if !(self.settings.orders_endpoints && holds && is_due) {
            return false;
        }
        self.last_observation = now;
        true
    }

    /// Updates the orders of a service.
    pub fn observe_load(&mut self, observation: &CapacityObservation, now: BootTime) {
        self.plan.observe(observation, now);
    }

    /// Returns what to do at the log.
    pub fn next_log_action(&mut self, hosts: &DutyHosts, now: ClockReading) -> DutyLogAction {
        let fleet_ms = self.clock.fleet_ms(now.boot);
        let holds = self.is_holder && self.lease.token(now.boot).is_some();
        if holds && self.settings.reports_usage {
            self.ledger
                .close_windows(&hosts.live, &self.names, fleet_ms);
        }
        let unrecorded = if holds && self.settings.reports_usage {
            self.ledger.unrecorded()
        } else {
            Vec::new()
        };
        let orders = self.plan.orders();
        let is_due = holds
            && (!unrecorded.is_empty()
                || orders != self.recorded_orders
                || self.lease.needs_higher_token());
        let is_unreached = self
            .unreached_since
            .is_some_and(|since| now.boot.saturating_sub(since) > self.settings.late / 2);
        let rank = if is_unreached && hosts.live.len() > 1 {
            CandidateRank::Leaving
        } else {
            hosts.rank
        };
        let seen = self.lease.seen_record().cloned();
        let first = self.first_window(seen.as_ref(), fleet_ms);
        let inherited = seen.map_or_else(Vec::new, |record| record.orders);
        let action = self
            .lease
            .next_action(rank, is_due, now.boot, |record| LeaseRecord {
                reports_from: first,
                orders: if holds { orders } else { inherited },
                ..record
            });
        match action {
            LeaseAction::Wait => DutyLogAction::Wait,
            LeaseAction::Read => DutyLogAction::Read,
            LeaseAction::Append(record) => self.append(record, unrecorded, now.boot),
        }
    }

    /// Returns the first window that this host may count as the holder.
    fn first_window(&self, seen: Option<&LeaseRecord>, fleet_ms: u64) -> WindowNumber {
        let current = self.counter.window_at(fleet_ms);
        if self.is_holder {
            return self.reports_from;
        }
        let era = self.lease.position().map(|position| position.era);
        match seen {
            Some(record) if Some(record.era) == era => record.reports_from,
            // Reports of windows that have ended may have been sent and lost with their records.
            Some(record) => record.reports_from.max(current),
            None if self.listed_era == Some(0) => self.counter.window_at(self.started_ms),
            None => current,
        }
    }

    fn append(
        &mut self,
        record: LeaseRecord,
        unrecorded: Vec<UsageRecord>,
        now: BootTime,
    ) -> DutyLogAction {
        let Some(position) = self.lease.position() else {
            return DutyLogAction::Wait;
        };
        self.lease.record_sent(position, record.clone(), now);
        let usage = unrecorded.into_iter().map(DutyRecord::Usage);
        // The lease record comes first: the offset at which it is appended is known in advance.
        let records: Vec<_> = [DutyRecord::Lease(record)]
            .into_iter()
            .chain(usage)
            .collect();
        self.appended.clone_from(&records);
        DutyLogAction::Append {
            end_offset: position.end_offset,
            records,
        }
    }

    /// Applies the outcome of the last append.
    pub fn apply_append(&mut self, outcome: AppendOutcome, now: ClockReading) {
        let count = u64::try_from(self.appended.len()).unwrap_or(u64::MAX);
        if self.lease.apply_append(outcome, count, now.boot) {
            self.confirm_appended(now);
        }
        self.check_held(now.boot);
    }

    /// Applies what the log holds.
    pub fn apply_listing(&mut self, listing: DutyListing, now: ClockReading) {
        let era_changed = self.listed_era.is_some_and(|era| listing.era > era);
        if era_changed {
            log::warn!(era = listing.era; "duties: the log has lost records");
            self.ledger.record_again();
        }
        self.listed_era = Some(listing.era);
        let is_appended = self.lease.apply_listing(&listing, now.boot);
        self.listed_usage = listing.usage;
        if is_appended {
            self.confirm_appended(now);
        }
        self.check_held(now.boot);
    }

    /// Applies that the last append is in the log.
    fn confirm_appended(&mut self, now: ClockReading) {
        let records = std::mem::take(&mut self.appended);
        let was_holder = self.is_holder;
        for record in records {
            match record {
                DutyRecord::Usage(record) => self.ledger.mark_recorded(&record),
                DutyRecord::Lease(record) => {
                    self.is_holder = !record.released;
                    self.reports_from = record.reports_from;
                    if record.released {
                        self.unreached_since = None;
                        self.lease.bar(now.boot + UNREACHED_BAR);
                    } else if !was_holder {
                        let fleet_ms = self.clock.fleet_ms(now.boot);
                        self.ledger
                            .take_over(record.reports_from, &self.listed_usage, fleet_ms);
                        self.plan.take_over(record.orders.clone());
                        self.order_progress.clear();
                        self.last_poll = None;
                    }
                    self.recorded_orders = record.orders;
                }
            }
        }
    }

    fn check_held(&mut self, now: BootTime) {
        self.is_holder &= self.lease.token(now).is_some();
    }

    /// Returns the next call to the platform. The next one may only be asked for after its outcome
    /// was applied.
    pub fn next_call(&mut self, now: ClockReading) -> Option<DutyCall> {
        self.check_held(now.boot);
        if !self.is_holder || now.boot < self.next_call || self.lease.needs_higher_token() {
            return None;
        }
        let token = self.lease.token(now.boot)?;
        let fleet_ms = self.clock.fleet_ms(now.boot);
        let report = self
            .settings
            .reports_usage
            .then(|| self.ledger.next_report(fleet_ms, now.boot))
            .flatten();
        let call = match report {
            Some(record) => DutyCall::ReportUsage { token, record },
            None => DutyCall::OrderEndpoints {
                token,
                order: self.next_order(now.boot)?,
            },
        };
        let pause = 1.0 / (self.settings.max_calls_per_s * RATE_PART).max(f64::MIN_POSITIVE);
        self.next_call = now.boot + Duration::try_from_secs_f64(pause).unwrap_or(CALL_BACKOFF);
        Some(call)
    }

    /// Returns an order that the platform has not accepted, or may have replaced by an earlier one.
    fn next_order(&mut self, now: BootTime) -> Option<EndpointOrder> {
        if !self.settings.orders_endpoints {
            return None;
        }
        let due = self.recorded_orders.iter().find(|order| {
            let key = (order.service.clone(), order.zone.clone());
            self.order_progress.get(&key).is_none_or(|progress| {
                let is_accepted = progress.accepted == Some(order.endpoints);
                let is_sure = progress.unsure_until.is_none_or(|until| now < until);
                now >= progress.next_send && !(is_accepted && is_sure)
            })
        });
        due.cloned()
    }

    /// Applies the outcome of a call.
    pub fn apply_call(&mut self, call: &DutyCall, outcome: CallOutcome, now: BootTime) {
        if outcome == CallOutcome::Unanswered {
            self.unreached_since.get_or_insert(now);
        } else {
            self.unreached_since = None;
        }
        match call {
            DutyCall::ReportUsage { token, record } => {
                log::info!(
                    window = record.window, token = token, requests = record.counts.values().sum::<u64>(),
                    outcome = format!("{outcome:?}").as_str();
                    "duties: usage reported"
                );
                match outcome {
                    CallOutcome::Accepted => self.ledger.mark_accepted(record.window),
                    CallOutcome::Rejected | CallOutcome::Unanswered => {
                        self.ledger.delay_report(record.window, CALL_BACKOFF, now);
                    }
                    CallOutcome::Fenced => self.lease.apply_fence(*token, now),
                }
            }
            DutyCall::OrderEndpoints { token, order } => {
                log::info!(
                    service = order.service.as_str(), zone = order.zone.as_str(), endpoints = order.endpoints,
                    token = token, outcome = format!("{outcome:?}").as_str();
                    "duties: endpoints ordered"
                );
                self.apply_order(*token, order, outcome, now);
            }
        }
        self.check_held(now);
    }

    fn apply_order(
        &mut self,
        token: FencingToken,
        order: &EndpointOrder,
        outcome: CallOutcome,
        now: BootTime,
    ) {
        let key = (order.service.clone(), order.zone.clone());
        let progress = self.order_progress.entry(key).or_default();
        match outcome {
            CallOutcome::Accepted => {
                progress.accepted = Some(order.endpoints);
                progress.unsure_until = progress.unsure_until.filter(|until| now < *until);
            }
            CallOutcome::Rejected => progress.next_send = now + CALL_BACKOFF,
            CallOutcome::Unanswered => {
                progress.accepted = None;
                progress.next_send = now + CALL_BACKOFF;
                if self.settings.is_fenced {
                    // The next call fences the one that may still take effect.
                    self.lease.raise_token();
                } else {
                    progress.unsure_until = Some(now + LATE_EFFECT_TIME);
                }
            }
            CallOutcome::Fenced => self.lease.apply_fence(token, now),
        }
    }

    /// Returns what operators see.
    #[must_use]
    pub fn status(&self, now: BootTime) -> DutyStatus {
        let token = self.lease.token(now).filter(|_| self.is_holder);
        let (last_reported, missed) = self.ledger.progress();
        DutyStatus {
            token,
            last_reported,
            missed,
            lag: token.map_or(Duration::ZERO, |_| {
                self.ledger.lag(self.clock.fleet_ms(now))
            }),
            orders: self.recorded_orders.clone(),
        }
    }
}
