//! The parts of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// Head of a request or response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// First line.
    pub line: String,
    /// Headers in their order, names in lower case.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the first value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(known, _)| known == name).map(|(_, value)| &**value)
    }

    /// Returns a part of the first line.
    pub fn word(&self, position: usize) -> &str {
        self.line.split(' ').nth(position).unwrap_or_default()
    }

    /// Returns the status of a response.
    pub fn status(&self) -> u16 {
        self.word(1).parse().unwrap_or_default()
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding").is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    }
}

/// Reads a head. Returns `None` if the connection ends before it.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = Vec::new();
        if reader.read_until(b'\n', &mut line)? == 0 {
            return if head.line.is_empty() { Ok(None) } else { Err(ended()) };
        }
        let line = String::from_utf8_lossy(&line).trim_end().to_owned();
        if head.line.is_empty() {
            head.line = line;
        } else if line.is_empty() {
            return Ok(Some(head));
        } else if let Some((name, value)) = line.split_once(':') {
            head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
        }
    }
}

/// Reads the body of a request, or of a response with a length or in chunks.
pub fn read_body(reader: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    if !head.is_chunked() {
        let length = head.get("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        let mut body = vec![0; length];
        reader.read_exact(&mut body)?;
        return Ok(body);
    }
    let mut body = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(ended());
        }
        let size = line.trim().split(';').next().unwrap_or_default();
        let size = usize::from_str_radix(size, 16).map_err(|_| ended())?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(body);
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}
