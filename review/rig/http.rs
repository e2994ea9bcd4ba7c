//! HTTP/1.1 on plain sockets, for the stand-ins and the clients.

use std::io::{self, Read as _, Write as _};
use std::net::TcpStream;

/// A first line and the headers.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub line: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// The status of an answer; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }

    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
}

/// How the body of a message is framed.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Framing {
    Length(usize),
    Chunks,
    Close,
}

/// A buffered reader of one connection.
pub struct Reader {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self { stream, buffer: Vec::new() }
    }

    /// Returns what was received beyond the messages that were read.
    pub fn rest(&self) -> &[u8] {
        &self.buffer
    }

    /// Reads more; returns whether there was any.
    pub fn fill(&mut self) -> io::Result<bool> {
        let mut part = [0; 16 << 10];
        let length = self.stream.read(&mut part)?;
        self.buffer.extend_from_slice(&part[..length]);
        Ok(length > 0)
    }

    /// Reads a head; `None` at the end of the connection.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = self.buffer.windows(4).position(|part| part == b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                let mut lines = text.split("\r\n");
                let line = lines.next().unwrap_or("").to_owned();
                let split = |line: &str| {
                    let (name, value) = line.split_once(':')?;
                    Some((name.trim().to_owned(), value.trim().to_owned()))
                };
                return Ok(Some(Head { line, headers: lines.filter_map(split).collect() }));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a line without its end.
    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buffer.windows(2).position(|part| part == b"\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(text);
            }
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
    }

    fn exact(&mut self, length: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    /// Reads a body into `body` and calls `each` after each part. Returns whether the body is whole.
    pub fn body(
        &mut self,
        framing: Framing,
        body: &mut Vec<u8>,
        mut each: impl FnMut(&[u8]),
    ) -> bool {
        match framing {
            Framing::Length(length) => {
                while body.len() < length {
                    if self.buffer.is_empty() && !matches!(self.fill(), Ok(true)) {
                        return false;
                    }
                    let part = self.buffer.len().min(length - body.len());
                    body.extend(self.buffer.drain(..part));
                    each(body);
                }
                true
            }
            Framing::Chunks => loop {
                let Ok(line) = self.line() else { return false };
                let size = line.split(';').next().unwrap_or("").trim();
                let Ok(size) = usize::from_str_radix(size, 16) else { return false };
                if size == 0 {
                    return matches!(self.line().as_deref(), Ok(""));
                }
                let Ok(part) = self.exact(size) else { return false };
                body.extend(part);
                each(body);
                if !matches!(self.line().as_deref(), Ok("")) {
                    return false;
                }
            },
            Framing::Close => loop {
                body.append(&mut self.buffer);
                each(body);
                match self.fill() {
                    Ok(true) => {}
                    Ok(false) => return true,
                    Err(_) => return false,
                }
            },
        }
    }
}

/// The framing of a request's body.
pub fn request_framing(head: &Head) -> Framing {
    if head.get("transfer-encoding").is_some() {
        return Framing::Chunks;
    }
    Framing::Length(head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0))
}

/// The framing of an answer's body.
pub fn answer_framing(head: &Head) -> Framing {
    if head.get("transfer-encoding").is_some() {
        return Framing::Chunks;
    }
    let length = head.get("content-length").and_then(|text| text.parse().ok());
    length.map_or(Framing::Close, Framing::Length)
}

/// Writes an answer with a length.
pub fn answer(
    stream: &mut TcpStream,
    status: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut text = format!("HTTP/1.1 {status}\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        text.push_str(&format!("{name}: {value}\r\n"));
    }
    text.push_str("\r\n");
    let mut bytes = text.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}
