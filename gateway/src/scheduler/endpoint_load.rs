//! State of one endpoint: this host's runs, the reports of peers, pace, health and cold start.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::cold_gate::ColdGate;
use super::endpoint_health::EndpointHealth;
use super::pace::{PaceEstimate, weighted_tokens};
use super::types::{EndpointReport, RunEnd, WorkItem};
use crate::catalog::{EndpointEntry, ServiceEntry};
use crate::configs::SchedulerSettings;
use crate::ids::{FastMap, HostAddress, IncarnationHash, NameHash, TicketNumber, hash_name};

/// Maximum number of pending prefill tokens in a report, which keeps them within 32 bits.
const MAX_REPORTED_TOKENS: f64 = 1e9;

/// Time until an endpoint has surely released the place of a run whose answer has arrived.
const ANSWERED_HOLD: Duration = Duration::from_millis(10);
/// The same for a run that was given up: the endpoint first has to notice the closed connection.
const ABANDONED_HOLD: Duration = Duration::from_millis(300);

#[derive(Debug)]
struct ActiveRun {
    dispatched: Instant,
    tokens: f64,
    /// Weighted tokens that the endpoint processes before this run's first byte.
    tokens_ahead: f64,
    /// Requests at the endpoint for each of its slots, this one included; one at least.
    crowding: f64,
    first_byte: Option<Instant>,
}

#[derive(Clone, Copy, Debug)]
struct PeerLoad {
    active: u16,
    pending_prefill_tokens: f64,
    received: Instant,
}

#[derive(Debug)]
pub(crate) struct EndpointLoad {
    pub entry: Rc<EndpointEntry>,
    pub hash: NameHash,
    pub incarnation: IncarnationHash,
    pub health: EndpointHealth,
    pub pace: PaceEstimate,
    pub gate: ColdGate,
    /// Requests per second that this host may send while the endpoint is cold.
    pub cold_share_per_s: f64,
    /// Value of the scheduler's `cold_rate_version` for which `cold_share_per_s` was computed.
    pub applied_cold_rate_version: Option<u64>,
    /// Slots that this host may still take before the next summary of a hub; `None` if hosts
    /// exchange their loads directly.
    slot_credits: Option<u32>,
    runs: FastMap<TicketNumber, ActiveRun>,
    /// Times until which the endpoint may still hold places of runs that have ended.
    held_until: Vec<Instant>,
    peers: FastMap<HostAddress, PeerLoad>,
}

impl EndpointLoad {
    pub fn new(entry: Rc<EndpointEntry>) -> Self {
        Self {
            hash: hash_name(&entry.id),
            incarnation: entry.incarnation_hash(),
            entry,
            health: EndpointHealth::default(),
            pace: PaceEstimate::default(),
            gate: ColdGate::default(),
            cold_share_per_s: 0.0,
            applied_cold_rate_version: None,
            slot_credits: None,
            runs: FastMap::default(),
            held_until: Vec::new(),
            peers: FastMap::default(),
        }
    }

    pub fn start_run(&mut self, item: &WorkItem, expiry: Duration, now: Instant) {
        let tokens = weighted_tokens(item.prompt_tokens);
        let run = ActiveRun {
            dispatched: now,
            tokens,
            tokens_ahead: tokens + self.pending_prefill_tokens(expiry, now),
            crowding: self.crowding_with_one_more(expiry, now),
            first_byte: None,
        };
        self.runs.insert(item.ticket, run);
        self.gate.consume_permit();
        self.slot_credits = self.slot_credits.map(|credits| credits.saturating_sub(1));
    }

    pub fn record_first_byte(&mut self, ticket: TicketNumber, engine: bool, now: Instant) {
        self.health.record_reachable();
        let Some(run) = self.runs.get_mut(&ticket) else {
            return;
        };
        if run.first_byte.is_some() {
            return;
        }
        run.first_byte = Some(now);
        let took = now.duration_since(run.dispatched);
        if engine {
            let tokens = run.tokens_ahead;
            self.pace.record_first_byte(tokens, took);
        } else {
            self.pace.record_answer(took, run.crowding);
        }
    }

    pub fn end_run(
        &mut self,
        ticket: TicketNumber,
        end: RunEnd,
        settings: &SchedulerSettings,
        now: Instant,
    ) {
        if self.runs.remove(&ticket).is_some() {
            self.held_until.retain(|until| now < *until);
            self.held_until.push(now + hold_time(end));
        }
        self.health.record_end(end, settings, now);
    }

    pub fn own_active(&self) -> usize {
        self.runs.len()
    }

    /// Returns how many places this host's runs take, with those that have just ended.
    pub fn own_places(&self, now: Instant) -> usize {
        let held = self.held_until.iter().filter(|until| now < **until);
        self.runs.len() + held.count()
    }

    /// Returns the number of active requests of all hosts at this endpoint.
    pub fn active(&self, expiry: Duration, now: Instant) -> u32 {
        let peers: u32 = self
            .fresh_peer_loads(expiry, now)
            .map(|load| u32::from(load.active))
            .sum();
        u32::try_from(self.runs.len())
            .unwrap_or(u32::MAX)
            .saturating_add(peers)
    }

    /// Returns the requests at the endpoint for each of its slots if it gets a further one; one at
    /// least.
    fn crowding_with_one_more(&self, expiry: Duration, now: Instant) -> f64 {
        let active = f64::from(self.active(expiry, now).saturating_add(1));
        (active / f64::from(self.entry.slots.max(1))).max(1.0)
    }

    /// Returns the weighted prompt tokens of all hosts that the endpoint has not processed yet.
    pub fn pending_prefill_tokens(&self, expiry: Duration, now: Instant) -> f64 {
        let peers: f64 = self
            .fresh_peer_loads(expiry, now)
            .map(|load| load.pending_prefill_tokens)
            .sum();
        self.own_pending_prefill_tokens() + peers
    }

    fn own_pending_prefill_tokens(&self) -> f64 {
        let pending = self.runs.values().filter(|run| run.first_byte.is_none());
        pending.map(|run| run.tokens).sum()
    }

    fn fresh_peer_loads(&self, expiry: Duration, now: Instant) -> impl Iterator<Item = &PeerLoad> {
        self.peers
            .values()
            .filter(move |load| now.duration_since(load.received) <= expiry)
    }

    pub fn set_peer_load(
        &mut self,
        peer: HostAddress,
        report: Option<&EndpointReport>,
        now: Instant,
    ) {
        match report {
            Some(report) => {
                let load = PeerLoad {
                    active: report.active,
                    pending_prefill_tokens: f64::from(report.pending_prefill_tokens),
                    received: now,
                };
                self.peers.insert(peer, load);
            }
            None => {
                self.peers.remove(&peer);
            }
        }
    }

    /// Assigns this host its share of the slots that are free according to a new summary. Without
    /// it, every host would take all slots of an endpoint that has just become free.
    pub fn assign_slot_credits(&mut self, share: f64, draw: f64, expiry: Duration, now: Instant) {
        let free = self.entry.slots.saturating_sub(self.active(expiry, now));
        let assigned = f64::from(free) * share;
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "at most the slots of an endpoint"
        )]
        let credits = (assigned + draw).floor() as u32;
        self.slot_credits = Some(credits);
    }

    pub fn has_slot_credit(&self) -> bool {
        self.slot_credits != Some(0)
    }

    pub fn clear_peer_loads(&mut self) {
        self.slot_credits = None;
        self.peers.clear();
    }

    /// Returns this host's load for its peers; `None` if it has no run here.
    pub fn report(&self) -> Option<EndpointReport> {
        if self.runs.is_empty() {
            return None;
        }
        #[expect(
            clippy::cast_possible_truncation,
            clippy::cast_sign_loss,
            reason = "clamped to the range"
        )]
        let pending_prefill_tokens = self
            .own_pending_prefill_tokens()
            .clamp(0.0, MAX_REPORTED_TOKENS) as u32;
        Some(EndpointReport {
            endpoint: self.hash,
            active: u16::try_from(self.runs.len()).unwrap_or(u16::MAX),
            pending_prefill_tokens,
        })
    }

    /// Marks the endpoint as cold for the cold start time of its service.
    pub fn mark_cold(&mut self, service: Option<&ServiceEntry>, now: Instant) {
        if let Some(service) = service.filter(|service| service.cold_rate_per_s > 0.0) {
            self.gate.mark_cold(now + service.cold_start);
        }
    }

    /// Resets all state, because a new incarnation of the endpoint shares nothing but its id with
    /// the old one.
    pub fn restart(&mut self, entry: Rc<EndpointEntry>) {
        *self = Self::new(entry);
    }
}

/// Returns how long an endpoint may hold the place of a run after its end.
fn hold_time(end: RunEnd) -> Duration {
    match end {
        RunEnd::Completed | RunEnd::Failed | RunEnd::NotRun | RunEnd::Misdirected => ANSWERED_HOLD,
        RunEnd::Unreachable => Duration::ZERO,
        RunEnd::Broken | RunEnd::Disconnected | RunEnd::Stalled | RunEnd::Abandoned => {
            ABANDONED_HOLD
        }
    }
}
