//! An endpoint that follows a script.

use std::io::{Read as _, Write as _};
use std::{net, sync, thread, time};

/// A step of an endpoint's script.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Answers 200 with a body of known length, the request's id and a seal.
    Answer(&'static str),
    /// Answers a status with an empty body, the request's id and a seal.
    Status(u16),
    /// Answers that the request was not run.
    NotRun,
    /// Starts a stream.
    Stream,
    /// Sends events of a stream, in one chunk.
    Events(&'static str),
    /// Ends a stream.
    EndStream,
    /// Sends these bytes unchanged, except that `{id}` is replaced by the request's id.
    Raw(&'static str),
    /// Sends these bytes again and again until the connection ends.
    Endless(&'static str),
    /// Sends these bytes again and again with a pause before each, until the connection ends.
    Trickle(&'static str, time::Duration),
    /// Sleeps.
    Pause(time::Duration),
    /// Waits until the test releases one request, in any order.
    Hold,
    /// Waits until the other side closes the connection.
    AwaitClose,
    /// Closes the connection.
    Close,
    /// Resets the connection.
    Reset,
}

/// A scripted endpoint; it runs until the test process ends.
pub(crate) struct Endpoint {
    pub(crate) address: net::SocketAddr,
    requests: sync::Arc<sync::Mutex<Vec<String>>>,
    closed: sync::Arc<sync::atomic::AtomicUsize>,
    endless: sync::Arc<sync::atomic::AtomicUsize>,
    releases: sync::Arc<Releases>,
}

/// The number of held requests that may go on.
#[derive(Default)]
struct Releases {
    count: sync::Mutex<usize>,
    changed: sync::Condvar,
}

impl Releases {
    fn add(&self) {
        *self.count.lock().unwrap() += 1;
        self.changed.notify_one();
    }

    fn take(&self) {
        let count = self.count.lock().unwrap();
        let mut count = self.changed.wait_while(count, |count| *count == 0).unwrap();
        *count -= 1;
    }
}

impl Endpoint {
    /// Starts an endpoint that uses one of `scripts` for each request in order, and the last one for all
    /// further requests.
    pub(crate) fn start(scripts: Vec<Vec<Step>>) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let requests = sync::Arc::new(sync::Mutex::new(Vec::new()));
        let closed = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
        let endless = sync::Arc::new(sync::atomic::AtomicUsize::new(0));
        let scripts = sync::Arc::new(scripts);
        let releases = sync::Arc::<Releases>::default();
        let endpoint = Self {
            address,
            requests: requests.clone(),
            closed: closed.clone(),
            endless: endless.clone(),
            releases: releases.clone(),
        };
        // The thread ends with the test process.
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (requests, scripts) = (requests.clone(), scripts.clone());
                let (closed, releases) = (closed.clone(), releases.clone());
                let endless = endless.clone();
                thread::spawn(move || {
                    serve(stream, &requests, &scripts, &releases, &endless);
                    closed.fetch_add(1, sync::atomic::Ordering::Relaxed);
                });
            }
        });
        endpoint
    }

    /// Returns the requests received so far, each with its body.
    pub(crate) fn requests(&self) -> Vec<String> {
        self.requests.lock().unwrap().clone()
    }

    /// Lets one held request go on.
    pub(crate) fn release_one(&self) {
        self.releases.add();
    }

    /// Returns how many connections have ended.
    pub(crate) fn closed(&self) -> usize {
        self.closed.load(sync::atomic::Ordering::Relaxed)
    }

    /// Returns how many bytes were written without end, on all connections.
    pub(crate) fn endless_bytes(&self) -> usize {
        self.endless.load(sync::atomic::Ordering::Relaxed)
    }
}

fn serve(
    mut stream: net::TcpStream,
    requests: &sync::Mutex<Vec<String>>,
    scripts: &[Vec<Step>],
    releases: &Releases,
    endless: &sync::atomic::AtomicUsize,
) {
    while let Some(request) = read_request(&mut stream) {
        let number = {
            let mut requests = requests.lock().unwrap();
            requests.push(request.clone());
            requests.len() - 1
        };
        let script = scripts.get(number).or(scripts.last()).unwrap();
        for step in script {
            match step {
                Step::Hold => releases.take(),
                Step::Endless(bytes) => return send_endless(&mut stream, bytes, endless),
                Step::Trickle(bytes, pause) => return trickle(&mut stream, bytes, *pause, endless),
                _ => {}
            }
            if !run_step(&mut stream, step, &header(&request, "trefoildyke-request-id")) {
                return;
            }
        }
    }
}

/// Runs one step; returns whether the connection stays open.
fn run_step(stream: &mut net::TcpStream, step: &Step, id: &str) -> bool {
    let head = format!("trefoildyke-request-id: {id}\r\ntrefoildyke-seal: sealed-{id}\r\n");
    let text = match step {
        Step::Answer(body) => {
            format!("HTTP/1.1 200 OK\r\n{head}Content-Length: {}\r\n\r\n{body}", body.len())
        }
        Step::Status(status) => {
            format!("HTTP/1.1 {status} Some\r\n{head}Content-Length: 0\r\n\r\n")
        }
        Step::NotRun => {
            let head = "HTTP/1.1 503 Full\r\ntrefoildyke-not-run: 1\r\n";
            format!("{head}Content-Length: 0\r\n\r\n")
        }
        Step::Stream => format!(
            "HTTP/1.1 200 OK\r\n{head}Content-Type: text/event-stream\r\n\
             Transfer-Encoding: chunked\r\n\r\n"
        ),
        Step::Events(events) => format!("{:x}\r\n{events}\r\n", events.len()),
        Step::EndStream => "0\r\n\r\n".to_owned(),
        Step::Raw(bytes) => bytes.replace("{id}", id),
        Step::Pause(length) => {
            thread::sleep(*length);
            return true;
        }
        Step::Hold | Step::Endless(_) | Step::Trickle(..) => return true,
        Step::AwaitClose => {
            let _ = std::io::copy(stream, &mut std::io::sink());
            return false;
        }
        Step::Close => return false,
        Step::Reset => {
            let socket = socket2::SockRef::from(&*stream);
            socket.set_linger(Some(time::Duration::ZERO)).unwrap();
            return false;
        }
    };
    stream.write_all(text.as_bytes()).is_ok()
}

/// The least number of bytes that are written at once without end.
const ENDLESS_BLOCK: usize = 16 << 10;

/// Writes `bytes` until the connection ends.
fn send_endless(stream: &mut net::TcpStream, bytes: &str, written: &sync::atomic::AtomicUsize) {
    let block = bytes.repeat(ENDLESS_BLOCK.div_ceil(bytes.len()));
    let mut rest = block.as_bytes();
    while let Ok(length @ 1..) = stream.write(rest) {
        written.fetch_add(length, sync::atomic::Ordering::Relaxed);
        rest = &rest[length..];
        if rest.is_empty() {
            rest = block.as_bytes();
        }
    }
}

/// Writes `bytes` with a pause before each until the connection ends.
fn trickle(
    stream: &mut net::TcpStream,
    bytes: &str,
    pause: time::Duration,
    written: &sync::atomic::AtomicUsize,
) {
    loop {
        thread::sleep(pause);
        if stream.write_all(bytes.as_bytes()).is_err() {
            return;
        }
        written.fetch_add(bytes.len(), sync::atomic::Ordering::Relaxed);
    }
}

pub(super) fn read_request(stream: &mut net::TcpStream) -> Option<String> {
    let mut bytes = Vec::new();
    let mut buffer = [0; 4096];
    loop {
        let text = String::from_utf8_lossy(&bytes).into_owned();
        if let Some((head, body)) = text.split_once("\r\n\r\n") {
            let length = header(head, "content-length").parse().unwrap_or(0);
            if body.len() >= length {
                return Some(text);
            }
        }
        match stream.read(&mut buffer) {
            Ok(0) | Err(_) => return None,
            Ok(length) => bytes.extend_from_slice(&buffer[..length]),
        }
    }
}

/// Returns a header's value, empty if it is missing.
pub(super) fn header(request: &str, name: &str) -> String {
    let mut lines = request.lines().take_while(|line| !line.is_empty());
    let value = lines.find_map(|line| {
        let (key, value) = line.split_once(':')?;
        key.eq_ignore_ascii_case(name).then(|| value.trim().to_owned())
    });
    value.unwrap_or_default()
}
