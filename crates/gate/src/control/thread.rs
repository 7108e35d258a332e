//! The thread of the control state and the handle to it.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::Duration, //
};

use fulmarpier_coordination::topology::Count;
use fulmarpier_protocol::settings::gate::Gate as Settings;
use fulmarpier_state::id::ShardId;
use fulmarpier_transport::rpc;
use kameo::{
    actor::{
        ActorRef,
        Spawn, //
    },
    error::SendError,
};
use slog::Logger;
use tokio::{
    runtime::Builder,
    sync::{
        Notify,
        oneshot,
        watch, //
    },
    time::{
        MissedTickBehavior,
        interval, //
    },
};

use super::{
    actor::{
        Everyone,
        Exchanger,
        Farewell,
        Parts,
        Peer, //
    },
    pace::Pace,
    view::{
        Sched,
        View, //
    },
};
use crate::{
    metrics::Metrics,
    phase::Gauge,
    slot::Pool, //
};

/// The shortest time that an exchange may take.
const LEAST_TIMEOUT: Duration = Duration::from_millis(500);

/// What the control thread needs.
pub struct Setup {
    /// The scheds and the pace.
    pub settings: Arc<Settings>,
    /// The slots that are agreed on.
    pub pool: Arc<Pool>,
    /// The client of the scheds.
    pub rpc: rpc::Client,
    /// The phase of the gate.
    pub phase: Gauge,
    /// The instruments.
    pub metrics: Metrics,
    /// The log.
    pub log: Logger,
}

/// The ways in which the control thread can fail.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The system gives no thread or no runtime.
    #[error("the control thread can't be started")]
    Thread(#[from] io::Error),
    /// The thread ended while it was started.
    #[error("the control thread ended")]
    Ended,
}

/// A handle to the control thread; it ends when all handles are gone.
#[derive(Clone, Debug)]
pub struct Control {
    actor: ActorRef<Exchanger>,
    view: watch::Receiver<Arc<View>>,
    refresh: Arc<Notify>,
}

impl Control {
    /// Starts the thread and the exchanges with the scheds.
    ///
    /// # Errors
    ///
    /// Fails where the system gives no thread.
    pub async fn start(setup: Setup) -> Result<Self, Error> {
        let (view, views) = watch::channel(Arc::new(first_view(&setup.settings)));
        let refresh = Arc::new(Notify::new());
        let (started, starting) = oneshot::channel();
        let runtime = Builder::new_current_thread().enable_all().build()?;
        let bell = refresh.clone();
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                runtime.block_on(run(setup, view, bell, started));
            })?;
        let actor = starting.await.map_err(|_| Error::Ended)?;
        Ok(Self {
            actor,
            view: views,
            refresh,
        })
    }

    /// Returns what is known of the scheds, to be read and waited on.
    pub fn view(&self) -> watch::Receiver<Arc<View>> {
        self.view.clone()
    }

    /// Asks for an exchange with all scheds soon, as after a hint that an owner has changed.
    pub fn refresh(&self) {
        self.refresh.notify_one();
    }

    /// Tells the scheds that the gate is leaving, and waits for them a little.
    ///
    /// # Errors
    ///
    /// Fails where the thread has ended.
    pub async fn farewell(&self) -> Result<(), Error> {
        let told = self.actor.ask(Farewell).await;
        told.map_err(|_: SendError<_, _>| Error::Ended)
    }
}

/// Returns all shards of the region of a gate, owned or not.
fn shards(settings: &Settings) -> Arc<[ShardId]> {
    // The settings check the range.
    let count = Count::try_from(settings.shards_per_data_centre).unwrap_or(Count::ONE);
    let data_centres = settings.data_centres.iter();
    data_centres.flat_map(|id| count.shards(*id)).collect()
}

fn first_view(settings: &Settings) -> View {
    let sched = |address| Sched {
        address,
        is_up: false,
        is_draining: false,
    };
    let scheds = settings.scheds.iter();
    View {
        scheds: scheds
            .map(|peer| (peer.node, sched(peer.rpc_address)))
            .collect(),
        shards: shards(settings),
        ..View::default()
    }
}

fn first_peer(address: SocketAddr) -> Peer {
    let pace = Pace::new();
    Peer { address, pace }
}

async fn run(
    setup: Setup,
    view: watch::Sender<Arc<View>>,
    refresh: Arc<Notify>,
    started: oneshot::Sender<ActorRef<Exchanger>>,
) {
    let settings = setup.settings;
    let pool = setup.pool.clone();
    let scheds = settings.scheds.iter();
    let actor = Exchanger::spawn(Exchanger::new(Parts {
        peers: scheds
            .map(|peer| (peer.node, first_peer(peer.rpc_address)))
            .collect(),
        pool: setup.pool,
        rpc: setup.rpc,
        view,
        phase: setup.phase,
        metrics: setup.metrics,
        log: setup.log,
        timeout: settings.sync_interval.get().max(LEAST_TIMEOUT),
    }));
    let weak = actor.downgrade();
    // Whoever waits for the start may have given up; the loop below then ends.
    let _ = started.send(actor);
    let mut ticks = interval(settings.sync_interval.get());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => {}
            () = pool.hungry() => {}
            () = refresh.notified() => {}
        }
        let Some(actor) = weak.upgrade() else {
            return;
        };
        if actor.tell(Everyone).await.is_err() {
            return;
        }
    }
}
