//! Simulations of floods of one client account over several daemons, for the tests of quotas.

use std::{net::SocketAddr, time::Duration};

use trefoildyke_decide::gateway::{
    Account, AccountUnit, Digest, Mesh, Peer, Quota, QuotaParams, Strength,
};
use trefoildyke_types::time::Timestamp;

const WINDOW_MS: u64 = 8_000;

pub(super) fn account(rate: f64, burst: f64) -> Account {
    Account {
        name: "cascadia".into(),
        keys: vec![],
        priority: None,
        rate,
        burst,
        unit: AccountUnit::Tokens { undeclared: 200 },
    }
}

pub(super) fn address(number: usize) -> SocketAddr {
    ([10, 0, 0, number as u8], 7_600).into()
}

pub(super) fn params() -> QuotaParams {
    QuotaParams { window_s: 8.0, overshoot: 0.1, slack: 72_000.0 }
}

/// Returns the largest use in any window, given the time and the cost of each use.
pub(super) fn max_window_use(uses: &[(u64, f64)]) -> f64 {
    let window = |end: u64| {
        let within = uses.iter().filter(|(ms, _)| *ms <= end && *ms + WINDOW_MS > end);
        within.map(|(_, cost)| cost).sum()
    };
    uses.iter().map(|(end, _)| window(*end)).fold(0.0, f64::max)
}

pub(super) fn open_quotas(
    daemons: usize,
    now: Timestamp,
    account: &Account,
    params: QuotaParams,
) -> Vec<Quota> {
    let mut quota = Quota::new(params);
    quota.open(now, std::slice::from_ref(account));
    vec![quota; daemons]
}

/// How long the entry of a daemon that cannot reach the store remains valid.
const ENTRY_TTL: Duration = Duration::from_millis(5_000);

/// A simulated flood at several daemons, each of which asks the keepers of the account as the gateway does.
pub(super) struct Flood {
    pub(super) account: Account,
    pub(super) params: QuotaParams,
    pub(super) daemons: usize,
    /// The cost of each request.
    pub(super) cost: f64,
    /// The time between two requests at each daemon, in milliseconds.
    pub(super) interval_ms: usize,
    /// The daemons that cannot reach any other one: the start and the length in milliseconds, and the
    /// daemon.
    pub(super) isolations: Vec<(u64, u64, usize)>,
    /// The daemons that cannot reach the store, so that their entries expire: the start and the length in
    /// milliseconds, and the daemon.
    pub(super) store_outages: Vec<(u64, u64, usize)>,
    /// The member lists that daemons read: the time in milliseconds, the daemon and its new list. All start
    /// with the whole list.
    pub(super) member_lists: Vec<(u64, usize, Vec<usize>)>,
    /// When a daemon that was isolated announces its return to the daemons that it knows: the time in
    /// milliseconds, and the daemon.
    pub(super) announcements: Vec<(u64, usize)>,
    /// The daemons that start again, with the time in milliseconds.
    pub(super) restarts: Vec<(u64, Vec<usize>)>,
}

impl Flood {
    pub(super) fn new(daemons: usize, cost: f64, interval_ms: usize) -> Self {
        Self {
            account: account(24_000.0, 88_000.0),
            params: params(),
            daemons,
            cost,
            interval_ms,
            isolations: Vec::new(),
            store_outages: Vec::new(),
            member_lists: Vec::new(),
            announcements: Vec::new(),
            restarts: Vec::new(),
        }
    }

    fn is_isolated(&self, number: usize, ms: u64) -> bool {
        self.isolations.iter().any(|span| is_within(span, number, ms))
    }

    fn is_store_unreachable(&self, number: usize, ms: u64) -> bool {
        self.store_outages.iter().any(|span| is_within(span, number, ms))
    }

    /// Returns the most that may be used in a window.
    pub(super) fn limit(&self) -> f64 {
        let whole = self.account.rate * self.params.window_s + self.account.burst;
        whole * (1.0 + self.params.overshoot) + self.params.slack
    }

    /// Simulates 40 seconds and returns the time and the cost of each admitted request.
    pub(super) fn simulate(&self) -> Vec<(u64, f64)> {
        let name = &self.account.name;
        let accounts = std::slice::from_ref(&self.account);
        let peer = |number| Peer { address: address(number), strength: Strength::UNKNOWN };
        let members: Vec<_> = (0..self.daemons).map(peer).collect();
        let new_mesh = |number, now| {
            let mut mesh = Mesh::new(address(number), Duration::from_millis(650));
            mesh.replace(now, &members);
            mesh
        };
        let new_quota = |now| open_quotas(1, now, &self.account, self.params).remove(0);
        let mut quotas = vec![new_quota(Timestamp::ZERO); self.daemons];
        let mut meshes: Vec<_> =
            (0..self.daemons).map(|number| new_mesh(number, Timestamp::ZERO)).collect();
        let mut incarnations = vec![1_u64; self.daemons];
        let mut uses = Vec::new();
        for ms in (0..40_000).step_by(5) {
            let now = Timestamp::from_millis(ms);
            for (_, who) in self.restarts.iter().filter(|(at, _)| *at == ms) {
                for number in who {
                    quotas[*number] = new_quota(now);
                    meshes[*number] = new_mesh(*number, now);
                    incarnations[*number] += 1;
                }
            }
            for (_, who, list) in self.member_lists.iter().filter(|(at, ..)| *at == ms) {
                let list: Vec<_> = list.iter().copied().map(peer).collect();
                let hubs = meshes[*who].hubs().to_vec();
                meshes[*who].replace(now, &list);
                let hub_hash = meshes[*who].reported_hub_hash(now);
                for hub in hubs.into_iter().map(index_of) {
                    meshes[hub].note_hub_hash(address(*who), hub_hash);
                }
                quotas[*who].update_keepers(now, &meshes[*who], accounts);
            }
            let reaches = |from: usize, to: usize| {
                from == to || !(self.is_isolated(from, ms) || self.is_isolated(to, ms))
            };
            for (_, from) in self.announcements.iter().filter(|(at, _)| *at == ms) {
                meshes[*from].extend_lease(now + ENTRY_TTL);
                let digest = Digest {
                    incarnation: incarnations[*from],
                    number: ms,
                    starting: true,
                    ..Digest::default()
                };
                for to in meshes[*from].others().into_iter().map(index_of) {
                    if reaches(*from, to) {
                        meshes[to].note(now, address(*from), &digest);
                        quotas[to].update_keepers(now, &meshes[to], accounts);
                    }
                }
            }
            if ms % 1_500 == 0 && !self.store_outages.is_empty() {
                for number in
                    (0..self.daemons).filter(|number| !self.is_store_unreachable(*number, ms))
                {
                    meshes[number].extend_lease(now + ENTRY_TTL);
                }
            }
            // Each daemon asks the readers whether the store answers. The hubs exchange digests further
            // below.
            if ms % 450 == 0 {
                for from in 0..self.daemons {
                    let is_store_unreachable = self.is_store_unreachable(from, ms);
                    meshes[from].note_answer(!is_store_unreachable);
                    let readers = meshes[from].readers_to_ask(now).into_iter().map(index_of);
                    for (place, reader) in readers.enumerate() {
                        if !reaches(from, reader) {
                            continue;
                        }
                        let hub_hash =
                            if place == 0 { meshes[from].reported_hub_hash(now) } else { 0 };
                        meshes[reader].note_client(now, address(from), hub_hash);
                        let answered = !self.is_store_unreachable(reader, ms);
                        meshes[from].note_member_answer(now, address(reader), answered);
                        // A reader without recent knowledge of the store is no help, so the next one is
                        // asked.
                        if answered {
                            break;
                        }
                    }
                }
            }
            if ms % 100 == 0 {
                for from in 0..self.daemons {
                    let digest = Digest {
                        incarnation: incarnations[from],
                        number: ms + 1,
                        hub_mark: meshes[from].reported_hub_hash(now),
                        clients: meshes[from].clients(now),
                        unanswered: meshes[from].is_unanswered(),
                        spend: quotas[from].used(ms % 1_000 == 0),
                        ..Digest::default()
                    };
                    for to in meshes[from].hub_peers(now).into_iter().map(index_of) {
                        if !reaches(from, to) {
                            continue;
                        }
                        let update = meshes[to].note(now, address(from), &digest);
                        let update = update.unwrap_or_default();
                        for spend in &update.spent {
                            quotas[to].apply_remote_usage(now, spend);
                        }
                        for spend in update.levels.iter().filter(|_| ms >= 5_000) {
                            quotas[to].adopt(now, &spend.account, spend.level);
                        }
                    }
                }
            }
            let ticks = self.interval_ms / 5;
            let is_due = |from: &usize| {
                (ms as usize / 5 + from * ticks / self.daemons).is_multiple_of(ticks)
            };
            for from in (0..self.daemons).filter(is_due) {
                let answers = |keeper: &usize| {
                    let mesh = &meshes[*keeper];
                    let knows = *keeper == from || mesh.is_member(address(from));
                    reaches(from, *keeper) && knows && mesh.keeps(name) && mesh.is_listed(now)
                };
                let keepers = meshes[from].keepers(name).into_iter().map(index_of);
                let (asked, part) = match keepers.into_iter().find(answers) {
                    Some(keeper) => (keeper, meshes[keeper].quota_part(now, name)),
                    None if meshes[from].is_listed(now) => (from, meshes[from].equal_part()),
                    None => continue,
                };
                if quotas[asked].take(now, &self.account, self.cost, part).is_ok() {
                    uses.push((ms, self.cost));
                }
            }
        }
        uses
    }
}

/// Returns whether `ms` is within a span at the daemon `number`. A span consists of its start, its length and
/// its daemon.
pub(super) fn is_within((from, length, who): &(u64, u64, usize), number: usize, ms: u64) -> bool {
    *who == number && (*from..from + length).contains(&ms)
}

pub(super) fn index_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!("all addresses are IPv4"),
    }
}

pub(super) fn total_cost(uses: &[(u64, f64)]) -> f64 {
    uses.iter().map(|(_, cost)| cost).sum()
}

/// Creates a flood of seven times what a large account may use, at daemons of which `unreachable` cannot
/// reach the store from second 1 to 13.
///
/// Two of the other daemons learn at `early` that these are no longer listed, the rest at `late`. Daemons
/// that are back announce their return to all others.
pub(super) fn flood_during_list_changes(
    unreachable: [usize; 2],
    (early, late): (u64, u64),
) -> Flood {
    let others: Vec<_> = (0..7).filter(|number| !unreachable.contains(number)).collect();
    let removals = others.iter().enumerate().map(|(place, number)| {
        let at = if place < 2 { early } else { late };
        (at, *number, others.clone())
    });
    let additions = others.iter().map(|number| (14_500, *number, (0..7).collect()));
    Flood {
        account: account(400_000.0, 377_000.0),
        params: QuotaParams { slack: 140_000.0, ..params() },
        store_outages: unreachable.map(|number| (1_000, 12_000, number)).to_vec(),
        member_lists: removals.chain(additions).collect(),
        announcements: unreachable.map(|number| (13_060, number)).to_vec(),
        ..Flood::new(7, 9_000.0, 20)
    }
}
