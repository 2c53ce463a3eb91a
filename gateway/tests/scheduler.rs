//! Decisions of the scheduler, without a network.

mod common;

use std::collections::VecDeque;
use std::time::{Duration, Instant};

use common::{SLOTS, dispatched, endpoint, host, lines, scheduler, seeded_scheduler, work};
use gateway::ids::hash_name;
use gateway::rollouts::VersionShare;
use gateway::scheduler::{
    EndpointReport, RunEnd, SchedulerEffect, SchedulerEvent, SchedulerState, WorkItem,
};

fn ended(ticket: u64, end: RunEnd) -> SchedulerEvent {
    SchedulerEvent::Ended {
        ticket,
        end,
        events: 0,
        streamed_for: Duration::ZERO,
    }
}

/// A scheduler with one endpoint whose host knows that there are no others.
fn lone_host(model_engine: bool, now: Instant) -> SchedulerState {
    let mut state = scheduler(&[endpoint("e1", "a")], model_engine, now);
    let alone = SchedulerEvent::HostsChanged {
        own_host: host(1),
        hosts: vec![host(1)],
        hosts_in_zone: 1,
    };
    state.reduce(alone, now);
    state
}

/// Fills every place of one endpoint with requests 1 to `SLOTS`.
fn filled(now: Instant) -> SchedulerState {
    let mut state = scheduler(&[endpoint("e1", "a")], true, now);
    for ticket in 1..=u64::from(SLOTS) {
        let effects = state.reduce(SchedulerEvent::Submitted(work(ticket, 1, now)), now);
        assert_eq!(dispatched(&effects).len(), 1);
    }
    state
}

/// Guards against work that queues inside an endpoint, which admits in order of arrival.
#[test]
fn requests_queue_at_the_host_while_all_slots_are_taken() {
    let now = Instant::now();
    let mut state = filled(now);
    let effects = state.reduce(SchedulerEvent::Submitted(work(9, 1, now)), now);
    assert!(effects.is_empty());
    assert!(state.has_waiting());
    let effects = state.reduce(ended(1, RunEnd::Completed), now);
    assert_eq!(dispatched(&effects), [(9, "e1".to_owned())]);
}

/// Guards against an order in which urgent routes wait behind others, or late requests take the
/// places of those that can still be on time. A golden session: events in, effects out.
#[test]
fn a_session_under_pressure() {
    let now = Instant::now();
    let at = |millis| now + Duration::from_millis(millis);
    let mut state = filled(now);
    let mut session = Vec::new();
    // 20 arrives first and is late by 450 ms; 21 is of a lower route than 22.
    for (ticket, tier, millis) in [(20, 0, 0), (21, 2, 440), (22, 0, 450)] {
        let event = SchedulerEvent::Submitted(work(ticket, tier, at(millis)));
        session.extend(lines(&state.reduce(event, at(millis))));
    }
    for ticket in 1..=3 {
        session.push(format!("run {ticket} ends"));
        let effects = state.reduce(ended(ticket, RunEnd::Completed), at(460));
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

/// Guards against requests to endpoints that leave, to zones that are out, to a version whose
/// rollout is not decided, and to endpoints that had the request before.
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
    let held = SchedulerEvent::VersionShareChanged(VersionShare {
        service: "pool".into(),
        version: "v2".into(),
        permille: Some(0),
    });
    state.reduce(held, now);
    let mut item = work(1, 0, now);
    item.excluded = vec!["tried".into()];
    let effects = state.reduce(SchedulerEvent::Submitted(item), now);
    assert_eq!(dispatched(&effects), []);
    assert!(lines(&effects)[0].starts_with("refuse 1: NoEndpoint"));
}

/// Guards against an endpoint that crashed being tried by every waiting request at once.
#[test]
fn an_unreachable_endpoint_is_tried_by_one_request_at_a_time() {
    let now = Instant::now();
    let mut state = lone_host(false, now);
    state.reduce(SchedulerEvent::Submitted(work(1, 0, now)), now);
    state.reduce(ended(1, RunEnd::Unreachable), now);
    for ticket in 2..6 {
        let effects = state.reduce(SchedulerEvent::Submitted(work(ticket, 0, now)), now);
        assert_eq!(dispatched(&effects), [], "blocked");
    }
    // The endpoint counts as cold after its return; the eighth part of 14 a second lets one
    // request through after 0.6 s.
    let later = now + Duration::from_millis(700);
    let effects = state.reduce(SchedulerEvent::Tick, later);
    assert_eq!(dispatched(&effects).len(), 1);
}

/// Most requests that all hosts send to one cold endpoint within any second.
fn worst_cold_second(hosts: u8, knows_others: bool) -> usize {
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

/// Guards against hosts that together send a cold endpoint more than it bears: 14 a second, and
/// at most half as much again and five more.
#[test]
fn all_hosts_together_respect_the_rate_of_cold_endpoints() {
    for hosts in [2, 6, 9, 61, 85] {
        let worst = worst_cold_second(hosts, true);
        assert!((1..=26).contains(&worst), "{hosts} hosts: {worst}");
    }
    // Hosts that have just started do not know each other yet.
    assert!(worst_cold_second(8, false) <= 26);
}

/// Guards against a load report of a peer that is ignored, or kept after the peer fell silent.
#[test]
fn peer_load_reports_count_until_they_expire() {
    let now = Instant::now();
    let mut own = filled(now);
    assert!(own.take_load_changed());
    let reports = own.load_reports();
    let mut other = scheduler(&[endpoint("e1", "a")], true, now);
    other.reduce(
        SchedulerEvent::PeerReported {
            peer: host(1),
            reports,
        },
        now,
    );
    // It can be on time for longer than the report counts.
    let item = WorkItem {
        first_byte_deadline: now + Duration::from_secs(2),
        ..work(1, 0, now)
    };
    let effects = other.reduce(SchedulerEvent::Submitted(item), now);
    assert_eq!(dispatched(&effects), [], "the peer has taken every place");
    let later = now + Duration::from_millis(1_100);
    assert_eq!(
        dispatched(&other.reduce(SchedulerEvent::Tick, later)).len(),
        1
    );
}

/// Guards against a fleet whose hosts all take the places of an endpoint that has just become free:
/// 61 hosts with waiting requests see the same summary of a hub.
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
    // Four places, and as many runs again that wait at the endpoint for a moment; the draws are
    // independent, so the bound leaves three standard deviations.
    assert!((1..=20).contains(&sent), "{sent} runs for {SLOTS} places");
}

/// What callers got from one played load.
#[derive(Debug, Default)]
struct LoadResult {
    asked: [u32; 3],
    on_time: [u32; 3],
    refused: [u32; 3],
}

/// Plays 20 s at `factor` times what three endpoints with four places and runs of 200 ms can do:
/// 60 requests a second. Routes of three tiers ask in turn.
fn play_overload(factor: f64) -> LoadResult {
    const RUN: Duration = Duration::from_millis(200);
    let start = Instant::now();
    let entries: Vec<_> = ["e1", "e2", "e3"].map(|name| endpoint(name, "a")).into();
    let mut state = scheduler(&entries, true, start);
    let mut result = LoadResult::default();
    let mut running: VecDeque<(Duration, u64)> = VecDeque::new();
    let mut arrivals: Vec<Duration> = Vec::new();
    let mut credit = 0.0;
    for step in 0..4_000_u64 {
        let now = Duration::from_millis(step * 5);
        let mut effects = Vec::new();
        while running.front().is_some_and(|(until, _)| *until <= now) {
            let (_, ticket) = running.pop_front().expect("not empty");
            effects.extend(state.reduce(ended(ticket, RunEnd::Completed), start + now));
        }
        credit += factor * 60.0 * 0.005;
        while credit >= 1.0 {
            credit -= 1.0;
            let ticket = arrivals.len() as u64;
            let tier = u8::try_from(ticket % 3).expect("small");
            arrivals.push(now);
            result.asked[usize::from(tier)] += 1;
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

/// Guards against a queue that makes every request late in a long overload. At 1.5 times what
/// the endpoints can do, seven tenths of their places must go to requests that are on time,
/// higher routes must fare no worse than lower ones, and none may starve.
#[test]
fn overload_keeps_most_slots_for_requests_that_are_on_time() {
    let result = play_overload(1.5);
    let on_time: u32 = result.on_time.iter().sum();
    assert!(on_time >= 60 * 20 * 7 / 10, "{result:?}");
    assert!(result.on_time[0] >= result.on_time[1], "{result:?}");
    assert!(result.on_time[1] >= result.on_time[2], "{result:?}");
    assert!(result.refused[0] <= result.refused[2], "{result:?}");
    let least = result.asked[2] / 4;
    assert!(result.asked[2] - result.refused[2] >= least, "{result:?}");
}

/// Guards against places that go to requests that are late already while others, which could be on
/// time, are refused. Nine of ten that are sent must be on time, however long the overload lasts.
#[test]
fn slots_go_to_requests_that_can_be_on_time() {
    for factor in [1.1, 1.5, 3.0] {
        let result = play_overload(factor);
        let asked: u32 = result.asked.iter().sum();
        let refused: u32 = result.refused.iter().sum();
        let on_time: u32 = result.on_time.iter().sum();
        let sent = asked - refused;
        assert!(
            on_time * 10 >= sent * 9,
            "{factor}: {on_time} of {sent} sent, {result:?}"
        );
    }
}

/// Guards against callers who are told to come back while a long overload still lasts, and against
/// long waits in a short one.
#[test]
fn retry_delays_grow_with_the_overload() {
    let now = Instant::now();
    let at = |millis| now + Duration::from_millis(millis);
    let mut state = filled(now);
    // One request after the other waits in vain.
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
    // A place becomes free and nobody waits any more: the next overload is a new one.
    state.reduce(ended(1, RunEnd::Completed), at(3_100));
    state.reduce(ended(2, RunEnd::Completed), at(3_100));
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

/// Guards against requests that are refused while endpoints are away for a moment: no other
/// request gains from it.
#[test]
fn requests_wait_while_endpoints_are_unreachable() {
    let now = Instant::now();
    let mut state = lone_host(true, now);
    state.reduce(SchedulerEvent::Submitted(work(1, 0, now)), now);
    state.reduce(ended(1, RunEnd::Unreachable), now);
    state.reduce(SchedulerEvent::Submitted(work(2, 0, now)), now);
    let later = now + Duration::from_millis(1_500);
    let effects = state.reduce(SchedulerEvent::Tick, later);
    assert_eq!(dispatched(&effects), [(2, "e1".to_owned())]);
}

/// Guards against refusals or lateness while there is room.
#[test]
fn load_below_capacity_is_served_on_time() {
    let result = play_overload(0.7);
    assert_eq!(result.refused, [0; 3]);
    assert_eq!(result.on_time, result.asked);
}

/// Guards against an endpoint that refuses at once and so draws all requests, as it looks free.
#[test]
fn an_endpoint_that_refuses_is_blocked_briefly() {
    let now = Instant::now();
    let mut state = filled(now);
    state.reduce(ended(1, RunEnd::NotRun), now);
    let effects = state.reduce(SchedulerEvent::Submitted(work(9, 0, now)), now);
    assert_eq!(dispatched(&effects), []);
    let later = now + Duration::from_millis(150);
    assert_eq!(
        dispatched(&state.reduce(SchedulerEvent::Tick, later)).len(),
        1
    );
}

/// Guards against a run that is counted for ever: callers may leave at any moment.
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
        let mut state = filled(now);
        state.reduce(ended(1, end), now);
        let effects = state.reduce(SchedulerEvent::Submitted(work(9, 0, now)), now);
        assert_eq!(dispatched(&effects).len(), 1, "{end:?}");
    }
}
