//! What a gate tells a sched.

use fulmarpier_coordination::platform::target;
use fulmarpier_state::{
    id::{
        Epoch,
        Incarnation,
        NodeId,
        Offset, //
    },
    name::Service,
};

use crate::wire::{
    Error,
    bound,
    list,
    scalar,
    sched_capnp::{
        demand,
        hold,
        sched::sync_params,
        sync_request, //
    }, //
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
    /// The epoch of the grant; an owner at another epoch knows nothing of it.
    pub epoch: Epoch,
    /// The most slots that it fills until it applies the reply; a total, not a difference.
    pub slots: u16,
    /// Slots that it gives up without knowing whether they are free.
    pub abandoned: u16,
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
        let demands = builder.reborrow().init_demands(count);
        list::write(demands, &self.demands, Demand::write);
        let count = bound::count(self.holds.len());
        let holds = builder.init_holds(count);
        list::write(holds, &self.holds, Hold::write);
    }

    fn read(reader: sync_request::Reader<'_>) -> Result<Self, Error> {
        Ok(Self {
            gate: NodeId(reader.get_gate()),
            incarnation: Incarnation(reader.get_incarnation()),
            demands: list::read("demands", reader.get_demands()?, Demand::read)?,
            holds: list::read("holds", reader.get_holds()?, Hold::read)?,
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
            epoch: Epoch(reader.get_epoch()),
            slots: reader.get_slots(),
            abandoned: reader.get_abandoned(),
        })
    }

    fn write(&self, mut builder: hold::Builder<'_>) {
        scalar::write_target_id(self.target, builder.reborrow().init_target());
        builder.set_epoch(self.epoch.0);
        builder.set_slots(self.slots);
        builder.set_abandoned(self.abandoned);
    }
}
