//! Queue of a pool. Tiers have strict priority, workspaces share a tier by weight, and a workspace
//! orders its requests by earliest deadline.

use std::collections::{BTreeMap, BTreeSet};
use std::ops::Bound;
use std::time::{Duration, Instant};

use crate::configs::fairness::FairnessSettings;
use crate::ids::{FastMap, Incarnation, RequestKey, TierNumber, WorkspaceName};
use crate::messages::QueueTicket;

/// Position of a ticket in the order of arrival. A ticket keeps it when it is retried.
pub(crate) type ArrivalNumber = u64;
/// Home of a request and its key. Keys of service calls are unique only within one home.
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

/// Queue limit that an arriving ticket exceeds, and the queued ticket to shed in its favour.
/// If `victim` is `None`, the arriving ticket itself is refused.
#[derive(Debug, PartialEq, Eq)]
pub(crate) enum QueueCapacity {
    Free,
    PoolFull { victim: Option<ArrivalNumber> },
    WorkspaceFull { victim: Option<ArrivalNumber> },
}

#[derive(Debug, Default)]
struct WorkspaceQueue {
    /// Virtual time at which the next request of the workspace starts, in microseconds of work at
    /// weight 1.
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
    /// Workspaces without waiting tickets, kept while they are ahead of their fair share.
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

    /// Returns the tiers that have queued tickets, highest priority first.
    pub fn tiers(&self) -> Vec<TierNumber> {
        self.tiers.keys().copied().collect()
    }

    /// Returns the number of queued tickets per tier, highest priority first.
    pub fn counts(&self) -> Vec<(TierNumber, usize)> {
        let count = |tier| self.arrivals.range((tier, 0)..=(tier, u64::MAX)).count();
        self.tiers()
            .into_iter()
            .map(|tier| (tier, count(tier)))
            .collect()
    }

    /// Returns all queued tickets, ordered by tier and arrival.
    pub fn arrivals(&self) -> Vec<ArrivalNumber> {
        self.arrivals.iter().map(|entry| entry.1).collect()
    }

    /// Returns the queued ticket that arrived first in any tier.
    pub fn oldest(&self) -> Option<ArrivalNumber> {
        let first = |tier: &TierNumber| self.arrivals.range((*tier, 0)..).next();
        self.tiers
            .keys()
            .filter_map(first)
            .map(|entry| entry.1)
            .min()
    }

    /// Returns the queued tickets of one home, ordered by tier and arrival.
    pub fn arrivals_of_home(&self, home: Incarnation) -> Vec<ArrivalNumber> {
        let mut arrivals = self.arrivals();
        arrivals.retain(|arrival| self.tickets[arrival].home == home);
        arrivals
    }

    /// Returns whether a ticket of `tier` can be queued, or which ticket must be shed first. The
    /// victim is the newest ticket of the lowest-priority tier in the queue. If no queued ticket
    /// has a lower priority than the arriving one, there is no victim.
    pub fn queue_capacity(&self, workspace: &str, tier: TierNumber) -> QueueCapacity {
        let victim = |last: Option<&(TierNumber, ArrivalNumber)>| {
            last.filter(|entry| entry.0 > tier).map(|entry| entry.1)
        };
        let arrivals = self.by_workspace.get(workspace);
        if arrivals.is_some_and(|arrivals| arrivals.len() >= self.settings.workspace_queue_limit) {
            let victim = victim(arrivals.and_then(BTreeSet::last));
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

    /// Removes a ticket that was refused, withdrawn or granted.
    pub fn remove(&mut self, arrival: ArrivalNumber) -> Option<QueuedTicket> {
        self.set_aside(arrival);
        let queued = self.tickets.remove(&arrival)?;
        let (tier, workspace) = (queued.ticket.tier, &queued.ticket.workspace);
        self.by_id.remove(&queued.id());
        self.arrivals.remove(&(tier, arrival));
        self.deadlines.remove(&(queued.deadline, arrival));
        if let Some(arrivals) = self.by_workspace.get_mut(workspace) {
            arrivals.remove(&(tier, arrival));
            if arrivals.is_empty() {
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

    /// Removes a granted ticket and charges its work to its workspace.
    pub fn take_granted(&mut self, arrival: ArrivalNumber, weight: u32) -> Option<QueuedTicket> {
        let queued = self.get(arrival)?;
        let cost = virtual_cost(queued.work, weight);
        let (tier, workspace) = (queued.ticket.tier, queued.ticket.workspace.clone());
        if let Some(queue) = self.tiers.get_mut(&tier) {
            queue.charge(&workspace, cost, self.settings.idle_workspaces);
        }
        self.remove(arrival)
    }

    /// Returns a ticket whose permit was not used to its position and refunds the charge.
    pub fn put_back(&mut self, queued: QueuedTicket, weight: u32) {
        let cost = virtual_cost(queued.work, weight);
        let (tier, workspace) = (queued.ticket.tier, queued.ticket.workspace.clone());
        self.push(queued);
        if let Some(queue) = self.tiers.get_mut(&tier) {
            queue.refund(&workspace, cost);
        }
    }

    /// Returns the ticket that is granted next in `tier`.
    pub fn next_in_tier(&self, tier: TierNumber) -> Option<ArrivalNumber> {
        let queue = self.tiers.get(&tier)?;
        let (_, workspace) = queue.ready.first()?;
        let (order_key, _) = queue.workspaces.get(workspace)?.waiting.first_key_value()?;
        Some(order_key.1)
    }

    /// Removes a ticket from the grant order. It remains queued.
    pub fn set_aside(&mut self, arrival: ArrivalNumber) {
        let Some(queued) = self.tickets.get(&arrival) else {
            return;
        };
        let order_key = (queued.deadline, arrival);
        if let Some(queue) = self.tiers.get_mut(&queued.ticket.tier) {
            let limit = self.settings.idle_workspaces;
            queue.remove_waiting(&queued.ticket.workspace, order_key, limit);
        }
    }

    /// Returns a ticket that was set aside to the grant order.
    pub fn restore(&mut self, arrival: ArrivalNumber) {
        let Some(queued) = self.tickets.get(&arrival) else {
            return;
        };
        let order_key = (queued.deadline, arrival);
        if let Some(queue) = self.tiers.get_mut(&queued.ticket.tier) {
            queue.insert_waiting(&queued.ticket.workspace, order_key, queued.work);
        }
    }

    /// Returns the queued ticket with the earliest deadline if that deadline has passed.
    pub fn first_expired(&self, now: Instant) -> Option<ArrivalNumber> {
        let (deadline, arrival) = self.deadlines.first()?;
        (*deadline <= now).then_some(*arrival)
    }

    /// Estimates the work that is granted before a ticket of `workspace` in `tier`. It consists of
    /// all work in higher tiers, the workspace's own work with earlier deadlines in `tier`, and the
    /// share that the other workspaces of `tier` receive in that time. Lower tiers never count.
    pub fn work_ahead(&self, workspace: &str, tier: TierNumber, deadline: Instant) -> Duration {
        let higher: Duration = self.tiers.range(..tier).map(|entry| entry.1.work).sum();
        let Some(queue) = self.tiers.get(&tier) else {
            return higher;
        };
        let end = Bound::Included((deadline, ArrivalNumber::MAX));
        let own_work: Duration = queue
            .workspaces
            .get(workspace)
            .map(|workspace_queue| {
                workspace_queue
                    .waiting
                    .range((Bound::Unbounded, end))
                    .map(|entry| entry.1)
                    .sum()
            })
            .unwrap_or_default();
        let ready_count = u32::try_from(queue.ready.len()).unwrap_or(u32::MAX).max(1);
        higher + queue.work.min(own_work.saturating_mul(ready_count))
    }
}

impl TierQueue {
    fn insert_waiting(
        &mut self,
        name: &WorkspaceName,
        order_key: (Instant, ArrivalNumber),
        work: Duration,
    ) {
        let tier_time = self.virtual_time;
        let workspace_queue = self.workspaces.entry(name.clone()).or_default();
        if workspace_queue.waiting.is_empty() {
            self.idle
                .remove(&(workspace_queue.virtual_start, name.clone()));
            workspace_queue.virtual_start = workspace_queue.virtual_start.max(tier_time);
            self.ready
                .insert((workspace_queue.virtual_start, name.clone()));
        }
        workspace_queue.waiting.insert(order_key, work);
    }

    fn remove_waiting(
        &mut self,
        name: &WorkspaceName,
        order_key: (Instant, ArrivalNumber),
        limit: usize,
    ) {
        let Some(workspace_queue) = self.workspaces.get_mut(name) else {
            return;
        };
        if workspace_queue.waiting.remove(&order_key).is_none()
            || !workspace_queue.waiting.is_empty()
        {
            return;
        }
        let start = workspace_queue.virtual_start;
        self.ready.remove(&(start, name.clone()));
        self.idle.insert((start, name.clone()));
        self.evict_idle(limit);
    }

    /// Evicts idle workspaces that are no longer ahead of their share. Above the limit, it also
    /// evicts those that are the least ahead.
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
        if let Some(workspace_queue) = self.workspaces.get(name) {
            self.virtual_time = self.virtual_time.max(workspace_queue.virtual_start);
        }
        self.adjust_start(name, |start| start.saturating_add(cost));
        self.evict_idle(limit);
    }

    fn refund(&mut self, name: &WorkspaceName, cost: u64) {
        self.adjust_start(name, |start| start.saturating_sub(cost));
    }

    fn adjust_start(&mut self, name: &WorkspaceName, adjust: impl Fn(u64) -> u64) {
        let Some(workspace_queue) = self.workspaces.get_mut(name) else {
            return;
        };
        let set = if workspace_queue.waiting.is_empty() {
            &mut self.idle
        } else {
            &mut self.ready
        };
        set.remove(&(workspace_queue.virtual_start, name.clone()));
        workspace_queue.virtual_start = adjust(workspace_queue.virtual_start);
        set.insert((workspace_queue.virtual_start, name.clone()));
    }
}

fn virtual_cost(work: Duration, weight: u32) -> u64 {
    let micros = u64::try_from(work.as_micros()).unwrap_or(u64::MAX);
    // The factor keeps enough precision to order short requests of workspaces with large weights.
    micros.saturating_mul(1024) / u64::from(weight.max(1))
}
