//! Goodput from the load tool's list of keys.

use std::collections::{BTreeMap, HashSet};

use serde::Deserialize;
use serde_json::Value;

/// One entry of the load tool's key list.
#[derive(Clone, Debug, Deserialize)]
pub struct KeyRecord {
    pub key: String,
    pub class: String,
    pub outcome: String,
    pub sent_ms: u64,
    pub whole_ms: u64,
    pub tokens: u32,
    pub in_time: bool,
}

/// Answers of one tier.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct TierGoodput {
    pub sent: u64,
    pub in_time: u64,
    pub tokens_in_time: u64,
    pub refused: u64,
    /// Started, and not delivered whole and in time.
    pub late_or_failed: u64,
}

impl TierGoodput {
    /// Share of the sent requests that were answered in time; 0 if none was sent.
    #[must_use]
    pub fn share(&self) -> f64 {
        if self.sent == 0 {
            return 0.0;
        }
        to_float(self.in_time) / to_float(self.sent)
    }
}

/// Reads the key list from the load tool's summary.
///
/// # Panics
///
/// Panics if the summary has no valid list.
#[must_use]
pub fn read_keys(summary: &Value) -> Vec<KeyRecord> {
    serde_json::from_value(summary["keys"].clone()).expect("the summary lists its keys")
}

/// Goodput by tier of the requests that were sent within `[from_ms, until_ms)`.
#[must_use]
pub fn goodput_by_tier(
    keys: &[KeyRecord],
    tiers: &BTreeMap<String, u8>,
    from_ms: u64,
    until_ms: u64,
) -> BTreeMap<u8, TierGoodput> {
    let mut found: BTreeMap<u8, TierGoodput> = BTreeMap::new();
    for key in keys {
        let Some(tier) = tiers.get(&key.class) else {
            continue;
        };
        if key.sent_ms < from_ms || key.sent_ms >= until_ms {
            continue;
        }
        let entry = found.entry(*tier).or_default();
        entry.sent += 1;
        if key.in_time {
            entry.in_time += 1;
            entry.tokens_in_time += u64::from(key.tokens);
        } else if key.outcome.starts_with("refused") {
            entry.refused += 1;
        } else {
            entry.late_or_failed += 1;
        }
    }
    found
}

/// Keys whose answers were delivered whole and in time.
#[must_use]
pub fn delivered(keys: &[KeyRecord]) -> HashSet<&str> {
    let in_time = keys.iter().filter(|key| key.in_time);
    in_time.map(|key| key.key.as_str()).collect()
}

/// Counts of a run are far below 2^52.
#[must_use]
#[allow(clippy::cast_precision_loss)]
pub fn to_float(count: u64) -> f64 {
    count as f64
}
