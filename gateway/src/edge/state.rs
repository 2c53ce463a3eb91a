//! The state of one host, shared by its sockets on one thread.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::connection_pool::ConnectionPool;
use super::dialect::{CatalogArchive, WireDialect};
use super::exchange::ToldMembers;
use super::metrics::{EdgeMetrics, HostGauges};
use super::placement::Placement;
use super::settings::EdgeSettings;
use crate::catalog::{
    CatalogChange, CatalogState, ConfigurationImage, EndpointEntry, RETURN_TIME, RemovalHold,
};
use crate::configs::SchedulerSettings;
use crate::ids::{EndpointId, FastMap, HostAddress, Incarnation, TicketNumber, ZoneName};
use crate::limits::{RetryBudget, UsageCaps};
use crate::membership::{
    FeedDuty, FeedMark, FeedMarks, FeedNews, FeedTopic, HubChoice, HubTally, MemberTable,
    MemberView, NewsQueue, RelayPlan, STORE_READERS, name_hosts,
};
use crate::rollouts::RolloutBoard;
use crate::scheduler::{RunEnd, SchedulerEffect, SchedulerEvent, SchedulerState};

/// Bytes of news in one summary; the rest of it takes most of a datagram in the largest fleets.
/// Hosts read longer answers of the store themselves.
const MOST_TOLD_BYTES: usize = 8 * 1024;
/// Bytes of news that wait for the readers of the topics, which look every 80 ms.
const MOST_HEARD_BYTES: usize = 64 * 1024;

pub(crate) struct EdgeState {
    pub catalog: CatalogState,
    pub scheduler: SchedulerState,
    pub caps: UsageCaps,
    pub budget: RetryBudget,
    pub rollouts: RolloutBoard,
    pub members: MemberTable,
    pub marks: FeedMarks,
    /// Whom this host tells what.
    pub plan: RelayPlan,
    pub tally: HubTally,
    pub told_members: ToldMembers,
    /// The hub whose summaries count now, and when its last one came.
    pub hub_choice: HubChoice,
    /// What this host, as a hub, has read from the store and not told yet.
    pub news_to_tell: NewsQueue,
    /// What hubs of other cells have read, to be passed on in the own one.
    pub news_to_pass: NewsQueue,
    /// What hubs have told and the reader of the topic has not taken yet.
    pub news_heard: NewsQueue,
    /// Who waits for the next news.
    news_waiters: Vec<oneshot::Sender<()>>,
    pub summary_number: u64,
    /// A mark moved since the last beat.
    pub marks_moved: bool,
    removals: RemovalHold,
    waiting: FastMap<TicketNumber, oneshot::Sender<Placement>>,
    last_ticket: TicketNumber,
    pub beat_number: u64,
    view: MemberView,
    pub(super) store_reached: bool,
    /// Endpoints were listed once, so that later ones are new.
    endpoints_listed: bool,
    pub leaving_since: Option<Instant>,
}

/// One host: settings, state, connections.
pub struct Edge {
    pub(crate) settings: EdgeSettings,
    pub(crate) dialect: WireDialect,
    pub(crate) archive: Rc<dyn CatalogArchive>,
    pub(crate) state: RefCell<EdgeState>,
    pub(crate) pool: ConnectionPool,
    pub(crate) metrics: EdgeMetrics,
    /// Requests that were read and whose answers are not complete.
    pub(crate) in_flight: Cell<usize>,
    pub(crate) incarnation: Incarnation,
    random: RefCell<SmallRng>,
}

impl Edge {
    #[must_use]
    pub fn new(
        settings: EdgeSettings,
        dialect: WireDialect,
        archive: Rc<dyn CatalogArchive>,
    ) -> Rc<Self> {
        let mut random = SmallRng::from_os_rng();
        let incarnation = random.random();
        let now = Instant::now();
        let mut members = MemberTable::new(settings.host);
        for seed in &settings.seeds {
            members.introduce(*seed, now);
        }
        let state = EdgeState {
            catalog: CatalogState::default(),
            scheduler: SchedulerState::new(SchedulerSettings::default(), incarnation),
            caps: UsageCaps::new(settings.cap_tolerance),
            budget: RetryBudget::new(settings.retry_budget.clone()),
            rollouts: RolloutBoard::new(settings.rollout_exposure),
            members,
            marks: FeedMarks::default(),
            plan: RelayPlan::default(),
            tally: HubTally::default(),
            told_members: ToldMembers::default(),
            hub_choice: HubChoice::default(),
            news_to_tell: NewsQueue::new(MOST_TOLD_BYTES),
            news_to_pass: NewsQueue::new(MOST_TOLD_BYTES),
            news_heard: NewsQueue::new(MOST_HEARD_BYTES),
            news_waiters: Vec::new(),
            summary_number: 0,
            marks_moved: false,
            removals: RemovalHold::default(),
            waiting: FastMap::default(),
            last_ticket: 0,
            beat_number: 0,
            view: MemberView::default(),
            store_reached: false,
            endpoints_listed: false,
            leaving_since: None,
        };
        Rc::new(Self {
            settings,
            dialect,
            archive,
            state: RefCell::new(state),
            pool: ConnectionPool::default(),
            metrics: EdgeMetrics::default(),
            in_flight: Cell::new(0),
            incarnation,
            random: RefCell::new(random),
        })
    }

    /// Draws a number, uniform in 0..1.
    pub(crate) fn draw(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    /// Takes a change that was published.
    pub fn apply(&self, change: CatalogChange) {
        let now = Instant::now();
        match change {
            CatalogChange::Configuration(image) => self.install(*image, now),
            CatalogChange::ZoneTakenOut(zone) => {
                if self.state.borrow_mut().catalog.take_out_zone(zone.clone()) {
                    log::info!(zone = zone.as_str(); "zone: taken out");
                    self.schedule(SchedulerEvent::ZoneTakenOut(zone));
                }
            }
            CatalogChange::ZoneReturned(zone) => {
                if self.state.borrow_mut().catalog.return_zone(&zone) {
                    log::info!(zone = zone.as_str(); "zone: returned");
                    self.schedule(SchedulerEvent::ZoneReturned(zone));
                }
            }
            CatalogChange::EndpointSeen(entry) => self.see_endpoint(*entry),
            CatalogChange::EndpointGone(id) => self.lose_endpoint(&id, now),
            CatalogChange::RolloutOrdered {
                service,
                target,
                within,
                order,
            } => {
                log::info!(
                    service = service.as_str(), target = target.as_str(), order = order,
                    within_s = within.as_secs();
                    "rollout: ordered"
                );
                {
                    let rollouts = &mut self.state.borrow_mut().rollouts;
                    rollouts.order(service, target, within, order, now);
                }
                self.advance_rollouts(now);
            }
            CatalogChange::RolloutWithdrawn(service) => {
                log::info!(service = service.as_str(); "rollout: withdrawn");
                self.state.borrow_mut().rollouts.withdraw(&service);
                self.advance_rollouts(now);
            }
        }
    }

    /// Time for a request head on a new connection, idle time before it included.
    pub(crate) fn caller_head_timeout(&self) -> Duration {
        let limits = self.state.borrow().catalog.limits();
        limits.idle_timeout.saturating_add(limits.header_timeout)
    }

    /// Takes the whole list of endpoints; those missing from it are gone.
    pub fn relist_endpoints(&self, entries: Vec<EndpointEntry>) {
        let missing: Vec<EndpointId> = {
            let state = self.state.borrow();
            let known = state.catalog.endpoints();
            known
                .filter(|known| !entries.iter().any(|entry| entry.id == known.id))
                .map(|known| known.id.clone())
                .collect()
        };
        for entry in entries {
            self.see_endpoint(entry);
        }
        let now = Instant::now();
        for id in missing {
            self.lose_endpoint(&id, now);
        }
        let state = &mut *self.state.borrow_mut();
        state.endpoints_listed = true;
        log::info!(endpoints = state.catalog.endpoints().count(); "endpoints: listed");
    }

    /// The store answered.
    pub fn note_store_answered(&self) {
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        if !state.store_reached {
            log::info!(config_version = state.catalog.version(); "store: reached");
        }
        state.store_reached = true;
        state.removals.note_store_answered(now);
    }

    /// This host has read a topic of the store up to `next`.
    pub fn note_feed(&self, topic: FeedTopic, next: u64, moved: bool) {
        let state = &mut *self.state.borrow_mut();
        state.marks.note_own(topic, next, Instant::now());
        state.marks_moved |= moved;
    }

    /// What this host has to do to learn of news after `next`.
    #[must_use]
    pub fn feed_duty(&self, topic: FeedTopic, next: u64) -> FeedDuty {
        let now = Instant::now();
        let state = self.state.borrow();
        let watches = if state.plan.is_relayed() {
            // Hubs tell all others what they have read.
            self.settings.is(&state.plan.readers)
        } else {
            state.members.has_duty(STORE_READERS, now)
        };
        if watches {
            return FeedDuty::Watch;
        }
        let relayed = state.plan.is_relayed();
        match state.marks.fresh(topic, relayed, now) {
            None => FeedDuty::Watch,
            Some(mark) if mark > next => FeedDuty::Fetch,
            Some(_) => FeedDuty::Rest,
        }
    }

    /// Passes on what this host has read from the store, if others rely on it.
    pub fn tell_news(&self, news: FeedNews) {
        if self.is_hub() {
            self.state.borrow_mut().news_to_tell.push(news);
        }
    }

    /// Takes what hubs have read from a topic of the store; `None` where nobody passes it on.
    #[must_use]
    pub fn take_news(&self, topic: FeedTopic) -> Option<Vec<FeedNews>> {
        let heard = self.state.borrow_mut().news_heard.take(topic);
        self.is_relayed().then_some(heard)
    }

    /// Completes when a datagram has told of news of the store.
    pub async fn next_news(&self) {
        let (sender, receiver) = oneshot::channel();
        {
            let waiters = &mut self.state.borrow_mut().news_waiters;
            waiters.retain(|waiter| !waiter.is_canceled());
            waiters.push(sender);
        }
        // A sender that is dropped ends the wait as well.
        let _ = receiver.await;
    }

    /// The store refused, broke or gave no answer.
    pub fn note_store_failed(&self, cause: &str) {
        let state = &mut *self.state.borrow_mut();
        if state.store_reached {
            log::warn!(config_version = state.catalog.version(), cause = cause; "store: lost");
        }
        state.store_reached = false;
        state.removals.note_store_failed();
        state.marks.note_failed(Instant::now());
    }

    /// Adds a host that registered itself with its zone and size; either may be unknown.
    pub fn introduce_host(&self, host: HostAddress, zone: ZoneName, cpu_permille: u32) {
        let members = &mut self.state.borrow_mut().members;
        members.introduce_sized(host, zone, cpu_permille, Instant::now());
    }

    /// Zone and size of this host, for its registration.
    #[must_use]
    pub fn own_size(&self) -> (&ZoneName, u32) {
        (&self.settings.zone, self.settings.cpu_permille)
    }

    /// Whether this host should look for others in the store: it finds none that relay to it, or
    /// it is one that relays and should know of all.
    #[must_use]
    pub fn seeks_hosts(&self) -> bool {
        let state = self.state.borrow();
        !state.hub_choice.is_following(Instant::now()) || self.settings.is(&state.plan.hubs)
    }

    /// Works out anew whom this host tells what.
    pub(super) fn plan_relay(&self, now: Instant) {
        let settings = &self.settings;
        let cell = {
            let state = &mut *self.state.borrow_mut();
            let plan = state
                .members
                .plan(&settings.zone, settings.cpu_permille, now);
            if plan == state.plan {
                return;
            }
            log::info!(
                cell = plan.cell.as_deref().unwrap_or("-"), hubs = format!("{:?}", plan.hubs).as_str(),
                other_hubs = plan.other_hubs.len(), readers = format!("{:?}", plan.readers).as_str();
                "hubs: plan changed"
            );
            let cell = plan.cell.clone();
            let changed = cell != state.plan.cell;
            state.plan = plan;
            if !changed {
                return;
            }
            cell
        };
        self.schedule(SchedulerEvent::CellChanged(cell));
    }

    /// Takes over what may change while the process runs: seeds and limits. Addresses and the zone
    /// change with a restart only.
    pub fn adopt_settings(&self, settings: &EdgeSettings) {
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        for seed in &settings.seeds {
            state.members.introduce(*seed, now);
        }
        state.budget.adopt(settings.retry_budget.clone());
        state.caps.adopt(settings.cap_tolerance);
        log::info!(seeds = settings.seeds.len(); "settings: taken over");
    }

    /// Control addresses of hosts that can be heard.
    #[must_use]
    pub fn control_peers(&self) -> Vec<SocketAddr> {
        let Some(own) = self.settings.control else {
            return Vec::new();
        };
        let state = self.state.borrow();
        let peers = state.members.audible(usize::MAX, Instant::now());
        peers
            .into_iter()
            .map(|host| (host, own.port()).into())
            .collect()
    }

    /// Whether this host may be named to callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.leaving_since.is_none() && state.catalog.version() > 0 && state.endpoints_listed
    }

    /// Version of the configuration in force; 0 before the first one.
    #[must_use]
    pub fn catalog_version(&self) -> u64 {
        self.state.borrow().catalog.version()
    }

    /// Feeds the scheduler and performs what it decides.
    pub(crate) fn schedule(&self, event: SchedulerEvent) {
        let now = Instant::now();
        let effects = self.state.borrow_mut().scheduler.reduce(event, now);
        for effect in effects {
            self.perform(effect);
        }
    }

    fn perform(&self, effect: SchedulerEffect) {
        let (ticket, placement) = match effect {
            SchedulerEffect::Dispatch { ticket, endpoint } => (ticket, Placement::Placed(endpoint)),
            SchedulerEffect::Refuse {
                ticket,
                reason,
                retry_after,
            } => {
                let placement = Placement::Refused {
                    reason,
                    retry_after,
                };
                (ticket, placement)
            }
        };
        let waiting = self.state.borrow_mut().waiting.remove(&ticket);
        let delivered = waiting.is_some_and(|sender| sender.send(placement).is_ok());
        if !delivered {
            // The caller left in the same instant.
            self.end_run(ticket, RunEnd::Abandoned);
        }
    }

    pub(crate) fn end_run(&self, ticket: TicketNumber, end: RunEnd) {
        self.schedule(SchedulerEvent::Ended {
            ticket,
            end,
            events: 0,
            streamed_for: Duration::ZERO,
        });
    }

    pub(crate) fn open_ticket(&self) -> (TicketNumber, oneshot::Receiver<Placement>) {
        let state = &mut *self.state.borrow_mut();
        state.last_ticket += 1;
        let (sender, receiver) = oneshot::channel();
        state.waiting.insert(state.last_ticket, sender);
        (state.last_ticket, receiver)
    }

    /// Wakes what waits for news of the store.
    pub(crate) fn wake_for_news(&self) {
        let waiters = std::mem::take(&mut self.state.borrow_mut().news_waiters);
        for waiter in waiters {
            // Its receiver may have stopped to wait.
            let _ = waiter.send(());
        }
    }

    pub(crate) fn forget_ticket(&self, ticket: TicketNumber) {
        self.state.borrow_mut().waiting.remove(&ticket);
    }

    pub(crate) fn count(&self, event: &'static str) {
        self.metrics.count(event);
    }

    pub(crate) fn gauges(&self) -> HostGauges {
        let state = self.state.borrow();
        let marks = state.marks.newest(Instant::now());
        let age = |mark: &FeedMark| Duration::from_millis(mark.age_ms.into());
        HostGauges {
            config_version: state.catalog.version(),
            store_reached: state.store_reached,
            endpoints: state.catalog.endpoints().count(),
            hosts: state.view.counted.len(),
            hosts_silent: state.view.silent,
            in_flight: self.in_flight.get(),
            waiting: state.scheduler.waiting_by_tier(),
            feed_ages: marks.iter().map(|mark| (mark.topic, age(mark))).collect(),
        }
    }

    /// Regular work: time-outs, due removals, the view of the hosts.
    pub(crate) fn tick(&self) {
        let now = Instant::now();
        self.plan_relay(now);
        let (due, view_changed, has_waiting) = {
            let state = &mut *self.state.borrow_mut();
            let marks = &state.marks;
            if state.removals.is_holding(now)
                && marks.is_vouched(FeedTopic::Endpoints, RETURN_TIME, now)
            {
                state.removals.note_vouched();
            }
            let due = state.removals.take_due(now);
            let view = state.members.view(state.store_reached, now);
            let view_changed = view != state.view;
            if view_changed {
                let hosts = view.counted.len();
                log::info!(hosts = hosts, silent = view.silent; "hosts: view changed");
                state.caps.set_share(hosts, view.silent, now);
                state.budget.set_hosts(hosts);
                state.view = view;
            }
            (due, view_changed, state.scheduler.has_waiting())
        };
        for id in due {
            self.remove_endpoint(&id);
        }
        self.advance_rollouts(now);
        if view_changed {
            let (hosts, near) = {
                let state = self.state.borrow();
                let hosts = state.view.counted.clone();
                let near = hosts.iter().filter(|host| {
                    let zone = state.members.zone_of(**host);
                    zone.is_none_or(|zone| *zone == self.settings.zone)
                });
                (hosts.clone(), near.count())
            };
            self.schedule(SchedulerEvent::HostsChanged {
                own: self.settings.host,
                hosts,
                near,
            });
        }
        if has_waiting {
            self.schedule(SchedulerEvent::Tick);
        }
    }

    /// Addresses that a caller of this zone may use: hosts that answer, this one among them.
    pub(crate) fn directory(&self, zone: Option<&ZoneName>, most: usize) -> Vec<SocketAddr> {
        let now = Instant::now();
        let port = self.settings.callers.port();
        let own = (self.settings.host, self.settings.zone.clone());
        let own = self.is_ready().then_some(own);
        let peers = self.state.borrow().members.serving(now);
        let serving = own.into_iter().chain(peers).collect();
        let named = name_hosts(serving, zone, most, &mut *self.random.borrow_mut());
        named.into_iter().map(|host| (host, port).into()).collect()
    }

    fn install(&self, image: ConfigurationImage, now: Instant) {
        let version = image.version;
        let services = {
            let state = &mut *self.state.borrow_mut();
            let before = state.catalog.version();
            if !state.catalog.install(image) {
                return;
            }
            log::info!(before = before, version = version; "config: in force");
            let routing = state.catalog.routing();
            state.caps.configure(routing.workspaces(), now);
            for workspace in routing.workspaces() {
                if let Some(cap) = workspace.cap {
                    log::debug!(
                        workspace = workspace.name.as_str(), rate_per_s = cap.rate_per_s, burst = cap.burst;
                        "usage: cap in force"
                    );
                }
            }
            routing.services().cloned().collect()
        };
        self.schedule(SchedulerEvent::ServicesChanged(services));
    }

    fn see_endpoint(&self, entry: EndpointEntry) {
        let (entry, known) = {
            let state = &mut *self.state.borrow_mut();
            state.removals.cancel(&entry.id);
            let before = state.catalog.endpoint(&entry.id);
            if before.is_some_and(|before| **before == entry) {
                return;
            }
            let known = !state.endpoints_listed;
            (state.catalog.insert_endpoint(entry), known)
        };
        // The first listing of a large fleet is told in one line.
        let level = if known {
            log::Level::Debug
        } else {
            log::Level::Info
        };
        log::log!(
            level, endpoint = entry.id.as_str(), service = entry.service.as_str(), zone = entry.zone.as_str(),
            version = entry.version.as_str(), draining = entry.draining, cold_ms = entry.cold_for.as_millis();
            "endpoint: seen"
        );
        self.schedule(SchedulerEvent::EndpointSeen { entry, known });
    }

    fn lose_endpoint(&self, id: &EndpointId, now: Instant) {
        let admitted = self.state.borrow_mut().removals.admits_removal(id, now);
        if admitted {
            self.remove_endpoint(id);
        } else {
            log::info!(endpoint = id.as_str(); "endpoint: removal held back");
        }
    }

    fn remove_endpoint(&self, id: &EndpointId) {
        if self
            .state
            .borrow_mut()
            .catalog
            .remove_endpoint(id)
            .is_none()
        {
            return;
        }
        log::info!(endpoint = id.as_str(); "endpoint: gone");
        self.pool.drop_endpoint(id);
        self.schedule(SchedulerEvent::EndpointGone(id.clone()));
    }
}
