//! What the stand-ins imitate, and how large.

use std::{
    net::{
        IpAddr,
        Ipv4Addr,
        SocketAddr, //
    },
    time::Duration,
};

use fulmarpier_coordination::platform::vm;
use fulmarpier_protocol::settings::{
    Standin,
    standin, //
};
use fulmarpier_state::{
    id::{
        DataCentreId,
        RackId,
        RegionId,
        WorkerId, //
    },
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};

/// How long and how many records the log keeps of each stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// The longest time that a record is kept.
    pub age: Duration,
    /// The most records that are kept.
    pub records: usize,
}

/// One worker to imitate.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Worker {
    /// Its id.
    pub id: WorkerId,
    /// The region it is in.
    pub region: RegionId,
    /// The data centre it is in.
    pub data_centre: DataCentreId,
    /// The rack it is in.
    pub rack: RackId,
    /// What it offers.
    pub capacity: Resources,
}

/// All that can be set for the stand-ins.
#[derive(Clone, Debug)]
pub struct Settings {
    /// Where the log, the VM list, the faults and the record are served; port zero for any.
    pub control: SocketAddr,
    /// The address of all workers and targets.
    pub worker_ip: IpAddr,
    /// The port of the first worker, the others follow; zero for any.
    pub worker_port: u16,
    /// The workers.
    pub workers: Vec<Worker>,
    /// The entry VMs that the VM list shows.
    pub entries: Vec<vm::Entry>,
    /// How far the VM list lags.
    pub vm_list_lag: Duration,
    /// How long the log keeps records.
    pub retention: Retention,
    /// How long an append takes.
    pub append_delay: Duration,
    /// The most appends a second that the log takes, over all callers; more of them wait.
    pub appends_per_second: Option<u32>,
    /// What tasks are seen to use of their size, in thousandths.
    pub usage: u16,
    /// How far usage reports lag; a younger task seems to use nothing.
    pub usage_lag: Duration,
    /// How long a task without a run time runs.
    pub runtime: Duration,
    /// How long a target works on a request that does not say.
    pub work: Duration,
    /// The most connections to one target.
    pub connections: usize,
    /// The most requests and the most starts that the record holds one by one.
    pub records: usize,
    /// Where the random choices of faults start.
    pub seed: u64,
}

impl Settings {
    /// Imitates `workers` workers of 16 cores and 32 GiB, 8 to a rack, over three data centres.
    ///
    /// # Examples
    ///
    /// ```
    /// use fulmarpier_standin::Settings;
    ///
    /// let settings = Settings::new(24);
    /// assert_eq!(settings.workers[23].data_centre.0, 3);
    /// ```
    ///
    /// See also [`Self::capacity`] and [`Self::zones`].
    pub fn new(workers: u32) -> Self {
        Self {
            control: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            worker_ip: Ipv4Addr::LOCALHOST.into(),
            worker_port: 0,
            workers: (0..workers).map(worker).collect(),
            entries: Vec::new(),
            vm_list_lag: Duration::ZERO,
            retention: Retention {
                age: Duration::from_secs(24 * 3600),
                records: 1_000_000,
            },
            append_delay: Duration::ZERO,
            appends_per_second: None,
            usage: 700,
            usage_lag: Duration::from_secs(10),
            runtime: Duration::from_secs(1),
            work: Duration::ZERO,
            connections: 60,
            records: 1_000_000,
            seed: 1,
        }
        .zones(1, 3)
    }

    /// Sets what every worker offers.
    ///
    /// See also [`Self::new`].
    #[must_use]
    pub fn capacity(mut self, capacity: Resources) -> Self {
        for worker in &mut self.workers {
            worker.capacity = capacity;
        }
        self
    }

    /// Sets how many workers share a rack; [`Self::zones`] comes after it.
    ///
    /// See also [`Self::new`].
    #[must_use]
    pub fn racks(mut self, per_rack: u16) -> Self {
        for (index, worker) in (0..).zip(&mut self.workers) {
            worker.rack = RackId(index / u32::from(per_rack.max(1)) + 1);
        }
        self
    }

    /// Deals whole racks out to data centres, evenly, and those to regions.
    ///
    /// See also [`Self::new`].
    #[must_use]
    pub fn zones(mut self, regions: u16, data_centres: u16) -> Self {
        let (regions, data_centres) = (regions.max(1), data_centres.max(1));
        let per_region = data_centres.div_ceil(regions);
        for worker in &mut self.workers {
            let rack = worker.rack.0 - 1;
            let index = u16::try_from(rack % u32::from(data_centres)).unwrap_or(0);
            worker.data_centre = DataCentreId(index + 1);
            worker.region = RegionId(index / per_region + 1);
        }
        self
    }

    /// Sets the control address.
    ///
    /// See also [`Self::new`].
    #[must_use]
    pub const fn control(mut self, address: SocketAddr) -> Self {
        self.control = address;
        self
    }

    /// Sets how long the log keeps records.
    ///
    /// See also [`Self::new`].
    #[must_use]
    pub const fn retention(mut self, retention: Retention) -> Self {
        self.retention = retention;
        self
    }
}

impl From<&Standin> for Settings {
    fn from(raw: &Standin) -> Self {
        let workers = raw.workers;
        let mut settings = Self::new(workers.count.into())
            .racks(workers.per_rack)
            .zones(1, workers.data_centres)
            .capacity(workers.shape.capacity)
            .control(raw.listen);
        for worker in &mut settings.workers {
            worker.region = raw.region;
        }
        settings.entries = raw.entries.iter().map(|e| entry(e, raw.region)).collect();
        settings.worker_ip = workers.first_address.ip();
        settings.worker_port = workers.first_address.port();
        settings.connections = workers.shape.connections.into();
        settings.append_delay = raw.log.append_delay.get();
        settings.appends_per_second = Some(raw.log.appends_per_second);
        settings.retention.age = raw.log.retention.get();
        settings.vm_list_lag = raw.vm_list_lag.get();
        settings.work = raw.target_delay.get();
        settings.seed = raw.seed;
        settings
    }
}

fn entry(entry: &standin::Entry, region: RegionId) -> vm::Entry {
    vm::Entry {
        role: vm::Role::Entry(entry.node),
        address: entry.address,
        region,
        data_centre: entry.data_centre,
        rack: RackId::default(),
        capacity: Resources::ZERO,
        state: vm::State::Live,
    }
}

/// How many workers share a rack.
const PER_RACK: u32 = 8;

fn worker(index: u32) -> Worker {
    Worker {
        id: WorkerId(index + 1),
        region: RegionId(1),
        data_centre: DataCentreId(1),
        rack: RackId(index / PER_RACK + 1),
        capacity: Resources::new(Millicores::from_cores(16), Bytes(32 << 30), 0),
    }
}
