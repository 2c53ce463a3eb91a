//! Case 8: a part that crashes engines isn't found behind 32 other parts of a long prompt.

#[path = "../stand_in_2.rs"]
mod stand_in;

use stand_in::*;
use std::process::ExitCode;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::thread::{scope, sleep};
use std::time::{Duration, Instant};

/// `contactMs`.
const CONTACT: Duration = Duration::from_secs(3);
/// Requests, new ones or repeats, that may reach engines later than that after the fifth crash.
const PERMITTED: usize = 3;
const DEADLY_PART: &str = "dead0001";
/// Parts of a long conversation that come before the deadly part; sound prompts share them.
const PARTS_BEFORE: u32 = 36;
const DEADLY_INTERVAL: Duration = Duration::from_secs(2);
const SOUND_INTERVAL: Duration = Duration::from_millis(50);
const LENGTH: Duration = Duration::from_secs(40);

fn main() -> ExitCode {
    let record = Record::new();
    let store = Store::default();
    let text = config(1, &[route("advice", "streaming", "pool", 1, 10_000)], &["pool"], &["key"]);
    store.put("keyed.op", "config", &text);
    let deadly: Arc<Mutex<Vec<Instant>>> = Arc::default();
    for number in 0..6 {
        let (record, deadly) = (record.clone(), Arc::clone(&deadly));
        Engine::start(&store, &format!("pool{number}"), "pool", 9, Duration::from_secs(3), move |engine, request, stream| {
            let id = request.header("wisteriapin-request-id");
            if request.header("wisteriapin-prefix-hash").contains(DEADLY_PART) {
                deadly.lock().unwrap().push(Instant::now());
                sleep(Duration::from_millis(40));
                record.add(format!("engine {} begins {id} and crashes", engine.name));
                return Next::Crash;
            }
            record.add(format!("engine {} runs {id}", engine.name));
            sleep(Duration::from_millis(40));
            if !begin_stream(request, stream) {
                return Next::Close;
            }
            for event in 1..=10 {
                if !write_event(stream, event) {
                    return Next::Close;
                }
                sleep(Duration::from_millis(15));
            }
            if end_stream(stream) { Next::Keep } else { Next::Close }
        });
    }
    let fleet = Fleet::start(&store, 3);
    let addresses: Vec<_> = fleet.hosts.iter().map(Host::frontend).collect();
    // Sets how many parts stand before the deadly one, to compare.
    let parts_before = std::env::var("PARTS").ok().and_then(|text| text.parse().ok()).unwrap_or(PARTS_BEFORE);
    let conversation: Vec<_> = (0..parts_before).map(|part| format!("c0{part:04x}:40")).collect();
    let conversation = conversation.join(",");
    let ends = AtomicBool::new(false);
    let send = |record: &Record, id: String, host: usize, parts: String, body: String| {
        let (record, address) = (record.clone(), addresses[host]);
        std::thread::spawn(move || {
            let headers = format!("wisteriapin-model: m\r\nwisteriapin-token-usage: 2000,70\r\nwisteriapin-prefix-hash: {parts}\r\n");
            let text = request_text("POST", "/advice/1", &id, "key", 10_000, &headers, &body);
            record.add(format!("requester sends {id} to machine {}", host + 1));
            let answer = call(address, &text);
            let status = answer.as_ref().map_or(0, Message::status);
            let is_whole = answer.is_some_and(|answer| answer.is_whole);
            record.add(format!("requester gets {status} for {id}, whole: {is_whole}"));
        });
    };
    scope(|scope| {
        let (record, ends, send, conversation) = (&record, &ends, &send, &conversation);
        scope.spawn(move || {
            let mut random = Random::new(u64::from(std::process::id()));
            let mut next = Instant::now();
            for number in 0.. {
                if ends.load(Ordering::SeqCst) {
                    break;
                }
                let parts = format!("{conversation},5a{number:06x}:100");
                send(record, format!("sound{number}"), random.below(3) as usize, parts, format!("prompt {number}"));
                next += SOUND_INTERVAL;
                sleep(next.saturating_duration_since(Instant::now()));
            }
        });
        if has_trouble() {
            scope.spawn(move || {
                let mut random = Random::new(u64::from(std::process::id()) + 1);
                let mut next = Instant::now() + Duration::from_secs(2);
                for number in 0.. {
                    sleep(next.saturating_duration_since(Instant::now()));
                    if ends.load(Ordering::SeqCst) {
                        break;
                    }
                    next += DEADLY_INTERVAL;
                    let parts = format!("{conversation},{DEADLY_PART}:100,d0{number:06x}:100");
                    send(record, format!("deadly{number}"), random.below(3) as usize, parts, format!("prompt d{number}"));
                }
            });
        }
        sleep(LENGTH);
        ends.store(true, Ordering::SeqCst);
    });
    sleep(Duration::from_secs(1));
    drop(fleet);
    let deadly = deadly.lock().unwrap();
    let late = deadly.get(4).map_or(0, |fifth| deadly.iter().filter(|at| **at > *fifth + CONTACT + Duration::from_millis(100)).count());
    record.add(format!("{} requests with the part reached engines, {late} of them later than 3 s after the fifth crash", deadly.len()));
    let broken = (late > PERMITTED).then(|| {
        format!("BUDGET: {late} requests with the part reached engines later than 3 s after the fifth crash, {} in all", deadly.len())
    });
    verdict(&record, broken)
}
