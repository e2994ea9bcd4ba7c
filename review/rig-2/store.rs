//! A stand-in for the platform's metadata store, as PROTOCOL.md describes it.

use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Condvar, Mutex, MutexGuard};
use std::time::{Duration, Instant};

use crate::http;
use crate::json::{self, Json};

#[derive(Clone)]
struct Item {
    value: String,
    revision: u64,
    created: u64,
    lease: u64,
}

#[derive(Default)]
struct State {
    revision: u64,
    items: BTreeMap<String, Item>,
    /// All changes; a change without an item is a removal.
    log: Vec<(u64, String, Option<Item>)>,
    leases: BTreeMap<u64, (Duration, Instant)>,
    last_lease: u64,
    /// The key whose next write is done so much later and not answered.
    late: Option<(String, Duration)>,
    /// The keys of such writes.
    lost: Vec<String>,
}

/// The store; clones share it.
#[derive(Clone)]
pub struct Store {
    pub address: SocketAddr,
    shared: Arc<(Mutex<State>, Condvar)>,
}

impl Store {
    pub fn start() -> Self {
        let listener = TcpListener::bind(crate::deployment::free_address()).expect("a free port");
        let address = listener.local_addr().expect("an address");
        let state = State { revision: 100, ..State::default() };
        let store = Self { address, shared: Arc::new((Mutex::new(state), Condvar::new())) };
        let serving = store.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = serving.clone();
                std::thread::spawn(move || store.serve(stream));
            }
        });
        let expiring = store.clone();
        std::thread::spawn(move || {
            loop {
                std::thread::sleep(Duration::from_millis(50));
                expiring.expire();
            }
        });
        store
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.shared.0.lock().expect("the store's state")
    }

    /// Writes a key as the operator or a worker does; returns when it is acknowledged.
    pub fn put(&self, key: &str, value: &str) -> u64 {
        let mut state = self.lock();
        let revision = state.set(&[(key.to_owned(), json::base64(value.as_bytes()), 0)], &[]);
        self.shared.1.notify_all();
        revision
    }

    /// Does the next write of `key` only after `delay`, and does not answer it.
    pub fn delay_next(&self, key: &str, delay: Duration) {
        self.lock().late = Some((key.to_owned(), delay));
    }

    /// Returns the keys whose writes were not answered.
    pub fn lost(&self) -> Vec<String> {
        self.lock().lost.clone()
    }

    /// Returns whether a key is there.
    pub fn has(&self, key: &str) -> bool {
        self.lock().items.contains_key(key)
    }

    /// Returns whether the write of `body` is to be late; it is then done later.
    fn put_off(&self, body: &str) -> bool {
        let mut state = self.lock();
        let Some((key, delay)) = state.late.clone() else { return false };
        let parsed = Json::parse(body);
        let rows = parsed.as_ref().map_or(&[][..], |body| body.list("set_keys"));
        if !rows.iter().any(|row| row.text("key") == Some(key.as_str())) {
            return false;
        }
        state.late = None;
        state.lost.push(key);
        let (store, body) = (self.clone(), body.to_owned());
        std::thread::spawn(move || {
            std::thread::sleep(delay);
            store.transact(&body);
        });
        true
    }

    fn expire(&self) {
        let mut state = self.lock();
        let now = Instant::now();
        let over = state.leases.iter().filter(|(_, (_, end))| *end <= now);
        let over: Vec<u64> = over.map(|(lease, _)| *lease).collect();
        for lease in over {
            state.end_lease(lease);
            self.shared.1.notify_all();
        }
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let (body, _) = http::read_body(&mut reader, &head);
            let body = String::from_utf8_lossy(&body).into_owned();
            if head.target() == "/kv-txn" && self.put_off(&body) {
                // A connection on which a response is lost returns nothing further.
                std::thread::sleep(Duration::from_secs(30));
                return;
            }
            let (status, reply) = self.answer(&head, &body);
            let answer = format!(
                "HTTP/1.1 {status} X\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{reply}",
                reply.len()
            );
            if writer.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &http::Head, body: &str) -> (u16, String) {
        let target = head.target();
        let path = target.split('?').next().unwrap_or_default();
        let id = path.rsplit('/').next().and_then(|id| id.parse().ok()).unwrap_or(0);
        match (head.method(), path) {
            ("GET", "/kv-key") => self.key(&http::parameter(target, "key").unwrap_or_default()),
            ("GET", "/kv-range") => self.range(target),
            ("GET", "/kv-watch") => self.watch(target),
            ("POST", "/kv-txn") => self.transact(body),
            ("POST", "/kv-lease") => {
                let ttl = Json::parse(body).and_then(|body| body.number("ttl_ms")).unwrap_or(1_000);
                let mut state = self.lock();
                state.last_lease += 1;
                let (lease, ttl_time) = (state.last_lease, Duration::from_millis(ttl));
                state.leases.insert(lease, (ttl_time, Instant::now() + ttl_time));
                (200, format!("{{\"lease\":{lease},\"ttl_ms\":{ttl}}}"))
            }
            ("POST", path) if path.starts_with("/kv-keep/") => {
                let mut state = self.lock();
                let Some((ttl, end)) = state.leases.get_mut(&id) else { return (404, "{}".into()) };
                *end = Instant::now() + *ttl;
                (200, format!("{{\"ttl_ms\":{}}}", ttl.as_millis()))
            }
            ("DELETE", path) if path.starts_with("/kv-lease-end/") => {
                self.lock().end_lease(id);
                self.shared.1.notify_all();
                (200, "{}".into())
            }
            _ => (404, "{}".into()),
        }
    }

    fn key(&self, key: &str) -> (u16, String) {
        let state = self.lock();
        let Some(item) = state.items.get(key) else { return (404, "{}".into()) };
        let fields = item.fields(key);
        (200, format!("{{{fields},\"current_rev\":{}}}", state.revision))
    }

    fn range(&self, target: &str) -> (u16, String) {
        let prefix = http::parameter(target, "path_prefix").unwrap_or_default();
        let after = http::parameter(target, "after_rev").unwrap_or_default();
        let state = self.lock();
        let found = state.items.iter();
        let found = found.filter(|(key, _)| key.starts_with(&prefix) && **key > after);
        let rows: Vec<_> = found.map(|(key, item)| format!("{{{}}}", item.fields(key))).collect();
        let rows = rows.join(",");
        (
            200,
            format!("{{\"items\":[{rows}],\"has_more\":false,\"current_rev\":{}}}", state.revision),
        )
    }

    fn watch(&self, target: &str) -> (u16, String) {
        let number = |name| http::parameter(target, name).and_then(|text| text.parse().ok());
        let prefix = http::parameter(target, "path_prefix").unwrap_or_default();
        let after: u64 = number("after_rev").unwrap_or(0);
        let end = Instant::now() + Duration::from_millis(number("wait_ms").unwrap_or(0));
        let mut state = self.lock();
        loop {
            let events = state.log.iter().filter(|(revision, ..)| *revision > after);
            let events = events.filter(|(_, key, _)| key.starts_with(&prefix));
            let rows = events.map(|(revision, key, item)| match item {
                Some(item) => format!("{{{}}}", item.fields(key)),
                None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
            });
            let rows: Vec<_> = rows.collect();
            let left = end.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let revision = state.revision;
                return (
                    200,
                    format!("{{\"events\":[{}],\"current_rev\":{revision}}}", rows.join(",")),
                );
            }
            state = self.shared.1.wait_timeout(state, left).expect("the store's state").0;
        }
    }

    fn transact(&self, body: &str) -> (u16, String) {
        let Some(body) = Json::parse(body) else { return (400, "{}".into()) };
        let mut state = self.lock();
        let holds = body.list("expected_rev").iter().all(|row| {
            let known = state.items.get(row.text("key").unwrap_or_default());
            known.map_or(0, |item| item.revision) == row.number("revision").unwrap_or(0)
        });
        if !holds {
            return (412, "{\"items\":[]}".into());
        }
        let row = |row: &Json| {
            let text = |name| row.text(name).unwrap_or_default().to_owned();
            (text("key"), text("value"), row.number("lease").unwrap_or(0))
        };
        let rows: Vec<_> = body.list("set_keys").iter().map(row).collect();
        if rows.iter().any(|(_, _, lease)| *lease != 0 && !state.leases.contains_key(lease)) {
            return (404, "{}".into());
        }
        let remove = body.list("remove").iter().filter_map(|key| match key {
            Json::Text(key) => Some(key.clone()),
            _ => None,
        });
        let revision = state.set(&rows, &remove.collect::<Vec<_>>());
        self.shared.1.notify_all();
        (200, format!("{{\"revision\":{revision}}}"))
    }
}

impl Item {
    fn fields(&self, key: &str) -> String {
        let Self { value, revision, created, lease } = self;
        format!(
            "\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":{lease}"
        )
    }
}

impl State {
    fn set(&mut self, rows: &[(String, String, u64)], remove: &[String]) -> u64 {
        self.revision += 1;
        let revision = self.revision;
        for (key, value, lease) in rows {
            let created = self.items.get(key).map_or(revision, |item| item.created);
            let item = Item { value: value.clone(), revision, created, lease: *lease };
            self.items.insert(key.clone(), item.clone());
            self.log.push((revision, key.clone(), Some(item)));
        }
        for key in remove {
            if self.items.remove(key).is_some() {
                self.log.push((revision, key.clone(), None));
            }
        }
        revision
    }

    fn end_lease(&mut self, lease: u64) {
        self.leases.remove(&lease);
        let held = self.items.iter().filter(|(_, item)| item.lease == lease);
        let held: Vec<String> = held.map(|(key, _)| key.clone()).collect();
        if !held.is_empty() {
            self.set(&[], &held);
        }
    }
}
