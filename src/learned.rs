//! Learned speeds of endpoints and versions, and learned concurrency limits of endpoints.

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use crate::configs::learned::LearnedSettings;
use crate::endpoint_state::percentage_of;
use crate::ids::{FastMap, VersionName};

/// Rate in tokens per second. It is the ratio of two decayed sums, so long runs weigh more.
#[derive(Clone, Debug, Default)]
struct RateMeter {
    seconds: f64,
    tokens: f64,
}

impl RateMeter {
    fn add(&mut self, tokens: f64, seconds: f64, decay: f64) {
        self.seconds = self.seconds * decay + seconds;
        self.tokens = self.tokens * decay + tokens;
    }

    fn rate(&self) -> Option<f64> {
        (self.seconds > 0.0 && self.tokens > 0.0).then(|| self.tokens / self.seconds)
    }
}

/// Measurements of one run from which speeds are learned.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RunSample {
    /// Number of prompt tokens that were not cached.
    pub prefill_tokens: u32,
    pub tokens: u32,
    /// Part of the time to the first token that the run's own prefill took.
    pub prefill: Duration,
    pub first_token: Duration,
    pub total: Duration,
}

#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) struct Speeds {
    pub prefill: f64,
    pub decode: f64,
    /// Whether the speeds were learned recently enough to justify a refusal.
    pub is_trusted: bool,
    /// Whether the decode speed is learned too. Answers of one token don't show it.
    pub is_decode_known: bool,
}

impl Speeds {
    /// Returns the prefill time of `tokens` uncached tokens. A fully cached prompt counts as one
    /// token, as in `SpeedMeter::record_run`.
    pub fn prefill_time(&self, tokens: u32) -> Duration {
        bounded_seconds(f64::from(tokens.max(1)) / self.prefill)
    }

    pub fn decode_time(&self, tokens: u32) -> Duration {
        bounded_seconds(f64::from(tokens.saturating_sub(1)) / self.decode)
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct SpeedMeter {
    prefill: RateMeter,
    decode: RateMeter,
    updated: Option<Instant>,
}

impl SpeedMeter {
    pub fn record_run(&mut self, sample: &RunSample, decay: f64, now: Instant) {
        let prefill_tokens = f64::from(sample.prefill_tokens.max(1));
        self.prefill
            .add(prefill_tokens, sample.prefill.as_secs_f64(), decay);
        if sample.tokens > 1 {
            let decode = sample.total.saturating_sub(sample.first_token);
            let tokens = f64::from(sample.tokens - 1);
            self.decode.add(tokens, decode.as_secs_f64(), decay);
        }
        self.updated = Some(now);
    }

    /// Records the decode rate of one stream as stated in a load report.
    pub fn record_rate(&mut self, tokens_per_second: f64, weight_tokens: f64, decay: f64) {
        let seconds = weight_tokens / tokens_per_second;
        if seconds.is_finite() && seconds > 0.0 {
            self.decode.add(weight_tokens, seconds, decay);
        }
    }

    fn is_fresh(&self, now: Instant, validity: Duration) -> bool {
        self.updated
            .is_some_and(|updated| now.saturating_duration_since(updated) <= validity)
    }
}

/// Learned speeds per version and endpoint class.
#[derive(Debug)]
pub(crate) struct SpeedTable {
    settings: LearnedSettings,
    versions: FastMap<VersionName, BTreeMap<u32, SpeedMeter>>,
}

impl SpeedTable {
    pub fn new(settings: LearnedSettings) -> Self {
        Self {
            settings,
            versions: FastMap::default(),
        }
    }

    pub fn record_run(
        &mut self,
        version: &VersionName,
        class: u32,
        sample: &RunSample,
        now: Instant,
    ) {
        let known = self
            .versions
            .get(version)
            .is_some_and(|classes| classes.contains_key(&class));
        let count: usize = self.versions.values().map(BTreeMap::len).sum();
        if known || count < self.settings.max_speed_entries {
            let classes = self.versions.entry(version.clone()).or_default();
            let decay = self.settings.decay;
            classes
                .entry(class)
                .or_default()
                .record_run(sample, decay, now);
        }
    }

    /// Evicts the speeds of all versions for which `keep` returns false.
    pub fn retain_versions(&mut self, keep: impl Fn(&VersionName) -> bool) {
        self.versions.retain(|version, _| keep(version));
    }

    /// Returns the speeds of an endpoint. Uses the first of these that is recent: its own speeds,
    /// those of its class, and those of any class of its version. Otherwise uses the defaults.
    pub fn speeds(&self, own: &SpeedMeter, version: &str, class: u32, now: Instant) -> Speeds {
        let validity = self.settings.speed_validity;
        let fresh = |meter: &&SpeedMeter| meter.is_fresh(now, validity);
        let classes = self.versions.get(version);
        let meter = Some(own)
            .filter(fresh)
            .or_else(|| {
                classes
                    .and_then(|classes| classes.get(&class))
                    .filter(fresh)
            })
            .or_else(|| classes.and_then(|classes| classes.values().find(fresh)));
        let is_trusted = meter.is_some();
        let meter = meter.unwrap_or(own);
        let decode = meter.decode.rate();
        Speeds {
            prefill: meter
                .prefill
                .rate()
                .unwrap_or(self.settings.prefill_tokens_per_second),
            decode: decode
                .or_else(|| own.decode.rate())
                .unwrap_or(self.settings.decode_tokens_per_second),
            is_trusted,
            is_decode_known: decode.is_some(),
        }
    }

    /// Returns the speeds of a version on endpoints of `class`, or of any class if there are no
    /// recent measurements of that class.
    pub fn version_speeds(&self, version: &str, class: u32, now: Instant) -> Option<Speeds> {
        let speeds = self.speeds(&SpeedMeter::default(), version, class, now);
        speeds.is_trusted.then_some(speeds)
    }

    /// Returns the speeds of an average endpoint of a version, for shares and waiting times.
    pub fn average_speeds(&self, version: &str, now: Instant) -> Speeds {
        self.speeds(&SpeedMeter::default(), version, 0, now)
    }
}

/// Concurrency limit of an endpoint, learned from its reported capacity and its finished runs.
#[derive(Clone, Debug)]
pub(crate) struct LimitMeter {
    limit: u32,
    max_limit: u32,
    /// Reported capacity, or 0 before the first report. Endpoints of equal capacity form a class.
    class: u32,
}

impl LimitMeter {
    pub fn new(default_capacity: u32) -> Self {
        Self {
            limit: default_capacity.max(1),
            max_limit: default_capacity.max(1),
            class: 0,
        }
    }

    pub fn limit(&self) -> u32 {
        self.limit
    }

    pub fn class(&self) -> u32 {
        self.class
    }

    pub fn record_capacity(&mut self, capacity: u32) {
        if capacity > 0 && capacity != self.class {
            self.class = capacity;
            self.max_limit = capacity;
            self.limit = capacity;
        }
    }

    /// Raises the limit if a run was in time while all slots were occupied.
    pub fn record_timely_run(&mut self, occupied: u32) {
        if occupied >= self.limit {
            self.limit = self.limit.saturating_add(1).min(self.max_limit);
        }
    }

    /// Lowers the limit after the endpoint declined a request as full or answered late.
    pub fn record_overload(&mut self, percent: u32) {
        self.limit = percentage_of(self.limit, percent).max(1);
    }
}

/// Converts seconds to a duration, limited to a maximum. Invalid values, such as infinity, also
/// become the maximum instead of a panic.
pub(crate) fn bounded_seconds(value: f64) -> Duration {
    const MAX_DURATION: Duration = Duration::from_secs(1_000_000);
    Duration::try_from_secs_f64(value)
        .unwrap_or(MAX_DURATION)
        .min(MAX_DURATION)
}
