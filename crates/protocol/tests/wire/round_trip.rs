//! What is written is read back.

use capnp::message::Builder;
use fulmarpier_coordination::request::{
    Digest,
    Ticket, //
};
use fulmarpier_protocol::wire::{
    begin,
    cancel,
    command,
    finish,
    job,
    peer,
    sched_capnp::sched,
    submit,
    sync, //
};
use fulmarpier_state::id::{
    Epoch,
    Incarnation,
    NodeId,
    Offset,
    ShardId, //
};
use proptest::{
    collection::vec,
    option,
    prelude::*, //
};

use crate::arbitrary;

/// Writes a message into the given struct of the schema and reads it back.
macro_rules! assert_round_trip {
    ($message:expr, $type:ty, $module:ident) => {{
        let message: $type = $message;
        let mut builder = Builder::new_default();
        message.write(builder.init_root::<sched::$module::Builder<'_>>());
        let words = capnp::serialize::write_message_to_words(&builder);
        let options = capnp::message::ReaderOptions::new();
        let reader = capnp::serialize::read_message(&words[..], options)?;
        let root = reader.get_root::<sched::$module::Reader<'_>>()?;
        prop_assert_eq!(<$type>::try_from(root)?, message);
    }};
}

fn demand() -> impl Strategy<Value = sync::Demand> {
    (arbitrary::name(), any::<u32>()).prop_map(|(service, wanted)| sync::Demand { service, wanted })
}

fn hold() -> impl Strategy<Value = sync::Hold> {
    let parts = (
        arbitrary::target_id(),
        any::<u64>(),
        any::<u16>(),
        any::<u16>(),
    );
    parts.prop_map(|(target, epoch, slots, abandoned)| sync::Hold {
        target,
        epoch: Epoch(epoch),
        slots,
        abandoned,
    })
}

fn grant() -> impl Strategy<Value = sync::Grant> {
    let parts = (
        arbitrary::name(),
        arbitrary::target(),
        any::<u16>(),
        arbitrary::span(),
        any::<u64>(),
    );
    parts.prop_map(|(service, target, slots, lease, epoch)| sync::Grant {
        service,
        target,
        slots,
        lease,
        epoch: Epoch(epoch),
    })
}

fn submitted() -> impl Strategy<Value = submit::Reply> {
    prop_oneof![
        Just(submit::Reply::Accepted),
        Just(submit::Reply::Known),
        arbitrary::refusal().prop_map(submit::Reply::Refused),
        any::<u32>().prop_map(|node| submit::Reply::Elsewhere(NodeId(node))),
    ]
}

fn begun() -> impl Strategy<Value = begin::Reply> {
    let grant = any::<u64>();
    let grant = grant.prop_map(|ticket| begin::Reply::Grant {
        ticket: Ticket(ticket),
    });
    prop_oneof![
        grant,
        arbitrary::answer().prop_map(begin::Reply::Replay),
        arbitrary::refusal().prop_map(begin::Reply::Refused),
        any::<u32>().prop_map(|node| begin::Reply::Elsewhere(NodeId(node))),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig::with_cases(64))]

    #[test]
    fn sync_request(
        ids in (any::<u32>(), any::<u64>(), any::<u64>(), any::<u64>()),
        demands in vec(demand(), 0..8),
        holds in vec(hold(), 0..8),
        draining: bool,
    ) {
        let message = sync::Request {
            gate: NodeId(ids.0),
            incarnation: Incarnation(ids.1),
            demands,
            holds,
            config_version: Offset(ids.2),
            draining,
            sequence: ids.3,
        };
        assert_round_trip!(message, sync::Request, sync_params);
    }

    #[test]
    fn sync_reply(
        ids in (any::<u32>(), any::<u64>(), any::<u64>(), any::<u64>()),
        shards in vec(arbitrary::shard(), 0..8),
        grants in vec(grant(), 0..8),
        config in option::of(arbitrary::data()),
        draining: bool,
    ) {
        let message = sync::Reply {
            node: NodeId(ids.0),
            incarnation: Incarnation(ids.1),
            shards,
            grants,
            config_version: Offset(ids.2),
            config,
            draining,
            sequence: ids.3,
        };
        assert_round_trip!(message, sync::Reply, sync_results);
    }

    #[test]
    fn submit(shard: u16, id in arbitrary::job_id(), spec in arbitrary::spec(), reply in submitted()) {
        let message = submit::Request { shard: ShardId(shard), id, spec };
        assert_round_trip!(message, submit::Request, submit_params);
        assert_round_trip!(reply, submit::Reply, submit_results);
    }

    #[test]
    fn begin(
        key in arbitrary::key(),
        names in (arbitrary::name(), arbitrary::name()),
        digest: [u8; 32],
        nonce: u64,
        deadline in arbitrary::time(),
        ids in (any::<u32>(), any::<u16>()),
        reply in begun(),
    ) {
        let message = begin::Request {
            nonce,
            key,
            service: names.0,
            team: names.1,
            digest: Digest(digest),
            deadline,
            gate: NodeId(ids.0),
            shard: ShardId(ids.1),
        };
        assert_round_trip!(message, begin::Request, begin_params);
        assert_round_trip!(reply, begin::Reply, begin_results);
    }

    #[test]
    fn finish(
        key in arbitrary::key(),
        ids in (any::<u16>(), any::<u64>()),
        outcome in arbitrary::outcome(),
        answer in option::of(arbitrary::answer()),
        known: bool,
    ) {
        let message = finish::Request {
            key,
            shard: ShardId(ids.0),
            ticket: Ticket(ids.1),
            outcome,
            answer,
        };
        assert_round_trip!(message, finish::Request, finish_params);
        assert_round_trip!(finish::Reply { known }, finish::Reply, finish_results);
    }

    #[test]
    fn command(
        texts in (".{0,20}", ".{0,80}", "[0-9a-f]{0,16}"),
        flags in (any::<bool>(), any::<bool>()),
        status: u16,
        json in arbitrary::data(),
    ) {
        let message = command::Request {
            operator: texts.0,
            text: texts.1,
            dry_run: flags.0,
            confirm: texts.2,
            local: flags.1,
        };
        assert_round_trip!(message, command::Request, command_params);
        assert_round_trip!(command::Reply { status, json }, command::Reply, command_results);
    }

    #[test]
    fn job_and_cancel(
        id in arbitrary::job_id(),
        wait in arbitrary::span(),
        json in arbitrary::data(),
        reply in submitted(),
        settled in vec(any::<u16>().prop_map(ShardId), 0..8),
    ) {
        assert_round_trip!(job::Request { id, wait }, job::Request, job_params);
        assert_round_trip!(job::Reply::Found(json), job::Reply, job_results);
        assert_round_trip!(job::Reply::Unknown { settled: settled.clone() }, job::Reply, job_results);
        assert_round_trip!(cancel::Request { id }, cancel::Request, cancel_params);
        assert_round_trip!(cancel::Reply::Found(reply), cancel::Reply, cancel_results);
        assert_round_trip!(cancel::Reply::Unknown { settled }, cancel::Reply, cancel_results);
    }

    #[test]
    fn peer(call in arbitrary::data(), answer in arbitrary::data()) {
        assert_round_trip!(peer::Request { message: call }, peer::Request, peer_params);
        assert_round_trip!(peer::Reply { message: answer }, peer::Reply, peer_results);
    }
}
