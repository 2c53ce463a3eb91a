//! Receives Unix signals for the life of the process.
//!
//! `compio::signal` restores the default action of a signal when its last listener is dropped, which
//! would end the process. It also wakes tasks from within the signal handler, which may interrupt the
//! runtime while it changes its queue of tasks. Both are avoided by a thread that waits for signals
//! and keeps a listener for each of them.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, Wake, Waker};
use std::thread::Thread;

use compio::signal::unix::signal;
use futures_channel::mpsc;

pub const SIGHUP: i32 = 1;
pub const SIGTERM: i32 = 15;

/// Receives one item for each signal. Signals that arrive before the item of an earlier one is taken
/// count as one.
pub type SignalReceiver = mpsc::Receiver<()>;

type SignalListener = Pin<Box<dyn Future<Output = io::Result<()>>>>;

/// Wakes the thread of the listeners. It does nothing that is unsafe in a signal handler.
struct ThreadWaker(Thread);

impl Wake for ThreadWaker {
    fn wake(self: Arc<Self>) {
        self.wake_by_ref();
    }

    fn wake_by_ref(self: &Arc<Self>) {
        self.0.unpark();
    }
}

/// One signal, its listeners and the channel to its receiver.
struct SignalSource {
    number: i32,
    current: SignalListener,
    /// Keeps the handler installed while `current` is replaced.
    _retained: SignalListener,
    sender: mpsc::Sender<()>,
}

impl SignalSource {
    fn install(
        number: i32,
        sender: mpsc::Sender<()>,
        context: &mut Context<'_>,
    ) -> io::Result<Self> {
        Ok(Self {
            number,
            _retained: listen(number, context)?,
            current: listen(number, context)?,
            sender,
        })
    }

    /// Reports a signal that has arrived. The next listener is installed first: signals after the
    /// report have a report of their own.
    fn report_arrival(&mut self, context: &mut Context<'_>) -> io::Result<()> {
        while self.current.as_mut().poll(context).is_ready() {
            self.current = listen(self.number, context)?;
            // The channel is full if an earlier signal has not been taken yet.
            let _ = self.sender.try_send(());
        }
        Ok(())
    }
}

/// Installs a listener, which happens when it is first polled. A signal that arrives at once is
/// reported when it is polled again.
fn listen(number: i32, context: &mut Context<'_>) -> io::Result<SignalListener> {
    let mut listener: SignalListener = Box::pin(signal(number));
    match listener.as_mut().poll(context) {
        Poll::Pending => Ok(listener),
        Poll::Ready(Ok(())) => Ok(Box::pin(std::future::ready(Ok(())))),
        Poll::Ready(Err(error)) => Err(error),
    }
}

/// Installs handlers that remain for the life of the process, and returns a receiver for each
/// signal.
///
/// # Errors
///
/// Fails if a number is not that of a signal or the thread cannot be started.
pub fn receive_signals<const N: usize>(numbers: [i32; N]) -> io::Result<[SignalReceiver; N]> {
    let mut senders = Vec::with_capacity(N);
    let receivers = numbers.map(|number| {
        let (sender, receiver) = mpsc::channel(0);
        senders.push((number, sender));
        receiver
    });
    let (installed, installation) = std::sync::mpsc::channel();
    std::thread::Builder::new()
        .name("signals".to_owned())
        .spawn(move || {
            let waker = Waker::from(Arc::new(ThreadWaker(std::thread::current())));
            let mut context = Context::from_waker(&waker);
            let sources: io::Result<Vec<SignalSource>> = senders
                .into_iter()
                .map(|(number, sender)| SignalSource::install(number, sender, &mut context))
                .collect();
            match sources {
                Ok(sources) => {
                    let _ = installed.send(Ok(()));
                    report_signals(sources, &mut context);
                }
                Err(error) => {
                    let _ = installed.send(Err(error));
                }
            }
        })?;
    installation.recv().map_err(io::Error::other)??;
    Ok(receivers)
}

/// Reports signals until the process ends.
fn report_signals(mut sources: Vec<SignalSource>, context: &mut Context<'_>) {
    loop {
        for source in &mut sources {
            // A listener for a number that was valid before cannot fail. If it did, the retained one
            // would still keep the signal from ending the process.
            let _ = source.report_arrival(context);
        }
        std::thread::park();
    }
}
