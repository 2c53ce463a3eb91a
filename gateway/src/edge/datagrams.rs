//! Sends heartbeats and summaries to other hosts and receives theirs, as datagrams.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::UdpSocket;

use super::peer_messages::RoundParts;
use super::state::Edge;
use crate::ids::HostAddress;
use crate::membership::{MAX_DATAGRAM_BYTES, PeerMessage};

/// Maximum time between two heartbeats.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Minimum time between two heartbeats when load changes: a fraction of the time that an engine
/// needs to process a prompt.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(30);
/// Minimum time between two heartbeats in a relayed fleet. More frequent heartbeats have no use
/// there, since hubs do not send summaries more often.
const RELAYED_REPORT_INTERVAL: Duration = Duration::from_millis(80);
/// Time between two summary rounds of a hub. With 85 hosts, 10 rounds a second amount to 850
/// datagrams a second, which take 1 to 2 % of a core.
const SUMMARY_INTERVAL: Duration = Duration::from_millis(100);
/// Number of summary rounds per full round, which lists the hosts and also goes to hosts that
/// follow the other hub. Two full rounds fit into the time after which a host counts as cut off.
const FULL_ROUND_PERIOD: u32 = 3;
/// Number of summary rounds per round with pace estimates. They are sent once a second, since the
/// pace of an endpoint hardly changes.
const PACE_ROUND_PERIOD: u32 = 10;
/// Delay before the next receive after a socket error.
const SOCKET_ERROR_BACKOFF: Duration = Duration::from_millis(20);

/// Sends heartbeats when they are due or when load, usage or feed positions have changed, and runs
/// the periodic work of the host.
pub(crate) async fn send_heartbeats(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut last_sent: Option<Instant> = None;
    loop {
        edge.tick();
        let due = last_sent.is_none_or(|last| last.elapsed() >= HEARTBEAT_INTERVAL);
        let changed = {
            let state = &mut *edge.state.borrow_mut();
            let load = state.scheduler.take_load_changed();
            let usage = state.caps.take_changed();
            let is_due = std::mem::take(&mut state.heartbeat_due);
            load || usage || is_due
        };
        if due || changed {
            send_heartbeat(&edge, &socket).await;
            last_sent = Some(Instant::now());
        }
        send_signal_digest(&edge, &socket).await;
        send_quarantine_digest(&edge, &socket).await;
        send_duty_poll(&edge, &socket).await;
        let interval = if edge.is_relayed() {
            RELAYED_REPORT_INTERVAL
        } else {
            LOAD_REPORT_INTERVAL
        };
        compio::time::sleep(interval).await;
    }
}

/// Sends one heartbeat to every host that should receive it.
pub(crate) async fn send_heartbeat(edge: &Rc<Edge>, socket: &UdpSocket) {
    let targets = edge.heartbeat_targets();
    if targets.is_empty() {
        return;
    }
    let message = PeerMessage::Heartbeat(edge.build_heartbeat());
    send_to_all(edge, socket, &message, targets).await;
}

/// Sends what this host has heard of endpoints, if anything is due.
async fn send_signal_digest(edge: &Rc<Edge>, socket: &UdpSocket) {
    let Some(digest) = edge.next_signal_digest() else {
        return;
    };
    let message = PeerMessage::SignalDigest(digest);
    send_to_all(edge, socket, &message, edge.signal_targets()).await;
}

/// Sends what this host knows of crashes, if anything is due.
async fn send_quarantine_digest(edge: &Rc<Edge>, socket: &UdpSocket) {
    let Some(digest) = edge.next_quarantine_digest() else {
        return;
    };
    let message = PeerMessage::QuarantineDigest(digest);
    send_to_all(edge, socket, &message, edge.signal_targets()).await;
}

/// Asks all hosts for their counts if this host holds the duties and a poll is due.
async fn send_duty_poll(edge: &Rc<Edge>, socket: &UdpSocket) {
    let Some((poll, targets)) = edge.next_duty_poll() else {
        return;
    };
    send_to_all(edge, socket, &PeerMessage::DutyPoll(poll), targets).await;
}

/// Sends summary rounds while this host is a hub.
pub(crate) async fn send_summaries(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut round_number: u32 = 0;
    loop {
        compio::time::sleep(SUMMARY_INTERVAL).await;
        if !edge.is_hub() {
            continue;
        }
        let parts = RoundParts {
            full: round_number.is_multiple_of(FULL_ROUND_PERIOD),
            paces: round_number.is_multiple_of(PACE_ROUND_PERIOD),
        };
        round_number = round_number.wrapping_add(1);
        let mut round = edge.begin_summary_round(parts);
        if let Some(summary) = edge.build_cell_summary(&mut round) {
            let message = PeerMessage::CellSummary(summary);
            send_to_all(&edge, &socket, &message, edge.cell_summary_targets()).await;
        }
        for host in edge.summary_targets(parts) {
            let summary = edge.build_summary(host, &round);
            send_message(&edge, &socket, host, &PeerMessage::HubSummary(summary)).await;
        }
    }
}

/// Sends a message to several hosts, encoded once for each format.
async fn send_to_all(
    edge: &Rc<Edge>,
    socket: &UdpSocket,
    message: &PeerMessage,
    hosts: Vec<HostAddress>,
) {
    let (legacy, current): (Vec<_>, Vec<_>) = hosts
        .into_iter()
        .partition(|host| edge.is_legacy_host(*host));
    for hosts in [current, legacy] {
        let Some(first) = hosts.first() else { continue };
        let mut bytes = edge.encode_for(message, *first);
        for host in hosts {
            bytes = send_datagram(edge, socket, host, bytes).await;
        }
    }
}

/// Sends a message to one host.
async fn send_message(
    edge: &Rc<Edge>,
    socket: &UdpSocket,
    host: HostAddress,
    message: &PeerMessage,
) {
    let bytes = edge.encode_for(message, host);
    send_datagram(edge, socket, host, bytes).await;
}

/// Sends one datagram and returns its buffer for reuse.
async fn send_datagram(
    edge: &Rc<Edge>,
    socket: &UdpSocket,
    host: HostAddress,
    bytes: Vec<u8>,
) -> Vec<u8> {
    let target = SocketAddr::new(host, edge.settings.peer_port);
    let compio::BufResult(sent, bytes) = socket.send_to(bytes, target).await;
    if sent.is_err() {
        // The next message replaces a lost one.
        edge.count("beat_not_sent");
    }
    bytes
}

/// Receives datagrams of other hosts and applies them.
pub(crate) async fn receive_datagrams(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut buffer = Vec::with_capacity(MAX_DATAGRAM_BYTES);
    loop {
        buffer.clear();
        let compio::BufResult(received, returned) = socket.recv_from(buffer).await;
        buffer = returned;
        let Ok((length, sender)) = received else {
            edge.count("beat_not_received");
            compio::time::sleep(SOCKET_ERROR_BACKOFF).await;
            continue;
        };
        match edge.decode_datagram(&buffer[..length], sender.ip()) {
            Some(PeerMessage::Heartbeat(heartbeat)) => {
                if edge.apply_heartbeat(heartbeat) {
                    let introduction = PeerMessage::Heartbeat(edge.build_introduction());
                    send_message(&edge, &socket, sender.ip(), &introduction).await;
                    let digest = PeerMessage::QuarantineDigest(edge.complete_quarantine_digest());
                    send_message(&edge, &socket, sender.ip(), &digest).await;
                }
            }
            Some(PeerMessage::HubSummary(summary)) => edge.apply_summary(summary),
            Some(PeerMessage::CellSummary(summary)) => edge.apply_cell_summary(summary),
            Some(PeerMessage::SignalDigest(digest)) => edge.apply_signal_digest(digest),
            Some(PeerMessage::QuarantineDigest(digest)) => edge.apply_quarantine_digest(&digest),
            Some(PeerMessage::DutyPoll(poll)) => {
                if let Some(reply) = edge.apply_duty_poll(&poll) {
                    let message = PeerMessage::DutyReply(reply);
                    send_message(&edge, &socket, sender.ip(), &message).await;
                }
            }
            Some(PeerMessage::DutyReply(reply)) => edge.apply_duty_reply(reply),
            None => edge.record_unreadable(sender.ip(), length),
        }
    }
}
