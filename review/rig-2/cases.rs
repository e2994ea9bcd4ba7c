//! The cases.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::path::Path;
use std::time::Duration;

use crate::deployment::{self, Answer, Gateway};
use crate::record::Record;
use crate::store::Store;
use crate::worker::{Settings, Worker};

pub enum Outcome {
    Held(String),
    Broken(String),
    NotPlayed(String),
}

pub fn play(case: &str, trouble: bool, directory: &Path, record: &Record) -> Outcome {
    match case {
        "same-id" => same_id(trouble, directory, record),
        "rolling" => rolling(trouble, directory, record),
        "late-entry" => late_entry(trouble, directory, record),
        "alike" => alike(trouble, directory, record),
        "no-tenants" => no_tenants(trouble, directory, record),
        "idle-limit" => idle_limit(trouble, directory, record),
        _ => Outcome::NotPlayed(format!("no case {case}")),
    }
}

fn ms(length: u64) -> Duration {
    Duration::from_millis(length)
}

fn pause(length: u64) {
    std::thread::sleep(ms(length));
}

/// The configuration of a service of engines and a plain one.
fn config(version: u64, tenants: &str) -> String {
    let limits = "\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":4194304,\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}";
    let route = |name: &str, path: &str, kind: &str, service: &str, rest: &str| {
        format!(
            "{{\"name\":\"{name}\",\"host\":\"app.example\",\"path_prefix\":\"{path}\",\"kind\":\"{kind}\",\"service\":\"{service}\",\"priority\":0,{rest}}}"
        )
    };
    let routes = [
        route(
            "draft",
            "/stream/",
            "stream",
            "assist",
            "\"timeout_ms\":15000,\"target_latency_ms\":500,\"max_attempts\":3,\"public\":false,\"sticky\":true,\"resumable\":true,\"target_gap_ms\":400",
        ),
        route(
            "status",
            "/status/",
            "non_idempotent",
            "portal",
            "\"timeout_ms\":1500,\"target_latency_ms\":300,\"max_attempts\":2,\"public\":false",
        ),
    ];
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"assist\",\"health_path\":\"/health\",\"max_conns\":490,\"protocol\":\"h1\",\"tls\":false,\"engine\":{{\"slots\":7,\"kv_capacity_tokens\":187300,\"stride\":4}}}},{{\"name\":\"portal\",\"health_path\":\"/health\",\"max_conns\":100,\"protocol\":\"h1\",\"tls\":false}}],{limits},\"tenants\":{tenants}}}",
        routes.join(",")
    )
}

const TENANTS: &str = "[{\"name\":\"county\",\"api_keys\":[\"key-of-county\"],\"priority\":1,\"unit\":\"token_stream\",\"uncached_tokens\":200,\"rate_per_s\":0,\"burst\":0}]";

/// Starts the gateways and waits until all of them are ready.
fn gateways(count: usize, directory: &Path, store: &Store) -> Option<Vec<Gateway>> {
    let mut all: Vec<_> = (1..=count)
        .map(|number| Gateway::prepare(&format!("front-{number}"), directory, store))
        .collect();
    all.iter_mut().for_each(Gateway::start);
    all.iter().all(Gateway::wait_ready).then_some(all)
}

fn worker(id: &str, service: &str, version: &str) -> Settings {
    Settings {
        id: id.to_owned(),
        service: service.to_owned(),
        version: version.to_owned(),
        slots: if service == "assist" { 7 } else { 6 },
        events: 36,
        gap: ms(250),
        work: ms(60),
    }
}

/// Sends a stream in a thread of its own.
fn stream(
    to: SocketAddr,
    id: String,
    record: &Record,
) -> std::thread::JoinHandle<(String, Answer)> {
    let record = record.clone();
    std::thread::spawn(move || {
        record.write(format!("client sends {id} to {to}"));
        let parts = format!("5c1e07a2:60,{id}:540");
        let fields = [
            ("Attempt-Id", id.as_str()),
            ("X-Api-Key", "key-of-county"),
            ("Deadline-Ms", "15000"),
            ("Model", "m"),
            ("Token-Counts", "600,144"),
            ("Prompt-Prefix", parts.as_str()),
        ];
        let answer = deployment::request(to, "POST", &format!("/stream/{id}"), &fields, ms(16_000));
        (id, answer)
    })
}

/// Workers crash and start again under their ids with a newer version of their software.
fn same_id(trouble: bool, directory: &Path, record: &Record) -> Outcome {
    let store = Store::start();
    store.put("op/config", &config(7, TENANTS));
    let mut workers: Vec<_> = (1..=8)
        .map(|number| {
            Worker::start(
                worker(&format!("i-{number}"), "assist", "v1"),
                deployment::free_address(),
                &store,
                record,
            )
        })
        .collect();
    let Some(gateways) = gateways(3, directory, &store) else {
        return Outcome::NotPlayed("the gateways are not ready".into());
    };
    // In their first ten seconds, gateways have no share of the fixed part of the retry budget.
    pause(11_000);
    // Two of eight start again while nothing runs; they are back with a newer version.
    let restart = |workers: &mut Vec<Worker>, down: u64| {
        workers[..2].iter().for_each(|it| it.crash(record));
        pause(down);
        for place in 0..2 {
            let (id, address) = (format!("i-{}", place + 1), workers[place].address);
            workers[place] = Worker::start(worker(&id, "assist", "v2"), address, &store, record);
        }
    };
    if trouble {
        restart(&mut workers, 300);
    }
    let streams: Vec<_> = (0..32)
        .map(|number| {
            pause(5);
            stream(gateways[number % 3].front, format!("{number:016x}"), record)
        })
        .collect();
    pause(3_000);
    if trouble {
        // The same two crash once more.
        restart(&mut workers, 2_000);
    }
    let (mut joined, mut whole) = (0, 0);
    for (id, answer) in streams.into_iter().map(|it| it.join().expect("a client")) {
        let data = answer.body.lines().filter_map(|line| line.strip_prefix("data: "));
        let versions: BTreeSet<_> = data.filter_map(|data| data.split(' ').next()).collect();
        let events = answer.body.lines().filter(|line| line.starts_with("id:")).count();
        record.write(format!(
            "client got {id}: {} events {events} versions {versions:?} whole {}",
            answer.status, answer.is_whole
        ));
        joined += usize::from(versions.len() > 1);
        whole += usize::from(answer.is_whole && events == 36);
    }
    let text =
        format!("{joined} of 32 streams hold events of two software versions; {whole} whole");
    if !trouble && whole < 24 {
        return Outcome::NotPlayed(text);
    }
    if joined > 2 { Outcome::Broken(text) } else { Outcome::Held(text) }
}

/// A stream as its client follows it: it is sent once, and taken up once if it breaks off.
struct Followed {
    id: String,
    first: Answer,
    /// What came of taking it up, if it broke off.
    second: Option<Answer>,
}

/// Follows a stream of `events` events in a thread of its own. `end` is when the client's connection breaks by
/// itself, `others` are the gateways at which it is taken up.
fn follow(
    to: SocketAddr,
    others: Vec<SocketAddr>,
    number: usize,
    end: Option<std::time::Instant>,
    record: &Record,
) -> std::thread::JoinHandle<Followed> {
    let kind = Kind { path: "/stream/", key: "key-of-county" };
    follow_kind(kind, to, others, number, end, record)
}

/// Does the same for a stream of a kind. A path that ends with a slash gets the stream's id.
fn follow_kind(
    kind: Kind,
    to: SocketAddr,
    others: Vec<SocketAddr>,
    number: usize,
    end: Option<std::time::Instant>,
    record: &Record,
) -> std::thread::JoinHandle<Followed> {
    let record = record.clone();
    std::thread::spawn(move || {
        let started = std::time::Instant::now();
        let id = format!("{number:016x}");
        let parts = format!("5c1e07a2:60,{id}:540");
        let suffix = if kind.path.ends_with('/') { id.as_str() } else { "" };
        let path = format!("{}{suffix}", kind.path);
        let fields = [
            ("Attempt-Id", id.as_str()),
            ("X-Api-Key", kind.key),
            ("Deadline-Ms", "15000"),
            ("Model", "m"),
            ("Token-Counts", "600,224"),
            ("Prompt-Prefix", parts.as_str()),
        ];
        record.write(format!("client sends {id} to {to}"));
        let first = deployment::request_until(to, "POST", &path, &fields, ms(15_000), end);
        let last = first.events().last().copied().unwrap_or(0);
        record.write(format!(
            "client got {id}: {} events to {last} whole {} versions {:?}",
            first.status,
            first.is_whole,
            first.versions()
        ));
        if first.is_whole || others.is_empty() {
            return Followed { id, first, second: None };
        }
        let to = others[number % others.len()];
        let again = format!("{:016x}", number + 0x1000);
        let left = 15_000_u64.saturating_sub(started.elapsed().as_millis() as u64);
        let (left, last) = (left.to_string(), last.to_string());
        let mut fields = fields.to_vec();
        fields[0].1 = again.as_str();
        fields[2].1 = left.as_str();
        fields.push(("Last-Event-Id", last.as_str()));
        fields.push(("Resumes", id.as_str()));
        record.write(format!("client takes {id} up after {last} as {again} at {to}"));
        let second = deployment::request(to, "POST", &path, &fields, ms(4_000));
        record.write(format!(
            "client got {again}: {} events to {:?} whole {} versions {:?} {}",
            second.status,
            second.events().last(),
            second.is_whole,
            second.versions(),
            if second.status == 200 { "" } else { second.body.as_str() }
        ));
        Followed { id, first, second: Some(second) }
    })
}

/// Stops a gateway after `wait` ms with SIGTERM, and starts it again once it has ended; kills it if it has not
/// ended after `grace_s`.
fn roll(mut gateway: Gateway, wait: u64, record: Record) -> std::thread::JoinHandle<Gateway> {
    std::thread::spawn(move || {
        pause(wait);
        record.write(format!("gateway at {} gets SIGTERM", gateway.front));
        gateway.signal("-TERM");
        let stopped = std::time::Instant::now();
        while gateway.is_running() && stopped.elapsed() < ms(8_000) {
            pause(20);
        }
        gateway.kill();
        record.write(format!("gateway at {} has ended", gateway.front));
        pause(200);
        gateway.start();
        gateway
    })
}

/// All gateways are stopped and started in turn while workers of two software versions serve.
fn rolling(trouble: bool, directory: &Path, record: &Record) -> Outcome {
    let store = Store::start();
    store.put("op/config", &config(7, TENANTS));
    let _workers: Vec<_> = (1..=8)
        .map(|number| {
            let version = if number % 2 == 0 { "v1" } else { "v2" };
            let settings = worker(&format!("i-{number}"), "assist", version);
            Worker::start(
                Settings { events: 56, ..settings },
                deployment::free_address(),
                &store,
                record,
            )
        })
        .collect();
    let Some(mut gateways) = gateways(3, directory, &store) else {
        return Outcome::NotPlayed("the gateways are not ready".into());
    };
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    pause(11_000);
    let started = std::time::Instant::now();
    let end = (!trouble).then(|| started + ms(10_000));
    let streams: Vec<_> = (0..20)
        .map(|number| follow(fronts[0], vec![fronts[1], fronts[2]], number, end, record))
        .collect();
    pause(500);
    if trouble {
        // In turn, a second apart; the one with the streams comes last.
        let rolls: Vec<_> = gateways.drain(..).zip([2, 0, 1]).collect();
        let rolls =
            rolls.into_iter().map(|(gateway, turn)| roll(gateway, turn * 1_000, record.clone()));
        let rolls: Vec<_> = rolls.collect();
        gateways.extend(rolls.into_iter().filter_map(|it| it.join().ok()));
    }
    while started.elapsed() < ms(11_000) {
        pause(50);
    }
    // New streams for comparison.
    let new: Vec<_> = (0x100..0x10c)
        .map(|number| {
            follow(
                fronts[1 + number % 2],
                Vec::new(),
                number,
                Some(std::time::Instant::now()),
                record,
            )
        })
        .collect();
    let begun = new.into_iter().filter_map(|it| it.join().ok());
    let begun = begun.filter(|it| it.first.status == 200).count();
    let followed: Vec<_> = streams.into_iter().filter_map(|it| it.join().ok()).collect();
    let taken: Vec<_> = followed.iter().filter_map(|it| Some((it, it.second.as_ref()?))).collect();
    let gone_on =
        taken.iter().filter(|(_, second)| second.status == 200 && !second.events().is_empty());
    let gone_on = gone_on.count();
    let unlike = |it: &&Followed| {
        it.second.as_ref().is_some_and(|second| {
            it.first.versions() != second.versions() && !second.versions().is_empty()
        })
    };
    let joined: Vec<_> = followed.iter().filter(unlike).map(|it| it.id.clone()).collect();
    let text = format!(
        "of {} streams that clients took up again {gone_on} went on ({} joined); of 12 new ones {begun} began",
        taken.len(),
        joined.len()
    );
    if taken.len() < 12 || begun < 6 {
        return Outcome::NotPlayed(text);
    }
    let is_broken = (gone_on as f64 / taken.len() as f64) < 0.5 * (begun as f64 / 12.0);
    if is_broken { Outcome::Broken(text) } else { Outcome::Held(text) }
}

/// The limit of the tenant that sends much, in tokens a second, and its burst.
const RATE: u64 = 100_000;

/// The size of its requests, in tokens.
const SIZE: u64 = 10_000;

/// A write of a gateway's entry among the members is done late and not answered; then a tenant sends much.
fn late_entry(trouble: bool, directory: &Path, record: &Record) -> Outcome {
    let store = Store::start();
    let tenants = format!(
        "[{{\"name\":\"county\",\"api_keys\":[\"key-of-county\"],\"priority\":1,\"unit\":\"token_stream\",\"uncached_tokens\":200,\"rate_per_s\":{RATE},\"burst\":{RATE}}}]"
    );
    store.put("op/config", &config(7, &tenants));
    let _workers: Vec<_> = (1..=4)
        .map(|number| {
            Worker::start(
                worker(&format!("i-{number}"), "portal", "v1"),
                deployment::free_address(),
                &store,
                record,
            )
        })
        .collect();
    let entry = "trefoildyke/members/front-3";
    if trouble {
        store.delay_next(entry, ms(3_000));
    }
    let Some(gateways) = gateways(3, directory, &store) else {
        return Outcome::NotPlayed("the gateways are not ready".into());
    };
    record.write(format!("writes that were not answered: {:?}", store.lost()));
    pause(14_000);
    record.write(format!("the entry of front-3 is in the store: {}", store.has(entry)));
    let clients: Vec<_> = (0..3 * 15 * 16)
        .map(|number: usize| {
            pause(22);
            let (to, record) = (gateways[number % 3].front, record.clone());
            std::thread::spawn(move || {
                let id = format!("{number:016x}");
                let fields = [
                    ("Attempt-Id", id.as_str()),
                    ("X-Api-Key", "key-of-county"),
                    ("Deadline-Ms", "1500"),
                    ("Token-Counts", "9000,1000"),
                ];
                record.write(format!("client sends {id} to {to}"));
                let path = format!("/status/{id}");
                let answer = deployment::request(to, "GET", &path, &fields, ms(2_500));
                record.write(format!("client got {id}: {}", answer.status));
            })
        })
        .collect();
    clients.into_iter().for_each(|client| drop(client.join()));
    // Requests that are both sent and run within 8 s.
    let (mut sent, mut ran) = (BTreeMap::new(), Vec::new());
    for (at, line) in record.lines() {
        let words: Vec<_> = line.split(' ').collect();
        match words.as_slice() {
            ["client", "sends", id, ..] => drop(sent.insert((*id).to_owned(), at)),
            ["worker", _, _, "runs", id, ..] => ran.push((at, (*id).to_owned())),
            _ => {}
        }
    }
    let within = |from: f64| {
        let is_in = |at: f64| (from..from + 8.0).contains(&at);
        ran.iter()
            .filter(|(at, id)| is_in(*at) && sent.get(id).is_some_and(|at| is_in(*at)))
            .count()
    };
    let most = sent.values().map(|from| within(*from)).max().unwrap_or(0) as u64 * SIZE;
    let allowed = ((RATE * 8 + RATE) as f64 * 1.1 + 72_000.0) as u64;
    let text = format!(
        "in some 8 s requests of {most} tokens were sent and run; allowed are {allowed}; {} sent, {} ran",
        sent.len(),
        ran.len()
    );
    if ran.len() < 100 {
        return Outcome::NotPlayed(text);
    }
    if most > allowed { Outcome::Broken(text) } else { Outcome::Held(text) }
}

/// How a stream is asked for, apart from its number.
#[derive(Clone, Copy)]
struct Kind {
    path: &'static str,
    key: &'static str,
}

/// Workers crash under streams that are alike but for their prompts.
fn alike(trouble: bool, directory: &Path, record: &Record) -> Outcome {
    let store = Store::start();
    let second = TENANTS.replace("county", "second");
    let tenants = format!("[{},{}]", &TENANTS[1..TENANTS.len() - 1], &second[1..second.len() - 1]);
    store.put("op/config", &config(7, &tenants));
    let workers: Vec<_> = (1..=16)
        .map(|number| {
            let settings = worker(&format!("i-{number}"), "assist", "v1");
            Worker::start(settings, deployment::free_address(), &store, record)
        })
        .collect();
    let Some(gateways) = gateways(3, directory, &store) else {
        return Outcome::NotPlayed("the gateways are not ready".into());
    };
    let fronts: Vec<_> = gateways.iter().map(|gateway| gateway.front).collect();
    pause(11_000);
    let kind = Kind { path: "/stream/draft", key: "key-of-county" };
    let started = std::time::Instant::now();
    let streams: Vec<_> = (0..80)
        .map(|number| {
            pause(5);
            // Without the disruption, the connections of some clients break by themselves.
            let end = (!trouble && number % 4 == 0).then(|| started + ms(2_500));
            follow_kind(kind, fronts[number % 3], fronts.clone(), number + 1, end, record)
        })
        .collect();
    pause(2_000);
    if trouble {
        workers[..4].iter().for_each(|worker| worker.crash(record));
    }
    pause(1_000);
    let new: Vec<_> = (0x200..0x218)
        .map(|number| {
            let kind =
                Kind { key: if number % 2 == 0 { "key-of-second" } else { kind.key }, ..kind };
            let end = Some(std::time::Instant::now());
            follow_kind(kind, fronts[number % 3], Vec::new(), number, end, record)
        })
        .collect();
    let begun = new.into_iter().filter_map(|it| it.join().ok());
    let begun = begun.filter(|it| it.first.status == 200).count();
    let followed: Vec<_> = streams.into_iter().filter_map(|it| it.join().ok()).collect();
    let taken: Vec<_> = followed.iter().filter_map(|it| it.second.as_ref()).collect();
    let gone_on = taken.iter().filter(|it| it.status == 200 && !it.events().is_empty()).count();
    let text = format!(
        "of {} streams that clients took up again {gone_on} went on; of 24 new ones {begun} began",
        taken.len()
    );
    if taken.len() < 12 || begun == 0 {
        return Outcome::NotPlayed(text);
    }
    let is_broken = (gone_on as f64 / taken.len() as f64) < 0.5 * (begun as f64 / 24.0);
    if is_broken { Outcome::Broken(text) } else { Outcome::Held(text) }
}

/// The operator takes the last tenant away, and with it all keys.
fn no_tenants(trouble: bool, directory: &Path, record: &Record) -> Outcome {
    let store = Store::start();
    store.put("op/config", &config(7, TENANTS));
    let _worker =
        Worker::start(worker("i-1", "portal", "v1"), deployment::free_address(), &store, record);
    let Some(gateways) = gateways(3, directory, &store) else {
        return Outcome::NotPlayed("the gateways are not ready".into());
    };
    pause(1_000);
    let ask = |key: &str, number: usize| {
        let id = format!("{number:016x}");
        record.write(format!("client sends {id} with {key}"));
        let fields = [("Attempt-Id", id.as_str()), ("X-Api-Key", key), ("Deadline-Ms", "1500")];
        let to = gateways[number % 3].front;
        let answer = deployment::request(to, "GET", "/status/x", &fields, ms(2_000));
        record.write(format!("client got {id}: {} {}", answer.status, answer.body));
        answer.status
    };
    let before: Vec<_> = (0..3).map(|number| ask("key-of-county", number)).collect();
    let unknown = ask("key-of-nobody", 3);
    if before != [200, 200, 200] || unknown != 401 {
        return Outcome::NotPlayed(format!("before: {before:?} {unknown}"));
    }
    if trouble {
        store.put("op/config", &config(9, "[]"));
        record.write("op/config: version 9 has no tenant");
    }
    pause(6_500);
    let later: Vec<_> = (10..16).map(|number| ask("key-of-county", number)).collect();
    let foreign: Vec<_> = (20..23).map(|number| ask("key-of-nobody", number)).collect();
    let text = format!("6.5 s later: the key {later:?}, a key that never was {foreign:?}");
    let run = trouble && later.contains(&200);
    if run || foreign.contains(&200) { Outcome::Broken(text) } else { Outcome::Held(text) }
}

/// The operator changes the idle limit and one key; the limit is written with a decimal point.
fn idle_limit(trouble: bool, directory: &Path, record: &Record) -> Outcome {
    let store = Store::start();
    store.put("op/config", &config(7, TENANTS));
    let _worker =
        Worker::start(worker("i-1", "portal", "v1"), deployment::free_address(), &store, record);
    let Some(gateways) = gateways(3, directory, &store) else {
        return Outcome::NotPlayed("the gateways are not ready".into());
    };
    pause(1_000);
    let ask = |key: &str, number: usize| {
        let id = format!("{number:016x}");
        record.write(format!("client sends {id} with {key}"));
        let fields = [("Attempt-Id", id.as_str()), ("X-Api-Key", key), ("Deadline-Ms", "1500")];
        let to = gateways[number % 3].front;
        let answer = deployment::request(to, "GET", "/status/x", &fields, ms(2_000));
        record.write(format!("client got {id}: {} {}", answer.status, answer.body));
        answer.status
    };
    let before: Vec<_> = (0..3).map(|number| ask("key-of-county", number)).collect();
    if before != [200, 200, 200] {
        return Outcome::NotPlayed(format!("before: {before:?}"));
    }
    let limit = if trouble { "12000.0" } else { "12000" };
    let changed = config(9, &TENANTS.replace("key-of-county", "key-that-is-new"));
    let changed =
        changed.replace("\"idle_timeout_ms\":15000", &format!("\"idle_timeout_ms\":{limit}"));
    store.put("op/config", &changed);
    record.write(format!("op/config: version 9, idle_timeout_ms {limit}, another key"));
    pause(20_000);
    let old: Vec<_> = (10..16).map(|number| ask("key-of-county", number)).collect();
    let new: Vec<_> = (20..26).map(|number| ask("key-that-is-new", number)).collect();
    let ready: Vec<_> = gateways.iter().map(Gateway::is_ready).collect();
    let text = format!(
        "20 s after version 9: the key that was taken away {old:?}, the new one {new:?}, ready {ready:?}"
    );
    if old.contains(&200) { Outcome::Broken(text) } else { Outcome::Held(text) }
}
