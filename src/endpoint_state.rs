//! What the pool owner knows about one endpoint.

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

/// Finished runs that are remembered to compare late load reports with.
const RECENT_LIMIT: usize = 256;

/// Number of a run or permit inside this owner.
pub(crate) type FlightNumber = u64;

/// One permit or run that counts against an endpoint.
#[derive(Clone, Debug)]
pub(crate) struct FlightEntry {
    pub id: TicketId,
    pub granted: Instant,
    /// Predicted end.
    pub ends: Instant,
    /// Predicted prefill time.
    pub prefill: Duration,
    /// Time when its home was lost.
    pub orphaned: Option<Instant>,
}

#[derive(Debug)]
pub(crate) struct EndpointState {
    pub name: EndpointName,
    pub address: Option<SocketAddr>,
    pub zone: ZoneName,
    pub listed_version: VersionName,
    /// Version that it reported last, else the listed one.
    pub version: VersionName,
    pub listed: bool,
    pub excluded: bool,
    pub slow_start: SlowStart,
    pub limit: LimitMeter,
    pub speed: SpeedMeter,
    pub prefix: PrefixMemory,
    pub flights: BTreeMap<FlightNumber, FlightEntry>,
    ends: BTreeSet<(Instant, FlightNumber)>,
    /// Grant and finish times of runs that a late report may still include.
    recent: VecDeque<(Instant, Instant)>,
    /// Reported work that is not known here.
    foreign: u32,
    /// Running requests that reports have stated, and since when they have stated this number.
    steady: Option<(u32, Instant)>,
    /// When the prefill work placed here is predicted to be done.
    prefill_until: Instant,
    report_taken: Option<Instant>,
    silent_streak: u32,
    hold_until: Option<Instant>,
    hold_step: u32,
    /// Time of the last broken connection, and the end of the hold that it caused.
    broken: Option<(Instant, Instant)>,
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
            ends: BTreeSet::new(),
            recent: VecDeque::new(),
            foreign: 0,
            steady: None,
            prefill_until: now,
            report_taken: None,
            silent_streak: 0,
            hold_until: None,
            hold_step: 0,
            broken: None,
        }
    }

    /// Takes the listing. Service endpoints report no load and have no cold start.
    pub fn apply_listing(&mut self, brief: &EndpointBrief, excluded: bool, now: Instant) {
        let first_listing = self.address.is_none();
        if !self.listed && !first_listing {
            self.mark_restarted(now);
        }
        if brief.kind == PoolKind::Service && first_listing {
            self.slow_start = SlowStart::new(WarmthState::Warm, now);
        }
        if self.listed_version != brief.version {
            self.listed_version.clone_from(&brief.version);
            self.change_version(&brief.version, !first_listing, now);
        }
        self.address = Some(brief.address);
        self.zone.clone_from(&brief.zone);
        self.listed = true;
        self.excluded = excluded;
    }

    /// Learns from the rate of a report. The rate is an average over a past time, so it is one of
    /// the stated number of requests only if that number was the same all this time.
    fn learn_rate(&mut self, report: &LoadReport, settings: &PoolSettings, taken: Instant) {
        let learned = &settings.learned;
        let since = match self.steady {
            Some((running, since)) if running == report.running => since,
            Some(_) | None => taken,
        };
        self.steady = Some((report.running, since));
        let steady_for = taken.saturating_duration_since(since);
        if report.running > 0 && steady_for >= learned.report_steady_time {
            let rate = report.tokens_per_second / f64::from(report.running);
            self.speed
                .record_rate(rate, learned.report_weight_tokens, learned.decay);
        }
    }

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

    /// The process may have been restarted: cold, with an empty cache.
    pub fn mark_restarted(&mut self, now: Instant) {
        self.slow_start.mark_cold(now);
        self.prefix.clear();
    }

    /// May receive work now or later.
    pub fn is_usable(&self) -> bool {
        self.listed && !self.excluded && self.silent_streak == 0
    }

    pub fn held_until(&self, now: Instant) -> Option<Instant> {
        let broken = self.broken.map(|(_, until)| until);
        self.hold_until.max(broken).filter(|until| *until > now)
    }

    pub fn cap(&self) -> u32 {
        self.slow_start.cap(self.limit.limit())
    }

    pub fn occupied(&self) -> u32 {
        let own = u32::try_from(self.flights.len()).unwrap_or(u32::MAX);
        own.saturating_add(self.foreign)
    }

    /// Slots that `tier` may use when the endpoint is empty, out of `cap`.
    pub fn usable_slots(cap: u32, tier: TierNumber, settings: &ChoiceSettings) -> u32 {
        if tier < settings.low_tier || cap <= 1 {
            return cap;
        }
        let reserved = (cap * settings.reserved_percent / 100).max(1);
        cap.saturating_sub(reserved)
    }

    /// Whether a request of `tier` may be placed now.
    pub fn has_free_slot(&self, tier: TierNumber, settings: &ChoiceSettings, now: Instant) -> bool {
        self.is_usable()
            && self.slow_start.state() != WarmthState::Unknown
            && self.held_until(now).is_none()
            && self.occupied() < Self::usable_slots(self.cap(), tier, settings)
    }

    /// Time until a slot is predicted to be free; zero when one is free already.
    pub fn wait_time(&self, tier: TierNumber, settings: &ChoiceSettings, now: Instant) -> Duration {
        let hold = self
            .held_until(now)
            .map_or(Duration::ZERO, |until| until - now);
        if self.occupied() < Self::usable_slots(self.cap(), tier, settings) {
            return hold;
        }
        let end = self.ends.first().map_or(now, |entry| entry.0);
        end.saturating_duration_since(now).max(hold)
    }

    /// Time until the prefill work placed here is predicted to be done.
    pub fn prefill_backlog(&self, now: Instant) -> Duration {
        self.prefill_until.saturating_duration_since(now)
    }

    pub fn begin_flight(&mut self, flight: FlightNumber, entry: FlightEntry) {
        self.prefill_until = self.prefill_until.max(entry.granted) + entry.prefill;
        self.ends.insert((entry.ends, flight));
        self.flights.insert(flight, entry);
    }

    pub fn end_flight(&mut self, flight: FlightNumber, now: Instant) -> Option<FlightEntry> {
        let entry = self.flights.remove(&flight)?;
        self.ends.remove(&(entry.ends, flight));
        if self.recent.len() >= RECENT_LIMIT {
            self.recent.pop_front();
        }
        self.recent.push_back((entry.granted, now));
        Some(entry)
    }

    /// Takes a load report; returns false for one that is older than the last.
    pub fn record_load_report(
        &mut self,
        report: &LoadReport,
        settings: &PoolSettings,
        owned_since: Instant,
        now: Instant,
    ) -> bool {
        let taken = now.checked_sub(report.age).unwrap_or(owned_since);
        if self.report_taken.is_some_and(|last| taken < last) {
            return false;
        }
        let found_again = self.silent_streak >= settings.slow_start.failed_load_streak;
        self.report_taken = Some(taken);
        self.silent_streak = 0;
        self.broken = self.broken.filter(|(at, _)| taken <= *at);
        if found_again {
            self.mark_restarted(now);
        }
        if !report.version.is_empty() {
            self.change_version(&report.version, true, now);
        }
        self.limit.record_capacity(report.capacity);
        self.slow_start
            .record_report(report.cold, report.bearable, taken > owned_since, now);
        self.count_foreign(report.running.saturating_add(report.waiting), taken);
        self.learn_rate(report, settings, taken);
        if report.waiting == 0 {
            let unseen = self.flights.values().filter(|entry| entry.granted > taken);
            self.prefill_until = taken + unseen.map(|entry| entry.prefill).sum();
        }
        true
    }

    /// Reported work beyond the own work that the report should include.
    fn count_foreign(&mut self, reported: u32, taken: Instant) {
        self.recent.retain(|(_, finished)| *finished > taken);
        let own = self.flights.values().map(|entry| entry.granted);
        let recent = self.recent.iter().map(|entry| entry.0);
        let known = own
            .chain(recent)
            .filter(|granted| *granted <= taken)
            .count();
        self.foreign = reported.saturating_sub(u32::try_from(known).unwrap_or(u32::MAX));
    }

    /// Orphaned runs that a report shows to be gone.
    pub fn find_ended_orphans(&self, reported: u32, taken: Instant) -> Vec<TicketId> {
        let visible = self
            .flights
            .values()
            .filter(|entry| entry.granted <= taken)
            .count();
        let surplus = visible.saturating_sub(usize::try_from(reported).unwrap_or(usize::MAX));
        let gone = |entry: &&FlightEntry| entry.orphaned.is_some_and(|since| since < taken);
        let orphans = self.flights.values().filter(gone).take(surplus);
        orphans.map(|entry| entry.id.clone()).collect()
    }

    /// Counts a failed load request; the endpoint gets no work until it reports again.
    pub fn record_failed_poll(&mut self, settings: &PoolSettings, now: Instant) {
        self.silent_streak = self.silent_streak.saturating_add(1);
        if self.silent_streak >= settings.slow_start.failed_load_streak {
            self.mark_restarted(now);
        }
    }

    /// Holds back new work after a broken connection, until a later report or for a limited time:
    /// a crash may not have shown yet.
    pub fn record_broken_connection(&mut self, hold: Duration, now: Instant) {
        self.broken = Some((now, now + hold));
    }

    /// Holds back new work: doubling delays with full jitter.
    pub fn start_backoff(&mut self, settings: &PoolSettings, random: &mut SmallRng, now: Instant) {
        let factor = 1u32.checked_shl(self.hold_step.min(16)).unwrap_or(u32::MAX);
        let bound = settings
            .backoff_base
            .saturating_mul(factor)
            .min(settings.max_backoff);
        self.hold_step = self.hold_step.saturating_add(1);
        self.hold_until = Some(now + bound.mul_f64(random.random::<f64>()));
    }

    pub fn reset_backoff(&mut self) {
        self.hold_step = 0;
        self.hold_until = None;
    }
}
