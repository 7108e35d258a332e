//! The balancer before the gates: it looks at each gate's readiness and sends callers elsewhere.

use std::{
    sync::{
        Arc,
        atomic::{
            AtomicBool,
            Ordering, //
        },
    },
    time::Duration,
};

use fulmarpier_protocol::settings::value::Url;
use reqwest::Client;
use tokio::time::{
    MissedTickBehavior,
    interval, //
};

/// How often each gate is looked at.
const INTERVAL: Duration = Duration::from_millis(250);

/// The gates and which of them are ready.
#[derive(Clone, Debug)]
pub(crate) struct Balancer {
    gates: Arc<[Gate]>,
}

#[derive(Debug)]
struct Gate {
    url: Url,
    is_ready: AtomicBool,
}

impl Balancer {
    /// Takes all gates as ready until they are looked at.
    pub(crate) fn new(gates: &[Url]) -> Self {
        let gate = |url: &Url| Gate {
            url: url.clone(),
            is_ready: AtomicBool::new(true),
        };
        Self {
            gates: gates.iter().map(gate).collect(),
        }
    }

    /// Looks at the gates for as long as the returned future is polled.
    pub(crate) async fn watch(self, http: Client) {
        let mut ticks = interval(INTERVAL);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            ticks.tick().await;
            for gate in self.gates.iter() {
                let call = http.get(gate.url.join("/readyz")).timeout(INTERVAL);
                let answer = call.send().await;
                let is_ready = answer.is_ok_and(|response| response.status().is_success());
                gate.is_ready.store(is_ready, Ordering::Relaxed);
            }
        }
    }

    /// Returns the gates in the order in which a caller is sent to them: its own first, those that
    /// aren't ready last.
    pub(crate) fn order(&self, seed: u64) -> Vec<&Url> {
        let count = u64::try_from(self.gates.len()).unwrap_or(1);
        let first = usize::try_from(seed % count).unwrap_or(0);
        let (before, from) = self.gates.split_at(first);
        let mut order: Vec<&Gate> = from.iter().chain(before).collect();
        order.sort_by_key(|gate| !gate.is_ready.load(Ordering::Relaxed));
        order.into_iter().map(|gate| &gate.url).collect()
    }
}
