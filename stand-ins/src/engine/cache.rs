//! Prefix cache with least-recently-used eviction and its delayed events.

use std::collections::{BTreeMap, VecDeque};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use rustc_hash::FxHashMap;
use serde::Serialize;

use crate::chance::FaultChance;

#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum CacheChange {
    Stored,
    Evicted,
}

/// A published change of the cache.
#[derive(Clone, Debug, Serialize)]
pub struct CacheEvent {
    pub sequence: u64,
    pub kind: CacheChange,
    pub prefix: String,
}

/// A block that entered or left the cache.
#[derive(Clone, Debug, Serialize)]
pub struct BlockChange {
    pub block: u64,
    /// Wall-clock time, which is comparable between engines.
    pub unix_ms: u64,
    pub stored: bool,
}

/// Cached blocks by hash, in order of their last use.
pub struct PrefixCache {
    limit: usize,
    last_use: FxHashMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    next_use: u64,
    events: EventBuffer,
    /// Every change, oldest first, if changes are recorded.
    pub changes: Option<Vec<BlockChange>>,
}

impl PrefixCache {
    #[must_use]
    pub fn new(limit: usize, events: EventBuffer) -> Self {
        Self {
            limit,
            last_use: FxHashMap::default(),
            by_use: BTreeMap::new(),
            next_use: 0,
            events,
            changes: None,
        }
    }

    fn note(&mut self, kind: CacheChange, block: u64, now: Instant) {
        self.events.push(kind, block, now);
        if let Some(changes) = &mut self.changes {
            changes.push(BlockChange {
                block,
                unix_ms: unix_ms(),
                stored: matches!(kind, CacheChange::Stored),
            });
        }
    }

    /// Counts the cached blocks at the start of a prompt and marks them as used.
    pub fn lookup(&mut self, blocks: &[u64]) -> usize {
        let known = |block: &&u64| self.last_use.contains_key(block);
        let found = blocks.iter().take_while(known).count();
        self.touch(&blocks[..found]);
        found
    }

    /// Stores the blocks of a prompt and evicts the least recently used ones above the limit.
    pub fn store(&mut self, blocks: &[u64], now: Instant) {
        for block in blocks {
            if !self.last_use.contains_key(block) {
                self.note(CacheChange::Stored, *block, now);
            }
        }
        self.touch(blocks);
        while self.by_use.len() > self.limit {
            let Some((_, block)) = self.by_use.pop_first() else {
                return;
            };
            self.last_use.remove(&block);
            self.note(CacheChange::Evicted, block, now);
        }
    }

    /// Drops every block, as when the process was replaced.
    pub fn clear(&mut self, now: Instant) {
        self.last_use.clear();
        for block in std::mem::take(&mut self.by_use).into_values() {
            self.note(CacheChange::Evicted, block, now);
        }
    }

    #[must_use]
    pub fn len(&self) -> usize {
        self.by_use.len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.by_use.is_empty()
    }

    /// Returns the events from a sequence number on that are old enough to be visible.
    #[must_use]
    pub fn events(&self, from: u64, now: Instant) -> (u64, Vec<CacheEvent>) {
        self.events.read(from, now)
    }

    // The last block is touched first: a later block is useless without the earlier ones.
    fn touch(&mut self, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            if let Some(old) = self.last_use.insert(*block, self.next_use) {
                self.by_use.remove(&old);
            }
            self.by_use.insert(self.next_use, *block);
            self.next_use += 1;
        }
    }
}

/// Milliseconds since the Unix epoch.
pub(crate) fn unix_ms() -> u64 {
    let elapsed = SystemTime::now().duration_since(UNIX_EPOCH);
    u64::try_from(elapsed.unwrap_or_default().as_millis()).unwrap_or(u64::MAX)
}

/// Events that become visible after a delay; some are lost.
pub struct EventBuffer {
    lag: Duration,
    gap_ratio: f64,
    limit: usize,
    chance: FaultChance,
    next: u64,
    events: VecDeque<(Instant, CacheEvent)>,
}

impl EventBuffer {
    #[must_use]
    pub fn new(lag: Duration, gap_ratio: f64, limit: usize, seed: u64) -> Self {
        Self {
            lag,
            gap_ratio,
            limit,
            chance: FaultChance::new(seed),
            next: 0,
            events: VecDeque::new(),
        }
    }

    fn push(&mut self, kind: CacheChange, block: u64, now: Instant) {
        let sequence = self.next;
        self.next += 1;
        if self.chance.hit(self.gap_ratio) {
            return;
        }
        let prefix = format!("{block:016x}");
        let event = CacheEvent {
            sequence,
            kind,
            prefix,
        };
        self.events.push_back((now, event));
        if self.events.len() > self.limit {
            self.events.pop_front();
        }
    }

    fn read(&self, from: u64, now: Instant) -> (u64, Vec<CacheEvent>) {
        let visible = |at: &Instant| now.duration_since(*at) >= self.lag;
        let events: Vec<CacheEvent> = self
            .events
            .iter()
            .take_while(|(at, _)| visible(at))
            .filter(|(_, event)| event.sequence >= from)
            .map(|(_, event)| event.clone())
            .collect();
        let next = events.last().map_or(from, |event| event.sequence + 1);
        (next, events)
    }
}
