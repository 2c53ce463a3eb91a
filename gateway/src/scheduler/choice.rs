//! Chooses the endpoint for one request.

use std::time::Instant;

use rollout_judge::RolloutSide;

use super::endpoint_load::EndpointLoad;
use super::pace::weighted_tokens;
use super::types::WorkItem;
use crate::catalog::{EndpointEntry, ServiceEntry};
use crate::configs::SchedulerSettings;
use crate::ids::{VersionName, ZoneName};

/// Factor on the expected time of an answer: expectations are off by half in both directions.
const FINISH_MARGIN: f64 = 1.3;
/// Requests beyond its slots that a plain service is given: it queues a few, and they are short.
const PLAIN_QUEUE_DEPTH: u32 = 2;

/// What the choice found.
pub(crate) enum EndpointChoice {
    /// Index of the endpoint.
    Found(usize),
    /// Every endpoint that may be used is full.
    Full,
    /// Those with room are too slow to finish it in time, and others are not.
    TooSlow,
    /// No endpoint may be used.
    Unavailable,
}

/// What operators have closed to new work.
pub(crate) struct ChoiceBounds<'a> {
    pub zones_out: &'a [ZoneName],
    /// A version under rollout, and whether this choice is for it or for the others.
    pub version: Option<(&'a VersionName, RolloutSide)>,
    /// The zone whose loads are heard first; `None` in a fleet that isn't divided.
    pub cell: Option<&'a ZoneName>,
    /// Part of the endpoints that one choice looks at, drawn anew each time; the others are taken
    /// only when none of these has room. Many hosts that see the same reports would else choose
    /// the same endpoint until the next report.
    pub looked_at: f64,
    /// The same for endpoints of other zones.
    pub far_looked_at: f64,
}

impl ChoiceBounds<'_> {
    fn allows(&self, version: &VersionName) -> bool {
        self.version.is_none_or(|(target, side)| match side {
            RolloutSide::Old => version != target,
            RolloutSide::New => version == target,
        })
    }
}

/// Whether an endpoint is in another zone than the one whose loads are heard first.
pub(crate) fn is_far(cell: Option<&ZoneName>, entry: &EndpointEntry) -> bool {
    cell.is_some_and(|cell| *cell != entry.zone)
}

/// Picks the endpoint with the lowest expected cost.
pub(crate) fn choose_endpoint(
    endpoints: &mut [EndpointLoad],
    item: &WorkItem,
    service: Option<&ServiceEntry>,
    bounds: &ChoiceBounds<'_>,
    settings: &SchedulerSettings,
    mut draw: impl FnMut() -> f64,
    now: Instant,
) -> EndpointChoice {
    let engine = service.is_some_and(|service| service.model_engine);
    let events = service.map_or(0.0, |service| service.event_count(item.output_tokens));
    let mut best: Option<(f64, usize)> = None;
    let mut second_best: Option<(f64, usize)> = None;
    let mut last_resort: Option<(f64, usize)> = None;
    let mut usable = false;
    let mut in_time = false;
    for (index, load) in endpoints.iter_mut().enumerate() {
        let entry = &load.entry;
        if entry.service != item.service
            || entry.draining
            || bounds.zones_out.contains(&entry.zone)
            || !bounds.allows(&entry.version)
            || item.excluded.contains(&entry.id)
            || load.health.is_blocked(now)
        {
            continue;
        }
        usable = true;
        let late = engine && !finishes_in_time(load, item, events, now);
        in_time |= !late;
        if !has_room(load, engine, settings, now) {
            continue;
        }
        let spread = if engine || bounds.looked_at >= 1.0 {
            settings.score_noise
        } else {
            settings.plain_noise
        };
        // Answers of plain services are shorter than the time in which loads become known, near or
        // far, and a service has few endpoints: all of them are taken in turn.
        let (distance, looked_at) = if engine && is_far(bounds.cell, &load.entry) {
            (settings.far_factor, bounds.far_looked_at)
        } else {
            (1.0, bounds.looked_at)
        };
        let noise = 1.0 + spread * draw();
        let events = engine.then_some(events);
        let cost = expected_cost(load, item, events, settings, now) * distance * noise;
        let slot = match draw() < looked_at {
            _ if late => &mut last_resort,
            true => &mut best,
            false => &mut second_best,
        };
        if slot.is_none_or(|(lowest, _)| cost < lowest) {
            *slot = Some((cost, index));
        }
    }
    match best.or(second_best) {
        Some((_, index)) => EndpointChoice::Found(index),
        None => match last_resort {
            Some(_) if in_time => EndpointChoice::TooSlow,
            Some((_, index)) => EndpointChoice::Found(index),
            None if usable => EndpointChoice::Full,
            None => EndpointChoice::Unavailable,
        },
    }
}

/// Whether an endpoint writes the expected answer before the request's time is over.
fn finishes_in_time(load: &EndpointLoad, item: &WorkItem, events: f64, now: Instant) -> bool {
    let reading = load.pace.first_byte_ms(weighted_tokens(item.prompt_tokens));
    let expected = reading + FINISH_MARGIN * events * load.pace.event_ms();
    let left = item.deadline.saturating_duration_since(now);
    expected <= left.as_secs_f64() * 1_000.0
}

fn has_room(
    load: &mut EndpointLoad,
    engine: bool,
    settings: &SchedulerSettings,
    now: Instant,
) -> bool {
    if load.health.is_suspect() && load.own_active() > 0 {
        return false;
    }
    let depth = if engine { 0 } else { PLAIN_QUEUE_DEPTH };
    let places = load.entry.slots.max(1) + depth;
    if load.active(settings.peer_expiry, now) >= places {
        return false;
    }
    if engine && !load.has_credit() {
        return false;
    }
    let share = load.cold_share_per_s;
    load.gate.admits(share, now)
}

/// Expected cost in milliseconds: the time to the first byte, what the run costs others, and
/// what is lost if the endpoint fails.
///
/// `events`: expected events of the answer of a model engine; `None` for a plain service.
fn expected_cost(
    load: &EndpointLoad,
    item: &WorkItem,
    events: Option<f64>,
    settings: &SchedulerSettings,
    now: Instant,
) -> f64 {
    let active = f64::from(load.active(settings.peer_expiry, now));
    let slots = f64::from(load.entry.slots.max(1));
    let failure = load.health.failure_share(settings, now) * settings.failure_penalty_ms;
    let Some(events) = events else {
        return load.pace.answer_ms() * (1.0 + active / slots) + failure;
    };
    let own = weighted_tokens(item.prompt_tokens);
    let ahead = load.pending_prefill_tokens(settings.peer_expiry, now);
    let first_byte = load.pace.first_byte_ms(ahead + own);
    let interference = settings.interference_weight * load.pace.read_ms(own) * active;
    let crowding = 1.0 + active / slots;
    let decode = settings.decode_weight * events * load.pace.event_ms() * crowding;
    first_byte + interference + decode + failure
}
