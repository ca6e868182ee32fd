//! A session with the simulator: batches are read, played and answered until the input ends.

use crate::error::{InputPosition, SessionError};
use crate::host::Host;
use crate::wire::{Batch, Reply};
use std::io::{BufRead, Write};

/// Answers each line of the input with one line of the output.
///
/// # Errors
///
/// If the input cannot be read or played, or the output cannot be written; nothing more is answered then.
pub fn run(input: &mut impl BufRead, output: &mut impl Write) -> Result<(), SessionError> {
    let mut host = Host::default();
    let mut position = InputPosition::FirstRound;
    let mut line = Vec::new();
    while read_line(input, &mut line)? {
        let batch: Batch<'_> = serde_json::from_slice(&line)
            .map_err(|source| SessionError::MalformedBatch { position, source })?;
        let round = batch.round;
        position = InputPosition::AfterRound(round);
        let reply = host.play(batch).map_err(|source| SessionError::UnplayableBatch { round, source })?;
        write_reply(output, &reply)?;
    }
    Ok(())
}

/// Reads the next line in place of the last one; false at the end of the input.
fn read_line(input: &mut impl BufRead, line: &mut Vec<u8>) -> Result<bool, SessionError> {
    line.clear();
    let length = input.read_until(b'\n', line).map_err(SessionError::UnreadableInput)?;
    Ok(length > 0)
}

/// Writes a line and flushes it: the simulator waits for it.
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
