//! The bound on connections to each target.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
};

use fulmarpier_state::alias::HashMap;
use tokio::sync::Semaphore;

/// How many targets are known before the unused ones are forgotten.
const KEEP: usize = 256;

/// One semaphore for each target, made at its first use.
#[derive(Debug)]
pub(super) struct Pool {
    connections: usize,
    targets: Mutex<HashMap<SocketAddr, Arc<Semaphore>>>,
}

impl Pool {
    pub(super) fn new(connections: usize) -> Self {
        Self {
            connections,
            targets: Mutex::default(),
        }
    }

    /// Returns the semaphore of a target.
    pub(super) fn of(&self, address: SocketAddr) -> Arc<Semaphore> {
        let mut targets = self.targets.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(known) = targets.get(&address) {
            return known.clone();
        }
        if targets.len() >= KEEP {
            // A permit in use holds a second reference.
            targets.retain(|_, semaphore| Arc::strong_count(semaphore) > 1);
        }
        let fresh = Arc::new(Semaphore::new(self.connections));
        targets.insert(address, fresh.clone());
        fresh
    }
}
