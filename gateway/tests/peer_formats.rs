//! Tests of the formats of datagrams between hosts of different builds.

mod common;

use common::{heartbeat, host};
use gateway::backpressure::{ReportedSignal, SignalReport};
use gateway::duties::{DemandReport, DutyPoll, DutyReply, WindowCounts};
use gateway::limits::{UsageCount, UsageReport};
use gateway::membership::{
    CURRENT_FORMAT, CellSummary, DatagramContext, FeedPosition, FeedTopic, FeedUpdate, HubSummary,
    LogPosition, MemberReport, MemberStage, PeerDatagram, PeerFormat, PeerHeartbeat, PeerMessage,
    QuarantineDigest, SignalDigest, stated_format,
};
use gateway::quarantine::{BlockReport, ClearReport, CrashReport, QuarantineReport};
use gateway::rollouts::{RolloutPhase, RolloutReport, RunCounts, SideCounts};
use gateway::scheduler::{EndpointReport, PaceReport};

/// Number of bytes behind a message that state its format.
const TRAILER_BYTES: usize = 6;

fn position(topic: FeedTopic, era: u64, offset: u64) -> FeedPosition {
    FeedPosition {
        topic,
        next: LogPosition { era, offset },
        age_ms: 310,
        contact_ms: 4_000,
    }
}

fn positions() -> Vec<FeedPosition> {
    vec![
        position(FeedTopic::Operators, 2, 700),
        position(FeedTopic::Endpoints, 2, 90),
    ]
}

fn loads() -> Vec<EndpointReport> {
    vec![EndpointReport {
        endpoint: 0xabcd_ef01,
        active: 3,
        pending_prefill_tokens: 1_200,
    }]
}

fn paces() -> Vec<PaceReport> {
    vec![PaceReport {
        endpoint: 0xabcd_ef01,
        runs: 5,
        prefill_ns: 60_000,
        event_gap_us: 20_000,
        min_gap_percent: 80,
    }]
}

fn usage() -> Vec<UsageReport> {
    vec![UsageReport {
        workspace: 77,
        count: UsageCount {
            admitted: 1_000,
            refunded: 20,
            refused: 3,
        },
    }]
}

fn rollouts() -> Vec<RolloutReport> {
    let old = RunCounts {
        dispatched: 400,
        runs: 390,
        failed: 2,
        timed: 380,
        slow: 4,
        ..RunCounts::default()
    };
    vec![RolloutReport {
        service: 99,
        order: LogPosition { era: 2, offset: 41 }.order_number(),
        phase: RolloutPhase::Promoting,
        elapsed_ms: 12_000,
        counts: SideCounts {
            old,
            new: RunCounts::default(),
        },
    }]
}

fn updates() -> Vec<FeedUpdate> {
    vec![FeedUpdate {
        topic: FeedTopic::Endpoints,
        from: LogPosition { era: 2, offset: 89 },
        next: LogPosition { era: 2, offset: 90 },
        body: b"record".to_vec(),
    }]
}

fn member(number: u8, stage: MemberStage) -> MemberReport {
    MemberReport {
        stage,
        cpu_permille: 4_000,
        ..heartbeat(number, 0x0123_4567_89ab_cdef, 300).sender
    }
}

fn full_heartbeat(stage: MemberStage) -> PeerHeartbeat {
    PeerHeartbeat {
        sender: member(2, stage),
        config_version: 123,
        positions: positions(),
        loads: loads(),
        paces: paces(),
        usage: usage(),
        rollouts: rollouts(),
        reachable: vec![host(4)],
        hubs: vec![member(5, MemberStage::Serving)],
        followed_hub: Some(host(5)),
    }
}

fn hub_summary() -> HubSummary {
    HubSummary {
        hub: host(2),
        incarnation: 0x0123_4567_89ab_cdef,
        sequence: 300,
        config_version: 123,
        loads: loads(),
        loads_zone: Some("a".into()),
        usage: usage(),
        rollouts: rollouts(),
        positions: positions(),
        members: vec![member(3, MemberStage::Serving)],
        alive: vec![host(3)],
        paces: paces(),
        updates: updates(),
    }
}

fn cell_summary() -> CellSummary {
    CellSummary {
        cell: "a".into(),
        hub: host(2),
        incarnation: 0x0123_4567_89ab_cdef,
        sequence: 300,
        loads: loads(),
        usage: usage(),
        rollouts: rollouts(),
        positions: positions(),
        members: vec![member(3, MemberStage::Serving)],
        paces: paces(),
        updates: updates(),
    }
}

/// Returns a message of each kind, and a heartbeat of each stage.
fn messages() -> Vec<PeerMessage> {
    let stages = [
        MemberStage::Starting,
        MemberStage::Serving,
        MemberStage::Isolated,
        MemberStage::Leaving,
    ];
    let mut messages: Vec<_> = stages
        .map(|stage| PeerMessage::Heartbeat(full_heartbeat(stage)))
        .into();
    let signals = [
        ReportedSignal::RateLimit(2_500),
        ReportedSignal::NoRateLimit,
        ReportedSignal::Leaving,
    ];
    let signals = signals.map(|signal| SignalReport {
        endpoint: 0xfeed,
        signal,
        asked_ago_ms: 40,
        heard_ago_ms: 10,
    });
    let crash = CrashReport {
        endpoint: 0xfeed,
        service: 99,
        ago_ms: 700,
        contents: vec![7, 8],
        seen_by: vec![host(2)],
        refuted: false,
    };
    let block = BlockReport {
        content: 7,
        crashes: 3,
        ago_ms: 700,
        companions: vec![8],
        seen_by: vec![host(2)],
        trial_ago_ms: Some(200),
    };
    let clear = ClearReport {
        content: 8,
        ago_ms: 100,
    };
    messages.extend([
        PeerMessage::HubSummary(hub_summary()),
        PeerMessage::CellSummary(cell_summary()),
        PeerMessage::SignalDigest(SignalDigest {
            sender: host(2),
            reports: signals.into(),
        }),
        PeerMessage::QuarantineDigest(QuarantineDigest {
            sender: host(2),
            is_complete: true,
            reports: vec![
                QuarantineReport::Crash(crash),
                QuarantineReport::Block(block),
                QuarantineReport::Clear(clear),
            ],
        }),
        PeerMessage::DutyPoll(DutyPoll {
            sender: host(2),
            token: 9,
            fleet_ms: 1_700_000_000_000,
            first_window: 340,
        }),
        PeerMessage::DutyReply(DutyReply {
            sender: host(2),
            incarnation: 0x0123_4567_89ab_cdef,
            since_ms: 1_700_000_000_000,
            fleet_ms: 1_700_000_005_000,
            wall_ms: 1_700_000_004_900,
            windows: vec![WindowCounts {
                window: 340,
                counts: vec![(77, 12)],
            }],
            demand: vec![DemandReport {
                service: 99,
                dispatched: 40,
                refused: 2,
                waiting: 1,
            }],
        }),
    ]);
    messages
}

fn hex(bytes: &[u8]) -> String {
    let add = |text: String, byte: &u8| text + &format!("{byte:02x}");
    bytes.iter().fold(String::new(), add)
}

/// Returns an encoded message without what states its format.
fn message_bytes(message: &PeerMessage) -> Vec<u8> {
    let mut bytes = message.encode();
    bytes.truncate(bytes.len() - TRAILER_BYTES);
    bytes
}

/// Guards against a change of the layout that hosts of earlier builds cannot read.
#[test]
fn the_layout_of_messages_stays() {
    let lines: Vec<_> = messages()
        .iter()
        .map(|message| hex(&message_bytes(message)))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against datagrams that hosts without numbered formats cannot read, or the other way round.
#[test]
fn messages_are_read_with_and_without_a_number() {
    for message in messages() {
        let numbered = message.encode();
        assert_eq!(stated_format(&numbered), Some(CURRENT_FORMAT));
        let read_by_earlier_build: PeerMessage = postcard::from_bytes(&numbered).unwrap();
        assert_eq!(read_by_earlier_build, message);
        let unnumbered = message_bytes(&message);
        assert_eq!(stated_format(&unnumbered), None);
        assert_eq!(PeerMessage::decode(&unnumbered), Some(message));
    }
}

/// Guards against hosts that fall silent for each other when a later build adds fields.
#[test]
fn what_is_known_of_a_later_format_is_read() {
    for message in messages() {
        let later_number = CURRENT_FORMAT + 8;
        let mut later = message_bytes(&message);
        later.extend_from_slice(b"fields of a later build");
        later.extend_from_slice(&later_number.to_le_bytes());
        let numbered = message.encode();
        later.extend_from_slice(&numbered[numbered.len() - 4..]);
        assert_eq!(stated_format(&later), Some(later_number));
        assert_eq!(PeerMessage::decode(&later), Some(message));
    }
}

/// Returns what is known of a host that has sent in this format, in era 2 of the store.
fn context(known_format: Option<PeerFormat>) -> DatagramContext {
    DatagramContext {
        source: host(2),
        known_format,
        era: 2,
    }
}

/// Returns the messages that builds without eras can say, and their datagrams.
fn legacy_datagrams() -> Vec<(PeerMessage, Vec<u8>)> {
    let messages = messages().into_iter().filter(|message| {
        !matches!(message, PeerMessage::Heartbeat(heartbeat) if heartbeat.sender.stage == MemberStage::Isolated)
    });
    let encoded = messages.map(|message| {
        let bytes = message.encode_for(Some(PeerFormat::Offsets));
        (message, bytes)
    });
    encoded.collect()
}

/// Guards against datagrams that hosts without eras cannot read.
#[test]
fn the_layout_without_eras_stays() {
    let lines: Vec<_> = legacy_datagrams()
        .iter()
        .map(|(_, bytes)| hex(bytes))
        .collect();
    insta::assert_snapshot!(lines.join("\n"));
}

/// Guards against hosts without eras that are not heard, or whose records are taken for this era's.
#[test]
fn datagrams_without_eras_are_read() {
    for (mut message, bytes) in legacy_datagrams() {
        let has_own_layout = match &mut message {
            PeerMessage::Heartbeat(heartbeat) => {
                heartbeat.config_version = 0;
                true
            }
            PeerMessage::HubSummary(summary) => {
                summary.config_version = 0;
                summary.updates.clear();
                true
            }
            PeerMessage::CellSummary(summary) => {
                summary.updates.clear();
                true
            }
            PeerMessage::SignalDigest(_)
            | PeerMessage::QuarantineDigest(_)
            | PeerMessage::DutyPoll(_)
            | PeerMessage::DutyReply(_) => false,
        };
        let format = has_own_layout.then_some(PeerFormat::Offsets);
        let expected = PeerDatagram { message, format };
        assert_eq!(PeerDatagram::decode(&bytes, &context(None)), Some(expected));
    }
}

/// Guards against datagrams without a number that are read in another layout than their own.
#[test]
fn the_current_layout_is_told_from_the_one_without_eras() {
    for message in messages() {
        let known_formats = [
            None,
            Some(PeerFormat::Offsets),
            Some(PeerFormat::Eras),
            Some(PeerFormat::Numbered(CURRENT_FORMAT)),
        ];
        for known_format in known_formats {
            let datagram = PeerDatagram::decode(&message_bytes(&message), &context(known_format));
            let datagram = datagram.expect("the datagram is readable");
            assert_eq!(datagram.message, message);
            assert_ne!(datagram.format, Some(PeerFormat::Offsets));
        }
    }
}

/// Guards against the size of a host that is taken for a version of the configuration.
#[test]
fn heartbeats_before_the_first_read_are_told_apart_by_the_size() {
    let mut first = heartbeat(2, 7, 1);
    first.sender.stage = MemberStage::Starting;
    let message = PeerMessage::Heartbeat(first);
    let legacy_bytes = message.encode_for(Some(PeerFormat::Offsets));
    for bytes in [legacy_bytes.clone(), message_bytes(&message)] {
        let datagram = PeerDatagram::decode(&bytes, &context(None));
        assert_eq!(
            datagram.map(|datagram| datagram.message),
            Some(message.clone())
        );
    }
    let known = PeerDatagram::decode(&legacy_bytes, &context(Some(PeerFormat::Offsets)));
    assert_eq!(known.map(|datagram| datagram.message), Some(message));
}

/// Guards against foreign bytes that are taken for the message of an earlier build.
#[test]
fn datagrams_without_a_number_must_fit_exactly_and_name_their_source() {
    let mut datagrams: Vec<_> = legacy_datagrams()
        .into_iter()
        .map(|(_, bytes)| bytes)
        .collect();
    datagrams.extend(messages().iter().map(message_bytes));
    for mut bytes in datagrams {
        let elsewhere = DatagramContext {
            source: host(3),
            ..context(None)
        };
        assert_eq!(PeerDatagram::decode(&bytes, &elsewhere), None);
        bytes.push(0);
        assert_eq!(PeerDatagram::decode(&bytes, &context(None)), None);
    }
}
