//! One change to the configuration.

use std::fmt;

use fulmarpier_state::{
    id::{
        NodeId,
        WorkerId, //
    },
    name, //
};
use serde::{
    Deserialize,
    Serialize, //
};

use super::{
    Document,
    Invalid,
    Key,
    limits,
    policy,
    service,
    team,
    weights, //
};

/// One change to the configuration, as a command asks for it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case", deny_unknown_fields)]
pub enum Change {
    /// Makes a team or changes it.
    SetTeam {
        /// Its name.
        name: name::Team,
        /// What changes.
        patch: team::Patch,
    },
    /// Removes a team.
    RemoveTeam {
        /// Its name.
        name: name::Team,
    },
    /// Makes a service or changes it.
    SetService {
        /// Its name.
        name: name::Service,
        /// What changes.
        patch: service::Patch,
    },
    /// Removes a service.
    RemoveService {
        /// Its name.
        name: name::Service,
    },
    /// Changes the weights.
    SetWeights {
        /// What changes.
        patch: weights::Patch,
    },
    /// Changes the policy switches.
    SetPolicy {
        /// What changes.
        patch: policy::Patch,
    },
    /// Changes the limits.
    SetLimits {
        /// What changes.
        patch: limits::Patch,
    },
    /// Lets a worker run dry.
    DrainWorker {
        /// The worker.
        worker: WorkerId,
    },
    /// Takes a worker back into service.
    UndrainWorker {
        /// The worker.
        worker: WorkerId,
    },
    /// Lets a node run dry.
    DrainNode {
        /// The node.
        node: NodeId,
    },
    /// Takes a node back into service.
    UndrainNode {
        /// The node.
        node: NodeId,
    },
    /// Keeps a suspect worker from new work until it is released.
    Quarantine {
        /// The worker.
        worker: WorkerId,
    },
    /// Ends a quarantine.
    Release {
        /// The worker.
        worker: WorkerId,
    },
}

impl Change {
    /// Returns what the change touches.
    pub fn keys(&self) -> Vec<Key> {
        match self {
            Self::SetTeam { name, .. } | Self::RemoveTeam { name } => vec![Key::Team(name.clone())],
            Self::SetService { name, .. } | Self::RemoveService { name } => {
                vec![Key::Service(name.clone())]
            }
            Self::SetWeights { .. } => vec![Key::Weights],
            Self::SetPolicy { .. } => vec![Key::Policy],
            Self::SetLimits { .. } => vec![Key::Limits],
            Self::DrainWorker { worker } | Self::Quarantine { worker } => {
                vec![Key::Worker(*worker), Key::Capacity]
            }
            Self::UndrainWorker { worker } | Self::Release { worker } => vec![Key::Worker(*worker)],
            Self::DrainNode { node } => vec![Key::Node(*node), Key::Capacity],
            Self::UndrainNode { node } => vec![Key::Node(*node)],
        }
    }

    /// Applies the change to a document.
    ///
    /// # Errors
    ///
    /// [`Invalid`] where the change names something that is not there or leads to a value that is
    /// not accepted. The document may then be changed in part; the caller works on a copy.
    pub(super) fn apply(&self, document: &mut Document) -> Result<(), Invalid> {
        match self {
            Self::SetTeam { name, patch } => document.set_team(name, patch),
            Self::RemoveTeam { name } => document.remove_team(name),
            Self::SetService { name, patch } => document.set_service(name, patch),
            Self::RemoveService { name } => document.remove_service(name),
            Self::SetWeights { patch } => {
                document.weights.apply(patch);
                document.weights.validate()
            }
            Self::SetPolicy { patch } => {
                document.policy.apply(patch);
                Ok(())
            }
            Self::SetLimits { patch } => {
                document.limits.apply(patch);
                document.limits.validate()
            }
            Self::DrainWorker { worker } => {
                document.drained.workers.insert(*worker);
                Ok(())
            }
            Self::UndrainWorker { worker } => document.undrain_worker(*worker),
            Self::DrainNode { node } => {
                document.drained.nodes.insert(*node);
                Ok(())
            }
            Self::UndrainNode { node } => document.undrain_node(*node),
            Self::Quarantine { worker } => {
                document.quarantined.insert(*worker);
                Ok(())
            }
            Self::Release { worker } => document.release(*worker),
        }
    }
}

impl fmt::Display for Change {
    /// Writes the change as a short phrase for people.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SetTeam { name, .. } => write!(f, "set team {name}"),
            Self::RemoveTeam { name } => write!(f, "remove team {name}"),
            Self::SetService { name, .. } => write!(f, "set service {name}"),
            Self::RemoveService { name } => write!(f, "remove service {name}"),
            Self::SetWeights { .. } => f.write_str("set weight"),
            Self::SetPolicy { .. } => f.write_str("set policy"),
            Self::SetLimits { .. } => f.write_str("set limit"),
            Self::DrainWorker { worker } => write!(f, "drain worker {worker}"),
            Self::UndrainWorker { worker } => write!(f, "undrain worker {worker}"),
            Self::DrainNode { node } => write!(f, "drain node {node}"),
            Self::UndrainNode { node } => write!(f, "undrain node {node}"),
            Self::Quarantine { worker } => write!(f, "quarantine worker {worker}"),
            Self::Release { worker } => write!(f, "release worker {worker}"),
        }
    }
}
