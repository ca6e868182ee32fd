//! A session with the simulator. It reads batches until the input ends and writes a reply to each.

use crate::error::{InputPosition, SessionError};
use crate::host::Host;
use crate::wire::{Batch, Reply};
use std::io::{BufRead, Write};

/// Runs a session: handles each line of the input and writes the reply as one line of the output.
///
/// # Errors
///
/// Returns an error at the first line that cannot be read or handled, or whose reply cannot be written. Later
/// lines are not read.
pub fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), SessionError> {
    let mut host = Host::default();
    let mut position = InputPosition::FirstRound;
    let mut line = Vec::new();
    while read_line(input, &mut line)? {
        let batch: Batch<'_> = serde_json::from_slice(&line)
            .map_err(|source| SessionError::MalformedBatch { position, source })?;
        let round = batch.round;
        position = InputPosition::AfterRound(round);
        let reply =
            host.handle_batch(batch).map_err(|source| SessionError::InvalidBatch { round, source })?;
        write_reply(output, &reply)?;
    }
    Ok(())
}

/// Replaces the contents of `line` with the next line of the input. Returns `false` at the end of the input.
fn read_line(input: &mut impl BufRead, line: &mut Vec<u8>) -> Result<bool, SessionError> {
    line.clear();
    let length = input.read_until(b'\n', line).map_err(SessionError::UnreadableInput)?;
    Ok(length > 0)
}

/// Writes a reply as one line. Flushes the output, because the simulator waits for the reply.
fn write_reply(output: &mut impl Write, reply: &Reply) -> Result<(), SessionError> {
    let round = reply.round;
    let mut line =
        serde_json::to_vec(reply).map_err(|source| SessionError::UnencodableReply { round, source })?;
    line.push(b'\n');
    output
        .write_all(&line)
        .and_then(|()| output.flush())
        .map_err(|source| SessionError::UnwritableOutput { round, source })
}
