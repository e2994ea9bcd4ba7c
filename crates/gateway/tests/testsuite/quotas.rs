//! Quotas at the door.

use trefoildyke_decide::gateway::{AccountUnit, Peer, Strength};

use crate::harness::{Endpoint, Stack, Step};

#[test]
fn what_is_beyond_the_quota_is_refused_with_a_time_to_come_back_and_runs_nowhere() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let stack = Stack::start(&[&endpoint]);
    stack.reconfigure(2, |config| {
        config.accounts[0].rate = 10.0;
        config.accounts[0].burst = 0.0;
        config.accounts[0].unit = AccountUnit::Tokens { undeclared: 1 };
    });
    std::thread::sleep(std::time::Duration::from_millis(500));
    let tokens = [("trefoildyke-tokens", "2,2")];
    assert_eq!(stack.ask_with("GET /once/", &tokens).unwrap().status, 200);
    let reply = stack.ask_with("GET /once/", &tokens).unwrap();
    assert_eq!(reply.status, 429);
    let after: f64 = reply.header("retry-after").unwrap().parse().unwrap();
    assert!((0.1..2.0).contains(&after), "{after}");
    assert_eq!(endpoint.seen().len(), 1);
}

// The list of members lacked two hosts, and each daemon kept them for as long as the store had, by its own view, answered for
// less than four seconds. So lists differed for seconds more, parts of the quotas were given by nobody, and callers within
// theirs were refused: 3,637 refusals where there had been 1,982. Members are kept only where the daemon's own entry had
// lapsed: then others' may have as well.
#[test]
fn members_that_are_missing_are_kept_only_after_an_own_lapse() {
    let stack = Stack::bare(|_| ());
    let peer = |address| Peer { address, strength: Strength::UNKNOWN };
    let own = peer(stack.addresses.peers);
    let other = peer(([127, 0, 0, 1], 9).into());
    let listed = |list: &[Peer]| {
        stack.feed.members(list);
        stack.feed.member_count()
    };
    assert_eq!(listed(&[own, other]), 2);
    assert_eq!(listed(&[own]), 1);
    assert_eq!(listed(&[own, other]), 2);
    stack.feed.rejoined();
    assert_eq!(listed(&[own]), 2);
}
