//! Jobs: submitted, followed to their end, and services cancelled after a while.

use std::time::Duration;

use fulmarpier_protocol::{
    http::job::{
        Accepted,
        Raw,
        Service,
        Size,
        State,
        View, //
    },
    settings::value::Url,
};
use fulmarpier_state::{
    id::JobId,
    unit::Span, //
};
use rand::rngs::StdRng;
use reqwest::StatusCode;
use tokio::time::{
    Instant,
    sleep, //
};

use super::{
    Answered,
    Caller,
    MARGIN, //
};
use crate::{
    arrival::{
        Arrival,
        exponential, //
    },
    call::End,
    kind::Kind,
    prepare::EXTRA,
};

/// How long one question for a job waits for its end.
const WAIT: Span = Span::from_secs(20);
/// How long to wait before asking again where a question failed.
const PAUSE: Duration = Duration::from_millis(200);
/// How long the targets of a service run before they are cancelled.
const SERVICE_AGE: Duration = Duration::from_secs(2);
/// How many tasks a service has.
const SERVICE_TASKS: u32 = 1;

/// What is known of a job that was asked for.
enum Known {
    /// The job.
    View(Box<View>),
    /// Nobody knows it.
    Vanished,
    /// No answer came.
    Nothing,
}

impl Caller {
    /// Submits a job and follows it to its end.
    pub(super) async fn job(
        &self,
        arrival: &Arrival,
        is_repeatable: bool,
        rng: &mut StdRng,
    ) -> Answered {
        let raw = self.declaration(arrival, is_repeatable, rng);
        let timeout = self.settings.job.deadline.get() + MARGIN;
        let call = |gate: &Url| {
            let call = self.http.post(gate.join("/v1/jobs"));
            call.timeout(timeout).json(&raw)
        };
        let response = match self.send(arrival, call).await {
            Ok(response) => response,
            Err(error) => return Answered::failed(&error),
        };
        if !response.status().is_success() {
            return Answered::refused(response).await;
        }
        let accepted = Answered::new(End::Unfinished);
        let Ok(Accepted { job, .. }) = response.json().await else {
            return Answered::broken("cut-answer");
        };
        let end = match arrival.kind {
            Kind::Service => self.stop(arrival, job).await,
            _ => self.follow(arrival, job).await,
        };
        Answered {
            end,
            job: Some(job.0),
            ..accepted
        }
    }

    fn declaration(&self, arrival: &Arrival, is_repeatable: bool, rng: &mut StdRng) -> Raw {
        let shape = &self.settings.job;
        let runtime = exponential(rng, shape.runtime.get().as_secs_f64());
        let teams = u64::try_from(shape.teams.len()).unwrap_or(1);
        let team = usize::try_from(arrival.seed / 4 % teams).unwrap_or(0);
        let tasks = match arrival.kind {
            Kind::Gang => shape.gang_tasks,
            Kind::Service => SERVICE_TASKS,
            _ => shape.batch_tasks,
        };
        let is_service = arrival.kind == Kind::Service;
        Raw {
            // Every other pair of jobs leaves the choice of the id, and so of the shard, to the gate.
            id: (arrival.seed & 2 == 0).then(|| arrival.id.to_string()),
            team: shape.teams[team].to_string(),
            kind: arrival.kind.word().to_owned(),
            tasks: Some(tasks.into()),
            size: Size {
                cpu: shape.size.cpu.to_string(),
                memory: shape.size.memory.to_string(),
                accelerators: shape.size.accelerators.into(),
            },
            runtime: (!is_service).then(|| Span::from(runtime).to_string()),
            deadline: (!is_service).then(|| shape.deadline.to_string()),
            idempotent: Some(is_repeatable),
            program: "load".to_owned(),
            service: is_service.then(|| Service {
                name: EXTRA.to_owned(),
                slots: Some(1),
                port: 0,
            }),
            ..Raw::default()
        }
    }

    /// Asks for a job until it has ended.
    async fn follow(&self, arrival: &Arrival, job: JobId) -> End {
        while Instant::now() < self.until {
            match self.ask(arrival, job).await {
                Known::View(view) if view.state == State::Succeeded => return End::Succeeded,
                Known::View(view) if view.state.is_ended() => return End::Failed,
                Known::View(_) => {}
                Known::Vanished => return End::Vanished,
                Known::Nothing => sleep(PAUSE).await,
            }
        }
        End::Unfinished
    }

    /// Lets a service run for a while, then cancels it.
    async fn stop(&self, arrival: &Arrival, job: JobId) -> End {
        sleep(SERVICE_AGE).await;
        let path = format!("/v1/jobs/{job}");
        while Instant::now() < self.until {
            let call = |gate: &Url| self.http.delete(gate.join(&path)).timeout(MARGIN);
            let answer = self.send(arrival, call).await;
            match answer.map(|response| response.status()) {
                Ok(StatusCode::NOT_FOUND) => return End::Vanished,
                Ok(status) if status.is_success() => return End::Cancelled,
                _ => sleep(PAUSE).await,
            }
        }
        End::Unfinished
    }

    async fn ask(&self, arrival: &Arrival, job: JobId) -> Known {
        let left = self.until.saturating_duration_since(Instant::now());
        let wait = Span::from(left).min(WAIT);
        let path = format!("/v1/jobs/{job}?wait={wait}");
        let timeout = wait.get() + MARGIN;
        let call = |gate: &Url| self.http.get(gate.join(&path)).timeout(timeout);
        let Ok(response) = self.send(arrival, call).await else {
            return Known::Nothing;
        };
        match response.status() {
            StatusCode::OK => match response.json().await {
                Ok(view) => Known::View(Box::new(view)),
                Err(_) => Known::Nothing,
            },
            StatusCode::NOT_FOUND => Known::Vanished,
            _ => Known::Nothing,
        }
    }
}
