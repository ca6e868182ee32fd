//! The socket of a client connection, from which hyper reads one request at a time.

use super::connection_state::ConnectionState;
use super::request_framer::RequestFramer;
use crate::memory::MemoryBudget;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::net::TcpStream;

/// The size of the buffer for one read from the socket, in bytes.
const READ_BUFFER_BYTES: usize = 4 << 10;
/// The maximum number of bytes that are read and discarded after the last response. After this number, the
/// connection is closed even if the client still sends (docs/findings/closes.md).
const MAX_DISCARDED_BYTES: usize = 256 << 10;

/// The byte stream of a client connection, which gives hyper one request at a time.
pub struct ClientStream {
    io: TokioIo<TcpStream>,
    state: Rc<ConnectionState>,
    framer: RequestFramer,
    /// Whether the end of the stream has been read, because the client has shut down its sending side.
    is_at_end: bool,
    /// The number of bytes that have been read and discarded after the last response.
    discarded_bytes: usize,
    /// Whether `TCP_NODELAY` has been set on the socket.
    is_nodelay_set: bool,
}

impl ClientStream {
    /// Wraps an accepted connection, whose state is recorded in `state`. Long heads take their memory from
    /// `memory`.
    pub fn new(stream: TcpStream, state: Rc<ConnectionState>, memory: MemoryBudget) -> Self {
        ClientStream {
            io: TokioIo::new(stream),
            state,
            framer: RequestFramer::new(memory),
            is_at_end: false,
            discarded_bytes: 0,
            is_nodelay_set: false,
        }
    }

    /// Sets `TCP_NODELAY` if it is not set yet. Without the option, bytes may wait in the socket, and these
    /// bytes are lost if the connection is reset.
    ///
    /// Setting the option may fail on a connection that has just been accepted and succeed a moment later.
    /// This function is therefore called before each write. Failures are ignored, because without the option
    /// responses are delayed but still sent (docs/findings/closes.md).
    fn set_nodelay(&mut self) {
        if !self.is_nodelay_set {
            self.is_nodelay_set = self.io.inner().set_nodelay(true).is_ok();
        }
    }

    /// Reads bytes from the socket into the framer. Returns `false` at the end of the stream. If there is no
    /// memory for the bytes, records that and reads nothing.
    ///
    /// Bytes that the framer drops are read as well, because the end of the stream can be detected only after
    /// them.
    fn poll_fill_framer(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        if self.is_at_end {
            return Poll::Ready(Ok(false));
        }
        let room = self.framer.make_room().min(READ_BUFFER_BYTES);
        if room == 0 {
            self.state.record_out_of_memory();
            return Poll::Pending;
        }
        let mut bytes = [0; READ_BUFFER_BYTES];
        let length = ready!(self.poll_receive(cx, &mut bytes[..room]))?;
        if length > 0 {
            self.state.record_bytes();
        }
        self.framer.push(&bytes[..length], &self.state);
        Poll::Ready(Ok(length > 0))
    }

    /// Reads bytes from the socket. Returns their number, which is 0 at the end of the stream.
    fn poll_receive(&mut self, cx: &mut Context<'_>, bytes: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.io.inner().poll_read_ready(cx))?;
            match self.io.inner().try_read(bytes) {
                Ok(length) => {
                    self.is_at_end = length == 0;
                    return Poll::Ready(Ok(length));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Reads and discards bytes after the last response, until the client closes the connection or
    /// [`MAX_DISCARDED_BYTES`] have been discarded.
    ///
    /// Closing a socket with unread bytes would reset the connection, and the client would lose the part of
    /// the response that it has not received.
    fn poll_discard_until_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_BUFFER_BYTES];
        while !self.is_at_end && self.discarded_bytes < MAX_DISCARDED_BYTES {
            let length = ready!(self.poll_receive(cx, &mut bytes))?;
            self.discarded_bytes += length;
        }
        Poll::Ready(Ok(()))
    }
}

impl Read for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if this.state.record_read() {
            this.framer.start_next_request(&this.state);
        }
        loop {
            if let Some(bytes) = this.framer.released_bytes(&this.state) {
                let length = bytes.len().min(buf.remaining());
                buf.put_slice(&bytes[..length]);
                this.framer.consume(length);
                return Poll::Ready(Ok(()));
            }
            if this.framer.is_closed() {
                return Poll::Pending;
            }
            match this.poll_fill_framer(cx) {
                Poll::Ready(Ok(true)) => {}
                // hyper gets the end of the stream even if the framer buffers bytes of the next request.
                Poll::Ready(Ok(false)) => return Poll::Ready(Ok(())),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => {
                    this.state.wake_reader_after_response(cx.waker().clone());
                    return Poll::Pending;
                }
            }
        }
    }
}

impl Write for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, buf: &[u8]) -> Poll<io::Result<usize>> {
        self.poll_write_vectored(cx, &[io::IoSlice::new(buf)])
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_flush(cx))?;
        // hyper flushes the stream only when hyper's own write buffer is empty.
        self.state.record_flush();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_shutdown(cx))?;
        if self.state.record_write_shutdown() {
            self.poll_discard_until_end(cx)
        } else {
            Poll::Ready(Ok(()))
        }
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.set_nodelay();
        Pin::new(&mut self.io).poll_write_vectored(cx, bufs)
    }
}

#[cfg(test)]
mod tests;
