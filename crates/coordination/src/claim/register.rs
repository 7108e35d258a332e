//! The fold of a claims stream.

use std::collections::BTreeMap;

use fulmarpier_state::id::{
    Epoch,
    NodeId,
    Offset,
    ShardId, //
};

use super::{
    Holder,
    Holding,
    Owner,
    Record,
    Seat,
    Standing, //
};

/// What the log last said of a node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Presence {
    /// The life that renewed last.
    pub holder: Holder,
    /// Whether it takes on shards.
    pub standing: Standing,
    /// The offset of the renewal.
    pub offset: Offset,
}

/// What one record did.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// The claim won; the shard has a new owner.
    Won {
        /// The shard.
        shard: ShardId,
        /// The new owner.
        owner: Owner,
        /// The owner before it, where one was known.
        previous: Option<Owner>,
    },
    /// The claim lost against a record in front of it.
    Lost {
        /// The shard.
        shard: ShardId,
    },
    /// The claim rests on records that were dropped before this reader began; its winner restates
    /// it with its next renewal.
    Undecided {
        /// The shard.
        shard: ShardId,
    },
    /// A node lives; these of its holdings agree with the register.
    Renewed {
        /// The holdings that the node owns as of this record.
        held: Vec<Holding>,
    },
    /// The owner gave the shard up.
    Released {
        /// The shard.
        shard: ShardId,
    },
    /// The record had been folded before, or came from a node that no longer owned the shard.
    Ignored,
}

/// The owners of a region's shards, as of one offset.
///
/// Whether a claim wins depends only on the records from its base to itself. A reader that began
/// behind the base, since older records were dropped, leaves the claim undecided. Every renewal
/// restates what its writer holds as of an offset, so such a reader takes the owner from the first
/// renewal whose offset it has read from, and then agrees with every other reader.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Register {
    start: Offset,
    whole: bool,
    next: Offset,
    seats: BTreeMap<ShardId, Seat>,
    nodes: BTreeMap<NodeId, Presence>,
}

impl Register {
    /// Makes the register of a reader that has the stream from its first record on.
    pub fn whole() -> Self {
        Self {
            whole: true,
            ..Self::default()
        }
    }

    /// Makes the register of a reader that begins at `start`, where older records were dropped.
    pub fn since(start: Offset) -> Self {
        Self {
            start,
            next: start,
            ..Self::default()
        }
    }

    /// Returns whether no record of the stream was missed.
    pub const fn is_whole(&self) -> bool {
        self.whole
    }

    /// Returns the offset of the next record to fold.
    pub const fn next(&self) -> Offset {
        self.next
    }

    /// Moves over records that can't be read, up to `next`.
    pub fn skip_to(&mut self, next: Offset) {
        self.next = self.next.max(next);
    }

    /// Returns what is known of `shard`, where the stream named it.
    pub fn seat(&self, shard: ShardId) -> Option<&Seat> {
        self.seats.get(&shard)
    }

    /// Returns the owner of `shard`, where the log shows one.
    pub fn owner(&self, shard: ShardId) -> Option<&Owner> {
        self.seat(shard).and_then(Seat::owner)
    }

    /// Lists all shards with a known owner, in order of their ids.
    pub fn owners(&self) -> impl Iterator<Item = (ShardId, Owner)> {
        let known = |(shard, seat): (&ShardId, &'_ Seat)| (*shard, seat.owner);
        let owners = self.seats.iter().map(known);
        owners.filter_map(|(shard, owner)| owner.map(|owner| (shard, owner)))
    }

    /// Returns whether `holder` owns `holding`, whether or not it has released it.
    pub fn owns(&self, holder: &Holder, holding: Holding) -> bool {
        self.owner(holding.shard)
            .is_some_and(|owner| owner.epoch == holding.epoch && owner.holder == *holder)
    }

    /// Returns what the log last said of `node`.
    pub fn presence(&self, node: NodeId) -> Option<&Presence> {
        self.nodes.get(&node)
    }

    /// Lists all nodes that renewed, in order of their ids.
    pub fn nodes(&self) -> impl Iterator<Item = &Presence> {
        self.nodes.values()
    }

    /// Folds the record at `offset`.
    ///
    /// Records must come in the order of the log; one in front of [`Self::next`] is ignored.
    pub fn fold(&mut self, offset: Offset, record: &Record) -> Outcome {
        if offset < self.next {
            return Outcome::Ignored;
        }
        self.next = offset.next();
        match record {
            Record::Claim {
                holder,
                shard,
                base,
                ..
            } => self.claim(offset, holder, *shard, *base),
            Record::Renew {
                holder,
                standing,
                base,
                holdings,
                ..
            } => {
                let presence = Presence {
                    holder: *holder,
                    standing: *standing,
                    offset,
                };
                self.nodes.insert(holder.node, presence);
                self.renew(offset, holder, *base, holdings)
            }
            Record::Release {
                holder,
                holding,
                to,
            } => self.release(holder, *holding, *to),
        }
    }

    fn claim(&mut self, offset: Offset, holder: &Holder, shard: ShardId, base: Offset) -> Outcome {
        let seat = self.seats.entry(shard).or_default();
        let contested = seat.contested(holder);
        seat.last_claim = Some(offset);
        if contested > base {
            return Outcome::Lost { shard };
        }
        if base < self.start {
            seat.owner = None;
            seat.undecided = Some(offset);
            return Outcome::Undecided { shard };
        }
        let owner = Owner {
            holder: *holder,
            epoch: Epoch(offset.get()),
            released: None,
        };
        let previous = seat.owner.replace(owner);
        Outcome::Won {
            shard,
            owner,
            previous,
        }
    }

    fn renew(
        &mut self,
        offset: Offset,
        holder: &Holder,
        base: Offset,
        holdings: &[Holding],
    ) -> Outcome {
        let mut held = Vec::new();
        for holding in holdings {
            let start = self.start;
            let seat = self.seats.entry(holding.shard).or_default();
            seat.renewed(holder, offset);
            if seat.owner.is_none() && seat.settled(start) <= base {
                seat.owner = Some(Owner {
                    holder: *holder,
                    epoch: holding.epoch,
                    released: None,
                });
            }
            if self.owns(holder, *holding) {
                held.push(*holding);
            }
        }
        Outcome::Renewed { held }
    }

    fn release(&mut self, holder: &Holder, holding: Holding, to: Option<NodeId>) -> Outcome {
        if !self.owns(holder, holding) {
            return Outcome::Ignored;
        }
        let seat = self.seats.entry(holding.shard).or_default();
        if let Some(owner) = &mut seat.owner {
            owner.released = Some(to);
        }
        Outcome::Released {
            shard: holding.shard,
        }
    }
}
