//! Tests of the log writer on an output that blocks or fails.

use super::*;

#[derive(Default)]
struct TestOutput {
    is_blocked: bool,
    fails: bool,
    written: Vec<String>,
}

impl LogOutput for TestOutput {
    fn is_writable(&self) -> bool {
        !self.is_blocked
    }

    fn write(&mut self, line: &[u8]) -> io::Result<()> {
        assert!(!self.is_blocked, "a write to a blocked output");
        if self.fails {
            return Err(io::ErrorKind::StorageFull.into());
        }
        self.written.push(String::from_utf8_lossy(line).trim_end().to_owned());
        Ok(())
    }
}

#[test]
fn lines_that_would_block_are_written_later_in_order() {
    let mut log = LogWriter::new(TestOutput { is_blocked: true, ..TestOutput::default() });
    log.write_line(format_args!("first"));
    log.write_line(format_args!("second"));
    assert!(log.output.written.is_empty());

    log.output.is_blocked = false;
    log.write_line(format_args!("third"));

    assert_eq!(log.output.written, ["first", "second", "third"]);
}

#[test]
fn a_line_whose_write_fails_is_dropped_without_a_panic() {
    let mut log = LogWriter::new(TestOutput { fails: true, ..TestOutput::default() });
    log.write_line(format_args!("lost"));
    log.output.fails = false;
    log.write_line(format_args!("kept"));

    assert_eq!(log.output.written, ["kept"]);
}

#[test]
fn a_blocked_output_keeps_a_limited_number_of_bytes_and_counts_the_rest() {
    let mut log = LogWriter::new(TestOutput { is_blocked: true, ..TestOutput::default() });
    let long_line = "x".repeat(2 * MAX_LINE_BYTES);
    let kept_lines = MAX_PENDING_BYTES / MAX_LINE_BYTES;
    for _ in 0..kept_lines + 3 {
        log.write_line(format_args!("{long_line}"));
    }

    log.output.is_blocked = false;
    log.write_pending();

    assert_eq!(log.output.written.len(), kept_lines + 1);
    assert!(log.output.written.iter().all(|line| line.len() < MAX_LINE_BYTES));
    assert_eq!(log.output.written[kept_lines], "3 log lines were dropped");
}
