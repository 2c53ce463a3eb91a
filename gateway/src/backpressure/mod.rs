//! What endpoints say of themselves in their answers, and what follows for the requests that this
//! host sends to them. Callers use `SignalTable`.

mod signal;
mod signal_table;

pub use signal::{EndpointSignal, RateMilli, parse_pause, parse_rate_limit};
pub use signal_table::{SignalChange, SignalTable};
