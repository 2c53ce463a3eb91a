//! Arbitrary and damaged input at every decoder: it is refused or taken, and nothing panics.

use std::time::{Duration, Instant};

use arbtest::arbitrary::{Result, Unstructured};

use crate::claim_record::{ClaimRecord, parse_timestamp};
use crate::config_change::parse_change;
use crate::config_document::parse_document;
use crate::endpoint_client::{DispatchTrace, EngineLine, apply_line};
use crate::host_list::parse_hosts;
use crate::ids::parse_key;
use crate::log_client::parse_read;
use crate::message_codec::MessageCodec;
use crate::messages::{PeerEnvelope, PermitGrant};
use crate::stream_hub::StreamHub;

const DOCUMENT: &str = r#"{"schema":1,"tiers":[{"tier":0,"name":"urgent","default_deadline_ms":5000}],"zones":[{"name":"krk-a","region":"pl-south","state":"in"}],"pools":[{"name":"orders","kind":"service","version":"v1","non_idempotent":["place_order"]}],"workspaces":[],"operators":[]}"#;
const CHANGE: &str = r#"{"id":"c1","author":"night","change":{"SetZone":{"zone":"krk-a","state":"out","expected_version":3}}}"#;
const CLAIM: &str = r#"{"Claim":{"workspace":"big","key":"1000000-a","digest":"00000000000000000000000000000001","nonce":"0000000000000001","claimant":"0000000000000002"}}"#;
const OUTCOME: &str = r#"{"Outcome":{"workspace":"big","key":"1000000-a","nonce":"0000000000000001","code":1000,"result":"{}"}}"#;
const LINES: [&str; 4] = [
    r#"{"started":true,"cold":false,"version":"v1"}"#,
    r#"{"index":0,"text":"fog "}"#,
    r#"{"done":true,"tokens":1,"prefill_tokens":2,"cached_tokens":0}"#,
    r#"{"error":"lost","ran":true}"#,
];
const READ: &str = r#"{"first":0,"end":2,"records":[{"offset":0,"at_ms":1,"data":"x"},{"offset":1,"at_ms":18446744073709551615,"data":""}]}"#;
const HOSTS: &str = r#"{"hosts":[{"name":"e1","address":"127.0.0.1:1","peer_address":"127.0.0.1:2","kind":"entry","region":"r","zone":"z","state":"live"},{"name":"m1","address":"127.0.0.1:3","kind":"engine","region":"r","zone":"z","pool":"p","version":"v1","state":"leaving"}]}"#;

/// A valid text with some bytes replaced, cut or inserted, or bytes of no form at all.
fn damaged(u: &mut Unstructured, valid: &str) -> Result<Vec<u8>> {
    if u.ratio(1, 4)? {
        return u.arbitrary();
    }
    let mut bytes = valid.as_bytes().to_vec();
    for _ in 0..u.int_in_range(0..=4)? {
        if bytes.is_empty() {
            break;
        }
        let at = u.int_in_range(0..=bytes.len() - 1)?;
        match u.int_in_range(0..=3)? {
            0 => bytes[at] = u.arbitrary()?,
            1 => bytes.truncate(at),
            2 => bytes.insert(at, *u.choose(b"{}[]\",:0129-.eE\\ntu ")?),
            _ => {
                let digits = u.choose(&["-1", "1e400", "18446744073709551616", "null", "\"\""])?;
                bytes.splice(at..at, digits.bytes());
            }
        }
    }
    Ok(bytes)
}

fn damaged_text(u: &mut Unstructured, valid: &str) -> Result<String> {
    Ok(String::from_utf8_lossy(&damaged(u, valid)?).into_owned())
}

fn engine_line(u: &mut Unstructured, hub: &StreamHub) -> Result<()> {
    let valid = *u.choose(&LINES)?;
    let bytes = damaged(u, valid)?;
    let Ok(line) = serde_json::from_slice::<EngineLine>(&bytes) else {
        return Ok(());
    };
    let grant = PermitGrant {
        pool: "p".into(),
        key: "k".into(),
        permit: 1,
        endpoint: "m1".into(),
        address: "127.0.0.1:1".parse().expect("an address"),
        version: "v1".into(),
        config_version: 1,
    };
    let mut trace = DispatchTrace {
        started_at: Instant::now(),
        cold: false,
        cached_tokens: 0,
        first_token: Some(Duration::ZERO),
    };
    apply_line(&grant, line, hub, &mut trace);
    Ok(())
}

/// Guards against input that ends the daemon, which has one event loop for everything.
#[test]
fn no_decoder_panics() {
    let codec = MessageCodec::new(b"secret");
    arbtest::arbtest(|u| {
        let _ = codec.decode(&u.arbitrary::<Vec<u8>>()?);
        let _ = postcard::from_bytes::<PeerEnvelope>(&u.arbitrary::<Vec<u8>>()?);
        let _ = parse_document(&damaged_text(u, DOCUMENT)?);
        let _ = parse_change(&damaged_text(u, CHANGE)?);
        for valid in [CLAIM, OUTCOME] {
            let _ = ClaimRecord::decode(&damaged_text(u, valid)?);
        }
        let _ = parse_timestamp(&damaged_text(u, "1000000-a")?);
        let _ = parse_key(&damaged_text(u, "0000000000000001-1000000-a")?);
        let _ = parse_read(&damaged(u, READ)?);
        let _ = parse_hosts(&damaged(u, HOSTS)?);
        let hub = StreamHub::default();
        hub.open("k".into());
        for _ in 0..u.int_in_range(1..=4)? {
            engine_line(u, &hub)?;
        }
        Ok(())
    })
    .budget_ms(3_000);
}

/// Guards against samples that the decoders do not take at all, which would make the test above
/// one of damaged text only.
#[test]
fn the_samples_are_valid() {
    assert!(parse_document(DOCUMENT).is_ok());
    assert!(parse_change(CHANGE).is_ok());
    assert!(ClaimRecord::decode(CLAIM).is_some() && ClaimRecord::decode(OUTCOME).is_some());
    for line in LINES {
        assert!(serde_json::from_str::<EngineLine>(line).is_ok());
    }
    let read = parse_read(READ.as_bytes());
    assert!(matches!(read, crate::events::LogRead::Records { .. }));
    let hosts = parse_hosts(HOSTS.as_bytes()).unwrap();
    assert_eq!((hosts.entries.len(), hosts.endpoints.len()), (1, 1));
}
