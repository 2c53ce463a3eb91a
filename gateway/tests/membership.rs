//! Tests of the member table, of positions in the store's topics, and of hubs.

mod common;
#[path = "../../tests/seeds/mod.rs"]
mod seeds;

use std::time::{Duration, Instant};

use common::{heartbeat, host};
use gateway::membership::{
    FeedAction, FeedPosition, FeedPositions, FeedTopic, FeedUpdate, HubChoice, HubSummary, HubSums,
    HubTally, LogPosition, MAX_DATAGRAM_BYTES, MemberChange, MemberStage, MemberTable, PeerFormat,
    PeerHeartbeat, PeerMessage, SummaryOutcome, UpdateQueue,
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

/// Guards against sending callers to a host that is dead, about to stop, or not ready.
#[test]
fn only_serving_hosts_are_listed() {
    let now = Instant::now();
    let mut table = MemberTable::new(host(1));
    table.add_host(host(9), now);
    table.apply_heartbeat(&heartbeat(2, 1, 1), now);
    let mut leaving = heartbeat(3, 1, 1);
    leaving.sender.stage = MemberStage::Leaving;
    table.apply_heartbeat(&leaving, now);
    let mut starting = heartbeat(4, 1, 1);
    starting.sender.stage = MemberStage::Starting;
    table.apply_heartbeat(&starting, now);
    assert_eq!(serving(&table, now), [host(2)]);
    assert!(serving(&table, now + Duration::from_millis(2_100)).is_empty());
}

/// Guards against shares of endpoints that are left to hosts which reach none, and against callers
/// who are sent away from them.
#[test]
fn isolated_hosts_serve_callers_without_a_share_of_endpoints() {
    let now = Instant::now();
    let mut table = MemberTable::new(host(1));
    let mut isolated = heartbeat(2, 1, 1);
    isolated.sender.stage = MemberStage::Isolated;
    table.apply_heartbeat(&isolated, now);
    assert_eq!(serving(&table, now), [host(2)]);
    assert_eq!(table.live(now), [host(1)]);
    table.apply_heartbeat(&heartbeat(2, 1, 2), now);
    assert_eq!(table.live(now), [host(1), host(2)]);
}

/// Guards against hosts that take over the retries of hosts that are stopping, that have just
/// stopped, or that are on the other side of a partition.
#[test]
fn retries_are_shared_with_hosts_that_have_used_their_part() {
    let now = Instant::now();
    let window = Duration::from_secs(10);
    let mut table = MemberTable::new(host(1));
    table.add_host(host(9), now);
    assert_eq!(table.budget_hosts(true, window, now), 2);
    for number in 2..=4 {
        table.apply_heartbeat(&heartbeat(number, 1, 1), now);
    }
    let mut leaving = heartbeat(5, 1, 1);
    leaving.sender.stage = MemberStage::Leaving;
    table.apply_heartbeat(&leaving, now);
    assert_eq!(table.budget_hosts(true, window, now), 5);
    let later = now + Duration::from_secs(14);
    for number in 2..=4 {
        table.apply_heartbeat(&heartbeat(number, 1, 2), later);
    }
    assert_eq!(table.budget_hosts(true, window, later), 5);
    let after = now + Duration::from_secs(16);
    assert_eq!(table.budget_hosts(true, window, after), 4);
    assert_eq!(table.budget_hosts(false, window, after), 6);
}

/// Guards against a delayed datagram that overwrites a newer one.
#[test]
fn stale_heartbeats_are_discarded() {
    let now = Instant::now();
    let mut table = MemberTable::new(host(1));
    assert_eq!(
        table.apply_heartbeat(&heartbeat(2, 1, 5), now),
        MemberChange::Appeared
    );
    assert_eq!(
        table.apply_heartbeat(&heartbeat(2, 1, 6), now),
        MemberChange::Known
    );
    assert_eq!(
        table.apply_heartbeat(&heartbeat(2, 1, 5), now),
        MemberChange::Stale
    );
    // The sequence of a new incarnation starts again.
    assert_eq!(
        table.apply_heartbeat(&heartbeat(2, 2, 1), now),
        MemberChange::Appeared
    );
}

/// Guards against a host that takes over the shares of all others when it is cut off, and against
/// shares that stay reserved for dead hosts.
#[test]
fn silent_hosts_count_unless_this_host_is_on_the_larger_side() {
    let now = Instant::now();
    let later = now + Duration::from_secs(20);
    let mut table = MemberTable::new(host(1));
    for number in 2..=5 {
        table.apply_heartbeat(&heartbeat(number, 1, 1), now);
    }
    let view_alone = table.view(true, later);
    assert_eq!(
        (view_alone.counted.len(), view_alone.silent),
        (5, 4),
        "no other host is heard"
    );
    for number in 2..=4 {
        table.apply_heartbeat(&heartbeat(number, 1, 2), later);
    }
    let majority_view = table.view(true, later);
    assert_eq!(
        (majority_view.counted.len(), majority_view.silent),
        (4, 0),
        "one host is gone"
    );
    let view_without_store = table.view(false, later);
    assert_eq!(
        (view_without_store.counted.len(), view_without_store.silent),
        (5, 1)
    );
}

/// Guards against foreign bytes that are decoded as a message.
#[test]
fn foreign_datagrams_are_rejected() {
    assert_eq!(PeerMessage::decode(b"\x00\x01nonsense"), None);
    let sent = PeerMessage::Heartbeat(heartbeat(2, 1, 1));
    assert_eq!(PeerMessage::decode(&sent.encode()), Some(sent));
}

/// Guards against hosts that stop reading the store because of a peer that cannot reach it either.
#[test]
fn old_positions_of_peers_do_not_replace_a_read() {
    let now = Instant::now();
    let mut positions = FeedPositions::default();
    assert_eq!(
        positions.latest_position(FeedTopic::Operators, false, now),
        None
    );
    let position = |next, age_ms| FeedPosition {
        contact_ms: 0,
        topic: FeedTopic::Operators,
        next: log_position(next),
        age_ms,
    };
    positions.apply_peer_positions(host(2), vec![position(7, 100)], now);
    positions.apply_peer_positions(host(3), vec![position(9, 5_000)], now);
    assert_eq!(
        positions.latest_position(FeedTopic::Operators, false, now),
        Some(log_position(7))
    );
    assert_eq!(
        positions.latest_position(FeedTopic::Endpoints, false, now),
        None
    );
    let later = now + Duration::from_millis(1_100);
    assert_eq!(
        positions.latest_position(FeedTopic::Operators, false, later),
        None
    );
    assert_eq!(positions.own_positions(now), []);
    // The host's own read also replaces another one: each host of a starting fleet has listed all
    // records itself.
    positions.record_read(FeedTopic::Operators, log_position(4), later);
    assert_eq!(
        positions.latest_position(FeedTopic::Operators, false, later),
        Some(log_position(4))
    );
    let after = later + Duration::from_millis(1_200);
    assert_eq!(
        positions.latest_position(FeedTopic::Operators, false, after),
        None
    );
}

/// Guards against a host that doesn't take what a peer has because the peer read it a while ago.
#[test]
fn a_peer_that_is_ahead_counts_however_long_ago_it_read() {
    let now = Instant::now();
    let mut positions = FeedPositions::default();
    let position = FeedPosition {
        topic: FeedTopic::Operators,
        next: log_position(9),
        age_ms: 5_000,
        contact_ms: 0,
    };
    positions.apply_peer_positions(host(2), vec![position], now);
    let furthest =
        |positions: &FeedPositions, now| positions.furthest_position(FeedTopic::Operators, now);
    assert_eq!(furthest(&positions, now), Some(log_position(9)));
    let later = now + Duration::from_millis(2_100);
    assert_eq!(furthest(&positions, later), None, "the peer is silent");
}

/// Guards against the only host that the store serves, which waited for others to read.
#[test]
fn a_host_that_alone_has_read_goes_on_reading() {
    let now = Instant::now();
    let mut positions = FeedPositions::default();
    positions.record_answer(FeedTopic::Operators);
    positions.record_read(FeedTopic::Operators, log_position(4), now);
    let next_action = |positions: &FeedPositions| {
        let next = log_position(4);
        positions.next_action(FeedTopic::Operators, next, false, false, now)
    };
    assert_eq!(next_action(&positions), FeedAction::Watch);
    let position = FeedPosition {
        topic: FeedTopic::Operators,
        next: log_position(4),
        age_ms: 0,
        contact_ms: 0,
    };
    positions.apply_peer_positions(host(2), vec![position], now);
    assert_eq!(next_action(&positions), FeedAction::Idle);
}

/// Guards against a host that loses the store, from then on receives all updates from its peers,
/// and never notices that it can reach the store again. Such a host held removals back for more
/// than four seconds.
#[test]
fn a_host_sends_requests_to_the_store_until_it_answers() {
    let now = Instant::now();
    let mut positions = FeedPositions::default();
    let position = FeedPosition {
        topic: FeedTopic::Endpoints,
        next: log_position(7),
        age_ms: 100,
        contact_ms: 5_000,
    };
    positions.apply_peer_positions(host(2), vec![position], now);
    let next_action = |positions: &FeedPositions, next, is_reader| {
        positions.next_action(
            FeedTopic::Endpoints,
            log_position(next),
            is_reader,
            true,
            now,
        )
    };
    assert_eq!(
        next_action(&positions, 7, false),
        FeedAction::Watch,
        "no answer yet"
    );
    positions.record_answer(FeedTopic::Endpoints);
    assert_eq!(next_action(&positions, 7, false), FeedAction::Idle);
    assert_eq!(next_action(&positions, 6, false), FeedAction::Fetch);
    assert_eq!(next_action(&positions, 7, true), FeedAction::Watch);
    // Requests for one topic may fail alone, and an answer for the other topic proves nothing.
    positions.record_failure(FeedTopic::Endpoints, now);
    positions.record_answer(FeedTopic::Operators);
    assert_eq!(next_action(&positions, 7, false), FeedAction::Watch);
    assert!(!positions.is_store_reachable());
    positions.record_answer(FeedTopic::Endpoints);
    positions.record_failure(FeedTopic::Operators, now);
    assert_eq!(next_action(&positions, 7, false), FeedAction::Idle);
    assert!(!positions.is_store_reachable());
    positions.record_answer(FeedTopic::Operators);
    assert!(positions.is_store_reachable());
}

/// Guards against a shared task that no host performs after the elected host is gone, and against
/// one that every host performs.
#[test]
fn the_hosts_with_the_lowest_addresses_are_elected() {
    let now = Instant::now();
    let mut table = MemberTable::new(host(3));
    assert!(table.is_elected(2, now), "alone");
    table.apply_heartbeat(&heartbeat(1, 1, 1), now);
    table.apply_heartbeat(&heartbeat(2, 1, 1), now);
    table.apply_heartbeat(&heartbeat(4, 1, 1), now);
    assert!(!table.is_elected(2, now));
    let later = now + Duration::from_millis(800);
    table.apply_heartbeat(&heartbeat(2, 1, 2), later);
    assert!(table.is_elected(2, later), "the first host is silent");
}

/// Guards against hosts that rely on readers which don't notice that the store came back older.
#[test]
fn hosts_without_eras_are_no_readers_for_others() {
    let now = Instant::now();
    let mut table = MemberTable::new(host(3));
    for number in 1..=2 {
        table.apply_heartbeat(&heartbeat(number, 1, 1), now);
    }
    assert!(!table.is_elected_reader(2, now));
    assert!(table.record_format(host(1), PeerFormat::Offsets));
    assert!(table.is_elected_reader(2, now));
    assert!(!table.is_elected(2, now), "tasks that need no positions");
    assert!(table.record_format(host(1), PeerFormat::Eras), "replaced");
    assert!(!table.is_elected_reader(2, now));
}

/// Hosts 12, 13 and 14 are larger than the others.
fn cpu_permille(number: u8) -> u32 {
    if number >= 12 { 500 } else { 120 }
}

fn sized_heartbeat(number: u8, sequence: u64) -> PeerHeartbeat {
    let mut heartbeat = heartbeat(number, 1, sequence);
    heartbeat.sender.cpu_permille = cpu_permille(number);
    heartbeat
}

/// Guards against hosts that disagree on the hubs, and against a fleet that keeps a hub that is
/// gone.
#[test]
fn the_largest_hosts_that_are_heard_are_hubs() {
    let now = Instant::now();
    let mut tables: Vec<_> = (1..=14_u8)
        .map(|own| {
            let mut table = MemberTable::new(host(own));
            for other in (1..=14).filter(|other| *other != own) {
                table.apply_heartbeat(&sized_heartbeat(other, 1), now);
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
        table.apply_heartbeat(&sized_heartbeat(other, 2), later);
    }
    assert_eq!(table.plan(&zone, 120, later).hubs, [host(13), host(14)]);
    let mut small = MemberTable::new(host(1));
    assert!(
        !small.plan(&zone, 120, now).is_relayed(),
        "the hosts of a small fleet exchange messages directly"
    );
}

/// Guards against a summary that includes the receiver's own load or usage, loses usage when a host
/// restarts, or includes the load of a silent host.
#[test]
fn a_summary_covers_all_other_hosts() {
    use gateway::limits::{UsageCount, UsageReport};
    use gateway::scheduler::EndpointReport;
    let now = Instant::now();
    let loaded_heartbeat =
        |number: u8, incarnation: u64, active: u16, admitted: u64| PeerHeartbeat {
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
            ..heartbeat(number, incarnation, 1)
        };
    let mut tally = HubTally::default();
    for number in 1..=3 {
        tally.apply_heartbeat(&loaded_heartbeat(number, 1, 2, 0), now);
        tally.apply_heartbeat(&loaded_heartbeat(number, 1, 2, 100), now);
    }
    // Host 2 restarts and uses 30 more.
    tally.apply_heartbeat(&loaded_heartbeat(2, 2, 4, 30), now);
    let sums = |at| tally.sums_without(&tally.cell_totals(None, at), None, Some(host(1)));
    let HubSums { loads, usage, .. } = sums(now);
    assert_eq!((loads[0].active, loads[0].pending_prefill_tokens), (6, 20));
    assert_eq!(usage[0].count.admitted, 230);
    let HubSums { loads, usage, .. } = sums(now + Duration::from_millis(700));
    assert!(loads.is_empty());
    assert_eq!(usage[0].count.admitted, 230);
}

fn summary(hub: u8, sequence: u64) -> HubSummary {
    HubSummary {
        hub: host(hub),
        incarnation: 1,
        sequence,
        config_version: u64::MAX,
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

/// Guards against a delayed summary that arrives after a newer one. Its loads are out of date, and
/// its lower usage would make the next summary count the difference again.
#[test]
fn stale_summaries_are_discarded() {
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
    // The other hub is followed only while the preferred one is silent.
    assert_eq!(
        choice.record_summary(host(2), 1, 9, false, now),
        SummaryOutcome::NotFollowed
    );
    let later = now + Duration::from_secs(1);
    assert_eq!(
        choice.record_summary(host(2), 1, 10, false, later),
        SummaryOutcome::Switched
    );
    // A delayed datagram of the preferred hub doesn't switch back to it; a new one does.
    assert_eq!(
        choice.record_summary(host(1), 1, 6, true, later),
        SummaryOutcome::Stale
    );
    assert_eq!(
        choice.record_summary(host(1), 1, 7, true, later),
        SummaryOutcome::Switched
    );
    // The sequence of a restarted hub starts again.
    assert_eq!(
        choice.record_summary(host(1), 2, 1, true, later),
        SummaryOutcome::Followed
    );
}

/// Guards against a host that loses the store, reaches it again, and keeps sending requests to
/// endpoints that left meanwhile, as after an outage of the store for all hosts.
#[test]
fn a_peer_confirms_that_the_store_was_reachable() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let topic = FeedTopic::Endpoints;
    let mut peer = FeedPositions::default();
    for read in 0..10 {
        peer.record_read(topic, log_position(1), at(read * 300));
    }
    let mut own = FeedPositions::default();
    own.apply_peer_positions(host(1), peer.own_positions(at(2_800)), at(2_900));
    assert!(own.is_contact_confirmed(topic, Duration::from_millis(2_300), false, at(3_000)));
    assert!(
        !own.is_contact_confirmed(topic, Duration::from_millis(2_300), false, at(5_000)),
        "too old"
    );
    // In a large fleet a position passes through two hubs, from a reader that waits 0.8 s for
    // updates. As long as no position confirmed the contact, hosts held removals back for four
    // seconds or more.
    let min_contact = Duration::from_millis(2_300);
    assert!(own.is_contact_confirmed(topic, min_contact, true, at(4_100)));
    assert!(!own.is_contact_confirmed(topic, min_contact, false, at(4_100)));
    // After a failure or a gap the peer can't confirm the time before it.
    peer.record_failure(topic, at(2_900));
    peer.record_read(topic, log_position(1), at(3_000));
    own.apply_peer_positions(host(1), peer.own_positions(at(3_000)), at(3_000));
    assert!(!own.is_contact_confirmed(topic, Duration::from_millis(2_300), false, at(3_000)));
    peer.record_read(topic, log_position(1), at(6_000));
    own.apply_peer_positions(host(1), peer.own_positions(at(6_000)), at(6_000));
    assert!(!own.is_contact_confirmed(topic, Duration::from_millis(2_300), false, at(6_000)));
}

/// Guards against hosts that return together from a network partition and whose fresh positions
/// hide that the store was reachable all the time. Each of them held removals back as after an
/// outage.
#[test]
fn returning_hosts_do_not_hide_a_long_contact() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let topic = FeedTopic::Endpoints;
    let reregistration_time = Duration::from_millis(2_300);
    let mut reader = FeedPositions::default();
    for read in 0..10 {
        reader.record_read(topic, log_position(5), at(read * 800));
    }
    let mut returned = FeedPositions::default();
    returned.record_read(topic, log_position(5), at(7_700));
    let mut hub = FeedPositions::default();
    hub.apply_peer_positions(host(1), reader.own_positions(at(7_800)), at(7_800));
    hub.apply_peer_positions(host(2), returned.own_positions(at(7_800)), at(7_800));
    let mut other_hub = FeedPositions::default();
    other_hub.apply_peer_positions(host(3), hub.freshest_positions(at(7_900)), at(7_900));
    let mut follower = FeedPositions::default();
    follower.apply_peer_positions(host(4), other_hub.freshest_positions(at(8_000)), at(8_000));
    assert!(follower.is_contact_confirmed(topic, reregistration_time, true, at(8_100)));
    assert_eq!(
        follower.ages(at(8_100)),
        [(topic, Duration::from_millis(400))],
        "the freshest position is passed on too"
    );
    // Without the reader no host knows how long the store was reachable.
    let positions = hub.freshest_positions(at(9_300));
    follower.apply_peer_positions(host(4), positions, at(9_300));
    assert!(!follower.is_contact_confirmed(topic, reregistration_time, true, at(9_300)));
}

/// Guards against a reader that loses what it knew of the store's contact by a failed call of its
/// own, while the store answered others.
#[test]
fn a_failed_call_hides_no_contact_that_other_hosts_continue() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let topic = FeedTopic::Endpoints;
    let min_contact = Duration::from_millis(2_300);
    let mut reader = FeedPositions::default();
    for read in 0..10 {
        reader.record_read(topic, log_position(5), at(read * 800));
    }
    reader.record_failure(topic, at(7_400));
    reader.record_failure(topic, at(7_700));
    reader.record_read(topic, log_position(5), at(8_000));
    assert!(
        !reader.is_contact_confirmed(topic, min_contact, true, at(8_100)),
        "it alone"
    );
    let mut other = FeedPositions::default();
    other.record_read(topic, log_position(5), at(7_600));
    other.record_read(topic, log_position(5), at(7_900));
    reader.apply_peer_positions(host(1), other.own_positions(at(8_000)), at(8_000));
    assert!(reader.is_contact_confirmed(topic, min_contact, true, at(8_100)));
    // After an outage that no host has bridged, nothing of the time before it counts.
    reader.record_failure(topic, at(8_500));
    other.record_failure(topic, at(8_500));
    reader.record_read(topic, log_position(5), at(11_000));
    other.record_read(topic, log_position(5), at(11_000));
    reader.apply_peer_positions(host(1), other.own_positions(at(11_000)), at(11_000));
    assert!(!reader.is_contact_confirmed(topic, min_contact, true, at(11_100)));
}

/// Guards against a change of readers after which no host can confirm how long the store was
/// reachable: hosts that return from a network partition become readers, and the previous ones
/// stop.
#[test]
fn new_readers_continue_the_contact_of_the_old_ones() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let topic = FeedTopic::Endpoints;
    let mut old_reader = FeedPositions::default();
    for read in 0..10 {
        old_reader.record_read(topic, log_position(5), at(read * 800));
    }
    let mut new_reader = FeedPositions::default();
    new_reader.record_read(topic, log_position(5), at(8_300));
    new_reader.record_read(topic, log_position(5), at(9_100));
    let mut hub = FeedPositions::default();
    hub.apply_peer_positions(host(1), old_reader.own_positions(at(7_400)), at(7_400));
    hub.apply_peer_positions(host(2), new_reader.own_positions(at(9_300)), at(9_300));
    let mut follower = FeedPositions::default();
    follower.apply_peer_positions(host(3), hub.freshest_positions(at(9_500)), at(9_500));
    let reregistration_time = Duration::from_millis(2_300);
    assert!(follower.is_contact_confirmed(topic, reregistration_time, true, at(9_500)));
}

/// Guards against a contact that is confirmed across an outage of the store: whatever positions the
/// hosts exchange, none of them confirms a contact of two seconds within two seconds after the
/// outage.
#[test]
fn no_host_confirms_contact_across_an_outage() {
    const HOSTS: usize = 8;
    const CONTACT_MS: u64 = 2_000;
    check_seeds(200, |source| {
        let start = Instant::now();
        let at = |millis| start + Duration::from_millis(millis);
        let topic = FeedTopic::Endpoints;
        let outage_start = 4_000;
        let outage_length = source.int_in_range(2_000..=6_000)?;
        let outage_end = outage_start + outage_length;
        let mut fleet: Vec<FeedPositions> = (0..HOSTS).map(|_| FeedPositions::default()).collect();
        let mut now = 0;
        while now < outage_end + CONTACT_MS {
            now += source.int_in_range(10..=200_u64)?;
            let number = source.int_in_range(0..=HOSTS - 1)?;
            let answers = now < outage_start || now >= outage_end;
            match source.int_in_range(0..=3)? {
                0 if answers => fleet[number].record_read(topic, log_position(1), at(now)),
                0 => fleet[number].record_failure(topic, at(now)),
                exchange => {
                    let positions = if exchange == 1 {
                        fleet[number].own_positions(at(now))
                    } else {
                        fleet[number].freshest_positions(at(now))
                    };
                    let receiver = source.int_in_range(0..=HOSTS - 1)?;
                    let sender = u8::try_from(number).expect("small");
                    if receiver != number {
                        fleet[receiver].apply_peer_positions(host(sender), positions, at(now));
                    }
                }
            }
            if now >= outage_end && now < outage_end + CONTACT_MS {
                let min_contact = Duration::from_millis(CONTACT_MS);
                let confirming = fleet.iter().position(|positions| {
                    positions.is_contact_confirmed(topic, min_contact, true, at(now))
                });
                assert_eq!(confirming, None, "{} ms after the outage", now - outage_end);
            }
        }
        Ok(())
    });
}

/// Returns a position in the first era of a store.
fn log_position(offset: u64) -> LogPosition {
    LogPosition { era: 0, offset }
}

fn update(topic: FeedTopic, from: u64, bytes: usize) -> FeedUpdate {
    FeedUpdate {
        topic,
        from: log_position(from),
        next: log_position(from + 1),
        body: vec![0; bytes],
    }
}

/// Guards against updates that make a summary too large for a datagram, so that its loads and usage
/// are lost as well, and against updates that are applied out of order.
#[test]
fn the_update_queue_is_bounded_and_ordered() {
    let mut queue = UpdateQueue::new(1_000);
    queue.push(update(FeedTopic::Endpoints, 20, 400));
    queue.push(update(FeedTopic::Operators, 3, 100));
    queue.push(update(FeedTopic::Endpoints, 10, 400));
    queue.push(update(FeedTopic::Endpoints, 30, 200));
    let taken = queue.take_topic(FeedTopic::Endpoints);
    let from: Vec<_> = taken.iter().map(|update| update.from.offset).collect();
    assert_eq!(from, [10, 20]);
    assert_eq!(queue.take_all().len(), 1);
    queue.push(update(FeedTopic::Endpoints, 40, 900));
    assert_eq!(queue.take_all().len(), 1, "the queue has space again");
}

/// Guards against a summary of the largest fleet that exceeds the maximum size of a datagram.
#[test]
fn the_largest_summary_fits_in_a_datagram() {
    use gateway::limits::{UsageCount, UsageReport};
    use gateway::scheduler::{EndpointReport, PaceReport};
    let count = UsageCount {
        admitted: u64::MAX,
        refunded: u64::MAX,
        refused: u64::MAX,
    };
    let mut largest = summary(1, u64::MAX);
    for number in 0..340_u32 {
        let mut report = heartbeat(
            u8::try_from(number % 250).expect("small"),
            u64::MAX,
            u64::MAX,
        )
        .sender;
        report.zone = "a-zone-of-a-long-name".into();
        report.cpu_permille = 64_000;
        largest.members.push(report);
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
        .push(update(FeedTopic::Endpoints, u64::MAX - 1, 32 * 1024));
    let bytes = PeerMessage::HubSummary(largest).encode().len();
    assert!(bytes <= MAX_DATAGRAM_BYTES, "{bytes} bytes");
}
