//! The queue as a whole.

use std::collections::{
    BTreeMap,
    BTreeSet, //
};

use super::{
    Entry,
    Park,
    Shape,
    lane::Lane, //
};
use crate::{
    alias::HashMap,
    clock::Timestamp,
    id::JobId,
    job::Priority,
    quota::Slot,
    resource::Resources, //
};

/// How many jobs with a deadline are looked at.
const PRESSING_DEPTH: usize = 32;
/// The step of the share above which a team's deadlines count no more than other jobs.
const PRESSING_SHARE: u64 = 2;

/// A lane's place: the class and the shape.
type Place = (Priority, Shape);

/// What the queue keeps of one team.
#[derive(Debug, Default)]
struct Member {
    share: u64,
    jobs: u32,
    lanes: BTreeMap<Place, u32>,
}

/// All waiting jobs of a shard.
///
/// Insertion, removal and the choice of the next job cost O(log n) in the jobs, and linear time in
/// the lanes that are open, whose count depends on the sizes in use and not on the jobs.
#[derive(Debug, Default)]
pub struct Queue {
    entries: HashMap<JobId, Entry>,
    lanes: BTreeMap<Place, Lane>,
    open: BTreeSet<Place>,
    parked: BTreeSet<Place>,
    members: HashMap<Slot, Member>,
    /// The teams with waiting jobs, by the step of their share.
    steps: BTreeSet<(u64, Slot)>,
    arrivals: BTreeSet<(Timestamp, JobId)>,
    /// The jobs with a deadline, by their latest start.
    bound: BTreeSet<(Timestamp, JobId)>,
    counts: [u32; 3],
}

impl Queue {
    /// Adds a job; a job that waits already is left as it is.
    pub fn insert(&mut self, entry: Entry) {
        if self.entries.contains_key(&entry.job) {
            return;
        }
        let place = (entry.class, entry.shape());
        let member = self.members.entry(entry.team).or_default();
        member.jobs += 1;
        self.steps.insert((member.share, entry.team));
        *member.lanes.entry(place).or_default() += 1;
        let lane = self.lanes.entry(place).or_default();
        lane.insert(&entry, member.share);
        // A smaller job than the one that found no room deserves its own attempt.
        if lane.park.is_some_and(|park| !park.size.fits(&entry.size)) {
            lane.park = None;
        }
        self.arrivals.insert((entry.arrival, entry.job));
        if entry.bound {
            self.bound.insert((entry.latest, entry.job));
        }
        self.counts[entry.class as usize] += 1;
        self.entries.insert(entry.job, entry);
        self.settle(place);
    }

    /// Removes a job.
    pub fn remove(&mut self, job: JobId) -> Option<Entry> {
        let entry = self.entries.remove(&job)?;
        let place = (entry.class, entry.shape());
        self.arrivals.remove(&(entry.arrival, job));
        self.bound.remove(&(entry.latest, job));
        self.counts[entry.class as usize] -= 1;
        if let Some(member) = self.members.get_mut(&entry.team) {
            member.jobs -= 1;
            if member.jobs == 0 {
                self.steps.remove(&(member.share, entry.team));
            }
            if let Some(lane) = self.lanes.get_mut(&place) {
                lane.remove(&entry, member.share);
            }
            let left = member.lanes.entry(place).or_default();
            *left -= 1;
            if *left == 0 {
                member.lanes.remove(&place);
            }
        }
        self.settle(place);
        Some(entry)
    }

    /// Returns the next job of a class that is worth trying.
    pub fn next(&self, class: Priority) -> Option<&Entry> {
        let places = self.open.iter().filter(|place| place.0 == class);
        let heads = places.filter_map(|place| self.lanes.get(place)?.first());
        let (_, (_, _, job)) = heads.min()?;
        self.entries.get(&job)
    }

    /// Returns the job that arrived first, whatever its class.
    pub fn oldest(&self) -> Option<&Entry> {
        let (_, job) = self.arrivals.first()?;
        self.entries.get(job)
    }

    /// Returns the first job worth trying whose deadline asks for a start before `until`.
    ///
    /// Teams that hold more than a few times their part are left out, so that deadlines are no
    /// way around the fair share.
    pub fn pressing(&self, until: Timestamp) -> Option<&Entry> {
        let before = self.bound.range(..(until, JobId::default()));
        let entries = before.filter_map(|(_, job)| self.entries.get(job));
        let mut entries = entries.take(PRESSING_DEPTH);
        entries.find(|entry| {
            let place = (entry.class, entry.shape());
            let fair = self.share(entry.team) <= PRESSING_SHARE;
            fair && self.open.contains(&place) && !self.capped(entry)
        })
    }

    /// Returns up to `count` single jobs from all lanes, parked ones included.
    pub fn sample(&self, count: usize) -> Vec<Entry> {
        let single = self.lanes.iter().filter(|(place, _)| !place.1.is_gang());
        let jobs = single.flat_map(|(_, lane)| lane.sample());
        let entries = jobs.filter_map(|job| self.entries.get(&job));
        entries.take(count).copied().collect()
    }

    /// Parks the lane of a job that found no room.
    pub fn park(&mut self, entry: &Entry, park: Park) {
        let place = (entry.class, entry.shape());
        if let Some(lane) = self.lanes.get_mut(&place) {
            lane.park = Some(park);
        }
        self.settle(place);
    }

    /// Opens the parked lanes whose job fits `room`.
    pub fn unpark(&mut self, room: &Resources) {
        let fits = |place: &&Place| {
            let lane = self.lanes.get(place);
            let park = lane.and_then(|lane| lane.park);
            park.is_some_and(|park| park.size.fits(room))
        };
        let places: Vec<Place> = self.parked.iter().filter(fits).copied().collect();
        for place in places {
            if let Some(lane) = self.lanes.get_mut(&place) {
                lane.park = None;
            }
            self.settle(place);
        }
    }

    /// Leaves a team out of a lane until its use falls.
    pub fn cap(&mut self, entry: &Entry) {
        let place = (entry.class, entry.shape());
        let share = self.share(entry.team);
        if let Some(lane) = self.lanes.get_mut(&place) {
            lane.cap(entry.team, share);
        }
        self.settle(place);
    }

    /// Moves a team to a new share; `freed` takes it in again where its quota had left it out.
    pub fn reprice(&mut self, team: Slot, share: u64, freed: bool) {
        let member = self.members.entry(team).or_default();
        let from = std::mem::replace(&mut member.share, share);
        if share == from && !freed {
            return;
        }
        if self.steps.remove(&(from, team)) {
            self.steps.insert((share, team));
        }
        let places: Vec<Place> = member.lanes.keys().copied().collect();
        for place in places {
            let Some(lane) = self.lanes.get_mut(&place) else {
                continue;
            };
            lane.reprice(team, from, share);
            if freed {
                lane.uncap(team, share);
                self.settle(place);
            }
        }
    }

    /// Returns whether a team waits that holds more than its allowance by more than this one.
    pub fn yields_to(&self, team: Slot) -> bool {
        let most = self.steps.last().map(|(share, _)| *share);
        most.is_some_and(|most| most > self.share(team))
    }

    /// Returns how many jobs of a class wait.
    pub const fn class(&self, class: Priority) -> u32 {
        self.counts[class as usize]
    }

    /// Returns how many jobs of a team wait.
    pub fn team(&self, team: Slot) -> u32 {
        self.members.get(&team).map_or(0, |member| member.jobs)
    }

    /// Iterates over the waiting jobs in no order.
    pub fn jobs(&self) -> impl Iterator<Item = JobId> + '_ {
        self.entries.keys().copied()
    }

    /// Returns how many jobs wait.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether nothing waits.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    /// Returns whether a job of the class is worth trying.
    pub fn is_open(&self, class: Priority) -> bool {
        self.open.iter().any(|place| place.0 == class)
    }

    /// Returns the entry of a job.
    pub fn get(&self, job: JobId) -> Option<&Entry> {
        self.entries.get(&job)
    }

    /// Returns why the lane of a job is not tried.
    pub fn parked(&self, entry: &Entry) -> Option<Park> {
        self.lanes.get(&(entry.class, entry.shape()))?.park
    }

    /// Returns whether a job is left out for its team's quota.
    pub fn capped(&self, entry: &Entry) -> bool {
        let lane = self.lanes.get(&(entry.class, entry.shape()));
        lane.is_some_and(|lane| lane.is_capped(entry.team))
    }

    fn share(&self, team: Slot) -> u64 {
        self.members.get(&team).map_or(0, |member| member.share)
    }

    /// Brings the sets of open and parked lanes in line with a lane.
    fn settle(&mut self, place: Place) {
        let Some(lane) = self.lanes.get(&place) else {
            return;
        };
        if lane.is_open() {
            self.open.insert(place);
        } else {
            self.open.remove(&place);
        }
        if lane.park.is_some() && !lane.is_empty() {
            self.parked.insert(place);
        } else {
            self.parked.remove(&place);
        }
        if lane.is_empty() {
            self.lanes.remove(&place);
        }
    }
}
