//! Tests of the scheduler's decisions, without a network.

mod common;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use common::{SLOTS, dispatched, endpoint, host, lines, scheduler, seeded_scheduler, work};
use gateway::ids::hash_name;
use gateway::rollouts::VersionShare;
use gateway::scheduler::{
    EndpointReport, RunEnd, SchedulerEffect, SchedulerEvent, SchedulerState, WorkItem,
};

fn run_ended(ticket: u64, end: RunEnd) -> SchedulerEvent {
    SchedulerEvent::Ended {
        ticket,
        end,
        events: 0,
        streamed_for: Duration::ZERO,
    }
}

/// Returns a scheduler with one endpoint, on a host that knows that it is the only one.
fn single_host(model_engine: bool, now: Instant) -> SchedulerState {
    let mut state = scheduler(&[endpoint("e1", "a")], model_engine, now);
    let alone = SchedulerEvent::HostsChanged {
        own_host: host(1),
        hosts: vec![host(1)],
        hosts_in_zone: 1,
    };
    state.reduce(alone, now);
    state
}

/// Returns a scheduler in which every slot of one endpoint is taken by requests 1 to `SLOTS`.
fn full_scheduler(now: Instant) -> SchedulerState {
    let mut state = scheduler(&[endpoint("e1", "a")], true, now);
    for ticket in 1..=u64::from(SLOTS) {
        let effects = state.reduce(SchedulerEvent::Submitted(work(ticket, 1, now)), now);
        assert_eq!(dispatched(&effects).len(), 1);
    }
    state
}

/// Guards against requests that queue inside an endpoint, which admits them in order of arrival.
#[test]
fn requests_queue_at_the_host_while_all_slots_are_taken() {
    let now = Instant::now();
    let mut state = full_scheduler(now);
    let effects = state.reduce(SchedulerEvent::Submitted(work(9, 1, now)), now);
    assert!(effects.is_empty());
    assert!(state.has_waiting());
    let effects = state.reduce(run_ended(1, RunEnd::Completed), now);
    assert_eq!(dispatched(&effects), [(9, "e1".to_owned())]);
}

/// Guards against a queue order in which urgent routes wait behind others, or late requests take
/// the slots of requests that can still be on time. The snapshot records the effects of a whole
/// session of events.
#[test]
fn a_session_under_pressure() {
    let now = Instant::now();
    let at = |millis| now + Duration::from_millis(millis);
    let mut state = full_scheduler(now);
    let mut session = Vec::new();
    // Request 20 arrives first and is late by 450 ms; request 21 belongs to a lower route than
    // request 22.
    for (ticket, tier, millis) in [(20, 0, 0), (21, 2, 440), (22, 0, 450)] {
        let event = SchedulerEvent::Submitted(work(ticket, tier, at(millis)));
        session.extend(lines(&state.reduce(event, at(millis))));
    }
    for ticket in 1..=3 {
        session.push(format!("run {ticket} ends"));
        let effects = state.reduce(run_ended(ticket, RunEnd::Completed), at(460));
        session.extend(lines(&effects));
    }
    session.push("one more waits until it cannot be on time".to_owned());
    for ticket in [23, 24] {
        let event = SchedulerEvent::Submitted(work(ticket, 1, at(500)));
        session.extend(lines(&state.reduce(event, at(500))));
    }
    session.extend(lines(&state.reduce(SchedulerEvent::Tick, at(804))));
    session.extend(lines(&state.reduce(SchedulerEvent::Tick, at(806))));
    insta::assert_yaml_snapshot!(session);
}

/// Guards against requests to endpoints that are draining, to evacuated zones, to a version whose
/// rollout has not started, and to endpoints that were already tried for the request.
#[test]
fn closed_endpoints_receive_no_requests() {
    let now = Instant::now();
    let mut leaving = endpoint("leaving", "a");
    leaving.draining = true;
    let mut new_version = endpoint("new", "a");
    new_version.version = "v2".into();
    let entries = [
        leaving,
        new_version,
        endpoint("out", "b"),
        endpoint("tried", "a"),
    ];
    let mut state = scheduler(&entries, true, now);
    state.reduce(SchedulerEvent::ZoneEvacuated("b".into()), now);
    let share_changed = SchedulerEvent::VersionShareChanged(VersionShare {
        service: "pool".into(),
        version: "v2".into(),
        permille: Some(0),
    });
    state.reduce(share_changed, now);
    let mut item = work(1, 0, now);
    item.excluded = vec!["tried".into()];
    let effects = state.reduce(SchedulerEvent::Submitted(item), now);
    assert_eq!(dispatched(&effects), []);
    assert!(lines(&effects)[0].starts_with("refuse 1: NoEndpoint"));
}

/// Guards against a crashed endpoint that every waiting request tries at once.
#[test]
fn an_unreachable_endpoint_is_tried_by_one_request_at_a_time() {
    let now = Instant::now();
    let mut state = single_host(false, now);
    state.reduce(SchedulerEvent::Submitted(work(1, 0, now)), now);
    state.reduce(run_ended(1, RunEnd::Unreachable), now);
    for ticket in 2..6 {
        let effects = state.reduce(SchedulerEvent::Submitted(work(ticket, 0, now)), now);
        assert_eq!(dispatched(&effects), [], "blocked");
    }
    // The endpoint counts as cold after its return; one eighth of 14 requests per second lets one
    // request through after 0.6 s.
    let later = now + Duration::from_millis(700);
    let effects = state.reduce(SchedulerEvent::Tick, later);
    assert_eq!(dispatched(&effects).len(), 1);
}

/// Returns the maximum number of requests that all hosts send to one cold endpoint within any
/// second.
fn max_cold_requests_per_second(hosts: u8, knows_others: bool) -> usize {
    let start = Instant::now();
    let mut cold = endpoint("cold", "a");
    cold.slots = 100;
    cold.cold_for = Duration::from_secs(3);
    let known: Vec<_> = (1..=hosts).map(host).collect();
    let mut sent: Vec<Duration> = Vec::new();
    for number in 1..=hosts {
        let mut state = scheduler(&[cold.clone()], true, start);
        let event = SchedulerEvent::HostsChanged {
            own_host: host(number),
            hosts: if knows_others {
                known.clone()
            } else {
                vec![host(number)]
            },
            hosts_in_zone: known.len(),
        };
        state.reduce(event, start);
        for step in 0..300_u64 {
            let after = Duration::from_millis(step * 10);
            let event = SchedulerEvent::Submitted(work(step, 0, start + after));
            sent.extend(
                dispatched(&state.reduce(event, start + after))
                    .iter()
                    .map(|_| after),
            );
        }
    }
    let in_second = |from: &Duration| {
        let until = *from + Duration::from_secs(1);
        sent.iter().filter(|at| *at >= from && **at < until).count()
    };
    sent.iter().map(in_second).max().unwrap_or(0)
}

/// Guards against hosts that together exceed the rate of a cold endpoint: 14 requests per second,
/// plus a tolerance of one half and five more.
#[test]
fn all_hosts_together_respect_the_rate_of_cold_endpoints() {
    for hosts in [2, 6, 9, 61, 85] {
        let worst = max_cold_requests_per_second(hosts, true);
        assert!((1..=26).contains(&worst), "{hosts} hosts: {worst}");
    }
    // Hosts that have just started have not discovered each other yet.
    assert!(max_cold_requests_per_second(8, false) <= 26);
}

/// Guards against a peer's load report that is ignored, or that is kept after the peer fell silent.
#[test]
fn peer_load_reports_count_until_they_expire() {
    let now = Instant::now();
    let mut reporting = full_scheduler(now);
    assert!(reporting.take_load_changed());
    let reports = reporting.load_reports();
    let mut receiving = scheduler(&[endpoint("e1", "a")], true, now);
    receiving.reduce(
        SchedulerEvent::PeerReported {
            peer: host(1),
            reports,
        },
        now,
    );
    // The request can be on time for longer than the report is valid.
    let item = WorkItem {
        first_byte_deadline: now + Duration::from_secs(2),
        ..work(1, 0, now)
    };
    let effects = receiving.reduce(SchedulerEvent::Submitted(item), now);
    assert_eq!(dispatched(&effects), [], "the peer has taken every slot");
    let later = now + Duration::from_millis(1_100);
    assert_eq!(
        dispatched(&receiving.reduce(SchedulerEvent::Tick, later)).len(),
        1
    );
}

/// Guards against a fleet whose hosts all take the slots of an endpoint that has just become free:
/// 61 hosts with waiting requests receive the same summary from a hub.
#[test]
fn hosts_of_a_large_fleet_share_free_slots() {
    const HOSTS: u8 = 61;
    let now = Instant::now();
    let mut sent = 0;
    for number in 1..=HOSTS {
        let mut state = seeded_scheduler(&[endpoint("e1", "a")], true, number.into(), now);
        let hosts: Vec<_> = (1..=HOSTS).map(host).collect();
        let own_host = host(number);
        state.reduce(
            SchedulerEvent::HostsChanged {
                own_host,
                hosts_in_zone: hosts.len(),
                hosts,
            },
            now,
        );
        let full = EndpointReport {
            endpoint: hash_name("e1"),
            active: 4,
            pending_prefill_tokens: 0,
        };
        let summary = |reports| SchedulerEvent::HubReported {
            peer: host(200),
            reports,
            zone: None,
        };
        state.reduce(summary(vec![full]), now);
        for ticket in 0..3 {
            let item = work(u64::from(number) * 10 + ticket, 0, now);
            let effects = state.reduce(SchedulerEvent::Submitted(item), now);
            assert!(effects.is_empty());
        }
        sent += dispatched(&state.reduce(summary(Vec::new()), now)).len();
    }
    // The endpoint has four slots, and the same number of runs may wait there for a moment; the
    // draws are independent, so the bound leaves three standard deviations.
    assert!((1..=20).contains(&sent), "{sent} runs for {SLOTS} slots");
}

/// Results of a simulated load, by route tier.
#[derive(Debug, Default)]
struct LoadResult {
    requested: [u32; 3],
    on_time: [u32; 3],
    refused: [u32; 3],
}

/// Simulates 20 s of load at `factor` times the capacity of three endpoints with four slots each
/// and runs of 200 ms: 60 requests per second. Routes of three tiers send requests in turn.
fn simulate_load(factor: f64) -> LoadResult {
    const RUN: Duration = Duration::from_millis(200);
    let start = Instant::now();
    let entries: Vec<_> = ["e1", "e2", "e3"].map(|name| endpoint(name, "a")).into();
    let mut state = scheduler(&entries, true, start);
    let mut result = LoadResult::default();
    let mut running: VecDeque<(Duration, u64)> = VecDeque::new();
    let mut arrivals: Vec<Duration> = Vec::new();
    let mut due_requests = 0.0;
    for step in 0..4_000_u64 {
        let now = Duration::from_millis(step * 5);
        let mut effects = Vec::new();
        while running.front().is_some_and(|(until, _)| *until <= now) {
            let (_, ticket) = running.pop_front().expect("not empty");
            effects.extend(state.reduce(run_ended(ticket, RunEnd::Completed), start + now));
        }
        due_requests += factor * 60.0 * 0.005;
        while due_requests >= 1.0 {
            due_requests -= 1.0;
            let ticket = arrivals.len() as u64;
            let tier = u8::try_from(ticket % 3).expect("small");
            arrivals.push(now);
            result.requested[usize::from(tier)] += 1;
            let event = SchedulerEvent::Submitted(work(ticket, tier, start + now));
            effects.extend(state.reduce(event, start + now));
        }
        effects.extend(state.reduce(SchedulerEvent::Tick, start + now));
        let sent = dispatched(&effects);
        for (ticket, _) in &sent {
            let index = usize::try_from(*ticket).expect("small");
            let waited = now.saturating_sub(arrivals[index]);
            result.on_time[index % 3] += u32::from(waited <= Duration::from_millis(400));
            running.push_back((now + RUN, *ticket));
        }
        for line in lines(&effects)
            .iter()
            .filter(|line| line.starts_with("refuse"))
        {
            let number = line
                .split([' ', ':'])
                .nth(1)
                .and_then(|text| text.parse::<usize>().ok());
            result.refused[number.expect("a ticket") % 3] += 1;
        }
    }
    result
}

/// Guards against a queue that makes every request late during a long overload. At 1.5 times the
/// capacity, seven tenths of the slots must go to requests that are on time, higher routes must
/// fare no worse than lower ones, and no route may starve.
#[test]
fn overload_keeps_most_slots_for_requests_that_are_on_time() {
    let result = simulate_load(1.5);
    let on_time: u32 = result.on_time.iter().sum();
    assert!(on_time >= 60 * 20 * 7 / 10, "{result:?}");
    assert!(result.on_time[0] >= result.on_time[1], "{result:?}");
    assert!(result.on_time[1] >= result.on_time[2], "{result:?}");
    assert!(result.refused[0] <= result.refused[2], "{result:?}");
    let min_served = result.requested[2] / 4;
    assert!(
        result.requested[2] - result.refused[2] >= min_served,
        "{result:?}"
    );
}

/// Guards against slots that go to requests that are already late while others, which could be on
/// time, are refused. Nine of ten dispatched requests must be on time, however long the overload
/// lasts.
#[test]
fn slots_go_to_requests_that_can_be_on_time() {
    for factor in [1.1, 1.5, 3.0] {
        let result = simulate_load(factor);
        let requested: u32 = result.requested.iter().sum();
        let refused: u32 = result.refused.iter().sum();
        let on_time: u32 = result.on_time.iter().sum();
        let sent = requested - refused;
        assert!(
            on_time * 10 >= sent * 9,
            "{factor}: {on_time} of {sent} sent, {result:?}"
        );
    }
}

/// Guards against callers that are asked to retry while a long overload still lasts, and against
/// long delays in a short one.
#[test]
fn retry_delays_grow_with_the_overload() {
    let now = Instant::now();
    let at = |millis| now + Duration::from_millis(millis);
    let mut state = full_scheduler(now);
    // Each request in turn waits in vain.
    let mut waits = Vec::new();
    for ticket in 20..32_u64 {
        let from = (ticket - 20) * 250;
        state.reduce(
            SchedulerEvent::Submitted(work(ticket, 0, at(from))),
            at(from),
        );
        for effect in state.reduce(SchedulerEvent::Tick, at(from + 240)) {
            if let SchedulerEffect::Refuse { retry_after, .. } = effect {
                waits.push((from, retry_after));
            }
        }
    }
    let (_, first) = waits[0];
    assert!(first < Duration::from_millis(1_600), "{waits:?}");
    let (_, last) = waits[waits.len() - 1];
    assert!(last > Duration::from_millis(2_500), "{waits:?}");
    // Slots become free and no request waits any more, so the next overload counts as a new one.
    state.reduce(run_ended(1, RunEnd::Completed), at(3_100));
    state.reduce(run_ended(2, RunEnd::Completed), at(3_100));
    assert!(!state.has_waiting());
    for ticket in 40..43 {
        state.reduce(
            SchedulerEvent::Submitted(work(ticket, 0, at(3_200))),
            at(3_200),
        );
    }
    let effects = state.reduce(SchedulerEvent::Tick, at(3_600));
    assert!(
        matches!(effects[..], [SchedulerEffect::Refuse { retry_after, .. }, ..] if retry_after < Duration::from_millis(1_700)),
        "{effects:?}"
    );
}

/// Guards against requests that are refused while endpoints are briefly unreachable: no other
/// request gains from the refusal.
#[test]
fn requests_wait_while_endpoints_are_unreachable() {
    let now = Instant::now();
    let mut state = single_host(true, now);
    state.reduce(SchedulerEvent::Submitted(work(1, 0, now)), now);
    state.reduce(run_ended(1, RunEnd::Unreachable), now);
    state.reduce(SchedulerEvent::Submitted(work(2, 0, now)), now);
    let later = now + Duration::from_millis(1_500);
    let effects = state.reduce(SchedulerEvent::Tick, later);
    assert_eq!(dispatched(&effects), [(2, "e1".to_owned())]);
}

/// Guards against refused or late requests while there is free capacity.
#[test]
fn load_below_capacity_is_served_on_time() {
    let result = simulate_load(0.7);
    assert_eq!(result.refused, [0; 3]);
    assert_eq!(result.on_time, result.requested);
}

/// Guards against an endpoint that refuses requests at once and therefore attracts all requests,
/// because it appears free.
#[test]
fn an_endpoint_that_refuses_is_blocked_briefly() {
    let now = Instant::now();
    let mut state = full_scheduler(now);
    state.reduce(run_ended(1, RunEnd::NotRun), now);
    let effects = state.reduce(SchedulerEvent::Submitted(work(9, 0, now)), now);
    assert_eq!(dispatched(&effects), []);
    let later = now + Duration::from_millis(150);
    assert_eq!(
        dispatched(&state.reduce(SchedulerEvent::Tick, later)).len(),
        1
    );
}

/// Guards against a run that is counted forever: callers may disconnect at any moment.
#[test]
fn every_run_end_frees_its_slot() {
    let now = Instant::now();
    let ends = [
        RunEnd::Completed,
        RunEnd::Failed,
        RunEnd::Broken,
        RunEnd::Stalled,
        RunEnd::Abandoned,
    ];
    for end in ends {
        let mut state = full_scheduler(now);
        state.reduce(run_ended(1, end), now);
        let effects = state.reduce(SchedulerEvent::Submitted(work(9, 0, now)), now);
        assert_eq!(dispatched(&effects).len(), 1, "{end:?}");
    }
}

/// Guards against hosts that all start at once, after the loss of all, while an endpoint is cold:
/// each of them knows no other host yet and would send to it.
#[test]
fn hosts_that_start_at_once_send_nothing_to_cold_endpoints() {
    const HOSTS: u8 = 80;
    let start = Instant::now();
    let mut cold = endpoint("cold", "a");
    cold.slots = 200;
    cold.cold_for = Duration::from_secs(8);
    let all: Vec<_> = (1..=HOSTS).map(host).collect();
    let (mut early, mut later) = (0, 0);
    for number in 1..=HOSTS {
        let mut state = scheduler(&[cold.clone()], true, start);
        let from = start + Duration::from_secs(2);
        state.reduce(SchedulerEvent::ColdSendsFrom(from), start);
        let mut learn = |hosts: &[std::net::IpAddr], after_ms| {
            let now = start + Duration::from_millis(after_ms);
            let event = SchedulerEvent::HostsChanged {
                own_host: host(number),
                hosts: hosts.to_vec(),
                hosts_in_zone: hosts.len(),
            };
            state.reduce(event, now);
            let effects = state.reduce(SchedulerEvent::Submitted(work(after_ms, 0, now)), now);
            dispatched(&effects).len()
        };
        early += learn(&[host(number)], 200);
        early += learn(&all[..usize::from(number)], 700);
        later += learn(&all, 2_100);
    }
    assert_eq!(early, 0);
    // At most eight senders, each of which may also send what has waited.
    assert!((1..=24).contains(&later), "{later}");
}

/// Guards against a host that keeps its requests for the place that it has at a brittle endpoint
/// which can't be reached, although other hosts have places at others.
#[test]
fn a_host_whose_only_brittle_endpoint_is_unreachable_lacks_a_place() {
    let now = Instant::now();
    let hosts: Vec<_> = (1..=14).map(host).collect();
    let endpoints = [endpoint("north", "a"), endpoint("south", "a")];
    let mut losing = Vec::new();
    for own_host in &hosts {
        let mut state = scheduler(&endpoints, false, now);
        let joined = SchedulerEvent::HostsChanged {
            own_host: *own_host,
            hosts: hosts.clone(),
            hosts_in_zone: hosts.len(),
        };
        state.reduce(joined, now);
        state.reduce(SchedulerEvent::LiveHostsChanged(hosts.clone()), now);
        let item = work(1, 1, now);
        let service = item.service.clone();
        state.apply_brittleness(&service, true, now, now);
        if state.lacks_place(&service, now) {
            continue;
        }
        state.reduce(SchedulerEvent::Submitted(item), now);
        state.reduce(run_ended(1, RunEnd::Unreachable), now);
        let owners = state.place_owners(&service, now);
        let lacks_place = state.lacks_place(&service, now);
        assert_eq!(lacks_place, !owners.contains(own_host), "{own_host}");
        assert_eq!(owners.len(), usize::try_from(SLOTS).unwrap(), "{own_host}");
        losing.extend(lacks_place.then(|| own_host.to_string()));
    }
    insta::assert_snapshot!(losing.join(" "), @"10.0.0.6 10.0.0.8 10.0.0.9 10.0.0.11");
}
