//! Graceful stops.

use std::time::{Duration, Instant};

use crate::harness::{Caller, Endpoint, Stack, Step};

fn ready(stack: &Stack) -> u16 {
    let mut caller = Caller::connect(stack.addresses.ready);
    caller.send("GET /ready", &[], "");
    caller.reply().unwrap().status
}

#[test]
fn it_is_ready_only_with_a_fresh_configuration_and_endpoints() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("x")]]);
    let stack = Stack::bare(|settings| settings.ready_age = Duration::from_millis(300));
    assert_eq!(ready(&stack), 503);
    stack.believe(&[&endpoint]);
    assert_eq!(ready(&stack), 200);
    std::thread::sleep(Duration::from_millis(350));
    assert_eq!(ready(&stack), 503);
}

#[test]
fn a_stop_cuts_nothing_and_serves_what_still_comes_while_the_balancer_notices() {
    let endpoint = Endpoint::start(vec![
        vec![
            Step::Stream,
            Step::Events("id: 1\n\n"),
            Step::Pause(Duration::from_millis(1_500)),
            Step::Events("id: 2\n\n"),
            Step::EndStream,
        ],
        vec![Step::Answer("late")],
    ]);
    let stack = Stack::bare(|settings| settings.grace = Duration::from_secs(5));
    stack.believe(&[&endpoint]);
    let mut stream = stack.caller();
    stream.send("POST /stream/", &[("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")], "");
    stream.first_part();
    let addresses = stack.addresses;
    let stopping = std::thread::spawn(move || {
        let begun = Instant::now();
        (stack.stop(), begun.elapsed())
    });
    std::thread::sleep(Duration::from_millis(300));
    let mut ready = Caller::connect(addresses.ready);
    ready.send("GET /ready", &[], "");
    assert_eq!(ready.reply().unwrap().status, 503);
    let mut late = Caller::connect(addresses.callers);
    late.send("GET /once/", &[("trefoildyke-request-id", "l"), ("trefoildyke-key", "k1")], "");
    let reply = late.reply().unwrap();
    assert_eq!((reply.status, reply.body.as_str()), (200, "late"));
    assert_eq!(reply.header("connection"), Some("close"));
    assert!(late.is_closed());
    assert!(stream.reply().unwrap().whole);
    let (cut, took) = stopping.join().unwrap();
    assert_eq!(cut, 0);
    assert!(took < Duration::from_secs(5), "{took:?}");
}

#[test]
fn a_stop_ends_at_its_grace_period_and_says_what_it_cut() {
    let pause = Step::Pause(Duration::from_secs(30));
    let endpoint = Endpoint::start(vec![vec![Step::Stream, Step::Events("id: 1\n\n"), pause]]);
    let stack = Stack::bare(|settings| settings.grace = Duration::from_secs(1));
    stack.believe(&[&endpoint]);
    let mut stream = stack.caller();
    stream.send("POST /stream/", &[("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")], "");
    stream.first_part();
    let begun = Instant::now();
    assert_eq!(stack.stop(), 1);
    assert!(begun.elapsed() < Duration::from_millis(1_500));
    assert!(!stream.reply().unwrap().whole);
}

/// An answer of 1,500 tokens takes six seconds at 4 ms a token.
#[test]
fn an_answer_that_a_stop_would_cut_off_is_refused_and_a_short_one_served() {
    let endpoint = Endpoint::start(vec![vec![Step::Answer("short")]]);
    let stack = Stack::bare(|settings| settings.grace = Duration::from_secs(5));
    stack.believe(&[&endpoint]);
    let addresses = stack.addresses;
    let stopping = std::thread::spawn(move || stack.stop());
    std::thread::sleep(Duration::from_millis(300));
    let ask = |tokens: &'static str| {
        let mut late = Caller::connect(addresses.callers);
        let headers = [
            ("trefoildyke-request-id", "l"),
            ("trefoildyke-key", "k1"),
            ("trefoildyke-tokens", tokens),
            ("trefoildyke-length-hint", tokens.split(',').next_back().unwrap()),
        ];
        late.send("GET /once/", &headers, "");
        late.reply().unwrap()
    };
    let long = ask("20,1500");
    assert_eq!((long.status, long.header("connection")), (503, Some("close")));
    assert!(long.header("retry-after").is_some());
    assert_eq!(ask("20,50").status, 200);
    stopping.join().unwrap();
}
