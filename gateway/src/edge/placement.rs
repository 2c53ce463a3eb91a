//! Waits for the scheduler's decision on one request, and reports to it how the run ended.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::connection_pool::EndpointConnection;
use super::forward::ForwardJob;
use super::quarantine_control::hex_list;
use super::state::Edge;
use crate::catalog::EndpointEntry;
use crate::hedging::size_factor;
use crate::ids::{ContentHash, RouteName, TicketNumber};
use crate::rollouts::{VersionRun, pace_ms};
use crate::scheduler::{RefusalReason, RunEnd, SchedulerEvent, WorkItem};

/// Number of events after which the initial pace of a stream is measured.
const INITIAL_EVENTS: u32 = 8;

/// Decision of the scheduler on one request.
#[derive(Debug)]
pub(crate) enum Placement {
    /// The request may be sent to this endpoint.
    Placed(Rc<EndpointEntry>),
    Refused {
        reason: RefusalReason,
        retry_after: Duration,
    },
}

/// Withdraws a waiting request when its caller disconnects.
struct WaitGuard {
    edge: Rc<Edge>,
    ticket: TicketNumber,
    /// Whether the request still waits for its placement.
    armed: bool,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if self.armed {
            self.edge.discard_ticket(self.ticket);
            self.edge.schedule(SchedulerEvent::Withdrawn(self.ticket));
            // The request may have been placed just before it was withdrawn.
            self.edge.end_run(self.ticket, RunEnd::Abandoned);
        }
    }
}

/// Submits a request to the scheduler and waits for its placement. Overwrites `item.ticket`.
pub(crate) async fn place_request(
    edge: &Rc<Edge>,
    mut item: WorkItem,
    route: RouteName,
    contents: Rc<[ContentHash]>,
) -> Result<PlacedRun, (RefusalReason, Duration)> {
    let (ticket, decision) = edge.issue_ticket();
    item.ticket = ticket;
    let expected_events = {
        let routing = edge.state.borrow().catalog.routing();
        let service = routing.service(&item.service);
        service.map_or(0.0, |service| service.event_count(item.output_tokens))
    };
    let mut guard = WaitGuard {
        edge: Rc::clone(edge),
        ticket,
        armed: true,
    };
    let prompt_factor = size_factor(item.prompt_tokens);
    edge.schedule(SchedulerEvent::Submitted(item));
    let placement = decision.await;
    guard.armed = false;
    if let Ok(Placement::Placed(endpoint)) = &placement {
        edge.record_version_dispatch(endpoint);
    }
    match placement {
        Ok(Placement::Placed(endpoint)) => {
            let mut run = PlacedRun::new(edge, endpoint, route, contents);
            run.ticket = ticket;
            run.expected_events = expected_events;
            run.size_factor = prompt_factor;
            Ok(run)
        }
        Ok(Placement::Refused {
            reason,
            retry_after,
        }) => Err((reason, retry_after)),
        // The sender is only dropped together with the state of the host.
        Err(_) => Err((RefusalReason::NoEndpoint, Duration::from_secs(1))),
    }
}

/// What a run is sent to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunTarget {
    Endpoint,
    /// Another host, which passes the request to an endpoint.
    Host,
}

/// One run at an endpoint. Dropping it reports the run as abandoned.
pub(crate) struct PlacedRun {
    edge: Rc<Edge>,
    pub endpoint: Rc<EndpointEntry>,
    /// Connection on which the request is to be sent, if one was acquired in advance.
    pub connection: Option<EndpointConnection>,
    ticket: TicketNumber,
    route: RouteName,
    contents: Rc<[ContentHash]>,
    /// Expected number of events.
    expected_events: f64,
    /// Factor by which the prompt takes longer than an empty one.
    size_factor: f64,
    placed_at: Instant,
    ended: bool,
    events: u32,
    first_event: Option<Instant>,
    /// Whether the request was sent to tell a blocked content from its companions.
    pub is_trial: bool,
    /// Whether the endpoint has answered with success, other than by a stream.
    pub has_succeeded: bool,
    target: RunTarget,
    /// When bytes of the answer arrived first.
    answered_at: Option<Instant>,
}

impl PlacedRun {
    /// Returns a run at an endpoint for a request of unknown size, which has no ticket yet.
    fn new(
        edge: &Rc<Edge>,
        endpoint: Rc<EndpointEntry>,
        route: RouteName,
        contents: Rc<[ContentHash]>,
    ) -> Self {
        Self {
            edge: Rc::clone(edge),
            endpoint,
            connection: None,
            ticket: 0,
            route,
            contents,
            expected_events: 0.0,
            size_factor: 1.0,
            placed_at: Instant::now(),
            ended: false,
            events: 0,
            first_event: None,
            is_trial: false,
            has_succeeded: false,
            target: RunTarget::Endpoint,
            answered_at: None,
        }
    }

    /// Returns a run at another host, which places the request at an endpoint.
    pub fn at_peer(job: &ForwardJob, peer: Rc<EndpointEntry>) -> Self {
        let mut run = Self::new(
            &job.edge,
            peer,
            job.route.name.clone(),
            Rc::clone(&job.contents),
        );
        run.target = RunTarget::Host;
        run
    }

    /// Returns whether the run is at another host.
    pub fn is_at_host(&self) -> bool {
        self.target == RunTarget::Host
    }

    /// Takes the connection that was acquired in advance, or acquires one.
    pub async fn connect(&mut self) -> std::io::Result<EndpointConnection> {
        if let Some(connection) = self.connection.take() {
            return Ok(connection);
        }
        let local = self.is_at_host().then_some(self.edge.settings.host);
        let acquired = self.edge.pool.acquire(&self.endpoint, local).await;
        if acquired.is_err() && self.is_at_host() {
            self.edge.avoid_relay(self.endpoint.address);
        }
        acquired
    }

    /// Records that the request is sent. `is_fresh`: on a new connection.
    pub fn record_sent(&self, is_fresh: bool) {
        if self.is_at_host() {
            return;
        }
        let contact = &mut *self.edge.contact.borrow_mut();
        contact.record_sent(self.ticket, &self.endpoint.id, is_fresh, Instant::now());
    }

    /// Records that bytes of the answer arrived.
    pub fn record_answer(&mut self) {
        if self.is_at_host() {
            return;
        }
        let change = {
            let contact = &mut *self.edge.contact.borrow_mut();
            if self.answered_at.is_some() {
                contact.record_bytes()
            } else {
                self.answered_at = Some(Instant::now());
                contact.record_answer(self.ticket)
            }
        };
        self.edge.apply_contact_change(change);
    }

    /// Reports the first byte of the response to the scheduler.
    pub fn record_first_byte(&self) {
        if self.is_at_host() {
            return;
        }
        self.record_hedge_time();
        self.edge.schedule(SchedulerEvent::FirstByte(self.ticket));
    }

    /// Records how long the endpoint has taken, for the decision when later requests are slow.
    pub fn record_hedge_time(&self) {
        if self.is_at_host() {
            return;
        }
        let state = &mut *self.edge.state.borrow_mut();
        let took = self.placed_at.elapsed();
        state
            .hedging
            .record_time(&self.route, self.size_factor, took);
    }

    /// Counts events of a stream. The first events also count as the first byte.
    pub fn record_events(&mut self, events: u32) {
        self.record_answer();
        if self.first_event.is_none() {
            self.first_event = Some(Instant::now());
            self.record_first_byte();
        }
        let has_gone_on = self.events <= 1 && self.events + events > 1;
        let has_begun = self.events < INITIAL_EVENTS && self.events + events >= INITIAL_EVENTS;
        self.events += events;
        if self.is_at_host() {
            return;
        }
        if has_begun {
            self.record_initial_pace();
        }
        if has_gone_on {
            self.record_sound_answer();
        }
    }

    /// Records the pace of the answer so far.
    fn record_initial_pace(&self) {
        let pace_ms = pace_ms(self.placed_at.elapsed(), self.units());
        self.edge.record_initial_pace(&self.endpoint, pace_ms);
    }

    /// Returns the size of the work so far, in events for a stream, otherwise the expected size.
    fn units(&self) -> f64 {
        if self.events > 0 {
            f64::from(self.events)
        } else {
            self.expected_events
        }
    }

    /// Records that the endpoint has begun the answer without crashing.
    fn record_sound_answer(&self) {
        let begun = self.first_event.unwrap_or(self.placed_at);
        self.edge.record_sound_answer(&self.contents, begun);
    }

    /// Records what the end of the run says about crashes of the endpoint.
    fn record_crash_evidence(&self, end: RunEnd) {
        match end {
            RunEnd::Completed if self.events == 1 || self.has_succeeded => {
                self.record_sound_answer();
            }
            RunEnd::Disconnected => {
                let (endpoint, contents) = (&self.endpoint, &self.contents);
                log::info!(
                    endpoint = endpoint.id.as_str(), events = self.events, contents = hex_list(contents).as_str();
                    "endpoint: connection ended early"
                );
                if self.events <= 1 {
                    self.edge.record_crash(endpoint, contents);
                }
            }
            RunEnd::Unreachable | RunEnd::NotRun | RunEnd::Misdirected if self.is_trial => {
                self.edge.return_trial(&self.contents);
            }
            RunEnd::Completed
            | RunEnd::Unreachable
            | RunEnd::NotRun
            | RunEnd::Misdirected
            | RunEnd::Failed
            | RunEnd::Broken
            | RunEnd::Stalled
            | RunEnd::Abandoned => {}
        }
    }

    /// Returns whether any event has been received.
    pub fn has_events(&self) -> bool {
        self.first_event.is_some()
    }

    /// Ends the run and reports how it ended.
    pub fn end(mut self, end: RunEnd) {
        self.report_end(end);
    }

    /// Returns the record of this run for the version of the endpoint, or `None` if the end says
    /// nothing about the version.
    fn version_run(&self, end: RunEnd) -> Option<VersionRun> {
        let failed = match end {
            RunEnd::Completed | RunEnd::Abandoned => false,
            RunEnd::Failed | RunEnd::Broken | RunEnd::Disconnected | RunEnd::Stalled => true,
            RunEnd::Unreachable | RunEnd::NotRun | RunEnd::Misdirected => {
                return None;
            }
        };
        Some(VersionRun {
            service: self.endpoint.service.clone(),
            version: self.endpoint.version.clone(),
            endpoint: self.endpoint.id.clone(),
            route: self.route.clone(),
            failed,
            unfinished: end == RunEnd::Abandoned,
            took: self.placed_at.elapsed(),
            units: self.units(),
        })
    }

    /// Reports the end of the run to the rollouts and the scheduler.
    fn report_end(&mut self, end: RunEnd) {
        self.ended = true;
        if self.is_at_host() {
            return;
        }
        let is_lost = match end {
            RunEnd::Unreachable => true,
            RunEnd::Disconnected => self.answered_at.is_none(),
            RunEnd::Completed
            | RunEnd::Failed
            | RunEnd::NotRun
            | RunEnd::Misdirected
            | RunEnd::Broken
            | RunEnd::Stalled
            | RunEnd::Abandoned => false,
        };
        self.edge.contact.borrow_mut().record_end(
            self.ticket,
            &self.endpoint.id,
            is_lost,
            Instant::now(),
        );
        self.record_crash_evidence(end);
        if end == RunEnd::Completed && self.events < INITIAL_EVENTS {
            self.record_initial_pace();
        }
        if let Some(run) = self.version_run(end) {
            self.edge.record_run(&run);
        }
        let streamed_for = self
            .first_event
            .map(|first| first.elapsed())
            .unwrap_or_default();
        self.edge.schedule(SchedulerEvent::Ended {
            ticket: self.ticket,
            end,
            events: self.events,
            streamed_for,
        });
    }
}

impl Drop for PlacedRun {
    fn drop(&mut self) {
        if !self.ended {
            self.report_end(RunEnd::Abandoned);
        }
    }
}
