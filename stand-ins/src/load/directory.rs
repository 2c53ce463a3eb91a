//! Discovery of the addresses to which requests are sent.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::time::Duration;

use http::{Method, StatusCode};
use http_util::request_json;
use serde::Deserialize;

use crate::chance::FaultChance;

const ANSWER_LIMIT_BYTES: usize = 1024 * 1024;
const ANSWER_TIMEOUT: Duration = Duration::from_secs(2);
/// Pause after a discovery to which no address answered.
const RETRY_PAUSE: Duration = Duration::from_millis(200);

#[derive(Clone, Debug, Deserialize)]
pub struct HostAddress {
    pub address: SocketAddr,
    pub home: String,
}

#[derive(Deserialize)]
struct HostsAnswer {
    hosts: Vec<HostAddress>,
    keep_seconds: f64,
}

/// The last discovery answer. It stays in use until a newer one arrives.
pub struct HostDirectory {
    entries: Vec<SocketAddr>,
    hosts: RefCell<Vec<HostAddress>>,
    chance: RefCell<FaultChance>,
    failures: Cell<u64>,
}

impl HostDirectory {
    #[must_use]
    pub fn new(entries: Vec<SocketAddr>, seed: u64) -> Self {
        Self {
            entries,
            hosts: RefCell::default(),
            chance: RefCell::new(FaultChance::new(seed)),
            failures: Cell::new(0),
        }
    }

    /// Discoveries to which no address answered.
    #[must_use]
    pub fn failures(&self) -> u64 {
        self.failures.get()
    }

    /// Asks the known addresses in random order; returns how long the answer may be kept.
    pub async fn refresh(&self) -> Option<Duration> {
        let mut addresses = self.entries.clone();
        addresses.extend(self.hosts.borrow().iter().map(|host| host.address));
        addresses.sort_unstable();
        addresses.dedup();
        while !addresses.is_empty() {
            let address = addresses.swap_remove(self.draw(addresses.len()));
            if let Some(answer) = fetch(address).await {
                *self.hosts.borrow_mut() = answer.hosts;
                return Duration::try_from_secs_f64(answer.keep_seconds).ok();
            }
        }
        self.failures.set(self.failures.get() + 1);
        None
    }

    /// Asks again whenever the last answer has expired, without end.
    pub async fn keep_fresh(&self, first_keep: Duration) {
        let mut keep = first_keep;
        loop {
            compio::time::sleep(keep).await;
            keep = self.refresh().await.unwrap_or_default().max(RETRY_PAUSE);
        }
    }

    /// Picks a host at random, if possible one that is not in `tried`.
    pub fn pick(&self, tried: &[SocketAddr]) -> Option<HostAddress> {
        let hosts = self.hosts.borrow();
        let is_new = |host: &&HostAddress| !tried.contains(&host.address);
        let mut candidates: Vec<&HostAddress> = hosts.iter().filter(is_new).collect();
        if candidates.is_empty() {
            candidates = hosts.iter().collect();
        }
        if candidates.is_empty() {
            return None;
        }
        let index = self.draw(candidates.len());
        Some(candidates.swap_remove(index).clone())
    }

    fn draw(&self, length: usize) -> usize {
        let drawn = self.chance.borrow_mut().up_to(length as u64 - 1);
        usize::try_from(drawn).unwrap_or(0)
    }
}

async fn fetch(address: SocketAddr) -> Option<HostsAnswer> {
    let asked = request_json(address, Method::GET, "/v1/hosts", None, ANSWER_LIMIT_BYTES);
    let answered = compio::time::timeout(ANSWER_TIMEOUT, asked).await.ok()?;
    match answered {
        Ok((StatusCode::OK, body)) => serde_json::from_slice(&body).ok(),
        Ok((status, _)) => {
            log::info!("load: {address} answered discovery with {status}");
            None
        }
        Err(error) => {
            log::info!("load: {address} did not answer discovery: {error}");
            None
        }
    }
}
