//! Tests of model requests at their home, from submission to end.

use std::fmt::Write as _;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::configs::request::RequestSettings;
use crate::context::Context;
use crate::events::{DispatchEnd, DispatchResult, Effect, ModelSubmission};
use crate::ids::HostBrief;
use crate::messages::{HomeStatus, PermitGrant, RunOutcome};
use crate::request::{Arrival, RequestTable, WorkEffect};

const KEY: &str = "00000000000000aa-1000000-k";

fn context() -> Context {
    let address = SocketAddr::from(([127, 0, 0, 1], 7000));
    Context {
        brief: HostBrief {
            name: "entry-1".into(),
            region: "pl-south".into(),
            zone: "krk-a".into(),
            incarnation: 0xaa,
            caller_address: address,
            peer_address: address,
        },
        now: Instant::now(),
        unix_time: Duration::from_secs(1_000_000),
        random: SmallRng::seed_from_u64(1),
    }
}

fn submission() -> ModelSubmission {
    ModelSubmission {
        key: KEY.into(),
        pool: "assistant".into(),
        route: "question".into(),
        tier: 1,
        deadline: Some(Duration::from_secs(30)),
        prompt: "which mix gives dense fog".into(),
        max_tokens: 3,
    }
}

fn arrival(caller: u64, workspace: &str) -> Arrival<'_> {
    Arrival {
        caller,
        workspace,
        default_deadline: Duration::from_secs(30),
    }
}

fn grant(permit: u64) -> PermitGrant {
    PermitGrant {
        pool: "assistant".into(),
        key: KEY.into(),
        permit,
        endpoint: "m1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], 8000)),
        version: "v1".into(),
        config_version: 1,
    }
}

fn end(permit: u64, result: DispatchResult) -> DispatchEnd {
    DispatchEnd {
        key: KEY.into(),
        permit,
        result,
        cold: false,
        cached_tokens: 0,
        tokens: 3,
        first_token: Duration::from_millis(20),
        total: Duration::from_millis(60),
        answer: None,
        answer_bytes: 0,
    }
}

/// Returns a table with one queued request.
fn submitted() -> (RequestTable, Context) {
    let mut table = RequestTable::new(RequestSettings::default());
    let context = context();
    table.submit(submission(), &arrival(1, "big"), &context);
    (table, context)
}

/// Returns a table whose request has completed.
fn completed() -> (RequestTable, Context) {
    let (mut table, mut context) = submitted();
    table.accept_permit(grant(1), false, &context);
    table.record_dispatch_accepted(KEY);
    let result = DispatchResult::Ran(RunOutcome::Completed);
    table.record_dispatch_ended(end(1, result), &mut context);
    (table, context)
}

/// Appends a readable form of the effects of one step.
fn write_effects(text: &mut String, step: &str, effects: &[WorkEffect]) {
    writeln!(text, "{step}").unwrap();
    for effect in effects {
        match effect {
            WorkEffect::Plain(Effect::Dispatch(order)) => {
                writeln!(text, "    dispatches with permit {}", order.grant.permit).unwrap();
            }
            WorkEffect::Plain(effect) => writeln!(text, "    {effect:?}").unwrap(),
            WorkEffect::ToOwner { message, .. } => {
                let shown = format!("{message:?}");
                let name = shown.split(['(', ' ']).next().unwrap_or_default();
                writeln!(text, "    to the owner: {name}").unwrap();
            }
            WorkEffect::Claim { .. } | WorkEffect::ClaimFinished { .. } => panic!("{effect:?}"),
        }
    }
}

/// Guards against a second dispatch caused by duplicate, stale or foreign permits, and against
/// wrong replies to repeated submissions and to other workspaces at each stage.
#[test]
fn permits_and_re_sends() {
    let (mut table, mut context) = submitted();
    let mut text = String::new();
    let resend = |table: &mut RequestTable, caller, workspace, context: &Context| {
        table.submit(submission(), &arrival(caller, workspace), context)
    };
    let effects = resend(&mut table, 2, "big", &context);
    write_effects(&mut text, "re-sent while it waits", &effects);
    let effects = resend(&mut table, 3, "small", &context);
    write_effects(&mut text, "sent by another workspace", &effects);
    let effects = table.accept_permit(grant(1), false, &context);
    write_effects(&mut text, "permit 1", &effects);
    let effects = table.accept_permit(grant(1), false, &context);
    write_effects(&mut text, "permit 1 again", &effects);
    let effects = table.accept_permit(grant(2), false, &context);
    write_effects(&mut text, "permit 2", &effects);
    let declined = DispatchResult::Ran(RunOutcome::Declined);
    let effects = table.record_dispatch_ended(end(1, declined), &mut context);
    write_effects(&mut text, "declined", &effects);
    let effects = table.record_dispatch_ended(end(1, declined), &mut context);
    write_effects(&mut text, "declined again", &effects);
    let effects = table.accept_permit(grant(3), false, &context);
    write_effects(&mut text, "permit 3", &effects);
    let broken = DispatchResult::Ran(RunOutcome::Broken);
    let effects = table.record_dispatch_ended(end(3, broken), &mut context);
    write_effects(&mut text, "broken", &effects);
    let effects = resend(&mut table, 4, "big", &context);
    write_effects(&mut text, "re-sent after the end", &effects);
    let effects = table.accept_permit(grant(4), false, &context);
    write_effects(&mut text, "permit 4", &effects);
    context.now += Duration::from_secs(61);
    context.unix_time += Duration::from_secs(61);
    let effects = table.tick(&context);
    write_effects(&mut text, "forgotten after a minute", &effects);
    let effects = resend(&mut table, 5, "big", &context);
    write_effects(&mut text, "re-sent after that", &effects);
    insta::assert_snapshot!(text);
    assert_eq!(table.open(), 0);
}

/// Guards against a cancelled request that is queued again and later dispatched because its permit
/// expires after the cancellation.
#[test]
fn a_cancelled_request_is_not_queued_again_when_its_permit_expires() {
    let (mut table, mut context) = submitted();
    table.accept_permit(grant(1), false, &context);
    table.cancel(KEY, "big", 1, &context);
    assert_eq!(table.open(), 0);
    table.record_dispatch_ended(end(1, DispatchResult::PermitExpired), &mut context);
    let effects = table.accept_permit(grant(2), false, &context);
    let dispatches = effects
        .iter()
        .any(|effect| matches!(effect, WorkEffect::Plain(Effect::Dispatch(_))));
    assert!(!dispatches, "{effects:?}");
    let reports = table.pool_sync("assistant", context.now);
    assert!(reports.iter().all(|report| report.queued.is_empty()));
}

/// Returns an end with an answer of this size.
fn end_with_answer(key: &str, permit: u64, answer_bytes: usize) -> DispatchEnd {
    DispatchEnd {
        key: key.into(),
        answer_bytes,
        ..end(permit, DispatchResult::Ran(RunOutcome::Completed))
    }
}

/// Guards against kept answers whose sizes are counted at their end and differ at their removal.
#[test]
fn the_answer_of_a_cancelled_request_is_counted_until_it_is_removed() {
    let (mut table, mut context) = submitted();
    table.accept_permit(grant(1), false, &context);
    table.cancel(KEY, "big", 1, &context);
    assert_eq!(table.kept_bytes, 0);
    table.record_dispatch_ended(end_with_answer(KEY, 1, 100), &mut context);
    assert_eq!(table.kept_bytes, 100);
    table.remove_caller(1, context.now);
    context.now += Duration::from_secs(61);
    table.tick(&context);
    assert_eq!((table.kept_bytes, table.entries.len()), (0, 0));
}

/// Guards against kept answers without a bound on their sum, and against a dropped answer that is
/// called "not run" or runs again.
#[test]
fn the_oldest_answers_are_dropped_when_all_are_too_large() {
    let settings = RequestSettings {
        max_kept_bytes: 250,
        ..RequestSettings::default()
    };
    let mut table = RequestTable::new(settings);
    let mut context = context();
    let keys = [1, 2, 3].map(|number| format!("{KEY}{number}"));
    for (caller, key) in (1..).zip(&keys) {
        let submission = ModelSubmission {
            key: key.as_str().into(),
            ..submission()
        };
        table.submit(submission, &arrival(caller, "big"), &context);
        let grant = PermitGrant {
            key: key.as_str().into(),
            ..grant(caller)
        };
        table.accept_permit(grant, false, &context);
        table.record_dispatch_ended(end_with_answer(key, caller, 100), &mut context);
        table.remove_caller(caller, context.now);
    }
    table.tick(&context);
    let kept = keys
        .each_ref()
        .map(|key| table.entries.contains_key(key.as_str()));
    assert_eq!((kept, table.kept_bytes), ([false, true, true], 200));
    let again = ModelSubmission {
        key: keys[0].as_str().into(),
        ..submission()
    };
    let effects = table.submit(again, &arrival(9, "big"), &context);
    let text = format!("{effects:?}");
    assert!(text.contains("KeyUnknown"), "{text}");
}

/// Guards against a caller that receives "completed" without the answer from a host that is not the
/// home while the endpoint still retains the stream.
#[test]
fn completed_answers_are_found_through_other_hosts() {
    let (mut table, context) = completed();
    let status = table.answer_query(KEY, "big", &context);
    let address = SocketAddr::from(([127, 0, 0, 1], 8000));
    assert!(
        matches!(&status, HomeStatus::Dispatched { address: at, .. } if *at == address),
        "{status:?}"
    );
    assert_eq!(
        table.answer_query(KEY, "small", &context),
        HomeStatus::Forbidden
    );
}

/// Guards against a slow reader whose answer is removed, and who receives "not run", because the
/// retention of the answer ends before the reader has received everything.
#[test]
fn answers_are_kept_while_they_are_read() {
    let (mut table, mut context) = completed();
    let drops_stream = |effects: &[WorkEffect]| {
        let mut effects = effects.iter();
        effects.any(|effect| matches!(effect, WorkEffect::Plain(Effect::DropStream { .. })))
    };
    context.now += Duration::from_secs(61);
    assert!(
        !drops_stream(&table.tick(&context)),
        "removed while a caller still reads"
    );
    table.remove_caller(1, context.now);
    context.now += Duration::from_secs(61);
    assert!(
        drops_stream(&table.tick(&context)),
        "not removed after the retention"
    );
}
