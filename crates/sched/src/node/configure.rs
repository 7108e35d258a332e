//! The configuration: following its stream, publishing changes, and bringing it into force.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_coordination::{
    config::{
        self,
        Event,
        Proposal,
        Record,
        STREAM,
        Snapshot,
        Verdict, //
    },
    member, peer,
    platform::log,
};
use fulmarpier_protocol::http::table::Table;
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Offset,
        ShardId, //
    },
    policy::{
        Policy,
        UnknownTeam, //
    },
    quota,
    refusal::{
        Outcome,
        Reason,
        Refusal, //
    },
};
use uuid::Uuid;

use super::{
    Asking,
    CallId,
    Node,
    Note,
    Output,
    Purpose, //
};

/// The most records of one read.
const PAGE: u32 = 500;
/// How long to wait before a failed read or append is tried again.
const PAUSE: Duration = Duration::from_millis(500);

/// A change that an operator waits for.
pub(super) struct Publication {
    call: CallId,
    proposal: Proposal,
    sent: bool,
    until: Timestamp,
    retry_at: Timestamp,
}

impl Publication {
    pub(super) const fn until(&self) -> Timestamp {
        self.until
    }
}

impl Node {
    /// Asks for the next records of the configuration.
    pub(super) fn read_config(&mut self, now: Timestamp) {
        if self.reading || self.read_at > now {
            return;
        }
        self.reading = true;
        let read = log::Read {
            stream: stream(),
            from: self.register.next(),
            max: PAGE,
            wait: self.settings.poll,
        };
        self.out.read(Purpose::Config, read);
    }

    pub(super) fn config_page(&mut self, result: Result<log::Page, log::Error>, now: Timestamp) {
        self.reading = false;
        match result {
            Ok(page) => {
                self.read_at = now;
                self.fold(&page.records, now);
            }
            Err(log::Error::Truncated { earliest }) => self.register.truncate(earliest),
            Err(_) => {
                self.out.retry("config-read");
                self.read_at = now + PAUSE;
                self.ask_config();
            }
        }
    }

    fn fold(&mut self, records: &[log::Record], now: Timestamp) {
        let before = self.register.version();
        for record in records {
            match self.register.apply(record) {
                Ok(Event::Judged { id, verdict }) => {
                    self.refresh.proposal();
                    self.judged(id, verdict);
                }
                Ok(Event::Adopted { .. } | Event::Refreshed) => self.refresh.snapshot(now),
                Ok(Event::Passed | Event::Old | Event::Skipped { .. }) => {}
                Err(fault) => {
                    self.out.note(Note::ConfigFault { fault });
                    self.read_at = now + PAUSE;
                    break;
                }
            }
        }
        if self.register.version() != before {
            self.in_force(now);
        }
    }

    /// Brings the configuration that was just reached into force on this node.
    fn in_force(&mut self, now: Timestamp) {
        let version = self.register.version();
        self.out.note(Note::Config {
            version: version.get(),
        });
        let shards: Vec<ShardId> = self.shards.keys().copied().collect();
        for shard in shards {
            self.configure_shard(shard, now);
        }
        self.refresh_shards(now);
        let drained = &self.register.document().drained.nodes;
        let drained = drained.contains(&self.holder.node);
        self.drain_by_command(drained, now);
    }

    /// Lets the node leave, or stay again, as operators say; a process that ends goes on leaving.
    fn drain_by_command(&mut self, drained: bool, now: Timestamp) {
        if self.ending || drained == self.draining {
            return;
        }
        self.draining = drained;
        let event = match drained {
            true => member::Event::Drain,
            false => member::Event::Undrain,
        };
        self.member_event(event, now);
    }

    /// Sets the policy and the quotas of one shard.
    pub(super) fn configure_shard(&mut self, shard: ShardId, now: Timestamp) {
        let document = Arc::clone(self.register.document());
        self.with_live(shard, now, |live, _| {
            let engine = live.engine_mut();
            engine.set_policy(policy(&document));
            for (name, team) in &document.teams {
                engine.set_quota(name, limit(team));
            }
        });
    }

    /// Puts a proposal on its way; the call is answered once its verdict is known.
    pub(super) fn propose(&mut self, call: CallId, proposal: Proposal, now: Timestamp) {
        self.publications.push(Publication {
            call,
            proposal,
            sent: false,
            until: now + self.settings.command,
            retry_at: now,
        });
    }

    /// Appends what waits, and a snapshot when one is due.
    pub(super) fn publish(&mut self, now: Timestamp) {
        self.expire_publications(now);
        if self.publishing {
            return;
        }
        let next = self
            .publications
            .iter_mut()
            .find(|waiting| waiting.retry_at <= now);
        let record = if let Some(waiting) = next {
            waiting.sent = true;
            // Until its verdict is read it is not sent again, unless the append fails.
            waiting.retry_at = Timestamp::MAX;
            Record::Proposal(waiting.proposal.clone())
        } else if self.refresh.is_due(now) && self.register.version() != config::Version::NONE {
            self.refresh.sent(now);
            Record::Snapshot(Box::new(self.register.snapshot()))
        } else {
            return;
        };
        self.publishing = true;
        let append = log::Append {
            stream: stream(),
            records: vec![record.encode()],
        };
        self.out.append(Purpose::Publish, append);
    }

    pub(super) fn published(&mut self, result: Result<Offset, log::Error>, now: Timestamp) {
        self.publishing = false;
        let Err(error) = result else {
            return;
        };
        self.out.retry("config-append");
        let void = !matches!(error, log::Error::Unknown);
        for waiting in &mut self.publications {
            if waiting.retry_at == Timestamp::MAX {
                // A second copy of a proposal does nothing, so sending it again is safe.
                waiting.retry_at = now + PAUSE;
                waiting.sent = !void;
            }
        }
    }

    fn judged(&mut self, id: Uuid, verdict: Verdict) {
        let place = self.publications.iter().position(|w| w.proposal.id == id);
        let Some(place) = place else {
            return;
        };
        let waiting = self.publications.remove(place);
        match verdict {
            Verdict::Accepted { version } => self.answer_accepted(waiting.call, version),
            Verdict::Repeated { first, accepted } if accepted => {
                self.answer_accepted(waiting.call, config::Version::at(first));
            }
            Verdict::Repeated { .. } => {
                let refusal = Refusal::new(Reason::Conflict, "the change was rejected before");
                self.refuse_command(waiting.call, refusal);
            }
            Verdict::Rejected { reason } => self.refuse_command(waiting.call, reason.refusal()),
        }
    }

    fn answer_accepted(&mut self, call: CallId, version: config::Version) {
        let table = Table {
            columns: vec!["version".to_owned()],
            rows: vec![vec![version.get().into()]],
            notes: vec!["accepted; in force on this node".to_owned()],
            ..Table::default()
        };
        self.answer_table(call, &table);
    }

    fn expire_publications(&mut self, now: Timestamp) {
        let late = self.publications.extract_if(.., |w| w.until <= now);
        let late: Vec<Publication> = late.collect();
        for waiting in late {
            let outcome = match waiting.sent {
                true => Outcome::Unknown,
                false => Outcome::NotRun,
            };
            let detail = "the log did not take the change in time; see `show config`";
            let refusal = Refusal::new(Reason::LogUnavailable, detail)
                .outcome(outcome)
                .retry_after(self.settings.command);
            self.refuse_command(waiting.call, refusal);
        }
    }

    /// Asks the next peer for the configuration, for want of the log.
    fn ask_config(&mut self) {
        let others: Vec<_> = self
            .map
            .nodes()
            .filter(|node| node.id != self.holder.node)
            .map(|node| (node.id, node.address))
            .collect();
        if others.is_empty() {
            return;
        }
        let turn = usize::try_from(self.number()).unwrap_or_default();
        let (to, address) = others[turn % others.len()];
        let have = Some(Offset(self.register.version().get()));
        let message = peer::Message {
            from: self.holder,
            to,
            question: peer::Question::Config { have },
        };
        self.out.push(Output::Ask {
            asking: Asking::Config,
            address,
            message,
        });
    }

    /// Answers a peer that can't read the log.
    pub(super) fn config_for_peer(&self, have: Option<Offset>) -> peer::Answer {
        let version = self.register.version();
        let newer = have.is_none_or(|have| have.0 < version.get());
        let snapshot = newer.then(|| {
            let record = Record::Snapshot(Box::new(self.register.snapshot()));
            (Offset(version.get()), record.encode())
        });
        peer::Answer::Config { newer: snapshot }
    }

    pub(super) fn config_from_peer(&mut self, reply: Option<peer::Reply>, now: Timestamp) {
        let Some(peer::Answer::Config {
            newer: Some((_, data)),
        }) = reply.map(|reply| reply.answer)
        else {
            return;
        };
        let Some(snapshot) = decode(&data) else {
            return;
        };
        let before = self.register.version();
        if let Err(fault) = self.register.adopt(snapshot) {
            self.out.note(Note::ConfigFault { fault });
        }
        if self.register.version() != before {
            self.in_force(now);
        }
    }
}

fn stream() -> log::Stream {
    log::Stream(STREAM.to_owned())
}

/// Reads the snapshot that a peer sent; anything else is passed over.
fn decode(data: &[u8]) -> Option<Snapshot> {
    match Record::decode(data) {
        Ok(Record::Snapshot(snapshot)) => Some(*snapshot),
        Ok(Record::Proposal(_)) | Err(_) => None,
    }
}

/// Returns the engine's policy under a configuration.
fn policy(document: &config::Document) -> Policy {
    let mut policy = Policy::default()
        .preemption(document.policy.preemption)
        .backfill(document.policy.backfill);
    policy.weights = weights(&document.weights);
    policy.spread = document.policy.spread;
    policy.unknown_team = match document.policy.unknown_teams {
        true => UnknownTeam::Accept,
        false => UnknownTeam::Refuse,
    };
    policy
}

fn weights(weights: &config::Weights) -> fulmarpier_state::placement::Weights {
    fulmarpier_state::placement::Weights::new(
        weights.waiting.thousandths(),
        weights.packing.thousandths(),
        weights.control.thousandths(),
    )
}

/// Returns the engine's limit of a team.
fn limit(team: &config::Team) -> quota::Limit {
    quota::Limit {
        resources: (!team.quota.is_open()).then(|| team.quota.limit()),
        weight: team.weight,
        queue: team.queue,
    }
}
