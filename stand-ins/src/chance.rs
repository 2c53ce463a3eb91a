//! Seeded random decisions of the injected faults.

use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};

/// Generator whose decisions depend on the seed only.
pub struct FaultChance {
    generator: SmallRng,
}

impl FaultChance {
    #[must_use]
    pub fn new(seed: u64) -> Self {
        Self {
            generator: SmallRng::seed_from_u64(seed),
        }
    }

    /// Returns true for the given share of calls.
    pub fn hit(&mut self, ratio: f64) -> bool {
        ratio > 0.0 && self.generator.random::<f64>() < ratio
    }

    /// Draws a whole number from 0 to `limit`, both included.
    pub fn up_to(&mut self, limit: u64) -> u64 {
        self.generator.random_range(0..=limit)
    }
}
