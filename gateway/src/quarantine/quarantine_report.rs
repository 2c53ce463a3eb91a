//! What hosts tell each other of crashes and of the contents that cause them. Times are ages, because
//! hosts share no clock.

use serde::{Deserialize, Serialize};

use crate::ids::{ContentHash, HostAddress, IncarnationHash, NameHash};

/// Maximum number of reports in one message, which bounds the traffic when many endpoints crash.
pub(super) const MAX_REPORTS: usize = 24;
/// Maximum number of contents in the crashes of one message.
pub(super) const MAX_REPORTED_CONTENTS: usize = 128;

/// The crash of one incarnation of an endpoint.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    pub endpoint: IncarnationHash,
    pub service: NameHash,
    /// Milliseconds since the crash.
    pub ago_ms: u32,
    /// Contents of the requests whose answers the endpoint may have been about to begin.
    pub contents: Vec<ContentHash>,
    /// Some hosts whose requests the crash ended.
    pub seen_by: Vec<HostAddress>,
    /// Whether the endpoint has answered since, so that only a connection was lost.
    pub refuted: bool,
}

/// A content that is blocked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BlockReport {
    pub content: ContentHash,
    /// Number of crashes on which the block is based.
    pub crashes: u16,
    /// Milliseconds since the last of them.
    pub ago_ms: u32,
    /// Other contents that were in all of these crashes.
    pub companions: Vec<ContentHash>,
    /// Some hosts that saw the crashes.
    pub seen_by: Vec<HostAddress>,
    /// Milliseconds since a request was sent to tell the content from its companions.
    pub trial_ago_ms: Option<u32>,
}

/// A content with which an endpoint has begun an answer and gone on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ClearReport {
    pub content: ContentHash,
    /// Milliseconds since the answer began.
    pub ago_ms: u32,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum QuarantineReport {
    Crash(CrashReport),
    Block(BlockReport),
    Clear(ClearReport),
}
