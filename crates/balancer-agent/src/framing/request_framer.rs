//! The framer, which splits the bytes that are received on a connection into requests, without I/O.
//!
//! The framer buffers received bytes and releases them to the reader once they are known to belong to the
//! current request.

use super::connection_state::ConnectionState;
use super::parser::{parse_chunk_header, parse_head, ChunkHeader, Head};
use super::receive_buffer::ReceiveBuffer;
use super::MAX_HEAD_BYTES;
use crate::memory::MemoryBudget;

/// The part of the current request that the framer expects or releases next.
#[derive(Clone, Copy)]
enum Progress {
    /// The request's head, which has not been received completely.
    Head,
    /// The header of the next chunk of the body, which has not been received completely.
    ChunkHeader,
    /// The body, of which this many bytes have not been released yet.
    Body(u64),
    /// A chunk, including its chunk header, of which this many bytes have not been released yet.
    Chunk(u64),
    /// The whole request has been released. Further bytes belong to the next request.
    Complete,
    /// No further request is expected. Further bytes are not released.
    Closed,
}

/// A buffer for the bytes of a connection, which releases them one request at a time.
pub struct RequestFramer {
    progress: Progress,
    /// The bytes that have been received and that the reader has not consumed.
    buffer: ReceiveBuffer,
    /// The number of released bytes at the front of the buffer.
    released: usize,
    /// The buffer's length when an incomplete head was last parsed. The head is parsed again only after the
    /// buffer has grown.
    parsed_length: usize,
}

impl RequestFramer {
    /// Creates a framer that expects the first head of a connection. Its buffer takes its memory from
    /// `memory`.
    pub fn new(memory: MemoryBudget) -> Self {
        let buffer = ReceiveBuffer::new(memory);
        RequestFramer { progress: Progress::Head, buffer, released: 0, parsed_length: 0 }
    }

    /// Returns whether the framer expects no further request.
    pub fn is_closed(&self) -> bool {
        matches!(self.progress, Progress::Closed)
    }

    /// Returns how many bytes can be pushed at most, which is 0 if there is no memory for a long head. After
    /// a complete request, any number can be: the stream is read on so that its end is noticed.
    pub fn make_room(&mut self) -> usize {
        match self.progress {
            Progress::Complete | Progress::Closed => usize::MAX,
            Progress::Head | Progress::ChunkHeader | Progress::Body(_) | Progress::Chunk(_) => {
                if self.buffer.make_room(1) {
                    self.buffer.room()
                } else {
                    0
                }
            }
        }
    }

    /// Appends received bytes to the buffer. After a complete request, bytes that would make the buffer
    /// larger than [`MAX_HEAD_BYTES`], and bytes for which there is no memory, are dropped.
    pub fn push(&mut self, bytes: &[u8], connection: &ConnectionState) {
        let is_complete = matches!(self.progress, Progress::Complete);
        let is_too_long = self.buffer.len() + bytes.len() > MAX_HEAD_BYTES;
        if is_complete && (is_too_long || !self.buffer.make_room(bytes.len())) {
            connection.record_excess_bytes();
        } else {
            self.buffer.extend(bytes);
        }
    }

    /// Returns the bytes that are released now, or `None` if more bytes must be received first.
    pub fn released_bytes(&mut self, connection: &ConnectionState) -> Option<&[u8]> {
        while self.released == 0 {
            let has_advanced = match self.progress {
                Progress::Head => self.advance_head(connection),
                Progress::ChunkHeader => self.advance_chunk_header(connection),
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

    /// Removes the first `length` released bytes.
    pub fn consume(&mut self, length: usize) {
        self.buffer.consume(length);
        self.released -= length;
    }

    /// Expects the head of the next request, after the response to the current one has been written.
    ///
    /// If the current request has not been released completely or a framing fault has been recorded, the
    /// beginning of the next request is unknown. The framer then releases no further bytes.
    pub fn start_next_request(&mut self, connection: &ConnectionState) {
        let is_at_end = matches!(self.progress, Progress::Complete | Progress::Head);
        let can_continue = is_at_end && connection.framing_fault().is_none();
        self.progress = if can_continue { Progress::Head } else { Progress::Closed };
        self.parsed_length = 0;
    }

    /// Parses the head at the start of the buffer. Returns whether bytes have been released.
    fn advance_head(&mut self, connection: &ConnectionState) -> bool {
        let length = self.buffer.len();
        if length == 0 {
            return false;
        }
        connection.record_request_bytes();
        if length == self.parsed_length {
            return false;
        }
        self.parsed_length = length;
        match parse_head(&self.buffer) {
            Head::Partial if length < MAX_HEAD_BYTES => return false,
            // hyper responds to an invalid or too long head with an error and closes the connection.
            Head::Partial | Head::Invalid => self.release(length, Progress::Closed),
            Head::Ambiguous { head_size } => {
                connection.record_ambiguous_length();
                self.release(head_size, Progress::Closed);
            }
            Head::Sized { head_size, body_size: 0 } => {
                self.release(head_size, Progress::Complete);
                connection.record_request_complete();
            }
            Head::Sized { head_size, body_size } => self.release(head_size, Progress::Body(body_size)),
            Head::Chunked { head_size } => self.release(head_size, Progress::ChunkHeader),
        }
        true
    }

    /// Parses the chunk header at the start of the buffer, and the trailers if the chunk is the last one.
    /// Returns `false` if more bytes must be received first.
    fn advance_chunk_header(&mut self, connection: &ConnectionState) -> bool {
        match parse_chunk_header(&self.buffer) {
            ChunkHeader::Partial if self.buffer.len() < MAX_HEAD_BYTES => return false,
            // hyper's body reader reports the error to the request handler, which responds to the client.
            ChunkHeader::Partial | ChunkHeader::Invalid => self.release(self.buffer.len(), Progress::Closed),
            ChunkHeader::Sized(length) => self.progress = Progress::Chunk(length),
            ChunkHeader::Last(length) => {
                self.release(length, Progress::Complete);
                connection.record_request_complete();
            }
        }
        true
    }

    /// Releases buffered bytes of a body. Returns whether bytes have been released.
    fn advance_body(&mut self, remaining: u64, connection: &ConnectionState) -> bool {
        let remaining = self.release_up_to(remaining);
        if remaining == 0 {
            self.progress = Progress::Complete;
            connection.record_request_complete();
        } else {
            self.progress = Progress::Body(remaining);
        }
        self.released > 0
    }

    /// Releases buffered bytes of a chunk. Returns whether bytes have been released.
    fn advance_chunk(&mut self, remaining: u64) -> bool {
        let remaining = self.release_up_to(remaining);
        self.progress = if remaining == 0 { Progress::ChunkHeader } else { Progress::Chunk(remaining) };
        self.released > 0
    }

    /// Releases the first `length` bytes of the buffer. `next` is the progress after that.
    fn release(&mut self, length: usize, next: Progress) {
        self.released = length;
        self.progress = next;
    }

    /// Releases at most `length` buffered bytes. Returns how many of these bytes are left to release.
    fn release_up_to(&mut self, length: u64) -> u64 {
        self.released = length.min(self.buffer.len() as u64) as usize;
        length - self.released as u64
    }
}
