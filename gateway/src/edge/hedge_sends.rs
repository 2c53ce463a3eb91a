//! Second sends of requests whose first endpoint is slow.

use std::rc::Rc;
use std::time::{Duration, Instant};

use super::dispatch::lost_limit;
use super::forward::ForwardJob;
use super::state::Edge;
use crate::hedging::size_factor;
use crate::scheduler::RunEnd;

/// Whether another endpoint may be requested before the first one counts as lost.
pub(crate) enum EarlySend {
    /// The endpoint counts as lost already.
    Lost,
    Permitted(HedgePermit),
    /// Not now; the endpoint counts as lost after this time.
    Denied(Duration),
}

/// The allowance of one second send. Dropping it returns the allowance, because nothing was sent.
pub(crate) struct HedgePermit {
    edge: Rc<Edge>,
    is_spent: bool,
}

impl HedgePermit {
    /// Takes the allowance if the silence is shorter than that of a lost endpoint. There is none
    /// while places are short, since a second send would take one from another request.
    pub fn take_if_early(job: &ForwardJob) -> EarlySend {
        let (Some(dispatched), Some(limit)) = (job.dispatched_at, lost_limit(job)) else {
            return EarlySend::Lost;
        };
        let rest = limit.saturating_sub(dispatched.elapsed());
        // Silence in the middle of a stream is no matter of the first byte.
        if rest.is_zero() || job.first_byte.is_some() {
            return EarlySend::Lost;
        }
        let state = &mut *job.edge.state.borrow_mut();
        let is_short = state.scheduler.is_overloaded(&job.service, Instant::now());
        if is_short || !state.hedging.try_take() {
            return EarlySend::Denied(rest);
        }
        job.edge.count("hedge_started");
        EarlySend::Permitted(Self {
            edge: Rc::clone(&job.edge),
            is_spent: false,
        })
    }

    pub fn spend(mut self) {
        self.is_spent = true;
        self.edge.count("hedge_sent");
    }
}

impl Drop for HedgePermit {
    fn drop(&mut self) {
        if !self.is_spent {
            self.edge.state.borrow_mut().hedging.refund();
        }
    }
}

impl ForwardJob {
    /// Returns the time after which the first byte of this request is late, if second sends are on.
    pub fn hedge_delay(&self) -> Option<Duration> {
        let (prompt_tokens, _) = self.usage.unwrap_or_default();
        let state = self.edge.state.borrow();
        state
            .hedging
            .delay(&self.route.name, size_factor(prompt_tokens))
    }

    /// Returns the end of a run that another one has replaced.
    pub fn replaced_end(&self) -> RunEnd {
        if self.is_hedged {
            RunEnd::Abandoned
        } else {
            RunEnd::Stalled
        }
    }
}
