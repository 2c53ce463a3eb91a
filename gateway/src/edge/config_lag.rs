//! Notices when reachable hosts have a newer configuration than this host for longer than it takes
//! to read one from the store.

use std::time::{Duration, Instant};

use super::state::Edge;

/// Time after which a lag is logged: by then a host has read the configuration from the store.
const MIN_LOGGED_LAG: Duration = Duration::from_millis(250);

/// Since when reachable hosts have had a newer configuration.
#[derive(Debug, Default)]
pub(crate) struct ConfigLag {
    since: Option<Instant>,
    is_logged: bool,
}

impl Edge {
    /// Logs the beginning and the end of a lag behind the configuration of other hosts.
    pub(super) fn observe_config_lag(&self, now: Instant) {
        let state = &mut *self.state.borrow_mut();
        let own_version = state.catalog.version();
        let newest = state.members.newest_configuration(now);
        let newer = newest.filter(|(_, version)| *version > own_version);
        let lag = &mut state.config_lag;
        let Some((peer, version)) = newer else {
            let ended = std::mem::take(lag);
            if let Some(since) = ended.since.filter(|_| ended.is_logged) {
                let lag_ms = now.duration_since(since).as_millis();
                log::info!(version = own_version, lag_ms = lag_ms; "config: caught up with other hosts");
            }
            return;
        };
        let since = *lag.since.get_or_insert(now);
        if !lag.is_logged && now.duration_since(since) >= MIN_LOGGED_LAG {
            lag.is_logged = true;
            self.count("config_lag");
            let store_reached = state.feed_positions.is_store_reachable();
            log::warn!(
                in_force = own_version, version = version, peer = peer.to_string().as_str(), store_reached = store_reached;
                "config: behind other hosts"
            );
        }
    }
}
