//! Endpoints that send without end.

mod setup;

use std::time::{Duration, Instant};

use setup::{
    AGAIN, CHUNKED, HUGE, LONG_MS, MAX_ANSWER, MAX_BUFFERED, MAX_EVENT, MAX_FRAMING, ONCE, RESUME,
    STREAM, Setup, UNFRAMED, check_body, check_head, check_stream, check_whole,
};
use trefoildyke_decide::gateway::Service;

use crate::harness::{Endpoint, Step, TestGateway};

#[test]
fn a_status_line_without_end_is_no_answer() {
    check_head(&[Step::Raw("HTTP/1.1 200 "), Step::Endless("x")]);
}

#[test]
fn header_lines_without_end_are_no_answer() {
    check_head(&[Step::Raw("HTTP/1.1 200 OK\r\n"), Step::Endless("a: b\r\n")]);
}

#[test]
fn a_header_value_without_end_is_no_answer() {
    check_head(&[Step::Raw("HTTP/1.1 200 OK\r\na: "), Step::Endless("x")]);
}

#[test]
fn interim_answers_without_end_are_no_answer() {
    check_head(&[Step::Endless("HTTP/1.1 100 Continue\r\n\r\n")]);
    check_head(&[Step::Endless("HTTP/1.1 103 Early Hints\r\nlink: x\r\n\r\n")]);
}

#[test]
fn bytes_without_end_that_are_no_http_are_no_answer() {
    for bytes in ["x", "\0", "\r\n", "GET / HTTP/1.1\r\n\r\n"] {
        check_head(&[Step::Endless(bytes)]);
    }
}

#[test]
fn a_chunk_size_without_end_breaks_off_an_answer() {
    for (start, bytes) in [("5;", "x"), ("5", " "), ("", "0"), ("5;", "a=b;")] {
        check_body(&[CHUNKED, Step::Raw(start), Step::Endless(bytes)], MAX_FRAMING);
    }
}

#[test]
fn trailers_without_end_break_off_an_answer() {
    for (start, bytes) in [("0\r\n", "a: b\r\n"), ("0\r\na: ", "x")] {
        check_body(&[CHUNKED, Step::Raw(start), Step::Endless(bytes)], MAX_FRAMING);
    }
}

#[test]
fn a_body_without_end_breaks_off_an_answer() {
    let chunk = "100\r\nxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
         xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
         xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\
         xxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxxx\r\n";
    assert_eq!(chunk.len(), 0x100 + 7);
    // Each chunk of 256 bytes has seven bytes of framing.
    check_whole(&[CHUNKED, Step::Endless(chunk)], MAX_ANSWER / 0x100 * (0x100 + 7) + MAX_FRAMING);
    check_whole(&[UNFRAMED, Step::Endless("x")], MAX_ANSWER + MAX_FRAMING);
    check_whole(&[HUGE, Step::Endless("x")], MAX_ANSWER + MAX_FRAMING);
}

#[test]
fn an_event_without_end_breaks_off_a_stream() {
    check_stream(
        &[UNFRAMED, Step::Raw("id: 1\ndata: "), Step::Endless("x")],
        MAX_EVENT + MAX_FRAMING,
    );
    check_stream(
        &[HUGE, Step::Raw("id: 1\n"), Step::Endless("data: x\n")],
        MAX_EVENT + MAX_FRAMING,
    );
}

/// The last bytes of an answer, and the bytes without end after it.
const EXTRA: [&str; 3] =
    ["x", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n"];

#[test]
fn bytes_without_end_after_an_answer_close_its_connection() {
    for extra in EXTRA {
        for line in [ONCE, AGAIN] {
            let what = format!("{line} {extra}");
            let setup = Setup::start(vec![Step::Answer("whole"), Step::Endless(extra)]);
            let reply = setup.send(line).unwrap();
            assert_eq!((reply.status, reply.body.as_str()), (200, "whole"), "{what}");
            setup.check_closed(MAX_FRAMING, &what);
            setup.check_next(&what);
        }
        for line in [STREAM, RESUME] {
            let what = format!("{line} {extra}");
            let events = Step::Events("id: 1\ndata: a\n\n");
            let setup =
                Setup::start(vec![Step::Stream, events, Step::EndStream, Step::Endless(extra)]);
            let reply = setup.send(line).unwrap();
            assert_eq!((reply.body.as_str(), reply.is_complete), ("id: 1\ndata: a\n\n", true));
            setup.check_closed(MAX_FRAMING, &what);
            setup.check_next(&what);
        }
    }
}

#[test]
fn bytes_without_end_are_not_taken_for_the_answer_to_the_next_request() {
    for extra in EXTRA {
        for (line, status, runs) in
            [(ONCE, 502, 0), (AGAIN, 200, 1), (STREAM, 502, 0), (RESUME, 200, 1)]
        {
            let what = format!("{line} {extra}");
            let setup = Setup::start(vec![Step::Answer("whole"), Step::Hold, Step::Endless(extra)]);
            assert_eq!(setup.send(AGAIN).unwrap().body, "whole");
            let reply = std::thread::scope(|scope| {
                let next = scope.spawn(|| setup.send(line));
                // The endpoint reads no further request. If this one were still unsent when it is released, the
                // connection would end first.
                std::thread::sleep(Duration::from_millis(200));
                setup.first.release_one();
                next.join().unwrap().unwrap()
            });
            assert_eq!((reply.status, setup.runs()), (status, (1, runs)), "{what}");
            setup.check_closed(MAX_FRAMING, &what);
            setup.check_next(&what);
        }
    }
}

/// The pause between the bytes of an endpoint that sends slowly.
const SLOW: Duration = Duration::from_millis(20);

#[test]
fn a_head_that_arrives_slowly_without_end_is_waited_for_until_the_timeout() {
    for (line, status, runs) in
        [(ONCE, 504, (1, 0)), (AGAIN, 200, (1, 1)), (STREAM, 504, (1, 0)), (RESUME, 200, (1, 1))]
    {
        let script = vec![Step::Raw("HTTP/1.1 200 OK\r\na: "), Step::Trickle("x", SLOW)];
        let setup = Setup::with_timeout(script, 1_000);
        let reply = setup.send(line).unwrap();
        assert_eq!((reply.status, setup.runs()), (status, runs), "{line}");
        setup.check_closed(MAX_FRAMING, line);
        setup.check_next(line);
    }
}

#[test]
fn a_body_that_arrives_slowly_without_end_is_cut_off_at_the_timeout() {
    for (line, status) in [(ONCE, Some(504)), (STREAM, None)] {
        let setup = Setup::with_timeout(
            vec![UNFRAMED, Step::Raw("data: "), Step::Trickle("x", SLOW)],
            1_000,
        );
        let reply = setup.send(line).filter(|reply| reply.is_complete);
        assert_eq!((reply.map(|reply| reply.status), setup.runs()), (status, (1, 0)), "{line}");
        setup.check_closed(MAX_EVENT, line);
        setup.check_next(line);
    }
}

#[test]
fn an_answer_that_states_too_great_a_length_breaks_off_at_once() {
    let script = [HUGE, Step::Trickle("x", SLOW)];
    check_whole(&script, MAX_FRAMING);
}

/// Guards against memory in proportion to the number of endpoints that send without end.
#[test]
fn many_long_answers_without_end_are_not_buffered_together() {
    const ANSWERS: usize = 12;
    let part = Box::leak("x".repeat(MAX_ANSWER / 2).into_boxed_str());
    let script = vec![UNFRAMED, Step::Raw(part), Step::AwaitClose];
    let endpoints: Vec<_> = (0..ANSWERS).map(|_| Endpoint::start(vec![script.clone()])).collect();
    let gateway = TestGateway::start(&endpoints.iter().collect::<Vec<_>>());
    gateway.reconfigure(2, |config| config.routes[0].timeout_ms = LONG_MS);
    let mut callers: Vec<_> = endpoints.iter().map(|_| gateway.caller()).collect();
    let deadline = LONG_MS.to_string();
    for caller in &mut callers {
        let headers = [
            ("trefoildyke-request-id", "r1"),
            ("trefoildyke-key", "k1"),
            ("trefoildyke-deadline-ms", deadline.as_str()),
        ];
        caller.send(ONCE, &headers, "");
    }
    let closed = || endpoints.iter().map(Endpoint::closed).sum::<usize>();
    let kept = MAX_BUFFERED / part.len();
    TestGateway::wait_until("answers are broken off", || closed() >= ANSWERS - kept);
}

/// Guards against taking each byte of an event that does not end for a sign of life.
#[test]
fn an_event_that_arrives_slowly_without_end_is_resumed_elsewhere() {
    let start = Step::Raw("id: 1\ndata: a\n\nid: 2\ndata: ");
    let setup = Setup::start(vec![UNFRAMED, start, Step::Trickle("x", SLOW)]);
    let reply = setup.send(RESUME).unwrap();
    assert_eq!(reply.body, "id: 1\ndata: a\n\nid: 9\ndata: z\n\n");
    assert_eq!((reply.is_complete, setup.runs()), (true, (1, 1)));
    setup.check_closed(MAX_EVENT, RESUME);
    setup.check_next(RESUME);
}

/// The longest time of a request to another service while answers without end arrive.
const OTHERS: Duration = Duration::from_secs(1);

/// Sends requests to another service while several endless answers arrive at a time.
fn check_others(script: &[Step]) {
    let endless = Endpoint::start(vec![script.to_vec()]);
    let other = Endpoint::start(vec![vec![Step::Answer("other")]]);
    let gateway = TestGateway::start(&[]);
    gateway.reconfigure(2, |config| {
        config.routes[4].targets[0].service = "other".into();
        config.services.push(Service { name: "other".into(), ..config.services[0].clone() });
    });
    let mut entries = crate::harness::entries(&[&endless, &other]);
    entries[1].service = "other".into();
    gateway.feed.set_endpoints(entries);
    std::thread::scope(|scope| {
        let senders: Vec<_> = [ONCE, AGAIN, STREAM, RESUME]
            .map(|line| {
                let gateway = &gateway;
                scope.spawn(move || drop(gateway.request(line)))
            })
            .into();
        while !senders.iter().all(std::thread::ScopedJoinHandle::is_finished) {
            let started = Instant::now();
            let reply = gateway.request("POST /open/").unwrap();
            assert_eq!((reply.status, reply.body.as_str()), (200, "other"), "{script:?}");
            assert!(started.elapsed() < OTHERS, "{script:?}: {:?}", started.elapsed());
        }
    });
    assert!(!endless.requests().is_empty());
}

#[test]
fn other_requests_are_served_while_answers_without_end_arrive() {
    check_others(&[Step::Endless("x")]);
    check_others(&[Step::Endless("HTTP/1.1 100 Continue\r\n\r\n")]);
    check_others(&[CHUNKED, Step::Raw("5"), Step::Endless(" ")]);
    check_others(&[CHUNKED, Step::Endless("4\r\nxxxx\r\n")]);
    check_others(&[UNFRAMED, Step::Endless("\n")]);
    check_others(&[HUGE, Step::Endless("x")]);
    check_others(&[UNFRAMED, Step::Trickle("x", SLOW)]);
    check_others(&[Step::Answer("whole"), Step::Endless("x")]);
}

/// Guards against a limit that counts what is read ahead of a slow caller.
#[test]
fn a_long_answer_that_ends_is_forwarded_whole() {
    let data = "x".repeat(1 << 10);
    let events: String = (0..6_000).map(|id| format!("id: {id}\ndata: {data}\n\n")).collect();
    let events: &str = Box::leak(events.into_boxed_str());
    for script in [
        vec![Step::Stream, Step::Events(events), Step::EndStream],
        vec![UNFRAMED, Step::Raw(events), Step::Close],
        vec![Step::Answer(events)],
    ] {
        for line in [ONCE, STREAM] {
            let setup = Setup::start(script.clone());
            let mut caller = setup.gateway.caller();
            caller.send(line, &[("trefoildyke-request-id", "r"), ("trefoildyke-key", "k1")], "");
            std::thread::sleep(Duration::from_millis(300));
            let reply = caller.read_reply().unwrap();
            assert!(reply.is_complete, "{line}: {} bytes", reply.body.len());
            assert_eq!(reply.body, events, "{line}");
        }
    }
}

/// Guards against a search of the whole event for its end with each of its parts.
#[test]
fn an_event_without_end_in_small_parts_breaks_off_a_stream() {
    // Each chunk of four bytes has five bytes of framing.
    let limit = MAX_EVENT / 4 * (4 + 5) + MAX_FRAMING;
    check_stream(&[CHUNKED, Step::Endless("4\r\nxxxx\r\n")], limit);
}

#[test]
fn events_without_end_and_without_a_new_id_break_off_a_stream() {
    for events in ["data: x\n\n", ": x\n\n", "\n", "\r\n\r\n", "id: 1\ndata: x\n\n", "id\n\n"] {
        check_stream(&[UNFRAMED, Step::Endless(events)], MAX_EVENT + MAX_FRAMING);
    }
}
