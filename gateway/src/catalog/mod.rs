//! The operators' configuration and the registered endpoints. Callers use `CatalogState` and the
//! entry types.

mod endpoint;
mod removal_hold;
mod routing;
mod state;

pub use endpoint::EndpointEntry;
pub(crate) use removal_hold::REREGISTRATION_TIME;
pub use removal_hold::{HeldRemoval, RemovalHold};
pub use routing::{
    RequestKind, RouteEntry, RouteTarget, RoutingTable, ServiceEntry, UsageCap, UsageUnit,
    WorkspaceEntry,
};
pub use state::{CallerLimits, CatalogChange, CatalogState, ConfigurationSnapshot};
