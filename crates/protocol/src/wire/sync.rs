//! The call by which a gate and a sched exchange demand, slots, load and configuration.

use std::time::Duration;

use bytes::Bytes;
use fulmarpier_coordination::platform::target::{
    self,
    Target, //
};
use fulmarpier_state::{
    id::{
        Epoch,
        Incarnation,
        NodeId,
        Offset,
        ShardId, //
    },
    name::Service,
    unit,
};

use super::{
    Error, bound, scalar,
    sched_capnp::{
        demand,
        grant,
        hold,
        sched::{
            sync_params,
            sync_results, //
        },
        shard,
        sync_reply,
        sync_request, //
    },
};

/// What a gate wants of one service at the moment.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Demand {
    /// The service.
    pub service: Service,
    /// How many slots the gate wants to hold in all on the targets of the sched that it asks.
    pub wanted: u32,
}

/// What a gate keeps of one target, from the making of the statement on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Hold {
    /// The target.
    pub target: target::Id,
    /// The most slots that it fills until it applies the reply; a total, not a difference.
    pub slots: u16,
    /// Slots that it gives up without knowing whether they are free.
    pub abandoned: u16,
}

/// Slots of one target that a gate may fill until the lease ends.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Grant {
    /// The service that the target belongs to.
    pub service: Service,
    /// The target and where it listens.
    pub target: Target,
    /// The total that the gate holds on this target after the call; zero withdraws the target.
    pub slots: u16,
    /// How long the grant lasts from the making of the statement.
    pub lease: Duration,
    /// The epoch under which the sched holds the target; a lower one than known is void.
    pub epoch: Epoch,
}

/// A shard that the answering sched owns, with a digest of its load.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Shard {
    /// The shard.
    pub id: ShardId,
    /// The epoch of its ownership.
    pub epoch: Epoch,
    /// The processor time that is free, in thousandths of a core, over all workers.
    pub free_millicores: u64,
    /// The memory that is free over all workers.
    pub free_memory: unit::Bytes,
    /// The accelerators that are free over all workers.
    pub free_accelerators: u32,
    /// How many tasks wait.
    pub waiting_tasks: u32,
}

/// What a gate tells a sched.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Request {
    /// The gate's node.
    pub gate: NodeId,
    /// Which life of the gate's process this is.
    pub incarnation: Incarnation,
    /// What the gate wants, at most one entry a service.
    pub demands: Vec<Demand>,
    /// What the gate keeps of the sched's targets; nothing of a target that is not listed.
    pub holds: Vec<Hold>,
    /// The newest version of the configuration that the gate has in force.
    pub config_version: Offset,
    /// Whether the gate is draining.
    pub draining: bool,
    /// Rises by one with each call of this incarnation; a sched drops what comes out of order.
    pub sequence: u64,
}

/// What a sched answers.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Reply {
    /// The sched's node.
    pub node: NodeId,
    /// Which life of the sched's process this is.
    pub incarnation: Incarnation,
    /// The shards that the sched owns.
    pub shards: Vec<Shard>,
    /// The slots that the gate holds.
    pub grants: Vec<Grant>,
    /// The newest version of the configuration that the sched has in force.
    pub config_version: Offset,
    /// The configuration as a JSON document, only where it is newer than the gate's.
    pub config: Option<Bytes>,
    /// Whether the sched is draining.
    pub draining: bool,
    /// The sequence of the request that it answers.
    pub sequence: u64,
}

impl Request {
    /// Writes the request into the parameters of a call.
    pub fn write(&self, params: sync_params::Builder<'_>) {
        let mut builder = params.init_request();
        builder.set_gate(self.gate.0);
        builder.set_incarnation(self.incarnation.0);
        builder.set_config_version(self.config_version.0);
        builder.set_draining(self.draining);
        builder.set_sequence(self.sequence);
        let count = bound::count(self.demands.len());
        let mut demands = builder.reborrow().init_demands(count);
        for (index, demand) in (0..count).zip(&self.demands) {
            demand.write(demands.reborrow().get(index));
        }
        let count = bound::count(self.holds.len());
        let mut holds = builder.init_holds(count);
        for (index, hold) in (0..count).zip(&self.holds) {
            hold.write(holds.reborrow().get(index));
        }
    }

    fn read(reader: sync_request::Reader<'_>) -> Result<Self, Error> {
        let list = reader.get_demands()?;
        let len = bound::list("demands", list.len(), bound::ENTRIES)?;
        let mut demands = Vec::with_capacity(len);
        for demand in list {
            demands.push(Demand::read(demand)?);
        }
        let list = reader.get_holds()?;
        let len = bound::list("holds", list.len(), bound::ENTRIES)?;
        let mut holds = Vec::with_capacity(len);
        for hold in list {
            holds.push(Hold::read(hold)?);
        }
        Ok(Self {
            gate: NodeId(reader.get_gate()),
            incarnation: Incarnation(reader.get_incarnation()),
            demands,
            holds,
            config_version: Offset(reader.get_config_version()),
            draining: reader.get_draining(),
            sequence: reader.get_sequence(),
        })
    }
}

impl TryFrom<sync_params::Reader<'_>> for Request {
    type Error = Error;

    fn try_from(reader: sync_params::Reader<'_>) -> Result<Self, Self::Error> {
        Self::read(reader.get_request()?)
    }
}

impl Reply {
    /// Writes the reply into the results of a call.
    pub fn write(&self, results: sync_results::Builder<'_>) {
        let mut builder = results.init_reply();
        builder.set_node(self.node.0);
        builder.set_incarnation(self.incarnation.0);
        builder.set_config_version(self.config_version.0);
        builder.set_draining(self.draining);
        builder.set_sequence(self.sequence);
        if let Some(config) = &self.config {
            builder.set_config(config);
        }
        let count = bound::count(self.shards.len());
        let mut shards = builder.reborrow().init_shards(count);
        for (index, shard) in (0..count).zip(&self.shards) {
            shard.write(shards.reborrow().get(index));
        }
        let count = bound::count(self.grants.len());
        let mut grants = builder.init_grants(count);
        for (index, grant) in (0..count).zip(&self.grants) {
            grant.write(grants.reborrow().get(index));
        }
    }

    fn read(reader: sync_reply::Reader<'_>) -> Result<Self, Error> {
        let list = reader.get_shards()?;
        let len = bound::list("shards", list.len(), bound::ENTRIES)?;
        let mut shards = Vec::with_capacity(len);
        for shard in list {
            shards.push(Shard::read(shard));
        }
        let list = reader.get_grants()?;
        let len = bound::list("grants", list.len(), bound::ENTRIES)?;
        let mut grants = Vec::with_capacity(len);
        for grant in list {
            grants.push(Grant::read(grant)?);
        }
        let config = match reader.has_config() {
            true => Some(scalar::read_data("config", reader.get_config()?)?),
            false => None,
        };
        Ok(Self {
            node: NodeId(reader.get_node()),
            incarnation: Incarnation(reader.get_incarnation()),
            shards,
            grants,
            config_version: Offset(reader.get_config_version()),
            config,
            draining: reader.get_draining(),
            sequence: reader.get_sequence(),
        })
    }
}

impl TryFrom<sync_results::Reader<'_>> for Reply {
    type Error = Error;

    fn try_from(reader: sync_results::Reader<'_>) -> Result<Self, Self::Error> {
        Self::read(reader.get_reply()?)
    }
}

impl Demand {
    fn read(reader: demand::Reader<'_>) -> Result<Self, Error> {
        Ok(Self {
            service: scalar::read_name("demands.service", reader.get_service()?)?,
            wanted: reader.get_wanted(),
        })
    }

    fn write(&self, mut builder: demand::Builder<'_>) {
        builder.set_service(self.service.as_str());
        builder.set_wanted(self.wanted);
    }
}

impl Hold {
    fn read(reader: hold::Reader<'_>) -> Result<Self, Error> {
        Ok(Self {
            target: scalar::read_target_id(reader.get_target()?)?,
            slots: reader.get_slots(),
            abandoned: reader.get_abandoned(),
        })
    }

    fn write(self, mut builder: hold::Builder<'_>) {
        scalar::write_target_id(self.target, builder.reborrow().init_target());
        builder.set_slots(self.slots);
        builder.set_abandoned(self.abandoned);
    }
}

impl Grant {
    fn read(reader: grant::Reader<'_>) -> Result<Self, Error> {
        let id = scalar::read_target_id(reader.get_target()?)?;
        let address = scalar::read_address(reader.get_address()?);
        Ok(Self {
            service: scalar::read_name("grants.service", reader.get_service()?)?,
            target: Target { id, address },
            slots: reader.get_slots(),
            lease: Duration::from_micros(reader.get_lease_micros()),
            epoch: Epoch(reader.get_epoch()),
        })
    }

    fn write(&self, mut builder: grant::Builder<'_>) {
        builder.set_service(self.service.as_str());
        scalar::write_target_id(self.target.id, builder.reborrow().init_target());
        scalar::write_address(self.target.address, builder.reborrow().init_address());
        builder.set_slots(self.slots);
        builder.set_lease_micros(scalar::micros(self.lease));
        builder.set_epoch(self.epoch.0);
    }
}

impl Shard {
    fn read(reader: shard::Reader<'_>) -> Self {
        Self {
            id: ShardId(reader.get_id()),
            epoch: Epoch(reader.get_epoch()),
            free_millicores: reader.get_free_millicores(),
            free_memory: unit::Bytes(reader.get_free_memory()),
            free_accelerators: reader.get_free_accelerators(),
            waiting_tasks: reader.get_waiting_tasks(),
        }
    }

    fn write(&self, mut builder: shard::Builder<'_>) {
        builder.set_id(self.id.0);
        builder.set_epoch(self.epoch.0);
        builder.set_free_millicores(self.free_millicores);
        builder.set_free_memory(self.free_memory.0);
        builder.set_free_accelerators(self.free_accelerators);
        builder.set_waiting_tasks(self.waiting_tasks);
    }
}
