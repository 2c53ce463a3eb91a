//! One child process with its ready line, its log file and its signals.

use std::fs::File;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use futures_channel::oneshot;
use rustix::process::{Pid, Signal, kill_process};

/// Longest time from start to the ready line.
const READY_TIMEOUT: Duration = Duration::from_secs(10);

/// Path of a binary of this workspace: beside the running one, or one directory above it.
///
/// # Panics
///
/// Panics if the workspace has not been built.
#[must_use]
pub fn binary(name: &str) -> PathBuf {
    let own = std::env::current_exe().expect("the path of this process is known");
    let found = own
        .ancestors()
        .skip(1)
        .take(2)
        .map(|directory| directory.join(name))
        .find(|path| path.exists());
    found.unwrap_or_else(|| panic!("{name} is not built; run `cargo build --workspace` first"))
}

/// Runs a command to its end without blocking the caller's own streams.
///
/// # Panics
///
/// Panics if the command cannot be run.
pub async fn run_command(mut command: Command) -> Output {
    let (sender, receiver) = oneshot::channel();
    std::thread::spawn(move || {
        let _ = sender.send(command.output());
    });
    let output = receiver.await.expect("the thread answers");
    output.expect("the command can be run")
}

/// A running process of the fleet. Dropping it kills the process.
#[derive(Debug)]
pub struct Process {
    pub name: String,
    pub address: SocketAddr,
    child: Child,
    pub log_path: PathBuf,
}

impl Process {
    /// Starts a binary and waits for its line `listening on ADDRESS`.
    ///
    /// # Panics
    ///
    /// Panics if the process cannot be started or ends before it is ready.
    #[must_use]
    pub fn start(name: &str, mut command: Command, directory: &Path) -> Self {
        let log_path = directory.join(format!("{name}.log"));
        let log = File::options()
            .create(true)
            .append(true)
            .open(&log_path)
            .expect("the log file can be opened");
        let mut child = command
            .stdin(Stdio::null())
            .stdout(Stdio::piped())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|error| panic!("{name} did not start: {error}"));
        let output = child.stdout.take().expect("standard output is piped");
        let (sender, receiver) = std::sync::mpsc::channel();
        // Reads on after the ready line, so that the process never blocks on a full pipe.
        std::thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                let _ = sender.send(line);
            }
        });
        let began = Instant::now();
        let address = loop {
            let left = READY_TIMEOUT.saturating_sub(began.elapsed());
            let line = receiver.recv_timeout(left).unwrap_or_else(|_| {
                let log = std::fs::read_to_string(&log_path).unwrap_or_default();
                panic!("{name} did not become ready; its log:\n{log}")
            });
            if let Some(address) = line.strip_prefix("listening on ") {
                break address.parse().expect("the ready line names an address");
            }
        };
        Self {
            name: name.to_owned(),
            address,
            child,
            log_path,
        }
    }

    fn signal(&self, signal: Signal) {
        let pid = Pid::from_child(&self.child);
        kill_process(pid, signal).expect("the process can be signalled");
    }

    /// Sends SIGKILL and waits for the end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// Sends SIGKILL and does not wait, for a process that tests still borrow.
    pub fn crash(&self) {
        self.signal(Signal::KILL);
    }

    /// Sends SIGSTOP.
    pub fn pause(&self) {
        self.signal(Signal::STOP);
    }

    /// Sends SIGCONT.
    pub fn resume(&self) {
        self.signal(Signal::CONT);
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::TERM);
    }

    /// The exit code, if the process has ended; -1 for an end by a signal.
    ///
    /// # Panics
    ///
    /// Panics if the state of the process cannot be read.
    pub fn exit_code(&mut self) -> Option<i32> {
        let status = self
            .child
            .try_wait()
            .expect("the process can be waited for");
        status.map(|status| status.code().unwrap_or(-1))
    }

    /// Process id, for measurements.
    #[must_use]
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// What the process has logged so far.
    #[must_use]
    pub fn log(&self) -> String {
        std::fs::read_to_string(&self.log_path).unwrap_or_default()
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if std::thread::panicking() {
            self.describe();
        }
        self.kill();
    }
}

/// Lines of a log that a failed test shows.
const SHOWN_LINES: usize = 15;

impl Process {
    /// Shows whether the process had ended by itself, and the end of its log: where a test fails on
    /// a machine that is gone afterwards, this is all that is left.
    fn describe(&mut self) {
        let state = match self.child.try_wait() {
            Ok(Some(status)) => format!("ended: {status}"),
            Ok(None) => "was running".to_owned(),
            Err(error) => format!("unknown: {error}"),
        };
        let log = std::fs::read_to_string(&self.log_path).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        let shown = lines[lines.len().saturating_sub(SHOWN_LINES)..].join("\n");
        eprintln!("{} {state}; the end of its log:\n{shown}", self.name);
    }
}
