//! One peer as a client sees it: its connection, bounds and backoff.

use std::{
    cell::{
        Cell,
        RefCell, //
    },
    io,
    net::SocketAddr,
    rc::Rc,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_protocol::wire::{
    Answer,
    Call, //
};
use tokio::{
    sync::{
        Mutex,
        Semaphore, //
    },
    time::{
        Instant,
        timeout,
        timeout_at, //
    },
};

use super::{
    client::Limits,
    error::Error,
    exchange::exchange,
    link::Link,
    traffic::Traffic, //
};

/// How often a call is sent at most when the peer evicts one connection after the other: it has more callers at once
/// than connections, and each new connection takes the place of another one.
const MAX_SENDINGS: u32 = 4;

/// The state of the connection to one peer.
pub(super) struct Peer {
    address: SocketAddr,
    limits: Limits,
    traffic: Arc<Traffic>,
    permits: Semaphore,
    link: RefCell<Option<Rc<Link>>>,
    connecting: Mutex<()>,
    failure: RefCell<Option<Failure>>,
    backoff: Cell<Duration>,
}

/// The last failure to connect and when to try again.
#[derive(Clone)]
struct Failure {
    error: Error,
    until: Instant,
}

impl Peer {
    pub(super) fn new(address: SocketAddr, limits: Limits, traffic: Arc<Traffic>) -> Self {
        Self {
            address,
            limits,
            traffic,
            permits: Semaphore::new(limits.in_flight),
            link: RefCell::new(None),
            connecting: Mutex::new(()),
            failure: RefCell::new(None),
            backoff: Cell::new(limits.backoff_first),
        }
    }

    /// Makes one call, which runs at most once: it is sent again only where the peer says that it was not run because
    /// the connection was evicted.
    pub(super) async fn call(&self, call: Call, deadline: Instant) -> Result<Answer, Error> {
        let _permit = timeout_at(deadline, self.permits.acquire())
            .await
            .map_err(|_| Error::Overloaded)?
            .map_err(|_| Error::Closed)?;
        let mut sendings = 1;
        loop {
            match self.send(&call, deadline).await {
                Err(Error::Evicted) if sendings < MAX_SENDINGS => sendings += 1,
                result => return result,
            }
        }
    }

    /// Sends a call once and waits for its answer.
    async fn send(&self, call: &Call, deadline: Instant) -> Result<Answer, Error> {
        let link = timeout_at(deadline, self.link())
            .await
            .unwrap_or(Err(Error::Unreachable {
                address: self.address,
            }))?;
        self.traffic.call();
        let heard = link.received();
        match timeout_at(deadline, exchange(&link.sched, call)).await {
            Ok(Err(error @ (Error::Disconnected | Error::Evicted))) => {
                self.drop_link(&link);
                Err(error)
            }
            Ok(answer) => answer,
            Err(_) => {
                if link.received() == heard {
                    // Nothing at all came during the call: the connection may be dead.
                    self.drop_link(&link);
                }
                Err(Error::Timeout)
            }
        }
    }

    /// Returns the live connection, making one where there is none and the backoff is over.
    async fn link(&self) -> Result<Rc<Link>, Error> {
        let _connecting = self.connecting.lock().await;
        if let Some(link) = self.link.borrow().as_ref().filter(|link| link.is_live()) {
            return Ok(link.clone());
        }
        if let Some(failure) = self.failure.borrow().as_ref()
            && Instant::now() < failure.until
        {
            return Err(failure.error.clone());
        }
        match timeout(
            self.limits.connect,
            Link::connect(self.address, self.traffic.clone()),
        )
        .await
        {
            Ok(Ok(link)) => Ok(self.connected(link)),
            Ok(Err(error)) => Err(self.failed(self.refusal(&error))),
            Err(_) => Err(self.failed(Error::Unreachable {
                address: self.address,
            })),
        }
    }

    fn connected(&self, link: Link) -> Rc<Link> {
        let link = Rc::new(link);
        self.backoff.set(self.limits.backoff_first);
        self.failure.replace(None);
        self.link.replace(Some(link.clone()));
        link
    }

    fn failed(&self, error: Error) -> Error {
        let backoff = self.backoff.get();
        self.backoff
            .set(backoff.saturating_mul(2).min(self.limits.backoff_last));
        // Between half and the whole of the backoff, so that peers don't all come back at once.
        let wait = backoff.mul_f64(rand::random_range(0.5..=1.0));
        self.failure.replace(Some(Failure {
            error: error.clone(),
            until: Instant::now() + wait,
        }));
        error
    }

    fn refusal(&self, error: &io::Error) -> Error {
        let address = self.address;
        if error.kind() == io::ErrorKind::ConnectionRefused {
            Error::Refused { address }
        } else {
            Error::Unreachable { address }
        }
    }

    /// Forgets a connection, unless a newer one has taken its place.
    fn drop_link(&self, link: &Rc<Link>) {
        let mut held = self.link.borrow_mut();
        if held.as_ref().is_some_and(|held| Rc::ptr_eq(held, link)) {
            *held = None;
        }
    }
}
