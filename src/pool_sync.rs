//! Splits a home's sync to a pool owner into messages.

use crate::message_codec::MAX_MESSAGE_BYTES;
use crate::messages::{PoolSync, QueueTicket, RunningEntry};

/// Maximum estimated size of one part. It is half the maximum message size, to allow for errors of
/// the estimate.
const MAX_SYNC_PART_BYTES: usize = MAX_MESSAGE_BYTES / 2;

/// Splits a sync into parts that fit into a message. The sync of a home with several thousand
/// queued requests would otherwise exceed the maximum message size and never arrive, and a new
/// owner would not learn of these requests.
pub(crate) fn split_sync(
    pool: &str,
    queued: Vec<QueueTicket>,
    running: Vec<RunningEntry>,
) -> Vec<PoolSync> {
    let new_part = || PoolSync {
        pool: pool.into(),
        complete: false,
        queued: Vec::new(),
        running: Vec::new(),
    };
    let (mut parts, mut bytes) = (vec![new_part()], 0);
    let mut part_with_room = |ticket_bytes: usize, parts: &mut Vec<PoolSync>| {
        if bytes + ticket_bytes > MAX_SYNC_PART_BYTES {
            parts.push(new_part());
            bytes = 0;
        }
        bytes += ticket_bytes;
        parts.len() - 1
    };
    for entry in running {
        let part = part_with_room(entry.ticket.size_estimate(), &mut parts);
        parts[part].running.push(entry);
    }
    for ticket in queued {
        let part = part_with_room(ticket.size_estimate(), &mut parts);
        parts[part].queued.push(ticket);
    }
    if let [part] = parts.as_mut_slice() {
        part.complete = true;
    }
    parts
}
