//! State of a host, shared by all tasks on its single thread.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use caller_limits::MemoryPool;
use futures_channel::oneshot;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

use super::config_lag::ConfigLag;
use super::connection_pool::ConnectionPool;
use super::dialect::{CatalogArchive, WireDialect};
use super::duty_control::read_clocks;
use super::in_flight::InFlightTable;
use super::introduction::IntroductionState;
use super::metrics::{EdgeMetrics, HostGauges};
use super::peer_messages::SentMembers;
use super::placement::Placement;
use super::settings::EdgeSettings;
use super::stop_gate::StopGate;
use crate::catalog::{CatalogState, REREGISTRATION_TIME, RemovalHold};
use crate::configs::SchedulerSettings;
use crate::duties::DutyState;
use crate::hedging::HedgeControl;
use crate::ids::{FastMap, FastSet, HostAddress, Incarnation, TicketNumber};
use crate::isolation::ContactMonitor;
use crate::limits::{RetryBudget, UsageCaps};
use crate::membership::{
    FeedPositions, FeedTopic, HubChoice, HubTally, MemberTable, MemberView, RelayPlan, UpdateQueue,
};
use crate::quarantine::QuarantineTable;
use crate::rollouts::RolloutController;
use crate::scheduler::{RunEnd, SchedulerEffect, SchedulerEvent, SchedulerState};

/// Maximum size of the store updates in one summary. In the largest fleets the other parts of a
/// summary take up most of a datagram. Hosts fetch larger updates from the store themselves.
const MAX_SUMMARY_UPDATE_BYTES: usize = 8 * 1024;
/// Maximum size of the received updates that wait for the readers of their topics. The readers are
/// woken as soon as updates arrive.
const MAX_RECEIVED_UPDATE_BYTES: usize = 64 * 1024;

/// Time after its start in which a host learns of the others. After the loss of all hosts each of
/// them would otherwise count itself among the few that may send to a cold endpoint.
const DISCOVERY_TIME: Duration = Duration::from_secs(2);

/// Mutable state of a host.
pub(crate) struct EdgeState {
    pub catalog: CatalogState,
    pub scheduler: SchedulerState,
    pub caps: UsageCaps,
    pub budget: RetryBudget,
    pub rollouts: RolloutController,
    pub quarantine: QuarantineTable,
    pub hedging: HedgeControl,
    /// `None` if the deployment has no duties.
    pub duties: Option<DutyState>,
    pub members: MemberTable,
    pub feed_positions: FeedPositions,
    /// Hubs and store readers, as derived from the known hosts.
    pub relay_plan: RelayPlan,
    pub tally: HubTally,
    pub sent_members: SentMembers,
    /// The followed hub and the time of its last summary.
    pub hub_choice: HubChoice,
    /// Updates that this host, as a hub, has read from the store and not sent yet.
    pub updates_to_send: UpdateQueue,
    /// Updates received from hubs of other cells, to be forwarded within the own cell.
    pub updates_to_forward: UpdateQueue,
    /// Updates received from hubs that the reader of the topic has not taken yet.
    pub received_updates: UpdateQueue,
    /// Tasks that wait for the next update of the store.
    pub(super) update_waiters: Vec<oneshot::Sender<()>>,
    pub(super) config_lag: ConfigLag,
    /// Hosts whose datagrams this host cannot read, each of which is logged once.
    pub(super) unreadable_senders: FastSet<HostAddress>,
    /// Sequence number of the last summary that was sent.
    pub summary_number: u64,
    /// Whether a feed position or the configuration has changed since the last heartbeat.
    pub heartbeat_due: bool,
    pub(super) removals: RemovalHold,
    /// Requests that wait for a decision of the scheduler.
    pending_placements: FastMap<TicketNumber, oneshot::Sender<Placement>>,
    last_ticket: TicketNumber,
    /// Sequence number of the last heartbeat that was sent.
    pub heartbeat_number: u64,
    /// Hosts that count in limits, as of the last tick.
    pub(super) member_view: MemberView,
    /// Hosts that were heard recently, as of the last tick.
    pub(super) live_hosts: Vec<HostAddress>,
    /// Whether a complete list of endpoints has been received. Endpoints that appear later are new.
    pub(super) endpoints_listed: bool,
    /// When the shares of workspaces were computed last, and how many were limited.
    pub(super) kept_shares_updated: Option<(Instant, usize)>,
    pub(super) introduction: IntroductionState,
    /// Time at which the shutdown of this host started.
    pub leaving_since: Option<Instant>,
}

/// A host of the gateway: its settings, state and connections.
pub struct Edge {
    pub(crate) settings: EdgeSettings,
    pub(crate) dialect: WireDialect,
    pub(crate) archive: Rc<dyn CatalogArchive>,
    pub(crate) state: RefCell<EdgeState>,
    pub(crate) pool: ConnectionPool,
    /// Memory of the bodies of requests and responses, and of long heads.
    pub(crate) memory: MemoryPool,
    pub(crate) metrics: EdgeMetrics,
    /// Requests whose responses are not complete.
    pub(crate) in_flight: InFlightTable,
    pub(crate) stop_gate: StopGate,
    /// Whether this host reaches any endpoint.
    pub(crate) contact: RefCell<ContactMonitor>,
    /// Tasks that wait until this host reaches no endpoint.
    pub(super) isolation_waiters: RefCell<Vec<oneshot::Sender<()>>>,
    /// Hosts that get no requests of this host's callers until these times.
    pub(super) avoided_relays: RefCell<FastMap<HostAddress, Instant>>,
    pub(crate) incarnation: Incarnation,
    pub(super) started: Instant,
    pub(super) random: RefCell<SmallRng>,
}

impl Edge {
    /// Creates a host with the seeds of its settings as the only known peers.
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
        let mut state = EdgeState {
            catalog: CatalogState::default(),
            scheduler: SchedulerState::new(SchedulerSettings::default(), incarnation),
            caps: UsageCaps::new(settings.cap_tolerance),
            budget: RetryBudget::new(
                settings.retry_budget.clone(),
                (!settings.is_first_start).then_some(now),
            ),
            rollouts: RolloutController::new(settings.rollout_exposure),
            quarantine: QuarantineTable::default(),
            hedging: HedgeControl::new(settings.hedging),
            duties: settings
                .duties
                .clone()
                .map(|duties| DutyState::new(duties, settings.host, incarnation, read_clocks())),
            members,
            feed_positions: FeedPositions::default(),
            relay_plan: RelayPlan::default(),
            tally: HubTally::default(),
            sent_members: SentMembers::default(),
            hub_choice: HubChoice::default(),
            updates_to_send: UpdateQueue::new(MAX_SUMMARY_UPDATE_BYTES),
            updates_to_forward: UpdateQueue::new(MAX_SUMMARY_UPDATE_BYTES),
            received_updates: UpdateQueue::new(MAX_RECEIVED_UPDATE_BYTES),
            update_waiters: Vec::new(),
            config_lag: ConfigLag::default(),
            unreadable_senders: FastSet::default(),
            summary_number: 0,
            heartbeat_due: false,
            removals: RemovalHold::default(),
            pending_placements: FastMap::default(),
            last_ticket: 0,
            heartbeat_number: 0,
            member_view: MemberView::default(),
            live_hosts: Vec::new(),
            endpoints_listed: false,
            kept_shares_updated: None,
            introduction: IntroductionState::default(),
            leaving_since: None,
        };
        let cold_sends_from = SchedulerEvent::ColdSendsFrom(now + DISCOVERY_TIME);
        state.scheduler.reduce(cold_sends_from, now);
        Rc::new(Self {
            memory: MemoryPool::new(settings.body_memory_bytes),
            settings,
            dialect,
            archive,
            state: RefCell::new(state),
            pool: ConnectionPool::default(),
            metrics: EdgeMetrics::default(),
            in_flight: InFlightTable::default(),
            stop_gate: StopGate::default(),
            contact: RefCell::default(),
            isolation_waiters: RefCell::default(),
            avoided_relays: RefCell::default(),
            incarnation,
            started: now,
            random: RefCell::new(random),
        })
    }

    /// Returns a random number, uniformly distributed in 0..1.
    #[must_use]
    pub fn random_fraction(&self) -> f64 {
        self.random.borrow_mut().random()
    }

    /// Returns the time limit for receiving a request head, including the idle time before it.
    pub(crate) fn caller_head_timeout(&self) -> Duration {
        let limits = self.state.borrow().catalog.limits();
        limits.idle_timeout.saturating_add(limits.header_timeout)
    }

    /// Applies the settings that may change while the process runs: seeds and limits. Changes of
    /// addresses and of the zone require a restart.
    pub fn apply_settings(&self, settings: &EdgeSettings) {
        let now = Instant::now();
        let state = &mut *self.state.borrow_mut();
        for seed in &settings.seeds {
            state.members.add_host(*seed, now);
        }
        state.budget.apply_settings(settings.retry_budget.clone());
        state.caps.apply_tolerance(settings.cap_tolerance);
        log::info!(seeds = settings.seeds.len(); "settings: applied");
    }

    /// Returns whether this host may be listed to callers.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        let state = self.state.borrow();
        state.leaving_since.is_none()
            && state.catalog.version() > 0
            && state.endpoints_listed
            && self.is_introduced()
    }

    /// Returns the version of the configuration in force, or 0 before the first one.
    #[must_use]
    pub fn catalog_version(&self) -> u64 {
        self.state.borrow().catalog.version()
    }

    /// Passes an event to the scheduler and carries out the resulting effects.
    pub(crate) fn schedule(&self, event: SchedulerEvent) {
        let now = Instant::now();
        let effects = self.state.borrow_mut().scheduler.reduce(event, now);
        for effect in effects {
            self.apply_effect(effect);
        }
    }

    /// Carries out an effect: delivers the placement or refusal of a request, or logs a change.
    fn apply_effect(&self, effect: SchedulerEffect) {
        let (ticket, placement) = match effect {
            SchedulerEffect::SignalChanged {
                endpoint,
                change,
                reported,
            } => {
                self.log_signal_change(&endpoint, change, reported);
                return;
            }
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
        let sender = self.state.borrow_mut().pending_placements.remove(&ticket);
        let delivered = sender.is_some_and(|sender| sender.send(placement).is_ok());
        if !delivered {
            // The caller disconnected before the decision was delivered.
            self.end_run(ticket, RunEnd::Abandoned);
        }
    }

    /// Reports to the scheduler that a run ended before any event of it was received.
    pub(crate) fn end_run(&self, ticket: TicketNumber, end: RunEnd) {
        self.schedule(SchedulerEvent::Ended {
            ticket,
            end,
            events: 0,
            streamed_for: Duration::ZERO,
        });
    }

    /// Issues a ticket for a new request, with the channel on which its placement arrives.
    pub(crate) fn issue_ticket(&self) -> (TicketNumber, oneshot::Receiver<Placement>) {
        let state = &mut *self.state.borrow_mut();
        state.last_ticket += 1;
        let (sender, receiver) = oneshot::channel();
        state.pending_placements.insert(state.last_ticket, sender);
        (state.last_ticket, receiver)
    }

    /// Discards the ticket of a request that no longer waits for its placement.
    pub(crate) fn discard_ticket(&self, ticket: TicketNumber) {
        self.state.borrow_mut().pending_placements.remove(&ticket);
    }

    /// Increments the counter of an event.
    pub(crate) fn count(&self, event: &'static str) {
        self.metrics.count(event);
    }

    /// Returns the current values of the gauges.
    pub(crate) fn gauges(&self) -> HostGauges {
        let now = Instant::now();
        let state = self.state.borrow();
        let held = state.removals.held();
        HostGauges {
            config_version: state.catalog.version(),
            store_reached: state.feed_positions.is_store_reachable(),
            endpoints: state.catalog.endpoints().count(),
            hosts: state.member_view.counted.len(),
            hosts_silent: state.member_view.silent,
            in_flight: self.in_flight.len(),
            waiting: state.scheduler.waiting_by_tier(),
            feed_ages: state.feed_positions.ages(now),
            signals: state.scheduler.signal_counts(now),
            memory: self.memory.usage(),
            duties: state
                .duties
                .as_ref()
                .map(|duties| duties.status(read_clocks().boot)),
            contents_blocked: state.quarantine.blocked_count(),
            removals_held: held.len(),
            removal_held_for: held.first().map(|held| now.duration_since(held.since)),
        }
    }

    /// Performs the periodic work: updates the relay plan and the member view, applies removals
    /// that are due, advances rollouts and expires waiting requests.
    pub(crate) fn tick(&self) {
        let now = Instant::now();
        self.update_introduction(now);
        self.update_relay_plan(now);
        let (due, view_changed, has_waiting) = {
            let state = &mut *self.state.borrow_mut();
            let relayed = state.relay_plan.is_relayed();
            let positions = &state.feed_positions;
            let is_confirmed = state.removals.is_unsure(now)
                && positions.is_contact_confirmed(
                    FeedTopic::Endpoints,
                    REREGISTRATION_TIME,
                    relayed,
                    now,
                );
            state.removals.set_confirmed(is_confirmed);
            let due = state.removals.take_due(now);
            let is_store_reachable = positions.is_store_reachable();
            let window = self.settings.retry_budget.window;
            let budget_hosts = state.members.budget_hosts(is_store_reachable, window, now);
            state.budget.set_host_count(budget_hosts);
            let view = state.members.view(is_store_reachable, now);
            let view_changed = view != state.member_view;
            if view_changed {
                let hosts = view.counted.len();
                log::info!(hosts = hosts, silent = view.silent; "hosts: view changed");
                state.caps.set_unreachable_hosts(hosts, view.silent, now);
                state.member_view = view;
            }
            (due, view_changed, state.scheduler.has_waiting())
        };
        for held in due {
            self.remove_endpoint(&held.id, now.duration_since(held.since));
        }
        self.advance_rollouts(now);
        if view_changed {
            let (hosts, hosts_in_zone) = {
                let state = self.state.borrow();
                let hosts = state.member_view.counted.clone();
                let zone_hosts = hosts.iter().filter(|host| {
                    let zone = state.members.zone_of(**host);
                    zone.is_none_or(|zone| *zone == self.settings.zone)
                });
                (hosts.clone(), zone_hosts.count())
            };
            self.schedule(SchedulerEvent::HostsChanged {
                own_host: self.settings.host,
                hosts,
                hosts_in_zone,
            });
        }
        self.update_live_hosts(now);
        self.observe_config_lag(now);
        self.tick_quarantine(now);
        self.observe_duty_load(now);
        self.update_kept_shares(now);
        if has_waiting {
            self.schedule(SchedulerEvent::Tick);
        }
    }
}
