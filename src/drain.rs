//! Progress of draining the endpoints of a host and of ending the drain.

use compact_str::format_compact;

use crate::progress::{OrderFacts, ProgressVerdict, judge_removal, judge_return};

/// Judges the order that drained a host, or ended its drain; `facts` cover the host's endpoints.
#[must_use]
pub fn judge_drain(host: &str, drained: bool, facts: &OrderFacts) -> ProgressVerdict {
    let subject = format_compact!("host {host}");
    if drained {
        judge_removal(&subject, facts)
    } else {
        judge_return(&subject, facts)
    }
}
