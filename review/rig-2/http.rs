//! HTTP/1.1 messages as the stand-ins read and write them.

use std::io::{self, BufRead};

/// The head of a message.
#[derive(Clone, Debug, Default)]
pub struct Head {
    pub first: String,
    pub fields: Vec<(String, String)>,
}

impl Head {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        self.first.split(' ').nth(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(stream: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if stream.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() {
            if head.first.is_empty() {
                continue;
            }
            return Ok(Some(head));
        }
        if head.first.is_empty() {
            head.first = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            head.fields.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads one chunk; `None` after the last one.
pub fn read_chunk(stream: &mut impl BufRead) -> io::Result<Option<Vec<u8>>> {
    let mut line = String::new();
    if stream.read_line(&mut line)? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    let size = line.trim_end().split(';').next().unwrap_or_default();
    let size = usize::from_str_radix(size, 16).map_err(|_| io::ErrorKind::InvalidData)?;
    let mut chunk = vec![0; size + 2];
    stream.read_exact(&mut chunk)?;
    chunk.truncate(size);
    Ok((size > 0).then_some(chunk))
}

/// Reads the body of a message; returns what came and whether it was whole.
pub fn read_body(stream: &mut impl BufRead, head: &Head) -> (Vec<u8>, bool) {
    read_body_until(stream, head, None)
}

/// Does the same, but stops after the first chunk that comes after `end`.
pub fn read_body_until(
    stream: &mut impl BufRead,
    head: &Head,
    end: Option<std::time::Instant>,
) -> (Vec<u8>, bool) {
    let mut body = Vec::new();
    if head.field("transfer-encoding").is_some() {
        loop {
            if end.is_some_and(|end| std::time::Instant::now() >= end) {
                return (body, false);
            }
            match read_chunk(stream) {
                Ok(Some(chunk)) => body.extend(chunk),
                Ok(None) => return (body, true),
                Err(_) => return (body, false),
            }
        }
    }
    let length = head.field("content-length").and_then(|length| length.parse().ok());
    body.resize(length.unwrap_or(0), 0);
    let is_whole = stream.read_exact(&mut body).is_ok();
    (body, is_whole)
}

/// Decodes the escapes of a query.
pub fn unescape(text: &str) -> String {
    let bytes = text.as_bytes();
    let (mut out, mut at) = (Vec::new(), 0);
    while at < bytes.len() {
        let digits = bytes.get(at + 1..at + 3).and_then(|digits| std::str::from_utf8(digits).ok());
        let code = digits.and_then(|digits| u8::from_str_radix(digits, 16).ok());
        match (bytes[at], code) {
            (b'%', Some(code)) => {
                out.push(code);
                at += 3;
            }
            (byte, _) => {
                out.push(byte);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&out).into_owned()
}

/// Returns a parameter of a request's query.
pub fn parameter(target: &str, name: &str) -> Option<String> {
    let query = target.split_once('?')?.1;
    let mut parameters = query.split('&').filter_map(|part| part.split_once('='));
    parameters.find(|(known, _)| *known == name).map(|(_, value)| unescape(value))
}
