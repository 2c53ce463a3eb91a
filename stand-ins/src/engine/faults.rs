//! Injected faults of an engine.

use std::str::FromStr;

use serde::{Deserialize, Serialize};

use crate::behaviour::{FaultSettings, check_factor, check_ratio};

/// A route on which requests take longer.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct SlowRoute {
    pub route: String,
    pub factor: f64,
}

impl FromStr for SlowRoute {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (route, factor) = text.split_once('=').ok_or("expected ROUTE=FACTOR")?;
        let factor = factor.parse().map_err(|_| "the factor is not a number")?;
        let route = route.to_owned();
        Ok(Self { route, factor })
    }
}

/// Faults that can be set by flags and at run time.
#[derive(Clone, Debug, Default, Serialize, Deserialize, clap::Args)]
#[serde(deny_unknown_fields, default)]
pub struct EngineFaults {
    /// Factor by which every step takes longer.
    #[arg(long)]
    pub slow_factor: Option<f64>,
    /// Share of requests that fail after they ran in part.
    #[arg(long, default_value_t = 0.0)]
    pub fail_ratio: f64,
    /// Number of started requests after which every request fails.
    #[arg(long)]
    pub fail_after_requests: Option<u64>,
    /// Number of running requests above which a request that starts fails.
    #[arg(long)]
    pub fail_over_running: Option<u32>,
    /// Route whose requests fail.
    #[arg(long)]
    pub fail_route: Option<String>,
    /// Route whose requests take longer, as ROUTE=FACTOR.
    #[arg(long)]
    pub slow_route: Option<SlowRoute>,
    /// Word that makes the process exit with 101 when it starts to run a prompt with it.
    #[arg(long)]
    pub crash_word: Option<String>,
    /// Makes the engine cold (true) or warm (false) at once.
    #[arg(long, num_args = 0..=1, default_missing_value = "true")]
    pub cold: Option<bool>,
    /// Keep connections open, but run no steps.
    #[arg(long)]
    pub freeze_streams: bool,
    /// Answer 503 to every new request.
    #[arg(long)]
    pub refuse: bool,
    /// Close the connection without an answer after the request ran.
    #[arg(long)]
    pub drop_answer: bool,
}

impl EngineFaults {
    /// Factor by which requests on this route take longer.
    #[must_use]
    pub fn route_factor(&self, route: &str) -> f64 {
        match &self.slow_route {
            Some(slow) if slow.route == route => slow.factor,
            Some(_) | None => 1.0,
        }
    }
}

impl FaultSettings for EngineFaults {
    fn check(&self) -> Result<(), String> {
        check_ratio("fail_ratio", self.fail_ratio)?;
        check_factor("slow_factor", self.slow_factor.unwrap_or(1.0))?;
        let slow_route = self.slow_route.as_ref();
        check_factor("slow_route", slow_route.map_or(1.0, |slow| slow.factor))
    }
}
