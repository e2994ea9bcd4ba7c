//! A stand-in for a worker, as PROTOCOL.md describes it.

use std::io::{self, BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::http;
use crate::record::Record;
use crate::store::Store;

/// How a worker is registered and works.
#[derive(Clone)]
pub struct Settings {
    pub id: String,
    pub service: String,
    pub version: String,
    pub slots: u32,
    /// The number of events of a stream, and the time between two of them.
    pub events: u64,
    pub gap: Duration,
    /// How long a request without a stream takes.
    pub work: Duration,
}

/// One start of a worker.
pub struct Worker {
    pub settings: Settings,
    pub address: SocketAddr,
    alive: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
}

/// How often a worker writes its entry.
const HEARTBEAT: Duration = Duration::from_millis(1_200);

impl Worker {
    /// Starts a worker at `address` (port 0: a free one) and registers it.
    pub fn start(settings: Settings, address: SocketAddr, store: &Store, record: &Record) -> Self {
        let listener = bind(address);
        let address = listener.local_addr().expect("an address");
        let worker = Self {
            settings: settings.clone(),
            address,
            alive: Arc::new(AtomicBool::new(true)),
            connections: Arc::default(),
        };
        record.write(format!("worker {} starts: {} {}", settings.id, settings.version, address));
        let now = SystemTime::now().duration_since(UNIX_EPOCH).expect("a time");
        let born = now.as_millis();
        let alive = Arc::clone(&worker.alive);
        let (store, beating) = (store.clone(), settings.clone());
        std::thread::spawn(move || {
            let seq = AtomicU64::new(0);
            let mut waited = HEARTBEAT;
            while alive.load(Ordering::SeqCst) {
                if waited >= HEARTBEAT {
                    waited = Duration::ZERO;
                    let seq = seq.fetch_add(1, Ordering::SeqCst);
                    let Settings { id, service, version, slots, .. } = &beating;
                    store.put(
                        &format!("servers/{id}"),
                        &format!(
                            "{{\"service\":\"{service}\",\"addr\":\"{address}\",\"zone\":\"zone-a\",\"version\":\"{version}\",\"slots\":{slots},\"state\":\"ready\",\"cold_left_ms\":0,\"born\":{born},\"seq\":{seq}}}"
                        ),
                    );
                }
                std::thread::sleep(Duration::from_millis(20));
                waited += Duration::from_millis(20);
            }
        });
        let (alive, connections) = (Arc::clone(&worker.alive), Arc::clone(&worker.connections));
        let record = record.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !alive.load(Ordering::SeqCst) {
                    return;
                }
                let _ = stream.set_nodelay(true);
                if let Ok(clone) = stream.try_clone() {
                    connections.lock().expect("connections").push(clone);
                }
                let serving = Serving {
                    settings: settings.clone(),
                    alive: Arc::clone(&alive),
                    record: record.clone(),
                };
                std::thread::spawn(move || serving.run(stream));
            }
        });
        worker
    }

    /// Crashes the worker: its connections end and it writes nothing more.
    pub fn crash(&self, record: &Record) {
        record.write(format!("worker {} crashes", self.settings.id));
        self.alive.store(false, Ordering::SeqCst);
        let _ = TcpStream::connect(self.address);
        for connection in self.connections.lock().expect("connections").drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }
}

fn bind(address: SocketAddr) -> TcpListener {
    for _ in 0..100 {
        if let Ok(listener) = TcpListener::bind(address) {
            return listener;
        }
        std::thread::sleep(Duration::from_millis(10));
    }
    panic!("the address {address} is not free");
}

struct Serving {
    settings: Settings,
    alive: Arc<AtomicBool>,
    record: Record,
}

impl Serving {
    fn run(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else { return };
        let mut reader = BufReader::new(stream);
        while let Ok(Some(head)) = http::read_head(&mut reader) {
            let (_, is_whole) = http::read_body(&mut reader, &head);
            if !is_whole || self.answer(&head, &mut writer).is_err() {
                return;
            }
        }
    }

    fn answer(&self, head: &http::Head, writer: &mut TcpStream) -> io::Result<()> {
        let Settings { id, version, events, gap, work, .. } = &self.settings;
        let attempt = head.field("attempt-id").unwrap_or_default();
        if head.field("expect-instance").is_some_and(|expected| expected != id) {
            return write!(
                writer,
                "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        if head.target() == "/health" {
            return write!(
                writer,
                "HTTP/1.1 200 OK\r\nInstance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
            );
        }
        let after: u64 = head.field("last-event-id").and_then(|id| id.parse().ok()).unwrap_or(0);
        let tenant = head.field("tenant").unwrap_or("none");
        self.record.write(format!(
            "worker {id} {version} runs {attempt} {} after {after} tenant {tenant}",
            head.target()
        ));
        let seal = format!("Attempt-Id: {attempt}\r\nResponse-Seal: {id}.{attempt}\r\n");
        if !head.target().starts_with("/stream/") {
            std::thread::sleep(*work);
            let body = format!("{attempt} by {id} {version}");
            let length = body.len();
            return write!(
                writer,
                "HTTP/1.1 200 OK\r\n{seal}Content-Length: {length}\r\n\r\n{body}"
            );
        }
        write!(
            writer,
            "HTTP/1.1 200 OK\r\n{seal}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        )?;
        for event in after + 1..=*events {
            std::thread::sleep(*gap);
            if !self.alive.load(Ordering::SeqCst) {
                return Err(io::ErrorKind::BrokenPipe.into());
            }
            let text = format!("id: {event}\ndata: {version} {id}\n\n");
            write!(writer, "{:x}\r\n{text}\r\n", text.len())?;
        }
        write!(writer, "0\r\n\r\n")
    }
}
