//! Callers: each sends one piece of work and checks what it gets back.

mod job;
mod request;

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_protocol::{
    http::header,
    problem::Problem,
    settings::{
        load::Load as Settings,
        value::Url, //
    },
};
use fulmarpier_state::refusal::Outcome;
use rand::{
    SeedableRng,
    rngs::StdRng, //
};
use reqwest::{
    Client,
    RequestBuilder,
    Response, //
};
use tokio::time::Instant;
use uuid::Uuid;

use crate::{
    arrival::Arrival,
    balancer::Balancer,
    call::{
        Call,
        End,
        Timing, //
    },
    kind::Kind,
};

/// How much longer than its deadline a caller waits for an answer.
const MARGIN: Duration = Duration::from_secs(5);

/// What all callers of a run share.
#[derive(Clone, Debug)]
pub(crate) struct Caller {
    http: Client,
    balancer: Balancer,
    settings: Arc<Settings>,
    /// The wall clock at the start, from the Unix epoch.
    origin: Duration,
    /// The start on the runtime's clock.
    start: Instant,
    /// When nobody waits for anything any more.
    until: Instant,
}

/// What came back for one call, before it is put together with the call.
struct Answered {
    end: End,
    reason: Option<String>,
    timing: Timing,
    /// The id of the job, where the gate may have chosen it.
    job: Option<Uuid>,
    /// When the whole answer was there.
    at: Instant,
}

impl Caller {
    /// Makes the callers of a run that starts now.
    pub(crate) fn new(
        http: Client,
        balancer: Balancer,
        settings: Arc<Settings>,
        origin: Duration,
    ) -> Self {
        let start = Instant::now();
        let until = start + settings.duration.get() + settings.settle.get();
        Self {
            http,
            balancer,
            settings,
            origin,
            start,
            until,
        }
    }

    /// Returns when a call is due.
    pub(crate) fn due(&self, arrival: &Arrival) -> Instant {
        self.start + arrival.at
    }

    /// Sends one piece of work and follows it to its end.
    pub(crate) async fn call(&self, arrival: Arrival) -> Call {
        let mut rng = StdRng::seed_from_u64(arrival.seed);
        let is_repeatable = match arrival.kind {
            Kind::Ordinary => true,
            Kind::Once => false,
            // Every other job may run again, so that both are under load.
            Kind::Batch | Kind::Gang | Kind::Service => arrival.seed.is_multiple_of(2),
        };
        let answered = if arrival.kind.is_job() {
            self.job(&arrival, is_repeatable, &mut rng).await
        } else {
            self.request(&arrival, &mut rng).await
        };
        self.finish(&arrival, is_repeatable, answered)
    }

    /// Notes a call that could not be sent.
    pub(crate) fn unsent(&self, arrival: &Arrival) -> Call {
        self.finish(arrival, true, Answered::new(End::Unsent))
    }

    fn finish(&self, arrival: &Arrival, is_repeatable: bool, answered: Answered) -> Call {
        Call {
            id: answered.job.unwrap_or(arrival.id),
            kind: arrival.kind,
            scheduled: self.origin + arrival.at,
            latency: answered.at.saturating_duration_since(self.due(arrival)),
            is_repeatable,
            end: answered.end,
            reason: answered.reason,
            timing: answered.timing,
        }
    }

    /// Sends a call to the gate that the balancer names, and to the next one where no connection can
    /// be made.
    async fn send(
        &self,
        arrival: &Arrival,
        call: impl Fn(&Url) -> RequestBuilder,
    ) -> reqwest::Result<Response> {
        let mut gates = self.balancer.order(arrival.seed).into_iter();
        // The settings have at least one gate.
        let first = gates.next().unwrap_or(&self.settings.gates[0]);
        let mut answer = call(first).send().await;
        for gate in gates {
            match &answer {
                Err(error) if error.is_connect() => answer = call(gate).send().await,
                _ => break,
            }
        }
        answer
    }
}

impl Answered {
    fn new(end: End) -> Self {
        Self {
            end,
            reason: None,
            timing: Timing::default(),
            job: None,
            at: Instant::now(),
        }
    }

    /// Reads a problem, or whatever else is no success.
    async fn refused(response: Response) -> Self {
        let status = response.status();
        let Ok(body) = response.bytes().await else {
            return Self::broken("cut-answer");
        };
        match Problem::parse(&body) {
            Ok(problem) => Self {
                reason: Some(problem.reason.word().to_owned()),
                ..Self::new(End::Answered(problem.outcome))
            },
            Err(_) => Self {
                reason: Some(format!("status-{}", status.as_u16())),
                ..Self::new(End::Answered(Outcome::Unknown))
            },
        }
    }

    /// Notes that no whole answer came.
    fn broken(reason: &str) -> Self {
        Self {
            reason: Some(reason.to_owned()),
            ..Self::new(End::Broken)
        }
    }

    /// Notes that a call failed on its way.
    fn failed(error: &reqwest::Error) -> Self {
        Self::broken(match error {
            error if error.is_connect() => "caller-no-connection",
            error if error.is_timeout() => "caller-timeout",
            _ => "caller-lost",
        })
    }
}

/// Returns a header of an answer, empty where it has none.
fn text<'a>(response: &'a Response, name: &str) -> &'a str {
    let value = response.headers().get(name);
    value
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Tells whether an answer states that the work ran.
fn is_ran(response: &Response) -> bool {
    text(response, header::OUTCOME) == "ran"
}
