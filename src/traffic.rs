//! Payload of control traffic, counted at the edges: what peers, the platform and load polling cost.

use std::cell::Cell;

use crate::events::TrafficKind;

thread_local! {
    /// The event loop and all edges run on one thread.
    static TOTALS: [Cell<u64>; TrafficKind::ALL.len()] = Default::default();
}

/// Counts one message of `bytes` payload.
pub(crate) fn count(bytes_kind: TrafficKind, messages_kind: TrafficKind, bytes: usize) {
    add(bytes_kind, u64::try_from(bytes).unwrap_or(u64::MAX));
    add(messages_kind, 1);
}

fn add(kind: TrafficKind, amount: u64) {
    TOTALS.with(|totals| {
        let total = &totals[kind as usize];
        total.set(total.get().saturating_add(amount));
    });
}

/// Totals since the start of the process.
pub(crate) fn totals() -> Vec<(TrafficKind, u64)> {
    let read = |kind: &TrafficKind| (*kind, TOTALS.with(|totals| totals[*kind as usize].get()));
    TrafficKind::ALL.iter().map(read).collect()
}
