//! Tasks that crash each worker that starts them.
//!
//! Urgent tasks of a busy fleet were started again every 3.3 s for as long as the day lasted, and each start took a worker
//! down with all that ran there: workers crashed 10 ms after such a start, came back after 3 s as other incarnations, and
//! by the end a sixteenth of them was down at any time. A crashed worker tells of no end, so no try was used up: what
//! was lost with a worker was put back as if it had never been started. The owner's log showed it: the step of such a task
//! waited again in the instant in which its worker was found to be another incarnation.

use std::time::Duration;

use fulmarpier_cell::{
    engine::State,
    id::{
        JobId,
        StepId, //
    },
    job::Step,
};
use rstest::rstest;

use crate::world::{
    Faults,
    World,
    quick_step, //
};

/// What befalls the cell meanwhile, once a second.
#[derive(Clone, Copy, Debug)]
enum Beside {
    Nothing,
    Takeovers,
    Outages,
    LostOrders,
}

fn single() -> Step {
    Step {
        count: 1,
        ..quick_step()
    }
}

fn gang() -> Step {
    Step {
        count: 4,
        gang: true,
        ..quick_step()
    }
}

fn lasting() -> Step {
    Step {
        lasting: true,
        ..single()
    }
}

/// Plays a minute with a job whose last task crashes its workers, beside others; returns the world and all jobs.
fn play(queue: &str, steps: Vec<Step>, beside: Beside) -> (World, JobId, Vec<JobId>) {
    let faults = Faults {
        lost_orders: if matches!(beside, Beside::LostOrders) {
            150
        } else {
            0
        },
        ..Faults::default()
    };
    let mut world = World::new(1, faults);
    world.run(Duration::from_secs(1));
    let (step, last) = (steps.len() - 1, steps[steps.len() - 1].count - 1);
    let job = world.submit(queue, steps);
    let step = StepId {
        job,
        occurrence: 0,
        step: u16::try_from(step).unwrap(),
    };
    world.crashers.insert(step.task(last));
    let mut others = Vec::new();
    for second in 0..60 {
        if second < 40 {
            others.push(world.submit(
                "batch",
                vec![Step {
                    count: 4,
                    ..quick_step()
                }],
            ));
            others.push(world.submit("urgent", vec![single()]));
        }
        match beside {
            Beside::Takeovers if second % 3 == 1 => world.take_over(),
            Beside::Outages if second % 5 == 1 => world.lose_store(Duration::from_secs(2)),
            _ => {}
        }
        world.run(Duration::from_secs(1));
    }
    (world, job, others)
}

#[rstest]
#[case::an_urgent_task("urgent", vec![single()], Beside::Nothing)]
#[case::a_task_of_a_later_step("batch", vec![quick_step(), Step { after: vec![0], ..quick_step() }], Beside::Nothing)]
#[case::a_member_of_a_gang("gang", vec![gang()], Beside::Nothing)]
#[case::a_lasting_task("batch", vec![lasting()], Beside::Nothing)]
#[case::while_owners_change("urgent", vec![single()], Beside::Takeovers)]
#[case::a_member_of_a_gang_while_owners_change("gang", vec![gang()], Beside::Takeovers)]
#[case::while_the_store_goes_away("urgent", vec![single()], Beside::Outages)]
#[case::while_orders_are_lost("urgent", vec![single()], Beside::LostOrders)]
fn a_task_that_crashes_its_workers_is_given_up(
    #[case] queue: &str,
    #[case] steps: Vec<Step>,
    #[case] beside: Beside,
) {
    let (world, job, others) = play(queue, steps, beside);
    assert_eq!(world.violations, Vec::<String>::new());
    assert_eq!(world.engine.state(job), Some(State::Failed));
    assert_eq!(world.completed(&others), others.len());
}
