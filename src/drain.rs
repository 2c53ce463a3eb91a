//! Progress of draining a host's endpoints and of returning them to service.

use compact_str::format_compact;

use crate::progress::{OrderFacts, ProgressVerdict, judge_removal, judge_return};

/// Judges the progress of an operator's order to drain a host or to end its drain. `facts` describe
/// the host's endpoints.
#[must_use]
pub fn judge_drain(host: &str, drained: bool, facts: &OrderFacts) -> ProgressVerdict {
    let subject = format_compact!("host {host}");
    if drained {
        judge_removal(&subject, facts)
    } else {
        judge_return(&subject, facts)
    }
}
