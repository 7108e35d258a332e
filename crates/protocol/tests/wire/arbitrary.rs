//! Strategies for the parts of messages.

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
    platform::target::{
        self,
        Target, //
    },
    request::{
        Answer,
        Key, //
    },
};
use fulmarpier_protocol::wire::sync;
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Attempt,
        Epoch,
        JobId,
        ShardId,
        TaskId, //
    },
    job::{
        Kind,
        Payload,
        Priority,
        Spec,
        Spread, //
    },
    name::Name,
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
    resource::Resources,
    unit::{
        self,
        Millicores, //
    },
};
use proptest::{
    collection::vec,
    option,
    prelude::*,
    sample::select, //
};

pub(crate) fn name() -> impl Strategy<Value = Name> {
    "[a-z0-9._-]{1,63}".prop_map(|text| text.parse().expect("the pattern gives a name"))
}

pub(crate) fn key() -> impl Strategy<Value = Key> {
    "[!-~]{1,128}".prop_map(|text| text.parse().expect("the pattern gives a key"))
}

pub(crate) fn job_id() -> impl Strategy<Value = JobId> {
    any::<u128>().prop_map(JobId::from_u128)
}

pub(crate) fn data() -> impl Strategy<Value = Bytes> {
    vec(any::<u8>(), 0..64).prop_map(Bytes::from)
}

pub(crate) fn span() -> impl Strategy<Value = Duration> {
    (1_u64..1 << 50).prop_map(Duration::from_micros)
}

pub(crate) fn time() -> impl Strategy<Value = Timestamp> {
    (1_u64..).prop_map(Timestamp::from_micros)
}

pub(crate) fn outcome() -> impl Strategy<Value = Outcome> {
    select(vec![Outcome::NotRun, Outcome::Ran, Outcome::Unknown])
}

pub(crate) fn target() -> impl Strategy<Value = Target> {
    (target_id(), address()).prop_map(|(id, address)| Target { id, address })
}

pub(crate) fn target_id() -> impl Strategy<Value = target::Id> {
    (job_id(), any::<u32>(), any::<u32>()).prop_map(|(job, index, attempt)| target::Id {
        task: TaskId::new(job, index),
        attempt: Attempt(attempt),
    })
}

fn address() -> impl Strategy<Value = SocketAddr> {
    let v4 = any::<[u8; 4]>().prop_map(IpAddr::from);
    let v6 = any::<u128>().prop_map(|bits| Ipv6Addr::from_bits(bits).to_canonical());
    (prop_oneof![v4, v6], any::<u16>()).prop_map(|(ip, port)| SocketAddr::new(ip, port))
}

pub(crate) fn answer() -> impl Strategy<Value = Answer> {
    (any::<u16>(), "[ -~]{0,40}", data()).prop_map(|(status, content_type, body)| Answer {
        status,
        content_type,
        body,
    })
}

pub(crate) fn refusal() -> impl Strategy<Value = Refusal> {
    let reason = select(Reason::ALL.to_vec());
    (reason, ".{0,40}", outcome(), option::of(span())).prop_map(
        |(reason, detail, outcome, retry_after)| Refusal {
            reason,
            detail,
            outcome,
            retry_after,
        },
    )
}

pub(crate) fn shard() -> impl Strategy<Value = sync::Shard> {
    let load = (any::<u64>(), any::<u64>(), any::<u32>(), any::<u32>());
    (any::<u16>(), any::<u64>(), load).prop_map(|(id, epoch, load)| sync::Shard {
        id: ShardId(id),
        epoch: Epoch(epoch),
        free_millicores: load.0,
        free_memory: unit::Bytes(load.1),
        free_accelerators: load.2,
        waiting_tasks: load.3,
    })
}

pub(crate) fn spec() -> impl Strategy<Value = Spec> {
    let size = (any::<u32>(), any::<u64>(), any::<u16>());
    let times = (option::of(span()), option::of(time()));
    let flags = (any::<bool>(), any::<bool>());
    let priority = select(vec![Priority::Low, Priority::Normal, Priority::Urgent]);
    let spread = select(vec![Spread::Any, Spread::Racks, Spread::DataCentres]);
    let payload = (".{0,20}", vec(".{0,20}", 0..4));
    let rest = (any::<u32>(), priority, spread, payload);
    (name(), kind(), size, times, flags, rest).prop_map(
        |(team, kind, size, (runtime, deadline), flags, rest)| Spec {
            team,
            kind,
            size: Resources::new(Millicores(size.0), unit::Bytes(size.1), size.2),
            tasks: rest.0,
            priority: rest.1,
            runtime,
            deadline,
            idempotent: flags.0,
            checkpoint: flags.1,
            spread: rest.2,
            payload: Payload {
                program: rest.3.0,
                args: rest.3.1,
            },
        },
    )
}

fn kind() -> impl Strategy<Value = Kind> {
    let service = (name(), any::<u16>(), any::<u16>());
    let service = service.prop_map(|(service, slots, port)| Kind::Service {
        service,
        slots,
        port,
    });
    prop_oneof![Just(Kind::Batch), Just(Kind::Gang), service]
}
