//! Exchanges beats with the other hosts by datagrams.

use std::net::{IpAddr, SocketAddr};
use std::rc::Rc;
use std::time::{Duration, Instant};

use compio::net::UdpSocket;

use super::state::Edge;
use crate::membership::PeerBeat;

/// Longest time between two beats.
const BEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Least time between two beats when load changed: a fraction of the time that a prompt takes.
const LOAD_REPORT_INTERVAL: Duration = Duration::from_millis(30);
/// Largest datagram that is read.
const MOST_BEAT_BYTES: usize = 16 * 1024;
/// Pause after an error of the socket.
const ERROR_PAUSE: Duration = Duration::from_millis(20);

/// Sends beats and does the regular work between them.
pub(crate) async fn send_beats(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut last: Option<Instant> = None;
    loop {
        edge.tick();
        let due = last.is_none_or(|last| last.elapsed() >= BEAT_INTERVAL);
        let changed = {
            let state = &mut *edge.state.borrow_mut();
            let load = state.scheduler.take_changed_report().is_some();
            let usage = state.caps.take_changed();
            let marks = std::mem::take(&mut state.marks_moved);
            load || usage || marks
        };
        if due || changed {
            send_to_all(&edge, &socket).await;
            last = Some(Instant::now());
        }
        compio::time::sleep(LOAD_REPORT_INTERVAL).await;
    }
}

/// Sends one beat to every host that is known.
pub(crate) async fn send_to_all(edge: &Rc<Edge>, socket: &UdpSocket) {
    let targets = edge.state.borrow().members.targets(Instant::now());
    if targets.is_empty() {
        return;
    }
    let mut bytes = edge.next_beat().encode();
    for host in targets {
        bytes = send_one(edge, socket, host, bytes).await;
    }
}

async fn send_one(edge: &Rc<Edge>, socket: &UdpSocket, host: IpAddr, bytes: Vec<u8>) -> Vec<u8> {
    let target = SocketAddr::new(host, edge.settings.peer_port);
    let compio::BufResult(sent, bytes) = socket.send_to(bytes, target).await;
    if sent.is_err() {
        // The next beat replaces this one.
        edge.count("beat_not_sent");
    }
    bytes
}

pub(crate) async fn receive_beats(edge: Rc<Edge>, socket: Rc<UdpSocket>) {
    let mut buffer = Vec::with_capacity(MOST_BEAT_BYTES);
    loop {
        buffer.clear();
        let compio::BufResult(received, returned) = socket.recv_from(buffer).await;
        buffer = returned;
        match received {
            Ok((length, sender)) => {
                let Some(beat) = PeerBeat::decode(&buffer[..length]) else {
                    edge.count("beat_unreadable");
                    continue;
                };
                let host = sender.ip();
                if edge.note_beat(beat) {
                    let bytes = edge.next_beat().encode();
                    send_one(&edge, &socket, host, bytes).await;
                }
            }
            Err(_) => {
                edge.count("beat_not_received");
                compio::time::sleep(ERROR_PAUSE).await;
            }
        }
    }
}
