//! The way of events to the reducer.

use std::pin::Pin;
use std::task::{Context, Poll};

use futures_channel::mpsc;
use futures_util::Stream;
use futures_util::stream::{PollNext, SelectWithStrategy, StreamExt, select_with_strategy};

use crate::endpoint_client::EventSink;
use crate::events::Event;

/// Sends events to the reducer. The queue has no bound of its own: each source has one (caller
/// connections, open requests, operators' calls, the peer inbox, one poll per endpoint).
#[derive(Clone)]
pub(crate) struct EventQueue {
    control: mpsc::UnboundedSender<Event>,
    callers: mpsc::UnboundedSender<Event>,
}

impl EventSink for EventQueue {
    fn emit(&self, event: Event) {
        let lane = if is_from_caller(&event) {
            &self.callers
        } else {
            &self.control
        };
        // Fails only after the loop has ended.
        let _ = lane.unbounded_send(event);
    }
}

/// Whether an event comes from a caller. The events of one caller stay in their order.
pub(crate) fn is_from_caller(event: &Event) -> bool {
    matches!(
        event,
        Event::Caller { .. } | Event::CallerGone { .. } | Event::CallerRejected(_)
    )
}

type Lane = mpsc::UnboundedReceiver<Event>;

/// Events for the reducer: callers' events wait while any other does. Thousands of requests that
/// arrive at once would otherwise hold back heartbeats for longer than a lease, and the host
/// would take its peers for lost.
pub(crate) struct EventLanes(SelectWithStrategy<Lane, Lane, fn(&mut ()) -> PollNext, ()>);

impl Stream for EventLanes {
    type Item = Event;

    fn poll_next(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<Option<Event>> {
        self.0.poll_next_unpin(context)
    }
}

pub(crate) fn event_queue() -> (EventQueue, EventLanes) {
    let (control, control_lane) = mpsc::unbounded();
    let (callers, caller_lane) = mpsc::unbounded();
    let control_first: fn(&mut ()) -> PollNext = |()| PollNext::Left;
    let lanes = select_with_strategy(control_lane, caller_lane, control_first);
    (EventQueue { control, callers }, EventLanes(lanes))
}
