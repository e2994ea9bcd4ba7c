//! Guards against prompts with one part that crashes every engine, in requests of which no two are alike.

use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::time::{Duration, Instant};
use std::{sync, thread};

use trefoildyke_decide::gateway::{Mesh, Peer, RosterEntry, Strength};
use trefoildyke_types::time::Timestamp;

use crate::harness::{Engine, Reply, TestGateway};

/// The time after the fifth crash from which all gateways must know the part.
const DETECTION_TIME: Duration = Duration::from_secs(3);

/// How many requests with the part may reach engines after that.
const MAX_LATE: usize = 3;

/// How long an engine that crashed is missing.
const RESTART_TIME: Duration = Duration::from_millis(600);

/// The part that crashes engines, and one that nearly all prompts begin with.
const HARMFUL: &str = "bad0";
const COMMON: &str = "c0";

/// Gateways of one mesh, and engines that start again under other names.
struct Fleet {
    gateways: Vec<TestGateway>,
    engines: sync::Mutex<Vec<NamedEngine>>,
    /// The engines that crashed and were replaced.
    former: sync::Mutex<Vec<Engine>>,
    started: AtomicUsize,
    requests: AtomicUsize,
}

struct NamedEngine {
    name: String,
    engine: Engine,
    crashed_at: Option<Instant>,
}

/// The result of one request.
struct Answer {
    at: Instant,
    reply: Option<Reply>,
}

impl Answer {
    fn is_whole(&self) -> bool {
        self.reply.as_ref().is_some_and(|reply| reply.status == 200 && reply.is_complete)
    }
}

impl Fleet {
    fn start(gateways: usize, engines: usize) -> Self {
        let gateways: Vec<_> = (0..gateways).map(|_| TestGateway::start(&[])).collect();
        let peer = |gateway: &TestGateway| Peer {
            address: gateway.addresses.peers,
            strength: Strength::UNKNOWN,
        };
        let members: Vec<_> = gateways.iter().map(peer).collect();
        for gateway in &gateways {
            gateway.feed.set_members(&members);
        }
        let fleet = Self {
            gateways,
            engines: sync::Mutex::default(),
            former: sync::Mutex::default(),
            started: AtomicUsize::new(0),
            requests: AtomicUsize::new(0),
        };
        let engines = (0..engines).map(|_| fleet.start_engine()).collect();
        *fleet.engines.lock().unwrap() = engines;
        fleet.list();
        fleet
    }

    fn start_engine(&self) -> NamedEngine {
        let name = format!("e{}", self.started.fetch_add(1, Ordering::Relaxed));
        NamedEngine { name, engine: Engine::start(HARMFUL), crashed_at: None }
    }

    fn list(&self) {
        let engines = self.engines.lock().unwrap();
        let entry = |named: &NamedEngine| RosterEntry {
            endpoint: named.name.as_str().into(),
            start: 0,
            service: "svc".into(),
            version: "v1".into(),
            address: named.engine.address,
            zone: "a".into(),
            slots: 4,
            draining: false,
        };
        let entries: Vec<_> = engines.iter().map(entry).collect();
        drop(engines);
        for gateway in &self.gateways {
            gateway.feed.set_endpoints(entries.clone());
        }
    }

    /// Ends all gateways but one that is no hub. It still counts the others as members.
    fn lose_hubs(&mut self) {
        let addresses: Vec<_> =
            self.gateways.iter().map(|gateway| gateway.addresses.peers).collect();
        let peer = |address: &std::net::SocketAddr| Peer {
            address: *address,
            strength: Strength::UNKNOWN,
        };
        let members: Vec<_> = addresses.iter().map(peer).collect();
        let mut mesh = Mesh::new(addresses[0], DETECTION_TIME);
        mesh.replace(Timestamp::ZERO, &members);
        self.gateways.retain(|gateway| !mesh.hubs().contains(&gateway.addresses.peers));
        assert_eq!(self.gateways.len(), 1);
    }

    /// Replaces the engines that crashed long enough ago.
    fn restart_engines(&self) {
        let mut engines = self.engines.lock().unwrap();
        let mut is_changed = false;
        for named in engines.iter_mut() {
            if !named.engine.has_crashed() {
                continue;
            }
            let crashed_at = *named.crashed_at.get_or_insert_with(Instant::now);
            if crashed_at.elapsed() >= RESTART_TIME {
                let former = std::mem::replace(named, self.start_engine());
                self.former.lock().unwrap().push(former.engine);
                is_changed = true;
            }
        }
        drop(engines);
        if is_changed {
            self.list();
        }
    }

    /// Sends a request that no other one equals, with `part` between two others.
    fn ask(&self, gateway: usize, part: &str) -> Answer {
        let number = self.requests.fetch_add(1, Ordering::Relaxed);
        let parts = format!("{COMMON}:10,{part}:20,{number:x}:5");
        let headers = [("trefoildyke-prompt-parts", parts.as_str())];
        let at = Instant::now();
        let line = format!("POST /stream/{number}");
        let reply = self.gateways[gateway].request_with(&line, &headers);
        Answer { at, reply }
    }

    /// Sends sound requests through one gateway until `stop`.
    fn ask_soundly(&self, gateway: usize, stop: &AtomicBool) -> Vec<Answer> {
        let mut answers = Vec::new();
        while !stop.load(Ordering::Relaxed) {
            answers.push(self.ask(gateway, &format!("d{}", answers.len() % 5)));
        }
        answers
    }

    /// Returns when requests with the harmful part arrived at engines, in order.
    fn harmful_arrivals(&self) -> Vec<Instant> {
        let former = self.former.lock().unwrap();
        let engines = self.engines.lock().unwrap();
        let all = engines.iter().map(|named| &named.engine).chain(former.iter());
        let mut arrivals: Vec<_> = all.flat_map(Engine::harmful_arrivals).collect();
        arrivals.sort_unstable();
        arrivals
    }

    fn crash_count(&self) -> usize {
        let engines = self.engines.lock().unwrap();
        let crashed = engines.iter().filter(|named| named.engine.has_crashed()).count();
        crashed + self.former.lock().unwrap().len()
    }

    /// Runs `disturb`, which gets the time since its start, every 150 ms until it returns false, beside sound
    /// requests at all gateways; returns the answers to these.
    fn run(&self, mut disturb: impl FnMut(Duration) -> bool) -> Vec<Answer> {
        let stop = AtomicBool::new(false);
        thread::scope(|scope| {
            let ask = |gateway| {
                let stop = &stop;
                scope.spawn(move || self.ask_soundly(gateway, stop))
            };
            let callers: Vec<_> = (0..self.gateways.len()).map(ask).collect();
            let start = Instant::now();
            while disturb(start.elapsed()) {
                self.restart_engines();
                thread::sleep(Duration::from_millis(150));
            }
            stop.store(true, Ordering::Relaxed);
            callers.into_iter().flat_map(|caller| caller.join().unwrap()).collect()
        })
    }
}

fn served_share(answers: &[Answer], is_counted: impl Fn(Instant) -> bool) -> f64 {
    let counted: Vec<_> = answers.iter().filter(|answer| is_counted(answer.at)).collect();
    let whole = counted.iter().filter(|answer| answer.is_whole()).count();
    assert!(counted.len() >= 20, "only {} requests", counted.len());
    whole as f64 / counted.len() as f64
}

#[test]
fn requests_with_a_part_that_crashed_five_engines_reach_no_more_and_others_are_served() {
    let fleet = Fleet::start(4, 6);
    let mut fifth = None;
    let mut harmful = Vec::new();
    let answers = fleet.run(|since| {
        if since < Duration::from_secs(1) {
            return true;
        }
        harmful.push(fleet.ask(harmful.len() % 4, HARMFUL));
        if fleet.crash_count() >= 5 {
            fifth.get_or_insert_with(Instant::now);
        }
        // Fewer than five crashes are fine, too.
        let end = fifth.map_or(since > Duration::from_secs(12), |fifth: Instant| {
            fifth.elapsed() > 3 * DETECTION_TIME
        });
        !end
    });
    let known_at = fifth.map(|fifth| fifth + DETECTION_TIME);
    let arrivals = fleet.harmful_arrivals();
    let late = arrivals.iter().filter(|at| known_at.is_some_and(|known_at| **at > known_at));
    let late = late.count();
    assert!(late <= MAX_LATE, "{late} of {} requests reached engines late", arrivals.len());
    let last = harmful.last().unwrap().reply.as_ref().unwrap();
    assert_eq!(last.status, 503);
    assert!(last.header("retry-after").is_some(), "{last:?}");
    let begun = harmful[0].at;
    let before = served_share(&answers, |at| at < begun);
    let settled = known_at.unwrap_or(begun + DETECTION_TIME) + DETECTION_TIME;
    let after = served_share(&answers, |at| at >= settled);
    assert!(after >= 0.95 * before, "served {after} of the sound requests, {before} before");
}

#[test]
fn a_gateway_that_reaches_no_hub_refuses_requests_with_a_part_that_crashed_engines() {
    let mut fleet = Fleet::start(4, 6);
    fleet.lose_hubs();
    let mut fifth = None;
    let mut last = None;
    fleet.run(|since| {
        fleet.gateways[0].query_readers();
        if since > Duration::from_secs(1) {
            last = fleet.ask(0, HARMFUL).reply;
        }
        if fleet.crash_count() >= 5 {
            fifth.get_or_insert_with(Instant::now);
        }
        since < Duration::from_secs(10)
    });
    let known_at = fifth.map(|fifth: Instant| fifth + DETECTION_TIME);
    let arrivals = fleet.harmful_arrivals();
    let late = arrivals.iter().filter(|at| known_at.is_some_and(|known_at| **at > known_at));
    let late = late.count();
    assert!(late <= MAX_LATE, "{late} of {} requests reached engines late", arrivals.len());
    assert_eq!(last.map(|reply| reply.status), Some(503));
}

/// Crashes for other reasons interrupt requests that have nearly all of their parts in common with others.
#[test]
fn requests_that_share_a_part_are_served_after_engines_crashed_for_other_reasons() {
    let fleet = Fleet::start(4, 6);
    let mut killed = 0;
    let answers = fleet.run(|since| {
        let is_due = since > Duration::from_secs(1) + Duration::from_millis(300) * killed;
        if is_due && killed < 8 {
            let engines = fleet.engines.lock().unwrap();
            if let Some(named) = engines.iter().find(|named| !named.engine.has_crashed()) {
                named.engine.kill();
                killed += 1;
            }
        }
        since < Duration::from_secs(7)
    });
    assert_eq!(killed, 8);
    let last = answers.iter().map(|answer| answer.at).max().unwrap();
    let settled = last - Duration::from_secs(2);
    let after = served_share(&answers, |at| at >= settled);
    assert!(after >= 0.95, "served {after} of the requests");
    let replies = answers.iter().filter_map(|answer| answer.reply.as_ref());
    let quarantined = replies.filter(|reply| reply.body.contains("quarantined"));
    assert_eq!(quarantined.count(), 0);
}
