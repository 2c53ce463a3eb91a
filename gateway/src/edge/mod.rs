//! The network side of a host: its sockets, and the code that connects them to the scheduler, the
//! catalog and the limits. The entry points are `Edge`, `EdgeSettings`, `WireDialect` and
//! `run_edge`.

mod accept;
mod admit;
mod answer_signals;
mod body;
mod catalog_changes;
mod config_lag;
mod connection_pool;
mod datagrams;
mod dialect;
mod directory;
mod dispatch;
mod duty_control;
mod event_relay;
mod event_splitter;
mod failover;
mod fair_share_control;
mod forward;
mod headers;
mod hedge_sends;
mod hosts;
mod in_flight;
mod introduction;
mod isolation_control;
mod lingering_stream;
mod metrics;
mod peer_messages;
mod peer_relay;
mod placement;
mod quarantine_control;
mod reply;
mod rollout_control;
mod run;
mod settings;
mod state;
mod stop_gate;
mod store_updates;

pub use dialect::{CatalogArchive, HeaderNames, WireDialect};
pub use directory::CATALOG_PATH;
pub use event_splitter::{CompleteEvents, EventSplitter, OversizedEvent};
pub use reply::EdgeFault;
pub use run::run_edge;
pub use settings::EdgeSettings;
pub use state::Edge;
