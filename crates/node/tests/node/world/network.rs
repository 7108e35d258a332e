//! The links of a test world, the faults on them, and the in-process network between its nodes.

use std::{
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    future::pending,
    net::SocketAddr,
    sync::{
        Arc, Mutex, MutexGuard,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use fulmarpier_node::{
    Error,
    network::{
        self,
        Endpoint,
        Network, //
    }, //
};
use fulmarpier_protocol::wire::{
    Answer,
    Call, //
};
use fulmarpier_transport::rpc;
use futures::future::BoxFuture;
use tokio::{
    sync::{
        Semaphore,
        mpsc,
        oneshot, //
    },
    time::{
        Instant,
        sleep,
        timeout, //
    },
};

/// How long a message takes on a link without a fault.
const LATENCY: Duration = Duration::from_millis(1);
/// How often a message that is held looks whether its link is open again.
const HELD_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// How many calls may wait for a node, and how many of its own for answers.
const MAX_CALLS: usize = 4_096;

/// A party of the world.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub(crate) enum Site {
    Node(usize),
    Worker(usize),
    Store,
}

/// What a fault does to the messages on a link, the weakest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Effect {
    /// They take this much longer.
    Delay(Duration),
    /// They arrive when the fault is over.
    Hold,
    /// They are lost.
    Lose,
}

/// A fault on all links from one group to another, in this direction only.
#[derive(Clone, Debug)]
struct Fault {
    from: BTreeSet<Site>,
    to: BTreeSet<Site>,
    effect: Effect,
    until: Instant,
}

/// Whether a process still runs. What it sends after its end goes nowhere.
pub(super) type Power = Arc<AtomicBool>;

#[derive(Debug, Default)]
struct State {
    faults: Vec<Fault>,
    /// The nodes whose machines are off: they don't even refuse connections.
    off: BTreeSet<usize>,
    /// The processes that take calls.
    listeners: BTreeMap<usize, (Power, mpsc::Sender<rpc::Incoming>)>,
}

/// All links of a world; cheap to clone.
#[derive(Clone, Debug, Default)]
pub(crate) struct Links(Arc<Mutex<State>>);

impl Links {
    fn state(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap()
    }

    /// Begins a fault on the messages from one group to another.
    pub(crate) fn begin(&self, from: &[Site], to: &[Site], effect: Effect, span: Duration) {
        self.state().faults.push(Fault {
            from: from.iter().copied().collect(),
            to: to.iter().copied().collect(),
            effect,
            until: Instant::now() + span,
        });
    }

    /// Ends all faults.
    pub(crate) fn heal(&self) {
        self.state().faults.clear();
    }

    /// Ends the process of a node; its machine refuses connections if it is still on.
    pub(super) fn close(&self, node: usize, is_off: bool) {
        let mut state = self.state();
        if let Some((power, _)) = state.listeners.remove(&node) {
            power.store(false, Ordering::Relaxed);
        }
        match is_off {
            true => state.off.insert(node),
            false => state.off.remove(&node),
        };
    }

    /// Returns the strongest effect of the present faults on messages from one party to another.
    fn effect(&self, from: Site, to: Site) -> Option<Effect> {
        let now = Instant::now();
        let mut state = self.state();
        state.faults.retain(|fault| fault.until > now);
        let is_off = |site| matches!(site, Site::Node(node) if state.off.contains(&node));
        if is_off(from) || is_off(to) {
            return Some(Effect::Lose);
        }
        let on_link = state
            .faults
            .iter()
            .filter(|fault| fault.from.contains(&from) && fault.to.contains(&to));
        on_link.map(|fault| fault.effect).max()
    }

    /// Carries a message; returns false if it is lost.
    async fn carry(&self, from: Site, to: Site) -> bool {
        loop {
            match self.effect(from, to) {
                None => sleep(LATENCY).await,
                Some(Effect::Delay(delay)) => sleep(LATENCY + delay).await,
                Some(Effect::Hold) => {
                    sleep(HELD_CHECK_INTERVAL).await;
                    continue;
                }
                Some(Effect::Lose) => return false,
            }
            return true;
        }
    }

    /// Passes a call to the process of a node.
    async fn deliver(self, node: usize, from: SocketAddr, call: Call) -> Option<Reply> {
        let listener = self.state().listeners.get(&node).cloned();
        let Some((power, calls)) = listener else {
            let address = address(node);
            return Some(Err(rpc::Error::Refused { address }));
        };
        let (answer, answered) = oneshot::channel();
        let incoming = rpc::Incoming { from, call, answer };
        if calls.send(incoming).await.is_err() {
            return Some(Err(rpc::Error::Overloaded));
        }
        let reply = answered.await.map_err(|_| rpc::Error::Failed {
            reason: "the call was dropped".to_owned(),
        });
        power.load(Ordering::Relaxed).then_some(reply)
    }
}

type Reply = Result<Answer, rpc::Error>;

/// Returns the address of a node.
pub(super) fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, u8::try_from(node).unwrap()], 7_000))
}

fn node_at(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!("all nodes have addresses of version 4"),
    }
}

/// What a process of a node uses to reach other parties; cheap to clone.
#[derive(Clone, Debug)]
pub(crate) struct Port {
    links: Links,
    node: usize,
    power: Power,
    /// A permit for each call to another node.
    calls: Arc<Semaphore>,
}

impl Port {
    pub(super) fn new(links: Links, node: usize) -> Self {
        Self {
            links,
            node,
            power: Arc::new(AtomicBool::new(true)),
            calls: Arc::new(Semaphore::new(MAX_CALLS)),
        }
    }

    /// Has another party carry out a call, whether or not the caller still waits by then; `None` if no answer came in
    /// time.
    pub(super) async fn call<T: Send + 'static>(
        &self,
        to: Site,
        limit: Duration,
        action: impl Future<Output = Option<T>> + Send + 'static,
    ) -> Option<T> {
        let (sender, answer) = oneshot::channel();
        let (from, port) = (Site::Node(self.node), self.clone());
        let is_on = move || port.power.load(Ordering::Relaxed);
        let links = self.links.clone();
        tokio::spawn(async move {
            if !is_on() || !links.carry(from, to).await {
                return;
            }
            let Some(result) = action.await else {
                return;
            };
            if links.carry(to, from).await && is_on() {
                // The caller may have given up.
                let _ = sender.send(result);
            }
        });
        let answered = async {
            match answer.await {
                Ok(answer) => answer,
                Err(_) => pending().await,
            }
        };
        timeout(limit, answered).await.ok()
    }
}

impl Network for Port {
    fn connect(&self, address: SocketAddr, _: rpc::ServerLimits) -> Result<Endpoint, Error> {
        let (sender, calls) = mpsc::channel(MAX_CALLS);
        let mut state = self.links.state();
        state.off.remove(&self.node);
        state
            .listeners
            .insert(node_at(address), (self.power.clone(), sender));
        Ok(Endpoint {
            client: Arc::new(self.clone()),
            server: Box::new(self.clone()),
            calls,
        })
    }
}

impl network::Client for Port {
    fn call(
        &self,
        to: SocketAddr,
        call: Call,
        timeout: Duration,
    ) -> BoxFuture<'_, Result<Answer, rpc::Error>> {
        Box::pin(async move {
            let _permit = self.calls.try_acquire();
            let node = node_at(to);
            let action = self.links.clone().deliver(node, address(self.node), call);
            let reply = Self::call(self, Site::Node(node), timeout, action).await;
            reply.unwrap_or(Err(rpc::Error::Timeout))
        })
    }

    fn pending(&self) -> usize {
        MAX_CALLS - self.calls.available_permits()
    }
}

impl network::Server for Port {
    fn address(&self) -> SocketAddr {
        address(self.node)
    }

    fn close(self: Box<Self>, _: Duration) -> BoxFuture<'static, ()> {
        Box::pin(async move { self.links.close(self.node, false) })
    }
}
