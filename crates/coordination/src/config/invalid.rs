//! Why a configuration is not acceptable by itself.

use fulmarpier_state::{
    id::{
        NodeId,
        WorkerId, //
    },
    name::{
        Service,
        Team, //
    },
};

/// The ways in which a change or the document that it leads to can be wrong.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Invalid {
    /// A value that must not be zero is zero.
    #[error("`{path}` must not be zero; to stop work, drain the workers or remove the entry")]
    Zero {
        /// The place of the value.
        path: String,
    },
    /// A value is over its bound.
    #[error("`{path}` is {found}, the most is {most}")]
    TooLarge {
        /// The place of the value.
        path: String,
        /// The value as given.
        found: String,
        /// The largest value accepted.
        most: String,
    },
    /// The team is not known.
    #[error("there is no team `{team}`")]
    UnknownTeam {
        /// The name as given.
        team: Team,
    },
    /// The service is not known.
    #[error("there is no service `{service}`")]
    UnknownService {
        /// The name as given.
        service: Service,
    },
    /// The team still owns a service.
    #[error("team `{team}` owns service `{service}`; give it another owner or remove it first")]
    TeamInUse {
        /// The team.
        team: Team,
        /// A service that it owns.
        service: Service,
    },
    /// The worker is not drained.
    #[error("worker {worker} is not drained")]
    WorkerNotDrained {
        /// The worker.
        worker: WorkerId,
    },
    /// The node is not drained.
    #[error("node {node} is not drained")]
    NodeNotDrained {
        /// The node.
        node: NodeId,
    },
    /// The worker is not quarantined.
    #[error("worker {worker} is not quarantined")]
    NotQuarantined {
        /// The worker.
        worker: WorkerId,
    },
    /// A proposal without a change.
    #[error("the proposal changes nothing")]
    Empty,
    /// A proposal with more changes than [`super::Proposal::MAX_CHANGES`].
    #[error("the proposal has {found} changes, the most is {most}")]
    ManyChanges {
        /// How many there are.
        found: usize,
        /// How many are accepted.
        most: usize,
    },
}

impl Invalid {
    /// Refuses a zero at `path.field`.
    pub(super) fn non_zero(path: &str, field: &str, value: u64) -> Result<(), Self> {
        if value == 0 {
            return Err(Self::Zero {
                path: format!("{path}.{field}"),
            });
        }
        Ok(())
    }
}
