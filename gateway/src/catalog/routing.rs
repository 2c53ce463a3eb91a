//! Routes, services and workspaces of one configuration.

use std::rc::Rc;
use std::time::Duration;

use compact_str::CompactString;

use crate::ids::{FastMap, RouteName, ServiceName, TierNumber, WorkspaceName};

/// What may be repeated, and how the response is passed on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// Idempotent: may run more than once.
    Idempotent,
    /// Runs at most once.
    AtMostOnce,
    /// A stream of events that may go on at another endpoint.
    ResumableStream,
    /// A stream of events that runs at most once.
    PlainStream,
}

impl RequestKind {
    #[must_use]
    pub fn is_stream(self) -> bool {
        matches!(self, Self::ResumableStream | Self::PlainStream)
    }

    /// Whether another endpoint may run it after one may have run it.
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
    /// Begins and ends with a slash.
    pub path_prefix: CompactString,
    pub kind: RequestKind,
    /// Longest time until the final answer.
    pub timeout: Duration,
    /// Time to the first byte within which an answer counts as on time.
    pub latency_target: Duration,
    /// Longest pause between events of a stream that is still on time.
    pub event_gap_target: Duration,
    pub tier: TierNumber,
    pub targets: Vec<RouteTarget>,
    /// Most endpoints that one request may be sent to.
    pub max_attempts: u32,
    /// Needs no key.
    pub public: bool,
}

impl RouteEntry {
    /// Picks a service by weight; `draw` is uniform in 0..1.
    #[must_use]
    pub fn pick_target(&self, draw: f64) -> Option<&ServiceName> {
        let total: u32 = self.targets.iter().map(|target| target.weight).sum();
        let mut rest = draw * f64::from(total);
        let picked = self.targets.iter().find(|target| {
            rest -= f64::from(target.weight);
            rest < 0.0
        });
        picked
            .or_else(|| self.targets.iter().rfind(|target| target.weight > 0))
            .map(|target| &target.service)
    }
}

#[derive(Clone, Debug, PartialEq)]
pub struct ServiceEntry {
    pub name: ServiceName,
    /// Time for which an endpoint is cold after its start.
    pub cold_start: Duration,
    /// Requests per second that a cold endpoint bears; 0 means that it is never cold.
    pub cold_rate_per_s: f64,
    /// Runs requests in batches and reads prompts.
    pub model_engine: bool,
    /// Tokens in one event of a stream, where the deployment says so.
    pub tokens_per_event: Option<u32>,
}

/// Tokens in one event where the deployment doesn't say.
const USUAL_EVENT_TOKENS: u32 = 7;

impl ServiceEntry {
    /// Events of a stream of so many tokens.
    #[must_use]
    pub fn event_count(&self, tokens: u32) -> f64 {
        let per_event = self.tokens_per_event.unwrap_or(USUAL_EVENT_TOKENS);
        f64::from(tokens) / f64::from(per_event.max(1))
    }
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum UsageUnit {
    Requests,
    Tokens,
}

/// A limit on what a workspace may use, over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct UsageCap {
    pub unit: UsageUnit,
    pub rate_per_s: f64,
    pub burst: f64,
    /// Tokens counted for a request that does not announce its usage.
    pub default_tokens: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub struct WorkspaceEntry {
    pub name: WorkspaceName,
    /// Goes before the tier of the route.
    pub tier: Option<TierNumber>,
    pub cap: Option<UsageCap>,
}

/// Finds routes by host and path, and workspaces by key.
#[derive(Debug, Default)]
pub struct RoutingTable {
    /// By host; the longest prefix first.
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

    /// Returns the route of `host` with the longest prefix that begins `path`.
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

    /// Whether callers need a key at all.
    #[must_use]
    pub fn has_workspaces(&self) -> bool {
        self.has_workspaces
    }

    /// Iterates over the workspaces that hold at least one key.
    pub fn workspaces(&self) -> impl Iterator<Item = &Rc<WorkspaceEntry>> {
        self.keys.values()
    }
}
