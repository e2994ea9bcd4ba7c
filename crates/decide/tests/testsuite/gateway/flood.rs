//! Floods of one account over several daemons, as the tests of quotas play them.

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

/// The largest use in any window, by the ends of uses.
pub(super) fn largest(uses: &[(u64, f64)]) -> f64 {
    let window = |end: u64| {
        let within = uses.iter().filter(|(ms, _)| *ms <= end && *ms + WINDOW_MS > end);
        within.map(|(_, cost)| cost).sum()
    };
    uses.iter().map(|(end, _)| window(*end)).fold(0.0, f64::max)
}

pub(super) fn started_with(
    daemons: usize,
    now: Timestamp,
    account: &Account,
    params: QuotaParams,
) -> Vec<Quota> {
    let mut quota = Quota::new(params);
    quota.open(now, std::slice::from_ref(account));
    vec![quota; daemons]
}

/// How long the entry of a daemon lasts that does not reach the store.
const ENTRY: Duration = Duration::from_millis(5_000);

/// A flood plays out at several daemons, each of which asks the keepers of the account as the gateway does.
pub(super) struct Flood {
    pub(super) account: Account,
    pub(super) params: QuotaParams,
    pub(super) daemons: usize,
    /// What each request costs.
    pub(super) cost: f64,
    /// How many milliseconds pass between two requests at each daemon.
    pub(super) gap: usize,
    /// Which daemon reaches no other, from when on and for how long.
    pub(super) cuts: Vec<(u64, u64, usize)>,
    /// Which daemon does not reach the store, from when on and for how long, so that its entry lapses.
    pub(super) dark: Vec<(u64, u64, usize)>,
    /// When which daemon reads which list of members; all start with the whole list.
    pub(super) lists: Vec<(u64, usize, Vec<usize>)>,
    /// When which daemon, back from a cut, says to those that it knows that it is there.
    pub(super) returns: Vec<(u64, usize)>,
    /// When daemons start again, and which.
    pub(super) restarts: Vec<(u64, Vec<usize>)>,
}

impl Flood {
    pub(super) fn new(daemons: usize, cost: f64, gap: usize) -> Self {
        Self {
            account: account(24_000.0, 88_000.0),
            params: params(),
            daemons,
            cost,
            gap,
            cuts: Vec::new(),
            dark: Vec::new(),
            lists: Vec::new(),
            returns: Vec::new(),
            restarts: Vec::new(),
        }
    }

    fn is_cut(&self, number: usize, ms: u64) -> bool {
        self.cuts.iter().any(|span| is_within(span, number, ms))
    }

    fn is_dark(&self, number: usize, ms: u64) -> bool {
        self.dark.iter().any(|span| is_within(span, number, ms))
    }

    /// The most that may be used in a window.
    pub(super) fn limit(&self) -> f64 {
        let whole = self.account.rate * self.params.window_s + self.account.burst;
        whole * (1.0 + self.params.overshoot) + self.params.slack
    }

    /// Returns when which cost was admitted over 40 seconds.
    pub(super) fn play(&self) -> Vec<(u64, f64)> {
        let name = &self.account.name;
        let accounts = std::slice::from_ref(&self.account);
        let peer = |number| Peer { address: address(number), strength: Strength::UNKNOWN };
        let members: Vec<_> = (0..self.daemons).map(peer).collect();
        let new_mesh = |number, now| {
            let mut mesh = Mesh::new(address(number), Duration::from_millis(650));
            mesh.replace(now, &members);
            mesh
        };
        let new_quota = |now| started_with(1, now, &self.account, self.params).remove(0);
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
            for (_, who, list) in self.lists.iter().filter(|(at, ..)| *at == ms) {
                let list: Vec<_> = list.iter().copied().map(peer).collect();
                let hubs = meshes[*who].hubs().to_vec();
                meshes[*who].replace(now, &list);
                let mark = meshes[*who].told_hub_mark(now);
                for hub in hubs.into_iter().map(number_of) {
                    meshes[hub].note_hub_mark(address(*who), mark);
                }
                quotas[*who].note_hubs(now, &meshes[*who], accounts);
            }
            let reaches = |from: usize, to: usize| {
                from == to || !(self.is_cut(from, ms) || self.is_cut(to, ms))
            };
            for (_, from) in self.returns.iter().filter(|(at, _)| *at == ms) {
                meshes[*from].note_entry(now + ENTRY);
                let digest = Digest {
                    incarnation: incarnations[*from],
                    number: ms,
                    starting: true,
                    ..Digest::default()
                };
                for to in meshes[*from].others().into_iter().map(number_of) {
                    if reaches(*from, to) {
                        meshes[to].note(now, address(*from), &digest);
                        quotas[to].note_hubs(now, &meshes[to], accounts);
                    }
                }
            }
            if ms % 1_500 == 0 && !self.dark.is_empty() {
                for number in (0..self.daemons).filter(|number| !self.is_dark(*number, ms)) {
                    meshes[number].note_entry(now + ENTRY);
                }
            }
            // Each asks about the store, and the hubs tell each other.
            if ms % 450 == 0 {
                for from in 0..self.daemons {
                    let is_dark = self.is_dark(from, ms);
                    meshes[from].note_answer(!is_dark);
                    let readers = meshes[from].readers_to_ask(now).into_iter().map(number_of);
                    for (place, reader) in readers.enumerate() {
                        if !reaches(from, reader) {
                            continue;
                        }
                        let mark = if place == 0 { meshes[from].told_hub_mark(now) } else { 0 };
                        meshes[reader].note_client(now, address(from), mark);
                        let answered = !self.is_dark(reader, ms);
                        meshes[from].note_member_answer(now, address(reader), answered);
                        // One that knows nothing new of the store is no use.
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
                        hub_mark: meshes[from].told_hub_mark(now),
                        clients: meshes[from].clients(now),
                        unanswered: meshes[from].is_unanswered(),
                        spend: quotas[from].used(ms % 1_000 == 0),
                        ..Digest::default()
                    };
                    for to in meshes[from].hub_peers(now).into_iter().map(number_of) {
                        if !reaches(from, to) {
                            continue;
                        }
                        let news = meshes[to].note(now, address(from), &digest);
                        let news = news.unwrap_or_default();
                        for spend in &news.spent {
                            quotas[to].note_others(now, spend);
                        }
                        for spend in news.levels.iter().filter(|_| ms >= 5_000) {
                            quotas[to].adopt(now, &spend.account, spend.level);
                        }
                    }
                }
            }
            let ticks = self.gap / 5;
            let is_due = |from: &usize| {
                (ms as usize / 5 + from * ticks / self.daemons).is_multiple_of(ticks)
            };
            for from in (0..self.daemons).filter(is_due) {
                let answers = |keeper: &usize| {
                    let mesh = &meshes[*keeper];
                    let knows = *keeper == from || mesh.is_member(address(from));
                    reaches(from, *keeper) && knows && mesh.keeps(name) && mesh.is_listed(now)
                };
                let keepers = meshes[from].keepers(name).into_iter().map(number_of);
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

/// Says whether a span from a moment on, of some length, at one daemon holds a moment at a daemon.
pub(super) fn is_within((from, length, who): &(u64, u64, usize), number: usize, ms: u64) -> bool {
    *who == number && (*from..from + length).contains(&ms)
}

pub(super) fn number_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => usize::from(address.ip().octets()[3]),
        SocketAddr::V6(_) => unreachable!("all are of the fourth version"),
    }
}

pub(super) fn used(uses: &[(u64, f64)]) -> f64 {
    uses.iter().map(|(_, cost)| cost).sum()
}

/// A flood of seven times what a large account may use, at daemons of which `dark` do not reach the store from second 1
/// to 13.
///
/// Two of the others learn at `early` that these are not listed any more, the rest at `late`. Those that are back say so to
/// all.
pub(super) fn flood_over_lists(dark: [usize; 2], (early, late): (u64, u64)) -> Flood {
    let others: Vec<_> = (0..7).filter(|number| !dark.contains(number)).collect();
    let falls = others.iter().enumerate().map(|(place, number)| {
        let at = if place < 2 { early } else { late };
        (at, *number, others.clone())
    });
    let rises = others.iter().map(|number| (14_500, *number, (0..7).collect()));
    Flood {
        account: account(400_000.0, 377_000.0),
        params: QuotaParams { slack: 140_000.0, ..params() },
        dark: dark.map(|number| (1_000, 12_000, number)).to_vec(),
        lists: falls.chain(rises).collect(),
        returns: dark.map(|number| (13_060, number)).to_vec(),
        ..Flood::new(7, 9_000.0, 20)
    }
}
