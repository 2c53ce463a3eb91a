//! The evidence of crashes, the blocked contents, and which requests may be sent.

use std::cmp::Reverse;
use std::collections::VecDeque;
use std::time::{Duration, Instant};

use super::blocked_content::BlockedContent;
use super::crash_evidence::{BEGINS_BESIDE, CrashEvidence, MIN_MOMENTS, find_culprits};
use super::crash_record::CrashRecord;
use super::quarantine_report::BlockReport;
use crate::gossip::ReportSchedule;
use crate::ids::{ContentHash, FastMap, HostAddress, IncarnationHash, NameHash};

/// Time after its last crash for which a content stays blocked, and for which crashes are remembered.
pub const BLOCK_TIME: Duration = Duration::from_mins(30);
/// Maximum number of crashes that are remembered.
pub(super) const MAX_CRASHES: usize = 128;
/// Maximum number of blocked contents.
const MAX_BLOCKED: usize = 64;
/// Maximum number of contents of which the last sound answer is remembered.
const MAX_CLEARED: usize = 4_096;
/// Time for which the last sound answer of a content is kept when there are too many.
const MIN_CLEARED_TIME: Duration = Duration::from_secs(10);

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

/// What this host and its peers have seen of crashes, and the contents that are blocked because of
/// them.
#[derive(Debug, Default)]
pub struct QuarantineTable {
    pub(super) own_host: Option<HostAddress>,
    /// Hosts that were heard recently, this one included.
    pub(super) live_hosts: Vec<HostAddress>,
    /// Whether this host passes on what other hosts report.
    pub(super) is_relay: bool,
    pub(super) crashes: Vec<CrashRecord>,
    pub(super) blocked: FastMap<ContentHash, BlockedContent>,
    /// When the last answer began that went on, by content.
    pub(super) cleared: FastMap<ContentHash, Instant>,
    pub(super) clear_reports: FastMap<ContentHash, ReportSchedule>,
    /// When the last answers of this host began that went on, whatever their contents.
    recent_begins: VecDeque<Instant>,
    /// Whether further answers alone may block a content.
    pub(super) is_pending: bool,
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
            if !block.may_try(*content, contents, self.own_host, &self.live_hosts, now) {
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
    pub(super) fn crash_at(
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
    pub(super) fn refute(
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

    pub(super) fn find_crash(&mut self, endpoint: IncarnationHash) -> Option<&mut CrashRecord> {
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
    pub(super) fn clear(&mut self, content: ContentHash, begun: Instant, now: Instant) -> bool {
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
    pub(super) fn release_cleared(&mut self, content: ContentHash) -> Option<QuarantineChange> {
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

    /// Returns the contents with which no answer has begun since `at`.
    pub(super) fn uncleared(&self, contents: &[ContentHash], at: Instant) -> Vec<ContentHash> {
        let has_begun = |content: &ContentHash| {
            let begun = self.cleared.get(content);
            begun.is_some_and(|begun| *begun >= at)
        };
        let contents = contents.iter().filter(|content| !has_begun(content));
        contents.copied().collect()
    }

    /// Blocks a content, or adds evidence to its block. `announces` tells whether other hosts are to
    /// hear of it.
    pub(super) fn block(
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
        let is_new = !self.blocked.contains_key(&content);
        let block = self.blocked.entry(content);
        let block = block.or_insert_with(|| BlockedContent::new(&evidence));
        let is_changed = block.merge(evidence);
        if (is_new || is_changed) && announces {
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
        Some(block.report(content, now))
    }

    /// Returns the time until a blocked content is permitted again.
    #[must_use]
    pub fn time_left(&self, content: ContentHash, now: Instant) -> Duration {
        let block = self.blocked.get(&content);
        block.map_or(Duration::ZERO, |block| {
            BLOCK_TIME.saturating_sub(now.saturating_duration_since(block.last_crash))
        })
    }
}
