//! The queue of a pool: strict tiers, fair shares between workspaces inside a tier, earliest
//! deadline first inside a workspace.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::{Duration, Instant};

use crate::configs::fairness::FairnessSettings;
use crate::ids::{FastMap, Incarnation, RequestKey, TierNumber, WorkspaceName};
use crate::messages::QueueTicket;

/// Place of a ticket in the order of arrival. A retried ticket keeps it.
pub(crate) type ArrivalNumber = u64;
/// A home and one of its keys. Keys of service calls are unique only within a home.
pub(crate) type TicketId = (Incarnation, RequestKey);

#[derive(Clone, Debug)]
pub(crate) struct QueuedTicket {
    pub home: Incarnation,
    pub ticket: QueueTicket,
    pub arrival: ArrivalNumber,
    pub deadline: Instant,
    /// Predicted run time on an average endpoint.
    pub work: Duration,
}

impl QueuedTicket {
    pub fn id(&self) -> TicketId {
        (self.home, self.ticket.key.clone())
    }
}

/// Which queue bound an arriving ticket meets, and the queued ticket that must make room.
/// `victim` is `None` when the arriving ticket itself has to be refused.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum QueueCapacity {
    Free,
    PoolFull { victim: Option<ArrivalNumber> },
    WorkspaceFull { victim: Option<ArrivalNumber> },
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    /// Virtual start time, in microseconds of work at weight 1.
    virtual_start: u64,
    waiting: BTreeMap<(Instant, ArrivalNumber), Duration>,
}

#[derive(Debug, Default)]
struct TierQueue {
    virtual_time: u64,
    /// Sum of the predicted run times of all queued tickets.
    work: Duration,
    workspaces: FastMap<WorkspaceName, WorkspaceQueue>,
    ready: BTreeSet<(u64, WorkspaceName)>,
    /// Workspaces without waiting tickets that have used more than their share.
    idle: BTreeSet<(u64, WorkspaceName)>,
}

#[derive(Debug)]
pub(crate) struct TicketQueue {
    settings: FairnessSettings,
    tickets: FastMap<ArrivalNumber, QueuedTicket>,
    by_id: FastMap<TicketId, ArrivalNumber>,
    tiers: BTreeMap<TierNumber, TierQueue>,
    arrivals: BTreeSet<(TierNumber, ArrivalNumber)>,
    deadlines: BTreeSet<(Instant, ArrivalNumber)>,
    by_workspace: FastMap<WorkspaceName, BTreeSet<(TierNumber, ArrivalNumber)>>,
}

impl TicketQueue {
    pub fn new(settings: FairnessSettings) -> Self {
        Self {
            settings,
            tickets: FastMap::default(),
            by_id: FastMap::default(),
            tiers: BTreeMap::new(),
            arrivals: BTreeSet::new(),
            deadlines: BTreeSet::new(),
            by_workspace: FastMap::default(),
        }
    }

    pub fn contains(&self, id: &TicketId) -> bool {
        self.by_id.contains_key(id)
    }

    pub fn find(&self, id: &TicketId) -> Option<ArrivalNumber> {
        self.by_id.get(id).copied()
    }

    pub fn get(&self, arrival: ArrivalNumber) -> Option<&QueuedTicket> {
        self.tickets.get(&arrival)
    }

    /// Tiers with queued tickets, highest first.
    pub fn tiers(&self) -> Vec<TierNumber> {
        self.tiers.keys().copied().collect()
    }

    /// Queued tickets per tier, highest first.
    pub fn counts(&self) -> Vec<(TierNumber, usize)> {
        let count = |tier| self.arrivals.range((tier, 0)..=(tier, u64::MAX)).count();
        self.tiers()
            .into_iter()
            .map(|tier| (tier, count(tier)))
            .collect()
    }

    /// All queued tickets in the order of tier and arrival.
    pub fn arrivals(&self) -> Vec<ArrivalNumber> {
        self.arrivals.iter().map(|entry| entry.1).collect()
    }

    /// The queued ticket that arrived first, whatever its tier.
    pub fn oldest(&self) -> Option<ArrivalNumber> {
        let first = |tier: &TierNumber| self.arrivals.range((*tier, 0)..).next();
        self.tiers
            .keys()
            .filter_map(first)
            .map(|entry| entry.1)
            .min()
    }

    /// Queued tickets of one home, in the order of tier and arrival.
    pub fn arrivals_of_home(&self, home: Incarnation) -> Vec<ArrivalNumber> {
        let mut arrivals = self.arrivals();
        arrivals.retain(|arrival| self.tickets[arrival].home == home);
        arrivals
    }

    /// Decides who must go before a ticket of `tier` can be queued: the newest ticket of the
    /// lowest tier present, where the arriving ticket is the newest of its own tier.
    pub fn queue_capacity(&self, workspace: &str, tier: TierNumber) -> QueueCapacity {
        let victim = |last: Option<&(TierNumber, ArrivalNumber)>| {
            last.filter(|entry| entry.0 > tier).map(|entry| entry.1)
        };
        let own = self.by_workspace.get(workspace);
        if own.is_some_and(|own| own.len() >= self.settings.workspace_queue_limit) {
            let victim = victim(own.and_then(BTreeSet::last));
            return QueueCapacity::WorkspaceFull { victim };
        }
        if self.tickets.len() >= self.settings.queue_limit {
            let victim = victim(self.arrivals.last());
            return QueueCapacity::PoolFull { victim };
        }
        QueueCapacity::Free
    }

    pub fn push(&mut self, queued: QueuedTicket) {
        let (tier, arrival) = (queued.ticket.tier, queued.arrival);
        self.by_id.insert(queued.id(), arrival);
        self.arrivals.insert((tier, arrival));
        self.deadlines.insert((queued.deadline, arrival));
        self.by_workspace
            .entry(queued.ticket.workspace.clone())
            .or_default()
            .insert((tier, arrival));
        self.tiers.entry(tier).or_default().work += queued.work;
        self.tickets.insert(arrival, queued);
        self.restore(arrival);
    }

    /// Removes a ticket that is refused, withdrawn or granted.
    pub fn remove(&mut self, arrival: ArrivalNumber) -> Option<QueuedTicket> {
        self.set_aside(arrival);
        let queued = self.tickets.remove(&arrival)?;
        let (tier, workspace) = (queued.ticket.tier, &queued.ticket.workspace);
        self.by_id.remove(&queued.id());
        self.arrivals.remove(&(tier, arrival));
        self.deadlines.remove(&(queued.deadline, arrival));
        if let Some(own) = self.by_workspace.get_mut(workspace) {
            own.remove(&(tier, arrival));
            if own.is_empty() {
                self.by_workspace.remove(workspace);
            }
        }
        let queue = self.tiers.get_mut(&tier)?;
        queue.work = queue.work.saturating_sub(queued.work);
        let any_left = self.arrivals.range((tier, 0)..=(tier, u64::MAX)).next();
        if any_left.is_none() {
            self.tiers.remove(&tier);
        }
        Some(queued)
    }

    /// Removes a granted ticket and charges its workspace.
    pub fn take_granted(&mut self, arrival: ArrivalNumber, weight: u32) -> Option<QueuedTicket> {
        let queued = self.get(arrival)?;
        let cost = virtual_cost(queued.work, weight);
        let (tier, workspace) = (queued.ticket.tier, queued.ticket.workspace.clone());
        if let Some(queue) = self.tiers.get_mut(&tier) {
            queue.charge(&workspace, cost, self.settings.idle_workspaces);
        }
        self.remove(arrival)
    }

    /// Puts a ticket whose permit was not used back in its place and undoes the charge.
    pub fn put_back(&mut self, queued: QueuedTicket, weight: u32) {
        let cost = virtual_cost(queued.work, weight);
        let (tier, workspace) = (queued.ticket.tier, queued.ticket.workspace.clone());
        self.push(queued);
        if let Some(queue) = self.tiers.get_mut(&tier) {
            queue.refund(&workspace, cost);
        }
    }

    /// The ticket that is next in its tier.
    pub fn next_in_tier(&self, tier: TierNumber) -> Option<ArrivalNumber> {
        let queue = self.tiers.get(&tier)?;
        let (_, workspace) = queue.ready.first()?;
        let (place, _) = queue.workspaces.get(workspace)?.waiting.first_key_value()?;
        Some(place.1)
    }

    /// Takes a ticket out of the grant order; it stays queued.
    pub fn set_aside(&mut self, arrival: ArrivalNumber) {
        let Some(queued) = self.tickets.get(&arrival) else {
            return;
        };
        let place = (queued.deadline, arrival);
        if let Some(queue) = self.tiers.get_mut(&queued.ticket.tier) {
            let limit = self.settings.idle_workspaces;
            queue.remove_waiting(&queued.ticket.workspace, place, limit);
        }
    }

    /// Puts a ticket that was set aside back into the grant order.
    pub fn restore(&mut self, arrival: ArrivalNumber) {
        let Some(queued) = self.tickets.get(&arrival) else {
            return;
        };
        let place = (queued.deadline, arrival);
        if let Some(queue) = self.tiers.get_mut(&queued.ticket.tier) {
            queue.insert_waiting(&queued.ticket.workspace, place, queued.work);
        }
    }

    /// The queued ticket with the earliest deadline, if that has passed.
    pub fn first_expired(&self, now: Instant) -> Option<ArrivalNumber> {
        let (deadline, arrival) = self.deadlines.first()?;
        (*deadline <= now).then_some(*arrival)
    }

    /// Work that is granted before a ticket of `workspace` in `tier`: everything in higher tiers,
    /// and in its own tier the workspace's earlier deadlines together with the share of the others
    /// meanwhile. Lower tiers never count.
    pub fn work_ahead(&self, workspace: &str, tier: TierNumber, deadline: Instant) -> Duration {
        let higher: Duration = self.tiers.range(..tier).map(|entry| entry.1.work).sum();
        let Some(queue) = self.tiers.get(&tier) else {
            return higher;
        };
        let end = Bound::Included((deadline, ArrivalNumber::MAX));
        let own: Duration = queue
            .workspaces
            .get(workspace)
            .map(|own| {
                own.waiting
                    .range((Bound::Unbounded, end))
                    .map(|entry| entry.1)
                    .sum()
            })
            .unwrap_or_default();
        let sharers = u32::try_from(queue.ready.len()).unwrap_or(u32::MAX).max(1);
        higher + queue.work.min(own.saturating_mul(sharers))
    }
}

impl TierQueue {
    fn insert_waiting(
        &mut self,
        name: &WorkspaceName,
        place: (Instant, ArrivalNumber),
        work: Duration,
    ) {
        let floor = self.virtual_time;
        let own = self.workspaces.entry(name.clone()).or_default();
        if own.waiting.is_empty() {
            self.idle.remove(&(own.virtual_start, name.clone()));
            own.virtual_start = own.virtual_start.max(floor);
            self.ready.insert((own.virtual_start, name.clone()));
        }
        own.waiting.insert(place, work);
    }

    fn remove_waiting(
        &mut self,
        name: &WorkspaceName,
        place: (Instant, ArrivalNumber),
        limit: usize,
    ) {
        let Some(own) = self.workspaces.get_mut(name) else {
            return;
        };
        if own.waiting.remove(&place).is_none() || !own.waiting.is_empty() {
            return;
        }
        let start = own.virtual_start;
        self.ready.remove(&(start, name.clone()));
        self.idle.insert((start, name.clone()));
        self.evict_idle(limit);
    }

    /// Forgets idle workspaces without an advantage to pay back, and the least ones over the limit.
    fn evict_idle(&mut self, limit: usize) {
        while let Some((start, _)) = self.idle.first() {
            if *start >= self.virtual_time && self.idle.len() <= limit {
                return;
            }
            if let Some((_, name)) = self.idle.pop_first() {
                self.workspaces.remove(&name);
            }
        }
    }

    fn charge(&mut self, name: &WorkspaceName, cost: u64, limit: usize) {
        if let Some(own) = self.workspaces.get(name) {
            self.virtual_time = self.virtual_time.max(own.virtual_start);
        }
        self.shift(name, |start| start.saturating_add(cost));
        self.evict_idle(limit);
    }

    fn refund(&mut self, name: &WorkspaceName, cost: u64) {
        self.shift(name, |start| start.saturating_sub(cost));
    }

    fn shift(&mut self, name: &WorkspaceName, change: impl Fn(u64) -> u64) {
        let Some(own) = self.workspaces.get_mut(name) else {
            return;
        };
        let set = if own.waiting.is_empty() {
            &mut self.idle
        } else {
            &mut self.ready
        };
        set.remove(&(own.virtual_start, name.clone()));
        own.virtual_start = change(own.virtual_start);
        set.insert((own.virtual_start, name.clone()));
    }
}

fn virtual_cost(work: Duration, weight: u32) -> u64 {
    let micros = u64::try_from(work.as_micros()).unwrap_or(u64::MAX);
    // The factor keeps the order of short work between workspaces with large weights.
    micros.saturating_mul(1024) / u64::from(weight.max(1))
}
