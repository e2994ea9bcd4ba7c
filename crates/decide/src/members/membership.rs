//! One daemon's membership state: the known members, their states and the versions in force.

use std::{collections, net};

use trefoildyke_types::{id, time};

use crate::members::{
    self, entry::Entry, probes::Probes, random::Random, rumors::Rumors, table::Table, tree::Tree,
};

/// A daemon's knowledge about all daemons, and the gossip protocol that spreads it.
///
/// Each period a daemon exchanges digests with its parent in a tree over the sorted members and
/// with one of a few partners. The digests carry new updates. If a member does not answer, helpers
/// try to reach it before it is declared suspect, and a suspect member has time to refute the
/// suspicion before it is declared dead.
///
/// The membership decides only soft roles, and when a configuration version is reported as in
/// force.
#[derive(Clone, Debug)]
pub struct Membership {
    pub(crate) own: id::Incarnation,
    pub(crate) params: members::Params,
    pub(crate) table: Table,
    pub(crate) rumors: Rumors,
    pub(crate) probes: Probes,
    pub(crate) tree: Tree,
    pub(crate) random: Random,
    /// The versions that this daemon has reached.
    pub(crate) versions: members::Versions,
    /// The versions that every member is known to have reached, with the hash of the member set for
    /// which this holds.
    pub(crate) in_force: (u64, members::Versions),
    /// The last version that was requested, and when.
    pub(crate) last_pull: (u64, time::Timestamp),
    pub(crate) seeds: Vec<net::SocketAddr>,
    pub(crate) partners: Vec<id::Incarnation>,
    /// The targets and start times of the exchanges that have no answer yet.
    pub(crate) open_exchanges: Vec<(members::Target, time::Timestamp)>,
    /// Whether the table must be compared with the next peer's, without waiting for it to settle.
    pub(crate) joining: bool,
    /// Members that another table holds as dead, with the sequence number that they must exceed to
    /// refute it.
    pub(crate) challenged: collections::BTreeMap<id::Incarnation, u32>,
    pub(crate) version: u64,
    pub(crate) times: Times,
    /// The last subtree report to the parent, with the hash of the member set.
    pub(crate) reported: Option<(u64, members::Subtree)>,
    /// Whether partners must be told news before the next period.
    pub(crate) must_push: bool,
}

/// The times of the last events of each kind.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Times {
    pub(crate) start: time::Timestamp,
    pub(crate) tick: time::Timestamp,
    pub(crate) period: time::Timestamp,
    pub(crate) push: time::Timestamp,
    pub(crate) rotate: time::Timestamp,
    pub(crate) reconnect: time::Timestamp,
    pub(crate) compare: time::Timestamp,
    /// When the view last changed.
    pub(crate) change: time::Timestamp,
    /// When the tree was last rebuilt.
    pub(crate) rebuild: time::Timestamp,
    /// When the last report to the parent was sent.
    pub(crate) report: time::Timestamp,
    /// When the last digest from any peer arrived.
    pub(crate) contact: Option<time::Timestamp>,
}

impl Membership {
    /// Creates the membership of a daemon that knows only itself.
    pub fn new(
        own: id::Incarnation,
        location: members::Location,
        params: members::Params,
        now: time::Timestamp,
    ) -> Self {
        let times = Times { start: now, tick: now, change: now, rebuild: now, ..Times::default() };
        let mut this = Self {
            own,
            params,
            table: Table::new(),
            rumors: Rumors::default(),
            probes: Probes::default(),
            tree: Tree::default(),
            random: Random::default(),
            versions: members::Versions::default(),
            in_force: (0, members::Versions::default()),
            last_pull: (0, now),
            seeds: Vec::new(),
            partners: Vec::new(),
            open_exchanges: Vec::new(),
            joining: true,
            challenged: collections::BTreeMap::new(),
            version: 0,
            times,
            reported: None,
            must_push: false,
        };
        let update = members::Update {
            incarnation: own,
            sequence: 0,
            state: members::State::Alive,
            place: Some(location),
        };
        this.accept(&update, now);
        this.rebuild(now);
        this
    }

    /// Handles `input` at time `now` and returns the actions to carry out, in order.
    pub fn step(&mut self, now: time::Timestamp, input: members::Input) -> Vec<members::Output> {
        let before = (self.version, self.in_force());
        let mut outputs = Vec::new();
        match input {
            members::Input::Tick { random } => {
                self.random.reseed(random);
                self.tick(now, &mut outputs);
            }
            members::Input::Received(digest) => self.received(now, &digest, &mut outputs),
            members::Input::Answered { target, digest } => {
                self.answered(now, target, &digest, &mut outputs);
            }
            members::Input::Failed(target) => self.failed(now, target, &mut outputs),
            members::Input::Probed { target, reached } => self.probed(now, target, reached),
            members::Input::Versions(versions) => self.raise_versions(versions),
            members::Input::Seeds(seeds) => self.seeds = seeds,
            members::Input::Leave => self.leave(now),
        }
        self.rebuild(now);
        self.send_news(now, &mut outputs);
        if before != (self.version, self.in_force()) {
            outputs.push(members::Output::Changed);
        }
        outputs
    }

    /// Returns this daemon's view of all daemons; costs a copy of the members.
    pub fn view(&self) -> members::View {
        let members = self.table.iter().map(|(incarnation, entry)| member(incarnation, entry));
        members::View {
            members: members.collect(),
            version: self.version,
            hash: self.table.members_hash(),
        }
    }

    /// Returns the number that increases with every change of the view.
    pub const fn version(&self) -> u64 {
        self.version
    }

    /// Returns [`members::View::hash`] without building the view.
    pub const fn members_hash(&self) -> u64 {
        self.table.members_hash()
    }

    /// Returns the versions that every member of the view has reached.
    pub fn in_force(&self) -> members::Versions {
        let (set, versions) = self.in_force;
        if set == self.table.members_hash() { versions } else { members::Versions::default() }
    }

    /// Returns when the last digest from any peer arrived, if any.
    pub const fn last_contact(&self) -> Option<time::Timestamp> {
        self.times.contact
    }

    /// Returns the address at which a member accepts connections from its peers.
    pub fn address(&self, incarnation: id::Incarnation) -> Option<net::SocketAddr> {
        self.table.get(incarnation).map(|entry| entry.location.peer)
    }

    /// Records the versions that this daemon has reached; a new configuration version is sent at
    /// once.
    fn raise_versions(&mut self, versions: members::Versions) {
        self.must_push |= versions.config > self.versions.config;
        self.versions = self.versions.max(versions);
    }

    fn leave(&mut self, now: time::Timestamp) {
        self.update_own(now, members::State::Leaving);
        self.must_push = true;
    }

    /// Updates this daemon's own state, with a higher sequence number.
    pub(crate) fn update_own(&mut self, now: time::Timestamp, state: members::State) {
        let Some(entry) = self.table.get(self.own) else { return };
        let mut update = entry.update(self.own, false);
        update.sequence += 1;
        update.state = state;
        self.accept(&update, now);
    }

    /// Applies an update and gossips it if it was news; returns whether it was.
    pub(crate) fn accept(&mut self, update: &members::Update, now: time::Timestamp) -> bool {
        let news = self.apply(update, now);
        if news {
            self.rumors.add(update.incarnation);
        }
        news
    }

    /// Applies an update without gossiping it; returns whether it was news.
    pub(crate) fn apply(&mut self, update: &members::Update, now: time::Timestamp) -> bool {
        let news = self.table.apply(update, now);
        if news {
            self.changed(now);
        }
        news
    }

    /// Records that the view has changed.
    pub(crate) fn changed(&mut self, now: time::Timestamp) {
        self.version += 1;
        self.times.change = now;
    }

    /// Rebuilds the tree if the set of members has changed.
    fn rebuild(&mut self, now: time::Timestamp) {
        let set = self.table.members_hash();
        if self.tree.is_built_for(set) {
            return;
        }
        let counting = self.table.iter().filter(|(_, entry)| entry.state.is_member());
        let order = counting.map(|(incarnation, _)| incarnation).collect();
        self.tree.rebuild(order, self.own, set);
        self.times.rebuild = now;
        self.partners.retain(|partner| {
            self.table.get(*partner).is_some_and(|entry| entry.state.is_member())
        });
    }
}

fn member(incarnation: id::Incarnation, entry: &Entry) -> members::Member {
    members::Member {
        host: entry.location.host.clone(),
        incarnation,
        zone: entry.location.zone.clone(),
        peer: entry.location.peer,
        state: entry.effective_state(),
    }
}

/// Returns the members besides `own` that are not dead, in the order of their incarnations.
pub(crate) fn others(
    table: &Table,
    own: id::Incarnation,
) -> collections::VecDeque<id::Incarnation> {
    let counting =
        table.iter().filter(|(incarnation, entry)| *incarnation != own && entry.state.is_member());
    counting.map(|(incarnation, _)| incarnation).collect()
}
