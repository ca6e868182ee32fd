//! Tests of whole sessions, from the lines of input to the replies.

mod errors;
mod messages;
mod replies;
