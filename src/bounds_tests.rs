//! Bounds of the tables that have no setting of the daemon.

use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::configs::request::RequestSettings;
use crate::context::Context;
use crate::events::{CallerReply, Counter, Effect, ModelSubmission};
use crate::ids::HostBrief;
use crate::key_memory::{KeyMemory, KeyState};
use crate::lookup::{LookupRequest, LookupTable};
use crate::message_codec::{MAX_MESSAGE_BYTES, MessageCodec};
use crate::messages::{HomeStatus, PeerEnvelope, PeerMessage};
use crate::operator::OperatorTable;
use crate::operator_types::{ChangeReport, OperatorReply};
use crate::request::{Arrival, RequestTable, WorkEffect};
use crate::result_code::ResultCode;

const HOME: u64 = 0x5eed;

fn context() -> Context {
    let address = "127.0.0.1:1".parse().unwrap();
    Context {
        brief: HostBrief {
            name: "entry".into(),
            region: "r".into(),
            zone: "z".into(),
            incarnation: HOME,
            caller_address: address,
            peer_address: address,
        },
        now: Instant::now(),
        unix_time: Duration::from_secs(1_000_000),
        random: SmallRng::seed_from_u64(1),
    }
}

fn submit(table: &mut RequestTable, suffix: usize, prompt: &str) -> Vec<WorkEffect> {
    let context = context();
    let submission = ModelSubmission {
        key: format!("{HOME:016x}-1000000-{suffix}").into(),
        pool: "assistant".into(),
        route: "question".into(),
        tier: 3,
        deadline: None,
        prompt: prompt.into(),
        max_tokens: 1,
    };
    let arrival = Arrival {
        caller: suffix as u64,
        workspace: "big",
        default_deadline: Duration::from_mins(1),
    };
    table.submit(submission, &arrival, &context)
}

fn assert_refused(effects: &[WorkEffect], expected: ResultCode) {
    let is_counted = effects.iter().any(|effect| {
        matches!(effect, WorkEffect::Plain(Effect::Count { counter: Counter::Refused(code) })
            if *code == expected)
    });
    let is_told = effects.iter().any(|effect| {
        matches!(effect, WorkEffect::Plain(Effect::Reply {
            reply: CallerReply::Refused { code, .. }, ..
        }) if *code == expected)
    });
    assert!(is_counted && is_told, "{effects:?}");
}

/// Guards against a host that forgets a key while it is valid, or remembers keys without a bound.
#[test]
fn a_full_key_memory_refuses_new_requests() {
    let settings = RequestSettings {
        max_keys: 3,
        ..RequestSettings::default()
    };
    let mut table = RequestTable::new(settings);
    for suffix in 0..3 {
        assert!(matches!(
            submit(&mut table, suffix, "words")[..],
            [WorkEffect::ToOwner { .. }]
        ));
    }
    assert_refused(&submit(&mut table, 3, "words"), ResultCode::HostFull);
    // Without room to remember it, the home does not promise to another host that it gave it up.
    let key = format!("{HOME:016x}-1000000-9");
    let status = table.answer_query(&key, "big", &context());
    assert_eq!(status, HomeStatus::Queued);
}

/// Guards against keys that stay in memory after the time for which they must be remembered.
#[test]
fn old_keys_are_forgotten() {
    let mut keys = KeyMemory::default();
    let keep = Duration::from_mins(11);
    for second in 0..2000 {
        let unix_time = Duration::from_secs(second);
        keys.insert(&second.to_string(), KeyState::Used, unix_time);
        keys.remove_expired(unix_time, keep);
    }
    assert!(keys.len() <= 661, "{}", keys.len());
    assert_eq!(keys.state("1999"), Some(KeyState::Used));
}

/// Guards against a table of open requests without a bound.
#[test]
fn a_full_request_table_refuses() {
    let settings = RequestSettings {
        max_open: 2,
        ..RequestSettings::default()
    };
    let mut table = RequestTable::new(settings);
    for suffix in 0..2 {
        submit(&mut table, suffix, "words");
    }
    assert_refused(&submit(&mut table, 2, "words"), ResultCode::HostFull);
    assert_eq!(table.open(), 2);
}

/// Guards against questions about keys of other homes that pile up while these are silent.
#[test]
fn a_full_lookup_table_refuses() {
    let mut table = LookupTable::default();
    let now = Instant::now();
    let mut start = |caller: u64| {
        let ask = LookupRequest {
            caller,
            key: "k".into(),
            workspace: "big".into(),
            from: 0,
            cancel: false,
        };
        table.start(ask, Some("127.0.0.1:1".parse().unwrap()), &[], now)
    };
    for caller in 0..10_000 {
        assert_eq!(start(caller).len(), 1);
    }
    assert_refused(&start(10_000), ResultCode::HostFull);
}

/// Guards against operators' changes that pile up while the log is slow.
#[test]
fn a_full_operator_table_says_so() {
    fn reply(_: ChangeReport) -> OperatorReply {
        OperatorReply::ValidateConfig
    }
    let mut table = OperatorTable::default();
    for operator in 0..256 {
        assert!(!table.is_full());
        table.open(operator.to_string().into(), operator, reply, Instant::now());
    }
    assert!(table.is_full());
}

/// Guards against a report to the pool owner that is longer than a message and never arrives.
#[test]
fn every_part_of_a_pool_sync_fits_into_a_message() {
    let mut table = RequestTable::new(RequestSettings::default());
    let prompt = "sheet ".repeat(64 * 64);
    for suffix in 0..1600 {
        submit(&mut table, suffix, &prompt);
    }
    let codec = MessageCodec::new(b"secret");
    let parts = table.pool_sync("assistant", Instant::now());
    let mut tickets = 0;
    let only = parts.len() == 1;
    for part in parts {
        assert_eq!(part.complete, only);
        tickets += part.queued.len();
        let envelope = PeerEnvelope {
            from: context().brief,
            message: PeerMessage::PoolSync(part),
        };
        let bytes = codec.encode(&envelope).unwrap();
        assert!(bytes.len() <= MAX_MESSAGE_BYTES);
    }
    assert_eq!(tickets, 1600);
}
