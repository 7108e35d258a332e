//! Settings of `fulmarpier-load`.

mod arrivals;
mod job;
mod mix;
mod request;

use std::path::PathBuf;

use fulmarpier_state::unit::Span;

pub use self::{
    arrivals::Arrivals,
    job::Job,
    mix::Mix,
    request::Request, //
};
use super::{
    Document,
    form::{
        Errors,
        Form,
        Section,
        section::document, //
    },
    value::{
        Token,
        Url, //
    },
};

const MAX_THREADS: u16 = 256;
const MAX_RATE: f64 = 1_000_000.0;

/// The settings of one run of load.
#[derive(Clone, Debug, PartialEq)]
pub struct Load {
    /// The gates that are called in turn, at least one.
    pub gates: Vec<Url>,
    /// The stand-in, whose record is compared at the end.
    pub standin: Url,
    /// The token of an operator, to set up teams and services.
    pub token: Token,
    /// Arrivals a second, over all kinds and gates.
    pub rate: f64,
    /// How arrivals are spaced.
    pub arrivals: Arrivals,
    /// How long arrivals go on.
    pub duration: Span,
    /// How long to wait for the last answers.
    pub settle: Span,
    /// The shares of the kinds of work.
    pub mix: Mix,
    /// What requests look like.
    pub request: Request,
    /// What jobs look like.
    pub job: Job,
    /// The seed of everything that is drawn.
    pub seed: u64,
    /// Where the report is written.
    pub report: PathBuf,
    /// Threads for traffic.
    pub traffic_threads: u16,
}

impl Form for Load {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let gates = section.values::<Url>("gates");
        let standin = section.required("standin");
        let token = section.required("token");
        let rate = section.within("rate", 1_000.0, 0.001..=MAX_RATE);
        let arrivals = section.or("arrivals", Arrivals::Poisson);
        let duration = section.within(
            "duration",
            Span::from_secs(60),
            Span::from_millis(1)..=Span::from_secs(86_400),
        );
        let settle = section.or("settle", Span::from_secs(10));
        let mix = section.form("mix");
        let request = section.form("request");
        let job = section.form("job");
        let seed = section.or("seed", 1);
        let report = section.or("report", PathBuf::from("report.json"));
        let traffic_threads = section.within("traffic_threads", 4, 1..=MAX_THREADS);
        check_gates(section, gates.as_deref());
        Some(Self {
            gates: gates?,
            standin: standin?,
            token: token?,
            rate: rate?,
            arrivals: arrivals?,
            duration: duration?,
            settle: settle?,
            mix: mix?,
            request: request?,
            job: job?,
            seed: seed?,
            report: report?,
            traffic_threads: traffic_threads?,
        })
    }
}

impl TryFrom<Document> for Load {
    type Error = Errors;

    fn try_from(raw: Document) -> Result<Self, Self::Error> {
        document(&raw)
    }
}

fn check_gates(section: &mut Section<'_>, gates: Option<&[Url]>) {
    if let Some(gates) = gates {
        section.not_empty("gates", gates);
        section.unique("gates", gates);
    }
}
