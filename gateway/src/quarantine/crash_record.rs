//! The crash of one incarnation of an endpoint, as hosts saw it.

use std::time::{Duration, Instant};

use super::quarantine_report::CrashReport;
use crate::gossip::{ReportSchedule, age_ms};
use crate::ids::{ContentHash, HostAddress, IncarnationHash, NameHash};

/// Maximum number of contents of one crash. A batch has fewer requests before their first event.
const MAX_CONTENTS: usize = 64;
/// Maximum number of hosts that are named as witnesses.
const MAX_WITNESSES: usize = 3;
/// Time after a lost connection within which an answer shows that the endpoint did not crash. Later,
/// it may have started again under the same id.
const REFUTATION_TIME: Duration = Duration::from_millis(1_500);

#[derive(Debug)]
pub(super) struct CrashRecord {
    pub endpoint: IncarnationHash,
    pub service: NameHash,
    pub at: Instant,
    /// Sorted contents of the requests whose answers the endpoint may have been about to begin.
    pub contents: Vec<ContentHash>,
    pub seen_by: Vec<HostAddress>,
    /// When a request was sent that the endpoint has answered since, so that only a connection was
    /// lost.
    pub refuted_at: Option<Instant>,
    pub schedule: ReportSchedule,
}

impl CrashRecord {
    pub fn new(endpoint: IncarnationHash, service: NameHash, at: Instant) -> Self {
        Self {
            endpoint,
            service,
            at,
            contents: Vec::new(),
            seen_by: Vec::new(),
            refuted_at: None,
            schedule: ReportSchedule::default(),
        }
    }

    /// Adds what another request or host has seen of the crash. Returns whether that is new.
    pub fn merge(
        &mut self,
        at: Instant,
        contents: &[ContentHash],
        seen_by: &[HostAddress],
    ) -> bool {
        self.at = self.at.min(at);
        let mut is_new = false;
        for content in contents {
            if let Err(index) = self.contents.binary_search(content)
                && self.contents.len() < MAX_CONTENTS
            {
                self.contents.insert(index, *content);
                is_new = true;
            }
        }
        for host in seen_by {
            if !self.seen_by.contains(host) && self.seen_by.len() < MAX_WITNESSES {
                self.seen_by.push(*host);
            }
        }
        is_new
    }

    /// Returns whether an answer to a request sent at `asked` shows that this was no crash.
    pub fn is_refuted_by(&self, asked: Instant) -> bool {
        !self.is_refuted() && asked > self.at && asked.duration_since(self.at) <= REFUTATION_TIME
    }

    /// Removes a content; returns whether it was there.
    pub fn remove(&mut self, content: ContentHash) -> bool {
        let index = self.contents.binary_search(&content);
        index.is_ok_and(|index| self.contents.remove(index) == content)
    }

    pub fn is_refuted(&self) -> bool {
        self.refuted_at.is_some()
    }

    pub fn holds(&self, content: ContentHash) -> bool {
        self.contents.binary_search(&content).is_ok()
    }

    pub fn report(&self, now: Instant) -> CrashReport {
        CrashReport {
            endpoint: self.endpoint,
            service: self.service,
            ago_ms: age_ms(self.at, now),
            contents: self.contents.clone(),
            seen_by: self.seen_by.clone(),
            refuted: self.is_refuted(),
        }
    }
}
