//! The stand-in for the list of VMs, which lags.

use std::{
    collections::VecDeque,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use fulmarpier_coordination::platform::vm::{
    Entry,
    List,
    Role,
    State, //
};
use fulmarpier_state::clock::Timestamp;

use crate::fault::Listed;

/// How many past states of the list are kept.
const HISTORY: usize = 64;

/// The list and its recent past.
#[derive(Clone, Debug, Default)]
pub struct Vms(Arc<Mutex<Inner>>);

#[derive(Debug, Default)]
struct Inner {
    all: Vec<(Entry, Listed)>,
    past: VecDeque<List>,
}

impl Vms {
    /// Lists VMs, those anew whose role is known.
    pub fn list(&self, now: Timestamp, entries: Vec<Entry>) {
        let roles: Vec<Role> = entries.iter().map(|entry| entry.role).collect();
        self.change(now, |all| {
            all.retain(|(known, _)| !roles.contains(&known.role));
            all.extend(entries.into_iter().map(|entry| (entry, Listed::Live)));
        });
    }

    /// Changes how a VM is listed.
    pub fn mark(&self, now: Timestamp, role: Role, listed: Listed) {
        self.change(now, |all| {
            for (entry, state) in all {
                if entry.role == role {
                    *state = listed;
                }
            }
        });
    }

    /// Returns the list as it was `lag` ago.
    ///
    /// Where nothing had changed since, its time is that of the lag and not of the last change.
    pub fn seen(&self, now: Timestamp, lag: Duration) -> List {
        let as_of = now.saturating_sub(lag);
        let inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let then = inner.past.iter().rev().find(|list| list.as_of <= as_of);
        // Before anything was listed, the first state stands.
        let then = then.or(inner.past.front());
        List {
            as_of,
            entries: then.map(|list| list.entries.clone()).unwrap_or_default(),
        }
    }

    fn change(&self, now: Timestamp, act: impl FnOnce(&mut Vec<(Entry, Listed)>)) {
        let mut inner = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        act(&mut inner.all);
        let entries = inner.all.iter().filter_map(visible).collect();
        if inner.past.len() == HISTORY {
            inner.past.pop_front();
        }
        if inner.past.back().is_some_and(|last| last.as_of == now) {
            inner.past.pop_back();
        }
        inner.past.push_back(List {
            as_of: now,
            entries,
        });
    }
}

fn visible((entry, listed): &(Entry, Listed)) -> Option<Entry> {
    let state = match listed {
        Listed::Live => State::Live,
        Listed::Leaving => State::Leaving,
        Listed::Gone => return None,
    };
    Some(Entry {
        state,
        ..entry.clone()
    })
}
