//! A client of the platform.

use std::io::Write as _;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::deployment::Record;
use crate::http::{self, Reader};

/// One request.
#[derive(Clone)]
pub struct Request {
    pub id: String,
    pub method: &'static str,
    pub path: &'static str,
    pub headers: Vec<(&'static str, String)>,
    pub body: Vec<u8>,
    pub deadline: Duration,
}

/// What came of a request.
#[derive(Clone, Debug, Default)]
pub struct Answer {
    pub status: u16,
    pub is_sealed: bool,
    pub seal: String,
    pub body: Vec<u8>,
    /// Whether the answer ended as the protocol says that a whole one ends.
    pub is_whole: bool,
    pub framing: String,
    /// What came after the answer.
    pub beyond: Vec<u8>,
    /// Whether the time was up.
    pub gave_up: bool,
}

impl Answer {
    pub fn events(&self) -> Vec<Vec<String>> {
        let text = String::from_utf8_lossy(&self.body).into_owned();
        let data = text.lines().filter_map(|line| line.strip_prefix("data: "));
        data.map(|line| line.split(' ').map(str::to_owned).collect()).collect()
    }
}

/// A kept connection to a gateway.
pub struct Connection {
    reader: Reader,
}

impl Connection {
    pub fn open(address: SocketAddr) -> Option<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
        stream.set_nodelay(true).ok()?;
        Some(Self { reader: Reader::new(stream) })
    }

    /// Sends a request and reads its answer; `progress` counts the bytes of the body meanwhile.
    pub fn ask(
        &mut self,
        record: &Record,
        request: &Request,
        progress: &Arc<AtomicUsize>,
    ) -> Answer {
        let mut answer = Answer::default();
        let end = Instant::now() + request.deadline;
        let mut text = format!(
            "{} {} HTTP/1.1\r\nHost: ficu95.example\r\nAttempt-Id: {}\r\nDeadline-Ms: {}\r\nContent-Length: {}\r\n",
            request.method,
            request.path,
            request.id,
            request.deadline.as_millis(),
            request.body.len()
        );
        for (name, value) in &request.headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        text.push_str("\r\n");
        record.write(&format!(
            "client sends {} {} {} body={}",
            request.id,
            request.method,
            request.path,
            request.body.len()
        ));
        let stream = &mut self.reader.stream;
        let _ = stream.set_read_timeout(Some(request.deadline));
        if stream.write_all(text.as_bytes()).and_then(|()| stream.write_all(&request.body)).is_err()
        {
            record
                .write(&format!("client {}: the connection was closed while it sent", request.id));
        }
        let head = loop {
            match self.reader.head() {
                Ok(Some(head)) if (100..200).contains(&head.status()) => {}
                Ok(Some(head)) => break head,
                Ok(None) | Err(_) => {
                    answer.gave_up = Instant::now() >= end;
                    record.write(&format!(
                        "client {}: no answer, {}",
                        request.id,
                        if answer.gave_up { "time is up" } else { "connection closed" }
                    ));
                    return answer;
                }
            }
        };
        answer.status = head.status();
        answer.seal = head.get("response-seal").unwrap_or("").to_owned();
        answer.is_sealed = !answer.seal.is_empty();
        let framing = http::answer_framing(&head);
        answer.framing = format!("{framing:?}");
        let stream = self.reader.stream.try_clone();
        answer.is_whole = self.reader.body(framing, &mut answer.body, |body| {
            progress.store(body.len(), Ordering::Relaxed);
            if let Ok(stream) = &stream {
                let left =
                    end.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
                let _ = stream.set_read_timeout(Some(left));
            }
        });
        answer.gave_up = !answer.is_whole && Instant::now() >= end;
        if answer.is_whole {
            // An answer that is whole has nothing behind it.
            let _ = self.reader.stream.set_read_timeout(Some(Duration::from_millis(20)));
            let _ = self.reader.fill();
            answer.beyond = self.reader.rest().to_vec();
        }
        record.write(&format!(
            "client {} got {} {} seal={} body={} whole={} beyond={} gave_up={}",
            request.id,
            answer.status,
            answer.framing,
            answer.seal,
            answer.body.len(),
            answer.is_whole,
            answer.beyond.len(),
            answer.gave_up
        ));
        answer
    }
}
