//! Weighs the evidence of crashes against the contents that were running.
//!
//! A content is to blame if it was among the requests that several endpoints were about to answer
//! when they crashed, at different moments, if no answer with it has begun since the first of these
//! crashes while others have. Few crashes are enough if most of those of that time have it in common.
//! Endpoints that end together, such as those of a rack or zone, are one piece of evidence.

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::crash_record::CrashRecord;
use crate::ids::{ContentHash, FastMap, FastSet, HostAddress, NameHash};

/// Number of moments of crashes that block a content.
pub(super) const MIN_MOMENTS: usize = 3;
/// Number of crashes that block a content whatever crashes beside it.
const SUFFICIENT_CRASHES: usize = 5;
/// Time within which crashes count as one moment.
const MOMENT_TIME: Duration = Duration::from_millis(250);
/// Number of answers that must have begun at this host since the first crash. While hardly any do,
/// the cause is a more general one.
pub(super) const BEGINS_BESIDE: usize = 3;

/// The crashes that speak against one content.
#[derive(Clone, Debug)]
pub struct CrashEvidence {
    pub crashes: u16,
    pub last_crash: Instant,
    /// Other contents that were in all of these crashes.
    pub companions: Vec<ContentHash>,
    pub seen_by: Vec<HostAddress>,
}

/// Contents that are to blame.
#[derive(Debug, Default)]
pub(super) struct CulpritList {
    pub culprits: Vec<(ContentHash, CrashEvidence)>,
    /// Whether further answers alone may add a content.
    pub is_pending: bool,
}

/// A crash, and the moment to which it belongs.
struct TimedCrash<'a> {
    record: &'a CrashRecord,
    moment: usize,
}

/// Returns the contents that are to blame for the crashes. Crashes of one service say nothing about
/// those of another.
pub(super) fn find_culprits(
    crashes: &[CrashRecord],
    cleared: &FastMap<ContentHash, Instant>,
    recent_begins: &VecDeque<Instant>,
) -> CulpritList {
    let mut by_service: FastMap<NameHash, Vec<&CrashRecord>> = FastMap::default();
    for record in crashes.iter().filter(|record| !record.is_refuted()) {
        by_service.entry(record.service).or_default().push(record);
    }
    let mut list = CulpritList::default();
    for records in by_service.into_values() {
        add_culprits(&mut list, records, cleared, recent_begins);
    }
    list.culprits.sort_unstable_by_key(|(content, _)| *content);
    list
}

/// Adds the contents that are to blame for the crashes of one service.
fn add_culprits(
    list: &mut CulpritList,
    records: Vec<&CrashRecord>,
    cleared: &FastMap<ContentHash, Instant>,
    recent_begins: &VecDeque<Instant>,
) {
    let crashes = sort_into_moments(records);
    let mut by_content: FastMap<ContentHash, Vec<usize>> = FastMap::default();
    for (index, crash) in crashes.iter().enumerate() {
        for content in &crash.record.contents {
            let begun = cleared.get(content);
            if begun.is_none_or(|begun| *begun < crash.record.at) {
                by_content.entry(*content).or_default().push(index);
            }
        }
    }
    for (content, indices) in &by_content {
        let moments: FastSet<usize> = indices.iter().map(|index| crashes[*index].moment).collect();
        let has_few_crashes = indices.len() < SUFFICIENT_CRASHES;
        if moments.len() < MIN_MOMENTS || has_few_crashes && !is_in_most_moments(indices, &crashes)
        {
            continue;
        }
        let first = crashes[indices[0]].record.at;
        let have_others_begun = recent_begins.len() >= BEGINS_BESIDE && recent_begins[0] >= first;
        if !have_others_begun {
            list.is_pending = true;
            continue;
        }
        let evidence = collect_evidence(*content, indices, &crashes, &by_content);
        list.culprits.push((*content, evidence));
    }
}

/// Sorts the crashes by time and numbers the moments at which they happened.
fn sort_into_moments(mut records: Vec<&CrashRecord>) -> Vec<TimedCrash<'_>> {
    records.sort_unstable_by_key(|record| (record.at, record.endpoint));
    let mut timed: Vec<TimedCrash> = Vec::with_capacity(records.len());
    let mut moment_start = None;
    let mut moment = 0;
    for record in records {
        let start = *moment_start.get_or_insert(record.at);
        if record.at.duration_since(start) > MOMENT_TIME {
            moment_start = Some(record.at);
            moment += 1;
        }
        timed.push(TimedCrash { record, moment });
    }
    timed
}

/// Returns whether the crashes at `indices` make up most of all crashes since the first of them. A
/// moment counts by the share of its crashes, so that neither a lost rack hides a content nor all
/// that runs in a lost rack is to blame.
#[expect(clippy::cast_precision_loss, reason = "at most some hundred crashes")]
fn is_in_most_moments(indices: &[usize], crashes: &[TimedCrash]) -> bool {
    let first = crashes[indices[0]].moment;
    let last = crashes.last().map_or(first, |crash| crash.moment);
    let mut totals = vec![0_usize; last - first + 1];
    let mut counts = totals.clone();
    let since_first = crashes.iter().filter(|crash| crash.moment >= first);
    since_first.for_each(|crash| totals[crash.moment - first] += 1);
    for index in indices {
        counts[crashes[*index].moment - first] += 1;
    }
    let shares = counts.iter().zip(&totals);
    let share: f64 = shares
        .map(|(count, total)| *count as f64 / (*total).max(1) as f64)
        .sum();
    share * 2.0 >= totals.len() as f64
}

fn collect_evidence(
    content: ContentHash,
    indices: &[usize],
    crashes: &[TimedCrash],
    by_content: &FastMap<ContentHash, Vec<usize>>,
) -> CrashEvidence {
    let is_companion = |other: &ContentHash| {
        *other != content
            && by_content
                .get(other)
                .is_some_and(|others| indices.iter().all(|index| others.contains(index)))
    };
    let first = crashes[indices[0]].record;
    let companions = first.contents.iter().copied().filter(is_companion);
    let mut seen_by = Vec::new();
    for host in indices
        .iter()
        .flat_map(|index| &crashes[*index].record.seen_by)
    {
        if !seen_by.contains(host) {
            seen_by.push(*host);
        }
    }
    let last = indices.iter().map(|index| crashes[*index].record.at).max();
    CrashEvidence {
        crashes: u16::try_from(indices.len()).unwrap_or(u16::MAX),
        last_crash: last.unwrap_or(first.at),
        companions: companions.collect(),
        seen_by,
    }
}
