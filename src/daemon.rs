//! The loop of `wisteriapind`: feeds events to the reducer. `effect_desk` performs the effects.

use std::future::poll_fn;
use std::net::SocketAddr;
use std::rc::Rc;
use std::task::Poll;
use std::time::{Duration, Instant, SystemTime};

use caller_limits::MemoryPool;
use compio::net::TcpListener;
use cyper::Client;
use futures_channel::mpsc;
use futures_util::StreamExt;
use http_util::ServerLimits;
use process_signals::{SIGTERM, SignalReceiver, receive_signals};
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use snafu::{ResultExt, Snafu};

use crate::caller_server::{CallerDesk, CallerLimits, serve_callers};
use crate::configs::daemon::DaemonSettings;
use crate::configs::operator::OperatorLimits;
use crate::configs::peer_link::LinkSettings;
use crate::context::Context;
use crate::effect_desk::{EffectDesk, OperatorSlots, SeekSlots, spawn};
use crate::endpoint_client::EventSink;
use crate::event_queue::{EventQueue, event_queue, is_from_caller};
use crate::events::{Effect, Event, LogTopic, TrafficKind};
use crate::host_list::read_host_list;
use crate::ids::{HostBrief, LogOffset, format_incarnation};
use crate::log_client::LogClient;
use crate::message_codec::MessageCodec;
use crate::metrics::MetricSender;
use crate::operator_server::serve_operators;
use crate::operator_types::OperatorCall;
use crate::peer_link::{LinkError, PeerInbox, PeerLink};
use crate::reducer::reduce;
use crate::state::State;
use crate::stream_hub::StreamHub;
use crate::traffic;

const TICK_INTERVAL: Duration = Duration::from_millis(20);
const LIST_INTERVAL: Duration = Duration::from_millis(500);
/// Pause after a failed read of the log.
const LOG_RETRY_PAUSE: Duration = Duration::from_millis(250);
/// Time in which the caller of a stream has to take something.
const UNREAD_TIMEOUT: Duration = Duration::from_secs(30);
const GAUGE_INTERVAL: Duration = Duration::from_secs(10);
const OPERATOR_CALLS: usize = 64;

/// Why the daemon ended early.
#[derive(Debug, Snafu)]
pub enum DaemonError {
    #[snafu(display("could not listen on {address}"))]
    Listen {
        address: SocketAddr,
        source: std::io::Error,
    },
    #[snafu(display("could not open the peer socket"))]
    Peer { source: LinkError },
    #[snafu(display("could not set up the HTTP client"))]
    Client { source: cyper::Error },
    #[snafu(display("could not set up metrics"))]
    Metrics { source: std::io::Error },
    #[snafu(display("could not install the signal handlers"))]
    Signals { source: std::io::Error },
    #[snafu(display("could not start the runtime"))]
    Runtime { source: std::io::Error },
}

/// Runs the daemon until it has shut down.
///
/// # Errors
///
/// Fails when a socket cannot be opened.
pub fn run(settings: &DaemonSettings) -> Result<(), DaemonError> {
    let [stops] = receive_signals([SIGTERM]).context(SignalsSnafu)?;
    let runtime = compio::runtime::Runtime::new().context(RuntimeSnafu)?;
    runtime.block_on(serve(settings, stops))
}

async fn serve(settings: &DaemonSettings, stops: SignalReceiver) -> Result<(), DaemonError> {
    let mut entropy = SmallRng::from_os_rng();
    let seed = settings.seed.unwrap_or_else(|| entropy.random());
    // The incarnation must differ between processes even when a run is repeated with its seed.
    let brief = HostBrief {
        name: settings.name.clone(),
        region: settings.region.clone(),
        zone: settings.zone.clone(),
        incarnation: entropy.random::<u64>().max(1),
        caller_address: settings.caller_address,
        peer_address: settings.peer_address,
    };
    log::info!(
        host:% = brief.name, zone:% = brief.zone, incarnation:% = format_incarnation(brief.incarnation),
        seed;
        "daemon: starting"
    );
    let (queue, mut events) = event_queue();
    let mut desk = open_desk(settings, brief.clone(), queue.clone()).await?;
    start_readers(settings, &desk, &queue, stops)?;

    let random = SmallRng::seed_from_u64(seed);
    // Claims are told apart by their nonces, so these too must differ between processes.
    let mut state = State::new(settings, entropy.random(), Instant::now());
    let mut context = Context {
        brief,
        now: Instant::now(),
        unix_time: unix_time(),
        random,
    };
    let mut next_gauge = Instant::now();
    println!("listening on {}", settings.caller_address);
    while let Some(event) = events.next().await {
        context.now = Instant::now();
        context.unix_time = unix_time();
        let from_caller = is_from_caller(&event);
        if matches!(event, Event::Operator { .. }) {
            reduce(&mut state, Event::Traffic(traffic::totals()), &mut context);
        }
        let effects = reduce(&mut state, event, &mut context);
        for effect in effects {
            if matches!(effect, Effect::Exit) {
                desk.close().await;
                return Ok(());
            }
            desk.perform(effect, context.now);
        }
        if context.now >= next_gauge {
            next_gauge = context.now + GAUGE_INTERVAL;
            desk.send_gauges(&state);
        }
        if from_caller {
            // Lets the sockets be read, so that a peer's message can overtake waiting callers.
            yield_once().await;
        }
    }
    Ok(())
}

/// Lets every other task that is ready run first.
async fn yield_once() {
    let mut yielded = false;
    poll_fn(|task| {
        if yielded {
            return Poll::Ready(());
        }
        yielded = true;
        task.waker().wake_by_ref();
        Poll::Pending
    })
    .await;
}

fn unix_time() -> Duration {
    SystemTime::now()
        .duration_since(SystemTime::UNIX_EPOCH)
        .unwrap_or_default()
}

async fn listen(address: SocketAddr) -> Result<TcpListener, DaemonError> {
    TcpListener::bind(address)
        .await
        .context(ListenSnafu { address })
}

/// Opens the sockets and starts the servers.
async fn open_desk(
    settings: &DaemonSettings,
    brief: HostBrief,
    queue: EventQueue,
) -> Result<EffectDesk, DaemonError> {
    let (link, inbox) =
        PeerLink::open(settings.peer_address, LinkSettings::default()).context(PeerSnafu)?;
    let codec = MessageCodec::new(settings.peer_secret.as_bytes());
    spawn(read_peers(inbox, codec.clone(), queue.clone()));

    let plan = settings.memory_plan();
    let memory = MemoryPool::new(plan.body_bytes);
    let desk = EffectDesk {
        brief,
        codec,
        link,
        log: LogClient::new(settings.log_address).context(ClientSnafu)?,
        metrics: MetricSender::new(settings.statsd_address).context(MetricsSnafu)?,
        memory: memory.clone(),
        callers: CallerDesk::default(),
        operators: OperatorSlots::default(),
        hub: StreamHub::default(),
        seeks: SeekSlots::default(),
        polling: Rc::default(),
        cache_next: Rc::default(),
        dropped_count: 0,
        queue: queue.clone(),
    };
    let limits = CallerLimits {
        server: ServerLimits {
            max_connections: settings.max_connections.min(plan.max_connections),
            max_header_bytes: settings.max_header_bytes,
            ..ServerLimits::default()
        },
        max_body_bytes: settings.max_body_bytes,
        body_timeout: settings.body_timeout,
        unread_timeout: UNREAD_TIMEOUT,
        keep_seconds: settings.discovery_ttl.as_secs(),
    };
    let listener = listen(settings.caller_address).await?;
    let callers = serve_callers(
        listener,
        limits,
        memory.clone(),
        desk.callers.clone(),
        desk.hub.clone(),
        queue.clone(),
    );
    spawn(async move {
        if let Err(error) = callers.await {
            log::error!(error:%; "caller: the listener failed");
        }
    });
    let listener = listen(settings.operator_address).await?;
    let (calls, inbox) = mpsc::channel(OPERATOR_CALLS);
    spawn(read_operators(inbox, Rc::clone(&desk.operators), queue));
    spawn(async move {
        if let Err(error) =
            serve_operators(listener, calls, OperatorLimits::default(), memory).await
        {
            log::error!(error:%; "operator: the listener failed");
        }
    });
    Ok(desk)
}

/// Starts the tasks that read the platform, the clock and signals.
fn start_readers(
    settings: &DaemonSettings,
    desk: &EffectDesk,
    queue: &EventQueue,
    mut stops: SignalReceiver,
) -> Result<(), DaemonError> {
    let client = Client::new().context(ClientSnafu)?;
    spawn(read_list(client, settings.host_list_address, queue.clone()));
    for topic in [LogTopic::Config, LogTopic::Claims] {
        spawn(read_topic(
            desk.log.clone(),
            topic,
            Rc::clone(&desk.seeks),
            queue.clone(),
        ));
    }
    let ticks = queue.clone();
    spawn(async move {
        loop {
            ticks.emit(Event::Tick);
            compio::time::sleep(TICK_INTERVAL).await;
        }
    });
    let signals = queue.clone();
    spawn(async move {
        while let Some(()) = stops.next().await {
            signals.emit(Event::Terminate);
        }
    });
    Ok(())
}

async fn read_peers(mut inbox: PeerInbox, codec: MessageCodec, queue: EventQueue) {
    while let Some(bytes) = inbox.next().await {
        let (bytes_kind, messages_kind) = (
            TrafficKind::PeerBytesReceived,
            TrafficKind::PeerMessagesReceived,
        );
        traffic::count(bytes_kind, messages_kind, bytes.len());
        match codec.decode(&bytes) {
            Ok(envelope) => queue.emit(Event::Peer(Box::new(envelope))),
            Err(error) => {
                log::warn!(error:%; "peer: dropped a message");
                queue.emit(Event::PeerMalformed);
            }
        }
    }
}

async fn read_operators(
    mut inbox: mpsc::Receiver<OperatorCall>,
    slots: OperatorSlots,
    queue: EventQueue,
) {
    let mut operator = 0;
    while let Some(call) = inbox.next().await {
        operator += 1;
        slots.borrow_mut().insert(operator, call.reply);
        queue.emit(Event::Operator {
            operator,
            token: call.token,
            request: call.request,
        });
    }
}

async fn read_list(client: Client, address: SocketAddr, queue: EventQueue) {
    loop {
        queue.emit(Event::Listing(read_host_list(&client, address).await));
        compio::time::sleep(LIST_INTERVAL).await;
    }
}

async fn read_topic(log: LogClient, topic: LogTopic, seeks: SeekSlots, queue: EventQueue) {
    use crate::events::LogRead;
    let mut next: LogOffset = 0;
    loop {
        if let Some(from) = seeks.borrow_mut().remove(&topic) {
            next = from;
        }
        let read = log.read(topic, next).await;
        // A seek that arrived during the read makes its result stale.
        if seeks.borrow().contains_key(&topic) {
            continue;
        }
        let pause = match &read {
            LogRead::Records { records, end } => {
                next = records
                    .last()
                    .map_or(next.max(*end), |record| record.offset + 1);
                None
            }
            LogRead::Forgotten { first } => {
                next = *first;
                None
            }
            LogRead::Unavailable => Some(LOG_RETRY_PAUSE),
        };
        queue.emit(Event::LogRead { topic, read });
        // Lets the loop handle the read first; it may seek.
        compio::time::sleep(pause.unwrap_or(Duration::from_millis(1))).await;
    }
}
