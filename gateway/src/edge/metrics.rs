//! Counters, latency histograms and gauges, served in the text form that Prometheus reads.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::ids::TierNumber;
use crate::membership::FeedTopic;

/// First bucket and number of buckets, each twice the one before: 5 ms to 41 s, the longest time
/// limit of a route.
const FIRST_BUCKET_SECONDS: f64 = 0.005;
const BUCKET_COUNT: u16 = 14;

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct EventLabel {
    event: &'static str,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct TierLabel {
    tier: u32,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct FeedLabel {
    feed: &'static str,
}

/// State of the host at the time of a read.
#[derive(Debug, Default)]
pub(crate) struct HostGauges {
    pub config_version: u64,
    pub store_reached: bool,
    pub endpoints: usize,
    /// Hosts over which limits are shared, and how many of them are silent.
    pub hosts: usize,
    pub hosts_silent: usize,
    pub in_flight: usize,
    pub waiting: Vec<(TierNumber, usize)>,
    /// Time since any host read the store, as far as this one knows.
    pub feed_ages: Vec<(FeedTopic, Duration)>,
    /// Removals of endpoints that are held back, and for how long the first of them has been.
    pub removals_held: usize,
    pub removal_held_for: Option<Duration>,
}

/// All metrics of one process.
pub(crate) struct EdgeMetrics {
    registry: Registry,
    events: Family<EventLabel, Counter>,
    request_time: Histogram,
    queue_time: Histogram,
    config_version: Gauge,
    store_reached: Gauge,
    endpoints: Gauge,
    hosts: Gauge,
    hosts_silent: Gauge,
    in_flight: Gauge,
    waiting: Family<TierLabel, Gauge>,
    feed_age: Family<FeedLabel, Gauge<f64, std::sync::atomic::AtomicU64>>,
    removals_held: Gauge,
    removal_held: Gauge<f64, std::sync::atomic::AtomicU64>,
}

impl Default for EdgeMetrics {
    fn default() -> Self {
        let times = || Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT));
        let mut metrics = Self {
            registry: Registry::with_prefix("wisteriapin"),
            events: Family::default(),
            request_time: times(),
            queue_time: times(),
            config_version: Gauge::default(),
            store_reached: Gauge::default(),
            endpoints: Gauge::default(),
            hosts: Gauge::default(),
            hosts_silent: Gauge::default(),
            in_flight: Gauge::default(),
            waiting: Family::default(),
            feed_age: Family::default(),
            removals_held: Gauge::default(),
            removal_held: Gauge::default(),
        };
        metrics.register();
        metrics
    }
}

impl EdgeMetrics {
    fn register(&mut self) {
        let registry = &mut self.registry;
        registry.register(
            "events",
            "Refusals, retries and other events, by reason",
            self.events.clone(),
        );
        registry.register_with_unit(
            "request",
            "Time from the head of a request to the end of its answer",
            Unit::Seconds,
            self.request_time.clone(),
        );
        registry.register_with_unit(
            "queue",
            "Time that a request waited at this host for an endpoint",
            Unit::Seconds,
            self.queue_time.clone(),
        );
        let gauges = [
            (
                "config_version",
                "Configuration in force",
                &self.config_version,
            ),
            (
                "store_reached",
                "1 while the store answered this host's last calls",
                &self.store_reached,
            ),
            ("endpoints", "Endpoints that are known", &self.endpoints),
            ("hosts", "Hosts over which limits are shared", &self.hosts),
            (
                "hosts_silent",
                "Hosts that keep their share though they are silent",
                &self.hosts_silent,
            ),
            (
                "removals_held",
                "Removals of endpoints that are held back",
                &self.removals_held,
            ),
            (
                "in_flight",
                "Requests that were read and not answered in full",
                &self.in_flight,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        registry.register(
            "waiting",
            "Requests that wait for an endpoint, by tier",
            self.waiting.clone(),
        );
        registry.register_with_unit(
            "feed_age",
            "Time since the store was read",
            Unit::Seconds,
            self.feed_age.clone(),
        );
        registry.register_with_unit(
            "removal_held",
            "Time for which a removal has been held back, the longest",
            Unit::Seconds,
            self.removal_held.clone(),
        );
    }

    pub fn count(&self, event: &'static str) {
        self.events.get_or_create(&EventLabel { event }).inc();
    }

    pub fn record_request(&self, took: Duration, waited: Duration) {
        self.request_time.observe(took.as_secs_f64());
        self.queue_time.observe(waited.as_secs_f64());
    }

    /// The text that is served.
    pub fn render(&self, gauges: &HostGauges) -> String {
        self.config_version.set(whole(gauges.config_version));
        self.store_reached.set(gauges.store_reached.into());
        self.endpoints.set(whole(gauges.endpoints));
        self.hosts.set(whole(gauges.hosts));
        self.hosts_silent.set(whole(gauges.hosts_silent));
        self.in_flight.set(whole(gauges.in_flight));
        self.waiting.clear();
        for (tier, waiting) in &gauges.waiting {
            let tier = u32::from(*tier);
            let gauge = self.waiting.get_or_create(&TierLabel { tier });
            gauge.set(whole(*waiting));
        }
        for (topic, age) in &gauges.feed_ages {
            let feed = topic.label();
            let gauge = self.feed_age.get_or_create(&FeedLabel { feed });
            gauge.set(age.as_secs_f64());
        }
        self.removals_held.set(whole(gauges.removals_held));
        let held_for = gauges.removal_held_for.unwrap_or_default();
        self.removal_held.set(held_for.as_secs_f64());
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

fn whole(count: impl TryInto<i64>) -> i64 {
    count.try_into().unwrap_or(i64::MAX)
}
