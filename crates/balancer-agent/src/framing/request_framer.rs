//! Splits the bytes of a connection into requests, without I/O.

use super::connection_state::{ConnectionState, Phase};
use super::parser::{parse_chunk, parse_head, Chunk, Head};
use super::MAX_HEAD;
use bytes::{Buf, BytesMut};

/// How far the present request has been read.
#[derive(Clone, Copy)]
enum Progress {
    /// Its head is coming.
    Head,
    /// The line ahead of a chunk of its body is coming.
    ChunkLine,
    /// So many bytes of its body are yet to be passed on.
    Body(u64),
    /// So many bytes of a chunk, the line ahead included, are yet to be passed on.
    Chunk(u64),
    /// It is complete; what comes now belongs to the next one, or is the client's leaving.
    Complete,
    /// Nothing that comes is a request any more.
    Closed,
}

/// Holds what has been read of a connection, and passes it on request by request.
pub struct RequestFramer {
    progress: Progress,
    /// What has been read and not been passed on; its first `passable` bytes may be.
    buffer: BytesMut,
    passable: usize,
    /// A head that was not complete at this length is not parsed again before more has come.
    parsed: usize,
}

impl RequestFramer {
    /// A framer that waits for a first head.
    pub fn new() -> Self {
        RequestFramer { progress: Progress::Head, buffer: BytesMut::new(), passable: 0, parsed: 0 }
    }

    /// Whether nothing that comes is a request any more.
    pub fn is_closed(&self) -> bool {
        matches!(self.progress, Progress::Closed)
    }

    /// Takes in bytes. Behind a complete request no more than a head's length is kept.
    pub fn push(&mut self, bytes: &[u8], connection: &ConnectionState) {
        let is_complete = matches!(self.progress, Progress::Complete);
        if is_complete && self.buffer.len() + bytes.len() > MAX_HEAD {
            connection.set_excess();
        } else {
            self.buffer.extend_from_slice(bytes);
        }
    }

    /// The bytes that may be passed on now; none if more has to come first.
    pub fn passable(&mut self, connection: &ConnectionState) -> Option<&[u8]> {
        while self.passable == 0 {
            let has_advanced = match self.progress {
                Progress::Head => self.advance_head(connection),
                Progress::ChunkLine => self.advance_chunk_line(connection),
                Progress::Body(left) | Progress::Chunk(left) => self.advance_body(left, connection),
                Progress::Complete | Progress::Closed => false,
            };
            if !has_advanced {
                return None;
            }
        }
        Some(&self.buffer[..self.passable])
    }

    /// The first `length` of the passable bytes have been passed on.
    pub fn consume(&mut self, length: usize) {
        self.buffer.advance(length);
        self.passable -= length;
    }

    /// The request has been answered: the next head may come, unless its body has not been read to its end.
    pub fn start_next(&mut self, connection: &ConnectionState) {
        let is_at_end = matches!(self.progress, Progress::Complete | Progress::Head);
        let has_next = is_at_end && !connection.has_excess();
        self.progress = if has_next { Progress::Head } else { Progress::Closed };
        self.parsed = 0;
    }

    /// Passes on `length` bytes and goes on with `next`.
    fn pass(&mut self, length: usize, next: Progress) {
        (self.passable, self.progress) = (length, next);
    }

    /// Takes in what has come of a head; true if some of it can be passed on.
    fn advance_head(&mut self, connection: &ConnectionState) -> bool {
        let length = self.buffer.len();
        if length == 0 {
            return false;
        }
        connection.enter(Phase::Receiving);
        if length == self.parsed {
            return false;
        }
        self.parsed = length;
        match parse_head(&self.buffer) {
            Head::Partial if length < MAX_HEAD => return false,
            // hyper answers what it cannot read, and a head that is too long, in its own words, and closes.
            Head::Partial | Head::Unreadable => self.pass(length, Progress::Closed),
            Head::Ambiguous { head } => {
                connection.set_ambiguous_length();
                self.pass(head, Progress::Closed);
            }
            Head::Sized { head, body: 0 } => {
                self.pass(head, Progress::Complete);
                connection.enter(Phase::Processing);
            }
            Head::Sized { head, body } => self.pass(head, Progress::Body(body)),
            Head::Chunked { head } => self.pass(head, Progress::ChunkLine),
        }
        true
    }

    /// Takes in what has come of the line ahead of a chunk, or of what ends the last one; true if that is
    /// known now.
    fn advance_chunk_line(&mut self, connection: &ConnectionState) -> bool {
        match parse_chunk(&self.buffer) {
            Chunk::Partial if self.buffer.len() < MAX_HEAD => return false,
            // The body's reader finds the fault, and the request is answered with it.
            Chunk::Partial | Chunk::Unreadable => self.pass(self.buffer.len(), Progress::Closed),
            Chunk::Sized(length) => self.progress = Progress::Chunk(length),
            Chunk::Last(length) => {
                self.pass(length, Progress::Complete);
                connection.enter(Phase::Processing);
            }
        }
        true
    }

    /// Takes in what has come of a body or chunk; true if some of it can be passed on.
    fn advance_body(&mut self, left: u64, connection: &ConnectionState) -> bool {
        self.passable = left.min(self.buffer.len() as u64) as usize;
        let left = left - self.passable as u64;
        self.progress = match self.progress {
            Progress::Chunk(_) if left == 0 => Progress::ChunkLine,
            Progress::Chunk(_) => Progress::Chunk(left),
            _ if left == 0 => {
                connection.enter(Phase::Processing);
                Progress::Complete
            }
            _ => Progress::Body(left),
        };
        self.passable > 0
    }
}
