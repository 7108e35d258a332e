//! What jobs of the load look like.

use fulmarpier_state::{
    name::Team,
    resource::Resources,
    unit::{
        Bytes,
        Millicores,
        Span, //
    },
};

use crate::settings::form::{
    Form,
    Section, //
};

/// What batch and gang jobs look like.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Job {
    /// The teams that submit in turn; they are set up before the run.
    pub teams: Vec<Team>,
    /// How many tasks a batch job has.
    pub batch_tasks: u32,
    /// How many tasks a gang has.
    pub gang_tasks: u32,
    /// The size of one task.
    pub size: Resources,
    /// The mean run time of one task.
    pub runtime: Span,
    /// The deadline that is sent along.
    pub deadline: Span,
}

impl Form for Job {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let teams = section.values::<Team>("teams");
        let batch_tasks = section.within("batch_tasks", 4, 1..=10_000);
        let gang_tasks = section.within("gang_tasks", 4, 1..=10_000);
        let cpu = section.or("cpu", Millicores(500));
        let memory = section.or("memory", Bytes::from_mib(256));
        let accelerators = section.or("accelerators", 0);
        let runtime = section.or("runtime", Span::from_millis(200));
        let deadline = section.or("deadline", Span::from_secs(60));
        if let Some(teams) = &teams {
            section.not_empty("teams", teams);
            section.unique("teams", teams);
        }
        Some(Self {
            teams: teams?,
            batch_tasks: batch_tasks?,
            gang_tasks: gang_tasks?,
            size: Resources::new(cpu?, memory?, accelerators?),
            runtime: runtime?,
            deadline: deadline?,
        })
    }
}
