//! Gathers what hosts logged of one request, and what happened around it.

use std::collections::BTreeMap;
use std::fmt::Write as _;

use compact_str::CompactString;
use jiff::Timestamp;
use serde::Serialize;

use crate::ids::FastSet;

/// Lines about the hosts' state are shown this long before the request arrived and after it ended,
/// in seconds. An endpoint that crashed is back, or gone from the list, within that time.
const CONTEXT_S: f64 = 5.0;
/// Parts of a host whose lines concern every request on it.
const HOST_PARTS: [&str; 9] = [
    "config:",
    "edge:",
    "hosts:",
    "hub:",
    "log:",
    "rollout:",
    "settings:",
    "store:",
    "zone:",
];

/// The log of one host, or of several with the host's name before each line.
#[derive(Debug)]
pub struct HostLog<'a> {
    /// Used where a line doesn't name its host.
    pub host: &'a str,
    pub text: &'a str,
}

/// One line of a log, taken apart.
#[derive(Clone, Debug)]
struct LogLine<'a> {
    /// Seconds since the Unix epoch, or since the time that the log counts from.
    at_s: f64,
    host: &'a str,
    message: &'a str,
}

/// A line of a story.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct StoryLine {
    /// Milliseconds since the request arrived.
    pub after_ms: i64,
    pub host: CompactString,
    /// About the request itself, rather than about its host or its endpoints.
    pub own: bool,
    pub message: String,
}

/// What is known of one request.
#[derive(Clone, Debug, PartialEq, Serialize)]
pub struct RequestStory {
    pub id: CompactString,
    pub lines: Vec<StoryLine>,
    /// How it ended, in sentences.
    pub verdict: Vec<String>,
}

/// Tells the story of a request; `None` when no log names it.
#[must_use]
pub fn explain_request(id: &str, logs: &[HostLog]) -> Option<RequestStory> {
    let mut lines: Vec<LogLine> = logs
        .iter()
        .flat_map(|log| {
            log.text
                .lines()
                .filter_map(|line| parse_line(line, log.host))
        })
        .collect();
    lines.sort_by(|one, other| one.at_s.total_cmp(&other.at_s));
    let is_own = |line: &LogLine| field(line.message, "id") == Some(id);
    let own: Vec<&LogLine> = lines.iter().filter(|line| is_own(line)).collect();
    let last = own.last()?;
    let arrived_s = own
        .iter()
        .map(|line| line.at_s - number(line.message, "took_ms").unwrap_or(0.0) / 1_000.0)
        .fold(f64::INFINITY, f64::min);
    let shown = arrived_s - CONTEXT_S..=last.at_s + CONTEXT_S;
    let hosts: FastSet<&str> = own.iter().map(|line| line.host).collect();
    // A request that no endpoint got may lack any of them.
    let endpoints: FastSet<&str> = own.iter().flat_map(|line| endpoints_of(line)).collect();
    let is_context = |line: &LogLine| {
        hosts.contains(line.host)
            && shown.contains(&line.at_s)
            && (HOST_PARTS.iter().any(|part| line.message.starts_with(part))
                || (line.message.starts_with("endpoint:")
                    && (endpoints.is_empty()
                        || endpoints_of(line).any(|endpoint| endpoints.contains(endpoint)))))
    };
    let story = lines
        .iter()
        .filter(|line| is_own(line) || is_context(line))
        .map(|line| StoryLine {
            after_ms: millis_between(arrived_s, line.at_s),
            host: line.host.into(),
            own: is_own(line),
            message: line.message.to_owned(),
        });
    Some(RequestStory {
        id: id.into(),
        lines: story.collect(),
        verdict: verdict(id, &own, &lines),
    })
}

/// Text form of a story: one line for each of the logs, lines about the request with `>`.
#[must_use]
pub fn story_text(story: &RequestStory) -> String {
    let width = story.lines.iter().map(|line| line.host.len()).max();
    let width = width.unwrap_or_default();
    let mut text = format!("request {}\n", story.id);
    for line in &story.lines {
        let mark = if line.own { '>' } else { ' ' };
        let (after_ms, host, message) = (line.after_ms, &line.host, &line.message);
        writeln!(text, "{mark} {after_ms:>7} ms  {host:width$}  {message}")
            .expect("text can be written");
    }
    for sentence in &story.verdict {
        writeln!(text, "{sentence}").expect("text can be written");
    }
    text
}

/// Takes a line apart: `[TIME LEVEL] MESSAGE`, which a collector may have put `SECONDS HOST`
/// before. Other lines, such as those cut short, are left out.
fn parse_line<'a>(line: &'a str, file_host: &'a str) -> Option<LogLine<'a>> {
    let (before, rest) = line.split_once('[')?;
    let (head, message) = rest.split_once("] ")?;
    let stamp = head.split_whitespace().next()?;
    let stamp: Timestamp = stamp.parse().ok()?;
    let mut before = before.split_whitespace();
    let collected: Option<f64> = before.next().and_then(|seconds| seconds.parse().ok());
    #[expect(
        clippy::cast_precision_loss,
        reason = "milliseconds stay exact for ages"
    )]
    let own_s = stamp.as_millisecond() as f64 / 1_000.0;
    Some(LogLine {
        at_s: collected.unwrap_or(own_s),
        host: before.next().unwrap_or(file_host),
        message,
    })
}

fn field<'a>(message: &'a str, name: &str) -> Option<&'a str> {
    let mut words = message.split_whitespace();
    words.find_map(|word| word.strip_prefix(name)?.strip_prefix('='))
}

fn number(message: &str, name: &str) -> Option<f64> {
    field(message, name)?.parse().ok()
}

fn endpoints_of<'a>(line: &LogLine<'a>) -> impl Iterator<Item = &'a str> {
    let one = field(line.message, "endpoint");
    let tried = field(line.message, "endpoints").unwrap_or_default();
    one.into_iter()
        .chain(tried.split(','))
        .filter(|endpoint| !endpoint.is_empty())
}

fn millis_between(from_s: f64, to_s: f64) -> i64 {
    #[expect(clippy::cast_possible_truncation, reason = "rounded, and within a day")]
    let millis = ((to_s - from_s) * 1_000.0).round() as i64;
    millis
}

fn verdict(id: &str, own: &[&LogLine], all: &[LogLine]) -> Vec<String> {
    let find = |start: &str| {
        own.iter()
            .rev()
            .find(|line| line.message.starts_with(start))
    };
    let ended = find("request: ended");
    let refused = find("request: refused");
    let mut sentences = Vec::new();
    if let Some(line) = ended {
        sentences.push(ended_sentence(line.message));
    }
    if let Some(line) = refused {
        let text = |name| field(line.message, name).unwrap_or("?");
        let again = match text("retry_ms") {
            "0" => String::new(),
            retry_ms => format!(", to be tried again after {retry_ms} ms"),
        };
        sentences.push(format!(
            "The gateway answered {} with code {} ({}){again}.",
            text("status"),
            text("code"),
            text("reason")
        ));
        if ended.is_none() {
            sentences.push("It was refused before it was sent to an endpoint: not run.".to_owned());
        }
        sentences.push(company_sentence(id, line, all));
        sentences.extend(restriction_sentence(line, all));
    }
    if ended.is_none() && refused.is_none() {
        sentences.push("No line says how it ended: it runs still, its lines were dropped, or its host stopped without notice.".to_owned());
    }
    sentences
}

fn ended_sentence(message: &str) -> String {
    let text = |name| field(message, name).unwrap_or("?");
    let runs = text("runs");
    let outcome = text("outcome");
    let ran = match (outcome, runs) {
        ("answered", _) => String::new(),
        (_, "0") => " No endpoint ran it.".to_owned(),
        (_, "1") => " One endpoint may have run it.".to_owned(),
        _ => format!(" {runs} endpoints may have run it."),
    };
    let tried = match field(message, "endpoints") {
        None | Some("") => "no endpoint".to_owned(),
        Some(tried) => tried.replace(',', ", then "),
    };
    format!(
        "It ended as {outcome} with status {} after {} ms: {} ms in the host's queue, first byte at {} ms; sent to {tried}.{ran}",
        text("status"),
        text("took_ms"),
        text("waited_ms"),
        text("first_byte_ms"),
    )
}

/// Counts requests that the same host refused for the same reason shortly before.
fn company_sentence(id: &str, refusal: &LogLine, all: &[LogLine]) -> String {
    let reason = field(refusal.message, "reason");
    let others = all.iter().filter(|line| {
        line.host == refusal.host
            && line.message.starts_with("request: refused")
            && (refusal.at_s - CONTEXT_S..=refusal.at_s).contains(&line.at_s)
            && field(line.message, "reason") == reason
            && field(line.message, "id") != Some(id)
    });
    let count = others.count();
    format!("Others that its host refused for this reason in the {CONTEXT_S} s before: {count}.")
}

/// Names the endpoints that restricted the requests of the host at the time of a refusal.
fn restriction_sentence(refusal: &LogLine, all: &[LogLine]) -> Option<String> {
    let mut restrictions: BTreeMap<&str, String> = BTreeMap::new();
    let earlier = all
        .iter()
        .filter(|line| line.host == refusal.host && line.at_s <= refusal.at_s);
    for line in earlier {
        let Some(endpoint) = field(line.message, "endpoint") else {
            continue;
        };
        if line.message.starts_with("endpoint: gone") {
            restrictions.remove(endpoint);
        } else if line.message.starts_with("endpoint: leaving") {
            restrictions.insert(endpoint, "is leaving".to_owned());
        } else if line.message.starts_with("endpoint: paused") {
            let pause_s = number(line.message, "pause_ms").unwrap_or(0.0) / 1_000.0;
            if line.at_s + pause_s > refusal.at_s {
                restrictions.insert(endpoint, format!("wants no request for {pause_s} s"));
            }
        } else if line.message.starts_with("endpoint: rate limit changed") {
            match field(line.message, "limit_per_s") {
                None | Some("-") => restrictions.remove(endpoint),
                Some(limit) => {
                    restrictions.insert(endpoint, format!("limits all hosts to {limit} requests/s"))
                }
            };
        }
    }
    let listed: Vec<_> = restrictions
        .iter()
        .map(|(endpoint, restriction)| format!("{endpoint} {restriction}"))
        .collect();
    (!listed.is_empty())
        .then(|| format!("Endpoints that restricted its host: {}.", listed.join(", ")))
}
