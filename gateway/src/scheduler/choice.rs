//! Chooses an endpoint for one request.

use std::time::{Duration, Instant};

use rollout_judge::RolloutSide;

use super::brittle_services::place_share;
use super::endpoint_load::EndpointLoad;
use super::pace::weighted_tokens;
use super::plain_admission::max_crowding;
use super::types::WorkItem;
use crate::backpressure::{SendPermission, SignalTable};
use crate::catalog::{EndpointEntry, ServiceEntry};
use crate::configs::SchedulerSettings;
use crate::ids::{HostAddress, VersionName, ZoneName};

/// Safety factor on the expected time of an answer, because estimates are off by up to half in both
/// directions.
const FINISH_MARGIN: f64 = 1.3;
/// Requests that a plain service may receive beyond its slots. It queues a few of them, and they
/// are short.
const PLAIN_QUEUE_DEPTH: u32 = 2;
/// Requests that a plain endpoint may hold for each of its slots where its load is known late.
/// Plain endpoints queue a few times their slots and reject what goes beyond.
const MAX_PLAIN_CROWDING: f64 = 4.0;

/// Outcome of choosing an endpoint for a request.
pub(crate) enum EndpointChoice {
    /// Index of the chosen endpoint.
    Found(usize),
    /// Every usable endpoint is full.
    Full,
    /// Endpoints with free capacity are too slow to finish the request in time, while a full one is
    /// fast enough.
    TooSlow,
    /// The usable endpoints limit their requests or pause. This host may send the next request at
    /// this time; `None` if other hosts have all permits.
    Restricted(Option<Instant>),
    /// No endpoint is usable.
    Unavailable,
}

/// The endpoints, and what they say of themselves.
pub(crate) struct EndpointPool<'a> {
    pub loads: &'a mut [EndpointLoad],
    pub signals: &'a mut SignalTable,
}

/// The endpoints that limit their requests or pause.
#[derive(Default)]
struct Restriction {
    any: bool,
    next_permit: Option<Instant>,
}

impl Restriction {
    /// Adds an endpoint that may be sent the next request at `permit`, if at all.
    fn add(&mut self, permit: Option<Instant>) {
        self.any = true;
        self.next_permit = self.next_permit.into_iter().chain(permit).min();
    }
}

/// Restrictions on one choice: which endpoints it may use, and which of them it considers first.
pub(crate) struct ChoiceLimits<'a> {
    pub evacuated_zones: &'a [ZoneName],
    /// Version under rollout, and whether this choice is limited to that version or to all others.
    pub version: Option<(&'a VersionName, RolloutSide)>,
    /// Zone whose loads this host learns first; `None` in a fleet that is not divided into cells.
    pub cell: Option<&'a ZoneName>,
    /// Share of the endpoints that one choice considers first, drawn at random for each choice. The
    /// others are used only if none of these has free capacity. Otherwise many hosts with the same
    /// reports would choose the same endpoint until the next report.
    pub scan_share: f64,
    /// Same share for endpoints in other zones.
    pub remote_scan_share: f64,
    /// This host and all that share the places with it, if the service is brittle.
    pub brittle_sharers: Option<(HostAddress, &'a [HostAddress])>,
}

impl ChoiceLimits<'_> {
    fn allows(&self, version: &VersionName) -> bool {
        self.version.is_none_or(|(target, side)| match side {
            RolloutSide::Old => version != target,
            RolloutSide::New => version == target,
        })
    }
}

/// Returns whether an endpoint is outside the zone whose loads this host learns first.
pub(crate) fn is_remote(cell: Option<&ZoneName>, entry: &EndpointEntry) -> bool {
    cell.is_some_and(|cell| *cell != entry.zone)
}

/// Returns the usable endpoint with the lowest expected cost.
pub(crate) fn choose_endpoint(
    endpoints: EndpointPool<'_>,
    item: &WorkItem,
    service: Option<&ServiceEntry>,
    limits: &ChoiceLimits<'_>,
    settings: &SchedulerSettings,
    mut draw: impl FnMut() -> f64,
    now: Instant,
) -> EndpointChoice {
    let engine = service.is_some_and(|service| service.model_engine);
    let events = service.map_or(0.0, |service| service.event_count(item.output_tokens));
    let mut best: Option<(f64, usize)> = None;
    let mut second_best: Option<(f64, usize)> = None;
    let mut last_resort: Option<(f64, usize)> = None;
    let mut any_usable = false;
    let mut any_in_time = false;
    let mut any_blocked = false;
    let mut restriction = Restriction::default();
    let EndpointPool { loads, signals } = endpoints;
    for (index, load) in loads.iter_mut().enumerate() {
        let entry = &load.entry;
        if entry.service != item.service
            || entry.draining
            || limits.evacuated_zones.contains(&entry.zone)
            || !limits.allows(&entry.version)
        {
            continue;
        }
        let is_tried = item.excluded.contains(&entry.id);
        let is_blocked = load.health.is_blocked(now);
        let permission = signals.permission(load.incarnation, now);
        match permission {
            SendPermission::Leaving => continue,
            // An endpoint that this request has tried may take it after its pause.
            SendPermission::Paused(until) => {
                restriction.add(Some(until));
                continue;
            }
            _ if is_tried => continue,
            _ if is_blocked => {
                any_blocked = true;
                continue;
            }
            SendPermission::Limited(at) => {
                restriction.add(Some(at));
                continue;
            }
            SendPermission::NoShare => {
                restriction.add(None);
                continue;
            }
            SendPermission::Granted | SendPermission::Probe => {}
        }
        any_usable = true;
        let is_too_slow = engine && !finishes_in_time(load, item, events, now);
        any_in_time |= !is_too_slow;
        let has_stale_loads = limits.scan_share < 1.0;
        let max_active = match (engine, has_stale_loads) {
            (true, _) => load.entry.slots.max(1),
            _ if limits.brittle_sharers.is_some() => load.entry.slots.max(1),
            (false, false) => load.entry.slots.max(1).saturating_add(PLAIN_QUEUE_DEPTH),
            (false, true) => max_plain_active(load, item),
        };
        if let Some((own, hosts)) = limits.brittle_sharers
            && load.own_places(now) >= place_share(load, own, hosts)
        {
            continue;
        }
        if !has_capacity(load, engine, max_active, settings, now) {
            continue;
        }
        let noise_range = if engine || !has_stale_loads {
            settings.cost_noise
        } else {
            settings.plain_cost_noise
        };
        // Answers of plain services are shorter than the delay of load reports from any zone, and a
        // service has few endpoints, so requests are spread over all of them regardless of their
        // zone.
        let (zone_factor, scan_share) = if engine && is_remote(limits.cell, &load.entry) {
            (settings.remote_zone_factor, limits.remote_scan_share)
        } else {
            (1.0, limits.scan_share)
        };
        let noise = 1.0 + noise_range * draw();
        let events = engine.then_some(events);
        let cost = if permission == SendPermission::Probe {
            0.0
        } else {
            expected_cost(load, item, events, settings, now) * zone_factor * noise
        };
        let candidate = match draw() < scan_share {
            _ if is_too_slow => &mut last_resort,
            true => &mut best,
            false => &mut second_best,
        };
        if candidate.is_none_or(|(lowest, _)| cost < lowest) {
            *candidate = Some((cost, index));
        }
    }
    match best.or(second_best) {
        Some((_, index)) => EndpointChoice::Found(index),
        None => match last_resort {
            Some(_) if any_in_time => EndpointChoice::TooSlow,
            Some((_, index)) => EndpointChoice::Found(index),
            None if any_usable => EndpointChoice::Full,
            None if restriction.any && !any_blocked => {
                EndpointChoice::Restricted(restriction.next_permit)
            }
            None => EndpointChoice::Unavailable,
        },
    }
}

/// Returns whether an endpoint is expected to finish the answer before the request's deadline.
fn finishes_in_time(load: &EndpointLoad, item: &WorkItem, events: f64, now: Instant) -> bool {
    let first_byte = load.pace.first_byte_ms(weighted_tokens(item.prompt_tokens));
    let expected = first_byte + FINISH_MARGIN * events * load.pace.event_gap_ms();
    let left = item.deadline.saturating_duration_since(now);
    expected <= left.as_secs_f64() * 1_000.0
}

/// Returns how many requests a plain endpoint may hold so that each is still answered in time. Its
/// load is known too late for a shorter queue there: slots would stand empty between two reports.
fn max_plain_active(load: &EndpointLoad, item: &WorkItem) -> u32 {
    let target = item
        .first_byte_deadline
        .saturating_duration_since(item.arrived);
    let answer_time = Duration::from_secs_f64(load.pace.uncrowded_answer_ms() / 1_000.0);
    let crowding = max_crowding(answer_time, target).min(MAX_PLAIN_CROWDING);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a few times the slots of an endpoint"
    )]
    let max_active = (f64::from(load.entry.slots.max(1)) * crowding) as u32;
    max_active
}

fn has_capacity(
    load: &mut EndpointLoad,
    engine: bool,
    max_active: u32,
    settings: &SchedulerSettings,
    now: Instant,
) -> bool {
    if load.health.is_suspect() && load.own_active() > 0 {
        return false;
    }
    if load.active(settings.peer_expiry, now) >= max_active {
        return false;
    }
    if engine && !load.has_slot_credit() {
        return false;
    }
    let share = load.cold_share_per_s;
    load.gate.admits(share, now)
}

/// Returns the expected cost in milliseconds: the time to the first byte, the delay caused to other
/// runs, and the expected loss if the endpoint fails.
///
/// `events` is the expected number of events in the answer of a model engine; `None` for a plain
/// service.
fn expected_cost(
    load: &EndpointLoad,
    item: &WorkItem,
    events: Option<f64>,
    settings: &SchedulerSettings,
    now: Instant,
) -> f64 {
    let active = f64::from(load.active(settings.peer_expiry, now));
    let slots = f64::from(load.entry.slots.max(1));
    let failure = load.health.failure_rate(settings, now) * settings.failure_penalty_ms;
    let Some(events) = events else {
        return load.pace.answer_ms() * (1.0 + active / slots) + failure;
    };
    let own_tokens = weighted_tokens(item.prompt_tokens);
    let tokens_ahead = load.pending_prefill_tokens(settings.peer_expiry, now);
    let first_byte = load.pace.first_byte_ms(tokens_ahead + own_tokens);
    let interference = settings.interference_weight * load.pace.prefill_ms(own_tokens) * active;
    let crowding = 1.0 + active / slots;
    let decode = settings.decode_weight * events * load.pace.event_gap_ms() * crowding;
    first_byte + interference + decode + failure
}
