//! Tests of lookups of keys that belong to another home.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::lookup::{LookupRequest, LookupTable};
use crate::messages::HomeStatus;
use crate::request::WorkEffect;
use crate::result_code::ResultCode;

const KEY: &str = "00000000000000aa-1000000-k";

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn request(caller: u64, workspace: &str, from: u32, cancel: bool) -> LookupRequest {
    LookupRequest {
        caller,
        key: KEY.into(),
        workspace: workspace.into(),
        from,
        cancel,
    }
}

fn dispatched() -> HomeStatus {
    HomeStatus::Dispatched {
        pool: "assistant".into(),
        endpoint: "m1".into(),
        address: address(8000),
    }
}

fn append_effects(text: &mut String, title: &str, effects: &[WorkEffect]) {
    writeln!(text, "{title}").unwrap();
    for effect in effects {
        let WorkEffect::Plain(effect) = effect else {
            panic!("{effect:?}");
        };
        writeln!(text, "    {effect:?}").unwrap();
    }
}

/// Guards against an answer that reaches the wrong caller, a home that does not answer and blocks
/// its callers, and a failed search that returns "not run".
#[test]
fn callers_receive_the_answer_of_the_home() {
    let now = Instant::now();
    let endpoints = [address(8000), address(8001)];
    let mut text = String::new();
    for status in [
        dispatched(),
        HomeStatus::Queued,
        HomeStatus::GivenUp,
        HomeStatus::Forbidden,
        HomeStatus::Refused(ResultCode::EndpointLost),
    ] {
        let mut table = LookupTable::default();
        table.start(
            request(1, "big", 0, false),
            Some(address(1)),
            &endpoints,
            now,
        );
        table.start(
            request(2, "big", 7, false),
            Some(address(1)),
            &endpoints,
            now,
        );
        table.start(
            request(3, "big", 0, true),
            Some(address(1)),
            &endpoints,
            now,
        );
        let effects = table.apply_home_answer(KEY, "big", &status);
        append_effects(&mut text, &format!("the home says {status:?}"), &effects);
        let effects = table.apply_home_answer(KEY, "big", &status);
        assert!(
            effects.is_empty(),
            "a duplicate answer has effects: {effects:?}"
        );
    }
    let mut table = LookupTable::default();
    let effects = table.start(
        request(1, "big", 0, false),
        Some(address(1)),
        &endpoints,
        now,
    );
    append_effects(&mut text, "asks a known home", &effects);
    let effects = table.start(request(2, "big", 0, false), None, &endpoints, now);
    append_effects(&mut text, "searches for an unknown home", &effects);
    let effects = table.tick(&endpoints, now + Duration::from_millis(499));
    append_effects(&mut text, "after 499 ms", &effects);
    let effects = table.tick(&endpoints, now + Duration::from_millis(500));
    append_effects(&mut text, "after 500 ms", &effects);
    let effects = table.apply_home_answer(KEY, "big", &HomeStatus::GivenUp);
    append_effects(&mut text, "the home answers too late", &effects);
    let effects = table.finish_search(1, Some(address(8001)));
    append_effects(&mut text, "found", &effects);
    let effects = table.finish_search(2, None);
    append_effects(&mut text, "not found", &effects);
    insta::assert_snapshot!(text);
}

/// Guards against a workspace that receives "not run" or "forbidden" for its own request, because
/// another workspace requested the same key at the same host.
#[test]
fn answers_belong_to_one_workspace() {
    let now = Instant::now();
    let mut table = LookupTable::default();
    table.start(request(1, "big", 0, false), Some(address(1)), &[], now);
    table.start(request(2, "small", 0, false), Some(address(1)), &[], now);
    let mut text = String::new();
    let effects = table.apply_home_answer(KEY, "small", &HomeStatus::Forbidden);
    append_effects(&mut text, "answer for small", &effects);
    let effects = table.apply_home_answer(KEY, "big", &dispatched());
    append_effects(&mut text, "answer for big", &effects);
    insta::assert_snapshot!(text);
}
