//! Time-driven steps of the requests at their home: retries, deadlines, detached requests and
//! expiry.

use std::time::Duration;

use crate::context::Context;
use crate::events::Effect;
use crate::messages::PeerMessage;
use crate::request::{RequestTable, WorkEffect};
use crate::result_code::ResultCode;
use crate::work_entry::{WorkBody, WorkEntry, WorkKey, WorkPhase};

impl RequestTable {
    /// Queues requests again whose backoff is over, ends requests that passed their deadline or
    /// have had no reader for too long, and removes expired answers.
    pub(crate) fn tick(&mut self, context: &Context) -> Vec<WorkEffect> {
        let mut effects = Vec::new();
        let mut expired = Vec::new();
        let mut detached = Vec::new();
        for entry in self.entries.values_mut().filter(|entry| entry.is_open()) {
            let is_generate = matches!(entry.body, WorkBody::Generate { .. });
            let detached_for = entry.detached_since.map_or(Duration::ZERO, |since| {
                context.now.saturating_duration_since(since)
            });
            if let WorkPhase::Queued { retry_at } = &mut entry.phase {
                if entry.deadline <= context.now {
                    expired.push(entry.key.clone());
                    continue;
                }
                if retry_at.is_some_and(|at| at <= context.now) {
                    *retry_at = None;
                    effects.push(WorkEffect::ToOwner {
                        pool: entry.pool.clone(),
                        message: PeerMessage::Enqueue(entry.ticket(context.now)),
                    });
                }
            }
            if is_generate
                && !entry.resumed_elsewhere
                && detached_for >= self.settings.detach_timeout
            {
                detached.push(entry.key.clone());
            }
        }
        expired.sort();
        detached.sort();
        for key in expired {
            effects.extend(self.end_undispatched(&key, ResultCode::DeadlinePassed, context));
        }
        for key in detached {
            effects.extend(self.cancel_entry(&key, context));
        }
        effects.extend(self.remove_expired(context));
        effects
    }

    /// Refuses all queued requests of a pool.
    pub(crate) fn refuse_queued(
        &mut self,
        pool: &str,
        code: ResultCode,
        context: &Context,
    ) -> Vec<WorkEffect> {
        let mut keys: Vec<WorkKey> = self
            .entries
            .values()
            .filter(|entry| entry.pool == pool && matches!(entry.phase, WorkPhase::Queued { .. }))
            .map(|entry| entry.key.clone())
            .collect();
        keys.sort();
        keys.iter()
            .flat_map(|key| self.end(key, code, context))
            .collect()
    }

    /// Removes answers and keys whose retention is over, and the oldest answers if all together are
    /// too large.
    fn remove_expired(&mut self, context: &Context) -> Vec<WorkEffect> {
        let mut effects = Vec::new();
        for _ in 0..self.ended.len() {
            let Some((ended_at, _)) = self.ended.front() else {
                break;
            };
            let kept_for = context.now.saturating_duration_since(*ended_at);
            let is_over = kept_for >= self.settings.answer_retention;
            if !is_over && self.kept_bytes <= self.settings.max_kept_bytes {
                break;
            }
            let Some((_, key)) = self.ended.pop_front() else {
                break;
            };
            let entry = self.entries.get(&key);
            let is_used = |entry: &WorkEntry| {
                !entry.readers.is_empty() || (!is_over && entry.slot().is_some())
            };
            if entry.is_some_and(|entry| !entry.is_open() && is_used(entry)) {
                // A slow reader still receives the rest; its connection bounds the time that this
                // takes.
                self.ended.push_back((context.now, key));
                continue;
            }
            if entry.is_some_and(|entry| !entry.is_open()) {
                self.remove_ended(&key);
                effects.push(Effect::DropStream { key }.into());
            }
        }
        // By this host's clock, a key's timestamp is at most `max_key_lead` after its first use,
        // and the key is valid for `max_key_age` after its timestamp.
        let retention = self.settings.max_key_age + 2 * self.settings.max_key_lead;
        self.keys.remove_expired(context.unix_time, retention);
        effects
    }
}
