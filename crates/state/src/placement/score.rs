//! How good a worker is for a task.

use crate::resource::Resources;

use super::Weights;

/// What is left of a worker after a task, as shares of the whole worker.
#[derive(Clone, Copy, Debug)]
struct Rest {
    cpu: f64,
    memory: f64,
}

/// Returns how unwelcome it is to put a task of this size on a worker; the lowest is best.
///
/// `size` fits `free`.
pub(super) fn score(
    size: &Resources,
    free: &Resources,
    capacity: &Resources,
    weights: &Weights,
) -> f64 {
    let _ = weights;
    let rest = Rest::after(size, free, capacity);
    rest.cpu + rest.memory
}

impl Rest {
    fn after(size: &Resources, free: &Resources, capacity: &Resources) -> Self {
        let cpu = free.cpu.0.saturating_sub(size.cpu.0);
        let memory = free.memory.0.saturating_sub(size.memory.0);
        Self {
            cpu: f64::from(cpu) / f64::from(capacity.cpu.0.max(1)),
            memory: memory as f64 / capacity.memory.0.max(1) as f64,
        }
    }
}
