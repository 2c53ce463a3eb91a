//! Shares of requests that versions under rollout receive.

use rollout_judge::{FULL_SHARE_PERMILLE, RolloutSide, ShareCount};

use crate::ids::{FastMap, ServiceName, VersionName};
use crate::rollouts::VersionShare;

#[derive(Debug)]
struct ShareEntry {
    version: VersionName,
    permille: u16,
    count: ShareCount,
}

#[derive(Debug, Default)]
pub(crate) struct VersionShares {
    entries: FastMap<ServiceName, ShareEntry>,
}

impl VersionShares {
    pub fn apply_share(&mut self, share: VersionShare) {
        let previous = self.entries.remove(&share.service);
        let Some(permille) = share.permille else {
            return;
        };
        let mut count = previous
            .filter(|entry| entry.version == share.version)
            .map(|entry| entry.count)
            .unwrap_or_default();
        count.limit_credit();
        let entry = ShareEntry {
            version: share.version,
            permille,
            count,
        };
        self.entries.insert(share.service, entry);
    }

    /// Returns the version under rollout and the side that the next request should go to.
    pub fn next_side(&self, service: &ServiceName) -> Option<(&VersionName, RolloutSide)> {
        let entry = self.entries.get(service)?;
        Some((&entry.version, entry.count.side(entry.permille)))
    }

    /// Returns whether the version under rollout receives all requests of the service.
    pub fn has_full_share(&self, service: &ServiceName) -> bool {
        let entry = self.entries.get(service);
        entry.is_some_and(|entry| entry.permille >= FULL_SHARE_PERMILLE)
    }

    pub fn record_dispatch(&mut self, service: &ServiceName, version: &VersionName) {
        if let Some(entry) = self.entries.get_mut(service) {
            let side = if entry.version == *version {
                RolloutSide::New
            } else {
                RolloutSide::Old
            };
            entry.count.record_dispatch(side, entry.permille);
        }
    }
}
