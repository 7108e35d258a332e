//! Everything that a change would do.

use super::{
    Finding,
    Severity, //
};
use crate::config::Share;

/// How far a change reaches.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Radius {
    /// Which part of all processors it takes out of service.
    pub capacity: Share,
    /// How many teams it pushes below what they use or have waiting.
    pub teams: usize,
    /// How many services it leaves without a target.
    pub services: usize,
}

/// Everything that a change would do, in a fixed order.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Impact {
    /// The findings.
    pub findings: Vec<Finding>,
}

impl Impact {
    /// Returns whether the change needs a confirmation.
    pub fn is_wide(&self) -> bool {
        self.findings
            .iter()
            .any(|finding| finding.severity() == Severity::Wide)
    }

    /// Returns how far the change reaches.
    pub fn radius(&self) -> Radius {
        let mut radius = Radius::default();
        for finding in &self.findings {
            match finding {
                Finding::CapacityLost { share, .. } => radius.capacity = *share,
                Finding::QuotaBelowUsage { .. }
                | Finding::QuotaBelowTask { .. }
                | Finding::TeamRemoved { .. }
                | Finding::Unplaceable { .. } => radius.teams += 1,
                Finding::ServiceDark { .. } | Finding::ServiceRemoved { .. } => {
                    radius.services += 1
                }
                _ => {}
            }
        }
        radius
    }

    /// Returns the findings as lines for people, hints included.
    pub fn lines(&self) -> Vec<String> {
        let line = |finding: &Finding| match finding.hint() {
            Some(hint) => format!("{finding}; {hint}"),
            None => finding.to_string(),
        };
        self.findings.iter().map(line).collect()
    }
}
