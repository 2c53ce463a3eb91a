//! The pool owner's view of one endpoint.

use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::Rng;
use rand::rngs::SmallRng;

use crate::configs::choice::ChoiceSettings;
use crate::configs::pool::PoolSettings;
use crate::fairness::TicketId;
use crate::ids::{EndpointBrief, EndpointName, PoolKind, TierNumber, VersionName, ZoneName};
use crate::learned::{LimitMeter, SpeedMeter};
use crate::pool::LoadReport;
use crate::prefix_memory::PrefixMemory;
use crate::slow_start::{SlowStart, WarmthState};

/// Maximum number of finished runs that are remembered to interpret late load reports.
const MAX_RECENT_RUNS: usize = 256;

/// Number of a permit or run, unique within this owner.
pub(crate) type FlightNumber = u64;

/// A permit or run that occupies a slot of an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct FlightEntry {
    pub id: TicketId,
    pub granted: Instant,
    /// Predicted time of the end.
    pub ends: Instant,
    /// Predicted prefill time.
    pub prefill: Duration,
    /// Time at which its home was lost.
    pub orphaned: Option<Instant>,
}

/// The owner's record of one endpoint: its listing, its estimates and the requests in flight.
#[derive(Debug)]
pub(crate) struct EndpointState {
    pub name: EndpointName,
    pub address: Option<SocketAddr>,
    pub zone: ZoneName,
    pub listed_version: VersionName,
    /// Version that the endpoint reported last; otherwise the listed version.
    pub version: VersionName,
    pub listed: bool,
    pub excluded: bool,
    pub slow_start: SlowStart,
    pub limit: LimitMeter,
    pub speed: SpeedMeter,
    pub prefix: PrefixMemory,
    pub flights: BTreeMap<FlightNumber, FlightEntry>,
    /// The permits and runs in the order of their predicted end.
    predicted_ends: BTreeSet<(Instant, FlightNumber)>,
    /// Grant and end times of finished runs that a late report may still include.
    recent_runs: VecDeque<(Instant, Instant)>,
    /// Reported requests that this owner did not grant.
    foreign_requests: u32,
    /// Number of running requests in the last report, and the time since which reports have stated
    /// this number.
    steady_running: Option<(u32, Instant)>,
    /// Predicted time at which the prefill work of the granted requests is done.
    prefill_until: Instant,
    /// Time at which the last load report was measured.
    last_measured_at: Option<Instant>,
    /// Number of consecutive failed polls.
    failed_polls: u32,
    backoff_until: Option<Instant>,
    backoff_step: u32,
    /// Time of the last broken connection, and the end of the pause in new work that it caused.
    broken_connection: Option<(Instant, Instant)>,
}

impl EndpointState {
    pub fn new(
        name: EndpointName,
        state: WarmthState,
        settings: &PoolSettings,
        now: Instant,
    ) -> Self {
        Self {
            name,
            address: None,
            zone: ZoneName::default(),
            listed_version: VersionName::default(),
            version: VersionName::default(),
            listed: false,
            excluded: false,
            slow_start: SlowStart::new(state, now),
            limit: LimitMeter::new(settings.learned.default_capacity),
            speed: SpeedMeter::default(),
            prefix: PrefixMemory::new(settings.choice.prefix_entries),
            flights: BTreeMap::new(),
            predicted_ends: BTreeSet::new(),
            recent_runs: VecDeque::new(),
            foreign_requests: 0,
            steady_running: None,
            prefill_until: now,
            last_measured_at: None,
            failed_polls: 0,
            backoff_until: None,
            backoff_step: 0,
            broken_connection: None,
        }
    }

    /// Applies the listing of the endpoint. Service endpoints report no load and have no cold
    /// start.
    pub fn apply_listing(&mut self, brief: &EndpointBrief, excluded: bool, now: Instant) {
        let is_first_listing = self.address.is_none();
        if !self.listed && !is_first_listing {
            self.mark_restarted(now);
        }
        if brief.kind == PoolKind::Service && is_first_listing {
            self.slow_start = SlowStart::new(WarmthState::Warm, now);
        }
        if self.listed_version != brief.version {
            self.listed_version.clone_from(&brief.version);
            self.change_version(&brief.version, !is_first_listing, now);
        }
        self.address = Some(brief.address);
        self.zone.clone_from(&brief.zone);
        self.listed = true;
        self.excluded = excluded;
    }

    /// Updates the speed estimate from the token rate of a load report. The rate is an average over
    /// a past period, so it belongs to the reported number of running requests only if that number
    /// was constant for the whole period.
    fn record_token_rate(
        &mut self,
        report: &LoadReport,
        settings: &PoolSettings,
        measured_at: Instant,
    ) {
        let learned = &settings.learned;
        let since = match self.steady_running {
            Some((running, since)) if running == report.running => since,
            Some(_) | None => measured_at,
        };
        self.steady_running = Some((report.running, since));
        let steady_for = measured_at.saturating_duration_since(since);
        if report.running > 0 && steady_for >= learned.report_steady_time {
            let rate = report.tokens_per_second / f64::from(report.running);
            self.speed
                .record_rate(rate, learned.report_weight_tokens, learned.decay);
        }
    }

    /// Records a change of version and resets the speed estimate.
    fn change_version(&mut self, version: &VersionName, restarted: bool, now: Instant) {
        if self.version == *version {
            return;
        }
        self.version.clone_from(version);
        self.speed = SpeedMeter::default();
        if restarted {
            self.mark_restarted(now);
        }
    }

    /// Records that the process may have been restarted: it is cold and its cache is empty.
    pub fn mark_restarted(&mut self, now: Instant) {
        self.slow_start.mark_cold(now);
        self.prefix.clear();
    }

    /// Returns whether the endpoint may receive work, now or after a pause.
    pub fn is_usable(&self) -> bool {
        self.listed && !self.excluded && self.failed_polls == 0
    }

    /// Returns the time until which new work is held back, if it is.
    pub fn held_until(&self, now: Instant) -> Option<Instant> {
        let broken_until = self.broken_connection.map(|(_, until)| until);
        self.backoff_until
            .max(broken_until)
            .filter(|until| *until > now)
    }

    /// Returns the number of requests that the endpoint may have in flight.
    pub fn cap(&self) -> u32 {
        self.slow_start.cap(self.limit.limit())
    }

    /// Returns the number of occupied slots, including those of requests that this owner did not
    /// grant.
    pub fn occupied(&self) -> u32 {
        let own = u32::try_from(self.flights.len()).unwrap_or(u32::MAX);
        own.saturating_add(self.foreign_requests)
    }

    /// Returns how many of `cap` slots requests of `tier` may use.
    pub fn usable_slots(cap: u32, tier: TierNumber, settings: &ChoiceSettings) -> u32 {
        if tier < settings.low_tier || cap <= 1 {
            return cap;
        }
        let reserved = percentage_of(cap, settings.reserved_percent).max(1);
        cap.saturating_sub(reserved)
    }

    /// Returns whether the endpoint has a slot for a request of `tier` now.
    pub fn has_free_slot(&self, tier: TierNumber, settings: &ChoiceSettings, now: Instant) -> bool {
        self.is_usable()
            && self.slow_start.state() != WarmthState::Unknown
            && self.held_until(now).is_none()
            && self.occupied() < Self::usable_slots(self.cap(), tier, settings)
    }

    /// Returns the predicted time until a slot is free; zero if one is free now.
    pub fn wait_time(&self, tier: TierNumber, settings: &ChoiceSettings, now: Instant) -> Duration {
        let held_for = self
            .held_until(now)
            .map_or(Duration::ZERO, |until| until - now);
        if self.occupied() < Self::usable_slots(self.cap(), tier, settings) {
            return held_for;
        }
        let end = self.predicted_ends.first().map_or(now, |entry| entry.0);
        end.saturating_duration_since(now).max(held_for)
    }

    /// Returns the predicted time until the prefill work of the granted requests is done.
    pub fn prefill_backlog(&self, now: Instant) -> Duration {
        self.prefill_until.saturating_duration_since(now)
    }

    /// Records a granted permit or a run.
    pub fn begin_flight(&mut self, flight: FlightNumber, entry: FlightEntry) {
        self.prefill_until = self.prefill_until.max(entry.granted) + entry.prefill;
        self.predicted_ends.insert((entry.ends, flight));
        self.flights.insert(flight, entry);
    }

    /// Removes a permit or run that ended and returns it.
    pub fn end_flight(&mut self, flight: FlightNumber, now: Instant) -> Option<FlightEntry> {
        let entry = self.flights.remove(&flight)?;
        self.predicted_ends.remove(&(entry.ends, flight));
        if self.recent_runs.len() >= MAX_RECENT_RUNS {
            self.recent_runs.pop_front();
        }
        self.recent_runs.push_back((entry.granted, now));
        Some(entry)
    }

    /// Records a load report. Returns false, without any change, if it is older than the last one.
    pub fn record_load_report(
        &mut self,
        report: &LoadReport,
        settings: &PoolSettings,
        owned_since: Instant,
        now: Instant,
    ) -> bool {
        let measured_at = now.checked_sub(report.age).unwrap_or(owned_since);
        if self.last_measured_at.is_some_and(|last| measured_at < last) {
            return false;
        }
        let was_unreachable = self.failed_polls >= settings.slow_start.failed_load_streak;
        self.last_measured_at = Some(measured_at);
        self.failed_polls = 0;
        self.broken_connection = self.broken_connection.filter(|(at, _)| measured_at <= *at);
        if was_unreachable {
            self.mark_restarted(now);
        }
        if !report.version.is_empty() {
            self.change_version(&report.version, true, now);
        }
        self.limit.record_capacity(report.capacity);
        self.slow_start
            .record_report(report.cold, report.bearable, measured_at > owned_since, now);
        self.record_foreign_requests(report.running.saturating_add(report.waiting), measured_at);
        self.record_token_rate(report, settings, measured_at);
        if report.waiting == 0 {
            let unreported = self
                .flights
                .values()
                .filter(|entry| entry.granted > measured_at);
            self.prefill_until = measured_at + unreported.map(|entry| entry.prefill).sum();
        }
        true
    }

    /// Records how many reported requests exceed the granted ones that the report should include.
    fn record_foreign_requests(&mut self, reported: u32, measured_at: Instant) {
        self.recent_runs
            .retain(|(_, finished)| *finished > measured_at);
        let own = self.flights.values().map(|entry| entry.granted);
        let recent = self.recent_runs.iter().map(|entry| entry.0);
        let known = own
            .chain(recent)
            .filter(|granted| *granted <= measured_at)
            .count();
        self.foreign_requests = reported.saturating_sub(u32::try_from(known).unwrap_or(u32::MAX));
    }

    /// Returns orphaned runs that have ended according to a load report.
    pub fn find_ended_orphans(&self, reported: u32, measured_at: Instant) -> Vec<TicketId> {
        let included = self
            .flights
            .values()
            .filter(|entry| entry.granted <= measured_at)
            .count();
        let surplus = included.saturating_sub(usize::try_from(reported).unwrap_or(usize::MAX));
        let is_orphaned =
            |entry: &&FlightEntry| entry.orphaned.is_some_and(|since| since < measured_at);
        let orphans = self.flights.values().filter(is_orphaned).take(surplus);
        orphans.map(|entry| entry.id.clone()).collect()
    }

    /// Records a failed poll; the endpoint receives no work until it reports again.
    pub fn record_failed_poll(&mut self, settings: &PoolSettings, now: Instant) {
        self.failed_polls = self.failed_polls.saturating_add(1);
        if self.failed_polls >= settings.slow_start.failed_load_streak {
            self.mark_restarted(now);
        }
    }

    /// Holds back new work after a broken connection, until a later load report or for at most
    /// `hold`, because the endpoint may have crashed without having been found unreachable yet.
    pub fn record_broken_connection(&mut self, hold: Duration, now: Instant) {
        self.broken_connection = Some((now, now + hold));
    }

    /// Holds back new work with exponential backoff and full jitter.
    pub fn start_backoff(&mut self, settings: &PoolSettings, random: &mut SmallRng, now: Instant) {
        let factor = 1u32
            .checked_shl(self.backoff_step.min(16))
            .unwrap_or(u32::MAX);
        let bound = settings
            .backoff_base
            .saturating_mul(factor)
            .min(settings.max_backoff);
        self.backoff_step = self.backoff_step.saturating_add(1);
        self.backoff_until = Some(now + bound.mul_f64(random.random::<f64>()));
    }

    /// Ends the backoff and resets its delay.
    pub fn reset_backoff(&mut self) {
        self.backoff_step = 0;
        self.backoff_until = None;
    }
}

/// Returns a percentage of a number of slots, which an endpoint may report as any number.
pub(crate) fn percentage_of(slots: u32, percent: u32) -> u32 {
    let part = u64::from(slots) * u64::from(percent) / 100;
    u32::try_from(part).unwrap_or(u32::MAX)
}
