//! Finds the contents that crash every endpoint that begins to answer a request with them, such as a
//! part of a prompt, and blocks requests that hold them. Callers use `QuarantineTable`.

mod blocked_content;
mod crash_evidence;
mod crash_record;
mod quarantine_report;
mod quarantine_table;
mod report_exchange;

pub use quarantine_report::{BlockReport, ClearReport, CrashReport, QuarantineReport};
pub use quarantine_table::{BLOCK_TIME, QuarantineChange, QuarantineTable, QuarantineVerdict};
