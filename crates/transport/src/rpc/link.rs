//! One connection to a peer and the Cap'n Proto system on it.

use std::{
    cell::Cell,
    net::SocketAddr,
    rc::Rc,
    sync::Arc, //
};

use capnp_rpc::{
    RpcSystem,
    rpc_twoparty_capnp::Side,
    twoparty::VatNetwork, //
};
use fulmarpier_protocol::wire::sched_capnp::sched;
use futures::io::{
    BufReader,
    BufWriter, //
};
use tokio::{
    net::TcpStream,
    task::{
        JoinHandle,
        spawn_local, //
    },
};
use tokio_util::{
    compat::{
        TokioAsyncReadCompatExt,
        TokioAsyncWriteCompatExt, //
    },
    sync::CancellationToken,
};

use super::{
    eviction::Evictable,
    frame::Accounted,
    traffic::{
        Counted,
        Traffic, //
    },
};
use crate::{
    crowd::{
        Crowd,
        Membership, //
    },
    silence,
};

/// The network of one connection, with its bytes counted. It ends with a reason for the peer once `eviction` is
/// cancelled. What arrives is accounted for in a crowd.
pub(super) fn network(
    stream: TcpStream,
    side: Side,
    all: Arc<Traffic>,
    link: Arc<Traffic>,
    eviction: CancellationToken,
    membership: Membership,
) -> VatNetwork<impl futures::AsyncRead + Unpin + 'static> {
    // Without it answers are only slower.
    let _ = stream.set_nodelay(true);
    // Without it a connection that falls silent is noticed by the next call that gets no answer.
    let _ = silence::watch(&stream);
    let (reader, writer) = stream.into_split();
    let reader = Counted::new(reader, all.clone(), link.clone());
    let reader = Accounted::new(reader, membership);
    let reader = Evictable::new(reader, eviction).compat();
    let writer = Counted::new(writer, all, link).compat_write();
    VatNetwork::new(
        BufReader::new(reader),
        BufWriter::new(writer),
        side,
        capnp::message::ReaderOptions::new(),
    )
}

/// A live connection to a peer; dropping it closes the connection.
pub(super) struct Link {
    pub(super) sched: sched::Client,
    traffic: Arc<Traffic>,
    ended: Rc<Cell<bool>>,
    driver: JoinHandle<()>,
}

impl Link {
    /// Connects to a peer.
    pub(super) async fn connect(address: SocketAddr, all: Arc<Traffic>) -> std::io::Result<Self> {
        let stream = TcpStream::connect(address).await?;
        let traffic = Arc::new(Traffic::default());
        // Only servers evict connections.
        let eviction = CancellationToken::new();
        // Whom this process calls is known, and so is how much that is.
        let membership = Crowd::unbounded().join(0, CancellationToken::new());
        let network = network(
            stream,
            Side::Client,
            all,
            traffic.clone(),
            eviction,
            membership,
        );
        let mut system = RpcSystem::new(Box::new(network), None);
        let sched = system.bootstrap(Side::Server);
        let ended = Rc::new(Cell::new(false));
        let flag = ended.clone();
        let driver = spawn_local(async move {
            // How it ended shows in the calls that were in progress.
            let _ = system.await;
            flag.set(true);
        });
        Ok(Self {
            sched,
            traffic,
            ended,
            driver,
        })
    }

    /// Returns whether the connection still stands, as far as this side knows.
    pub(super) fn is_live(&self) -> bool {
        !self.ended.get()
    }

    /// Returns how many bytes came in, to tell a silent connection from a slow call.
    pub(super) fn received(&self) -> u64 {
        self.traffic.totals().received
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.driver.abort();
    }
}
