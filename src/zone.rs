//! Progress of taking an availability zone out of service and of returning it to service.

use compact_str::format_compact;

use crate::config_document::ZoneState;
use crate::progress::{OrderFacts, ProgressVerdict, judge_removal, judge_return};

/// Judges the progress of an operator's order to set a zone to `state`. `facts` describe the
/// endpoints in the zone.
#[must_use]
pub fn judge_zone(zone: &str, state: ZoneState, facts: &OrderFacts) -> ProgressVerdict {
    let subject = format_compact!("zone {zone}");
    match state {
        ZoneState::In => judge_return(&subject, facts),
        ZoneState::Out => judge_removal(&subject, facts),
    }
}
