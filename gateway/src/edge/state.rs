//! The state of one host, shared by its sockets on one thread.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::connection_pool::ConnectionPool;
use super::dialect::{CatalogArchive, WireDialect};
use super::metrics::{EdgeMetrics, HostGauges};
use super::peer_messages::SentMembers;
use super::placement::Placement;
use super::settings::EdgeSettings;
use crate::catalog::{CatalogState, REREGISTRATION_TIME, RemovalHold};
use crate::configs::SchedulerSettings;
use crate::ids::{FastMap, Incarnation, TicketNumber};
use crate::limits::{RetryBudget, UsageCaps};
use crate::membership::{
    FeedPositions, FeedTopic, HubChoice, HubTally, MemberTable, MemberView, RelayPlan, UpdateQueue,
};
use crate::rollouts::RolloutController;
use crate::scheduler::{RunEnd, SchedulerEffect, SchedulerEvent, SchedulerState};

/// Bytes of news in one summary; the rest of it takes most of a datagram in the largest fleets.
/// Hosts read longer answers of the store themselves.
const MAX_SUMMARY_UPDATE_BYTES: usize = 8 * 1024;
/// Bytes of news that wait for the readers of the topics, which are woken for them.
const MAX_RECEIVED_UPDATE_BYTES: usize = 64 * 1024;

pub(crate) struct EdgeState {
    pub catalog: CatalogState,
    pub scheduler: SchedulerState,
    pub caps: UsageCaps,
    pub budget: RetryBudget,
    pub rollouts: RolloutController,
    pub members: MemberTable,
    pub marks: FeedPositions,
    /// Whom this host tells what.
    pub plan: RelayPlan,
    pub tally: HubTally,
    pub sent_members: SentMembers,
    /// The hub whose summaries count now, and when its last one came.
    pub hub_choice: HubChoice,
    /// What this host, as a hub, has read from the store and not told yet.
    pub updates_to_send: UpdateQueue,
    /// What hubs of other cells have read, to be passed on in the own one.
    pub updates_to_forward: UpdateQueue,
    /// What hubs have told and the reader of the topic has not taken yet.
    pub received_updates: UpdateQueue,
    /// Who waits for the next news.
    pub(super) update_waiters: Vec<oneshot::Sender<()>>,
    pub summary_number: u64,
    /// A mark moved since the last beat.
    pub marks_moved: bool,
    pub(super) removals: RemovalHold,
    waiting: FastMap<TicketNumber, oneshot::Sender<Placement>>,
    last_ticket: TicketNumber,
    pub heartbeat_number: u64,
    view: MemberView,
    /// Endpoints were listed once, so that later ones are new.
    pub(super) endpoints_listed: bool,
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
    pub(super) random: RefCell<SmallRng>,
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
            members.add_host(*seed, now);
        }
        let state = EdgeState {
            catalog: CatalogState::default(),
            scheduler: SchedulerState::new(SchedulerSettings::default(), incarnation),
            caps: UsageCaps::new(settings.cap_tolerance),
            budget: RetryBudget::new(settings.retry_budget.clone()),
            rollouts: RolloutController::new(settings.rollout_exposure),
            members,
            marks: FeedPositions::default(),
            plan: RelayPlan::default(),
            tally: HubTally::default(),
            sent_members: SentMembers::default(),
            hub_choice: HubChoice::default(),
            updates_to_send: UpdateQueue::new(MAX_SUMMARY_UPDATE_BYTES),
            updates_to_forward: UpdateQueue::new(MAX_SUMMARY_UPDATE_BYTES),
            received_updates: UpdateQueue::new(MAX_RECEIVED_UPDATE_BYTES),
            update_waiters: Vec::new(),
            summary_number: 0,
            marks_moved: false,
            removals: RemovalHold::default(),
            waiting: FastMap::default(),
            last_ticket: 0,
            heartbeat_number: 0,
            view: MemberView::default(),
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

    /// Time for a request head on a new connection, idle time before it included.
    pub(crate) fn caller_head_timeout(&self) -> Duration {
        let limits = self.state.borrow().catalog.limits();
        limits.idle_timeout.saturating_add(limits.header_timeout)
    }

    /// Takes over what may change while the process runs: seeds and limits. Addresses and the zone
    /// change with a restart only.
    pub fn apply_settings(&self, settings: &EdgeSettings) {
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        for seed in &settings.seeds {
            state.members.add_host(*seed, now);
        }
        state.budget.apply_settings(settings.retry_budget.clone());
        state.caps.apply_tolerance(settings.cap_tolerance);
        log::info!(seeds = settings.seeds.len(); "settings: taken over");
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

    pub(crate) fn issue_ticket(&self) -> (TicketNumber, oneshot::Receiver<Placement>) {
        let state = &mut *self.state.borrow_mut();
        state.last_ticket += 1;
        let (sender, receiver) = oneshot::channel();
        state.waiting.insert(state.last_ticket, sender);
        (state.last_ticket, receiver)
    }

    pub(crate) fn discard_ticket(&self, ticket: TicketNumber) {
        self.state.borrow_mut().waiting.remove(&ticket);
    }

    pub(crate) fn count(&self, event: &'static str) {
        self.metrics.count(event);
    }

    pub(crate) fn gauges(&self) -> HostGauges {
        let now = Instant::now();
        let state = self.state.borrow();
        let held = state.removals.held();
        HostGauges {
            config_version: state.catalog.version(),
            store_reached: state.marks.is_store_reachable(),
            endpoints: state.catalog.endpoints().count(),
            hosts: state.view.counted.len(),
            hosts_silent: state.view.silent,
            in_flight: self.in_flight.get(),
            waiting: state.scheduler.waiting_by_tier(),
            feed_ages: state.marks.ages(now),
            removals_held: held.len(),
            removal_held_for: held.first().map(|held| now.duration_since(held.since)),
        }
    }

    /// Regular work: time-outs, due removals, the view of the hosts.
    pub(crate) fn tick(&self) {
        let now = Instant::now();
        self.plan_relay(now);
        let (due, view_changed, has_waiting) = {
            let state = &mut *self.state.borrow_mut();
            let relayed = state.plan.is_relayed();
            let marks = &state.marks;
            let vouched = state.removals.is_unsure(now)
                && marks.is_contact_confirmed(
                    FeedTopic::Endpoints,
                    REREGISTRATION_TIME,
                    relayed,
                    now,
                );
            state.removals.set_confirmed(vouched);
            let due = state.removals.take_due(now);
            let view = state.members.view(marks.is_store_reachable(), now);
            let view_changed = view != state.view;
            if view_changed {
                let hosts = view.counted.len();
                log::info!(hosts = hosts, silent = view.silent; "hosts: view changed");
                state.caps.set_unreachable_hosts(hosts, view.silent, now);
                state.budget.set_host_count(hosts);
                state.view = view;
            }
            (due, view_changed, state.scheduler.has_waiting())
        };
        for held in due {
            self.remove_endpoint(&held.id, now.duration_since(held.since));
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
                own_host: self.settings.host,
                hosts,
                hosts_in_zone: near,
            });
        }
        if has_waiting {
            self.schedule(SchedulerEvent::Tick);
        }
    }
}
