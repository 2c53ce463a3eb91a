//! Wasted prefill from the engines' records.

use std::collections::{HashMap, HashSet};
use std::hash::BuildHasher;

use serde::Deserialize;
use serde_json::Value;

/// Tokens that one block of a prompt covers.
const BLOCK_TOKENS: u64 = 64;

#[derive(Clone, Debug, Deserialize)]
pub struct PrefillRecord {
    pub request_id: String,
    pub unix_ms: u64,
    pub prompt_tokens: u32,
    pub cached_tokens: u32,
    pub blocks: Vec<u64>,
    pub prefilled_tokens: u32,
}

#[derive(Clone, Debug, Deserialize)]
pub struct ChangeRecord {
    pub block: u64,
    pub unix_ms: u64,
    pub stored: bool,
}

/// What one engine recorded.
#[derive(Clone, Debug, Deserialize)]
pub struct EngineRecord {
    pub prefills: Vec<PrefillRecord>,
    pub block_changes: Vec<ChangeRecord>,
}

/// Prefill of a run in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct PrefillWaste {
    pub prefilled: u64,
    /// For answers that were not delivered whole and in time.
    pub undelivered: u64,
    /// For delivered answers, although another engine held the blocks when the request started.
    pub repeated: u64,
}

impl PrefillWaste {
    /// Wasted part of all prefill; 0 without prefill.
    #[must_use]
    pub fn share(&self) -> f64 {
        let wasted = crate::keys::to_float(self.undelivered + self.repeated);
        wasted / crate::keys::to_float(self.prefilled.max(1))
    }
}

/// Reads the statistics of an engine.
///
/// # Panics
///
/// Panics if the engine does not record its prefill.
#[must_use]
pub fn read_record(stats: Value) -> EngineRecord {
    serde_json::from_value(stats).expect("the engine records its prefill")
}

/// Adds up the waste over all engines.
#[must_use]
pub fn prefill_waste<S: BuildHasher>(
    engines: &[EngineRecord],
    delivered: &HashSet<&str, S>,
) -> PrefillWaste {
    let held: Vec<HashMap<u64, Vec<(u64, bool)>>> = engines.iter().map(changes_by_block).collect();
    let mut waste = PrefillWaste::default();
    for (index, engine) in engines.iter().enumerate() {
        for run in &engine.prefills {
            waste.prefilled += u64::from(run.prefilled_tokens);
            // The daemon appends a tag of the workspace to the key.
            let key = run.request_id.rsplit_once('.');
            if !key.is_some_and(|(key, _)| delivered.contains(key)) {
                waste.undelivered += u64::from(run.prefilled_tokens);
                continue;
            }
            let cached = usize::try_from(u64::from(run.cached_tokens) / BLOCK_TOKENS);
            let missed = run.blocks.iter().skip(cached.unwrap_or(usize::MAX));
            let elsewhere = |block: &&u64| {
                let mut others = held.iter().enumerate();
                others.any(|(other, held)| other != index && holds(held, **block, run.unix_ms))
            };
            // A block helps only when all earlier ones are cached too.
            let repeated = missed.take_while(elsewhere).count();
            waste.repeated += u64::try_from(repeated).unwrap_or(0) * BLOCK_TOKENS;
        }
    }
    waste
}

fn changes_by_block(engine: &EngineRecord) -> HashMap<u64, Vec<(u64, bool)>> {
    let mut held: HashMap<u64, Vec<(u64, bool)>> = HashMap::new();
    for change in &engine.block_changes {
        let changes = held.entry(change.block).or_default();
        changes.push((change.unix_ms, change.stored));
    }
    held
}

fn holds(held: &HashMap<u64, Vec<(u64, bool)>>, block: u64, at: u64) -> bool {
    let changes = held.get(&block).map_or(&[][..], Vec::as_slice);
    let last = changes.iter().rev().find(|(when, _)| *when < at);
    last.is_some_and(|(_, stored)| *stored)
}
