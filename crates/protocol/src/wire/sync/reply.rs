//! What a sched answers.

use std::time::Duration;

use bytes::Bytes;
use fulmarpier_coordination::platform::target::Target;
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

use crate::wire::{
    Error,
    bound,
    list,
    scalar,
    sched_capnp::{
        grant,
        sched::sync_results,
        shard,
        sync_reply, //
    }, //
};

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
        let shards = builder.reborrow().init_shards(count);
        list::write(shards, &self.shards, Shard::write);
        let count = bound::count(self.grants.len());
        let grants = builder.init_grants(count);
        list::write(grants, &self.grants, Grant::write);
    }

    fn read(reader: sync_reply::Reader<'_>) -> Result<Self, Error> {
        let config = match reader.has_config() {
            true => Some(scalar::read_data("config", reader.get_config()?)?),
            false => None,
        };
        Ok(Self {
            node: NodeId(reader.get_node()),
            incarnation: Incarnation(reader.get_incarnation()),
            shards: list::read("shards", reader.get_shards()?, Shard::read)?,
            grants: list::read("grants", reader.get_grants()?, Grant::read)?,
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
    fn read(reader: shard::Reader<'_>) -> Result<Self, Error> {
        Ok(Self {
            id: ShardId(reader.get_id()),
            epoch: Epoch(reader.get_epoch()),
            free_millicores: reader.get_free_millicores(),
            free_memory: unit::Bytes(reader.get_free_memory()),
            free_accelerators: reader.get_free_accelerators(),
            waiting_tasks: reader.get_waiting_tasks(),
        })
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
