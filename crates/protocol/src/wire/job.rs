//! The call that asks for a job, and the wire form of a job's declaration.

use std::time::Duration;

use bytes::Bytes;
use fulmarpier_state::{
    id::{
        JobId,
        ShardId, //
    },
    job::{
        Kind,
        Payload,
        Priority,
        Spec,
        Spread, //
    },
    resource::Resources,
    unit::{
        self,
        Millicores, //
    },
};

use super::{
    Error,
    bound,
    scalar,
    sched_capnp::{
        job,
        sched::{
            job_params,
            job_results, //
        }, //
    }, //
};

/// A question for one job.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// The job.
    pub id: JobId,
    /// How long to wait for the job to end before answering.
    pub wait: Duration,
}

/// What is known of the job.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Reply {
    /// The job as a JSON document; see [`crate::http::job::View`].
    Found(Bytes),
    /// The sched does not know the job.
    Unknown {
        /// The shards for which that can be told; others may be on their way to a new owner.
        settled: Vec<ShardId>,
    },
}

impl Request {
    /// Writes the request into the parameters of a call.
    pub fn write(&self, mut params: job_params::Builder<'_>) {
        params.set_wait_micros(scalar::micros(self.wait));
        scalar::write_job_id(self.id, params.init_id());
    }
}

impl TryFrom<job_params::Reader<'_>> for Request {
    type Error = Error;

    fn try_from(reader: job_params::Reader<'_>) -> Result<Self, Self::Error> {
        Ok(Self {
            id: scalar::read_job_id(reader.get_id()?),
            wait: Duration::from_micros(reader.get_wait_micros()),
        })
    }
}

impl Reply {
    /// Writes the reply into the results of a call.
    pub fn write(&self, mut results: job_results::Builder<'_>) {
        match self {
            Self::Found(json) => {
                results.set_found(true);
                results.set_json(json);
            }
            Self::Unknown { settled } => {
                let list = results.init_settled(bound::count(settled.len()));
                scalar::write_shards(settled, list);
            }
        }
    }
}

impl TryFrom<job_results::Reader<'_>> for Reply {
    type Error = Error;

    fn try_from(reader: job_results::Reader<'_>) -> Result<Self, Self::Error> {
        if !reader.get_found() {
            let settled = scalar::read_shards("settled", reader.get_settled()?)?;
            return Ok(Self::Unknown { settled });
        }
        Ok(Self::Found(scalar::read_data("json", reader.get_json()?)?))
    }
}

pub(super) fn read_spec(reader: job::Reader<'_>) -> Result<(JobId, Spec), Error> {
    let id = scalar::read_job_id(reader.get_id()?);
    let cpu = Millicores(reader.get_millicores());
    let memory = unit::Bytes(reader.get_memory());
    let spec = Spec {
        team: scalar::read_name("job.team", reader.get_team()?)?,
        kind: read_kind(reader.get_kind())?,
        size: Resources::new(cpu, memory, reader.get_accelerators()),
        tasks: reader.get_tasks(),
        priority: read_priority(reader.get_priority())?,
        runtime: scalar::read_span(reader.get_runtime_micros()),
        deadline: scalar::read_time(reader.get_deadline_micros()),
        idempotent: reader.get_idempotent(),
        checkpoint: reader.get_checkpoint(),
        spread: read_spread(reader.get_spread())?,
        payload: read_payload(reader)?,
    };
    Ok((id, spec))
}

pub(super) fn write_spec(id: JobId, spec: &Spec, mut builder: job::Builder<'_>) {
    scalar::write_job_id(id, builder.reborrow().init_id());
    builder.set_team(spec.team.as_str());
    write_kind(&spec.kind, builder.reborrow().init_kind());
    builder.set_millicores(spec.size.cpu.0);
    builder.set_memory(spec.size.memory.0);
    builder.set_accelerators(spec.size.accelerators);
    builder.set_tasks(spec.tasks);
    builder.set_priority(write_priority(spec.priority));
    builder.set_runtime_micros(scalar::write_span(spec.runtime));
    builder.set_deadline_micros(scalar::write_time(spec.deadline));
    builder.set_idempotent(spec.idempotent);
    builder.set_checkpoint(spec.checkpoint);
    builder.set_spread(write_spread(spec.spread));
    builder.set_program(spec.payload.program.as_str());
    let count = bound::count(spec.payload.args.len());
    let mut args = builder.init_args(count);
    for (index, arg) in (0..count).zip(&spec.payload.args) {
        args.set(index, arg.as_str());
    }
}

fn read_kind(reader: job::kind::Reader<'_>) -> Result<Kind, Error> {
    Ok(match reader.which()? {
        job::kind::Batch(()) => Kind::Batch,
        job::kind::Gang(()) => Kind::Gang,
        job::kind::Service(service) => Kind::Service {
            service: scalar::read_name("job.service.name", service.get_name()?)?,
            slots: service.get_slots(),
            port: service.get_port(),
        },
    })
}

fn write_kind(kind: &Kind, mut builder: job::kind::Builder<'_>) {
    match kind {
        Kind::Batch => builder.set_batch(()),
        Kind::Gang => builder.set_gang(()),
        Kind::Service {
            service,
            slots,
            port,
        } => {
            let mut builder = builder.init_service();
            builder.set_name(service.as_str());
            builder.set_slots(*slots);
            builder.set_port(*port);
        }
    }
}

fn read_payload(reader: job::Reader<'_>) -> Result<Payload, Error> {
    let args = reader.get_args()?;
    bound::list("job.args", args.len(), bound::ARGS)?;
    let args = args.iter().map(|arg| scalar::read_text("job.args", arg?));
    let args = args.collect::<Result<_, _>>()?;
    let program = scalar::read_text("job.program", reader.get_program()?)?;
    Ok(Payload { program, args })
}

fn read_priority(value: u8) -> Result<Priority, Error> {
    match value {
        0 => Ok(Priority::Low),
        1 => Ok(Priority::Normal),
        2 => Ok(Priority::Urgent),
        _ => Err(Error::Value {
            field: "job.priority",
            value: value.into(),
        }),
    }
}

const fn write_priority(priority: Priority) -> u8 {
    match priority {
        Priority::Low => 0,
        Priority::Normal => 1,
        Priority::Urgent => 2,
    }
}

fn read_spread(value: u8) -> Result<Spread, Error> {
    match value {
        0 => Ok(Spread::Any),
        1 => Ok(Spread::Racks),
        2 => Ok(Spread::DataCentres),
        _ => Err(Error::Value {
            field: "job.spread",
            value: value.into(),
        }),
    }
}

const fn write_spread(spread: Spread) -> u8 {
    match spread {
        Spread::Any => 0,
        Spread::Racks => 1,
        Spread::DataCentres => 2,
    }
}
