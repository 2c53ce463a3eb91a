//! Takes one request of a caller to its final answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Limited};
use hyper::body::Incoming;

use super::admit::{admit, total_tokens};
use super::body::EdgeBody;
use super::connection_pool::EndpointConnection;
use super::dispatch::{DispatchFailure, send_job};
use super::event_relay::relay_events;
use super::headers;
use super::placement::{PlacedRun, place};
use super::reply::{EdgeFault, fault_reply};
use super::state::Edge;
use crate::catalog::{RequestKind, RouteEntry, WorkspaceEntry};
use crate::ids::{EndpointId, ServiceName, TierNumber};
use crate::scheduler::{RefusalReason, RunEnd, WorkItem};

/// Longest answer of a plain service that is held until it is whole.
const MAX_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Wait that callers are told when endpoints refused unrun.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Most dispatches of one request, those included that did not run.
const MAX_DISPATCHES: u32 = 4;
/// Margin before the deadline at which the final answer is sent.
const ANSWER_MARGIN: Duration = Duration::from_millis(20);

/// A request that was read and admitted.
pub(crate) struct ForwardJob {
    pub edge: Rc<Edge>,
    pub id: CompactString,
    pub route: Rc<RouteEntry>,
    pub service: ServiceName,
    pub workspace: Option<Rc<WorkspaceEntry>>,
    pub method: Method,
    pub uri: Uri,
    pub headers: HeaderMap,
    pub body: Bytes,
    pub usage: Option<(u32, u32)>,
    /// Output tokens that are expected; at most those of `usage`.
    pub expected_output: u32,
    pub arrived: Instant,
    pub deadline: Instant,
    /// Endpoints that were sent the request.
    pub tried: Vec<EndpointId>,
    /// Endpoints that may have run it.
    pub runs: u32,
    /// Endpoints that it was sent to, or that could not be reached.
    pub dispatches: u32,
    /// Time spent in the queue of this host.
    pub waited: Duration,
    /// From arrival to the first byte of the answer.
    pub first_byte: Option<Duration>,
    #[expect(dead_code, reason = "counts the request until its answer is complete")]
    pub in_flight: InFlightGuard,
}

/// Counts a request until its answer is complete.
pub(crate) struct InFlightGuard(Rc<Edge>);

impl InFlightGuard {
    pub fn new(edge: &Rc<Edge>) -> Self {
        edge.in_flight.set(edge.in_flight.get() + 1);
        Self(Rc::clone(edge))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

impl ForwardJob {
    /// Whether one more endpoint may run it, though one may have run it already.
    pub fn may_run_again(&self) -> bool {
        self.route.kind.is_repeatable() && self.runs < self.route.max_attempts
    }
}

/// A refusal or failure of the gateway's own.
pub(crate) struct ForwardFault {
    pub fault: EdgeFault,
    pub retry_after: Option<Duration>,
}

impl From<EdgeFault> for ForwardFault {
    fn from(fault: EdgeFault) -> Self {
        Self {
            fault,
            retry_after: None,
        }
    }
}

/// An endpoint's answer whose head has come.
pub(crate) struct EndpointAnswer {
    pub run: PlacedRun,
    pub connection: EndpointConnection,
    pub response: Response<Incoming>,
}

/// Answers one request of a caller.
pub(crate) async fn forward_request(
    edge: Rc<Edge>,
    request: Request<Incoming>,
) -> Response<EdgeBody> {
    let arrived = Instant::now();
    let id: CompactString = headers::text(request.headers(), &edge.dialect.headers.request_id)
        .unwrap_or("-")
        .into();
    let mut reply = match admit(&edge, request, &id, arrived).await {
        Ok(job) => answer_job(job).await,
        Err(fault) => refuse(&edge, &id, arrived, &fault),
    };
    if edge.state.borrow().leaving_since.is_some() {
        let headers = reply.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

fn refuse(edge: &Rc<Edge>, id: &str, arrived: Instant, fault: &ForwardFault) -> Response<EdgeBody> {
    let (code, status, word) = fault.fault.code_status_reason();
    edge.count(word);
    let retry_ms = fault.retry_after.map_or(0, |wait| wait.as_millis());
    log::info!(
        id = id, code = code, status = status.as_u16(), reason = word, retry_ms = retry_ms,
        took_ms = arrived.elapsed().as_millis(), config_version = edge.catalog_version();
        "request: refused"
    );
    fault_reply(fault.fault, fault.retry_after)
}

/// Runs an admitted request and keeps its time limit.
async fn answer_job(mut job: ForwardJob) -> Response<EdgeBody> {
    let edge = Rc::clone(&job.edge);
    {
        let state = &mut *edge.state.borrow_mut();
        state.budget.record_request(&job.service, job.arrived);
    }
    let left = job
        .deadline
        .saturating_duration_since(Instant::now())
        .saturating_sub(ANSWER_MARGIN);
    let outcome = compio::time::timeout(left, obtain_answer(&mut job)).await;
    let result = match outcome {
        Ok(Ok(answer)) if job.route.kind.is_stream() && answer.response.status().is_success() => {
            return relay_events(job, answer);
        }
        Ok(Ok(answer)) => {
            let left = job.deadline.saturating_duration_since(Instant::now());
            match compio::time::timeout(left, read_answer(&mut job, answer)).await {
                Ok(result) => result,
                Err(_) => Err(EdgeFault::Timeout.into()),
            }
        }
        Ok(Err(fault)) => Err(fault),
        Err(_) if job.runs > 0 => Err(EdgeFault::Timeout.into()),
        Err(_) => Err(EdgeFault::TimeoutUnrun.into()),
    };
    match result {
        Ok(reply) => {
            log_request_end(&job, reply.status(), "answered");
            reply
        }
        Err(fault) => {
            if job.runs == 0 {
                refund_usage(&job);
            }
            log_request_end(
                &job,
                fault.fault.code_status_reason().1,
                fault.fault.reason(),
            );
            refuse(&edge, &job.id, job.arrived, &fault)
        }
    }
}

fn refund_usage(job: &ForwardJob) {
    if let Some(workspace) = &job.workspace {
        let state = &mut *job.edge.state.borrow_mut();
        state.caps.refund(&workspace.name, total_tokens(job.usage));
    }
}

/// Writes the line that ends the story of a request.
pub(crate) fn log_request_end(job: &ForwardJob, status: StatusCode, outcome: &str) {
    let took = job.arrived.elapsed();
    job.edge.metrics.record_request(took, job.waited);
    log::info!(
        id = job.id.as_str(), workspace = job.workspace.as_ref().map_or("-", |workspace| workspace.name.as_str()),
        route = job.route.name.as_str(), status = status.as_u16(), outcome = outcome,
        endpoints = job.tried.join(",").as_str(), runs = job.runs, dispatches = job.dispatches,
        tier = job_tier(job), route_tier = job.route.tier,
        prompt = job.usage.unwrap_or_default().0, expected = job.expected_output,
        waited_ms = job.waited.as_millis(),
        first_byte_ms = job.first_byte.unwrap_or_default().as_millis(),
        took_ms = took.as_millis(), config_version = job.edge.catalog_version();
        "request: ended"
    );
}

/// Sends the request until an endpoint's answer can be passed on.
async fn obtain_answer(job: &mut ForwardJob) -> Result<EndpointAnswer, ForwardFault> {
    loop {
        let run = place_job(job).await?;
        let endpoint = Rc::clone(&run.endpoint);
        match send_job(job, run, None).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => {
                job.edge.count(failure.cause());
                log::info!(
                    id = job.id.as_str(), endpoint = endpoint.id.as_str(), cause = failure.cause(),
                    dispatches = job.dispatches, runs = job.runs;
                    "request: not answered"
                );
                if !may_retry(job, failure) {
                    return Err(exhausted_fault(job));
                }
            }
        }
    }
}

/// Asks the scheduler for an endpoint that has not had this request.
pub(crate) async fn place_job(job: &mut ForwardJob) -> Result<PlacedRun, ForwardFault> {
    let (prompt_tokens, _) = job.usage.unwrap_or_default();
    let item = WorkItem {
        ticket: 0,
        service: job.service.clone(),
        tier: job_tier(job),
        route_tier: job.route.tier,
        arrived: job.arrived,
        first_byte_deadline: job.arrived + job.route.latency_target,
        deadline: job.deadline,
        prompt_tokens,
        output_tokens: job.expected_output,
        excluded: job.tried.clone(),
    };
    let since = Instant::now();
    let placed = place(&job.edge, item, job.route.name.clone()).await;
    job.waited += since.elapsed();
    placed.map_err(|(reason, wait)| {
        if job.runs > 0 {
            return EdgeFault::EndpointBroken.into();
        }
        let fault = match reason {
            RefusalReason::WaitExpired => EdgeFault::QueueWait,
            RefusalReason::QueueFull => EdgeFault::QueueFull,
            RefusalReason::NoEndpoint => EdgeFault::NoEndpoint,
        };
        ForwardFault {
            fault,
            retry_after: Some(wait),
        }
    })
}

fn job_tier(job: &ForwardJob) -> TierNumber {
    let workspace_tier = job.workspace.as_ref().and_then(|workspace| workspace.tier);
    workspace_tier.unwrap_or(job.route.tier)
}

/// Whether the request may be sent once more after this failure.
pub(crate) fn may_retry(job: &ForwardJob, failure: DispatchFailure) -> bool {
    if job.dispatches >= MAX_DISPATCHES || Instant::now() >= job.deadline {
        return false;
    }
    let allowed = match failure {
        DispatchFailure::Unreachable => return true,
        DispatchFailure::NotRun => true,
        DispatchFailure::MaybeRun | DispatchFailure::Silent | DispatchFailure::Failed => {
            job.may_run_again()
        }
    };
    allowed && take_retry(job)
}

/// Takes one repeat from the budget that all hosts share.
fn take_retry(job: &ForwardJob) -> bool {
    let granted = {
        let state = &mut *job.edge.state.borrow_mut();
        state.budget.try_retry(&job.service, Instant::now())
    };
    if !granted {
        job.edge.count("retry_budget_empty");
    }
    granted
}

fn exhausted_fault(job: &ForwardJob) -> ForwardFault {
    if job.runs > 0 {
        return EdgeFault::EndpointBroken.into();
    }
    ForwardFault {
        fault: EdgeFault::EndpointsRefused,
        retry_after: Some(REFUSED_RETRY_AFTER),
    }
}

/// Reads a whole answer, so that a cut one is noticed before any of it is passed on.
async fn read_answer(
    job: &mut ForwardJob,
    mut answer: EndpointAnswer,
) -> Result<Response<EdgeBody>, ForwardFault> {
    loop {
        answer.run.record_first_byte();
        job.first_byte = Some(job.arrived.elapsed());
        let (parts, body) = answer.response.into_parts();
        let failed = parts.status.is_server_error();
        answer.connection.allow_body(MAX_ANSWER_BYTES);
        let collecting = Limited::new(body, MAX_ANSWER_BYTES).collect();
        let collected = compio::time::timeout(body_timeout(job), collecting).await;
        let Ok(Ok(collected)) = collected else {
            answer.run.end(RunEnd::Broken);
            if !may_retry(job, DispatchFailure::MaybeRun) {
                return Err(EdgeFault::EndpointBroken.into());
            }
            job.edge.count(DispatchFailure::MaybeRun.cause());
            answer = obtain_answer(job).await?;
            continue;
        };
        let end = if failed {
            RunEnd::Failed
        } else {
            RunEnd::Completed
        };
        let endpoint = Rc::clone(&answer.run.endpoint);
        answer.run.end(end);
        let closing = headers::text(&parts.headers, &header::CONNECTION)
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if !closing {
            job.edge.pool.release(&endpoint, answer.connection);
        }
        let mut reply = Response::new(reply_body(job, collected.to_bytes()));
        *reply.status_mut() = parts.status;
        *reply.headers_mut() = headers::end_to_end(&parts.headers);
        return Ok(reply);
    }
}

/// How long a body may take. Where the request may be repeated, half of the time that is left stays
/// for another endpoint.
fn body_timeout(job: &ForwardJob) -> Duration {
    let left = job.deadline.saturating_duration_since(Instant::now());
    if job.may_run_again() { left / 2 } else { left }
}

fn reply_body(job: &ForwardJob, bytes: Bytes) -> EdgeBody {
    if job.method == Method::HEAD || bytes.is_empty() {
        return EdgeBody::empty();
    }
    EdgeBody::Whole(Some(bytes))
}

/// Whether a stream of this kind may go on at another endpoint.
pub(crate) fn is_resumable(job: &ForwardJob) -> bool {
    job.route.kind == RequestKind::ResumableStream
}
