//! A bounded queue, fair between teams and earliest deadline first inside each.
//!
//! Between teams it is stride scheduling: each team has a virtual time that advances by a cost
//! over its weight with each item served, and the lowest is served next (Waldspurger and Weihl,
//! 1995). When the whole queue is full, an arrival of a team with a shorter line displaces the
//! latest item of the longest line, so a flood from one team can't shut out the others.

use std::collections::BTreeSet;

use fulmarpier_state::{
    alias::HashMap,
    clock::Timestamp,
    name::Team, //
};

use super::line::{
    Line,
    Place, //
};

/// How many items may wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// In all.
    pub total: usize,
    /// Of one team; no bound of its own where it is not below the total.
    pub team: usize,
}

/// Which limit turned an item away.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Full {
    /// The whole queue is full and no other team's line is longer.
    #[error("{limit} requests wait already")]
    Total {
        /// The limit that was reached.
        limit: usize,
    },
    /// The team's own line is full.
    #[error("{limit} requests of the team wait already")]
    Team {
        /// The limit that was reached.
        limit: usize,
    },
}

/// The right to take an item back.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ticket {
    team: Team,
    place: Place,
}

/// The result of a push.
#[derive(Debug)]
pub struct Pushed<T> {
    /// Takes the item back.
    pub ticket: Ticket,
    /// The item of another team that had to make room.
    pub displaced: Option<T>,
}

/// The queue of one service.
#[derive(Debug)]
pub struct Queue<T> {
    limits: Limits,
    lines: HashMap<Team, Line<T>>,
    /// The teams with items, by virtual time.
    order: BTreeSet<(u64, Team)>,
    /// The virtual time of the last item served.
    pass: u64,
    /// The next order of arrival.
    next: u64,
    len: usize,
}

impl<T> Queue<T> {
    /// Makes an empty queue.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            lines: HashMap::default(),
            order: BTreeSet::new(),
            pass: 0,
            next: 0,
            len: 0,
        }
    }

    /// Sets the limits; items over a smaller limit stay.
    pub const fn set_limits(&mut self, limits: Limits) {
        self.limits = limits;
    }

    /// Returns how many items wait.
    pub const fn len(&self) -> usize {
        self.len
    }

    /// Tells whether nothing waits.
    pub const fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Adds an item of a team with the given weight.
    ///
    /// # Errors
    ///
    /// Fails where the team's limit is reached, or the whole limit and no line is longer than the
    /// team's own.
    ///
    /// See also [`Self::pop`] and [`Self::cancel`].
    pub fn push(
        &mut self,
        team: &Team,
        weight: u32,
        deadline: Timestamp,
        item: T,
    ) -> Result<Pushed<T>, Full> {
        let own = self.lines.get(team).map_or(0, |line| line.items.len());
        let limit = self.limits.team;
        if own >= limit && limit < self.limits.total {
            return Err(Full::Team { limit });
        }
        let displaced = self.make_room(own)?;
        let place = (deadline, self.next);
        self.next += 1;
        self.insert(team, weight, place, item);
        let ticket = Ticket {
            team: team.clone(),
            place,
        };
        Ok(Pushed { ticket, displaced })
    }

    /// Returns the item that is taken next.
    pub fn first(&self) -> Option<&T> {
        let (_, team) = self.order.first()?;
        let line = self.lines.get(team)?;
        line.items.first_key_value().map(|(_, item)| item)
    }

    /// Takes the next item and its deadline.
    ///
    /// See also [`Self::push`].
    pub fn pop(&mut self) -> Option<(Timestamp, T)> {
        let (pass, team) = self.order.pop_first()?;
        self.pass = self.pass.max(pass);
        let line = self.lines.get_mut(&team)?;
        let ((deadline, _), item) = line.pop()?;
        let pass = line.pass;
        let empty = line.items.is_empty();
        self.len -= 1;
        if empty {
            self.forget_idle();
        } else {
            self.order.insert((pass, team));
        }
        Some((deadline, item))
    }

    /// Takes an item back; `None` where it has left the queue already.
    pub fn cancel(&mut self, ticket: &Ticket) -> Option<T> {
        let line = self.lines.get_mut(&ticket.team)?;
        let item = line.items.remove(&ticket.place)?;
        self.len -= 1;
        if line.items.is_empty() {
            self.order.remove(&(line.pass, ticket.team.clone()));
        }
        Some(item)
    }

    /// Estimates how many items a new one would wait behind, given the shares of the teams.
    pub fn ahead(&self, team: &Team, weight: u32, deadline: Timestamp) -> usize {
        let own = self.lines.get(team).map_or(0, |line| line.ahead(deadline));
        let weight = usize::try_from(weight.max(1)).unwrap_or(usize::MAX);
        let share = |line: &Line<T>| {
            let other = usize::try_from(line.weight).unwrap_or(usize::MAX);
            let fair = (own + 1).saturating_mul(other).div_ceil(weight);
            line.items.len().min(fair)
        };
        let others = self.lines.iter().filter(|(name, _)| *name != team);
        own + others.map(|(_, line)| share(line)).sum::<usize>()
    }

    /// Makes room for an item of a team whose line holds `own` items.
    fn make_room(&mut self, own: usize) -> Result<Option<T>, Full> {
        let limit = self.limits.total;
        if self.len < limit {
            return Ok(None);
        }
        let longest = self
            .lines
            .iter()
            .max_by_key(|(name, line)| (line.items.len(), *name))
            .filter(|(_, line)| line.items.len() > own + 1)
            .map(|(name, _)| name.clone());
        let Some(longest) = longest else {
            return Err(Full::Total { limit });
        };
        let displaced = self.lines.get_mut(&longest).and_then(Line::pop_last);
        self.len -= usize::from(displaced.is_some());
        Ok(displaced)
    }

    fn insert(&mut self, team: &Team, weight: u32, place: Place, item: T) {
        let pass = self.pass;
        let line = self
            .lines
            .entry(team.clone())
            .or_insert_with(|| Line::new(pass, weight));
        line.weight = weight.max(1);
        if line.items.is_empty() {
            // A team that was idle saves up no claim on the service.
            line.pass = line.pass.max(pass);
            self.order.insert((line.pass, team.clone()));
        }
        line.items.insert(place, item);
        self.len += 1;
    }

    /// Drops idle lines whose virtual time the others have passed, so that memory stays bounded.
    fn forget_idle(&mut self) {
        let pass = self.pass;
        self.lines
            .retain(|_, line| !line.items.is_empty() || line.pass > pass);
    }
}
