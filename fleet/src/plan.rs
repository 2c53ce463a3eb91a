//! What a fleet consists of.

use std::fmt::Write as _;

use serde_json::{Value, json};
use sha2::{Digest, Sha256};

/// One model engine.
#[derive(Clone, Debug)]
pub struct EnginePlan {
    pub name: String,
    pub zone: String,
    pub pool: String,
    pub version: String,
    /// Further arguments of `stand-in-engine`.
    pub arguments: Vec<String>,
    /// Listed from the start.
    pub listed: bool,
}

impl EnginePlan {
    #[must_use]
    pub fn new(name: &str, zone: &str, arguments: &[&str]) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            pool: "assistant".to_owned(),
            version: "v1".to_owned(),
            arguments: arguments.iter().map(ToString::to_string).collect(),
            listed: true,
        }
    }

    #[must_use]
    pub fn version(mut self, version: &str) -> Self {
        version.clone_into(&mut self.version);
        self
    }

    /// Starts the engine without listing it.
    #[must_use]
    pub fn unlisted(mut self) -> Self {
        self.listed = false;
        self
    }
}

/// One plain service endpoint.
#[derive(Clone, Debug)]
pub struct ServicePlan {
    pub name: String,
    pub zone: String,
    pub pool: String,
    /// Further arguments of `stand-in-service`.
    pub arguments: Vec<String>,
}

impl ServicePlan {
    #[must_use]
    pub fn new(name: &str, zone: &str, arguments: &[&str]) -> Self {
        Self {
            name: name.to_owned(),
            zone: zone.to_owned(),
            pool: "orders".to_owned(),
            arguments: arguments.iter().map(ToString::to_string).collect(),
        }
    }
}

/// A whole fleet.
#[derive(Clone, Debug)]
pub struct FleetPlan {
    pub region: String,
    pub zones: Vec<String>,
    /// Entry hosts; host i stands in zone i modulo the number of zones.
    pub daemons: usize,
    pub engines: Vec<EnginePlan>,
    pub services: Vec<ServicePlan>,
    /// Configuration document that is published at the start.
    pub document: Value,
    pub list_lag_ms: u64,
    /// Further arguments of `stand-in-log`.
    pub log_arguments: Vec<String>,
    /// Further arguments of each daemon.
    pub daemon_arguments: Vec<String>,
    /// Further environment variables of each daemon, with their values.
    pub daemon_environment: Vec<(String, String)>,
    /// Puts the fault proxy between the daemons, and between them and the log.
    pub proxied: bool,
    /// Puts the fault proxy between all daemons and each engine, one route per engine.
    pub proxied_engines: bool,
}

impl FleetPlan {
    /// The given number of hosts in krk-a, krk-b and kat-c, with the default document.
    #[must_use]
    pub fn new(daemons: usize) -> Self {
        Self {
            region: "pl-south".to_owned(),
            zones: ["krk-a", "krk-b", "kat-c"].map(str::to_owned).to_vec(),
            daemons,
            engines: Vec::new(),
            services: Vec::new(),
            document: document(),
            list_lag_ms: 200,
            log_arguments: Vec::new(),
            daemon_arguments: Vec::new(),
            daemon_environment: Vec::new(),
            proxied: false,
            proxied_engines: false,
        }
    }

    #[must_use]
    pub fn engine(mut self, engine: EnginePlan) -> Self {
        self.engines.push(engine);
        self
    }

    #[must_use]
    pub fn service(mut self, service: ServicePlan) -> Self {
        self.services.push(service);
        self
    }

    #[must_use]
    pub fn proxied(mut self) -> Self {
        self.proxied = true;
        self
    }

    /// Lists each engine at an address of the fault proxy.
    #[must_use]
    pub fn proxied_engines(mut self) -> Self {
        self.proxied_engines = true;
        self
    }
}

/// Digest of a token as the configuration holds it.
#[must_use]
pub fn token_digest(token: &str) -> String {
    let digest = Sha256::digest(token.as_bytes());
    digest.iter().fold(String::new(), |mut text, byte| {
        let _ = write!(text, "{byte:02x}");
        text
    })
}

/// Configuration with tiers 0 to 3, three zones, the pools `assistant` (engines) and `orders`
/// (services), the workspaces `big` and `small` and the operators `night` and `day`. The token of
/// each is its name followed by `-token`.
#[must_use]
pub fn document() -> Value {
    let holder =
        |name: &str| json!({"name": name, "token_sha256": token_digest(&format!("{name}-token"))});
    let zone = |name: &str| json!({"name": name, "region": "pl-south", "state": "in"});
    json!({
        "schema": 1,
        "tiers": [
            {"tier": 0, "name": "urgent", "default_deadline_ms": 10_000},
            {"tier": 1, "name": "normal", "default_deadline_ms": 30_000},
            {"tier": 2, "name": "document", "default_deadline_ms": 120_000},
            {"tier": 3, "name": "background", "default_deadline_ms": 600_000},
        ],
        "zones": [zone("krk-a"), zone("krk-b"), zone("kat-c")],
        "pools": [
            {"name": "assistant", "kind": "engine", "version": "v1"},
            {"name": "orders", "kind": "service", "version": "v1",
             "non_idempotent": ["place_order", "register_warranty"]},
        ],
        "workspaces": [holder("big"), holder("small")],
        "operators": [holder("night"), holder("day")],
    })
}
