//! Lookup tables for a configuration document.

use crate::config_document::{ConfigDocument, TokenDigest, ZoneState};
use crate::ids::{FastMap, FastSet, PoolName, ZoneName};

/// Positions of entries in the document's lists, so that requests need not scan the lists.
#[derive(Clone, Debug, Default)]
pub(crate) struct DocumentIndex {
    workspaces: FastMap<TokenDigest, u32>,
    operators: FastMap<TokenDigest, u32>,
    pools: FastMap<PoolName, u32>,
    zones_out: FastSet<ZoneName>,
}

impl DocumentIndex {
    pub(crate) fn of(document: &ConfigDocument) -> Self {
        let workspaces = document.workspaces.iter().map(|entry| entry.token_sha256);
        let operators = document.operators.iter().map(|entry| entry.token_sha256);
        let out = document
            .zones
            .iter()
            .filter(|entry| entry.state == ZoneState::Out);
        Self {
            workspaces: workspaces.zip(0..).collect(),
            operators: operators.zip(0..).collect(),
            pools: document
                .pools
                .iter()
                .map(|entry| entry.name.clone())
                .zip(0..)
                .collect(),
            zones_out: out.map(|entry| entry.name.clone()).collect(),
        }
    }

    pub(crate) fn set_zone(&mut self, zone: &ZoneName, state: ZoneState) {
        match state {
            ZoneState::In => self.zones_out.remove(zone),
            ZoneState::Out => self.zones_out.insert(zone.clone()),
        };
    }

    pub(crate) fn workspace(&self, token: &str) -> Option<usize> {
        self.workspaces
            .get(&TokenDigest::of(token))
            .map(|index| *index as usize)
    }

    pub(crate) fn operator(&self, token: &str) -> Option<usize> {
        self.operators
            .get(&TokenDigest::of(token))
            .map(|index| *index as usize)
    }

    pub(crate) fn pool(&self, name: &str) -> Option<usize> {
        self.pools.get(name).map(|index| *index as usize)
    }

    pub(crate) fn is_zone_out(&self, zone: &str) -> bool {
        self.zones_out.contains(zone)
    }
}
