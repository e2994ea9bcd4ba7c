//! A caller that sends raw bytes and reads answers as they come.

use std::{io::Read as _, io::Write as _, net, time};

/// A connection to a gateway.
pub(crate) struct Caller {
    stream: net::TcpStream,
    unread: Vec<u8>,
}

/// An answer as the caller received it.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the answer was complete by its framing.
    pub(crate) is_complete: bool,
}

impl Reply {
    pub(crate) fn header(&self, name: &str) -> Option<&str> {
        let line = |line: &'_ str| line.to_ascii_lowercase().starts_with(&format!("{name}:"));
        self.head
            .lines()
            .find(|text| line(text))
            .and_then(|text| text.split_once(": "))
            .map(|x| x.1)
    }
}

impl Caller {
    pub(crate) fn connect(address: net::SocketAddr) -> Self {
        let stream = net::TcpStream::connect(address).unwrap();
        stream.set_read_timeout(Some(time::Duration::from_secs(10))).unwrap();
        Self { stream, unread: Vec::new() }
    }

    /// Sets the timeout of each read.
    pub(crate) fn set_timeout(&self, length: time::Duration) {
        self.stream.set_read_timeout(Some(length)).unwrap();
    }

    /// Sends bytes to a gateway that may close the connection before it has read all; returns whether it
    /// has taken them.
    pub(crate) fn try_write(&mut self, bytes: &str) -> bool {
        self.stream.write_all(bytes.as_bytes()).is_ok()
    }

    pub(crate) fn write(&mut self, bytes: &str) {
        self.stream.write_all(bytes.as_bytes()).unwrap();
    }

    /// Sends one request.
    pub(crate) fn send(&mut self, line: &str, headers: &[(&str, &str)], body: &str) {
        let mut text = format!("{line} HTTP/1.1\r\nHost: claims.example\r\n");
        for (name, value) in headers {
            text.push_str(&format!("{name}: {value}\r\n"));
        }
        if !body.is_empty() {
            text.push_str(&format!("Content-Length: {}\r\n", body.len()));
        }
        self.write(&format!("{text}\r\n{body}"));
    }

    /// Reads one answer; `None` if the connection ended or timed out without one.
    pub(crate) fn read_reply(&mut self) -> Option<Reply> {
        let mut reply = self.read_head()?;
        if reply.header("transfer-encoding").is_some() {
            self.read_chunked(&mut reply);
        } else {
            self.read_sized(&mut reply);
        }
        Some(reply)
    }

    /// Reads one answer that states its length; returns the bytes of its body.
    pub(crate) fn read_body(&mut self) -> Vec<u8> {
        let reply = self.read_head().unwrap();
        let length = reply.header("content-length").unwrap().parse().unwrap();
        while self.unread.len() < length && self.read_more() {}
        self.unread.drain(..length).collect()
    }

    fn read_head(&mut self) -> Option<Reply> {
        let end = loop {
            if let Some(end) = find(&self.unread, b"\r\n\r\n") {
                break end;
            }
            if !self.read_more() {
                return None;
            }
        };
        let head = String::from_utf8_lossy(&self.unread[..end]).into_owned();
        self.unread.drain(..end + 4);
        let status = head.split(' ').nth(1)?.parse().ok()?;
        Some(Reply { status, head, body: String::new(), is_complete: false })
    }

    /// Reads until the first event of a stream is complete; returns what was read.
    pub(crate) fn read_first_event(&mut self) -> String {
        while find(&self.unread, b"\n\n").is_none() {
            if !self.read_more() {
                break;
            }
        }
        String::from_utf8_lossy(&self.unread).into_owned()
    }

    /// Returns whether the gateway closes the connection without sending another byte.
    pub(crate) fn is_closed(&mut self) -> bool {
        let mut byte = [0];
        matches!(self.stream.read(&mut byte), Ok(0))
    }

    fn read_sized(&mut self, reply: &mut Reply) {
        let length = reply.header("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        while self.unread.len() < length && self.read_more() {}
        reply.is_complete = self.unread.len() >= length;
        let length = length.min(self.unread.len());
        reply.body = String::from_utf8_lossy(&self.unread[..length]).into_owned();
        self.unread.drain(..length);
    }

    fn read_chunked(&mut self, reply: &mut Reply) {
        loop {
            let Some(line) = self.read_line() else { return };
            let Ok(size) = usize::from_str_radix(line.trim(), 16) else { return };
            while self.unread.len() < size + 2 {
                if !self.read_more() {
                    return;
                }
            }
            reply.body.push_str(&String::from_utf8_lossy(&self.unread[..size]));
            self.unread.drain(..size + 2);
            if size == 0 {
                reply.is_complete = true;
                return;
            }
        }
    }

    fn read_line(&mut self) -> Option<String> {
        loop {
            if let Some(end) = find(&self.unread, b"\r\n") {
                let line = String::from_utf8_lossy(&self.unread[..end]).into_owned();
                self.unread.drain(..end + 2);
                return Some(line);
            }
            if !self.read_more() {
                return None;
            }
        }
    }

    fn read_more(&mut self) -> bool {
        let mut buffer = [0; 4096];
        match self.stream.read(&mut buffer) {
            Ok(0) | Err(_) => false,
            Ok(length) => {
                self.unread.extend_from_slice(&buffer[..length]);
                true
            }
        }
    }
}

fn find(bytes: &[u8], part: &[u8]) -> Option<usize> {
    bytes.windows(part.len()).position(|window| window == part)
}
