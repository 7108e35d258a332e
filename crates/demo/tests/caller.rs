//! What a caller does with a refusal of a request that it sends again under its key.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        Mutex, //
    },
    time::Duration,
};

use axum::{
    Router,
    extract::State,
    http::{
        HeaderMap,
        StatusCode, //
    },
    response::{
        IntoResponse,
        Response, //
    },
};
use fulmarpier_demo::caller::{
    Caller,
    Error, //
};
use fulmarpier_protocol::problem::Problem;
use fulmarpier_state::refusal::{
    Reason,
    Refusal, //
};
use tokio::net::TcpListener;

/// A gate that refuses the first requests for a reason and repeats a kept answer to the others.
#[derive(Clone)]
struct Gate {
    reason: Reason,
    refusals: usize,
    /// The key of each request.
    keys: Arc<Mutex<Vec<String>>>,
}

impl Gate {
    fn new(reason: Reason, refusals: usize) -> Self {
        Self {
            reason,
            refusals,
            keys: Arc::default(),
        }
    }

    async fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let routes = Router::new().fallback(answer).with_state(self.clone());
        tokio::spawn(async move { axum::serve(listener, routes).await });
        address
    }

    fn keys(&self) -> Vec<String> {
        self.keys.lock().unwrap().clone()
    }
}

async fn answer(State(gate): State<Gate>, headers: HeaderMap, body: String) -> Response {
    let key = headers["idempotency-key"].to_str().unwrap().to_owned();
    let mut keys = gate.keys.lock().unwrap();
    keys.push(key);
    if keys.len() > gate.refusals {
        return ([("fulmarpier-replayed", "true")], body).into_response();
    }
    let refusal = Refusal::new(gate.reason, "refused").retry_after(Duration::from_millis(1));
    let status = StatusCode::from_u16(gate.reason.status()).unwrap();
    (status, Problem::from(&refusal).to_json()).into_response()
}

/// A request whose first sending had not ended yet was taken for a failure.
#[tokio::test]
async fn a_key_in_progress_is_asked_for_again_with_the_same_key() {
    let gate = Gate::new(Reason::KeyBusy, 2);
    let caller = Caller::new(gate.serve().await).unwrap();
    let answered = caller.repeat("desk", "order", "k1").await.unwrap();
    assert!(answered.replayed);
    assert_eq!(gate.keys(), ["k1", "k1", "k1"]);
}

/// Any other refusal stays one: asking again would hide it.
#[tokio::test]
async fn another_refusal_ends_the_repeats() {
    let gate = Gate::new(Reason::KeyReused, 1);
    let caller = Caller::new(gate.serve().await).unwrap();
    let refused = caller.repeat("desk", "order", "k1").await.unwrap_err();
    assert!(matches!(refused, Error::Refused { .. }), "{refused:?}");
    assert_eq!(gate.keys(), ["k1"]);
}

/// A request that never ends is reported and not waited for without end.
#[tokio::test]
async fn a_key_that_stays_in_progress_is_given_up() {
    let gate = Gate::new(Reason::KeyBusy, usize::MAX);
    let caller = Caller::new(gate.serve().await).unwrap();
    let refused = caller.repeat("desk", "order", "k1").await.unwrap_err();
    assert!(matches!(refused, Error::Refused { .. }), "{refused:?}");
    assert_eq!(gate.keys().len(), 31);
}
