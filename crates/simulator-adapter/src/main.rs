//! Lets balancers decide on the simulator's wire: a line of events in, a line of actions out.

mod decode;
mod encode;
mod endpoint_lists;
mod error;
mod host;
mod instance;
mod instance_names;
mod request_table;
mod session;
mod wire;

use std::io;
use std::process::ExitCode;

const EXIT_CODE_OF_FAULTS: u8 = 2;

fn main() -> ExitCode {
    // A panic of the decision code is reported on the wire; the hook's own lines would only repeat it.
    std::panic::set_hook(Box::new(|_| {}));
    match session::run(&mut io::stdin().lock(), &mut io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("{}: {error}", env!("CARGO_PKG_NAME"));
            ExitCode::from(EXIT_CODE_OF_FAULTS)
        }
    }
}

#[cfg(test)]
mod tests;
