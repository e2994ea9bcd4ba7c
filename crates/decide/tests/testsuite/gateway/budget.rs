//! The retry budget.

use std::time::Duration;

use proptest::prelude::*;
use trefoildyke_decide::gateway::{Mesh, RetryBudget, RetryUsage};
use trefoildyke_types::time::Timestamp;

use super::{
    mesh::{mesh_of, peers},
    support::at,
};

const WINDOW: Duration = Duration::from_secs(10);

/// The earliest time after the first window of a daemon that started at [`Timestamp::ZERO`].
const AFTER_FIRST_WINDOW: Timestamp = Timestamp::from_millis(10_000);

/// Returns the budget of a daemon that started at [`Timestamp::ZERO`].
fn budget_started_at_zero(ratio: f64, fixed: f64) -> RetryBudget {
    RetryBudget::new(Timestamp::ZERO, WINDOW, ratio, fixed)
}

/// Takes a retry and sends it at once. Returns whether one was available.
fn take_and_send(budget: &mut RetryBudget, now: Timestamp, share: f64) -> bool {
    budget.take(now, share) && budget.send(now, share)
}

#[test]
fn the_sum_over_daemons_stays_within_the_shared_limit_in_every_window() {
    let window = Duration::from_secs(10);
    let (ratio, fixed, members) = (0.2, 50.0, 7);
    let mut budgets: Vec<_> =
        (0..members).map(|_| RetryBudget::new(Timestamp::ZERO, window, ratio, fixed)).collect();
    let mut requests = Vec::new();
    let mut retries = Vec::new();
    for step in 0..4_000_u64 {
        let now = Timestamp::from_millis(step * 10);
        // Every request fails, and one daemon gets ten times as many requests as another.
        let daemon = if step % 3 == 0 { (step as usize / 3) % members } else { 0 };
        budgets[daemon].request(now);
        requests.push(now);
        for _ in 0..3 {
            if take_and_send(&mut budgets[daemon], now, 1.0 / members as f64) {
                retries.push(now);
            }
        }
        let since = |times: &[Timestamp]| {
            times.iter().filter(|time| now.since(**time) <= window).count() as f64
        };
        assert!(since(&retries) <= ratio * since(&requests) + fixed);
    }
    assert!(retries.len() > 500, "{} retries", retries.len());
}

#[test]
fn a_budget_is_available_again_after_the_window() {
    let mut budget = budget_started_at_zero(0.0, 10.0);
    let taken = (0..20).filter(|_| take_and_send(&mut budget, AFTER_FIRST_WINDOW, 1.0)).count();
    assert_eq!(taken, 8);
    assert!(!take_and_send(&mut budget, AFTER_FIRST_WINDOW + Duration::from_millis(9_000), 1.0));
    assert!(take_and_send(&mut budget, AFTER_FIRST_WINDOW + Duration::from_millis(10_001), 1.0));
}

// Guards against dividing the fixed number by the current number of members right after members
// have left. When four of seven were no longer listed, the other three took a third each right
// after all seven had used a seventh: 122 retries in a window of 100.
#[test]
fn the_fixed_number_holds_over_the_loss_of_members() {
    let members = peers(7);
    let mut daemons: Vec<_> = members
        .iter()
        .map(|own| (mesh_of(own.address, &members), budget_started_at_zero(0.0, 100.0)))
        .collect();
    let mut retries = 0;
    for (ms, left) in [(11_000, 7), (15_000, 3)] {
        let now = Timestamp::from_millis(ms);
        for (mesh, budget) in daemons.iter_mut().take(left) {
            mesh.replace(now, &members[..left]);
            while take_and_send(budget, now, mesh.equal_share(now)) {
                retries += 1;
            }
        }
    }
    assert!(retries <= 100, "{retries}");
    let later = Timestamp::from_millis(26_000);
    assert_eq!(daemons[0].0.count_lately(later), 3);
    assert_eq!(daemons[0].0.equal_share(later), 1.0 / 3.0);
}

#[test]
fn usage_reports_counted_repeats_and_limit() {
    let mut budget = budget_started_at_zero(0.5, 20.0);
    let now = AFTER_FIRST_WINDOW;
    (0..10).for_each(|_| budget.request(now));
    assert!(take_and_send(&mut budget, now, 0.25));
    // 0.8 * (0.5 * (0 + 10 requests) / 2 + 20 / 4 members) = 6
    assert_eq!(budget.usage(now, 0.25), RetryUsage { retries: 1, limit: 6 });
    let later = now + Duration::from_millis(10_001);
    assert_eq!(budget.usage(later, 0.25), RetryUsage { retries: 0, limit: 4 });
}

// Guards against each daemon using the whole fixed number before it has read the list of members.
#[test]
fn the_fixed_number_holds_while_no_daemon_has_read_the_list_of_members() {
    let mut retries = 0;
    for own in peers(7) {
        let mesh = Mesh::new(own.address, Duration::from_millis(650));
        let mut budget = budget_started_at_zero(0.0, 100.0);
        while take_and_send(&mut budget, AFTER_FIRST_WINDOW, mesh.equal_share(AFTER_FIRST_WINDOW)) {
            retries += 1;
        }
    }
    assert!(retries <= 100, "{retries}");
}

// Guards against daemons with lapsed entries keeping shares that the listed members have divided
// among themselves.
#[test]
fn the_fixed_number_holds_while_daemons_are_cut_off_from_the_store() {
    let members = peers(7);
    let listed_until = Timestamp::from_millis(5_000);
    let mut retries = 0;
    let now = Timestamp::from_millis(30_000);
    for (index, own) in members.iter().enumerate() {
        let mut mesh = mesh_of(own.address, &members);
        if index < 2 {
            mesh.extend_lease(listed_until);
        } else {
            mesh.replace(listed_until, &members[2..]);
            mesh.extend_lease(now + Duration::from_millis(5_000));
        }
        let mut budget = budget_started_at_zero(0.0, 100.0);
        while take_and_send(&mut budget, now, mesh.equal_share(now)) {
            retries += 1;
        }
    }
    assert!(retries <= 100, "{retries}");
}

// Guards against a daemon receiving its full share of the fixed number again after each restart.
#[test]
fn the_fixed_number_holds_over_restarts_of_all_daemons() {
    let mut daemons: Vec<_> = (0..7).map(|_| budget_started_at_zero(0.0, 100.0)).collect();
    let mut retries = Vec::new();
    for ms in (0..60_000).step_by(100) {
        let now = Timestamp::from_millis(ms);
        if (20_000..30_000).contains(&ms) && ms % 2_500 == 0 {
            daemons.fill(RetryBudget::new(now, WINDOW, 0.0, 100.0));
        }
        for budget in &mut daemons {
            while take_and_send(budget, now, 1.0 / 7.0) {
                retries.push(now);
            }
        }
        let in_window = retries.iter().filter(|at| now.since(**at) <= WINDOW).count();
        assert!(in_window <= 100, "{in_window} retries in the window up to {ms} ms");
    }
    // The fixed number is available again one window after the last restart.
    assert!(retries.iter().any(|at| *at >= Timestamp::from_millis(37_500)));
}

// Guards against exceeding the limit when retries that waited are sent along with later ones.
#[test]
fn retries_that_wait_for_a_slot_count_until_a_window_after_they_are_sent() {
    let mut budget = budget_started_at_zero(0.0, 10.0);
    let mut sent = Vec::new();
    for (ms, wait_ms) in [(10_000, 3_000), (20_001, 0), (23_001, 0)] {
        let now = Timestamp::from_millis(ms);
        let taken = (0..20).filter(|_| budget.take(now, 1.0)).count();
        for _ in 0..taken {
            let sent_at = now + Duration::from_millis(wait_ms);
            assert!(budget.send(sent_at, 1.0));
            sent.push(sent_at);
        }
    }
    let in_window =
        |end: Timestamp| sent.iter().filter(|at| **at <= end && end.since(**at) <= WINDOW).count();
    let max_in_window = sent.iter().map(|end| in_window(*end)).max();
    assert_eq!(max_in_window, Some(8));
    assert_eq!(sent.len(), 16);
}

// Guards against losing budget to retries that are taken but not sent.
#[test]
fn a_retry_that_is_given_back_is_available_again() {
    let mut budget = budget_started_at_zero(0.0, 10.0);
    let now = AFTER_FIRST_WINDOW;
    while budget.take(now, 1.0) {}
    budget.give_back();
    assert!(budget.take(now, 1.0));
    assert!(!budget.take(now, 1.0));
}

/// All requests and retries of a service, as the users count them.
#[derive(Default)]
struct Arrivals {
    requests: Vec<u64>,
    retries: Vec<u64>,
}

impl Arrivals {
    const WINDOW_MS: u64 = WINDOW.as_millis() as u64;

    fn count(times: &[u64], from: u64, to: u64) -> usize {
        times.iter().filter(|at| (from..=to).contains(*at)).count()
    }

    /// Returns the largest fraction of the limit that the retries of a window use. The requests are counted in
    /// the window, the one before it, or the one half a window before it, whichever has most.
    fn max_use(&self, ratio: f64, fixed: f64) -> f64 {
        let used = self.retries.iter().map(|start| {
            let window = |shift: u64| {
                let from = start.saturating_sub(shift);
                Self::count(&self.requests, from, (start + Self::WINDOW_MS).saturating_sub(shift))
            };
            let shifts = [0, Self::WINDOW_MS / 2, Self::WINDOW_MS];
            let requests = shifts.into_iter().map(window).max().unwrap_or(0);
            let retries = Self::count(&self.retries, *start, start + Self::WINDOW_MS);
            retries as f64 / (ratio * requests as f64 + fixed)
        });
        used.fold(0.0, f64::max)
    }
}

/// Daemons whose requests to one service all fail and are retried as often as the budgets allow.
struct Failing {
    budgets: Vec<RetryBudget>,
    /// The number of retries of each daemon that wait for a slot.
    waiting: Vec<usize>,
    ratio: f64,
    fixed: f64,
    arrivals: Arrivals,
}

impl Failing {
    fn new(daemons: usize, ratio: f64, fixed: f64) -> Self {
        let budget = budget_started_at_zero(ratio, fixed);
        Self {
            budgets: vec![budget; daemons],
            waiting: vec![0; daemons],
            ratio,
            fixed,
            arrivals: Arrivals::default(),
        }
    }

    /// A daemon gets requests that do not fail.
    fn serve(&mut self, ms: u64, daemon: usize, requests: usize) {
        for _ in 0..requests {
            self.budgets[daemon].request(at(ms));
            self.arrivals.requests.push(ms);
        }
    }

    /// A daemon gets requests that fail, each up to three times.
    fn fail(&mut self, ms: u64, daemon: usize, requests: usize) {
        self.fail_and_wait(ms, daemon, requests);
        self.send_waiting(ms, daemon);
    }

    /// A daemon gets seven requests, which all fail or all do not.
    fn serve_or_fail(&mut self, ms: u64, daemon: usize, is_failing: bool) {
        if is_failing {
            self.fail(ms, daemon, 7);
        } else {
            self.serve(ms, daemon, 7);
        }
    }

    /// A daemon gets requests that fail, and waits for slots for their retries.
    fn fail_and_wait(&mut self, ms: u64, daemon: usize, requests: usize) {
        self.serve(ms, daemon, requests);
        let budget = &mut self.budgets[daemon];
        let share = 1.0 / self.waiting.len() as f64;
        let taken = (0..3 * requests).filter(|_| budget.take(at(ms), share)).count();
        self.waiting[daemon] += taken;
    }

    /// A daemon gets slots for the retries that wait.
    fn send_waiting(&mut self, ms: u64, daemon: usize) {
        let budget = &mut self.budgets[daemon];
        let share = 1.0 / self.waiting.len() as f64;
        let waiting = std::mem::take(&mut self.waiting[daemon]);
        let sent = (0..waiting).filter(|_| budget.send(at(ms), share)).count();
        self.arrivals.retries.extend(std::iter::repeat_n(ms, sent));
    }

    /// A daemon is killed and starts again.
    fn restart(&mut self, ms: u64, daemon: usize) {
        self.budgets[daemon] = RetryBudget::new(at(ms), WINDOW, self.ratio, self.fixed);
        self.waiting[daemon] = 0;
    }

    fn assert_within_limit(&self) {
        let used = self.arrivals.max_use(self.ratio, self.fixed);
        assert!(used <= 1.0, "{used:.2} of the limit is used");
    }
}

// Guards against a restart that forgets the retries of a window and lets the next requests pay for more.
#[test]
fn retries_stay_within_the_budget_when_all_daemons_are_killed() {
    for killed_at in (20_100..30_000).step_by(900) {
        let mut failing = Failing::new(7, 0.2, 54.0);
        for ms in (0..40_000).step_by(35) {
            let daemon = (ms / 35) as usize % 7;
            failing.serve_or_fail(ms, daemon, ms >= 20_000);
            if (killed_at..killed_at + 35).contains(&ms) {
                (0..7).for_each(|daemon| failing.restart(ms, daemon));
            }
        }
        failing.assert_within_limit();
    }
}

// Guards against daemons spending in one window what traffic has paid for that has moved on meanwhile.
#[test]
fn retries_stay_within_the_budget_when_traffic_moves_between_daemons() {
    let mut failing = Failing::new(7, 0.2, 54.0);
    for ms in (0..80_000).step_by(35) {
        let daemon = (ms / 8_000) as usize % 7;
        failing.serve_or_fail(ms, daemon, ms % 8_000 >= 7_000);
    }
    failing.assert_within_limit();
}

// Guards against limits that keep a lasting failure from using the whole budget.
#[test]
fn a_lasting_failure_uses_the_whole_budget() {
    let mut failing = Failing::new(7, 0.2, 54.0);
    for ms in (0..60_000).step_by(35) {
        let daemon = (ms / 35) as usize % 7;
        failing.serve_or_fail(ms, daemon, ms >= 20_000);
    }
    failing.assert_within_limit();
    for start in [20_000, 30_000, 40_000] {
        let retries = Arrivals::count(&failing.arrivals.retries, start, start + 10_000);
        // 0.8 * (0.2 * 2,000 requests + 54), less one for each daemon, which rounds down, and less those that
        // become available between its requests, which are 245 ms apart.
        assert!(retries >= 363 - 7 - 9, "{retries} from {start} ms");
    }
}

// Guards against retries that wait until the requests that paid for them have moved to another daemon, which
// spends the same part of the shared limit.
#[test]
fn retries_that_waited_stay_within_the_budget_when_traffic_moves() {
    let mut failing = Failing::new(2, 0.2, 0.0);
    for ms in (0..10_000).step_by(5) {
        failing.serve(ms, 0, 1);
    }
    failing.fail_and_wait(10_000, 0, 100);
    // 0.8 * 0.2 * 2,100 requests / 2
    assert_eq!(failing.waiting[0], 168);
    for ms in (10_000..20_000).step_by(5) {
        failing.serve(ms, 1, 1);
    }
    failing.send_waiting(20_000, 0);
    for ms in (20_000..30_000).step_by(5) {
        failing.fail(ms, 1, 1);
    }
    failing.assert_within_limit();
}

/// A step of one daemon.
#[derive(Clone, Copy, Debug)]
enum Step {
    Serve(usize),
    Fail(usize),
    FailAndWait(usize),
    SendWaiting,
    Restart,
}

fn steps() -> impl Strategy<Value = Vec<(u64, usize, Step)>> {
    let step = prop_oneof![
        4 => (1_usize..150).prop_map(Step::Serve),
        4 => (1_usize..60).prop_map(Step::Fail),
        2 => (1_usize..60).prop_map(Step::FailAndWait),
        2 => Just(Step::SendWaiting),
        1 => Just(Step::Restart),
    ];
    prop::collection::vec((0_u64..2_500, 0_usize..4, step), 1..80)
}

proptest! {
    // Guards against any sequence of restarts and any assignment of requests to daemons by which their budgets
    // add up to more than the shared one.
    #[test]
    fn retries_stay_within_the_budget_over_any_assignment_of_requests_and_restarts(steps in steps()) {
        let mut failing = Failing::new(4, 0.2, 30.0);
        let mut ms = 0;
        for (pause, daemon, step) in steps {
            ms += pause;
            match step {
                Step::Serve(requests) => failing.serve(ms, daemon, requests),
                Step::Fail(requests) => failing.fail(ms, daemon, requests),
                Step::FailAndWait(requests) => failing.fail_and_wait(ms, daemon, requests),
                Step::SendWaiting => failing.send_waiting(ms, daemon),
                Step::Restart => failing.restart(ms, daemon),
            }
        }
        failing.assert_within_limit();
    }
}
