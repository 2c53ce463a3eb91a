//! Wakes every waiting task of the thread.

use std::cell::RefCell;
use std::future::Future;
use std::time::Duration;

use futures_channel::oneshot;

/// A broadcast wake-up without a value. Waiters re-check their own condition.
#[derive(Default)]
pub struct Signal {
    waiters: RefCell<Vec<oneshot::Sender<()>>>,
}

impl Signal {
    /// Wakes the tasks that wait now.
    pub fn notify(&self) {
        for waiter in self.waiters.borrow_mut().drain(..) {
            // A waiter that gave up has dropped its receiver.
            let _ = waiter.send(());
        }
    }

    /// Waits for the next `notify` after this call.
    pub fn wait(&self) -> impl Future<Output = ()> + use<> {
        let (sender, receiver) = oneshot::channel();
        let mut waiters = self.waiters.borrow_mut();
        waiters.retain(|waiter| !waiter.is_canceled());
        waiters.push(sender);
        async move {
            let _ = receiver.await;
        }
    }

    /// Waits for the next `notify`, but no longer than `limit`.
    pub async fn wait_at_most(&self, limit: Duration) {
        let _ = compio::time::timeout(limit, self.wait()).await;
    }
}
