//! The records that the holder of the duties keeps in the log.

use std::collections::BTreeMap;

use serde::{Deserialize, Serialize};

use super::{EndpointOrder, FencingToken, LogEra, WindowNumber};
use crate::ids::{HostAddress, Incarnation, WorkspaceName};

/// Who holds the duties, and what the next holder needs to know. Each renewal is a new record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeaseRecord {
    pub holder: HostAddress,
    pub incarnation: Incarnation,
    pub token: FencingToken,
    /// Era of the log in which the record was written.
    pub era: LogEra,
    /// Whether the holder has given the duties up, so that the next one need not wait.
    pub released: bool,
    /// First window that a holder may count itself. Reports of earlier windows may have been sent
    /// and are lost with an earlier era of the log.
    pub reports_from: WindowNumber,
    /// The orders of endpoints in force.
    pub orders: Vec<EndpointOrder>,
}

/// The counts of a window as they were or will be reported. They are recorded before they are sent,
/// so that a repeat by another holder is the same.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct UsageRecord {
    pub window: WindowNumber,
    pub counts: BTreeMap<WorkspaceName, u64>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum DutyRecord {
    Lease(LeaseRecord),
    Usage(UsageRecord),
}

/// What the log holds.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct DutyListing {
    pub era: LogEra,
    /// Offset at which the next record is appended.
    pub end_offset: u64,
    /// The newest lease record and its offset.
    pub lease: Option<(u64, LeaseRecord)>,
    pub usage: Vec<UsageRecord>,
}
