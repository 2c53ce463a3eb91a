//! Decides which connections of callers stay open.
//!
//! The load that it answers: more connections than a process has room for, most of which are silent
//! or stop short and stay open. When all places are taken, the caller that has made no progress for
//! the longest time loses its connection.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::Instant;

use futures_util::future::{AbortHandle, AbortRegistration, Abortable, Aborted};

use crate::FastMap;
use crate::caller_connection::CallerConnection;
use crate::memory_pool::MemoryPool;

type ConnectionNumber = u64;

/// The open connections of a listener.
#[derive(Debug)]
pub struct ConnectionTable {
    max_connections: usize,
    memory: Option<MemoryPool>,
    open: RefCell<FastMap<ConnectionNumber, CallerConnection>>,
    last_number: Cell<ConnectionNumber>,
}

/// A connection that may be served.
#[derive(Debug)]
pub struct AdmittedConnection {
    pub(crate) connection: CallerConnection,
    /// Ends the task of the connection when it is closed.
    registration: AbortRegistration,
    place: Option<(Rc<ConnectionTable>, ConnectionNumber)>,
}

impl ConnectionTable {
    /// Returns a table with this number of places. Long heads draw from `memory`.
    #[must_use]
    pub fn new(max_connections: usize, memory: Option<MemoryPool>) -> Rc<Self> {
        Rc::new(Self {
            max_connections,
            memory,
            open: RefCell::default(),
            last_number: Cell::new(0),
        })
    }

    /// Returns the number of places that are taken.
    #[must_use]
    pub fn len(&self) -> usize {
        self.open.borrow().len()
    }

    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.open.borrow().is_empty()
    }

    /// Gives a place to a new connection. Returns `None` if all are taken by callers that make
    /// progress or wait for their answers.
    #[must_use]
    pub fn admit(self: &Rc<Self>, now: Instant) -> Option<AdmittedConnection> {
        if self.len() >= self.max_connections {
            let (number, _) = self.longest_stalled(now)?;
            let removed = self.open.borrow_mut().remove(&number);
            removed?.close();
        }
        let mut admitted = self.admit_without_place(now);
        let number = self.last_number.get() + 1;
        self.last_number.set(number);
        let connection = admitted.connection.clone();
        self.open.borrow_mut().insert(number, connection);
        admitted.place = Some((Rc::clone(self), number));
        Some(admitted)
    }

    /// Admits a connection that takes no place.
    #[must_use]
    pub fn admit_without_place(&self, now: Instant) -> AdmittedConnection {
        let (abort, registration) = AbortHandle::new_pair();
        AdmittedConnection {
            connection: CallerConnection::new(self.memory.clone(), abort, now),
            registration,
            place: None,
        }
    }

    fn longest_stalled(&self, now: Instant) -> Option<(ConnectionNumber, Instant)> {
        let open = self.open.borrow();
        let stalled = open
            .iter()
            .filter_map(|(number, connection)| Some((*number, connection.stalled_since(now)?)));
        stalled.min_by_key(|(_, since)| *since)
    }
}

impl AdmittedConnection {
    /// Serves the connection to its end, then gives its place back.
    ///
    /// # Errors
    ///
    /// Returns [`Aborted`] if the connection was closed because its caller made no progress.
    pub async fn serve<F: Future>(
        self,
        serve: impl FnOnce(CallerConnection) -> F,
    ) -> Result<F::Output, Aborted> {
        let served = Abortable::new(serve(self.connection), self.registration).await;
        if let Some((table, number)) = self.place {
            table.open.borrow_mut().remove(&number);
        }
        served
    }
}
