//! Session that drives one `PoolState` with a simulated clock and logs its effects.
#![allow(dead_code)] // each test binary uses only a part of this module

use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use wisteriapin::config_change::{RolloutState, RolloutVerdict};
use wisteriapin::configs::pool::PoolSettings;
use wisteriapin::context::Context;
use wisteriapin::ids::{EndpointBrief, HostBrief, Incarnation, PoolKind};
use wisteriapin::messages::{FinishReport, PermitGrant, QueueTicket, RunOutcome, RunningEntry};
use wisteriapin::pool::{LoadReport, PoolEffect, PoolState, PoolView};

pub struct Session {
    pub pool: PoolState,
    pub context: Context,
    pub view: PoolView,
    pub log: String,
    pub granted: BTreeMap<String, (Incarnation, PermitGrant, QueueTicket)>,
    tickets: BTreeMap<String, QueueTicket>,
    start: Instant,
}

impl Session {
    pub fn new(settings: PoolSettings) -> Self {
        let start = Instant::now();
        let address = "127.0.0.1:1".parse().unwrap();
        let brief = HostBrief {
            name: "entry-1".into(),
            region: "pl-south".into(),
            zone: "krk-a".into(),
            incarnation: 1,
            caller_address: address,
            peer_address: address,
        };
        Self {
            pool: PoolState::new("sheets".into(), settings, start),
            context: Context {
                brief,
                now: start,
                unix_time: Duration::ZERO,
                random: SmallRng::seed_from_u64(7),
            },
            view: PoolView {
                version: "v1".into(),
                config_version: 5,
                ..PoolView::default()
            },
            log: String::new(),
            granted: BTreeMap::new(),
            tickets: BTreeMap::new(),
            start,
        }
    }

    /// Creates a session with warm engines of version v1 and the given capacity.
    pub fn with_engines(settings: PoolSettings, names: &[&str], capacity: u32) -> Self {
        let mut session = Self::new(settings);
        for name in names {
            session.view.endpoints.push(engine(name, "v1", "krk-a"));
        }
        session.apply_view();
        session.advance(10);
        for name in names {
            session.report(name, &load_report(capacity));
        }
        session
    }

    pub fn advance(&mut self, ms: u64) {
        self.context.now += Duration::from_millis(ms);
    }

    pub fn log_line(&mut self, text: &str) {
        let at = self.context.now - self.start;
        writeln!(self.log, "{:>6} ms  {text}", at.as_millis()).unwrap();
    }

    pub fn apply_view(&mut self) {
        let effects = self.pool.set_view(self.view.clone(), &mut self.context);
        self.log_effects(effects);
    }

    pub fn report(&mut self, endpoint: &str, report: &LoadReport) {
        self.pool
            .record_load_report(endpoint, report, &mut self.context);
    }

    pub fn enqueue(&mut self, home: Incarnation, ticket: QueueTicket) {
        self.tickets.insert(ticket.key.to_string(), ticket.clone());
        let effects = self.pool.enqueue(home, ticket, &mut self.context);
        self.log_effects(effects);
    }

    pub fn grant(&mut self) {
        let effects = self.pool.grant(&mut self.context);
        self.log_effects(effects);
    }

    pub fn finish(&mut self, key: &str, outcome: RunOutcome) {
        self.finish_with(key, |report| report.outcome = outcome);
    }

    /// Finishes a run. Unless `change` sets other values, it completes with 10 tokens at 40 tokens
    /// per second.
    pub fn finish_with(&mut self, key: &str, change: impl Fn(&mut FinishReport)) {
        let (home, grant, ticket) = self
            .granted
            .remove(key)
            .expect("the request should have a permit");
        let mut report = FinishReport {
            pool: "sheets".into(),
            key: key.into(),
            permit: grant.permit,
            endpoint: grant.endpoint,
            version: grant.version,
            route: ticket.route,
            digest: ticket.digest,
            outcome: RunOutcome::Completed,
            cold: false,
            prompt_tokens: ticket.prompt_tokens,
            cached_tokens: 0,
            tokens: 10,
            first_token: Duration::from_millis(25),
            total: Duration::from_millis(250),
        };
        change(&mut report);
        self.log_line(&format!(
            "finish {key} on {}: {:?}",
            report.endpoint, report.outcome
        ));
        let effects = self.pool.record_finish(home, &report, &mut self.context);
        self.log_effects(effects);
    }

    pub fn running_entry(&self, key: &str) -> RunningEntry {
        let (_, grant, ticket) = &self.granted[key];
        RunningEntry {
            ticket: ticket.clone(),
            endpoint: grant.endpoint.clone(),
            permit: grant.permit,
            version: grant.version.clone(),
            running_for: Duration::from_secs(1),
        }
    }

    pub fn log_endpoints(&mut self) {
        let summary = self.pool.summary(self.context.now);
        for endpoint in summary.endpoints {
            self.log_line(&format!(
                "  {} {:?}: {} of {}",
                endpoint.name, endpoint.condition, endpoint.in_flight, endpoint.limit
            ));
        }
    }

    pub fn log_effects(&mut self, effects: Vec<PoolEffect>) {
        for effect in effects {
            let line = match effect {
                PoolEffect::Grant { home, grant } => {
                    let number = grant.permit & 0xffff_ffff;
                    let target = format!("{} ({})", grant.endpoint, grant.version);
                    let line = format!(
                        "grant {} to home {home}: {target}, permit {number}",
                        grant.key
                    );
                    let ticket = self.tickets[grant.key.as_str()].clone();
                    self.granted
                        .insert(grant.key.to_string(), (home, grant, ticket));
                    line
                }
                PoolEffect::Refuse { home, key, code } => {
                    format!(
                        "refuse {key} of home {home}: {} {}",
                        code.number(),
                        code.name()
                    )
                }
                PoolEffect::Propose(proposal) => format!("propose {proposal:?}"),
            };
            self.log_line(&line);
        }
    }
}

pub fn engine(name: &str, version: &str, zone: &str) -> EndpointBrief {
    EndpointBrief {
        name: name.into(),
        address: "127.0.0.1:9".parse().unwrap(),
        region: "pl-south".into(),
        zone: zone.into(),
        pool: "sheets".into(),
        version: version.into(),
        kind: PoolKind::Engine,
        leaving: false,
    }
}

pub fn load_report(capacity: u32) -> LoadReport {
    LoadReport {
        age: Duration::from_millis(1),
        version: "".into(),
        cold: false,
        bearable: 0,
        running: 0,
        waiting: 0,
        capacity,
        tokens_per_second: 0.0,
    }
}

pub fn ticket(key: &str, workspace: &str, tier: u8) -> QueueTicket {
    let mut digest = [0; 16];
    let length = key.len().min(16);
    digest[..length].copy_from_slice(&key.as_bytes()[..length]);
    QueueTicket {
        key: key.into(),
        pool: "sheets".into(),
        workspace: workspace.into(),
        tier,
        route: "datasheet".into(),
        deadline_in: Duration::from_mins(1),
        prompt_tokens: 100,
        max_tokens: 40,
        prefix_blocks: Vec::new(),
        digest,
    }
}

pub fn rollout(share_permille: u16) -> RolloutState {
    RolloutState {
        name: "to-v2".into(),
        pool: "sheets".into(),
        from: "v1".into(),
        to: "v2".into(),
        started: Duration::ZERO,
        deadline: Duration::from_hours(1),
        step: 1,
        share_permille,
        verdict: RolloutVerdict::Running,
    }
}
