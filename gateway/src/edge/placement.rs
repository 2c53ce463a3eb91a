//! Waits for the scheduler's decision on one request, and tells it how the run ended.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::state::Edge;
use crate::catalog::EndpointEntry;
use crate::ids::{RouteName, TicketNumber};
use crate::rollouts::VersionRun;
use crate::scheduler::{RefusalReason, RunEnd, SchedulerEvent, WorkItem};

/// What the scheduler decided.
#[derive(Debug)]
pub(crate) enum Placement {
    Placed(Rc<EndpointEntry>),
    Refused {
        reason: RefusalReason,
        retry_after: Duration,
    },
}

/// Withdraws a waiting request when its caller leaves.
struct WaitGuard {
    edge: Rc<Edge>,
    ticket: TicketNumber,
    armed: bool,
}

impl Drop for WaitGuard {
    fn drop(&mut self) {
        if self.armed {
            self.edge.discard_ticket(self.ticket);
            self.edge.schedule(SchedulerEvent::Withdrawn(self.ticket));
            // The decision may have been made in the same instant.
            self.edge.end_run(self.ticket, RunEnd::Abandoned);
        }
    }
}

/// Asks the scheduler for an endpoint; `item.ticket` is filled in here.
pub(crate) async fn place(
    edge: &Rc<Edge>,
    mut item: WorkItem,
    route: RouteName,
) -> Result<PlacedRun, (RefusalReason, Duration)> {
    let (ticket, decision) = edge.issue_ticket();
    item.ticket = ticket;
    let expected = {
        let routing = edge.state.borrow().catalog.routing();
        let service = routing.service(&item.service);
        service.map_or(0.0, |service| service.event_count(item.output_tokens))
    };
    let mut guard = WaitGuard {
        edge: Rc::clone(edge),
        ticket,
        armed: true,
    };
    edge.schedule(SchedulerEvent::Submitted(item));
    let placement = decision.await;
    guard.armed = false;
    match placement {
        Ok(Placement::Placed(endpoint)) => Ok(PlacedRun {
            edge: Rc::clone(edge),
            endpoint,
            ticket,
            route,
            expected,
            placed: Instant::now(),
            ended: false,
            events: 0,
            first_event: None,
        }),
        Ok(Placement::Refused {
            reason,
            retry_after,
        }) => Err((reason, retry_after)),
        // The sender is only dropped with the whole state.
        Err(_) => Err((RefusalReason::NoEndpoint, Duration::from_secs(1))),
    }
}

/// One run at an endpoint. Dropping it reports that the caller left.
pub(crate) struct PlacedRun {
    edge: Rc<Edge>,
    pub endpoint: Rc<EndpointEntry>,
    ticket: TicketNumber,
    route: RouteName,
    /// Events that were expected.
    expected: f64,
    placed: Instant,
    ended: bool,
    events: u32,
    first_event: Option<Instant>,
}

impl PlacedRun {
    pub fn record_first_byte(&self) {
        self.edge.schedule(SchedulerEvent::FirstByte(self.ticket));
    }

    /// Counts events of a stream; the first ones are the first byte.
    pub fn record_events(&mut self, events: u32) {
        if self.first_event.is_none() {
            self.first_event = Some(Instant::now());
            self.record_first_byte();
        }
        self.events += events;
    }

    pub fn has_events(&self) -> bool {
        self.first_event.is_some()
    }

    pub fn end(mut self, end: RunEnd) {
        self.report_end(end);
    }

    /// What the end tells of the endpoint's version, if anything.
    fn version_run(&self, end: RunEnd) -> Option<VersionRun> {
        let failed = match end {
            RunEnd::Completed | RunEnd::Abandoned => false,
            RunEnd::Failed | RunEnd::Broken | RunEnd::Stalled => true,
            RunEnd::Unreachable | RunEnd::NotRun | RunEnd::Misdirected => {
                return None;
            }
        };
        let units = if self.events > 0 {
            f64::from(self.events)
        } else {
            self.expected
        };
        Some(VersionRun {
            service: self.endpoint.service.clone(),
            version: self.endpoint.version.clone(),
            endpoint: self.endpoint.id.clone(),
            route: self.route.clone(),
            failed,
            unfinished: end == RunEnd::Abandoned,
            took: self.placed.elapsed(),
            units,
        })
    }

    fn report_end(&mut self, end: RunEnd) {
        self.ended = true;
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
