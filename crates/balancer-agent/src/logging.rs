//! The log on standard error.
//!
//! Logging must never end or delay the agent, whatever standard error is. A line that cannot be written without
//! blocking is kept and written later; a line that cannot be written at all is dropped.

use std::cell::RefCell;
use std::collections::VecDeque;
use std::fmt;
use std::io::{self, Write};
use std::os::fd::AsFd;

use nix::poll::{poll, PollFd, PollFlags, PollTimeout};

/// The maximum length of a line, in bytes. The kernel writes this many bytes to a writable pipe without
/// blocking (`PIPE_BUF`).
const MAX_LINE_BYTES: usize = 4096;
/// The maximum number of bytes of lines that wait to be written. Further lines are dropped.
const MAX_PENDING_BYTES: usize = 64 << 10;

/// Logs a line, which is formatted as by `format!`.
macro_rules! log_line {
    ($($argument:tt)*) => {
        $crate::logging::write_line(format_args!($($argument)*))
    };
}
pub(crate) use log_line;

thread_local! {
    static LOG: RefCell<LogWriter<StandardError>> = RefCell::new(LogWriter::new(StandardError));
}

/// Writes a line to standard error, or keeps it for later if that would block.
pub fn write_line(line: fmt::Arguments<'_>) {
    with_log(|log| log.write_line(line));
}

/// Writes the lines that wait, as far as this does not block.
pub fn write_pending_lines() {
    with_log(LogWriter::write_pending);
}

/// Logs panics like all other lines, so that a panic cannot block or fail in its own message.
pub fn log_panics() {
    std::panic::set_hook(Box::new(|panic| {
        let backtrace = std::backtrace::Backtrace::capture();
        log_line!("{panic}");
        if backtrace.status() == std::backtrace::BacktraceStatus::Captured {
            log_line!("{backtrace}");
        }
    }));
}

/// Calls `write` with the log. Does nothing if the log is in use, because a panic occurred while it wrote.
fn with_log(write: impl FnOnce(&mut LogWriter<StandardError>)) {
    LOG.with(|log| {
        if let Ok(mut log) = log.try_borrow_mut() {
            write(&mut log);
        }
    });
}

/// The destination of log lines.
trait LogOutput {
    /// Returns whether a line of at most [`MAX_LINE_BYTES`] can be written now without blocking.
    fn is_writable(&self) -> bool;

    /// Writes one line.
    fn write(&mut self, line: &[u8]) -> io::Result<()>;
}

/// The standard error of the process.
struct StandardError;

impl LogOutput for StandardError {
    fn is_writable(&self) -> bool {
        let standard_error = io::stderr();
        let mut descriptors = [PollFd::new(standard_error.as_fd(), PollFlags::POLLOUT)];
        // A descriptor whose reader has gone counts as ready: the write then fails without blocking.
        poll(&mut descriptors, PollTimeout::ZERO).is_ok_and(|ready| ready > 0)
    }

    fn write(&mut self, line: &[u8]) -> io::Result<()> {
        io::stderr().write_all(line)
    }
}

/// A writer of log lines that never blocks on its output.
struct LogWriter<Output> {
    output: Output,
    /// The lines that have not been written, in the order in which they were logged.
    pending: VecDeque<Vec<u8>>,
    pending_bytes: usize,
    /// The number of lines that were dropped since the last line that says so.
    dropped_lines: u64,
}

impl<Output: LogOutput> LogWriter<Output> {
    fn new(output: Output) -> Self {
        LogWriter { output, pending: VecDeque::new(), pending_bytes: 0, dropped_lines: 0 }
    }

    /// Writes a line after those that wait. Keeps the line if writing it would block, and drops it if too many
    /// wait already.
    fn write_line(&mut self, line: fmt::Arguments<'_>) {
        let line = encode_line(line);
        if self.pending_bytes + line.len() > MAX_PENDING_BYTES {
            self.dropped_lines += 1;
        } else {
            self.pending_bytes += line.len();
            self.pending.push_back(line);
        }
        self.write_pending();
    }

    /// Writes the lines that wait until the output would block. A line whose write fails is dropped, because
    /// nothing can be reported about it.
    fn write_pending(&mut self) {
        while !self.pending.is_empty() && self.output.is_writable() {
            let Some(line) = self.pending.pop_front() else { return };
            self.pending_bytes -= line.len();
            let _ = self.output.write(&line);
        }
        if self.dropped_lines > 0 && self.pending.is_empty() && self.output.is_writable() {
            let notice = encode_line(format_args!("{} log lines were dropped", self.dropped_lines));
            self.dropped_lines = 0;
            let _ = self.output.write(&notice);
        }
    }
}

/// Returns the bytes of a line with its line end. A line that is too long is truncated.
fn encode_line(line: fmt::Arguments<'_>) -> Vec<u8> {
    let mut bytes = fmt::format(line).into_bytes();
    bytes.truncate(MAX_LINE_BYTES - 1);
    bytes.push(b'\n');
    bytes
}

#[cfg(test)]
mod tests;
