//! Requests to a service.

use std::time::Duration;

use bytes::Bytes;
use fulmarpier_protocol::{
    http::header,
    settings::value::Url, //
};
use fulmarpier_state::{
    refusal::Outcome,
    unit::Span, //
};
use rand::{
    Rng,
    rngs::StdRng, //
};
use reqwest::Response;

use super::{
    Answered,
    Caller,
    MARGIN,
    is_ran,
    text, //
};
use crate::{
    arrival::{
        Arrival,
        exponential, //
    },
    call::{
        End,
        Timing, //
    },
    kind::Kind,
};

/// The header that tells the stand-in how long to work.
const WORK: &str = "standin-work";
/// The header with the times inside the gate.
const SERVER_TIMING: &str = "server-timing";

impl Caller {
    /// Sends a request and checks that the answer is its own: the targets echo.
    pub(super) async fn request(&self, arrival: &Arrival, rng: &mut StdRng) -> Answered {
        let shape = &self.settings.request;
        let path = format!("/v1/services/{}/requests", shape.service);
        let body = Bytes::from(self.body(arrival, rng));
        let id = arrival.id.to_string();
        let work = self.work(rng).to_string();
        let call = |gate: &Url| {
            let call = self
                .http
                .post(gate.join(&path))
                .timeout(shape.deadline.get() + MARGIN)
                .header(header::REQUEST, &id)
                .header(header::DEADLINE, shape.deadline.to_string())
                .header(WORK, &work)
                .body(body.clone());
            match arrival.kind {
                Kind::Once => call.header(header::IDEMPOTENCY_KEY, &id),
                _ => call,
            }
        };
        match self.send(arrival, call).await {
            Ok(response) if is_ran(&response) => echoed(response, &id, &body).await,
            Ok(response) => Answered::refused(response).await,
            Err(error) => Answered::failed(&error),
        }
    }

    /// Makes a body that no other call has.
    fn body(&self, arrival: &Arrival, rng: &mut StdRng) -> Vec<u8> {
        let mut body = arrival.id.to_string().into_bytes();
        let own = body.len();
        let len = usize::try_from(self.settings.request.body.get()).unwrap_or(own);
        body.resize(len.max(own), 0);
        rng.fill_bytes(&mut body[own..]);
        body
    }

    fn work(&self, rng: &mut StdRng) -> Span {
        let mean: Duration = self.settings.request.work.get();
        Span::from(exponential(rng, mean.as_secs_f64()))
    }
}

async fn echoed(response: Response, id: &str, sent: &[u8]) -> Answered {
    let is_replayed = !text(&response, header::REPLAYED).is_empty();
    let is_own = text(&response, header::REQUEST) == id;
    let timing = Timing::parse(text(&response, SERVER_TIMING));
    let Ok(body) = response.bytes().await else {
        return Answered::broken("cut-answer");
    };
    let end = if !is_own || body != sent {
        End::Foreign
    } else if is_replayed {
        End::Replayed
    } else {
        End::Answered(Outcome::Ran)
    };
    Answered {
        timing,
        ..Answered::new(end)
    }
}
