//! Tests of the pace estimates that hosts learn, and of the endpoints that they choose for long
//! answers.

mod common;

use std::time::{Duration, Instant};

use common::{dispatched, endpoint, scheduler, work};
use gateway::catalog::EndpointEntry;
use gateway::scheduler::{RunEnd, SchedulerEvent, SchedulerState, WorkItem};

/// Times between two events of the slow and the fast endpoint, which differ by a factor of five, as
/// on the users' deployments.
const SLOW_EVENT_GAP: Duration = Duration::from_millis(55);
const FAST_EVENT_GAP: Duration = Duration::from_millis(11);

/// Returns a scheduler with two endpoints, `slow` and `fast`, without any observation.
fn two_endpoints(now: Instant) -> SchedulerState {
    scheduler(&[endpoint("slow", "a"), endpoint("fast", "a")], true, now)
}

/// Runs requests until both endpoints have been observed a few times.
fn observe_runs(state: &mut SchedulerState, now: Instant) {
    for ticket in 100..116 {
        let effects = state.reduce(SchedulerEvent::Submitted(work(ticket, 0, now)), now);
        for (ticket, name) in dispatched(&effects) {
            let event_gap = if name == "slow" {
                SLOW_EVENT_GAP
            } else {
                FAST_EVENT_GAP
            };
            let ended = SchedulerEvent::Ended {
                ticket,
                end: RunEnd::Completed,
                events: 21,
                streamed_for: event_gap * 20,
            };
            state.reduce(SchedulerEvent::FirstByte(ticket), now + event_gap);
            state.reduce(ended, now + event_gap);
        }
    }
}

/// Returns a request for an answer that takes the slow endpoint 16 s and the fast one 3 s, and is
/// due in 10 s.
fn long_work(ticket: u64, now: Instant) -> WorkItem {
    WorkItem {
        output_tokens: 2_000,
        ..work(ticket, 0, now)
    }
}

/// Submits `count` requests for long answers and returns the endpoints to which they are
/// dispatched.
fn dispatch_long_answers(state: &mut SchedulerState, count: u64, now: Instant) -> Vec<String> {
    let mut endpoints = Vec::new();
    for ticket in 1..=count {
        let effects = state.reduce(SchedulerEvent::Submitted(long_work(ticket, now)), now);
        endpoints.extend(dispatched(&effects).into_iter().map(|(_, name)| name));
    }
    endpoints
}

/// Guards against slots that are taken for seconds by answers that cannot finish there: one eighth
/// of all slots of a large fleet went to such runs.
#[test]
fn a_long_answer_runs_where_it_can_finish_in_time() {
    let now = Instant::now();
    let mut state = two_endpoints(now);
    observe_runs(&mut state, now);
    // The fast endpoint has four slots; the fifth request waits for one of them.
    let endpoints = dispatch_long_answers(&mut state, 5, now);
    assert_eq!(endpoints, ["fast"; 4]);
    assert!(state.has_waiting());
    // Requests behind it that the slow endpoint can finish are not held up.
    let effects = state.reduce(SchedulerEvent::Submitted(work(6, 0, now)), now);
    assert_eq!(dispatched(&effects), [(6, "slow".to_owned())]);
}

/// Guards against a long answer that waits forever if no endpoint is fast enough.
#[test]
fn without_a_fast_endpoint_a_slow_one_is_used() {
    let now = Instant::now();
    let mut state = scheduler(&[endpoint("slow", "a")], true, now);
    observe_runs(&mut state, now);
    assert_eq!(dispatch_long_answers(&mut state, 1, now), ["slow"]);
}

/// Guards against hosts of a large fleet that each observe too few runs to estimate an endpoint's
/// pace.
#[test]
fn hosts_learn_paces_from_peer_reports() {
    let now = Instant::now();
    let mut first = two_endpoints(now);
    observe_runs(&mut first, now);
    let observed = first.take_pace_reports();
    assert_eq!(observed.len(), 2);
    assert!(first.take_pace_reports().is_empty(), "reported once");

    let mut peer = two_endpoints(now);
    peer.reduce(SchedulerEvent::PacesObserved(observed), now);
    assert_eq!(dispatch_long_answers(&mut peer, 5, now), ["fast"; 4]);

    let mut follower = two_endpoints(now);
    follower.reduce(SchedulerEvent::PacesEstimated(peer.pace_estimates()), now);
    assert_eq!(dispatch_long_answers(&mut follower, 5, now), ["fast"; 4]);
}

/// Guards against estimates of a host without observations that replace those of a host with
/// observations.
#[test]
fn unobserved_paces_are_not_reported() {
    let now = Instant::now();
    let state = two_endpoints(now);
    assert!(state.pace_estimates().is_empty());
}

/// Guards against reports of times that were not observed: most reports cover first bytes of
/// streams that are still running.
#[test]
fn pace_reports_omit_times_that_were_not_observed() {
    let now = Instant::now();
    let mut observer = scheduler(&[endpoint("slow", "a")], true, now);
    let item = WorkItem {
        prompt_tokens: 4_000,
        ..work(1, 0, now)
    };
    observer.reduce(SchedulerEvent::Submitted(item), now);
    observer.reduce(
        SchedulerEvent::FirstByte(1),
        now + Duration::from_millis(100),
    );
    let reports = observer.take_pace_reports();
    assert_eq!((reports[0].event_gap_us, reports.len()), (0, 1));
    assert!(
        (10_000..40_000).contains(&reports[0].prefill_ns),
        "{reports:?}"
    );
    observer.reduce(
        SchedulerEvent::Ended {
            ticket: 1,
            end: RunEnd::Completed,
            events: 11,
            streamed_for: Duration::from_millis(300),
        },
        now + Duration::from_millis(400),
    );
    let reports = observer.take_pace_reports();
    assert_eq!(
        (reports[0].prefill_ns, reports[0].event_gap_us),
        (0, 30_000)
    );
}

/// Guards against requests without a prompt size that make an endpoint's pace unknown forever.
#[test]
fn requests_without_a_prompt_size_do_not_affect_prefill_estimates() {
    let now = Instant::now();
    let mut state = scheduler(&[endpoint("e1", "a")], true, now);
    for ticket in 1..4 {
        let unsized_work = WorkItem {
            prompt_tokens: 0,
            ..work(ticket, 0, now)
        };
        let effects = state.reduce(SchedulerEvent::Submitted(unsized_work), now);
        assert_eq!(dispatched(&effects).len(), 1, "{ticket}");
        state.reduce(SchedulerEvent::FirstByte(ticket), now + FAST_EVENT_GAP);
    }
    assert!(state.take_pace_reports().is_empty());
    assert!(
        state.pace_estimates().is_empty(),
        "{:?}",
        state.pace_estimates()
    );
}

/// Guards against hosts that know different minimum gaps, and against a gap that shrinks as hosts
/// relay it.
#[test]
fn min_event_gaps_are_relayed_unchanged() {
    let now = Instant::now();
    let gap_of = |state: &SchedulerState, name: &str| {
        let gaps = state.min_event_gaps(&"pool".into(), now);
        let gap = gaps.iter().find(|(version, _)| version == name);
        gap.expect("a known endpoint").1
    };
    let entries = ["slow", "fast"].map(|name| EndpointEntry {
        version: name.into(),
        ..endpoint(name, "a")
    });
    let mut first = scheduler(&entries, true, now);
    observe_runs(&mut first, now);
    assert_eq!(gap_of(&first, "slow"), Some(55.0));
    let mut last = first;
    for _ in 0..50 {
        let mut next = scheduler(&entries, true, now);
        next.reduce(SchedulerEvent::PacesEstimated(last.pace_estimates()), now);
        last = next;
    }
    let gap = gap_of(&last, "slow").expect("a relayed gap");
    assert!((54.5..56.0).contains(&gap), "{gap} ms");
}
