//! Outcome of one run at an endpoint.

use std::time::Duration;

use crate::ids::{EndpointId, RouteName, ServiceName, VersionName};

/// Outcome of one run, used to compare versions.
#[derive(Clone, Debug, PartialEq)]
pub struct VersionRun {
    pub service: ServiceName,
    pub version: VersionName,
    pub endpoint: EndpointId,
    pub route: RouteName,
    /// Whether the run was cut off or stalled, or the endpoint answered with a failure.
    pub failed: bool,
    /// Whether the run was abandoned before its end, so that it would have taken longer than
    /// `took`.
    pub unfinished: bool,
    pub took: Duration,
    /// Size of the work, in units of the route: the events of a stream, otherwise the expected
    /// size.
    pub units: f64,
}

impl VersionRun {
    /// Returns the time for one unit of work.
    pub(super) fn pace_ms(&self) -> f64 {
        pace_ms(self.took, self.units)
    }
}

/// Returns the time for one unit of work, in milliseconds.
pub(crate) fn pace_ms(took: Duration, units: f64) -> f64 {
    took.as_secs_f64() * 1_000.0 / units.max(1.0)
}
