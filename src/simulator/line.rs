//! The line format: the name of a message and `field=value` pairs, separated by tabs.

use crate::decision::RequestId;
use std::io::{self, BufRead};
use std::str::FromStr;
use thiserror::Error;

/// An error that ends the adapter.
#[derive(Debug, Error)]
pub enum WireError {
    /// A line is malformed or unexpected.
    #[error("line {line}: field {field}: {problem}")]
    Malformed {
        /// Number of the line, from 1.
        line: u64,
        /// Name of the field or setting, or of the message if the error is not about one field.
        field: String,
        /// Why the field or message is not accepted.
        problem: String,
    },
    /// Reading or writing failed.
    #[error("line {line}: input or output failed: {source}")]
    Io {
        /// Number of the line being read, or of the last one read if writing failed; from 1.
        line: u64,
        /// The error of the read or write.
        source: io::Error,
    },
}

/// One line, split into the name of its message and its fields.
pub(super) struct Line<'a> {
    line_number: u64,
    name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits the text of a line; errors refer to it by `line_number`.
    ///
    /// # Errors
    ///
    /// Returns an error if a field has no `=`.
    fn parse(text: &'a str, line_number: u64) -> Result<Self, WireError> {
        let mut parts = text.split('\t');
        let name = parts.next().unwrap_or("");
        let mut line = Line {
            line_number,
            name,
            fields: Vec::new(),
        };
        for part in parts.filter(|part| !part.is_empty()) {
            let pair = part
                .split_once('=')
                .ok_or_else(|| line.error(part, "has no '='"))?;
            line.fields.push(pair);
        }
        Ok(line)
    }

    /// Returns the name of the message.
    pub(super) fn name(&self) -> &'a str {
        self.name
    }

    /// Returns the names and values of all fields, in the order of the line.
    pub(super) fn fields(&self) -> impl Iterator<Item = (&'a str, &'a str)> + '_ {
        self.fields.iter().copied()
    }

    /// Returns an error about a field of this line.
    pub(super) fn error(&self, field: &str, problem: impl ToString) -> WireError {
        WireError::Malformed {
            line: self.line_number,
            field: field.to_string(),
            problem: problem.to_string(),
        }
    }

    fn missing(&self, field: &str) -> WireError {
        self.error(field, "is missing")
    }

    /// Returns the text of a field, if the line has it.
    fn text(&self, field: &str) -> Option<&'a str> {
        self.fields()
            .find(|(name, _)| *name == field)
            .map(|(_, value)| value)
    }

    /// Returns the text of a field.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is missing.
    pub(super) fn required_text(&self, field: &str) -> Result<&'a str, WireError> {
        self.text(field).ok_or_else(|| self.missing(field))
    }

    /// Returns the number in a field, if the line has it.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a number of this type.
    pub(super) fn number<T: FromStr>(&self, field: &str) -> Result<Option<T>, WireError> {
        let Some(text) = self.text(field) else {
            return Ok(None);
        };
        text.parse()
            .map(Some)
            .map_err(|_| self.error(field, format_args!("invalid number '{text}'")))
    }

    /// Returns the number in a field.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is missing or its text is not a number of this type.
    pub(super) fn required_number<T: FromStr>(&self, field: &str) -> Result<T, WireError> {
        self.number(field)?.ok_or_else(|| self.missing(field))
    }

    /// Returns the seconds in a field, if the line has it.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a finite number.
    pub(super) fn seconds(&self, field: &str) -> Result<Option<f64>, WireError> {
        match self.number::<f64>(field)? {
            Some(seconds) if !seconds.is_finite() => {
                Err(self.error(field, format_args!("{seconds} is not finite")))
            }
            seconds => Ok(seconds),
        }
    }

    /// Returns the seconds in a field.
    ///
    /// # Errors
    ///
    /// Returns an error if the field is missing or its text is not a finite number.
    pub(super) fn required_seconds(&self, field: &str) -> Result<f64, WireError> {
        self.seconds(field)?.ok_or_else(|| self.missing(field))
    }

    /// Returns the flag in a field, `0` or `1`; false if the field is missing.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is neither `0` nor `1`.
    pub(super) fn flag(&self, field: &str) -> Result<bool, WireError> {
        match self.text(field) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(text) => Err(self.error(field, format_args!("expected 0 or 1, got '{text}'"))),
        }
    }

    /// Returns the id of the request that the line is about, from the field `rid`.
    ///
    /// # Errors
    ///
    /// Returns an error if `rid` is missing or not a number.
    pub(super) fn request_id(&self) -> Result<RequestId, WireError> {
        Ok(RequestId(self.required_number("rid")?))
    }
}

/// Reads and counts the lines of an input.
pub(super) struct LineReader<R> {
    input: R,
    /// The number of the last line read, from 1.
    line_number: u64,
    /// The text of the last line read.
    text: String,
}

impl<R: BufRead> LineReader<R> {
    /// Returns a reader that counts lines from the present position of `input`.
    pub(super) fn new(input: R) -> Self {
        LineReader {
            input,
            line_number: 0,
            text: String::new(),
        }
    }

    /// Returns the number of the last line read, from 1.
    pub(super) fn line_number(&self) -> u64 {
        self.line_number
    }

    /// Reads the next line; returns `None` at the end of the input.
    ///
    /// # Errors
    ///
    /// Returns an error if reading fails or a field has no `=`.
    pub(super) fn next_line(&mut self) -> Result<Option<Line<'_>>, WireError> {
        self.text.clear();
        self.line_number += 1;
        let length = self
            .input
            .read_line(&mut self.text)
            .map_err(|source| WireError::Io {
                line: self.line_number,
                source,
            })?;
        if length == 0 {
            return Ok(None);
        }
        let text = self.text.strip_suffix('\n').unwrap_or(&self.text);
        let text = text.strip_suffix('\r').unwrap_or(text);
        Line::parse(text, self.line_number).map(Some)
    }

    /// Reads the next line inside a batch.
    ///
    /// # Errors
    ///
    /// Returns an error as [`Self::next_line`] does, and also if the input ends.
    pub(super) fn next_line_in_batch(&mut self) -> Result<Line<'_>, WireError> {
        let line = self.line_number + 1;
        self.next_line()?.ok_or_else(|| WireError::Malformed {
            line,
            field: "END".into(),
            problem: "the input ends inside a batch".into(),
        })
    }
}
