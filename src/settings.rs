//! Reads the daemon's settings and checks them, alone and together, before any socket listens.

use std::error::Error as _;
use std::net::{SocketAddr, UdpSocket};
use std::ops::RangeInclusive;
use std::time::Duration;

use clap::Parser;
use clap::error::{ContextKind, ContextValue, ErrorKind};
use log::LevelFilter;
use snafu::Snafu;

use crate::configs::daemon::{
    BODY_BYTES_RANGE, BODY_TIMEOUT_RANGE, CLAIM_WINDOW_RANGE, CONNECTIONS_RANGE,
    DISCOVERY_TTL_RANGE, DRAIN_LIMIT_MAX, DaemonSettings, HEADER_BYTES_RANGE, MEMORY_MB_RANGE,
    NAME_BYTES_MAX, PEER_SECRET_BYTES_RANGE, QUEUED_RANGE, REQUESTS_RANGE, SEED_PEERS_MAX,
};

/// Exit code for wrong usage: bad flags and bad settings.
pub const EXIT_USAGE: u8 = 2;

/// Why the daemon does not start.
#[derive(Debug, Snafu)]
pub enum SettingsError {
    #[snafu(display("{flag} {value} is not allowed: {allowed}"))]
    BadValue {
        flag: &'static str,
        value: String,
        allowed: String,
    },
    /// Help and version are reported this way too.
    #[snafu(display("{}", one_sentence(source)), context(false))]
    Usage { source: clap::Error },
}

/// Reads flags and environment and checks the result.
///
/// # Errors
///
/// Names the first flag at fault, its value and what is allowed.
pub fn load<I>(arguments: I) -> Result<DaemonSettings, SettingsError>
where
    I: IntoIterator<Item = std::ffi::OsString>,
{
    let settings = DaemonSettings::try_parse_from(arguments)?;
    check(&settings)?;
    Ok(settings)
}

/// Reads the process's own arguments; prints the fault and exits with code 2 if there is one.
/// Help and version are printed and exit with code 0.
#[must_use]
pub fn load_or_exit() -> DaemonSettings {
    match load(std::env::args_os()) {
        Ok(settings) => settings,
        Err(SettingsError::Usage { source }) if !source.use_stderr() => source.exit(),
        Err(error) => {
            eprintln!("wisteriapind: {error}");
            std::process::exit(i32::from(EXIT_USAGE));
        }
    }
}

/// Reduces clap's report, which covers several lines, to one sentence.
fn one_sentence(error: &clap::Error) -> String {
    let text = |kind| match error.get(kind) {
        Some(ContextValue::String(text)) => Some(text.as_str()),
        _ => None,
    };
    let invalid = matches!(
        error.kind(),
        ErrorKind::ValueValidation | ErrorKind::InvalidValue
    );
    if invalid
        && let Some(argument) = text(ContextKind::InvalidArg)
        && let Some(value) = text(ContextKind::InvalidValue)
    {
        let flag = argument.split(' ').next().unwrap_or(argument);
        let allowed = error
            .source()
            .map_or_else(|| "the value is missing".to_owned(), ToString::to_string);
        return format!("{flag} {value:?} is not allowed: {allowed}");
    }
    let report = error.to_string();
    let line = report.lines().next().unwrap_or_default();
    line.trim_start_matches("error: ").to_owned()
}

/// Checks every setting alone, then the combinations, then the addresses against this host.
///
/// # Errors
///
/// Names the first flag at fault, its value and what is allowed.
pub fn check(settings: &DaemonSettings) -> Result<(), SettingsError> {
    check_identity(settings)?;
    check_limits(settings)?;
    check_durations(settings)?;
    check_addresses(settings)?;
    check_local_addresses(settings)
}

fn check_identity(settings: &DaemonSettings) -> Result<(), SettingsError> {
    let names = [
        ("--name", &settings.name),
        ("--region", &settings.region),
        ("--zone", &settings.zone),
    ];
    for (flag, name) in names {
        let valid = (1..=NAME_BYTES_MAX).contains(&name.len())
            && name
                .bytes()
                .all(|byte| byte.is_ascii_alphanumeric() || b"-_.".contains(&byte));
        if !valid {
            let allowed =
                format!("1 to {NAME_BYTES_MAX} letters, digits, '-', '_' and '.' are allowed");
            return bad_value(flag, format!("{name:?}"), allowed);
        }
    }
    let length = settings.peer_secret.as_bytes().len();
    if !PEER_SECRET_BYTES_RANGE.contains(&length) {
        let (least, most) = PEER_SECRET_BYTES_RANGE.into_inner();
        return bad_value(
            "--peer-secret",
            format!("of {length} bytes (value not shown)"),
            format!("{least} to {most} bytes are allowed, best set in WISTERIAPIN_PEER_SECRET"),
        );
    }
    Ok(())
}

fn check_limits(settings: &DaemonSettings) -> Result<(), SettingsError> {
    let limits = [
        (
            "--max-connections",
            settings.max_connections,
            CONNECTIONS_RANGE,
        ),
        (
            "--max-header-bytes",
            settings.max_header_bytes,
            HEADER_BYTES_RANGE,
        ),
        (
            "--max-body-bytes",
            settings.max_body_bytes,
            BODY_BYTES_RANGE,
        ),
        ("--max-requests", settings.max_requests, REQUESTS_RANGE),
        ("--max-queued", settings.max_queued, QUEUED_RANGE),
    ];
    let memory = settings
        .memory_mb
        .map(|megabytes| ("--memory-mb", megabytes, MEMORY_MB_RANGE));
    for (flag, value, range) in limits.into_iter().chain(memory) {
        if !range.contains(&value) {
            let allowed = format!("{} to {} are allowed", range.start(), range.end());
            return bad_value(flag, value.to_string(), allowed);
        }
    }
    if settings.peers.len() > SEED_PEERS_MAX {
        let value = format!("with {} addresses", settings.peers.len());
        let allowed = format!("at most {SEED_PEERS_MAX} addresses are allowed");
        return bad_value("--peers", value, allowed);
    }
    Ok(())
}

fn check_durations(settings: &DaemonSettings) -> Result<(), SettingsError> {
    check_duration(
        "--discovery-ttl",
        settings.discovery_ttl,
        DISCOVERY_TTL_RANGE,
    )?;
    check_duration("--body-timeout", settings.body_timeout, BODY_TIMEOUT_RANGE)?;
    check_duration("--claim-window", settings.claim_window, CLAIM_WINDOW_RANGE)?;
    // A host that stopped sooner would break connections of callers with cached addresses.
    if settings.drain_limit < settings.discovery_ttl {
        return bad_value(
            "--drain-limit",
            format_duration(settings.drain_limit),
            format!(
                "it must not be below --discovery-ttl, which is {}",
                format_duration(settings.discovery_ttl)
            ),
        );
    }
    let range = settings.discovery_ttl..=DRAIN_LIMIT_MAX;
    check_duration("--drain-limit", settings.drain_limit, range)
}

fn check_duration(
    flag: &'static str,
    value: Duration,
    range: RangeInclusive<Duration>,
) -> Result<(), SettingsError> {
    if range.contains(&value) {
        return Ok(());
    }
    let (least, most) = range.into_inner();
    let allowed = format!(
        "{} to {} are allowed",
        format_duration(least),
        format_duration(most)
    );
    bad_value(flag, format_duration(value), allowed)
}

fn listening_addresses(settings: &DaemonSettings) -> [(&'static str, SocketAddr); 3] {
    [
        ("--caller-address", settings.caller_address),
        ("--operator-address", settings.operator_address),
        ("--peer-address", settings.peer_address),
    ]
}

fn check_addresses(settings: &DaemonSettings) -> Result<(), SettingsError> {
    let platform = [
        ("--log-address", settings.log_address),
        ("--host-list-address", settings.host_list_address),
    ];
    let own = listening_addresses(settings);
    let peers = settings.peers.iter().map(|peer| ("--peers", *peer));
    let statsd = settings
        .statsd_address
        .map(|address| ("--statsd-address", address));
    let every = own.into_iter().chain(platform).chain(peers).chain(statsd);
    for (flag, address) in every {
        // Other hosts and callers connect to these addresses, so each must be a definite one.
        if address.port() == 0 || address.ip().is_unspecified() || address.ip().is_multicast() {
            let allowed = "an address of one host with a port from 1 to 65535 is needed";
            return bad_value(flag, address.to_string(), allowed.to_owned());
        }
    }
    for (index, (flag, address)) in own.into_iter().enumerate() {
        let earlier = own[..index].iter().chain(&platform);
        if let Some((other, _)) = earlier.into_iter().find(|(_, taken)| *taken == address) {
            let allowed = format!("{other} has the same address; each needs its own port");
            return bad_value(flag, address.to_string(), allowed);
        }
    }
    Ok(())
}

/// Binds a UDP socket, which accepts nothing, to find out whether an address is of this host.
fn check_local_addresses(settings: &DaemonSettings) -> Result<(), SettingsError> {
    for (flag, address) in listening_addresses(settings) {
        if let Err(error) = UdpSocket::bind(SocketAddr::new(address.ip(), 0)) {
            let allowed = format!("an address of this host is needed ({error})");
            return bad_value(flag, address.to_string(), allowed);
        }
    }
    Ok(())
}

fn bad_value<T>(flag: &'static str, value: String, allowed: String) -> Result<T, SettingsError> {
    BadValueSnafu {
        flag,
        value,
        allowed,
    }
    .fail()
}

/// Parses `IP:port`.
///
/// # Errors
///
/// Says what is allowed.
pub fn parse_address(text: &str) -> Result<SocketAddr, String> {
    text.parse().map_err(|_| {
        "an IP address and a port are needed, such as 10.0.0.1:7100 or [fd00::1]:7100".to_owned()
    })
}

/// Parses a count of things.
///
/// # Errors
///
/// Says what is allowed.
pub fn parse_count(text: &str) -> Result<usize, String> {
    text.parse()
        .map_err(|_| "a whole number is needed, such as 4096".to_owned())
}

/// Parses a size in bytes.
///
/// # Errors
///
/// Says what is allowed.
pub fn parse_byte_count(text: &str) -> Result<usize, String> {
    text.parse()
        .map_err(|_| "a whole number of bytes without a unit is needed, such as 16384".to_owned())
}

/// Parses the seed of the random generator.
///
/// # Errors
///
/// Says what is allowed.
pub fn parse_seed(text: &str) -> Result<u64, String> {
    text.parse()
        .map_err(|_| format!("a whole number from 0 to {} is needed", u64::MAX))
}

/// Parses a log level.
///
/// # Errors
///
/// Says what is allowed.
pub fn parse_log_level(text: &str) -> Result<LevelFilter, String> {
    text.parse()
        .map_err(|_| "off, error, warn, info, debug and trace are allowed".to_owned())
}

const DURATION_UNITS_MS: [(&str, u64); 4] = [
    ("ms", 1),
    ("s", 1000),
    ("m", 60 * 1000),
    ("h", 60 * 60 * 1000),
];

/// Parses a whole number with a unit: `500ms`, `30s`, `15m`, `1h`.
///
/// # Errors
///
/// Says what is allowed.
pub fn parse_duration(text: &str) -> Result<Duration, String> {
    let split = text
        .find(|character: char| !character.is_ascii_digit())
        .unwrap_or(text.len());
    let (number, unit) = text.split_at(split);
    let unit_ms = DURATION_UNITS_MS.iter().find(|(name, _)| *name == unit);
    number
        .parse::<u64>()
        .ok()
        .zip(unit_ms)
        .and_then(|(number, (_, unit_ms))| number.checked_mul(*unit_ms))
        .map(Duration::from_millis)
        .ok_or_else(|| "a whole number with a unit is needed, such as 500ms, 30s or 15m".to_owned())
}

/// Writes a duration the way that `parse_duration` reads it, in the largest unit that fits.
#[must_use]
pub fn format_duration(duration: Duration) -> String {
    let total_ms = u64::try_from(duration.as_millis()).unwrap_or(u64::MAX);
    let (name, unit_ms) = DURATION_UNITS_MS
        .iter()
        .rev()
        .find(|(_, unit_ms)| total_ms > 0 && total_ms.is_multiple_of(*unit_ms))
        .unwrap_or(&DURATION_UNITS_MS[1]);
    format!("{}{name}", total_ms / unit_ms)
}
