//! What a connection of a caller waits for.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use futures_util::future::AbortHandle;

use crate::memory_account::BodyUse;
use crate::memory_pool::{MemoryHold, MemoryPool};
use crate::progress_meter::ProgressMeter;

/// Bytes of a head whose memory isn't drawn from the account.
const FREE_HEAD_BYTES: usize = 8 * 1024;
/// Growth of the memory of a head.
const HEAD_GROWTH_BYTES: usize = 16 * 1024;
/// Memory that a head occupies in a buffer that grows, as a multiple of its size.
const HEAD_BUFFER_FACTOR: usize = 2;

/// What a connection is used for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ConnectionPhase {
    /// Waits for the next request, or receives its head.
    Head,
    /// Receives the body of a request.
    Body,
    /// The request is complete; its answer is awaited or sent.
    Answer,
}

/// Memory of a head that is being received.
#[derive(Debug, Default)]
struct HeadMemory {
    read_bytes: usize,
    held_bytes: usize,
    hold: Option<MemoryHold>,
}

#[derive(Debug)]
struct ConnectionParts {
    phase: Cell<ConnectionPhase>,
    /// Whether the caller doesn't take what is written.
    is_write_blocked: Cell<bool>,
    meter: Cell<ProgressMeter>,
    head: RefCell<HeadMemory>,
    memory: Option<MemoryPool>,
    abort: AbortHandle,
}

/// One connection of a caller, as its stream, its handler and the table share it.
#[derive(Clone, Debug)]
pub struct CallerConnection(Rc<ConnectionParts>);

impl CallerConnection {
    pub(crate) fn new(memory: Option<MemoryPool>, abort: AbortHandle, now: Instant) -> Self {
        Self(Rc::new(ConnectionParts {
            phase: Cell::new(ConnectionPhase::Head),
            is_write_blocked: Cell::new(false),
            meter: Cell::new(ProgressMeter::new(now)),
            head: RefCell::default(),
            memory,
            abort,
        }))
    }

    pub(crate) fn abort_handle(&self) -> AbortHandle {
        self.0.abort.clone()
    }

    /// Closes the connection, whatever it is used for.
    pub fn close(self) {
        self.0.abort.abort();
    }

    /// Records that the head of a request is complete.
    pub fn begin_body(&self) {
        self.0.phase.set(ConnectionPhase::Body);
        self.0.head.take();
    }

    /// Records that a request is complete, so that its caller waits for this host.
    pub fn begin_answer(&self) {
        self.0.phase.set(ConnectionPhase::Answer);
    }

    /// Records that the last byte of an answer was handed over for writing.
    pub(crate) fn end_answer(&self) {
        self.0.phase.set(ConnectionPhase::Head);
        self.restart_meter();
    }

    /// Records bytes that the caller has sent. Returns false if there is no memory for a head.
    pub(crate) fn record_read(&self, bytes: usize) -> bool {
        self.record_progress(bytes);
        match self.0.phase.get() {
            ConnectionPhase::Head => self.reserve_head(bytes),
            ConnectionPhase::Body | ConnectionPhase::Answer => true,
        }
    }

    /// Records bytes that the caller has taken.
    pub(crate) fn record_written(&self, bytes: usize) {
        self.record_progress(bytes);
    }

    /// Records whether the caller takes what is written.
    pub(crate) fn set_write_blocked(&self, is_blocked: bool) {
        let was_blocked = self.0.is_write_blocked.replace(is_blocked);
        if is_blocked && !was_blocked {
            self.restart_meter();
        }
    }

    /// Returns since when the caller has made no progress, if this host waits for it.
    pub(crate) fn stalled_since(&self, now: Instant) -> Option<Instant> {
        let waits_for_caller = self.0.is_write_blocked.get()
            || match self.0.phase.get() {
                ConnectionPhase::Head | ConnectionPhase::Body => true,
                ConnectionPhase::Answer => false,
            };
        let meter = self.0.meter.get();
        (waits_for_caller && meter.is_stalled(now)).then(|| meter.span_start())
    }

    fn restart_meter(&self) {
        self.0.meter.set(ProgressMeter::new(Instant::now()));
    }

    fn record_progress(&self, bytes: usize) {
        let mut meter = self.0.meter.get();
        meter.record(bytes, Instant::now());
        self.0.meter.set(meter);
    }

    /// Draws the memory of a long head from the account.
    fn reserve_head(&self, bytes: usize) -> bool {
        let Some(memory) = &self.0.memory else {
            return true;
        };
        let head = &mut *self.0.head.borrow_mut();
        head.read_bytes += bytes;
        if head.read_bytes <= FREE_HEAD_BYTES {
            return true;
        }
        let needed = head.read_bytes * HEAD_BUFFER_FACTOR;
        let needed = needed.next_multiple_of(HEAD_GROWTH_BYTES);
        let more = needed.saturating_sub(head.held_bytes);
        let hold = head.hold.get_or_insert_with(|| {
            MemoryHold::open_for(memory, BodyUse::Request, self.abort_handle())
        });
        let is_granted = more == 0 || hold.try_reserve(more);
        if is_granted {
            head.held_bytes += more;
        }
        is_granted
    }
}
