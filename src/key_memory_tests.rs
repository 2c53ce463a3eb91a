//! Expiry of remembered keys.

use std::time::Duration;

use crate::key_memory::{KeyMemory, KeyState};

const KEEP: Duration = Duration::from_mins(11);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(1_000_000 + seconds)
}

/// Guards against a key that is forgotten while it could still be accepted, and against one that
/// is kept for ever.
#[test]
fn keys_are_kept_for_the_whole_time() {
    let mut memory = KeyMemory::default();
    memory.insert("used", KeyState::Used, at(0));
    memory.insert("abandoned", KeyState::Abandoned, at(10));
    memory.remove_expired(at(660), KEEP);
    assert_eq!(memory.state("used"), Some(KeyState::Used));
    memory.remove_expired(at(661), KEEP);
    assert_eq!(memory.state("used"), None);
    assert_eq!(memory.state("abandoned"), Some(KeyState::Abandoned));
    memory.remove_expired(at(671), KEEP);
    assert_eq!((memory.state("abandoned"), memory.len()), (None, 0));
}

/// Guards against a repeated insertion that leaves two expiries, the first of which would forget
/// the key early, or changes nothing though the state did.
#[test]
fn a_second_insertion_changes_the_state_only() {
    let mut memory = KeyMemory::default();
    memory.insert("key", KeyState::Used, at(0));
    memory.insert("key", KeyState::Abandoned, at(100));
    assert_eq!(memory.state("key"), Some(KeyState::Abandoned));
    assert_eq!(memory.len(), 1);
    memory.remove_expired(at(661), KEEP);
    assert_eq!(memory.len(), 0);
}

/// Guards against a clock that steps back and blocks or speeds up expiry of later keys.
#[test]
fn clock_steps_do_not_lose_keys() {
    let mut memory = KeyMemory::default();
    memory.insert("before", KeyState::Used, at(100));
    memory.insert("after the step", KeyState::Used, at(40));
    memory.remove_expired(at(701), KEEP);
    // The later key waits behind the earlier one: it is kept for longer, never for less.
    assert_eq!(memory.len(), 2);
    memory.remove_expired(at(761), KEEP);
    assert_eq!(memory.len(), 0);
}
