//! What a node asks the owner, and tells it.

use std::time::Duration;

use fulmarpier_cell::id::Epoch;
use tokio::time::{
    Instant,
    sleep,
    timeout, //
};

use super::{
    Front,
    Refusal, //
};
use crate::{
    message::{
        self,
        Question,
        Reply, //
    },
    owner,
    port::Platform,
};

/// How long a call to the owner may take before it is tried anew.
const OWNER_CALL: Duration = Duration::from_millis(600);
/// The pause before the owner is asked again.
const OWNER_AGAIN: Duration = Duration::from_millis(50);
/// How long a question about a job waits for an owner; callers ask again by themselves.
const OWNER_WAIT: Duration = Duration::from_millis(1_500);
/// How often the owner is told of an acceptance; after that it reads of it in the store.
const TELL_TIMES: u32 = 6;
/// For so long an owner may be replaced without this node knowing: it greets the owner each 0.7 s at most, and
/// a frozen or cut-off one may stay silent for as long again.
const REPLACED: Duration = Duration::from_millis(1_500);

impl<P: Platform> Front<P> {
    /// Asks the owner, again where it can't be reached, for as long as callers should wait.
    ///
    /// The question is made anew for each try, with how long ago the first was.
    pub(super) async fn ask_owner(
        &self,
        question: impl Fn(Duration) -> Question,
    ) -> Result<Reply, Refusal> {
        let began = Instant::now();
        let until = began + OWNER_WAIT;
        loop {
            if let Some(reply) = self.ask_once(&question(began.elapsed())).await {
                return Ok(reply);
            }
            if Instant::now() + OWNER_AGAIN >= until {
                return Err(Refusal::NoOwner);
            }
            sleep(OWNER_AGAIN).await;
        }
    }

    pub(super) async fn ask_once(&self, question: &Question) -> Option<Reply> {
        if let Some(seat) = self.shared.seat() {
            return owner::accept(&seat, question.clone()).await;
        }
        let address = self.shared.claim.borrow().as_ref()?.address;
        if address == self.shared.address {
            return None;
        }
        let reply = message::ask(&self.shared.rpc, address, question, OWNER_CALL).await;
        reply
            .ok()
            .filter(|reply| !matches!(reply, Reply::NotOwner { .. }))
    }

    /// Tells the owner something that it can do without.
    pub(super) fn tell_once(&self, question: Question) {
        let front = self.clone();
        tokio::spawn(async move {
            let _ = front.ask_once(&question).await;
        });
    }

    /// Tells the owner of a record, without holding the caller up; the next owner as well, where the cell
    /// changes hands a moment later.
    ///
    /// A word may reach an owner that was replaced without knowing it yet, after its successor has read what
    /// is on record. The successor would hear of it only when it reads the partition again, up to 2 s later,
    /// and a cancellation has to be in force within 3 s.
    pub(super) fn tell(&self, question: Question) {
        let front = self.clone();
        tokio::spawn(async move {
            let mut failures = 0;
            while failures < TELL_TIMES {
                let epoch = front.shared.epoch();
                if front.ask_once(&question).await.is_none() {
                    failures += 1;
                    sleep(OWNER_AGAIN * 4).await;
                } else if !front.is_replaced(epoch).await {
                    return;
                }
            }
        });
    }

    /// Waits for a moment whether another owner comes after the one of an epoch.
    async fn is_replaced(&self, epoch: Epoch) -> bool {
        let mut claims = self.shared.claim.subscribe();
        let newer = claims.wait_for(|claim| claim.as_ref().is_some_and(|c| c.epoch > epoch));
        timeout(REPLACED, newer).await.is_ok()
    }
}
