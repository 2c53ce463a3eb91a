//! Tests of splitting and reassembling snapshots.

use crate::messages::ConfigSnapshot;
use crate::snapshot_parts::{SnapshotAssembly, split_snapshot};

fn snapshot(version: u64, bytes: usize) -> ConfigSnapshot {
    ConfigSnapshot {
        version,
        // Each character takes two bytes, so a split at an arbitrary byte could fall inside one.
        state: format!("x{}", "ł".repeat(bytes / 2)),
    }
}

/// Guards against snapshots larger than a message that are never completed when their parts arrive
/// out of order, twice, or mixed with those of an older version.
#[test]
fn a_large_snapshot_arrives_whole() {
    let old = snapshot(6, 1_200_000);
    let new = snapshot(7, 5_500_000);
    let mut assembly = SnapshotAssembly::default();
    let mut parts = split_snapshot(&new);
    assert!(parts.len() > 10);
    assert!(parts.iter().all(|part| part.text.len() <= 512 * 1024));
    assert_eq!(assembly.add(1, split_snapshot(&old).remove(0)), None);
    parts.reverse();
    let last = parts.pop().expect("there are parts");
    for part in parts {
        assert_eq!(assembly.add(1, part.clone()), None);
        assert_eq!(assembly.add(1, part), None);
    }
    assert_eq!(assembly.add(2, split_snapshot(&old).remove(1)), None);
    assert_eq!(assembly.add(1, last), Some(new));
}

/// Guards against allocations of a size that a malformed part dictates.
#[test]
fn malformed_parts_are_ignored() {
    let mut assembly = SnapshotAssembly::default();
    let mut part = split_snapshot(&snapshot(3, 10)).remove(0);
    part.index = 1;
    assert_eq!(assembly.add(1, part.clone()), None);
    part.index = 0;
    part.count = u16::MAX;
    assert_eq!(assembly.add(1, part), None);
    assert!(split_snapshot(&snapshot(3, 40_000_000)).is_empty());
}
