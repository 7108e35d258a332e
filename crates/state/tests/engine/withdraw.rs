//! Jobs that leave before they start.

use crate::support::{
    at,
    batch,
    cell,
    gang,
    job_id,
    run, //
};
use fulmarpier_state::{
    engine::{
        End,
        State, //
    },
    job::Spec,
};

#[test]
fn only_a_job_of_which_nothing_runs_or_ran_can_leave() {
    let mut engine = cell(1, 8);
    engine.submit(job_id(1), batch(1, 8), at(0));
    engine.submit(job_id(2), gang(2, 4), at(1));
    engine.submit(job_id(3), batch(1, 16), at(2));
    let (task, attempt, worker) = run(&mut engine, at(2))[0];
    assert_eq!(engine.unstarted(at(2)), [job_id(2)]);
    assert_eq!(engine.unstarted(at(3)), [job_id(2), job_id(3)]);
    assert!(!engine.withdraw(job_id(1), at(3)));
    assert!(engine.withdraw(job_id(2), at(3)));
    assert_eq!(engine.job(job_id(2)), None);
    assert_eq!(engine.unstarted(at(3)), [job_id(3)]);
    assert_eq!(engine.audit(), Ok(()));
    // What has left does not start, and what it had reserved is free.
    let age = std::time::Duration::from_secs(5);
    engine.ended(task, attempt, worker, End::Succeeded, age, at(8));
    assert!(run(&mut engine, at(9)).is_empty());
    assert!(!engine.withdraw(job_id(1), at(9)), "it has ended");
    engine.submit(job_id(4), batch(2, 4), at(9));
    assert_eq!(run(&mut engine, at(10)).len(), 2);
    assert_eq!(engine.audit(), Ok(()));
}

#[test]
fn a_job_whose_worker_was_lost_can_leave_only_if_its_tasks_may_run_again() {
    for idempotent in [true, false] {
        let mut engine = cell(1, 8);
        let spec = Spec {
            idempotent,
            ..batch(1, 4)
        };
        engine.submit(job_id(1), spec, at(0));
        assert_eq!(run(&mut engine, at(1)).len(), 1);
        assert!(!engine.may_withdraw(job_id(1)), "it runs");
        let worker = engine.tasks(job_id(1))[0].worker;
        engine.worker_lost(worker, at(20));
        assert_eq!(engine.may_withdraw(job_id(1)), idempotent);
        let waits = engine.job(job_id(1)).map(|view| view.state) == Some(State::Waiting);
        assert_eq!(waits, idempotent);
    }
}
