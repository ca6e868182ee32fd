//! An adapter that runs balancers for the simulator. The adapter reads batches of events from standard input,
//! one batch per line, and replies to each batch with a line of actions on standard output.

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

/// The exit code if an error has ended the session.
const SESSION_ERROR_EXIT_CODE: u8 = 2;

fn main() -> ExitCode {
    // A panic in the decision code is reported to the simulator. The default panic hook would also print it
    // to standard error.
    std::panic::set_hook(Box::new(|_| {}));
    match session::run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", env!("CARGO_PKG_NAME"));
            ExitCode::from(SESSION_ERROR_EXIT_CODE)
        }
    }
}

#[cfg(test)]
mod tests;
