//! Tests of the configuration state: concurrent operators, snapshots, and limits.

mod seeds;

use std::fmt::Write as _;
use std::time::Duration;

use arbtest::arbitrary::{Result as ArbitraryResult, Unstructured};
use serde_json::json;
use wisteriapin::config_document::parse_document;
use wisteriapin::config_state::{ApplyOutcome, ConfigState};
use wisteriapin::messages::{ConfigRecord, ConfigSnapshot};

const START_MS: u64 = 1_000_000;

fn document(zone_state: &str, version: &str) -> serde_json::Value {
    json!({"schema": 1,
        "tiers": [{"tier": 0, "name": "urgent", "default_deadline_ms": 5000}],
        "zones": [{"name": "krk-a", "region": "pl-south", "state": zone_state},
                  {"name": "krk-b", "region": "pl-south", "state": "in"}],
        "pools": [{"name": "writer", "kind": "engine", "version": version},
                  {"name": "shop", "kind": "service", "version": "v1", "non_idempotent": ["place_order"]}],
        "workspaces": [{"name": "fog", "token_sha256": "0".repeat(64), "weight": 2}],
        "operators": [{"name": "ann", "token_sha256": "1".repeat(64)}]})
}

fn record(offset: u64, at_ms: u64, id: &str, change: &serde_json::Value) -> ConfigRecord {
    let data = json!({"id": id, "author": "ann", "change": change}).to_string();
    ConfigRecord {
        offset,
        at: Duration::from_millis(at_ms),
        data,
    }
}

/// Applies changes one after another, at one second per record, and writes each outcome as text.
struct ConfigSession {
    state: ConfigState,
    records: Vec<ConfigRecord>,
    text: String,
}

impl ConfigSession {
    fn new() -> Self {
        Self {
            state: ConfigState::default(),
            records: Vec::new(),
            text: String::new(),
        }
    }

    fn apply(&mut self, id: &str, change: &serde_json::Value) -> ApplyOutcome {
        let offset = self.records.len() as u64;
        let record = record(offset, START_MS + offset * 1_000, id, change);
        let outcome = self.state.apply(&record);
        self.records.push(record);
        let brief: String = change.to_string().chars().take(110).collect();
        let (version, changed) = (self.state.version(), self.state.changed_version());
        writeln!(
            self.text,
            "{id} {brief}\n  -> {outcome:?}, version {version}, changed {changed}"
        )
        .unwrap();
        outcome
    }

    fn write_line(&mut self, text: &str) {
        writeln!(self.text, "{text}").unwrap();
    }
}

fn publish(expected: u64, document: &serde_json::Value) -> serde_json::Value {
    json!({"Publish": {"expected_version": expected, "document": document}})
}

fn set_zone(zone: &str, state: &str, expected: Option<u64>) -> serde_json::Value {
    json!({"SetZone": {"zone": zone, "state": state, "expected_version": expected}})
}

fn start(rollout: &str, version: &str, deadline_ms: u64) -> serde_json::Value {
    json!({"StartRollout": {"rollout": rollout, "pool": "writer", "version": version, "deadline_unix_ms": deadline_ms}})
}

fn step(rollout: &str, follows: u32, share: u16) -> serde_json::Value {
    json!({"RolloutStep": {"rollout": rollout, "follows_step": follows, "share_permille": share}})
}

fn verdict(rollout: &str, follows: u32, verdict: &serde_json::Value) -> serde_json::Value {
    json!({"RolloutVerdict": {"rollout": rollout, "follows_step": follows, "verdict": verdict}})
}

/// Guards against a second operator's change that silently reverts the first one's, and against
/// conflicts caused by records that changed nothing.
#[test]
fn racing_operators_and_retried_appends() {
    let mut session = ConfigSession::new();
    session.apply("a1", &publish(0, &document("in", "v1")));
    session.apply("b1", &publish(0, &document("out", "v1")));
    session.apply("b2", &set_zone("krk-a", "out", Some(1)));
    session.apply("b2", &set_zone("krk-a", "out", Some(1)));
    session.apply("a2", &publish(2, &document("in", "v1")));
    session.apply("a3", &set_zone("krk-x", "out", None));
    session.apply(
        "c1",
        &json!({"DrainHost": {"host": "entry-3", "drained": true}}),
    );
    session.apply("a4", &publish(4, &document("out", "v1")));
    session.apply("a5", &publish(99, &document("in", "v1")));
    session.apply(
        "a6",
        &json!({"PutTier": {"tier": {"tier": 1, "name": "urgent", "default_deadline_ms": 1}}}),
    );
    session.apply(
        "a7",
        &json!({"PutTier": {"tier": {"tier": 0, "name": "now", "default_deadline_ms": 1}}}),
    );
    session.apply("", &set_zone("krk-a", "in", None));
    // A rejected change must not take effect even if its precondition holds later.
    let late = start("r1", "v2", START_MS + 60_000);
    session.apply("d1", &start("r0", "v3", START_MS + 60_000));
    session.apply("d2", &late);
    session.apply(
        "d3",
        &verdict("r0", 0, &json!({"taken_back": {"reason": "operator"}})),
    );
    session.apply("d2", &late);
    let (out, drained) = (
        session.state.is_zone_out("krk-a"),
        session.state.is_host_drained("entry-3"),
    );
    session.write_line(&format!(
        "krk-a out: {out}, entry-3 drained: {drained}, rollout: {:?}",
        session.state.running_rollout("writer")
    ));
    insta::assert_snapshot!(session.text);
}

/// Guards against a new pool owner that repeats a step or verdict of the previous owner.
#[test]
fn runner_dies_between_verdict_and_action() {
    let mut session = ConfigSession::new();
    session.apply("p", &publish(0, &document("in", "v1")));
    session.apply("s0", &start("r1", "v1", START_MS + 60_000));
    session.apply("s1", &start("r1", "v2", START_MS));
    session.apply("s2", &start("r1", "v2", START_MS + 60_000));
    session.apply("s3", &start("r2", "v3", START_MS + 60_000));
    session.apply("t1", &step("r1", 0, 20));
    session.apply("t1-successor", &step("r1", 0, 20));
    session.apply("t2", &step("r1", 1, 10));
    session.apply("t3", &step("r1", 1, 1001));
    session.apply("t4", &step("r1", 1, 100));
    session.apply("v0", &verdict("r1", 2, &json!("done")));
    session.apply("q1", &publish(9, &document("in", "v2")));
    session.apply(
        "v1",
        &verdict(
            "r1",
            2,
            &json!({"taken_back": {"reason": "failures on route tags"}}),
        ),
    );
    session.apply(
        "v1-successor",
        &verdict(
            "r1",
            2,
            &json!({"taken_back": {"reason": "failures on route tags"}}),
        ),
    );
    session.apply("t5", &step("r1", 2, 300));
    session.apply("s4", &start("r1", "v2", START_MS + 60_000));
    session.apply("s5", &start("r3", "v2", START_MS + 20_000));
    session.apply("t6", &step("r3", 0, 1000));
    session.apply("v2", &verdict("r3", 1, &json!("running")));
    session.apply("v3", &verdict("r3", 1, &json!("done")));
    session.apply(
        "v4",
        &verdict("r3", 1, &json!({"taken_back": {"reason": "late"}})),
    );
    let version = session.state.pool("writer").unwrap().version.clone();
    session.write_line(&format!(
        "writer is at {version}; {} rollouts known",
        session.state.rollouts().count()
    ));
    session.apply("s6", &start("r4", "v3", START_MS + 23_000));
    session.apply("t7", &step("r4", 0, 1000));
    session.apply("v5", &verdict("r4", 1, &json!("done")));
    insta::assert_snapshot!(session.text);
}

/// Guards against a snapshot that returns a host to an older version, and against a host that
/// reports a version whose records it has not read.
#[test]
fn snapshots_never_go_back() {
    let mut session = ConfigSession::new();
    session.apply("p", &publish(0, &document("in", "v1")));
    let old = session.state.snapshot();
    session.apply("z", &set_zone("krk-a", "out", None));
    let new = session.state.snapshot();
    let mut other = ConfigState::default();
    assert_eq!(other.apply_snapshot(&new), Ok(true));
    assert_eq!(
        other.apply_snapshot(&old),
        Ok(false),
        "an older snapshot arrives late"
    );
    assert_eq!(
        other.apply_snapshot(&new),
        Ok(false),
        "the same snapshot arrives twice"
    );
    assert!(other.is_zone_out("krk-a"));
    let malformed_snapshot = ConfigSnapshot {
        version: 9,
        state: new.state.replace("\"out\"", "\"away\""),
    };
    assert!(other.apply_snapshot(&malformed_snapshot).is_err());
    assert_eq!(
        other.snapshot(),
        new,
        "a malformed snapshot changes nothing"
    );

    let (late, valid) = ([(2, 1), (3, 3)])
        .map(|(offset, version)| {
            let change = json!({"Snapshot": {"version": version, "state": new.state}});
            record(offset, START_MS, "s", &change)
        })
        .into();
    let zone = record(1, START_MS, "y", &set_zone("krk-b", "out", None));
    let mut joining_state = ConfigState::default();
    for (record, version) in [(&zone, 0), (&late, 0), (&valid, 4), (&zone, 4)] {
        let outcome = joining_state.apply(record);
        session.write_line(&format!("starter at offset {}: {outcome:?}", record.offset));
        assert_eq!(joining_state.version(), version);
    }
    assert!(joining_state.is_zone_out("krk-a") && !joining_state.is_zone_out("krk-b"));
    insta::assert_snapshot!(session.text);
}

/// Guards against errors that do not name the invalid field.
#[test]
fn document_errors_name_the_field() {
    let mut text = String::new();
    let faults: [(&str, serde_json::Value); 18] = [
        ("/colour", json!(1)),
        ("/schema", json!(2)),
        ("/tiers/0/tier", json!(16)),
        ("/tiers/0/default_deadline_ms", json!(0)),
        (
            "/tiers/1",
            json!({"tier": 0, "name": "b", "default_deadline_ms": 1}),
        ),
        ("/zones/1/name", json!("krk-a")),
        ("/zones/1/state", json!("away")),
        ("/zones/0/region", json!("")),
        ("/pools/1/version", json!(3)),
        ("/pools/1/version", json!("v 1")),
        ("/pools/0/non_idempotent", json!(["tag"])),
        ("/pools/1/non_idempotent", json!(["a", "a"])),
        ("/pools/1/owner", json!("x")),
        ("/workspaces/0/token_sha256", json!("secret")),
        ("/workspaces/0/token_sha256", json!("1".repeat(64))),
        ("/workspaces/0/token_sha256", json!("0".repeat(62))),
        ("/workspaces/0/weight", json!(-1)),
        ("/operators", json!([{"name": "ann"}])),
    ];
    for (pointer, value) in faults {
        let mut document = document("in", "v1");
        let (parent, field) = pointer.rsplit_once('/').unwrap();
        match document.pointer_mut(parent).unwrap() {
            serde_json::Value::Array(list) => list.push(value.clone()),
            parent => parent[field] = value.clone(),
        }
        let error = parse_document(&document.to_string()).expect_err(pointer);
        writeln!(text, "{pointer} = {value}\n  {error}").unwrap();
    }
    for broken in ["", "[]", "{\"schema\":1,\"schema\":1}", "{\"schema\":1}x"] {
        writeln!(
            text,
            "{broken}\n  {}",
            parse_document(broken).expect_err(broken)
        )
        .unwrap();
    }
    insta::assert_snapshot!(text);
}

/// Draws a change from a small set of values, so that preconditions often hold and often fail.
fn arbitrary_change(input: &mut Unstructured, offset: u64) -> ArbitraryResult<serde_json::Value> {
    let rollout = ["r1", "r2", "r3"][input.choose_index(3)?];
    let version = ["v1", "v2"][input.choose_index(2)?];
    let zone_state = ["in", "out"][input.choose_index(2)?];
    let expected = offset.saturating_sub(input.int_in_range(0..=3)?);
    let follows = input.int_in_range(0..=2)?;
    Ok(match input.int_in_range(0..=7)? {
        0 => publish(expected, &document(zone_state, version)),
        1 => set_zone("krk-a", zone_state, Some(expected)),
        2 => start(
            rollout,
            version,
            START_MS + input.int_in_range(0..=40)? * 1_000,
        ),
        3 | 4 => step(rollout, follows, [100, 1000][input.choose_index(2)?]),
        5 => verdict(rollout, follows, &json!("done")),
        6 => verdict(rollout, follows, &json!({"taken_back": {"reason": "x"}})),
        _ => json!({"DrainHost": {"host": rollout, "drained": input.arbitrary::<bool>()?}}),
    })
}

/// Guards against state that affects outcomes but is missing from the snapshot.
#[test]
fn a_snapshot_and_the_remaining_records_give_the_same_state() {
    seeds::check_seeds(500, |input| {
        let count = input.int_in_range(1..=30)?;
        let mut records = vec![record(0, START_MS, "p", &publish(0, &document("in", "v1")))];
        for offset in 1..count {
            let change = arbitrary_change(input, offset)?;
            let id = format!("i{}", input.int_in_range(0..=60)?);
            let mut next = record(offset, START_MS + offset * 999, &id, &change);
            next.at += Duration::from_nanos(999_999);
            records.push(next);
        }
        let split = input.choose_index(records.len())?;
        let mut whole = ConfigState::default();
        let mut rest = ConfigState::default();
        for (index, record) in records.iter().enumerate() {
            let expected = whole.apply(record);
            if index > split {
                assert_eq!(
                    rest.apply(record),
                    expected,
                    "record {index} after a split at {split}"
                );
            } else if index == split {
                assert!(rest.apply_snapshot(&whole.snapshot()).unwrap());
            }
        }
        assert_eq!(rest.snapshot(), whole.snapshot());
        assert!(rest.rollouts().eq(whole.rollouts()));
        assert_eq!(rest.is_zone_out("krk-a"), whole.is_zone_out("krk-a"));
        assert_eq!(rest.pool("writer"), whole.pool("writer"));
        Ok(())
    });
}

/// Guards against records that make a host panic: every malformed record must be rejected.
#[test]
fn arbitrary_records_do_not_panic() {
    seeds::check_seeds(500, |input| {
        let mut data = String::from_utf8_lossy(input.bytes(input.len() / 2)?).into_owned();
        if input.arbitrary()? {
            // Replaces a part of a valid record with the random bytes.
            let valid = record(0, START_MS, "p", &publish(0, &document("in", "v1"))).data;
            let cut = input.choose_index(valid.len())?;
            let skip = input.int_in_range(0..=valid.len() - cut)?;
            data = format!("{}{data}{}", &valid[..cut], &valid[cut + skip..]);
        }
        let mut state = ConfigState::default();
        state.apply(&ConfigRecord {
            offset: 0,
            at: Duration::MAX,
            data: data.clone(),
        });
        assert_eq!(state.version(), 1);
        let _ = parse_document(&data);
        let _ = state.apply_snapshot(&ConfigSnapshot {
            version: 2,
            state: data,
        });
        Ok(())
    });
}
