//! The sockets of one host and what connects them to the decisions. Callers use `Edge`,
//! `EdgeSettings`, `WireDialect` and `run_edge`.

mod accept;
mod admit;
mod body;
mod catalog_changes;
mod connection_pool;
mod dialect;
mod directory;
mod dispatch;
mod event_splitter;
mod exchange;
mod forward;
mod headers;
mod hosts;
mod metrics;
mod peers;
mod placement;
mod relay;
mod reply;
mod rollout_duty;
mod run;
mod settings;
mod state;
mod store_news;

pub use dialect::{CatalogArchive, HeaderNames, WireDialect};
pub use directory::CATALOG_PATH;
pub use event_splitter::{CompleteEvents, EventSplitter, OversizedEvent};
pub use reply::EdgeFault;
pub use run::run_edge;
pub use settings::EdgeSettings;
pub use state::Edge;
