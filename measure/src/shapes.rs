//! The two example firms, scaled down to what one machine runs.

use std::collections::BTreeMap;
use std::path::PathBuf;

use fleet::{EnginePlan, FleetPlan, ServicePlan, token_digest};
use serde_json::{Value, json};

/// Entry hosts of a scaled-down firm.
const DAEMONS: usize = 3;

/// A firm: its configuration, its workload and its endpoints.
#[derive(Clone, Debug)]
pub struct FirmShape {
    pub name: &'static str,
    region: &'static str,
    zones: [&'static str; 3],
    service_pool: &'static str,
    /// Version of each engine, in the order of `ENGINE_SPEEDS`.
    versions: [&'static str; 6],
}

/// Prefill tokens per second, milliseconds per decode step, and capacity.
const ENGINE_SPEEDS: [(u32, u32, u32); 6] = [
    (12_000, 8, 8),
    (4_000, 20, 6),
    (2_000, 40, 4),
    (4_000, 20, 6),
    (12_000, 8, 8),
    (2_000, 40, 4),
];

pub const MGLARNIA: FirmShape = FirmShape {
    name: "mglarnia",
    region: "pl-south",
    zones: ["krk-a", "krk-b", "kat-c"],
    service_pool: "orders",
    versions: ["v1"; 6],
};

pub const LANKAROOF: FirmShape = FirmShape {
    name: "lankaroof",
    region: "lk-west",
    zones: ["colombo-a", "colombo-b", "gampaha"],
    service_pool: "warranty",
    versions: ["v1", "v1", "v1", "v1", "v2", "v2"],
};

fn examples() -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/../examples"))
}

fn read_json(path: &PathBuf) -> Value {
    let text = std::fs::read_to_string(path).expect("the example can be read");
    serde_json::from_str(&text).expect("the example is JSON")
}

impl FirmShape {
    #[must_use]
    pub fn workload(&self) -> PathBuf {
        examples().join(format!("{}-load.json", self.name))
    }

    #[must_use]
    pub fn zones(&self) -> [&'static str; 3] {
        self.zones
    }

    /// Whether a rollout to a second version runs beside the first.
    #[must_use]
    pub fn has_rollout(&self) -> bool {
        self.versions.contains(&"v2")
    }

    /// Tier by class of the model requests, and of the calls if `calls`.
    #[must_use]
    pub fn tiers(&self, calls: bool) -> BTreeMap<String, u8> {
        let workload = read_json(&self.workload());
        let mix = workload["mix"].as_array().cloned().unwrap_or_default();
        mix.iter()
            .filter(|entry| calls || entry["kind"] != "call")
            .filter_map(|entry| {
                let tier = u8::try_from(entry["tier"].as_u64()?).ok()?;
                Some((entry["name"].as_str()?.to_owned(), tier))
            })
            .collect()
    }

    /// Share of the model requests among all requests of the workload.
    #[must_use]
    pub fn model_share(&self) -> f64 {
        let workload = read_json(&self.workload());
        let mix = workload["mix"].as_array().cloned().unwrap_or_default();
        let share = |calls: bool| -> f64 {
            let entries = mix.iter().filter(|entry| calls || entry["kind"] != "call");
            entries.filter_map(|entry| entry["share"].as_f64()).sum()
        };
        share(false) / share(true)
    }

    /// The example configuration with the tokens `NAME-token` and the operator of the harness.
    #[must_use]
    pub fn document(&self) -> Value {
        let path = examples().join(format!("{}.json", self.name));
        let mut document = read_json(&path);
        for list in ["workspaces", "operators"] {
            for holder in document[list].as_array_mut().into_iter().flatten() {
                let token = format!("{}-token", holder["name"].as_str().unwrap_or_default());
                holder["token_sha256"] = json!(token_digest(&token));
            }
        }
        if let Some(operators) = document["operators"].as_array_mut() {
            let digest = token_digest("night-token");
            operators.push(json!({"name": "night", "token_sha256": digest}));
        }
        document
    }

    /// Daemons, engines and services. `policy` is a value of the daemon's hidden flag.
    #[must_use]
    pub fn plan(&self, policy: &str) -> FleetPlan {
        let mut plan = FleetPlan {
            region: self.region.to_owned(),
            zones: self.zones.map(str::to_owned).to_vec(),
            document: self.document(),
            daemon_arguments: vec!["--policy".to_owned(), policy.to_owned()],
            ..FleetPlan::new(DAEMONS)
        };
        for (index, (prefill, step, capacity)) in ENGINE_SPEEDS.iter().enumerate() {
            let (prefill, step) = (prefill.to_string(), step.to_string());
            let capacity = capacity.to_string();
            let arguments = [
                "--record-prefill",
                "--prefill-tokens-per-second",
                &prefill,
                "--decode-step-ms",
                &step,
                "--capacity",
                &capacity,
                "--cache-blocks",
                "512",
            ];
            let name = format!("engine-{}", index + 1);
            let engine = EnginePlan::new(&name, self.zones[index % 3], &arguments);
            plan = plan.engine(engine.version(self.versions[index]));
        }
        for (index, zone) in self.zones.iter().enumerate() {
            let name = format!("service-{}", index + 1);
            let mut service = ServicePlan::new(&name, zone, &["--delay-ms", "20"]);
            self.service_pool.clone_into(&mut service.pool);
            plan = plan.service(service);
        }
        plan
    }
}
