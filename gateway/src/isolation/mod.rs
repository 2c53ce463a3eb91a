//! Whether this host reaches any endpoint. Callers use `ContactMonitor`.

mod contact_monitor;

pub use contact_monitor::{ContactChange, ContactMonitor};
