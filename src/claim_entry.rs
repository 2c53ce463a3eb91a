//! The state of one claim key on a host.

use std::time::Instant;

use crate::ids::ContentDigest;
use crate::result_code::{RanState, ResultCode};

/// The first claim of a key in the order of the topic: the only one under which the call may run.
#[derive(Clone, Debug)]
pub(crate) struct FirstClaim {
    pub(crate) digest: ContentDigest,
    pub(crate) nonce: u64,
}

/// Progress of a claim that this host made.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ClaimPhase {
    /// Waits for an append.
    Queued,
    /// Sent in an append that has no answer yet, or appended but not read back yet.
    Sent,
    /// The answer to the append was lost. `reads_needed` complete reads must follow.
    Unknown { reads_needed: u8 },
    /// Its caller received "not run". The call runs only if this host gets the key again.
    Parked,
    /// Its caller received "may have run and will not be run again", so the claim never wins.
    Closed,
    /// The claim was won and its caller runs the call, so it never wins again.
    Started,
    /// The claim was won, but the call did not run. The record that releases the key is pending.
    Released,
}

/// Maximum number of times that a key may be released. The outcome after the last one is final.
pub(crate) const MAX_RELEASES: usize = 32;

/// This incarnation's claim of a key.
#[derive(Clone, Debug)]
pub(crate) struct OwnClaim {
    pub(crate) digest: ContentDigest,
    pub(crate) nonce: u64,
    pub(crate) phase: ClaimPhase,
    /// The answer to an append of this nonce was lost, so its record may still appear.
    pub(crate) may_appear: bool,
}

impl OwnClaim {
    /// Returns a new claim that waits for its append.
    pub(crate) fn queued(digest: ContentDigest, nonce: u64) -> Self {
        Self {
            digest,
            nonce,
            phase: ClaimPhase::Queued,
            may_appear: false,
        }
    }
}

#[derive(Clone, Debug, Default)]
pub(crate) struct ClaimEntry {
    /// Unix time in seconds that the key contains.
    pub(crate) timestamp: u64,
    pub(crate) first: Option<FirstClaim>,
    pub(crate) outcome: Option<Result<String, ResultCode>>,
    /// Nonces of earlier first claims whose calls did not run. Late copies of these are ignored.
    pub(crate) released: Vec<u64>,
    pub(crate) own: Option<Box<OwnClaim>>,
    /// Time until which a local caller waits.
    pub(crate) wait_until: Option<Instant>,
}

impl ClaimEntry {
    /// Returns whether this incarnation made the first claim.
    pub(crate) fn is_own_first(&self) -> bool {
        match (&self.first, &self.own) {
            (Some(first), Some(own)) => first.nonce == own.nonce,
            (None, _) | (_, None) => false,
        }
    }

    /// Returns whether the key has no outcome, no first claim and no claim of this host. Earlier
    /// claims of it were released.
    pub(crate) fn is_free(&self) -> bool {
        self.first.is_none() && self.own.is_none() && self.outcome.is_none()
    }

    /// Returns the digest that further requests for the key must have.
    pub(crate) fn digest(&self) -> Option<ContentDigest> {
        let first = self.first.as_ref().map(|first| first.digest);
        first.or(self.own.as_ref().map(|own| own.digest))
    }

    /// Returns whether this outcome releases the key: the call did not run and never will under the
    /// first claim, so a resend may claim the key again.
    pub(crate) fn is_released_by(&self, result: &Result<String, ResultCode>) -> bool {
        let not_run = result
            .as_ref()
            .is_err_and(|code| code.ran() == RanState::NotRun);
        not_run && self.released.len() < MAX_RELEASES
    }

    pub(crate) fn result_bytes(&self) -> usize {
        match &self.outcome {
            Some(Ok(result)) => result.len(),
            Some(Err(_)) | None => 0,
        }
    }
}
