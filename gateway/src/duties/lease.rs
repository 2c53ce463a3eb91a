//! Decides which host holds the duties.
//!
//! The lease is the newest lease record in the log. Every append states the offset at which the log
//! must end, so two hosts that write at the same time cannot both succeed. A holder renews its
//! record; a candidate that has seen the same record for a whole lease takes over. The holder counts
//! its lease from the moment at which it sent the renewal, on a clock that runs on while the host is
//! suspended, and stops a margin earlier.

use std::time::Duration;

use super::{BootTime, DutyListing, FencingToken, LeaseRecord, LogEra};
use crate::ids::{HostAddress, Incarnation};

/// Part of the lease that the holder leaves unused at its end, for calls on their way.
const SAFETY_DIVISOR: u32 = 4;
/// Part of the lease after which it is renewed, so that two renewals may fail.
const RENEWAL_DIVISOR: u32 = 3;
/// Part of the lease that a candidate waits beyond it. Clocks run at slightly different speeds.
const TAKEOVER_DIVISOR: u32 = 10;
/// Number of leases for which a host that is no preferred candidate waits for another one.
const RESERVE_LEASES: u32 = 3;
/// Bits of a token below the era of the log, enough for 4 billion records in one era.
const ERA_SHIFT: u32 = 32;
/// Increase of the token after a call was fenced although the log names this host as the holder.
const FENCED_TOKEN_STEP: u64 = 1_000;

/// Whether this host is among those that take over first.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CandidateRank {
    Preferred,
    Reserve,
    /// The host is about to stop.
    Leaving,
}

/// What the host should do at the log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    Wait,
    Read,
    Append(LeaseRecord),
}

/// Offset at which an append is to be made, and the era in which the offset was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogPosition {
    pub era: LogEra,
    pub end_offset: u64,
}

/// Outcome of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AppendOutcome {
    Appended(LogEra),
    /// The log ends at another offset.
    Overtaken,
    /// The record may have been appended, or may be appended later.
    Unknown,
}

#[derive(Clone, Copy, Debug)]
struct HeldLease {
    token: FencingToken,
    since: BootTime,
    renewed: BootTime,
}

/// The newest lease record that this host has seen.
#[derive(Clone, Debug)]
struct SeenLease {
    offset: u64,
    record: LeaseRecord,
    /// When this host saw the record first.
    since: BootTime,
}

#[derive(Clone, Debug)]
struct PendingAppend {
    sent: BootTime,
    position: LogPosition,
    record: LeaseRecord,
}

/// The lease as one host sees it.
#[derive(Debug)]
pub struct LeaseState {
    own: HostAddress,
    incarnation: Incarnation,
    duration: Duration,
    /// Where the log ended, as of the last read or append.
    position: Option<LogPosition>,
    seen: Option<SeenLease>,
    last_read: Option<BootTime>,
    held: Option<HeldLease>,
    pending: Option<PendingAppend>,
    holder_heard: BootTime,
    /// Time until which this host doesn't take over.
    barred_until: BootTime,
    /// Lower bound of the next token.
    min_token: FencingToken,
}

impl LeaseState {
    #[must_use]
    pub fn new(
        own: HostAddress,
        incarnation: Incarnation,
        duration: Duration,
        now: BootTime,
    ) -> Self {
        Self {
            own,
            incarnation,
            duration,
            position: None,
            seen: None,
            last_read: None,
            held: None,
            pending: None,
            holder_heard: now,
            barred_until: now,
            min_token: 0,
        }
    }

    /// Records a sign of life of the holder, so that this host need not read the log.
    pub fn record_holder(&mut self, token: FencingToken, now: BootTime) {
        let is_current = self.held.is_none_or(|held| token >= held.token);
        if is_current {
            self.holder_heard = now;
        }
    }

    /// Returns the token while this host holds the duties and may perform them.
    #[must_use]
    pub fn token(&self, now: BootTime) -> Option<FencingToken> {
        let held = self.held?;
        (now < held.renewed + self.usable_time()).then_some(held.token)
    }

    /// Returns the record of the lease that this host has seen last.
    #[must_use]
    pub fn seen_record(&self) -> Option<&LeaseRecord> {
        self.seen.as_ref().map(|seen| &seen.record)
    }

    /// Returns where the next append is made.
    #[must_use]
    pub fn position(&self) -> Option<LogPosition> {
        self.position
    }

    /// Returns what to do at the log. `draft` fills in the parts of a record that don't concern the
    /// lease; `is_due` tells that there is something to record.
    pub fn next_action(
        &mut self,
        rank: CandidateRank,
        is_due: bool,
        now: BootTime,
        draft: impl FnOnce(LeaseRecord) -> LeaseRecord,
    ) -> LeaseAction {
        if self.token(now).is_none()
            && let Some(held) = self.held.take()
        {
            log::warn!(token = held.token; "duties: lease expired");
            self.position = None;
            self.last_read = None;
        }
        let Some(position) = self.position else {
            return self.read_if_candidate(rank, now);
        };
        if let Some(held) = self.held {
            let is_leaving = rank == CandidateRank::Leaving;
            // A holder that gave the duties up at once could get them back within one lease.
            let releases = is_leaving && now.saturating_sub(held.since) >= self.duration;
            let renewal = held.renewed + self.duration / RENEWAL_DIVISOR;
            if !releases && !is_due && now < renewal {
                return LeaseAction::Wait;
            }
            let token = held.token.max(self.min_token);
            return LeaseAction::Append(draft(self.record(token, position.era, releases)));
        }
        if !self.may_take_over(rank, now) {
            return self.read_if_candidate(rank, now);
        }
        let next_offset = position.end_offset.saturating_add(1);
        let era_token = position.era.saturating_mul(1 << ERA_SHIFT) | next_offset;
        let seen_token = self.seen_record().map_or(0, |record| record.token);
        let token = era_token
            .max(seen_token.saturating_add(1))
            .max(self.min_token);
        LeaseAction::Append(draft(self.record(token, position.era, false)))
    }

    fn record(&self, token: FencingToken, era: LogEra, released: bool) -> LeaseRecord {
        LeaseRecord {
            holder: self.own,
            incarnation: self.incarnation,
            token,
            era,
            released,
            reports_from: 0,
            orders: Vec::new(),
        }
    }

    /// Returns the time for which the holder uses its lease after a renewal.
    fn usable_time(&self) -> Duration {
        self.duration * (SAFETY_DIVISOR - 1) / SAFETY_DIVISOR
    }

    /// Returns whether this host should follow the log because no holder was heard.
    fn is_candidate(&self, rank: CandidateRank, now: BootTime) -> bool {
        let patience = match rank {
            CandidateRank::Preferred => self.duration * 2 / 3,
            CandidateRank::Reserve => self.duration * RESERVE_LEASES,
            CandidateRank::Leaving => return false,
        };
        now >= self.barred_until && now.saturating_sub(self.holder_heard) >= patience
    }

    fn read_if_candidate(&self, rank: CandidateRank, now: BootTime) -> LeaseAction {
        let interval = self.duration / RENEWAL_DIVISOR;
        let is_recent = self
            .last_read
            .is_some_and(|last| now.saturating_sub(last) < interval);
        if self.held.is_some() || self.is_candidate(rank, now) && !is_recent {
            LeaseAction::Read
        } else {
            LeaseAction::Wait
        }
    }

    fn may_take_over(&self, rank: CandidateRank, now: BootTime) -> bool {
        if !self.is_candidate(rank, now) {
            return false;
        }
        let Some(SeenLease { record, since, .. }) = &self.seen else {
            return true;
        };
        // Nobody else can have acted since this host's own record.
        let is_own = record.holder == self.own && record.incarnation == self.incarnation;
        let wait = self.duration + self.duration / TAKEOVER_DIVISOR;
        record.released != is_own || now.saturating_sub(*since) >= wait
    }

    /// Notes that an append was sent.
    pub fn record_sent(&mut self, position: LogPosition, record: LeaseRecord, now: BootTime) {
        self.pending = Some(PendingAppend {
            sent: now,
            position,
            record,
        });
    }

    /// Applies the outcome of the append that was sent last. `records`: the number of its records.
    /// Returns whether the lease record is in the log.
    pub fn apply_append(&mut self, outcome: AppendOutcome, records: u64, now: BootTime) -> bool {
        match outcome {
            AppendOutcome::Appended(era) => {
                let Some(pending) = self.pending.take() else {
                    return false;
                };
                if era != pending.position.era {
                    // The offset may have been given out before, in the era that was lost.
                    self.lose("era");
                    return false;
                }
                let end_offset = pending.position.end_offset.saturating_add(records);
                self.position = Some(LogPosition { era, end_offset });
                self.confirm(pending, end_offset.saturating_sub(records), now);
                true
            }
            AppendOutcome::Overtaken => {
                self.pending = None;
                self.position = None;
                self.last_read = None;
                false
            }
            AppendOutcome::Unknown => {
                self.position = None;
                self.last_read = None;
                false
            }
        }
    }

    fn confirm(&mut self, pending: PendingAppend, offset: u64, now: BootTime) {
        let PendingAppend { sent, record, .. } = pending;
        let before = self.held.take();
        if !record.released {
            let since = before.map_or(sent, |held| held.since);
            self.held = Some(HeldLease {
                token: record.token,
                since,
                renewed: sent,
            });
        }
        if before.is_none_or(|held| held.token != record.token) || record.released {
            log::info!(token = record.token, released = record.released, era = record.era; "duties: lease recorded");
        }
        self.holder_heard = now;
        self.seen = Some(SeenLease {
            offset,
            record,
            since: now,
        });
    }

    /// Gives up the lease without writing to the log.
    fn lose(&mut self, cause: &str) {
        if let Some(held) = self.held.take() {
            log::warn!(token = held.token, cause = cause; "duties: lease lost");
        }
        self.position = None;
        self.seen = None;
        self.last_read = None;
    }

    /// Applies what the log holds. Returns whether an append of unknown outcome is in it.
    pub fn apply_listing(&mut self, listing: &DutyListing, now: BootTime) -> bool {
        let era_changed = self
            .position
            .map(|position| position.era)
            .or_else(|| self.seen_record().map(|record| record.era))
            .is_some_and(|era| listing.era > era);
        let pending = self.pending.take();
        let mut is_appended = false;
        if let (Some(pending), Some((offset, record))) = (pending, &listing.lease) {
            let is_same = pending.position.end_offset == *offset
                && pending.position.era == listing.era
                && pending.record == *record;
            if is_same {
                self.confirm(pending, *offset, now);
                is_appended = true;
            }
        }
        let is_known = listing.lease.as_ref().is_some_and(|(offset, record)| {
            let seen = self.seen.as_ref();
            seen.is_some_and(|seen| seen.offset == *offset && seen.record == *record)
        });
        if !is_known || era_changed {
            self.seen = newest_lease(listing, now);
        }
        let is_holder = self.seen_record().is_some_and(|record| {
            record.holder == self.own && record.incarnation == self.incarnation && !record.released
        });
        if self.held.is_some() && (!is_holder || era_changed) {
            self.lose(if era_changed { "era" } else { "overtaken" });
            self.seen = newest_lease(listing, now);
        }
        self.position = Some(LogPosition {
            era: listing.era,
            end_offset: listing.end_offset,
        });
        self.last_read = Some(now);
        is_appended
    }

    /// Applies that the platform knows a higher token than `token`. The host stops at once.
    pub fn apply_fence(&mut self, token: FencingToken, now: BootTime) {
        if self.held.is_none_or(|held| held.token != token) {
            return;
        }
        self.lose("fenced");
        self.min_token = token.saturating_add(FENCED_TOKEN_STEP);
        self.barred_until = now + self.duration;
    }

    /// Leaves the duties to other hosts until `until`.
    pub fn bar(&mut self, until: BootTime) {
        self.barred_until = self.barred_until.max(until);
    }

    /// Makes the next renewal use a higher token, which fences calls that were sent without an
    /// answer and may take effect later.
    pub fn raise_token(&mut self) {
        if let Some(held) = self.held {
            self.min_token = self.min_token.max(held.token.saturating_add(1));
        }
    }

    /// Returns whether a renewal with a higher token is due.
    #[must_use]
    pub fn needs_higher_token(&self) -> bool {
        self.held.is_some_and(|held| held.token < self.min_token)
    }
}

fn newest_lease(listing: &DutyListing, now: BootTime) -> Option<SeenLease> {
    let (offset, record) = listing.lease.clone()?;
    Some(SeenLease {
        offset,
        record,
        since: now,
    })
}
