//! Settings of the daemon `wisteriapind`, as flags and environment variables.

use std::fmt;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::ops::RangeInclusive;
use std::time::Duration;

use caller_limits::MemoryPlan;
use clap::Parser;
use log::LevelFilter;

use crate::configs::pool::PoolPolicy;
use crate::ids::{HostName, RegionName, ZoneName};
use crate::settings::{
    format_duration, parse_address, parse_byte_count, parse_count, parse_duration, parse_log_level,
    parse_seed,
};

pub const DISCOVERY_TTL_RANGE: RangeInclusive<Duration> =
    Duration::from_secs(1)..=Duration::from_hours(1);
pub const DRAIN_LIMIT_MAX: Duration = Duration::from_hours(24);
pub const BODY_TIMEOUT_RANGE: RangeInclusive<Duration> =
    Duration::from_millis(100)..=Duration::from_mins(10);
/// The upper end keeps a claim within the log's retention (see section 4.4 of the design).
pub const CLAIM_WINDOW_RANGE: RangeInclusive<Duration> =
    Duration::from_secs(10)..=Duration::from_hours(1);
pub const CONNECTIONS_RANGE: RangeInclusive<usize> = 1..=65_536;
/// hyper does not accept a read buffer below 8192 bytes.
pub const HEADER_BYTES_RANGE: RangeInclusive<usize> = 8 * 1024..=1024 * 1024;
pub const BODY_BYTES_RANGE: RangeInclusive<usize> = 1024..=64 * 1024 * 1024;
pub const REQUESTS_RANGE: RangeInclusive<usize> = 1..=1_000_000;
pub const QUEUED_RANGE: RangeInclusive<usize> = 1..=100_000;
pub const MEMORY_MB_RANGE: RangeInclusive<usize> = 32..=1024 * 1024;
pub const PEER_SECRET_BYTES_RANGE: RangeInclusive<usize> = 16..=1024;
pub const SEED_PEERS_MAX: usize = 64;
pub const NAME_BYTES_MAX: usize = 64;

/// Key of the digest on peer messages. Its value appears neither in logs nor in help.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct PeerSecret(String);

impl PeerSecret {
    #[must_use]
    pub fn as_bytes(&self) -> &[u8] {
        self.0.as_bytes()
    }
}

impl From<String> for PeerSecret {
    fn from(secret: String) -> Self {
        Self(secret)
    }
}

impl fmt::Debug for PeerSecret {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str("PeerSecret(not shown)")
    }
}

/// Entry host of wisteriapin: queues requests of callers and dispatches them to endpoints.
///
/// Addresses are IP:port. Durations take a unit: 500ms, 30s, 15m, 1h.
#[derive(Clone, Debug, Parser)]
#[command(name = "wisteriapind", version, max_term_width = 100)]
pub struct DaemonSettings {
    /// Name of this host, as in the platform's host list.
    #[arg(long, env = "WISTERIAPIN_NAME", value_name = "NAME",
        default_value_t = Self::default().name)]
    pub name: HostName,

    /// Region of this host.
    #[arg(long, env = "WISTERIAPIN_REGION", value_name = "REGION",
        default_value_t = Self::default().region)]
    pub region: RegionName,

    /// Availability zone of this host.
    #[arg(long, env = "WISTERIAPIN_ZONE", value_name = "ZONE",
        default_value_t = Self::default().zone)]
    pub zone: ZoneName,

    /// Address on which callers connect.
    #[arg(long, env = "WISTERIAPIN_CALLER_ADDRESS", value_name = "ADDRESS",
        value_parser = parse_address, default_value_t = Self::default().caller_address)]
    pub caller_address: SocketAddr,

    /// Address on which operators connect.
    #[arg(long, env = "WISTERIAPIN_OPERATOR_ADDRESS", value_name = "ADDRESS",
        value_parser = parse_address, default_value_t = Self::default().operator_address)]
    pub operator_address: SocketAddr,

    /// Address on which other entry hosts connect.
    #[arg(long, env = "WISTERIAPIN_PEER_ADDRESS", value_name = "ADDRESS",
        value_parser = parse_address, default_value_t = Self::default().peer_address)]
    pub peer_address: SocketAddr,

    /// Address of the platform's log service.
    #[arg(long, env = "WISTERIAPIN_LOG_ADDRESS", value_name = "ADDRESS",
        value_parser = parse_address, default_value_t = Self::default().log_address)]
    pub log_address: SocketAddr,

    /// Address of the platform's host list.
    #[arg(long, env = "WISTERIAPIN_HOST_LIST_ADDRESS", value_name = "ADDRESS",
        value_parser = parse_address, default_value_t = Self::default().host_list_address)]
    pub host_list_address: SocketAddr,

    /// Secret shared by all entry hosts, 16 to 1024 bytes; required. Prefer the environment
    /// variable: other users of the machine can read the arguments of a process.
    #[arg(
        long,
        env = "WISTERIAPIN_PEER_SECRET",
        value_name = "SECRET",
        hide_env_values = true,
        default_value = "",
        hide_default_value = true
    )]
    pub peer_secret: PeerSecret,

    /// Peer addresses of entry hosts to contact before the host list has been read,
    /// separated by commas.
    #[arg(long, env = "WISTERIAPIN_PEERS", value_name = "ADDRESSES",
        value_delimiter = ',', value_parser = parse_address)]
    pub peers: Vec<SocketAddr>,

    /// Address that receives metrics over UDP in the format of statsd; none are sent without it.
    #[arg(long, env = "WISTERIAPIN_STATSD_ADDRESS", value_name = "ADDRESS",
        value_parser = parse_address)]
    pub statsd_address: Option<SocketAddr>,

    /// Longest graceful shutdown; the process then exits although streams still run.
    #[arg(long, env = "WISTERIAPIN_DRAIN_LIMIT", value_name = "DURATION",
        value_parser = parse_duration,
        default_value = format_duration(Self::default().drain_limit))]
    pub drain_limit: Duration,

    /// Time for which callers keep the addresses that discovery returns.
    #[arg(long, env = "WISTERIAPIN_DISCOVERY_TTL", value_name = "DURATION",
        value_parser = parse_duration,
        default_value = format_duration(Self::default().discovery_ttl))]
    pub discovery_ttl: Duration,

    /// Caller connections served at the same time.
    #[arg(long, env = "WISTERIAPIN_MAX_CONNECTIONS", value_name = "COUNT",
        value_parser = parse_count, default_value_t = Self::default().max_connections)]
    pub max_connections: usize,

    /// Longest request head of a caller, in bytes.
    #[arg(long, env = "WISTERIAPIN_MAX_HEADER_BYTES", value_name = "BYTES",
        value_parser = parse_byte_count, default_value_t = Self::default().max_header_bytes)]
    pub max_header_bytes: usize,

    /// Longest request body of a caller, in bytes.
    #[arg(long, env = "WISTERIAPIN_MAX_BODY_BYTES", value_name = "BYTES",
        value_parser = parse_byte_count, default_value_t = Self::default().max_body_bytes)]
    pub max_body_bytes: usize,

    /// Time allowed for a request body to arrive.
    #[arg(long, env = "WISTERIAPIN_BODY_TIMEOUT", value_name = "DURATION",
        value_parser = parse_duration,
        default_value = format_duration(Self::default().body_timeout))]
    pub body_timeout: Duration,

    /// Requests that this host holds at the same time, queued and running.
    #[arg(long, env = "WISTERIAPIN_MAX_REQUESTS", value_name = "COUNT",
        value_parser = parse_count, default_value_t = Self::default().max_requests)]
    pub max_requests: usize,

    /// Requests that may wait in the queue of a pool that this host owns.
    #[arg(long, env = "WISTERIAPIN_MAX_QUEUED", value_name = "COUNT",
        value_parser = parse_count, default_value_t = Self::default().max_queued)]
    pub max_queued: usize,

    /// Memory that this process may use, in MB; that of the machine if it isn't given.
    #[arg(long, env = "WISTERIAPIN_MEMORY_MB", value_name = "MB", value_parser = parse_count)]
    pub memory_mb: Option<usize>,

    /// Largest age of the key of a non-idempotent call; at most a third of the log's retention.
    #[arg(long, env = "WISTERIAPIN_CLAIM_WINDOW", value_name = "DURATION",
        value_parser = parse_duration,
        default_value = format_duration(Self::default().claim_window))]
    pub claim_window: Duration,

    /// Seed of the random generator, to repeat a run; drawn at start without it.
    #[arg(long, env = "WISTERIAPIN_SEED", value_name = "NUMBER", value_parser = parse_seed)]
    pub seed: Option<u64>,

    /// Most detailed log level: off, error, warn, info, debug or trace.
    #[arg(long, env = "WISTERIAPIN_LOG_LEVEL", value_name = "LEVEL",
        value_parser = parse_log_level,
        default_value_t = Self::default().log_level)]
    pub log_level: LevelFilter,

    /// Scheduling policy, for measurements only.
    #[arg(long, value_enum, hide = true, default_value = "current")]
    pub policy: PoolPolicy,

    /// Check the settings, print the first fault if there is one, and exit.
    #[arg(long)]
    pub check_settings: bool,
}

impl Default for DaemonSettings {
    fn default() -> Self {
        let local = |port| SocketAddr::new(IpAddr::V4(Ipv4Addr::LOCALHOST), port);
        Self {
            name: "entry-1".into(),
            region: "local".into(),
            zone: "local-a".into(),
            caller_address: local(7100),
            operator_address: local(7200),
            peer_address: local(7300),
            log_address: local(7400),
            host_list_address: local(7500),
            peer_secret: PeerSecret::default(),
            peers: Vec::new(),
            statsd_address: None,
            drain_limit: Duration::from_mins(15),
            discovery_ttl: Duration::from_secs(30),
            max_connections: 4096,
            max_header_bytes: 16 * 1024,
            max_body_bytes: 4 * 1024 * 1024,
            body_timeout: Duration::from_secs(10),
            max_requests: 20_000,
            max_queued: 10_000,
            memory_mb: None,
            claim_window: Duration::from_mins(10),
            seed: None,
            log_level: LevelFilter::Info,
            policy: PoolPolicy::Current,
            check_settings: false,
        }
    }
}

impl DaemonSettings {
    /// Divides the memory that the settings state, or that of the machine.
    #[must_use]
    pub fn memory_plan(&self) -> MemoryPlan {
        let memory_bytes = self
            .memory_mb
            .map_or_else(machine_memory_bytes, |megabytes| {
                megabytes.saturating_mul(1024 * 1024)
            });
        MemoryPlan::new(memory_bytes)
    }
}

/// Returns the memory of the machine, as the kernel reports it.
fn machine_memory_bytes() -> usize {
    let info = rustix::system::sysinfo();
    let units = usize::try_from(info.totalram).unwrap_or(usize::MAX);
    let unit_bytes = usize::try_from(info.mem_unit).unwrap_or(1);
    units.saturating_mul(unit_bytes)
}
