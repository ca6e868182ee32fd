//! A client's socket, read request by request.

use super::connection_state::{ConnectionState, Phase};
use super::request_framer::RequestFramer;
use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use tokio::net::TcpStream;

/// Read at a time.
const CHUNK: usize = 4 << 10;
/// The most that is read and thrown away behind the last answer.
const MAX_DISCARDED: usize = 256 << 10;

/// A client's connection. It shows hyper one request at a time.
pub struct ClientStream {
    io: TokioIo<TcpStream>,
    state: Rc<ConnectionState>,
    framer: RequestFramer,
    has_client_ended: bool,
    /// Bytes read and thrown away behind the last answer.
    discarded: usize,
    has_nodelay: bool,
}

impl ClientStream {
    /// Wraps a connection.
    pub fn new(stream: TcpStream, state: Rc<ConnectionState>) -> Self {
        ClientStream {
            io: TokioIo::new(stream),
            state,
            framer: RequestFramer::new(),
            has_client_ended: false,
            discarded: 0,
            has_nodelay: false,
        }
    }

    /// Sets the option that has small writes go out at once; what waits is lost if the connection is reset.
    /// On a connection that has just been accepted that may fail and work a moment later, so it is tried
    /// before each write until it does. Without it answers may be slower; that beats no answer.
    fn set_nodelay(&mut self) {
        self.has_nodelay = self.has_nodelay || self.io.inner().set_nodelay(true).is_ok();
    }

    /// Reads more; false at the end of the stream. All is read even where not all is kept, or the client's
    /// leaving would stand unseen behind it.
    fn poll_fill(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<bool>> {
        if self.has_client_ended {
            return Poll::Ready(Ok(false));
        }
        let mut chunk = [0; CHUNK];
        let length = ready!(self.poll_chunk(cx, &mut chunk))?;
        self.framer.push(&chunk[..length], &self.state);
        Poll::Ready(Ok(length > 0))
    }

    fn poll_chunk(&mut self, cx: &mut Context<'_>, chunk: &mut [u8]) -> Poll<io::Result<usize>> {
        loop {
            ready!(self.io.inner().poll_read_ready(cx))?;
            match self.io.inner().try_read(chunk) {
                Ok(length) => {
                    self.has_client_ended = length == 0;
                    return Poll::Ready(Ok(length));
                }
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {}
                Err(error) => return Poll::Ready(Err(error)),
            }
        }
    }

    /// Waits for the client's end after the last answer. A close over bytes that nobody reads would reset the
    /// connection, and what the client has not taken in of its answer would be lost.
    fn poll_client_end(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let mut chunk = [0; CHUNK];
        while !self.has_client_ended && self.discarded < MAX_DISCARDED {
            self.discarded += ready!(self.poll_chunk(cx, &mut chunk))?;
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
        if this.state.take_answer_written() {
            this.framer.start_next(&this.state);
        }
        loop {
            if let Some(bytes) = this.framer.passable(&this.state) {
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
                // The client has left, whatever stands behind its request.
                Poll::Ready(Ok(false)) => return Poll::Ready(Ok(())),
                Poll::Ready(Err(error)) => return Poll::Ready(Err(error)),
                Poll::Pending => {
                    this.state.wake_after_answer(cx.waker().clone());
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
        // hyper asks for this once its own buffer is empty.
        self.state.flushed();
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        ready!(Pin::new(&mut self.io).poll_shutdown(cx))?;
        // Set only if the connection ends with an answer; over a resting one all answers have been read.
        if !self.state.is_answer_written() {
            return Poll::Ready(Ok(()));
        }
        self.state.enter(Phase::Closing);
        self.poll_client_end(cx)
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
