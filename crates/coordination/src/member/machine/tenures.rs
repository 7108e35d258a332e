//! Steps of the life cycle of this node's tenures.

use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        Offset,
        ShardId, //
    },
};

use super::{
    Effect,
    Held,
    Machine, //
};
use crate::{
    claim::Holding,
    member::{
        Cause,
        tenure::{
            Recovering,
            Tenure, //
        },
    },
};

impl Machine {
    /// Begins a tenure whose claim was read back.
    pub(super) fn won(&mut self, shard: ShardId, epoch: Epoch, until: Timestamp) {
        self.stop(shard, Cause::Raised);
        let tenure = Tenure::new(shard, epoch, until).recover();
        self.tenures.insert(shard, Held::Recovering(tenure));
        self.effects.push(Effect::Recover { shard, epoch });
    }

    /// Ends the tenure of `shard` against this node's will, where it has one.
    pub(super) fn stop(&mut self, shard: ShardId, cause: Cause) {
        self.offers.remove(&shard);
        let Some(held) = self.tenures.remove(&shard) else {
            return;
        };
        let epoch = held.lose().holding().epoch;
        self.effects.push(Effect::Stop {
            shard,
            epoch,
            cause,
        });
    }

    /// Suspends every tenure whose lease has lapsed.
    pub(super) fn lapse(&mut self, now: Timestamp) {
        let lapsed = |held: &Held| held.until() <= now;
        for shard in self.select(lapsed) {
            self.suspend(shard, Cause::Lapsed);
        }
    }

    /// Suspends an active tenure, or changes the cause of a suspended one.
    pub(super) fn suspend(&mut self, shard: ShardId, cause: Cause) {
        let Some(held) = self.tenures.remove(&shard) else {
            return;
        };
        let epoch = held.epoch();
        let held = match held {
            Held::Active(tenure) => {
                self.effects.push(Effect::Suspend {
                    shard,
                    epoch,
                    cause,
                });
                Held::Suspended(tenure.suspend(cause))
            }
            Held::Suspended(tenure) if cause == Cause::Handover => {
                Held::Suspended(tenure.recast(cause))
            }
            other => other,
        };
        self.tenures.insert(shard, held);
    }

    /// Resumes every tenure that was suspended for a lapse and has a lease again.
    pub(super) fn resume(&mut self, now: Timestamp) {
        let ready = |held: &Held| held.suspended() == Some(Cause::Lapsed) && held.until() > now;
        for shard in self.select(ready) {
            if let Some(Held::Suspended(tenure)) = self.tenures.remove(&shard) {
                let epoch = tenure.holding().epoch;
                self.tenures.insert(shard, Held::Active(tenure.resume()));
                self.effects.push(Effect::Resume { shard, epoch });
            }
        }
    }

    /// Takes back the suspension for a handover that did not happen.
    pub(super) fn keep(&mut self, shard: ShardId) {
        self.offers.remove(&shard);
        if let Some(Held::Suspended(tenure)) = self.tenures.remove(&shard) {
            let tenure = tenure.recast(Cause::Lapsed);
            self.tenures.insert(shard, Held::Suspended(tenure));
        }
    }

    /// Ends a tenure by consent, once the release was read back.
    pub(super) fn released(&mut self, shard: ShardId) {
        self.offers.remove(&shard);
        match self.tenures.remove(&shard) {
            Some(Held::Suspended(tenure)) => {
                let epoch = tenure.release().holding().epoch;
                self.effects.push(Effect::Stop {
                    shard,
                    epoch,
                    cause: Cause::Handover,
                });
            }
            Some(other) => {
                self.tenures.insert(shard, other);
                self.stop(shard, Cause::Lost);
            }
            None => {}
        }
    }

    /// Ends recovery.
    pub(super) fn ready(&mut self, shard: ShardId, epoch: Epoch, now: Timestamp) {
        let Some(held) = self.tenures.remove(&shard) else {
            return;
        };
        let held = match held {
            Held::Recovering(tenure) if tenure.holding().epoch == epoch => {
                self.recovered(tenure.until() > now, tenure)
            }
            other => other,
        };
        self.tenures.insert(shard, held);
    }

    fn recovered(&mut self, holds: bool, tenure: Tenure<Recovering>) -> Held {
        let Holding { shard, epoch } = tenure.holding();
        if holds {
            self.effects.push(Effect::Activate { shard, epoch });
            Held::Active(tenure.activate())
        } else {
            let cause = Cause::Lapsed;
            self.effects.push(Effect::Suspend {
                shard,
                epoch,
                cause,
            });
            Held::Suspended(tenure.suspend(cause))
        }
    }

    /// Claims a shard anew, since a worker of it has seen a higher epoch.
    ///
    /// That happens where a worker came from another shard. Where the epoch is one of this shard,
    /// the log will show its owner, so nothing is done before it has been read that far.
    pub(super) fn fenced(&mut self, shard: ShardId, epoch: Epoch, now: Timestamp) {
        let Some(lower) = self.tenures.get(&shard).map(|held| held.epoch() < epoch) else {
            return;
        };
        let read = self.register.next() > Offset(epoch.get());
        if lower && read && !self.has_bid(shard, now) {
            self.bid(shard, now);
        }
    }

    fn select(&self, wanted: impl Fn(&Held) -> bool) -> Vec<ShardId> {
        let chosen = self.tenures.iter().filter(|(_, held)| wanted(held));
        chosen.map(|(shard, _)| *shard).collect()
    }
}
