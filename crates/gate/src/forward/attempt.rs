//! One attempt to have a request answered by a target, and what follows from its failure.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_coordination::{
    credit::End,
    platform::target::Error,
    retry::Plan, //
};
use fulmarpier_state::refusal::{
    Outcome,
    Refusal, //
};
use fulmarpier_transport::platform::target;
use tokio::time::sleep;
use uuid::Uuid;

use super::deliver::Delivery;
use crate::{
    app::App,
    metrics::Retry,
    slot::Held, //
};

/// What is sent to a target, but for its body.
#[derive(Clone, Debug)]
pub struct Envelope {
    /// The id of the request.
    pub id: Uuid,
    /// The method.
    pub method: target::Method,
    /// The path and query at the target.
    pub path: String,
    /// The caller's headers.
    pub headers: target::HeaderMap,
}

/// Why an attempt gave no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub(super) enum Failure {
    /// The lease of the slot, or the time for the request, ended before it was sent.
    #[error("the lease of the slot ended")]
    Lapsed,
    /// The target gave no whole answer.
    #[error(transparent)]
    Target(#[from] Error),
}

impl Envelope {
    /// Makes the request to send, with the time that is left.
    pub(super) fn fill(&self, body: target::Body, left: Duration) -> target::Request {
        target::Request {
            id: self.id,
            method: self.method.clone(),
            path: self.path.clone(),
            headers: self.headers.clone(),
            body,
            deadline: left,
        }
    }
}

impl Failure {
    /// Returns what is known of the request.
    pub(super) const fn outcome(&self) -> Outcome {
        match self {
            Self::Lapsed | Self::Target(Error::Refused | Error::Busy) => Outcome::NotRun,
            Self::Target(Error::Unknown) => Outcome::Unknown,
        }
    }

    /// Returns whether it was the target's, so that another one may do better.
    pub(super) const fn is_of_target(&self) -> bool {
        matches!(self, Self::Target(_))
    }

    /// Returns what is known of the slot.
    const fn end(&self) -> End {
        match self {
            Self::Lapsed => End::Unsent,
            Self::Target(Error::Refused | Error::Busy) => End::Refused,
            Self::Target(Error::Unknown) => End::Unknown,
        }
    }

    const fn retry(&self) -> Retry {
        match self {
            Self::Lapsed => Retry::SlotLapsed,
            Self::Target(Error::Refused) => Retry::TargetRefused,
            Self::Target(Error::Busy) => Retry::TargetBusy,
            Self::Target(Error::Unknown) => Retry::TargetUnknown,
        }
    }
}

/// Sends a request in its slot, once, and reads the answer as far as it is read before it is passed on.
pub(super) async fn send(
    app: Arc<App>,
    mut held: Held,
    request: target::Request,
) -> Result<(Delivery, Held), Failure> {
    let received = exchange(&app, &mut held, request).await;
    match received {
        Ok(delivery) => Ok((delivery, held)),
        Err(failure) => {
            held.ended(failure.end());
            Err(failure)
        }
    }
}

async fn exchange(
    app: &App,
    held: &mut Held,
    request: target::Request,
) -> Result<Delivery, Failure> {
    if request.deadline.is_zero() {
        return Err(Failure::Lapsed);
    }
    let address = held.send().ok_or(Failure::Lapsed)?;
    let answer = app.targets.send(address, request).await?;
    Ok(Delivery::receive(answer).await?)
}

/// Waits for the next attempt, or refuses where there is none.
pub(super) async fn again(app: &App, plan: &mut Plan, failure: &Failure) -> Result<(), Refusal> {
    let now = app.now();
    let none = Duration::ZERO;
    let decided = plan.again(failure.outcome(), &mut app.budget(), now, none, none);
    let pause = decided.map_err(|denied| {
        let refusal = Refusal::new(denied.reason(), format!("{failure}; {denied}"));
        refusal
            .outcome(plan.outcome())
            .retry_after(app.settings.sync_interval.get())
    })?;
    app.metrics.retried(failure.retry());
    sleep(pause).await;
    Ok(())
}
