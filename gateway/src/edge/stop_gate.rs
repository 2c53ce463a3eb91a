//! Tells all tasks that the last moment for final answers has come.

use std::cell::RefCell;

use futures_channel::oneshot;
use futures_util::FutureExt;
use futures_util::future::Shared;

/// Opens once, when a stopping host must answer what is left and close its connections.
pub(crate) struct StopGate {
    sender: RefCell<Option<oneshot::Sender<()>>>,
    opened: Shared<oneshot::Receiver<()>>,
}

impl Default for StopGate {
    fn default() -> Self {
        let (sender, receiver) = oneshot::channel();
        Self {
            sender: RefCell::new(Some(sender)),
            opened: receiver.shared(),
        }
    }
}

impl StopGate {
    pub fn open(&self) {
        let sender = self.sender.borrow_mut().take();
        if let Some(sender) = sender {
            // The receiver lives as long as the sender.
            let _ = sender.send(());
        }
    }

    pub fn is_open(&self) -> bool {
        self.sender.borrow().is_none()
    }

    /// Waits until the gate opens.
    pub async fn opened(&self) {
        let _ = self.opened.clone().await;
    }

    /// Waits for `work`, but only until the gate opens. Returns `None` if `work` was dropped.
    pub async fn run_until_open<T>(&self, work: impl Future<Output = T>) -> Option<T> {
        let mut work = std::pin::pin!(work.fuse());
        let mut opened = std::pin::pin!(self.opened().fuse());
        futures_util::select_biased! {
            output = work => Some(output),
            () = opened => None,
        }
    }
}
