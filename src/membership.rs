//! Heartbeats, pool ownership by majority leases, start-up and configuration acceptance.
//!
//! `MemberTable::owns` returns true on at most one host for a pool at any instant, because any two
//! majorities share a host, a host promises a pool to one owner at a time, and a lease ends at the
//! owner before the promise ends at the follower (see `FollowTable`). This also holds while hosts
//! have different views of the electorate: each follower reports the size of its electorate, and an
//! owner needs a majority of the largest among the electorates that it counts. It depends on three
//! assumptions: clocks run at equal rates; a host that is missing from the list and silent for
//! `forget_after` has stopped; and within a lease, enough of the hosts that join are listed to the
//! current electors, or send them heartbeats, that a majority of these electors knows of them.
//!
//! A paused process is harmless and need not be detected: leases and promises end by the clock, so
//! a paused owner finds its leases expired when it resumes, and a paused follower has kept its
//! promise for longer than needed. To this end, `Context::now` must be read after the accompanying
//! message was received, and `owns` must be called with a time that is read immediately before the
//! action.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

pub use crate::electorate::EntryListing;

use crate::configs::membership::MemberSettings;
use crate::context::Context;
use crate::electorate::Electorate;
use crate::ids::{
    ConfigVersion, FastMap, FastSet, HostBrief, HostName, HostState, Incarnation, PoolName,
};
use crate::lease::{FollowTable, SendRing};
use crate::member_slot::{HeartbeatEcho, HeartbeatOutcome};
use crate::messages::{Heartbeat, PeerMessage, SuspectEntry, VersionBrake};
use crate::ranking::RankTable;
use crate::start_sync::StartSync;

/// Facts about this host that the membership table does not track itself and sends in heartbeats.
pub struct LocalFacts<'a> {
    pub config_version: ConfigVersion,
    /// Time since the end of the config topic was last reached.
    pub log_age: Duration,
    /// Whether the end of the config topic was reached at least once since this process started.
    pub log_end_read: bool,
    pub brakes: Vec<VersionBrake>,
    pub suspects: Vec<SuspectEntry>,
    pub pools: &'a [PoolName],
}

#[derive(Clone, Debug, PartialEq)]
pub enum MemberEffect {
    Send {
        to: SocketAddr,
        message: PeerMessage,
    },
    /// This host now follows another owner, or none.
    OwnerChanged {
        pool: PoolName,
        owner: Option<HostBrief>,
    },
    OwnershipGained {
        pool: PoolName,
    },
    OwnershipLost {
        pool: PoolName,
    },
    /// The process stopped, was replaced, or sent no heartbeat for `gone_after`.
    HostGone {
        incarnation: Incarnation,
    },
    /// A configuration snapshot must be requested from this peer address.
    FetchSnapshot {
        from: SocketAddr,
    },
    /// Start-up is complete.
    Synced,
}

/// Result of counting electors, such as those that have confirmed a configuration version.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ConfirmationTally {
    pub confirmed: usize,
    pub electorate: usize,
    pub majority: bool,
    pub missing: Vec<HostName>,
}

/// Facts of the latest tick, which heartbeats carry until the next one.
#[derive(Default)]
pub(crate) struct SavedFacts {
    pub(crate) config_version: ConfigVersion,
    pub(crate) log_age: Duration,
    pub(crate) brakes: Vec<VersionBrake>,
    pub(crate) suspects: Vec<SuspectEntry>,
}

/// Members of a host's region and the ownership of their pools, as known to this host.
pub struct MemberTable {
    pub(crate) settings: MemberSettings,
    pub(crate) own: Option<HostBrief>,
    pub(crate) electorate: Electorate,
    pub(crate) ring: SendRing,
    pub(crate) ranks: RankTable,
    pub(crate) follows: FollowTable,
    pub(crate) sync: StartSync,
    pub(crate) synced: bool,
    pub(crate) leaving: bool,
    pub(crate) next_heartbeat: Instant,
    /// Time from which this host follows owners; by then it has received the state of the others.
    pub(crate) follow_from: Instant,
    /// Newest configuration version in any received heartbeat.
    pub(crate) newest_version: ConfigVersion,
    pub(crate) behind_since: Option<Instant>,
    pub(crate) next_catch_up: Instant,
    pub(crate) facts: SavedFacts,
    announced: FastMap<PoolName, Incarnation>,
    owned: FastSet<PoolName>,
}

impl MemberTable {
    #[must_use]
    pub fn new(settings: MemberSettings, seeds: Vec<SocketAddr>, now: Instant) -> Self {
        Self {
            own: None,
            electorate: Electorate::new(seeds),
            ring: SendRing::new(settings.send_ring_size),
            ranks: RankTable::default(),
            follows: FollowTable::default(),
            sync: StartSync::new(now),
            synced: false,
            leaving: false,
            next_heartbeat: now,
            follow_from: now,
            newest_version: 0,
            behind_since: None,
            next_catch_up: now,
            facts: SavedFacts::default(),
            announced: FastMap::default(),
            owned: FastSet::default(),
            settings,
        }
    }

    /// Applies the newest host list.
    pub fn apply_listing(&mut self, listing: &[EntryListing], context: &Context) {
        self.record_own(context);
        let (own, now) = (&context.brief, context.now);
        self.electorate
            .apply_listing(listing, own, &self.settings, now);
    }

    /// Processes a heartbeat of another host.
    pub fn receive_heartbeat(
        &mut self,
        from: &HostBrief,
        heartbeat: &Heartbeat,
        facts: &LocalFacts,
        context: &Context,
    ) -> Vec<MemberEffect> {
        self.record_own(context);
        let own = &context.brief;
        if from.region != own.region || from.peer_address == own.peer_address {
            return Vec::new();
        }
        self.newest_version = self.newest_version.max(heartbeat.config_version);
        let echo = self.match_echo(heartbeat, own.incarnation);
        let outcome = self
            .electorate
            .record_heartbeat(from, heartbeat, echo, context.now);
        let mut effects = Vec::new();
        match outcome {
            HeartbeatOutcome::Ignored => {}
            HeartbeatOutcome::Accepted => self.release_if_leaving(from, heartbeat.state),
            HeartbeatOutcome::Replaced(incarnation) => {
                effects.push(MemberEffect::HostGone { incarnation });
                self.release_if_leaving(from, heartbeat.state);
            }
        }
        self.update_ownership(facts, context.now, &mut effects);
        effects
    }

    /// Processes the goodbye of a host that has stopped.
    pub fn receive_goodbye(&mut self, from: &HostBrief, context: &Context) -> Vec<MemberEffect> {
        self.record_own(context);
        // A delayed goodbye also ends promises, because its sender never owns a pool again.
        self.follows.release(from.incarnation);
        let incarnation = from.incarnation;
        let mut effects = Vec::new();
        if self
            .electorate
            .record_goodbye(from, &self.settings, context.now)
        {
            effects.push(MemberEffect::HostGone { incarnation });
        }
        self.announce_owners(&[], context.now, &mut effects);
        effects
    }

    /// Records a snapshot that the caller has applied, for the start-up synchronisation.
    pub fn receive_snapshot(
        &mut self,
        from: &HostBrief,
        version: ConfigVersion,
        context: &Context,
    ) -> Vec<MemberEffect> {
        self.record_own(context);
        if !self.synced {
            self.sync
                .record_snapshot(from.peer_address, from.incarnation, version);
        }
        Vec::new()
    }

    /// Performs the actions that are due. Must be called at least once per heartbeat interval,
    /// preferably every 50 ms.
    pub fn tick(&mut self, facts: &LocalFacts, context: &Context) -> Vec<MemberEffect> {
        self.record_own(context);
        let now = context.now;
        let mut effects = Vec::new();
        for incarnation in self.electorate.expire(&self.settings, now) {
            effects.push(MemberEffect::HostGone { incarnation });
        }
        self.save_facts(facts);
        if !self.synced {
            self.advance_start_up(facts, now, &mut effects);
        }
        if self.synced {
            self.catch_up(facts, now, &mut effects);
            self.refresh_follows(facts, context);
        }
        if now >= self.next_heartbeat {
            self.send_heartbeats(context, &mut effects);
        }
        self.update_ownership(facts, now, &mut effects);
        effects
    }

    /// Announces that this host is leaving and gives up its ownerships for good. The caller sends
    /// `Goodbye` when the process stops.
    pub fn leave(&mut self, context: &Context) -> Vec<MemberEffect> {
        self.record_own(context);
        self.leaving = true;
        self.follows.release(context.brief.incarnation);
        let mut effects = Vec::new();
        let mut lost: Vec<_> = self.owned.drain().collect();
        lost.sort_unstable();
        for pool in lost {
            effects.push(MemberEffect::OwnershipLost { pool });
        }
        // The promises were last renewed for older heartbeats, so these heartbeats must not carry
        // them.
        self.follows.retain(&[], context.now);
        self.send_heartbeats(context, &mut effects);
        self.announce_owners(&[], context.now, &mut effects);
        effects
    }

    fn record_own(&mut self, context: &Context) {
        if self.own.is_none() {
            self.own = Some(context.brief.clone());
            self.electorate.remove_own(&context.brief);
        }
    }

    fn save_facts(&mut self, facts: &LocalFacts) {
        self.facts = SavedFacts {
            config_version: facts.config_version,
            log_age: facts.log_age,
            brakes: facts.brakes.clone(),
            suspects: facts.suspects.clone(),
        };
    }

    fn match_echo(&self, heartbeat: &Heartbeat, own: Incarnation) -> HeartbeatEcho {
        let own_echo = heartbeat.echo_incarnation == own;
        let sequence = if own_echo { heartbeat.echo } else { 0 };
        HeartbeatEcho {
            sequence,
            sent_at: self.ring.sent_at(sequence),
            newest: self.ring.newest(),
        }
    }

    fn release_if_leaving(&mut self, from: &HostBrief, state: HostState) {
        if state == HostState::Leaving {
            self.follows.release(from.incarnation);
        }
    }

    /// Updates the owned pools and emits the changes of ownership and of followed owners.
    fn update_ownership(
        &mut self,
        facts: &LocalFacts,
        now: Instant,
        effects: &mut Vec<MemberEffect>,
    ) {
        let owned: Vec<_> = self.owned.iter().cloned().collect();
        for pool in owned {
            // A host that is behind in the configuration grants nothing, but keeps its state of the
            // pool, because no other host can own it.
            let keeps = self.own_state(now) == HostState::Live && self.holds_majority(&pool, now);
            if !facts.pools.contains(&pool) || !keeps {
                self.owned.remove(&pool);
                effects.push(MemberEffect::OwnershipLost { pool });
            }
        }
        for pool in facts.pools {
            if !self.owned.contains(pool) && self.owns(pool, facts.config_version, now) {
                self.owned.insert(pool.clone());
                effects.push(MemberEffect::OwnershipGained { pool: pool.clone() });
            }
        }
        self.announce_owners(facts.pools, now, effects);
    }

    fn announce_owners(
        &mut self,
        pools: &[PoolName],
        now: Instant,
        effects: &mut Vec<MemberEffect>,
    ) {
        let mut pools = pools.to_vec();
        pools.extend(self.announced.keys().cloned());
        pools.sort_unstable();
        pools.dedup();
        for pool in pools {
            let owner = self.owner(&pool, now).cloned();
            let incarnation = owner.as_ref().map(|owner| owner.incarnation);
            if self.announced.get(&pool).copied() == incarnation {
                continue;
            }
            match incarnation {
                Some(incarnation) => self.announced.insert(pool.clone(), incarnation),
                None => self.announced.remove(&pool),
            };
            effects.push(MemberEffect::OwnerChanged { pool, owner });
        }
    }
}
