//! Events of the platform's host list.

use crate::context::Context;
use crate::events::{Effect, HostListing};
use crate::reduce_pool;
use crate::state::State;

/// Takes a new list; without an answer the last one stays in use.
pub(crate) fn take_listing(
    state: &mut State,
    listing: Option<HostListing>,
    context: &mut Context,
) -> Vec<Effect> {
    let Some(listing) = listing else {
        return Vec::new();
    };
    state.members.apply_listing(&listing.entries, context);
    let mut endpoints = state.smoother.smooth(&listing.endpoints, context.now);
    endpoints.retain(|endpoint| endpoint.region == state.region);
    state.listing = listing;
    if endpoints == state.endpoints {
        return Vec::new();
    }
    log::info!(endpoints = endpoints.len(); "list: the region's endpoints have changed");
    state.endpoints = endpoints;
    reduce_pool::refresh_views(state, context)
}
