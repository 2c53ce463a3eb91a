//! Open-loop load generator that speaks the callers' protocol.

use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::str::FromStr;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use clap::Parser;
use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use stand_ins::load::caller::LoadCaller;
use stand_ins::load::directory::HostDirectory;
use stand_ins::load::summary::LoadSummary;
use stand_ins::load::workload::{CrashWord, LoadBurst, Workload};
use stand_ins::server::start_logging;

/// Pause between discoveries while no address answers at start.
const DISCOVERY_PAUSE: Duration = Duration::from_millis(100);

#[derive(Parser)]
#[command(about = "Open-loop load generator; prints a JSON summary")]
struct LoadArgs {
    /// Address of an entry host for the first discovery; repeatable.
    #[arg(long = "entry", required = true)]
    entries: Vec<SocketAddr>,
    /// JSON workload file; without it a built-in mix is used.
    #[arg(long)]
    workload: Option<PathBuf>,
    /// Workspace as NAME=TOKEN; repeatable.
    #[arg(long = "workspace")]
    workspaces: Vec<NamedToken>,
    /// Requests per second; overrides the file.
    #[arg(long)]
    rate: Option<f64>,
    /// Duration in seconds; overrides the file.
    #[arg(long)]
    seconds: Option<f64>,
    /// Burst as START,LENGTH,FACTOR with times in seconds; repeatable.
    #[arg(long = "burst")]
    bursts: Vec<BurstFlag>,
    /// Word that crashes endpoints and the share of the model requests with it, as WORD,SHARE;
    /// overrides the file.
    #[arg(long)]
    crash_word: Option<CrashWord>,
    /// Pool of the model requests in the built-in mix.
    #[arg(long, default_value = "engines")]
    engine_pool: String,
    /// Pool of the calls in the built-in mix.
    #[arg(long, default_value = "orders")]
    service_pool: String,
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Times that a request is sent or resumed before it counts as failed.
    #[arg(long, default_value_t = 4)]
    attempts: u32,
    /// Deadline of every request in milliseconds; overrides the file.
    #[arg(long)]
    deadline_ms: Option<u64>,
    /// Time after its deadline for which an answer is awaited, in seconds.
    #[arg(long, default_value_t = 30.0)]
    late_seconds: f64,
    /// Time for which the first discovery is retried, in seconds.
    #[arg(long, default_value_t = 10.0)]
    discovery_seconds: f64,
    /// Open requests above which further ones are counted as not sent.
    #[arg(long, default_value_t = 4000)]
    max_open: u64,
    /// List every key with its outcome in the summary.
    #[arg(long)]
    list_keys: bool,
}

#[derive(Clone)]
struct NamedToken {
    name: String,
    token: String,
}

impl FromStr for NamedToken {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (name, token) = text.split_once('=').ok_or("expected NAME=TOKEN")?;
        Ok(Self {
            name: name.to_owned(),
            token: token.to_owned(),
        })
    }
}

#[derive(Clone, Copy)]
struct BurstFlag(LoadBurst);

impl FromStr for BurstFlag {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let parsed: Result<Vec<f64>, _> = text.split(',').map(str::parse).collect();
        match parsed.as_deref() {
            Ok([start_seconds, length_seconds, factor]) => Ok(Self(LoadBurst {
                start_seconds: *start_seconds,
                length_seconds: *length_seconds,
                factor: *factor,
            })),
            Ok(_) | Err(_) => Err("expected START,LENGTH,FACTOR".to_owned()),
        }
    }
}

#[compio::main]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    start_logging();
    let args = LoadArgs::parse();
    let workload = read_workload(&args)?;
    let unix_time = SystemTime::now().duration_since(UNIX_EPOCH)?;
    let caller = Rc::new(LoadCaller {
        directory: HostDirectory::new(args.entries.clone(), args.seed),
        run: u64::try_from(unix_time.as_millis())?,
        attempts: args.attempts.max(1),
        late_limit: Duration::try_from_secs_f64(args.late_seconds)?,
    });
    let keep = discover(
        &caller,
        Duration::try_from_secs_f64(args.discovery_seconds)?,
    )
    .await?;
    let refreshing = Rc::clone(&caller);
    compio::runtime::spawn(async move { refreshing.directory.keep_fresh(keep).await }).detach();
    let names = workload.mix.iter().map(|entry| entry.name.clone());
    let summary = Rc::new(RefCell::new(LoadSummary::new(names, args.list_keys)));
    let start = Instant::now();
    generate(&args, Rc::new(workload), &caller, &summary, start).await;
    let failures = caller.directory.failures();
    let described = summary
        .borrow()
        .describe(args.seed, start.elapsed(), failures);
    println!("{}", serde_json::to_string_pretty(&described)?);
    Ok(())
}

fn read_workload(args: &LoadArgs) -> Result<Workload, Box<dyn std::error::Error>> {
    let mut workload = match &args.workload {
        Some(path) => serde_json::from_str(&std::fs::read_to_string(path)?)?,
        None => Workload::built_in(10.0, 10.0, &args.engine_pool, &args.service_pool),
    };
    workload.rate_per_second = args.rate.unwrap_or(workload.rate_per_second);
    workload.duration_seconds = args.seconds.unwrap_or(workload.duration_seconds);
    workload
        .bursts
        .extend(args.bursts.iter().map(|flag| flag.0));
    workload.crash_word = args.crash_word.clone().or(workload.crash_word);
    for named in &args.workspaces {
        workload
            .workspaces
            .insert(named.name.clone(), named.token.clone());
    }
    for entry in &mut workload.mix {
        entry.deadline_ms = args.deadline_ms.unwrap_or(entry.deadline_ms);
    }
    workload.check()?;
    Ok(workload)
}

async fn discover(caller: &LoadCaller, limit: Duration) -> Result<Duration, String> {
    let deadline = Instant::now() + limit;
    loop {
        if let Some(keep) = caller.directory.refresh().await {
            return Ok(keep);
        }
        if Instant::now() >= deadline {
            return Err("no entry address answered discovery".to_owned());
        }
        compio::time::sleep(DISCOVERY_PAUSE).await;
    }
}

// Sends each request at its planned time, whatever became of the earlier ones.
async fn generate(
    args: &LoadArgs,
    workload: Rc<Workload>,
    caller: &Rc<LoadCaller>,
    summary: &Rc<RefCell<LoadSummary>>,
    start: Instant,
) {
    let open = Rc::new(Cell::new(0_u64));
    let mut tasks = FuturesUnordered::new();
    for planned in workload.plan(args.seed) {
        let due = start + planned.at;
        compio::time::sleep_until(due).await;
        if open.get() >= args.max_open {
            summary.borrow_mut().add_not_sent();
            continue;
        }
        open.set(open.get() + 1);
        let open = Rc::clone(&open);
        let caller = Rc::clone(caller);
        let summary = Rc::clone(summary);
        let workload = Rc::clone(&workload);
        tasks.push(compio::runtime::spawn(async move {
            let entry = &workload.mix[planned.class];
            let outcome = caller.run(&planned, entry, due).await;
            let deadline = Duration::from_millis(entry.deadline_ms);
            summary.borrow_mut().add(&entry.name, &outcome, deadline);
            open.set(open.get() - 1);
        }));
    }
    while tasks.next().await.is_some() {}
}
