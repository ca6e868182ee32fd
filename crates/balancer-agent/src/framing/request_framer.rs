//! Splits the bytes of a connection into requests, without I/O.

use super::connection_state::ConnectionState;
use super::parser::{parse_chunk, parse_head, Chunk, Head};
use super::MAX_HEAD_BYTES;
use bytes::{Buf, BytesMut};

/// How far the current request has been received.
#[derive(Clone, Copy)]
enum Progress {
    /// Its head is incomplete.
    Head,
    /// The line ahead of a chunk of its body is incomplete.
    ChunkLine,
    /// This many bytes of its body have not been released yet.
    Body(u64),
    /// This many bytes of a chunk, its line included, have not been released yet.
    Chunk(u64),
    /// All of it has been released; further bytes belong to the next request.
    Complete,
    /// Further bytes are not read as requests.
    Closed,
}

/// Buffers the bytes of a connection and releases them request by request.
pub struct RequestFramer {
    progress: Progress,
    /// Bytes that have been received and not been consumed.
    buffer: BytesMut,
    /// How many bytes at the front of the buffer are released.
    released: usize,
    /// The buffer's length when an incomplete head was last parsed; it is parsed again once the buffer has
    /// grown.
    parsed_length: usize,
}

impl RequestFramer {
    /// A framer that expects the first head of a connection.
    pub fn new() -> Self {
        RequestFramer { progress: Progress::Head, buffer: BytesMut::new(), released: 0, parsed_length: 0 }
    }

    /// Whether further bytes are not read as requests.
    pub fn is_closed(&self) -> bool {
        matches!(self.progress, Progress::Closed)
    }

    /// Adds received bytes. After a complete request at most [`MAX_HEAD_BYTES`] are buffered.
    pub fn push(&mut self, bytes: &[u8], connection: &ConnectionState) {
        let is_complete = matches!(self.progress, Progress::Complete);
        if is_complete && self.buffer.len() + bytes.len() > MAX_HEAD_BYTES {
            connection.excess_bytes_dropped();
        } else {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// The bytes that are released now; `None` if more have to be received first.
    pub fn released_bytes(&mut self, connection: &ConnectionState) -> Option<&[u8]> {
        while self.released == 0 {
            let has_advanced = match self.progress {
                Progress::Head => self.advance_head(connection),
                Progress::ChunkLine => self.advance_chunk_line(connection),
                Progress::Body(remaining) => self.advance_body(remaining, connection),
                Progress::Chunk(remaining) => self.advance_chunk(remaining),
                Progress::Complete | Progress::Closed => false,
            };
            if !has_advanced {
                return None;
            }
        }
        Some(&self.buffer[..self.released])
    }

    /// Removes the first `length` of the released bytes.
    pub fn consume(&mut self, length: usize) {
        self.buffer.advance(length);
        self.released -= length;
    }

    /// Expects the next head now that the current request is answered. If the request has not been received
    /// to its end, the framer closes, as nothing shows where the next one begins.
    pub fn start_next_request(&mut self, connection: &ConnectionState) {
        let is_at_end = matches!(self.progress, Progress::Complete | Progress::Head);
        let can_continue = is_at_end && connection.framing_fault().is_none();
        self.progress = if can_continue { Progress::Head } else { Progress::Closed };
        self.parsed_length = 0;
    }

    /// Parses the buffer as a head. Returns whether some of it has been released.
    fn advance_head(&mut self, connection: &ConnectionState) -> bool {
        let length = self.buffer.len();
        if length == 0 {
            return false;
        }
        connection.request_bytes_received();
        if length == self.parsed_length {
            return false;
        }
        self.parsed_length = length;
        match parse_head(&self.buffer) {
            Head::Partial if length < MAX_HEAD_BYTES => return false,
            // hyper rejects a head that is malformed or too long with an answer of its own, and closes.
            Head::Partial | Head::Unreadable => self.release(length, Progress::Closed),
            Head::Ambiguous { head } => {
                connection.ambiguous_length_found();
                self.release(head, Progress::Closed);
            }
            Head::Sized { head, body: 0 } => {
                self.release(head, Progress::Complete);
                connection.request_completed();
            }
            Head::Sized { head, body } => self.release(head, Progress::Body(body)),
            Head::Chunked { head } => self.release(head, Progress::ChunkLine),
        }
        true
    }

    /// Parses the buffer as the line ahead of a chunk, or as the end of a chunked body. Returns whether it
    /// was complete.
    fn advance_chunk_line(&mut self, connection: &ConnectionState) -> bool {
        match parse_chunk(&self.buffer) {
            Chunk::Partial if self.buffer.len() < MAX_HEAD_BYTES => return false,
            // hyper's body reader reports the error, and the request handler answers it.
            Chunk::Partial | Chunk::Unreadable => self.release(self.buffer.len(), Progress::Closed),
            Chunk::Sized(length) => self.progress = Progress::Chunk(length),
            Chunk::Last(length) => {
                self.release(length, Progress::Complete);
                connection.request_completed();
            }
        }
        true
    }

    /// Releases buffered bytes of a body. Returns whether there were any.
    fn advance_body(&mut self, remaining: u64, connection: &ConnectionState) -> bool {
        let remaining = self.release_up_to(remaining);
        if remaining == 0 {
            self.progress = Progress::Complete;
            connection.request_completed();
        } else {
            self.progress = Progress::Body(remaining);
        }
        self.released > 0
    }

    /// Releases buffered bytes of a chunk. Returns whether there were any.
    fn advance_chunk(&mut self, remaining: u64) -> bool {
        let remaining = self.release_up_to(remaining);
        self.progress = if remaining == 0 { Progress::ChunkLine } else { Progress::Chunk(remaining) };
        self.released > 0
    }

    /// Releases `length` bytes and sets the progress after them.
    fn release(&mut self, length: usize, next: Progress) {
        self.released = length;
        self.progress = next;
    }

    /// Releases at most `length` buffered bytes. Returns how many are left to be released.
    fn release_up_to(&mut self, length: u64) -> u64 {
        self.released = length.min(self.buffer.len() as u64) as usize;
        length - self.released as u64
    }
}
