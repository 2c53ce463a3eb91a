//! Which hosts are named to callers, and over which limits are shared.

mod common;

use std::time::{Duration, Instant};

use common::host;
use gateway::membership::{BeatNews, MemberTable, PeerBeat};

fn beat(number: u8, incarnation: u64, count: u64) -> PeerBeat {
    PeerBeat {
        host: host(number),
        zone: "a".into(),
        incarnation,
        number: count,
        ready: true,
        leaving: false,
        catalog_version: 1,
        loads: Vec::new(),
        usage: Vec::new(),
        heard: Vec::new(),
    }
}

fn serving(table: &MemberTable, now: Instant) -> Vec<std::net::IpAddr> {
    let mut hosts: Vec<_> = table
        .serving(now)
        .into_iter()
        .map(|(host, _)| host)
        .collect();
    hosts.sort_unstable();
    hosts
}

/// Guards against callers being sent to a host that is dead, leaving, or not ready.
#[test]
fn only_hosts_that_answer_are_named() {
    let now = Instant::now();
    let mut table = MemberTable::new(host(1));
    table.introduce(host(9), now);
    table.note_beat(&beat(2, 1, 1), now);
    let leaving = PeerBeat {
        leaving: true,
        ..beat(3, 1, 1)
    };
    table.note_beat(&leaving, now);
    let starting = PeerBeat {
        ready: false,
        ..beat(4, 1, 1)
    };
    table.note_beat(&starting, now);
    assert_eq!(serving(&table, now), [host(2)]);
    assert!(serving(&table, now + Duration::from_millis(2_100)).is_empty());
}

/// Guards against a datagram that comes late and undoes a newer one.
#[test]
fn old_beats_change_nothing() {
    let now = Instant::now();
    let mut table = MemberTable::new(host(1));
    assert_eq!(table.note_beat(&beat(2, 1, 5), now), BeatNews::Appeared);
    assert_eq!(table.note_beat(&beat(2, 1, 6), now), BeatNews::Known);
    assert_eq!(table.note_beat(&beat(2, 1, 5), now), BeatNews::Stale);
    // A new incarnation counts from the beginning.
    assert_eq!(table.note_beat(&beat(2, 2, 1), now), BeatNews::Appeared);
}

/// Guards against a host that is cut off and takes the shares of all others, and against shares
/// that are kept for the dead for ever.
#[test]
fn silent_hosts_count_unless_this_host_is_on_the_greater_side() {
    let now = Instant::now();
    let later = now + Duration::from_secs(20);
    let mut table = MemberTable::new(host(1));
    for number in 2..=5 {
        table.note_beat(&beat(number, 1, 1), now);
    }
    let alone = table.view(true, later);
    assert_eq!((alone.counted.len(), alone.silent), (5, 4), "hears nobody");
    for number in 2..=4 {
        table.note_beat(&beat(number, 1, 2), later);
    }
    let most = table.view(true, later);
    assert_eq!((most.counted.len(), most.silent), (4, 0), "one is gone");
    let without_store = table.view(false, later);
    assert_eq!((without_store.counted.len(), without_store.silent), (5, 1));
}

/// Guards against bytes from elsewhere that stop the exchange.
#[test]
fn foreign_datagrams_are_no_beats() {
    assert_eq!(PeerBeat::decode(b"\x00\x01nonsense"), None);
    let sent = beat(2, 1, 1);
    assert_eq!(PeerBeat::decode(&sent.encode()), Some(sent));
}
