//! Nodes on a log and workers in memory, in virtual time.
#![expect(dead_code, reason = "Each test file uses a part of it.")]

pub(crate) mod jobs;
mod log;
mod worker;

use std::{
    cmp::Reverse,
    collections::{
        BTreeMap,
        BinaryHeap, //
    },
    net::SocketAddr,
    time::Duration, //
};

use fulmarpier_coordination::{
    claim::Holder,
    member::Unreachable,
    peer,
    platform::{
        log as contract,
        vm,
        worker::Error, //
    },
    topology::Count,
};
use fulmarpier_protocol::wire;
use fulmarpier_sched::node::{
    Asking,
    CallId,
    Input,
    Node,
    Output,
    Purpose,
    Settings, //
};
use fulmarpier_state::{
    clock::Timestamp,
    id::{
        DataCentreId,
        Incarnation,
        NodeId,
        RackId,
        RegionId,
        WorkerId, //
    },
    resource::Resources,
    unit::{
        Bytes,
        Millicores, //
    },
};
use rand::{
    RngExt,
    SeedableRng,
    rngs::SmallRng, //
};

pub(crate) use self::{
    log::Log,
    worker::{
        Seen,
        Worker, //
    },
};

/// One way between two processes.
const WAY: Duration = Duration::from_millis(1);
/// After how long a call without an answer is given up.
const TIMEOUT: Duration = Duration::from_secs(2);
/// Where the first node listens.
const PORT: u16 = 9_000;
/// How far behind the nodes the workers' addresses begin.
const WORKERS: u32 = 100;

/// Something on its way.
enum Parcel {
    /// An effect of a node that reaches the outside.
    Out(NodeId, Output),
    /// Something that reaches a node, if it is still the same life.
    In(NodeId, Incarnation, Input),
    /// The end of a read's wait.
    Late(u64),
}

/// A read that waits for a record.
struct Reader {
    from: NodeId,
    purpose: Purpose,
    read: contract::Read,
}

/// One slot of a node: its present life, if it has one.
struct Life {
    node: Option<Node>,
    incarnation: Incarnation,
    paused: bool,
    waiting: Vec<Input>,
}

/// Nodes, workers and the log.
pub(crate) struct World {
    pub(crate) now: Timestamp,
    lives: BTreeMap<NodeId, Life>,
    pub(crate) log: Log,
    pub(crate) workers: BTreeMap<WorkerId, Worker>,
    pub(crate) seen: Seen,
    parcels: BinaryHeap<Reverse<(Timestamp, u64)>>,
    held: BTreeMap<u64, Parcel>,
    sequence: u64,
    /// Which question of which node each call answers.
    questions: BTreeMap<CallId, (NodeId, Incarnation, Asking)>,
    /// Which command of which node each call carries.
    forwards: BTreeMap<CallId, (NodeId, Incarnation, u64, NodeId)>,
    /// Messages about parts that left.
    pub(crate) part_messages: u64,
    next_call: u64,
    readers: BTreeMap<u64, Reader>,
    /// The answers to calls from outside.
    pub(crate) answers: BTreeMap<CallId, wire::Answer>,
    rng: SmallRng,
    /// How many answers in a hundred are lost after the effect.
    pub(crate) lost: u32,
    /// The spans and limits of the nodes that are started from now on.
    pub(crate) settings: Settings,
    /// How many messages workers got, and how often the VM list was read.
    pub(crate) syncs: u32,
    pub(crate) lists: u32,
}

impl World {
    pub(crate) fn new(nodes: u32, workers: u32, seed: u64) -> Self {
        let capacity = Resources::new(Millicores::from_cores(4), Bytes::from_gib(8), 0);
        let worker = |id| (WorkerId(id), Worker::new(WorkerId(id), capacity));
        let mut world = Self {
            now: Timestamp::from_millis(1_700_000_000_000),
            lives: BTreeMap::new(),
            log: Log::default(),
            workers: (1..=workers).map(worker).collect(),
            seen: Seen::default(),
            parcels: BinaryHeap::new(),
            held: BTreeMap::new(),
            sequence: 0,
            questions: BTreeMap::new(),
            forwards: BTreeMap::new(),
            part_messages: 0,
            next_call: 0,
            readers: BTreeMap::new(),
            answers: BTreeMap::new(),
            rng: SmallRng::seed_from_u64(seed),
            lost: 0,
            settings: Settings::new(RegionId(1), Count::ONE),
            syncs: 0,
            lists: 0,
        };
        for number in 1..=nodes {
            world.start(NodeId(number));
        }
        world
    }

    /// Starts a new life of a node.
    pub(crate) fn start(&mut self, id: NodeId) {
        let incarnation = Incarnation(self.now.as_micros());
        let holder = Holder {
            node: id,
            incarnation,
            address: address(id),
        };
        let node = Node::new(holder, self.settings.clone(), u64::from(id.0), self.now);
        let life = Life {
            node: Some(node),
            incarnation,
            paused: false,
            waiting: Vec::new(),
        };
        self.lives.insert(id, life);
    }

    pub(crate) fn kill(&mut self, id: NodeId) {
        self.lives.get_mut(&id).unwrap().node = None;
    }

    pub(crate) fn is_up(&self, id: NodeId) -> bool {
        self.lives[&id].node.is_some()
    }

    /// Freezes a node; what reaches it waits.
    pub(crate) fn pause(&mut self, id: NodeId) {
        self.lives.get_mut(&id).unwrap().paused = true;
    }

    pub(crate) fn resume(&mut self, id: NodeId) {
        let life = self.lives.get_mut(&id).unwrap();
        life.paused = false;
        let incarnation = life.incarnation;
        for input in std::mem::take(&mut life.waiting) {
            self.send(Duration::ZERO, Parcel::In(id, incarnation, input));
        }
    }

    pub(crate) fn node(&self, id: NodeId) -> Option<&Node> {
        self.lives[&id].node.as_ref()
    }

    pub(crate) fn nodes(&self) -> Vec<NodeId> {
        self.lives.keys().copied().collect()
    }

    /// Lets something happen to a node now.
    pub(crate) fn tell(&mut self, id: NodeId, input: Input) {
        let incarnation = self.lives[&id].incarnation;
        self.send(Duration::ZERO, Parcel::In(id, incarnation, input));
    }

    /// Calls a node from outside.
    pub(crate) fn call(&mut self, id: NodeId, call: wire::Call) -> CallId {
        self.next_call += 1;
        let call_id = CallId(self.next_call);
        self.tell(id, Input::Call { id: call_id, call });
        call_id
    }

    /// Lets time pass.
    pub(crate) fn run(&mut self, span: Duration) {
        let end = self.now + span;
        while let Some(next) = self.next_time().filter(|next| *next <= end) {
            self.now = self.now.max(next);
            for worker in self.workers.values_mut() {
                worker.tick(self.now, &mut self.seen);
            }
            self.deliver();
            self.wake();
        }
        self.now = end;
    }

    /// Lets time pass until `done`, at most `span`; returns whether it came to that.
    pub(crate) fn run_until(&mut self, span: Duration, done: impl Fn(&Self) -> bool) -> bool {
        let end = self.now + span;
        while self.now < end {
            if done(self) {
                return true;
            }
            self.run(Duration::from_millis(10));
        }
        done(self)
    }

    /// Ends all tasks on all workers well.
    pub(crate) fn end_all(&mut self) {
        for worker in self.workers.values_mut() {
            worker.end_all(self.now, &mut self.seen);
        }
    }

    fn next_time(&self) -> Option<Timestamp> {
        let parcel = self.parcels.peek().map(|Reverse((at, _))| *at);
        let running = self.lives.values().filter(|life| !life.paused);
        let wakes = running.filter_map(|life| Some(life.node.as_ref()?.next_wake(self.now)));
        let wake = wakes.min().map(|at| at.max(self.now + WAY));
        [parcel, wake].into_iter().flatten().min()
    }

    fn send(&mut self, after: Duration, parcel: Parcel) {
        self.sequence += 1;
        self.parcels
            .push(Reverse((self.now + after, self.sequence)));
        self.held.insert(self.sequence, parcel);
    }

    fn reply(&mut self, id: NodeId, after: Duration, input: Input) {
        let incarnation = self.lives[&id].incarnation;
        self.send(after, Parcel::In(id, incarnation, input));
    }

    fn deliver(&mut self) {
        while let Some(Reverse((at, sequence))) = self.parcels.peek().copied() {
            if at > self.now {
                break;
            }
            self.parcels.pop();
            match self.held.remove(&sequence) {
                Some(Parcel::Out(from, output)) => self.carry(from, output),
                Some(Parcel::In(to, life, input)) => self.hand(to, life, input),
                Some(Parcel::Late(reader)) => self.answer_reader(reader),
                None => {}
            }
        }
    }

    fn hand(&mut self, to: NodeId, incarnation: Incarnation, input: Input) {
        let life = self.lives.get_mut(&to).unwrap();
        if life.incarnation != incarnation {
            return;
        }
        if life.paused {
            return life.waiting.push(input);
        }
        if let Some(node) = &mut life.node {
            let outputs = node.on(input, self.now);
            self.emit(to, outputs);
        }
    }

    fn wake(&mut self) {
        for id in self.nodes() {
            let life = self.lives.get_mut(&id).unwrap();
            let due = |node: &&mut Node| node.next_wake(self.now) <= self.now;
            let node = life.node.as_mut().filter(|_| !life.paused);
            if let Some(node) = node.filter(due) {
                let outputs = node.on(Input::Tick, self.now);
                self.emit(id, outputs);
            }
        }
    }

    fn emit(&mut self, from: NodeId, outputs: Vec<Output>) {
        for output in outputs {
            self.send(WAY, Parcel::Out(from, output));
        }
    }

    fn is_lost(&mut self) -> bool {
        self.rng.random_range(0..100) < self.lost
    }

    /// Lets an effect of a node reach the outside.
    fn carry(&mut self, from: NodeId, output: Output) {
        match output {
            Output::Append { purpose, append } => {
                let stream = append.stream.clone();
                let result = self.log.append(from, append);
                self.wake_readers(&stream);
                let (after, result) = match self.is_lost() {
                    true => (TIMEOUT, Err(contract::Error::Unknown)),
                    false => (WAY, result),
                };
                self.reply(from, after, Input::Appended { purpose, result });
            }
            Output::Read { purpose, read } => {
                let result = self.log.read(from, &read);
                let empty = matches!(&result, Ok(page) if page.records.is_empty());
                if empty && !read.wait.is_zero() {
                    return self.let_wait(from, purpose, read);
                }
                self.reply(from, WAY, Input::Page { purpose, result });
            }
            Output::Sync { dispatch, sync, .. } => {
                self.syncs += 1;
                let worker = self.workers.get_mut(&dispatch.worker).unwrap();
                let result = match (worker.dead, worker.paused) {
                    (true, _) => Err(Error::Refused),
                    (false, true) => Err(Error::Unknown),
                    (false, false) => worker.sync(&sync, self.now, &mut self.seen),
                };
                let lost = self.is_lost() || result == Err(Error::Unknown);
                let (after, result) = match lost {
                    true => (TIMEOUT, Err(Error::Unknown)),
                    false => (WAY, result),
                };
                self.reply(from, after, Input::Synced { dispatch, result });
            }
            Output::Ask {
                asking,
                address,
                message,
            } => self.ask(from, asking, address, &message),
            Output::Forward {
                number,
                node,
                command,
                ..
            } => self.forward(from, number, node, command),
            Output::Answer { id, answer } => self.answer(id, *answer),
            Output::List => {
                self.lists += 1;
                let list = self.list();
                self.reply(from, WAY, Input::Listed(Some(list)));
            }
            Output::Note(_) | Output::Drained => {}
        }
    }

    fn let_wait(&mut self, from: NodeId, purpose: Purpose, read: contract::Read) {
        let wait = read.wait;
        let reader = Reader {
            from,
            purpose,
            read,
        };
        self.readers.insert(self.sequence + 1, reader);
        self.send(wait, Parcel::Late(self.sequence + 1));
    }

    /// Answers every read that waits for a record of a stream.
    fn wake_readers(&mut self, stream: &contract::Stream) {
        let waiting = self.readers.iter();
        let woken = waiting.filter(|(_, reader)| reader.read.stream == *stream);
        let woken: Vec<u64> = woken.map(|(id, _)| *id).collect();
        for reader in woken {
            self.answer_reader(reader);
        }
    }

    fn answer_reader(&mut self, id: u64) {
        if let Some(reader) = self.readers.remove(&id) {
            let result = self.log.read(reader.from, &reader.read);
            let purpose = reader.purpose;
            self.reply(reader.from, WAY, Input::Page { purpose, result });
        }
    }

    fn ask(&mut self, from: NodeId, asking: Asking, address: SocketAddr, message: &peer::Message) {
        let about_parts = matches!(&message.question, peer::Question::Part(_));
        self.part_messages += u64::from(about_parts);
        let to = NodeId(u32::from(address.port() - PORT));
        let life = &self.lives[&to];
        if life.node.is_none() {
            let result = Err(Unreachable::Refused);
            return self.reply(from, WAY, Input::Asked { asking, result });
        }
        if life.paused || self.is_lost() {
            let result = Err(Unreachable::Timeout);
            return self.reply(from, TIMEOUT, Input::Asked { asking, result });
        }
        let message = message.encode();
        let call = wire::Call::Peer(wire::peer::Request { message });
        let id = self.call(to, call);
        let asker = self.lives[&from].incarnation;
        self.questions.insert(id, (from, asker, asking));
    }

    fn forward(
        &mut self,
        from: NodeId,
        number: u64,
        node: NodeId,
        command: wire::command::Request,
    ) {
        if !self.is_up(node) {
            let reply = None;
            let input = Input::Forwarded {
                number,
                node,
                reply,
            };
            return self.reply(from, TIMEOUT, input);
        }
        let id = self.call(node, wire::Call::Command(command));
        let asker = self.lives[&from].incarnation;
        self.forwards.insert(id, (from, asker, number, node));
    }

    fn answer(&mut self, id: CallId, answer: wire::Answer) {
        if let Some((asker, life, number, node)) = self.forwards.remove(&id) {
            let reply = match answer {
                wire::Answer::Command(reply) => Some(reply),
                _ => None,
            };
            let input = Input::Forwarded {
                number,
                node,
                reply,
            };
            return self.send(WAY, Parcel::In(asker, life, input));
        }
        let Some((asker, life, asking)) = self.questions.remove(&id) else {
            self.answers.insert(id, answer);
            return;
        };
        let result = match answer {
            wire::Answer::Peer(reply) => {
                peer::Reply::decode(&reply.message).map_err(|_| Unreachable::Timeout)
            }
            _ => Err(Unreachable::Timeout),
        };
        let input = Input::Asked { asking, result };
        self.send(WAY, Parcel::In(asker, life, input));
    }

    fn list(&self) -> vm::List {
        let workers = self.workers.values().map(|worker| vm::Entry {
            role: vm::Role::Worker(worker.id),
            address: address(NodeId(worker.id.0 + WORKERS)),
            region: RegionId(1),
            data_centre: data_centre(worker.id.0),
            rack: RackId(worker.id.0),
            capacity: worker.capacity,
            state: vm::State::Live,
        });
        let nodes = self.lives.keys().map(|node| vm::Entry {
            role: vm::Role::Entry(*node),
            address: address(*node),
            region: RegionId(1),
            data_centre: data_centre(node.0),
            rack: RackId(0),
            capacity: Resources::ZERO,
            state: vm::State::Live,
        });
        vm::List {
            as_of: self.now,
            entries: workers.chain(nodes).collect(),
        }
    }
}

fn address(node: NodeId) -> SocketAddr {
    let port = PORT + u16::try_from(node.0).unwrap();
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn data_centre(number: u32) -> DataCentreId {
    DataCentreId(u16::try_from(number % 3).unwrap() + 1)
}
