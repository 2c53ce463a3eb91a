//! The fleet's estimate of the time of day.
//!
//! Reporting windows are cut by the time of day, which may jump on single hosts. The holder of the
//! duties takes the median of all hosts' clocks and passes it on with its polls.

use std::time::Duration;

use super::BootTime;

/// Difference up to which a host keeps its own clock: more than a message between hosts takes, and
/// 5 % of a window of five seconds.
const MAX_DIFFERENCE_MS: u64 = 250;
/// Minimum number of clocks for a median that outvotes one that is wrong.
const MIN_CLOCKS: usize = 3;

/// The clocks of one host at one moment.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockReading {
    pub boot: BootTime,
    /// Time of day, since the start of 1970.
    pub wall: Duration,
}

impl ClockReading {
    /// Returns the time of day at which the host started, by its own clock.
    fn own_offset_ms(self) -> i64 {
        millis(self.wall).saturating_sub(millis(self.boot))
    }
}

/// Maps the boot time of this host to the fleet's time of day.
#[derive(Clone, Copy, Debug)]
pub struct FleetClock {
    /// Fleet time at boot time zero.
    offset_ms: i64,
}

impl FleetClock {
    #[must_use]
    pub fn new(now: ClockReading) -> Self {
        Self {
            offset_ms: now.own_offset_ms(),
        }
    }

    /// Returns the fleet's time of day in milliseconds since the start of 1970.
    #[must_use]
    pub fn fleet_ms(&self, boot: BootTime) -> u64 {
        u64::try_from(millis(boot).saturating_add(self.offset_ms)).unwrap_or(0)
    }

    /// Applies the time that the holder of the duties has sent.
    pub fn apply_estimate(&mut self, fleet_ms: u64, now: ClockReading) {
        let estimate = i64::try_from(fleet_ms).unwrap_or(i64::MAX);
        let estimated_offset = estimate.saturating_sub(millis(now.boot));
        let own_offset = now.own_offset_ms();
        self.offset_ms = if own_offset.abs_diff(estimated_offset) <= MAX_DIFFERENCE_MS {
            own_offset
        } else {
            estimated_offset
        };
    }

    /// Takes the median of this host's clock and those of other hosts, given as offsets like that
    /// of `clock_offset_ms`.
    pub fn apply_median(&mut self, mut offsets_ms: Vec<i64>, now: ClockReading) {
        let own_offset = now.own_offset_ms();
        offsets_ms.push(own_offset);
        if offsets_ms.len() < MIN_CLOCKS {
            return;
        }
        let middle = offsets_ms.len() / 2;
        let (_, median, _) = offsets_ms.select_nth_unstable(middle);
        self.offset_ms = if own_offset.abs_diff(*median) <= MAX_DIFFERENCE_MS {
            own_offset
        } else {
            *median
        };
    }

    /// Returns the offset of another host's clock against this host's boot time.
    #[must_use]
    pub fn clock_offset_ms(wall_ms: u64, boot: BootTime) -> i64 {
        let wall = i64::try_from(wall_ms).unwrap_or(i64::MAX);
        wall.saturating_sub(millis(boot))
    }
}

fn millis(time: Duration) -> i64 {
    i64::try_from(time.as_millis()).unwrap_or(i64::MAX)
}
