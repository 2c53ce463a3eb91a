//! Measures the memory of the configuration state at the target of 40,000 workspaces.

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use wisteriapin::config_state::{ApplyOutcome, ConfigState};
use wisteriapin::messages::ConfigRecord;

static LIVE_BYTES: AtomicUsize = AtomicUsize::new(0);
static PEAK_BYTES: AtomicUsize = AtomicUsize::new(0);

/// Counts live bytes, because the resident size of the process includes freed memory.
struct CountingAllocator;

// SAFETY: every call is passed on unchanged to the system allocator.
unsafe impl GlobalAlloc for CountingAllocator {
    unsafe fn alloc(&self, layout: Layout) -> *mut u8 {
        let live = LIVE_BYTES.fetch_add(layout.size(), Ordering::Relaxed) + layout.size();
        PEAK_BYTES.fetch_max(live, Ordering::Relaxed);
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(&self, pointer: *mut u8, layout: Layout) {
        LIVE_BYTES.fetch_sub(layout.size(), Ordering::Relaxed);
        unsafe { System.dealloc(pointer, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: CountingAllocator = CountingAllocator;

/// Guards against a state that takes too much memory. Prints the figures with `--nocapture`.
#[test]
#[ignore = "measurement; run with --ignored --nocapture"]
fn forty_thousand_workspaces_fit() {
    let workspaces: Vec<String> = (0..40_000)
        .map(|index| format!(r#"{{"name":"workspace-{index}","token_sha256":"{index:064x}"}}"#))
        .collect();
    let document = format!(
        r#"{{"schema":1,"zones":[{{"name":"a","region":"r","state":"in"}}],"workspaces":[{}]}}"#,
        workspaces.join(",")
    );
    drop(workspaces);
    let publish = format!(r#"{{"Publish":{{"expected_version":0,"document":{document}}}}}"#);
    let set_zone = r#"{"SetZone":{"zone":"a","state":"out"}}"#.to_owned();
    drop(document);
    let mut state = ConfigState::default();
    for (offset, change) in [publish, set_zone].into_iter().enumerate() {
        let data = format!(r#"{{"id":"{offset}","author":"ann","change":{change}}}"#);
        let record = ConfigRecord {
            offset: offset as u64,
            at: Duration::from_secs(1),
            data,
        };
        drop(change);
        let before = LIVE_BYTES.load(Ordering::Relaxed);
        PEAK_BYTES.store(before, Ordering::Relaxed);
        let started = Instant::now();
        assert_eq!(state.apply(&record), ApplyOutcome::Applied);
        let elapsed = started.elapsed();
        let grown = LIVE_BYTES.load(Ordering::Relaxed) - before;
        let peak = PEAK_BYTES.load(Ordering::Relaxed) - before;
        println!(
            "record of {} bytes: {elapsed:?}, state +{grown} bytes, peak +{peak} bytes",
            record.data.len()
        );
        assert!(grown < 10_000_000, "the state takes {grown} bytes");
    }
    println!("snapshot: {} bytes", state.snapshot().state.len());
}
