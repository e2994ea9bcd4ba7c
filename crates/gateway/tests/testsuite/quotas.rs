//! Quotas of client accounts.

use trefoildyke_decide::gateway::{Account, AccountUnit, Peer, Strength};

use crate::harness::{Endpoint, Step, TestGateway, account};

#[test]
fn requests_over_the_quota_are_refused_with_retry_after_and_do_not_run() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    gateway.reconfigure(2, |config| {
        config.accounts[0].rate = 10.0;
        config.accounts[0].burst = 0.0;
        config.accounts[0].unit = AccountUnit::Tokens { undeclared: 1 };
    });
    std::thread::sleep(std::time::Duration::from_millis(500));
    let tokens = [("trefoildyke-tokens", "2,2")];
    assert_eq!(gateway.request_with("GET /once/", &tokens).unwrap().status, 200);
    let reply = gateway.request_with("GET /once/", &tokens).unwrap();
    assert_eq!(reply.status, 429);
    let after: f64 = reply.header("retry-after").unwrap().parse().unwrap();
    assert!((0.1..2.0).contains(&after), "{after}");
    assert_eq!(endpoint.requests().len(), 1);
}

/// Guards against a second quota, or none, for an account that is listed twice.
#[test]
fn an_account_that_is_listed_twice_has_one_quota() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let gateway = TestGateway::start(&[&endpoint]);
    gateway.reconfigure(2, |config| {
        config.accounts = vec![account("k1"), Account { rate: 0.5, ..account("k2") }];
    });
    let status = |key| {
        let mut caller = gateway.caller();
        let headers = [("trefoildyke-request-id", "r1"), ("trefoildyke-key", key)];
        caller.send("GET /once/", &headers, "");
        caller.read_reply().unwrap().status
    };
    assert_eq!([status("k1"), status("k2"), status("k1")], [200, 429, 429]);
    assert_eq!(endpoint.requests().len(), 1);
}

// Guards against members that stay in the lists of some daemons. When the list of members lacked two hosts,
// each daemon kept them for as long as it believed that the store had answered for less than four seconds.
// The lists differed for seconds, no daemon granted some shares of the quotas, and callers within their
// quotas were refused: 3,637 refusals where there had been 1,982. Members are kept only where the daemon's
// own entry had lapsed, because then the entries of others may have lapsed too.
#[test]
fn missing_members_are_kept_only_after_the_own_entry_lapsed() {
    let gateway = TestGateway::unconfigured(|_| ());
    let peer = |address| Peer { address, strength: Strength::UNKNOWN };
    let own = peer(gateway.addresses.peers);
    let other = peer(([127, 0, 0, 1], 9).into());
    let listed = |list: &[Peer]| {
        gateway.feed.set_members(list);
        gateway.feed.member_count()
    };
    assert_eq!(listed(&[own, other]), 2);
    assert_eq!(listed(&[own]), 1);
    assert_eq!(listed(&[own, other]), 2);
    gateway.feed.rejoined();
    assert_eq!(listed(&[own]), 2);
}
