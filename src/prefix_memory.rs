//! Estimate of the prompt prefixes that an endpoint holds in its cache.

use crate::ids::FastSet;

/// Bounded set of blocks that evicts those not used recently. Two generations approximate the
/// least-recently-used order at constant cost.
#[derive(Debug)]
pub(crate) struct PrefixMemory {
    recent: FastSet<u64>,
    older: FastSet<u64>,
    generation_limit: usize,
}

impl PrefixMemory {
    pub fn new(entries: usize) -> Self {
        Self {
            recent: FastSet::default(),
            older: FastSet::default(),
            generation_limit: (entries / 2).max(1),
        }
    }

    pub fn store(&mut self, blocks: &[u64]) {
        for block in blocks {
            if self.recent.len() >= self.generation_limit && !self.recent.contains(block) {
                self.older = std::mem::take(&mut self.recent);
            }
            self.recent.insert(*block);
        }
    }

    pub fn evict(&mut self, blocks: &[u64]) {
        for block in blocks {
            self.recent.remove(block);
            self.older.remove(block);
        }
    }

    pub fn clear(&mut self) {
        self.recent.clear();
        self.older.clear();
    }

    /// Returns the number of leading blocks that are all present.
    pub fn matched(&self, blocks: &[u64]) -> usize {
        let is_present = |block: &&u64| self.recent.contains(*block) || self.older.contains(*block);
        blocks.iter().take_while(is_present).count()
    }
}
