//! Tests of the budget of retries that all hosts share.

#[path = "../../tests/seeds/mod.rs"]
mod seeds;

use std::time::{Duration, Instant};

use gateway::limits::{RetryBudget, RetryBudgetSettings};
use seeds::check_seeds;

const RETRY_BUDGET: RetryBudgetSettings = RetryBudgetSettings {
    ratio: 0.2,
    window: Duration::from_secs(10),
    slack: 58.0,
};

/// Guards against hosts that together retry more than the budget allows within its window.
#[test]
fn hosts_together_respect_the_retry_budget() {
    let start = Instant::now();
    let mut retries = 0;
    for _ in 0..9 {
        let mut budget = RetryBudget::new(RETRY_BUDGET, Some(start));
        budget.set_host_count(9);
        for request in 0..100 {
            // The hosts have run for longer than a window.
            let now = start + Duration::from_millis(request * 10 + 11_000);
            budget.record_request(&"pool".into(), now);
            retries += u32::from(budget.try_retry(&"pool".into(), now));
        }
    }
    assert!(retries <= 900 / 5 + 58, "{retries}");
    assert!(
        retries >= 900 / 10,
        "too few retries are granted: {retries}"
    );
}

/// Changes of the processes of a fleet that retries rejected requests.
#[derive(Debug)]
struct FleetChanges {
    hosts: usize,
    /// Requests a second that each host gets.
    rate: u32,
    /// When endpoints begin and cease to reject requests, in milliseconds.
    rejecting: (u64, u64),
    /// When all processes restart at once.
    all_restart_at: Vec<u64>,
    /// When the hosts begin to restart in turn, and the time between two of them.
    rolling_at: u64,
    rolling_gap: u64,
    /// When hosts are added, and how many.
    joining: (u64, usize),
}

/// Time of a simulated day, and one of its steps, in milliseconds.
const DAY_MS: u64 = 50_000;
const STEP_MS: u64 = 20;
/// Time for which a stopping host still retries the requests that it has accepted.
const GRACE_MS: u64 = 2_000;

/// Returns the numbers of requests and of retries in each step, over all hosts.
fn retries_in_fleet(changes: &FleetChanges) -> Vec<(u32, u32)> {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let service = "pool".into();
    let new_budget = |ms| RetryBudget::new(RETRY_BUDGET, (ms > 0).then(|| at(ms)));
    let mut budgets: Vec<_> = (0..changes.hosts).map(|_| new_budget(0)).collect();
    let mut steps = Vec::new();
    for ms in (0..DAY_MS).step_by(usize::try_from(STEP_MS).expect("small")) {
        if ms == changes.joining.0 / STEP_MS * STEP_MS {
            budgets.extend((0..changes.joining.1).map(|_| new_budget(ms)));
        }
        let hosts = budgets.len();
        let (mut requests, mut retries) = (0, 0);
        for (index, budget) in budgets.iter_mut().enumerate() {
            let stops_at = changes.rolling_at + changes.rolling_gap * index as u64;
            let restarts_at = stops_at + GRACE_MS;
            let is_restarting = |time: u64| time / STEP_MS == ms / STEP_MS;
            if is_restarting(restarts_at)
                || changes.all_restart_at.iter().any(|t| is_restarting(*t))
            {
                *budget = new_budget(ms);
            }
            budget.set_host_count(hosts);
            let is_stopping = (stops_at..restarts_at).contains(&ms);
            let due = |time: u64| time * u64::from(changes.rate) / 1_000;
            let count = due(ms + STEP_MS) - due(ms);
            for _ in 0..count {
                if !is_stopping {
                    requests += 1;
                    budget.record_request(&service, at(ms));
                }
                // Rejected requests are retried up to three times.
                if (changes.rejecting.0..changes.rejecting.1).contains(&ms) {
                    for _ in 0..3 {
                        retries += u32::from(budget.try_retry(&service, at(ms)));
                    }
                }
            }
        }
        steps.push((requests, retries));
    }
    steps
}

/// Returns the largest excess of retries over the budget in any window. The requests are those of
/// the window, of the one before it, or of the one half a window before it, whichever are most.
fn max_budget_excess(steps: &[(u32, u32)]) -> f64 {
    let window = RETRY_BUDGET.window.as_millis() / u128::from(STEP_MS);
    let window = usize::try_from(window).expect("small");
    let sum = |from: usize, field: fn(&(u32, u32)) -> u32| -> u32 {
        let end = (from + window).min(steps.len());
        steps[from..end].iter().map(field).sum()
    };
    let excess = (0..steps.len()).map(|from| {
        let before = [0, window / 2, window].map(|shift| from.saturating_sub(shift));
        let requests = before.map(|from| sum(from, |step| step.0));
        let requests = requests.into_iter().max().unwrap_or_default();
        let allowed = RETRY_BUDGET.ratio * f64::from(requests) + RETRY_BUDGET.slack;
        f64::from(sum(from, |step| step.1)) - allowed
    });
    excess.fold(f64::NEG_INFINITY, f64::max)
}

/// Guards against processes that retry as if nothing had been retried before they started: all at
/// once, in turn, more than once within a window, and on hosts that are added.
#[test]
fn restarted_hosts_respect_the_retry_budget() {
    check_seeds(25, |source| {
        let rejecting_from = source.int_in_range(12_000..=25_000_u64)?;
        let restarts = source.int_in_range(0..=3_usize)?;
        let mut all_restart_at = Vec::new();
        for _ in 0..restarts {
            all_restart_at.push(rejecting_from + source.int_in_range(0..=12_000_u64)?);
        }
        let changes = FleetChanges {
            hosts: *source.choose(&[3, 6, 9, 85])?,
            rate: source.int_in_range(5..=40_u32)?,
            rejecting: (
                rejecting_from,
                rejecting_from + source.int_in_range(1_000..=20_000_u64)?,
            ),
            all_restart_at,
            rolling_at: source.int_in_range(8_000..=30_000_u64)?,
            rolling_gap: source.int_in_range(200..=2_000_u64)?,
            joining: (
                source.int_in_range(10_000..=30_000_u64)?,
                source.int_in_range(0..=4_usize)?,
            ),
        };
        let excess = max_budget_excess(&retries_in_fleet(&changes));
        assert!(excess <= 0.0, "{excess} retries too many: {changes:?}");
        Ok(())
    });
}

/// Guards against caution that costs retries for a whole window after each start.
#[test]
fn a_started_host_retries_a_part_of_its_requests() {
    let changes = FleetChanges {
        hosts: 9,
        rate: 10,
        rejecting: (20_000, 30_000),
        all_restart_at: vec![20_000],
        rolling_at: DAY_MS,
        rolling_gap: 0,
        joining: (DAY_MS, 0),
    };
    let steps = retries_in_fleet(&changes);
    let retries: u32 = steps.iter().map(|step| step.1).sum();
    assert!(retries >= 900 * 8 / 100, "{retries}");
}
