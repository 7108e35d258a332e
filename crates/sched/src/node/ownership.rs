//! The ownership of shards: what the machine asks for, and what became of it.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_coordination::{
    member::{
        self,
        Effect, //
    },
    peer,
    platform::log,
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Epoch,
        Offset,
        ShardId, //
    },
};

use super::{
    Asking,
    Node,
    Note,
    Output,
    Purpose,
    core::Shard, //
};
use crate::shard::{
    Live,
    Opening,
    Progress,
    Report,
    Scope, //
};

impl Node {
    /// Tells the machine what happened, and does what it asks for.
    pub(super) fn member_event(&mut self, event: member::Event, now: Timestamp) {
        let effects = self.member.on(event, now);
        self.follow_member(effects, now);
    }

    pub(super) fn follow_member(&mut self, effects: Vec<Effect>, now: Timestamp) {
        for effect in effects {
            match effect {
                Effect::Append { token, append } => {
                    self.out.append(Purpose::Member(token), append);
                }
                Effect::Read { token, read } => self.out.read(Purpose::Member(token), read),
                Effect::Ask {
                    token,
                    address,
                    message,
                } => self.out.push(Output::Ask {
                    asking: Asking::Member(token),
                    address,
                    message,
                }),
                Effect::Recover { shard, epoch } => self.recover(shard, epoch, now),
                Effect::Activate { shard, epoch } => self.note(shard, epoch, "active", now),
                Effect::Suspend { shard, epoch, .. } => self.note(shard, epoch, "suspended", now),
                Effect::Resume { shard, epoch } => self.note(shard, epoch, "resumed", now),
                Effect::Stop { shard, epoch, .. } => self.stop(shard, epoch, now),
                Effect::Drained => self.out.push(Output::Drained),
            }
        }
    }

    fn note(&mut self, shard: ShardId, epoch: Epoch, phase: &'static str, at: Timestamp) {
        self.out.note(Note::Shard {
            shard,
            epoch,
            phase,
            at,
        });
    }

    /// Starts to take over a shard that was won, perhaps anew at a higher epoch.
    fn recover(&mut self, shard: ShardId, epoch: Epoch, now: Timestamp) {
        self.give_up(shard, now);
        self.note(shard, epoch, "won", now);
        let journal = self.settings.shard.journal.clone();
        let opening = Opening::new(shard, epoch, self.holder.node, journal, now);
        self.shards.insert(shard, Shard::Opening(Box::new(opening)));
    }

    fn stop(&mut self, shard: ShardId, epoch: Epoch, now: Timestamp) {
        let held = match self.shards.get(&shard) {
            Some(Shard::Opening(opening)) => opening.epoch,
            Some(Shard::Live(live)) => live.epoch,
            None => return,
        };
        if held == epoch {
            self.note(shard, epoch, "stopped", now);
            self.give_up(shard, now);
        }
    }

    /// Forgets a shard; everybody who waits is answered, and its targets are no longer offered.
    fn give_up(&mut self, shard: ShardId, now: Timestamp) {
        self.with_live(shard, now, |live, scope| {
            live.dismiss(scope);
            for target in live.targets() {
                scope.credits.forget(target);
            }
        });
        self.shards.remove(&shard);
    }

    pub(super) fn member_appended(
        &mut self,
        token: member::Token,
        result: Result<Offset, log::Error>,
        now: Timestamp,
    ) {
        let event = match result {
            Ok(offset) => member::Event::Appended { token, offset },
            Err(error) => {
                self.out.retry("claims-append");
                member::Event::AppendFailed { token, error }
            }
        };
        self.member_event(event, now);
    }

    pub(super) fn member_page(
        &mut self,
        token: member::Token,
        result: Result<log::Page, log::Error>,
        now: Timestamp,
    ) {
        let event = match result {
            Ok(page) => member::Event::Page { token, page },
            Err(error) => {
                self.out.retry("claims-read");
                member::Event::ReadFailed { token, error }
            }
        };
        self.member_event(event, now);
    }

    pub(super) fn asked(
        &mut self,
        asking: Asking,
        result: Result<peer::Reply, member::Unreachable>,
        now: Timestamp,
    ) {
        match asking {
            Asking::Member(token) => {
                let event = match result {
                    Ok(reply) => member::Event::Answered { token, reply },
                    Err(how) => member::Event::Unreachable { token, how },
                };
                self.member_event(event, now);
            }
            Asking::Config => self.config_from_peer(result.ok(), now),
            Asking::Part => self.parts_answered(result, now),
        }
    }

    pub(super) fn journal_appended(
        &mut self,
        shard: ShardId,
        epoch: Epoch,
        result: Result<Offset, log::Error>,
        now: Timestamp,
    ) {
        if let Some(Shard::Opening(opening)) = self.shards.get_mut(&shard) {
            if opening.epoch != epoch {
                return;
            }
            match result {
                Ok(offset) => opening.journal().appended(offset, now),
                Err(error) => opening.journal().failed(&error, now),
            }
            return;
        }
        self.with_live(shard, now, |live, scope| {
            if live.epoch == epoch {
                live.appended(result, scope);
            }
        });
    }

    pub(super) fn journal_page(
        &mut self,
        shard: ShardId,
        epoch: Epoch,
        result: Result<log::Page, log::Error>,
        now: Timestamp,
    ) {
        if let Some(Shard::Opening(opening)) = self.shards.get_mut(&shard) {
            if opening.epoch != epoch {
                return;
            }
            match result {
                Ok(page) => opening.journal().on_page(&page, now),
                Err(error) => opening.journal().failed(&error, now),
            }
            return;
        }
        self.with_live(shard, now, |live, scope| {
            if live.epoch == epoch {
                live.page(result, scope);
            }
        });
    }

    /// Lets every shard do what is due.
    pub(super) fn pump_shards(&mut self, now: Timestamp) {
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        let pace = self.journal_pace();
        for shard in ids {
            if matches!(self.shards.get(&shard), Some(Shard::Opening(_))) {
                self.pump_opening(shard, now);
            }
            let report = self.with_live(shard, now, |live, scope| {
                live.set_pace(pace);
                (live.epoch, live.pump(scope))
            });
            if let Some((epoch, report)) = report {
                self.follow_report(shard, epoch, &report, now);
            }
        }
    }

    /// Returns the span between two appends of a shard; a node has one budget for all its shards.
    fn journal_pace(&self) -> Duration {
        let shards = u32::try_from(self.shards.len()).unwrap_or(u32::MAX);
        let pace = self.settings.shard.journal.pace;
        pace.saturating_mul(shards.max(1))
    }

    fn follow_report(&mut self, shard: ShardId, epoch: Epoch, report: &Report, now: Timestamp) {
        if report.ready {
            self.member_event(member::Event::Ready { shard, epoch }, now);
        }
        if let Some(epoch) = report.fenced {
            self.member_event(member::Event::Fenced { shard, epoch }, now);
        }
    }

    fn pump_opening(&mut self, shard: ShardId, now: Timestamp) {
        let Some(Shard::Opening(opening)) = self.shards.remove(&shard) else {
            return;
        };
        let epoch = opening.epoch;
        let won = opening.won;
        match opening.pump(&mut self.out, now) {
            Progress::Pending(opening) => {
                self.shards.insert(shard, Shard::Opening(opening));
            }
            Progress::Done(opened) => {
                self.note(shard, epoch, "replayed", now);
                let workers: Vec<_> = self.map.workers_of(shard).map(|w| w.id).collect();
                let mut scope = Scope {
                    out: &mut self.out,
                    credits: &mut self.credits,
                    rooms: &self.rooms,
                    settings: &self.settings.shard,
                    now,
                };
                let live = Live::new(shard, epoch, won, *opened, workers, &mut scope);
                self.shards.insert(shard, Shard::Live(Box::new(live)));
                self.configure_shard(shard, now);
                self.refresh_shard(shard, now);
            }
            Progress::Fenced => {
                let event = member::Event::Fenced { shard, epoch };
                self.member_event(event, now);
            }
        }
    }

    /// Lets every shard follow the VM list and the configuration.
    pub(super) fn refresh_shards(&mut self, now: Timestamp) {
        let ids: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard in ids {
            self.refresh_shard(shard, now);
        }
    }

    fn refresh_shard(&mut self, shard: ShardId, now: Timestamp) {
        let map = Arc::clone(self.member.map());
        let document = Arc::clone(self.register.document());
        let sites = Arc::clone(&self.sites);
        self.with_live(shard, now, |live, scope| {
            live.set_sites(sites);
            live.refresh(&map, &document, scope);
        });
    }
}
