//! The first decisions on a request: service, team, deadline and limits.

use std::time::Duration;

use fulmarpier_coordination::config;
use fulmarpier_protocol::http::request::Head;
use fulmarpier_state::{
    clock::Timestamp,
    name::Team,
    refusal::{
        Reason,
        Refusal, //
    },
    unit::Span,
};

use super::upload;
use crate::{
    app::App,
    phase::Phase,
    slot::Ask,
    wait::Limits, //
};

/// Bodies up to this size are kept, so that they can be sent again.
const KEEP: usize = 64 * 1024;
/// How many exchanges with the scheds a request waits for a first slot of its service.
const PATIENCE: u32 = 4;
/// The weight of a team that is not configured.
const DEFAULT_WEIGHT: u32 = 1;

/// What is decided on a request before its body is read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Admission {
    /// The slot that it needs.
    pub ask: Ask,
    /// How much of its body is taken.
    pub limits: upload::Limits,
}

/// Decides whether a request may come in at all.
///
/// # Errors
///
/// Refuses what is for no known service or team, what has no time left, and everything while the
/// gate is leaving.
pub fn admit(app: &App, head: &Head, came: Timestamp) -> Result<Admission, Refusal> {
    if app.phase.get() == Phase::Closed {
        return Err(app.leaving());
    }
    let config = app.config();
    let service = config.services.get(&head.service);
    if service.is_none() && !app.pool.holds(&head.service) {
        if !app.view.borrow().is_informed() {
            return Err(app.uninformed());
        }
        let detail = format!("no service is called {}", head.service);
        return Err(Refusal::new(Reason::UnknownService, detail));
    }
    let default = config::Service::default();
    let service = service.unwrap_or(&default);
    let (team, weight) = team(&config, head, service)?;
    let span = deadline(app, head, service)?;
    let total = service.queue.min(app.settings.limits.queue_per_service);
    let own = config.teams.get(&team).map_or(total, |team| team.queue);
    let patience = app.settings.sync_interval.get() * PATIENCE;
    Ok(Admission {
        ask: Ask {
            service: head.service.clone(),
            team,
            weight,
            deadline: came + span,
            patience,
            limits: Limits {
                total: count(total),
                team: count(own.min(total)),
            },
            refused: Vec::new(),
        },
        limits: upload::Limits {
            keep: KEEP,
            most: app.settings.limits.body.min(config.limits.body),
        },
    })
}

/// Returns the team on whose account a request runs: the one it names, else the service's owner,
/// else one of the service's own name.
fn team(
    config: &config::Document,
    head: &Head,
    service: &config::Service,
) -> Result<(Team, u32), Refusal> {
    if let Some(team) = &head.team {
        let weight = App::weight(config, team)?;
        return Ok((team.clone(), weight));
    }
    let team = service.team.as_ref().unwrap_or(&head.service).clone();
    let weight = config
        .teams
        .get(&team)
        .map_or(DEFAULT_WEIGHT, |team| team.weight);
    Ok((team, weight))
}

fn deadline(app: &App, head: &Head, service: &config::Service) -> Result<Duration, Refusal> {
    let limits = &app.settings.limits;
    let span = head.deadline.unwrap_or(service.deadline);
    if span == Span::default() {
        let detail = "the deadline had passed on arrival";
        return Err(Refusal::new(Reason::Deadline, detail));
    }
    Ok(span.min(limits.max_deadline).get())
}

fn count(limit: u32) -> usize {
    usize::try_from(limit).unwrap_or(usize::MAX)
}
