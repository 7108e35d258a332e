//! HTTP clients, one for each address, whose connections can be given up together.
//!
//! A connection may fall silent without a reset while new ones work. Probes of the kernel show it on a
//! connection that stands idle or waits for a late answer; a call that gets no answer in time shows it
//! sooner. Then the other connections to the address are most likely silent too, so all of them are
//! given up: otherwise each would cost a call of its own.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex,
        PoisonError, //
    },
    time::Duration,
};

use fulmarpier_state::alias::HashMap;
use reqwest::Client;
use tokio::time::Instant;

use crate::silence;

/// How long an idle connection is kept.
const IDLE: Duration = Duration::from_secs(20);
/// An address that was not called for this long is forgotten: its worker is gone.
const FORGET: Duration = Duration::from_secs(60);
/// From so many addresses on those that were not called for long are looked for.
const MANY: usize = 64;

/// The bounds of the connections to one address.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClientLimits {
    /// How long a connection may take to be made.
    pub connect: Duration,
    /// How many idle connections are kept.
    pub idle: usize,
}

/// The connections to one address, until they are given up.
#[derive(Clone, Debug)]
pub struct Pool {
    address: SocketAddr,
    generation: u64,
    client: Client,
}

impl Pool {
    /// Returns the client that uses these connections.
    pub const fn client(&self) -> &Client {
        &self.client
    }
}

#[derive(Debug, Default)]
struct State {
    pools: HashMap<SocketAddr, (Pool, Instant)>,
    generation: u64,
}

/// HTTP clients, one for each address; cheap to clone.
#[derive(Clone, Debug)]
pub struct Clients {
    limits: ClientLimits,
    state: Arc<Mutex<State>>,
}

impl Clients {
    /// Makes a set without connections.
    pub fn new(limits: ClientLimits) -> Self {
        Self {
            limits,
            state: Arc::default(),
        }
    }

    /// Returns the connections to an address.
    ///
    /// # Errors
    ///
    /// Fails where the HTTP library can't be set up.
    pub fn pool(&self, address: SocketAddr) -> Result<Pool, reqwest::Error> {
        let now = Instant::now();
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some((pool, used)) = state.pools.get_mut(&address) {
            *used = now;
            return Ok(pool.clone());
        }
        if state.pools.len() >= MANY {
            let is_used = |used: &Instant| now.saturating_duration_since(*used) < FORGET;
            state.pools.retain(|_, (_, used)| is_used(used));
        }
        state.generation += 1;
        let pool = Pool {
            address,
            generation: state.generation,
            client: self.build()?,
        };
        state.pools.insert(address, (pool.clone(), now));
        Ok(pool)
    }

    /// Gives connections up; calls that are on their way go on, further ones connect anew.
    ///
    /// Calls that fail together give up only the connections that they used.
    pub fn give_up(&self, pool: &Pool) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let held = state.pools.get(&pool.address);
        if held.is_some_and(|(held, _)| held.generation == pool.generation) {
            state.pools.remove(&pool.address);
        }
    }

    fn build(&self) -> Result<Client, reqwest::Error> {
        Client::builder()
            .no_proxy()
            .connect_timeout(self.limits.connect)
            .pool_idle_timeout(IDLE)
            .pool_max_idle_per_host(self.limits.idle)
            .tcp_nodelay(true)
            .tcp_keepalive(silence::IDLE)
            .tcp_keepalive_interval(silence::INTERVAL)
            .tcp_keepalive_retries(silence::PROBES)
            .tcp_user_timeout(silence::UNACKNOWLEDGED)
            .build()
    }
}
