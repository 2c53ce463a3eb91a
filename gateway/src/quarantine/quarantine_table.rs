//! The evidence of crashes, the blocked contents, and which requests may be sent.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::crash_evidence::{BEGINS_BESIDE, CrashEvidence, MIN_MOMENTS, find_culprits};
use super::crash_record::CrashRecord;
use super::quarantine_report::{
    BlockReport, ClearReport, CrashReport, MAX_REPORTED_CONTENTS, MAX_REPORTS, QuarantineReport,
};
use crate::gossip::{ReportSchedule, age_ms, time_ago};
use crate::ids::{ContentHash, FastMap, HostAddress, IncarnationHash, NameHash};
use crate::rendezvous::host_rank;

/// Time after its last crash for which a content stays blocked, and for which crashes are remembered.
pub const BLOCK_TIME: Duration = Duration::from_mins(30);
/// Maximum number of crashes that are remembered.
const MAX_CRASHES: usize = 128;
/// Maximum number of blocked contents.
const MAX_BLOCKED: usize = 64;
/// Maximum number of contents of which the last sound answer is remembered.
const MAX_CLEARED: usize = 4_096;
/// Time for which the last sound answer of a content is kept when there are too many.
const MIN_CLEARED_TIME: Duration = Duration::from_secs(10);
/// Maximum number of contents that are named as companions of a blocked one.
const MAX_COMPANIONS: usize = 8;
/// Maximum number of hosts that are named as witnesses of a block.
const MAX_WITNESSES: usize = 3;
/// Maximum number of requests that one host sends to tell a blocked content from its companions.
const MAX_TRIALS: u8 = 2;
/// Minimum time between two of them, in which the result of the first reaches all hosts.
const TRIAL_INTERVAL: Duration = Duration::from_secs(5);
/// Time in which the number of hosts that may send such a request doubles. Requests come at any
/// host, but only few of them are to be sent before their result is known.
const TRIAL_DOUBLING_TIME: Duration = Duration::from_secs(1);
/// Time for which hosts repeat what they know of a crash that blocks nothing yet.
const CRASH_REPEAT_TIME: Duration = Duration::from_secs(10);

/// Change of what is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum QuarantineChange {
    /// An endpoint crashed while it may have been about to begin the answers of some requests.
    Crashed {
        endpoint: IncarnationHash,
        contents: Vec<ContentHash>,
        reported: bool,
    },
    /// An endpoint that seemed to have crashed has answered.
    Refuted(IncarnationHash),
    Blocked {
        content: ContentHash,
        crashes: u16,
        seen_by: Vec<HostAddress>,
        reported: bool,
    },
    /// A blocked content is permitted again, because an answer went on with it or because its last
    /// crash is long past.
    Released { content: ContentHash, cleared: bool },
}

/// Whether a request may be sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QuarantineVerdict {
    Permitted,
    /// The request may be sent to tell a blocked content from its companions.
    Trial,
    /// The request holds this blocked content.
    Blocked(ContentHash),
}

#[derive(Debug)]
struct BlockedContent {
    crashes: u16,
    last_crash: Instant,
    /// Other contents that were in all of the crashes.
    companions: Vec<ContentHash>,
    seen_by: Vec<HostAddress>,
    trials: u8,
    last_trial: Option<Instant>,
    schedule: ReportSchedule,
}

/// What this host and its peers have seen of crashes, and the contents that are blocked because of
/// them.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    own_host: Option<HostAddress>,
    /// Hosts that were heard recently, this one included.
    live_hosts: Vec<HostAddress>,
    /// Whether this host passes on what other hosts report.
    is_relay: bool,
    crashes: Vec<CrashRecord>,
    blocked: FastMap<ContentHash, BlockedContent>,
    /// When the last answer began that went on, by content.
    cleared: FastMap<ContentHash, Instant>,
    clear_reports: FastMap<ContentHash, ReportSchedule>,
    /// When the last answers of this host began that went on, whatever their contents.
    recent_begins: VecDeque<Instant>,
    /// Whether further answers alone may block a content.
    is_pending: bool,
}

impl QuarantineTable {
    /// Sets this host and the hosts that were heard recently, which share out trials, and whether
    /// this host passes on what other hosts report.
    pub fn set_hosts(&mut self, own: HostAddress, live: &[HostAddress], is_relay: bool) {
        self.own_host = Some(own);
        if self.live_hosts != live {
            self.live_hosts = live.to_vec();
        }
        self.is_relay = is_relay;
    }

    /// Returns whether a request with these contents may be sent.
    #[must_use]
    pub fn check(&self, contents: &[ContentHash], now: Instant) -> QuarantineVerdict {
        let mut verdict = QuarantineVerdict::Permitted;
        for content in contents {
            let Some(block) = self.blocked.get(content) else {
                continue;
            };
            if !self.may_try(*content, block, contents, now) {
                return QuarantineVerdict::Blocked(*content);
            }
            verdict = QuarantineVerdict::Trial;
        }
        verdict
    }

    /// Asks for leave to send a request with these contents now.
    pub fn admit_dispatch(&mut self, contents: &[ContentHash], now: Instant) -> QuarantineVerdict {
        let verdict = self.check(contents, now);
        if verdict == QuarantineVerdict::Trial {
            for content in contents {
                if let Some(block) = self.blocked.get_mut(content) {
                    block.trials += 1;
                    block.last_trial = Some(now);
                    block.schedule.restart(now);
                }
            }
        }
        verdict
    }

    /// Records that a trial did not reach an endpoint or was not run there.
    pub fn return_trial(&mut self, contents: &[ContentHash]) {
        for content in contents {
            if let Some(block) = self.blocked.get_mut(content) {
                block.trials = block.trials.saturating_sub(1);
                block.last_trial = None;
            }
        }
    }

    /// Returns whether a request may show which of several contents that always crashed together is
    /// to blame.
    fn may_try(
        &self,
        content: ContentHash,
        block: &BlockedContent,
        contents: &[ContentHash],
        now: Instant,
    ) -> bool {
        let holds_all = block
            .companions
            .iter()
            .all(|companion| contents.contains(companion));
        if holds_all || block.trials >= MAX_TRIALS {
            return false;
        }
        let since_trial = block
            .last_trial
            .map_or(Duration::MAX, |last| now.saturating_duration_since(last));
        let since_crash = now.saturating_duration_since(block.last_crash);
        let Some(own) = self.own_host.filter(|_| since_trial >= TRIAL_INTERVAL) else {
            return false;
        };
        let doublings = since_crash.as_secs() / TRIAL_DOUBLING_TIME.as_secs();
        let chosen_hosts = 1_usize << doublings.min(16);
        let own_rank = host_rank(content, own);
        let ranks = self.live_hosts.iter();
        let hosts_before = ranks.filter(|host| host_rank(content, **host) < own_rank);
        hosts_before.count() < chosen_hosts
    }

    /// Records that an endpoint closed the connection of a request before its answer went on.
    pub fn record_crash(
        &mut self,
        endpoint: IncarnationHash,
        service: NameHash,
        contents: &[ContentHash],
        now: Instant,
    ) -> Vec<QuarantineChange> {
        let seen_by: Vec<_> = self.own_host.into_iter().collect();
        if contents.is_empty() {
            return Vec::new();
        }
        let record = self.crash_at(endpoint, service, now);
        if !record.merge(now, contents, &seen_by) {
            return Vec::new();
        }
        record.schedule.restart(now);
        self.is_pending = true;
        vec![QuarantineChange::Crashed {
            endpoint,
            contents: contents.to_vec(),
            reported: false,
        }]
    }

    /// Returns the record of an endpoint's crash at `at`. An earlier loss of a connection that was
    /// no crash is forgotten.
    fn crash_at(
        &mut self,
        endpoint: IncarnationHash,
        service: NameHash,
        at: Instant,
    ) -> &mut CrashRecord {
        let mut known = self.crashes.iter();
        let index = known.position(|record| record.endpoint == endpoint);
        let index = index.unwrap_or_else(|| {
            self.crashes.push(CrashRecord::new(endpoint, service, at));
            self.crashes.len() - 1
        });
        let record = &mut self.crashes[index];
        if record.refuted_at.is_some_and(|refuted_at| at > refuted_at) {
            *record = CrashRecord::new(endpoint, service, at);
        }
        record
    }

    /// Records that an endpoint has answered a request that was sent at `asked`.
    pub fn record_answer(
        &mut self,
        endpoint: IncarnationHash,
        asked: Instant,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        match self.find_crash(endpoint) {
            Some(record) if record.is_refuted_by(asked) => {
                record.schedule.restart(now);
                self.refute(endpoint, asked, now)
            }
            Some(_) | None => Vec::new(),
        }
    }

    /// Marks a crash as refuted, and releases the contents against which too little is left.
    fn refute(
        &mut self,
        endpoint: IncarnationHash,
        refuted_at: Instant,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        let Some(record) = self.find_crash(endpoint) else {
            return Vec::new();
        };
        record.refuted_at = Some(refuted_at);
        let contents = record.contents.clone();
        let mut changes = vec![QuarantineChange::Refuted(endpoint)];
        for content in contents {
            let Some(block) = self.blocked.get(&content) else {
                continue;
            };
            let refuted = self.crashes.iter();
            let refuted = refuted.filter(|crash| crash.is_refuted() && crash.holds(content));
            if usize::from(block.crashes).saturating_sub(refuted.count()) < MIN_MOMENTS {
                let last_crash = block.last_crash;
                self.clear(content, last_crash, now);
                self.clear_reports.entry(content).or_default().restart(now);
                changes.extend(self.release_cleared(content));
            }
        }
        changes
    }

    fn find_crash(&mut self, endpoint: IncarnationHash) -> Option<&mut CrashRecord> {
        let mut crashes = self.crashes.iter_mut();
        crashes.find(|record| record.endpoint == endpoint)
    }

    /// Records that the answer of a request with these contents began at `begun` and went on.
    pub fn record_sound_answer(
        &mut self,
        contents: &[ContentHash],
        begun: Instant,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        if self.recent_begins.len() >= BEGINS_BESIDE {
            self.recent_begins.pop_front();
        }
        self.recent_begins.push_back(begun);
        let mut changes = Vec::new();
        for content in contents {
            if self.clear(*content, begun, now) {
                self.clear_reports.entry(*content).or_default().restart(now);
                changes.extend(self.release_cleared(*content));
            }
        }
        if self.is_pending {
            changes.extend(self.evaluate(now));
        }
        changes
    }

    /// Remembers when an answer with a content began. Returns whether that contradicts the evidence
    /// against it.
    fn clear(&mut self, content: ContentHash, begun: Instant, now: Instant) -> bool {
        let last = self.cleared.get(&content).copied();
        if last.is_some_and(|last| last >= begun) {
            return false;
        }
        if self.cleared.len() >= MAX_CLEARED {
            self.cleared
                .retain(|_, begun| now.saturating_duration_since(*begun) < MIN_CLEARED_TIME);
            if self.cleared.len() >= MAX_CLEARED {
                self.cleared.clear();
            }
        }
        self.cleared.insert(content, begun);
        let is_contradicted = |at: Instant| last.is_none_or(|last| at > last) && at <= begun;
        for block in self.blocked.values_mut() {
            if begun >= block.last_crash {
                block.companions.retain(|companion| *companion != content);
            }
        }
        let block = self.blocked.get(&content);
        let mut contradicts = block.is_some_and(|block| is_contradicted(block.last_crash));
        for record in &mut self.crashes {
            contradicts |= record.at <= begun && record.remove(content);
        }
        contradicts
    }

    /// Releases a blocked content if an answer with it has begun since its last crash.
    fn release_cleared(&mut self, content: ContentHash) -> Option<QuarantineChange> {
        let begun = self.cleared.get(&content)?;
        self.blocked
            .get(&content)
            .filter(|block| block.last_crash <= *begun)?;
        self.blocked.remove(&content);
        Some(QuarantineChange::Released {
            content,
            cleared: true,
        })
    }

    /// Applies what another host has seen.
    pub fn apply_report(
        &mut self,
        report: &QuarantineReport,
        now: Instant,
    ) -> Vec<QuarantineChange> {
        match report {
            QuarantineReport::Crash(report) => self.apply_crash(report, now),
            QuarantineReport::Block(report) => self.apply_block(report, now).into_iter().collect(),
            QuarantineReport::Clear(report) => self.apply_clear(*report, now).into_iter().collect(),
        }
    }

    fn apply_crash(&mut self, report: &CrashReport, now: Instant) -> Vec<QuarantineChange> {
        let at = time_ago(report.ago_ms, now);
        let is_known = self.find_crash(report.endpoint).is_some();
        if !is_known && (report.refuted || self.crashes.len() >= 2 * MAX_CRASHES) {
            return Vec::new();
        }
        let contents = self.uncleared(&report.contents, at);
        self.repeat_clears(&report.contents, &contents, now);
        let is_relay = self.is_relay;
        let record = self.crash_at(report.endpoint, report.service, at);
        let is_new = record.merge(at, &contents, &report.seen_by);
        let is_refuted = report.refuted && !record.is_refuted();
        if is_relay && (is_new || is_refuted) {
            record.schedule.restart(now);
        }
        if is_refuted {
            return self.refute(report.endpoint, now, now);
        }
        self.is_pending |= is_new;
        if is_known || contents.is_empty() {
            return Vec::new();
        }
        vec![QuarantineChange::Crashed {
            endpoint: report.endpoint,
            contents,
            reported: true,
        }]
    }

    /// Reports once more that answers with some of the `reported` contents have begun, to hosts that
    /// have not heard it.
    fn repeat_clears(&mut self, reported: &[ContentHash], uncleared: &[ContentHash], now: Instant) {
        if !self.is_relay {
            return;
        }
        let cleared = reported
            .iter()
            .filter(|content| !uncleared.contains(content));
        for content in cleared {
            let schedule = self.clear_reports.entry(*content).or_default();
            if !schedule.is_scheduled() {
                schedule.restart(now);
            }
        }
    }

    fn apply_block(&mut self, report: &BlockReport, now: Instant) -> Option<QuarantineChange> {
        let last_crash = time_ago(report.ago_ms, now);
        let is_cleared = self
            .cleared
            .get(&report.content)
            .is_some_and(|begun| *begun >= last_crash);
        if is_cleared || now.saturating_duration_since(last_crash) >= BLOCK_TIME {
            return None;
        }
        let is_new = !self.blocked.contains_key(&report.content);
        let evidence = CrashEvidence {
            crashes: report.crashes,
            last_crash,
            companions: self.uncleared(&report.companions, last_crash),
            seen_by: report.seen_by.clone(),
        };
        let is_relay = self.is_relay;
        self.block(report.content, evidence, is_relay, now);
        if let Some(block) = self.blocked.get_mut(&report.content) {
            let trial = report.trial_ago_ms.map(|ago_ms| time_ago(ago_ms, now));
            if trial > block.last_trial && is_relay {
                block.schedule.restart(now);
            }
            block.last_trial = block.last_trial.max(trial);
        }
        is_new.then(|| QuarantineChange::Blocked {
            content: report.content,
            crashes: report.crashes,
            seen_by: report.seen_by.clone(),
            reported: true,
        })
    }

    /// Returns the contents with which no answer has begun since `at`.
    fn uncleared(&self, contents: &[ContentHash], at: Instant) -> Vec<ContentHash> {
        let has_begun = |content: &ContentHash| {
            let begun = self.cleared.get(content);
            begun.is_some_and(|begun| *begun >= at)
        };
        let contents = contents.iter().filter(|content| !has_begun(content));
        contents.copied().collect()
    }

    fn apply_clear(&mut self, report: ClearReport, now: Instant) -> Option<QuarantineChange> {
        let begun = time_ago(report.ago_ms, now);
        if self.clear(report.content, begun, now) && self.is_relay {
            self.clear_reports
                .entry(report.content)
                .or_default()
                .restart(now);
        }
        self.release_cleared(report.content)
    }

    /// Blocks a content, or adds evidence to its block. `announces` tells whether other hosts are to
    /// hear of it.
    fn block(
        &mut self,
        content: ContentHash,
        evidence: CrashEvidence,
        announces: bool,
        now: Instant,
    ) {
        if !self.blocked.contains_key(&content) && self.blocked.len() >= MAX_BLOCKED {
            let weakest = self.blocked.iter();
            let weakest = weakest.min_by_key(|(_, block)| (block.crashes, block.last_crash));
            if let Some(weakest) = weakest.map(|(content, _)| *content) {
                self.blocked.remove(&weakest);
            }
        }
        let mut is_changed = false;
        let block = self.blocked.entry(content).or_insert_with(|| {
            is_changed = true;
            BlockedContent {
                crashes: 0,
                last_crash: evidence.last_crash,
                companions: evidence.companions.clone(),
                seen_by: Vec::new(),
                trials: 0,
                last_trial: None,
                schedule: ReportSchedule::default(),
            }
        });
        let companions = block.companions.len();
        let in_both = |companion: &ContentHash| evidence.companions.contains(companion);
        block.companions.retain(in_both);
        block.companions.truncate(MAX_COMPANIONS);
        is_changed |= block.companions.len() < companions || block.crashes < evidence.crashes;
        block.crashes = block.crashes.max(evidence.crashes);
        block.last_crash = block.last_crash.max(evidence.last_crash);
        for host in evidence.seen_by {
            if !block.seen_by.contains(&host) && block.seen_by.len() < MAX_WITNESSES {
                block.seen_by.push(host);
            }
        }
        if is_changed && announces {
            block.schedule.restart(now);
        }
    }

    /// Blocks the contents against which there is enough evidence.
    fn evaluate(&mut self, now: Instant) -> Vec<QuarantineChange> {
        let list = find_culprits(&self.crashes, &self.cleared, &self.recent_begins);
        self.is_pending = list.is_pending;
        let mut changes = Vec::new();
        for (content, evidence) in list.culprits {
            if !self.blocked.contains_key(&content) {
                changes.push(QuarantineChange::Blocked {
                    content,
                    crashes: evidence.crashes,
                    seen_by: evidence.seen_by.clone(),
                    reported: false,
                });
            }
            self.block(content, evidence, true, now);
        }
        changes
    }

    /// Performs the periodic work: forgets what is long past, and weighs new evidence.
    pub fn tick(&mut self, now: Instant) -> Vec<QuarantineChange> {
        let mut changes = Vec::new();
        if self.crashes.is_empty() && self.blocked.is_empty() {
            return changes;
        }
        let is_past = |at: Instant| now.saturating_duration_since(at) >= BLOCK_TIME;
        self.crashes.retain(|record| !is_past(record.at));
        self.blocked.retain(|content, block| {
            let is_kept = !is_past(block.last_crash);
            if !is_kept {
                changes.push(QuarantineChange::Released {
                    content: *content,
                    cleared: false,
                });
            }
            is_kept
        });
        self.evict_crashes();
        if self.is_pending {
            changes.extend(self.evaluate(now));
        }
        changes
    }

    /// Forgets the crashes with the least evidence if there are too many.
    fn evict_crashes(&mut self) {
        if self.crashes.len() <= MAX_CRASHES {
            return;
        }
        let mut counts: FastMap<ContentHash, usize> = FastMap::default();
        let sound = self.crashes.iter().filter(|record| !record.is_refuted());
        for content in sound.flat_map(|record| &record.contents) {
            *counts.entry(*content).or_default() += 1;
        }
        self.crashes.sort_by_cached_key(|record| {
            let counts = record
                .contents
                .iter()
                .filter_map(|content| counts.get(content));
            let most = counts.max().copied().unwrap_or_default();
            Reverse((!record.is_refuted(), most, record.at))
        });
        self.crashes.truncate(MAX_CRASHES);
    }

    /// Returns whether any crash is remembered.
    #[must_use]
    pub fn has_crashes(&self) -> bool {
        !self.crashes.is_empty()
    }

    /// Returns the number of blocked contents.
    #[must_use]
    pub fn blocked_count(&self) -> usize {
        self.blocked.len()
    }

    /// Returns the number of crashes and the hosts that saw some of them, for a blocked content.
    #[must_use]
    pub fn block_report(&self, content: ContentHash, now: Instant) -> Option<BlockReport> {
        let block = self.blocked.get(&content)?;
        Some(BlockReport {
            content,
            crashes: block.crashes,
            ago_ms: age_ms(block.last_crash, now),
            companions: block.companions.clone(),
            seen_by: block.seen_by.clone(),
            trial_ago_ms: block.last_trial.map(|last| age_ms(last, now)),
        })
    }

    /// Returns the time until a blocked content is permitted again.
    #[must_use]
    pub fn time_left(&self, content: ContentHash, now: Instant) -> Duration {
        let block = self.blocked.get(&content);
        block.map_or(Duration::ZERO, |block| {
            BLOCK_TIME.saturating_sub(now.saturating_duration_since(block.last_crash))
        })
    }

    /// Returns all that a host that was not heard before has to know.
    #[must_use]
    pub fn all_reports(&self, now: Instant) -> Vec<QuarantineReport> {
        let blocks = self.blocked.keys();
        let blocks = blocks.filter_map(|content| self.block_report(*content, now));
        let mut blocks: Vec<_> = blocks.collect();
        blocks.sort_unstable_by_key(|block| (Reverse(block.crashes), block.content));
        let mut crashes: Vec<_> = self
            .crashes
            .iter()
            .filter(|crash| !crash.is_refuted())
            .collect();
        crashes.sort_unstable_by_key(|crash| Reverse(crash.at));
        let crashes = crashes.into_iter().map(|crash| crash.report(now));
        blocks
            .into_iter()
            .map(QuarantineReport::Block)
            .chain(crashes.map(QuarantineReport::Crash))
            .take(MAX_REPORTS)
            .collect()
    }

    /// Returns the reports that are due, for other hosts. `repeats` tells whether this host also
    /// repeats what has not changed.
    pub fn take_reports(&mut self, repeats: bool, now: Instant) -> Vec<QuarantineReport> {
        let mut reports = Vec::new();
        let mut blocked: Vec<_> = self.blocked.keys().copied().collect();
        blocked.sort_unstable();
        for content in blocked {
            let report = self.block_report(content, now).map(QuarantineReport::Block);
            let block = self.blocked.get_mut(&content);
            if let (Some(block), Some(report)) = (block, report)
                && block.schedule.due_since(now).is_some()
                && reports.len() < MAX_REPORTS
            {
                block.schedule.advance(repeats, now);
                reports.push(report);
            }
        }
        let mut contents_left = MAX_REPORTED_CONTENTS;
        for crash in &mut self.crashes {
            let is_due = crash.schedule.due_since(now).is_some();
            let fits = crash.contents.len() <= contents_left && reports.len() < MAX_REPORTS;
            if is_due && fits {
                contents_left -= crash.contents.len();
                let age = now.saturating_duration_since(crash.at);
                crash
                    .schedule
                    .advance(repeats && age < CRASH_REPEAT_TIME, now);
                reports.push(QuarantineReport::Crash(crash.report(now)));
            }
        }
        for (content, schedule) in &mut self.clear_reports {
            if schedule.due_since(now).is_some()
                && reports.len() < MAX_REPORTS
                && let Some(begun) = self.cleared.get(content)
            {
                schedule.advance(false, now);
                reports.push(QuarantineReport::Clear(ClearReport {
                    content: *content,
                    ago_ms: age_ms(*begun, now),
                }));
            }
        }
        let cleared = &self.cleared;
        self.clear_reports
            .retain(|content, schedule| schedule.is_scheduled() && cleared.contains_key(content));
        reports
    }
}
