//! The choice of a shard for a job, from the digests of their load.

use std::cmp::Reverse;

use fulmarpier_protocol::wire::sync::Shard;
use fulmarpier_state::{
    id::ShardId,
    job::Spec,
    resource::Resources, //
};
use rand::{
    Rng,
    RngExt, //
};

use crate::control::Owned;

/// How well a shard suits a job, the best first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Room {
    /// All tasks fit into what is free.
    All,
    /// At least one task does.
    Some,
    /// The job has to wait.
    None,
}

/// Chooses a shard for a job; `None` where no shard has an owner.
///
/// Among the shards with the most room, the less loaded of two drawn at random is taken, so that
/// gates with the same old digests don't all choose the same shard (Mitzenmacher, 2001).
pub fn place<'a>(
    spec: &Spec,
    shards: impl Iterator<Item = &'a Owned>,
    rng: &mut impl Rng,
) -> Option<ShardId> {
    let rated: Vec<(Room, &Shard)> = shards
        .map(|owned| (room(spec, &owned.shard), &owned.shard))
        .collect();
    let best = rated.iter().map(|(room, _)| *room).min()?;
    let best: Vec<&Shard> = rated
        .into_iter()
        .filter(|(room, _)| *room == best)
        .map(|(_, shard)| shard)
        .collect();
    let draw = |rng: &mut _| best[RngExt::random_range(rng, 0..best.len())];
    let pair = [draw(rng), draw(rng)];
    let less = pair.into_iter().min_by_key(|shard| load(shard));
    less.map(|shard| shard.id)
}

fn load(shard: &Shard) -> (u32, Reverse<u64>) {
    (shard.waiting_tasks, Reverse(shard.free_millicores))
}

fn room(spec: &Spec, shard: &Shard) -> Room {
    if fits(&spec.size, u64::from(spec.tasks), shard) {
        Room::All
    } else if fits(&spec.size, 1, shard) {
        Room::Some
    } else {
        Room::None
    }
}

/// Tells whether so many tasks fit into the sum of what is free; they may still not fit worker by
/// worker, which only the owner knows.
fn fits(size: &Resources, tasks: u64, shard: &Shard) -> bool {
    let within = |one: u64, free: u64| one.checked_mul(tasks).is_some_and(|all| all <= free);
    within(u64::from(size.cpu.get()), shard.free_millicores)
        && within(size.memory.get(), shard.free_memory.get())
        && within(
            u64::from(size.accelerators),
            u64::from(shard.free_accelerators),
        )
}
