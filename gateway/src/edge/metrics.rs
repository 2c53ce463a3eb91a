//! Counters, latency histograms and gauges, served in the text format of Prometheus.

use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::{Histogram, exponential_buckets};
use prometheus_client::registry::{Registry, Unit};

use crate::backpressure::SignalCounts;
use crate::duties::DutyStatus;
use crate::ids::TierNumber;
use crate::membership::FeedTopic;
use caller_limits::MemoryUsage;

/// Upper bound of the first histogram bucket. Each bound is twice the one before, so that the
/// buckets cover 5 ms to 41 s, the longest time limit of a route.
const FIRST_BUCKET_SECONDS: f64 = 0.005;
/// Number of histogram buckets.
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
struct OrderLabel {
    service: String,
    zone: String,
}

#[derive(Clone, Debug, Hash, PartialEq, Eq, EncodeLabelSet)]
struct FeedLabel {
    feed: &'static str,
}

/// Values of the gauges at the time of a read.
#[derive(Debug, Default)]
pub(crate) struct HostGauges {
    pub config_version: u64,
    pub store_reached: bool,
    pub endpoints: usize,
    /// Hosts among which limits are shared, including silent ones.
    pub hosts: usize,
    /// Silent hosts among them.
    pub hosts_silent: usize,
    pub in_flight: usize,
    /// Requests that wait for an endpoint, by tier.
    pub waiting: Vec<(TierNumber, usize)>,
    /// Time since any host read the store, as far as this host knows, by topic.
    pub feed_ages: Vec<(FeedTopic, Duration)>,
    /// Endpoints that restrict the requests of this host.
    pub signals: SignalCounts,
    /// Memory of the bodies of requests and responses.
    pub memory: MemoryUsage,
    /// What this host knows of the duties; `None` if the deployment has none.
    pub duties: Option<DutyStatus>,
    /// Contents of requests that are blocked because they crash endpoints.
    pub contents_blocked: usize,
    /// Removals of endpoints that are held back.
    pub removals_held: usize,
    /// Time for which the oldest of these removals has been held back.
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
    endpoints_limited: Gauge,
    endpoints_paused: Gauge,
    endpoints_leaving: Gauge,
    contents_blocked: Gauge,
    memory_requests: Gauge,
    memory_responses: Gauge,
    memory_budget: Gauge,
    duty_token: Gauge,
    duty_window: Gauge,
    duty_missed: Gauge,
    duty_lag: Gauge<f64, std::sync::atomic::AtomicU64>,
    endpoints_ordered: Family<OrderLabel, Gauge>,
    waiting: Family<TierLabel, Gauge>,
    feed_age: Family<FeedLabel, Gauge<f64, std::sync::atomic::AtomicU64>>,
    removals_held: Gauge,
    removal_held: Gauge<f64, std::sync::atomic::AtomicU64>,
}

impl Default for EdgeMetrics {
    fn default() -> Self {
        let histogram =
            || Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKET_COUNT));
        let mut metrics = Self {
            registry: Registry::with_prefix("wisteriapin"),
            events: Family::default(),
            request_time: histogram(),
            queue_time: histogram(),
            config_version: Gauge::default(),
            store_reached: Gauge::default(),
            endpoints: Gauge::default(),
            hosts: Gauge::default(),
            hosts_silent: Gauge::default(),
            in_flight: Gauge::default(),
            endpoints_limited: Gauge::default(),
            endpoints_paused: Gauge::default(),
            endpoints_leaving: Gauge::default(),
            contents_blocked: Gauge::default(),
            memory_requests: Gauge::default(),
            memory_responses: Gauge::default(),
            memory_budget: Gauge::default(),
            duty_token: Gauge::default(),
            duty_window: Gauge::default(),
            duty_missed: Gauge::default(),
            duty_lag: Gauge::default(),
            endpoints_ordered: Family::default(),
            waiting: Family::default(),
            feed_age: Family::default(),
            removals_held: Gauge::default(),
            removal_held: Gauge::default(),
        };
        metrics.register();
        metrics.register_memory_and_duties();
        metrics
    }
}

impl EdgeMetrics {
    /// Registers all metrics under their names.
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
            (
                "endpoints_limited",
                "Endpoints that limit their requests",
                &self.endpoints_limited,
            ),
            (
                "endpoints_paused",
                "Endpoints that want no request from this host for a while",
                &self.endpoints_paused,
            ),
            (
                "endpoints_leaving",
                "Endpoints that said that they are about to stop",
                &self.endpoints_leaving,
            ),
            (
                "contents_blocked",
                "Contents of requests that are blocked because they crash endpoints",
                &self.contents_blocked,
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

    /// Registers the metrics of the memory account and of the duties.
    fn register_memory_and_duties(&mut self) {
        let registry = &mut self.registry;
        let gauges = [
            (
                "memory_requests_bytes",
                "Memory of request bodies",
                &self.memory_requests,
            ),
            (
                "memory_responses_bytes",
                "Memory of responses that are buffered whole",
                &self.memory_responses,
            ),
            (
                "memory_budget_bytes",
                "Memory that both may occupy",
                &self.memory_budget,
            ),
            (
                "duty_token",
                "Fencing token while this host holds the duties, otherwise 0",
                &self.duty_token,
            ),
            (
                "duty_window",
                "Last window whose usage report this host has delivered",
                &self.duty_window,
            ),
            (
                "duty_windows_missed",
                "Windows that this host could not report",
                &self.duty_missed,
            ),
        ];
        for (name, help, gauge) in gauges {
            registry.register(name, help, gauge.clone());
        }
        registry.register_with_unit(
            "duty_lag",
            "Time since the end of the oldest window that the holder has not reported",
            Unit::Seconds,
            self.duty_lag.clone(),
        );
        registry.register(
            "endpoints_ordered",
            "Endpoints that the holder of the duties has ordered",
            self.endpoints_ordered.clone(),
        );
    }

    /// Increments the counter of an event.
    pub fn count(&self, event: &'static str) {
        self.events.get_or_create(&EventLabel { event }).inc();
    }

    /// Records the duration of a request and its time in the queue.
    pub fn record_request(&self, took: Duration, waited: Duration) {
        self.request_time.observe(took.as_secs_f64());
        self.queue_time.observe(waited.as_secs_f64());
    }

    fn set_duties(&self, status: Option<&DutyStatus>) {
        let Some(status) = status else { return };
        self.duty_token
            .set(gauge_value(status.token.unwrap_or_default()));
        self.duty_window
            .set(gauge_value(status.last_reported.unwrap_or_default()));
        self.duty_missed.set(gauge_value(status.missed));
        self.duty_lag.set(status.lag.as_secs_f64());
        self.endpoints_ordered.clear();
        for order in status.orders.iter().filter(|_| status.token.is_some()) {
            let label = OrderLabel {
                service: order.service.to_string(),
                zone: order.zone.to_string(),
            };
            let gauge = self.endpoints_ordered.get_or_create(&label);
            gauge.set(gauge_value(order.endpoints));
        }
    }

    /// Sets the gauges and returns all metrics as text.
    pub fn render(&self, gauges: &HostGauges) -> String {
        self.config_version.set(gauge_value(gauges.config_version));
        self.store_reached.set(gauges.store_reached.into());
        self.endpoints.set(gauge_value(gauges.endpoints));
        self.hosts.set(gauge_value(gauges.hosts));
        self.hosts_silent.set(gauge_value(gauges.hosts_silent));
        self.in_flight.set(gauge_value(gauges.in_flight));
        let signals = &gauges.signals;
        self.endpoints_limited.set(gauge_value(signals.limited));
        self.endpoints_paused.set(gauge_value(signals.paused));
        self.endpoints_leaving.set(gauge_value(signals.leaving));
        self.contents_blocked
            .set(gauge_value(gauges.contents_blocked));
        let memory = gauges.memory;
        self.memory_requests.set(gauge_value(memory.request_bytes));
        self.memory_responses
            .set(gauge_value(memory.response_bytes));
        self.memory_budget.set(gauge_value(memory.budget_bytes));
        self.set_duties(gauges.duties.as_ref());
        self.waiting.clear();
        for (tier, waiting) in &gauges.waiting {
            let tier = u32::from(*tier);
            let gauge = self.waiting.get_or_create(&TierLabel { tier });
            gauge.set(gauge_value(*waiting));
        }
        for (topic, age) in &gauges.feed_ages {
            let feed = topic.label();
            let gauge = self.feed_age.get_or_create(&FeedLabel { feed });
            gauge.set(age.as_secs_f64());
        }
        self.removals_held.set(gauge_value(gauges.removals_held));
        let held_for = gauges.removal_held_for.unwrap_or_default();
        self.removal_held.set(held_for.as_secs_f64());
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = encode(&mut text, &self.registry);
        text
    }
}

/// Converts a count to a gauge value and saturates at the maximum.
fn gauge_value(count: impl TryInto<i64>) -> i64 {
    count.try_into().unwrap_or(i64::MAX)
}
