//! Decides how many endpoints a service should have in each zone.
//!
//! The load that it answers: demand that changes faster than endpoints start. It raises a number as
//! soon as the places taken, the requests that wait and those that were refused need more; it lowers
//! one only after demand has been lower for several start times, to the highest demand of that time.

use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use serde::{Deserialize, Serialize};

use super::BootTime;
use crate::ids::{ServiceName, ZoneName};

/// Share of the places that demand should take. The rest serves bursts of half as much again, which
/// end before further endpoints have started.
const TARGET_UTILIZATION: f64 = 0.65;
/// Start times for which the highest demand is kept.
const MEMORY_BOOTS: u32 = 3;
/// Minimum time for which the highest demand is kept.
const MIN_MEMORY: Duration = Duration::from_secs(10);
/// A caller that is refused returns about once, so each request that isn't served is refused twice.
const REFUSALS_PER_REQUEST: f64 = 2.0;
/// Part of the start time over which the load is averaged. Endpoints for a shorter burst would start
/// long after its end.
const AVERAGING_DIVISOR: u32 = 4;
/// Minimum time over which the load is averaged, and between two increases.
const MIN_AVERAGING_TIME: Duration = Duration::from_secs(1);
/// Minimum relative change for which a number is lowered.
const MIN_DECREASE: f64 = 0.1;

/// How many endpoints a service may have in each zone, and how long they take to start.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ScalingBounds {
    pub min: u32,
    pub max: u32,
    pub boot_time: Duration,
}

/// The number of endpoints that a service should have in a zone.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct EndpointOrder {
    pub service: ServiceName,
    pub zone: ZoneName,
    pub endpoints: u32,
}

/// Endpoints of a service in one zone.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ZoneEndpoints {
    pub zone: ZoneName,
    pub running: u32,
    /// Whether requests may be sent there.
    pub is_usable: bool,
}

/// Load of a service over all hosts. The counts of requests increase with time.
#[derive(Clone, Debug)]
pub struct CapacityObservation {
    pub service: ServiceName,
    pub bounds: ScalingBounds,
    /// Places of one endpoint.
    pub slots: u32,
    /// Places that are taken.
    pub active: u32,
    pub waiting: u32,
    pub dispatched: u64,
    pub refused: u64,
    /// Zones in which the service runs.
    pub zones: Vec<ZoneEndpoints>,
}

#[derive(Debug)]
struct ServicePlan {
    /// First observation of a request.
    since: Option<BootTime>,
    last: BootTime,
    dispatched: u64,
    refused: u64,
    active: f64,
    dispatch_rate: f64,
    refusal_rate: f64,
    /// Demand in places, decreasing: the highest of the time that is remembered, and later ones.
    peaks: VecDeque<(BootTime, f64)>,
    orders: BTreeMap<ZoneName, u32>,
    last_raise: Option<BootTime>,
}

impl ServicePlan {
    fn new(observation: &CapacityObservation, now: BootTime) -> Self {
        Self {
            since: None,
            last: now,
            dispatched: observation.dispatched,
            refused: observation.refused,
            active: f64::from(observation.active),
            dispatch_rate: 0.0,
            refusal_rate: 0.0,
            peaks: VecDeque::new(),
            orders: BTreeMap::new(),
            last_raise: None,
        }
    }

    /// Updates the averages and returns the demand in places.
    fn demand(&mut self, observation: &CapacityObservation, now: BootTime) -> f64 {
        let elapsed = now.saturating_sub(self.last).as_secs_f64();
        if elapsed > 0.0 {
            let averaging_time = observation.bounds.boot_time / AVERAGING_DIVISOR;
            let averaging_time = averaging_time.max(MIN_AVERAGING_TIME);
            let weight = (elapsed / averaging_time.as_secs_f64()).min(1.0);
            let rate = |before: u64, after: u64| {
                // The count falls when a host leaves.
                let more = u32::try_from(after.saturating_sub(before)).unwrap_or(u32::MAX);
                f64::from(more) / elapsed
            };
            let dispatched = rate(self.dispatched, observation.dispatched);
            let refused = rate(self.refused, observation.refused);
            self.dispatch_rate += weight * (dispatched - self.dispatch_rate);
            self.refusal_rate += weight * (refused - self.refusal_rate);
            self.active += weight * (f64::from(observation.active) - self.active);
        }
        self.last = now;
        self.dispatched = observation.dispatched;
        self.refused = observation.refused;
        let service_time = self.active / self.dispatch_rate.max(1.0);
        let unserved = self.refusal_rate / REFUSALS_PER_REQUEST * service_time;
        self.active + f64::from(observation.waiting) + unserved
    }

    /// Returns the highest demand within `memory`, this one included.
    fn peak(&mut self, demand: f64, memory: Duration, now: BootTime) -> f64 {
        while self.peaks.back().is_some_and(|(_, last)| *last <= demand) {
            self.peaks.pop_back();
        }
        self.peaks.push_back((now, demand));
        while let Some((time, _)) = self.peaks.front()
            && now.saturating_sub(*time) > memory
        {
            self.peaks.pop_front();
        }
        self.peaks.front().map_or(demand, |(_, peak)| *peak)
    }
}

/// The numbers of endpoints that are wanted.
#[derive(Debug, Default)]
pub struct CapacityPlan {
    services: BTreeMap<ServiceName, ServicePlan>,
    /// Orders of the holder before.
    inherited: Vec<EndpointOrder>,
}

impl CapacityPlan {
    /// Starts with the orders of the holder before.
    pub fn take_over(&mut self, orders: Vec<EndpointOrder>) {
        self.services.clear();
        self.inherited = orders;
    }

    /// Returns the orders in force.
    #[must_use]
    pub fn orders(&self) -> Vec<EndpointOrder> {
        let services = self.services.iter().flat_map(|(service, plan)| {
            let orders = plan.orders.iter();
            orders.map(|(zone, endpoints)| EndpointOrder {
                service: service.clone(),
                zone: zone.clone(),
                endpoints: *endpoints,
            })
        });
        let is_replaced = |order: &&EndpointOrder| {
            let plan = self.services.get(&order.service);
            plan.is_some_and(|plan| plan.orders.contains_key(&order.zone))
        };
        let inherited = self.inherited.iter().filter(|order| !is_replaced(order));
        services.chain(inherited.cloned()).collect()
    }

    /// Updates the orders of a service. Returns whether they have changed.
    pub fn observe(&mut self, observation: &CapacityObservation, now: BootTime) -> bool {
        let CapacityObservation {
            service, bounds, ..
        } = observation;
        let plan = self.services.entry(service.clone());
        let plan = plan.or_insert_with(|| ServicePlan::new(observation, now));
        let demand = plan.demand(observation, now);
        let memory = (bounds.boot_time * MEMORY_BOOTS).max(MIN_MEMORY);
        let peak = plan.peak(demand, memory, now);
        if observation.dispatched > 0 {
            plan.since.get_or_insert(now);
        }
        let knows_peak = plan
            .since
            .is_some_and(|since| now.saturating_sub(since) >= memory);
        let usable = observation
            .zones
            .iter()
            .filter(|zone| zone.is_usable)
            .count();
        let slots = f64::from(observation.slots.max(1));
        let wanted = |demand: f64| {
            let endpoints = demand / (slots * TARGET_UTILIZATION);
            let zones = f64::from(u32::try_from(usable.max(1)).unwrap_or(u32::MAX));
            whole(endpoints / zones).clamp(bounds.min, bounds.max.max(bounds.min))
        };
        let (raised, lowered) = (wanted(demand), wanted(peak));
        let may_raise = plan
            .last_raise
            .is_none_or(|last| now.saturating_sub(last) >= MIN_AVERAGING_TIME);
        let mut has_changed = false;
        for endpoints in &observation.zones {
            let ZoneEndpoints {
                zone,
                running,
                is_usable,
            } = endpoints;
            let inherited = self
                .inherited
                .iter()
                .find(|order| order.service == *service && order.zone == *zone);
            let ordered = plan.orders.get(zone).copied();
            let current = ordered
                .or(inherited.map(|order| order.endpoints))
                .unwrap_or(*running)
                .clamp(bounds.min, bounds.max.max(bounds.min));
            let is_lower = f64::from(lowered) <= f64::from(current) * (1.0 - MIN_DECREASE);
            // An evacuated zone is expected back, and its endpoints cannot be used meanwhile.
            let next = if *is_usable && raised > current && may_raise {
                raised
            } else if *is_usable && is_lower && knows_peak {
                lowered
            } else {
                current
            };
            let is_known = ordered == Some(next)
                || ordered.is_none() && inherited.is_none() && next == current;
            if is_known {
                continue;
            }
            has_changed |= ordered.or(inherited.map(|order| order.endpoints)) != Some(next);
            plan.orders.insert(zone.clone(), next);
            if next > current {
                plan.last_raise = Some(now);
            }
            if next != current {
                log::info!(
                    service = service.as_str(), zone = zone.as_str(), endpoints = next, before = current,
                    running = running, demand = whole(demand), peak = whole(peak),
                    waiting = observation.waiting, refused_per_s = whole(plan.refusal_rate);
                    "duties: number of endpoints decided"
                );
            }
        }
        has_changed
    }
}

/// Rounds a number of places or endpoints up.
fn whole(number: f64) -> u32 {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "clamped to the range"
    )]
    let whole = number.ceil().clamp(0.0, f64::from(u32::MAX)) as u32;
    whole
}
