//! The programs of one team.

use std::{
    collections::BTreeMap,
    sync::Arc, //
};

use crate::alias::HashMap;

use super::history::History;

/// The histories of a team's programs, and one of all of them together.
#[derive(Clone, Debug, Default)]
pub(super) struct Shelf {
    pub(super) all: History,
    programs: HashMap<Arc<str>, Entry>,
    /// Programs by when they were last heard of.
    order: BTreeMap<u64, Arc<str>>,
}

#[derive(Clone, Debug, Default)]
struct Entry {
    history: History,
    heard: u64,
}

impl Shelf {
    /// Notes that a program is heard of now; returns whether it is new.
    pub(super) fn touch(&mut self, program: &Arc<str>, now: u64) -> bool {
        let is_new = !self.programs.contains_key(program);
        let entry = self.programs.entry(program.clone()).or_default();
        self.order.remove(&entry.heard);
        self.order.insert(now, program.clone());
        entry.heard = now;
        is_new
    }

    /// Returns the histories of a known program and of the whole team.
    pub(super) fn pair(&mut self, program: &str) -> Option<(&mut History, &mut History)> {
        let entry = self.programs.get_mut(program)?;
        Some((&mut entry.history, &mut self.all))
    }

    /// Returns the history of a program, if it is known.
    pub(super) fn get(&self, program: &str) -> Option<&History> {
        self.programs.get(program).map(|entry| &entry.history)
    }

    /// Forgets the program that was not heard of for longest.
    pub(super) fn evict(&mut self) {
        if let Some((_, program)) = self.order.pop_first() {
            self.programs.remove(&program);
        }
    }

    /// Returns how many programs there are.
    pub(super) fn len(&self) -> usize {
        self.programs.len()
    }
}
