//! Tests of the verdicts on zone changes and drains.

use std::fmt::Write as _;
use std::time::Duration;

use wisteriapin::config_document::ZoneState;
use wisteriapin::drain::judge_drain;
use wisteriapin::progress::{OrderFacts, PoolUsage};
use wisteriapin::zone::judge_zone;

/// Guards against a verdict "done" while requests still run in a zone or may still be sent to it.
#[test]
fn verdicts_of_zones_and_drains() {
    let seconds = Duration::from_secs;
    let mut facts = OrderFacts {
        recorded: seconds(100),
        confirmed: None,
        settle_time: seconds(3),
        now: seconds(101),
        pools: [("writer", 2), ("shop", 1)]
            .map(|(pool, running)| PoolUsage {
                pool: pool.into(),
                last_grant: Some(seconds(99)),
                running,
            })
            .into(),
    };
    let mut text = String::new();
    let mut judge = |title: &str, facts: &OrderFacts| {
        let verdicts = [
            judge_zone("krk-a", ZoneState::Out, facts),
            judge_zone("krk-a", ZoneState::In, facts),
            judge_drain("e7", true, facts),
            judge_drain("e7", false, facts),
        ];
        writeln!(text, "{title}").unwrap();
        for verdict in verdicts {
            writeln!(
                text,
                "  {:?} (done: {}): {}",
                verdict.progress,
                verdict.is_done(),
                verdict.sentence
            )
            .unwrap();
        }
    };
    judge("recorded", &facts);
    facts.confirmed = Some(seconds(101));
    judge("confirmed", &facts);
    facts.now = seconds(104);
    judge("settled, requests running", &facts);
    facts.pools[0].running = 0;
    facts.pools[1].running = 0;
    facts.pools[1].last_grant = Some(seconds(105));
    facts.now = seconds(106);
    judge("a grant after the order settled", &facts);
    facts.now = seconds(108);
    judge("nothing runs", &facts);
    insta::assert_snapshot!(text);
}
