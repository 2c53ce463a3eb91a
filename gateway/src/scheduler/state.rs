//! State of the scheduler: a reducer that applies one event and returns the resulting effects.

use std::rc::Rc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use rollout_judge::RolloutSide;

use super::brittle_services::BrittleServices;
use super::choice::{ChoiceLimits, EndpointChoice, EndpointPool, choose_endpoint};
use super::endpoint_load::EndpointLoad;
use super::plain_admission::PlainAdmission;
use super::queue::{WaitQueue, max_wait};
use super::tier_shares::ServiceShares;
use super::types::{
    EndpointReport, PaceReport, RefusalReason, RunEnd, SchedulerEffect, SchedulerEvent, WorkItem,
};
use super::version_shares::VersionShares;
use crate::backpressure::SignalTable;
use crate::catalog::{EndpointEntry, ServiceEntry};
use crate::configs::SchedulerSettings;
use crate::ids::{
    EndpointId, FastMap, HostAddress, NameHash, ServiceName, TicketNumber, TierNumber, VersionName,
    ZoneName,
};

/// Minimum retry delay for refused callers. An overload lasts for seconds, so a caller that returns
/// earlier would be refused again.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(1_500);
/// Time for which a host sends nothing to a brittle endpoint that has rejected a request. The endpoint
/// counts its rejections in a second.
const BRITTLE_BACKOFF: Duration = Duration::from_secs(1);
/// Minimum number of requests ahead in the queue for which a wait is estimated.
const MIN_AHEAD_FOR_ESTIMATE: usize = 3;
/// Maximum retry delay for refused callers. Callers accept a delay of at most a third of their
/// deadline, and the longest deadline is 12 s.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(4);

#[derive(Debug)]
pub struct SchedulerState {
    pub(super) settings: SchedulerSettings,
    pub(super) services: FastMap<ServiceName, ServiceEntry>,
    pub(super) loads: Vec<EndpointLoad>,
    evacuated_zones: Vec<ZoneName>,
    versions: VersionShares,
    pub(super) signals: SignalTable,
    queue: WaitQueue,
    shares: ServiceShares,
    plain_admissions: FastMap<ServiceName, PlainAdmission>,
    pub(super) brittle_services: BrittleServices,
    /// Part of its requests that a workspace may send while there is not enough room.
    kept_shares: FastMap<NameHash, f64>,
    /// Endpoints of the active runs of this host.
    run_endpoints: FastMap<TicketNumber, EndpointId>,
    pub(super) own_host: Option<HostAddress>,
    pub(super) hosts: Vec<HostAddress>,
    /// Hosts that were heard recently, this one included.
    pub(super) live_hosts: Vec<HostAddress>,
    /// Zone whose loads this host learns first; `None` in a fleet that is not divided into cells.
    pub(super) cell: Option<ZoneName>,
    /// Number of hosts in this host's zone, itself included.
    pub(super) hosts_in_zone: usize,
    /// Time before which this host sends nothing to cold endpoints.
    pub(super) cold_sends_from: Option<Instant>,
    /// Incremented when the rates of cold endpoints must be assigned to hosts again.
    pub(super) cold_rate_version: u64,
    pub(super) random: SmallRng,
    /// Whether this host reaches no endpoint.
    is_isolated: bool,
    /// Whether this host's load changed since the last call of `take_load_changed`.
    load_changed: bool,
}

impl SchedulerState {
    #[must_use]
    pub fn new(settings: SchedulerSettings, seed: u64) -> Self {
        Self {
            settings,
            services: FastMap::default(),
            loads: Vec::new(),
            evacuated_zones: Vec::new(),
            versions: VersionShares::default(),
            signals: SignalTable::default(),
            queue: WaitQueue::default(),
            shares: ServiceShares::default(),
            plain_admissions: FastMap::default(),
            brittle_services: BrittleServices::default(),
            kept_shares: FastMap::default(),
            run_endpoints: FastMap::default(),
            own_host: None,
            hosts: Vec::new(),
            live_hosts: Vec::new(),
            cell: None,
            hosts_in_zone: 1,
            cold_sends_from: None,
            cold_rate_version: 0,
            random: SmallRng::seed_from_u64(seed),
            is_isolated: false,
            load_changed: false,
        }
    }

    /// Applies one event and returns the resulting effects.
    pub fn reduce(&mut self, event: SchedulerEvent, now: Instant) -> Vec<SchedulerEffect> {
        match event {
            SchedulerEvent::Submitted(item) => return self.submit(item, now),
            SchedulerEvent::Withdrawn(ticket) => {
                self.queue.remove(ticket);
                return Vec::new();
            }
            SchedulerEvent::FirstByte(ticket) => {
                self.record_first_byte(ticket, now);
                return Vec::new();
            }
            SchedulerEvent::Ended {
                ticket,
                end,
                events,
                streamed_for,
            } => self.end_run(ticket, end, events, streamed_for, now),
            SchedulerEvent::ServicesChanged(services) => {
                self.services = services
                    .into_iter()
                    .map(|service| (service.name.clone(), service))
                    .collect();
                self.cold_rate_version += 1;
            }
            SchedulerEvent::EndpointUpdated {
                entry,
                existed_at_start,
            } => self.update_endpoint(entry, existed_at_start, now),
            SchedulerEvent::EndpointRemoved(id) => {
                self.loads.retain(|load| load.entry.id != id);
                self.drop_outdated_signals(now);
            }
            SchedulerEvent::VersionShareChanged(share) => self.versions.apply_share(share),
            SchedulerEvent::ZoneEvacuated(zone) => {
                if !self.evacuated_zones.contains(&zone) {
                    self.evacuated_zones.push(zone);
                }
            }
            SchedulerEvent::ZoneRestored(zone) => self.restore_zone(&zone, now),
            SchedulerEvent::PeerReported { peer, reports } => {
                self.apply_peer_report(peer, &reports, now);
            }
            SchedulerEvent::HubReported {
                peer,
                reports,
                zone,
            } => self.apply_hub_report(peer, &reports, zone.as_ref(), now),
            SchedulerEvent::SignalReceived {
                endpoint,
                signal,
                asked,
            } => return self.apply_signal(&endpoint, signal, asked, now),
            SchedulerEvent::SignalsReported(reports) => {
                return self.apply_signal_reports(&reports, now);
            }
            SchedulerEvent::PacesObserved(reports) => {
                self.update_paces(&reports, |load, report| load.pace.apply_report(report));
                return Vec::new();
            }
            SchedulerEvent::PacesEstimated(reports) => {
                self.update_paces(&reports, |load, report| load.pace.apply_estimate(report));
                return Vec::new();
            }
            SchedulerEvent::HostsChanged {
                own_host,
                hosts,
                hosts_in_zone,
            } => {
                self.own_host = Some(own_host);
                self.hosts = hosts;
                self.update_sender_view();
                self.hosts_in_zone = hosts_in_zone;
                self.cold_rate_version += 1;
            }
            SchedulerEvent::LiveHostsChanged(hosts) => {
                self.live_hosts = hosts;
                self.update_sender_view();
            }
            SchedulerEvent::IsolationChanged(is_isolated) => {
                self.is_isolated = is_isolated;
                self.load_changed = true;
            }
            SchedulerEvent::CellChanged(cell) => self.cell = cell,
            SchedulerEvent::ColdSendsFrom(from) => self.cold_sends_from = Some(from),
            SchedulerEvent::KeptSharesChanged(shares) => {
                self.kept_shares = shares;
                return Vec::new();
            }
            SchedulerEvent::Tick => {}
        }
        self.dispatch_waiting(now)
    }

    /// Returns whether requests are waiting, so that time alone may change something.
    #[must_use]
    pub fn has_waiting(&self) -> bool {
        !self.queue.is_empty()
    }

    /// Returns the number of waiting requests of each tier, for metrics.
    #[must_use]
    pub fn waiting_by_tier(&self) -> Vec<(TierNumber, usize)> {
        self.queue.count_by_tier()
    }

    /// Returns the service of each waiting request.
    pub(super) fn waiting_services(&self) -> impl Iterator<Item = &ServiceName> {
        self.queue.item_services()
    }

    pub(super) fn is_evacuated(&self, zone: &ZoneName) -> bool {
        self.evacuated_zones.contains(zone)
    }

    /// Returns whether this host's load changed since the last call.
    pub fn take_load_changed(&mut self) -> bool {
        std::mem::take(&mut self.load_changed)
    }

    /// Returns this host's load at each endpoint, for its peers. The requests of a host that reaches
    /// no endpoint don't take places there.
    #[must_use]
    pub fn load_reports(&self) -> Vec<EndpointReport> {
        if self.is_isolated {
            return Vec::new();
        }
        self.loads.iter().filter_map(EndpointLoad::report).collect()
    }

    /// Removes and returns this host's observations of the pace of endpoints since the last call.
    pub fn take_pace_reports(&mut self) -> Vec<PaceReport> {
        self.loads
            .iter_mut()
            .filter_map(|load| load.pace.take_report(load.hash))
            .collect()
    }

    /// Returns, for each endpoint of a service, its version and the minimum time between two events
    /// in milliseconds. The time is `None` if the endpoint is cold or has not yet had a run with
    /// enough events.
    #[must_use]
    pub fn min_event_gaps(
        &self,
        service: &ServiceName,
        now: Instant,
    ) -> Vec<(VersionName, Option<f64>)> {
        let loads = self.loads.iter();
        let gaps = loads
            .filter(|load| load.entry.service == *service)
            .map(|load| {
                let gap = load.pace.min_gap_ms();
                let gap = gap.filter(|_| !load.gate.is_cold(now));
                (load.entry.version.clone(), gap)
            });
        gaps.collect()
    }

    /// Returns this host's estimates of the pace of endpoints.
    #[must_use]
    pub fn pace_estimates(&self) -> Vec<PaceReport> {
        self.loads
            .iter()
            .filter_map(|load| load.pace.estimate(load.hash))
            .collect()
    }

    fn update_paces(
        &mut self,
        reports: &[PaceReport],
        update: impl Fn(&mut EndpointLoad, &PaceReport),
    ) {
        for report in reports {
            let load = self
                .loads
                .iter_mut()
                .find(|load| load.hash == report.endpoint);
            if let Some(load) = load {
                update(load, report);
            }
        }
    }

    fn submit(&mut self, item: WorkItem, now: Instant) -> Vec<SchedulerEffect> {
        if self.queue.len() >= self.settings.max_queued {
            return vec![self.refuse(&item, RefusalReason::QueueFull, now)];
        }
        let service = item.service.clone();
        let shares = self.shares.entry(service.clone()).or_default();
        if !self.queue.has_any(&service) {
            shares.overload_since = None;
        }
        // A request that is retried after a failure was counted at its first submission.
        if item.excluded.is_empty() {
            shares.record_request(item.route_tier, &self.settings, now);
        }
        if let Some(wait) = self.excessive_wait(&item, now) {
            return vec![SchedulerEffect::Refuse {
                ticket: item.ticket,
                reason: RefusalReason::WaitExpired,
                retry_after: wait
                    .max(self.overload_duration(&service, now))
                    .clamp(MIN_RETRY_AFTER, MAX_RETRY_AFTER),
            }];
        }
        let is_first = item.excluded.is_empty();
        if is_first && let Some(reason) = self.overload_refusal(&item, now) {
            return vec![self.refuse(&item, reason, now)];
        }
        self.queue.push(item);
        let mut effects = Vec::new();
        self.dispatch_service(&service, now, &mut effects);
        effects
    }

    /// Returns whether a service was full at its last looks for a place.
    #[must_use]
    pub fn is_overloaded(&self, service: &ServiceName, now: Instant) -> bool {
        let shares = self.shares.get(service);
        let last_full = shares.and_then(|shares| shares.last_full);
        last_full.is_some_and(|last| now.duration_since(last) < self.settings.overload_memory)
    }

    /// Returns why a request is refused before it waits, if there is not enough room for all: its
    /// workspace is over its share, or answers of a crowded plain service would be late.
    fn overload_refusal(&mut self, item: &WorkItem, now: Instant) -> Option<RefusalReason> {
        let crowded_share = self.crowded_share(item, now);
        let was_full = self.is_overloaded(&item.service, now);
        let kept_share = item
            .workspace
            .and_then(|workspace| self.kept_shares.get(&workspace));
        if let Some(kept_share) = kept_share
            && (was_full || crowded_share > 0.0)
            && self.random.random::<f64>() >= *kept_share
        {
            return Some(RefusalReason::OverShare);
        }
        (self.random.random::<f64>() < crowded_share).then_some(RefusalReason::WaitExpired)
    }

    /// Returns the share of requests to be refused because the endpoints of a plain service are so
    /// crowded that answers would be late. Only where loads are known later than such answers take.
    fn crowded_share(&mut self, item: &WorkItem, now: Instant) -> f64 {
        let (_, hosts) = self.competing_hosts();
        let service = self.services.get(&item.service);
        let is_engine = service.is_some_and(|service| service.model_engine);
        if is_engine || hosts <= self.settings.max_full_scan_hosts {
            return 0.0;
        }
        let load = self.plain_load(&item.service, now);
        let target = item.first_byte_deadline.saturating_duration_since(now);
        let admission = self.plain_admissions.entry(item.service.clone());
        admission
            .or_default()
            .refused_share(&load, target, item.tier, now)
    }

    /// Returns the expected wait of a request if it exceeds the request's maximum. It is better to
    /// refuse the caller at once than after the wait.
    fn excessive_wait(&self, item: &WorkItem, now: Instant) -> Option<Duration> {
        let ahead = self.queue.count_ahead_of(item);
        let shares = self.shares.get(&item.service)?;
        if ahead < MIN_AHEAD_FOR_ESTIMATE
            || shares.is_underserved(item.route_tier, &self.settings, now)
        {
            return None;
        }
        let rate = shares.dispatch_rate_per_s(&self.settings, now).max(1.0);
        #[expect(clippy::cast_precision_loss, reason = "the queue is bounded")]
        let wait = Duration::from_secs_f64(ahead as f64 / rate);
        (wait > max_wait(item, shares.slots_full, &self.settings)).then_some(wait)
    }

    pub(super) fn dispatch_waiting(&mut self, now: Instant) -> Vec<SchedulerEffect> {
        let mut effects = Vec::new();
        if self.queue.is_empty() {
            return effects;
        }
        for item in self.queue.take_expired(&self.shares, &self.settings, now) {
            effects.push(self.refuse(&item, RefusalReason::WaitExpired, now));
        }
        for service in self.queue.services() {
            self.dispatch_service(&service, now, &mut effects);
        }
        effects
    }

    /// Returns the shares of the endpoints of the own zone, and of the others, that one choice
    /// considers first.
    fn scan_shares(&self) -> (f64, f64) {
        let (local, remote) = self.competing_hosts();
        let scan_share = |hosts: f64| self.settings.max_full_scan_hosts / hosts;
        (scan_share(local), scan_share(remote))
    }

    /// Dispatches the waiting requests of a service, in order, while endpoints have free capacity.
    /// A request that has excluded endpoints does not hold up the requests behind it if only
    /// excluded or full endpoints could run it.
    fn dispatch_service(
        &mut self,
        service: &ServiceName,
        now: Instant,
        effects: &mut Vec<SchedulerEffect>,
    ) {
        self.assign_cold_rates(now);
        let (scan_share, remote_scan_share) = self.scan_shares();
        let brittle_sharers =
            self.brittle_services
                .sharers(service, self.own_host, &self.live_hosts, now);
        let shares = self.shares.entry(service.clone()).or_default();
        for ticket in self
            .queue
            .ordered_tickets(service, shares, &self.settings, now)
        {
            let Some(item) = self.queue.get(ticket) else {
                continue;
            };
            let random = &mut self.random;
            let mut choose = |version| {
                choose_endpoint(
                    EndpointPool {
                        loads: &mut self.loads,
                        signals: &mut self.signals,
                    },
                    item,
                    self.services.get(service),
                    &ChoiceLimits {
                        evacuated_zones: &self.evacuated_zones,
                        version,
                        cell: self.cell.as_ref(),
                        scan_share,
                        remote_scan_share,
                        brittle_sharers,
                    },
                    &self.settings,
                    || random.random::<f64>(),
                    now,
                )
            };
            let choice = match self.versions.next_side(service) {
                None => choose(None),
                Some((target, side)) => {
                    let first = choose(Some((target, side)));
                    let falls_back = match first {
                        EndpointChoice::Found(_) | EndpointChoice::TooSlow => false,
                        // At full share, waiting requests must not fall back to the old endpoints,
                        // which are about to stop.
                        EndpointChoice::Full | EndpointChoice::Restricted(_) => {
                            !self.versions.has_full_share(service)
                        }
                        EndpointChoice::Unavailable => true,
                    };
                    if falls_back && side == RolloutSide::New {
                        choose(Some((target, RolloutSide::Old)))
                    } else {
                        first
                    }
                }
            };
            if item.excluded.is_empty() {
                let is_full =
                    matches!(choice, EndpointChoice::Full | EndpointChoice::Restricted(_));
                let shares = self.shares.entry(service.clone()).or_default();
                shares.record_look(is_full, now);
            }
            match choice {
                EndpointChoice::Found(index) => {
                    let Some(item) = self.queue.remove(ticket) else {
                        continue;
                    };
                    let load = &mut self.loads[index];
                    if item.excluded.is_empty() {
                        let shares = self.shares.entry(service.clone()).or_default();
                        shares.record_dispatch(item.route_tier, &self.settings, now);
                    }
                    load.start_run(&item, self.settings.peer_expiry, now);
                    let endpoint = Rc::clone(&load.entry);
                    self.signals.record_dispatch(load.incarnation);
                    self.versions.record_dispatch(service, &endpoint.version);
                    self.run_endpoints.insert(ticket, endpoint.id.clone());
                    self.load_changed = true;
                    effects.push(SchedulerEffect::Dispatch { ticket, endpoint });
                }
                EndpointChoice::Full if item.excluded.is_empty() => return,
                EndpointChoice::Full | EndpointChoice::TooSlow => {}
                EndpointChoice::Restricted(next_permit) => {
                    let wait_end = item.arrived + max_wait(item, true, &self.settings);
                    let is_tried = !item.excluded.is_empty();
                    if next_permit.is_some_and(|at| at <= wait_end) {
                        if is_tried {
                            continue;
                        }
                        return;
                    }
                    if let Some(item) = self.queue.remove(ticket) {
                        effects.push(refuse_restricted(&item, next_permit, now));
                    }
                }
                EndpointChoice::Unavailable if item.excluded.is_empty() => {}
                EndpointChoice::Unavailable => {
                    if let Some(item) = self.queue.remove(ticket) {
                        effects.push(self.refuse(&item, RefusalReason::NoEndpoint, now));
                    }
                }
            }
        }
    }

    fn refuse(&self, item: &WorkItem, reason: RefusalReason, now: Instant) -> SchedulerEffect {
        let queued = self.queue.len().min(100);
        let wait = Duration::from_millis(10) * u32::try_from(queued).unwrap_or(100);
        let retry_after = (MIN_RETRY_AFTER + wait).max(self.overload_duration(&item.service, now));
        SchedulerEffect::Refuse {
            ticket: item.ticket,
            reason,
            retry_after: retry_after.min(MAX_RETRY_AFTER),
        }
    }

    /// Returns how long requests of a service have been waiting for slots. An overload of unknown
    /// length lasts about as long again, so a refused caller may find a free slot after this time.
    fn overload_duration(&self, service: &ServiceName, now: Instant) -> Duration {
        let since = self
            .shares
            .get(service)
            .and_then(|shares| shares.overload_since);
        since.map_or(Duration::ZERO, |since| now.duration_since(since))
    }

    fn record_first_byte(&mut self, ticket: TicketNumber, now: Instant) {
        let Some(id) = self.run_endpoints.get(&ticket) else {
            return;
        };
        let Some(load) = self.loads.iter_mut().find(|load| load.entry.id == *id) else {
            return;
        };
        let engine = is_engine(&self.services, &load.entry);
        load.record_first_byte(ticket, engine, now);
        self.load_changed = true;
    }

    fn end_run(
        &mut self,
        ticket: TicketNumber,
        end: RunEnd,
        events: u32,
        streamed_for: Duration,
        now: Instant,
    ) {
        self.load_changed = true;
        let Some(id) = self.run_endpoints.remove(&ticket) else {
            return;
        };
        let Some(load) = self.loads.iter_mut().find(|load| load.entry.id == id) else {
            return;
        };
        load.pace.record_events(events, streamed_for);
        // A refusal says nothing about the health of an endpoint that wants fewer requests.
        let is_expected =
            end == RunEnd::NotRun && self.signals.is_restricted(load.incarnation, now);
        let end = if is_expected { RunEnd::Abandoned } else { end };
        let is_brittle = self.brittle_services.contains(&load.entry.service, now);
        load.end_run(ticket, end, &self.settings, now);
        if is_brittle && end == RunEnd::NotRun {
            load.health.block_for(BRITTLE_BACKOFF, now);
        }
        // An unreachable endpoint may have crashed; it is cold when it returns.
        if end == RunEnd::Unreachable {
            let service = self.services.get(&load.entry.service);
            load.mark_cold(service, now);
        }
    }

    fn update_endpoint(&mut self, entry: Rc<EndpointEntry>, existed_at_start: bool, now: Instant) {
        let service = self.services.get(&entry.service).cloned();
        let cold_for = entry.cold_for;
        let found = self.loads.iter().position(|load| load.entry.id == entry.id);
        let is_new = if let Some(index) = found {
            let load = &mut self.loads[index];
            let restarted = load.entry.started_unix_ms != entry.started_unix_ms
                || load.entry.address != entry.address
                || load.entry.service != entry.service;
            if restarted {
                load.restart(entry);
            } else {
                load.entry = entry;
            }
            restarted
        } else {
            self.loads.push(EndpointLoad::new(entry));
            !existed_at_start
        };
        let index = found.unwrap_or(self.loads.len() - 1);
        let load = &mut self.loads[index];
        if is_new {
            load.mark_cold(service.as_ref(), now);
        }
        if cold_for > Duration::ZERO {
            load.gate.mark_cold(now + cold_for);
        }
    }

    /// Makes a zone available again. Its endpoints count as cold, because they may have restarted
    /// or lost their caches in the meantime.
    fn restore_zone(&mut self, zone: &ZoneName, now: Instant) {
        self.evacuated_zones.retain(|evacuated| evacuated != zone);
        for load in &mut self.loads {
            if load.entry.zone == *zone {
                let service = self.services.get(&load.entry.service);
                load.mark_cold(service, now);
            }
        }
    }
}

fn is_engine(services: &FastMap<ServiceName, ServiceEntry>, entry: &EndpointEntry) -> bool {
    services
        .get(&entry.service)
        .is_some_and(|service| service.model_engine)
}

/// Refuses a request because no endpoint may get it before `next_permit`, or none at all from this
/// host.
fn refuse_restricted(
    item: &WorkItem,
    next_permit: Option<Instant>,
    now: Instant,
) -> SchedulerEffect {
    let wait = next_permit.map_or(MIN_RETRY_AFTER, |at| at.saturating_duration_since(now));
    SchedulerEffect::Refuse {
        ticket: item.ticket,
        reason: RefusalReason::Restricted,
        retry_after: wait,
    }
}
