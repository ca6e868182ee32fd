//! A socket that counts the bytes written to it, limits reads and writes, and records how the peer's data
//! ended. The count shows whether a server may have run a request whose connection broke.

use hyper::rt::{Read, ReadBuf, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::cell::Cell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::net::TcpStream;
use tokio::time::Instant;

/// The maximum number of bytes that one read returns.
const READ_CHUNK_BYTES: usize = 4 << 10;

/// How the data from the peer has ended. The first end is kept.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
enum ReadEnd {
    /// It has not ended.
    #[default]
    None,
    /// The peer has closed its direction of the connection after its last byte.
    Orderly,
    /// A read or a write failed, for example because the peer has reset the connection. The kernel reports a
    /// reset only once. After a write that failed, a read may therefore look like an orderly end.
    Broken,
}

/// The write count, the limits and the read end of a connection's socket, shared between the task that drives
/// the connection and the code that sends requests over it.
#[derive(Default)]
pub struct SocketState {
    bytes_written: Cell<u64>,
    /// The number of bytes that may still be read.
    read_allowance: Cell<u64>,
    /// The time after which writes fail, if there is one.
    write_by: Cell<Option<Instant>>,
    is_write_closed: Cell<bool>,
    read_end: Cell<ReadEnd>,
}

impl SocketState {
    /// Returns the number of bytes that the kernel has accepted since the connection was opened.
    pub fn bytes_written(&self) -> u64 {
        self.bytes_written.get()
    }

    /// Allows this many bytes to be read from now on. A read that exceeds this number fails.
    pub fn allow_reading(&self, bytes: u64) {
        self.read_allowance.set(bytes);
    }

    /// Sets the time after which writes fail; `None` removes the limit.
    pub fn set_write_by(&self, write_by: Option<Instant>) {
        self.write_by.set(write_by);
    }

    /// Makes all further writes fail, including writes of bytes that hyper has already buffered.
    pub fn close_writing(&self) {
        self.is_write_closed.set(true);
    }

    /// Returns whether the peer has closed its direction of the connection after its last byte, and that byte
    /// has been read.
    pub fn has_orderly_end(&self) -> bool {
        self.read_end.get() == ReadEnd::Orderly
    }

    fn record_end(&self, end: ReadEnd) {
        if self.read_end.get() == ReadEnd::None {
            self.read_end.set(end);
        }
    }

    /// Records the end of the data if the result of a read or a write is an error.
    fn check_result<T>(&self, result: io::Result<T>) -> io::Result<T> {
        result.inspect_err(|_| self.record_end(ReadEnd::Broken))
    }

    fn check_writable(&self) -> io::Result<()> {
        let is_past_deadline = self.write_by.get().is_some_and(|write_by| Instant::now() > write_by);
        if self.is_write_closed.get() || is_past_deadline {
            return Err(io::ErrorKind::ConnectionAborted.into());
        }
        Ok(())
    }
}

/// A connected socket that counts written bytes and enforces the limits of its [`SocketState`].
pub struct CountingStream<Slot> {
    // Fields are dropped in order: the socket is closed before its slot is free.
    io: TokioIo<TcpStream>,
    socket_state: Rc<SocketState>,
    _slot: Slot,
}

impl<Slot> CountingStream<Slot> {
    /// Wraps a connected socket, which occupies the slot until it is closed. Reads fail until
    /// [`SocketState::allow_reading`] is called.
    pub fn new(stream: TcpStream, socket_state: Rc<SocketState>, slot: Slot) -> Self {
        CountingStream { io: TokioIo::new(stream), socket_state, _slot: slot }
    }
}

impl<Slot: Unpin> Read for CountingStream<Slot> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let mut chunk = [0; READ_CHUNK_BYTES];
        let space = chunk.len().min(buf.remaining());
        let mut read = ReadBuf::new(&mut chunk[..space]);
        let result = ready!(Pin::new(&mut self.io).poll_read(cx, read.unfilled()));
        self.socket_state.check_result(result)?;
        if read.filled().is_empty() && space > 0 {
            self.socket_state.record_end(ReadEnd::Orderly);
        }
        let allowance = self.socket_state.read_allowance.get().checked_sub(read.filled().len() as u64);
        self.socket_state.read_allowance.set(allowance.ok_or(io::ErrorKind::InvalidData)?);
        buf.put_slice(read.filled());
        Poll::Ready(Ok(()))
    }
}

impl<Slot: Unpin> Write for CountingStream<Slot> {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(buf)])
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.socket_state.check_writable()?;
        let result = ready!(Pin::new(&mut self.io).poll_write_vectored(cx, bufs));
        let written = self.socket_state.check_result(result)?;
        self.socket_state.bytes_written.set(self.socket_state.bytes_written() + written as u64);
        Poll::Ready(Ok(written))
    }
}

#[cfg(test)]
mod tests;
