//! Leases and intervals of a sched.

use fulmarpier_state::unit::Span;

use crate::settings::form::{
    Form,
    Mistake,
    Section, //
};

/// Leases and intervals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timings {
    /// How long a claim of shards lasts without renewal.
    pub lease: Span,
    /// How often claims are renewed.
    pub renewal: Span,
    /// How long the leases of tasks last at their worker.
    pub worker_lease: Span,
    /// How often each worker is called.
    pub worker_sync: Span,
    /// How long slots granted to a gate last.
    pub credit_lease: Span,
    /// How long records are gathered before they are appended to the log.
    pub group_append: Span,
    /// How long the log keeps records; snapshots are appended again well within it.
    pub retention: Span,
    /// How long after its sending a start is still taken by a worker.
    pub start_by: Span,
}

impl Form for Timings {
    fn read(section: &mut Section<'_>) -> Option<Self> {
        let lease = positive(section, "lease", Span::from_secs(3));
        let renewal = positive(section, "renewal", Span::from_secs(1));
        let worker_lease = positive(section, "worker_lease", Span::from_secs(6));
        let worker_sync = positive(section, "worker_sync", Span::from_secs(1));
        let credit_lease = positive(section, "credit_lease", Span::from_secs(2));
        let group_append = positive(section, "group_append", Span::from_millis(15));
        let retention = positive(section, "retention", Span::from_secs(6 * 3_600));
        let start_by = positive(section, "start_by", Span::from_secs(2));
        at_least(section, "lease", lease, 2, "renewal", renewal);
        at_least(
            section,
            "worker_lease",
            worker_lease,
            2,
            "worker_sync",
            worker_sync,
        );
        at_least(
            section,
            "worker_lease",
            worker_lease,
            1,
            "start_by",
            start_by,
        );
        at_least(section, "renewal", renewal, 2, "group_append", group_append);
        at_least(section, "retention", retention, 10, "lease", lease);
        Some(Self {
            lease: lease?,
            renewal: renewal?,
            worker_lease: worker_lease?,
            worker_sync: worker_sync?,
            credit_lease: credit_lease?,
            group_append: group_append?,
            retention: retention?,
            start_by: start_by?,
        })
    }
}

fn positive(section: &mut Section<'_>, key: &'static str, default: Span) -> Option<Span> {
    section.within(
        key,
        default,
        Span::from_millis(1)..=Span::from_secs(30 * 86_400),
    )
}

/// Notes a span that is shorter than `factor` times another.
fn at_least(
    section: &mut Section<'_>,
    key: &'static str,
    span: Option<Span>,
    factor: u64,
    other: &'static str,
    than: Option<Span>,
) {
    let (Some(span), Some(than)) = (span, than) else {
        return;
    };
    if span.as_micros() >= than.as_micros().saturating_mul(factor) {
        return;
    }
    let relation = match factor {
        1 => "at least",
        2 => "at least twice",
        _ => "at least ten times",
    };
    let value = than.to_string();
    section.note::<()>(
        key,
        Mistake::Relation {
            relation,
            other,
            value,
        },
    );
}
