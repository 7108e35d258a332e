//! The connections of one server, by when each was last used.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    collections::BTreeMap,
    rc::Rc, //
};

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// How a connection is used.
#[derive(Debug)]
pub(super) struct Usage {
    calls: Cell<usize>,
    last: Cell<Instant>,
}

impl Usage {
    /// Notes a call, which is in progress for as long as what is returned lives.
    pub(super) fn enter(self: &Rc<Self>) -> Busy {
        self.calls.set(self.calls.get() + 1);
        Busy(self.clone())
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

struct Held {
    usage: Rc<Usage>,
    end: CancellationToken,
}

/// The connections.
#[derive(Default)]
pub(super) struct Connections {
    next: Cell<u64>,
    held: RefCell<BTreeMap<u64, Held>>,
}

impl Connections {
    /// Adds a connection that ends with a token.
    pub(super) fn add(self: &Rc<Self>, end: CancellationToken) -> Connection {
        let number = self.next.get();
        self.next.set(number + 1);
        let usage = Rc::new(Usage {
            calls: Cell::new(0),
            last: Cell::new(Instant::now()),
        });
        let held = Held {
            usage: usage.clone(),
            end: end.clone(),
        };
        self.held.borrow_mut().insert(number, held);
        Connection {
            number,
            usage,
            end,
            all: self.clone(),
        }
    }

    /// Ends the connection that was idle for longest; none where all have calls in progress.
    pub(super) fn close_idlest(&self) {
        let held = self.held.borrow();
        let idle = held.values().filter(|held| {
            let is_ending = held.end.is_cancelled();
            held.usage.calls.get() == 0 && !is_ending
        });
        if let Some(idlest) = idle.min_by_key(|held| held.usage.last.get()) {
            idlest.end.cancel();
        }
    }
}

/// One connection; dropped, it is forgotten.
pub(super) struct Connection {
    number: u64,
    usage: Rc<Usage>,
    end: CancellationToken,
    all: Rc<Connections>,
}

impl Connection {
    pub(super) fn usage(&self) -> Rc<Usage> {
        self.usage.clone()
    }

    pub(super) fn end(&self) -> CancellationToken {
        self.end.clone()
    }
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.all.held.borrow_mut().remove(&self.number);
    }
}
