//! Detects request smuggling: inspects the raw bytes of an HTTP/1.1 connection for heads
//! that two parsers may read differently.
//!
//! hyper repairs a request where RFC 9112 allows it: it drops `Content-Length` next to
//! `Transfer-Encoding` and accepts a bare line feed as a line ending. A parser in front of
//! this entry may do otherwise, so such requests are refused.

use std::sync::Arc;

use zinniaport_core::clock::ClockSource;

use super::request_log::RequestLog;

/// Maximum number of bytes kept of a line. Framing headers are shorter.
const MAX_LINE_BYTES: usize = 128;

/// Part of a message that the next byte belongs to, with the number of bytes left of a body or
/// chunk.
#[derive(Clone, Copy, Debug)]
enum MessagePart {
    Head,
    Body(u64),
    ChunkSize,
    Chunk(u64),
    Trailers,
}

/// Follows the framing of the requests on one connection.
pub(super) struct HeadInspector {
    log: RequestLog,
    clock: Arc<dyn ClockSource>,
    part: MessagePart,
    line: Vec<u8>,
    /// Whether a line of the current head was read. Empty lines before a head belong to no
    /// request (RFC 9112, 2.2).
    in_head: bool,
    /// Number of complete heads.
    heads: u64,
    length: Option<u64>,
    chunked: bool,
}

impl HeadInspector {
    /// Creates an inspector that records what it finds in `log`.
    pub(super) fn new(log: RequestLog, clock: Arc<dyn ClockSource>) -> Self {
        Self {
            log,
            clock,
            part: MessagePart::Head,
            line: Vec::new(),
            in_head: false,
            heads: 0,
            length: None,
            chunked: false,
        }
    }

    /// Records that the request which the current line belongs to is ambiguous.
    fn record_ambiguity(&self) {
        let is_head = matches!(self.part, MessagePart::Head);
        self.log.record_ambiguity(if is_head { self.heads } else { self.heads - 1 });
    }

    /// Inspects the next bytes of the connection.
    pub(super) fn inspect(&mut self, mut bytes: &[u8]) {
        while !bytes.is_empty() {
            match self.part {
                MessagePart::Body(remaining) => {
                    let (rest, remaining) = skip(bytes, remaining);
                    bytes = rest;
                    self.part = if remaining == 0 {
                        MessagePart::Head
                    } else {
                        MessagePart::Body(remaining)
                    };
                }
                MessagePart::Chunk(remaining) => {
                    let (rest, remaining) = skip(bytes, remaining);
                    bytes = rest;
                    self.part = if remaining == 0 {
                        MessagePart::ChunkSize
                    } else {
                        MessagePart::Chunk(remaining)
                    };
                }
                _ => bytes = self.read_line(bytes),
            }
        }
    }

    /// Reads up to the end of the current line and returns the remaining bytes.
    fn read_line<'a>(&mut self, bytes: &'a [u8]) -> &'a [u8] {
        let end = bytes.iter().position(|byte| *byte == b'\n');
        let part = &bytes[..end.unwrap_or(bytes.len())];
        // The last byte is always kept, to tell CRLF from a bare line feed.
        let last = part.last().copied();
        let free = MAX_LINE_BYTES.saturating_sub(self.line.len());
        self.line.extend_from_slice(&part[..part.len().min(free)]);
        if part.len() > free
            && let (Some(kept), Some(last)) = (self.line.last_mut(), last)
        {
            *kept = last;
        }
        let Some(end) = end else { return &[] };
        let mut line = std::mem::take(&mut self.line);
        if line.pop_if(|byte| *byte == b'\r').is_none() {
            self.record_ambiguity();
        }
        self.handle_line(&line);
        line.clear();
        self.line = line;
        &bytes[end + 1..]
    }

    fn handle_line(&mut self, line: &[u8]) {
        match self.part {
            MessagePart::Head if line.is_empty() && !self.in_head => {}
            MessagePart::Head if line.is_empty() => self.end_head(),
            MessagePart::Head => {
                self.in_head = true;
                self.handle_header(line);
            }
            MessagePart::ChunkSize => {
                let size = line.split(|byte| *byte == b';').next().unwrap_or_default();
                let size = std::str::from_utf8(size.trim_ascii()).unwrap_or_default();
                self.part = match u64::from_str_radix(size, 16) {
                    Ok(0) => MessagePart::Trailers,
                    // Includes the line ending after the chunk.
                    Ok(size) => MessagePart::Chunk(size.saturating_add(2)),
                    // hyper refuses the chunk and closes the connection, so the rest is skipped.
                    Err(_) => MessagePart::Body(u64::MAX),
                };
            }
            MessagePart::Trailers if line.is_empty() => self.part = MessagePart::Head,
            _ => {}
        }
    }

    fn handle_header(&mut self, line: &[u8]) {
        let Some(colon) = line.iter().position(|byte| *byte == b':') else { return };
        let (name, value) = (line[..colon].trim_ascii(), line[colon + 1..].trim_ascii());
        if name.eq_ignore_ascii_case(b"transfer-encoding") {
            // The entry does not forward this header, so a target would not learn of a coding
            // that the entry does not decode.
            if self.chunked || !value.eq_ignore_ascii_case(b"chunked") {
                self.record_ambiguity();
            }
            self.chunked = true;
        } else if name.eq_ignore_ascii_case(b"content-length") {
            let length = std::str::from_utf8(value).ok().and_then(|value| value.parse().ok());
            if length.is_none() || self.length.is_some_and(|known| Some(known) != length) {
                self.record_ambiguity();
            }
            self.length = length;
        }
    }

    fn end_head(&mut self) {
        if self.chunked && self.length.is_some() {
            self.record_ambiguity();
        }
        self.log.record_head(self.clock.now());
        self.in_head = false;
        self.heads += 1;
        self.part = match (std::mem::take(&mut self.chunked), self.length.take()) {
            (true, _) => MessagePart::ChunkSize,
            (false, Some(length)) if length > 0 => MessagePart::Body(length),
            (false, _) => MessagePart::Head,
        };
    }
}

/// Skips up to `remaining` bytes. Returns the rest of `bytes` and the number of bytes still to
/// skip.
fn skip(bytes: &[u8], remaining: u64) -> (&[u8], u64) {
    let skipped = (bytes.len() as u64).min(remaining);
    (&bytes[skipped as usize..], remaining - skipped)
}
