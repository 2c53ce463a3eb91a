//! Verdicts on zone moves, from what all pool owners say.

use std::time::Duration;

use crate::config_document::ZoneState;
use crate::context::Context;
use crate::events::Effect;
use crate::ids::{HostBrief, PoolName};
use crate::messages::PeerMessage;
use crate::operator::{OpenWatch, WatchTarget, to_count};
use crate::operator_types::ZoneReport;
use crate::progress::OrderFacts;
use crate::state::State;
use crate::zone::judge_zone;
use crate::zone_moves::ZoneMove;
use crate::{reduce_peer, reduce_pool};

/// Longest use of an owner's grant by a host that does not know the move: the validity of a
/// permit and the round trip before it.
const PERMIT_MARGIN: Duration = Duration::from_millis(750);

pub(crate) fn zone_report(state: &State, name: &str, context: &Context) -> Option<ZoneReport> {
    let zone_move = state.moves.zone(name)?;
    let version = state.config.version();
    let confirmation = state.members.confirmations(version, context.now);
    let pools = state.moves.pool_usages(name, &state.pool_names);
    let running = pools.iter().map(|pool| pool.running).sum();
    let facts = OrderFacts {
        recorded: zone_move.applied_at,
        confirmed: zone_move.confirmed_at,
        settle_time: state.members.lease(context.now) + PERMIT_MARGIN,
        now: context.unix_time,
        pools,
    };
    let verdict = judge_zone(name, zone_move.state, &facts);
    let unanswered = unanswered_pool(state, zone_move, context);
    let sentence = unanswered.map(|pool| {
        format!("not done yet because the owner of pool {pool} has not said what it runs")
    });
    Some(ZoneReport {
        zone: name.into(),
        out: zone_move.state == ZoneState::Out,
        config_version: version,
        confirmed: to_count(confirmation.confirmed),
        electorate: to_count(confirmation.electorate),
        in_force: confirmation.majority && confirmation.missing.is_empty(),
        missing_hosts: confirmation.missing,
        running,
        done: verdict.is_done() && sentence.is_none(),
        verdict: sentence.unwrap_or(verdict.sentence),
    })
}

fn unanswered_pool<'a>(
    state: &'a State,
    zone_move: &ZoneMove,
    context: &Context,
) -> Option<&'a PoolName> {
    state
        .moves
        .find_unanswered_pool(&state.pool_names, zone_move.version, context.now)
}

/// Asks the pool owners what they run while an operator watches a zone.
pub(crate) fn query_owners(state: &mut State, context: &Context) -> Vec<Effect> {
    let zone_watched = |watch: &OpenWatch| matches!(watch.target, WatchTarget::Zone(_));
    if !state.operators.watches.iter().any(zone_watched)
        || !state.moves.start_query_if_due(context.now)
    {
        return Vec::new();
    }
    let own = reduce_pool::own_work(state, context);
    state.moves.record_work(own, context.now);
    let others = reduce_peer::other_hosts(state, context);
    let query = |host: HostBrief| Effect::Send {
        to: host.peer_address,
        message: PeerMessage::WorkQuery,
    };
    others.into_iter().map(query).collect()
}

/// Whether the first report of a zone should wait for answers of the pool owners.
pub(crate) fn awaits_answers(state: &State, watch: &OpenWatch, context: &Context) -> bool {
    let WatchTarget::Zone(zone) = &watch.target else {
        return false;
    };
    let unanswered = state
        .moves
        .zone(zone)
        .and_then(|zone_move| unanswered_pool(state, zone_move, context));
    watch.last.is_none() && context.now < watch.answers_until && unanswered.is_some()
}
