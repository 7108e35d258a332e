//! A running gate: its threads, and the way from its start to its end.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_protocol::settings::gate::Gate as Settings;
use fulmarpier_state::id::Incarnation;
use fulmarpier_transport::{
    clock::Clock,
    crowd::Crowd,
    http::{
        self,
        Drained,
        Server, //
    },
    platform::{
        SetupError,
        target, //
    },
    rpc,
};
use slog::Logger;
use tokio::{
    runtime::{
        Builder,
        Runtime, //
    },
    sync::oneshot,
    task::JoinHandle,
    time::{
        sleep,
        timeout, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::{
    app::{
        App,
        Parts, //
    },
    control::{
        self,
        Control,
        Setup, //
    },
    drain,
    http::router,
    metrics::Metrics,
    phase::{
        Gauge,
        Phase, //
    },
    slot::Pool,
};

/// How long a gate that is leaving takes new work, so that balancers notice first.
const NOTICE: Duration = Duration::from_secs(2);
/// The notice takes at most this part of the time for the drain.
const NOTICE_PART: u32 = 4;

/// The ways in which a gate can fail.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The system gives no thread or no runtime.
    #[error("a thread can't be started")]
    Thread(#[from] io::Error),
    /// The control thread failed.
    #[error(transparent)]
    Control(#[from] control::Error),
    /// The server failed.
    #[error(transparent)]
    Server(#[from] http::Error),
    /// The client of the targets can't be set up.
    #[error(transparent)]
    Targets(#[from] SetupError),
    /// The metrics can't be set up.
    #[error(transparent)]
    Metrics(#[from] fulmarpier_transport::metrics::Error),
    /// A thread ended by a fault of its own.
    #[error("a traffic thread failed")]
    Panicked,
}

/// How a gate ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// Everything in progress was finished.
    Whole,
    /// The time for the drain was over first.
    Cut,
}

/// A running gate.
///
/// # Examples
///
/// ```no_run
/// use fulmarpier_gate::Gate;
/// use fulmarpier_protocol::settings;
/// use fulmarpier_transport::log::{Level, Log};
///
/// # async fn example() -> Result<(), Box<dyn std::error::Error>> {
/// let settings = settings::load("gate.json".as_ref())?;
/// let log = Log::open("gate", Level::Info);
/// let gate = Gate::start(settings, log.logger().clone()).await?;
/// println!("{}", gate.address());
/// gate.stop().await?;
/// # Ok(())
/// # }
/// ```
#[derive(Debug)]
pub struct Gate {
    app: Arc<App>,
    address: SocketAddr,
    notice: Duration,
    leave: CancellationToken,
    serving: Serving,
    traffic: Option<Runtime>,
}

impl Gate {
    /// Starts the threads of a gate and serves.
    ///
    /// # Errors
    ///
    /// Fails where the address can't be listened on or the system gives no thread.
    pub async fn start(settings: Settings, log: Logger) -> Result<Self, Error> {
        let settings = Arc::new(settings);
        let app = Arc::new(app(settings.clone(), log).await?);
        let traffic = Builder::new_multi_thread()
            .worker_threads(usize::from(settings.traffic_threads))
            .thread_name("traffic")
            .enable_all()
            .build()?;
        let notice = NOTICE.min(settings.drain.get() / NOTICE_PART);
        let limits = http::Limits {
            connections: usize::try_from(settings.limits.connections).unwrap_or(usize::MAX),
            linger: notice,
            drain: settings.drain.get(),
            patience: http::Patience {
                // A request may take as long as its deadline allows, and so may its body.
                body: settings.limits.max_deadline.get(),
                ..http::Patience::default()
            },
            crowd: Crowd::new(settings.limits.memory),
        };
        let leave = CancellationToken::new();
        let stop = leave.clone().cancelled_owned();
        let (address, serving) = match serve(&traffic, app.clone(), limits, stop).await {
            Ok(serving) => serving,
            Err(error) => {
                // Waiting for the threads is not allowed in the context of another runtime.
                traffic.shutdown_background();
                return Err(error);
            }
        };
        traffic.spawn(drain::follow(app.clone(), leave.clone(), notice));
        slog::info!(app.log, "started"; "node" => %settings.node, "address" => %address);
        Ok(Self {
            app,
            address,
            notice,
            leave,
            serving,
            traffic: Some(traffic),
        })
    }

    /// Returns where the gate serves.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Leaves: tells balancers, finishes what is in progress, gives the slots back and ends.
    ///
    /// # Errors
    ///
    /// Fails where the server had failed.
    pub async fn stop(mut self) -> Result<End, Error> {
        let log = self.app.log.clone();
        slog::info!(log, "leaving");
        self.leave.cancel();
        self.app.phase.set(Phase::Notice);
        sleep(self.notice).await;
        self.app.phase.set(Phase::Closed);
        let served = (&mut self.serving).await.map_err(|_| Error::Panicked)??;
        self.app.tasks.close();
        let drain = self.app.settings.drain.get();
        let finished = timeout(drain, self.app.tasks.wait()).await;
        self.app.control.farewell().await?;
        let end = match (served, finished) {
            (Drained::Whole, Ok(())) => End::Whole,
            _ => End::Cut,
        };
        slog::info!(log, "left"; "whole" => end == End::Whole);
        Ok(end)
    }
}

impl Drop for Gate {
    fn drop(&mut self) {
        self.leave.cancel();
        if let Some(traffic) = self.traffic.take() {
            // Waiting is not allowed in the context of another runtime.
            traffic.shutdown_background();
        }
    }
}

type Serving = JoinHandle<Result<Drained, http::Error>>;

/// Listens and serves on the traffic threads; returns the address once it listens.
async fn serve(
    traffic: &Runtime,
    app: Arc<App>,
    limits: http::Limits,
    stop: impl Future<Output = ()> + Send + 'static,
) -> Result<(SocketAddr, Serving), Error> {
    let listen = app.settings.listen;
    let routes = router(app);
    let (bound, binding) = oneshot::channel();
    let serving = traffic.spawn(async move {
        let server = Server::bind(listen, limits).await?;
        // Whoever started the gate may have given up.
        let _ = bound.send(server.address());
        Ok(server.serve(routes, stop).await)
    });
    match binding.await {
        Ok(address) => Ok((address, serving)),
        Err(_) => {
            let ended = serving.await.map_err(|_| Error::Panicked)?;
            Err(ended.map_or_else(Error::from, |_| Error::Panicked))
        }
    }
}

async fn app(settings: Arc<Settings>, log: Logger) -> Result<App, Error> {
    let clock = Clock::start();
    let metrics = Metrics::new()?;
    let phase = Gauge::new();
    let rpc = rpc::Client::start(rpc::ClientLimits::default())?;
    let targets = target::Client::new(target::Limits::default())?;
    let incarnation = Incarnation(clock.now().as_micros());
    let seed = incarnation.get() ^ u64::from(settings.node.get());
    let pool = Arc::new(Pool::new(clock, settings.node, incarnation, seed));
    let control = Control::start(Setup {
        settings: settings.clone(),
        pool: pool.clone(),
        rpc: rpc.clone(),
        phase: phase.clone(),
        metrics: metrics.clone(),
        log: log.clone(),
    })
    .await?;
    Ok(App::new(Parts {
        settings,
        clock,
        log,
        metrics,
        phase,
        control,
        pool,
        rpc,
        targets,
    }))
}
