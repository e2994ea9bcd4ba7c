//! The cases.

use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::AtomicUsize;
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::client::{Answer, Connection, Request};
use crate::deployment::{self, Deployment, Gateway, Record, WorkerPlan};

const KEY: &str = "i9n73hh2b9wu3fexd9dn";

const ASSIST: WorkerPlan =
    WorkerPlan { service: "assist", version: "v1", slots: 7, framing: "chunked", conduct: "sound" };

const PORTAL: WorkerPlan =
    WorkerPlan { service: "portal", version: "v1", slots: 6, framing: "chunked", conduct: "sound" };

/// Plays a case; `TROUBLE=0` leaves its disruption out.
pub fn play(case: &str, path: &Path) {
    let record = Record::new(path);
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    record.write(&format!("case {case}, disruption: {has_trouble}"));
    let (is_broken, verdict) = match case {
        "versions" => versions(&record, has_trouble),
        "release" => release(&record, has_trouble),
        "drill" => drill(&record, has_trouble),
        "tunnel" => tunnel(&record, has_trouble),
        "bodies" => bodies(&record, has_trouble),
        "both" => both(&record, has_trouble),
        _ => deployment::finish(&record, 2, "no such case"),
    };
    let verdict = format!("{}: {verdict}", if is_broken { "BROKEN" } else { "held" });
    deployment::finish(&record, i32::from(is_broken), &verdict)
}

/// Writes the operator's first configuration.
fn configure(deployment: &Deployment) {
    configure_with(deployment, 7, false, &[KEY]);
}

/// Writes a version of the operator's configuration, with or without the later route.
fn configure_with(deployment: &Deployment, version: u32, has_later: bool, keys: &[&str]) {
    let route = |name: &str,
                 path: &str,
                 kind: &str,
                 service: &str,
                 timeout_ms: u32,
                 attempts: u32,
                 resumable: bool| {
        let (target_ms, gap) =
            if kind == "stream" { (600, ",\"target_gap_ms\":400") } else { (300, "") };
        format!(
            "{{\"name\":\"{name}\",\"host\":\"ficu95.example\",\"path_prefix\":\"{path}\",\"kind\":\"{kind}\",\"timeout_ms\":{timeout_ms},\"target_latency_ms\":{target_ms},\"priority\":1,\"service\":\"{service}\",\"max_attempts\":{attempts},\"public\":false,\"resumable\":{resumable}{gap}}}"
        )
    };
    let mut routes = vec![
        route("letter", "/letter-stream/", "stream", "assist", 15_000, 2, true),
        route("help", "/help-stream/", "stream", "assist", 15_000, 1, false),
        route("status", "/status/", "non_idempotent", "portal", 8_000, 1, false),
        route("doc", "/doc/", "idempotent", "portal", 8_000, 2, false),
    ];
    if has_later {
        routes.push(route("later", "/later/", "idempotent", "portal", 8_000, 2, false));
    }
    let engine = "\"engine\":{\"slots\":7,\"kv_capacity_tokens\":187300,\"kv_token_bytes\":131072,\"link_mbps\":260000.0,\"moves\":true,\"backups\":true,\"stride\":4,\"most\":12,\"pin_ms\":4000.0,\"hold_ms\":2000.0,\"handle_ttl_s\":5.0,\"models\":[{\"name\":\"m\"}]}";
    let keys: Vec<_> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    let keys = keys.join(",");
    let config = format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"assist\",\"health_path\":\"/health\",\"max_conns\":490,\"protocol\":\"h1\",\"tls\":false,{engine}}},{{\"name\":\"portal\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}}],\"limits\":{{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}},\"tenants\":[{{\"name\":\"hule930\",\"api_keys\":[{keys}],\"priority\":1,\"unit\":\"token_stream\",\"uncached_tokens\":200,\"rate_per_s\":90004,\"burst\":90004}}]}}",
        routes.join(",")
    );
    deployment.store.put("op/config", &config);
}

fn stream_request(id: String, path: &'static str, task: &str, deadline_ms: u64) -> Request {
    let headers = vec![
        ("Model", "m".to_owned()),
        ("Token-Counts", "600,120".to_owned()),
        ("Prompt-Prefix", format!("5c1e07a2:60,{}:540", &id[..8])),
        ("X-Api-Key", KEY.to_owned()),
    ];
    let deadline = Duration::from_millis(deadline_ms);
    Request { id, method: "POST", path, headers, body: task.as_bytes().to_vec(), deadline }
}

fn plain_request(
    id: String,
    method: &'static str,
    path: &'static str,
    body: Vec<u8>,
    deadline_ms: u64,
) -> Request {
    let headers = vec![("X-Api-Key", KEY.to_owned())];
    Request { id, method, path, headers, body, deadline: Duration::from_millis(deadline_ms) }
}

/// An id of a client attempt, new in each run.
fn attempt_id(number: usize) -> String {
    let now =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    format!("{:08x}{:08x}", number as u32 ^ 0x9c41_d07b, now.subsec_nanos())
}

/// Sends one request on a connection of its own.
fn send(
    record: &Record,
    gateway: &Gateway,
    request: Request,
) -> (JoinHandle<(Request, Answer)>, Arc<AtomicUsize>) {
    let (record, address) = (record.clone(), gateway.front);
    let progress = Arc::new(AtomicUsize::new(0));
    let counted = Arc::clone(&progress);
    let handle = thread::spawn(move || {
        let answer = match Connection::open(address) {
            Some(mut connection) => connection.ask(&record, &request, &counted),
            None => Answer::default(),
        };
        (request, answer)
    });
    (handle, progress)
}

/// A stream that its client takes up again after its connection has broken.
struct Taken {
    events: Vec<Vec<String>>,
    is_whole: bool,
    tries: usize,
}

/// Asks for a stream of `count` events, and takes it up again at the next gateway while time is left.
fn follow_stream(record: &Record, fronts: &[SocketAddr], number: usize, count: usize) -> Taken {
    let end = Instant::now() + Duration::from_secs(15);
    let mut taken = Taken { events: Vec::new(), is_whole: false, tries: 0 };
    let mut first = None;
    while !taken.is_whole && taken.tries < 12 {
        let left = end.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(500) {
            break;
        }
        let task = format!("events={count} gap=100");
        let id = attempt_id(number * 100 + taken.tries);
        let mut request = stream_request(id, "/letter-stream/2f", &task, left.as_millis() as u64);
        if let (Some(first), Some(last)) = (&first, taken.events.last()) {
            request.headers.push(("Resumes", String::clone(first)));
            request.headers.push(("Last-Event-Id", last[3].clone()));
        }
        let front = fronts[(number + taken.tries) % fronts.len()];
        let answer = match Connection::open(front) {
            Some(mut connection) => connection.ask(record, &request, &Arc::default()),
            None => Answer::default(),
        };
        let events = answer.events();
        if !events.is_empty() {
            first.get_or_insert(request.id);
        }
        taken.events.extend(events);
        taken.is_whole = answer.status == 200 && answer.is_whole;
        taken.tries += 1;
        if !taken.is_whole {
            thread::sleep(Duration::from_millis(500));
        }
    }
    taken
}

/// Streams of a service whose workers have two versions, while all gateways are killed at once.
fn versions(record: &Record, has_trouble: bool) -> (bool, String) {
    let deployment = Deployment::start(record, 110);
    configure(&deployment);
    let plan = |version| WorkerPlan { version, ..ASSIST };
    let mut workers: VecDeque<_> =
        (0..3).map(|number| deployment.worker(number, plan("v1"))).collect();
    let mut gateways = [deployment.gateway(0), deployment.gateway(1)];
    deployment.await_ready(&[&gateways[0], &gateways[1]]);
    record.write("workers of a second version start beside the others");
    let _others: Vec<_> = (3..6).map(|number| deployment.worker(number, plan("v2"))).collect();
    thread::sleep(Duration::from_secs(2));
    record.write("the workers of the first version are replaced by others of the same version");
    for number in 6..9 {
        workers.push_back(deployment.worker(number, plan("v1")));
        thread::sleep(Duration::from_millis(1_500));
        if let Some(old) = workers.pop_front() {
            record.write(&format!("worker {} drains", old.id));
            old.drain();
        }
        thread::sleep(Duration::from_millis(1_200));
    }
    thread::sleep(Duration::from_secs(5));
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    let streams: Vec<_> = (0..14)
        .map(|number| {
            let (record, fronts) = (record.clone(), fronts.clone());
            thread::sleep(Duration::from_millis(20));
            thread::spawn(move || follow_stream(&record, &fronts, number, 60))
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    if has_trouble {
        record.write("all gateways are killed, and start again after 0.5 s");
        gateways.iter().for_each(|gateway| deployment::kill(gateway.process));
        thread::sleep(Duration::from_millis(500));
        gateways.iter_mut().for_each(|gateway| deployment.spawn(gateway));
    }
    let (mut mixed, mut whole) = (0, 0);
    for (number, stream) in streams.into_iter().enumerate() {
        let taken = stream.join().expect("a client");
        let versions: BTreeSet<_> = taken.events.iter().map(|event| event[0].clone()).collect();
        let runs: BTreeSet<_> = taken.events.iter().map(|event| event[1].clone()).collect();
        record.write(&format!("stream {number}: {} events in {} tries, versions {versions:?}, workers {runs:?}, whole={}", taken.events.len(), taken.tries, taken.is_whole));
        mixed += usize::from(versions.len() > 1);
        whole += usize::from(taken.is_whole);
    }
    let verdict = format!(
        "ORDER: {mixed} of 14 streams hold events of workers of two versions (more than 2 break the rule); {whole} are whole"
    );
    (mixed > 2, verdict)
}

/// The workers of a service are replaced by workers of another version.
fn release(record: &Record, has_trouble: bool) -> (bool, String) {
    let deployment = Deployment::start(record, 110);
    configure(&deployment);
    let plan = |version| WorkerPlan { version, ..PORTAL };
    let mut workers: VecDeque<_> =
        (0..4).map(|number| deployment.worker(number, plan("v1"))).collect();
    let _assist: Vec<_> = (10..12).map(|number| deployment.worker(number, ASSIST)).collect();
    let gateways = [deployment.gateway(0), deployment.gateway(1)];
    deployment.await_ready(&[&gateways[0], &gateways[1]]);
    if has_trouble {
        for number in 4..8 {
            // The new one starts first, the old one drains.
            workers.push_back(deployment.worker(number, plan("v2")));
            thread::sleep(Duration::from_millis(1_500));
            if let Some(old) = workers.pop_front() {
                record.write(&format!("worker {} drains", old.id));
                old.drain();
            }
            thread::sleep(Duration::from_millis(if number == 5 { 6_000 } else { 1_200 }));
        }
        thread::sleep(Duration::from_secs(6));
    }
    record.write("the operator adds a route");
    configure_with(&deployment, 9, true, &[KEY]);
    thread::sleep(Duration::from_secs(5));
    // The requests that were served and all, of the first routes and of the later one.
    let (mut first, mut later) = ((0, 0), (0, 0));
    for number in 0..60 {
        let front = gateways[number % 2].front;
        let is_later = number % 3 == 0;
        let request = match number % 3 {
            0 => plain_request(attempt_id(number), "GET", "/later/2f", Vec::new(), 1_500),
            1 => plain_request(attempt_id(number), "GET", "/doc/2f", Vec::new(), 1_500),
            _ => stream_request(attempt_id(number), "/help-stream/2f", "events=2 gap=50", 15_000),
        };
        let answer = match Connection::open(front) {
            Some(mut connection) => connection.ask(record, &request, &Arc::default()),
            None => Answer::default(),
        };
        let counts = if is_later { &mut later } else { &mut first };
        counts.0 += usize::from(answer.status == 200 && answer.is_whole && answer.is_sealed);
        counts.1 += 1;
        thread::sleep(Duration::from_millis(50));
    }
    let verdict = format!(
        "CONFIG: {} of {} requests on the later route are served, {} of {} on the first routes",
        later.0, later.1, first.0, first.1
    );
    let share = |counts: (usize, usize)| counts.0 as f64 / counts.1 as f64;
    (share(later) < share(first) / 4.0, verdict)
}

/// The second key of the client account, which is taken away.
const OLD_KEY: &str = "n2ctnfzs989anu6wsjnb";

/// A key is taken away; then the store comes back from an older copy, and one gateway starts again.
fn drill(record: &Record, has_trouble: bool) -> (bool, String) {
    const REVOKE: Duration = Duration::from_millis(5_000);
    let deployment = Deployment::start(record, 110);
    configure_with(&deployment, 7, false, &[KEY, OLD_KEY]);
    let _workers: Vec<_> = (0..4).map(|number| deployment.worker(number, PORTAL)).collect();
    let mut gateways = [deployment.gateway(0), deployment.gateway(1)];
    deployment.await_ready(&[&gateways[0], &gateways[1]]);
    record.write("the operator takes the second key away (version 9)");
    configure_with(&deployment, 9, false, &[KEY]);
    let revoked_at = Instant::now();
    let at = |ms: u64| {
        thread::sleep(
            (revoked_at + Duration::from_millis(ms)).saturating_duration_since(Instant::now()),
        )
    };
    let fronts = [gateways[0].front, gateways[1].front];
    // Requests with the key that was taken away, from 1 s on, to both gateways.
    let asked = thread::spawn({
        let record = record.clone();
        move || {
            let mut late = Vec::new();
            let mut number = 0;
            while revoked_at.elapsed() < Duration::from_millis(11_000) {
                thread::sleep(Duration::from_millis(100));
                for (gateway, front) in fronts.iter().enumerate() {
                    number += 1;
                    let mut request = plain_request(
                        attempt_id(number),
                        "POST",
                        "/status/2f",
                        b"work=20 ".to_vec(),
                        1_500,
                    );
                    request.headers = vec![("X-Api-Key", OLD_KEY.to_owned())];
                    let is_late = revoked_at.elapsed() > REVOKE;
                    let Some(mut connection) = Connection::open(*front) else { continue };
                    let answer = connection.ask(&record, &request, &Arc::default());
                    if is_late {
                        late.push((gateway, request.id, answer.status));
                    }
                }
            }
            late
        }
    });
    if has_trouble {
        at(4_800);
        record.write("the store is away for 0.5 s, and comes back from a copy that is 5.8 s old");
        let killed = thread::spawn({
            let process = gateways[1].process;
            move || {
                thread::sleep(Duration::from_millis(200));
                deployment::kill(process);
            }
        });
        deployment.store.drill(Duration::from_millis(500), Duration::from_millis(5_800));
        let _ = killed.join();
        record.write("the store is back; gateway 1, which was killed, starts again");
        at(5_500);
        deployment.spawn(&mut gateways[1]);
        at(7_300);
        record.write("the operator writes version 9 again, 2 s after the return of the store");
        configure_with(&deployment, 9, false, &[KEY]);
    }
    let late = asked.join().expect("the clients");
    thread::sleep(Duration::from_millis(300));
    let runs = record.lines_with(" runs ");
    let has_run = |id: &str| runs.iter().any(|line| line.contains(id));
    let run =
        |gateway: usize| late.iter().filter(|(at, id, _)| *at == gateway && has_run(id)).count();
    let verdict = format!(
        "CONFIG: {} and {} of {} requests with a key that was taken away over 5 s before ran, through gateways 0 and 1 (any breaks the rule)",
        run(0),
        run(1),
        late.len()
    );
    (run(0) + run(1) > 0, verdict)
}

/// Streams without framing that are forwarded through another gateway, which is killed.
fn tunnel(record: &Record, has_trouble: bool) -> (bool, String) {
    let deployment = Deployment::start(record, 110);
    configure(&deployment);
    let plan = WorkerPlan { framing: "unframed", ..ASSIST };
    let mut workers: Vec<_> = (0..4).map(|number| deployment.worker(number, plan)).collect();
    // Connections between loopback addresses come from 127.0.0.1, and daemons check where a member's
    // connection comes from. So the gateway that connects to the other one has that address.
    let gateways = [deployment.gateway_at(0, "127.0.0.1"), deployment.gateway(1)];
    deployment.await_ready(&[&gateways[0], &gateways[1]]);
    if has_trouble {
        record.write("gateway 0 is cut off from all workers: its new connections are refused");
        workers.iter_mut().for_each(|worker| worker.command("close"));
        thread::sleep(Duration::from_millis(50));
        // The gateway finds that it reaches no worker. It looks again every 0.5 s if it has a request then.
        for (number, pause_ms) in [(90, 800), (91, 150)] {
            let id = attempt_id(number);
            let request = stream_request(id, "/help-stream/2f", "events=5 gap=20", 100);
            let _ = send(record, &gateways[0], request);
            thread::sleep(Duration::from_millis(pause_ms));
        }
        workers.iter_mut().for_each(|worker| worker.command("open"));
        thread::sleep(Duration::from_millis(100));
        record.write("the workers take connections again");
    }
    let streams: Vec<_> = (0..12)
        .map(|number| {
            let request =
                stream_request(attempt_id(number), "/help-stream/2f", "events=40 gap=100", 15_000);
            send(record, &gateways[0], request).0
        })
        .collect();
    thread::sleep(Duration::from_millis(1_500));
    if has_trouble {
        record.write("gateway 1 is killed");
        deployment::kill(gateways[1].process);
    }
    let (mut early, mut whole) = (0, 0);
    for stream in streams {
        let (request, answer) = stream.join().expect("a client");
        let count = answer.events().len();
        record.write(&format!(
            "stream {}: {count} of 40 events, whole={}",
            request.id, answer.is_whole
        ));
        early += usize::from(answer.status == 200 && answer.is_whole && count < 40);
        whole += usize::from(answer.is_whole && count == 40);
    }
    deployment.record_logs(&["unnel", "\"links\"", "isolated", "send_failed", "\"sent\""]);
    let verdict = format!(
        "ORDER, MIXED: {early} of 12 streams end as complete before their last piece; {whole} are whole"
    );
    (early > 0, verdict)
}

/// The memory that a process holds for itself, in kB.
fn memory_kb(pid: u32) -> u32 {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("RssAnon:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}

/// Many users come at once with bodies of the largest length that is allowed.
fn bodies(record: &Record, has_trouble: bool) -> (bool, String) {
    const MEMORY_MB: u32 = 110;
    const LARGE: usize = 40;
    let deployment = Deployment::start(record, MEMORY_MB);
    configure(&deployment);
    let _workers: Vec<_> = (0..4).map(|number| deployment.worker(number, PORTAL)).collect();
    let gateways = [deployment.gateway(0), deployment.gateway(1)];
    deployment.await_ready(&[&gateways[0], &gateways[1]]);
    let (pid, front) = (deployment::pid(gateways[0].process), gateways[0].front);
    // Small requests, one after the other on kept connections.
    let small: Vec<_> = (0..20)
        .map(|client| {
            let record = record.clone();
            thread::spawn(move || {
                let Some(mut connection) = Connection::open(front) else { return Vec::new() };
                let end = Instant::now() + Duration::from_secs(4);
                let mut answers = Vec::new();
                while Instant::now() < end {
                    let id = attempt_id(1_000 + client * 1_000 + answers.len());
                    let request =
                        plain_request(id, "POST", "/status/2f", b"work=300 ".to_vec(), 8_000);
                    let answer = connection.ask(&record, &request, &Arc::default());
                    let is_lost = answer.status == 0;
                    answers.push((request.id, answer));
                    if is_lost {
                        break;
                    }
                }
                answers
            })
        })
        .collect();
    thread::sleep(Duration::from_secs(1));
    let large = thread::spawn({
        let record = record.clone();
        move || {
            let ask = move |number: usize| {
                let mut body = b"work=60 ".to_vec();
                body.resize(4_194_304, b'x');
                let request = plain_request(attempt_id(number), "POST", "/status/2f", body, 8_000);
                let Some(mut connection) = Connection::open(front) else { return Vec::new() };
                let answer = connection.ask(&record, &request, &Arc::default());
                vec![(request.id, answer)]
            };
            if !has_trouble {
                return (0..LARGE).flat_map(ask).collect::<Vec<_>>();
            }
            let asks = (0..LARGE).map(|number| {
                let ask = ask.clone();
                thread::spawn(move || ask(number))
            });
            let asks: Vec<_> = asks.collect();
            asks.into_iter().flat_map(|ask| ask.join().expect("a client")).collect()
        }
    });
    // The platform kills a process that exceeds its memory.
    let (mut most, mut is_killed) = (0, false);
    while !small.iter().all(JoinHandle::is_finished) || !large.is_finished() {
        let kb = memory_kb(pid);
        most = most.max(kb);
        if kb > MEMORY_MB * 1_024 && !is_killed {
            record.write(&format!(
                "gateway 0 holds {kb} kB, over {MEMORY_MB} MiB: the platform kills it"
            ));
            deployment::kill(gateways[0].process);
            is_killed = true;
        }
        thread::sleep(Duration::from_millis(2));
    }
    let small: Vec<_> = small.into_iter().map(|small| small.join().expect("a client")).collect();
    let large = large.join().expect("the clients");
    thread::sleep(Duration::from_millis(500));
    let runs = record.lines_with(" runs ");
    let has_run = |id: &str| runs.iter().any(|line| line.contains(id));
    let is_lost = |answer: &Answer| answer.status == 0 && !answer.gave_up;
    // The requests on connections on which an answer has come before.
    let kept = || small.iter().flat_map(|answers| answers.iter().skip(1));
    let lost = kept().filter(|(_, answer)| is_lost(answer)).count();
    let lost_runs = kept().filter(|(id, answer)| is_lost(answer) && has_run(id)).count();
    let lost_large = large.iter().filter(|(_, answer)| is_lost(answer)).count();
    let allowed = MEMORY_MB * 1_024;
    let verdict = format!(
        "LOST: the gateway held {most} kB at most of its own, {allowed} kB are allowed, killed: {is_killed}; {lost} requests on kept connections got no answer, {lost_runs} of them ran at a sound worker (more than 3 break the rule); {lost_large} of {LARGE} large requests got none either"
    );
    (lost_runs > 3, verdict)
}

/// Answers that state a length beside their chunks.
fn both(record: &Record, has_trouble: bool) -> (bool, String) {
    let deployment = Deployment::start(record, 110);
    configure(&deployment);
    let plan = WorkerPlan { conduct: if has_trouble { "both" } else { "sound" }, ..PORTAL };
    let _workers: Vec<_> = (0..2)
        .map(|number| deployment.worker(number, if number == 0 { plan } else { PORTAL }))
        .collect();
    let gateways = [deployment.gateway(0), deployment.gateway(1)];
    deployment.await_ready(&[&gateways[0], &gateways[1]]);
    let clients: Vec<_> = (0..6)
        .map(|client| {
            let (record, address) = (record.clone(), gateways[client % 2].front);
            thread::spawn(move || {
                let expected: Vec<u8> = (0..800).map(|place| b'a' + (place % 26) as u8).collect();
                let mut connection = Connection::open(address);
                let (mut mixed, mut served) = (0, 0);
                for number in 0..100 {
                    let id = attempt_id(client * 1_000 + number);
                    let request = plain_request(id, "GET", "/doc/2f", Vec::new(), 1_500);
                    let Some(open) = &mut connection else {
                        connection = Connection::open(address);
                        continue;
                    };
                    let answer = open.ask(&record, &request, &Arc::default());
                    let is_right = answer.body == expected && answer.beyond.is_empty();
                    let is_success = answer.status == 200 && answer.is_whole;
                    if is_success && !is_right {
                        record.write(&format!("client {}: a success with {} bytes of the worker's 800, then {} bytes that belong to no answer", request.id, answer.body.len(), answer.beyond.len()));
                        mixed += 1;
                    }
                    served += usize::from(is_success && is_right);
                    if !is_success || !is_right {
                        connection = None;
                    }
                }
                (mixed, served)
            })
        })
        .collect();
    let (mut mixed, mut served) = (0, 0);
    for client in clients {
        let (wrong, right) = client.join().expect("a client");
        mixed += wrong;
        served += right;
    }
    let verdict = format!(
        "MIXED: {mixed} of 600 requests got a success that is not the worker's whole body; {served} were served"
    );
    (mixed > 0, verdict)
}
