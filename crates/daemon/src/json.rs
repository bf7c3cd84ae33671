//! JSON from outside: decoded by tinyjson, and read with errors that name the field.

use std::collections::HashMap;

use thiserror::Error;
use tinyjson::JsonValue;

/// tinyjson decodes by recursion: a line of some ten thousand brackets would overflow the stack and end the program, which
/// no handler can prevent.
const MAX_DEPTH: usize = 32;
/// Every whole number up to this one (2 to the power of 53) has an exact `f64`.
const MAX_EXACT_WHOLE: f64 = 9_007_199_254_740_992.0;

/// Why JSON could not be read.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum JsonError {
    /// The text is not UTF-8.
    #[error("not UTF-8")]
    NotUtf8,
    /// Brackets are nested too deep.
    #[error("nested deeper than {MAX_DEPTH}")]
    TooDeep,
    /// The text is not JSON.
    #[error("not JSON: {0}")]
    Syntax(String),
    /// A field does not have the form that is wanted.
    #[error("{path}: {problem}")]
    Field {
        /// The path of the field, with dots and indices.
        path: String,
        /// What is wrong with it.
        problem: String,
    },
}

/// The nesting of brackets after the bytes so far.
#[derive(Default)]
pub struct Nesting {
    depth: usize,
    is_quoted: bool,
    is_escaped: bool,
}

impl Nesting {
    /// Takes further bytes, and returns whether all brackets are closed after them.
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

/// Decodes one value.
///
/// # Errors
///
/// Returns an error if the bytes are not one JSON value, or one that is nested too deep.
pub fn decode(bytes: &[u8]) -> Result<JsonValue, JsonError> {
    let text = std::str::from_utf8(bytes).map_err(|_| JsonError::NotUtf8)?;
    Nesting::default().scan(bytes)?;
    text.parse::<JsonValue>().map_err(|error| JsonError::Syntax(error.to_string()))
}

/// A value, and the path that leads to it.
#[derive(Clone)]
pub struct Field<'a> {
    path: String,
    value: &'a JsonValue,
}

impl<'a> Field<'a> {
    /// Returns the field of the outermost value, whose path is empty.
    pub fn root(value: &'a JsonValue) -> Self {
        Field { path: String::new(), value }
    }

    fn must_be(&self, wanted: &str) -> JsonError {
        let path = if self.path.is_empty() { "the whole" } else { &self.path };
        JsonError::Field { path: path.to_owned(), problem: format!("must be {wanted}") }
    }

    fn object(&self) -> Result<&'a HashMap<String, JsonValue>, JsonError> {
        self.value.get().ok_or_else(|| self.must_be("an object"))
    }

    fn member_path(&self, name: &str) -> String {
        let dot = if self.path.is_empty() { "" } else { "." };
        format!("{}{dot}{name}", self.path)
    }

    /// Returns a member that may be missing; null equals missing.
    pub fn optional(&self, name: &str) -> Result<Option<Field<'a>>, JsonError> {
        let path = self.member_path(name);
        let value = self.object()?.get(name).filter(|value| !value.is_null());
        Ok(value.map(|value| Field { path, value }))
    }

    /// Returns a member that must be there.
    pub fn required(&self, name: &str) -> Result<Field<'a>, JsonError> {
        let missing = || JsonError::Field { path: self.member_path(name), problem: "missing".to_owned() };
        self.optional(name)?.ok_or_else(missing)
    }

    /// Returns the items of a list.
    pub fn items(&self) -> Result<Vec<Field<'a>>, JsonError> {
        let items = self.value.get::<Vec<JsonValue>>().ok_or_else(|| self.must_be("a list"))?;
        let item = |(n, value)| Field { path: format!("{}[{n}]", self.path), value };
        Ok(items.iter().enumerate().map(item).collect())
    }

    /// Returns a text.
    pub fn string(&self) -> Result<&'a str, JsonError> {
        self.value.get::<String>().map(String::as_str).ok_or_else(|| self.must_be("text"))
    }

    /// Returns a truth value.
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

    /// Returns a whole number that fits the type asked for.
    pub fn integer<T: TryFrom<u64>>(&self) -> Result<T, JsonError> {
        let number = self.number()?;
        let is_whole = (0.0..=MAX_EXACT_WHOLE).contains(&number) && number.fract() == 0.0;
        let fitting = if is_whole { T::try_from(number as u64).ok() } else { None };
        fitting.ok_or_else(|| self.must_be("a whole number in range"))
    }

    /// Returns what a text stands for that must be one of the given words.
    pub fn one_of<T: Copy>(&self, words: &[(&str, T)]) -> Result<T, JsonError> {
        let text = self.string()?;
        if let Some((_, value)) = words.iter().find(|(word, _)| *word == text) {
            return Ok(*value);
        }
        let known = words.iter().map(|(word, _)| *word).collect::<Vec<_>>().join(", ");
        Err(self.must_be(&format!("one of {known}")))
    }

    /// Returns an error that says what is wrong with this field.
    pub fn error(&self, problem: &str) -> JsonError {
        JsonError::Field { path: self.path.clone(), problem: problem.to_owned() }
    }
}
