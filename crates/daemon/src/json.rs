//! JSON as it comes from outside: decoded by tinyjson, and read with an error that names the field.

use std::collections::HashMap;

use tinyjson::JsonValue;

/// tinyjson decodes by recursion: a line of some ten thousand brackets would overflow the stack and end
/// the program, which no catch can prevent.
const DEEPEST: usize = 32;

/// How deep brackets are nested after the bytes so far.
#[derive(Default)]
pub struct Nesting {
    depth: usize,
    quoted: bool,
    escaped: bool,
}

impl Nesting {
    /// Takes further bytes; whether all brackets are closed after them.
    pub fn closed(&mut self, bytes: &[u8]) -> Result<bool, String> {
        for byte in bytes {
            match byte {
                _ if self.escaped => self.escaped = false,
                b'\\' if self.quoted => self.escaped = true,
                b'"' => self.quoted = !self.quoted,
                b'[' | b'{' if !self.quoted => self.depth += 1,
                b']' | b'}' if !self.quoted => self.depth = self.depth.saturating_sub(1),
                _ => {}
            }
            if self.depth > DEEPEST {
                return Err(format!("nested deeper than {DEEPEST}"));
            }
        }
        Ok(self.depth == 0)
    }
}

/// Decodes one value.
pub fn decode(bytes: &[u8]) -> Result<JsonValue, String> {
    let text = std::str::from_utf8(bytes).map_err(|_| "not UTF-8".to_owned())?;
    Nesting::default().closed(bytes)?;
    text.parse::<JsonValue>().map_err(|e| format!("not JSON: {e}"))
}

/// A value, and the path that leads to it.
#[derive(Clone)]
pub struct Field<'a> {
    path: String,
    value: &'a JsonValue,
}

impl<'a> Field<'a> {
    pub fn root(value: &'a JsonValue) -> Self {
        Field { path: String::new(), value }
    }

    fn wrong<T>(&self, wanted: &str) -> Result<T, String> {
        let path = if self.path.is_empty() { "the whole" } else { &self.path };
        Err(format!("{path}: must be {wanted}"))
    }

    fn object(&self) -> Result<&'a HashMap<String, JsonValue>, String> {
        self.value.get().map_or_else(|| self.wrong("an object"), Ok)
    }

    /// A member that may be missing; null equals missing.
    pub fn opt(&self, name: &str) -> Result<Option<Field<'a>>, String> {
        let dot = if self.path.is_empty() { "" } else { "." };
        let path = format!("{}{dot}{name}", self.path);
        let value = self.object()?.get(name).filter(|value| !value.is_null());
        Ok(value.map(|value| Field { path, value }))
    }

    /// A member that must be there.
    pub fn get(&self, name: &str) -> Result<Field<'a>, String> {
        let dot = if self.path.is_empty() { "" } else { "." };
        self.opt(name)?.ok_or_else(|| format!("{}{dot}{name}: missing", self.path))
    }

    pub fn items(&self) -> Result<Vec<Field<'a>>, String> {
        let Some(items) = self.value.get::<Vec<JsonValue>>() else { return self.wrong("a list") };
        let item = |(n, value)| Field { path: format!("{}[{n}]", self.path), value };
        Ok(items.iter().enumerate().map(item).collect())
    }

    pub fn text(&self) -> Result<&'a str, String> {
        self.value.get::<String>().map_or_else(|| self.wrong("text"), |text| Ok(text.as_str()))
    }

    pub fn flag(&self) -> Result<bool, String> {
        self.value.get::<bool>().map_or_else(|| self.wrong("true or false"), |flag| Ok(*flag))
    }

    pub fn number(&self) -> Result<f64, String> {
        match self.value.get::<f64>() {
            Some(x) if x.is_finite() => Ok(*x),
            _ => self.wrong("a number"),
        }
    }

    /// A whole number that fits the type asked for.
    pub fn whole<T: TryFrom<u64>>(&self) -> Result<T, String> {
        const EXACT: f64 = 9_007_199_254_740_992.0;
        let x = self.number()?;
        let whole = (0.0..=EXACT).contains(&x) && x.fract() == 0.0;
        let fitting = if whole { T::try_from(x as u64).ok() } else { None };
        fitting.map_or_else(|| self.wrong("a whole number in range"), Ok)
    }

    /// One of the given words, as what it stands for.
    pub fn word<T: Copy>(&self, words: &[(&str, T)]) -> Result<T, String> {
        let text = self.text()?;
        let found = words.iter().find(|(word, _)| *word == text);
        let known = || words.iter().map(|(word, _)| *word).collect::<Vec<_>>().join(", ");
        found.map_or_else(|| self.wrong(&format!("one of {}", known())), |(_, value)| Ok(*value))
    }

    /// Says of this field what is wrong with it.
    pub fn error(&self, what: &str) -> String {
        format!("{}: {what}", self.path)
    }
}
