//! Decides when a request that may be repeated is sent to a second endpoint because the first one is
//! slow. `docs/design/hedging.md` describes the design.

mod hedge_control;

pub use hedge_control::{HedgeControl, HedgeSettings, size_factor};
