//! Limits that apply across all hosts. Callers use `UsageCaps` and `RetryBudget`.

mod fair_share;
mod relayed_usage;
mod retry_budget;
mod usage_cap;
mod usage_window;

pub use fair_share::{WorkspaceDemand, kept_shares};
pub(crate) use relayed_usage::RelayedUsage;
pub use retry_budget::{RetryBudget, RetryBudgetSettings};
pub use usage_cap::{CapTolerance, UsageCaps, UsageCount, UsageReport, UsageVerdict};
