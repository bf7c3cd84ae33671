//! Decodes JSON from untrusted sources with tinyjson, and reads its fields with errors that name the field.

use std::collections::HashMap;

use thiserror::Error;
use tinyjson::JsonValue;

/// The largest nesting of brackets. tinyjson decodes by recursion: a line of some ten thousand brackets would
/// overflow the stack and abort the program, which no handler can prevent.
const MAX_DEPTH: usize = 32;
/// Every integer up to this one (2 to the power of 53) has an exact `f64`.
const MAX_EXACT_INTEGER: f64 = 9_007_199_254_740_992.0;

/// Why JSON could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JsonError {
    /// The text is not UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// Brackets are nested too deeply.
    #[error("nested deeper than {MAX_DEPTH}")]
    TooDeep,
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    Syntax(String),
    /// A field does not have the expected form.
    #[error("{path}: {problem}")]
    Field {
        /// The path of the field, with dots and indices.
        path: String,
        /// What is wrong with the field.
        problem: String,
    },
}

/// Tracks the nesting of brackets across chunks of JSON text.
#[derive(Default)]
pub struct Nesting {
    depth: usize,
    is_quoted: bool,
    is_escaped: bool,
}

impl Nesting {
    /// Scans further bytes, and returns whether all brackets are closed after them.
    ///
    /// # Errors
    ///
    /// Returns [`JsonError::TooDeep`] if more than 32 brackets are open.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<bool, JsonError> {
        for byte in bytes {
            match byte {
                _ if self.is_escaped => self.is_escaped = false,
                b'\\' if self.is_quoted => self.is_escaped = true,
                b'"' => self.is_quoted = !self.is_quoted,
                b'[' | b'{' if !self.is_quoted => self.depth += 1,
                b']' | b'}' if !self.is_quoted => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
            if self.depth > MAX_DEPTH {
                return Err(JsonError::TooDeep);
            }
        }
        Ok(self.depth == 0)
    }
}

/// Checks that a text may be decoded.
///
/// # Errors
///
/// Returns an error if the bytes are not UTF-8, or are nested too deeply.
pub fn check_text(bytes: &[u8]) -> Result<&str, JsonError> {
    let text = std::str::from_utf8(bytes).map_err(|_| JsonError::NotUtf8)?;
    Nesting::default().scan(bytes)?;
    Ok(text)
}

/// Decodes one JSON value.
///
/// # Errors
///
/// Returns an error if the bytes are not one JSON value, or are nested too deeply.
pub fn decode(bytes: &[u8]) -> Result<JsonValue, JsonError> {
    let text = check_text(bytes)?;
    text.parse::<JsonValue>().map_err(|error| JsonError::Syntax(error.to_string()))
}

/// A JSON value and its path in the document.
#[derive(Clone)]
pub struct Field<'a> {
    path: String,
    value: &'a JsonValue,
}

impl<'a> Field<'a> {
    /// Creates the field of the top-level value, whose path is empty.
    pub fn root(value: &'a JsonValue) -> Self {
        Field { path: String::new(), value }
    }

    /// Creates the field of a value at a path.
    pub fn at(path: String, value: &'a JsonValue) -> Self {
        Field { path, value }
    }

    fn must_be(&self, expected: &str) -> JsonError {
        let path = if self.path.is_empty() { "the document" } else { &self.path };
        JsonError::Field { path: path.to_owned(), problem: format!("must be {expected}") }
    }

    fn object(&self) -> Result<&'a HashMap<String, JsonValue>, JsonError> {
        self.value.get().ok_or_else(|| self.must_be("an object"))
    }

    fn member_path(&self, name: &str) -> String {
        let dot = if self.path.is_empty() { "" } else { "." };
        format!("{}{dot}{name}", self.path)
    }

    /// Returns a member that may be missing. A null member counts as missing.
    pub fn optional(&self, name: &str) -> Result<Option<Field<'a>>, JsonError> {
        let path = self.member_path(name);
        let value = self.object()?.get(name).filter(|value| !value.is_null());
        Ok(value.map(|value| Field { path, value }))
    }

    /// Returns a member that must be present.
    pub fn required(&self, name: &str) -> Result<Field<'a>, JsonError> {
        let missing = || JsonError::Field { path: self.member_path(name), problem: "missing".to_owned() };
        self.optional(name)?.ok_or_else(missing)
    }

    /// Returns the items of an array.
    pub fn items(&self) -> Result<Vec<Field<'a>>, JsonError> {
        let items = self.value.get::<Vec<JsonValue>>().ok_or_else(|| self.must_be("an array"))?;
        let item = |(index, value)| Field { path: format!("{}[{index}]", self.path), value };
        Ok(items.iter().enumerate().map(item).collect())
    }

    /// Returns the value of a string.
    pub fn string(&self) -> Result<&'a str, JsonError> {
        self.value.get::<String>().map(String::as_str).ok_or_else(|| self.must_be("a string"))
    }

    /// Returns the value of a boolean.
    pub fn boolean(&self) -> Result<bool, JsonError> {
        self.value.get::<bool>().copied().ok_or_else(|| self.must_be("true or false"))
    }

    /// Returns a finite number.
    pub fn number(&self) -> Result<f64, JsonError> {
        match self.value.get::<f64>() {
            Some(number) if number.is_finite() => Ok(*number),
            _ => Err(self.must_be("a number")),
        }
    }

    /// Returns an integer that fits the requested type.
    pub fn integer<T: TryFrom<u64>>(&self) -> Result<T, JsonError> {
        let number = self.number()?;
        let is_integer = (0.0..=MAX_EXACT_INTEGER).contains(&number) && number.fract() == 0.0;
        let converted = if is_integer { T::try_from(number as u64).ok() } else { None };
        converted.ok_or_else(|| self.must_be("a whole number in range"))
    }

    /// Returns the value of a string that must be one of the given words.
    pub fn one_of<T: Copy>(&self, words: &[(&str, T)]) -> Result<T, JsonError> {
        let text = self.string()?;
        if let Some((_, value)) = words.iter().find(|(word, _)| *word == text) {
            return Ok(*value);
        }
        let known = words.iter().map(|(word, _)| *word).collect::<Vec<_>>().join(", ");
        Err(self.must_be(&format!("one of {known}")))
    }

    /// Creates an error about this field.
    pub fn error(&self, problem: &str) -> JsonError {
        JsonError::Field { path: self.path.clone(), problem: problem.to_owned() }
    }
}
