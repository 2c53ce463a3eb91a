//! Entries of the host list and their delayed publication.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

/// Earlier states that can be shown again.
const KEPT_STATES: usize = 16;

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostKind {
    Entry,
    Engine,
    Service,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostState {
    Live,
    Leaving,
}

/// One host of the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HostEntry {
    pub name: String,
    pub address: SocketAddr,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub peer_address: Option<SocketAddr>,
    pub kind: HostKind,
    pub region: String,
    pub zone: String,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub version: Option<String>,
    pub state: HostState,
}

impl HostEntry {
    /// Checks that the fields of the host's kind are present.
    ///
    /// # Errors
    ///
    /// Names the host and the field.
    pub fn check(&self) -> Result<(), String> {
        let name = &self.name;
        match self.kind {
            HostKind::Entry if self.peer_address.is_none() => {
                Err(format!("entry host {name} has no peer_address"))
            }
            HostKind::Engine | HostKind::Service if self.pool.is_none() => {
                Err(format!("endpoint {name} has no pool"))
            }
            HostKind::Engine | HostKind::Service if self.version.is_none() => {
                Err(format!("endpoint {name} has no version"))
            }
            HostKind::Entry | HostKind::Engine | HostKind::Service => Ok(()),
        }
    }
}

/// A change of the list: the whole list, or one host put or removed.
#[derive(Debug, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum HostChange {
    Hosts(Vec<HostEntry>),
    Upsert(HostEntry),
    Remove(String),
}

/// The list as it was put, and the states that readers see.
pub struct HostHistory {
    lag: Duration,
    latest: Vec<HostEntry>,
    /// States in order, with the time from which each is shown.
    states: VecDeque<(Instant, Vec<HostEntry>)>,
}

impl HostHistory {
    /// Starts with a list that is shown at once.
    #[must_use]
    pub fn new(lag: Duration, hosts: Vec<HostEntry>, now: Instant) -> Self {
        let states = VecDeque::from([(now, hosts.clone())]);
        Self {
            lag,
            latest: hosts,
            states,
        }
    }

    /// Makes a change, which is shown after the lag.
    ///
    /// # Errors
    ///
    /// Fails when an entry lacks a field of its kind.
    pub fn change(&mut self, change: HostChange, now: Instant) -> Result<(), String> {
        match change {
            HostChange::Hosts(hosts) => {
                hosts.iter().try_for_each(HostEntry::check)?;
                self.latest = hosts;
            }
            HostChange::Upsert(host) => {
                host.check()?;
                match self.latest.iter_mut().find(|entry| entry.name == host.name) {
                    Some(entry) => *entry = host,
                    None => self.latest.push(host),
                }
            }
            HostChange::Remove(name) => self.latest.retain(|entry| entry.name != name),
        }
        self.states.push_back((now + self.lag, self.latest.clone()));
        let shown = self.shown_index(now);
        self.states.drain(..shown.saturating_sub(KEPT_STATES));
        Ok(())
    }

    /// The list that readers see, or the one `back` states before it.
    #[must_use]
    pub fn shown(&self, back: usize, now: Instant) -> &[HostEntry] {
        let index = self.shown_index(now).saturating_sub(back);
        &self.states[index].1
    }

    fn shown_index(&self, now: Instant) -> usize {
        let is_shown = |(at, _): &(Instant, Vec<HostEntry>)| *at <= now;
        self.states.iter().rposition(is_shown).unwrap_or(0)
    }
}
