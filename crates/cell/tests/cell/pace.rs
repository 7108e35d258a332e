//! Placement by the speed of workers.

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BTreeSet, //
    },
    time::Duration,
};

use fulmarpier_cell::{
    id::{
        JobId,
        WorkerId, //
    },
    job::Step,
    pace::{
        self,
        Candidate,
        Preference, //
    },
    speed::Class,
};
use proptest::{
    collection::vec,
    prelude::*, //
};
use rstest::rstest;

use crate::world::{
    Decision,
    Faults,
    World,
    quick_step,
    size, //
};

/// The nodes that ask for advice.
const NODES: [&str; 6] = ["a", "b", "c", "d", "e", "f"];
/// How many workers there are, each with the capacity for four tasks of the usual size.
const WORKERS: u32 = 24;
/// The time between two batches of jobs.
const TICK: Duration = Duration::from_millis(250);
const SECOND: Duration = Duration::from_secs(1);

/// Returns a step of tasks of the usual size.
fn step(count: u16) -> Step {
    Step {
        count,
        ..quick_step()
    }
}

/// Returns a gang of tasks that take half a worker each.
fn gang(count: u16) -> Step {
    Step {
        count,
        size: size(2_000, 1_024),
        gang: true,
        ..quick_step()
    }
}

/// Guards against decisions that change where no worker is known to be slower or faster than the others.
///
/// The snapshot was taken from a build whose placement disregards the speed of workers. The load exceeds the capacity, so that tasks
/// wait, tickets are renewed, and tasks are preempted.
#[test]
fn equal_workers_are_chosen_as_without_regard_to_speed() {
    let mut world = World::sized(7, Faults::default(), WORKERS, &NODES);
    world.run(SECOND);
    for tick in 0..8 {
        let racks = Step {
            same_rack: tick % 2 == 0,
            ..gang(3)
        };
        let near = Step {
            affinity: Some("r1".into()),
            checkpointing: true,
            ..step(24)
        };
        world.submit("urgent", vec![step(3)]);
        world.submit("gang", vec![racks]);
        world.submit("batch", vec![near]);
        world.run(TICK);
    }
    assert!(!world.preempted.is_empty());
    assert_eq!(world.violations, Vec::<String>::new());
    let decisions: Vec<String> = world.decisions.iter().map(Decision::to_string).collect();
    insta::assert_snapshot!(decisions.join("\n"));
}

/// Guards against calls for advice that name other workers than before where no worker is known to be slower or faster:
/// the order is by free CPU, also of workers that have too little memory left.
#[test]
fn equal_workers_are_asked_about_in_the_order_of_their_free_cpu() {
    let mut world = World::sized(1, Faults::default(), WORKERS, &NODES);
    world.run(SECOND);
    let without_memory = Step {
        size: size(1_000, 4_096),
        ..step(4)
    };
    let half = Step {
        size: size(2_000, 1_024),
        anti_affinity: Some(1),
        ..step(20)
    };
    let without_memory = world.submit("batch", vec![without_memory]);
    world.submit("batch", vec![half]);
    world.run(Duration::from_millis(50));
    world.submit("urgent", vec![step(2)]);
    world.run(Duration::from_millis(50));
    let mut asked = world.decisions.iter().find_map(|decision| match decision {
        Decision::Ask(_, slots) => Some(slots[..4].to_vec()),
        Decision::Place(..) => None,
    });
    asked.iter_mut().for_each(|slots| slots.sort_unstable());
    let mut expected = slots_of(&world, &[without_memory]);
    expected.sort_unstable();
    assert_eq!(asked, Some(expected));
}

/// Returns the class of each third of the slots, slowest first.
fn class_of(slot: u32, workers: u32) -> Class {
    Class::ALL[(slot * 3 / workers) as usize]
}

/// Tells the owner the classes of the workers, each of which follows from the worker's slot.
fn set_classes(world: &mut World, class_of: impl Fn(u32) -> Class) {
    let workers = world.workers.values();
    let workers: Vec<(WorkerId, Class)> = workers
        .map(|worker| (worker.id.clone(), class_of(worker.slot)))
        .collect();
    for (id, class) in workers {
        world.engine.set_speed_class(&id, class);
    }
}

/// Guards against workers that are counted in no class, or in one that they no longer have.
#[test]
fn workers_are_counted_by_class() {
    let counts = |world: &World| {
        world
            .engine
            .counts()
            .workers_by_speed
            .map(|(_, count)| count)
    };
    let mut world = World::sized(1, Faults::default(), WORKERS, &NODES);
    world.run(SECOND);
    assert_eq!(counts(&world), [0, 24, 0]);
    set_classes(&mut world, |slot| class_of(slot, WORKERS));
    assert_eq!(counts(&world), [8, 8, 8]);
    set_classes(&mut world, |_| Class::Fast);
    assert_eq!(counts(&world), [0, 0, 24]);
}

/// Returns the slots on which tasks of jobs were placed.
fn slots_of(world: &World, jobs: &[JobId]) -> Vec<u32> {
    let placed = world
        .decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Place(task, slot) if jobs.contains(&task.step.job) => Some(*slot),
            _ => None,
        });
    placed.collect()
}

/// Returns how many tasks of jobs were placed on workers of each class, slowest first.
fn counts_by_class(world: &World, jobs: &[JobId]) -> [usize; 3] {
    let mut counts = [0; 3];
    for slot in slots_of(world, jobs) {
        counts[class_of(slot, WORKERS) as usize] += 1;
    }
    counts
}

/// The jobs of each queue that a load consists of.
#[derive(Default)]
struct Jobs {
    urgent: Vec<JobId>,
    gangs: Vec<JobId>,
    batch: Vec<JobId>,
}

/// Runs 10 s with urgent jobs, gangs and batch that take half of the workers, so that each gang fits on workers of
/// one class. The owner knows the
/// classes of the workers, a third of each, only if `is_known` is set.
fn run_load(seed: u64, is_known: bool) -> (World, Jobs) {
    let mut world = World::sized(seed, Faults::default(), WORKERS, &NODES);
    world.run(SECOND);
    if is_known {
        set_classes(&mut world, |slot| class_of(slot, WORKERS));
    }
    let mut jobs = Jobs::default();
    for tick in 0..40 {
        jobs.urgent.push(world.submit("urgent", vec![step(2)]));
        jobs.batch.push(world.submit("batch", vec![step(4)]));
        if tick % 4 == 0 {
            jobs.gangs.push(world.submit("gang", vec![gang(4)]));
        }
        world.run(TICK);
    }
    assert_eq!(world.violations, Vec::<String>::new());
    (world, jobs)
}

/// Guards against urgent tasks on slow workers while others have room, against batch tasks that take the room on fast
/// workers although they have slack, and against gangs that have to wait for a slow member although all members fit on
/// workers of one class.
#[rstest]
fn urgent_tasks_avoid_slow_workers_and_gangs_are_not_mixed(#[values(1, 2, 3)] seed: u64) {
    let mixed = |world: &World, jobs: &Jobs| {
        let counts = jobs.gangs.iter();
        let counts = counts.map(|gang| counts_by_class(world, std::slice::from_ref(gang)));
        counts
            .filter(|counts| counts.iter().filter(|count| **count > 0).count() > 1)
            .count()
    };
    // The load tells the placement by speed from that without.
    let (world, jobs) = run_load(seed, false);
    let [urgent_on_slow, ..] = counts_by_class(&world, &jobs.urgent);
    assert!(urgent_on_slow > 10, "{urgent_on_slow}");
    assert!(mixed(&world, &jobs) > 1);

    let (world, jobs) = run_load(seed, true);
    let urgent = counts_by_class(&world, &jobs.urgent);
    let batch = counts_by_class(&world, &jobs.batch);
    assert_eq!(urgent[0], 0, "{urgent:?}");
    assert!(urgent[2] > 2 * urgent[1], "{urgent:?}");
    assert!(batch[0] > 2 * batch[2], "{batch:?}");
    assert_eq!(mixed(&world, &jobs), 0);
}

/// Guards against tasks that wait for workers of a class while others have room: the order of the classes excludes
/// none.
#[test]
fn urgent_tasks_run_on_slow_workers_when_the_others_are_full() {
    let mut world = World::sized(1, Faults::default(), WORKERS, &NODES);
    world.run(SECOND);
    set_classes(&mut world, |slot| class_of(slot, WORKERS));
    let jobs: Vec<JobId> = (0..12)
        .map(|_| world.submit("urgent", vec![step(6)]))
        .collect();
    world.run(SECOND);
    let counts = counts_by_class(&world, &jobs);
    assert!(counts[0] > 0, "{counts:?}");
    assert_eq!(counts.iter().sum::<usize>(), 72);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Returns the slots of the first call for advice about a step, and the classes of the workers.
///
/// Of 60 workers, ten are full, some of them fast and the others slow. Those with room are of all classes.
fn first_call(queue: &str, asking: Step) -> (Vec<u32>, impl Fn(&u32) -> (bool, Reverse<Class>)) {
    let mut world = World::sized(1, Faults::default(), 60, &NODES);
    world.run(SECOND);
    let filling = Step {
        size: size(4_000, 1_024),
        ..step(10)
    };
    let filling = world.submit("batch", vec![filling]);
    world.run(Duration::from_millis(50));
    let full: BTreeSet<u32> = slots_of(&world, &[filling]).into_iter().collect();
    assert_eq!(full.len(), 10);
    let is_full = full.clone();
    let class_of = move |slot| match (is_full.contains(&slot), slot % 3) {
        (true, _) if slot % 2 == 0 => Class::Slow,
        (true, _) | (false, 0) => Class::Fast,
        (false, 1) => Class::Typical,
        (false, _) => Class::Slow,
    };
    set_classes(&mut world, &class_of);
    world.submit(queue, vec![asking]);
    world.run(Duration::from_millis(50));
    let calls = world.decisions.into_iter();
    let mut calls = calls.filter_map(|decision| match decision {
        Decision::Ask(_, slots) => Some(slots),
        Decision::Place(..) => None,
    });
    let asked = calls.next().expect("a call for advice");
    let order = move |slot: &u32| (full.contains(slot), Reverse(class_of(*slot)));
    (asked, order)
}

/// Guards against calls that are spent on slow workers, and against fast workers without room that are asked about
/// before slow ones that have it.
#[rstest]
#[case::urgent("urgent", step(2))]
#[case::gang("gang", gang(2))]
fn faster_workers_are_asked_about_first_among_those_with_room(
    #[case] queue: &str,
    #[case] asking: Step,
) {
    let (asked, order) = first_call(queue, asking);
    assert_eq!(asked.len(), 48);
    assert!(asked.is_sorted_by_key(order), "{asked:?}");
}

/// Guards against batch steps that ask about full workers before those with room, because of their class.
#[test]
fn batch_asks_about_workers_with_room_first_whatever_their_class() {
    let (asked, order) = first_call("advised-batch", step(2));
    assert_eq!(asked.len(), 60);
    assert!(asked.is_sorted_by_key(|slot| order(slot).0), "{asked:?}");
}

/// Guards against a member of a gang that replaces a lost one on a slower worker, or on a faster one than the gang can
/// use.
#[test]
fn a_lost_member_of_a_gang_is_replaced_at_the_pace_of_the_others() {
    let mut world = World::sized(1, Faults::default(), WORKERS, &NODES);
    world.append_duration = Duration::from_millis(200);
    world.run(SECOND);
    let job = world.submit("gang", vec![gang(4)]);
    world.run(Duration::from_millis(100));
    let gang_slots: BTreeSet<u32> = slots_of(&world, &[job]).into_iter().collect();
    // The gang runs on typical workers; there is room on workers of each class.
    set_classes(&mut world, |slot| match gang_slots.contains(&slot) {
        true => Class::Typical,
        false => class_of(slot, WORKERS),
    });
    let lost = world.workers.values();
    let mut lost = lost.filter(|worker| gang_slots.contains(&worker.slot));
    let lost = lost.next().expect("a worker of the gang").id.clone();
    world.replace_worker(&lost, "a");
    world.run(SECOND);
    let slots = slots_of(&world, &[job]);
    let replacements: Vec<Class> = slots[4..]
        .iter()
        .map(|slot| class_of(*slot, WORKERS))
        .collect();
    assert_eq!(replacements, [Class::Typical; 2]);
    assert_eq!(world.violations, Vec::<String>::new());
}

/// Guards against urgent tasks that preempt others on slow workers when that costs as little on fast ones.
#[test]
fn urgent_tasks_preempt_on_fast_workers() {
    let mut world = World::sized(1, Faults::default(), WORKERS, &NODES);
    world.run(SECOND);
    let filling = Step {
        checkpointing: true,
        ..step(96)
    };
    let filling = world.submit("batch", vec![filling]);
    world.run(Duration::from_millis(100));
    set_classes(&mut world, |slot| class_of(slot, WORKERS));
    world.submit("urgent", vec![step(3)]);
    world.run(Duration::from_millis(100));
    let placed: BTreeMap<_, _> = world
        .decisions
        .iter()
        .filter_map(|decision| match decision {
            Decision::Place(task, slot) if task.step.job == filling => Some((*task, *slot)),
            _ => None,
        })
        .collect();
    let victims = world.preempted.iter();
    let victims: Vec<Class> = victims
        .map(|(_, task)| class_of(placed[task], WORKERS))
        .collect();
    assert_eq!(victims, [Class::Fast; 3]);
}

/// Guards against batch tasks that take fast workers although they have slack, or that keep to slow ones when a longer
/// run would make them late.
#[rstest]
#[case::urgent(true, 5_000, [Class::Fast, Class::Typical, Class::Slow])]
#[case::with_slack(false, 5_000, [Class::Slow, Class::Typical, Class::Fast])]
#[case::with_little_slack(false, 900, [Class::Fast, Class::Typical, Class::Slow])]
#[case::late(false, 0, [Class::Fast, Class::Typical, Class::Slow])]
fn single_tasks_take_the_classes_in_order(
    #[case] is_urgent: bool,
    #[case] slack_ms: u64,
    #[case] expected: [Class; 3],
) {
    let slack = Duration::from_millis(slack_ms);
    let preference = Preference::for_single(is_urgent, slack, SECOND);
    assert_eq!(in_order(preference), expected);
}

fn in_order(preference: Preference) -> [Class; 3] {
    let mut classes = Class::ALL;
    classes.sort_by_key(|class| preference.position(*class));
    classes
}

/// Guards against a member that replaces a lost one of a typical gang on a worker that is slower, or faster than needed.
#[test]
fn a_missing_member_takes_a_worker_of_the_gangs_pace_first() {
    let preference = Preference::at_least(Class::Typical);
    let expected = [Class::Typical, Class::Fast, Class::Slow];
    assert_eq!(in_order(preference), expected);
}

/// Returns candidates for members of a gang, each given as the class, how many members fit, the penalty and the rack.
fn candidates(rows: &[(Class, usize, usize, &'static str)]) -> Vec<Candidate<'static, usize>> {
    let rows = rows.iter().enumerate();
    let candidates = rows.map(|(worker, (class, fits, penalty, rack))| Candidate {
        worker,
        fits: *fits,
        class: *class,
        rack: Some(rack),
        penalty: (*penalty > 0, *penalty),
        left: 0,
    });
    candidates.collect()
}

use Class::{
    Fast,
    Slow,
    Typical, //
};

/// Guards against gangs that have slower members than they need to, or that take faster workers where that gains
/// nothing.
#[rstest]
#[case::all_on_fast_workers(&[(Slow, 4, 0, "a"), (Typical, 4, 0, "a"), (Fast, 4, 0, "a")], &[2, 2, 2, 2])]
#[case::bounded_by_typical(&[(Fast, 3, 0, "a"), (Typical, 2, 0, "a"), (Slow, 9, 0, "a")], &[1, 1, 0, 0])]
#[case::bounded_by_slow(&[(Fast, 1, 0, "a"), (Typical, 1, 0, "a"), (Slow, 3, 0, "a")], &[2, 2, 2, 1])]
#[case::too_many(&[(Fast, 1, 0, "a"), (Slow, 2, 0, "a")], &[])]
#[case::the_penalty_takes_precedence(&[(Fast, 4, 1, "a"), (Slow, 4, 0, "a")], &[1, 1, 1, 1])]
#[case::no_faster_than_the_preferred_rack(
    &[(Fast, 4, 1, "a"), (Typical, 4, 1, "a"), (Slow, 4, 1, "a"), (Typical, 2, 0, "a")],
    &[3, 3, 1, 1]
)]
fn a_gang_of_four_takes_the_fastest_pace_at_which_it_fits(
    #[case] rows: &[(Class, usize, usize, &'static str)],
    #[case] expected: &[usize],
) {
    let chosen = pace::choose_workers(candidates(rows), 4);
    assert_eq!(chosen.unwrap_or_default(), expected);
}

/// Guards against a gang that spans racks, or is slower than it needs to be within one, or takes fast workers where
/// that gains nothing.
#[rstest]
#[case::the_fastest_rack(&[(Typical, 4, 0, "a"), (Fast, 5, 0, "b")], &[1, 1, 1, 1])]
#[case::one_rack_before_speed(&[(Fast, 3, 0, "a"), (Fast, 3, 0, "b"), (Slow, 4, 0, "c")], &[2, 2, 2, 2])]
#[case::fewest_fast_workers(
    &[(Typical, 1, 0, "a"), (Fast, 3, 0, "a"), (Typical, 5, 0, "b")],
    &[2, 2, 2, 2]
)]
#[case::least_room(&[(Typical, 5, 0, "a"), (Typical, 4, 0, "b")], &[1, 1, 1, 1])]
#[case::none(&[(Fast, 3, 0, "a"), (Fast, 3, 0, "b")], &[])]
fn a_gang_of_four_takes_one_rack(
    #[case] rows: &[(Class, usize, usize, &'static str)],
    #[case] expected: &[usize],
) {
    let chosen = pace::choose_rack(&candidates(rows), 4);
    assert_eq!(chosen.unwrap_or_default(), expected);
}

/// Guards against a gang all of whose members run alone on empty workers and that waits for room that it doesn't need.
#[test]
fn no_members_need_no_workers() {
    let none: Vec<Candidate<'_, usize>> = Vec::new();
    assert_eq!(pace::choose_workers(none, 0), Some(Vec::new()));
}

/// Assigns members to workers of equal speed in order, as many as fit on each.
fn assign(candidates: &[Candidate<'_, usize>], count: usize) -> Option<Vec<usize>> {
    let places = candidates.iter();
    let places = places.flat_map(|candidate| std::iter::repeat_n(candidate.worker, candidate.fits));
    let places: Vec<usize> = places.take(count).collect();
    (places.len() == count).then_some(places)
}

/// Chooses a rack without regard to speed: the one with the least room among those in which all members fit.
fn assign_rack(candidates: &[Candidate<'_, usize>], count: usize) -> Option<Vec<usize>> {
    let mut racks: BTreeMap<_, Vec<_>> = BTreeMap::new();
    for candidate in candidates {
        racks.entry(candidate.rack).or_default().push(*candidate);
    }
    let room = |rack: &Vec<Candidate<'_, usize>>| rack.iter().map(|it| it.fits).sum::<usize>();
    let fitting = racks.into_values().filter(|rack| room(rack) >= count);
    assign(&fitting.min_by_key(room)?, count)
}

prop_compose! {
    /// Draws candidates of the given classes.
    fn any_candidates(classes: &'static [Class])(
        rows in vec((prop::sample::select(classes), 1..5_usize, 0..3_usize, 0..4_u32, 0..3_usize), 0..12)
    ) -> Vec<Candidate<'static, usize>> {
        let rows = rows.into_iter().enumerate();
        rows.map(|(worker, (class, fits, penalty, left, rack))| Candidate {
            worker,
            fits,
            class,
            rack: Some(["a", "b", "c"][rack]),
            penalty: (penalty > 1, penalty),
            left,
        }).collect()
    }
}

proptest! {
    /// Guards against gangs that take other workers than before where all workers are equal.
    #[test]
    fn gangs_take_equal_workers_as_without_regard_to_speed(
        mut candidates in any_candidates(&[Typical]),
        count in 1..12_usize,
    ) {
        prop_assert_eq!(pace::choose_rack(&candidates, count), assign_rack(&candidates, count));
        let chosen = pace::choose_workers(candidates.clone(), count);
        candidates.sort_by_key(|it| (it.penalty, it.left, it.worker));
        prop_assert_eq!(chosen, assign(&candidates, count));
    }

    /// Guards against gangs whose slowest member is slower than it has to be, and against members on faster workers
    /// where that gains nothing.
    #[test]
    fn gangs_are_mixed_only_if_they_do_not_fit_unmixed(
        mut candidates in any_candidates(&Class::ALL),
        count in 1..12_usize,
    ) {
        for it in &mut candidates {
            it.penalty = (false, 0);
        }
        let room = |fits: &dyn Fn(Class) -> bool| {
            let fitting = candidates.iter().filter(|it| fits(it.class));
            fitting.map(|it| it.fits).sum::<usize>()
        };
        let bound = Class::ALL.into_iter().rfind(|bound| room(&|class| class >= *bound) >= count);
        let chosen = pace::choose_workers(candidates.clone(), count);
        prop_assert_eq!(chosen.is_some(), bound.is_some());
        let (Some(chosen), Some(bound)) = (chosen, bound) else {
            return Ok(());
        };
        let classes: Vec<Class> = chosen.iter().map(|it| candidates[*it].class).collect();
        let at_bound = classes.iter().filter(|class| **class == bound).count();
        prop_assert_eq!(classes.iter().min(), Some(&bound));
        prop_assert_eq!(at_bound, count.min(room(&|class| class == bound)));
    }

    /// Guards against gangs that take more members on a worker than fit, that are left out although they fit, or that
    /// take a worker with a higher penalty for the sake of its speed.
    #[test]
    fn gangs_fit_and_take_no_worker_with_a_higher_penalty_for_its_speed(
        candidates in any_candidates(&Class::ALL),
        count in 1..12_usize,
    ) {
        let penalties = |workers: Vec<usize>| {
            let mut penalties: Vec<_> = workers.iter().map(|it| candidates[*it].penalty).collect();
            penalties.sort_unstable();
            penalties
        };
        let chosen = pace::choose_workers(candidates.clone(), count);
        if let Some(chosen) = &chosen {
            for it in &candidates {
                prop_assert!(chosen.iter().filter(|worker| **worker == it.worker).count() <= it.fits);
            }
        }
        let mut ordered = candidates.clone();
        ordered.sort_by_key(|it| it.penalty);
        prop_assert_eq!(chosen.map(penalties), assign(&ordered, count).map(penalties));
    }
}
