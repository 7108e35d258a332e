//! The ledger of one shard's non-idempotent requests.

mod expiry;

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use fulmarpier_state::{
    clock::Timestamp,
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
};

use crate::{
    journal::Record,
    recovery::{
        Gap,
        Image,
        Settled, //
    },
};

use super::{
    Answer,
    Ask,
    Claim,
    Granted,
    Key,
    Outage,
    Settings,
    Ticket,
    Verdict,
    entry::{
        Entry,
        State, //
    },
    refuse, //
};

/// The ledger of one shard's non-idempotent requests.
#[derive(Clone, Debug)]
pub struct Ledger {
    settings: Settings,
    entries: BTreeMap<Key, Entry>,
    by_time: BTreeSet<(Timestamp, Key)>,
    by_use: BTreeSet<(Timestamp, Key)>,
    expiry: BTreeSet<(Timestamp, Key)>,
    timed: Timestamp,
    opaque: Timestamp,
    /// Times of keys that another ledger may have begun without a trace here.
    suspects: Vec<(Timestamp, Timestamp)>,
    opaque_from: Timestamp,
    fresh_after: Timestamp,
    next: Ticket,
    answers: usize,
}

impl Ledger {
    /// Makes the ledger of a shard that was just taken.
    ///
    /// Requests whose outcome is not in the image become `unknown`; the records say so for later
    /// owners.
    pub fn new(
        settings: Settings,
        image: &Image,
        claim: Claim,
        now: Timestamp,
    ) -> (Self, Vec<Record>) {
        let fresh_after = claim.at + settings.margin();
        let mut ledger = Self {
            settings,
            entries: BTreeMap::new(),
            by_time: BTreeSet::new(),
            by_use: BTreeSet::new(),
            expiry: BTreeSet::new(),
            timed: image.timed,
            opaque: image.opaque,
            suspects: Vec::new(),
            opaque_from: Timestamp::ZERO,
            fresh_after,
            next: Ticket::first(claim.epoch),
            answers: 0,
        };
        for gap in &image.gaps {
            ledger.suspect_gap(gap);
        }
        if !claim.complete {
            ledger.suspect(Timestamp::ZERO);
            ledger.opaque_from = claim.at + ledger.settings.opaque_age;
        }
        let records = ledger.recover(image, now);
        (ledger, records)
    }

    /// Refuses as `unknown` every key that is not remembered and whose own time lies between
    /// `since` and this owner's claim.
    ///
    /// It is called where another ledger may have begun such requests without a trace here: an
    /// earlier owner in a log outage, or the key's former home after the set of shards changed.
    pub fn suspect(&mut self, since: Timestamp) {
        let since = since.saturating_sub(self.settings.margin());
        self.suspects.push((since, self.fresh_after));
    }

    /// Refuses as `unknown` the keys that an earlier owner may have begun during a gap.
    ///
    /// It began only keys whose own time lay `blind_after` or more behind its last record, by the
    /// same clock, and at most `skew` ahead of it; it had stopped before its successor opened the
    /// journal.
    fn suspect_gap(&mut self, gap: &Gap) {
        let from = gap.from + self.settings.blind_after;
        let to = gap.to + self.settings.margin();
        if from <= to {
            self.suspects.push((from, to));
        }
    }

    /// Returns how many requests are remembered.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request is remembered.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Decides on a request; `down_since` says since when the log has been down.
    pub fn begin(&mut self, ask: &Ask, down_since: Option<Timestamp>, now: Timestamp) -> Verdict {
        if let Some(entry) = self.entries.get(&ask.key) {
            return known(entry, ask, now);
        }
        if let Some(refusal) = self.forgotten(&ask.key, now) {
            return Verdict::Refuse(refusal);
        }
        if ask.deadline <= now {
            return Verdict::Refuse(refuse::late());
        }
        if self.entries.len() >= self.settings.count {
            return Verdict::Refuse(refuse::full());
        }
        let fresh = down_since.is_some_and(|since| self.is_fresh(&ask.key, since, now));
        let ticket = self.insert(ask, fresh, now);
        if fresh {
            Verdict::Send(ticket)
        } else {
            Verdict::Journal(ticket)
        }
    }

    /// Frees a key for the flow that began it and asks again; returns the record to keep.
    ///
    /// That flow had no use of a grant: its answer was lost, or its owner was replaced before it was
    /// given. Only this flow could have sent the request, and it asks only while it has not.
    ///
    /// See also [`Self::begin`], which is called next.
    pub fn retake(&mut self, ask: &Ask, now: Timestamp) -> Option<Record> {
        let entry = self.entries.get(&ask.key)?;
        let same = entry.nonce == ask.nonce && entry.digest == ask.digest;
        let ran = matches!(&entry.state, State::Settled(s) if s.outcome == Outcome::Ran);
        if !same || ran || ask.deadline <= now {
            return None;
        }
        let ticket = entry.ticket;
        self.remove(&ask.key);
        Some(outcome(&ask.key, ticket, Outcome::NotRun, None, now))
    }

    /// Returns the record of a request's intent.
    pub fn intent(&self, key: &Key) -> Option<Record> {
        let entry = self.entries.get(key)?;
        Some(Record::Intent {
            key: key.clone(),
            digest: entry.digest,
            nonce: entry.nonce,
            ticket: entry.ticket,
            target: entry.target,
            service: entry.service.clone(),
            at: entry.at,
            deadline: entry.deadline,
        })
    }

    /// Takes the news that a request's intent is kept.
    pub fn committed(&mut self, key: &Key, ticket: Ticket, now: Timestamp) -> Granted {
        let Some(entry) = self.waiting(key, ticket) else {
            return Granted::Absent;
        };
        if entry.deadline > now {
            entry.state = State::Granted;
            return Granted::Send;
        }
        match self.cancel(key, ticket, now) {
            Some(record) => Granted::Late(record),
            None => Granted::Absent,
        }
    }

    /// Gives up a request of which nothing was sent, and frees its key.
    ///
    /// The record matters only where the intent may be kept already.
    pub fn cancel(&mut self, key: &Key, ticket: Ticket, now: Timestamp) -> Option<Record> {
        self.waiting(key, ticket)?;
        self.remove(key);
        Some(outcome(key, ticket, Outcome::NotRun, None, now))
    }

    /// Takes a gate's report on a grant; returns the record to keep, or `None` if the ticket is not
    /// known or the report brings nothing new.
    ///
    /// `Outcome::NotRun` says that nothing was sent, and frees the key. A report that comes after
    /// the request became `unknown` still counts, because only its gate had the ticket.
    pub fn finish(
        &mut self,
        key: &Key,
        ticket: Ticket,
        result: Outcome,
        answer: Option<Answer>,
        now: Timestamp,
    ) -> Option<Record> {
        let entry = self.entries.get(key).filter(|e| e.ticket == ticket)?;
        let open = match &entry.state {
            State::Intended => result == Outcome::NotRun,
            State::Granted => true,
            State::Settled(settled) => {
                settled.outcome == Outcome::Unknown && result != Outcome::Unknown
            }
        };
        if !open {
            return None;
        }
        if result == Outcome::NotRun {
            self.remove(key);
            return Some(outcome(key, ticket, result, None, now));
        }
        let answer = answer.filter(|answer| self.has_room(answer));
        self.settle(key, result, answer.clone(), now);
        Some(outcome(key, ticket, result, answer, now))
    }

    /// Returns the refusal of a key that is not remembered but may have been used.
    fn forgotten(&self, key: &Key, now: Timestamp) -> Option<Refusal> {
        let Some(time) = key.time() else {
            return (now < self.opaque_from).then(refuse::aged);
        };
        if time <= self.timed {
            return Some(refuse::aged());
        }
        if time > now + self.settings.age {
            return Some(refuse::future());
        }
        let within = |(from, to): &(Timestamp, Timestamp)| *from <= time && time <= *to;
        self.suspects.iter().any(within).then(refuse::aged)
    }

    /// Returns whether no other owner can have begun the key, nor will begin it unawares.
    ///
    /// An earlier owner had stopped before the key was made; a later one finds the gap that the
    /// outage leaves in the journal and refuses what was made in it.
    fn is_fresh(&self, key: &Key, down_since: Timestamp, now: Timestamp) -> bool {
        let first = self.fresh_after.max(down_since + self.settings.blind_after);
        let fresh = |time| time > first && time <= now + self.settings.skew;
        self.settings.outage == Outage::Fresh && key.time().is_some_and(fresh)
    }

    fn insert(&mut self, ask: &Ask, granted: bool, now: Timestamp) -> Ticket {
        let ticket = self.next;
        self.next = ticket.next();
        let state = if granted {
            State::Granted
        } else {
            State::Intended
        };
        let entry = Entry {
            digest: ask.digest,
            nonce: ask.nonce,
            ticket,
            target: ask.target,
            service: ask.service.clone(),
            at: now,
            deadline: ask.deadline,
            state,
        };
        self.expiry.insert((ask.deadline, ask.key.clone()));
        self.entries.insert(ask.key.clone(), entry);
        ticket
    }

    fn waiting(&mut self, key: &Key, ticket: Ticket) -> Option<&mut Entry> {
        self.entries
            .get_mut(key)
            .filter(|entry| entry.ticket == ticket && entry.state == State::Intended)
    }

    fn settle(&mut self, key: &Key, result: Outcome, answer: Option<Answer>, now: Timestamp) {
        let Some(entry) = self.entries.get_mut(key) else {
            return;
        };
        self.answers += answer.as_ref().map_or(0, Answer::size);
        entry.state = State::Settled(Settled {
            outcome: result,
            answer,
            at: now,
        });
        self.index(key);
    }

    /// Notes a settled key where old ones are looked for.
    fn index(&mut self, key: &Key) {
        let Some(entry) = self.entries.get(key) else {
            return;
        };
        match key.time() {
            Some(time) => self.by_time.insert((time, key.clone())),
            None => self.by_use.insert((entry.at, key.clone())),
        };
    }

    fn remove(&mut self, key: &Key) {
        let Some(entry) = self.entries.remove(key) else {
            return;
        };
        if let State::Settled(settled) = &entry.state {
            self.answers -= settled.answer.as_ref().map_or(0, Answer::size);
        }
        if let Some(time) = key.time() {
            self.by_time.remove(&(time, key.clone()));
        }
        self.by_use.remove(&(entry.at, key.clone()));
        self.expiry.remove(&(entry.deadline, key.clone()));
        let end = entry.deadline + self.settings.grace;
        self.expiry.remove(&(end, key.clone()));
    }

    fn has_room(&self, answer: &Answer) -> bool {
        let size = answer.size();
        size <= self.settings.answer && self.answers + size <= self.settings.answers
    }

    fn recover(&mut self, image: &Image, now: Timestamp) -> Vec<Record> {
        let mut records = Vec::new();
        for (key, request) in &image.requests {
            let entry = Entry::recovered(request, now);
            if request.settled.is_none() {
                records.push(outcome(key, entry.ticket, Outcome::Unknown, None, now));
            }
            if let State::Settled(settled) = &entry.state {
                self.answers += settled.answer.as_ref().map_or(0, Answer::size);
            }
            self.entries.insert(key.clone(), entry);
            self.index(key);
        }
        records
    }
}

/// Decides on a key that is remembered.
fn known(entry: &Entry, ask: &Ask, now: Timestamp) -> Verdict {
    if entry.digest != ask.digest {
        return Verdict::Refuse(refuse::reused());
    }
    match &entry.state {
        State::Intended | State::Granted => Verdict::Refuse(refuse::busy(entry.deadline, now)),
        State::Settled(settled) => match (&settled.answer, settled.outcome) {
            (Some(answer), Outcome::Ran) => Verdict::Replay(answer.clone()),
            (_, Outcome::Unknown) => Verdict::Refuse(refuse::unknown()),
            (_, outcome) => Verdict::Refuse(
                Refusal::new(Reason::AlreadyRan, "its answer was not kept").outcome(outcome),
            ),
        },
    }
}

fn outcome(
    key: &Key,
    ticket: Ticket,
    outcome: Outcome,
    answer: Option<Answer>,
    at: Timestamp,
) -> Record {
    Record::Outcome {
        key: key.clone(),
        ticket,
        outcome,
        answer,
        at,
    }
}
