//! Duties that one host at a time performs for the whole fleet: usage reports and orders of
//! endpoints. `DutyState` decides, without a network, who holds the duties, what is reported and
//! what is ordered; `docs/design/duties.md` describes the design.

mod capacity_plan;
mod demand_counter;
mod duty_records;
mod duty_state;
mod fleet_clock;
mod lease;
mod messages;
mod usage_counter;
mod usage_ledger;

pub use capacity_plan::{
    CapacityObservation, CapacityPlan, EndpointOrder, ScalingBounds, ZoneEndpoints,
};
pub use duty_records::{DutyListing, DutyRecord, LeaseRecord, UsageRecord};
pub use duty_state::{
    CallOutcome, DutyCall, DutyHosts, DutyLogAction, DutySettings, DutyState, DutyStatus,
};
pub use fleet_clock::{ClockReading, FleetClock};
pub use lease::{AppendOutcome, CandidateRank, LeaseAction, LeaseState, LogPosition};
pub use messages::{DemandReport, DutyPoll, DutyReply, WindowCounts};
pub use usage_counter::UsageCounter;
pub use usage_ledger::UsageLedger;

/// Time since the host's machine started, including the time for which it was suspended.
pub type BootTime = std::time::Duration;
/// Number that increases with each change of the holder of the duties.
pub type FencingToken = u64;
/// Number of a reporting window; window 0 began at the start of 1970.
pub type WindowNumber = u64;
/// Number that the log states in its responses. It increases when the log has lost records.
pub type LogEra = u64;

/// Returns a time in whole milliseconds.
fn millis(time: std::time::Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
