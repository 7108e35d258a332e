//! The configuration as folded from the log.

use std::{
    collections::{
        BTreeMap,
        VecDeque, //
    },
    sync::Arc, //
};

use fulmarpier_state::id::Offset;
use uuid::Uuid;

use super::{
    Conflict,
    DecodeError,
    Document,
    Key,
    Proposal,
    Record,
    Rejection,
    Snapshot,
    Touch,
    Verdict,
    Version,
    snapshot::Met, //
};
use crate::platform::log;

/// How many keys keep their last change; a base older than the oldest forgotten one is refused.
const MAX_TOUCHES: usize = 512;
/// How many proposals are remembered against second copies of their records.
const MAX_MET: usize = 512;

/// What one record of the log led to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A proposal was judged.
    Judged {
        /// Which proposal.
        id: Uuid,
        /// What became of it.
        verdict: Verdict,
    },
    /// A snapshot was taken over; reading goes on from [`Register::next`], which may be earlier
    /// than the snapshot's own place.
    Adopted {
        /// The version now in force.
        version: Version,
    },
    /// A snapshot agrees with what this node folded, or is about times that it can't compare.
    Refreshed,
    /// The record is passed over while the register looks for a snapshot to start from.
    Passed,
    /// The record was folded before.
    Old,
    /// The record is malformed; every node skips it.
    Skipped {
        /// What was wrong with it.
        reason: DecodeError,
    },
}

/// What a register can't go on from, or must not follow.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// A newer program wrote the record; this one stays at its version until it is replaced.
    #[error("record {offset} is from a newer program: {reason}")]
    Newer {
        /// Where the record stands.
        offset: Offset,
        /// What was found.
        reason: DecodeError,
    },
    /// A snapshot has the version of this node and another content, or one that it can't have.
    #[error("the snapshot at {version} differs from what this node folded")]
    Diverged {
        /// The version of both.
        version: Version,
    },
    /// What was offered is older than what is in force; it is not taken.
    #[error("offered {offered}, which is before {in_force} that is in force")]
    Regressed {
        /// The version that was offered.
        offered: Version,
        /// The version in force, which stays.
        in_force: Version,
    },
    /// The log ends before what this node has folded, so it lost records.
    #[error("the log ends at {end}, this node has read through {through}")]
    Shortened {
        /// Where the log ends.
        end: Offset,
        /// How far this node has read.
        through: Offset,
    },
}

/// A search for a snapshot behind a truncation.
#[derive(Clone, Copy, Debug)]
struct Search {
    earliest: Offset,
    at: Offset,
}

/// The configuration as folded from the log: the same on every node that has read as far.
///
/// The version only rises. A proposal is accepted when nothing that it touches changed after its
/// base and its changes are valid on the document in force.
///
/// # Examples
///
/// ```
/// use fulmarpier_coordination::config::{Register, Version};
///
/// let register = Register::new();
/// assert_eq!(register.version(), Version::NONE);
/// ```
#[derive(Clone, Debug, Default)]
pub struct Register {
    through: Offset,
    version: Version,
    document: Arc<Document>,
    floor: Version,
    touches: BTreeMap<Key, Touch>,
    met: VecDeque<Met>,
    search: Option<Search>,
}

impl Register {
    /// Makes the register of the empty configuration, before the first record.
    pub fn new() -> Self {
        Self::default()
    }

    /// Returns the version in force.
    pub const fn version(&self) -> Version {
        self.version
    }

    /// Returns the document in force.
    pub const fn document(&self) -> &Arc<Document> {
        &self.document
    }

    /// Returns the offset to read from next.
    pub fn next(&self) -> Offset {
        self.search.map_or(self.through, |search| search.at)
    }

    /// Returns whether the register looks for a snapshot, so that what is in force may be old.
    pub const fn is_searching(&self) -> bool {
        self.search.is_some()
    }

    /// Returns whether everything before `end` has been folded.
    ///
    /// # Errors
    ///
    /// [`Fault::Shortened`] where the log ends before what was folded.
    pub fn has_caught_up(&self, end: Offset) -> Result<bool, Fault> {
        if end < self.through {
            let through = self.through;
            return Err(Fault::Shortened { end, through });
        }
        Ok(self.search.is_none() && self.through >= end)
    }

    /// Returns what became of a proposal, if it was met lately.
    ///
    /// This settles an append whose answer was lost: `None` says nothing until the log has been read
    /// to its end, and even then the append may still be under way, so the caller appends the same
    /// proposal again; the second copy does nothing.
    pub fn outcome(&self, id: Uuid) -> Option<Verdict> {
        let met = self.find_met(id)?;
        Some(Verdict::Repeated {
            first: met.offset,
            accepted: met.accepted,
        })
    }

    /// Returns who last changed a key.
    pub fn last_change(&self, key: &Key) -> Option<&Touch> {
        self.touches.get(key)
    }

    /// Returns the outcome of everything that was folded.
    pub fn snapshot(&self) -> Snapshot {
        Snapshot {
            through: self.through,
            version: self.version,
            document: self.document.clone(),
            floor: self.floor,
            touches: self.touches.clone().into_iter().collect(),
            met: self.met.iter().copied().collect(),
        }
    }

    /// Folds one record.
    ///
    /// # Errors
    ///
    /// [`Fault::Newer`], after which the same record is wanted again from a newer program, and
    /// [`Fault::Diverged`] or [`Fault::Regressed`] for a snapshot that must not be followed; it is
    /// passed over.
    pub fn apply(&mut self, record: &log::Record) -> Result<Event, Fault> {
        if record.offset < self.next() {
            return Ok(Event::Old);
        }
        let decoded = match Record::decode(&record.data) {
            Err(reason @ DecodeError::Newer { .. }) if self.search.is_none() => {
                let offset = record.offset;
                return Err(Fault::Newer { offset, reason });
            }
            decoded => decoded,
        };
        self.advance(record.offset.next());
        match decoded {
            Ok(Record::Proposal(proposal)) if self.search.is_none() => {
                Ok(self.judge(record.offset, &proposal))
            }
            Ok(Record::Snapshot(snapshot)) if self.search.is_some() => self.start_from(*snapshot),
            Ok(Record::Snapshot(snapshot)) => self.compare(&snapshot),
            Ok(Record::Proposal(_)) => Ok(Event::Passed),
            Err(reason) => Ok(Event::Skipped { reason }),
        }
    }

    /// Notes that the log no longer keeps what was to be read next.
    ///
    /// What is in force stays so while the register looks for a snapshot from `earliest` on.
    pub fn truncate(&mut self, earliest: Offset) {
        if earliest > self.next() {
            self.search = Some(Search {
                earliest,
                at: earliest,
            });
        }
    }

    /// Takes over what a peer has, as when the log is down; returns whether it was newer.
    ///
    /// # Errors
    ///
    /// [`Fault::Diverged`] where the peer has other content under the same version, and
    /// [`Fault::Regressed`] where it has read further and yet has a lower version.
    pub fn adopt(&mut self, snapshot: Snapshot) -> Result<bool, Fault> {
        if snapshot.through <= self.through {
            self.compare(&snapshot)?;
            return Ok(false);
        }
        self.replace(snapshot)?;
        let settled = |search: Search| self.through >= search.earliest;
        if self.search.is_some_and(settled) {
            self.search = None;
        }
        Ok(true)
    }

    fn advance(&mut self, next: Offset) {
        match &mut self.search {
            Some(search) => search.at = next,
            None => self.through = next,
        }
    }

    /// Ends the search with a snapshot behind which the log still keeps everything.
    fn start_from(&mut self, snapshot: Snapshot) -> Result<Event, Fault> {
        let earliest = self.search.map_or(Offset(0), |search| search.earliest);
        if snapshot.through < earliest {
            return Ok(Event::Passed);
        }
        self.replace(snapshot)?;
        self.search = None;
        let version = self.version;
        Ok(Event::Adopted { version })
    }

    fn replace(&mut self, snapshot: Snapshot) -> Result<(), Fault> {
        if snapshot.version < self.version {
            return Err(Fault::Regressed {
                offered: snapshot.version,
                in_force: self.version,
            });
        }
        self.compare(&snapshot)?;
        self.through = snapshot.through;
        self.version = snapshot.version;
        self.document = snapshot.document;
        self.floor = snapshot.floor;
        self.touches = snapshot.touches.into_iter().collect();
        self.met = snapshot.met.into();
        Ok(())
    }

    /// Checks that a snapshot of the version in force has the content in force.
    fn compare(&self, snapshot: &Snapshot) -> Result<Event, Fault> {
        let ahead = snapshot.through <= self.through && snapshot.version > self.version;
        let differs = snapshot.version == self.version && snapshot.document != self.document;
        if ahead || differs {
            let version = snapshot.version;
            return Err(Fault::Diverged { version });
        }
        Ok(Event::Refreshed)
    }

    fn judge(&mut self, offset: Offset, proposal: &Proposal) -> Event {
        let id = proposal.id;
        if let Some(verdict) = self.outcome(id) {
            return Event::Judged { id, verdict };
        }
        let verdict = match self.check(offset, proposal) {
            Ok(document) => self.accept(offset, proposal, document),
            Err(reason) => Verdict::Rejected { reason },
        };
        let accepted = matches!(verdict, Verdict::Accepted { .. });
        self.remember(Met {
            id,
            offset,
            accepted,
        });
        Event::Judged { id, verdict }
    }

    fn check(&self, offset: Offset, proposal: &Proposal) -> Result<Document, Rejection> {
        proposal.validate()?;
        let base = proposal.base;
        if base.covers(offset) {
            return Err(Rejection::Ahead { base });
        }
        if base < self.floor {
            let floor = self.floor;
            return Err(Rejection::Stale { base, floor });
        }
        if let Some(conflict) = self.conflict(proposal) {
            return Err(Rejection::Conflict(conflict));
        }
        let document = self.document.with(&proposal.changes);
        document.map_err(Rejection::from)
    }

    /// Returns the latest change after the proposal's base of something that it touches.
    pub fn conflict(&self, proposal: &Proposal) -> Option<Conflict> {
        let later = |key: &Key| {
            let winner = self.touches.get(key)?;
            (!proposal.base.covers(winner.offset)).then(|| (key.clone(), winner.clone()))
        };
        let keys = proposal.keys();
        let latest = keys.iter().filter_map(later);
        let (key, winner) = latest.max_by_key(|(_, winner)| winner.offset)?;
        Some(Conflict {
            key,
            base: proposal.base,
            winner,
        })
    }

    fn accept(&mut self, offset: Offset, proposal: &Proposal, document: Document) -> Verdict {
        let touch = Touch {
            offset,
            operator: proposal.operator.clone(),
            id: proposal.id,
            at: proposal.at,
        };
        for key in proposal.keys() {
            self.touches.insert(key, touch.clone());
        }
        self.forget_old_touches();
        self.document = Arc::new(document);
        self.version = Version::at(offset);
        Verdict::Accepted {
            version: self.version,
        }
    }

    /// Forgets the oldest changes beyond the bound; bases before them are refused from now on.
    fn forget_old_touches(&mut self) {
        let excess = self.touches.len().saturating_sub(MAX_TOUCHES);
        if excess == 0 {
            return;
        }
        let mut offsets: Vec<Offset> = self.touches.values().map(|touch| touch.offset).collect();
        offsets.sort_unstable();
        let last = offsets[excess - 1];
        self.touches.retain(|_, touch| touch.offset > last);
        self.floor = self.floor.max(Version::at(last));
    }

    fn remember(&mut self, met: Met) {
        if self.met.len() == MAX_MET {
            self.met.pop_front();
        }
        self.met.push_back(met);
    }

    fn find_met(&self, id: Uuid) -> Option<&Met> {
        self.met.iter().rev().find(|met| met.id == id)
    }
}
