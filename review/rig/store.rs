//! A stand-in for the platform's metadata store.

use std::collections::{BTreeMap, HashMap, VecDeque};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Reader};
use crate::json::{self, Value};

/// The store answers after this time.
const ANSWER_TIME: Duration = Duration::from_millis(4);

#[derive(Clone)]
struct Item {
    value: Vec<u8>,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Clone, Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// The revision, the key, and the item unless it was removed.
    history: Vec<(u64, String, Option<Item>)>,
    leases: HashMap<u64, (Duration, Instant)>,
    last_lease: u64,
}

#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
    /// Copies of the state, the oldest first.
    copies: Arc<Mutex<VecDeque<(Instant, State)>>>,
    /// Whether the store is away: it answers nobody, and takes no writes.
    away: Arc<AtomicBool>,
    /// How often the store has come back from a copy.
    era: Arc<AtomicU64>,
}

impl State {
    fn put(&mut self, key: &str, value: Vec<u8>, lease: u64) {
        self.revision += 1;
        let created = self.items.get(key).map_or(self.revision, |item| item.created);
        let item = Item { value, revision: self.revision, created, lease };
        self.items.insert(key.to_owned(), item.clone());
        self.history.push((self.revision, key.to_owned(), Some(item)));
    }

    fn remove(&mut self, key: &str) {
        if self.items.remove(key).is_some() {
            self.revision += 1;
            self.history.push((self.revision, key.to_owned(), None));
        }
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let of_lease = |(key, item): (&String, &Item)| (item.lease == lease).then(|| key.clone());
        let keys: Vec<_> = self.items.iter().filter_map(of_lease).collect();
        keys.iter().for_each(|key| self.remove(key));
    }

    fn expire(&mut self) {
        let now = Instant::now();
        let ended: Vec<_> = self
            .leases
            .iter()
            .filter(|(_, (_, end))| *end <= now)
            .map(|(lease, _)| *lease)
            .collect();
        ended.into_iter().for_each(|lease| self.end_lease(lease));
    }
}

fn show(key: &str, item: &Item) -> String {
    let value = json::to_base64(&item.value);
    let Item { revision, created, lease, .. } = item;
    format!(
        "{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}"
    )
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("an address");
        let mut state = State::default();
        state.revision = 100;
        let store = Self {
            address,
            state: Arc::new(Mutex::new(state)),
            copies: Arc::default(),
            away: Arc::default(),
            era: Arc::new(AtomicU64::new(1)),
        };
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        let kept = store.clone();
        thread::spawn(move || {
            loop {
                thread::sleep(Duration::from_millis(50));
                if kept.is_away() {
                    continue;
                }
                let mut state = kept.lock();
                state.expire();
                let mut copies = kept.copies.lock().unwrap_or_else(|error| error.into_inner());
                copies.push_back((Instant::now(), state.clone()));
                if copies.len() > 200 {
                    copies.pop_front();
                }
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(|error| error.into_inner())
    }

    fn is_away(&self) -> bool {
        self.away.load(Ordering::Relaxed)
    }

    /// The store is away for `time` and comes back from a copy that is `age` old then.
    ///
    /// Leases of the copy go on; numbers of leases are not given out again.
    pub fn drill(&self, time: Duration, age: Duration) {
        self.away.store(true, Ordering::Relaxed);
        thread::sleep(time);
        let moment = Instant::now() - age;
        let mut copies = self.copies.lock().unwrap_or_else(|error| error.into_inner());
        let copy = copies.iter().rev().find(|(at, _)| *at <= moment);
        let mut copy = copy.map(|(_, state)| state.clone()).unwrap_or_default();
        copies.clear();
        drop(copies);
        let mut state = self.lock();
        copy.last_lease = state.last_lease;
        for (ttl, end) in copy.leases.values_mut() {
            *end = Instant::now() + *ttl;
        }
        *state = copy;
        self.era.fetch_add(1, Ordering::Relaxed);
        self.away.store(false, Ordering::Relaxed);
    }

    /// Writes as the operator or a worker does; a write is lost while the store is away.
    pub fn put(&self, key: &str, value: &str) {
        if self.is_away() {
            return;
        }
        self.lock().put(key, value.as_bytes().to_vec(), 0);
    }

    pub fn remove(&self, key: &str) {
        self.lock().remove(key);
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let mut body = Vec::new();
            if !reader.body(http::request_framing(&head), &mut body, |_| {}) {
                return;
            }
            let before = self.era.load(Ordering::Relaxed);
            if self.is_away() {
                return;
            }
            let (status, body) =
                self.call(head.method(), head.target(), &String::from_utf8_lossy(&body));
            thread::sleep(ANSWER_TIME);
            let era = self.era.load(Ordering::Relaxed);
            if self.is_away() || era != before {
                return;
            }
            let era = era.to_string();
            let headers = [("Content-Type", "application/json"), ("Store-Era", era.as_str())];
            if http::answer(&mut reader.stream, status, &headers, body.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn call(&self, method: &str, target: &str, body: &str) -> (&'static str, String) {
        let (path, query) = target.split_once('?').unwrap_or((target, ""));
        let query: HashMap<&str, String> = query
            .split('&')
            .filter_map(|pair| pair.split_once('='))
            .map(|(name, value)| (name, value.replace("%2F", "/")))
            .collect();
        let param = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| param(name).parse::<u64>().unwrap_or(0);
        let last = path.rsplit('/').next().unwrap_or("").parse::<u64>().unwrap_or(0);
        match (method, path) {
            ("GET", "/kv-key") => self.get(&param("key")),
            ("GET", "/kv-range") => self.range(&param("path_prefix"), &param("after_rev")),
            ("GET", "/kv-watch") => {
                self.watch(&param("path_prefix"), number("after_rev"), number("wait_ms"))
            }
            ("POST", "/kv-txn") => self.transact(body),
            ("POST", "/kv-lease") => self.grant(body),
            ("POST", _) if path.starts_with("/kv-keep/") => self.keep(last),
            ("DELETE", _) if path.starts_with("/kv-lease-end/") => {
                self.lock().end_lease(last);
                ("200 OK", "{}".to_owned())
            }
            _ => ("404 Not Found", "{}".to_owned()),
        }
    }

    fn get(&self, key: &str) -> (&'static str, String) {
        let state = self.lock();
        match state.items.get(key) {
            Some(item) => {
                ("200 OK", format!("{},\"current_rev\":{}}}", show(key, item), state.revision))
            }
            None => ("404 Not Found", format!("{{\"current_rev\":{}}}", state.revision)),
        }
    }

    fn range(&self, prefix: &str, after: &str) -> (&'static str, String) {
        let state = self.lock();
        let found =
            state.items.iter().filter(|(key, _)| key.starts_with(prefix) && key.as_str() > after);
        let items: Vec<_> = found.map(|(key, item)| format!("{}}}", show(key, item))).collect();
        let (items, revision) = (items.join(","), state.revision);
        ("200 OK", format!("{{\"items\":[{items}],\"has_more\":false,\"current_rev\":{revision}}}"))
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> (&'static str, String) {
        let end = Instant::now() + Duration::from_millis(wait_ms);
        loop {
            if self.is_away() {
                return ("503 Service Unavailable", String::new());
            }
            let state = self.lock();
            if after > state.revision {
                return ("410 Gone", "{}".to_owned());
            }
            let events =
                state.history.iter().filter(|(at, key, _)| *at > after && key.starts_with(prefix));
            let events: Vec<_> = events
                .map(|(at, key, item)| match item {
                    Some(item) => format!("{}}}", show(key, item)),
                    None => format!("{{\"key\":\"{key}\",\"revision\":{at},\"deleted\":true}}"),
                })
                .collect();
            if !events.is_empty() || Instant::now() >= end {
                let (events, revision) = (events.join(","), state.revision);
                return ("200 OK", format!("{{\"events\":[{events}],\"current_rev\":{revision}}}"));
            }
            drop(state);
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn transact(&self, body: &str) -> (&'static str, String) {
        let Some(call) = json::parse(body) else { return ("400 Bad Request", "{}".to_owned()) };
        let rows = |name: &str| call.get(name).map_or(&[][..], Value::list).to_vec();
        let field = |row: &Value, name: &str| row.get(name).cloned().unwrap_or(Value::Null);
        let mut state = self.lock();
        for row in rows("expected_rev") {
            let known = state.items.get(field(&row, "key").text()).map_or(0, |item| item.revision);
            if known != field(&row, "revision").number() {
                return ("412 Precondition Failed", "{\"items\":[]}".to_owned());
            }
        }
        let sets = rows("set_keys");
        let lease = |row: &Value| field(row, "lease").number();
        if sets.iter().any(|row| lease(row) != 0 && !state.leases.contains_key(&lease(row))) {
            return ("404 Not Found", "{}".to_owned());
        }
        for row in &sets {
            let value = json::from_base64(field(row, "value").text());
            state.put(field(row, "key").text(), value, lease(row));
        }
        for key in rows("remove") {
            state.remove(key.text());
        }
        ("200 OK", format!("{{\"revision\":{}}}", state.revision))
    }

    fn grant(&self, body: &str) -> (&'static str, String) {
        let ttl_ms = json::parse(body)
            .and_then(|call| call.get("ttl_ms").map(Value::number))
            .unwrap_or(1_000);
        let mut state = self.lock();
        state.last_lease += 1;
        let (lease, ttl) = (state.last_lease, Duration::from_millis(ttl_ms));
        state.leases.insert(lease, (ttl, Instant::now() + ttl));
        ("200 OK", format!("{{\"lease\":{lease},\"ttl_ms\":{ttl_ms}}}"))
    }

    fn keep(&self, lease: u64) -> (&'static str, String) {
        match self.lock().leases.get_mut(&lease) {
            Some((ttl, end)) => {
                *end = Instant::now() + *ttl;
                ("200 OK", format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            None => ("404 Not Found", "{}".to_owned()),
        }
    }
}
