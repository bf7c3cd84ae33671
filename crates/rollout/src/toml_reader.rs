//! A TOML reader that reads field by field and collects all errors, each with its line.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::ops::RangeInclusive;

use thiserror::Error;
use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// Maximum number of errors that are collected from one text.
const MAX_ERRORS: usize = 100;
/// Maximum length of a string in a field, in bytes.
const MAX_STRING_BYTES: usize = 256;

/// One error in a document.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("line {line}: {field}: {problem}")]
pub struct DocumentError {
    /// The line number, counted from 1.
    pub line: usize,
    /// The path of the field, with dots between the keys.
    pub field: String,
    /// What is wrong with the field.
    pub problem: String,
}

/// All errors in a document, in the order of their lines. The error message has one line for each of them.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
#[error("{}", format_errors(errors))]
pub struct InvalidDocument {
    /// The errors; at least one.
    pub errors: Vec<DocumentError>,
}

/// Formats errors, one per line.
fn format_errors(errors: &[DocumentError]) -> String {
    let lines: Vec<String> = errors.iter().map(DocumentError::to_string).collect();
    lines.join("\n")
}

/// A parsed text and the errors that were found in it.
pub struct TomlReader<'a> {
    text: &'a str,
    root: DeTable<'a>,
    errors: RefCell<Vec<DocumentError>>,
}

/// One table of the text. The reading methods return `None` for a field that is missing or invalid, and
/// report invalid fields.
pub struct TomlTable<'r, 'a> {
    reader: &'r TomlReader<'a>,
    /// `None` if the table is missing.
    table: Option<&'r DeTable<'a>>,
    path: String,
    /// The byte offset of the table in the text.
    offset: usize,
}

impl<'a> TomlReader<'a> {
    /// Parses a text.
    ///
    /// # Errors
    ///
    /// [`InvalidDocument`] with one error if the text is not TOML.
    pub fn parse(text: &'a str) -> Result<TomlReader<'a>, InvalidDocument> {
        match DeTable::parse(text) {
            Ok(root) => Ok(TomlReader { text, root: root.into_inner(), errors: RefCell::default() }),
            Err(e) => {
                let error = DocumentError {
                    line: line_at(text, e.span().map_or(0, |span| span.start)),
                    field: "the file".to_owned(),
                    problem: e.message().to_owned(),
                };
                Err(InvalidDocument { errors: vec![error] })
            }
        }
    }

    /// Reads the root table and reports its unknown fields. `path` is prefixed to the paths of fields in
    /// errors.
    pub fn read_root<T>(
        &mut self,
        path: &str,
        known: &[&str],
        read: impl FnOnce(&TomlTable<'_, 'a>) -> T,
    ) -> T {
        let table = TomlTable { reader: self, table: Some(&self.root), path: path.to_owned(), offset: 0 };
        table.deny_unknown(known);
        read(&table)
    }

    /// Reports an error that concerns several fields, at the field with the given path.
    pub fn report(&self, path: &[&str], problem: &str) {
        let mut table = Some(&self.root);
        let mut offset = 0;
        for field in path {
            let Some(value) = table.and_then(|table| table.get(*field)) else { break };
            offset = value.span().start;
            table = match value.get_ref() {
                DeValue::Table(table) => Some(table),
                _ => None,
            };
        }
        self.report_at(offset, &path.join("."), problem);
    }

    /// Reports an error at a byte offset in the text.
    fn report_at(&self, offset: usize, field: &str, problem: &str) {
        let mut errors = self.errors.borrow_mut();
        if errors.len() < MAX_ERRORS {
            errors.push(DocumentError {
                line: line_at(self.text, offset),
                field: field.to_owned(),
                problem: problem.to_owned(),
            });
        }
    }

    /// Returns `read` if no error was reported.
    ///
    /// # Errors
    ///
    /// [`InvalidDocument`] with all reported errors.
    pub fn finish<T>(self, read: T) -> Result<T, InvalidDocument> {
        let mut errors = self.errors.into_inner();
        errors.sort_by_key(|error| error.line);
        if errors.is_empty() {
            Ok(read)
        } else {
            Err(InvalidDocument { errors })
        }
    }
}

/// Returns the line number of a byte offset in a text, counted from 1.
fn line_at(text: &str, offset: usize) -> usize {
    let before = &text.as_bytes()[..offset.min(text.len())];
    1 + before.iter().filter(|byte| **byte == b'\n').count()
}

/// Returns the string in a value. Returns `None` if the value is not a string, or is an empty or too long
/// one.
fn valid_string<'v>(value: &'v DeValue<'_>) -> Option<&'v str> {
    match value {
        DeValue::String(text) if !text.is_empty() && text.len() <= MAX_STRING_BYTES => Some(text),
        _ => None,
    }
}

impl<'r, 'a> TomlTable<'r, 'a> {
    /// Returns the full path of a field.
    fn path_of(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    /// Reports an error at a field, or at the table if the field is missing.
    pub fn report(&self, field: &str, problem: &str) {
        let offset = self.get(field).map_or(self.offset, |value| value.span().start);
        self.reader.report_at(offset, &self.path_of(field), problem);
    }

    /// Returns the value of a field.
    fn get(&self, field: &str) -> Option<&'r Spanned<DeValue<'a>>> {
        self.table?.get(field)
    }

    /// Reports all fields that are not known.
    pub fn deny_unknown(&self, known: &[&str]) {
        for key in self.table.into_iter().flat_map(DeTable::keys) {
            if !known.contains(&key.get_ref().as_ref()) {
                self.reader.report_at(key.span().start, &self.path_of(key.get_ref()), "unknown");
            }
        }
    }

    /// Reads an integer or a floating-point number.
    fn number(&self, field: &str) -> Option<f64> {
        let digits = match self.get(field)?.get_ref() {
            DeValue::Integer(integer) => integer.as_str().replace('_', ""),
            DeValue::Float(float) => float.as_str().replace('_', ""),
            _ => String::new(),
        };
        let number = digits.parse().ok();
        if number.is_none() {
            self.report(field, "must be a number");
        }
        number
    }

    /// Reads a number from `low` to `high`.
    pub fn float(&self, field: &str, low: f64, high: f64) -> Option<f64> {
        let number = self.number(field)?;
        if (low..=high).contains(&number) {
            return Some(number);
        }
        self.report(field, &format!("must be from {low} to {high}, and is {number}"));
        None
    }

    /// Reads an integer from `low` to `high`.
    pub fn integer(&self, field: &str, low: u64, high: u64) -> Option<u64> {
        let number = self.number(field)?;
        if number.fract() == 0.0 && number >= low as f64 && number <= high as f64 {
            return Some(number as u64);
        }
        self.report(field, &format!("must be a whole number from {low} to {high}, and is {number}"));
        None
    }

    /// Reads a list of two integers from `low` to `high`, the first not above the second.
    pub fn integer_range(&self, field: &str, low: u32, high: u32) -> Option<RangeInclusive<u32>> {
        let DeValue::Array(items) = self.get(field)?.get_ref() else {
            self.report(field, "must be [min, max]");
            return None;
        };
        let integer = |index: usize| match items.get(index)?.get_ref() {
            DeValue::Integer(integer) => integer.as_str().parse::<u32>().ok(),
            _ => None,
        };
        match (integer(0), integer(1), items.len()) {
            (Some(start), Some(end), 2) if low <= start && start <= end && end <= high => Some(start..=end),
            _ => {
                self.report(field, &format!("must be [min, max] with both from {low} to {high}"));
                None
            }
        }
    }

    /// Reads a string that is neither empty nor too long.
    pub fn string(&self, field: &str) -> Option<String> {
        let string = valid_string(self.get(field)?.get_ref());
        if string.is_none() {
            self.report(field, &format!("must be a string of 1 to {MAX_STRING_BYTES} bytes"));
        }
        string.map(str::to_owned)
    }

    /// Reads a boolean.
    pub fn boolean(&self, field: &str) -> Option<bool> {
        match self.get(field)?.get_ref() {
            DeValue::Boolean(boolean) => Some(*boolean),
            _ => {
                self.report(field, "must be true or false");
                None
            }
        }
    }

    /// Reads a string that must be one of the choices. Reports the field if it is missing.
    pub fn one_of<'c>(&self, field: &str, choices: &[&'c str]) -> Option<&'c str> {
        let choice = match self.get(field).map(Spanned::get_ref) {
            Some(DeValue::String(text)) => choices.iter().find(|choice| **choice == text.as_ref()).copied(),
            _ => None,
        };
        if choice.is_none() {
            self.report(field, &format!("must be one of {}", choices.join(", ")));
        }
        choice
    }

    /// Reads a list of strings without duplicates. Returns an empty set if it is missing, invalid or too
    /// long.
    pub fn string_set(&self, field: &str, max_entries: usize) -> BTreeSet<String> {
        let mut strings = BTreeSet::new();
        let Some(value) = self.get(field) else { return strings };
        let DeValue::Array(items) = value.get_ref() else {
            self.report(field, "must be a list of strings");
            return strings;
        };
        if items.len() > max_entries {
            self.report(field, &format!("must have at most {max_entries} entries"));
            return strings;
        }
        for item in items.iter() {
            let is_new = valid_string(item.get_ref()).is_some_and(|string| strings.insert(string.to_owned()));
            if !is_new {
                self.reader.report_at(
                    item.span().start,
                    &self.path_of(field),
                    "must be distinct strings of a permitted length",
                );
            }
        }
        strings
    }

    /// Reads a nested table. A missing table is read as one without fields.
    pub fn table<T>(&self, field: &str, read: impl FnOnce(&TomlTable<'r, 'a>) -> T) -> T {
        let value = self.get(field);
        let table = value.and_then(|value| match value.get_ref() {
            DeValue::Table(table) => Some(table),
            _ => None,
        });
        if value.is_some() && table.is_none() {
            self.report(field, "must be a table");
        }
        read(&self.nested(field, table, value.map_or(self.offset, |value| value.span().start)))
    }

    /// Creates the reader of a field's table.
    fn nested(&self, field: &str, table: Option<&'r DeTable<'a>>, offset: usize) -> TomlTable<'r, 'a> {
        TomlTable { reader: self.reader, table, path: self.path_of(field), offset }
    }

    /// Reads a table that contains named tables. Returns an empty map if it is missing, invalid or too large.
    pub fn tables_by_name<T>(
        &self,
        field: &str,
        max_entries: usize,
        read: impl Fn(&TomlTable<'_, 'a>) -> T,
    ) -> BTreeMap<String, T> {
        let mut named = BTreeMap::new();
        let Some(value) = self.get(field) else { return named };
        let DeValue::Table(tables) = value.get_ref() else {
            self.report(field, "must be a table of named tables");
            return named;
        };
        if tables.len() > max_entries {
            self.report(field, &format!("must have at most {max_entries} entries"));
            return named;
        }
        let outer = self.nested(field, Some(tables), value.span().start);
        for (name, value) in tables.iter() {
            let DeValue::Table(table) = value.get_ref() else {
                outer.report(name.get_ref(), "must be a table");
                continue;
            };
            let table = outer.nested(name.get_ref(), Some(table), value.span().start);
            named.insert(name.get_ref().to_string(), read(&table));
        }
        named
    }
}
