//! Routes, services and workspaces of one configuration.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;

use crate::duties::ScalingBounds;
use crate::ids::{FastMap, RouteName, ServiceName, TierNumber, WorkspaceName};

/// Whether a request may be repeated, and how its response is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// A request that may run more than once.
    Idempotent,
    /// A request that must run at most once.
    AtMostOnce,
    /// An event stream that another endpoint may resume.
    ResumableStream,
    /// An event stream that must run at most once.
    PlainStream,
}

impl RequestKind {
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::PlainStream)
    }

    /// Returns whether the request may be sent to another endpoint after it may have run at one.
    #[must_use]
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteTarget {
    pub service: ServiceName,
    pub weight: u32,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RouteEntry {
    pub name: RouteName,
    pub host: CompactString,
    /// Path prefix that begins and ends with a slash.
    pub path_prefix: CompactString,
    pub kind: RequestKind,
    /// Maximum time until the response is complete.
    pub timeout: Duration,
    /// Maximum time to the first byte of a response that is on time.
    pub latency_target: Duration,
    /// Maximum pause between the events of a stream that is on time.
    pub event_gap_target: Duration,
    pub tier: TierNumber,
    pub targets: Vec<RouteTarget>,
    /// Maximum number of endpoints to which one request is sent.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub public: bool,
}

impl RouteEntry {
    /// Picks a service by weight. `draw` is a uniform random number in `0..1`.
    #[must_use]
    pub fn pick_target(&self, draw: f64) -> Option<&ServiceName> {
        let weights = self.targets.iter().map(|target| f64::from(target.weight));
        let mut remaining = draw * weights.sum::<f64>();
        let picked = self.targets.iter().find(|target| {
            remaining -= f64::from(target.weight);
            remaining < 0.0
        });
        picked
            .or_else(|| self.targets.iter().rfind(|target| target.weight > 0))
            .map(|target| &target.service)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    pub name: ServiceName,
    /// Time for which an endpoint is cold after it starts.
    pub cold_start: Duration,
    /// Requests per second that a cold endpoint can handle; 0 if endpoints are never cold.
    pub cold_rate_per_s: f64,
    /// Whether the endpoints are model engines, which process prompts and run requests in batches.
    pub model_engine: bool,
    /// Tokens per event of a stream, if configured.
    pub tokens_per_event: Option<u32>,
    /// How many endpoints may be ordered; `None` if they are not ordered by this system.
    pub scaling: Option<ScalingBounds>,
}

/// Tokens per event of a stream if not configured.
const DEFAULT_TOKENS_PER_EVENT: u32 = 7;

impl ServiceEntry {
    /// Returns the number of events of a stream with this number of tokens.
    #[must_use]
    pub fn event_count(&self, tokens: u32) -> f64 {
        let per_event = self.tokens_per_event.unwrap_or(DEFAULT_TOKENS_PER_EVENT);
        f64::from(tokens) / f64::from(per_event.max(1))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageUnit {
    Requests,
    Tokens,
}

/// A limit on the usage of a workspace, shared by all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageCap {
    pub unit: UsageUnit,
    pub rate_per_s: f64,
    pub burst: f64,
    /// Tokens counted for a request that does not state its expected usage.
    pub default_tokens: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceEntry {
    pub name: WorkspaceName,
    /// Tier of the workspace, which overrides the tier of the route.
    pub tier: Option<TierNumber>,
    pub cap: Option<UsageCap>,
}

/// Finds routes by host and path, and workspaces by key.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// Routes by host, longest prefix first.
    routes: FastMap<CompactString, Vec<Rc<RouteEntry>>>,
    services: FastMap<ServiceName, ServiceEntry>,
    keys: FastMap<CompactString, Rc<WorkspaceEntry>>,
    has_workspaces: bool,
}

impl RoutingTable {
    #[must_use]
    pub fn new(
        routes: Vec<RouteEntry>,
        services: Vec<ServiceEntry>,
        workspaces: Vec<(WorkspaceEntry, Vec<CompactString>)>,
    ) -> Self {
        let mut table = Self {
            has_workspaces: !workspaces.is_empty(),
            ..Self::default()
        };
        for route in routes {
            let list = table.routes.entry(route.host.clone()).or_default();
            list.push(Rc::new(route));
        }
        for list in table.routes.values_mut() {
            list.sort_by_key(|route| std::cmp::Reverse(route.path_prefix.len()));
        }
        for service in services {
            table.services.insert(service.name.clone(), service);
        }
        for (workspace, keys) in workspaces {
            let workspace = Rc::new(workspace);
            for key in keys {
                table.keys.insert(key, Rc::clone(&workspace));
            }
        }
        table
    }

    /// Returns the route of `host` with the longest prefix that matches `path`.
    #[must_use]
    pub fn find_route(&self, host: &str, path: &str) -> Option<&Rc<RouteEntry>> {
        let list = self.routes.get(host)?;
        list.iter()
            .find(|route| path.starts_with(route.path_prefix.as_str()))
    }

    #[must_use]
    pub fn service(&self, name: &str) -> Option<&ServiceEntry> {
        self.services.get(name)
    }

    pub fn services(&self) -> impl Iterator<Item = &ServiceEntry> {
        self.services.values()
    }

    #[must_use]
    pub fn workspace(&self, key: &str) -> Option<&Rc<WorkspaceEntry>> {
        self.keys.get(key)
    }

    /// Returns whether any workspace is configured. Otherwise callers need no key.
    #[must_use]
    pub fn has_workspaces(&self) -> bool {
        self.has_workspaces
    }

    /// Iterates over the workspaces by key; a workspace appears once for each of its keys.
    pub fn workspaces(&self) -> impl Iterator<Item = &Rc<WorkspaceEntry>> {
        self.keys.values()
    }
}
