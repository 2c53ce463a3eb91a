//! Tests of guarantees 9 and 10 with real processes: leaving endpoints receive no new requests, and
//! a graceful shutdown of a host interrupts no request.

mod support_moves;

use std::time::{Duration, Instant};

use fleet::{EnginePlan, Fleet, FleetPlan, Process, discover, home_key, wait_until};
use serde_json::json;
use support_moves::{
    Load, LoadPlan, assert_all_whole, assert_none_cut, dispatches, home, last_after, mark, request,
    run,
};

/// Time after which an endpoint that the list shows as leaving receives no new requests.
const LEAVING_BOUND: Duration = Duration::from_secs(3);
const ARRIVAL_LIMIT: Duration = Duration::from_secs(20);
const DISCOVERY_TTL: Duration = Duration::from_secs(2);
const DRAINING: u64 = 1304;
/// 400 decoding steps of 20 ms take 8 s.
const LONG_TOKENS: u32 = 400;

fn two_engines() -> FleetPlan {
    let mut plan = FleetPlan::new(3)
        .engine(EnginePlan::new("m1", "krk-a", &[]))
        .engine(EnginePlan::new("m2", "krk-b", &[]));
    plan.daemon_arguments = ["--discovery-ttl", "2s"].map(str::to_owned).to_vec();
    plan
}

async fn wait_dispatched(fleet: &Fleet, engine: &Process, more: usize) {
    let before = dispatches(fleet, engine).await.len();
    wait_until("the engine gets work", ARRIVAL_LIMIT, || async {
        dispatches(fleet, engine).await.len() >= before + more
    })
    .await;
}

/// Guards against requests to an endpoint that is leaving, also when the list briefly shows it as
/// live again, and against streams that are interrupted when their endpoint starts to leave.
#[test]
fn a_leaving_endpoint_gets_no_new_work_while_the_list_flaps() {
    run(async {
        let fleet = Fleet::start(two_engines()).await;
        let load = Load::start(&fleet, &[0, 1, 2], &LoadPlan::new(9, 20)).await;
        let long = Load::start(&fleet, &[0, 1], &LoadPlan::new(2, LONG_TOKENS)).await;
        let leaving = &fleet.engines[0];
        wait_dispatched(&fleet, leaving, 10).await;
        fleet.list(&fleet.engine_entry(0, "leaving")).await;
        mark(leaving, "leaving").await;
        let lag = Duration::from_millis(fleet.plan.list_lag_ms);
        wait_until(
            "the list shows it",
            lag + Duration::from_secs(2),
            || async {
                let list = support_moves::listing(&fleet.lists[0]).await;
                list.contains("leaving")
            },
        )
        .await;
        // The daemons read the list twice a second; let them see the change before it flaps.
        load.wait_whole(30, ARRIVAL_LIMIT).await;
        fleet
            .behave(&fleet.lists[0], &json!({"flap_ms": 2000}))
            .await;
        let began = Instant::now();
        while began.elapsed() < LEAVING_BOUND + Duration::from_secs(2) {
            load.wait_whole(5, ARRIVAL_LIMIT).await;
        }
        let last = last_after(&fleet, leaving, "leaving").await;
        println!("last dispatch {last:?} after it was put on the list as leaving");
        assert!(
            last.is_none_or(|last| last <= lag + LEAVING_BOUND),
            "{last:?}"
        );
        let short = load.stop().await;
        assert_all_whole(&short);
        let long = long.stop().await;
        assert_all_whole(&long);
    });
}

/// Guards against a shutdown that interrupts a running stream or rejects a caller with a cached
/// address, a host that exits too early or with an error, and discovery that lists a leaving host.
#[test]
fn a_terminated_host_finishes_its_work_and_exits() {
    run(async {
        let mut fleet = Fleet::start(two_engines()).await;
        let leaving = fleet.owner(0, "assistant").await.expect("an owner");
        let other = (leaving + 1) % 3;
        let (address, own_home) = (fleet.caller(leaving), home(&fleet, leaving).await);
        let cached = Load::start(&fleet, &[leaving], &LoadPlan::new(4, 5)).await;
        let rest = Load::start(&fleet, &[other], &LoadPlan::new(4, 5)).await;
        let key = home_key(&own_home, "long");
        let long = compio::runtime::spawn(async move {
            request(address, &key, "question", 2, LONG_TOKENS).await
        });
        cached.wait_whole(10, ARRIVAL_LIMIT).await;
        fleet.daemons[leaving].terminate();
        let began = Instant::now();
        for viewer in [leaving, other] {
            let viewer = fleet.caller(viewer);
            wait_until(
                "discovery stops naming it",
                Duration::from_secs(1),
                || async {
                    let hosts = discover(viewer).await.expect("the host still answers");
                    hosts.iter().all(|(listed, _)| *listed != address)
                },
            )
            .await;
        }
        // Callers may cache the address for the discovery TTL and are served during that time.
        while began.elapsed() < DISCOVERY_TTL.mul_f64(0.75) {
            let key = home_key(
                &own_home,
                &format!("cached-{}", began.elapsed().as_micros()),
            );
            let outcome = request(address, &key, "question", 1, 5).await;
            assert!(outcome.is_whole(), "{outcome:?}");
        }
        rest.wait_whole(20, ARRIVAL_LIMIT).await;
        let long = long.await.expect("the request ends");
        assert!(long.is_whole(), "{long:?}");
        wait_until("the process ends", ARRIVAL_LIMIT, || {
            let ended = std::fs::read_to_string(&fleet.daemons[leaving].log_path);
            let ended = ended.is_ok_and(|log| log.contains("drain: exiting"));
            async move { ended }
        })
        .await;
        let process = &mut fleet.daemons[leaving];
        let code = loop {
            if let Some(code) = process.exit_code() {
                break code;
            }
            assert!(began.elapsed() < Duration::from_secs(30), "still running");
            compio::time::sleep(Duration::from_millis(20)).await;
        };
        assert_eq!(code, 0);
        assert!(began.elapsed() >= DISCOVERY_TTL);
        let cached = cached.stop().await;
        assert_none_cut(&cached);
        let limit = DISCOVERY_TTL.mul_f64(0.9);
        for outcome in cached.iter().filter(|outcome| !outcome.is_whole()) {
            assert!(
                outcome.began > began + limit,
                "refused too early: {outcome:?}"
            );
            if let Some(reply) = &outcome.reply {
                assert_eq!((reply.code(), reply.ran()), (DRAINING, "not_run"));
            }
        }
        let rest = rest.stop().await;
        assert_all_whole(&rest);
    });
}

/// Guards against a second SIGTERM that ends a host during its shutdown and interrupts a stream.
#[test]
fn a_second_sigterm_interrupts_no_stream() {
    run(async {
        let mut fleet = Fleet::start(two_engines()).await;
        let leaving = fleet.owner(0, "assistant").await.expect("an owner");
        let (address, own_home) = (fleet.caller(leaving), home(&fleet, leaving).await);
        let key = home_key(&own_home, "long");
        let long = compio::runtime::spawn(async move {
            request(address, &key, "question", 2, LONG_TOKENS).await
        });
        let engines = &fleet.engines;
        wait_until("an engine gets the request", ARRIVAL_LIMIT, || async {
            dispatches(&fleet, &engines[0]).await.len()
                + dispatches(&fleet, &engines[1]).await.len()
                > 0
        })
        .await;
        fleet.daemons[leaving].terminate();
        let log_path = fleet.daemons[leaving].log_path.clone();
        wait_until("the shutdown begins", ARRIVAL_LIMIT, || {
            let began = std::fs::read_to_string(&log_path);
            let began = began.is_ok_and(|log| log.contains("drain: leaving"));
            async move { began }
        })
        .await;
        fleet.daemons[leaving].terminate();
        let long = long.await.expect("the request ends");
        assert!(long.is_whole(), "{long:?}");
        let deadline = Instant::now() + ARRIVAL_LIMIT;
        let code = loop {
            if let Some(code) = fleet.daemons[leaving].exit_code() {
                break code;
            }
            assert!(Instant::now() < deadline, "still running");
            compio::time::sleep(Duration::from_millis(20)).await;
        };
        assert_eq!(code, 0);
    });
}

/// Guards against a shutdown that loses requests when the host that takes over the pool is paused
/// at the same time. The test combines two failures.
#[test]
fn a_shutdown_while_another_host_is_paused_cuts_nothing() {
    run(async {
        let mut plan = two_engines();
        plan.daemons = 5;
        let fleet = Fleet::start(plan).await;
        let leaving = fleet.owner(0, "assistant").await.expect("an owner");
        let paused = (leaving + 1) % 5;
        let rest: Vec<usize> = (2..5).map(|step| (leaving + step) % 5).collect();
        let load = Load::start(&fleet, &rest, &LoadPlan::new(6, 20)).await;
        let own = Load::start(&fleet, &[leaving], &LoadPlan::new(2, 20)).await;
        load.wait_whole(20, ARRIVAL_LIMIT).await;
        fleet.daemons[paused].pause();
        fleet.daemons[leaving].terminate();
        let began = Instant::now();
        while began.elapsed() < Duration::from_secs(5) {
            load.wait_whole(5, ARRIVAL_LIMIT).await;
        }
        fleet.daemons[paused].resume();
        load.wait_whole(20, ARRIVAL_LIMIT).await;
        let outcomes = load.stop().await;
        assert_all_whole(&outcomes);
        assert_none_cut(&own.stop().await);
    });
}
