//! A running fleet: its processes, their faults, and operators' commands.

use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::path::PathBuf;
use std::process::Command;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::{Duration, Instant};

use bytes::Bytes;
use http::Method;
use http_util::request_json;
use serde_json::{Value, json};

use crate::client::discover;
use crate::plan::FleetPlan;
use crate::process::{Process, binary, run_command};

const PEER_SECRET: &str = "fleet-peer-secret";
const MAX_REPLY_BYTES: usize = 64 * 1024 * 1024;
const READY_TIMEOUT: Duration = Duration::from_secs(15);
/// Most hosts in one discovery answer.
const DISCOVERY_LIMIT: usize = 16;
const CALLER_PORT: u16 = 7100;
const OPERATOR_PORT: u16 = 7200;
const PEER_PORT: u16 = 7300;

/// Waits until a condition holds.
///
/// # Panics
///
/// Panics with `what` when it does not hold within `limit`.
pub async fn wait_until<F: Future<Output = bool>>(
    what: &str,
    limit: Duration,
    mut condition: impl FnMut() -> F,
) {
    let began = Instant::now();
    while !condition().await {
        assert!(began.elapsed() < limit, "not within {limit:?}: {what}");
        compio::time::sleep(Duration::from_millis(20)).await;
    }
}

/// Indexes of the fault proxy's routes.
#[derive(Debug, Default)]
struct RouteTable {
    pairs: Vec<(SocketAddr, SocketAddr)>,
}

/// Running processes. Dropping the fleet kills them.
#[derive(Debug)]
pub struct Fleet {
    pub plan: FleetPlan,
    pub daemons: Vec<Process>,
    pub engines: Vec<Process>,
    pub services: Vec<Process>,
    pub log: Process,
    /// One list for all daemons, or one for each in a proxied fleet.
    pub lists: Vec<Process>,
    pub proxy: Option<Process>,
    routes: RouteTable,
    /// Second and third byte of all loopback addresses of this fleet.
    net: (u8, u8),
    directory: PathBuf,
}

impl Fleet {
    /// Starts everything, publishes the document and waits until every pool has an owner.
    ///
    /// # Panics
    ///
    /// Panics if a process does not start or the fleet does not become ready.
    pub async fn start(plan: FleetPlan) -> Self {
        let fleet = Self::start_processes(plan);
        fleet.wait_synchronised().await;
        let document = fleet.plan.document.to_string();
        let file = fleet.directory.join("config.json");
        std::fs::write(&file, document).expect("the configuration file can be written");
        let path = file.to_string_lossy().into_owned();
        let (code, reply) = fleet
            .operate(0, PEER_SECRET, &["config", "publish", &path])
            .await;
        assert_eq!(code, 0, "publishing the configuration failed: {reply}");
        fleet.wait_owned().await;
        fleet
    }

    /// Starts all processes and waits for nothing but their ready lines.
    ///
    /// # Panics
    ///
    /// Panics if a process does not start.
    #[must_use]
    pub fn start_processes(plan: FleetPlan) -> Self {
        static NEXT: AtomicU8 = AtomicU8::new(1);
        let net = (
            16 + u8::try_from(std::process::id() % 200).unwrap_or(0),
            NEXT.fetch_add(1, Ordering::Relaxed),
        );
        let directory = std::env::temp_dir().join(format!(
            "wisteriapin-fleet-{}-{}",
            std::process::id(),
            net.1
        ));
        std::fs::create_dir_all(&directory).expect("the log directory can be made");
        let spot = |host: u8, port: u16| spot(net, host, port);
        let mut command = Command::new(binary("stand-in-log"));
        command.args(["--listen", &spot(1, 7400).to_string()]);
        command.args(&plan.log_arguments);
        let log = Process::start("log", command, &directory);
        let mut fleet = Self {
            log,
            daemons: Vec::new(),
            engines: Vec::new(),
            services: Vec::new(),
            lists: Vec::new(),
            proxy: None,
            routes: RouteTable::default(),
            net,
            directory,
            plan,
        };
        fleet.start_endpoints();
        if fleet.plan.proxied || fleet.plan.proxied_engines {
            fleet.start_proxy();
        }
        fleet.start_lists();
        for index in 0..fleet.plan.daemons {
            let daemon = fleet.start_daemon(index);
            fleet.daemons.push(daemon);
        }
        fleet
    }

    fn spot(&self, host: u8, port: u16) -> SocketAddr {
        spot(self.net, host, port)
    }

    fn start_endpoints(&mut self) {
        for (index, engine) in (60_u8..).zip(&self.plan.engines) {
            let mut command = Command::new(binary("stand-in-engine"));
            command.args(["--listen", &self.spot(index, 8000).to_string()]);
            command.args(["--model", &engine.pool, "--version", &engine.version]);
            command.args(&engine.arguments);
            let process = Process::start(&engine.name, command, &self.directory);
            self.engines.push(process);
        }
        for (index, service) in (140_u8..).zip(&self.plan.services) {
            let mut command = Command::new(binary("stand-in-service"));
            command.args(["--listen", &self.spot(index, 8000).to_string()]);
            command.args(&service.arguments);
            let process = Process::start(&service.name, command, &self.directory);
            self.services.push(process);
        }
    }

    /// Starts an ended engine again at its address.
    ///
    /// # Panics
    ///
    /// Panics if the engine does not start.
    pub fn restart_engine(&mut self, index: usize, arguments: &[&str]) {
        self.engines[index].kill();
        let engine = &self.plan.engines[index];
        let mut command = Command::new(binary("stand-in-engine"));
        command.args(["--listen", &self.engines[index].address.to_string()]);
        command.args(["--model", &engine.pool, "--version", &engine.version]);
        command.args(arguments);
        self.engines[index] = Process::start(&engine.name, command, &self.directory);
    }

    /// One route for each pair of hosts, for each way from a host to the log, and for each engine.
    fn start_proxy(&mut self) {
        let count = if self.plan.proxied {
            self.plan.daemons
        } else {
            0
        };
        let mut targets = Vec::new();
        if self.plan.proxied_engines {
            for (index, engine) in self.engines.iter().enumerate() {
                targets.push((engine_port(index), engine.address));
            }
        }
        for from in 0..count {
            for to in 0..count {
                targets.push((route_port(from, to), self.peer_address(to)));
            }
            targets.push((log_port(from), self.log.address));
        }
        let mut command = Command::new(binary("fault-proxy"));
        command.args(["--listen", &self.spot(2, 9000).to_string()]);
        for (port, target) in targets {
            let listen = self.spot(2, port);
            command.args(["--route", &format!("{listen}={target}")]);
            self.routes.pairs.push((listen, target));
        }
        self.proxy = Some(Process::start("proxy", command, &self.directory));
    }

    fn start_lists(&mut self) {
        let count = if self.plan.proxied {
            self.plan.daemons
        } else {
            1
        };
        for index in 0..count {
            let hosts = json!({ "hosts": self.listing(index) });
            let file = self.directory.join(format!("hosts-{index}.json"));
            std::fs::write(&file, hosts.to_string()).expect("the list can be written");
            let mut command = Command::new(binary("stand-in-hosts"));
            let host = 3 + u8::try_from(index).unwrap_or(0);
            command.args(["--listen", &self.spot(host, 7500).to_string()]);
            command.args(["--lag-ms", &self.plan.list_lag_ms.to_string()]);
            command.arg("--hosts").arg(&file);
            let name = format!("list-{index}");
            let process = Process::start(&name, command, &self.directory);
            self.lists.push(process);
        }
    }

    /// The host list as host `viewer` sees it.
    fn listing(&self, viewer: usize) -> Vec<Value> {
        let region = &self.plan.region;
        let mut hosts = Vec::new();
        for index in 0..self.plan.daemons {
            let peer = if self.plan.proxied && index != viewer {
                self.spot(2, route_port(viewer, index))
            } else {
                self.peer_address(index)
            };
            hosts.push(json!({
                "name": daemon_name(index), "address": self.caller(index), "peer_address": peer,
                "kind": "entry", "region": region, "zone": self.daemon_zone(index),
                "state": "live",
            }));
        }
        for (index, engine) in self.plan.engines.iter().enumerate() {
            if engine.listed {
                hosts.push(self.engine_entry(index, "live"));
            }
        }
        for (process, service) in self.services.iter().zip(&self.plan.services) {
            hosts.push(json!({
                "name": service.name, "address": process.address, "kind": "service",
                "region": region, "zone": service.zone, "pool": service.pool, "version": "v1",
                "state": "live",
            }));
        }
        hosts
    }

    /// The list's entry of an engine, live or leaving.
    #[must_use]
    pub fn engine_entry(&self, index: usize, state: &str) -> Value {
        let engine = &self.plan.engines[index];
        let address = if self.plan.proxied_engines {
            self.spot(2, engine_port(index))
        } else {
            self.engines[index].address
        };
        json!({
            "name": engine.name, "address": address, "kind": "engine",
            "region": self.plan.region, "zone": engine.zone, "pool": engine.pool,
            "version": engine.version, "state": state,
        })
    }

    /// Puts an entry into every host list; it shows after the list's lag.
    ///
    /// # Panics
    ///
    /// Panics if a list does not answer.
    pub async fn list(&self, entry: &Value) {
        for list in &self.lists {
            post(list.address, "/admin/hosts", &json!({ "upsert": entry })).await;
        }
    }

    /// Removes an entry from every host list.
    ///
    /// # Panics
    ///
    /// Panics if a list does not answer.
    pub async fn unlist(&self, name: &str) {
        for list in &self.lists {
            post(list.address, "/admin/hosts", &json!({ "remove": name })).await;
        }
    }

    fn daemon_zone(&self, index: usize) -> &str {
        &self.plan.zones[index % self.plan.zones.len()]
    }

    fn daemon_host(index: usize) -> u8 {
        20 + u8::try_from(index).unwrap_or(0)
    }

    /// Address of a daemon for callers.
    #[must_use]
    pub fn caller(&self, index: usize) -> SocketAddr {
        self.spot(Self::daemon_host(index), CALLER_PORT)
    }

    /// Address of a daemon for operators.
    #[must_use]
    pub fn operator(&self, index: usize) -> SocketAddr {
        self.spot(Self::daemon_host(index), OPERATOR_PORT)
    }

    /// Address of a daemon for its peers.
    #[must_use]
    pub fn peer_address(&self, index: usize) -> SocketAddr {
        self.spot(Self::daemon_host(index), PEER_PORT)
    }

    fn start_daemon(&self, index: usize) -> Process {
        let log = if self.plan.proxied {
            self.spot(2, log_port(index))
        } else {
            self.log.address
        };
        let list = &self.lists[index.min(self.lists.len() - 1)];
        let mut command = Command::new(binary("wisteriapind"));
        command.env("WISTERIAPIN_PEER_SECRET", PEER_SECRET);
        command.envs(self.plan.daemon_environment.iter().cloned());
        let seed = (index + 1).to_string();
        for (flag, value) in [
            ("--name", daemon_name(index)),
            ("--region", self.plan.region.clone()),
            ("--zone", self.daemon_zone(index).to_owned()),
            ("--caller-address", self.caller(index).to_string()),
            ("--operator-address", self.operator(index).to_string()),
            ("--peer-address", self.peer_address(index).to_string()),
            ("--log-address", log.to_string()),
            ("--host-list-address", list.address.to_string()),
            ("--seed", seed),
        ] {
            command.args([flag, &value]);
        }
        command.args(&self.plan.daemon_arguments);
        Process::start(&daemon_name(index), command, &self.directory)
    }

    /// Starts a killed daemon again at its addresses, with nothing of its old state.
    ///
    /// # Panics
    ///
    /// Panics if it does not start.
    pub fn restart_daemon(&mut self, index: usize) {
        self.daemons[index].kill();
        self.daemons[index] = self.start_daemon(index);
    }

    /// Runs `wisteriapin` with operator arguments against one daemon; returns its exit code and
    /// its JSON output.
    ///
    /// # Panics
    ///
    /// Panics if the program cannot be run.
    pub async fn operate(&self, daemon: usize, token: &str, arguments: &[&str]) -> (i32, Value) {
        let mut command = Command::new(binary("wisteriapin"));
        command
            .args(arguments)
            .args(["--output", "json"])
            .args(["--endpoint", &self.operator(daemon).to_string()])
            .env("WISTERIAPIN_OPERATOR_TOKEN", token);
        let output = run_command(command).await;
        let text = String::from_utf8_lossy(&output.stdout);
        let last = text.lines().last().unwrap_or("");
        let value = serde_json::from_str(&text)
            .or_else(|_| serde_json::from_str(last))
            .unwrap_or_else(|_| {
                Value::String(String::from_utf8_lossy(&output.stderr).into_owned())
            });
        (output.status.code().unwrap_or(-1), value)
    }

    /// Status of a daemon as the operator `night` sees it; null if it cannot be reached.
    pub async fn status(&self, daemon: usize) -> Value {
        let (code, value) = self.operate(daemon, "night-token", &["status"]).await;
        if code == 0 { value } else { Value::Null }
    }

    /// Waits until every daemon names all hosts in discovery, or as many as one answer holds.
    ///
    /// # Panics
    ///
    /// Panics if that takes longer than 15 s.
    pub async fn wait_synchronised(&self) {
        for index in 0..self.plan.daemons {
            wait_until("every host is live", READY_TIMEOUT, || async {
                let hosts = discover(self.caller(index)).await;
                let expected = self.plan.daemons.min(DISCOVERY_LIMIT);
                hosts.is_ok_and(|hosts| hosts.len() == expected)
            })
            .await;
        }
    }

    /// Waits until every pool has an owner.
    ///
    /// # Panics
    ///
    /// Panics if that takes longer than 15 s.
    pub async fn wait_owned(&self) {
        wait_until("every pool has an owner", READY_TIMEOUT, || async {
            let status = self.status(0).await;
            let pools = status["pools"].as_array().cloned().unwrap_or_default();
            // An unowned pool has an empty owner.
            let owned = |pool: &Value| {
                pool["owner"]
                    .as_str()
                    .is_some_and(|owner| !owner.is_empty())
            };
            !pools.is_empty() && pools.iter().all(owned)
        })
        .await;
    }

    /// Index of the daemon that owns a pool, as daemon `viewer` sees it.
    pub async fn owner(&self, viewer: usize, pool: &str) -> Option<usize> {
        let status = self.status(viewer).await;
        let pools = status["pools"].as_array()?.clone();
        let entry = pools.iter().find(|entry| entry["name"] == pool)?;
        let owner = entry["owner"].as_str()?;
        (0..self.plan.daemons).find(|index| daemon_name(*index) == owner)
    }

    /// Home (incarnation) of a daemon.
    ///
    /// # Panics
    ///
    /// Panics if the daemon does not answer or is not live.
    pub async fn home(&self, daemon: usize) -> String {
        let address = self.caller(daemon);
        let hosts = discover(address).await.expect("the daemon answers");
        let own = hosts.into_iter().find(|(listed, _)| *listed == address);
        own.expect("the daemon names itself").1
    }

    /// Changes the faults of a stand-in.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not answer or refuses.
    pub async fn behave(&self, stand_in: &Process, faults: &Value) {
        post(stand_in.address, "/admin/behaviour", faults).await;
    }

    /// What a stand-in saw.
    ///
    /// # Panics
    ///
    /// Panics if the stand-in does not answer.
    pub async fn stats(&self, stand_in: &Process) -> Value {
        let call = request_json(
            stand_in.address,
            Method::GET,
            "/admin/stats",
            None,
            MAX_REPLY_BYTES,
        );
        let (_, body) = call.await.expect("the stand-in answers");
        serde_json::from_slice(&body).expect("the statistics are JSON")
    }

    /// Sets faults on the ways between a daemon and the given others, both directions.
    ///
    /// # Panics
    ///
    /// Panics if the fleet is not proxied.
    pub async fn fault_peers(&self, daemon: usize, others: &[usize], faults: &Value) {
        let mut ports = Vec::new();
        for other in others {
            ports.push(route_port(daemon, *other));
            ports.push(route_port(*other, daemon));
        }
        self.fault_ports(&ports, faults).await;
    }

    /// Sets faults on the way between a daemon and the log.
    ///
    /// # Panics
    ///
    /// Panics if the fleet is not proxied.
    pub async fn fault_log(&self, daemon: usize, faults: &Value) {
        self.fault_ports(&[log_port(daemon)], faults).await;
    }

    /// Sets faults on the way from all daemons to an engine.
    ///
    /// # Panics
    ///
    /// Panics if the engines are not proxied.
    pub async fn fault_engine(&self, engine: usize, faults: &Value) {
        self.fault_ports(&[engine_port(engine)], faults).await;
    }

    async fn fault_ports(&self, ports: &[u16], faults: &Value) {
        let proxy = self.proxy.as_ref().expect("the fleet is proxied");
        let routes: Vec<usize> = self
            .routes
            .pairs
            .iter()
            .enumerate()
            .filter(|(_, (listen, _))| ports.contains(&listen.port()))
            .map(|(index, _)| index)
            .collect();
        let mut command = faults.clone();
        command["routes"] = json!(routes);
        post(proxy.address, "/admin/behaviour", &command).await;
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        // The logs of a failed test are kept.
        if !std::thread::panicking() {
            let _ = std::fs::remove_dir_all(&self.directory);
        }
    }
}

fn spot(net: (u8, u8), host: u8, port: u16) -> SocketAddr {
    SocketAddr::new(IpAddr::V4(Ipv4Addr::new(127, net.0, net.1, host)), port)
}

fn daemon_name(index: usize) -> String {
    format!("entry-{}", index + 1)
}

fn route_port(from: usize, to: usize) -> u16 {
    10_000 + u16::try_from(from * 100 + to).unwrap_or(0)
}

fn engine_port(engine: usize) -> u16 {
    9_500 + u16::try_from(engine).unwrap_or(0)
}

fn log_port(from: usize) -> u16 {
    9_100 + u16::try_from(from).unwrap_or(0)
}

async fn post(address: SocketAddr, path: &str, body: &Value) {
    let body = Bytes::from(body.to_string());
    let call = request_json(address, Method::POST, path, Some(body), MAX_REPLY_BYTES);
    let (status, reply) = call.await.expect("the stand-in answers");
    assert!(
        status.is_success(),
        "{address}{path}: {status}: {}",
        String::from_utf8_lossy(&reply)
    );
}
