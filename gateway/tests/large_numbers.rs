//! Numbers at the ends of their ranges in entries and configurations. Overflow panics in debug
//! builds and wraps in release builds, so these tests run in both.

mod common;

use std::time::Instant;

use common::{dispatched, endpoint, scheduler, work};
use gateway::scheduler::SchedulerEvent;

/// Guards against an endpoint whose capacity overflows: it ended the process or took one request.
#[test]
fn an_endpoint_with_the_largest_number_of_slots_takes_requests() {
    let now = Instant::now();
    for slots in [u32::MAX, u32::MAX - 1, u32::MAX - 2] {
        let mut entry = endpoint("e1", "a");
        entry.slots = slots;
        let mut state = scheduler(&[entry], false, now);
        for ticket in 1..=3 {
            let effects = state.reduce(SchedulerEvent::Submitted(work(ticket, 1, now)), now);
            assert_eq!(dispatched(&effects), [(ticket, "e1".to_owned())], "{slots}");
        }
    }
}
