//! Performs the reducer's effects.

use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use caller_limits::MemoryPool;

use crate::caller_server::CallerDesk;
use crate::endpoint_client::{EventSink, cancel_stream, find_stream, run_dispatch};
use crate::endpoint_poll::{fetch_cache_events, fetch_load_report, probe_service};
use crate::event_queue::EventQueue;
use crate::events::{Counter, Effect, Event, LogTopic, OperatorId, TrafficKind};
use crate::ids::{EndpointBrief, EndpointName, FastMap, FastSet, HostBrief, LogOffset, PoolKind};
use crate::log_client::LogClient;
use crate::message_codec::MessageCodec;
use crate::messages::{PeerEnvelope, PeerMessage};
use crate::metrics::MetricSender;
use crate::operator_types::{OperatorReply, ReplySender};
use crate::peer_link::{PeerLink, SendOutcome};
use crate::state::State;
use crate::stream_hub::StreamHub;
use crate::traffic;

/// Operators that wait for an answer.
pub(crate) type OperatorSlots = Rc<RefCell<FastMap<OperatorId, ReplySender>>>;
/// Offsets at which a topic is read on.
pub(crate) type SeekSlots = Rc<RefCell<FastMap<LogTopic, LogOffset>>>;

/// Runs a task on the loop's thread.
pub(crate) fn spawn(task: impl Future<Output = ()> + 'static) {
    compio::runtime::spawn(task).detach();
}

/// What performing an effect needs.
pub(crate) struct EffectDesk {
    pub(crate) queue: EventQueue,
    pub(crate) brief: HostBrief,
    pub(crate) codec: MessageCodec,
    pub(crate) link: PeerLink,
    pub(crate) log: LogClient,
    pub(crate) metrics: MetricSender,
    pub(crate) memory: MemoryPool,
    pub(crate) callers: CallerDesk,
    pub(crate) operators: OperatorSlots,
    pub(crate) hub: StreamHub,
    pub(crate) seeks: SeekSlots,
    /// Endpoints that are being polled, with the next cache event to read.
    pub(crate) polling: Rc<RefCell<FastSet<EndpointName>>>,
    pub(crate) cache_next: Rc<RefCell<FastMap<EndpointName, u64>>>,
    /// Peer messages that found the inbox full, as counted so far.
    pub(crate) dropped_count: u64,
}

impl EffectDesk {
    pub(crate) fn perform(&mut self, effect: Effect, now: Instant) {
        match effect {
            Effect::Send { to, message } => self.send(to, message),
            Effect::Reply { caller, reply } => self.callers.reply(caller, reply),
            Effect::Dispatch(order) => {
                self.hub.open(order.grant.key.clone());
                spawn(run_dispatch(
                    order,
                    now,
                    self.hub.clone(),
                    self.memory.clone(),
                    self.queue.clone(),
                ));
            }
            Effect::CancelStream {
                address,
                request_id,
            } => spawn(cancel_stream(address, request_id)),
            Effect::EndStream { key, code } => self.hub.end(&key, code),
            Effect::DropStream { key } => self.hub.remove(&key),
            Effect::FindStream {
                caller,
                request_id,
                candidates,
            } => {
                let queue = self.queue.clone();
                spawn(async move {
                    let found = find_stream(&request_id, &candidates).await;
                    queue.emit(Event::StreamFound { caller, found });
                });
            }
            Effect::Append {
                append,
                topic,
                records,
            } => {
                let (log, queue) = (self.log.clone(), self.queue.clone());
                spawn(async move {
                    let answer = log.append(topic, &records).await;
                    queue.emit(Event::AppendAnswered { append, answer });
                });
            }
            Effect::SeekLog { topic, from } => {
                self.seeks.borrow_mut().insert(topic, from);
            }
            Effect::PollEndpoint { endpoint } => self.poll(endpoint),
            Effect::OperatorReply {
                operator,
                reply,
                last,
            } => self.answer_operator(operator, *reply, last),
            Effect::Count { counter } => self.metrics.count(counter),
            Effect::Exit => {}
        }
    }

    fn send(&mut self, to: SocketAddr, message: PeerMessage) {
        let envelope = PeerEnvelope {
            from: self.brief.clone(),
            message,
        };
        let outcome = match self.codec.encode(&envelope) {
            Ok(bytes) => {
                let (bytes_kind, messages_kind) =
                    (TrafficKind::PeerBytesSent, TrafficKind::PeerMessagesSent);
                traffic::count(bytes_kind, messages_kind, bytes.len());
                self.link.send(to, &bytes)
            }
            Err(error) => {
                log::warn!(error:%; "peer: could not encode a message");
                SendOutcome::Dropped
            }
        };
        if outcome == SendOutcome::Dropped {
            self.queue.emit(Event::PeerDropped);
        }
    }

    /// Reads an endpoint's load report and cache events, unless the last poll is still open.
    fn poll(&self, brief: EndpointBrief) {
        if !self.polling.borrow_mut().insert(brief.name.clone()) {
            return;
        }
        let polling = Rc::clone(&self.polling);
        let cache_next = Rc::clone(&self.cache_next);
        let queue = self.queue.clone();
        spawn(async move {
            let report = match brief.kind {
                PoolKind::Engine => fetch_load_report(brief.address).await,
                PoolKind::Service => probe_service(&brief).await,
            };
            let (pool, endpoint, address) = (brief.pool, brief.name, brief.address);
            queue.emit(Event::Load {
                pool: pool.clone(),
                endpoint: endpoint.clone(),
                report,
            });
            if brief.kind == PoolKind::Service {
                polling.borrow_mut().remove(&endpoint);
                return;
            }
            let from = cache_next.borrow().get(&endpoint).copied().unwrap_or(0);
            if let Some(read) = fetch_cache_events(address, from).await {
                cache_next.borrow_mut().insert(endpoint.clone(), read.next);
                if !read.stored.is_empty() || !read.evicted.is_empty() {
                    queue.emit(Event::CacheEvents {
                        pool,
                        endpoint: endpoint.clone(),
                        stored: read.stored,
                        evicted: read.evicted,
                    });
                }
            }
            polling.borrow_mut().remove(&endpoint);
        });
    }

    fn answer_operator(&self, operator: OperatorId, reply: OperatorReply, last: bool) {
        let mut slots = self.operators.borrow_mut();
        if last {
            if let Some(sender) = slots.remove(&operator) {
                sender.finish(reply);
            }
            return;
        }
        let Some(ReplySender::Stream(sender)) = slots.get_mut(&operator) else {
            return;
        };
        let gone = sender
            .try_send(reply)
            .is_err_and(|error| error.is_disconnected());
        if gone {
            slots.remove(&operator);
            self.queue.emit(Event::OperatorGone { operator });
        }
    }

    pub(crate) fn send_gauges(&mut self, state: &State) {
        self.link.close_idle(Instant::now());
        let dropped = self.link.dropped_count();
        for _ in self.dropped_count..dropped {
            self.queue.emit(Event::PeerDropped);
        }
        self.dropped_count = dropped;
        let open = u64::try_from(state.requests.open()).unwrap_or(u64::MAX);
        self.metrics.gauge("requests_open", open);
        let bytes = u64::try_from(self.hub.bytes()).unwrap_or(u64::MAX);
        self.metrics.gauge("answer_bytes", bytes);
        let usage = self.memory.usage();
        for (name, bytes) in [
            ("memory_request_bytes", usage.request_bytes),
            ("memory_response_bytes", usage.response_bytes),
            ("memory_budget_bytes", usage.budget_bytes),
        ] {
            self.metrics
                .gauge(name, u64::try_from(bytes).unwrap_or(u64::MAX));
        }
        self.metrics.gauge("config_version", state.config.version());
        for (kind, total) in traffic::totals() {
            let name = Counter::Traffic(kind).name();
            self.metrics.gauge(&name, total);
        }
    }

    /// Closes the sockets after the last messages have had time to leave.
    pub(crate) async fn close(self) {
        compio::time::sleep(Duration::from_millis(100)).await;
        self.link.close();
    }
}
