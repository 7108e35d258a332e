//! Conversions of the small fields that many messages share.

use std::{
    net::{
        IpAddr,
        Ipv6Addr,
        SocketAddr, //
    },
    time::Duration,
};

use bytes::Bytes;
use fulmarpier_coordination::{
    platform::target,
    request::Key, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Attempt,
        JobId,
        ShardId,
        TaskId, //
    },
    name::Name,
    refusal::Outcome,
};

use super::{
    Error,
    bound,
    sched_capnp, //
};

const LOW_BITS: u32 = 64;

pub(super) fn read_text(
    field: &'static str,
    reader: capnp::text::Reader<'_>,
) -> Result<String, Error> {
    bound::bytes(field, reader.len(), bound::TEXT)?;
    let text = reader.to_str().map_err(|_| Error::Text { field })?;
    Ok(text.to_owned())
}

pub(super) fn read_data(
    field: &'static str,
    reader: capnp::data::Reader<'_>,
) -> Result<Bytes, Error> {
    bound::bytes(field, reader.len(), bound::DATA)?;
    Ok(Bytes::copy_from_slice(reader))
}

pub(super) fn read_name(
    field: &'static str,
    reader: capnp::text::Reader<'_>,
) -> Result<Name, Error> {
    let text = reader.to_str().map_err(|_| Error::Text { field })?;
    text.parse().map_err(|source| Error::Name { field, source })
}

pub(super) fn read_key(reader: capnp::text::Reader<'_>) -> Result<Key, Error> {
    let text = reader.to_str().map_err(|_| Error::Text { field: "key" })?;
    Ok(text.parse::<Key>()?)
}

pub(super) fn read_job_id(reader: sched_capnp::uuid::Reader<'_>) -> JobId {
    JobId::from_u128(join(reader.get_high(), reader.get_low()))
}

pub(super) fn write_job_id(id: JobId, mut builder: sched_capnp::uuid::Builder<'_>) {
    let (high, low) = split(id.as_u128());
    builder.set_high(high);
    builder.set_low(low);
}

pub(super) fn read_target_id(
    reader: sched_capnp::target_id::Reader<'_>,
) -> Result<target::Id, Error> {
    let job = read_job_id(reader.get_job()?);
    Ok(target::Id {
        task: TaskId::new(job, reader.get_index()),
        attempt: Attempt(reader.get_attempt()),
    })
}

pub(super) fn write_target_id(id: target::Id, mut builder: sched_capnp::target_id::Builder<'_>) {
    write_job_id(id.task.job, builder.reborrow().init_job());
    builder.set_index(id.task.index);
    builder.set_attempt(id.attempt.0);
}

pub(super) fn read_address(reader: sched_capnp::address::Reader<'_>) -> SocketAddr {
    let bits = join(reader.get_high(), reader.get_low());
    let ip = Ipv6Addr::from_bits(bits).to_canonical();
    SocketAddr::new(ip, reader.get_port())
}

pub(super) fn write_address(address: SocketAddr, mut builder: sched_capnp::address::Builder<'_>) {
    let ip = match address.ip() {
        IpAddr::V4(ip) => ip.to_ipv6_mapped(),
        IpAddr::V6(ip) => ip,
    };
    let (high, low) = split(ip.to_bits());
    builder.set_high(high);
    builder.set_low(low);
    builder.set_port(address.port());
}

pub(super) fn read_outcome(outcome: sched_capnp::Outcome) -> Outcome {
    match outcome {
        sched_capnp::Outcome::NotRun => Outcome::NotRun,
        sched_capnp::Outcome::Ran => Outcome::Ran,
        sched_capnp::Outcome::Unknown => Outcome::Unknown,
    }
}

pub(super) fn write_outcome(outcome: Outcome) -> sched_capnp::Outcome {
    match outcome {
        Outcome::NotRun => sched_capnp::Outcome::NotRun,
        Outcome::Ran => sched_capnp::Outcome::Ran,
        Outcome::Unknown => sched_capnp::Outcome::Unknown,
    }
}

/// Reads an optional span, where zero stands for none.
pub(super) fn read_span(micros: u64) -> Option<Duration> {
    (micros > 0).then(|| Duration::from_micros(micros))
}

/// Writes an optional span; one below a microsecond is written as one microsecond.
pub(super) fn write_span(span: Option<Duration>) -> u64 {
    span.map_or(0, |span| micros(span).max(1))
}

/// Reads an optional time, where zero stands for none.
pub(super) fn read_time(micros: u64) -> Option<Timestamp> {
    (micros > 0).then(|| Timestamp::from_micros(micros))
}

/// Writes an optional time; the epoch itself is written as one microsecond past it.
pub(super) fn write_time(time: Option<Timestamp>) -> u64 {
    time.map_or(0, |time| time.as_micros().max(1))
}

/// Returns the microseconds of a span, saturating.
pub(super) fn micros(span: Duration) -> u64 {
    u64::try_from(span.as_micros()).unwrap_or(u64::MAX)
}

fn join(high: u64, low: u64) -> u128 {
    u128::from(high) << LOW_BITS | u128::from(low)
}

#[expect(
    clippy::cast_possible_truncation,
    reason = "Taking the low half is the purpose."
)]
const fn split(bits: u128) -> (u64, u64) {
    ((bits >> LOW_BITS) as u64, bits as u64)
}

pub(super) fn read_shards(
    field: &'static str,
    list: capnp::primitive_list::Reader<'_, u16>,
) -> Result<Vec<ShardId>, Error> {
    bound::list(field, list.len(), bound::ENTRIES)?;
    Ok(list.iter().map(ShardId).collect())
}

pub(super) fn write_shards(shards: &[ShardId], mut list: capnp::primitive_list::Builder<'_, u16>) {
    for (index, shard) in (0..list.len()).zip(shards) {
        list.set(index, shard.0);
    }
}
