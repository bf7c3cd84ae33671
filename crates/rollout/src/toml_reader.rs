//! TOML read field by field, so that everything that is wrong is told at once, each with its line.

use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use toml::de::{DeTable, DeValue};
use toml::Spanned;

/// One thing that is wrong with a file.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DocumentError {
    /// Counted from 1.
    pub line: usize,
    pub field: String,
    pub problem: String,
}

impl fmt::Display for DocumentError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "line {}: {}: {}", self.line, self.field, self.problem)
    }
}

/// Faults that are told of one file, at most.
const MOST: usize = 100;

pub struct TomlReader<'a> {
    text: &'a str,
    root: DeTable<'a>,
    faults: RefCell<Vec<DocumentError>>,
}

/// One table of the file.
pub struct TomlTable<'r, 'a> {
    reader: &'r TomlReader<'a>,
    /// `None` where it is missing.
    table: Option<&'r DeTable<'a>>,
    path: String,
    at: usize,
}

impl<'a> TomlReader<'a> {
    pub fn parse(text: &'a str) -> Result<TomlReader<'a>, Vec<DocumentError>> {
        match DeTable::parse(text) {
            Ok(root) => Ok(TomlReader { text, root: root.into_inner(), faults: RefCell::default() }),
            Err(e) => {
                let line = line(text, e.span().map_or(0, |span| span.start));
                Err(vec![DocumentError {
                    line,
                    field: "the file".to_owned(),
                    problem: e.message().to_owned(),
                }])
            }
        }
    }

    /// Reads the whole file, in which only these fields may stand.
    pub fn read_root<T>(
        &mut self,
        path: &str,
        known: &[&str],
        read: impl FnOnce(&TomlTable<'_, 'a>) -> T,
    ) -> T {
        let table = TomlTable { reader: self, table: Some(&self.root), path: path.to_owned(), at: 0 };
        table.deny_unknown(known);
        read(&table)
    }

    /// Tells of a fault that no single field shows, at the field of this path.
    pub fn report(&self, path: &[&str], what: &str) {
        let (mut table, mut at) = (Some(&self.root), 0);
        for field in path {
            let Some(value) = table.and_then(|table| table.get(*field)) else { break };
            at = value.span().start;
            table = match value.get_ref() {
                DeValue::Table(table) => Some(table),
                _ => None,
            };
        }
        self.report_at(at, &path.join("."), what);
    }

    fn report_at(&self, at: usize, field: &str, what: &str) {
        let mut faults = self.faults.borrow_mut();
        if faults.len() < MOST {
            faults.push(DocumentError {
                line: line(self.text, at),
                field: field.to_owned(),
                problem: what.to_owned(),
            });
        }
    }

    /// What was read, if nothing is wrong with it.
    pub fn finish<T>(self, read: T) -> Result<T, Vec<DocumentError>> {
        let mut faults = self.faults.into_inner();
        faults.sort_by_key(|fault| fault.line);
        if faults.is_empty() {
            Ok(read)
        } else {
            Err(faults)
        }
    }
}

fn line(text: &str, at: usize) -> usize {
    1 + text.as_bytes()[..at.min(text.len())].iter().filter(|byte| **byte == b'\n').count()
}

impl<'r, 'a> TomlTable<'r, 'a> {
    fn path_of(&self, field: &str) -> String {
        if self.path.is_empty() {
            field.to_owned()
        } else {
            format!("{}.{field}", self.path)
        }
    }

    /// Tells of a fault at a field, or at the table where that is missing.
    pub fn report(&self, field: &str, what: &str) {
        let at = self.get(field).map_or(self.at, |value| value.span().start);
        self.reader.report_at(at, &self.path_of(field), what);
    }

    fn get(&self, field: &str) -> Option<&'r Spanned<DeValue<'a>>> {
        self.table?.get(field)
    }

    /// All other fields are faults.
    pub fn deny_unknown(&self, known: &[&str]) {
        for key in self.table.into_iter().flat_map(DeTable::keys) {
            if !known.contains(&key.get_ref().as_ref()) {
                self.reader.report_at(key.span().start, &self.path_of(key.get_ref()), "unknown");
            }
        }
    }

    fn number(&self, field: &str) -> Option<f64> {
        let text = match self.get(field)?.get_ref() {
            DeValue::Integer(x) => x.as_str().replace('_', ""),
            DeValue::Float(x) => x.as_str().replace('_', ""),
            _ => String::new(),
        };
        let number = text.parse().ok();
        if number.is_none() {
            self.report(field, "must be a number");
        }
        number
    }

    /// A number between bounds.
    pub fn float(&self, field: &str, low: f64, high: f64) -> Option<f64> {
        let x = self.number(field)?;
        if (low..=high).contains(&x) {
            return Some(x);
        }
        self.report(field, &format!("must be from {low} to {high}, and is {x}"));
        None
    }

    /// A whole number between bounds.
    pub fn integer(&self, field: &str, low: u64, high: u64) -> Option<u64> {
        let x = self.number(field)?;
        if x.fract() == 0.0 && x >= low as f64 && x <= high as f64 {
            return Some(x as u64);
        }
        self.report(field, &format!("must be a whole number from {low} to {high}, and is {x}"));
        None
    }

    /// Two whole numbers, the first not above the second.
    pub fn integer_range(&self, field: &str, low: u32, high: u32) -> Option<(u32, u32)> {
        let DeValue::Array(items) = self.get(field)?.get_ref() else {
            self.report(field, "must be [least, most]");
            return None;
        };
        let figure = |n: usize| match items.get(n)?.get_ref() {
            DeValue::Integer(x) => x.as_str().parse::<u32>().ok(),
            _ => None,
        };
        match (figure(0), figure(1), items.len()) {
            (Some(least), Some(most), 2) if low <= least && least <= most && most <= high => {
                Some((least, most))
            }
            _ => {
                self.report(field, &format!("must be [least, most] from {low} to {high}"));
                None
            }
        }
    }

    pub fn string(&self, field: &str) -> Option<String> {
        match self.get(field)?.get_ref() {
            DeValue::String(text) if !text.is_empty() && text.len() <= 256 => Some(text.to_string()),
            _ => {
                self.report(field, "must be a text of 1 to 256 bytes");
                None
            }
        }
    }

    pub fn boolean(&self, field: &str) -> Option<bool> {
        match self.get(field)?.get_ref() {
            DeValue::Boolean(flag) => Some(*flag),
            _ => {
                self.report(field, "must be true or false");
                None
            }
        }
    }

    pub fn one_of<'w>(&self, field: &str, words: &[&'w str]) -> Option<&'w str> {
        let found = match self.get(field).map(Spanned::get_ref) {
            Some(DeValue::String(text)) => words.iter().find(|word| **word == text.as_ref()).copied(),
            _ => None,
        };
        if found.is_none() {
            self.report(field, &format!("must be one of {}", words.join(", ")));
        }
        found
    }

    /// A list of texts, none of them twice.
    pub fn string_set(&self, field: &str, most: usize) -> BTreeSet<String> {
        let mut texts = BTreeSet::new();
        let Some(value) = self.get(field) else { return texts };
        let DeValue::Array(items) = value.get_ref() else {
            self.report(field, "must be a list of texts");
            return texts;
        };
        if items.len() > most {
            self.report(field, &format!("has over {most}"));
            return texts;
        }
        for item in items.iter() {
            let sound = match item.get_ref() {
                DeValue::String(text) if !text.is_empty() && text.len() <= 256 => {
                    texts.insert(text.to_string())
                }
                _ => false,
            };
            if !sound {
                self.reader.report_at(item.span().start, &self.path_of(field), "must be texts, each once");
            }
        }
        texts
    }

    /// A table in this one; one without fields if it is missing.
    pub fn table<T>(&self, field: &str, read: impl FnOnce(&TomlTable<'r, 'a>) -> T) -> T {
        let found = self.get(field);
        let table = found.and_then(|value| match value.get_ref() {
            DeValue::Table(table) => Some(table),
            _ => None,
        });
        if found.is_some() && table.is_none() {
            self.report(field, "must be a table");
        }
        read(&self.nested(field, table, found.map_or(self.at, |value| value.span().start)))
    }

    fn nested(&self, field: &str, table: Option<&'r DeTable<'a>>, at: usize) -> TomlTable<'r, 'a> {
        TomlTable { reader: self.reader, table, path: self.path_of(field), at }
    }

    /// Tables by name in a table.
    pub fn tables_by_name<T>(
        &self,
        field: &str,
        most: usize,
        read: impl Fn(&TomlTable<'_, 'a>) -> T,
    ) -> BTreeMap<String, T> {
        let mut named = BTreeMap::new();
        let Some(value) = self.get(field) else { return named };
        let DeValue::Table(tables) = value.get_ref() else {
            self.report(field, "must hold tables by name");
            return named;
        };
        if tables.len() > most {
            self.report(field, &format!("has over {most}"));
            return named;
        }
        let outer = self.nested(field, Some(tables), value.span().start);
        for (name, value) in tables.iter() {
            match value.get_ref() {
                DeValue::Table(table) => {
                    let table = outer.nested(name.get_ref(), Some(table), value.span().start);
                    named.insert(name.get_ref().to_string(), read(&table));
                }
                _ => outer.report(name.get_ref(), "must be a table"),
            }
        }
        named
    }
}
