//! Exchange of the evidence with other hosts.

use std::cmp::Reverse;
use std::time::{Duration, Instant};

use super::crash_evidence::CrashEvidence;
use super::quarantine_report::{
    BlockReport, ClearReport, CrashReport, MAX_REPORTED_CONTENTS, MAX_REPORTS, QuarantineReport,
};
use super::quarantine_table::{BLOCK_TIME, MAX_CRASHES, QuarantineChange, QuarantineTable};
use crate::gossip::{age_ms, time_ago};
use crate::ids::ContentHash;

/// Time for which hosts repeat what they know of a crash that blocks nothing yet.
const CRASH_REPEAT_TIME: Duration = Duration::from_secs(10);

impl QuarantineTable {
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
