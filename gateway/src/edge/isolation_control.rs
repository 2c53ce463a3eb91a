//! Watches whether this host reaches any endpoint, and probes endpoints when it may not.

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use futures_util::future::join_all;
use http_util::KeepAliveConnection;
use rand::seq::IndexedRandom;

use super::state::Edge;
use crate::isolation::ContactChange;
use crate::scheduler::SchedulerEvent;

/// Time between two checks of the contact.
const CHECK_INTERVAL: Duration = Duration::from_millis(100);
/// Number of endpoints that one round probes.
const PROBED_ENDPOINTS: usize = 3;
/// Time limit for opening a connection: as for requests.
const PROBE_TIMEOUT: Duration = Duration::from_millis(400);
/// Time for which a new connection must stay open. One that is closed at once proves nothing.
const MIN_OPEN_TIME: Duration = Duration::from_millis(50);

/// Time between two checks of whether the result of a probe is known.
const RESULT_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time for which a request waits for the result of a probe.
const MAX_RESULT_WAIT: Duration = Duration::from_millis(600);

impl Edge {
    /// Returns whether this host reaches no endpoint.
    pub(crate) fn is_isolated(&self) -> bool {
        self.contact.borrow().is_isolated()
    }

    /// Waits until this host reaches no endpoint.
    pub(crate) async fn wait_until_isolated(&self) {
        while !self.is_isolated() {
            let (sender, receiver) = oneshot::channel();
            {
                let waiters = &mut *self.isolation_waiters.borrow_mut();
                waiters.retain(|waiter| !waiter.is_canceled());
                waiters.push(sender);
            }
            // A dropped sender ends the wait as well.
            let _ = receiver.await;
        }
    }

    /// Waits for the result of a probe, if one is running or due because the contact is in doubt.
    pub(crate) async fn wait_for_probe(&self) {
        let known = self.known_endpoints();
        let began = Instant::now();
        while began.elapsed() < MAX_RESULT_WAIT
            && !self.is_isolated()
            && self
                .contact
                .borrow_mut()
                .is_probe_due(known, Instant::now())
        {
            compio::time::sleep(RESULT_INTERVAL).await;
        }
    }

    /// Applies a change of the contact.
    pub(crate) fn apply_contact_change(&self, change: Option<ContactChange>) {
        match change {
            None => return,
            Some(ContactChange::Lost) => {
                self.count("endpoints_lost");
                log::warn!(endpoints = self.known_endpoints(); "endpoints: none reachable, relaying through other hosts");
                // Requests on connections that hang would be lost.
                self.pool.close_all();
            }
            Some(ContactChange::Regained) => {
                self.count("endpoints_regained");
                log::info!("endpoints: reachable again");
            }
            Some(ContactChange::Shared) => {
                self.count("endpoints_lost_by_all");
                log::warn!("endpoints: no other host reaches any");
            }
        }
        let is_isolated = self.is_isolated();
        self.schedule(SchedulerEvent::IsolationChanged(is_isolated));
        if is_isolated {
            for waiter in std::mem::take(&mut *self.isolation_waiters.borrow_mut()) {
                // The receiver may have been dropped.
                let _ = waiter.send(());
            }
        }
    }

    fn known_endpoints(&self) -> usize {
        self.state.borrow().catalog.endpoints().count()
    }

    /// Draws endpoints to probe, those that have not failed first.
    fn draw_probed(&self) -> Vec<SocketAddr> {
        let failed = self.contact.borrow().failed_endpoints();
        let state = self.state.borrow();
        let usable = state.catalog.endpoints().filter(|endpoint| {
            !endpoint.draining && !state.catalog.is_zone_evacuated(&endpoint.zone)
        });
        let (failed, others): (Vec<_>, Vec<_>) =
            usable.partition(|endpoint| failed.contains(&endpoint.id));
        let random = &mut *self.random.borrow_mut();
        let mut drawn: Vec<_> = others.choose_multiple(random, PROBED_ENDPOINTS).collect();
        let missing = PROBED_ENDPOINTS - drawn.len();
        drawn.extend(failed.choose_multiple(random, missing));
        drawn.into_iter().map(|endpoint| endpoint.address).collect()
    }
}

/// Checks the contact with endpoints for as long as the process runs.
pub(super) async fn watch_contact(edge: Rc<Edge>) {
    loop {
        compio::time::sleep(CHECK_INTERVAL).await;
        let now = Instant::now();
        let known = edge.known_endpoints();
        let change = edge.contact.borrow_mut().tick(now);
        edge.apply_contact_change(change);
        if !edge.contact.borrow_mut().is_probe_due(known, now) {
            continue;
        }
        let probed = edge.draw_probed();
        if probed.is_empty() {
            continue;
        }
        let is_reachable = join_all(probed.into_iter().map(stays_open))
            .await
            .contains(&true);
        edge.count("endpoints_probed");
        let change = edge
            .contact
            .borrow_mut()
            .record_probe(is_reachable, Instant::now());
        edge.apply_contact_change(change);
    }
}

/// Opens a connection and returns whether it stays open. No request is sent on it.
async fn stays_open(address: SocketAddr) -> bool {
    let Ok(connection) = KeepAliveConnection::open(address, PROBE_TIMEOUT).await else {
        return false;
    };
    compio::time::sleep(MIN_OPEN_TIME).await;
    connection.is_ready()
}
