//! An operators' port with a scripted daemon behind it.
#![allow(dead_code)]

use std::net::SocketAddr;

use caller_limits::MemoryPool;
use compio::net::TcpListener;
use futures_channel::mpsc;
use futures_util::StreamExt;
use wisteriapin::configs::operator::OperatorLimits;
use wisteriapin::ids::HostState;
use wisteriapin::operator_server::serve_operators;
use wisteriapin::operator_types::{
    ChangeReport, CounterEntry, ElectorReport, EndpointReport, EndpointState, OperatorCall,
    OperatorReply, OperatorRequest, OperatorResult, PoolReport, ReplySender, RolloutOutcome,
    RolloutReport, StatusReport, TierLoad, ZoneReport,
};
use wisteriapin::result_code::ResultCode;

/// Starts a server whose calls the scripted daemon answers; every request is also sent to `seen`.
pub async fn start_server(
    limits: OperatorLimits,
    seen: mpsc::UnboundedSender<OperatorRequest>,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let (calls, mut received) = mpsc::channel::<OperatorCall>(4);
    let memory = MemoryPool::new(64 * 1024 * 1024);
    compio::runtime::spawn(serve_operators(listener, calls, limits, memory)).detach();
    compio::runtime::spawn(async move {
        while let Some(call) = received.next().await {
            seen.unbounded_send(call.request.clone()).ok();
            answer(call);
        }
    })
    .detach();
    address
}

fn answer(call: OperatorCall) {
    if call.token.as_deref() != Some("operator-token") {
        let result = OperatorResult::new(ResultCode::NotOperator);
        call.reply.finish(OperatorReply::Refused(result));
        return;
    }
    match call.reply {
        ReplySender::Unary(sender) => {
            if let Some(reply) = unary_reply(&call.request) {
                sender.send(reply).ok();
            }
        }
        ReplySender::Stream(mut sender) => {
            for reply in stream_replies(&call.request) {
                sender.try_send(reply).unwrap();
            }
        }
    }
}

fn change() -> ChangeReport {
    ChangeReport {
        result: OperatorResult::with_message(ResultCode::Completed, "accepted"),
        config_version: 8,
        confirmed: 2,
        electorate: 3,
        missing_hosts: vec!["entry-3".into()],
    }
}

/// `None` drops the call, as a daemon that stops would.
fn unary_reply(request: &OperatorRequest) -> Option<OperatorReply> {
    if let OperatorRequest::DrainHost { host, .. } = request {
        match host.as_str() {
            "dropped" => return None,
            "slow" => {
                let mut report = change();
                report.result = OperatorResult::new(ResultCode::ConfigUnconfirmed);
                return Some(OperatorReply::DrainHost(report));
            }
            "unknown" => {
                let result = OperatorResult::new(ResultCode::UnknownObject).in_field("host");
                return Some(OperatorReply::Refused(result));
            }
            _ => {}
        }
    }
    if let Some(reply) = request.change_reply() {
        return Some(reply(change()));
    }
    Some(match request {
        OperatorRequest::GetConfig => OperatorReply::GetConfig {
            document: "{\"schema\":1}".to_owned(),
            config_version: 7,
        },
        OperatorRequest::ValidateConfig { .. } => OperatorReply::ValidateConfig,
        OperatorRequest::Status => OperatorReply::Status(Box::new(status())),
        OperatorRequest::Rollouts => OperatorReply::Rollouts(vec![rollout(
            300,
            RolloutOutcome::TakenBack {
                reason: "failures on route datasheet".into(),
            },
        )]),
        _ => OperatorReply::Counters(vec![counter()]),
    })
}

fn stream_replies(request: &OperatorRequest) -> Vec<OperatorReply> {
    if let OperatorRequest::WatchZone { zone } = request {
        let report = |confirmed| ZoneReport {
            zone: zone.clone(),
            out: true,
            config_version: 8,
            confirmed,
            electorate: 3,
            missing_hosts: Vec::new(),
            running: 1,
            in_force: confirmed == 3,
            done: false,
            verdict: "not done yet because zone krk-a still runs 1 requests".into(),
        };
        return vec![
            OperatorReply::WatchZone(report(2)),
            OperatorReply::WatchZone(report(3)),
        ];
    }
    vec![
        OperatorReply::WatchRollout(rollout(20, RolloutOutcome::Running)),
        OperatorReply::WatchRollout(rollout(1000, RolloutOutcome::Done)),
    ]
}

fn counter() -> CounterEntry {
    CounterEntry {
        name: "refused.1301".into(),
        value: 4,
    }
}

fn rollout(share_permille: u16, outcome: RolloutOutcome) -> RolloutReport {
    RolloutReport {
        name: "r1".into(),
        pool: "glycol".into(),
        from: "v1".into(),
        to: "v2".into(),
        started: std::time::Duration::from_secs(1_700_000_000),
        deadline: std::time::Duration::from_secs(1_700_003_600),
        step: 1,
        share_permille,
        outcome,
    }
}

fn status() -> StatusReport {
    StatusReport {
        name: "entry-1".into(),
        region: "pl-south".into(),
        zone: "krk-a".into(),
        incarnation: 0xfeed,
        state: HostState::Live,
        config_version: 7,
        log_age: Some(std::time::Duration::from_millis(40)),
        electorate: vec![ElectorReport {
            name: "entry-2".into(),
            zone: "krk-b".into(),
            incarnation: 0xbeef,
            state: HostState::Leaving,
        }],
        pools: vec![PoolReport {
            name: "glycol".into(),
            owner: Some("entry-1".into()),
            tiers: vec![TierLoad {
                tier: 0,
                queued: 2,
                running: 5,
            }],
            endpoints: vec![EndpointReport {
                name: "engine-1".into(),
                zone: "krk-a".into(),
                version: "v1".into(),
                state: EndpointState::Cold,
                limit: 2,
                running: 1,
                prefill_tokens_per_second: 900.0,
                decode_tokens_per_second: 40.5,
            }],
        }],
        counters: vec![counter()],
    }
}

/// Runs a server on its own thread, for tests that wait for a process.
pub fn serve_in_thread<F, Fut>(serve: F) -> SocketAddr
where
    F: FnOnce(std::sync::mpsc::Sender<SocketAddr>) -> Fut + Send + 'static,
    Fut: Future<Output = ()>,
{
    let (sender, receiver) = std::sync::mpsc::channel();
    std::thread::spawn(move || {
        let runtime = compio::runtime::Runtime::new().unwrap();
        runtime.block_on(serve(sender));
    });
    receiver
        .recv_timeout(std::time::Duration::from_secs(10))
        .expect("the server starts")
}

/// What a run of a program left behind.
pub struct ProgramRun {
    pub code: i32,
    pub stdout: String,
    pub stderr: String,
}

/// Runs a program to its end with only the given environment variables.
pub fn run_program(program: &str, arguments: &[&str], environment: &[(&str, &str)]) -> ProgramRun {
    let output = std::process::Command::new(program)
        .args(arguments)
        .env_clear()
        .envs(environment.iter().copied())
        .stdin(std::process::Stdio::null())
        .output()
        .unwrap();
    ProgramRun {
        code: output.status.code().unwrap(),
        stdout: String::from_utf8(output.stdout).unwrap(),
        stderr: String::from_utf8(output.stderr).unwrap(),
    }
}
