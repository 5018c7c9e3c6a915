//! Reads and writes HTTP/1.1 messages on blocking sockets.

use std::io::{Read, Write};
use std::net::TcpStream;

/// A message: its first line, headers with names in lower case, and body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| value.as_str())
    }

    /// Returns the method and target of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.line.split(' ');
        (words.next().unwrap_or_default(), words.next().unwrap_or_default())
    }

    /// Returns the status of a response, or 0.
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|text| text.parse().ok()).unwrap_or(0)
    }
}

/// One side of a connection, with bytes that were read beyond the last message.
pub struct Connection {
    pub stream: TcpStream,
    rest: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> Self {
        let _ = stream.set_nodelay(true);
        Self { stream, rest: Vec::new() }
    }

    fn fill(&mut self) -> Option<()> {
        let mut part = [0; 16384];
        match self.stream.read(&mut part) {
            Ok(0) | Err(_) => None,
            Ok(length) => {
                self.rest.extend(&part[..length]);
                Some(())
            }
        }
    }

    /// Reads the head of a message, or returns `None` when the connection ends.
    pub fn read_head(&mut self) -> Option<Message> {
        loop {
            if let Some(end) = find(&self.rest, b"\r\n\r\n") {
                let head = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                self.rest.drain(..end + 4);
                let mut lines = head.split("\r\n");
                let line = lines.next().unwrap_or_default().to_owned();
                let headers = lines.filter_map(|line| line.split_once(':'));
                let headers = headers
                    .map(|(name, value)| (name.to_ascii_lowercase(), value.trim().to_owned()))
                    .collect();
                return Some(Message { line, headers, body: Vec::new() });
            }
            self.fill()?;
        }
    }

    /// Reads the body of a message.
    pub fn read_body(&mut self, message: &mut Message) -> Option<()> {
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if chunked {
            loop {
                let end = loop {
                    match find(&self.rest, b"\r\n") {
                        Some(end) => break end,
                        None => self.fill()?,
                    }
                };
                let size = String::from_utf8_lossy(&self.rest[..end]).into_owned();
                let size = usize::from_str_radix(size.split(';').next()?.trim(), 16).ok()?;
                self.rest.drain(..end + 2);
                while self.rest.len() < size + 2 {
                    self.fill()?;
                }
                message.body.extend(self.rest.drain(..size));
                self.rest.drain(..2);
                if size == 0 {
                    return Some(());
                }
            }
        }
        let length = message.header("content-length").and_then(|text| text.parse().ok());
        let length: usize = length.unwrap_or(0);
        while self.rest.len() < length {
            self.fill()?;
        }
        message.body.extend(self.rest.drain(..length));
        Some(())
    }

    /// Reads a whole message.
    pub fn read(&mut self) -> Option<Message> {
        let mut message = self.read_head()?;
        self.read_body(&mut message)?;
        Some(message)
    }

    /// Writes a response.
    pub fn respond(&mut self, status: u16, headers: &[(&str, &str)], body: &[u8]) -> Option<()> {
        let mut bytes = format!("HTTP/1.1 {status} Status\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend(format!("{name}: {value}\r\n").bytes());
        }
        bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
        bytes.extend(body);
        self.stream.write_all(&bytes).ok()
    }

    /// Returns `true` if the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let mut byte = [0; 1];
        let closed = match self.stream.peek(&mut byte) {
            Ok(0) => true,
            Ok(_) => false,
            Err(error) => error.kind() != std::io::ErrorKind::WouldBlock,
        };
        let _ = self.stream.set_nonblocking(false);
        closed
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}
