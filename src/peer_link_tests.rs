//! Tests with sockets on the loopback interface. They guard against sends that block on an
//! unreachable peer, and against peers that stay disconnected after a restart.

use std::net::{SocketAddr, TcpListener};
use std::time::{Duration, Instant};

use bytes::Bytes;

use crate::configs::peer_link::LinkSettings;
use crate::peer_link::{PeerInbox, PeerLink, SendOutcome};

/// Several times the maximum reconnect delay of 1 s.
const LIMIT: Duration = Duration::from_secs(5);

fn free_address() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

fn open(address: SocketAddr, max_inbox_messages: usize) -> (PeerLink, PeerInbox) {
    let settings = LinkSettings {
        max_inbox_messages,
        ..LinkSettings::default()
    };
    PeerLink::open(address, settings).unwrap()
}

/// Waits for the next message, and calls `resend` at intervals until it arrives.
fn receive(inbox: &mut PeerInbox, mut resend: impl FnMut()) -> Bytes {
    let end = Instant::now() + LIMIT;
    while Instant::now() < end {
        if let Ok(bytes) = inbox.try_recv() {
            return bytes;
        }
        resend();
        std::thread::sleep(Duration::from_millis(5));
    }
    panic!("no message within {LIMIT:?}");
}

#[test]
fn messages_arrive_and_peers_reconnect() {
    let (near, far) = (free_address(), free_address());
    let (mut link, mut inbox) = open(near, 100);
    let (mut other, mut other_inbox) = open(far, 100);
    for number in 0..20u8 {
        assert_eq!(link.send(far, &[number; 100]), SendOutcome::Sent);
    }
    for number in 0..20u8 {
        assert_eq!(receive(&mut other_inbox, || {})[..], [number; 100]);
    }
    assert_eq!(other.send(near, b"answer"), SendOutcome::Sent);
    assert_eq!(receive(&mut inbox, || {})[..], *b"answer");

    other.close();
    drop(other_inbox);
    let (restarted, mut restarted_inbox) = open(far, 100);
    let hello = || {
        link.send(far, b"hello");
    };
    assert_eq!(receive(&mut restarted_inbox, hello)[..], *b"hello");
    restarted.close();
    link.close();
}

#[test]
fn a_dead_peer_does_not_block() {
    let (mut link, inbox) = open(free_address(), 100);
    let dead = free_address();
    let began = Instant::now();
    let buffer = usize::from(LinkSettings::default().max_send_buffer_messages);
    let outcomes: Vec<_> = (0..buffer + 900)
        .map(|_| link.send(dead, &[7; 1000]))
        .collect();
    // A blocking send would wait forever for a connection.
    assert!(began.elapsed() < LIMIT);
    assert_eq!(outcomes.last(), Some(&SendOutcome::Dropped));
    let sent = outcomes
        .iter()
        .filter(|outcome| **outcome == SendOutcome::Sent);
    assert!(sent.count() <= buffer + 1);
    assert_eq!(link.close_idle(Instant::now()), 0);
    assert_eq!(link.close_idle(Instant::now() + Duration::from_mins(1)), 1);
    assert_eq!(link.peer_count(), 0);
    link.close();
    drop(inbox);
}

#[test]
fn a_full_inbox_drops_and_counts() {
    let far = free_address();
    let (mut link, _inbox) = open(free_address(), 100);
    let (other, mut other_inbox) = open(far, 3);
    let end = Instant::now() + LIMIT;
    while other.dropped_count() < 10 && Instant::now() < end {
        link.send(far, b"message");
        std::thread::sleep(Duration::from_millis(1));
    }
    assert!(other.dropped_count() >= 10);
    let mut kept = 0;
    while other_inbox.try_recv().is_ok() {
        kept += 1;
    }
    assert!((3..=4).contains(&kept), "kept {kept} messages");
}

#[test]
fn a_message_over_the_limit_is_dropped() {
    let (mut link, _inbox) = open(free_address(), 100);
    let limit = LinkSettings::default().max_message_bytes;
    let outcome = link.send(free_address(), &vec![0; limit + 1]);
    assert_eq!(outcome, SendOutcome::Dropped);
}
