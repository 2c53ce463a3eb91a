//! Reads a caller's request and checks it against the catalog and the usage caps.

use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use caller_limits::{BodyUse, MemoryHold, ReadFailure, read_whole_body};
use compact_str::CompactString;
use http::Request;
use http::header::HOST;
use http::request::Parts;
use http::uri::PathAndQuery;
use http_util::head_bytes;
use hyper::body::Incoming;

use super::forward::{ForwardError, ForwardJob};
use super::headers;
use super::in_flight::InFlightGuard;
use super::peer_relay::{RequestOrigin, remove_relay_headers};
use super::reply::EdgeFault;
use super::state::Edge;
use crate::catalog::{CallerLimits, RouteEntry, RoutingTable, WorkspaceEntry};
use crate::ids::{ContentHash, hash_content};
use crate::limits::UsageVerdict;

/// Time after the start of the shutdown for which new requests are still accepted. Callers need it
/// to learn of another host. Later requests could not be finished within the grace period.
const LEAVING_ACCEPT_WINDOW: Duration = Duration::from_millis(2_500);
/// Retry delay sent to callers while memory is short: the time after which bodies without progress
/// give theirs back.
const MEMORY_RETRY_AFTER: Duration = Duration::from_secs(2);
/// Retry delay sent to callers before the first configuration.
const UNCONFIGURED_RETRY_AFTER: Duration = Duration::from_millis(500);

/// Reads a request and checks it against the catalog and the usage caps.
pub(crate) async fn admit_request(
    edge: &Rc<Edge>,
    request: Request<Incoming>,
    id: &CompactString,
    arrived: Instant,
    origin: RequestOrigin,
) -> Result<ForwardJob, ForwardError> {
    let (routing, limits, version) = {
        let state = edge.state.borrow();
        (
            state.catalog.routing(),
            state.catalog.limits(),
            state.catalog.version(),
        )
    };
    if version == 0 || !edge.is_introduced() {
        return Err(ForwardError {
            fault: EdgeFault::NotConfigured,
            retry_after: Some(UNCONFIGURED_RETRY_AFTER),
        });
    }
    if origin == RequestOrigin::Caller && head_bytes(&request) > limits.max_header_bytes {
        return Err(EdgeFault::HeadTooLarge.into());
    }
    let in_flight = InFlightGuard::new(edge, id);
    let (parts, body) = request.into_parts();
    let names = &edge.dialect.headers;
    let header = |name| headers::text(&parts.headers, name);
    let host = header(&HOST)
        .or_else(|| parts.uri.host())
        .unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default();
    let route = routing
        .find_route(host, parts.uri.path())
        .ok_or(EdgeFault::NoRoute)?;
    let workspace = match origin {
        RequestOrigin::Caller => find_workspace(&routing, route, header(&names.api_key))?,
        RequestOrigin::Host { .. } => find_named_workspace(&routing, header(&names.workspace))?,
    };
    let (body, body_memory) = read_request_body(edge, body, &limits).await?;
    // The body may have taken long: the shutdown may have started since the head arrived.
    if is_too_late(edge) {
        return Err(ForwardError::stopping());
    }
    let contents = request_contents(edge, &parts, workspace.as_deref(), &body);
    if let Err(retry_after) = edge.check_quarantine(id, &contents) {
        return Err(ForwardError {
            fault: EdgeFault::Quarantined,
            retry_after: Some(retry_after),
        });
    }
    let usage = header(&names.token_usage).and_then(|text| (edge.dialect.parse_usage)(text));
    let hint = header(&names.length_hint).and_then(|text| text.parse().ok());
    let expected_output = expected_output(usage, hint);
    if let Some(workspace) = &workspace
        && origin == RequestOrigin::Caller
    {
        admit_usage(edge, id, workspace, usage)?;
    }
    let service = route
        .pick_target(edge.random_fraction())
        .cloned()
        .ok_or(EdgeFault::NoRoute)?;
    let timeout = header(&names.deadline_ms)
        .and_then(|text| text.parse().ok())
        .map_or(route.timeout, Duration::from_millis)
        .min(route.timeout);
    let workspace_name = workspace.as_ref().map(|workspace| workspace.name.as_str());
    let mut headers = headers::for_endpoint(&parts.headers, names, workspace_name);
    remove_relay_headers(&mut headers);
    Ok(ForwardJob {
        headers,
        edge: Rc::clone(edge),
        id: id.clone(),
        route: Rc::clone(route),
        service,
        workspace,
        method: parts.method,
        uri: parts.uri,
        body,
        _body_memory: body_memory,
        usage,
        expected_output,
        contents: contents.into(),
        arrived,
        deadline: arrived + timeout,
        tried: Vec::new(),
        runs: origin.runs(),
        dispatches: 0,
        waited: Duration::ZERO,
        first_byte: None,
        // The host that passed the request on counts it.
        is_counted: origin.is_host(),
        next_run: None,
        trial_retry: None,
        dispatched_at: None,
        is_hedged: false,
        relay: origin.into(),
        is_sent: false,
        in_flight,
    })
}

/// Reads the body of a request within the limits of the configuration and of the memory.
async fn read_request_body(
    edge: &Rc<Edge>,
    body: Incoming,
    limits: &CallerLimits,
) -> Result<(Bytes, MemoryHold), ForwardError> {
    let reading = read_whole_body(&edge.memory, body, BodyUse::Request, limits.max_body_bytes);
    let reading = compio::time::timeout(limits.idle_timeout, reading);
    let read = edge
        .stop_gate
        .run_until_open(reading)
        .await
        .ok_or_else(ForwardError::stopping)?;
    let fault = match read {
        Ok(Ok(body)) => return Ok(body),
        Ok(Err(ReadFailure::TooLarge)) => EdgeFault::BodyTooLarge,
        Ok(Err(ReadFailure::Truncated)) => EdgeFault::BodyCut,
        Ok(Err(ReadFailure::NoMemory)) => {
            return Err(ForwardError {
                fault: EdgeFault::MemoryFull,
                retry_after: Some(MEMORY_RETRY_AFTER),
            });
        }
        Ok(Err(ReadFailure::Reclaimed)) => {
            edge.count("memory_reclaimed");
            EdgeFault::BodyTooSlow
        }
        Err(_) => EdgeFault::BodyTooSlow,
    };
    Err(fault.into())
}

/// Returns the hashes of what may crash endpoints in this and in other requests: the shared parts of
/// its prompt, and the whole request, which its caller may send again under another id.
fn request_contents(
    edge: &Edge,
    parts: &Parts,
    workspace: Option<&WorkspaceEntry>,
    body: &[u8],
) -> Vec<ContentHash> {
    let prompt_parts = headers::text(&parts.headers, &edge.dialect.headers.prompt_parts);
    let mut contents = prompt_parts.map_or_else(Vec::new, edge.dialect.parse_shared_parts);
    let workspace = workspace.map(|workspace| workspace.name.as_str());
    let path = parts.uri.path_and_query().map(PathAndQuery::as_str);
    let method = parts.method.as_str();
    contents.push(hash_content((workspace, method, path, prompt_parts, body)));
    contents
}

/// Returns whether the shutdown of this host is too far advanced for new requests.
fn is_too_late(edge: &Edge) -> bool {
    let leaving_since = edge.state.borrow().leaving_since;
    edge.stop_gate.is_open()
        || leaving_since.is_some_and(|since| since.elapsed() > LEAVING_ACCEPT_WINDOW)
}

/// Returns the workspace to which the key belongs. Requests without a known workspace are only
/// admitted on public routes.
fn find_workspace(
    routing: &RoutingTable,
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

/// Returns the workspace that a host has found for the key of a request, if there was any.
fn find_named_workspace(
    routing: &RoutingTable,
    name: Option<&str>,
) -> Result<Option<Rc<WorkspaceEntry>>, EdgeFault> {
    let Some(name) = name else { return Ok(None) };
    let mut workspaces = routing.workspaces();
    let workspace = workspaces.find(|workspace| workspace.name == name);
    workspace.cloned().map(Some).ok_or(EdgeFault::UnknownKey)
}

/// Charges the usage of a request to its workspace, or rejects the request if that exceeds the cap.
fn admit_usage(
    edge: &Rc<Edge>,
    id: &str,
    workspace: &WorkspaceEntry,
    usage: Option<(u32, u32)>,
) -> Result<(), ForwardError> {
    let state = &mut *edge.state.borrow_mut();
    let idle = !state.scheduler.has_waiting();
    let verdict = state
        .caps
        .admit(&workspace.name, total_tokens(usage), idle, Instant::now());
    match verdict {
        UsageVerdict::Admitted => {
            log::debug!(
                id = id, workspace = workspace.name.as_str(), tokens = total_tokens(usage).unwrap_or(0);
                "usage: admitted"
            );
            Ok(())
        }
        UsageVerdict::Refused { retry_after, level } => {
            log::info!(
                id = id, workspace = workspace.name.as_str(), tokens = total_tokens(usage).unwrap_or(0),
                level = level, idle = idle;
                "usage: cap exceeded"
            );
            Err(ForwardError {
                fault: EdgeFault::OverCap,
                retry_after: Some(retry_after),
            })
        }
    }
}

/// Divisor of the announced output limit that gives the expected output when callers send no
/// estimate. Answers reach a tenth of the limit on average.
const TYPICAL_OUTPUT_DIVISOR: u32 = 10;

/// Returns the expected number of output tokens.
fn expected_output(usage: Option<(u32, u32)>, hint: Option<u32>) -> u32 {
    let max_output = usage.map_or(0, |(_, output)| output);
    hint.unwrap_or(max_output / TYPICAL_OUTPUT_DIVISOR)
        .min(max_output)
}

/// Returns the sum of prompt tokens and maximum output tokens.
pub(crate) fn total_tokens(usage: Option<(u32, u32)>) -> Option<u32> {
    usage.map(|(prompt, output)| prompt.saturating_add(output))
}
