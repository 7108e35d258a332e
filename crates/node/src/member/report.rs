//! The log lines on who owns the cell: what an owner believes while the store doesn't answer it, and what its successor
//! knew of it.

use std::{
    fmt,
    time::Duration, //
};

use fulmarpier_cell::{
    id::{
        Epoch,
        NodeName, //
    },
    record::Claim,
};
use fulmarpier_transport::rpc;
use tokio::time::Instant;

use super::{
    Observation,
    Tenure, //
};
use crate::{
    message::Reply,
    platform::Platform,
    shared::Shared,
    telemetry::{
        OptionalField,
        millis, //
    },
};

/// The shortest time between two lines of an owner that is without the store.
const LINE_INTERVAL: Duration = Duration::from_secs(1);
/// The maximum number of nodes that such a line names.
const MAX_NAMES: usize = 8;

/// How a node answered the owner's question whether the store answers that node.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Outcome {
    /// The store fails for the node too.
    FailsToo,
    /// The store answers the node.
    Answers,
    /// The node gave no answer.
    None,
}

impl From<&Result<Reply, rpc::Error>> for Outcome {
    fn from(answer: &Result<Reply, rpc::Error>) -> Self {
        match answer {
            Ok(Reply::StoreLatency(None)) => Self::FailsToo,
            Ok(Reply::StoreLatency(Some(_))) => Self::Answers,
            Ok(_) | Err(_) => Self::None,
        }
    }
}

/// The names of the first few of a number of nodes.
#[derive(Clone, Debug, Default)]
struct Names(Vec<NodeName>);

impl Names {
    fn add(&mut self, node: &NodeName) {
        if self.0.len() < MAX_NAMES {
            self.0.push(node.clone());
        }
    }
}

impl fmt::Display for Names {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, name) in self.0.iter().enumerate() {
            let separator = if index == 0 { "" } else { "," };
            write!(f, "{separator}{}", name.as_str())?;
        }
        Ok(())
    }
}

/// The number of nodes by their answers.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
struct Counts {
    asked: usize,
    fails_too: usize,
    answers: usize,
    none: usize,
}

/// The answers of other nodes to one round of the owner's question.
#[derive(Debug)]
pub(super) struct Answers {
    counts: Counts,
    failing: Names,
    /// Whether the store has answered a probe of the owner itself meanwhile.
    is_own_probe_answered: bool,
}

impl Answers {
    /// Returns the answers of `asked` nodes, none of which has arrived.
    pub(super) fn new(asked: usize) -> Self {
        Self {
            counts: Counts {
                asked,
                ..Counts::default()
            },
            failing: Names::default(),
            is_own_probe_answered: false,
        }
    }

    /// Notes the answer of a node, or that it gave none.
    pub(super) fn note(&mut self, node: &NodeName, answer: &Result<Reply, rpc::Error>) {
        match Outcome::from(answer) {
            Outcome::FailsToo => {
                self.counts.fails_too += 1;
                self.failing.add(node);
            }
            Outcome::Answers => self.counts.answers += 1,
            Outcome::None => self.counts.none += 1,
        }
    }

    /// Notes that the store has answered a probe of the owner.
    pub(super) fn note_own_probe(&mut self) {
        self.is_own_probe_answered = true;
    }

    /// Returns why the owner goes on, as one word.
    const fn reason_to_go_on(&self) -> &'static str {
        match self.counts {
            _ if self.is_own_probe_answered => "probe-answered",
            Counts { fails_too: 1.., .. } => "fails-for-others",
            Counts { answers: 1.., .. } => "slow-for-others",
            _ => "unanswered",
        }
    }
}

/// What an owner believes while it is without the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Belief {
    /// It goes on for this reason, after these answers.
    GoesOn(&'static str, Counts),
    /// The store answers again.
    Regained,
}

/// Logs what an owner that is without the store believes: each change, but at most one line a second.
pub(super) struct StoreLoss<'a> {
    epoch: Epoch,
    tenure: &'a Tenure,
    /// The last line, and when it was written.
    last: Option<(Instant, Belief)>,
}

impl<'a> StoreLoss<'a> {
    /// Creates the log of an ownership that has the store.
    pub(super) const fn new(epoch: Epoch, tenure: &'a Tenure) -> Self {
        Self {
            epoch,
            tenure,
            last: None,
        }
    }

    /// Notes that the store answers; logs it if the last line said otherwise.
    pub(super) fn has_store<P: Platform>(&mut self, shared: &Shared<P>) {
        shared
            .meter
            .owner_unconfirmed(self.tenure.unconfirmed_for(shared.steady_now()));
        if self.last.is_some() && self.begin_line(Belief::Regained) {
            slog::info!(shared.log, "owner-without-store"; "epoch" => %self.epoch,
                "outcome" => "regained", "why" => "store-answers",
                "unconfirmed_ms" => millis(self.tenure.unconfirmed_for(shared.steady_now())));
        }
    }

    /// Logs that the owner goes on after a round of answers. The store had failed for `failing` when the round began.
    pub(super) fn go_on<P: Platform>(
        &mut self,
        shared: &Shared<P>,
        failing: Duration,
        answers: &Answers,
    ) {
        let why = answers.reason_to_go_on();
        self.count(shared, answers);
        if self.begin_line(Belief::GoesOn(why, answers.counts)) {
            self.write(shared, failing, answers, "goes-on", why);
        }
    }

    /// Logs that the owner ends its ownership after a round of answers; returns why.
    pub(super) fn end<P: Platform>(
        &self,
        shared: &Shared<P>,
        failing: Duration,
        answers: &Answers,
        why: &'static str,
    ) -> &'static str {
        self.count(shared, answers);
        self.write(shared, failing, answers, "ends", why);
        why
    }

    /// Updates the metrics after a round of answers.
    fn count<P: Platform>(&self, shared: &Shared<P>, answers: &Answers) {
        let counts = answers.counts;
        shared
            .meter
            .owner_unconfirmed(self.tenure.unconfirmed_for(shared.steady_now()));
        for (outcome, count) in [
            ("fails-too", counts.fails_too),
            ("answers", counts.answers),
            ("none", counts.none),
        ] {
            shared.meter.peer_store_answers(outcome, count);
        }
    }

    /// Returns whether a line on a belief is due, and notes that it is written.
    fn begin_line(&mut self, belief: Belief) -> bool {
        let is_due = self
            .last
            .is_none_or(|(at, last)| last != belief && at.elapsed() >= LINE_INTERVAL);
        if is_due {
            self.last = Some((Instant::now(), belief));
        }
        is_due
    }

    fn write<P: Platform>(
        &self,
        shared: &Shared<P>,
        failing: Duration,
        answers: &Answers,
        outcome: &'static str,
        why: &'static str,
    ) {
        let counts = answers.counts;
        slog::warn!(shared.log, "owner-without-store"; "epoch" => %self.epoch,
            "outcome" => outcome, "why" => why,
            "failing_ms" => millis(failing),
            "unconfirmed_ms" => millis(self.tenure.unconfirmed_for(shared.steady_now())),
            "asked" => counts.asked, "fails_too" => counts.fails_too,
            "nodes" => %answers.failing, "answers" => counts.answers, "silent" => counts.none);
    }
}

/// What a node knew of the owner that it replaces.
#[derive(Clone, Debug)]
pub(super) struct Predecessor {
    epoch: Epoch,
    node: NodeName,
    /// The evidence for which the cell was claimed, as one word.
    why: &'static str,
    /// From when the lease of its claim was counted; `None` if that did not matter.
    renewal_seen_at: Option<Instant>,
}

impl Predecessor {
    /// Returns the owner whose claim a node replaces with its own.
    ///
    /// `latest` is the claim as it was read last, and `followed` as the node had watched it before.
    pub(super) fn replaced(
        followed: &Observation,
        latest: &Observation,
        why: &'static str,
    ) -> Option<Self> {
        let renewal = |seen: &Observation| seen.claim.as_ref().map(|claim| claim.renewal);
        // A renewal that was seen before keeps the time at which it was first seen.
        let is_renewed = renewal(followed) != renewal(latest);
        let seen = if is_renewed { latest } else { followed };
        Some(Self {
            renewal_seen_at: Some(seen.renewal_seen_at),
            ..Self::of(latest.claim.as_ref()?, why)
        })
    }

    /// Returns the owner that has claimed the cell on behalf of this node.
    pub(super) fn handing_over(followed: &Observation) -> Option<Self> {
        Some(Self::of(followed.claim.as_ref()?, "handed-over"))
    }

    fn of(claim: &Claim, why: &'static str) -> Self {
        Self {
            epoch: claim.epoch,
            node: claim.node.clone(),
            why,
            renewal_seen_at: None,
        }
    }
}

/// Logs that an ownership begins. The topic of the claims ended at `end` when this node last read or wrote it.
pub(super) fn begin<P: Platform>(
    shared: &Shared<P>,
    epoch: Epoch,
    end: u64,
    former: Option<&Predecessor>,
) {
    let renewal_seen_at = former.and_then(|former| former.renewal_seen_at);
    let is_first = epoch == Epoch::default().next();
    let default_reason = if is_first { "first" } else { "unknown" };
    slog::info!(shared.log, "ownership-begins"; "epoch" => %epoch, "end" => end,
        "former_node" => former.map_or("", |former| former.node.as_str()),
        OptionalField("former_epoch", former.map(|former| u64::from(former.epoch.0))),
        "why" => former.map_or(default_reason, |former| former.why),
        OptionalField("renewal_ms", renewal_seen_at.map(|at| millis(at.elapsed()))));
}

/// Logs that an ownership ends which began at `began`.
pub(super) fn end<P: Platform>(
    shared: &Shared<P>,
    epoch: Epoch,
    why: &'static str,
    began: Instant,
    tenure: &Tenure,
) {
    shared.meter.owner_unconfirmed(Duration::ZERO);
    shared.meter.unfenced_owners(0);
    slog::info!(shared.log, "ownership-ends"; "epoch" => %epoch, "why" => why,
        "owned_ms" => millis(began.elapsed()),
        "store_failing_ms" => millis(shared.store.failing_for()),
        "unconfirmed_ms" => millis(tenure.unconfirmed_for(shared.steady_now())),
        "lag_ms" => millis(shared.lag.owner_lag()));
}
