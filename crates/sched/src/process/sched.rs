//! A running sched.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    thread,
    time::Duration, //
};

use fulmarpier_coordination::claim::Holder;
use fulmarpier_protocol::settings::sched::Sched as File;
use fulmarpier_state::{
    clock::Timestamp,
    id::Incarnation, //
};
use fulmarpier_transport::{
    clock::Clock,
    http::{
        Limits,
        Server, //
    },
    metrics::Registry,
    platform::{
        Timeouts,
        log as log_client,
        vm as vm_client,
        worker as worker_client, //
    },
    rpc,
};
use kameo::actor::Spawn;
use slog::{
    Logger,
    info,
    o, //
};
use tokio::{
    runtime::{
        Builder,
        Handle,
        Runtime, //
    },
    sync::{
        Notify,
        mpsc,
        oneshot, //
    },
    time::{
        Instant,
        sleep_until,
        timeout, //
    },
};
use tokio_util::sync::CancellationToken;

use super::{
    Error,
    carrier::Carrier,
    control::{
        Batch,
        Control,
        Event,
        Status,
        Wake, //
    },
    http,
    meter::{
        self,
        Meter, //
    },
    options,
};
use crate::node::{
    Input,
    Node, //
};

/// The most connections of those who read the metrics and ask for the health.
const MAX_HTTP_CONNECTIONS: usize = 64;
/// How many events may wait for the control thread.
const QUEUE: usize = 8_192;
/// How many events are handled in one go.
const BURST: usize = 512;
/// How long the last answers and the control thread may take to end.
const CLOSE: Duration = Duration::from_secs(1);
/// How often a node that has nothing to do looks around all the same.
const IDLE: Duration = Duration::from_millis(200);

/// A running sched.
#[derive(Debug)]
pub struct Sched {
    rpc: Option<rpc::Server>,
    rpc_address: SocketAddr,
    http: SocketAddr,
    events: mpsc::Sender<Event>,
    status: Arc<Status>,
    stop_http: Arc<Notify>,
    stop: CancellationToken,
    traffic: Option<Runtime>,
    ended: oneshot::Receiver<()>,
    drain: Duration,
    log: Logger,
}

impl Sched {
    /// Starts a sched with checked settings.
    ///
    /// # Errors
    ///
    /// Fails where an address can't be listened on or the system refuses a thread.
    pub fn start(file: &File, log: &Logger) -> Result<Self, Error> {
        let settings = options::node(file)?;
        let log = log.new(o!("node" => file.node.to_string()));
        let (server, incoming) = rpc::Server::start(file.rpc_listen, rpc::ServerLimits::default())?;
        let traffic = Builder::new_multi_thread()
            .worker_threads(usize::from(file.traffic_threads))
            .thread_name("traffic")
            .enable_all()
            .build()?;
        let clock = Clock::start();
        let now = clock.now();
        let holder = Holder {
            node: file.node,
            incarnation: Incarnation(now.as_micros()),
            address: server.address(),
        };
        let registry = Arc::new(Registry::new("sched", meter::RETRIES)?);
        let status = Arc::new(Status::default());
        let (events, inbox) = mpsc::channel(QUEUE);
        let carrier = carrier(file, traffic.handle().clone(), events.clone())?;
        let stop_http = Arc::new(Notify::new());
        let http = serve_http(file, &traffic, registry.clone(), status.clone(), &stop_http)?;
        forward_calls(&traffic, incoming, events.clone());
        let seed = u64::from(file.node.0) ^ now.as_micros();
        let node = Node::new(holder, settings, seed, now);
        let meter = Meter::new(registry);
        let control_log = log.clone();
        let control_status = status.clone();
        let (end, ended) = oneshot::channel();
        let stop = CancellationToken::new();
        let stopped = stop.clone();
        let runtime = Builder::new_current_thread().enable_all().build()?;
        thread::Builder::new()
            .name("control".to_owned())
            .spawn(move || {
                let make = |clock: Clock| {
                    Control::new(node, clock, carrier, meter, control_log, control_status)
                };
                runtime.block_on(run(make, clock, inbox, stopped));
                // Nobody may be waiting for the end.
                let _ = end.send(());
            })?;
        info!(log, "sched started"; "rpc" => %server.address(), "http" => %http);
        Ok(Self {
            rpc_address: server.address(),
            rpc: Some(server),
            http,
            events,
            status,
            stop_http,
            stop,
            traffic: Some(traffic),
            ended,
            drain: file.drain.get(),
            log,
        })
    }

    /// Returns where gates and other scheds reach this one.
    pub const fn rpc_address(&self) -> SocketAddr {
        self.rpc_address
    }

    /// Returns where the counters and the health are shown.
    pub const fn http_address(&self) -> SocketAddr {
        self.http
    }

    /// Hands every shard over, finishes what is in progress and ends.
    ///
    /// What can't be handed over within the drain time of the settings is left to the takeover by
    /// the other nodes; nothing is lost by that.
    pub async fn leave(mut self) {
        info!(self.log, "sched leaves");
        // A control thread that has ended holds nothing any more.
        let _ = self.events.send(Event::Input(Input::Drain)).await;
        let drained = timeout(self.drain, self.status.drained.notified()).await;
        info!(self.log, "sched left"; "handed_over" => drained.is_ok());
        self.stop_http.notify_one();
        let closed = match self.rpc.take() {
            Some(rpc) => Some(rpc.close(CLOSE).await),
            None => None,
        };
        self.end();
        // A thread that is late ends by itself.
        let _ = timeout(CLOSE, &mut self.ended).await;
        // Only now may connections be refused, which proves to peers that nothing acts here.
        drop(closed);
    }

    /// Ends the threads without waiting for what they do.
    fn end(&mut self) {
        self.stop.cancel();
        if let Some(traffic) = self.traffic.take() {
            traffic.shutdown_background();
        }
    }
}

impl Drop for Sched {
    /// Ends the sched at once, as when its process dies.
    fn drop(&mut self) {
        self.end();
    }
}

fn carrier(file: &File, traffic: Handle, events: mpsc::Sender<Event>) -> Result<Carrier, Error> {
    let log = options::address("log_url", &file.log_url)?;
    let list = options::address("vms_url", &file.vms_url)?;
    let timeouts = Timeouts::default();
    let answer = file.timings.start_by.get();
    let worker_timeouts = Timeouts { answer, ..timeouts };
    Ok(Carrier {
        traffic,
        log: log_client::Client::new(log, file.node, timeouts)?,
        list: vm_client::Client::new(list, timeouts)?,
        workers: worker_client::Client::new(worker_timeouts)?,
        peers: rpc::Client::start(rpc::ClientLimits::default())?,
        events,
    })
}

fn serve_http(
    file: &File,
    traffic: &Runtime,
    registry: Arc<Registry>,
    status: Arc<Status>,
    stop: &Arc<Notify>,
) -> Result<SocketAddr, Error> {
    let limits = Limits {
        connections: MAX_HTTP_CONNECTIONS,
        linger: Duration::ZERO,
        drain: Duration::from_secs(1),
        ..Limits::default()
    };
    let listen = file.http_listen;
    let (bound, waiting) = std::sync::mpsc::channel();
    let stop = stop.clone();
    traffic.spawn(async move {
        match Server::bind(listen, limits).await {
            Ok(server) => {
                // The starter waits for this word.
                let _ = bound.send(Ok(server.address()));
                let stop = async move { stop.notified().await };
                // How it ended shows nowhere else.
                let _ = server.serve(http::router(registry, status), stop).await;
            }
            Err(error) => drop(bound.send(Err(error))),
        }
    });
    match waiting.recv() {
        Ok(address) => Ok(address?),
        Err(_) => Err(Error::System(io::Error::other("the traffic threads ended"))),
    }
}

/// Passes calls on to the control thread.
fn forward_calls(
    traffic: &Runtime,
    mut incoming: mpsc::Receiver<rpc::Incoming>,
    events: mpsc::Sender<Event>,
) {
    traffic.spawn(async move {
        while let Some(call) = incoming.recv().await {
            if events.send(Event::Call(call)).await.is_err() {
                break;
            }
        }
    });
}

/// Feeds the actor with events and ticks until it is told to stop.
async fn run(
    make: impl FnOnce(Clock) -> Control,
    clock: Clock,
    mut inbox: mpsc::Receiver<Event>,
    stop: CancellationToken,
) {
    let control = Control::spawn(make(clock));
    let mut wake = Timestamp::ZERO;
    let mut events = Vec::with_capacity(BURST);
    loop {
        let latest = Instant::now() + IDLE;
        let due = clock.instant(wake).min(latest);
        tokio::select! {
            count = inbox.recv_many(&mut events, BURST) => {
                if count == 0 {
                    break;
                }
            }
            () = stop.cancelled() => break,
            () = sleep_until(due) => events.push(Event::Input(Input::Tick)),
        }
        match control.ask(Batch(std::mem::take(&mut events))).await {
            Ok(Wake(next)) => wake = next,
            Err(_) => break,
        }
    }
    // The actor may have ended before.
    let _ = control.stop_gracefully().await;
}
