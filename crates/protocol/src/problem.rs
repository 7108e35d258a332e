//! Refusals as problem details (RFC 9457).

use fulmarpier_state::{
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
    unit::Span,
};
use serde::{
    Deserialize,
    Serialize, //
};

/// The media type of a problem.
pub const CONTENT_TYPE: &str = "application/problem+json";

const TYPE_PREFIX: &str = "urn:fulmarpier:refusal:";
const MICROS_PER_SECOND: u64 = 1_000_000;

/// The way in which the text of a problem can be wrong.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// It is not the JSON document of a problem of this system.
    #[error("not a problem document: {0}")]
    Json(#[from] serde_json::Error),
}

/// A refusal as callers and operators see it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Problem {
    /// A URN that ends in the word of the reason.
    #[serde(rename = "type")]
    pub kind: String,
    /// The reason as a short sentence.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// The particulars.
    pub detail: String,
    /// The reason.
    pub reason: Reason,
    /// What is known of the work.
    pub outcome: Outcome,
    /// When asking again is of use; absent where it is not.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub retry_after: Option<Span>,
    /// What the reader can do about it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub hint: Option<String>,
}

impl Problem {
    /// Parses a problem from its JSON document.
    ///
    /// # Errors
    ///
    /// Fails where the text is not JSON or lacks a field, or where the reason is not known.
    pub fn parse(json: &[u8]) -> Result<Self, Error> {
        Ok(serde_json::from_slice(json)?)
    }

    /// Returns the problem as its JSON document.
    pub fn to_json(&self) -> Vec<u8> {
        serde_json::to_vec(self).unwrap_or_default()
    }

    /// Sets what the reader can do about it.
    ///
    /// # Examples
    ///
    /// ```
    /// use fulmarpier_protocol::problem::Problem;
    /// use fulmarpier_state::refusal::{Reason, Refusal};
    ///
    /// let refusal = Refusal::new(Reason::Command, "unknown word `shwo`");
    /// let problem = Problem::from(&refusal).hint("did you mean `show`?");
    /// assert_eq!(problem.hint.as_deref(), Some("did you mean `show`?"));
    /// ```
    ///
    /// See also [`Self::retry_after_secs`].
    #[must_use]
    pub fn hint(mut self, hint: impl Into<String>) -> Self {
        self.hint = Some(hint.into());
        self
    }

    /// Returns the value of the `Retry-After` header: whole seconds, rounded up.
    pub fn retry_after_secs(&self) -> Option<u64> {
        let span = self.retry_after?;
        Some(span.as_micros().div_ceil(MICROS_PER_SECOND))
    }
}

impl From<&Refusal> for Problem {
    fn from(refusal: &Refusal) -> Self {
        let reason = refusal.reason;
        Self {
            kind: format!("{TYPE_PREFIX}{reason}"),
            title: reason.title().to_owned(),
            status: reason.status(),
            detail: refusal.detail.clone(),
            reason,
            outcome: refusal.outcome,
            retry_after: refusal.retry_after.map(Span::from),
            hint: hint(reason).map(str::to_owned),
        }
    }
}

impl From<Problem> for Refusal {
    fn from(problem: Problem) -> Self {
        Self {
            reason: problem.reason,
            detail: problem.detail,
            outcome: problem.outcome,
            retry_after: problem.retry_after.map(Span::get),
        }
    }
}

/// Returns what a reader can usually do about a reason.
const fn hint(reason: Reason) -> Option<&'static str> {
    Some(match reason {
        Reason::KeyMissing => "send an Idempotency-Key header that is unique to this request",
        Reason::KeyReused => "use a new key for a new request",
        Reason::KeyAged => "find out whether the request ran before sending it under a new key",
        Reason::KeyBusy => "ask again with the same key to get the answer",
        Reason::AlreadyRan => "do not send it again; look up its effect in the service",
        Reason::UnknownTeam => "`show teams` lists the teams",
        Reason::UnknownService => "`show services` lists the services",
        Reason::TooLarge => "`show workers` lists what each worker offers",
        Reason::OverQuota => "`show teams` lists the quotas",
        Reason::Unauthorized => "send Authorization: Bearer with an operator's token",
        Reason::Conflict => "look at the current configuration and repeat the change",
        Reason::Unconfirmed => "run it dry, then repeat it with the token that the dry run gives",
        _ => return None,
    })
}
