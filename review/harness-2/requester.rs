//! Requesters.

use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use crate::http::{Head, read_body, read_head};

/// Number of the next request.
static NEXT: AtomicU64 = AtomicU64::new(1);

/// Returns an identifier that no other request has.
pub fn next_id() -> String {
    format!("{:016x}", NEXT.fetch_add(1, Ordering::Relaxed) * 0x9e37_79b9_7f4a_7c15 | 1)
}

/// A connection of a requester.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

/// Answer to a request.
#[derive(Clone, Debug)]
pub struct Answer {
    pub head: Head,
    pub body: Vec<u8>,
}

impl Connection {
    /// Opens a connection within one second.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        Ok(Self { reader: BufReader::new(stream) })
    }

    /// Sends bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.reader.get_mut().write_all(bytes)
    }

    /// Reads an answer. Fails if the connection ends before it is complete.
    pub fn answer(&mut self, limit: Duration) -> io::Result<Answer> {
        self.reader.get_ref().set_read_timeout(Some(limit))?;
        let head = read_head(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let body = read_body(&mut self.reader, &head)?;
        Ok(Answer { head, body })
    }
}
