//! Operators' open calls: changes on their way into force, and watches.

use std::time::{Duration, Instant};

use compact_str::CompactString;

use crate::config_state::ApplyOutcome;
use crate::events::{Effect, OperatorId};
use crate::ids::{ConfigVersion, FastMap, LogOffset, RolloutName, ZoneName};
use crate::operator_types::{ChangeReport, OperatorReply, OperatorResult};
use crate::result_code::ResultCode;

/// Longest wait for a change to be recorded and confirmed.
const CHANGE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time that a change confirmed by most hosts waits for the others.
const STRAGGLER_WAIT: Duration = Duration::from_secs(1);
const MAX_OPEN: usize = 256;

/// Makes the reply that belongs to a change.
pub(crate) type ReplyMaker = fn(ChangeReport) -> OperatorReply;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ChangeStage {
    /// The append has not been answered, or its answer was lost.
    Recording,
    /// Recorded; more than half of the hosts must confirm this version.
    Confirming {
        version: ConfigVersion,
        majority_at: Option<Instant>,
    },
}

#[derive(Debug)]
pub(crate) struct OpenChange {
    pub operator: OperatorId,
    pub maker: ReplyMaker,
    pub stage: ChangeStage,
    pub began: Instant,
    /// Code for the time-out while the record has not been seen.
    pub unseen_code: ResultCode,
}

#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum WatchTarget {
    Rollout(RolloutName),
    Zone(ZoneName),
}

#[derive(Debug)]
pub(crate) struct OpenWatch {
    pub operator: OperatorId,
    pub target: WatchTarget,
    /// Until then the first report of a zone waits for the answers of the pool owners.
    pub answers_until: Instant,
    pub last: Option<OperatorReply>,
}

/// Open calls of operators on this host.
#[derive(Default)]
pub(crate) struct OperatorTable {
    changes: FastMap<CompactString, OpenChange>,
    pub watches: Vec<OpenWatch>,
    finished: Vec<Effect>,
}

impl OperatorTable {
    pub(crate) fn is_full(&self) -> bool {
        self.changes.len() + self.watches.len() >= MAX_OPEN
    }

    pub(crate) fn open(
        &mut self,
        id: CompactString,
        operator: OperatorId,
        maker: ReplyMaker,
        now: Instant,
    ) {
        self.changes.insert(
            id,
            OpenChange {
                operator,
                maker,
                stage: ChangeStage::Recording,
                began: now,
                unseen_code: ResultCode::ConfigUnknownOutcome,
            },
        );
    }

    /// Notes the outcome of a record; true if the record is a change of an operator of this host.
    pub(crate) fn applied(&mut self, id: &str, offset: LogOffset, outcome: &ApplyOutcome) -> bool {
        let Some(change) = self.changes.get_mut(id) else {
            return false;
        };
        match outcome {
            ApplyOutcome::Applied | ApplyOutcome::Duplicate => {
                if change.stage == ChangeStage::Recording {
                    change.stage = ChangeStage::Confirming {
                        version: offset + 1,
                        majority_at: None,
                    };
                }
                true
            }
            ApplyOutcome::Rejected { code, reason } => {
                let result = OperatorResult::with_message(*code, reason.clone());
                self.refuse(id, result);
                false
            }
        }
    }

    /// The log answered an append with an error.
    pub(crate) fn append_failed(&mut self, id: &str, code: ResultCode) {
        match code {
            ResultCode::ConfigLogUnavailable => self.refuse(id, OperatorResult::new(code)),
            // The record may still appear in the topic.
            code => {
                if let Some(change) = self.changes.get_mut(id) {
                    change.unseen_code = code;
                }
            }
        }
    }

    fn refuse(&mut self, id: &str, result: OperatorResult) {
        if let Some(change) = self.changes.remove(id) {
            self.finished
                .push(final_reply(change.operator, OperatorReply::Refused(result)));
        }
    }

    /// Finishes changes that are confirmed or have waited too long. `confirmation` tells how
    /// many hosts have applied a version.
    pub(crate) fn settle(
        &mut self,
        now: Instant,
        confirmation: impl Fn(ConfigVersion) -> crate::membership::ConfirmationTally,
    ) -> Vec<Effect> {
        let mut done = Vec::new();
        for (id, change) in &mut self.changes {
            let waited = now.saturating_duration_since(change.began);
            let reply = match &mut change.stage {
                ChangeStage::Recording if waited >= CHANGE_TIMEOUT => Some(OperatorReply::Refused(
                    OperatorResult::new(change.unseen_code),
                )),
                ChangeStage::Recording => None,
                ChangeStage::Confirming {
                    version,
                    majority_at,
                } => {
                    let confirmation = confirmation(*version);
                    if confirmation.majority {
                        majority_at.get_or_insert(now);
                    }
                    let all = confirmation.majority && confirmation.missing.is_empty();
                    let settled = majority_at
                        .is_some_and(|at| now.saturating_duration_since(at) >= STRAGGLER_WAIT);
                    let code = if all || settled {
                        Some(ResultCode::Completed)
                    } else if waited >= CHANGE_TIMEOUT {
                        Some(ResultCode::ConfigUnconfirmed)
                    } else {
                        None
                    };
                    code.map(|code| (change.maker)(change_report(code, *version, confirmation)))
                }
            };
            if let Some(reply) = reply {
                done.push((id.clone(), final_reply(change.operator, reply)));
            }
        }
        done.sort_by(|left, right| left.0.cmp(&right.0));
        let mut effects = std::mem::take(&mut self.finished);
        for (id, effect) in done {
            self.changes.remove(&id);
            effects.push(effect);
        }
        effects
    }

    /// Forgets the watches of an operator who went away. A change goes on without its author.
    pub(crate) fn gone(&mut self, operator: OperatorId) {
        self.watches.retain(|watch| watch.operator != operator);
    }
}

fn change_report(
    code: ResultCode,
    version: ConfigVersion,
    confirmation: crate::membership::ConfirmationTally,
) -> ChangeReport {
    ChangeReport {
        result: OperatorResult::new(code),
        config_version: version,
        confirmed: to_count(confirmation.confirmed),
        electorate: to_count(confirmation.electorate),
        missing_hosts: confirmation.missing,
    }
}

/// A count for a report.
pub(crate) fn to_count(count: usize) -> u32 {
    u32::try_from(count).unwrap_or(u32::MAX)
}

/// The only answer of a call, or the last of a stream.
pub(crate) fn final_reply(operator: OperatorId, reply: OperatorReply) -> Effect {
    Effect::OperatorReply {
        operator,
        reply: Box::new(reply),
        last: true,
    }
}
