//! A job as it came, before its values are checked.

use serde::{
    Deserialize,
    Serialize, //
};
use serde_with::skip_serializing_none;

use crate::http::invalid::{
    Cause,
    Invalid, //
};

/// The size of one task as it came.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Processor time, as in `500m` or `2`.
    pub cpu: String,
    /// Memory, as in `512MiB`.
    pub memory: String,
    /// Whole accelerators.
    #[serde(default)]
    pub accelerators: u64,
}

/// The part of a job that only services have, as it came.
#[skip_serializing_none]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Service {
    /// The name under which callers address the service.
    pub name: String,
    /// How many requests each target takes at once; `None` stands for 8.
    pub slots: Option<u64>,
    /// The port of the target on its worker; zero lets the worker choose.
    #[serde(default)]
    pub port: u64,
}

/// A job as it came; see docs/INTERFACES.md for the meaning of the fields.
#[skip_serializing_none]
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Raw {
    /// The id, where the caller chose one.
    pub id: Option<String>,
    /// The team that owns the job.
    pub team: String,
    /// `batch`, `gang` or `service`.
    pub kind: String,
    /// How many tasks; `None` stands for one.
    pub tasks: Option<u64>,
    /// The size of one task.
    pub size: Size,
    /// `low`, `normal` or `urgent`; `None` stands for `normal`.
    pub priority: Option<String>,
    /// The declared run time of one task.
    pub runtime: Option<String>,
    /// The span from receipt within which the last task must have ended.
    pub deadline: Option<String>,
    /// Whether a task may be started again after it may have run; `None` stands for `true`.
    pub idempotent: Option<bool>,
    /// Whether a task can be checkpointed and resumed.
    #[serde(default)]
    pub checkpoint: bool,
    /// `any`, `racks` or `data-centres`; `None` stands for `any`.
    pub spread: Option<String>,
    /// The program or image to run.
    pub program: String,
    /// Its arguments.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub args: Vec<String>,
    /// The part that only services have.
    pub service: Option<Service>,
}

impl Raw {
    /// Parses a job from its JSON document.
    ///
    /// # Errors
    ///
    /// Fails at the first field that is missing, unknown or of the wrong type, with its path.
    pub fn parse(json: &[u8]) -> Result<Self, Invalid> {
        let mut reader = serde_json::Deserializer::from_slice(json);
        let parsed = serde_path_to_error::deserialize(&mut reader);
        let parsed = parsed.map_err(|error| {
            let path = error.path().to_string();
            (path, error.into_inner())
        });
        let ended = parsed.and_then(|raw| match reader.end() {
            Ok(()) => Ok(raw),
            Err(error) => Err((".".to_owned(), error)),
        });
        ended.map_err(|(path, error)| {
            let message = error.to_string();
            let mut invalid = Invalid::default();
            invalid.push(path, Cause::Json { message });
            invalid
        })
    }
}
