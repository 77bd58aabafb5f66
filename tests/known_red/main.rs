//! Tests of `.ci/known-red` on made-up output of the test command; cargo is not run.

mod incomplete_output;
mod list_format;
mod results;
mod script;
mod test_output;
