//! Runs balancers behind the simulator's line protocol, on standard input and standard output.

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

/// Size of the input buffer and of the output buffer.
const BUFFER_BYTES: usize = 1 << 20;

fn main() -> ExitCode {
    let input = BufReader::with_capacity(BUFFER_BYTES, io::stdin().lock());
    let output = BufWriter::with_capacity(BUFFER_BYTES, io::stdout().lock());
    match load_balancer::simulator::serve(input, output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
