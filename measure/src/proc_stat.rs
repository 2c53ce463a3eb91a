//! Processor time and memory of a process, from `/proc`.

use std::time::Duration;

/// Processor time of all threads of a process. The scheduler's figures count nanoseconds; those in
/// `/proc/PID/stat` count steps of 10 ms, too coarse for an idle daemon.
///
/// # Panics
///
/// Panics if the process does not run.
#[must_use]
pub fn processor_time(id: u32) -> Duration {
    let threads = std::fs::read_dir(format!("/proc/{id}/task")).expect("the process runs");
    let time = |path: std::path::PathBuf| -> Option<u64> {
        let text = std::fs::read_to_string(path.join("schedstat")).ok()?;
        text.split_whitespace().next()?.parse().ok()
    };
    let times = threads.filter_map(|thread| time(thread.ok()?.path()));
    Duration::from_nanos(times.sum())
}

/// Resident memory in bytes.
///
/// # Panics
///
/// Panics if the process does not run.
#[must_use]
pub fn resident_bytes(id: u32) -> u64 {
    let text = std::fs::read_to_string(format!("/proc/{id}/status")).expect("the process runs");
    let line = text.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|rest| rest.split_whitespace().next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) * 1024
}
