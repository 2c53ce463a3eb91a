//! Requests that a host which reaches no endpoint passes to another host. That host treats them like
//! those of its own callers, except for what the first host has done already: it does not check the
//! key, charge the usage or pass the request on to a third host.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use caller_limits::CallerConnection;
use compact_str::{CompactString, format_compact};
use http::{HeaderMap, HeaderName, HeaderValue, Request, Response};
use hyper::body::Incoming;
use rand::seq::IteratorRandom;

use super::body::EdgeBody;
use super::failover::RetryPermit;
use super::forward::{ForwardJob, forward_request};
use super::headers;
use super::placement::PlacedRun;
use super::reply::{EdgeFault, fault_reply};
use super::state::Edge;
use crate::catalog::EndpointEntry;
use crate::ids::{EndpointId, HostAddress, Incarnation};

/// Maximum number of hosts to which one request is passed. Most of the fleet may be isolated, and a
/// host that is answers at once.
pub(super) const MAX_RELAYS: u32 = 16;
/// Time for which a host that did not take a request gets no other one. Links are cut for seconds.
const AVOIDED_TIME: Duration = Duration::from_secs(2);

/// The host that passes a request on.
const HOST_HEADER: HeaderName = HeaderName::from_static("x-gateway-host");
/// Its incarnation, which only hosts of the fleet know.
const INCARNATION_HEADER: HeaderName = HeaderName::from_static("x-gateway-incarnation");
/// Number of endpoints that may have run the request.
const RUNS_HEADER: HeaderName = HeaderName::from_static("x-gateway-runs");

/// Where a request comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RequestOrigin {
    Caller,
    /// A host that reaches no endpoint. `runs` endpoints may have run the request already.
    Host {
        runs: u32,
    },
}

impl RequestOrigin {
    pub fn is_host(self) -> bool {
        matches!(self, Self::Host { .. })
    }

    /// Returns how many endpoints may have run the request before it arrived.
    pub fn runs(self) -> u32 {
        match self {
            Self::Caller => 0,
            Self::Host { runs } => runs,
        }
    }
}

/// How a request is passed between hosts.
#[derive(Clone, Copy, Debug)]
pub(crate) struct RelayProgress {
    pub origin: RequestOrigin,
    /// Number of other hosts to which the request was passed.
    pub hosts: u32,
    /// Whether the current run is at another host.
    pub is_current: bool,
}

impl From<RequestOrigin> for RelayProgress {
    fn from(origin: RequestOrigin) -> Self {
        Self {
            origin,
            hosts: 0,
            is_current: false,
        }
    }
}

impl EdgeFault {
    /// Returns whether another host may still serve a request that was passed on, because this one
    /// has sent it nowhere. `is_sent`: it was sent to an endpoint.
    pub(super) fn is_local(self, is_sent: bool) -> bool {
        match self {
            Self::NotConfigured
            | Self::NoRoute
            | Self::UnknownKey
            | Self::MemoryFull
            | Self::Stopping
            | Self::NoEndpoint
            | Self::EndpointsRefused
            | Self::EndpointBroken => !is_sent,
            Self::NotRelayed => true,
            Self::BodyTooLarge
            | Self::HeadTooLarge
            | Self::BodyTooSlow
            | Self::BodyCut
            | Self::OverCap
            | Self::QueueWait
            | Self::QueueFull
            | Self::OverShare
            | Self::TimeoutUnrun
            | Self::Timeout
            | Self::GraceEnded
            | Self::EndpointsRestricted
            | Self::Quarantined
            | Self::QuarantinedRun => false,
        }
    }
}

/// Serves a request that another host passes on.
pub(super) async fn serve_relayed(
    edge: Rc<Edge>,
    request: Request<Incoming>,
    connection: CallerConnection,
) -> Response<EdgeBody> {
    let Some(runs) = edge.verify_relayed(request.headers()) else {
        edge.count("relay_unverified");
        return fault_reply(EdgeFault::NotRelayed, None);
    };
    edge.count("relay_received");
    forward_request(edge, request, connection, RequestOrigin::Host { runs }).await
}

impl Edge {
    /// Returns whether connections from this address may pass requests on.
    pub(super) fn is_relaying_host(&self, address: IpAddr) -> bool {
        self.state.borrow().members.is_heard(address)
    }

    /// Returns how many endpoints may have run a request, if a host of the fleet passes it on.
    fn verify_relayed(&self, headers: &HeaderMap) -> Option<u32> {
        let host: HostAddress = headers::text(headers, &HOST_HEADER)?.parse().ok()?;
        let incarnation: Incarnation = headers::text(headers, &INCARNATION_HEADER)?.parse().ok()?;
        let runs = headers::text(headers, &RUNS_HEADER)?.parse().ok()?;
        let known = self.state.borrow().members.incarnation_of(host);
        (known == Some(incarnation)).then_some(runs)
    }

    /// Records that a host did not take a request.
    pub(super) fn avoid_relay(&self, peer: SocketAddr) {
        let until = Instant::now() + AVOIDED_TIME;
        self.avoided_relays.borrow_mut().insert(peer.ip(), until);
    }

    /// Draws a host that may reach endpoints and has not been tried for the request. If no host may,
    /// this one doesn't count as isolated any more.
    fn draw_relay(&self, job: &ForwardJob) -> Option<HostAddress> {
        let now = Instant::now();
        let candidates = self.relay_candidates(now);
        if candidates.is_empty() {
            let change = self.contact.borrow_mut().share_loss(now);
            self.apply_contact_change(change);
        }
        self.draw_untried(job, candidates)
    }

    /// Returns the hosts that may reach endpoints.
    fn relay_candidates(&self, now: Instant) -> Vec<HostAddress> {
        let peers = self.state.borrow().members.serving(now);
        let mut candidates: Vec<_> = peers.into_iter().map(|(host, _)| host).collect();
        self.remove_avoided(&mut candidates, now);
        candidates
    }

    /// Removes the hosts that did not take a request shortly ago.
    fn remove_avoided(&self, hosts: &mut Vec<HostAddress>, now: Instant) {
        let avoided = &mut *self.avoided_relays.borrow_mut();
        avoided.retain(|_, until| now < *until);
        hosts.retain(|host| !avoided.contains_key(host));
    }

    /// Draws a host that has not been tried for the request.
    fn draw_untried(&self, job: &ForwardJob, hosts: Vec<HostAddress>) -> Option<HostAddress> {
        let untried = hosts
            .into_iter()
            .filter(|host| !job.tried.contains(&relay_id(*host)));
        untried.choose(&mut *self.random.borrow_mut())
    }
}

fn relay_id(host: HostAddress) -> EndpointId {
    format_compact!("host/{host}")
}

/// Decides whether a request is to be sent to an endpoint although this host reached none: one that
/// may run once more elsewhere shows whether it does now. Returns the retry for leaving the endpoint.
pub(super) fn take_trial(job: &ForwardJob) -> Option<RetryPermit> {
    let leaves_run = job.runs == 0 && job.route.max_attempts > 1;
    let is_suitable = leaves_run && job.may_fail_over() && !job.relay.origin.is_host();
    if !is_suitable || !job.edge.is_isolated() {
        return None;
    }
    let retry = RetryPermit::take(job)?;
    let contact = &mut *job.edge.contact.borrow_mut();
    contact.take_trial(Instant::now()).then_some(retry)
}

/// Returns a run at another host for a request of this host's caller, if this host reaches no
/// endpoint and another host may.
pub(super) fn place_at_peer(job: &ForwardJob) -> Option<PlacedRun> {
    let edge = Rc::clone(&job.edge);
    if job.relay.origin.is_host() || job.relay.hosts >= MAX_RELAYS || !edge.is_isolated() {
        return None;
    }
    let peer = edge.draw_relay(job)?;
    Some(run_at(job, peer))
}

/// Returns a run at a host that has places at the endpoints of a brittle service, if this host has
/// none.
pub(super) fn place_at_owner(job: &ForwardJob) -> Option<PlacedRun> {
    let is_passed_on = job.relay.origin.is_host();
    if is_passed_on || job.relay.hosts >= MAX_RELAYS || !lacks_place(job) {
        return None;
    }
    let edge = &job.edge;
    let now = Instant::now();
    let owners = edge
        .state
        .borrow()
        .scheduler
        .place_owners(&job.service, now);
    let mut candidates = owners.clone();
    edge.remove_avoided(&mut candidates, now);
    if candidates.is_empty() && job.relay.hosts == 0 {
        // One of them notices when an endpoint is back.
        candidates = owners;
    }
    let owner = edge.draw_untried(job, candidates)?;
    Some(run_at(job, owner))
}

/// Returns whether the service of a request is brittle and this host has no place at its endpoints.
pub(super) fn lacks_place(job: &ForwardJob) -> bool {
    let scheduler = &job.edge.state.borrow().scheduler;
    scheduler.lacks_place(&job.service, Instant::now())
}

fn run_at(job: &ForwardJob, peer: HostAddress) -> PlacedRun {
    let entry = EndpointEntry {
        id: relay_id(peer),
        service: job.service.clone(),
        address: (peer, job.edge.settings.peer_port).into(),
        zone: CompactString::default(),
        version: CompactString::default(),
        slots: 0,
        draining: false,
        cold_for: Duration::ZERO,
        started_unix_ms: None,
    };
    PlacedRun::at_peer(job, Rc::new(entry))
}

/// Adds to a request what the other host needs to know.
pub(super) fn add_relay_headers(job: &ForwardJob, headers: &mut HeaderMap) {
    let host = job.edge.settings.host.to_string();
    if let Ok(host) = HeaderValue::from_str(&host) {
        headers.insert(HOST_HEADER, host);
    }
    headers.insert(INCARNATION_HEADER, HeaderValue::from(job.edge.incarnation));
    // The run at the other host is counted already.
    headers.insert(RUNS_HEADER, HeaderValue::from(job.runs.saturating_sub(1)));
}

/// Removes what only the other host needs to know from a request.
pub(super) fn remove_relay_headers(headers: &mut HeaderMap) {
    for name in [HOST_HEADER, INCARNATION_HEADER, RUNS_HEADER] {
        headers.remove(name);
    }
}
