//! The socket of a client connection, read request by request.

use super::connection_state::ConnectionState;
use super::request_framer::RequestFramer;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::net::TcpStream;

/// How many bytes are read at a time.
const READ_BYTES: usize = 4 << 10;
/// How many bytes are read and discarded after the last answer before the connection is closed anyway
/// (docs/findings/closes.md).
const MAX_DISCARDED_BYTES: usize = 256 << 10;

/// A client connection that gives hyper one request at a time.
pub struct ClientStream {
    io: TokioIo<TcpStream>,
    state: Rc<ConnectionState>,
    framer: RequestFramer,
    /// Whether the client has shut down its sending side.
    is_at_end: bool,
    /// How many bytes after the last answer have been read and discarded.
    discarded_bytes: usize,
    is_nodelay_set: bool,
}

impl ClientStream {
    /// Wraps an accepted connection.
    pub fn new(stream: TcpStream, state: Rc<ConnectionState>) -> Self {
        ClientStream {
            io: TokioIo::new(stream),
            state,
            framer: RequestFramer::new(),
            is_at_end: false,
            discarded_bytes: 0,
            is_nodelay_set: false,
        }
    }

    /// Sets `TCP_NODELAY`, as bytes that wait in the socket are lost if the connection is reset. The option
    /// may fail on a connection that has just been accepted and succeed a moment later, so it is tried before
    /// each write until it succeeds. Failures are ignored: without the option answers are slower, but still
    /// sent (docs/findings/closes.md).
    fn set_nodelay(&mut self) {
        if !self.is_nodelay_set {
            self.is_nodelay_set = self.io.inner().set_nodelay(true).is_ok();
        }
    }

    /// Reads more bytes into the framer; `false` at the end of the stream. Bytes that the framer does not
    /// keep are read as well, as the end of the stream is only seen after them.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        if self.is_at_end {
            return Poll::Ready(Ok(false));
        }
        let mut bytes = [0; READ_BYTES];
        let length = ready!(self.poll_receive(cx, &mut bytes))?;
        self.framer.push(&bytes[..length], &self.state);
        Poll::Ready(Ok(length > 0))
    }

    /// Reads bytes from the socket; 0 at the end of the stream.
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

    /// Waits after the last answer until the client closes. Closing a socket with unread bytes would reset
    /// the connection, and the client would lose the part of the answer that it has not received.
    fn poll_client_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut bytes = [0; READ_BYTES];
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
        if this.state.acknowledge_answer() {
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
            match this.poll_fill(cx) {
                Poll::Ready(Ok(true)) => {}
                // hyper sees the end of the stream, even if the framer still holds bytes of a next request.
                Poll::Ready(Ok(false)) => return Poll::Ready(Ok(())),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => {
                    this.state.wake_reader_after_answer(cx.waker().clone());
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
        // hyper flushes once its own buffer is empty.
        self.state.output_flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_shutdown(cx))?;
        if self.state.sending_shut_down() {
            self.poll_client_end(cx)
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
