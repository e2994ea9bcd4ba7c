//! Keys, routes and how long they are believed.

use std::time::Duration;

use crate::harness::{Endpoint, Stack, Step, account};

fn endpoint() -> Endpoint {
    Endpoint::start(vec![vec![Step::Answer("x")]])
}

fn status(stack: &Stack, line: &str) -> u16 {
    stack.ask(line).unwrap().status
}

#[test]
fn before_the_configuration_is_known_nothing_is_denied_for_good() {
    let stack = Stack::bare(|_| ());
    let reply = stack.ask("GET /once/").unwrap();
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
}

#[test]
fn unknown_routes_and_keys_are_denied() {
    let endpoint = endpoint();
    let stack = Stack::start(&[&endpoint]);
    assert_eq!(status(&stack, "GET /nowhere/"), 404);
    stack.reconfigure(2, |config| config.accounts = vec![account("other")]);
    assert_eq!(status(&stack, "GET /once/"), 401);
    assert_eq!(status(&stack, "GET /open/"), 200);
}

#[test]
fn an_older_version_changes_nothing() {
    let endpoint = endpoint();
    let stack = Stack::start(&[&endpoint]);
    stack.reconfigure(5, |config| config.accounts = vec![account("other")]);
    stack.reconfigure(4, |_| ());
    assert_eq!(status(&stack, "GET /once/"), 401);
}

/// A key that was taken away must not work at a daemon that cannot hear of it.
#[test]
fn keys_fail_closed_once_the_last_confirmation_is_too_old() {
    let endpoint = endpoint();
    let stack = Stack::bare(|settings| settings.key_age = Duration::from_millis(400));
    stack.believe(&[&endpoint]);
    assert_eq!(status(&stack, "GET /once/"), 200);
    std::thread::sleep(Duration::from_millis(450));
    let reply = stack.ask("GET /once/").unwrap();
    assert_eq!(reply.status, 503);
    assert!(reply.header("retry-after").is_some());
    // What is not known to be in force is not denied for good either.
    assert_eq!(status(&stack, "GET /nowhere/"), 503);
    assert_eq!(status(&stack, "GET /open/"), 200);
    assert_eq!(endpoint.seen().len(), 2);
    stack.feed.confirm(stack.feed.now());
    assert_eq!(status(&stack, "GET /once/"), 200);
}

#[test]
fn a_late_confirmation_counts_as_of_its_question() {
    let endpoint = endpoint();
    let stack = Stack::bare(|settings| settings.key_age = Duration::from_millis(300));
    stack.believe(&[&endpoint]);
    let asked = stack.feed.now();
    std::thread::sleep(Duration::from_millis(350));
    stack.feed.confirm(asked);
    assert_eq!(status(&stack, "GET /once/"), 503);
}
