//! Splits configuration snapshots into messages and reassembles them.

use crate::ids::{FastMap, Incarnation};
use crate::messages::{ConfigSnapshot, SnapshotPart};

/// Maximum size of the text of one part, below the maximum size of a peer message.
const MAX_PART_BYTES: usize = 512 * 1024;
/// Maximum number of parts, which limits a snapshot to 32 MB. The configuration of 40,000
/// workspaces takes 5.5 MB.
const MAX_PARTS: usize = 64;
/// Maximum number of hosts whose snapshots are incomplete at the same time.
const MAX_SENDERS: usize = 16;

/// Splits a snapshot into parts; returns none if it is larger than hosts accept.
#[must_use]
pub(crate) fn split_snapshot(snapshot: &ConfigSnapshot) -> Vec<SnapshotPart> {
    let mut texts = Vec::new();
    let mut rest = snapshot.state.as_str();
    while rest.len() > MAX_PART_BYTES {
        let end = rest.floor_char_boundary(MAX_PART_BYTES);
        let (text, tail) = rest.split_at(end);
        texts.push(text);
        rest = tail;
    }
    texts.push(rest);
    let count = match u16::try_from(texts.len()) {
        Ok(count) if texts.len() <= MAX_PARTS => count,
        Ok(_) | Err(_) => return Vec::new(),
    };
    (0..count)
        .zip(texts)
        .map(|(index, text)| SnapshotPart {
            version: snapshot.version,
            index,
            count,
            text: text.to_owned(),
        })
        .collect()
}

/// Received parts of one sender's newest snapshot.
#[derive(Debug)]
struct PartialSnapshot {
    version: u64,
    parts: Vec<Option<String>>,
}

/// Incomplete snapshots, one per sender.
#[derive(Debug, Default)]
pub(crate) struct SnapshotAssembly {
    senders: FastMap<Incarnation, PartialSnapshot>,
}

impl SnapshotAssembly {
    /// Adds a part and returns the snapshot once it is complete. Parts may arrive in any order.
    pub(crate) fn add(&mut self, from: Incarnation, part: SnapshotPart) -> Option<ConfigSnapshot> {
        let count = usize::from(part.count);
        if part.index >= part.count || count > MAX_PARTS || part.text.len() > MAX_PART_BYTES {
            return None;
        }
        let known = self
            .senders
            .get(&from)
            .is_some_and(|known| known.version == part.version && known.parts.len() == count);
        if !known {
            if self.senders.len() >= MAX_SENDERS {
                self.senders.clear();
            }
            let partial = PartialSnapshot {
                version: part.version,
                parts: vec![None; count],
            };
            self.senders.insert(from, partial);
        }
        let partial = self.senders.get_mut(&from)?;
        partial.parts[usize::from(part.index)] = Some(part.text);
        if partial.parts.iter().any(Option::is_none) {
            return None;
        }
        let partial = self.senders.remove(&from)?;
        Some(ConfigSnapshot {
            version: partial.version,
            state: partial.parts.into_iter().flatten().collect(),
        })
    }
}
