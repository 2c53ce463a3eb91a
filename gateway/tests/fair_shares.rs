//! Shares of workspaces and admission to plain services, played without a network.

mod common;

use std::time::{Duration, Instant};

use common::{endpoint, host, scheduler, work};
use gateway::ids::{FastMap, NameHash};
use gateway::limits::{WorkspaceDemand, kept_shares};
use gateway::scheduler::plain_admission::{PlainAdmission, PlainLoad, max_crowding};
use gateway::scheduler::{
    EndpointReport, RefusalReason, RunEnd, SchedulerEffect, SchedulerEvent, WorkItem,
};

/// Rate of the cap of each workspace, in units a second.
const CAP: f64 = 180.0;
/// Usual demand of a workspace.
const USUAL: f64 = 100.0;

/// Plays a service that serves `capacity` units a second, and returns the part of its requests that
/// each workspace is served: first those that are loud, then the quiet ones.
fn play(loud: usize, quiet: usize, loudness: f64, capacity: f64) -> (f64, f64) {
    let count = loud + quiet;
    let mut asked = vec![0.0; count];
    let mut served = vec![0.0; count];
    let mut kept: FastMap<NameHash, f64> = FastMap::default();
    let mut result = (0.0, 0.0);
    for _ in 0..60 {
        let offered: Vec<f64> = (0..count)
            .map(|index| {
                if index < loud {
                    USUAL * loudness
                } else {
                    USUAL
                }
            })
            .collect();
        let share = |index: usize| {
            let hash = u32::try_from(index).expect("the number is small");
            kept.get(&hash).copied().unwrap_or(1.0)
        };
        let sent: Vec<f64> = (0..count)
            .map(|index| offered[index] * share(index))
            .collect();
        let part = (capacity / sent.iter().sum::<f64>()).min(1.0);
        for index in 0..count {
            // Usage decays with a time constant of two seconds, and a step is half a second.
            let decay = (-0.25_f64).exp();
            asked[index] = asked[index] * decay + offered[index];
            served[index] = served[index] * decay + sent[index] * part;
        }
        let demands: Vec<_> = (0..count)
            .map(|index| WorkspaceDemand {
                workspace: u32::try_from(index).expect("the number is small"),
                tier: Some(1),
                weight: CAP,
                asked: asked[index],
                served: served[index],
            })
            .collect();
        let parts: Vec<f64> = (0..count)
            .map(|index| sent[index] * part / offered[index])
            .collect();
        result = (parts[0], parts[count - 1]);
        kept = kept_shares(&demands);
    }
    result
}

/// Guards against quiet workspaces that pay for loud ones: with 16 workspaces, two of which send six
/// times their usual, the others are served at least nine tenths of what they are without these.
#[test]
fn quiet_workspaces_are_served_beside_loud_ones() {
    let capacity = 16.0 * USUAL * 0.9;
    let (_, calm) = play(0, 16, 1.0, capacity);
    let (loud, quiet) = play(2, 14, 6.0, capacity);
    assert!(
        quiet >= 0.9 * calm,
        "served {quiet:.2}, {calm:.2} without loud ones"
    );
    assert!(loud < 0.5 * quiet, "loud ones are served {loud:.2}");
    // What quiet workspaces leave is used.
    assert!(2.0 * USUAL * 6.0 * loud + 14.0 * USUAL * quiet > 0.9 * capacity);
}

/// Guards against refusals for shares that go on after the overload has ended.
#[test]
fn shares_end_with_the_overload() {
    let (loud, quiet) = play(2, 14, 6.0, 16.0 * USUAL * 2.0);
    assert!(
        loud > 0.99 && quiet > 0.99,
        "served {loud:.2} and {quiet:.2}"
    );
}

/// Guards against shares between workspaces of different tiers, and against a workspace that is
/// limited while it asks for nothing unusual.
#[test]
fn tiers_do_not_share_with_each_other() {
    let demand = |workspace, tier, asked, served| WorkspaceDemand {
        workspace,
        tier: Some(tier),
        weight: CAP,
        asked,
        served,
    };
    let demands = [
        demand(1, 0, 900.0, 900.0),
        demand(2, 1, 100.0, 50.0),
        demand(3, 1, 100.0, 50.0),
    ];
    assert!(kept_shares(&demands).is_empty());
}

/// Guards against a loud workspace whose requests are queued before those of others although it is
/// over its share, and against refusals for shares while endpoints have room.
#[test]
fn requests_over_the_share_are_refused_only_while_endpoints_are_full() {
    let now = Instant::now();
    let mut state = scheduler(&[endpoint("e1", "a")], true, now);
    let shares: FastMap<NameHash, f64> = [(5, 0.0)].into_iter().collect();
    state.reduce(SchedulerEvent::KeptSharesChanged(shares), now);
    let of = |ticket, workspace| WorkItem {
        workspace: Some(workspace),
        ..work(ticket, 0, now)
    };
    for ticket in 1..=4 {
        let effects = state.reduce(SchedulerEvent::Submitted(of(ticket, 5)), now);
        assert!(matches!(effects[..], [SchedulerEffect::Dispatch { .. }]));
    }
    // The fifth finds all slots taken and waits.
    assert!(
        state
            .reduce(SchedulerEvent::Submitted(of(5, 5)), now)
            .is_empty()
    );
    let effects = state.reduce(SchedulerEvent::Submitted(of(6, 5)), now);
    assert!(matches!(
        effects[..],
        [SchedulerEffect::Refuse {
            reason: RefusalReason::OverShare,
            ..
        }]
    ));
    assert!(
        state
            .reduce(SchedulerEvent::Submitted(of(7, 6)), now)
            .is_empty()
    );
}

/// Guards against answers of a plain service that are all late: 40 hosts send 30 % more than its
/// three endpoints can answer, and know their load 0.2 s late.
#[test]
fn a_crowded_plain_service_answers_in_time_what_it_is_sent() {
    const STEP: Duration = Duration::from_millis(10);
    let mut admission = PlainAdmission::default();
    let mut now = Instant::now();
    let target = Duration::from_millis(150);
    let answer_time = Duration::from_millis(40);
    // 18 slots answer 450 requests a second.
    let (slots, rate, per_step) = (18.0, 450.0, 4.5_f64);
    let (mut active, mut history) = (0.0_f64, vec![0.0; 20]);
    let (mut in_time, mut late, mut refused) = (0.0, 0.0, 0.0);
    for _ in 0..2_000 {
        let reported = history.remove(0);
        let load = PlainLoad {
            slots,
            active: reported,
            answer_time,
        };
        now += STEP;
        let share = admission.refused_share(&load, target, 1, now);
        let offered = rate * 1.3 * STEP.as_secs_f64();
        let sent = offered * (1.0 - share);
        refused += offered * share;
        let expected = answer_time.mul_f64(((active + sent) / slots).max(1.0));
        if expected <= target {
            in_time += sent;
        } else {
            late += sent;
        }
        active = (active + sent - per_step.min(active)).max(0.0);
        history.push(active);
    }
    let all = in_time + late + refused;
    assert!(
        in_time / all > 0.7,
        "in time {in_time:.0}, late {late:.0}, refused {refused:.0}"
    );
    assert!(late < 0.05 * all);
    assert!(max_crowding(answer_time, target) > 3.0);
}

/// Guards against refusals in a small fleet, where loads are known in time and requests wait instead.
#[test]
fn small_fleets_queue_for_plain_services() {
    let now = Instant::now();
    for (hosts, is_refused) in [(9, false), (40, true)] {
        let mut state = scheduler(&[endpoint("e1", "a")], false, now);
        let all: Vec<_> = (1..=hosts).map(host).collect();
        state.reduce(
            SchedulerEvent::HostsChanged {
                own_host: host(1),
                hosts: all,
                hosts_in_zone: 1,
            },
            now,
        );
        let reports = vec![EndpointReport {
            endpoint: gateway::ids::hash_name("e1"),
            active: 60,
            pending_prefill_tokens: 0,
        }];
        state.reduce(
            SchedulerEvent::HubReported {
                peer: host(2),
                reports,
                zone: None,
            },
            now,
        );
        let effects = state.reduce(SchedulerEvent::Submitted(work(1, 0, now)), now);
        assert_eq!(
            !effects.is_empty(),
            is_refused,
            "{hosts} hosts: {effects:?}"
        );
        let ended = SchedulerEvent::Ended {
            ticket: 1,
            end: RunEnd::Abandoned,
            events: 0,
            streamed_for: Duration::ZERO,
        };
        state.reduce(ended, now);
    }
}
