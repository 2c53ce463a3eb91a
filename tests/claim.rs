//! Tests of claims with one simulated topic: races of hosts, lost answers, late appends, outages.

mod seeds;

use std::collections::{BTreeMap, BTreeSet};
use std::fmt::Write as _;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use wisteriapin::claim::{AppendFailure, ClaimAnswer, ClaimEffect, ClaimKey, ClaimTable};
use wisteriapin::configs::claim::ClaimSettings;
use wisteriapin::context::Context;
use wisteriapin::ids::HostBrief;
use wisteriapin::result_code::{RanState, ResultCode};

const START: Duration = Duration::from_secs(1_000_000);

struct ClaimHost {
    table: ClaimTable,
    context: Context,
    /// Position up to which the host has read the topic.
    read: usize,
    /// Appends that the table requested and that have no answer yet.
    appends: Vec<(u64, Vec<String>)>,
}

/// Several hosts with one topic. Each test decides when records reach the topic and when answers
/// reach the hosts.
struct ClaimBench {
    hosts: Vec<ClaimHost>,
    topic: Vec<(Duration, String)>,
    time: Duration,
    started: Instant,
    restarts: u64,
    /// Number of wins by key, without wins whose call ended without running.
    wins: BTreeMap<ClaimKey, u32>,
    /// Incarnations that won a key and whose call has not ended.
    holders: BTreeMap<ClaimKey, u64>,
    text: String,
}

impl ClaimBench {
    fn new(count: usize) -> Self {
        let (hosts, topic) = (Vec::new(), Vec::new());
        let (started, wins, text) = (Instant::now(), BTreeMap::new(), String::new());
        let mut bench = Self {
            hosts,
            topic,
            time: START,
            started,
            restarts: 0,
            wins,
            holders: BTreeMap::new(),
            text,
        };
        for _ in 0..count {
            let host = bench.new_host();
            bench.hosts.push(host);
        }
        bench
    }

    /// Returns a host that has just started, with a new incarnation and an empty table.
    fn new_host(&mut self) -> ClaimHost {
        self.restarts += 1;
        let address = "127.0.0.1:1".parse().unwrap();
        let brief = HostBrief {
            name: "entry".into(),
            region: "r".into(),
            zone: "z".into(),
            incarnation: self.restarts,
            caller_address: address,
            peer_address: address,
        };
        let random = SmallRng::seed_from_u64(1);
        let context = Context {
            brief,
            now: self.started,
            unix_time: self.time,
            random,
        };
        let table = ClaimTable::new(ClaimSettings::default(), self.restarts);
        ClaimHost {
            table,
            context,
            read: 0,
            appends: Vec::new(),
        }
    }

    fn advance(&mut self, seconds: u64) {
        self.time += Duration::from_secs(seconds);
    }

    /// Sets the host's clock to the current time and runs one call on its table.
    fn step(
        &mut self,
        host: usize,
        action: &str,
        call: impl FnOnce(&mut ClaimTable, &Context) -> Vec<ClaimEffect>,
    ) {
        let entry = &mut self.hosts[host];
        entry.context.unix_time = self.time;
        entry.context.now = self.started + self.time.saturating_sub(START);
        let effects = call(&mut entry.table, &entry.context);
        writeln!(
            self.text,
            "{} s, host {host}: {action}",
            self.time.saturating_sub(START).as_secs()
        )
        .unwrap();
        for effect in effects {
            match effect {
                ClaimEffect::Append { batch, records } => {
                    writeln!(self.text, "  appends {} records", records.len()).unwrap();
                    entry.appends.push((batch, records));
                }
                ClaimEffect::Decided { claim, answer } => {
                    writeln!(self.text, "  {}: {answer:?}", claim.key).unwrap();
                    if answer == ClaimAnswer::Won {
                        let incarnation = entry.context.brief.incarnation;
                        self.holders.insert(claim.clone(), incarnation);
                        *self.wins.entry(claim).or_default() += 1;
                    }
                }
            }
        }
    }

    fn request(&mut self, host: usize, key: &str, digest: u8) -> ClaimAnswer {
        let claim = claim_key(key);
        let mut answer = ClaimAnswer::Pending;
        self.step(
            host,
            &format!("request {key} with content {digest}"),
            |table, context| {
                answer = table.request(claim.clone(), [digest; 16], context);
                Vec::new()
            },
        );
        writeln!(self.text, "  {answer:?}").unwrap();
        if answer == ClaimAnswer::Won {
            let incarnation = self.hosts[host].context.brief.incarnation;
            self.holders.insert(claim.clone(), incarnation);
            *self.wins.entry(claim).or_default() += 1;
        }
        answer
    }

    fn tick(&mut self, host: usize) {
        self.step(host, "tick", ClaimTable::tick);
    }

    fn finish(&mut self, host: usize, key: &str, result: Result<String, ResultCode>) {
        let claim = claim_key(key);
        let incarnation = self.hosts[host].context.brief.incarnation;
        if self.holders.get(&claim) == Some(&incarnation) {
            self.holders.remove(&claim);
            let not_run = result
                .as_ref()
                .is_err_and(|code| code.ran() == RanState::NotRun);
            if let Some(wins) = self.wins.get_mut(&claim).filter(|_| not_run) {
                *wins -= 1;
            }
        }
        self.step(host, &format!("finish {key}"), |table, context| {
            table.record_outcome(&claim_key(key), result, context);
            Vec::new()
        });
    }

    /// Appends records to the topic and returns the offset of the first one.
    fn append_records(&mut self, records: &[String]) -> u64 {
        let first = self.topic.len() as u64;
        self.topic
            .extend(records.iter().map(|record| (self.time, record.clone())));
        first
    }

    fn answer(&mut self, host: usize, batch: u64, answer: Result<u64, AppendFailure>) {
        self.step(
            host,
            &format!("append answered: {answer:?}"),
            |table, context| table.record_append_answer(batch, answer, context),
        );
    }

    /// Runs a tick, and appends and answers every pending append of the host.
    fn append(&mut self, host: usize) {
        self.tick(host);
        for (batch, records) in std::mem::take(&mut self.hosts[host].appends) {
            let first = self.append_records(&records);
            self.answer(host, batch, Ok(first));
        }
    }

    /// Reads up to `count` records, and records the end of the topic if the host reached it.
    fn read(&mut self, host: usize, count: usize) {
        let from = self.hosts[host].read;
        let until = self.topic.len().min(from + count);
        self.hosts[host].read = until;
        let end = self.topic.len();
        let records = self.topic[from..until].to_vec();
        self.step(
            host,
            &format!("reads {from} to {until} of {end}"),
            |table, context| {
                let mut effects = Vec::new();
                for (offset, (at, data)) in (from..).zip(records) {
                    effects.extend(table.apply_record(offset as u64, at, &data, context));
                }
                if until == end {
                    effects.extend(table.record_topic_end(end as u64, context));
                }
                effects
            },
        );
    }
}

fn claim_key(key: &str) -> ClaimKey {
    ClaimKey {
        workspace: "fog".into(),
        key: key.into(),
    }
}

/// Guards against two runs of a call that is sent to two hosts, and against different answers.
#[test]
fn two_hosts_race() {
    let mut bench = ClaimBench::new(2);
    bench.request(0, "1000000-early", 1);
    (0..2).for_each(|host| bench.read(host, 99));
    for key in ["999399-old", "1000031-future", "1000000", "x-y", "1000000-"] {
        assert_eq!(
            bench.request(0, key, 1),
            ClaimAnswer::Refused(ResultCode::KeyAge)
        );
    }
    bench.request(0, "1000000-a", 1);
    bench.request(1, "1000000-a", 1);
    bench.request(1, "1000000-b", 1);
    bench.append(1);
    bench.append(0);
    bench.request(0, "1000000-b", 2);
    (0..2).for_each(|host| bench.read(host, 99));
    bench.append(0);
    bench.request(1, "1000000-a", 2);
    bench.advance(5);
    bench.tick(0);
    bench.request(0, "1000000-a", 1);
    bench.finish(1, "1000000-a", Ok("order 7".to_owned()));
    bench.finish(1, "1000000-b", Ok("x".repeat(5_000)));
    bench.append(1);
    bench.read(0, 99);
    bench.request(0, "1000000-b", 1);
    bench.request(1, "1000000-a", 1);
    // A restarted claimant is a new claimant, which must read the topic before it answers.
    bench.hosts[1] = bench.new_host();
    bench.request(1, "1000000-a", 1);
    bench.read(1, 99);
    bench.request(1, "1000000-a", 1);
    bench.advance(700);
    bench.tick(0);
    bench.request(0, "1000000-a", 1);
    insta::assert_snapshot!(bench.text);
}

/// Guards against a second run and a false "not run" when append answers are lost.
#[test]
fn lost_answers_and_late_appends() {
    let mut bench = ClaimBench::new(2);
    (0..2).for_each(|host| bench.read(host, 99));
    // The record is in the log although the answer was lost.
    bench.request(0, "1000000-present", 1);
    bench.tick(0);
    let (batch, records) = bench.hosts[0].appends.pop().unwrap();
    bench.append_records(&records);
    bench.answer(0, batch, Err(AppendFailure::Unknown));
    bench.read(0, 99);
    // The record is not in the log at first, so the answer is "not run". It appears later.
    bench.advance(1);
    bench.request(0, "1000000-late", 1);
    bench.tick(0);
    let (batch, records) = bench.hosts[0].appends.pop().unwrap();
    bench.answer(0, batch, Err(AppendFailure::Unknown));
    (0..2).for_each(|_| bench.read(0, 99));
    bench.append_records(&records);
    (0..2).for_each(|host| bench.read(host, 99));
    bench.request(1, "1000000-late", 1);
    bench.request(0, "1000000-late", 1);
    assert_eq!(
        bench.request(0, "1000000-late", 1),
        ClaimAnswer::Pending,
        "the claim must not win twice"
    );
    // The same, but a second append of the record is refused before the first one appears.
    bench.advance(1);
    bench.request(0, "1000000-twice", 1);
    bench.tick(0);
    let (batch, records) = bench.hosts[0].appends.pop().unwrap();
    bench.answer(0, batch, Err(AppendFailure::Unknown));
    (0..2).for_each(|_| bench.read(0, 99));
    bench.request(0, "1000000-twice", 1);
    bench.advance(1);
    bench.tick(0);
    let (batch, again) = bench.hosts[0].appends.pop().unwrap();
    assert_eq!(
        again, records,
        "the claim must not be appended under another nonce"
    );
    bench.answer(0, batch, Err(AppendFailure::NotAppended));
    bench.append_records(&records);
    bench.read(0, 99);
    assert_eq!(bench.request(0, "1000000-twice", 1), ClaimAnswer::Won);
    // During a log outage, the first append is refused. The answer to the second one is lost, and
    // the topic cannot be read.
    bench.advance(1);
    bench.request(0, "1000000-down", 1);
    bench.tick(0);
    let (batch, _) = bench.hosts[0].appends.pop().unwrap();
    bench.answer(0, batch, Err(AppendFailure::NotAppended));
    bench.request(0, "1000000-down", 1);
    bench.advance(1);
    bench.tick(0);
    let (batch, records) = bench.hosts[0].appends.pop().unwrap();
    bench.answer(0, batch, Err(AppendFailure::Unknown));
    bench.advance(15);
    bench.tick(0);
    bench.append_records(&records);
    bench.read(0, 99);
    bench.request(0, "1000000-down", 1);
    // Records expire before they are read.
    bench.request(0, "1000000-gap", 1);
    bench.append(0);
    bench.append_records(&["a claim of another host that expires".to_owned()]);
    bench.append_records(&["{}".to_owned()]);
    bench.hosts[0].read += 2;
    bench.read(0, 99);
    bench.request(0, "1000000-new", 1);
    // A paused claimant resumes after the window has passed.
    bench.request(1, "1000000-paused", 1);
    bench.append(1);
    bench.advance(700);
    bench.read(1, 99);
    bench.tick(1);
    insta::assert_snapshot!(bench.text);
}

/// Guards against exceeded bounds, and against winning a key whose claim was dropped.
#[test]
fn batches_and_table_are_bounded() {
    let mut bench = ClaimBench::new(2);
    let settings = ClaimSettings {
        max_entries: 300,
        ..ClaimSettings::default()
    };
    bench.hosts[0].table = ClaimTable::new(settings, 1);
    (0..2).for_each(|host| bench.read(host, 99));
    for index in 0..300 {
        assert_eq!(
            bench.request(0, &format!("1000000-{index}"), 1),
            ClaimAnswer::Pending
        );
    }
    let full = ClaimAnswer::Refused(ResultCode::ClaimTableFull);
    assert_eq!(bench.request(0, "1000000-more", 1), full);
    bench.request(1, "1000020-foreign", 1);
    bench.append(1);
    bench.read(0, 99);
    (0..2).for_each(|_| bench.tick(0));
    assert_eq!(
        bench.hosts[0].appends.len(),
        1,
        "there must be one append per interval"
    );
    assert_eq!(bench.hosts[0].appends[0].1.len(), 256);
    bench.advance(15);
    bench.tick(0);
    assert_eq!(
        bench.request(0, "1000020-foreign", 1),
        full,
        "the claim of the key was dropped"
    );
    assert_eq!(
        bench.request(0, "1000021-new", 1),
        ClaimAnswer::Pending,
        "44 waits have expired"
    );
    bench.advance(646);
    bench.tick(0);
    assert_eq!(
        bench.request(0, "1000100-room", 1),
        ClaimAnswer::Pending,
        "expired keys are removed"
    );
    assert_eq!(bench.request(0, "1000061-room", 1), ClaimAnswer::Pending);
    bench.time -= Duration::from_secs(100);
    assert_eq!(
        bench.request(0, "1000000-0", 1),
        ClaimAnswer::Refused(ResultCode::KeyAge),
        "the clock was set back"
    );
}

/// Guards against two wins of one key in any interleaving of three hosts, which may restart. Their
/// appends may be lost, delayed, refused, or duplicated by a resend. Wins whose calls ended without
/// running do not count.
#[test]
fn no_key_is_won_twice() {
    let total = std::cell::Cell::new((0, 0));
    seeds::check_seeds(600, |input| {
        let mut bench = ClaimBench::new(3);
        let mut delayed: Vec<Vec<String>> = Vec::new();
        let mut outcomes: BTreeMap<ClaimKey, BTreeSet<String>> = BTreeMap::new();
        let keys = ["1000000-a", "1000010-b"];
        while !input.is_empty() {
            let host = input.choose_index(3)?;
            let key = keys[input.choose_index(2)?];
            match input.int_in_range(0..=16)? {
                0..=3 => {
                    if let ClaimAnswer::Known { result: Ok(result) } = bench.request(host, key, 1) {
                        outcomes.entry(claim_key(key)).or_default().insert(result);
                    }
                }
                4..=6 => bench.tick(host),
                7..=9 => bench.read(host, input.int_in_range(0..=4)?),
                10 => bench.read(host, 99),
                11 if !delayed.is_empty() => {
                    let records = delayed.remove(input.choose_index(delayed.len())?);
                    bench.append_records(&records);
                }
                12 => bench.advance(input.int_in_range(0..=8)?),
                13 => bench.finish(
                    host,
                    key,
                    Ok(format!(
                        "by {}",
                        bench.hosts[host].context.brief.incarnation
                    )),
                ),
                16 => bench.finish(host, key, Err(ResultCode::DeadlinePassed)),
                14 if input.ratio(1, 8)? => bench.hosts[host] = bench.new_host(),
                15 if input.ratio(1, 8)? => bench.advance(input.int_in_range(0..=700)?),
                _ => {
                    let Some((batch, records)) = bench.hosts[host].appends.pop() else {
                        continue;
                    };
                    let answer = match input.int_in_range(0..=3)? {
                        0 => Ok(bench.append_records(&records)),
                        1 => Err(AppendFailure::NotAppended),
                        2 => {
                            bench.append_records(&records);
                            Err(AppendFailure::Unknown)
                        }
                        _ => {
                            delayed.push(records);
                            Err(AppendFailure::Unknown)
                        }
                    };
                    bench.answer(host, batch, answer);
                }
            }
        }
        let (won, known) = total.get();
        total.set((won + bench.wins.len(), known + outcomes.len()));
        assert!(
            bench.wins.values().all(|count| *count <= 1),
            "{:?}\n{}",
            bench.wins,
            bench.text
        );
        assert!(
            outcomes.values().all(|results| results.len() <= 1),
            "{outcomes:?}\n{}",
            bench.text
        );
        Ok(())
    });
    let (won, known) = total.get();
    println!("{won} keys won and {known} outcomes seen in 600 interleavings");
    assert!(
        won > 300 && known > 50,
        "the interleavings covered too few cases: {won} keys won, {known} outcomes seen"
    );
}

/// Guards against malformed records that make a host panic.
#[test]
fn arbitrary_records_do_not_panic() {
    seeds::check_seeds(300, |input| {
        let mut bench = ClaimBench::new(1);
        bench.read(0, 99);
        bench.request(0, "1000000-a", 1);
        bench.tick(0);
        let valid = bench.hosts[0].appends[0].1[0].clone();
        let cut = input.choose_index(valid.len())?;
        let skip = input.int_in_range(0..=valid.len() - cut)?;
        let text = String::from_utf8_lossy(input.bytes(input.len() / 2)?).into_owned();
        let torn = format!("{}{text}{}", &valid[..cut], &valid[cut + skip..]);
        bench.append_records(&[text, torn, valid]);
        bench.read(0, 99);
        assert!(bench.wins.len() <= 1);
        Ok(())
    });
}
