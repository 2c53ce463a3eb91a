//! Tests of the expiry of used keys.

use std::time::Duration;

use crate::key_memory::{KeyMemory, KeyState};

const RETENTION: Duration = Duration::from_mins(11);

fn at(seconds: u64) -> Duration {
    Duration::from_secs(1_000_000 + seconds)
}

/// Guards against a key that expires while it could still be accepted, and against a key that
/// never expires.
#[test]
fn keys_expire_after_the_retention_time() {
    let mut memory = KeyMemory::default();
    memory.insert("used", KeyState::Used, at(0));
    memory.insert("abandoned", KeyState::Abandoned, at(10));
    memory.remove_expired(at(660), RETENTION);
    assert_eq!(memory.state("used"), Some(KeyState::Used));
    memory.remove_expired(at(661), RETENTION);
    assert_eq!(memory.state("used"), None);
    assert_eq!(memory.state("abandoned"), Some(KeyState::Abandoned));
    memory.remove_expired(at(671), RETENTION);
    assert_eq!((memory.state("abandoned"), memory.len()), (None, 0));
}

/// Guards against a second insertion that adds a second expiry, of which the first would remove the
/// key early, and against one that does not update the state.
#[test]
fn a_second_insertion_changes_only_the_state() {
    let mut memory = KeyMemory::default();
    memory.insert("key", KeyState::Used, at(0));
    memory.insert("key", KeyState::Abandoned, at(100));
    assert_eq!(memory.state("key"), Some(KeyState::Abandoned));
    assert_eq!(memory.len(), 1);
    memory.remove_expired(at(661), RETENTION);
    assert_eq!(memory.len(), 0);
}

/// Guards against a clock that is set back and blocks or hastens the expiry of later keys.
#[test]
fn a_clock_set_back_does_not_expire_keys_early() {
    let mut memory = KeyMemory::default();
    memory.insert("before", KeyState::Used, at(100));
    memory.insert("after the step", KeyState::Used, at(40));
    memory.remove_expired(at(701), RETENTION);
    // The later key expires after the earlier one, so it is kept longer than the retention time.
    assert_eq!(memory.len(), 2);
    memory.remove_expired(at(761), RETENTION);
    assert_eq!(memory.len(), 0);
}
