//! A content that is blocked, and the requests that may still show whether it is to blame.

use std::time::{Duration, Instant};

use super::crash_evidence::CrashEvidence;
use super::quarantine_report::BlockReport;
use crate::gossip::{ReportSchedule, age_ms};
use crate::ids::{ContentHash, HostAddress};
use crate::rendezvous::hosts_before;

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

#[derive(Debug)]
pub(super) struct BlockedContent {
    pub crashes: u16,
    pub last_crash: Instant,
    /// Other contents that were in all of the crashes.
    pub companions: Vec<ContentHash>,
    pub seen_by: Vec<HostAddress>,
    pub trials: u8,
    pub last_trial: Option<Instant>,
    pub schedule: ReportSchedule,
}

impl BlockedContent {
    pub fn new(evidence: &CrashEvidence) -> Self {
        Self {
            crashes: 0,
            last_crash: evidence.last_crash,
            companions: evidence.companions.clone(),
            seen_by: Vec::new(),
            trials: 0,
            last_trial: None,
            schedule: ReportSchedule::default(),
        }
    }

    /// Adds evidence. Returns whether other hosts should hear of it.
    pub fn merge(&mut self, evidence: CrashEvidence) -> bool {
        let companions = self.companions.len();
        let in_both = |companion: &ContentHash| evidence.companions.contains(companion);
        self.companions.retain(in_both);
        self.companions.truncate(MAX_COMPANIONS);
        let is_changed = self.companions.len() < companions || self.crashes < evidence.crashes;
        self.crashes = self.crashes.max(evidence.crashes);
        self.last_crash = self.last_crash.max(evidence.last_crash);
        for host in evidence.seen_by {
            if !self.seen_by.contains(&host) && self.seen_by.len() < MAX_WITNESSES {
                self.seen_by.push(host);
            }
        }
        is_changed
    }

    /// Returns whether the host `own` may send a request with these contents to show which of
    /// several that always crashed together is to blame. The number of hosts that may grows with the
    /// time since the last crash.
    pub fn may_try(
        &self,
        content: ContentHash,
        contents: &[ContentHash],
        own: Option<HostAddress>,
        live: &[HostAddress],
        now: Instant,
    ) -> bool {
        let mut companions = self.companions.iter();
        let holds_all = companions.all(|companion| contents.contains(companion));
        if holds_all || self.trials >= MAX_TRIALS {
            return false;
        }
        let since_trial = self
            .last_trial
            .map_or(Duration::MAX, |last| now.saturating_duration_since(last));
        let Some(own) = own.filter(|_| since_trial >= TRIAL_INTERVAL) else {
            return false;
        };
        let since_crash = now.saturating_duration_since(self.last_crash);
        let doublings = since_crash.as_secs() / TRIAL_DOUBLING_TIME.as_secs();
        let chosen_hosts = 1_usize << doublings.min(16);
        hosts_before(content, own, live) < chosen_hosts
    }

    pub fn report(&self, content: ContentHash, now: Instant) -> BlockReport {
        BlockReport {
            content,
            crashes: self.crashes,
            ago_ms: age_ms(self.last_crash, now),
            companions: self.companions.clone(),
            seen_by: self.seen_by.clone(),
            trial_ago_ms: self.last_trial.map(|last| age_ms(last, now)),
        }
    }
}
