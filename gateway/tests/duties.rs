//! Tests of who holds the duties, of usage reports and of orders of endpoints, without a network.

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use gateway::duties::{
    AppendOutcome, CallOutcome, CandidateRank, CapacityObservation, CapacityPlan, ClockReading,
    DutyCall, DutyHosts, DutyListing, DutyLogAction, DutyRecord, DutySettings, DutyState,
    ScalingBounds, UsageRecord, ZoneEndpoints,
};
use gateway::ids::{FastMap, HostAddress, WorkspaceName, hash_name};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

const LEASE: Duration = Duration::from_secs(3);
const WINDOW: Duration = Duration::from_secs(5);
const STEP: Duration = Duration::from_millis(100);
/// Time of day at the start of a test, at the beginning of a window.
const START: Duration = Duration::from_secs(1_000_000);

fn settings() -> DutySettings {
    DutySettings {
        lease: LEASE,
        is_fenced: true,
        reports_usage: true,
        orders_endpoints: true,
        window: WINDOW,
        late: Duration::from_secs(10),
        max_calls_per_s: 50.0,
    }
}

/// Stand-in for the log: appends are conditional, and a copy may come back some records older.
#[derive(Default)]
struct FakeLog {
    era: u64,
    records: Vec<DutyRecord>,
    is_down: bool,
}

impl FakeLog {
    fn append(&mut self, end_offset: u64, records: &[DutyRecord]) -> AppendOutcome {
        if self.is_down || end_offset != self.records.len() as u64 {
            return AppendOutcome::Overtaken;
        }
        self.records.extend_from_slice(records);
        AppendOutcome::Appended(self.era)
    }

    fn listing(&self) -> DutyListing {
        let mut listing = DutyListing {
            era: self.era,
            end_offset: self.records.len() as u64,
            ..DutyListing::default()
        };
        for (offset, record) in self.records.iter().enumerate() {
            match record {
                DutyRecord::Lease(lease) => listing.lease = Some((offset as u64, lease.clone())),
                DutyRecord::Usage(usage) => {
                    listing.usage.retain(|known| known.window != usage.window);
                    listing.usage.push(usage.clone());
                }
            }
        }
        listing
    }

    /// Loses the last records, as a copy some seconds old does.
    fn restore_older_copy(&mut self, lost: usize) {
        let kept = self.records.len().saturating_sub(lost);
        self.records.truncate(kept);
        self.era += 1;
    }
}

struct Host {
    duties: DutyState,
    address: HostAddress,
    is_frozen: bool,
    is_leaving: bool,
    /// Time by which the clock is ahead.
    skew: Duration,
    /// A call that was decided before the host froze.
    pending_call: Option<DutyCall>,
}

/// A call as the platform received it.
#[derive(Clone, Debug)]
struct Received {
    at: Duration,
    host: usize,
    call: DutyCall,
    outcome: CallOutcome,
}

struct Fleet {
    hosts: Vec<Host>,
    log: FakeLog,
    boot: Duration,
    received: Vec<Received>,
    /// What the platform does with the next calls, and whether the caller learns of it.
    lost_answers: usize,
    lost_append_answers: usize,
    incarnations: u64,
}

impl Fleet {
    fn new(count: u8) -> Self {
        let mut fleet = Self {
            hosts: Vec::new(),
            log: FakeLog::default(),
            boot: Duration::from_secs(100),
            received: Vec::new(),
            lost_answers: 0,
            lost_append_answers: 0,
            incarnations: 0,
        };
        for index in 0..count {
            let host = fleet.start(HostAddress::from([10, 0, 0, index + 1]), Duration::ZERO);
            fleet.hosts.push(host);
        }
        fleet
    }

    fn clocks(&self, skew: Duration) -> ClockReading {
        ClockReading {
            boot: self.boot,
            wall: START + self.boot + skew,
        }
    }

    fn start(&mut self, address: HostAddress, skew: Duration) -> Host {
        self.incarnations += 1;
        let clocks = self.clocks(skew);
        let mut duties = DutyState::new(settings(), address, self.incarnations, clocks);
        let names: Vec<WorkspaceName> = ["acme", "bolt"].map(Into::into).to_vec();
        duties.add_workspaces(names.iter().map(|name| (hash_name(name), name)));
        Host {
            duties,
            address,
            is_frozen: false,
            is_leaving: false,
            skew,
            pending_call: None,
        }
    }

    fn restart(&mut self, index: usize) {
        let (address, skew) = (self.hosts[index].address, self.hosts[index].skew);
        self.hosts[index] = self.start(address, skew);
    }

    fn run(&mut self, time: Duration) {
        let end = self.boot + time;
        while self.boot < end {
            self.boot += STEP;
            for index in 0..self.hosts.len() {
                if !self.hosts[index].is_frozen {
                    self.step(index);
                }
            }
        }
    }

    fn step(&mut self, index: usize) {
        let now = self.clocks(self.hosts[index].skew);
        let live: Vec<_> = self
            .hosts
            .iter()
            .filter(|host| !host.is_frozen)
            .map(|host| host.address)
            .collect();
        let host = &mut self.hosts[index];
        let rank = if host.is_leaving {
            CandidateRank::Leaving
        } else {
            CandidateRank::Preferred
        };
        match host.duties.next_log_action(&DutyHosts { rank, live }, now) {
            DutyLogAction::Wait => {}
            DutyLogAction::Read if self.log.is_down => {}
            DutyLogAction::Read => host.duties.apply_listing(self.log.listing(), now),
            DutyLogAction::Append {
                end_offset,
                records,
            } => {
                let outcome = self.log.append(end_offset, &records);
                let is_lost = self.lost_append_answers > 0;
                self.lost_append_answers = self.lost_append_answers.saturating_sub(1);
                let outcome = if is_lost {
                    AppendOutcome::Unknown
                } else {
                    outcome
                };
                host.duties.apply_append(outcome, now);
            }
        }
        let call = host
            .pending_call
            .take()
            .or_else(|| host.duties.next_call(now));
        if let Some(call) = call {
            self.deliver(index, &call, now);
        }
        if let Some(poll) = self.hosts[index].duties.next_poll(now) {
            for peer in 0..self.hosts.len() {
                if self.hosts[peer].is_frozen {
                    continue;
                }
                let clocks = self.clocks(self.hosts[peer].skew);
                let reply = self.hosts[peer]
                    .duties
                    .apply_poll(&poll, &FastMap::default(), clocks);
                self.hosts[index].duties.apply_reply(reply, now.boot);
            }
        }
    }

    fn deliver(&mut self, index: usize, call: &DutyCall, now: ClockReading) {
        let highest = self.highest_token(call);
        let (DutyCall::ReportUsage { token, .. } | DutyCall::OrderEndpoints { token, .. }) = &call;
        let outcome = if *token < highest {
            CallOutcome::Fenced
        } else {
            CallOutcome::Accepted
        };
        self.received.push(Received {
            at: now.boot,
            host: index,
            call: call.clone(),
            outcome,
        });
        let is_lost = self.lost_answers > 0;
        self.lost_answers = self.lost_answers.saturating_sub(1);
        let seen = if is_lost {
            CallOutcome::Unanswered
        } else {
            outcome
        };
        self.hosts[index].duties.apply_call(call, seen, now.boot);
    }

    /// Returns the highest token that the platform has accepted for the subject of a call.
    fn highest_token(&self, call: &DutyCall) -> u64 {
        let accepted = self
            .received
            .iter()
            .filter(|seen| seen.outcome == CallOutcome::Accepted);
        let tokens = accepted.filter_map(|seen| match (&seen.call, call) {
            (DutyCall::ReportUsage { token, .. }, DutyCall::ReportUsage { .. }) => Some(*token),
            (
                DutyCall::OrderEndpoints { token, order },
                DutyCall::OrderEndpoints { order: own, .. },
            ) if order.zone == own.zone => Some(*token),
            _ => None,
        });
        tokens.max().unwrap_or(0)
    }

    fn holders(&self) -> Vec<usize> {
        let indices = 0..self.hosts.len();
        indices
            .filter(|index| {
                let host = &self.hosts[*index];
                !host.is_frozen && host.duties.status(self.boot).token.is_some()
            })
            .collect()
    }

    fn holder(&self) -> usize {
        let holders = self.holders();
        assert_eq!(holders.len(), 1, "one host holds the duties");
        holders[0]
    }

    fn begin(&mut self, index: usize, workspace: &str, count: usize) {
        for _ in 0..count {
            self.hosts[index]
                .duties
                .record_begun(hash_name(workspace), self.boot);
        }
    }

    fn reports(&self) -> BTreeMap<u64, BTreeSet<BTreeMap<String, u64>>> {
        let mut reports: BTreeMap<u64, BTreeSet<_>> = BTreeMap::new();
        for seen in &self.received {
            if let DutyCall::ReportUsage {
                record: UsageRecord { window, counts },
                ..
            } = &seen.call
                && seen.outcome == CallOutcome::Accepted
            {
                let counts = counts
                    .iter()
                    .map(|(name, count)| (name.to_string(), *count));
                reports.entry(*window).or_default().insert(counts.collect());
            }
        }
        reports
    }

    /// Checks what the platform demands of the calls of all hosts.
    fn check_calls(&self) {
        for (window, counts) in self.reports() {
            assert_eq!(
                counts.len(),
                1,
                "window {window} was reported with different counts: {counts:?}"
            );
        }
        let mut users: BTreeMap<u64, HostAddress> = BTreeMap::new();
        let mut last: Vec<&Received> = Vec::new();
        for seen in self
            .received
            .iter()
            .filter(|seen| seen.outcome == CallOutcome::Accepted)
        {
            let (DutyCall::ReportUsage { token, .. } | DutyCall::OrderEndpoints { token, .. }) =
                &seen.call;
            let host = self.hosts[seen.host].address;
            assert_eq!(
                *users.entry(*token).or_insert(host),
                host,
                "two hosts used token {token}"
            );
            last.retain(|other| other.at + LEASE > seen.at);
            let own = last.iter().position(|other| other.host == seen.host);
            let returns =
                own.is_some_and(|own| last[own..].iter().any(|other| other.host != seen.host));
            assert!(
                !returns,
                "host {host} acted again within a lease of another one"
            );
            last.push(seen);
        }
    }
}

/// Guards against a window that is not reported or counted on one host only.
#[test]
fn each_window_is_reported_once_with_the_counts_of_all_hosts() {
    let mut fleet = Fleet::new(3);
    fleet.run(Duration::from_secs(10));
    for index in 0..3 {
        fleet.begin(index, "acme", index + 1);
    }
    fleet.begin(2, "bolt", 4);
    fleet.run(Duration::from_secs(20));
    fleet.check_calls();
    let reports = fleet.reports();
    let windows: Vec<_> = reports.keys().copied().collect();
    let expected: Vec<_> = (windows[0]..windows[0] + windows.len() as u64).collect();
    assert_eq!(windows, expected, "no window is left out");
    assert!(windows.len() >= 4);
    let counted: Vec<_> = reports
        .values()
        .flatten()
        .filter(|counts| !counts.is_empty())
        .collect();
    let all = BTreeMap::from([("acme".to_owned(), 6), ("bolt".to_owned(), 4)]);
    assert_eq!(counted, vec![&all]);
}

/// Guards against a holder that acts after it was frozen for longer than its lease.
#[test]
fn a_holder_that_was_frozen_makes_no_call_before_it_has_read_the_log() {
    let mut fleet = Fleet::new(3);
    fleet.run(Duration::from_secs(10));
    let frozen = fleet.holder();
    fleet.hosts[frozen].is_frozen = true;
    fleet.run(Duration::from_secs(10));
    assert_ne!(fleet.holder(), frozen);
    let calls = fleet.received.len();
    fleet.hosts[frozen].is_frozen = false;
    fleet.run(Duration::from_secs(15));
    assert!(
        fleet.received[calls..]
            .iter()
            .all(|seen| seen.host != frozen)
    );
    fleet.check_calls();
}

/// Guards against a repeat with other counts after the holder was lost: its report had arrived, and
/// more counts came in before the next holder reported.
#[test]
fn the_next_holder_repeats_a_recorded_window_with_the_same_counts() {
    let mut fleet = Fleet::new(3);
    fleet.run(Duration::from_secs(10));
    let first = fleet.holder();
    let other = (first + 1) % 3;
    fleet.begin(other, "acme", 5);
    fleet.lost_answers = usize::MAX;
    fleet.run(WINDOW + Duration::from_secs(2));
    let window = fleet
        .reports()
        .into_iter()
        .find(|(_, counts)| counts.iter().any(|counts| !counts.is_empty()));
    let (window, _) = window.expect("the window was reported");
    fleet.restart(first);
    // A request that is counted late in the window that was reported.
    let late = Duration::from_secs(window * 5 + 2).saturating_sub(START);
    fleet.hosts[other]
        .duties
        .record_begun(hash_name("acme"), late);
    fleet.lost_answers = 0;
    fleet.run(Duration::from_secs(20));
    assert_ne!(fleet.received.last().map(|seen| seen.host), Some(first));
    fleet.check_calls();
}

fn zone_a(running: u32) -> Vec<ZoneEndpoints> {
    vec![ZoneEndpoints {
        zone: "a".into(),
        running,
        is_usable: true,
    }]
}

/// Guards against an old order that the platform carries out after a newer one.
#[test]
fn an_order_without_an_answer_is_fenced_by_the_next_one() {
    let mut fleet = Fleet::new(2);
    fleet.run(Duration::from_secs(10));
    let holder = fleet.holder();
    let demand = |active| CapacityObservation {
        service: "pool".into(),
        bounds: ScalingBounds {
            min: 2,
            max: 60,
            boot_time: Duration::from_secs(8),
        },
        slots: 10,
        active,
        waiting: 0,
        dispatched: 100,
        refused: 0,
        zones: zone_a(5),
    };
    fleet.lost_answers = 1;
    fleet.hosts[holder]
        .duties
        .observe_load(&demand(50), fleet.boot);
    fleet.run(Duration::from_secs(3));
    let orders: Vec<_> = fleet
        .received
        .iter()
        .filter_map(|seen| match &seen.call {
            DutyCall::OrderEndpoints { token, order } => Some((*token, order.endpoints)),
            DutyCall::ReportUsage { .. } => None,
        })
        .collect();
    assert_eq!(orders.len(), 2, "{orders:?}");
    assert_eq!(orders[0].1, orders[1].1);
    assert!(
        orders[1].0 > orders[0].0,
        "the repeat fences the first order: {orders:?}"
    );
    fleet.check_calls();
}

/// Guards against tokens that start again, and against other counts for a window, after all hosts
/// were lost at once.
#[test]
fn tokens_grow_over_the_loss_of_all_hosts() {
    let mut fleet = Fleet::new(3);
    fleet.run(Duration::from_secs(12));
    let before = fleet.hosts[fleet.holder()].duties.status(fleet.boot).token;
    fleet.begin(0, "acme", 3);
    fleet.run(Duration::from_secs(1));
    for index in 0..3 {
        fleet.restart(index);
    }
    fleet.run(Duration::from_secs(20));
    assert!(fleet.hosts[fleet.holder()].duties.status(fleet.boot).token > before);
    fleet.check_calls();
}

/// Guards against a second report with other counts, and against a token that was used before, after
/// the log has come back from an older copy while its holder was lost.
#[test]
fn reports_and_tokens_hold_over_a_log_that_is_older() {
    let mut fleet = Fleet::new(3);
    fleet.run(Duration::from_secs(10));
    fleet.begin(1, "acme", 3);
    fleet.run(Duration::from_secs(12));
    let first = fleet.holder();
    let before = fleet.hosts[first].duties.status(fleet.boot).token;
    fleet.log.restore_older_copy(12);
    fleet.restart(first);
    fleet.run(Duration::from_secs(30));
    assert!(fleet.hosts[fleet.holder()].duties.status(fleet.boot).token > before);
    fleet.check_calls();
    let newest = fleet.reports().keys().next_back().copied();
    let now = (START + fleet.boot).as_secs() / 5;
    assert!(
        newest >= Some(now - 2),
        "reports go on: {newest:?} at {now}"
    );
}

/// Guards against windows that are cut by the clock of one host.
#[test]
fn windows_are_cut_by_the_median_of_the_clocks() {
    for wrong in 0..5 {
        let mut fleet = Fleet::new(5);
        fleet.hosts[wrong].skew = Duration::from_secs(6);
        fleet.restart(wrong);
        fleet.run(Duration::from_secs(12));
        fleet.begin(wrong, "acme", 1);
        fleet.begin((wrong + 1) % 5, "acme", 1);
        let window = (START + fleet.boot).as_secs() / 5;
        fleet.run(Duration::from_secs(15));
        let reports = fleet.reports();
        let counts = BTreeSet::from([BTreeMap::from([("acme".to_owned(), 2)])]);
        assert_eq!(
            reports.get(&window),
            Some(&counts),
            "clock of host {wrong}: {reports:?}"
        );
    }
}

/// Guards against a planned stop that misses a window.
#[test]
fn a_planned_stop_hands_the_duties_over_without_a_missed_window() {
    let mut fleet = Fleet::new(3);
    fleet.run(Duration::from_secs(12));
    let leaving = fleet.holder();
    fleet.hosts[leaving].is_leaving = true;
    fleet.run(Duration::from_secs(8));
    assert_ne!(fleet.holder(), leaving);
    fleet.hosts[leaving].is_frozen = true;
    fleet.run(Duration::from_secs(20));
    fleet.check_calls();
    let windows: Vec<_> = fleet.reports().keys().copied().collect();
    let expected: Vec<_> = (windows[0]..windows[0] + windows.len() as u64).collect();
    assert_eq!(windows, expected);
}

/// Guards against what single failures do not show: restarts, freezes, lost answers of the log and
/// of the platform, and older copies of the log in random order.
#[test]
fn calls_are_those_of_one_holder_under_random_failures() {
    for seed in 0..150 {
        let mut random = SmallRng::seed_from_u64(seed);
        let mut fleet = Fleet::new(4);
        fleet.run(Duration::from_secs(6));
        for _ in 0..25 {
            let host = random.random_range(0..4);
            match random.random_range(0..8) {
                0 => fleet.restart(host),
                1 => fleet.hosts[host].is_frozen = true,
                2 => fleet.lost_answers += random.random_range(1..4),
                3 => fleet.lost_append_answers += random.random_range(1..3),
                4 => fleet.log.is_down = !fleet.log.is_down,
                5 => fleet.log.restore_older_copy(random.random_range(1..8)),
                6 => (0..4).for_each(|host| fleet.hosts[host].is_frozen = false),
                _ => fleet.begin(host, "acme", random.random_range(1..5)),
            }
            fleet.run(Duration::from_millis(random.random_range(200..4_000)));
        }
        let result = std::panic::catch_unwind(std::panic::AssertUnwindSafe(|| fleet.check_calls()));
        assert!(result.is_ok(), "seed {seed}");
    }
}

/// One second of load: requests a second, and how long each takes its place.
fn play_load(plan: &mut CapacityPlan, loads: &[(f64, u32)], service_time: f64) -> Vec<u32> {
    let (mut dispatched, mut refused, mut running) = (0.0, 0.0, 5.0);
    let mut starting: Vec<(u64, f64)> = Vec::new();
    let mut ordered = Vec::new();
    let mut second = 0;
    for (rate, seconds) in loads {
        for _ in 0..*seconds {
            second += 1;
            starting.retain(|(ready, count)| {
                let is_ready = *ready <= second;
                running += if is_ready { *count } else { 0.0 };
                !is_ready
            });
            let capacity = running * 10.0;
            let demand = rate * service_time;
            let active = demand.min(capacity);
            dispatched += active / service_time;
            // A refused caller returns once.
            refused += 2.0 * (demand - active) / service_time;
            #[expect(
                clippy::cast_possible_truncation,
                clippy::cast_sign_loss,
                reason = "small and positive"
            )]
            let observation = CapacityObservation {
                service: "pool".into(),
                bounds: ScalingBounds {
                    min: 2,
                    max: 60,
                    boot_time: Duration::from_secs(8),
                },
                slots: 10,
                active: active as u32,
                waiting: 0,
                dispatched: dispatched as u64,
                refused: refused as u64,
                zones: zone_a(running as u32),
            };
            plan.observe(&observation, Duration::from_secs(second));
            let order = plan.orders().first().map_or(5, |order| order.endpoints);
            let expected = running + starting.iter().map(|(_, count)| count).sum::<f64>();
            let more = f64::from(order) - expected;
            if more > 0.0 {
                starting.push((second + 8, more));
            } else {
                running += more;
            }
            ordered.push(order);
        }
    }
    ordered
}

/// Guards against an overload that lasts: callers are refused until endpoints are ordered for what
/// they ask, and served from one start time later on.
#[test]
fn a_lasting_overload_is_answered_within_a_few_seconds() {
    let ordered = play_load(
        &mut CapacityPlan::default(),
        &[(30.0, 20), (120.0, 30)],
        1.0,
    );
    // 120 places at a utilization of 0.65 are 18.5 endpoints of 10 places.
    assert!(ordered[24] >= 15, "after five seconds: {ordered:?}");
    assert!(ordered[49] >= 19 && ordered[49] <= 23, "{ordered:?}");
}

/// Guards against orders that go up and down with demand that changes within the start time of an
/// endpoint.
#[test]
fn orders_do_not_flap_with_waves_of_demand() {
    let waves: Vec<_> = (0..12).flat_map(|_| [(20.0, 5), (40.0, 5)]).collect();
    let ordered = play_load(&mut CapacityPlan::default(), &waves, 1.0);
    let settled = &ordered[30..];
    assert!(
        settled.iter().all(|count| *count == settled[0]),
        "{ordered:?}"
    );
}

/// Guards against endpoints that stay ordered after the demand has gone, and against more than the
/// bounds.
#[test]
fn orders_follow_falling_demand_after_some_start_times() {
    let ordered = play_load(
        &mut CapacityPlan::default(),
        &[(1_000.0, 20), (10.0, 60)],
        1.0,
    );
    assert_eq!(ordered[19], 60);
    assert_eq!(ordered[35], 60, "the peak is remembered: {ordered:?}");
    assert_eq!(ordered[79], 2);
}
