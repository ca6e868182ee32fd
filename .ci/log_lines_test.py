"""Tests of the check that log lines are on the operations page."""

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
eprintln!("{name}: opened the door");
eprintln!(
    "{name}: closed the door");
let text = format!("an inner text");
'''


class LogLinesTest(unittest.TestCase):
    def check(self, source, page, file_name="door.rs"):
        with tempfile.TemporaryDirectory() as folder:
            repository = Path(folder)
            for name, text in {f"crates/balancer-agent/src/{file_name}": source, "docs/operations.md": page}.items():
                file = repository / name
                file.parent.mkdir(parents=True, exist_ok=True)
                file.write_text(text, encoding="utf-8")
            log_lines.main(repository)

    def assert_refused(self, source, page, expected, file_name="door.rs"):
        with self.assertRaises(SystemExit) as refusal:
            self.check(source, page, file_name)
        self.assertIn(expected, str(refusal.exception))

    def test_page_with_every_line_passes(self):
        self.check(SOURCE, "`cannot open FILE: CAUSE`, `N: opened the\ndoor`, `N: closed the door`")

    def test_each_kind_of_line_that_the_page_lacks_is_named(self):
        page = "`N: opened the door`"
        self.assert_refused(SOURCE, page, "cannot open")
        self.assert_refused(SOURCE, page, "closed the door")

    def test_only_the_notices_module_words_lines_with_format(self):
        source = 'format!("server {name} ejected")'
        self.check(source, "")
        self.assert_refused(source, "", "ejected", file_name="notice_text.rs")

    def test_short_parts_are_passed_over(self):
        self.check('eprintln!("{name}: {error}; is")', "")


if __name__ == "__main__":
    unittest.main()
