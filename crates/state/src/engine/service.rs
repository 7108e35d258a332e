//! The size of a service while it runs.

use super::{
    core::Engine,
    effect::{
        Act,
        Effect,
        Outcome, //
    },
    task::Halt,
};
use crate::{
    clock::Timestamp,
    id::{
        JobId,
        TaskId, //
    },
    refusal::{
        Reason,
        Refusal, //
    },
};

impl Engine {
    /// Sets how many tasks a service has.
    ///
    /// More tasks wait for their start; of fewer, those that wait are dropped first and then those
    /// with the highest place are stopped.
    ///
    /// # Errors
    ///
    /// [`Reason::UnknownJob`] where the job is not known, has ended or is not a service, and
    /// [`Reason::Empty`] for a size of zero, which is a cancellation.
    pub fn set_service_size(
        &mut self,
        id: JobId,
        size: u32,
        now: Timestamp,
    ) -> Result<Vec<Effect>, Refusal> {
        if size == 0 {
            let detail = "a service needs at least one task; cancel it instead";
            return Err(Refusal::new(Reason::Empty, detail));
        }
        let job = self.jobs.get_mut(&id);
        let open = |job: &&mut super::job::Job| job.is_service() && !job.stage.is_closing();
        let Some(job) = job.filter(open) else {
            let detail = format!("there is no running service with id {id}");
            return Err(Refusal::new(Reason::UnknownJob, detail));
        };
        let live = job.size.saturating_sub(job.counts.total());
        if size >= live {
            job.size = job.size.saturating_add(size - live);
            self.enqueue(id, now);
        } else {
            self.shrink_service(id, live - size, now);
        }
        Ok(self.drain())
    }

    fn shrink_service(&mut self, id: JobId, count: u32, now: Timestamp) {
        self.drop_reservations_of(id, now);
        let Some(job) = self.jobs.get_mut(&id) else {
            return;
        };
        let fresh = count.min(job.size - job.next);
        job.size -= fresh;
        let mut left = count - fresh;
        while left > 0 && job.again.pop().is_some() {
            job.counts.add(Outcome::Cancelled, 1);
            left -= 1;
        }
        while left > 0 && job.delayed.pop_last().is_some() {
            job.counts.add(Outcome::Cancelled, 1);
            left -= 1;
        }
        let running = job.active.iter().rev();
        let running = running.filter(|(_, task)| task.halt.is_none());
        let surplus: Vec<u32> = running.map(|(i, _)| *i).take(left as usize).collect();
        for index in surplus {
            self.halt(TaskId::new(id, index), Halt::Resized, Act::Stop);
        }
        self.dequeue_if_idle(id);
    }
}
