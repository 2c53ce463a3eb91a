//! Sessions of the monitor of a host's contact with endpoints.

use std::time::{Duration, Instant};

use gateway::isolation::{ContactChange, ContactMonitor};

/// Time of a monitor that starts at zero.
struct Session {
    monitor: ContactMonitor,
    start: Instant,
    changes: Vec<(u64, ContactChange)>,
}

impl Session {
    fn new() -> Self {
        Self {
            monitor: ContactMonitor::default(),
            start: Instant::now(),
            changes: Vec::new(),
        }
    }

    fn at(&self, millis: u64) -> Instant {
        self.start + Duration::from_millis(millis)
    }

    fn note(&mut self, millis: u64, change: Option<ContactChange>) {
        self.changes.extend(change.map(|change| (millis, change)));
    }

    fn send(&mut self, ticket: u64, endpoint: &str, is_fresh: bool, millis: u64) {
        let now = self.at(millis);
        self.monitor
            .record_sent(ticket, &endpoint.into(), is_fresh, now);
    }

    fn answer(&mut self, ticket: u64, millis: u64) {
        let change = self.monitor.record_answer(ticket);
        self.note(millis, change);
    }

    fn lose(&mut self, ticket: u64, endpoint: &str, millis: u64) {
        let now = self.at(millis);
        self.monitor.record_end(ticket, &endpoint.into(), true, now);
    }

    fn probe(&mut self, is_reachable: bool, millis: u64) {
        let now = self.at(millis);
        let change = self.monitor.record_probe(is_reachable, now);
        self.note(millis, change);
    }

    fn tick(&mut self, millis: u64) {
        let now = self.at(millis);
        let change = self.monitor.tick(now);
        self.note(millis, change);
    }

    fn is_probe_due(&mut self, millis: u64) -> bool {
        let now = self.at(millis);
        self.monitor.is_probe_due(9, now)
    }
}

/// Guards against a host that takes the crash of some endpoints for its own isolation.
#[test]
fn endpoints_that_crash_isolate_no_host_that_reaches_others() {
    let mut session = Session::new();
    session.lose(1, "e1", 0);
    assert!(!session.is_probe_due(10), "one endpoint may have crashed");
    session.lose(2, "e2", 20);
    assert!(session.is_probe_due(30));
    session.probe(true, 40);
    assert!(!session.is_probe_due(50));
    session.tick(5_000);
    assert_eq!(session.changes, []);
}

/// Guards against a host that regards itself as connected because old connections live on.
#[test]
fn answers_on_old_connections_do_not_end_an_isolation() {
    let mut session = Session::new();
    session.send(1, "e3", false, 0);
    session.lose(2, "e1", 10);
    session.lose(3, "e2", 20);
    session.probe(false, 30);
    session.answer(1, 40);
    assert!(session.monitor.is_isolated());
    session.probe(true, 400);
    let trial_time = session.at(410);
    assert!(session.monitor.take_trial(trial_time));
    assert!(!session.monitor.take_trial(trial_time), "one at a time");
    session.send(4, "e1", true, 410);
    session.answer(4, 430);
    assert_eq!(
        session.changes,
        [(30, ContactChange::Lost), (430, ContactChange::Regained)]
    );
}

/// Guards against a host whose requests all hang on connections that can be opened.
#[test]
fn silence_of_several_endpoints_isolates_until_one_is_heard() {
    let mut session = Session::new();
    for (ticket, endpoint) in [(1, "e1"), (2, "e2"), (3, "e3")] {
        session.send(ticket, endpoint, true, ticket * 100);
    }
    for millis in (0..=1_200).step_by(100) {
        session.tick(millis);
    }
    assert_eq!(session.changes, [], "sound endpoints are silent at times");
    assert!(session.is_probe_due(1_200));
    session.probe(true, 1_210);
    session.tick(1_310);
    session.answer(2, 1_500);
    assert_eq!(
        session.changes,
        [
            (1_310, ContactChange::Lost),
            (1_500, ContactChange::Regained)
        ]
    );
}

/// Guards against a host that uses two endpoints and never counts as isolated, and against one that
/// counts a request that was sent just now as silence.
#[test]
fn long_silence_of_two_endpoints_isolates() {
    let mut session = Session::new();
    session.send(1, "e1", true, 0);
    for millis in (0..=2_500).step_by(100) {
        if millis == 700 {
            session.send(2, "e2", true, millis);
        }
        session.tick(millis);
    }
    assert_eq!(session.changes, [(2_500, ContactChange::Lost)]);
}

/// Guards against a host that takes the time for which it was suspended for silence of endpoints.
#[test]
fn a_host_that_was_suspended_is_not_isolated() {
    let mut session = Session::new();
    for (ticket, endpoint) in [(1, "e1"), (2, "e2"), (3, "e3")] {
        session.send(ticket, endpoint, true, 100);
    }
    session.tick(100);
    session.tick(2_000);
    assert_eq!(session.changes, []);
    assert!(!session.is_probe_due(2_100));
}

/// Guards against hosts that all count as isolated while the endpoints are gone, and that wait for
/// each other when these are back.
#[test]
fn a_loss_that_all_hosts_share_isolates_none() {
    let mut session = Session::new();
    session.lose(1, "e1", 0);
    session.lose(2, "e2", 0);
    session.probe(false, 10);
    let refused = session.at(20);
    let change = session.monitor.share_loss(refused);
    session.note(20, change);
    session.lose(3, "e1", 1_000);
    session.lose(4, "e2", 1_000);
    assert!(!session.is_probe_due(1_100));
    assert!(session.is_probe_due(2_100));
    assert_eq!(
        session.changes,
        [(10, ContactChange::Lost), (20, ContactChange::Shared)]
    );
}

/// Guards against a host that stays isolated for good because none of its requests may run again.
#[test]
fn an_isolation_without_trials_ends_while_connections_can_be_opened() {
    let mut session = Session::new();
    session.lose(1, "e1", 0);
    session.lose(2, "e2", 0);
    session.probe(false, 10);
    session.tick(60_000);
    assert!(session.monitor.is_isolated());
    session.probe(true, 60_010);
    session.tick(65_000);
    session.tick(70_010);
    assert_eq!(
        session.changes,
        [(10, ContactChange::Lost), (70_010, ContactChange::Regained)]
    );
}
