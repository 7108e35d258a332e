//! What is sent again, when, and how much of it.

#[path = "support/cases.rs"]
mod cases;

use std::time::Duration;

use fulmarpier_coordination::retry::{
    Attempts,
    Backoff,
    Budget,
    Class,
    Denied,
    Plan, //
};
use fulmarpier_state::{
    clock::Timestamp,
    refusal::Outcome, //
};
use proptest::prelude::*;
use rstest::rstest;

const TAKES: Duration = Duration::from_millis(10);

fn at(millis: u64) -> Timestamp {
    Timestamp::from_millis(millis)
}

#[rstest]
#[case(Class::Idempotent, Outcome::NotRun, true)]
#[case(Class::Idempotent, Outcome::Unknown, true)]
#[case(Class::Idempotent, Outcome::Ran, false)]
#[case(Class::NonIdempotent, Outcome::NotRun, true)]
#[case(Class::NonIdempotent, Outcome::Unknown, false)]
#[case(Class::NonIdempotent, Outcome::Ran, false)]
fn only_what_does_no_harm_is_repeated(
    #[case] class: Class,
    #[case] outcome: Outcome,
    #[case] again: bool,
) {
    assert_eq!(class.may_repeat(outcome), again);
}

/// Sends one request through a gate that retries and a hop that would if it could; returns the sends.
fn send(budget: &mut Budget, hop: &mut Budget, now: Timestamp, seed: u64) -> u64 {
    let attempts = Attempts::new(4, now + Duration::from_secs(2));
    let mut plan = Plan::new(Class::Idempotent, attempts, Backoff::new(seed));
    let mut sends = 0;
    loop {
        let behind = attempts.last();
        let mut hop_plan = Plan::new(Class::Idempotent, behind, Backoff::new(seed));
        sends += 1;
        while hop_plan
            .again(Outcome::NotRun, hop, now, Duration::ZERO, TAKES)
            .is_ok()
        {
            sends += 1;
        }
        if plan
            .again(Outcome::NotRun, budget, now, Duration::ZERO, TAKES)
            .is_err()
        {
            return sends;
        }
    }
}

#[rstest]
#[case::steady(10_000, 1)]
#[case::burst(10_000, 0)]
fn sends_stay_near_the_requests_while_every_target_fails(#[case] requests: u64, #[case] gap: u64) {
    let per_second = 2;
    let mut budget = Budget::new(100, per_second, at(0));
    let mut hop = Budget::new(1_000, 1_000, at(0));
    let mut sends = 0;
    for request in 0..requests {
        let now = at(request * gap);
        budget.request(now);
        sends += send(&mut budget, &mut hop, now, request);
    }
    let minimum = u64::from(per_second) * (1 + requests * gap / 1_000);
    let most = requests + requests / 10 + minimum;
    assert!(
        (requests..=most).contains(&sends),
        "{sends} sends, at most {most} expected"
    );
    assert!(
        sends >= requests + requests / 10 - 1,
        "the budget is there to be used: {sends}"
    );
}

#[test]
fn quiet_hours_do_not_pay_for_a_storm() {
    let mut budget = Budget::new(100, 2, at(0));
    let later = at(3_600_000);
    let mut retries = 0;
    while budget.try_retry(later) {
        retries += 1;
    }
    assert_eq!(retries, 100);
    assert!(budget.try_retry(later + Duration::from_millis(500)));
}

#[rstest]
#[case::unsafe_to_repeat(Class::NonIdempotent, Outcome::Unknown, 4, 1_000, Denied::Unsafe)]
#[case::no_attempt_left(Class::Idempotent, Outcome::NotRun, 1, 1_000, Denied::Exhausted)]
#[case::no_time_left(Class::Idempotent, Outcome::NotRun, 4, 12, Denied::Deadline)]
#[case::no_budget_left(Class::Idempotent, Outcome::NotRun, 4, 1_000, Denied::Budget)]
fn each_reason_not_to_retry_is_told(
    #[case] class: Class,
    #[case] outcome: Outcome,
    #[case] most: u8,
    #[case] deadline: u64,
    #[case] expected: Denied,
) {
    let mut budget = Budget::new(100, 0, at(0));
    let mut plan = Plan::new(class, Attempts::new(most, at(deadline)), Backoff::new(1));
    let denied = plan.again(outcome, &mut budget, at(0), Duration::ZERO, TAKES);
    assert_eq!(denied, Err(expected));
    assert_eq!(plan.outcome(), outcome);
}

#[test]
fn one_unknown_attempt_makes_the_whole_unknown() {
    let mut budget = Budget::new(1_000, 10, at(0));
    let mut plan = Plan::new(
        Class::Idempotent,
        Attempts::new(2, at(9_000)),
        Backoff::new(1),
    );
    let first = plan.again(Outcome::Unknown, &mut budget, at(0), Duration::ZERO, TAKES);
    assert!(first.is_ok());
    let second = plan.again(Outcome::NotRun, &mut budget, at(50), Duration::ZERO, TAKES);
    assert_eq!(
        (second, plan.outcome()),
        (Err(Denied::Exhausted), Outcome::Unknown)
    );
}

proptest! {
    #![proptest_config(ProptestConfig { cases: cases::config().cases.max(256), ..cases::config() })]

    #[test]
    fn no_wait_passes_its_bound_or_the_deadline(
        seed: u64,
        deadline in 0..5_000_u64,
        asked in 0..500_u64,
    ) {
        let asked = Duration::from_millis(asked);
        let mut backoff = Backoff::new(seed);
        let mut now = at(0);
        for round in 0..12_u32 {
            let Some(wait) = backoff.next(now, at(deadline), asked, TAKES) else { break };
            let bound = Duration::from_millis(10) * (1 << round);
            prop_assert!(wait <= bound.min(Duration::from_secs(1)).max(asked));
            prop_assert!(wait >= asked);
            now = now + wait;
            prop_assert!(now + TAKES < at(deadline));
        }
    }

    #[test]
    fn retries_never_pass_the_ratio_and_the_minimum(
        calls in prop::collection::vec((any::<bool>(), 0..50_u64), 1..400),
    ) {
        let mut budget = Budget::new(100, 2, at(0));
        let (mut now, mut requests, mut retries) = (0, 0, 0);
        for (request, gap) in calls {
            now += gap;
            if request {
                budget.request(at(now));
                requests += 1;
            } else if budget.try_retry(at(now)) {
                retries += 1;
            }
            prop_assert!(retries * 1_000 <= requests * 100 + 2_000 + now * 2);
        }
    }
}
