//! Requests and notifications to the owner of the cell.

use std::time::Duration;

use fulmarpier_cell::id::Epoch;
use tokio::time::{
    Instant,
    sleep,
    timeout, //
};

use super::{
    Frontend,
    Refusal, //
};
use crate::{
    message::{
        self,
        Reply,
        Request, //
    },
    owner,
    platform::Platform,
};

/// The timeout of one call to the owner.
const OWNER_CALL_TIMEOUT: Duration = Duration::from_millis(600);
/// The pause between two calls to the owner.
const OWNER_RETRY_PAUSE: Duration = Duration::from_millis(50);
/// How long a request waits for a reachable owner. Callers retry by themselves after that.
const MAX_OWNER_WAIT: Duration = Duration::from_millis(1_500);
/// How many attempts to notify the owner may fail. After that, the owner learns of the record when it reads the store.
const MAX_NOTIFICATION_FAILURES: u32 = 6;
/// How long a change of ownership may go unnoticed on this node: it sends hellos to the owner at most 0.7 s apart,
/// and a frozen or disconnected owner may stay silent for as long again.
const MAX_REPLACEMENT_DELAY: Duration = Duration::from_millis(1_500);

impl<P: Platform> Frontend<P> {
    /// Sends a request to the owner and retries for up to [`MAX_OWNER_WAIT`] while the owner can't be reached.
    ///
    /// `request` builds the request for each attempt from the time that has passed since the first one.
    pub(super) async fn ask_owner(
        &self,
        request: impl Fn(Duration) -> Request,
    ) -> Result<Reply, Refusal> {
        let began = Instant::now();
        let deadline = began + MAX_OWNER_WAIT;
        loop {
            if let Some(reply) = self.ask_owner_once(&request(began.elapsed())).await {
                return Ok(reply);
            }
            if Instant::now() + OWNER_RETRY_PAUSE >= deadline {
                return Err(Refusal::NoOwner);
            }
            sleep(OWNER_RETRY_PAUSE).await;
        }
    }

    /// Sends a request to the owner once; returns `None` if the owner is unknown or didn't answer.
    pub(super) async fn ask_owner_once(&self, request: &Request) -> Option<Reply> {
        self.ask_owner_within(request, OWNER_CALL_TIMEOUT).await
    }

    /// Sends a request to the owner once, with a time limit for another node's answer.
    pub(super) async fn ask_owner_within(
        &self,
        request: &Request,
        time_limit: Duration,
    ) -> Option<Reply> {
        if let Some(engine) = self.shared.engine_handle() {
            return owner::handle_request(&engine, request.clone()).await;
        }
        let address = self.shared.claim.borrow().as_ref()?.address;
        if address == self.shared.address {
            return None;
        }
        let reply = message::send(&self.shared.rpc, address, request, time_limit).await;
        reply
            .ok()
            .filter(|reply| !matches!(reply, Reply::NotOwner { .. }))
    }

    /// Sends the owner a notification in the background, without retries.
    pub(super) fn notify_owner_once(&self, request: Request) {
        let frontend = self.clone();
        tokio::spawn(async move {
            let _ = frontend.ask_owner_once(&request).await;
        });
    }

    /// Notifies the owner of a stored record in the background, with retries; notifies the next owner too if the
    /// ownership changes shortly afterwards.
    ///
    /// The notification may reach an owner that has been replaced without knowing it, after its successor has read the
    /// stored records. The successor would learn of the record only when it reads the partition again, up to 2 s later,
    /// but a cancellation must take effect within 3 s.
    pub(super) fn notify_owner(&self, request: Request) {
        let frontend = self.clone();
        tokio::spawn(async move {
            let mut failures = 0;
            while failures < MAX_NOTIFICATION_FAILURES {
                let epoch = frontend.shared.epoch();
                if frontend.ask_owner_once(&request).await.is_none() {
                    failures += 1;
                    sleep(OWNER_RETRY_PAUSE * 4).await;
                } else if !frontend.is_replaced(epoch).await {
                    return;
                }
            }
        });
    }

    /// Waits up to [`MAX_REPLACEMENT_DELAY`] for a claim with a higher epoch and returns whether there is one.
    async fn is_replaced(&self, epoch: Epoch) -> bool {
        let mut claims = self.shared.claim.subscribe();
        let newer = claims.wait_for(|claim| claim.as_ref().is_some_and(|c| c.epoch > epoch));
        timeout(MAX_REPLACEMENT_DELAY, newer).await.is_ok()
    }
}
