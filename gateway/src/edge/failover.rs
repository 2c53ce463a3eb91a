//! Keeps a silent endpoint until another one has been granted to its request.

use std::future::Future;
use std::pin::{Pin, pin};
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{Either, select};

use super::forward::{ForwardJob, place_job};
use super::hedge_sends::{EarlySend, HedgePermit};
use super::placement::PlacedRun;
use super::state::Edge;
use crate::ids::ServiceName;
use crate::scheduler::RunEnd;

/// Time between two attempts to get another endpoint for a request whose endpoint is silent.
const RETRY_INTERVAL: Duration = Duration::from_millis(250);

/// Result of waiting for an endpoint.
pub(crate) enum AnswerWait<T> {
    /// The endpoint answered or its connection ended.
    Ended(T),
    /// The endpoint is silent and the request was granted another one, which is `job.next_run`.
    Replaced,
}

/// Waits for the endpoint's answer. If the endpoint is silent for longer than `limit`, another one
/// is requested at the same time.
pub(crate) async fn wait_or_fail_over<T>(
    job: &mut ForwardJob,
    limit: Option<Duration>,
    answer: impl Future<Output = T>,
) -> AnswerWait<T> {
    let mut answer = pin!(answer);
    let Some(limit) = limit else {
        return AnswerWait::Ended(answer.await);
    };
    let edge = Rc::clone(&job.edge);
    let is_relayable = !job.relay.is_current && !job.relay.origin.is_host() && !edge.is_isolated();
    let patience = async {
        let waiting = compio::time::sleep(limit);
        if is_relayable {
            select(pin!(waiting), pin!(edge.wait_until_isolated())).await;
        } else {
            waiting.await;
        }
    };
    match select(answer.as_mut(), pin!(patience)).await {
        Either::Left((ended, _)) => AnswerWait::Ended(ended),
        Either::Right(_) => fail_over(job, answer).await,
    }
}

/// Requests another endpoint while the silent one may still answer. If both happen at once, the
/// answer counts. An answer withdraws the request for another endpoint.
pub(crate) async fn fail_over<T, F: Future<Output = T>>(
    job: &mut ForwardJob,
    mut answer: Pin<&mut F>,
) -> AnswerWait<T> {
    let early_send = if job.edge.is_isolated() {
        EarlySend::Lost
    } else {
        HedgePermit::take_if_early(job)
    };
    let hedge = match early_send {
        EarlySend::Lost => None,
        EarlySend::Permitted(permit) => Some(permit),
        EarlySend::Denied(rest) => match compio::time::timeout(rest, answer.as_mut()).await {
            Ok(ended) => return AnswerWait::Ended(ended),
            Err(_) => None,
        },
    };
    job.edge.count("endpoint_silent");
    log::info!(
        id = job.id.as_str(), endpoint = job.tried.last().map_or("-", |id| id.as_str()),
        runs = job.runs, dispatches = job.dispatches,
        took_ms = job.arrived.elapsed().as_millis();
        "request: endpoint is silent"
    );
    let run = match select(answer, pin!(place_elsewhere(job))).await {
        Either::Left((ended, _)) => return AnswerWait::Ended(ended),
        Either::Right((run, _)) => run,
    };
    job.next_run = Some(run);
    job.is_hedged = hedge.is_some();
    if let Some(permit) = hedge {
        permit.spend();
    }
    AnswerWait::Replaced
}

/// Waits until the retry budget and the scheduler grant the request another endpoint, and a
/// connection to it is open.
async fn place_elsewhere(job: &mut ForwardJob) -> PlacedRun {
    let mut is_kept = false;
    loop {
        let permit = job.trial_retry.take();
        let cause = match permit.or_else(|| RetryPermit::take(job)) {
            Some(permit) => match place_reachable(job).await {
                Ok(run) => {
                    permit.spend();
                    return run;
                }
                Err(cause) => cause,
            },
            None => "retry_budget_empty",
        };
        if !is_kept {
            is_kept = true;
            job.edge.count(cause);
            log::info!(id = job.id.as_str(), cause = cause; "request: silent endpoint kept");
        }
        compio::time::sleep(RETRY_INTERVAL).await;
    }
}

/// Requests a place at another endpoint and connects to it, because the list of endpoints still
/// names some that have crashed. Otherwise returns the cause.
async fn place_reachable(job: &mut ForwardJob) -> Result<PlacedRun, &'static str> {
    let mut run = place_job(job).await.map_err(|_| "no_other_endpoint")?;
    let is_hopeless = job.edge.is_isolated() && !run.is_at_host();
    if is_hopeless && job.relay.is_current {
        // The silent host may still answer.
        run.end(RunEnd::Abandoned);
        return Err("no_other_endpoint");
    }
    let Ok(connection) = run.connect().await else {
        run.end(RunEnd::Unreachable);
        return Err("retry_unreachable");
    };
    run.connection = Some(connection);
    Ok(run)
}

/// A retry taken from the budget. Dropping it returns the retry, because nothing was sent.
pub(super) struct RetryPermit {
    edge: Rc<Edge>,
    service: ServiceName,
    taken_at: Instant,
    is_spent: bool,
}

impl RetryPermit {
    /// Takes a retry, or returns `None` if the budget is used up.
    pub fn take(job: &ForwardJob) -> Option<Self> {
        let taken_at = Instant::now();
        let state = &mut *job.edge.state.borrow_mut();
        state
            .budget
            .try_retry(&job.service, taken_at)
            .then(|| Self {
                edge: Rc::clone(&job.edge),
                service: job.service.clone(),
                taken_at,
                is_spent: false,
            })
    }

    pub fn spend(mut self) {
        self.is_spent = true;
    }
}

impl Drop for RetryPermit {
    fn drop(&mut self) {
        if !self.is_spent {
            let state = &mut *self.edge.state.borrow_mut();
            state.budget.refund_retry(&self.service, self.taken_at);
        }
    }
}
