//! Which hosts are named to callers, and over which limits are shared.

mod common;
#[path = "../../tests/seeds/mod.rs"]
mod seeds;

use std::time::{Duration, Instant};

use common::{beat, host};
use gateway::membership::{
    FeedAction, FeedPosition, FeedPositions, FeedTopic, FeedUpdate, HubChoice, HubSummary, HubSums,
    HubTally, MAX_DATAGRAM_BYTES, MemberChange, MemberTable, PeerHeartbeat, PeerMessage,
    SummaryOutcome, UpdateQueue,
};
use seeds::check_seeds;

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
    table.add_host(host(9), now);
    table.apply_heartbeat(&beat(2, 1, 1), now);
    let mut leaving = beat(3, 1, 1);
    leaving.sender.leaving = true;
    table.apply_heartbeat(&leaving, now);
    let mut starting = beat(4, 1, 1);
    starting.sender.ready = false;
    table.apply_heartbeat(&starting, now);
    assert_eq!(serving(&table, now), [host(2)]);
    assert!(serving(&table, now + Duration::from_millis(2_100)).is_empty());
}

/// Guards against a datagram that comes late and undoes a newer one.
#[test]
fn old_beats_change_nothing() {
    let now = Instant::now();
    let mut table = MemberTable::new(host(1));
    assert_eq!(
        table.apply_heartbeat(&beat(2, 1, 5), now),
        MemberChange::Appeared
    );
    assert_eq!(
        table.apply_heartbeat(&beat(2, 1, 6), now),
        MemberChange::Known
    );
    assert_eq!(
        table.apply_heartbeat(&beat(2, 1, 5), now),
        MemberChange::Stale
    );
    // A new incarnation counts from the beginning.
    assert_eq!(
        table.apply_heartbeat(&beat(2, 2, 1), now),
        MemberChange::Appeared
    );
}

/// Guards against a host that is cut off and takes the shares of all others, and against shares
/// that are kept for the dead for ever.
#[test]
fn silent_hosts_count_unless_this_host_is_on_the_greater_side() {
    let now = Instant::now();
    let later = now + Duration::from_secs(20);
    let mut table = MemberTable::new(host(1));
    for number in 2..=5 {
        table.apply_heartbeat(&beat(number, 1, 1), now);
    }
    let alone = table.view(true, later);
    assert_eq!((alone.counted.len(), alone.silent), (5, 4), "hears nobody");
    for number in 2..=4 {
        table.apply_heartbeat(&beat(number, 1, 2), later);
    }
    let most = table.view(true, later);
    assert_eq!((most.counted.len(), most.silent), (4, 0), "one is gone");
    let without_store = table.view(false, later);
    assert_eq!((without_store.counted.len(), without_store.silent), (5, 1));
}

/// Guards against bytes from elsewhere that stop the exchange.
#[test]
fn foreign_datagrams_are_no_beats() {
    assert_eq!(PeerMessage::decode(b"\x00\x01nonsense"), None);
    let sent = PeerMessage::Heartbeat(beat(2, 1, 1));
    assert_eq!(PeerMessage::decode(&sent.encode()), Some(sent));
}

/// Guards against hosts that stop asking the store because of a peer that cannot ask it either.
#[test]
fn old_marks_of_peers_save_no_call() {
    let now = Instant::now();
    let mut marks = FeedPositions::default();
    assert_eq!(marks.latest_offset(FeedTopic::Operators, false, now), None);
    let mark = |next, age_ms| FeedPosition {
        contact_ms: 0,
        topic: FeedTopic::Operators,
        next_offset: next,
        age_ms,
    };
    marks.apply_peer_positions(host(2), vec![mark(7, 100)], now);
    marks.apply_peer_positions(host(3), vec![mark(9, 5_000)], now);
    assert_eq!(
        marks.latest_offset(FeedTopic::Operators, false, now),
        Some(7)
    );
    assert_eq!(marks.latest_offset(FeedTopic::Endpoints, false, now), None);
    let later = now + Duration::from_millis(1_100);
    assert_eq!(
        marks.latest_offset(FeedTopic::Operators, false, later),
        None
    );
    assert_eq!(marks.own_positions(now), []);
    // What this host has read itself saves a call as well: a fleet that starts listed everything.
    marks.record_own(FeedTopic::Operators, 4, later);
    assert_eq!(
        marks.latest_offset(FeedTopic::Operators, false, later),
        Some(4)
    );
    let after = later + Duration::from_millis(1_200);
    assert_eq!(
        marks.latest_offset(FeedTopic::Operators, false, after),
        None
    );
}

/// Guards against a host that was cut off from the store, hears of news from others ever after, and
/// so never learns that the store is back: it held removals back for more than four seconds.
#[test]
fn a_host_asks_the_store_until_it_answers() {
    let now = Instant::now();
    let mut marks = FeedPositions::default();
    let mark = FeedPosition {
        topic: FeedTopic::Endpoints,
        next_offset: 7,
        age_ms: 100,
        contact_ms: 5_000,
    };
    marks.apply_peer_positions(host(2), vec![mark], now);
    let duty = |marks: &FeedPositions, next, watches| {
        marks.next_action(FeedTopic::Endpoints, next, watches, true, now)
    };
    assert_eq!(
        duty(&marks, 7, false),
        FeedAction::Watch,
        "not answered yet"
    );
    marks.record_answer(FeedTopic::Endpoints);
    assert_eq!(duty(&marks, 7, false), FeedAction::Idle);
    assert_eq!(duty(&marks, 6, false), FeedAction::Fetch);
    assert_eq!(duty(&marks, 7, true), FeedAction::Watch);
    // Each topic may fail alone, and the answer about another one says nothing of it.
    marks.record_failure(FeedTopic::Endpoints, now);
    marks.record_answer(FeedTopic::Operators);
    assert_eq!(duty(&marks, 7, false), FeedAction::Watch);
    assert!(!marks.is_store_reachable());
    marks.record_answer(FeedTopic::Endpoints);
    marks.record_failure(FeedTopic::Operators, now);
    assert_eq!(duty(&marks, 7, false), FeedAction::Idle);
    assert!(!marks.is_store_reachable());
    marks.record_answer(FeedTopic::Operators);
    assert!(marks.is_store_reachable());
}

/// Guards against a duty that nobody does after the host that had it is gone, and against one that
/// every host does.
#[test]
fn the_first_hosts_that_are_heard_have_the_duty() {
    let now = Instant::now();
    let mut table = MemberTable::new(host(3));
    assert!(table.is_elected(2, now), "alone");
    table.apply_heartbeat(&beat(1, 1, 1), now);
    table.apply_heartbeat(&beat(2, 1, 1), now);
    table.apply_heartbeat(&beat(4, 1, 1), now);
    assert!(!table.is_elected(2, now));
    let later = now + Duration::from_millis(800);
    table.apply_heartbeat(&beat(2, 1, 2), later);
    assert!(table.is_elected(2, later), "the first one is silent");
}

/// Hosts 12, 13 and 14 are larger than the others.
fn cpu_permille(number: u8) -> u32 {
    if number >= 12 { 500 } else { 120 }
}

fn sized_beat(number: u8, count: u64) -> PeerHeartbeat {
    let mut beat = beat(number, 1, count);
    beat.sender.cpu_permille = cpu_permille(number);
    beat
}

/// Guards against hosts that disagree on who relays, and against a fleet whose hub is gone.
#[test]
fn the_largest_hosts_that_are_heard_relay() {
    let now = Instant::now();
    let mut tables: Vec<_> = (1..=14_u8)
        .map(|own| {
            let mut table = MemberTable::new(host(own));
            for other in (1..=14).filter(|other| *other != own) {
                table.apply_heartbeat(&sized_beat(other, 1), now);
            }
            (own, table)
        })
        .collect();
    let zone = "a".into();
    for (own, table) in &mut tables {
        let plan = table.plan(&zone, cpu_permille(*own), now);
        assert_eq!(plan.hubs, [host(12), host(13)], "{own}");
    }
    let (_, mut table) = tables.into_iter().next().expect("a table");
    let later = now + Duration::from_millis(800);
    for other in (2..=14_u8).filter(|other| *other != 12) {
        table.apply_heartbeat(&sized_beat(other, 2), later);
    }
    assert_eq!(table.plan(&zone, 120, later).hubs, [host(13), host(14)]);
    let mut small = MemberTable::new(host(1));
    assert!(
        !small.plan(&zone, 120, now).is_relayed(),
        "few hosts tell each other directly"
    );
}

/// Guards against a summary that counts the receiver's own load or usage, loses usage at a restart
/// of a host, or keeps the load of a silent one.
#[test]
fn a_summary_is_about_all_others() {
    use gateway::limits::{UsageCount, UsageReport};
    use gateway::scheduler::EndpointReport;
    let now = Instant::now();
    let told = |number: u8, incarnation: u64, active: u16, admitted: u64| PeerHeartbeat {
        loads: vec![EndpointReport {
            endpoint: 1,
            active,
            pending_prefill_tokens: 10,
        }],
        usage: vec![UsageReport {
            workspace: 5,
            count: UsageCount {
                admitted,
                refunded: 0,
                refused: 0,
            },
        }],
        ..beat(number, incarnation, 1)
    };
    let mut tally = HubTally::default();
    for number in 1..=3 {
        tally.apply_heartbeat(&told(number, 1, 2, 0), now);
        tally.apply_heartbeat(&told(number, 1, 2, 100), now);
    }
    // Host 2 starts again and uses 30 more.
    tally.apply_heartbeat(&told(2, 2, 4, 30), now);
    let sums = |at| tally.sums_without(&tally.cell_totals(None, at), None, Some(host(1)));
    let HubSums { loads, usage, .. } = sums(now);
    assert_eq!((loads[0].active, loads[0].pending_prefill_tokens), (6, 20));
    assert_eq!(usage[0].count.admitted, 230);
    let HubSums { loads, usage, .. } = sums(now + Duration::from_millis(700));
    assert!(loads.is_empty());
    assert_eq!(usage[0].count.admitted, 230);
}

fn summary(hub: u8, number: u64) -> HubSummary {
    HubSummary {
        hub: host(hub),
        incarnation: 1,
        sequence: number,
        loads: Vec::new(),
        loads_zone: None,
        usage: Vec::new(),
        rollouts: Vec::new(),
        positions: Vec::new(),
        members: Vec::new(),
        alive: Vec::new(),
        paces: Vec::new(),
        updates: Vec::new(),
    }
}

/// Guards against a summary that was overtaken on its way: its loads are past, and its lower
/// counts of usage would make the next one count the difference again.
#[test]
fn overtaken_summaries_change_nothing() {
    let now = Instant::now();
    let mut choice = HubChoice::default();
    assert_eq!(
        choice.record_summary(host(1), 1, 5, true, now),
        SummaryOutcome::Switched
    );
    assert_eq!(
        choice.record_summary(host(1), 1, 4, true, now),
        SummaryOutcome::Stale
    );
    assert_eq!(
        choice.record_summary(host(1), 1, 5, true, now),
        SummaryOutcome::Stale
    );
    assert_eq!(
        choice.record_summary(host(1), 1, 6, true, now),
        SummaryOutcome::Followed
    );
    // The other hub counts only while the first one is silent.
    assert_eq!(
        choice.record_summary(host(2), 1, 9, false, now),
        SummaryOutcome::NotFollowed
    );
    let later = now + Duration::from_secs(1);
    assert_eq!(
        choice.record_summary(host(2), 1, 10, false, later),
        SummaryOutcome::Switched
    );
    // A late datagram of the first hub doesn't bring it back; a new one does.
    assert_eq!(
        choice.record_summary(host(1), 1, 6, true, later),
        SummaryOutcome::Stale
    );
    assert_eq!(
        choice.record_summary(host(1), 1, 7, true, later),
        SummaryOutcome::Switched
    );
    // A restarted hub counts from the start.
    assert_eq!(
        choice.record_summary(host(1), 2, 1, true, later),
        SummaryOutcome::Followed
    );
}

/// Guards against a host that was cut off from the store, comes back, and goes on sending to
/// endpoints that left meanwhile, as if the store had been away for all.
#[test]
fn a_peer_vouches_for_a_store_that_was_there() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let topic = FeedTopic::Endpoints;
    let mut peer = FeedPositions::default();
    for read in 0..10 {
        peer.record_own(topic, 1, at(read * 300));
    }
    let mut own = FeedPositions::default();
    own.apply_peer_positions(host(1), peer.own_positions(at(2_800)), at(2_900));
    assert!(own.is_contact_confirmed(topic, Duration::from_millis(2_300), false, at(3_000)));
    assert!(
        !own.is_contact_confirmed(topic, Duration::from_millis(2_300), false, at(5_000)),
        "too old"
    );
    // In a large fleet a mark comes through two hubs from a reader that waits 0.8 s for news. While
    // nobody vouched, hosts held removals back for four seconds and more.
    let reached = Duration::from_millis(2_300);
    assert!(own.is_contact_confirmed(topic, reached, true, at(4_100)));
    assert!(!own.is_contact_confirmed(topic, reached, false, at(4_100)));
    // After a failure or a pause the peer can't say what happened in it.
    peer.record_failure(topic, at(2_900));
    peer.record_own(topic, 1, at(3_000));
    own.apply_peer_positions(host(1), peer.own_positions(at(3_000)), at(3_000));
    assert!(!own.is_contact_confirmed(topic, Duration::from_millis(2_300), false, at(3_000)));
    peer.record_own(topic, 1, at(6_000));
    own.apply_peer_positions(host(1), peer.own_positions(at(6_000)), at(6_000));
    assert!(!own.is_contact_confirmed(topic, Duration::from_millis(2_300), false, at(6_000)));
}

/// Guards against hosts that come back from a cut together and hide, with their fresh marks, that
/// the store was there all the time: each then held removals back as after an outage.
#[test]
fn returning_hosts_do_not_hide_a_long_contact() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let topic = FeedTopic::Endpoints;
    let return_time = Duration::from_millis(2_300);
    let mut reader = FeedPositions::default();
    for read in 0..10 {
        reader.record_own(topic, 5, at(read * 800));
    }
    let mut returned = FeedPositions::default();
    returned.record_own(topic, 5, at(7_700));
    let mut hub = FeedPositions::default();
    hub.apply_peer_positions(host(1), reader.own_positions(at(7_800)), at(7_800));
    hub.apply_peer_positions(host(2), returned.own_positions(at(7_800)), at(7_800));
    let mut other_hub = FeedPositions::default();
    other_hub.apply_peer_positions(host(3), hub.freshest_positions(at(7_900)), at(7_900));
    let mut follower = FeedPositions::default();
    follower.apply_peer_positions(host(4), other_hub.freshest_positions(at(8_000)), at(8_000));
    assert!(follower.is_contact_confirmed(topic, return_time, true, at(8_100)));
    assert_eq!(
        follower.ages(at(8_100)),
        [(topic, Duration::from_millis(400))],
        "the freshest is told too"
    );
    // Without the reader nobody knows how long the store was there.
    let told = hub.freshest_positions(at(9_300));
    follower.apply_peer_positions(host(4), told, at(9_300));
    assert!(!follower.is_contact_confirmed(topic, return_time, true, at(9_300)));
}

/// Guards against a change of readers after which nobody can tell how long the store was there: hosts
/// that come back from a cut take the reading over, and those that read before stop.
#[test]
fn new_readers_go_on_with_the_contact_of_the_old_ones() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let topic = FeedTopic::Endpoints;
    let mut old_reader = FeedPositions::default();
    for read in 0..10 {
        old_reader.record_own(topic, 5, at(read * 800));
    }
    let mut new_reader = FeedPositions::default();
    new_reader.record_own(topic, 5, at(8_300));
    new_reader.record_own(topic, 5, at(9_100));
    let mut hub = FeedPositions::default();
    hub.apply_peer_positions(host(1), old_reader.own_positions(at(7_400)), at(7_400));
    hub.apply_peer_positions(host(2), new_reader.own_positions(at(9_300)), at(9_300));
    let mut follower = FeedPositions::default();
    follower.apply_peer_positions(host(3), hub.freshest_positions(at(9_500)), at(9_500));
    let return_time = Duration::from_millis(2_300);
    assert!(follower.is_contact_confirmed(topic, return_time, true, at(9_500)));
}

/// Guards against a hub whose word outlives the store: whatever hosts tell each other, nobody says
/// that the store was there for two seconds within two seconds of its return.
#[test]
fn nobody_vouches_across_an_outage() {
    const HOSTS: usize = 8;
    const RETURN_MS: u64 = 2_000;
    check_seeds(200, |source| {
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let topic = FeedTopic::Endpoints;
        let down_from = 4_000;
        let down_for = source.int_in_range(2_000..=6_000)?;
        let back = down_from + down_for;
        let mut fleet: Vec<FeedPositions> = (0..HOSTS).map(|_| FeedPositions::default()).collect();
        let mut now = 0;
        while now < back + RETURN_MS {
            now += source.int_in_range(10..=200_u64)?;
            let number = source.int_in_range(0..=HOSTS - 1)?;
            let answers = now < down_from || now >= back;
            match source.int_in_range(0..=3)? {
                0 if answers => fleet[number].record_own(topic, 1, at(now)),
                0 => fleet[number].record_failure(topic, at(now)),
                told => {
                    let marks = if told == 1 {
                        fleet[number].own_positions(at(now))
                    } else {
                        fleet[number].freshest_positions(at(now))
                    };
                    let receiver = source.int_in_range(0..=HOSTS - 1)?;
                    let sender = u8::try_from(number).expect("small");
                    if receiver != number {
                        fleet[receiver].apply_peer_positions(host(sender), marks, at(now));
                    }
                }
            }
            if now >= back && now < back + RETURN_MS {
                let reached = Duration::from_millis(RETURN_MS);
                let vouched = fleet
                    .iter()
                    .position(|marks| marks.is_contact_confirmed(topic, reached, true, at(now)));
                assert_eq!(vouched, None, "{} ms after the return", now - back);
            }
        }
        Ok(())
    });
}

fn news(topic: FeedTopic, from: u64, bytes: usize) -> FeedUpdate {
    FeedUpdate {
        topic,
        from_offset: from,
        next_offset: from + 1,
        body: vec![0; bytes],
    }
}

/// Guards against news that make a summary too large for a datagram, which would cost the hosts
/// the loads and the usage in it as well; and against news that are taken out of order.
#[test]
fn news_have_bounded_room_and_an_order() {
    let mut queue = UpdateQueue::new(1_000);
    queue.push(news(FeedTopic::Endpoints, 20, 400));
    queue.push(news(FeedTopic::Operators, 3, 100));
    queue.push(news(FeedTopic::Endpoints, 10, 400));
    queue.push(news(FeedTopic::Endpoints, 30, 200));
    let taken = queue.take_topic(FeedTopic::Endpoints);
    let from: Vec<_> = taken.iter().map(|news| news.from_offset).collect();
    assert_eq!(from, [10, 20]);
    assert_eq!(queue.take_all().len(), 1);
    queue.push(news(FeedTopic::Endpoints, 40, 900));
    assert_eq!(queue.take_all().len(), 1, "room again");
}

/// Guards against a summary of the largest fleet that does not fit the datagrams that are read.
#[test]
fn the_largest_summary_fits_a_datagram() {
    use gateway::limits::{UsageCount, UsageReport};
    use gateway::scheduler::{EndpointReport, PaceReport};
    let count = UsageCount {
        admitted: u64::MAX,
        refunded: u64::MAX,
        refused: u64::MAX,
    };
    let mut largest = summary(1, u64::MAX);
    for number in 0..340_u32 {
        let mut line = beat(
            u8::try_from(number % 250).expect("small"),
            u64::MAX,
            u64::MAX,
        )
        .sender;
        line.zone = "a-zone-of-a-long-name".into();
        line.cpu_permille = 64_000;
        largest.members.push(line);
    }
    for endpoint in 0..400 {
        largest.loads.push(EndpointReport {
            endpoint: u32::MAX - endpoint,
            active: 999,
            pending_prefill_tokens: 1_000_000,
        });
        largest.paces.push(PaceReport {
            endpoint: u32::MAX - endpoint,
            runs: 8,
            prefill_ns: 20_000,
            event_gap_us: 30_000,
            min_gap_percent: 80,
        });
    }
    for workspace in 0..40 {
        largest.usage.push(UsageReport {
            workspace: u32::MAX - workspace,
            count,
        });
    }
    largest
        .updates
        .push(news(FeedTopic::Endpoints, u64::MAX - 1, 32 * 1024));
    let bytes = PeerMessage::HubSummary(largest).encode().len();
    assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes} bytes");
}
