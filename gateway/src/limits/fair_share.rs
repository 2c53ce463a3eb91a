//! Shares of workspaces in a service that cannot serve all.
//!
//! The load that it answers: some workspaces ask for many times their usual, within their caps, and
//! the endpoints have room for a part of all requests. Without shares every workspace is served the
//! same part of its requests, so quiet ones pay for loud ones. With them each may use the same
//! multiple of its cap's rate (max-min fairness weighted by the rate); what a quiet one leaves goes
//! to the others.

use crate::ids::{FastMap, NameHash, TierNumber};

/// Part of the demand from which on no workspace is limited. Single refusals are no overload.
const SERVED_ENOUGH: f64 = 0.95;

/// Factor on what was served, so that the shares grow until endpoints are full: refusals for shares
/// are not served either and would keep the shares down.
const GROWTH: f64 = 1.1;

/// Share from which on a workspace isn't limited: demand varies as much by chance.
const MAX_LIMITED_SHARE: f64 = 0.8;

/// Recent usage of a workspace over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct WorkspaceDemand {
    pub workspace: NameHash,
    /// Workspaces share only with those of the same tier.
    pub tier: Option<TierNumber>,
    /// Rate of the cap, by which the workspace is weighted.
    pub weight: f64,
    /// Units within the cap that were asked for.
    pub asked: f64,
    /// Units of these that were served.
    pub served: f64,
}

/// Returns the part of its requests that each workspace may send, where that is clearly less than
/// for most others. Those may send all, so that the rest of the overload is left to the queue, which
/// knows the tiers of routes.
#[must_use]
pub fn kept_shares(demands: &[WorkspaceDemand]) -> FastMap<NameHash, f64> {
    let mut tiers: FastMap<Option<TierNumber>, Vec<&WorkspaceDemand>> = FastMap::default();
    for demand in demands {
        if demand.asked > 0.0 && demand.weight > 0.0 {
            tiers.entry(demand.tier).or_default().push(demand);
        }
    }
    let mut kept = FastMap::default();
    for tier in tiers.values() {
        let asked: f64 = tier.iter().map(|demand| demand.asked).sum();
        let served: f64 = tier.iter().map(|demand| demand.served).sum();
        if served >= SERVED_ENOUGH * asked {
            continue;
        }
        let level = fair_level(tier, served * GROWTH);
        let part = |demand: &WorkspaceDemand| (level * demand.weight / demand.asked).min(1.0);
        let mut parts: Vec<_> = tier.iter().map(|demand| part(demand)).collect();
        let middle = parts.len() / 2;
        let (_, usual, _) = parts.select_nth_unstable_by(middle, f64::total_cmp);
        for demand in tier {
            let share = part(demand) / usual.max(f64::MIN_POSITIVE);
            if share < MAX_LIMITED_SHARE {
                kept.insert(demand.workspace, share);
            }
        }
    }
    kept
}

/// Returns the multiple of its weight up to which each workspace is served, so that all together get
/// `served`.
fn fair_level(demands: &[&WorkspaceDemand], served: f64) -> f64 {
    let mut by_ratio: Vec<_> = demands
        .iter()
        .map(|demand| (demand.asked / demand.weight, demand))
        .collect();
    by_ratio.sort_by(|a, b| a.0.total_cmp(&b.0));
    let mut rest = served;
    let mut weight: f64 = demands.iter().map(|demand| demand.weight).sum();
    for (ratio, demand) in by_ratio {
        let level = rest / weight;
        if ratio >= level {
            return level;
        }
        rest -= demand.asked;
        weight -= demand.weight;
    }
    f64::INFINITY
}
