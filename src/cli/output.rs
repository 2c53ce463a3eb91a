//! Text form of replies; JSON is the reply itself.

use std::fmt::Write as _;
use std::io::Write as _;

use serde::Serialize;

use crate::cli::arguments::OutputFormat;
use crate::generated::operator as rpc;
use crate::generated::{
    endpoint_state_name, host_state_name, rollout_verdict_name, zone_state_name,
};

/// Prints a reply as text or as one line of JSON.
pub(crate) fn print_reply<R: Serialize>(
    format: OutputFormat,
    reply: &R,
    text: impl FnOnce(&R) -> String,
) {
    let text = match format {
        OutputFormat::Text => text(reply),
        OutputFormat::Json => serde_json::to_string(reply).expect("the reply type is valid JSON"),
    };
    write_output(format!("{}\n", text.trim_end()).as_bytes());
}

/// Writes to standard output. Ends the process if its reader has gone, as in `| head`: the
/// standard macros would panic.
pub(crate) fn write_output(bytes: &[u8]) {
    let mut output = std::io::stdout().lock();
    if output
        .write_all(bytes)
        .and_then(|()| output.flush())
        .is_err()
    {
        std::process::exit(1);
    }
}

pub(crate) fn change_text(reply: &rpc::ChangeReply) -> String {
    format!("accepted as {}", confirmation_text(reply))
}

pub(crate) fn confirmation_text(reply: &rpc::ChangeReply) -> String {
    let mut text = format!(
        "config version {}; confirmed by {} of {} hosts",
        reply.config_version, reply.confirmed, reply.electorate
    );
    append_missing(&mut text, &reply.missing_hosts);
    text
}

fn append_missing(text: &mut String, missing_hosts: &[String]) {
    if !missing_hosts.is_empty() {
        write!(text, "; missing: {}", missing_hosts.join(", ")).expect("text can be written");
    }
}

pub(crate) fn counters_text(counters: &[rpc::Counter]) -> String {
    counters.iter().fold(String::new(), |text, counter| {
        format!("{text}{} {}\n", counter.name, counter.value)
    })
}

pub(crate) fn zone_text(reply: &rpc::WatchZoneReply) -> String {
    let mut text = format!(
        "zone {} is {} at config version {}; confirmed by {} of {} hosts; {} requests still run there",
        reply.zone,
        zone_state_name(reply.state),
        reply.config_version,
        reply.confirmed,
        reply.electorate,
        reply.running
    );
    append_missing(&mut text, &reply.missing_hosts);
    write!(text, "; {}", reply.verdict).expect("text can be written");
    text
}

pub(crate) fn rollout_text(rollout: &rpc::Rollout) -> String {
    let percent = f64::from(rollout.share_permille) / 10.0;
    let mut text = format!(
        "rollout {} of pool {} from {} to {}: {}, step {}, share {percent}%, deadline_unix_ms {}",
        rollout.name,
        rollout.pool,
        rollout.from_version,
        rollout.to_version,
        rollout_verdict_name(rollout.verdict),
        rollout.step,
        rollout.deadline_ms
    );
    if !rollout.reason.is_empty() {
        write!(text, ", reason: {}", rollout.reason).expect("text can be written");
    }
    text
}

pub(crate) fn rollouts_text(rollouts: &[rpc::Rollout]) -> String {
    if rollouts.is_empty() {
        return "no rollouts".to_owned();
    }
    let lines: Vec<String> = rollouts.iter().map(rollout_text).collect();
    lines.join("\n")
}

pub(crate) fn status_text(reply: &rpc::StatusReply) -> String {
    let log_age = reply.log_age_ms.map_or("never read".to_owned(), |age_ms| {
        format!("read {age_ms} ms ago")
    });
    let state = host_state_name(reply.state);
    let mut lines = vec![
        format!(
            "host {} ({}) in {}/{}: {state}",
            reply.name, reply.incarnation, reply.region, reply.zone
        ),
        format!("config version {}; log {log_age}", reply.config_version),
    ];
    lines.extend(reply.electorate.iter().map(elector_text));
    lines.extend(reply.pools.iter().flat_map(pool_lines));
    lines.push(counters_text(&reply.counters));
    lines.join("\n")
}

fn elector_text(elector: &rpc::Elector) -> String {
    let state = host_state_name(elector.state);
    let (name, zone, incarnation) = (&elector.name, &elector.zone, &elector.incarnation);
    format!("elector {name} ({incarnation}) in {zone}: {state}")
}

fn pool_lines(pool: &rpc::Pool) -> Vec<String> {
    let owner = if pool.owner.is_empty() {
        "none"
    } else {
        &pool.owner
    };
    let mut lines = vec![format!("pool {}: owner {owner}", pool.name)];
    lines.extend(pool.tiers.iter().map(|load| {
        let (tier, queued, running) = (load.tier, load.queued, load.running);
        format!("  tier {tier}: {queued} queued, {running} running")
    }));
    lines.extend(pool.endpoints.iter().map(|endpoint| {
        format!(
            "  endpoint {} in {}: {}, version {}, {} of {} running, \
             prefill {:.1} tokens/s, decode {:.1} tokens/s",
            endpoint.name,
            endpoint.zone,
            endpoint_state_name(endpoint.state),
            endpoint.version,
            endpoint.running,
            endpoint.limit,
            endpoint.prefill_tokens_per_second,
            endpoint.decode_tokens_per_second
        )
    }));
    lines
}
