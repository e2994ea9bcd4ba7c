//! A model engine that crashes when it begins to write an answer on a prompt with a certain part.

use std::io::Write as _;
use std::{net, sync, thread, time};

use super::endpoint::{header, read_request};

/// The time from the head of an answer to the crash.
const CRASH_DELAY: time::Duration = time::Duration::from_millis(30);

/// The events of a whole answer, and the pause between two of them.
const EVENTS: usize = 5;
const EVENT_PAUSE: time::Duration = time::Duration::from_millis(20);

/// A running engine; it ends with the test process, or by a crash.
pub(crate) struct Engine {
    pub(crate) address: net::SocketAddr,
    state: sync::Arc<sync::Mutex<State>>,
}

#[derive(Default)]
struct State {
    crashed: bool,
    /// When a request with the part that crashes the engine arrived.
    harmful: Vec<time::Instant>,
    connections: Vec<net::TcpStream>,
}

impl Engine {
    /// Starts an engine that crashes on prompts in which `part` stands anywhere but last.
    pub(crate) fn start(part: &'static str) -> Self {
        let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let state = sync::Arc::<sync::Mutex<State>>::default();
        let shared = state.clone();
        thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let mut state = shared.lock().unwrap();
                if state.crashed {
                    return;
                }
                state.connections.push(stream.try_clone().unwrap());
                drop(state);
                let shared = shared.clone();
                thread::spawn(move || serve(stream, &shared, part));
            }
        });
        Self { address, state }
    }

    /// Crashes the engine, whatever it runs.
    pub(crate) fn kill(&self) {
        crash(&self.state, self.address);
    }

    pub(crate) fn has_crashed(&self) -> bool {
        self.state.lock().unwrap().crashed
    }

    /// Returns when the requests with the part that crashes the engine arrived.
    pub(crate) fn harmful_arrivals(&self) -> Vec<time::Instant> {
        self.state.lock().unwrap().harmful.clone()
    }
}

fn serve(mut stream: net::TcpStream, state: &sync::Mutex<State>, part: &str) {
    while let Some(request) = read_request(&mut stream) {
        let is_harmful = shared_parts(&request).iter().any(|found| found == part);
        if is_harmful {
            state.lock().unwrap().harmful.push(time::Instant::now());
        }
        let id = header(&request, "trefoildyke-request-id");
        let head = format!(
            "HTTP/1.1 200 OK\r\ntrefoildyke-request-id: {id}\r\ntrefoildyke-seal: sealed-{id}\r\n\
             Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).is_err() {
            return;
        }
        if is_harmful {
            thread::sleep(CRASH_DELAY);
            crash(state, stream.local_addr().unwrap());
            return;
        }
        for number in 0..EVENTS {
            thread::sleep(EVENT_PAUSE);
            let event = format!("id: {number}\ndata: x\n\n");
            if write!(stream, "{:x}\r\n{event}\r\n", event.len()).is_err() {
                return;
            }
        }
        if stream.write_all(b"0\r\n\r\n").is_err() {
            return;
        }
    }
}

/// Ends all connections and the listener of the engine.
fn crash(state: &sync::Mutex<State>, address: net::SocketAddr) {
    let mut state = state.lock().unwrap();
    if std::mem::replace(&mut state.crashed, true) {
        return;
    }
    for connection in state.connections.drain(..) {
        let _ = connection.shutdown(net::Shutdown::Both);
    }
    drop(state);
    // Wakes the thread that accepts connections, which then closes the listener.
    let _ = net::TcpStream::connect(address);
}

/// Returns the ids of all parts of the prompt but the last one.
fn shared_parts(request: &str) -> Vec<String> {
    let parts = header(request, "trefoildyke-prompt-parts");
    let Some((shared, _)) = parts.rsplit_once(',') else { return Vec::new() };
    let id = |part: &str| part.split_once(':').map_or(part, |(id, _)| id).to_owned();
    shared.split(',').map(id).collect()
}
