//! Workspaces: their API keys and their limits on running tasks.

use std::{
    collections::BTreeMap,
    fmt,
    sync::Arc, //
};

use fulmarpier_state::{
    alias::HashMap,
    name::Name,
    quota::Limit, //
};
use serde::{
    Deserialize,
    Serialize, //
};
use sha2::{
    Digest as _,
    Sha256, //
};

/// The name of a workspace.
pub type WorkspaceName = Name;

/// A workspace.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Workspace {
    /// Its name, the same in all versions of the configuration.
    pub name: WorkspaceName,
    /// The limit on what its tasks use together across all workers, and its weight relative to other workspaces.
    pub limit: Limit,
}

/// The SHA-256 digest of an API key.
///
/// Keys are looked up by their digest and never stored, so that no record or log discloses one. The duration of a
/// look-up does not reveal how much of a guessed key is correct.
#[derive(Clone, Copy, PartialEq, Eq, Hash)]
pub struct KeyDigest([u8; 32]);

impl KeyDigest {
    /// The number of bytes that logs show.
    const LOGGED_BYTES: usize = 4;

    /// Returns the digest of a key.
    pub fn of(key: &str) -> Self {
        Self(Sha256::digest(key).into())
    }
}

impl fmt::Display for KeyDigest {
    /// Writes the beginning of the digest, by which an operator who has the key finds it in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let mut shown = self.0.iter().take(Self::LOGGED_BYTES);
        shown.try_for_each(|byte| write!(f, "{byte:02x}"))
    }
}

impl fmt::Debug for KeyDigest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "KeyDigest({self})")
    }
}

/// The workspaces of one version of the configuration, with their keys.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Directory {
    workspaces: BTreeMap<WorkspaceName, Arc<Workspace>>,
    keys: HashMap<KeyDigest, WorkspaceName>,
}

impl Directory {
    /// Adds a workspace with its keys; a key that already belongs to another workspace stays with that one.
    pub fn add(&mut self, workspace: Workspace, keys: impl IntoIterator<Item = KeyDigest>) {
        for key in keys {
            let name = || workspace.name.clone();
            self.keys.entry(key).or_insert_with(name);
        }
        self.workspaces
            .insert(workspace.name.clone(), Arc::new(workspace));
    }

    /// Returns the workspace that a key belongs to.
    pub fn holder(&self, key: &KeyDigest) -> Option<&Arc<Workspace>> {
        self.workspaces.get(self.keys.get(key)?)
    }

    /// Returns all workspaces.
    pub fn workspaces(&self) -> impl Iterator<Item = &Arc<Workspace>> {
        self.workspaces.values()
    }
}

/// Returns whether callers of the workspace `viewer` may see what belongs to `holder`; everyone sees what belongs to no
/// workspace.
pub fn is_seen_by(viewer: Option<&WorkspaceName>, holder: Option<&WorkspaceName>) -> bool {
    holder.is_none() || holder == viewer
}
