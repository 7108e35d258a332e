//! All stand-ins together, in this process.

use std::{
    io,
    net::SocketAddr,
    sync::Arc,
    time::Duration, //
};

use fulmarpier_coordination::platform::vm;
use fulmarpier_state::{
    alias::HashMap,
    id::WorkerId, //
};
use fulmarpier_transport::{
    clock::Clock,
    http::{
        Cut,
        Listener, //
    },
};
use tokio::{
    net::TcpListener,
    sync::watch,
    time::{
        MissedTickBehavior,
        interval, //
    },
};
use tokio_util::sync::CancellationToken;

use crate::{
    fault::{
        Change,
        Faults, //
    },
    log::Log,
    record::{
        Record,
        Summary, //
    },
    router::router,
    settings::{
        self,
        Settings, //
    },
    target::Host,
    vm::Vms,
    worker::{
        Machine,
        Port,
        Profile,
        Saved,
        Worker, //
    },
};

/// How often tasks are looked at that have ended by themselves.
const TICK: Duration = Duration::from_millis(20);
/// The most connections to the control address.
const CONNECTIONS: usize = 4_096;

/// The stand-ins, to be started.
#[derive(Debug)]
pub struct Platform;

/// What the stand-ins share.
#[derive(Debug)]
pub(crate) struct Shared {
    pub(crate) log: Log,
    pub(crate) record: Record,
    clock: Clock,
    faults: Faults,
    vms: Vms,
    workers: HashMap<WorkerId, Arc<Worker>>,
}

/// Running stand-ins; dropping the handle ends them.
#[derive(Debug)]
pub struct Handle {
    control: SocketAddr,
    shared: Arc<Shared>,
    end: CancellationToken,
}

impl Platform {
    /// Starts all stand-ins on the present runtime.
    ///
    /// # Errors
    ///
    /// Fails where an address can't be listened on.
    pub async fn start(settings: Settings) -> io::Result<Handle> {
        let clock = Clock::start();
        let faults = Faults::new(settings.seed, settings.vm_list_lag);
        let record = Record::new(settings.records);
        let vms = Vms::default();
        let saved = Saved::default();
        let mut workers = HashMap::default();
        let mut entries = settings.entries.clone();
        for (index, spec) in settings.workers.iter().enumerate() {
            let (paused, pausing) = watch::channel(false);
            let host = Host {
                worker: spec.id,
                ip: settings.worker_ip,
                connections: settings.connections,
                work: settings.work,
                clock,
                record: record.clone(),
                faults: faults.clone(),
                paused: pausing,
            };
            let machine = Machine::new(spec.capacity, profile(&settings), saved.clone(), host);
            let port = Port::reserve(worker_address(&settings, index)?)?;
            let worker = Worker::start(spec.id, port, machine, paused, clock)?;
            entries.push(entry(spec, worker.address()));
            workers.insert(spec.id, worker);
        }
        vms.list(clock.now(), entries);
        let shared = Arc::new(Shared {
            log: Log::new(&settings, clock, faults.clone()),
            record,
            clock,
            faults,
            vms,
            workers,
        });
        serve(settings.control, shared).await
    }
}

impl Handle {
    /// Returns where the log, the VM list, the faults and the record are served.
    pub const fn control(&self) -> SocketAddr {
        self.control
    }

    /// Returns where a worker listens.
    pub fn worker(&self, id: WorkerId) -> Option<SocketAddr> {
        self.shared.workers.get(&id).map(|worker| worker.address())
    }

    /// Lists VMs, those anew whose role is known.
    pub fn list(&self, entries: Vec<vm::Entry>) {
        self.shared.vms.list(self.shared.clock.now(), entries);
    }

    /// Switches faults on or off.
    ///
    /// # Errors
    ///
    /// Fails where the worker named is not known or can't come back to its port.
    pub async fn fault(&self, change: &Change) -> io::Result<()> {
        self.shared.fault(change).await
    }

    /// Returns the record in numbers.
    pub fn summary(&self) -> Summary {
        self.shared.summary()
    }

    /// Returns the record.
    pub fn record(&self) -> &Record {
        &self.shared.record
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.end.cancel();
        for worker in self.shared.workers.values() {
            worker.close();
        }
    }
}

impl Shared {
    /// Applies a change of faults.
    pub(crate) async fn fault(&self, change: &Change) -> io::Result<()> {
        self.faults.apply(change);
        if let Some(truncate) = &change.truncate {
            self.log.truncate(&truncate.stream, truncate.before);
        }
        if let (Some(vm), Some(listed)) = (change.vm, change.vm_state) {
            self.vms.mark(self.clock.now(), vm.into(), listed);
        }
        if let (Some(id), Some(state)) = (change.worker, change.worker_state) {
            let worker = self.workers.get(&id).ok_or(io::ErrorKind::NotFound)?;
            let tasks = change.worker_tasks.unwrap_or_default();
            worker.set(state, tasks).await?;
        }
        Ok(())
    }

    /// Returns the list of VMs with its lag.
    pub(crate) fn seen(&self) -> vm::List {
        let now = self.clock.now();
        self.vms.seen(now, self.faults.vm_list_lag())
    }

    /// Returns the record in numbers, as of now.
    pub(crate) fn summary(&self) -> Summary {
        self.settle();
        Summary {
            appends: self.log.counts(),
            ..self.record.summary()
        }
    }

    fn settle(&self) {
        for worker in self.workers.values() {
            worker.settle();
        }
    }
}

async fn serve(address: SocketAddr, shared: Arc<Shared>) -> io::Result<Handle> {
    let listener = TcpListener::bind(address).await?;
    let control = listener.local_addr()?;
    let end = CancellationToken::new();
    let listener = Listener::new(listener, CONNECTIONS, end.clone());
    let service = router(shared.clone()).into_make_service_with_connect_info::<Cut>();
    let serving = axum::serve(listener, service).into_future();
    tokio::spawn(end.clone().run_until_cancelled_owned(serving));
    tokio::spawn(end.clone().run_until_cancelled_owned(tick(shared.clone())));
    Ok(Handle {
        control,
        shared,
        end,
    })
}

async fn tick(shared: Arc<Shared>) {
    let mut ticks = interval(TICK);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        ticks.tick().await;
        shared.settle();
    }
}

const fn profile(settings: &Settings) -> Profile {
    Profile {
        usage: settings.usage,
        usage_lag: settings.usage_lag,
        runtime: settings.runtime,
    }
}

fn worker_address(settings: &Settings, index: usize) -> io::Result<SocketAddr> {
    let port = match settings.worker_port {
        0 => 0,
        first => u16::try_from(index)
            .ok()
            .and_then(|index| first.checked_add(index))
            .ok_or(io::ErrorKind::AddrNotAvailable)?,
    };
    Ok(SocketAddr::new(settings.worker_ip, port))
}

fn entry(spec: &settings::Worker, address: SocketAddr) -> vm::Entry {
    vm::Entry {
        role: vm::Role::Worker(spec.id),
        address,
        region: spec.region,
        data_centre: spec.data_centre,
        rack: spec.rack,
        capacity: spec.capacity,
        state: vm::State::Live,
    }
}
