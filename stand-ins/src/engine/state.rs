//! State of an engine and the operations on its streams.

use std::cell::{RefCell, RefMut};
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

use rustc_hash::{FxHashMap, FxHashSet};
use serde::Deserialize;

use crate::behaviour::patch_settings;
use crate::blocks::block_hashes;
use crate::chance::FaultChance;
use crate::engine::cache::{EventBuffer, PrefixCache};
use crate::engine::faults::EngineFaults;
use crate::engine::load::LoadHistory;
use crate::engine::settings::EngineSettings;
use crate::engine::stats::{EngineStats, PrefillEntry};
use crate::engine::stream::{FailPoint, StreamEnd, StreamPhase, StreamState};
use crate::server::CallError;
use crate::signal::Signal;

/// Body of `POST /v1/generate`.
#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GenerateRequest {
    pub request_id: String,
    pub model: String,
    pub route: String,
    pub prompt: String,
    pub max_tokens: u32,
}

/// Why a request was not accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AcceptError {
    Full,
    Cold,
    UnknownModel,
    Duplicate,
}

/// Whether the engine is cold, since when, and its progress towards warm.
#[derive(Clone, Copy, Debug)]
pub struct ColdState {
    pub since: Instant,
    pub completed: u64,
}

pub struct EngineState {
    pub faults: EngineFaults,
    pub version: String,
    pub models: FxHashSet<String>,
    pub cold: Option<ColdState>,
    pub fence: u64,
    pub cache: PrefixCache,
    pub streams: FxHashMap<String, StreamState>,
    pub waiting: VecDeque<String>,
    /// Running streams, in order of their start.
    pub running: Vec<String>,
    pub stats: EngineStats,
    pub load: LoadHistory,
    chance: FaultChance,
    accepted: u64,
    drawn_failures: u64,
}

/// An engine, shared by its HTTP handlers and its step loop on one thread.
pub struct Engine {
    pub settings: EngineSettings,
    pub start: Instant,
    /// Wakes the step loop.
    pub wake: Signal,
    state: RefCell<EngineState>,
}

impl Engine {
    #[must_use]
    pub fn new(settings: EngineSettings, faults: EngineFaults, seed: u64) -> Rc<Self> {
        let now = Instant::now();
        let events = EventBuffer::new(
            Duration::from_millis(settings.event_lag_ms),
            settings.event_gap_ratio,
            settings.event_limit,
            seed,
        );
        let state = EngineState {
            version: settings.version.clone(),
            models: settings.models.iter().cloned().collect(),
            cold: None,
            fence: 0,
            cache: PrefixCache::new(settings.cache_blocks, events),
            streams: FxHashMap::default(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            stats: EngineStats::default(),
            load: LoadHistory::new(Duration::from_millis(settings.report_lag_ms)),
            chance: FaultChance::new(seed),
            accepted: 0,
            drawn_failures: 0,
            faults,
        };
        let engine = Rc::new(Self {
            settings,
            start: now,
            wake: Signal::default(),
            state: RefCell::new(state),
        });
        engine.state().take_cold_fault(now);
        engine.sample_load(now);
        engine
    }

    /// Borrows the state; not to be held across an await.
    pub fn state(&self) -> RefMut<'_, EngineState> {
        self.state.borrow_mut()
    }

    /// Accepts a request into the queue.
    ///
    /// # Errors
    ///
    /// Tells why the request was not accepted; it did not run then, except for a duplicate.
    pub fn accept(&self, request: GenerateRequest) -> Result<(), AcceptError> {
        let now = Instant::now();
        let mut state = self.state();
        if state.streams.contains_key(&request.request_id) {
            state
                .stats
                .dispatch(&request.request_id, &request.route, self.start, now);
            return Err(AcceptError::Duplicate);
        }
        if let Err(error) = self.check_admission(&state, &request) {
            state.stats.refused += 1;
            return Err(error);
        }
        state
            .stats
            .dispatch(&request.request_id, &request.route, self.start, now);
        state.accepted += 1;
        let fail_point = state.draw_failure(&request.route);
        let stream = StreamState {
            prompt_tokens: u32::try_from(request.prompt.split_whitespace().count())
                .unwrap_or(u32::MAX),
            blocks: block_hashes(&request.prompt),
            route_factor: state.faults.route_factor(&request.route),
            fail_point,
            prompt: request.prompt,
            ..StreamState::new(request.model, request.route, request.max_tokens, now)
        };
        state.queue(request.request_id, stream);
        drop(state);
        self.wake.notify();
        Ok(())
    }

    fn check_admission(
        &self,
        state: &EngineState,
        request: &GenerateRequest,
    ) -> Result<(), AcceptError> {
        if state.faults.refuse || state.waiting.len() >= self.settings.queue_limit {
            return Err(AcceptError::Full);
        }
        if !state.models.is_empty() && !state.models.contains(&request.model) {
            return Err(AcceptError::UnknownModel);
        }
        let load = state.running.len() + state.waiting.len();
        let is_over = load >= self.settings.bearable as usize;
        if self.settings.refuse_above_bearable && state.cold.is_some() && is_over {
            return Err(AcceptError::Cold);
        }
        Ok(())
    }

    /// Cancels a stream. Returns false when it is unknown; an ended stream stays as it is.
    pub fn cancel(&self, request_id: &str) -> bool {
        self.state().end_stream(request_id, StreamEnd::Cancelled)
    }

    /// Changes the injected faults.
    ///
    /// # Errors
    ///
    /// Fails with status 400 when the patch is malformed.
    pub fn patch_faults(&self, patch: &[u8]) -> Result<EngineFaults, CallError> {
        let mut state = self.state();
        state.faults = patch_settings(&state.faults, patch)?;
        state.take_cold_fault(Instant::now());
        let faults = state.faults.clone();
        drop(state);
        self.wake.notify();
        Ok(faults)
    }

    /// Cancels unread streams, forgets streams that ended long ago and ends a timed cold start.
    pub fn clean_up(&self, now: Instant) {
        let mut state = self.state();
        let unread_limit = Duration::from_millis(self.settings.unread_limit_ms);
        let keep_ended = Duration::from_millis(self.settings.keep_ended_ms);
        state.streams.retain(|_, stream| {
            stream
                .ended_at
                .is_none_or(|at| now.duration_since(at) < keep_ended)
        });
        let mut unread = Vec::new();
        for (request_id, stream) in &mut state.streams {
            if stream.waiting_readers > 0 {
                stream.last_read = now;
            }
            if !stream.is_ended() && now.duration_since(stream.last_read) >= unread_limit {
                unread.push(request_id.clone());
            }
        }
        for request_id in unread {
            log::info!("engine: cancelled the unread stream {request_id}");
            state.end_stream(&request_id, StreamEnd::Cancelled);
        }
        let warm_after = Duration::from_millis(self.settings.warm_after_ms);
        if let Some(cold) = state.cold
            && self.settings.warm_after_ms > 0
            && now.duration_since(cold.since) >= warm_after
        {
            state.cold = None;
        }
    }
}

impl EngineState {
    /// Puts a stream into the accept queue.
    pub fn queue(&mut self, request_id: String, stream: StreamState) {
        self.streams.insert(request_id.clone(), stream);
        self.waiting.push_back(request_id);
    }

    /// Ends a stream unless it has ended. Returns false when it is unknown.
    pub fn end_stream(&mut self, request_id: &str, end: StreamEnd) -> bool {
        let Some(stream) = self.streams.get_mut(request_id) else {
            return false;
        };
        if stream.is_ended() {
            return true;
        }
        match end {
            StreamEnd::Done => self.stats.completed += 1,
            StreamEnd::Failed => self.stats.failed += 1,
            StreamEnd::Cancelled => {
                self.stats.cancelled += 1;
                self.stats.wasted_prefill_tokens += u64::from(stream.prefilled_tokens);
            }
        }
        if let Some(start) = stream
            .start
            .as_ref()
            .filter(|_| self.cache.changes.is_some())
        {
            self.stats.prefills.push(PrefillEntry {
                request_id: request_id.to_owned(),
                unix_ms: start.unix_ms,
                prompt_tokens: stream.prompt_tokens,
                cached_tokens: stream.cached_tokens,
                blocks: std::mem::take(&mut stream.blocks),
                prefilled_tokens: stream.prefilled_tokens,
            });
        }
        stream.phase = StreamPhase::Ended(end);
        stream.ended_at = Some(Instant::now());
        stream.prompt = String::new();
        stream.signal.notify();
        self.waiting.retain(|waiting| waiting != request_id);
        self.running.retain(|running| running != request_id);
        true
    }

    /// Becomes cold with an empty cache, or warm.
    pub fn set_cold(&mut self, cold: bool, now: Instant) {
        if !cold {
            self.cold = None;
            return;
        }
        self.cold = Some(ColdState {
            since: now,
            completed: 0,
        });
        self.cache.clear(now);
    }

    // The fault is an event; the engine becomes warm again by itself.
    fn take_cold_fault(&mut self, now: Instant) {
        if let Some(cold) = self.faults.cold.take() {
            self.set_cold(cold, now);
        }
    }

    // Failures alternate between both forms that the protocol has for them.
    fn draw_failure(&mut self, route: &str) -> Option<FailPoint> {
        let is_late = self
            .faults
            .fail_after_requests
            .is_some_and(|limit| self.accepted > limit);
        let is_on_route = self.faults.fail_route.as_deref() == Some(route);
        let is_drawn = self.chance.hit(self.faults.fail_ratio);
        if !is_late && !is_on_route && !is_drawn {
            return None;
        }
        self.drawn_failures += 1;
        if self.drawn_failures.is_multiple_of(2) {
            return Some(FailPoint::Status);
        }
        Some(FailPoint::Midway)
    }
}
