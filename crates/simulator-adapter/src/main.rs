//! Runs balancers for the simulator: reads lines of events from standard input, and writes a line of actions
//! for each to standard output.

mod decode;
mod encode;
mod endpoint_lists;
mod error;
mod host;
mod instance;
mod notice_text;
mod request_id_map;
mod session;
mod wire;
mod wire_identifiers;

use std::io;
use std::process::ExitCode;

/// The exit code of a session that an error has ended.
const EXIT_FAILURE: u8 = 2;

fn main() -> ExitCode {
    // A panic in the decision code is reported on the wire; the default hook would print it a second time.
    std::panic::set_hook(Box::new(|_| {}));
    match session::run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", env!("CARGO_PKG_NAME"));
            ExitCode::from(EXIT_FAILURE)
        }
    }
}

#[cfg(test)]
mod tests;
