//! Tests of the split of streams into events, and of removals around an outage of the store.

#[path = "../../tests/seeds/mod.rs"]
mod seeds;

use std::time::{Duration, Instant};

use gateway::catalog::{HeldRemoval, RemovalHold};
use gateway::edge::EventSplitter;
use seeds::check_seeds;

/// Guards against partial events that reach a caller before another endpoint resumes the stream,
/// and against lost or duplicate bytes, however the stream is divided into chunks.
#[test]
fn any_chunks_give_complete_events() {
    check_seeds(300, |source| {
        let count = source.int_in_range(1..=20_u64)?;
        let events: Vec<String> = (1..=count)
            .map(|id| format!("id: {id}\ndata: token {id}\n\n"))
            .collect();
        let text = events.concat();
        let mut splitter = EventSplitter::default();
        let mut passed = Vec::new();
        let mut last_id = None;
        let mut rest = text.as_bytes();
        while !rest.is_empty() {
            let length = source.int_in_range(1..=rest.len().min(40))?;
            let (chunk, after) = rest.split_at(length);
            rest = after;
            if let Some(events) = splitter.push(chunk).expect("short events") {
                assert!(events.bytes.ends_with(b"\n\n"));
                last_id = events.last_id;
                passed.extend_from_slice(&events.bytes);
                let ids = String::from_utf8_lossy(&passed).matches("id: ").count();
                assert_eq!(last_id, Some(ids as u64));
            }
        }
        assert_eq!(passed, text.as_bytes());
        assert_eq!(last_id, Some(count));
        assert!(splitter.take_remainder().is_empty());
        Ok(())
    });
}

/// Guards against an event that is assembled from the parts of two runs.
#[test]
fn a_partial_event_is_dropped_before_a_resume() {
    let mut splitter = EventSplitter::default();
    let first = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(first.expect("short").expect("one event").last_id, Some(1));
    splitter.clear();
    let resumed = splitter.push(b"id: 2\ndata: b\n\n");
    assert_eq!(
        &resumed.expect("short").expect("one event").bytes[..],
        b"id: 2\ndata: b\n\n"
    );
}

fn ids(removals: &[HeldRemoval]) -> Vec<&str> {
    removals.iter().map(|held| held.id.as_str()).collect()
}

/// Guards against the removal of live endpoints whose entries expired during an outage of the
/// store, and against keeping endpoints that are gone.
#[test]
fn removals_around_an_outage_are_held_back() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut hold = RemovalHold::default();
    assert!(
        hold.admit_removal(&"calm".into(), at(0)),
        "no outage has happened"
    );
    hold.record_store_failure();
    hold.record_store_answer(at(1_000));
    assert!(!hold.admit_removal(&"back".into(), at(1_100)));
    assert!(!hold.admit_removal(&"gone".into(), at(1_100)));
    hold.cancel(&"back".into());
    assert!(
        hold.take_due(at(3_000)).is_empty(),
        "endpoints may still register again"
    );
    assert_eq!(ids(&hold.take_due(at(3_400))), ["gone"]);
    assert!(hold.admit_removal(&"later".into(), at(3_500)));
}

/// Guards against requests to an endpoint that left while only this host had lost the store.
#[test]
fn a_cut_off_host_holds_nothing_back_when_a_peer_confirms_contact() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut hold = RemovalHold::default();
    hold.record_store_failure();
    hold.record_store_answer(at(1_000));
    assert!(!hold.admit_removal(&"gone".into(), at(1_100)));
    hold.set_confirmed(true);
    assert_eq!(ids(&hold.take_due(at(1_200))), ["gone"]);
    assert!(hold.admit_removal(&"next".into(), at(1_200)));
    // The same holds while only this host cannot reach the store.
    hold.record_store_failure();
    assert!(hold.admit_removal(&"last".into(), at(1_300)));
    // The confirmation applies only as long as it is given.
    hold.set_confirmed(false);
    assert!(!hold.admit_removal(&"unsure".into(), at(1_400)));
    assert!(hold.take_due(at(9_000)).is_empty());
    hold.record_store_answer(at(9_000));
    assert!(
        hold.take_due(at(11_000)).is_empty(),
        "endpoints may still register again"
    );
    assert_eq!(ids(&hold.take_due(at(11_400))), ["unsure"]);
}
