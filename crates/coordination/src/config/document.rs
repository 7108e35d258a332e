//! The whole configuration.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

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
    Change,
    Invalid,
    Limits,
    Policy,
    Service,
    Team,
    Weights,
    service,
    team, //
};

/// The workers and nodes that run dry by command.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Drained {
    /// The workers.
    pub workers: BTreeSet<WorkerId>,
    /// The nodes.
    pub nodes: BTreeSet<NodeId>,
}

/// The whole configuration that operators agree on; JSON outside.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Document {
    /// The teams by name.
    pub teams: BTreeMap<name::Team, Team>,
    /// The services by name.
    pub services: BTreeMap<name::Service, Service>,
    /// How placement weighs its aims.
    pub weights: Weights,
    /// Which means placement may use.
    pub policy: Policy,
    /// Bounds on what callers may ask for.
    pub limits: Limits,
    /// What runs dry by command.
    pub drained: Drained,
    /// Workers that get no new work until they are released.
    pub quarantined: BTreeSet<WorkerId>,
}

impl Document {
    /// Returns the document that the changes lead to, in their order.
    ///
    /// # Errors
    ///
    /// The first [`Invalid`] met; none of the changes is then made.
    pub fn with(&self, changes: &[Change]) -> Result<Self, Invalid> {
        let mut next = self.clone();
        for change in changes {
            change.apply(&mut next)?;
        }
        Ok(next)
    }

    /// Checks a document as a whole, as when it comes from outside.
    ///
    /// # Errors
    ///
    /// The first [`Invalid`] met.
    pub fn validate(&self) -> Result<(), Invalid> {
        for (name, team) in &self.teams {
            team.validate(&format!("teams.{name}"))?;
        }
        for (name, service) in &self.services {
            service.validate(&format!("services.{name}"))?;
            self.check_owner(service)?;
        }
        self.weights.validate()?;
        self.limits.validate()
    }

    /// Returns whether a worker may be given new work.
    pub fn takes_work(&self, worker: WorkerId) -> bool {
        !self.drained.workers.contains(&worker) && !self.quarantined.contains(&worker)
    }

    pub(super) fn set_team(
        &mut self,
        name: &name::Team,
        patch: &team::Patch,
    ) -> Result<(), Invalid> {
        let team = self.teams.entry(name.clone()).or_default();
        team.apply(patch);
        team.validate(&format!("teams.{name}"))
    }

    pub(super) fn remove_team(&mut self, name: &name::Team) -> Result<(), Invalid> {
        let owned = |service: &Service| service.team.as_ref() == Some(name);
        if let Some((service, _)) = self.services.iter().find(|(_, service)| owned(service)) {
            return Err(Invalid::TeamInUse {
                team: name.clone(),
                service: service.clone(),
            });
        }
        let removed = self.teams.remove(name);
        removed
            .map(drop)
            .ok_or_else(|| Invalid::UnknownTeam { team: name.clone() })
    }

    pub(super) fn set_service(
        &mut self,
        name: &name::Service,
        patch: &service::Patch,
    ) -> Result<(), Invalid> {
        let service = self.services.entry(name.clone()).or_default();
        service.apply(patch);
        service.validate(&format!("services.{name}"))?;
        let service = service.clone();
        self.check_owner(&service)
    }

    pub(super) fn remove_service(&mut self, name: &name::Service) -> Result<(), Invalid> {
        let removed = self.services.remove(name);
        removed.map(drop).ok_or_else(|| Invalid::UnknownService {
            service: name.clone(),
        })
    }

    pub(super) fn undrain_worker(&mut self, worker: WorkerId) -> Result<(), Invalid> {
        if self.drained.workers.remove(&worker) {
            return Ok(());
        }
        Err(Invalid::WorkerNotDrained { worker })
    }

    pub(super) fn undrain_node(&mut self, node: NodeId) -> Result<(), Invalid> {
        if self.drained.nodes.remove(&node) {
            return Ok(());
        }
        Err(Invalid::NodeNotDrained { node })
    }

    pub(super) fn release(&mut self, worker: WorkerId) -> Result<(), Invalid> {
        if self.quarantined.remove(&worker) {
            return Ok(());
        }
        Err(Invalid::NotQuarantined { worker })
    }

    fn check_owner(&self, service: &Service) -> Result<(), Invalid> {
        match &service.team {
            Some(team) if !self.teams.contains_key(team) => {
                Err(Invalid::UnknownTeam { team: team.clone() })
            }
            _ => Ok(()),
        }
    }
}
