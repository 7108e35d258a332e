//! Workers for many tasks at once.

use crate::{
    id::WorkerId,
    job::Spread,
    resource::Resources, //
};

use super::{
    Index,
    Rule,
    Visits,
    entry::Entry,
    orders::amounts_from, //
};

impl Index {
    /// Returns a worker for each of `count` tasks of this size, or `None` unless all fit at once.
    ///
    /// A worker may be named several times. Nothing is reserved. Without a spread this finds a
    /// plan whenever there is one and costs O(workers named × log workers). With a spread, the
    /// tasks are placed one by one on a copy: O(workers + count × cost of [`Self::find`]).
    pub fn plan(&self, size: &Resources, count: u32, rule: &Rule<'_>) -> Option<Vec<WorkerId>> {
        match rule.spread {
            Spread::Any => self.plan_packed(size, count, rule),
            Spread::Racks | Spread::DataCentres => self.plan_apart(size, count, rule),
        }
    }

    /// Returns how many tasks of this size the open workers could take now, at most `up_to`.
    ///
    /// Costs O(workers counted × log workers).
    pub fn count_fitting(&self, size: &Resources, up_to: u32) -> u32 {
        let mut count = 0;
        self.each_fitting(size, &Rule::new(), |entry| {
            let room = up_to - count;
            count += times(size, &entry.free, room);
            count < up_to
        });
        count
    }

    fn plan_packed(&self, size: &Resources, count: u32, rule: &Rule<'_>) -> Option<Vec<WorkerId>> {
        let wanted = usize::try_from(count).ok()?;
        let mut workers = Vec::new();
        if wanted == 0 {
            return Some(workers);
        }
        self.each_fitting(size, rule, |entry| {
            let missing = wanted - workers.len();
            let most = u32::try_from(missing).unwrap_or(u32::MAX);
            let here = times(size, &entry.free, most) as usize;
            workers.extend(std::iter::repeat_n(entry.spec.id, here));
            workers.len() < wanted
        });
        (workers.len() == wanted).then_some(workers)
    }

    fn plan_apart(&self, size: &Resources, count: u32, rule: &Rule<'_>) -> Option<Vec<WorkerId>> {
        if self.count_fitting(size, count) < count {
            return None;
        }
        let mut trial = self.clone();
        let mut presence = rule.presence.cloned().unwrap_or_default();
        let mut workers = Vec::new();
        for _ in 0..count {
            let rule = rule.spread(rule.spread, &presence);
            let worker = trial.find(size, &rule)?;
            trial.reserve(worker, *size).ok()?;
            presence.add(trial.spec(worker)?);
            workers.push(worker);
        }
        Some(workers)
    }

    /// Visits the open workers with room for the size, the preferred first, until `take` returns
    /// `false`.
    fn each_fitting(
        &self,
        size: &Resources,
        rule: &Rule<'_>,
        mut take: impl FnMut(&Entry) -> bool,
    ) {
        let mut visits = Visits::default();
        let mut more = true;
        for class in self.orders.classes(size.accelerators) {
            if !more {
                return;
            }
            let keys = amounts_from(class, u64::from(size.cpu.0));
            self.orders
                .by_cpu
                .scan(&keys, size, &mut visits, &mut |slot| {
                    let entry = &self.slots[slot as usize];
                    if !rule.avoid.contains(&entry.spec.id) {
                        more = take(entry);
                    }
                    more
                });
        }
    }
}

/// Returns how many times a size fits into an amount, at most `most`.
fn times(size: &Resources, free: &Resources, most: u32) -> u32 {
    let ratio = |part: u64, whole: u64| whole.checked_div(part).unwrap_or(u64::MAX);
    let cpu = ratio(u64::from(size.cpu.0), u64::from(free.cpu.0));
    let memory = ratio(size.memory.0, free.memory.0);
    let accelerators = ratio(u64::from(size.accelerators), u64::from(free.accelerators));
    let fitting = cpu.min(memory).min(accelerators);
    u32::try_from(fitting).unwrap_or(u32::MAX).min(most)
}
