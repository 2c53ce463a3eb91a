//! What hosts learn of endpoints' pace, and where they send long answers.

mod common;

use std::time::{Duration, Instant};

use common::{dispatched, endpoint, scheduler, work};
use gateway::catalog::EndpointEntry;
use gateway::scheduler::{RunEnd, SchedulerEvent, SchedulerState, WorkItem};

/// Time between two events of the slow and the fast endpoint: five times apart, as on the users'
/// deployments.
const SLOW_EVENT: Duration = Duration::from_millis(55);
const FAST_EVENT: Duration = Duration::from_millis(11);

/// Two endpoints, `slow` and `fast`, of which nothing is known.
fn two_endpoints(now: Instant) -> SchedulerState {
    scheduler(&[endpoint("slow", "a"), endpoint("fast", "a")], true, now)
}

/// Runs requests until both endpoints have been seen at work a few times.
fn observe(state: &mut SchedulerState, now: Instant) {
    for ticket in 100..116 {
        let effects = state.reduce(SchedulerEvent::Submitted(work(ticket, 0, now)), now);
        for (ticket, name) in dispatched(&effects) {
            let event = if name == "slow" {
                SLOW_EVENT
            } else {
                FAST_EVENT
            };
            let ended = SchedulerEvent::Ended {
                ticket,
                end: RunEnd::Completed,
                events: 21,
                streamed_for: event * 20,
            };
            state.reduce(SchedulerEvent::FirstByte(ticket), now + event);
            state.reduce(ended, now + event);
        }
    }
}

/// An answer that takes the slow endpoint 16 s and the fast one 3 s, due in 10 s.
fn long_work(ticket: u64, now: Instant) -> WorkItem {
    WorkItem {
        output_tokens: 2_000,
        ..work(ticket, 0, now)
    }
}

/// Fills all places of an endpoint that short requests prefer, then asks for a long answer.
fn place_of_long_answers(state: &mut SchedulerState, count: u64, now: Instant) -> Vec<String> {
    let mut places = Vec::new();
    for ticket in 1..=count {
        let effects = state.reduce(SchedulerEvent::Submitted(long_work(ticket, now)), now);
        places.extend(dispatched(&effects).into_iter().map(|(_, name)| name));
    }
    places
}

/// Guards against places that are taken for seconds by answers that cannot be finished there: an
/// eighth of all places of a large fleet went to such runs.
#[test]
fn a_long_answer_runs_where_it_can_finish_in_time() {
    let now = Instant::now();
    let mut state = two_endpoints(now);
    observe(&mut state, now);
    // The fast endpoint has four places; the fifth answer waits for one of them.
    let places = place_of_long_answers(&mut state, 5, now);
    assert_eq!(places, ["fast"; 4]);
    assert!(state.has_waiting());
    // Requests behind it that the slow endpoint can finish are not held up.
    let effects = state.reduce(SchedulerEvent::Submitted(work(6, 0, now)), now);
    assert_eq!(dispatched(&effects), [(6, "slow".to_owned())]);
}

/// Guards against a long answer that waits for ever when no endpoint is fast enough.
#[test]
fn without_a_fast_endpoint_a_slow_one_is_used() {
    let now = Instant::now();
    let mut state = scheduler(&[endpoint("slow", "a")], true, now);
    observe(&mut state, now);
    assert_eq!(place_of_long_answers(&mut state, 1, now), ["slow"]);
}

/// Guards against hosts of a large fleet that each see too few runs to know an endpoint's pace.
#[test]
fn hosts_learn_paces_from_peer_reports() {
    let now = Instant::now();
    let mut first = two_endpoints(now);
    observe(&mut first, now);
    let observed = first.take_pace_reports();
    assert_eq!(observed.len(), 2);
    assert!(first.take_pace_reports().is_empty(), "told once");

    let mut peer = two_endpoints(now);
    peer.reduce(SchedulerEvent::PacesObserved(observed), now);
    assert_eq!(place_of_long_answers(&mut peer, 5, now), ["fast"; 4]);

    let mut follower = two_endpoints(now);
    follower.reduce(SchedulerEvent::PacesEstimated(peer.pace_estimates()), now);
    assert_eq!(place_of_long_answers(&mut follower, 5, now), ["fast"; 4]);
}

/// Guards against estimates of a host that knows nothing replacing those of one that does.
#[test]
fn unobserved_paces_are_not_reported() {
    let now = Instant::now();
    let state = two_endpoints(now);
    assert!(state.pace_estimates().is_empty());
}

/// Guards against times that were not seen being told as if they were: most beats tell of first
/// bytes whose streams go on.
#[test]
fn pace_reports_omit_times_that_were_not_observed() {
    let now = Instant::now();
    let mut observer = scheduler(&[endpoint("slow", "a")], true, now);
    let read = WorkItem {
        prompt_tokens: 4_000,
        ..work(1, 0, now)
    };
    observer.reduce(SchedulerEvent::Submitted(read), now);
    observer.reduce(
        SchedulerEvent::FirstByte(1),
        now + Duration::from_millis(100),
    );
    let told = observer.take_pace_reports();
    assert_eq!((told[0].event_gap_us, told.len()), (0, 1));
    assert!((10_000..40_000).contains(&told[0].prefill_ns), "{told:?}");
    observer.reduce(
        SchedulerEvent::Ended {
            ticket: 1,
            end: RunEnd::Completed,
            events: 11,
            streamed_for: Duration::from_millis(300),
        },
        now + Duration::from_millis(400),
    );
    let told = observer.take_pace_reports();
    assert_eq!((told[0].prefill_ns, told[0].event_gap_us), (0, 30_000));
}

/// Guards against requests without a size that make an endpoint's pace unknown for ever.
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
        state.reduce(SchedulerEvent::FirstByte(ticket), now + FAST_EVENT);
    }
    assert!(state.take_pace_reports().is_empty());
    assert!(
        state.pace_estimates().is_empty(),
        "{:?}",
        state.pace_estimates()
    );
}

/// Guards against hosts that know different least gaps, and against one that shrinks as hosts tell it
/// on.
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
    observe(&mut first, now);
    assert_eq!(gap_of(&first, "slow"), Some(55.0));
    let mut told = first;
    for _ in 0..50 {
        let mut next = scheduler(&entries, true, now);
        next.reduce(SchedulerEvent::PacesEstimated(told.pace_estimates()), now);
        told = next;
    }
    let gap = gap_of(&told, "slow").expect("told on");
    assert!((54.5..56.0).contains(&gap), "{gap} ms");
}
