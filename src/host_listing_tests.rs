//! Guards against leaving endpoints that receive requests again because a lagging list shows them
//! as live.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::host_listing::ListSmoother;
use crate::ids::{EndpointBrief, PoolKind};

fn endpoint(text: &str) -> EndpointBrief {
    let (name, state) = text.split_once(':').unwrap();
    let port = if state == "moved" { 9001 } else { 9000 };
    EndpointBrief {
        name: name.into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        region: "pl-south".into(),
        zone: "krk-a".into(),
        pool: "bielik".into(),
        version: "v1".into(),
        kind: PoolKind::Engine,
        leaving: state == "leaving",
    }
}

#[test]
fn leaving_endpoints_are_held() {
    let mut smoother = ListSmoother::default();
    let start = Instant::now();
    let mut session = String::new();
    for (second, listing) in [
        (0, "e1:live e2:live e3:live e4:leaving"),
        (10, "e1:leaving e3:live e4:moved"),
        (12, "e1:live e2:live"),
        (39, "e1:live e2:live"),
        (40, "e1:live e2:leaving"),
        (41, "e1:live e2:leaving"),
        (42, "e1:live e2:leaving"),
        (100, "e1:live e2:leaving"),
        (129, "e1:live e2:live"),
        (130, "e1:live e2:live"),
    ] {
        let listing: Vec<_> = listing.split(' ').map(endpoint).collect();
        let result = smoother.smooth(&listing, start + Duration::from_secs(second));
        write!(session, "{second:3}").unwrap();
        for brief in result {
            let state = if brief.leaving { "leaving" } else { "live" };
            write!(session, " {}:{state}", brief.name).unwrap();
        }
        session.push('\n');
    }
    insta::assert_snapshot!(session);
}
