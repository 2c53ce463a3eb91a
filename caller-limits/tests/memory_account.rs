//! The account of memory for bodies, without a network.

use std::time::{Duration, Instant};

use caller_limits::{BodyUse, MemoryAccount, ReserveOutcome};

const MB: usize = 1024 * 1024;

/// Guards against large bodies that leave no room for small ones, and requests that leave none for
/// responses.
#[test]
fn large_requests_leave_room_for_small_ones_and_for_responses() {
    let now = Instant::now();
    let mut account = MemoryAccount::new(10 * MB);
    for _ in 0..6 {
        let body = account.open(BodyUse::Request, now);
        assert_eq!(account.reserve(body, MB, now), ReserveOutcome::Granted);
    }
    let large = account.open(BodyUse::Request, now);
    assert_eq!(account.reserve(large, MB, now), ReserveOutcome::Refused);
    for _ in 0..16 {
        let small = account.open(BodyUse::Request, now);
        assert_eq!(
            account.reserve(small, 64 * 1024, now),
            ReserveOutcome::Granted
        );
    }
    let response = account.open(BodyUse::Response, now);
    assert_eq!(
        account.reserve(response, 3 * MB, now),
        ReserveOutcome::Granted
    );
    assert_eq!(account.usage().request_bytes, 7 * MB);
}

/// Guards against a crowd of stalled bodies that holds up one that makes progress, and against sound
/// or complete bodies that are given up.
#[test]
fn the_largest_stalled_body_gives_its_memory_back() {
    let start = Instant::now();
    let mut account = MemoryAccount::new(10 * MB);
    let sizes = [
        (1, false, false),
        (2, false, false),
        (2, true, false),
        (1, false, true),
    ];
    let bodies = sizes.map(|(size, _, _)| {
        let body = account.open(BodyUse::Request, start);
        assert_eq!(
            account.reserve(body, size * MB, start),
            ReserveOutcome::Granted
        );
        body
    });
    let mut now = start;
    for _ in 0..6 {
        now += Duration::from_secs(1);
        for (body, (_, is_sound, is_complete)) in bodies.iter().zip(sizes) {
            if is_complete {
                account.complete(*body);
            }
            // Single bytes are no progress.
            account.record_progress(*body, if is_sound { 64 * 1024 } else { 1 }, now);
        }
    }
    let body = account.open(BodyUse::Request, now);
    assert_eq!(
        account.reserve(body, MB, now),
        ReserveOutcome::Reclaiming(bodies[1])
    );
    assert_eq!(account.close(bodies[1]), 2 * MB);
    assert_eq!(account.reserve(body, MB, now), ReserveOutcome::Granted);
    assert_eq!(
        account.reserve(body, 2 * MB, now),
        ReserveOutcome::Reclaiming(bodies[0])
    );
    account.close(bodies[0]);
    assert_eq!(account.reserve(body, 3 * MB, now), ReserveOutcome::Refused);
}

/// Guards against a single body of the largest size that a small host refuses in calm.
#[test]
fn a_single_largest_body_fits_on_the_smallest_host() {
    let now = Instant::now();
    let mut account = MemoryAccount::new(88 * MB / 2);
    let body = account.open(BodyUse::Request, now);
    assert_eq!(account.reserve(body, 4 * MB, now), ReserveOutcome::Granted);
    // A slow caller keeps it as long as nobody else needs the memory.
    let later = now + Duration::from_secs(10);
    account.record_progress(body, 1, later);
    let response = account.open(BodyUse::Response, later);
    assert_eq!(
        account.reserve(response, 4 * MB, later),
        ReserveOutcome::Granted
    );
}

/// Guards against answers that callers don't read and that keep the memory from ordinary requests.
#[test]
fn answers_that_are_not_read_give_their_memory_back() {
    let start = Instant::now();
    let mut account = MemoryAccount::new(10 * MB);
    let [unread, read] = [5 * MB, 5 * MB].map(|bytes| {
        let answer = account.open(BodyUse::Response, start);
        account.reserve(answer, bytes, start);
        account.complete(answer);
        answer
    });
    let later = start + Duration::from_secs(3);
    let request = account.open(BodyUse::Request, later);
    assert_eq!(
        account.reserve(request, MB, later),
        ReserveOutcome::Refused,
        "complete"
    );
    account.deliver(unread, later);
    account.deliver(read, later);
    let last = later + Duration::from_secs(3);
    account.record_progress(read, 64 * 1024, last);
    assert_eq!(
        account.reserve(request, MB, last),
        ReserveOutcome::Reclaiming(unread)
    );
    assert_eq!(account.close(unread), 5 * MB);
    assert_eq!(account.reserve(request, MB, last), ReserveOutcome::Granted);
}

/// Guards against memory that stays occupied after a body was decoded.
#[test]
fn a_body_gives_back_what_it_no_longer_needs() {
    let now = Instant::now();
    let mut account = MemoryAccount::new(10 * MB);
    let body = account.open(BodyUse::Request, now);
    account.reserve(body, 2 * MB, now);
    account.shrink(body, MB);
    account.shrink(body, 3 * MB);
    assert_eq!(account.usage().request_bytes, MB);
    assert_eq!(account.close(body), MB);
}

/// Guards against a body that came fast at first, then stopped, and is never given up.
#[test]
fn a_body_that_stops_after_a_fast_start_gives_its_memory_back() {
    let start = Instant::now();
    let mut account = MemoryAccount::new(10 * MB);
    let stopped = account.open(BodyUse::Request, start);
    account.reserve(stopped, 6 * MB, start);
    account.record_progress(stopped, 6 * MB, start);
    let body = account.open(BodyUse::Request, start);
    let outcomes = [1, 3, 5].map(|seconds| {
        let now = start + Duration::from_secs(seconds);
        account.reserve(body, MB, now)
    });
    let expected = [
        ReserveOutcome::Refused,
        ReserveOutcome::Refused,
        ReserveOutcome::Reclaiming(stopped),
    ];
    assert_eq!(outcomes, expected);
}
