//! What endpoints say of themselves in their answers, and what follows for the requests that this
//! host sends to them. Callers use `SignalTable`.

mod endpoint_signals;
mod limit_share;
mod signal;
mod signal_report;
mod signal_table;

pub use endpoint_signals::SignalChange;
pub use limit_share::{SenderShare, SenderView, sender_share};
pub use signal::{EndpointSignal, RateMilli, parse_pause, parse_rate_limit};
pub use signal_report::{ReportedSignal, SignalReport};
pub use signal_table::{SendPermission, SignalCounts, SignalTable};
