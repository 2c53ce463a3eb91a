//! Events of a stream, and removals around an outage of the store.

#[path = "../../tests/seeds/mod.rs"]
mod seeds;

use std::time::{Duration, Instant};

use gateway::catalog::{HeldRemoval, RemovalHold};
use gateway::edge::EventSplitter;
use seeds::check_seeds;

/// Guards against half events that reach a caller before a stream goes on elsewhere, and against
/// bytes that are lost or doubled, however the stream is cut into chunks.
#[test]
fn any_cut_gives_whole_events() {
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

/// Guards against an event that is joined from the halves of two runs.
#[test]
fn a_half_event_is_dropped_before_a_resume() {
    let mut splitter = EventSplitter::default();
    let cut = splitter.push(b"id: 1\ndata: a\n\nid: 2\nda");
    assert_eq!(cut.expect("short").expect("one event").last_id, Some(1));
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

/// Guards against living endpoints that are dropped because their entries lapsed while the store
/// was away, and against gone ones that are kept.
#[test]
fn removals_around_an_outage_wait() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut hold = RemovalHold::default();
    assert!(hold.admit_removal(&"calm".into(), at(0)), "no outage");
    hold.record_store_failure();
    hold.record_store_answer(at(1_000));
    assert!(!hold.admit_removal(&"back".into(), at(1_100)));
    assert!(!hold.admit_removal(&"gone".into(), at(1_100)));
    hold.cancel(&"back".into());
    assert!(hold.take_due(at(3_000)).is_empty(), "within two seconds");
    assert_eq!(ids(&hold.take_due(at(3_400))), ["gone"]);
    assert!(hold.admit_removal(&"later".into(), at(3_500)));
}

/// Guards against requests to an endpoint that left while this host alone had lost the store.
#[test]
fn a_cut_off_host_holds_nothing_back_when_a_peer_vouches() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let mut hold = RemovalHold::default();
    hold.record_store_failure();
    hold.record_store_answer(at(1_000));
    assert!(!hold.admit_removal(&"gone".into(), at(1_100)));
    hold.set_confirmed(true);
    assert_eq!(ids(&hold.take_due(at(1_200))), ["gone"]);
    assert!(hold.admit_removal(&"next".into(), at(1_200)));
    // Also while the store refuses this host alone.
    hold.record_store_failure();
    assert!(hold.admit_removal(&"last".into(), at(1_300)));
    // A word counts while it is given only.
    hold.set_confirmed(false);
    assert!(!hold.admit_removal(&"unsure".into(), at(1_400)));
    assert!(hold.take_due(at(9_000)).is_empty());
    hold.record_store_answer(at(9_000));
    assert!(hold.take_due(at(11_000)).is_empty(), "within two seconds");
    assert_eq!(ids(&hold.take_due(at(11_400))), ["unsure"]);
}
