//! Whole sessions: lines of the project's own making go in, and the replies are looked at.

mod errors;
mod messages;
mod replies;
