//! This host's share of an endpoint's rate limit.
//!
//! Every sender may hold an unused permit, and hosts disagree for a moment about who may send. So
//! the number of senders follows from the limit, not from the size of the fleet.

use std::time::{Duration, Instant};

use super::signal::RateMilli;
use crate::ids::{HostAddress, IncarnationHash};
use crate::rendezvous::hosts_before;

/// Permits that all hosts together may accumulate, besides those of one second.
const EXTRA_BURST: f64 = 2.0;

/// The hosts that share limits.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct SenderView {
    /// Number of hosts that may be sending, including silent ones.
    pub counted: usize,
    /// Hosts that were heard recently, and this one.
    pub live: Vec<HostAddress>,
}

/// What one host may send to a limited endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct SenderShare {
    pub rate_per_s: f64,
    /// Permits that the host may accumulate.
    pub burst: f64,
}

/// Permits of this host for one limited endpoint.
#[derive(Debug, Default)]
pub(super) struct LimitShare {
    share: SenderShare,
    permits: f64,
    refilled: Option<Instant>,
}

impl LimitShare {
    /// Changes the share. Permits that the old one has granted stay; there are none at first.
    pub fn apply(&mut self, share: SenderShare, now: Instant) {
        self.refill(1.0, now);
        self.share = share;
    }

    /// Returns when this host may send the next request: `now` or later, or `None` if it has no
    /// share. `growth` multiplies the rate.
    pub fn next_permit(&mut self, growth: f64, now: Instant) -> Option<Instant> {
        self.refill(growth, now);
        if self.permits >= 1.0 {
            return Some(now);
        }
        let wait = (1.0 - self.permits) / (self.share.rate_per_s * growth);
        let wait = Duration::try_from_secs_f64(wait).ok()?;
        now.checked_add(wait)
    }

    pub fn consume_permit(&mut self) {
        self.permits = (self.permits - 1.0).max(0.0);
    }

    fn refill(&mut self, growth: f64, now: Instant) {
        let elapsed = self.refilled.map_or(Duration::ZERO, |refilled| {
            now.saturating_duration_since(refilled)
        });
        let granted = elapsed.as_secs_f64() * self.share.rate_per_s * growth;
        self.permits = (self.permits + granted).min(self.share.burst);
        self.refilled = Some(now);
    }
}

/// Returns what the host `own` may send to an endpoint with this limit.
///
/// While this host hears more than half of the hosts, these share the limit. Otherwise the others
/// may be alive and sending, so the hosts that it hears share only their part.
#[must_use]
#[expect(clippy::cast_precision_loss, reason = "at most some hundred hosts")]
pub fn sender_share(
    endpoint: IncarnationHash,
    limit: RateMilli,
    own: HostAddress,
    view: &SenderView,
) -> SenderShare {
    let limit = f64::from(limit) / 1_000.0;
    let live = view.live.len().max(1);
    let counted = view.counted.max(live);
    let part = if live * 2 > counted {
        1.0
    } else {
        live as f64 / counted as f64
    };
    let burst = (limit + EXTRA_BURST) * part;
    let senders = whole_part(burst).clamp(1, live);
    if hosts_before(endpoint, own, &view.live) >= senders {
        return SenderShare::default();
    }
    SenderShare {
        rate_per_s: limit * part / senders as f64,
        burst: (burst / senders as f64).max(1.0),
    }
}

fn whole_part(number: f64) -> usize {
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a limit is neither negative nor larger than a million"
    )]
    let whole = number as usize;
    whole
}
