//! Takes one request of a caller to its final answer.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use compact_str::CompactString;
use http::{HeaderMap, HeaderValue, Method, Request, Response, StatusCode, Uri, header};
use http_body_util::{BodyExt, Full, Limited};
use http_util::{BodyError, SendFailure, head_bytes, read_body};
use hyper::body::Incoming;

use super::body::EdgeBody;
use super::connection_pool::EndpointConnection;
use super::headers;
use super::placement::{PlacedRun, place};
use super::relay::relay_events;
use super::reply::{EdgeFault, fault_reply};
use super::state::Edge;
use crate::catalog::{EndpointEntry, RequestKind, RouteEntry, WorkspaceEntry};
use crate::ids::{EndpointId, ServiceName, TierNumber};
use crate::limits::UsageVerdict;
use crate::scheduler::{RefusalReason, RunEnd, WorkItem};

/// Longest answer of a plain service that is held until it is whole.
const MOST_ANSWER_BYTES: usize = 4 * 1024 * 1024;
/// Time after the request to stop for which new requests are still taken: what callers need to
/// learn of another host. Later ones could not be finished within the grace time.
const TAKEN_WHILE_LEAVING: Duration = Duration::from_millis(2_500);
/// A refused caller of a stopping host finds another one at once.
const STOPPING_RETRY_AFTER: Duration = Duration::from_millis(100);
/// Wait that callers are told before the first configuration.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Wait that callers are told when endpoints refused unrun.
const REFUSED_RETRY_AFTER: Duration = Duration::from_millis(500);
/// Most dispatches of one request, those included that did not run.
const MOST_DISPATCHES: u32 = 4;
/// Part of the time to a first byte after which a silent endpoint is left, where the request may
/// be repeated: the rest is enough for another one.
const SILENCE_PART: f64 = 0.35;
/// Shortest such time: long prompts take a second to read.
const LEAST_SILENCE: Duration = Duration::from_millis(500);
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
    pub dispatches: u32,
    /// Time spent in the queue of this host.
    pub waited: Duration,
    /// From arrival to the first byte of the answer.
    pub first_byte: Option<Duration>,
    _in_flight: InFlightGuard,
}

/// Counts a request until its answer is complete.
struct InFlightGuard(Rc<Edge>);

impl InFlightGuard {
    fn new(edge: &Rc<Edge>) -> Self {
        edge.in_flight.set(edge.in_flight.get() + 1);
        Self(Rc::clone(edge))
    }
}

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.in_flight.set(self.0.in_flight.get() - 1);
    }
}

/// A refusal or failure of the gateway's own.
pub(crate) struct ForwardFault {
    fault: EdgeFault,
    retry_after: Option<Duration>,
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
    let (code, status, word) = fault.fault.row();
    edge.count(word);
    let retry_ms = fault.retry_after.map_or(0, |wait| wait.as_millis());
    log::info!(
        id = id, code = code, status = status.as_u16(), reason = word, retry_ms = retry_ms,
        took_ms = arrived.elapsed().as_millis(), config_version = edge.catalog_version();
        "request: refused"
    );
    fault_reply(fault.fault, fault.retry_after)
}

/// Reads a request and checks it against the catalog and the caps.
async fn admit(
    edge: &Rc<Edge>,
    request: Request<Incoming>,
    id: &CompactString,
    arrived: Instant,
) -> Result<ForwardJob, ForwardFault> {
    let (routing, limits, version, leaving) = {
        let state = edge.state.borrow();
        (
            state.catalog.routing(),
            state.catalog.limits(),
            state.catalog.version(),
            state.leaving_since,
        )
    };
    if version == 0 {
        return Err(ForwardFault {
            fault: EdgeFault::NotConfigured,
            retry_after: Some(UNCONFIGURED_RETRY_AFTER),
        });
    }
    if head_bytes(&request) > limits.max_header_bytes {
        return Err(EdgeFault::HeadTooLarge.into());
    }
    let in_flight = InFlightGuard::new(edge);
    let (parts, body) = request.into_parts();
    let names = &edge.dialect.headers;
    let host = headers::text(&parts.headers, &header::HOST)
        .or_else(|| parts.uri.host())
        .unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let route = routing
        .find_route(host, parts.uri.path())
        .ok_or(EdgeFault::NoRoute)?;
    let workspace = find_workspace(&routing, route, headers::text(&parts.headers, &names.key))?;
    let body = read_body(body, limits.max_body_bytes, limits.idle_timeout)
        .await
        .map_err(|error| match error {
            BodyError::TooLarge { .. } => EdgeFault::BodyTooLarge,
            BodyError::TooSlow { .. } => EdgeFault::BodyTooSlow,
            BodyError::Truncated => EdgeFault::BodyCut,
        })?;
    if leaving.is_some_and(|since| since.elapsed() > TAKEN_WHILE_LEAVING) {
        return Err(ForwardFault {
            fault: EdgeFault::Stopping,
            retry_after: Some(STOPPING_RETRY_AFTER),
        });
    }
    let usage = headers::text(&parts.headers, &names.token_usage)
        .and_then(|text| (edge.dialect.parse_usage)(text));
    let hint = headers::text(&parts.headers, &names.length_hint).and_then(|text| text.parse().ok());
    let expected_output = expected_output(usage, hint);
    if let Some(workspace) = &workspace {
        take_usage(edge, id, workspace, usage)?;
    }
    let service = route
        .pick_target(edge.draw())
        .cloned()
        .ok_or(EdgeFault::NoRoute)?;
    let patience = headers::text(&parts.headers, &names.deadline_ms)
        .and_then(|text| text.parse().ok())
        .map_or(route.timeout, Duration::from_millis)
        .min(route.timeout);
    let workspace_name = workspace.as_ref().map(|workspace| workspace.name.as_str());
    Ok(ForwardJob {
        headers: headers::for_endpoint(&parts.headers, names, workspace_name),
        edge: Rc::clone(edge),
        id: id.clone(),
        route: Rc::clone(route),
        service,
        workspace,
        method: parts.method,
        uri: parts.uri,
        body,
        usage,
        expected_output,
        arrived,
        deadline: arrived + patience,
        tried: Vec::new(),
        runs: 0,
        dispatches: 0,
        waited: Duration::ZERO,
        first_byte: None,
        _in_flight: in_flight,
    })
}

fn find_workspace(
    routing: &crate::catalog::RoutingTable,
    route: &RouteEntry,
    key: Option<&str>,
) -> Result<Option<Rc<WorkspaceEntry>>, EdgeFault> {
    if !routing.has_workspaces() {
        return Ok(None);
    }
    let workspace = key.and_then(|key| routing.workspace(key)).cloned();
    if workspace.is_none() && !route.public {
        return Err(EdgeFault::UnknownKey);
    }
    Ok(workspace)
}

fn take_usage(
    edge: &Rc<Edge>,
    id: &str,
    workspace: &WorkspaceEntry,
    usage: Option<(u32, u32)>,
) -> Result<(), ForwardFault> {
    let state = &mut *edge.state.borrow_mut();
    let idle = !state.scheduler.has_waiting();
    let verdict = state
        .caps
        .admit(&workspace.name, total_tokens(usage), idle, Instant::now());
    match verdict {
        UsageVerdict::Admitted => Ok(()),
        UsageVerdict::Refused { retry_after, level } => {
            log::info!(
                id = id, workspace = workspace.name.as_str(), tokens = total_tokens(usage).unwrap_or(0),
                level = level, idle = idle;
                "usage: over the cap"
            );
            Err(ForwardFault {
                fault: EdgeFault::OverCap,
                retry_after: Some(retry_after),
            })
        }
    }
}

/// Part of the longest answer that is expected of callers who give no estimate: answers are a
/// tenth of the announced limit on average.
const TYPICAL_ANSWER_PART: u32 = 10;

fn expected_output(usage: Option<(u32, u32)>, hint: Option<u32>) -> u32 {
    let most = usage.map_or(0, |(_, output)| output);
    hint.unwrap_or(most / TYPICAL_ANSWER_PART).min(most)
}

fn total_tokens(usage: Option<(u32, u32)>) -> Option<u32> {
    usage.map(|(prompt, output)| prompt.saturating_add(output))
}

/// Runs an admitted request and keeps its time limit.
async fn answer_job(mut job: ForwardJob) -> Response<EdgeBody> {
    let edge = Rc::clone(&job.edge);
    {
        let state = &mut *edge.state.borrow_mut();
        state.budget.note_request(&job.service, job.arrived);
    }
    let left = job
        .deadline
        .saturating_duration_since(Instant::now())
        .saturating_sub(ANSWER_MARGIN);
    let outcome = compio::time::timeout(left, find_answer(&mut job)).await;
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
            log_end(&job, reply.status(), "answered");
            reply
        }
        Err(fault) => {
            if job.runs == 0 {
                give_usage_back(&job);
            }
            log_end(&job, fault.fault.row().1, fault.fault.word());
            refuse(&edge, &job.id, job.arrived, &fault)
        }
    }
}

fn give_usage_back(job: &ForwardJob) {
    if let Some(workspace) = &job.workspace {
        let state = &mut *job.edge.state.borrow_mut();
        state
            .caps
            .give_back(&workspace.name, total_tokens(job.usage));
    }
}

/// Writes the line that ends the story of a request.
pub(crate) fn log_end(job: &ForwardJob, status: StatusCode, outcome: &str) {
    let took = job.arrived.elapsed();
    job.edge.metrics.borrow_mut().record("request", took);
    log::info!(
        id = job.id.as_str(), route = job.route.name.as_str(), status = status.as_u16(), outcome = outcome,
        endpoints = job.tried.join(",").as_str(), runs = job.runs, dispatches = job.dispatches,
        tier = job_tier(job), route_tier = job.route.tier, prompt = job.usage.unwrap_or_default().0, expected = job.expected_output, waited_ms = job.waited.as_millis(),
        first_byte_ms = job.first_byte.unwrap_or_default().as_millis(), took_ms = took.as_millis(), config_version = job.edge.catalog_version();
        "request: ended"
    );
}

/// Sends the request until an endpoint's answer can be passed on.
async fn find_answer(job: &mut ForwardJob) -> Result<EndpointAnswer, ForwardFault> {
    loop {
        let run = place_job(job).await?;
        let endpoint = Rc::clone(&run.endpoint);
        match send_job(job, run, None).await {
            Ok(answer) => return Ok(answer),
            Err(failure) => {
                job.edge.count(failure.word());
                log::info!(
                    id = job.id.as_str(), endpoint = endpoint.id.as_str(), cause = failure.word(),
                    dispatches = job.dispatches, runs = job.runs;
                    "request: not answered"
                );
                if !may_go_on(job, failure) {
                    return Err(final_fault(job));
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
        on_time_until: job.arrived + job.route.latency_target,
        deadline: job.deadline,
        prompt_tokens,
        output_tokens: job.expected_output,
        excluded: job.tried.clone(),
    };
    let since = Instant::now();
    let placed = place(&job.edge, item).await;
    job.waited += since.elapsed();
    placed.map_err(|(reason, wait)| {
        if job.runs > 0 {
            return EdgeFault::EndpointBroken.into();
        }
        let fault = match reason {
            RefusalReason::Waited => EdgeFault::QueueWait,
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

/// What one dispatch came to when it gave no answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum DispatchFailure {
    /// Not run, and the endpoint was not reached.
    Unreachable,
    /// Not run: the endpoint said so.
    NotRun,
    /// May have run.
    MaybeRun,
    /// May have run; the endpoint was silent for too long.
    Silent,
    /// The endpoint answered with a failure, and another one may be asked.
    Failed,
}

impl DispatchFailure {
    pub fn word(self) -> &'static str {
        match self {
            Self::Unreachable => "retry_unreachable",
            Self::NotRun => "retry_not_run",
            Self::MaybeRun => "retry_broken",
            Self::Silent => "retry_silent",
            Self::Failed => "retry_failed",
        }
    }
}

/// Whether the request may be sent once more after this failure.
pub(crate) fn may_go_on(job: &ForwardJob, failure: DispatchFailure) -> bool {
    if job.dispatches >= MOST_DISPATCHES || Instant::now() >= job.deadline {
        return false;
    }
    let allowed = match failure {
        DispatchFailure::Unreachable => return true,
        DispatchFailure::NotRun => true,
        DispatchFailure::MaybeRun | DispatchFailure::Silent | DispatchFailure::Failed => {
            job.route.kind.is_repeatable() && job.runs < job.route.attempts
        }
    };
    allowed && take_repeat(job)
}

fn take_repeat(job: &ForwardJob) -> bool {
    let state = &mut *job.edge.state.borrow_mut();
    let granted = state.budget.try_repeat(&job.service, Instant::now());
    drop_count(&job.edge, granted);
    granted
}

fn drop_count(edge: &Rc<Edge>, granted: bool) {
    if !granted {
        edge.count("retry_budget_empty");
    }
}

fn final_fault(job: &ForwardJob) -> ForwardFault {
    if job.runs > 0 {
        return EdgeFault::EndpointBroken.into();
    }
    ForwardFault {
        fault: EdgeFault::EndpointsRefused,
        retry_after: Some(REFUSED_RETRY_AFTER),
    }
}

/// Sends the request to the placed endpoint and waits for the head of its answer.
///
/// `resume_after`: id of the last event that the caller has.
pub(crate) async fn send_job(
    job: &mut ForwardJob,
    run: PlacedRun,
    resume_after: Option<u64>,
) -> Result<EndpointAnswer, DispatchFailure> {
    let endpoint = Rc::clone(&run.endpoint);
    job.tried.push(endpoint.id.clone());
    job.dispatches += 1;
    let Ok(mut connection) = job.edge.pool.take(&endpoint).await else {
        run.end(RunEnd::Unreachable);
        return Err(DispatchFailure::Unreachable);
    };
    let request = endpoint_request(job, &endpoint, resume_after);
    job.runs += 1;
    let sending = connection.send(request);
    let sent = match silence_limit(job) {
        Some(limit) => {
            let Ok(sent) = compio::time::timeout(limit, sending).await else {
                run.end(RunEnd::Stalled);
                return Err(DispatchFailure::Silent);
            };
            sent
        }
        None => sending.await,
    };
    let response = match sent {
        Ok(response) => response,
        Err(SendFailure::NotSent) => {
            job.runs -= 1;
            // A kept connection that the endpoint has closed says nothing of the endpoint.
            let end = if connection.reused {
                job.tried.pop();
                RunEnd::Abandoned
            } else {
                RunEnd::Unreachable
            };
            run.end(end);
            return Err(DispatchFailure::Unreachable);
        }
        Err(SendFailure::MaybeRun) => {
            run.end(RunEnd::Broken);
            return Err(DispatchFailure::MaybeRun);
        }
    };
    judge_head(job, run, connection, response)
}

/// Decides whether the head of an answer may be passed on.
fn judge_head(
    job: &mut ForwardJob,
    run: PlacedRun,
    mut connection: EndpointConnection,
    response: Response<Incoming>,
) -> Result<EndpointAnswer, DispatchFailure> {
    let names = &job.edge.dialect.headers;
    let status = response.status();
    let head = response.headers();
    if status == StatusCode::MISDIRECTED_REQUEST {
        job.runs -= 1;
        run.end(RunEnd::Misdirected);
        return Err(DispatchFailure::NotRun);
    }
    if head.contains_key(&names.not_run) {
        job.runs -= 1;
        run.end(RunEnd::NotRun);
        return Err(DispatchFailure::NotRun);
    }
    let echoed = headers::text(head, &names.request_id);
    let foreign = echoed.is_some_and(|echoed| echoed != job.id);
    let unsigned = status.is_success() && !head.contains_key(&names.signature);
    let encoded = head.contains_key(header::CONTENT_ENCODING);
    if foreign || unsigned || encoded {
        run.end(RunEnd::Broken);
        return Err(DispatchFailure::MaybeRun);
    }
    if status.is_server_error() && job.route.kind.is_repeatable() && job.runs < job.route.attempts {
        run.end(RunEnd::Failed);
        return Err(DispatchFailure::Failed);
    }
    connection.note_keep_alive(keep_alive_seconds(head));
    Ok(EndpointAnswer {
        run,
        connection,
        response,
    })
}

fn keep_alive_seconds(head: &HeaderMap) -> Option<u64> {
    let value = head.get("keep-alive")?.to_str().ok()?;
    let timeout = value
        .split(',')
        .find_map(|part| part.trim().strip_prefix("timeout="))?;
    timeout.parse().ok()
}

/// How long an endpoint may be silent before the request is sent elsewhere, where that is allowed.
pub(crate) fn silence_limit(job: &ForwardJob) -> Option<Duration> {
    if !job.route.kind.is_repeatable() || job.runs >= job.route.attempts {
        return None;
    }
    let whole = job.deadline.saturating_duration_since(job.arrived);
    Some(whole.mul_f64(SILENCE_PART).max(LEAST_SILENCE))
}

fn endpoint_request(
    job: &ForwardJob,
    endpoint: &EndpointEntry,
    resume_after: Option<u64>,
) -> Request<Full<Bytes>> {
    let names = &job.edge.dialect.headers;
    let mut request = Request::new(Full::new(job.body.clone()));
    *request.method_mut() = job.method.clone();
    *request.uri_mut() = job.uri.clone();
    let mut headers = job.headers.clone();
    let left = job.deadline.saturating_duration_since(Instant::now());
    headers.insert(
        names.deadline_ms.clone(),
        HeaderValue::from(u64::try_from(left.as_millis()).unwrap_or(u64::MAX)),
    );
    if let Ok(value) = HeaderValue::from_str(&endpoint.id) {
        headers.insert(names.expected_endpoint.clone(), value);
    }
    if let Some(id) = resume_after {
        headers.insert("last-event-id", HeaderValue::from(id));
    }
    *request.headers_mut() = headers;
    request
}

/// Reads a whole answer, so that a cut one is noticed before any of it is passed on.
async fn read_answer(
    job: &mut ForwardJob,
    answer: EndpointAnswer,
) -> Result<Response<EdgeBody>, ForwardFault> {
    let mut answer = answer;
    loop {
        answer.run.note_first_byte();
        job.first_byte = Some(job.arrived.elapsed());
        let (parts, body) = answer.response.into_parts();
        let failed = parts.status.is_server_error();
        let Ok(collected) = Limited::new(body, MOST_ANSWER_BYTES).collect().await else {
            answer.run.end(RunEnd::Broken);
            if !may_go_on(job, DispatchFailure::MaybeRun) {
                return Err(EdgeFault::EndpointBroken.into());
            }
            job.edge.count(DispatchFailure::MaybeRun.word());
            answer = find_answer(job).await?;
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
            job.edge.pool.put(&endpoint, answer.connection);
        }
        let mut reply = Response::new(whole_body(job, collected.to_bytes()));
        *reply.status_mut() = parts.status;
        *reply.headers_mut() = headers::end_to_end(&parts.headers);
        return Ok(reply);
    }
}

fn whole_body(job: &ForwardJob, bytes: Bytes) -> EdgeBody {
    if job.method == Method::HEAD || bytes.is_empty() {
        return EdgeBody::empty();
    }
    EdgeBody::Whole(Some(bytes))
}

/// Whether a stream of this kind may go on at another endpoint.
pub(crate) fn is_resumable(job: &ForwardJob) -> bool {
    job.route.kind == RequestKind::ResumableStream
}
