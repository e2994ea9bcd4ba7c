//! A stand-in for a worker, as a process of its own.
//!
//! It says on its output what it runs, and obeys on its input: `close` and `open` (new connections are refused
//! or taken again). It ends with its input.

use std::io::{self, BufRead as _, Write as _};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicUsize, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::http::{self, Head, Reader};

/// How many requests may wait beyond those that run.
const QUEUE: usize = 24;

/// How a worker behaves.
pub struct Worker {
    id: String,
    version: String,
    slots: usize,
    /// `chunked`: streams in chunks; `unframed`: streams end with their connection.
    framing: String,
    /// `sound`, or `both`: some plain answers state a length beside their chunks.
    conduct: String,
    running: Mutex<usize>,
    freed: Condvar,
    waiting: AtomicUsize,
    answered: AtomicUsize,
}

/// Says what happens, with the time of day in milliseconds.
fn say(text: &str) {
    let now =
        std::time::SystemTime::now().duration_since(std::time::UNIX_EPOCH).unwrap_or_default();
    let mut out = io::stdout().lock();
    let _ = writeln!(out, "{} {text}", now.as_millis());
    let _ = out.flush();
}

/// Runs a worker: `ADDRESS ID VERSION SLOTS FRAMING CONDUCT`.
pub fn run(options: &[String]) {
    let address: SocketAddr = options[0].parse().expect("an address");
    let worker = Arc::new(Worker {
        id: options[1].clone(),
        version: options[2].clone(),
        slots: options[3].parse().expect("a number of slots"),
        framing: options[4].clone(),
        conduct: options[5].clone(),
        running: Mutex::new(0),
        freed: Condvar::new(),
        waiting: AtomicUsize::new(0),
        answered: AtomicUsize::new(0),
    });
    let open = Arc::new(AtomicBool::new(true));
    let accepting = Arc::clone(&open);
    thread::spawn(move || {
        loop {
            if accepting.load(Ordering::Relaxed) {
                let Ok(listener) = TcpListener::bind(address) else {
                    thread::sleep(Duration::from_millis(5));
                    continue;
                };
                listener.set_nonblocking(true).expect("a listener");
                say("open");
                while accepting.load(Ordering::Relaxed) {
                    match listener.accept() {
                        Ok((stream, _)) => {
                            let worker = Arc::clone(&worker);
                            let _ = stream.set_nonblocking(false);
                            let _ = stream.set_nodelay(true);
                            thread::spawn(move || worker.serve(stream));
                        }
                        Err(_) => thread::sleep(Duration::from_millis(1)),
                    }
                }
                drop(listener);
                say("closed");
            }
            thread::sleep(Duration::from_millis(1));
        }
    });
    for line in io::stdin().lock().lines() {
        match line.as_deref() {
            Ok("close") => open.store(false, Ordering::Relaxed),
            Ok("open") => open.store(true, Ordering::Relaxed),
            _ => {}
        }
    }
}

impl Worker {
    fn serve(&self, stream: TcpStream) {
        let mut reader = Reader::new(stream);
        while let Ok(Some(head)) = reader.head() {
            let mut body = Vec::new();
            if !reader.body(http::request_framing(&head), &mut body, |_| {}) {
                return;
            }
            if !self.answer(&mut reader.stream, &head, &body) {
                return;
            }
        }
    }

    /// Answers one request; returns whether the connection goes on.
    fn answer(&self, stream: &mut TcpStream, head: &Head, body: &[u8]) -> bool {
        let attempt = head.get("attempt-id").unwrap_or("").to_owned();
        if head.target() == "/health" {
            return http::answer(stream, "200 OK", &[("Instance-Id", &self.id)], b"").is_ok();
        }
        if head.target() == "/report" {
            let running = *self.running.lock().expect("a lock");
            let report = format!(
                "{{\"stage\":\"unified\",\"models\":[{{\"name\":\"m\",\"version\":1,\"adapters\":[]}}],\"busy\":false,\"seq\":1,\"queued\":0,\"active\":{running},\"kv_used\":0,\"kv_total\":187300,\"handles\":0}}"
            );
            return http::answer(
                stream,
                "200 OK",
                &[("Content-Type", "application/json")],
                report.as_bytes(),
            )
            .is_ok();
        }
        if head.get("expect-instance").is_some_and(|id| id != self.id) {
            say(&format!("misdirected {attempt}"));
            let headers = [("Attempt-Id", attempt.as_str()), ("Instance-Id", &self.id)];
            return http::answer(stream, "421 Misdirected Request", &headers, b"").is_ok();
        }
        let deadline_ms =
            head.get("deadline-ms").and_then(|text| text.parse().ok()).unwrap_or(60_000);
        let deadline = Instant::now() + Duration::from_millis(deadline_ms);
        if !self.take_slot(deadline) {
            say(&format!("shed {attempt}"));
            let headers = [("Attempt-Id", attempt.as_str()), ("Not-Executed", "1")];
            return http::answer(stream, "503 Service Unavailable", &headers, b"").is_ok();
        }
        let last = head.get("last-event-id").unwrap_or("0").to_owned();
        say(&format!(
            "runs {attempt} {} {} body={} after={last}",
            head.method(),
            head.target(),
            body.len()
        ));
        let goes_on = self.work(stream, head, body, &attempt, deadline);
        *self.running.lock().expect("a lock") -= 1;
        self.freed.notify_one();
        say(&format!("ends {attempt} {}", if goes_on.is_some() { "whole" } else { "broken" }));
        goes_on.unwrap_or(false)
    }

    fn take_slot(&self, deadline: Instant) -> bool {
        if self.waiting.load(Ordering::Relaxed) >= QUEUE {
            return false;
        }
        self.waiting.fetch_add(1, Ordering::Relaxed);
        let mut running = self.running.lock().expect("a lock");
        while *running >= self.slots && Instant::now() < deadline {
            running =
                self.freed.wait_timeout(running, Duration::from_millis(20)).expect("a lock").0;
        }
        self.waiting.fetch_sub(1, Ordering::Relaxed);
        let is_free = *running < self.slots;
        *running += usize::from(is_free);
        is_free
    }

    /// Runs a request; returns whether its connection goes on, or `None` if the answer was broken off.
    fn work(
        &self,
        stream: &mut TcpStream,
        head: &Head,
        body: &[u8],
        attempt: &str,
        deadline: Instant,
    ) -> Option<bool> {
        let task = String::from_utf8_lossy(&body[..body.len().min(64)]).into_owned();
        let number = |name: &str, usual: u64| {
            let found = task.split_whitespace().find_map(|word| word.strip_prefix(name));
            found.and_then(|text| text.parse().ok()).unwrap_or(usual)
        };
        let seal = format!("seal.{}.{attempt}", self.id);
        let common = format!("Attempt-Id: {attempt}\r\nResponse-Seal: {seal}\r\n");
        if head.target().contains("stream") {
            let is_chunked = self.framing == "chunked";
            let framing =
                if is_chunked { "Transfer-Encoding: chunked" } else { "Connection: close" };
            let text = format!(
                "HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nWeight-Versions: 1\r\n{framing}\r\n\r\n"
            );
            stream.write_all(text.as_bytes()).ok()?;
            let last: u64 =
                head.get("last-event-id").and_then(|text| text.parse().ok()).unwrap_or(0);
            for event in last + 1..=number("events=", 20) {
                thread::sleep(Duration::from_millis(number("gap=", 100)));
                if Instant::now() >= deadline {
                    return None;
                }
                let text = format!(
                    "id: {event}\ndata: {} {} {attempt} {event}\n\n",
                    self.version, self.id
                );
                if is_chunked {
                    stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes()).ok()?;
                } else {
                    stream.write_all(text.as_bytes()).ok()?;
                }
            }
            if is_chunked {
                stream.write_all(b"0\r\n\r\n").ok()?;
            }
            return Some(is_chunked);
        }
        thread::sleep(Duration::from_millis(number("work=", 60)));
        let answer: Vec<u8> = (0..800).map(|place| b'a' + (place % 26) as u8).collect();
        let count = self.answered.fetch_add(1, Ordering::Relaxed);
        if self.conduct == "both" && count % 50 == 49 {
            // Bytes that are no answer of HTTP: a length beside chunks.
            say(&format!("spoils {attempt}"));
            let mut bytes = format!(
                "HTTP/1.1 200 OK\r\n{common}Content-Length: 400\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n",
                answer.len()
            )
            .into_bytes();
            bytes.extend_from_slice(&answer);
            bytes.extend_from_slice(b"\r\n0\r\n\r\n");
            return stream.write_all(&bytes).ok().map(|()| true);
        }
        let headers = [("Attempt-Id", attempt), ("Response-Seal", seal.as_str())];
        http::answer(stream, "200 OK", &headers, &answer).ok().map(|()| true)
    }
}
