//! Rendezvous hashing that ranks hosts per pool.

use sha2::{Digest, Sha256};

use crate::ids::{FastMap, Incarnation, PoolName};

/// Cached scores of hosts per pool. Every tick ranks every host for every pool.
#[derive(Default)]
pub struct RankTable {
    scores: FastMap<PoolName, FastMap<Incarnation, u64>>,
}

impl RankTable {
    /// Returns the host that ranks first for the pool. Hosts with the same candidates agree on it.
    pub fn first(&mut self, pool: &PoolName, candidates: &[Incarnation]) -> Option<Incarnation> {
        let scores = self.scores.entry(pool.clone()).or_default();
        let score = |incarnation: Incarnation| {
            *scores
                .entry(incarnation)
                .or_insert_with(|| rank_score(pool, incarnation))
        };
        let mut score = score;
        candidates
            .iter()
            .copied()
            .max_by_key(|incarnation| (score(*incarnation), *incarnation))
    }

    /// Evicts the scores of other pools, and those of other hosts if there are many.
    pub fn retain(&mut self, pools: &[PoolName], candidates: &[Incarnation]) {
        self.scores.retain(|pool, _| pools.contains(pool));
        for scores in self.scores.values_mut() {
            if scores.len() > 2 * candidates.len() + 8 {
                scores.retain(|incarnation, _| candidates.contains(incarnation));
            }
        }
    }
}

/// Returns the first 8 bytes of the SHA-256 digest of the pool name, a zero byte and the
/// incarnation.
#[must_use]
pub fn rank_score(pool: &str, incarnation: Incarnation) -> u64 {
    let digest = Sha256::new()
        .chain_update(pool.as_bytes())
        .chain_update([0])
        .chain_update(incarnation.to_be_bytes())
        .finalize();
    let mut prefix = [0; 8];
    prefix.copy_from_slice(&digest[..8]);
    u64::from_be_bytes(prefix)
}
