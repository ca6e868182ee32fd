//! Whole sessions: lines of input made by the tests, and the replies to them.

mod errors;
mod messages;
mod replies;
