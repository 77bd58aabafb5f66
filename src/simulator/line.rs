//! The line format: a name and `field=value` pairs, separated by tabs.

use crate::decision::RequestId;
use std::io::{self, BufRead};
use std::str::FromStr;
use thiserror::Error;

/// Why the adapter stopped.
#[derive(Debug, Error)]
pub enum WireError {
    /// A line could not be understood.
    #[error("line {line}: field {field}: {problem}")]
    Malformed {
        /// Counted from 1.
        line: u64,
        /// Which field, or the message's name.
        field: String,
        /// What is wrong.
        problem: String,
    },
    /// Reading or writing failed.
    #[error("line {line}: input or output failed: {source}")]
    Io {
        /// Counted from 1.
        line: u64,
        /// Why.
        source: io::Error,
    },
}

/// One line, split into its name and its fields.
pub(super) struct Line<'a> {
    line_number: u64,
    name: &'a str,
    fields: Vec<(&'a str, &'a str)>,
}

impl<'a> Line<'a> {
    /// Splits the text of the line of this number.
    ///
    /// # Errors
    ///
    /// If a field has no `=`.
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

    /// The name of the message.
    pub(super) fn name(&self) -> &'a str {
        self.name
    }

    /// All fields, in their order.
    pub(super) fn fields(&self) -> impl Iterator<Item = (&'a str, &'a str)> + '_ {
        self.fields.iter().copied()
    }

    /// An error in this field of the line.
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

    /// The text of a field, if it is there.
    fn text(&self, field: &str) -> Option<&'a str> {
        self.fields()
            .find(|(name, _)| *name == field)
            .map(|(_, value)| value)
    }

    /// The text of a field.
    ///
    /// # Errors
    ///
    /// If it is missing.
    pub(super) fn required_text(&self, field: &str) -> Result<&'a str, WireError> {
        self.text(field).ok_or_else(|| self.missing(field))
    }

    /// The number in a field, if it is there.
    ///
    /// # Errors
    ///
    /// If it is no number of this type.
    pub(super) fn number<T: FromStr>(&self, field: &str) -> Result<Option<T>, WireError> {
        let Some(text) = self.text(field) else {
            return Ok(None);
        };
        text.parse()
            .map(Some)
            .map_err(|_| self.error(field, format_args!("bad number '{text}'")))
    }

    /// The number in a field.
    ///
    /// # Errors
    ///
    /// If it is missing, or no number of this type.
    pub(super) fn required_number<T: FromStr>(&self, field: &str) -> Result<T, WireError> {
        self.number(field)?.ok_or_else(|| self.missing(field))
    }

    /// The seconds in a field, if it is there.
    ///
    /// # Errors
    ///
    /// If they are no finite number.
    pub(super) fn seconds(&self, field: &str) -> Result<Option<f64>, WireError> {
        match self.number::<f64>(field)? {
            Some(seconds) if !seconds.is_finite() => Err(self.error(field, "is not finite")),
            seconds => Ok(seconds),
        }
    }

    /// The seconds in a field.
    ///
    /// # Errors
    ///
    /// If it is missing, or they are no finite number.
    pub(super) fn required_seconds(&self, field: &str) -> Result<f64, WireError> {
        self.seconds(field)?.ok_or_else(|| self.missing(field))
    }

    /// The flag in a field, `0` or `1`; false if it is missing.
    ///
    /// # Errors
    ///
    /// If it is neither.
    pub(super) fn flag(&self, field: &str) -> Result<bool, WireError> {
        match self.text(field) {
            None | Some("0") => Ok(false),
            Some("1") => Ok(true),
            Some(text) => Err(self.error(field, format_args!("bad bool '{text}'"))),
        }
    }

    /// The request that the line is about.
    ///
    /// # Errors
    ///
    /// If its id is missing, or no number.
    pub(super) fn request_id(&self) -> Result<RequestId, WireError> {
        Ok(RequestId(self.required_number("rid")?))
    }
}

/// Reads lines and counts them.
pub(super) struct LineReader<R> {
    input: R,
    /// The number of the last line read, from 1.
    line_number: u64,
    text: String,
}

impl<R: BufRead> LineReader<R> {
    /// A reader at the beginning of this input.
    pub(super) fn new(input: R) -> Self {
        LineReader {
            input,
            line_number: 0,
            text: String::new(),
        }
    }

    /// The number of the last line read.
    pub(super) fn line_number(&self) -> u64 {
        self.line_number
    }

    /// The next line, or `None` at the end of the input.
    ///
    /// # Errors
    ///
    /// If reading fails, or a field has no `=`.
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

    /// The next line of a batch that has begun.
    ///
    /// # Errors
    ///
    /// As for [`Self::next_line`], and at the end of the input.
    pub(super) fn next_line_in_batch(&mut self) -> Result<Line<'_>, WireError> {
        let line = self.line_number + 1;
        self.next_line()?.ok_or_else(|| WireError::Malformed {
            line,
            field: "END".into(),
            problem: "the input ends inside a batch".into(),
        })
    }
}
