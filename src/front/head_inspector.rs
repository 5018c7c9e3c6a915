//! Inspects the raw bytes of an HTTP/1.1 connection for heads that two parsers
//! may read differently.
//!
//! hyper follows RFC 9112 where that lets a server repair a request: it drops
//! `Content-Length` beside `Transfer-Encoding` and takes a bare line feed for a
//! line ending. A parser in front of this entry may choose otherwise, so such
//! requests are refused instead.

use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};

/// Bytes of a line that are kept; names and values of framing headers are shorter.
const KEPT_LINE_BYTES: usize = 128;

/// Whether a connection has carried an ambiguous head.
#[derive(Clone, Debug, Default)]
pub(super) struct AmbiguityFlag(Arc<AtomicBool>);

impl AmbiguityFlag {
    pub(super) fn is_ambiguous(&self) -> bool {
        self.0.load(Ordering::Acquire)
    }

    fn set_ambiguous(&self) {
        self.0.store(true, Ordering::Release);
    }
}

/// Part of a message that the next byte belongs to.
#[derive(Clone, Copy, Debug)]
enum MessagePart {
    Head,
    Body(u64),
    ChunkSize,
    Chunk(u64),
    Trailers,
}

/// Follows the framing of the requests on one connection.
#[derive(Debug)]
pub(super) struct HeadInspector {
    verdict: AmbiguityFlag,
    part: MessagePart,
    line: Vec<u8>,
    length: Option<u64>,
    chunked: bool,
}

impl HeadInspector {
    pub(super) fn new(verdict: AmbiguityFlag) -> Self {
        Self { verdict, part: MessagePart::Head, line: Vec::new(), length: None, chunked: false }
    }

    /// Takes the next bytes of the connection.
    pub(super) fn inspect(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.part {
                MessagePart::Body(left) => {
                    let (rest, left) = skip(bytes, left);
                    bytes = rest;
                    self.part = if left == 0 { MessagePart::Head } else { MessagePart::Body(left) };
                }
                MessagePart::Chunk(left) => {
                    let (rest, left) = skip(bytes, left);
                    bytes = rest;
                    self.part =
                        if left == 0 { MessagePart::ChunkSize } else { MessagePart::Chunk(left) };
                }
                _ => bytes = self.read_line(bytes),
            }
        }
    }

    /// Reads up to the end of the present line and returns the rest.
    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let part = &bytes[..end.unwrap_or(bytes.len())];
        // The last byte is always kept, to tell CRLF from a bare line feed.
        let last = part.last().copied();
        let room = KEPT_LINE_BYTES.saturating_sub(self.line.len());
        self.line.extend_from_slice(&part[..part.len().min(room)]);
        if part.len() > room
            && let (Some(kept), Some(last)) = (self.line.last_mut(), last)
        {
            *kept = last;
        }
        let Some(end) = end else { return &[] };
        let mut line = std::mem::take(&mut self.line);
        if line.pop_if(|byte| *byte == b'\r').is_none() {
            self.verdict.set_ambiguous();
        }
        self.take_line(&line);
        line.clear();
        self.line = line;
        &bytes[end + 1..]
    }

    fn take_line(&mut self, line: &[u8]) {
        match self.part {
            MessagePart::Head if line.is_empty() => self.end_head(),
            MessagePart::Head => self.take_header(line),
            MessagePart::ChunkSize => {
                let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
                let size = std::str::from_utf8(size.trim_ascii()).unwrap_or_default();
                self.part = match u64::from_str_radix(size, 16) {
                    Ok(0) => MessagePart::Trailers,
                    // The line ending after the chunk is skipped with it.
                    Ok(size) => MessagePart::Chunk(size.saturating_add(2)),
                    // hyper refuses the chunk and closes the connection.
                    Err(_) => MessagePart::Body(u64::MAX),
                };
            }
            MessagePart::Trailers if line.is_empty() => self.part = MessagePart::Head,
            _ => {}
        }
    }

    fn take_header(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { return };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            // A coding that this entry does not decode would be lost on the way.
            if self.chunked || !value.eq_ignore_ascii_case(b"chunked") {
                self.verdict.set_ambiguous();
            }
            self.chunked = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            let length = std::str::from_utf8(value).ok().and_then(|value| value.parse().ok());
            if length.is_none() || self.length.is_some_and(|known| Some(known) != length) {
                self.verdict.set_ambiguous();
            }
            self.length = length;
        }
    }

    fn end_head(&mut self) {
        if self.chunked && self.length.is_some() {
            self.verdict.set_ambiguous();
        }
        self.part = match (std::mem::take(&mut self.chunked), self.length.take()) {
            (true, _) => MessagePart::ChunkSize,
            (false, Some(length)) if length > 0 => MessagePart::Body(length),
            (false, _) => MessagePart::Head,
        };
    }
}

/// Skips up to `left` bytes and returns the rest and what is still to skip.
fn skip(bytes: &[u8], left: u64) -> (&[u8], u64) {
    let skipped = (bytes.len() as u64).min(left);
    (&bytes[skipped as usize..], left - skipped)
}
