"""Tests of the check for import cycles, on made-up crates."""

import os
import sys
import tempfile
import unittest
from importlib.machinery import SourceFileLoader
from pathlib import Path
from types import ModuleType

sys.dont_write_bytecode = True
imports = ModuleType("imports")
SourceFileLoader("imports", str(Path(__file__).with_name("imports"))).exec_module(imports)


class ImportsTest(unittest.TestCase):
    def setUp(self):
        folder = tempfile.TemporaryDirectory()
        self.addCleanup(folder.cleanup)
        self.addCleanup(os.chdir, os.getcwd())
        self.repository = Path(folder.name)

    def check(self, sources):
        """Writes the source files of a crate, given by their names in src/, and runs the check."""
        for name, text in sources.items():
            file = self.repository / "crates/sample/src" / name
            file.parent.mkdir(parents=True, exist_ok=True)
            file.write_text(text, encoding="utf-8")
        imports.main(self.repository)

    def assert_check_fails(self, sources, *expected):
        with self.assertRaises(SystemExit) as error:
            self.check(sources)
        for text in expected:
            self.assertIn(text, str(error.exception))

    def assert_cycle(self, sources, *files):
        steps = [f"src/{a} -> crates/sample/src/{b}" for a, b in zip(files, [*files[1:], files[0]])]
        self.assert_check_fails(sources, "import cycle:", *steps)

    def test_imports_without_a_cycle_pass(self):
        self.check({
            "lib.rs": "mod a; mod b; mod c; pub use a::A;",
            "a.rs": "use crate::b::B; use crate::c::C; pub struct A(B, C);",
            "b.rs": "use crate::c::C; pub struct B(C);",
            "c.rs": "use std::fmt; use std::fmt::Display; pub struct C;",
        })

    def test_two_files_that_import_each_other_are_a_cycle(self):
        self.assert_cycle(
            {
                "main.rs": "mod a; mod b; fn main() {}",
                "a.rs": "use crate::b::B; pub struct A(B);",
                "b.rs": "use super::a::A; pub struct B(Box<A>);",
            },
            "a.rs", "b.rs",
        )

    def test_every_file_of_a_cycle_is_reported(self):
        self.assert_cycle(
            {
                "lib.rs": "mod a; mod b; mod c;",
                "a.rs": "use crate::b::B; pub struct A;",
                "b.rs": "use crate::{c::{C, D as E}}; pub struct B;",
                "c.rs": "use crate::a::{self, A}; pub struct C; pub struct D;",
            },
            "a.rs", "b.rs", "c.rs",
        )

    def test_every_separate_cycle_is_reported(self):
        self.assert_check_fails(
            {
                "lib.rs": "mod a; mod b; mod c; mod d;",
                "a.rs": "use crate::b::B; pub struct A;",
                "b.rs": "use crate::a::A; pub struct B;",
                "c.rs": "use crate::d::D; pub struct C;",
                "d.rs": "use crate::c::C; pub struct D;",
            },
            "src/a.rs -> ", "src/b.rs -> ", "src/c.rs -> ", "src/d.rs -> ",
        )

    def test_reexport_is_followed_to_the_sibling_that_defines_the_name(self):
        self.assert_cycle(
            {
                "lib.rs": "mod parent;",
                "parent.rs": "mod a; mod b; pub use a::A; pub(crate) use b::B as Renamed;",
                "parent/a.rs": "use super::Renamed; pub struct A;",
                "parent/b.rs": "use crate::parent::A; pub struct B;",
            },
            "parent/a.rs", "parent/b.rs",
        )

    def test_path_in_code_is_an_import(self):
        self.assert_cycle(
            {
                "lib.rs": "mod a; mod b;",
                "a.rs": "pub fn first() { super::b::second() }",
                "b.rs": "use crate::a; pub fn second() { a::first() }",
            },
            "a.rs", "b.rs",
        )

    def test_parent_that_only_reexports_does_not_import(self):
        self.check({
            "lib.rs": "mod parent;",
            "parent.rs": "mod child; pub use child::Child; pub const LIMIT: usize = 1;",
            "parent/child.rs": "use super::LIMIT; pub struct Child;",
        })

    def test_parent_that_uses_what_it_reexports_imports_it(self):
        self.assert_cycle(
            {
                "lib.rs": "mod parent;",
                "parent.rs": "mod child; pub use child::Child; pub struct Parent(Child);",
                "parent/child.rs": "use super::Parent; pub struct Child;",
            },
            "parent.rs", "parent/child.rs",
        )

    def test_reexport_from_a_module_that_is_not_a_descendant_is_an_import(self):
        self.assert_cycle(
            {
                "lib.rs": "mod a; mod b;",
                "a.rs": "pub use crate::b::B; pub struct A;",
                "b.rs": "use crate::a::A; pub struct B;",
            },
            "a.rs", "b.rs",
        )

    def test_comments_and_strings_are_no_imports(self):
        self.check({
            "lib.rs": "mod a; mod b;",
            "a.rs": "use crate::b::B; pub struct A;",
            "b.rs": """//! See [`crate::a::A`].
                /* use crate::a::A; */
                pub struct B;
                const TEXTS: [&str; 3] = ["use crate::a::A;", "a \\" crate::a::A", r#"crate::a::A " "#];
                const QUOTES: [char; 2] = ['"', '\\'']; // crate::a::A
                fn borrow<'a>(text: &'a str) -> &'a str { text }""",
        })

    def test_lifetime_is_not_taken_for_a_character_literal(self):
        self.assert_cycle(
            {
                "lib.rs": "mod a; mod b;",
                "a.rs": "use crate::b::B; pub struct A;",
                "b.rs": "pub struct B<'a>(&'a crate::a::A, &'a str);",
            },
            "a.rs", "b.rs",
        )

    def test_test_modules_are_skipped(self):
        self.check({
            "lib.rs": "mod a; #[cfg(test)] mod tests;",
            "a.rs": "pub struct A; #[cfg(test)]\nmod tests;",
        })

    def test_unsupported_import_or_module_is_an_error(self):
        self.assert_check_fails({"lib.rs": "mod a;", "a.rs": "use super::*;"}, "wildcard import")
        self.assert_check_fails({"lib.rs": "mod a { }"}, "module a has no file")
        self.assert_check_fails({"lib.rs": "mod absent;"}, "module absent has no file")


if __name__ == "__main__":
    unittest.main()
