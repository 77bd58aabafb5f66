//! Runs balancers on the simulator's wire, from standard input to standard output.

use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

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
