//! The verdict of `.ci/known-red` on made-up runs of the test command; no case runs cargo.

mod incomplete_output;
mod list_format;
mod results;
mod test_output;
mod verdict;
