//! What the holder of the duties knows of each reporting window: the counts of all hosts, and
//! whether the window has been recorded and reported.

use std::collections::BTreeMap;
use std::time::Duration;

use super::{BootTime, DutyReply, UsageRecord, WindowCounts, WindowNumber, millis};
use crate::ids::{FastMap, HostAddress, Incarnation, NameHash, WorkspaceName};

/// Time after the end of a window for which requests may still be added to it: an answer that begins
/// a moment after its request began to run.
const SETTLE_TIME: Duration = Duration::from_millis(300);
/// Part of the permitted delay of a report for which the holder waits for hosts that don't answer.
const WAIT_DIVISOR: u32 = 2;
/// Number of permitted delays after which a report is given up.
const MAX_DELAYS: u32 = 3;
/// Windows that are kept after they were reported, for counts that arrive late.
const MAX_WINDOWS: usize = 16;

/// The last reply of one incarnation of a host.
#[derive(Debug)]
struct HostCounts {
    since_ms: u64,
    /// The fleet's time up to which the counts are complete.
    fleet_ms: u64,
    windows: BTreeMap<WindowNumber, Vec<(NameHash, u32)>>,
}

#[derive(Clone, Debug, PartialEq, Eq)]
struct WindowReport {
    counts: BTreeMap<WorkspaceName, u64>,
    /// Whether the counts are final because they are in the log or were.
    is_recorded: bool,
    /// Whether the log lacks the counts.
    must_record: bool,
    is_accepted: bool,
    attempts: u32,
    /// Time before which the report is not sent again.
    next_send: BootTime,
}

/// Time limits of the reports, in milliseconds.
#[derive(Clone, Copy, Debug)]
struct ReportTimes {
    window_ms: u64,
    late_ms: u64,
}

impl ReportTimes {
    fn end_ms(self, window: WindowNumber) -> u64 {
        window.saturating_add(1).saturating_mul(self.window_ms)
    }
}

/// The counts and reports of the windows since a holder took over.
#[derive(Debug)]
pub struct UsageLedger {
    times: ReportTimes,
    hosts: FastMap<(HostAddress, Incarnation), HostCounts>,
    reports: BTreeMap<WindowNumber, WindowReport>,
    /// The first window that is not counted yet.
    next_window: Option<WindowNumber>,
    last_accepted: Option<WindowNumber>,
    given_up: u64,
}

impl UsageLedger {
    /// `late`: the time after the end of a window within which its report is due.
    #[must_use]
    pub fn new(window: Duration, late: Duration) -> Self {
        Self {
            times: ReportTimes {
                window_ms: millis(window).max(1),
                late_ms: millis(late),
            },
            hosts: FastMap::default(),
            reports: BTreeMap::new(),
            next_window: None,
            last_accepted: None,
            given_up: 0,
        }
    }

    /// Returns the first window whose counts are wanted from the hosts.
    #[must_use]
    pub fn next_window(&self) -> Option<WindowNumber> {
        self.next_window
    }

    /// Returns the last window whose report was accepted, and how many reports were given up.
    #[must_use]
    pub fn progress(&self) -> (Option<WindowNumber>, u64) {
        (self.last_accepted, self.given_up)
    }

    /// Starts to count windows from `first` on, after this host has taken over. Windows that are
    /// recorded are reported once more, because their reports may not have arrived.
    pub fn take_over(&mut self, first: WindowNumber, recorded: &[UsageRecord], fleet_ms: u64) {
        let max_age = self.times.late_ms * u64::from(MAX_DELAYS);
        // Another holder may have counted these windows meanwhile.
        self.reports.retain(|_, report| report.is_recorded);
        for record in recorded {
            if fleet_ms.saturating_sub(self.times.end_ms(record.window)) > max_age {
                continue;
            }
            let report = self.reports.entry(record.window);
            let report = report.or_insert_with(|| WindowReport {
                counts: BTreeMap::new(),
                is_recorded: true,
                must_record: false,
                is_accepted: false,
                attempts: 0,
                next_send: BootTime::ZERO,
            });
            report.counts.clone_from(&record.counts);
            report.is_recorded = true;
            report.must_record = false;
        }
        let after_reports = self.reports.keys().next_back().map(|window| window + 1);
        let oldest_due = fleet_ms.saturating_sub(max_age) / self.times.window_ms;
        let next = first.max(oldest_due).max(after_reports.unwrap_or(0));
        self.next_window = Some(self.next_window.unwrap_or(0).max(next));
    }

    /// Has all windows recorded again, because the log has lost records.
    pub fn record_again(&mut self) {
        for report in self.reports.values_mut() {
            report.must_record = true;
        }
    }

    /// Applies the counts of a host.
    pub fn apply_reply(&mut self, reply: &DutyReply) {
        let key = (reply.sender, reply.incarnation);
        let host = self.hosts.entry(key).or_insert_with(|| HostCounts {
            since_ms: reply.since_ms,
            fleet_ms: reply.fleet_ms,
            windows: BTreeMap::new(),
        });
        if reply.fleet_ms < host.fleet_ms {
            return;
        }
        host.fleet_ms = reply.fleet_ms;
        host.since_ms = reply.since_ms;
        for WindowCounts { window, counts } in &reply.windows {
            host.windows.insert(*window, counts.clone());
        }
    }

    /// Closes windows that have ended: once all `hosts` have told their counts, or after a wait.
    /// Windows are closed in order. Returns whether a window was closed.
    pub fn close_windows(
        &mut self,
        hosts: &[HostAddress],
        names: &FastMap<NameHash, WorkspaceName>,
        fleet_ms: u64,
    ) -> bool {
        let mut is_closed = false;
        while let Some(window) = self.next_window {
            let settled_ms = self.times.end_ms(window) + millis(SETTLE_TIME);
            if fleet_ms < settled_ms {
                break;
            }
            let missing = hosts
                .iter()
                .filter(|host| !self.is_counted(**host, settled_ms));
            let missing = missing.count();
            let max_wait_ms = self.times.late_ms / u64::from(WAIT_DIVISOR);
            if missing > 0 && fleet_ms < settled_ms + max_wait_ms {
                break;
            }
            self.next_window = Some(window + 1);
            let end_ms = self.times.end_ms(window);
            if self.hosts.values().all(|host| host.since_ms >= end_ms) {
                log::warn!(window = window; "duties: no host has counted the window");
                self.given_up += 1;
                continue;
            }
            self.close(window, missing, names);
            is_closed = true;
        }
        is_closed
    }

    fn is_counted(&self, host: HostAddress, until_ms: u64) -> bool {
        let counts = self.hosts.iter().filter(|((known, _), _)| *known == host);
        counts
            .into_iter()
            .any(|(_, counts)| counts.fleet_ms >= until_ms)
    }

    fn close(
        &mut self,
        window: WindowNumber,
        missing: usize,
        names: &FastMap<NameHash, WorkspaceName>,
    ) {
        let mut sums: BTreeMap<WorkspaceName, u64> = BTreeMap::new();
        let mut unnamed: u64 = 0;
        for host in self.hosts.values_mut() {
            for (workspace, count) in host.windows.remove(&window).unwrap_or_default() {
                match names.get(&workspace) {
                    Some(name) => *sums.entry(name.clone()).or_default() += u64::from(count),
                    None => unnamed += u64::from(count),
                }
            }
            host.windows.retain(|later, _| *later > window);
        }
        let requests: u64 = sums.values().sum();
        log::info!(
            window = window, requests = requests, workspaces = sums.len(), hosts_missing = missing,
            unnamed = unnamed;
            "duties: window counted"
        );
        let report = WindowReport {
            counts: sums,
            is_recorded: false,
            must_record: true,
            is_accepted: false,
            attempts: 0,
            next_send: BootTime::ZERO,
        };
        self.reports.insert(window, report);
        while self.reports.len() > MAX_WINDOWS {
            self.reports.pop_first();
        }
        let oldest_ms = self.times.end_ms(window);
        let max_silence_ms = self.times.late_ms * u64::from(MAX_DELAYS);
        self.hosts
            .retain(|_, host| oldest_ms.saturating_sub(host.fleet_ms) <= max_silence_ms);
    }

    /// Returns the records of windows that are counted and not recorded yet.
    #[must_use]
    pub fn unrecorded(&self) -> Vec<UsageRecord> {
        let reports = self.reports.iter().filter(|(_, report)| report.must_record);
        reports
            .map(|(window, report)| UsageRecord {
                window: *window,
                counts: report.counts.clone(),
            })
            .collect()
    }

    /// Notes that a record is in the log, so that its report may be sent.
    pub fn mark_recorded(&mut self, record: &UsageRecord) {
        if let Some(report) = self.reports.get_mut(&record.window) {
            let is_same = report.counts == record.counts;
            report.is_recorded |= is_same;
            report.must_record &= !is_same;
        }
    }

    /// Returns the next report to be sent.
    pub fn next_report(&mut self, fleet_ms: u64, now: BootTime) -> Option<UsageRecord> {
        let max_age = self.times.late_ms * u64::from(MAX_DELAYS);
        for (window, report) in &mut self.reports {
            let is_open = !report.is_accepted;
            if is_open && fleet_ms.saturating_sub(self.times.end_ms(*window)) > max_age {
                report.is_accepted = true;
                self.given_up += 1;
                log::error!(window = *window, attempts = report.attempts; "duties: usage report given up");
            }
        }
        let due = self.reports.iter().find(|(_, report)| {
            !report.must_record && !report.is_accepted && now >= report.next_send
        });
        due.map(|(window, report)| UsageRecord {
            window: *window,
            counts: report.counts.clone(),
        })
    }

    /// Notes that the platform has accepted the report of a window.
    pub fn mark_accepted(&mut self, window: WindowNumber) {
        if let Some(report) = self.reports.get_mut(&window) {
            report.is_accepted = true;
            self.last_accepted = self.last_accepted.max(Some(window));
        }
    }

    /// Delays the next attempt to send the report of a window.
    pub fn delay_report(&mut self, window: WindowNumber, backoff: Duration, now: BootTime) {
        if let Some(report) = self.reports.get_mut(&window) {
            report.attempts += 1;
            report.next_send = now + backoff;
        }
    }

    /// Returns the time since the end of the oldest window that has ended and isn't reported.
    #[must_use]
    pub fn lag(&self, fleet_ms: u64) -> Duration {
        let open = self.reports.iter().find(|(_, report)| !report.is_accepted);
        let oldest = open.map(|(window, _)| *window).or(self.next_window);
        let lag_ms = oldest.map_or(0, |window| {
            fleet_ms.saturating_sub(self.times.end_ms(window))
        });
        Duration::from_millis(lag_ms)
    }
}
