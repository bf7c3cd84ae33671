//! Splits JSON text at its commas without decoding it, so that a long text is decoded one piece at a time. A decoded
//! value may take twenty times the memory of its text.

use tinyjson::JsonValue;

use crate::json::{self, JsonError};

/// The pieces of a text between its commas, except those within strings and brackets.
pub struct Pieces<'a> {
    rest: Option<&'a [u8]>,
}

impl<'a> Iterator for Pieces<'a> {
    type Item = &'a [u8];

    fn next(&mut self) -> Option<&'a [u8]> {
        let rest = self.rest.take()?;
        let Some(comma) = find_outside(rest, b',') else { return Some(rest) };
        self.rest = Some(&rest[comma + 1..]);
        Some(&rest[..comma])
    }
}

/// Returns the position of a byte outside of all strings and brackets.
fn find_outside(text: &[u8], wanted: u8) -> Option<usize> {
    let (mut depth, mut is_quoted, mut is_escaped) = (0_usize, false, false);
    text.iter().position(|byte| {
        match byte {
            _ if is_escaped => is_escaped = false,
            b'\\' if is_quoted => is_escaped = true,
            b'"' => is_quoted = !is_quoted,
            _ if is_quoted => {}
            b'[' | b'{' => depth += 1,
            b']' | b'}' => depth = depth.saturating_sub(1),
            byte => return depth == 0 && *byte == wanted,
        }
        false
    })
}

/// Returns the pieces between two brackets; `None` if the text is not in such brackets.
fn pieces_between(text: &[u8], open: u8, close: u8) -> Option<Pieces<'_>> {
    let inner = text.trim_ascii().strip_prefix(&[open])?.strip_suffix(&[close])?;
    let is_empty = inner.trim_ascii().is_empty();
    Some(Pieces { rest: (!is_empty).then_some(inner) })
}

/// Returns the text of the items of an array; `None` if the text is not in the brackets of one. The items need not be
/// valid JSON.
pub fn items(array: &[u8]) -> Option<Pieces<'_>> {
    pieces_between(array, b'[', b']')
}

/// Returns the names of the members of an object and the texts of their values; `None` if the text is not in the
/// brackets of one. The values need not be valid JSON.
pub fn members(object: &[u8]) -> Option<impl Iterator<Item = Result<(String, &[u8]), JsonError>>> {
    Some(pieces_between(object, b'{', b'}')?.map(split_member))
}

fn split_member(member: &[u8]) -> Result<(String, &[u8]), JsonError> {
    let syntax_error = || JsonError::Syntax("a member must be a string, a colon and a value".to_owned());
    let colon = find_outside(member, b':').ok_or_else(syntax_error)?;
    let (name, value) = (member[..colon].trim_ascii(), &member[colon + 1..]);
    match json::decode(name)? {
        JsonValue::String(name) => Ok((name, value)),
        _ => Err(syntax_error()),
    }
}

/// Checks that a text is JSON, without keeping what it decodes.
///
/// # Errors
///
/// Returns an error if the text is not one JSON value.
pub fn validate(text: &[u8]) -> Result<(), JsonError> {
    if let Some(mut items) = items(text) {
        return items.try_for_each(validate);
    }
    if let Some(mut members) = members(text) {
        return members.try_for_each(|member| validate(member?.1));
    }
    // Brackets that are not closed are not JSON, and need not be decoded to tell.
    match text.trim_ascii().first() {
        Some(b'[' | b'{') => Err(JsonError::Syntax("a bracket is not closed".to_owned())),
        _ => json::decode(text).map(drop),
    }
}
