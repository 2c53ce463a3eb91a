//! Positions in the topics of the store.

use serde::{Deserialize, Serialize};

/// Number of bits of an order number that hold the offset.
const OFFSET_BITS: u32 = 40;

/// A position in a topic of the store. The store may come back from an older copy, which begins a
/// new era: offsets are then given out again, so every position of the new era is later than those
/// of the eras before.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct LogPosition {
    pub era: u64,
    pub offset: u64,
}

impl LogPosition {
    /// Returns the number of an order whose record has this position. It increases with each order.
    #[must_use]
    pub fn order_number(self) -> u64 {
        self.era << OFFSET_BITS | self.offset
    }

    /// Returns the offset of the record of an order.
    #[must_use]
    pub fn offset_of_order(order: u64) -> u64 {
        order & ((1 << OFFSET_BITS) - 1)
    }
}
