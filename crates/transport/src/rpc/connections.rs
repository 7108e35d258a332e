//! The connections of one server, by when each was last used.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    rc::Rc,
    time::Duration, //
};

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// How long a connection has to be idle before it may be evicted. The answer to its last call has then left; otherwise
/// the peer would be told that a call was not run whose answer is lost with the connection.
pub(super) const MIN_IDLE: Duration = Duration::from_millis(10);

/// How a connection is used.
#[derive(Debug)]
pub(super) struct Usage {
    calls: Cell<usize>,
    last: Cell<Instant>,
    eviction: CancellationToken,
}

impl Usage {
    /// Notes a call, which is in progress for as long as what is returned lives; none once the connection is
    /// evicted, since the peer is told that its last calls were not run.
    pub(super) fn enter(self: &Rc<Self>) -> Option<Busy> {
        if self.eviction.is_cancelled() {
            return None;
        }
        self.calls.set(self.calls.get() + 1);
        Some(Busy(self.clone()))
    }

    /// Returns the token that is cancelled when the connection is evicted.
    pub(super) fn eviction(&self) -> CancellationToken {
        self.eviction.clone()
    }
}

/// Counts one call for as long as it lives.
pub(super) struct Busy(Rc<Usage>);

impl Drop for Busy {
    fn drop(&mut self) {
        self.0.calls.set(self.0.calls.get() - 1);
        self.0.last.set(Instant::now());
    }
}

/// The connections.
#[derive(Default)]
pub(super) struct Connections {
    next: Cell<u64>,
    held: RefCell<BTreeMap<u64, Rc<Usage>>>,
}

impl Connections {
    /// Adds a connection.
    pub(super) fn add(self: &Rc<Self>) -> Connection {
        let number = self.next.get();
        self.next.set(number + 1);
        let usage = Rc::new(Usage {
            calls: Cell::new(0),
            last: Cell::new(Instant::now()),
            eviction: CancellationToken::new(),
        });
        self.held.borrow_mut().insert(number, usage.clone());
        Connection {
            number,
            usage,
            all: self.clone(),
        }
    }

    /// Evicts the least recently used connection that is idle; returns whether there was one.
    pub(super) fn evict_least_recently_used(&self) -> bool {
        let held = self.held.borrow();
        let idle = held.values().filter(|usage| {
            let is_evicted = usage.eviction.is_cancelled();
            usage.calls.get() == 0 && usage.last.get().elapsed() >= MIN_IDLE && !is_evicted
        });
        let least_recent = idle.min_by_key(|usage| usage.last.get());
        if let Some(usage) = least_recent {
            usage.eviction.cancel();
        }
        least_recent.is_some()
    }
}

/// One connection; dropped, it is forgotten.
pub(super) struct Connection {
    number: u64,
    usage: Rc<Usage>,
    all: Rc<Connections>,
}

impl Connection {
    pub(super) fn usage(&self) -> Rc<Usage> {
        self.usage.clone()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.all.held.borrow_mut().remove(&self.number);
    }
}
