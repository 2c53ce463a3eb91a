//! Guards against messages that are accepted without the peer secret, and against bytes from the
//! network that make the process panic.

use std::hint::black_box;
use std::time::{Duration, Instant};

use crate::context::Context;
use crate::ids::PoolName;
use crate::member_simulation::{MemberSimulation, build_facts, host_brief};
use crate::membership::{LocalFacts, MemberEffect, MemberTable};
use crate::message_codec::{CodecError, MAX_MESSAGE_BYTES, MessageCodec};
use crate::messages::{PeerEnvelope, PeerMessage, SnapshotPart};

fn snapshot(length: usize) -> PeerEnvelope {
    PeerEnvelope {
        from: host_brief(0, 1),
        message: PeerMessage::Snapshot(SnapshotPart {
            version: 9,
            index: 0,
            count: 1,
            text: "x".repeat(length),
        }),
    }
}

#[test]
fn messages_round_trip_and_every_changed_byte_is_detected() {
    let codec = MessageCodec::new(b"secret");
    let envelope = snapshot(20);
    let bytes = codec.encode(&envelope).unwrap();
    assert_eq!(codec.decode(&bytes).unwrap(), envelope);
    for index in 0..bytes.len() {
        let mut changed = bytes.clone();
        changed[index] ^= 1;
        let error = codec.decode(&changed).unwrap_err();
        match index {
            0 => assert!(matches!(error, CodecError::WrongVersion { version: 0 })),
            _ => assert!(
                matches!(error, CodecError::WrongMac),
                "byte {index}: {error}"
            ),
        }
    }
    let other = MessageCodec::new(b"other secret");
    assert!(matches!(other.decode(&bytes), Err(CodecError::WrongMac)));
    let short = codec.decode(&bytes[..33]);
    assert!(matches!(short, Err(CodecError::TooShort { length: 33 })));
}

#[test]
fn encoding_and_decoding_reject_messages_over_the_limit() {
    let codec = MessageCodec::new(b"secret");
    let long = codec.encode(&snapshot(MAX_MESSAGE_BYTES));
    assert!(matches!(long, Err(CodecError::TooLong { .. })));
    let bytes = vec![1; MAX_MESSAGE_BYTES + 1];
    assert!(matches!(
        codec.decode(&bytes),
        Err(CodecError::TooLong { .. })
    ));
}

/// Adds a valid digest to the body, so that arbitrary bytes reach the parser.
#[test]
fn arbitrary_bytes_do_not_panic() {
    let codec = MessageCodec::new(b"secret");
    for run in 0..400 {
        let seed = (run << 32) | 0x258;
        let property = |u: &mut arbtest::arbitrary::Unstructured| {
            let body = u.bytes(u.len())?;
            let _ = codec.decode(body);
            assert!(matches!(
                codec.decode(&codec.seal(body)),
                Ok(_) | Err(CodecError::Malformed { .. } | CodecError::TrailingBytes { .. })
            ));
            let mut bytes = codec.encode(&snapshot(20)).unwrap();
            let index = usize::from(body[0]) % (bytes.len() - 33) + 33;
            bytes[index] = body[1];
            let _ = codec.decode(&codec.seal(&bytes[33..]));
            Ok(())
        };
        arbtest::arbtest(property).seed(seed).run();
    }
}

/// Prints the average size of a heartbeat and the time to send and process one.
#[test]
#[ignore = "a measurement; prints its figures"]
fn heartbeat_cost() {
    for count in [3, 9, 43] {
        let cost = measure(count);
        println!("{cost}");
    }
}

fn measure(count: u16) -> String {
    const ROUNDS: u32 = 200;
    let names = ["bielik", "mistral", "orders", "stock", "tags", "glycol"];
    let pools: Vec<PoolName> = names.map(PoolName::from).to_vec();
    let mut simulation = MemberSimulation::new(count, &[]);
    for (host, number) in simulation.hosts.iter_mut().zip(1u64..) {
        host.brief.name = compact_str::format_compact!("entry-{number:02}");
        host.brief.incarnation = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    }
    simulation.start_all();
    let codec = MessageCodec::new(b"secret");
    let facts = build_facts(3, true, &pools);
    let table = |simulation: &mut MemberSimulation, index: usize| {
        simulation.hosts[index].table.take().unwrap()
    };
    let mut tables: Vec<_> = (0..simulation.hosts.len())
        .map(|index| table(&mut simulation, index))
        .collect();
    let interval = tables[0].heartbeat_interval(simulation.instant());
    let (mut bytes, mut sent, mut total) = (0, 0u32, Duration::ZERO);
    for _ in 0..ROUNDS {
        simulation.now += interval;
        for index in 0..tables.len() {
            let context = simulation.context(index);
            let began = Instant::now();
            let effects = tables[index].tick(&facts, &context);
            total += began.elapsed();
            for effect in effects {
                let MemberEffect::Send { to, message } = effect else {
                    continue;
                };
                let from = context.brief.clone();
                let envelope = PeerEnvelope { from, message };
                bytes += codec.encode(&envelope).unwrap().len();
                sent += 1;
                let to = usize::from(to.port() - 8000);
                total += time_receive(&mut tables[to], &envelope, &facts, &simulation.context(to));
            }
        }
    }
    let owned = |pool: &PoolName| {
        tables
            .iter()
            .any(|table| table.owns(pool, 3, simulation.instant()))
    };
    assert!(pools.iter().all(owned));
    let length = bytes / usize::try_from(sent).unwrap();
    format!(
        "{count} hosts: {length} bytes, {:?} per heartbeat, every {interval:?}",
        total / sent
    )
}

fn time_receive(
    table: &mut MemberTable,
    envelope: &PeerEnvelope,
    facts: &LocalFacts,
    context: &Context,
) -> Duration {
    let PeerMessage::Heartbeat(heartbeat) = &envelope.message else {
        return Duration::ZERO;
    };
    let began = Instant::now();
    black_box(table.receive_heartbeat(&envelope.from, heartbeat, facts, context));
    began.elapsed()
}
