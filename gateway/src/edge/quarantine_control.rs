//! Passes what happens to requests and endpoints to the quarantine, and logs its changes.

use std::time::{Duration, Instant};

use super::state::Edge;
use crate::catalog::EndpointEntry;
use crate::ids::{ContentHash, HostAddress, IncarnationHash, hash_name};
use crate::membership::QuarantineDigest;
use crate::quarantine::{QuarantineChange, QuarantineTable, QuarantineVerdict};

impl Edge {
    /// Returns whether a request with these contents may be sent; otherwise the time until its
    /// blocked content is permitted again.
    pub(crate) fn check_quarantine(
        &self,
        id: &str,
        contents: &[ContentHash],
    ) -> Result<(), Duration> {
        let now = Instant::now();
        let table = &self.state.borrow().quarantine;
        match table.check(contents, now) {
            QuarantineVerdict::Permitted | QuarantineVerdict::Trial => Ok(()),
            QuarantineVerdict::Blocked(content) => {
                log_blocked_request(table, id, contents, content, now);
                Err(table.time_left(content, now))
            }
        }
    }

    /// Asks for leave to send a request with these contents now. Every dispatch asks: first tries,
    /// retries and resumed streams.
    pub(crate) fn admit_dispatch(&self, contents: &[ContentHash]) -> QuarantineVerdict {
        let table = &mut self.state.borrow_mut().quarantine;
        table.admit_dispatch(contents, Instant::now())
    }

    /// Records that a trial did not reach an endpoint or was not run there.
    pub(crate) fn return_trial(&self, contents: &[ContentHash]) {
        self.state.borrow_mut().quarantine.return_trial(contents);
    }

    /// Records that an endpoint closed the connection of a request before its answer went on. An
    /// endpoint that is about to stop closes connections as well.
    pub(crate) fn record_crash(&self, endpoint: &EndpointEntry, contents: &[ContentHash]) {
        if endpoint.draining {
            return;
        }
        let now = Instant::now();
        let changes = {
            let table = &mut self.state.borrow_mut().quarantine;
            let service = hash_name(&endpoint.service);
            table.record_crash(endpoint.incarnation_hash(), service, contents, now)
        };
        self.log_quarantine_changes(&changes);
    }

    pub(crate) fn record_sound_answer(&self, contents: &[ContentHash], begun: Instant) {
        let changes = {
            let table = &mut self.state.borrow_mut().quarantine;
            table.record_sound_answer(contents, begun, Instant::now())
        };
        self.log_quarantine_changes(&changes);
    }

    /// Records that an endpoint has answered a request that was sent at `asked`.
    pub(crate) fn record_endpoint_alive(&self, endpoint: &EndpointEntry, asked: Instant) {
        let changes = {
            let table = &mut self.state.borrow_mut().quarantine;
            if !table.has_crashes() {
                return;
            }
            table.record_answer(endpoint.incarnation_hash(), asked, Instant::now())
        };
        self.log_quarantine_changes(&changes);
    }

    /// Returns whether this host passes on and repeats what others report of crashes: hubs do, and
    /// all hosts of a fleet without hubs.
    fn relays_crash_reports(&self) -> bool {
        self.is_hub() || !self.is_relayed()
    }

    /// Performs the periodic work of the quarantine.
    pub(super) fn tick_quarantine(&self, now: Instant) {
        let is_relay = self.relays_crash_reports();
        let changes = {
            let state = &mut *self.state.borrow_mut();
            let table = &mut state.quarantine;
            table.set_hosts(self.settings.host, &state.live_hosts, is_relay);
            table.tick(now)
        };
        self.log_quarantine_changes(&changes);
    }

    /// Applies what another host knows of crashes.
    pub(crate) fn apply_quarantine_digest(&self, digest: &QuarantineDigest) {
        if digest.sender == self.settings.host {
            return;
        }
        let now = Instant::now();
        let changes: Vec<_> = {
            let state = &mut *self.state.borrow_mut();
            state.introduction.has_block_list |= digest.is_complete;
            let table = &mut state.quarantine;
            let reports = digest.reports.iter();
            reports
                .flat_map(|report| table.apply_report(report, now))
                .collect()
        };
        self.log_quarantine_changes(&changes);
    }

    /// Returns what this host knows of crashes, if anything is due.
    pub(crate) fn next_quarantine_digest(&self) -> Option<QuarantineDigest> {
        let repeats = self.relays_crash_reports();
        let table = &mut self.state.borrow_mut().quarantine;
        let reports = table.take_reports(repeats, Instant::now());
        (!reports.is_empty()).then_some(QuarantineDigest {
            sender: self.settings.host,
            is_complete: false,
            reports,
        })
    }

    /// Returns all that a host that was not heard before has to know of crashes.
    pub(crate) fn complete_quarantine_digest(&self) -> QuarantineDigest {
        QuarantineDigest {
            sender: self.settings.host,
            is_complete: true,
            reports: self.state.borrow().quarantine.all_reports(Instant::now()),
        }
    }

    fn log_quarantine_changes(&self, changes: &[QuarantineChange]) {
        for change in changes {
            match change {
                QuarantineChange::Crashed {
                    endpoint,
                    contents,
                    reported,
                } => {
                    self.count("endpoint_crashed");
                    log::info!(
                        endpoint = self.endpoint_name(*endpoint).as_str(), contents = hex_list(contents).as_str(),
                        source = source(*reported);
                        "quarantine: endpoint crashed"
                    );
                }
                QuarantineChange::Refuted(endpoint) => {
                    log::info!(endpoint = self.endpoint_name(*endpoint).as_str(); "quarantine: endpoint did not crash");
                }
                QuarantineChange::Blocked {
                    content,
                    crashes,
                    seen_by,
                    reported,
                } => {
                    self.count("content_blocked");
                    log::warn!(
                        content = hex(*content).as_str(), crashes = crashes, seen_by = host_list(seen_by).as_str(),
                        source = source(*reported);
                        "quarantine: content blocked"
                    );
                }
                QuarantineChange::Released { content, cleared } => {
                    self.count("content_released");
                    log::warn!(content = hex(*content).as_str(), cleared = cleared; "quarantine: content released");
                }
            }
        }
    }

    /// Returns the id of an endpoint, or its hash if it is not registered.
    fn endpoint_name(&self, incarnation: IncarnationHash) -> String {
        let state = self.state.borrow();
        let mut endpoints = state.catalog.endpoints();
        endpoints
            .find(|endpoint| endpoint.incarnation_hash() == incarnation)
            .map_or_else(|| hex(incarnation), |endpoint| endpoint.id.to_string())
    }
}

fn log_blocked_request(
    table: &QuarantineTable,
    id: &str,
    contents: &[ContentHash],
    content: ContentHash,
    now: Instant,
) {
    let Some(block) = table.block_report(content, now) else {
        return;
    };
    log::info!(
        id = id, content = hex(content).as_str(), contents = hex_list(contents).as_str(), crashes = block.crashes, last_crash_ago_ms = block.ago_ms,
        seen_by = host_list(&block.seen_by).as_str();
        "quarantine: request blocked"
    );
}

fn source(reported: bool) -> &'static str {
    if reported { "peer" } else { "own" }
}

fn hex(hash: u64) -> String {
    format!("{hash:016x}")
}

/// Renders hashes in hexadecimal, separated by commas.
pub(super) fn hex_list(hashes: &[u64]) -> String {
    let hashes: Vec<_> = hashes.iter().map(|hash| hex(*hash)).collect();
    hashes.join(",")
}

fn host_list(hosts: &[HostAddress]) -> String {
    let hosts: Vec<_> = hosts.iter().map(ToString::to_string).collect();
    hosts.join(",")
}
