//! Pools during and after short disturbances.

use std::{collections::BTreeMap, ops::Range};

use trefoildyke_decide::gateway::{
    Admission, Firsts, Grant, Learned, Outcome, Pool, PoolRequest, QueueDecision, Ticket,
};
use trefoildyke_types::id::EndpointName;

use super::support::{self, at, granted, peer, pool, report, request};

const ENDPOINTS: [&str; 6] = ["one", "two", "three", "four", "five", "six"];

/// The interval between two requests, in milliseconds: two thirds of what the endpoints can serve.
const REQUEST_INTERVAL: u64 = 50;

/// The number of events of an answer after the first one.
const EVENTS: u64 = 20;

/// The time between two events, in milliseconds.
const EVENT_MS: u64 = 15;

/// The disturbance, in milliseconds.
const DISTURBANCE: Range<u64> = 5_000..8_000;

/// The time after the disturbance for which requests may still be refused, in milliseconds.
const RECOVERY_MS: u64 = 2_000;

const END_MS: u64 = 20_000;

/// How often a peer reports its load, in milliseconds.
const REPORT_INTERVAL: u64 = 500;

/// When the last request of a peer is granted, in milliseconds. Its last report is lost.
const PEER_END: u64 = 6_000;

/// A request at an endpoint.
struct Running {
    grant: Grant,
    /// Whether it is a request of a peer, which alone receives the answer.
    is_peers: bool,
    leaves_at: u64,
    /// The times at which the events arrive, the last one first.
    events: Vec<u64>,
    /// When the last event arrived; `None` before the first one.
    last_event: Option<u64>,
}

/// Endpoints that serve requests, whose answers arrive at the times that `arrival` returns.
struct Simulation {
    pool: Pool,
    arrival: fn(u64) -> u64,
    waiting: BTreeMap<Ticket, PoolRequest>,
    running: Vec<Running>,
    idle_since: BTreeMap<EndpointName, u64>,
    /// Whether half of the requests until [`PEER_END`] are those of a peer, whose reports are lost in the
    /// disturbance.
    has_peer: bool,
    /// The number of slots that were granted to the peer, and of its reports.
    placed: u64,
    reports: u64,
    /// The times at which answers ended.
    served: Vec<u64>,
    /// The times at which requests were refused, with the longest time for which an endpoint was idle then.
    refused: Vec<(u64, u64)>,
}

impl Simulation {
    fn run(arrival: fn(u64) -> u64, has_peer: bool) -> Self {
        let mut simulation = Self {
            has_peer,
            placed: 0,
            reports: 0,
            pool: pool(&ENDPOINTS),
            arrival,
            waiting: BTreeMap::new(),
            running: Vec::new(),
            idle_since: ENDPOINTS.iter().map(|name| ((*name).into(), 0)).collect(),
            served: Vec::new(),
            refused: Vec::new(),
        };
        for now in (0..END_MS).step_by(5) {
            let has_ended = simulation.deliver(now);
            simulation.pool.expire_peers(at(now));
            if now % REQUEST_INTERVAL == 0 {
                simulation.submit(now);
            }
            simulation.settle(now);
            let is_due =
                now % REPORT_INTERVAL == 0 && simulation.running.iter().any(|it| it.is_peers);
            if (has_ended || is_due) && !DISTURBANCE.contains(&now) {
                simulation.report(now);
            }
        }
        simulation
    }

    fn submit(&mut self, now: u64) {
        let prompt = [300, 1_500, 4_000][(now / REQUEST_INTERVAL % 3) as usize];
        let request = PoolRequest { prompt, ..request(now, 0) };
        match self.pool.submit(at(now), request.clone()) {
            Admission::Granted(grant) => self.start(now, grant, &request),
            Admission::Queued(ticket) => drop(self.waiting.insert(ticket, request)),
            Admission::Refused(_) => self.refuse(now),
        }
    }

    fn settle(&mut self, now: u64) {
        for (ticket, decision) in self.pool.settle(at(now)) {
            let request = self.waiting.remove(&ticket).unwrap();
            match decision {
                QueueDecision::Granted(grant) => self.start(now, grant, &request),
                QueueDecision::Refused(_) => self.refuse(now),
            }
        }
        let is_expired = |(_, request): &(&Ticket, &PoolRequest)| request.leaves_at <= at(now);
        let expired: Vec<_> = self.waiting.iter().filter(is_expired).map(|(it, _)| *it).collect();
        for ticket in expired {
            self.waiting.remove(&ticket);
            self.pool.cancel(at(now), ticket);
            self.refuse(now);
        }
    }

    fn start(&mut self, now: u64, grant: Grant, request: &PoolRequest) {
        let first = now + 60 + u64::from(grant.prompt) / 40;
        let events = (0..=EVENTS).rev().map(|event| (self.arrival)(first + event * EVENT_MS));
        self.idle_since.remove(&grant.endpoint);
        let is_peers = self.has_peer && now < PEER_END && now / REQUEST_INTERVAL % 2 == 1;
        if is_peers {
            self.placed += 1;
            self.pool.reserve(at(now), &grant, peer(2), self.placed);
        }
        self.running.push(Running {
            is_peers,
            leaves_at: request.leaves_at.as_micros() / 1_000,
            events: events.collect(),
            last_event: None,
            grant,
        });
    }

    /// Reports the load of the peer.
    fn report(&mut self, now: u64) {
        let mut loads = BTreeMap::<&str, u16>::new();
        for running in self.running.iter().filter(|running| running.is_peers) {
            *loads.entry(running.grant.endpoint.as_str()).or_default() += 1;
        }
        let loads: Vec<_> = loads.into_iter().collect();
        self.reports += 1;
        self.pool.apply_report(at(now), peer(2), &report(self.reports, &loads, self.placed));
    }

    fn refuse(&mut self, now: u64) {
        let longest = self.idle_since.values().map(|since| now - since).max();
        self.refused.push((now, longest.unwrap_or(0)));
    }

    /// Delivers the events that are due; returns whether a request of the peer has ended.
    fn deliver(&mut self, now: u64) -> bool {
        let mut has_ended = false;
        for mut running in std::mem::take(&mut self.running) {
            self.deliver_events(now, &mut running);
            let has_left = running.last_event.is_none() && running.leaves_at <= now;
            if !running.events.is_empty() && !has_left {
                self.running.push(running);
                continue;
            }
            let grant = &running.grant;
            if !has_left {
                self.served.push(now);
            }
            if running.is_peers {
                has_ended = true;
            } else if has_left {
                self.pool.end_request(at(now), grant, grant.prompt, Outcome::Cancelled);
            } else {
                self.pool.end_request(at(now), grant, 0, Outcome::Served);
            }
            if !self.running.iter().any(|other| other.grant.endpoint == grant.endpoint) {
                self.idle_since.insert(grant.endpoint.clone(), now);
            }
        }
        has_ended
    }

    fn deliver_events(&mut self, now: u64, running: &mut Running) {
        let grant = &running.grant;
        while running.events.pop_if(|due| *due <= now).is_some() {
            let last = running.last_event.replace(now);
            if running.is_peers {
                continue;
            }
            match last {
                None => self.pool.record_first_event(at(now), grant, grant.prompt),
                Some(last) => {
                    self.pool.record_event(at(now), grant, (now - last) as f64 / 1_000.0);
                }
            }
        }
    }

    fn served_in(&self, times: Range<u64>) -> usize {
        self.served.iter().filter(|time| times.contains(time)).count()
    }

    /// Checks that requests are served as before the disturbance once the recovery time is over.
    fn check(&self) {
        let recovered = DISTURBANCE.end + RECOVERY_MS;
        let refused: Vec<_> =
            self.refused.iter().filter(|(time, idle)| *time >= recovered && *idle > 0).collect();
        assert!(
            refused.is_empty(),
            "{} refused beside an idle endpoint: {refused:?}",
            refused.len()
        );
        let span = DISTURBANCE.end - DISTURBANCE.start;
        let before = self.served_in(1_000..1_000 + span);
        let after = self.served_in(recovered..recovered + span);
        assert!(after * 100 >= before * 95, "{after} served in three seconds, {before} before");
    }
}

/// Guards against endpoints that stay unused for good after every event was late by retransmissions.
#[test]
fn endpoints_are_used_again_after_their_events_were_retransmitted() {
    let retransmit =
        |time: u64| if DISTURBANCE.contains(&time) { time + 1_000 + time % 7 * 200 } else { time };
    Simulation::run(retransmit, false).check();
}

/// Guards against endpoints that stay unused for good after their events arrived in a few bursts.
#[test]
fn endpoints_are_used_again_after_their_events_arrived_in_bursts() {
    let hold = |time: u64| {
        if DISTURBANCE.contains(&time) { time.next_multiple_of(900) } else { time }
    };
    Simulation::run(hold, false).check();
}

/// Guards against load that stays counted for good after the messages between the daemons were lost.
#[test]
fn endpoints_are_used_again_after_the_reports_of_a_peer_were_lost() {
    Simulation::run(|time| time, true).check();
}

/// Reports first events that took a minute each, as often as the estimates of an endpoint are averaged over.
fn report_late_first_events(pool: &mut Pool, name: &str) {
    let (count, prompt, steps) = (60_u8, 0.3, 60_000.0 / 4.0);
    let sum = f32::from(count);
    let firsts = Firsts {
        count: count.into(),
        x: sum * prompt,
        y: sum * steps,
        xx: sum * prompt * prompt,
        xy: sum * prompt * steps,
    };
    let mut load_report = report(1, &[(name, 0)], 0);
    load_report.endpoints[0].learned = Some(Learned { firsts: Some(firsts), ..Learned::default() });
    pool.apply_report(at(0), peer(2), &load_report);
}

/// Guards against estimates that exclude an endpoint for good, whatever spoilt them.
#[test]
fn an_idle_endpoint_is_probed_until_its_estimates_are_right_again() {
    let mut pool = pool(&["one"]);
    report_late_first_events(&mut pool, "one");
    let mut granted_at = Vec::new();
    for now in (0..10_000).step_by(100) {
        let mut grants: Vec<_> = match pool.submit(at(now), request(now, 0)) {
            Admission::Granted(grant) => vec![grant],
            Admission::Queued(_) | Admission::Refused(_) => vec![],
        };
        grants.extend(support::grants(&mut pool, now).into_iter().map(|(_, grant)| grant));
        for grant in grants {
            granted_at.push(now);
            pool.record_first_event(at(now + 68), &grant, grant.prompt);
            pool.end_request(at(now + 90), &grant, 0, Outcome::Served);
        }
    }
    assert!(granted_at[0] <= 1_100, "{granted_at:?}");
    let in_last_second = granted_at.iter().filter(|time| **time >= 9_000).count();
    assert_eq!(in_last_second, 10, "{granted_at:?}");
    assert!(pool.take_probes().len() <= 8, "{granted_at:?}");
}

#[test]
fn idle_endpoints_count_as_passed_over_while_requests_wait() {
    let mut pool = pool(&["one", "two"]);
    report_late_first_events(&mut pool, "one");
    pool.apply_report(at(0), peer(3), &report(1, &[("two", 2)], 0));
    assert_eq!(pool.passed_over(at(1_100)), 0);
    support::queued(pool.submit(at(900), request(900, 0)));
    assert_eq!(pool.passed_over(at(900)), 0);
    assert_eq!(pool.passed_over(at(1_100)), 1);
}

/// An endpoint that really is that slow must not take a request a second from callers who can be served.
#[test]
fn an_excluded_endpoint_is_not_probed_while_others_have_slots() {
    let mut pool = pool(&["one", "two"]);
    report_late_first_events(&mut pool, "one");
    for now in (0..10_000).step_by(100) {
        let grant = granted(pool.submit(at(now), request(now, 0)));
        assert_eq!(grant.endpoint.as_str(), "two");
        pool.record_first_event(at(now + 68), &grant, grant.prompt);
        pool.end_request(at(now + 90), &grant, 0, Outcome::Served);
    }
    assert!(pool.take_probes().is_empty());
}

/// Only one request at a time is risked at an endpoint that may really be that slow.
#[test]
fn a_probed_endpoint_gets_no_second_request_before_it_has_been_idle_again() {
    let mut pool = pool(&["one"]);
    report_late_first_events(&mut pool, "one");
    let first = granted(pool.submit(at(2_000), request(2_000, 0)));
    pool.submit(at(2_010), request(2_010, 0));
    assert!(support::grants(&mut pool, 2_600).is_empty());
    pool.end_request(at(2_700), &first, first.prompt, Outcome::Cancelled);
    pool.submit(at(2_710), request(2_710, 0));
    assert!(support::grants(&mut pool, 3_300).is_empty());
}

/// Ends all requests at "one" with `outcome` for two seconds, and serves them afterwards, while "two" is busy
/// with requests of a peer. Returns the time of the first request at "one" after five seconds, in milliseconds.
fn served_again_at(outcome: Outcome) -> Option<u64> {
    let mut pool = pool(&["one", "two"]);
    for now in (0..10_000).step_by(100) {
        pool.apply_report(at(now), peer(2), &report(now + 1, &[("two", 2)], 0));
        let mut grants: Vec<_> = match pool.submit(at(now), request(now, 0)) {
            Admission::Granted(grant) => vec![grant],
            Admission::Queued(_) | Admission::Refused(_) => vec![],
        };
        grants.extend(support::grants(&mut pool, now).into_iter().map(|(_, grant)| grant));
        for grant in grants {
            if now < 2_000 {
                pool.end_request(at(now + 20), &grant, grant.prompt, outcome);
            } else if now >= 5_000 {
                return Some(now);
            } else {
                pool.record_first_event(at(now + 68), &grant, grant.prompt);
                pool.end_request(at(now + 90), &grant, 0, Outcome::Served);
            }
        }
    }
    None
}

/// Guards against endpoints that get no request any more since requests failed there or were not taken, and
/// none of those that come may be repeated.
#[test]
fn an_endpoint_is_used_again_after_failures_by_requests_that_may_not_be_repeated() {
    for outcome in [Outcome::Failed, Outcome::Lost, Outcome::Rejected, Outcome::Unreachable] {
        let time = served_again_at(outcome);
        assert!(time.is_some_and(|time| time <= 6_000), "{outcome:?}: {time:?}");
    }
}
