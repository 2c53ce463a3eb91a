//! The account of memory as all tasks of a process share it.

use std::cell::RefCell;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_util::future::{AbortHandle, AbortRegistration};

use crate::FastMap;
use crate::memory_account::{BodyUse, HolderNumber, MemoryAccount, MemoryUsage, ReserveOutcome};

/// Time between two attempts to get memory.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of attempts of a request: as long as a connection that is closed lingers.
const MAX_REQUEST_ATTEMPTS: u32 = 50;

#[derive(Debug)]
struct PoolState {
    account: MemoryAccount,
    /// Ends the task of a body that gives its memory back.
    reclaims: FastMap<HolderNumber, AbortHandle>,
}

/// Memory that all bodies of a process share.
#[derive(Clone, Debug)]
pub struct MemoryPool(Rc<RefCell<PoolState>>);

impl MemoryPool {
    #[must_use]
    pub fn new(budget_bytes: usize) -> Self {
        Self(Rc::new(RefCell::new(PoolState {
            account: MemoryAccount::new(budget_bytes),
            reclaims: FastMap::default(),
        })))
    }

    /// Returns what is in use.
    #[must_use]
    pub fn usage(&self) -> MemoryUsage {
        self.0.borrow().account.usage()
    }
}

/// There is no memory for a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct NoMemory;

/// Memory of one body, which is given back when this is dropped.
#[derive(Debug)]
pub struct MemoryHold {
    pool: MemoryPool,
    number: HolderNumber,
    body_use: BodyUse,
}

impl MemoryHold {
    /// Adds a body that occupies nothing yet. Its task ends if the body has to give its memory back.
    pub(crate) fn open(pool: &MemoryPool, body_use: BodyUse) -> (Self, AbortRegistration) {
        let (task, registration) = AbortHandle::new_pair();
        (Self::open_for(pool, body_use, task), registration)
    }

    /// Adds a body that occupies nothing yet, and whose task is known.
    pub(crate) fn open_for(pool: &MemoryPool, body_use: BodyUse, task: AbortHandle) -> Self {
        let state = &mut *pool.0.borrow_mut();
        let number = state.account.open(body_use, Instant::now());
        state.reclaims.insert(number, task);
        Self {
            pool: pool.clone(),
            number,
            body_use,
        }
    }

    /// Takes memory for a complete response, and waits until there is some.
    pub async fn take(pool: &MemoryPool, bytes: usize) -> Self {
        let (hold, _) = Self::open(pool, BodyUse::Response);
        hold.complete();
        // Responses wait as long as it takes.
        let _ = hold.reserve(bytes).await;
        hold
    }

    /// Takes more memory if there is some now.
    pub(crate) fn try_reserve(&self, bytes: usize) -> bool {
        let state = &mut *self.pool.0.borrow_mut();
        match state.account.reserve(self.number, bytes, Instant::now()) {
            ReserveOutcome::Granted => true,
            ReserveOutcome::Reclaiming(number) => {
                if let Some(handle) = state.reclaims.remove(&number) {
                    handle.abort();
                }
                false
            }
            ReserveOutcome::Refused => false,
        }
    }

    /// Takes more memory. Requests give up after a while; responses wait until their task ends.
    pub(crate) async fn reserve(&self, bytes: usize) -> Result<(), NoMemory> {
        let mut attempts = 0;
        while !self.try_reserve(bytes) {
            attempts += 1;
            if self.body_use == BodyUse::Request && attempts >= MAX_REQUEST_ATTEMPTS {
                return Err(NoMemory);
            }
            compio::time::sleep(RETRY_INTERVAL).await;
        }
        Ok(())
    }

    pub(crate) fn record_progress(&self, bytes: usize) {
        let state = &mut *self.pool.0.borrow_mut();
        let account = &mut state.account;
        account.record_progress(self.number, bytes, Instant::now());
    }

    /// Records that the body is complete, so that it is no longer given up.
    pub(crate) fn complete(&self) {
        self.pool.0.borrow_mut().account.complete(self.number);
    }

    /// Gives back what the body occupies beyond `bytes`.
    pub(crate) fn shrink(&self, bytes: usize) {
        self.pool.0.borrow_mut().account.shrink(self.number, bytes);
    }

    /// Records that the body is sent to a caller. `connection` ends if the caller doesn't read it
    /// while memory is short.
    pub(crate) fn deliver(&self, connection: AbortHandle) {
        let state = &mut *self.pool.0.borrow_mut();
        state.account.deliver(self.number, Instant::now());
        state.reclaims.insert(self.number, connection);
    }
}

impl Drop for MemoryHold {
    fn drop(&mut self) {
        let state = &mut *self.pool.0.borrow_mut();
        state.account.close(self.number);
        state.reclaims.remove(&self.number);
    }
}
