//! A group of members in virtual time.

use std::{collections, time};

use rand::{Rng as _, SeedableRng as _, rngs};
use trefoildyke_decide::members;
use trefoildyke_types::{id, time::Timestamp};

use crate::gossip::{Broken, Link, Node, traffic};

/// How far one step goes.
const STEP: time::Duration = time::Duration::from_millis(100);

/// How long a member waits for an answer, in steps.
const ANSWER_STEPS: u64 = 10;

/// Holds members that exchange digests step by step; the same seed gives the same run.
#[derive(Debug)]
pub struct Group {
    /// The members, by number.
    pub nodes: Vec<Node>,
    /// Which messages arrive.
    pub link: Link,
    /// Which guards are broken.
    pub broken: Broken,
    now: Timestamp,
    steps: u64,
    params: members::Params,
    next_life: u64,
    by_life: collections::HashMap<id::Incarnation, usize>,
    /// The configuration version that each life has come to.
    reached: collections::HashMap<id::Incarnation, u64>,
    /// Inputs that come at a later step.
    coming: collections::BTreeMap<u64, Vec<(usize, members::Input)>>,
    random: rngs::StdRng,
}

impl Group {
    /// Creates `count` members that all know one another.
    pub fn new(count: usize, params: members::Params, seed: u64) -> Self {
        let mut group = Self::strangers(count, params, seed);
        let everyone: Vec<_> = group.nodes.iter().map(introduce).collect();
        for number in 0..count {
            let mut digest = empty_digest(id::Incarnation::from_u64(0));
            digest.compared.clone_from(&everyone);
            group.input(number, members::Input::Received(digest));
        }
        group
    }

    /// Creates `count` members that know only themselves and the address of the first.
    pub fn strangers(count: usize, params: members::Params, seed: u64) -> Self {
        let mut group = Self {
            nodes: Vec::new(),
            link: Link::default(),
            broken: Broken::default(),
            reached: collections::HashMap::new(),
            now: Timestamp::from_millis(1_000_000),
            steps: 0,
            params,
            next_life: 1 << 30,
            by_life: collections::HashMap::new(),
            coming: collections::BTreeMap::new(),
            random: rngs::StdRng::seed_from_u64(seed),
        };
        for number in 0..count {
            let node = group.create(number);
            group.nodes.push(node);
        }
        group
    }

    fn create(&mut self, number: usize) -> Node {
        self.next_life += 1;
        let mut node = Node::new(number, self.next_life, self.params, self.now);
        let seeds = vec![super::location(0).peer, super::location(1).peer];
        node.membership.step(self.now, members::Input::Seeds(seeds));
        self.by_life.insert(node.incarnation, number);
        node
    }

    /// Replaces a member by a new process at the same address, which knows only the seeds.
    pub fn replace(&mut self, number: usize) {
        let node = self.create(number);
        self.nodes[number] = Node { traffic: self.nodes[number].traffic, ..node };
    }

    /// Gives a member a new configuration version.
    pub fn configure(&mut self, number: usize, version: u64) {
        self.input(number, reaches(version));
    }

    /// Lets the planned stops of a member end up to a version.
    pub fn settle(&mut self, number: usize, settled: u64) {
        let versions = members::Versions { config: self.nodes[number].config, settled };
        self.input(number, members::Input::Versions(versions));
    }

    /// Returns the virtual time.
    pub const fn now(&self) -> Timestamp {
        self.now
    }

    /// Steps until `done` holds and returns how long it took, or `None` after `limit`.
    pub fn run_until(
        &mut self,
        limit: time::Duration,
        mut done: impl FnMut(&Self) -> bool,
    ) -> Option<time::Duration> {
        let start = self.now;
        while !done(self) {
            if self.now.since(start) >= limit {
                return None;
            }
            self.step();
        }
        Some(self.now.since(start))
    }

    /// Steps for a length of time.
    pub fn run(&mut self, length: time::Duration) {
        self.run_until(length, |_| false);
    }

    /// Lets one step pass.
    pub fn step(&mut self) {
        self.now = self.now + STEP;
        self.steps += 1;
        for (number, input) in self.coming.remove(&self.steps).unwrap_or_default() {
            self.input(number, input);
        }
        for number in 0..self.nodes.len() {
            let random = self.random.random();
            self.input(number, members::Input::Tick { random });
        }
    }

    /// Returns a running member that takes a version to be in force which a member that it counts
    /// has never come to.
    pub fn falsely_in_force(&self) -> Option<usize> {
        self.nodes.iter().filter(|node| node.running).position(|node| {
            let claimed = node.membership.in_force().config;
            let reached = |member: &members::Member| self.reached.get(&member.incarnation);
            let view = node.membership.view();
            claimed > 0
                && view.members.iter().any(|member| {
                    member.state.is_member() && reached(member).copied().unwrap_or(0) < claimed
                })
        })
    }

    /// Returns whether every running member sees exactly the running ones as alive.
    pub fn agrees(&self) -> bool {
        let running = || self.nodes.iter().filter(|node| node.running);
        let expected: Vec<_> = running().map(|node| node.incarnation).collect();
        running().all(|node| {
            let view = node.membership.view();
            let mut alive: Vec<_> = view.alive().map(|member| member.incarnation).collect();
            alive.sort_unstable();
            let mut expected = expected.clone();
            expected.sort_unstable();
            alive == expected
        })
    }

    /// Hands an input to a running member and carries out what it wants.
    pub fn input(&mut self, number: usize, input: members::Input) {
        let node = &mut self.nodes[number];
        if !node.running {
            return;
        }
        if let members::Input::Versions(versions) = input {
            node.config = node.config.max(versions.config);
            self.reached.insert(node.incarnation, node.config);
        }
        for output in node.membership.step(self.now, input) {
            self.output(number, output);
        }
    }

    fn output(&mut self, from: usize, output: members::Output) {
        match output {
            members::Output::Exchange { target, digest } => self.exchange(from, target, digest),
            members::Output::Probe { via, target } => self.probe(from, via, target),
            members::Output::Pull { from: source, version } => self.pull(from, source, version),
            members::Output::Answer(_) | members::Output::Changed => {}
        }
    }

    fn exchange(&mut self, from: usize, target: members::Target, digest: members::Digest) {
        let length = traffic::length(&digest);
        self.nodes[from].traffic.count(length);
        let answer = self.find(target).filter(|to| self.arrives(from, *to)).and_then(|to| {
            self.nodes[to].traffic.count(length);
            let answer = self.receive(to, digest)?;
            let length = traffic::length(&answer);
            self.nodes[to].traffic.count(length);
            self.nodes[from].traffic.count(length);
            self.arrives(to, from).then_some(answer)
        });
        match answer {
            Some(mut digest) => {
                self.spoil(from, &mut digest);
                self.later(1, from, members::Input::Answered { target, digest });
            }
            None => self.later(ANSWER_STEPS, from, members::Input::Failed(target)),
        }
    }

    fn receive(&mut self, to: usize, mut digest: members::Digest) -> Option<members::Digest> {
        let mut answer = None;
        self.spoil(to, &mut digest);
        for output in self.nodes[to].membership.step(self.now, members::Input::Received(digest)) {
            match output {
                members::Output::Answer(digest) => answer = Some(digest),
                other => self.output(to, other),
            }
        }
        answer
    }

    fn spoil(&self, to: usize, digest: &mut members::Digest) {
        let membership = &self.nodes[to].membership;
        self.broken.change(digest, membership.members_hash(), self.nodes.len());
    }

    fn probe(&mut self, from: usize, via: id::Incarnation, target: id::Incarnation) {
        let helper = self.find(members::Target::Member(via));
        let helper = helper.filter(|helper| self.arrives(from, *helper));
        let reached = helper.map(|helper| {
            let target = self.find(members::Target::Member(target));
            target.is_some_and(|target| self.arrives(helper, target)) && !self.broken.helpers
        });
        let input = members::Input::Probed { target, reached };
        self.later(if reached == Some(true) { 1 } else { ANSWER_STEPS }, from, input);
    }

    fn pull(&mut self, from: usize, source: id::Incarnation, version: u64) {
        let source = self.find(members::Target::Member(source));
        if source.is_some_and(|source| self.arrives(from, source)) {
            self.later(1, from, reaches(version));
        }
    }

    fn later(&mut self, steps: u64, number: usize, input: members::Input) {
        self.coming.entry(self.steps + steps).or_default().push((number, input));
    }

    /// Returns the member that a target means, if that life of it is still there.
    fn find(&self, target: members::Target) -> Option<usize> {
        match target {
            members::Target::Member(life) => {
                let number = *self.by_life.get(&life)?;
                (self.nodes[number].incarnation == life).then_some(number)
            }
            members::Target::Address(address) => {
                self.nodes.iter().position(|node| node.address == address)
            }
        }
    }

    fn arrives(&mut self, from: usize, to: usize) -> bool {
        let lost = match self.link.lose_one_in {
            0 => false,
            odds => self.random.random_range(0..odds) == 0,
        };
        let running = self.nodes[from].running && self.nodes[to].running;
        running && !lost && self.link.passes(from, to)
    }
}

fn introduce(node: &Node) -> members::Update {
    let view = node.membership.view();
    let member = &view.members[0];
    members::Update {
        incarnation: node.incarnation,
        sequence: 0,
        state: members::State::Alive,
        place: Some(members::Location {
            host: member.host.clone(),
            zone: member.zone.clone(),
            peer: member.peer,
        }),
    }
}

fn empty_digest(from: id::Incarnation) -> members::Digest {
    members::Digest {
        from,
        members: 0,
        table: 0,
        config: 0,
        subtree: members::Subtree { count: 0, versions: members::Versions::default() },
        in_force: members::Versions::default(),
        updates: Vec::new(),
        parts: Vec::new(),
        compared: Vec::new(),
    }
}

/// Returns the input that a configuration version is in force and no stop has ended since.
const fn reaches(config: u64) -> members::Input {
    members::Input::Versions(members::Versions { config, settled: 0 })
}
