//! Strategies for commands and for lines that are nearly commands.

use fulmarpier_coordination::config::{
    Change,
    Share,
    limits,
    policy,
    service,
    team,
    weights, //
};
use fulmarpier_protocol::{
    http::job::Draft,
    query::{
        Command,
        Condition,
        Filter,
        Operator,
        Show,
        Subject, //
    },
};
use fulmarpier_state::{
    id::{
        JobId,
        NodeId,
        WorkerId, //
    },
    job::{
        Kind,
        Payload,
        Priority,
        Spec,
        Spread, //
    },
    name::Name,
    resource::Resources,
    unit::{
        Bytes,
        Millicores,
        Span, //
    },
};
use proptest::{
    collection::vec,
    option,
    prelude::*,
    sample::select, //
};

const WORDS: &[&str] = &[
    "show", "jobs", "where", "and", "limit", "=", "!=", "<", "~", "\"", "set", "team", "desk",
    "cpu", "64", "12GiB", "submit", "batch", "tasks", "drain", "worker", "w1", "n2", "explain",
    "job", "\\", "é", "",
];

/// Lines made of the words of the language, in any order.
pub(crate) fn near_miss() -> impl Strategy<Value = String> {
    vec(select(WORDS), 0..12).prop_map(|words| words.join(" "))
}

pub(crate) fn command() -> impl Strategy<Value = Command> {
    prop_oneof![
        show().prop_map(Command::Show),
        job_id().prop_map(Command::Explain),
        job_id().prop_map(Command::Cancel),
        change().prop_map(Command::Change),
        draft().prop_map(|draft| Command::Submit(Box::new(draft))),
    ]
}

fn name() -> impl Strategy<Value = Name> {
    "[a-z0-9._-]{1,20}".prop_map(|text| text.parse().expect("the pattern gives a name"))
}

fn job_id() -> impl Strategy<Value = JobId> {
    any::<u128>().prop_map(JobId::from_u128)
}

fn span() -> impl Strategy<Value = Span> {
    (0_u64..1 << 50).prop_map(Span::from_micros)
}

fn spread() -> impl Strategy<Value = Spread> {
    select(vec![Spread::Any, Spread::Racks, Spread::DataCentres])
}

fn share() -> impl Strategy<Value = Option<Share>> {
    option::of(any::<u16>().prop_map(Share::from_thousandths))
}

fn show() -> impl Strategy<Value = Show> {
    let operator = select(Operator::ALL.to_vec());
    let condition = (".{0,12}", operator, ".{0,12}");
    let condition = condition.prop_map(|(field, operator, value)| Condition {
        field,
        operator,
        value,
    });
    let filter = vec(condition, 0..4).prop_map(|conditions| Filter { conditions });
    let subject = select(Subject::ALL.to_vec());
    (subject, filter, option::of(1_u32..)).prop_map(|(subject, filter, limit)| Show {
        subject,
        filter,
        limit,
    })
}

fn change() -> impl Strategy<Value = Change> {
    let worker = || any::<u32>().prop_map(WorkerId);
    let node = any::<u32>().prop_map(NodeId);
    prop_oneof![
        set_team(),
        set_service(),
        set_weights(),
        set_policy(),
        set_limits(),
        name().prop_map(|name| Change::RemoveTeam { name }),
        name().prop_map(|name| Change::RemoveService { name }),
        worker().prop_map(|worker| Change::DrainWorker { worker }),
        node.prop_map(|node| Change::DrainNode { node }),
        worker().prop_map(|worker| Change::Quarantine { worker }),
    ]
}

fn set_team() -> impl Strategy<Value = Change> {
    let patch = any::<(
        Option<u32>,
        Option<u64>,
        Option<u16>,
        Option<u32>,
        Option<u32>,
    )>();
    (name(), patch).prop_map(|(name, patch)| Change::SetTeam {
        name,
        patch: team::Patch {
            cpu: patch.0.map(Millicores),
            memory: patch.1.map(Bytes),
            accelerators: patch.2,
            weight: patch.3,
            queue: patch.4,
        },
    })
}

fn set_service() -> impl Strategy<Value = Change> {
    let numbers = any::<(Option<u16>, Option<u32>)>();
    let rest = (option::of(span()), option::of(name()));
    (name(), numbers, rest).prop_map(|(name, numbers, rest)| Change::SetService {
        name,
        patch: service::Patch {
            slots: numbers.0,
            queue: numbers.1,
            deadline: rest.0,
            team: rest.1,
        },
    })
}

fn set_weights() -> impl Strategy<Value = Change> {
    let some = |patch: &weights::Patch| *patch != weights::Patch::default();
    (share(), share(), share())
        .prop_map(|(waiting, packing, control)| weights::Patch {
            waiting,
            packing,
            control,
        })
        .prop_filter("at least one pair is needed", some)
        .prop_map(|patch| Change::SetWeights { patch })
}

fn set_policy() -> impl Strategy<Value = Change> {
    (
        any::<bool>(),
        any::<Option<bool>>(),
        option::of(spread()),
        any::<Option<bool>>(),
    )
        .prop_map(
            |(preemption, backfill, spread, unknown_teams)| Change::SetPolicy {
                patch: policy::Patch {
                    preemption: Some(preemption),
                    backfill,
                    spread,
                    unknown_teams,
                },
            },
        )
}

fn set_limits() -> impl Strategy<Value = Change> {
    any::<(u64, Option<u32>, Option<u32>)>().prop_map(|(body, tasks, queue)| Change::SetLimits {
        patch: limits::Patch {
            body: Some(Bytes(body)),
            tasks,
            queue,
        },
    })
}

fn draft() -> impl Strategy<Value = Draft> {
    let service = (name(), 1_u16.., any::<u16>());
    let service = service.prop_map(|(service, slots, port)| Kind::Service {
        service,
        slots,
        port,
    });
    let kind = prop_oneof![Just(Kind::Batch), Just(Kind::Gang), service];
    let priority = select(vec![Priority::Low, Priority::Normal, Priority::Urgent]);
    let size = any::<(u32, u64, u16)>();
    let spans = (option::of(span()), option::of(span()));
    let rest = (0_u32..=100_000, priority, spread(), any::<(bool, bool)>());
    let payload = (".{1,12}", vec(".{0,12}", 0..3));
    let ids = (option::of(job_id()), name());
    (ids, kind, size, spans, rest, payload).prop_map(
        |((id, team), kind, size, (runtime, deadline), rest, (program, args))| Draft {
            id,
            spec: Spec {
                team,
                kind,
                size: Resources::new(Millicores(size.0), Bytes(size.1), size.2),
                tasks: rest.0,
                priority: rest.1,
                runtime: runtime.map(Span::get),
                deadline: None,
                idempotent: rest.3.0,
                checkpoint: rest.3.1,
                spread: rest.2,
                payload: Payload { program, args },
            },
            deadline,
        },
    )
}
