//! The step loop: admission, prefill within the token budget, one decode token per stream.

use std::time::{Duration, Instant};

use crate::engine::cache::unix_ms;
use crate::engine::state::{Engine, EngineState};
use crate::engine::stream::{FailPoint, StartFacts, StreamEnd, StreamPhase};

/// Status with which the process exits when it falls over.
const CRASH_STATUS: i32 = 101;
/// Longest wait of an idle or frozen engine before it looks for work again.
const IDLE_CHECK: Duration = Duration::from_secs(1);

impl Engine {
    /// Runs steps without end.
    pub async fn run_steps(&self) {
        let mut step_end = Instant::now();
        loop {
            let now = Instant::now();
            let woken = self.wake.wait();
            let Some(duration) = self.begin_step(now) else {
                let _ = compio::time::timeout(IDLE_CHECK, woken).await;
                step_end = Instant::now();
                continue;
            };
            // Measured from the planned end of the last step, so that timer delays do not add up.
            step_end = step_end.max(now.checked_sub(duration).unwrap_or(now)) + duration;
            compio::time::sleep_until(step_end).await;
            self.finish_step(Instant::now());
        }
    }

    // Returns the duration of the step, or nothing when there is nothing to run.
    fn begin_step(&self, now: Instant) -> Option<Duration> {
        let mut state = self.state();
        if state.faults.freeze_streams {
            return None;
        }
        while state.running.len() < self.settings.capacity as usize {
            let Some(request_id) = state.waiting.pop_front() else {
                break;
            };
            self.start_stream(&mut state, request_id);
        }
        if state.running.is_empty() {
            return None;
        }
        let prefill_cost = self.prefill(&mut state, now);
        let cold_factor = match state.cold {
            Some(_) => self.settings.cold_slow_factor,
            None => 1.0,
        };
        let factor = cold_factor * state.faults.slow_factor.unwrap_or(1.0);
        let prefill_seconds = prefill_cost / self.settings.prefill_tokens_per_second;
        let seconds = self.settings.decode_step_ms / 1000.0 + prefill_seconds;
        Some(Duration::from_secs_f64(seconds * factor))
    }

    fn start_stream(&self, state: &mut EngineState, request_id: String) {
        let Some(mut stream) = state.streams.remove(&request_id) else {
            return;
        };
        if let Some(word) = &state.faults.crash_word
            && stream.prompt.split_whitespace().any(|found| found == word)
        {
            exit_crashed("a prompt with the crash word started");
        }
        state.running.push(request_id.clone());
        self.count_running(state);
        let running = u32::try_from(state.running.len()).unwrap_or(u32::MAX);
        if state
            .faults
            .fail_over_running
            .is_some_and(|limit| running > limit)
        {
            stream.fail_point = stream.fail_point.or(Some(FailPoint::Midway));
        }
        state.stats.started += 1;
        if stream.cached_tokens == 0 {
            let cached_words = state.cache.lookup(&stream.blocks) * crate::BLOCK_WORDS;
            stream.cached_tokens = u32::try_from(cached_words).unwrap_or(u32::MAX);
        }
        state.stats.cached_tokens += u64::from(stream.cached_tokens);
        stream.prefill_needed = stream.prompt_tokens.saturating_sub(stream.cached_tokens);
        stream.prefill_left = f64::from(stream.prefill_needed) * stream.route_factor;
        stream.prompt = String::new();
        stream.phase = StreamPhase::Prefilling;
        stream.start = Some(StartFacts {
            cold: state.cold.is_some(),
            version: state.version.clone(),
            unix_ms: unix_ms(),
        });
        stream.signal.notify();
        state.streams.insert(request_id, stream);
    }

    fn count_running(&self, state: &mut EngineState) {
        let running = u32::try_from(state.running.len()).unwrap_or(u32::MAX);
        state.stats.max_running = state.stats.max_running.max(running);
        if state.cold.is_none() {
            return;
        }
        state.stats.max_running_cold = state.stats.max_running_cold.max(running);
        if running > self.settings.bearable {
            exit_crashed("more requests than bearable ran while cold");
        }
    }

    // Spends the step's tokens on prefill in order of start and returns the cost.
    fn prefill(&self, state: &mut EngineState, now: Instant) -> f64 {
        let EngineState {
            streams,
            running,
            cache,
            stats,
            ..
        } = state;
        let is_decoding = |id: &&String| {
            streams
                .get(*id)
                .is_some_and(|stream| stream.phase == StreamPhase::Decoding)
        };
        let decoding =
            u32::try_from(running.iter().filter(is_decoding).count()).unwrap_or(u32::MAX);
        // At least one token, so that prefill goes on when decoding fills the budget.
        let mut budget = f64::from(self.settings.step_tokens.saturating_sub(decoding).max(1));
        let mut total = 0.0;
        for request_id in running.iter() {
            let Some(stream) = streams.get_mut(request_id) else {
                continue;
            };
            if stream.phase != StreamPhase::Prefilling {
                continue;
            }
            let (cost, tokens) = stream.prefill(budget);
            budget -= cost;
            total += cost;
            stats.prefill_tokens += u64::from(tokens);
            if stream.prefill_left <= 0.0 {
                stream.phase = StreamPhase::Decoding;
                cache.store(&stream.blocks, now);
            }
        }
        total
    }

    fn finish_step(&self, now: Instant) {
        let mut state = self.state();
        for request_id in state.running.clone() {
            if let Some(end) = decode(&mut state, &request_id) {
                if end == StreamEnd::Done {
                    self.count_completion(&mut state);
                }
                state.end_stream(&request_id, end);
            }
        }
        drop(state);
        log::trace!(
            "engine: step ended after {:?}",
            now.duration_since(self.start)
        );
    }

    fn count_completion(&self, state: &mut EngineState) {
        let Some(cold) = &mut state.cold else {
            return;
        };
        cold.completed += 1;
        if cold.completed >= self.settings.warm_after_requests {
            log::info!("engine: warm after {} requests", cold.completed);
            state.cold = None;
        }
    }
}

// Produces the stream's next token and returns how the stream ended, if it did.
fn decode(state: &mut EngineState, request_id: &str) -> Option<StreamEnd> {
    let stream = state.streams.get_mut(request_id)?;
    if stream.phase != StreamPhase::Decoding {
        return None;
    }
    if stream.fails_now() {
        return Some(StreamEnd::Failed);
    }
    if stream.produced < stream.max_tokens {
        stream.decode_credit += 1.0 / stream.route_factor;
        if stream.decode_credit + 1e-9 < 1.0 {
            return None;
        }
        stream.decode_credit -= 1.0;
        stream.produced += 1;
        state.stats.decode_tokens += 1;
        stream.signal.notify();
    }
    (stream.produced >= stream.max_tokens).then_some(StreamEnd::Done)
}

fn exit_crashed(reason: &str) -> ! {
    log::error!("engine: exits with status {CRASH_STATUS}: {reason}");
    std::process::exit(CRASH_STATUS)
}
