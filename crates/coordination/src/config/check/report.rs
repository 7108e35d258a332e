//! The check as a whole.

use fulmarpier_state::refusal::{
    Reason,
    Refusal, //
};

use super::{
    Finding,
    Impact,
    Token,
    Usage,
    capacity,
    services,
    teams, //
};
use crate::config::{
    Change,
    Document,
    Invalid,
    Proposal,
    Version, //
};

/// What a check found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Report {
    /// The version that was checked against; the proposal is based on it.
    pub base: Version,
    /// The document that the changes lead to.
    pub document: Document,
    /// What the changes would do.
    pub impact: Impact,
    /// What confirms the changes, where that is needed.
    pub token: Option<Token>,
}

impl Report {
    /// Returns whether the changes may be published with this confirmation.
    ///
    /// # Errors
    ///
    /// A [`Refusal`] with [`Reason::Unconfirmed`] where the changes are wide and the token is missing
    /// or void; its detail holds the findings, never the token, which only a dry run prints.
    pub fn confirm(&self, token: Option<Token>) -> Result<(), Refusal> {
        if self.token.is_none() || self.token == token {
            return Ok(());
        }
        let state = match token {
            None => "it needs the token that a dry run prints",
            Some(_) => "the token is void: the configuration or the effect is another by now",
        };
        let detail = format!("{state}: {}", self.impact.lines().join("; "));
        Err(Refusal::new(Reason::Unconfirmed, detail))
    }
}

/// Checks changes by themselves and against what runs.
///
/// # Errors
///
/// [`Invalid`] where the changes are not acceptable whatever runs.
pub fn run(
    base: Version,
    document: &Document,
    changes: &[Change],
    usage: &Usage,
) -> Result<Report, Invalid> {
    Proposal::check_count(changes.len())?;
    let next = document.with(changes)?;
    let mut impact = Impact::default();
    teams::find(document, &next, usage, &mut impact.findings);
    services::find(document, &next, usage, &mut impact.findings);
    capacity::find(document, &next, usage, &mut impact.findings);
    if usage.partial {
        impact.findings.push(Finding::Partial);
    }
    let token = impact.is_wide().then(|| Token::of(base, changes, &impact));
    Ok(Report {
        base,
        document: next,
        impact,
        token,
    })
}
