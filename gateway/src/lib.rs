//! The gateway of wisteriapin. It receives requests of callers, chooses an endpoint for each and
//! passes the responses back unchanged. `docs/platform.md` describes the design.

pub mod backpressure;
pub mod catalog;
pub mod configs;
pub mod duties;
pub mod edge;
mod gossip;
pub mod hedging;
pub mod ids;
pub mod isolation;
pub mod limits;
pub mod membership;
pub mod quarantine;
mod rendezvous;
pub mod rollouts;
pub mod scheduler;
