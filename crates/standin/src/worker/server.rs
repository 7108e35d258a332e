//! A worker's socket, and the faults that concern it.

use std::{
    io,
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        MutexGuard,
        PoisonError, //
    },
    time::Duration,
};

use axum::{
    Json, Router,
    extract::State,
    http::StatusCode,
    response::{
        IntoResponse,
        Response, //
    },
    routing::post,
};
use fulmarpier_coordination::platform::worker::Sync;
use fulmarpier_state::id::WorkerId;
use fulmarpier_transport::{
    clock::Clock,
    http::{
        Cut,
        Listener, //
    },
};
use serde_json::json;
use tokio::{
    net::{
        TcpListener,
        TcpSocket, //
    },
    sync::watch,
    time::sleep, //
};
use tokio_util::sync::CancellationToken;

use super::machine::Machine;
use crate::fault::{
    self,
    Tasks, //
};

/// The most connections to one worker's control interface.
const CONNECTIONS: usize = 64;
/// How often and with what pause the old port is tried when a dead worker comes back.
const REBIND: (u32, Duration) = (50, Duration::from_millis(20));
/// How many connections wait until they are accepted.
const BACKLOG: u32 = 1_024;

/// A port that stays its worker's own while that doesn't listen.
///
/// Its socket is bound and never listens, so connections are refused, and nobody else is given the port: without it
/// another server could answer in the place of a dead worker.
#[derive(Debug)]
pub struct Port {
    socket: TcpSocket,
}

impl Port {
    /// Reserves a port; number zero lets the system choose.
    ///
    /// # Errors
    ///
    /// Fails where the port is taken.
    pub fn reserve(address: SocketAddr) -> io::Result<Self> {
        let socket = Self::bind(address)?;
        Ok(Self { socket })
    }

    fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    fn listen(&self) -> io::Result<TcpListener> {
        Self::bind(self.address()?)?.listen(BACKLOG)
    }

    fn bind(address: SocketAddr) -> io::Result<TcpSocket> {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        // The reservation and the listener share the port.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        Ok(socket)
    }
}

/// One worker with its socket.
#[derive(Debug)]
pub struct Worker {
    id: WorkerId,
    port: Port,
    address: SocketAddr,
    clock: Clock,
    machine: Mutex<Machine>,
    paused: watch::Sender<bool>,
    /// Ends the present listener and its connections; none while the worker is dead.
    listening: Mutex<Option<CancellationToken>>,
}

impl Worker {
    /// Starts serving a worker on its port.
    ///
    /// # Errors
    ///
    /// Fails where it can't listen there.
    pub fn start(
        id: WorkerId,
        port: Port,
        machine: Machine,
        paused: watch::Sender<bool>,
        clock: Clock,
    ) -> io::Result<Arc<Self>> {
        let listener = port.listen()?;
        let worker = Arc::new(Self {
            id,
            address: listener.local_addr()?,
            port,
            clock,
            machine: Mutex::new(machine),
            paused,
            listening: Mutex::default(),
        });
        worker.serve(listener);
        Ok(worker)
    }

    /// Returns the worker's id.
    pub const fn id(&self) -> WorkerId {
        self.id
    }

    /// Returns where the worker listens.
    pub const fn address(&self) -> SocketAddr {
        self.address
    }

    /// Ends what has ended by now.
    pub fn settle(&self) {
        let now = self.clock.now();
        self.machine().settle(now);
    }

    /// Changes how the worker is.
    ///
    /// # Errors
    ///
    /// Fails where a dead worker can't listen on its port again.
    pub async fn set(self: &Arc<Self>, state: fault::Worker, tasks: Tasks) -> io::Result<()> {
        let now = self.clock.now();
        match state {
            fault::Worker::Dead => {
                self.close();
                if tasks == Tasks::Lose {
                    self.machine().die(now);
                }
                return Ok(());
            }
            fault::Worker::Paused => self.machine().pause(now),
            fault::Worker::Up | fault::Worker::Failing => {
                let mut machine = self.machine();
                machine.resume(now);
                machine.set_failing(state == fault::Worker::Failing);
            }
        }
        self.paused.send_replace(state == fault::Worker::Paused);
        self.listen_again().await
    }

    /// Stops listening and resets all connections.
    pub fn close(&self) {
        if let Some(end) = self.listening().take() {
            end.cancel();
        }
    }

    async fn listen_again(self: &Arc<Self>) -> io::Result<()> {
        if self.listening().is_some() {
            return Ok(());
        }
        let (tries, pause) = REBIND;
        for _ in 1..tries {
            if let Ok(listener) = self.port.listen() {
                self.serve(listener);
                return Ok(());
            }
            sleep(pause).await;
        }
        self.serve(self.port.listen()?);
        Ok(())
    }

    fn serve(self: &Arc<Self>, listener: TcpListener) {
        let end = CancellationToken::new();
        let router = Router::new()
            .route("/sync", post(sync))
            .with_state(self.clone());
        let service = router.into_make_service_with_connect_info::<Cut>();
        let serving = axum::serve(Listener::new(listener, CONNECTIONS, end.clone()), service);
        tokio::spawn(end.clone().run_until_cancelled_owned(serving.into_future()));
        *self.listening() = Some(end);
    }

    fn machine(&self) -> MutexGuard<'_, Machine> {
        self.machine.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn listening(&self) -> MutexGuard<'_, Option<CancellationToken>> {
        self.listening
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

/// Takes the one call to a worker; while it is paused, the call waits.
async fn sync(State(worker): State<Arc<Worker>>, Json(sync): Json<Sync>) -> Response {
    let mut paused = worker.paused.subscribe();
    // The sender lives in the worker.
    let _ = paused.wait_for(|paused| !paused).await;
    let now = worker.clock.now();
    let taken = worker.machine().sync(now, &sync);
    match taken {
        Ok(reply) => Json(reply).into_response(),
        Err(epoch) => (StatusCode::CONFLICT, Json(json!({ "epoch": epoch }))).into_response(),
    }
}
