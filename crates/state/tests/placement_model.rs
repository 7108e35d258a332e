//! The placement index against a model that scans everything.

use std::collections::BTreeMap;

use fulmarpier_state::{
    id::{
        DataCentreId,
        RackId,
        WorkerId, //
    },
    job::Spread,
    placement::{
        Index,
        Presence,
        Rule, //
    },
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
    worker, //
};
use proptest::prelude::*;

const WORKERS: u32 = 12;

#[derive(Clone, Debug)]
enum Step {
    Insert(u32, Resources),
    Remove(u32),
    Open(u32, bool),
    Reserve(u32, Resources),
    Release(u32, Resources),
    Find(Resources, u32, Spread),
    Plan(Resources, u32, Spread),
}

/// What the index should know, in the plainest form.
#[derive(Default)]
struct Model {
    workers: BTreeMap<WorkerId, Known>,
    presence: Presence,
}

struct Known {
    spec: worker::Spec,
    used: Vec<Resources>,
    open: bool,
}

impl Known {
    fn free(&self) -> Resources {
        let take = |free: Resources, size: &Resources| free.checked_sub(*size);
        self.used
            .iter()
            .try_fold(self.spec.capacity, take)
            .expect("never over capacity")
    }
}

impl Model {
    fn fitting(&self, size: &Resources, avoid: &[WorkerId]) -> Vec<&Known> {
        let open = self.workers.values().filter(|known| known.open);
        open.filter(|known| size.fits(&known.free()) && !avoid.contains(&known.spec.id))
            .collect()
    }

    /// The fewest tasks of the job that any place with room holds.
    fn level(&self, spread: Spread, spec: &worker::Spec) -> (u32, u32) {
        let centre = self.presence.in_data_centre(spec.data_centre);
        let rack = self.presence.in_rack(spec.data_centre, spec.rack);
        match spread {
            Spread::Any => (0, 0),
            Spread::Racks => (0, rack),
            Spread::DataCentres => (centre, rack),
        }
    }

    /// How many tasks fit at once, worker by worker.
    fn count(&self, size: &Resources, limit: u32) -> u32 {
        let mut count = 0;
        for known in self.fitting(size, &[]) {
            let mut free = known.free();
            while let Some(after) = free.checked_sub(*size).filter(|_| count < limit) {
                free = after;
                count += 1;
            }
        }
        count
    }
}

fn shape(id: u32, capacity: Resources) -> worker::Spec {
    // The lowest id must not be in the first place, so that ranges of places end next to it.
    let place = ((id + 1) % 2, (id + 3) % 5);
    let centre = DataCentreId(u16::try_from(place.0).expect("small"));
    worker::Spec::new(WorkerId(id), capacity).place(centre, RackId(place.1))
}

fn size() -> impl Strategy<Value = Resources> {
    let accelerators = prop_oneof![4 => Just(0_u16), 1 => 1_u16..3];
    (0_u32..5, 0_u64..5, accelerators)
        .prop_map(|(cpu, memory, acc)| Resources::new(Millicores(cpu), Bytes(memory), acc))
}

fn capacity() -> impl Strategy<Value = Resources> {
    let accelerators = prop_oneof![Just(0_u16), 1_u16..5];
    (1_u32..12, 1_u64..12, accelerators)
        .prop_map(|(cpu, memory, acc)| Resources::new(Millicores(cpu), Bytes(memory), acc))
}

fn spread() -> impl Strategy<Value = Spread> {
    prop_oneof![
        Just(Spread::Any),
        Just(Spread::Racks),
        Just(Spread::DataCentres)
    ]
}

fn step() -> impl Strategy<Value = Step> {
    let id = 0..WORKERS;
    prop_oneof![
        3 => (id.clone(), capacity()).prop_map(|(id, capacity)| Step::Insert(id, capacity)),
        1 => id.clone().prop_map(Step::Remove),
        1 => (id.clone(), any::<bool>()).prop_map(|(id, open)| Step::Open(id, open)),
        4 => (id.clone(), size()).prop_map(|(id, size)| Step::Reserve(id, size)),
        3 => (id.clone(), size()).prop_map(|(id, size)| Step::Release(id, size)),
        8 => (size(), id, spread()).prop_map(|(size, avoid, spread)| Step::Find(size, avoid, spread)),
        2 => (size(), 0_u32..12, spread())
            .prop_map(|(size, count, spread)| Step::Plan(size, count, spread)),
    ]
}

fn apply(index: &mut Index, model: &mut Model, step: Step) {
    match step {
        Step::Insert(id, capacity) => insert(index, model, id, capacity),
        Step::Remove(id) => {
            let removed = index.remove(WorkerId(id)).is_ok();
            assert_eq!(removed, model.workers.remove(&WorkerId(id)).is_some());
        }
        Step::Open(id, open) => {
            let set = index.set_open(WorkerId(id), open).is_ok();
            let known = model.workers.get_mut(&WorkerId(id));
            assert_eq!(set, known.map(|known| known.open = open).is_some());
        }
        Step::Reserve(id, size) => reserve(index, model, WorkerId(id), size),
        Step::Release(id, size) => release(index, model, WorkerId(id), size),
        Step::Find(size, avoid, spread) => find(index, model, size, WorkerId(avoid), spread),
        Step::Plan(size, count, spread) => plan(index, model, size, count, spread),
    }
}

fn insert(index: &mut Index, model: &mut Model, id: u32, capacity: Resources) {
    let spec = shape(id, capacity);
    let fresh = !model.workers.contains_key(&spec.id);
    assert_eq!(index.insert(spec).is_ok(), fresh);
    let used = Vec::new();
    let open = true;
    if fresh {
        model.workers.insert(spec.id, Known { spec, used, open });
    }
}

fn reserve(index: &mut Index, model: &mut Model, id: WorkerId, size: Resources) {
    let known = model.workers.get_mut(&id);
    let fitting = known.filter(|known| size.fits(&known.free()));
    assert_eq!(index.reserve(id, size).is_ok(), fitting.is_some());
    if let Some(known) = fitting {
        known.used.push(size);
    }
}

/// Releases the size if the model holds exactly one such reservation, else checks the refusal.
fn release(index: &mut Index, model: &mut Model, id: WorkerId, size: Resources) {
    let Some(known) = model.workers.get_mut(&id) else {
        assert!(index.release(id, size).is_err());
        return;
    };
    if let Some(at) = known.used.iter().position(|used| *used == size) {
        known.used.remove(at);
        assert_eq!(index.release(id, size), Ok(()));
        return;
    }
    let over = known.free().checked_add(size).expect("small");
    if !over.fits(&known.spec.capacity) {
        assert!(index.release(id, size).is_err());
    }
}

fn find(index: &mut Index, model: &mut Model, size: Resources, avoid: WorkerId, spread: Spread) {
    let avoid = [avoid];
    let rule = Rule::new().spread(spread, &model.presence).avoid(&avoid);
    let found = index.find(&size, &rule);
    let fitting = model.fitting(&size, &avoid);
    let least = fitting
        .iter()
        .map(|known| model.level(spread, &known.spec))
        .min();
    let chosen = found.map(|id| fitting.iter().find(|known| known.spec.id == id));
    let level = chosen.map(|known| {
        let spec = known.expect("the worker found has room").spec;
        model.level(spread, &spec)
    });
    assert_eq!(level, least);
    if let Some(id) = found {
        index.reserve(id, size).expect("there was room");
        let known = model.workers.get_mut(&id).expect("known");
        known.used.push(size);
        model.presence.add(&known.spec);
    }
}

fn plan(index: &mut Index, model: &mut Model, size: Resources, count: u32, spread: Spread) {
    let rule = Rule::new().spread(spread, &model.presence);
    let before = index.total_free();
    let plan = index.plan(&size, count, &rule);
    assert_eq!(index.total_free(), before);
    assert_eq!(plan.is_some(), model.count(&size, count) >= count);
    assert_eq!(index.count_fitting(&size, count), model.count(&size, count));
    let Some(workers) = plan else {
        return;
    };
    let mut trial = index.clone();
    assert_eq!(workers.len(), count as usize);
    for worker in workers {
        assert!(index.is_open(worker));
        trial.reserve(worker, size).expect("a plan has room");
    }
}

fn check(index: &Index, model: &Model) {
    let ids: Vec<WorkerId> = index.iter().map(|spec| spec.id).collect();
    let known: Vec<WorkerId> = model.workers.keys().copied().collect();
    assert_eq!(ids, known);
    for (id, known) in &model.workers {
        assert_eq!(index.free(*id), Some(known.free()));
        assert_eq!(index.is_open(*id), known.open);
    }
    let free = |known: &Known| u64::from(known.free().cpu.0);
    assert_eq!(
        index.total_free().cpu,
        model.workers.values().map(free).sum()
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        failure_persistence: None,
        ..ProptestConfig::with_cases(512)
    })]

    #[test]
    fn index_agrees_with_a_scan(steps in prop::collection::vec(step(), 1..80)) {
        let mut index = Index::new();
        let mut model = Model::default();
        for step in steps {
            apply(&mut index, &mut model, step);
            check(&index, &model);
        }
    }

    #[test]
    fn a_size_fits_empty_if_any_shape_holds_it(
        shapes in prop::collection::vec(capacity(), 0..8),
        gone in prop::collection::vec(0_u32..8, 0..4),
        size in size(),
    ) {
        let mut index = Index::new();
        for (id, capacity) in (0..).zip(&shapes) {
            index.insert(shape(id, *capacity)).expect("fresh");
        }
        for id in gone {
            // Removing a worker twice is an error, which is of no matter here.
            index.remove(WorkerId(id)).ok();
        }
        let expected = index.iter().any(|spec| size.fits(&spec.capacity));
        prop_assert_eq!(index.fits_empty(&size), expected);
    }
}
