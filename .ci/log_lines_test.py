"""Tests of the check that the operations page contains every log line, on made-up sources and pages."""

import sys
import tempfile
import unittest
from importlib.machinery import SourceFileLoader
from pathlib import Path
from types import ModuleType

sys.dont_write_bytecode = True
log_lines = ModuleType("log_lines")
SourceFileLoader("log_lines", str(Path(__file__).with_name("log_lines"))).exec_module(log_lines)

SOURCE = '''
#[error("cannot open {path}: {cause}")]
eprintln!("{name}: opened the connection");
log_line!(
    "{name}: closed the connection");
let text = format!("an internal text");
'''


class LogLinesTest(unittest.TestCase):
    def check(self, source, page, file_name="connection.rs"):
        """Runs the check on a repository with one source file of the agent and the operations page."""
        with tempfile.TemporaryDirectory() as folder:
            repository = Path(folder)
            for name, text in {f"crates/balancer-agent/src/{file_name}": source, "docs/operations.md": page}.items():
                file = repository / name
                file.parent.mkdir(parents=True, exist_ok=True)
                file.write_text(text, encoding="utf-8")
            log_lines.main(repository)

    def assert_check_fails(self, source, page, expected, file_name="connection.rs"):
        with self.assertRaises(SystemExit) as error:
            self.check(source, page, file_name)
        self.assertIn(expected, str(error.exception))

    def test_page_with_every_line_passes(self):
        self.check(SOURCE, "`cannot open FILE: CAUSE`, `N: opened the\nconnection`, `N: closed the connection`")

    def test_each_kind_of_log_line_that_is_not_on_the_page_is_reported(self):
        page = "`N: opened the connection`"
        self.assert_check_fails(SOURCE, page, "cannot open")
        self.assert_check_fails(SOURCE, page, "closed the connection")

    def test_format_calls_are_checked_only_in_the_notice_module(self):
        source = 'format!("server {name} ejected")'
        self.check(source, "")
        self.assert_check_fails(source, "", "ejected", file_name="notice_text.rs")

    def test_short_parts_are_ignored(self):
        self.check('eprintln!("{name}: {error}; is")', "")


if __name__ == "__main__":
    unittest.main()
