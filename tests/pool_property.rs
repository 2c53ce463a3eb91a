//! Property test: random sequences of calls never violate the guarantees that a pool owner ensures.

mod pool_support;

use std::collections::BTreeMap;
use std::time::{Duration, Instant};

use arbtest::arbitrary::{Result, Unstructured};
use arbtest::arbtest;
use pool_support::{Session, engine, load_report, rollout, ticket};
use wisteriapin::configs::pool::PoolSettings;
use wisteriapin::ids::Incarnation;
use wisteriapin::messages::{FinishReport, PermitGrant, PoolSync, RunOutcome, RunningEntry};
use wisteriapin::pool::{LoadReport, PoolEffect};

const SESSION_COUNT: u64 = 400;
const SESSION_BYTES: u64 = 3_000;
const ENDPOINTS: [&str; 3] = ["e0", "e1", "e2"];
const WORKSPACES: [&str; 2] = ["teams", "desk"];
const OUTCOMES: [RunOutcome; 6] = [
    RunOutcome::Completed,
    RunOutcome::Failed,
    RunOutcome::Declined,
    RunOutcome::Unreachable,
    RunOutcome::Broken,
    RunOutcome::Cancelled,
];

type Key = (Incarnation, String);

/// Permit that the test has not ended yet.
struct LivePermit {
    grant: PermitGrant,
    /// Workspace index and tier of its ticket.
    queue_class: (usize, u8),
    started: bool,
    /// Time at which its home was lost.
    orphaned: Option<Instant>,
}

/// State of an endpoint whose last report was cold. It may hold one permit plus one per completion,
/// up to `bearable`.
struct ColdState {
    bearable: usize,
    completions: usize,
}

struct Model {
    session: Session,
    homes: Vec<Incarnation>,
    live: BTreeMap<Key, LivePermit>,
    /// Workspace index and tier of each queued ticket.
    queued: BTreeMap<Key, (usize, u8)>,
    cold: BTreeMap<String, ColdState>,
    next_key: u32,
}

impl Model {
    fn new() -> Self {
        let mut settings = PoolSettings::default();
        settings.fairness.queue_limit = 6;
        settings.fairness.workspace_queue_limit = 4;
        let mut session = Session::new(settings);
        for (number, name) in ENDPOINTS.iter().enumerate() {
            let version = if number == 2 { "v2" } else { "v1" };
            session.view.endpoints.push(engine(name, version, "krk-a"));
        }
        session.view.rollout = Some(rollout(300));
        session.apply_view();
        Self {
            session,
            homes: vec![1, 2],
            live: BTreeMap::new(),
            queued: BTreeMap::new(),
            cold: BTreeMap::new(),
            next_key: 0,
        }
    }

    fn step(&mut self, u: &mut Unstructured) -> Result<()> {
        match u.int_in_range(0..=15)? {
            0..=3 => self.enqueue(u),
            4..=6 => {
                self.grant();
                Ok(())
            }
            7 | 8 => self.finish(u),
            9 => self.report(u),
            10 => self.start_or_return_permit(u),
            11 => self.exclude(u),
            12 => self.fail_load_request(u),
            13 => self.sync(u),
            14 => self.lose_home_or_withdraw(u),
            _ => {
                self.session.advance(u.int_in_range(1..=3_000)?);
                Ok(())
            }
        }
    }

    /// Enqueues a new ticket or resends a known one.
    fn enqueue(&mut self, u: &mut Unstructured) -> Result<()> {
        let number = u.int_in_range(0..=self.next_key)?;
        self.next_key = self.next_key.max(number + 1);
        let home = self.homes[usize::try_from(number % 2).unwrap()];
        let workspace = u.choose_index(WORKSPACES.len())?;
        let tier = u.int_in_range(0..=3)?;
        let mut ticket = ticket(&format!("k{number}"), WORKSPACES[workspace], tier);
        ticket.digest = [u.int_in_range(0..=5)?; 16];
        ticket.deadline_in = Duration::from_millis(u.int_in_range(0..=20_000)?);
        let id = (home, ticket.key.to_string());
        if !self.live.contains_key(&id) {
            self.queued.entry(id).or_insert((workspace, tier));
        }
        let effects = self
            .session
            .pool
            .enqueue(home, ticket, &mut self.session.context);
        self.check(effects);
        Ok(())
    }

    fn grant(&mut self) {
        let now = self.session.context.now;
        let held = |since| now.duration_since(since) < Duration::from_secs(10);
        self.live.retain(|_, known| known.orphaned.is_none_or(held));
        let effects = self.session.pool.grant(&mut self.session.context);
        self.check(effects);
    }

    fn check(&mut self, effects: Vec<PoolEffect>) {
        for effect in effects {
            match effect {
                PoolEffect::Grant { home, grant } => self.check_grant(home, grant),
                PoolEffect::Refuse { home, key, code } => {
                    self.check_refusal(&(home, key.to_string()), code.number());
                }
                PoolEffect::Propose(_) => {}
            }
        }
    }

    fn check_grant(&mut self, home: Incarnation, grant: PermitGrant) {
        let id = (home, grant.key.to_string());
        let endpoint = grant.endpoint.to_string();
        let excluded = &self.session.view.excluded;
        assert!(
            !excluded.contains(&grant.endpoint),
            "(d) grant to excluded {endpoint}"
        );
        if let Some(known) = self.live.get(&id) {
            assert_eq!(
                known.grant.permit, grant.permit,
                "(a) second permit for {id:?}"
            );
            return;
        }
        let queue_class = self.queued.remove(&id);
        let queue_class =
            queue_class.unwrap_or_else(|| panic!("(a) grant of {id:?}, which is not queued"));
        let permit = LivePermit {
            grant,
            queue_class,
            started: false,
            orphaned: None,
        };
        self.live.insert(id, permit);
        if let Some(cold) = self.cold.get(&endpoint) {
            let live = self
                .live
                .values()
                .filter(|known| known.grant.endpoint == endpoint);
            let cap = cold.bearable.min(1 + cold.completions);
            assert!(
                live.count() <= cap,
                "(b) cold {endpoint} holds more than {cap}"
            );
        }
    }

    fn check_refusal(&mut self, id: &Key, code: u16) {
        let Some((workspace, tier)) = self.queued.remove(id) else {
            panic!("refusal {code} of {id:?}, which is not queued");
        };
        let lower = self.queued.values().filter(|other| other.1 > tier);
        let shed_before_lower = match code {
            1303 => lower.count() > 0,
            1307 => lower.filter(|other| other.0 == workspace).count() > 0,
            _ => false,
        };
        assert!(
            !shed_before_lower,
            "(c) {code} for tier {tier} while a lower one is queued"
        );
    }

    fn pick_live(&self, u: &mut Unstructured) -> Result<Option<Key>> {
        let own = self.live.iter().filter(|known| known.1.orphaned.is_none());
        let keys: Vec<&Key> = own.map(|known| known.0).collect();
        if keys.is_empty() {
            return Ok(None);
        }
        Ok(Some(keys[u.choose_index(keys.len())?].clone()))
    }

    fn finish(&mut self, u: &mut Unstructured) -> Result<()> {
        let Some(id) = self.pick_live(u)? else {
            return Ok(());
        };
        let grant = self.live.remove(&id).unwrap().grant;
        let report = FinishReport {
            pool: "sheets".into(),
            key: grant.key,
            permit: grant.permit,
            endpoint: grant.endpoint,
            version: grant.version,
            route: "datasheet".into(),
            digest: [u.int_in_range(0..=5)?; 16],
            outcome: *u.choose(&OUTCOMES)?,
            cold: u.arbitrary()?,
            prompt_tokens: 100,
            cached_tokens: 0,
            tokens: 10,
            first_token: Duration::from_millis(u.int_in_range(0..=800)?),
            total: Duration::from_secs(1),
        };
        if let Some(cold) = self.cold.get_mut(report.endpoint.as_str()) {
            cold.completions += usize::from(report.outcome == RunOutcome::Completed);
        }
        let effects = self
            .session
            .pool
            .record_finish(id.0, &report, &mut self.session.context);
        // A repeated report has no effect.
        let again = self
            .session
            .pool
            .record_finish(id.0, &report, &mut self.session.context);
        assert!(again.is_empty());
        self.check(effects);
        Ok(())
    }

    fn report(&mut self, u: &mut Unstructured) -> Result<()> {
        let endpoint = *u.choose(&ENDPOINTS)?;
        let load = LoadReport {
            cold: u.arbitrary()?,
            bearable: u.int_in_range(0..=4)?,
            running: u.int_in_range(0..=3)?,
            ..load_report(4)
        };
        // If the report states fewer running requests, the pool may release the runs of a lost
        // home.
        self.live
            .retain(|_, known| known.orphaned.is_none() || known.grant.endpoint != endpoint);
        if load.cold {
            let bearable = usize::try_from(load.bearable).unwrap();
            let cold_state = ColdState {
                bearable,
                completions: 0,
            };
            self.cold
                .entry(endpoint.into())
                .or_insert(cold_state)
                .bearable = bearable;
        } else {
            self.cold.remove(endpoint);
        }
        self.session.report(endpoint, &load);
        Ok(())
    }

    fn start_or_return_permit(&mut self, u: &mut Unstructured) -> Result<()> {
        let Some(id) = self.pick_live(u)? else {
            return Ok(());
        };
        let (started, permit) = (self.live[&id].started, self.live[&id].grant.permit);
        let context = &mut self.session.context;
        if started || u.arbitrary()? {
            self.session
                .pool
                .record_start(id.0, &id.1, permit, context.now);
            self.live.get_mut(&id).unwrap().started = true;
        } else {
            self.session
                .pool
                .record_returned_permit(id.0, &id.1, permit, context);
            let queue_class = self.live.remove(&id).unwrap().queue_class;
            self.queued.insert(id, queue_class);
        }
        Ok(())
    }

    fn exclude(&mut self, u: &mut Unstructured) -> Result<()> {
        let name = *u.choose(&ENDPOINTS)?;
        if !self.session.view.excluded.remove(name) {
            self.session.view.excluded.insert(name.into());
        }
        let view = self.session.view.clone();
        let effects = self.session.pool.set_view(view, &mut self.session.context);
        self.check(effects);
        Ok(())
    }

    fn fail_load_request(&mut self, u: &mut Unstructured) -> Result<()> {
        let name = *u.choose(&ENDPOINTS)?;
        self.session
            .pool
            .record_load_failure(name, &mut self.session.context);
        Ok(())
    }

    /// Syncs one home that reports its runs but has lost its queue.
    fn sync(&mut self, u: &mut Unstructured) -> Result<()> {
        let home = *u.choose(&self.homes)?;
        let mut running = Vec::new();
        for (id, known) in self.live.iter_mut().filter(|known| known.0.0 == home) {
            known.started = true;
            running.push(RunningEntry {
                ticket: ticket(&id.1, "teams", 1),
                endpoint: known.grant.endpoint.clone(),
                permit: known.grant.permit,
                version: known.grant.version.clone(),
                running_for: Duration::from_secs(1),
            });
        }
        self.queued.retain(|id, _| id.0 != home);
        let sync = PoolSync {
            pool: "sheets".into(),
            complete: true,
            queued: Vec::new(),
            running,
        };
        let effects = self
            .session
            .pool
            .apply_sync(home, sync, &mut self.session.context);
        self.check(effects);
        Ok(())
    }

    fn lose_home_or_withdraw(&mut self, u: &mut Unstructured) -> Result<()> {
        if u.ratio(1, 3)? {
            let home_index = u.choose_index(self.homes.len())?;
            let home = self.homes[home_index];
            self.homes[home_index] += 10;
            let now = self.session.context.now;
            self.session.pool.record_lost_home(home, now);
            self.queued.retain(|id, _| id.0 != home);
            for (_, known) in self.live.iter_mut().filter(|known| known.0.0 == home) {
                known.orphaned.get_or_insert(now);
            }
        } else if let Some(id) = self.queued.keys().next().cloned() {
            self.session.pool.withdraw(id.0, &id.1);
            self.queued.remove(&id);
        }
        Ok(())
    }
}

/// Guards against a second permit for one key (a), too many permits on a cold endpoint (b),
/// shedding of a higher tier before a lower one (c), and grants to excluded endpoints (d).
#[test]
fn random_sessions_keep_the_guarantees() {
    for number in 1..=SESSION_COUNT {
        let seed = number << 32 | SESSION_BYTES;
        println!("seed {seed:#x}");
        let run = |u: &mut Unstructured| {
            let mut model = Model::new();
            while !u.is_empty() {
                model.step(u)?;
            }
            Ok(())
        };
        arbtest(run).seed(seed).run();
    }
}
