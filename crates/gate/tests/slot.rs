//! Slots in virtual time: at once, in turn, or a refusal as soon as it is known.

use std::{
    sync::Arc,
    time::Duration, //
};

use fulmarpier_coordination::{
    credit::{
        End,
        Grant,
        Reply, //
    },
    platform::target::{
        Id,
        Target, //
    },
};
use fulmarpier_gate::{
    slot::{
        Ask,
        Held,
        Pool, //
    },
    wait::Limits,
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        Attempt,
        Epoch,
        Incarnation,
        JobId,
        NodeId,
        TaskId, //
    },
    name::Name,
    refusal::{
        Reason,
        Refusal, //
    },
};
use fulmarpier_transport::clock::Clock;
use rstest::rstest;
use tokio::{
    task::JoinHandle,
    time::{
        Instant,
        sleep, //
    },
};

const OWNER: NodeId = NodeId(1);
const LEASE: Duration = Duration::from_secs(2);

struct Bench {
    pool: Arc<Pool>,
    clock: Clock,
}

impl Bench {
    fn new() -> Self {
        let clock = Clock::at(Timestamp::from_millis(1_000_000));
        let pool = Arc::new(Pool::new(clock, NodeId(1), Incarnation(1), 7));
        Self { pool, clock }
    }

    /// Makes a statement and lets the owner grant so many slots of one target.
    fn grant(&self, slots: u16) {
        self.grant_on(0, slots);
    }

    /// The same for one of several targets.
    fn grant_on(&self, target: u32, slots: u16) {
        let statement = self.pool.state(OWNER, false);
        let id = Id {
            task: TaskId::new(JobId::from_u128(1), target),
            attempt: Attempt(1),
        };
        let address = "127.0.0.1:9".parse().unwrap();
        let grant = Grant {
            service: name("desk"),
            target: Target { id, address },
            epoch: Epoch(1),
            slots,
            lease: LEASE,
        };
        let reply = Reply {
            sequence: statement.sequence,
            grants: vec![grant],
        };
        assert!(self.pool.apply(OWNER, &reply));
    }

    fn ask(&self, team: &str, deadline: u64) -> Ask {
        Ask {
            service: name("desk"),
            team: name(team),
            weight: 1,
            deadline: self.clock.now() + Duration::from_millis(deadline),
            patience: Duration::from_millis(200),
            limits: Limits { total: 4, team: 4 },
            refused: Vec::new(),
        }
    }

    async fn take(&self, team: &str, deadline: u64) -> Result<Held, Refusal> {
        self.pool.acquire(&self.ask(team, deadline)).await
    }

    fn queue(&self, team: &str, deadline: u64) -> JoinHandle<Result<Held, Refusal>> {
        let pool = self.pool.clone();
        let ask = self.ask(team, deadline);
        tokio::spawn(async move { pool.acquire(&ask).await })
    }

    fn waiting(&self) -> u64 {
        self.pool.usage([name("desk")].iter()).waiting
    }

    fn used(&self) -> u64 {
        self.pool.usage([name("desk")].iter()).used
    }
}

fn name(text: &str) -> Name {
    text.parse().unwrap()
}

fn reason(result: Result<Held, Refusal>) -> Reason {
    result.map(drop).unwrap_err().reason
}

#[tokio::test(start_paused = true)]
async fn a_free_slot_is_taken_at_once() {
    let bench = Bench::new();
    bench.grant(2);
    let held = bench.take("a", 1_000).await.unwrap();
    assert_eq!(held.waited(), Duration::ZERO);
    assert_eq!(bench.used(), 1);
    drop(held);
    assert_eq!(bench.used(), 0);
}

#[tokio::test(start_paused = true)]
async fn a_slot_that_comes_free_goes_to_the_first_in_line() {
    let bench = Bench::new();
    bench.grant(1);
    let held = bench.take("a", 1_000).await.unwrap();
    let later = bench.queue("a", 900);
    let sooner = bench.queue("a", 800);
    sleep(Duration::from_millis(50)).await;
    assert_eq!(bench.waiting(), 2);
    drop(held);
    let held = sooner.await.unwrap().unwrap();
    assert_eq!(held.waited(), Duration::from_millis(50));
    assert!(!later.is_finished());
    drop(held);
    assert!(later.await.unwrap().is_ok());
}

/// The attempts of a request may outlast the time for which a target is avoided by all.
#[tokio::test(start_paused = true)]
async fn a_request_waits_for_another_target_than_the_one_that_refused_it() {
    let bench = Bench::new();
    bench.grant_on(0, 1);
    bench.grant_on(1, 1);
    let mut refusing = bench.take("a", 1_000).await.unwrap();
    let other = bench.take("a", 1_000).await.unwrap();
    let (refused, target) = (refusing.target(), other.target());
    refusing.ended(End::Refused);
    drop(refusing);
    // By then it is not avoided any more.
    sleep(Duration::from_millis(300)).await;
    let mut ask = bench.ask("a", 1_000);
    ask.refused.extend(refused);
    let pool = bench.pool.clone();
    let waiting = tokio::spawn(async move { pool.acquire(&ask).await });
    sleep(Duration::from_millis(100)).await;
    assert!(!waiting.is_finished());
    drop(other);
    assert_eq!(waiting.await.unwrap().unwrap().target(), target);
}

#[tokio::test(start_paused = true)]
async fn a_request_goes_back_to_the_only_target_there_is() {
    let bench = Bench::new();
    bench.grant(1);
    let mut held = bench.take("a", 1_000).await.unwrap();
    let mut ask = bench.ask("a", 1_000);
    ask.refused.extend(held.target());
    held.ended(End::Refused);
    drop(held);
    assert!(bench.pool.acquire(&ask).await.is_ok());
}

#[tokio::test(start_paused = true)]
async fn a_grant_serves_who_waits() {
    let bench = Bench::new();
    let waiting: Vec<_> = (0..3).map(|_| bench.queue("a", 1_000)).collect();
    sleep(Duration::from_millis(1)).await;
    bench.grant(3);
    for held in waiting {
        assert!(held.await.unwrap().is_ok());
    }
    assert_eq!(bench.waiting(), 0);
}

#[tokio::test(start_paused = true)]
async fn without_any_slot_patience_ends_before_the_deadline() {
    let bench = Bench::new();
    let began = Instant::now();
    let refused = bench.take("a", 10_000).await;
    assert_eq!(reason(refused), Reason::NoTarget);
    assert_eq!(began.elapsed(), Duration::from_millis(200));
    assert_eq!(bench.waiting(), 0);
}

#[tokio::test(start_paused = true)]
async fn with_slots_in_use_a_request_waits_to_its_deadline() {
    let bench = Bench::new();
    bench.grant(1);
    let _held = bench.take("a", 10_000).await.unwrap();
    let began = Instant::now();
    let refused = bench.take("a", 700).await;
    assert_eq!(reason(refused), Reason::Deadline);
    assert_eq!(began.elapsed(), Duration::from_millis(700));
}

#[tokio::test(start_paused = true)]
async fn what_cannot_start_in_time_is_refused_on_arrival() {
    let bench = Bench::new();
    bench.grant(1);
    let mut held = bench.take("a", 10_000).await.unwrap();
    sleep(Duration::from_millis(400)).await;
    held.ended(End::Answered);
    drop(held);
    // Requests are now known to take 400 ms.
    let _held = bench.take("a", 10_000).await.unwrap();
    let began = Instant::now();
    let refused = bench.take("a", 300).await;
    assert_eq!(reason(refused), Reason::Deadline);
    assert_eq!(began.elapsed(), Duration::ZERO);
}

#[tokio::test(start_paused = true)]
async fn a_caller_that_leaves_gives_its_place_and_its_slot_back() {
    let bench = Bench::new();
    bench.grant(1);
    let held = bench.take("a", 10_000).await.unwrap();
    let gone = bench.queue("a", 1_000);
    let next = bench.queue("a", 2_000);
    sleep(Duration::from_millis(1)).await;
    gone.abort();
    assert!(gone.await.is_err());
    assert_eq!(bench.waiting(), 1);
    // The slot is handed over and its new holder leaves before it looks.
    drop(held);
    next.abort();
    assert!(next.await.is_err());
    assert_eq!((bench.waiting(), bench.used()), (0, 0));
}

#[tokio::test(start_paused = true)]
async fn a_full_queue_refuses_and_makes_room_for_other_teams() {
    let bench = Bench::new();
    bench.grant(1);
    let held = bench.take("flood", 10_000).await.unwrap();
    let flood: Vec<_> = (0..4).map(|n| bench.queue("flood", 1_000 + n)).collect();
    sleep(Duration::from_millis(1)).await;
    assert_eq!(reason(bench.take("flood", 500).await), Reason::QueueFull);
    let other = bench.queue("b", 1_000);
    sleep(Duration::from_millis(1)).await;
    drop(held);
    // The team that has had nothing goes first; the rest of the flood follows.
    assert!(other.await.unwrap().is_ok());
    let mut reasons = Vec::new();
    for call in flood {
        let ended = call.await.unwrap().map(drop);
        reasons.push(ended.err().map(|refusal| refusal.reason));
    }
    assert_eq!(reasons, [None, None, None, Some(Reason::TeamQueueFull)]);
}

#[rstest]
#[case::in_time(1_999, true)]
#[case::lapsed(2_000, false)]
#[tokio::test(start_paused = true)]
async fn nothing_is_sent_after_the_lease(#[case] millis: u64, #[case] sent: bool) {
    let bench = Bench::new();
    bench.grant(1);
    let mut held = bench.take("a", 60_000).await.unwrap();
    sleep(Duration::from_millis(millis)).await;
    assert_eq!(held.send().is_some(), sent);
}
