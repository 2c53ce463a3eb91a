//! Forwards a caller's request to endpoints until one of them returns a final response.

use std::pin::pin;
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use caller_limits::{
    BodyUse, CallerConnection, HeldBytes, MemoryHold, ReadFailure, read_whole_body,
};
use compact_str::CompactString;
use futures_util::future::{Either, select};
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use hyper::body::Incoming;

use super::admit::{admit_request, total_tokens};
use super::body::EdgeBody;
use super::connection_pool::EndpointConnection;
use super::dispatch::{DispatchFailure, send_job};
use super::event_relay::relay_events;
use super::failover::{AnswerWait, RetryPermit, wait_or_fail_over};
use super::headers;
use super::in_flight::InFlightGuard;
use super::peer_relay::{
    RelayProgress, RequestOrigin, lacks_place, place_at_owner, place_at_peer, take_trial,
};
use super::placement::{PlacedRun, place_request};
use super::reply::{EdgeFault, fault_reply};
use super::state::Edge;
use crate::catalog::{RequestKind, RouteEntry, WorkspaceEntry};
use crate::ids::{ContentHash, EndpointId, ServiceName, TierNumber, hash_name};
use crate::scheduler::{RefusalReason, RunEnd, WorkItem};

/// Maximum size of a response that is buffered until it is complete.
const MAX_RESPONSE_BYTES: usize = 4 * 1024 * 1024;
/// Retry delay sent to callers of a stopping host. They find another host at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Retry delay sent to callers when endpoints rejected the request without running it.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Maximum number of dispatches of one request, including those that did not run.
const MAX_DISPATCHES: u32 = 4;
/// Maximum wait of an isolated host's request for a place at an endpoint.
const MAX_TRIAL_WAIT: Duration = Duration::from_millis(100);
/// Margin before the deadline that is reserved for sending the final response.
const RESPONSE_MARGIN: Duration = Duration::from_millis(20);

/// An admitted request and the progress of its dispatches.
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
    /// Keeps the memory of the body in the account.
    pub _body_memory: MemoryHold,
    /// Prompt tokens and maximum output tokens, as announced by the caller.
    pub usage: Option<(u32, u32)>,
    /// Expected number of output tokens, no more than those of `usage`.
    pub expected_output: u32,
    /// Contents that other requests may share, such as parts of the prompt.
    pub contents: Rc<[ContentHash]>,
    pub arrived: Instant,
    pub deadline: Instant,
    /// Endpoints to which the request was dispatched.
    pub tried: Vec<EndpointId>,
    /// Number of endpoints that may have run the request.
    pub runs: u32,
    /// Number of dispatches, including those to unreachable endpoints.
    pub dispatches: u32,
    /// Total time spent in the queue of this host.
    pub waited: Duration,
    /// Time from the arrival to the first byte of the response.
    pub first_byte: Option<Duration>,
    /// Whether the request was counted as begun for the usage reports.
    pub is_counted: bool,
    /// Place at another endpoint that was granted because the current one is silent.
    pub next_run: Option<PlacedRun>,
    /// Retry that was taken in advance, for leaving an endpoint on trial.
    pub trial_retry: Option<RetryPermit>,
    /// Time of the last dispatch.
    pub dispatched_at: Option<Instant>,
    /// Whether that place was granted because the current endpoint is slow, which is no fault of it.
    pub is_hedged: bool,
    pub relay: RelayProgress,
    /// Whether the request was sent to an endpoint or another host.
    pub is_sent: bool,
    /// Counts the request until its response is complete.
    pub in_flight: InFlightGuard,
}

impl ForwardJob {
    /// Counts the request for the usage reports, once, as begun at `begun`.
    pub fn record_begun(&mut self, begun: Instant) {
        if std::mem::replace(&mut self.is_counted, true) {
            return;
        }
        if let Some(workspace) = &self.workspace {
            self.edge.record_usage_begun(&workspace.name, begun);
        }
    }

    /// Counts a request that an endpoint has accepted and failed. A stream begins with its first
    /// event, which has not arrived.
    pub fn record_presumed_begun(&mut self, begun: Instant) {
        if !self.route.kind.is_stream() {
            self.record_begun(begun);
        }
    }

    /// Returns whether another endpoint may run the request although one may have run it already. A
    /// request that another host has passed on runs here once at most: only that host knows all runs.
    pub fn may_run_again(&self) -> bool {
        let origin = self.relay.origin;
        let is_decided_here = !origin.is_host() || self.runs == origin.runs();
        is_decided_here && self.route.kind.is_repeatable() && self.runs < self.route.max_attempts
    }

    /// Returns whether another endpoint may be requested while the current one is silent.
    pub fn may_fail_over(&self) -> bool {
        self.may_run_again() && self.dispatches < MAX_DISPATCHES
    }
}

/// A rejection or failure that the gateway itself reports to the caller.
pub(crate) struct ForwardError {
    pub fault: EdgeFault,
    pub retry_after: Option<Duration>,
}

impl ForwardError {
    /// Returns the rejection of a request that did not run because this host is stopping.
    pub fn stopping() -> Self {
        Self {
            fault: EdgeFault::Stopping,
            retry_after: Some(STOPPING_RETRY_AFTER),
        }
    }
}

impl ForwardError {
    /// Returns the error as a host that has passed the request on needs it.
    fn for_origin(self, origin: RequestOrigin, is_sent: bool) -> Self {
        if origin.is_host() && self.fault.is_local(is_sent) {
            return EdgeFault::NotRelayed.into();
        }
        self
    }
}

impl From<EdgeFault> for ForwardError {
    fn from(fault: EdgeFault) -> Self {
        Self {
            fault,
            retry_after: None,
        }
    }
}

/// An exchange with an endpoint whose response head has been received.
pub(crate) struct EndpointExchange {
    pub run: PlacedRun,
    pub connection: EndpointConnection,
    pub response: Response<Incoming>,
}

/// Answer of an endpoint to an admitted request.
enum EndpointReply {
    Complete(Response<EdgeBody>),
    /// A stream whose events are relayed as they arrive.
    Stream(Box<EndpointExchange>),
}

/// Admits and forwards a caller's request and returns the response to it.
pub(crate) async fn forward_request(
    edge: Rc<Edge>,
    request: Request<Incoming>,
    connection: CallerConnection,
    origin: RequestOrigin,
) -> Response<EdgeBody> {
    let arrived = Instant::now();
    let id: CompactString = headers::text(request.headers(), &edge.dialect.headers.request_id)
        .unwrap_or("-")
        .into();
    let mut reply = match admit_request(&edge, request, &id, arrived, origin).await {
        Ok(job) => {
            connection.begin_answer();
            run_job(job, connection).await
        }
        Err(error) => refuse(&edge, &id, arrived, &error.for_origin(origin, false)),
    };
    if edge.state.borrow().leaving_since.is_some() {
        let headers = reply.headers_mut();
        headers.insert(header::CONNECTION, HeaderValue::from_static("close"));
    }
    reply
}

/// Counts and logs a rejected or failed request and builds its reply.
fn refuse(edge: &Rc<Edge>, id: &str, arrived: Instant, error: &ForwardError) -> Response<EdgeBody> {
    let (code, status, reason) = error.fault.code_status_reason();
    edge.count(reason);
    let retry_ms = error.retry_after.map_or(0, |wait| wait.as_millis());
    log::info!(
        id = id, code = code, status = status.as_u16(), reason = reason, retry_ms = retry_ms,
        took_ms = arrived.elapsed().as_millis(), config_version = edge.catalog_version();
        "request: refused"
    );
    fault_reply(error.fault, error.retry_after)
}

/// Runs an admitted request within its time limit and the grace period of a shutdown.
async fn run_job(mut job: ForwardJob, connection: CallerConnection) -> Response<EdgeBody> {
    let edge = Rc::clone(&job.edge);
    {
        let state = &mut *edge.state.borrow_mut();
        if !job.relay.origin.is_host() {
            state.budget.record_request(&job.service, job.arrived);
        }
        state.hedging.record_request();
    }
    // The future is large, and those of all callers' connections are moved around.
    let answering = Box::pin(answer_within_deadline(&mut job));
    let outcome = edge.stop_gate.run_until_open(answering).await;
    let error = match outcome {
        Some(Ok(EndpointReply::Stream(exchange))) => {
            return relay_events(job, *exchange, connection);
        }
        Some(Ok(EndpointReply::Complete(reply))) => {
            if job.runs == 0 {
                refund_usage(&job);
            }
            log_request_end(&job, reply.status(), "answered");
            return reply;
        }
        Some(Err(error)) => error,
        None if job.runs > 0 => EdgeFault::GraceEnded.into(),
        None => ForwardError::stopping(),
    };
    let error = error.for_origin(job.relay.origin, job.is_sent);
    if job.runs == 0 {
        refund_usage(&job);
    }
    log_request_end(
        &job,
        error.fault.code_status_reason().1,
        error.fault.reason(),
    );
    refuse(&edge, &job.id, job.arrived, &error)
}

/// Dispatches the request and reads the answer, unless it is a stream, within the time limit.
async fn answer_within_deadline(job: &mut ForwardJob) -> Result<EndpointReply, ForwardError> {
    let remaining = job
        .deadline
        .saturating_duration_since(Instant::now())
        .saturating_sub(RESPONSE_MARGIN);
    let exchange = match compio::time::timeout(remaining, open_exchange(job)).await {
        Ok(opened) => opened?,
        Err(_) if job.runs > 0 => return Err(EdgeFault::Timeout.into()),
        Err(_) => return Err(EdgeFault::TimeoutUnrun.into()),
    };
    if job.route.kind.is_stream() && exchange.response.status().is_success() {
        return Ok(EndpointReply::Stream(Box::new(exchange)));
    }
    let remaining = job.deadline.saturating_duration_since(Instant::now());
    match compio::time::timeout(remaining, read_response(job, exchange)).await {
        Ok(read) => read.map(EndpointReply::Complete),
        Err(_) => Err(EdgeFault::Timeout.into()),
    }
}

/// Refunds the usage charged to the workspace of a request that did not run.
fn refund_usage(job: &ForwardJob) {
    if let Some(workspace) = &job.workspace
        && !job.relay.origin.is_host()
    {
        let state = &mut *job.edge.state.borrow_mut();
        state.caps.refund(&workspace.name, total_tokens(job.usage));
    }
}

/// Records the duration of a finished request and logs its outcome.
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
        limit_ms = job.deadline.saturating_duration_since(job.arrived).as_millis(),
        first_byte_ms = job.first_byte.unwrap_or_default().as_millis(),
        took_ms = took.as_millis(), config_version = job.edge.catalog_version();
        "request: ended"
    );
}

/// Dispatches the request until an endpoint returns a response that can be passed on.
async fn open_exchange(job: &mut ForwardJob) -> Result<EndpointExchange, ForwardError> {
    loop {
        let run = place_job(job).await?;
        let endpoint = Rc::clone(&run.endpoint);
        match send_job(job, run, None).await {
            Ok(exchange) => {
                job.trial_retry = None;
                return Ok(exchange);
            }
            Err(failure) => {
                job.edge.count(failure.cause());
                log::info!(
                    id = job.id.as_str(), endpoint = endpoint.id.as_str(), cause = failure.cause(),
                    dispatches = job.dispatches, runs = job.runs;
                    "request: not answered"
                );
                if let Err(retry_after) = job.edge.check_quarantine(&job.id, &job.contents) {
                    return Err(quarantine_error(job, retry_after));
                }
                if !may_retry(job, failure) {
                    return Err(exhausted_error(job));
                }
            }
        }
    }
}

/// Requests a place at an endpoint that has not received this request yet, or at another host while
/// this one reaches no endpoint.
pub(crate) async fn place_job(job: &mut ForwardJob) -> Result<PlacedRun, ForwardError> {
    if let Some(run) = job.next_run.take() {
        return Ok(run);
    }
    if let Err(retry_after) = job.edge.check_quarantine(&job.id, &job.contents) {
        return Err(quarantine_error(job, retry_after));
    }
    if job.dispatches > 0 || !job.may_run_again() {
        // Another failure could be the last one that the request may have.
        job.edge.wait_for_probe().await;
    }
    if job.relay.origin.is_host() && job.edge.is_isolated() {
        return Err(if job.is_sent {
            EdgeFault::EndpointBroken.into()
        } else {
            EdgeFault::NotRelayed.into()
        });
    }
    let is_unrun = job.runs == job.relay.origin.runs();
    if job.relay.origin.is_host() && is_unrun && lacks_place(job) {
        return Err(EdgeFault::NotRelayed.into());
    }
    if let Some(retry) = take_trial(job) {
        let placing = place_at_endpoint(job);
        if let Ok(Ok(run)) = compio::time::timeout(MAX_TRIAL_WAIT, placing).await {
            job.trial_retry = Some(retry);
            return Ok(run);
        }
    }
    if let Some(run) = place_at_peer(job) {
        return Ok(run);
    }
    if let Some(run) = place_at_owner(job) {
        return Ok(run);
    }
    if job.edge.is_isolated() {
        return place_at_endpoint(job).await;
    }
    let edge = Rc::clone(&job.edge);
    match select(
        pin!(place_at_endpoint(job)),
        pin!(edge.wait_until_isolated()),
    )
    .await
    {
        Either::Left((placement, _)) => return placement,
        Either::Right(_) => {}
    }
    Box::pin(place_job(job)).await
}

/// Requests an endpoint from the scheduler.
async fn place_at_endpoint(job: &mut ForwardJob) -> Result<PlacedRun, ForwardError> {
    let (prompt_tokens, _) = job.usage.unwrap_or_default();
    let item = WorkItem {
        ticket: 0,
        service: job.service.clone(),
        workspace: job
            .workspace
            .as_ref()
            .map(|workspace| hash_name(&workspace.name)),
        tier: job_tier(job),
        route_tier: job.route.tier,
        arrived: job.arrived,
        first_byte_deadline: job.arrived + job.route.latency_target,
        deadline: job.deadline,
        prompt_tokens,
        output_tokens: job.expected_output,
        excluded: job.tried.clone(),
    };
    let queued_at = Instant::now();
    let contents = Rc::clone(&job.contents);
    let placement = place_request(&job.edge, item, job.route.name.clone(), contents).await;
    job.waited += queued_at.elapsed();
    placement.map_err(|(reason, wait)| {
        if job.runs > 0 {
            return EdgeFault::EndpointBroken.into();
        }
        job.edge.record_unserved(&job.service);
        let fault = match reason {
            RefusalReason::WaitExpired => EdgeFault::QueueWait,
            RefusalReason::OverShare => EdgeFault::OverShare,
            RefusalReason::QueueFull => EdgeFault::QueueFull,
            RefusalReason::NoEndpoint => EdgeFault::NoEndpoint,
            RefusalReason::Restricted => EdgeFault::EndpointsRestricted,
        };
        ForwardError {
            fault,
            retry_after: Some(wait),
        }
    })
}

/// Returns the tier of the workspace, or that of the route if the workspace has none.
fn job_tier(job: &ForwardJob) -> TierNumber {
    let workspace_tier = job.workspace.as_ref().and_then(|workspace| workspace.tier);
    workspace_tier.unwrap_or(job.route.tier)
}

/// Returns whether the request may be dispatched again after this failure.
pub(crate) fn may_retry(job: &mut ForwardJob, failure: DispatchFailure) -> bool {
    // The retry was taken from the budget together with the place.
    if job.next_run.is_some() {
        return true;
    }
    if failure == DispatchFailure::NotRelayed {
        // Nothing was sent to an endpoint.
        return Instant::now() < job.deadline;
    }
    if job.dispatches >= MAX_DISPATCHES || Instant::now() >= job.deadline {
        return false;
    }
    if job.edge.check_quarantine(&job.id, &job.contents).is_err() {
        return false;
    }
    let allowed = match failure {
        DispatchFailure::Quarantined => return false,
        DispatchFailure::Unreachable | DispatchFailure::NotRelayed => return true,
        DispatchFailure::NotRun => true,
        DispatchFailure::MayHaveRun | DispatchFailure::Silent | DispatchFailure::Failed => {
            job.may_run_again()
        }
    };
    allowed && take_retry(job)
}

/// Takes one retry from the budget that all hosts share.
fn take_retry(job: &mut ForwardJob) -> bool {
    if let Some(retry) = job.trial_retry.take() {
        retry.spend();
        return true;
    }
    let granted = {
        let state = &mut *job.edge.state.borrow_mut();
        state.budget.try_retry(&job.service, Instant::now())
    };
    if !granted {
        job.edge.count("retry_budget_empty");
    }
    granted
}

/// Returns the error of a request that holds a blocked content.
fn quarantine_error(job: &ForwardJob, retry_after: Duration) -> ForwardError {
    if job.runs > 0 {
        return EdgeFault::QuarantinedRun.into();
    }
    ForwardError {
        fault: EdgeFault::Quarantined,
        retry_after: Some(retry_after),
    }
}

/// Returns the error of a request that may not be dispatched again.
fn exhausted_error(job: &ForwardJob) -> ForwardError {
    if job.runs > 0 {
        return EdgeFault::EndpointBroken.into();
    }
    let now = Instant::now();
    let scheduler = &mut job.edge.state.borrow_mut().scheduler;
    if let Some(pause_end) = scheduler.pause_end(&job.service, now) {
        return ForwardError {
            fault: EdgeFault::EndpointsRestricted,
            retry_after: Some(pause_end.saturating_duration_since(now)),
        };
    }
    ForwardError {
        fault: EdgeFault::EndpointsRefused,
        retry_after: Some(REFUSED_RETRY_AFTER),
    }
}

/// Reads the complete response, so that a truncated one is detected before any part of it is passed
/// on.
async fn read_response(
    job: &mut ForwardJob,
    mut exchange: EndpointExchange,
) -> Result<Response<EdgeBody>, ForwardError> {
    loop {
        exchange.run.record_first_byte();
        job.first_byte = Some(job.arrived.elapsed());
        let (parts, body) = exchange.response.into_parts();
        let failed = parts.status.is_server_error();
        exchange.run.has_succeeded = parts.status.is_success();
        exchange.connection.allow_body(MAX_RESPONSE_BYTES);
        let edge = Rc::clone(&job.edge);
        let reading = read_whole_body(&edge.memory, body, BodyUse::Response, MAX_RESPONSE_BYTES);
        let collected = match wait_or_fail_over(job, body_limit(job), reading).await {
            AnswerWait::Ended(Ok(collected)) => Ok(collected),
            AnswerWait::Ended(Err(ReadFailure::Reclaimed)) => {
                job.edge.count("memory_reclaimed");
                Err((RunEnd::Stalled, DispatchFailure::MayHaveRun))
            }
            AnswerWait::Ended(Err(_)) => Err((RunEnd::Disconnected, DispatchFailure::MayHaveRun)),
            AnswerWait::Replaced => Err((job.replaced_end(), DispatchFailure::Silent)),
        };
        let (bytes, memory) = match collected {
            Ok(collected) => collected,
            Err((end, failure)) => {
                exchange.run.end(end);
                drop(exchange.connection);
                if !may_retry(job, failure) {
                    return Err(EdgeFault::EndpointBroken.into());
                }
                job.edge.count(failure.cause());
                exchange = open_exchange(job).await?;
                continue;
            }
        };
        let end = if failed {
            RunEnd::Failed
        } else {
            RunEnd::Completed
        };
        let endpoint = Rc::clone(&exchange.run.endpoint);
        exchange.run.end(end);
        let is_closing = headers::text(&parts.headers, &header::CONNECTION)
            .is_some_and(|value| value.eq_ignore_ascii_case("close"));
        if !is_closing {
            job.edge.pool.release(&endpoint, exchange.connection);
        }
        let mut reply = Response::new(reply_body(job, bytes, memory));
        *reply.status_mut() = parts.status;
        *reply.headers_mut() = headers::end_to_end(&parts.headers);
        return Ok(reply);
    }
}

/// Returns the time for reading a body after which another endpoint is requested, which leaves half
/// of the remaining time to it, or `None` if the request may not run again.
fn body_limit(job: &ForwardJob) -> Option<Duration> {
    let remaining = job.deadline.saturating_duration_since(Instant::now());
    job.may_fail_over().then_some(remaining / 2)
}

/// Returns the body of the reply, which is empty for HEAD requests.
fn reply_body(job: &ForwardJob, bytes: Bytes, memory: MemoryHold) -> EdgeBody {
    if job.method == Method::HEAD || bytes.is_empty() {
        return EdgeBody::empty();
    }
    EdgeBody::Complete(Some(HeldBytes::new(bytes, memory)))
}

/// Returns whether the request's stream may be resumed at another endpoint.
pub(crate) fn is_resumable(job: &ForwardJob) -> bool {
    job.route.kind == RequestKind::ResumableStream
}
