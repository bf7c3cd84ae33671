//! Finds a string in a JSON object without decoding the object.

use std::ops::Range;

/// A scan of the members of a JSON object, whose bytes need not be valid JSON.
struct MemberScan<'a> {
    object: &'a [u8],
    position: usize,
}

impl MemberScan<'_> {
    fn skip_whitespace(&mut self) {
        let rest = &self.object[self.position..];
        self.position += rest.iter().take_while(|byte| byte.is_ascii_whitespace()).count();
    }

    /// Passes over a byte if it comes next, after whitespace.
    fn skip(&mut self, expected: u8) -> bool {
        self.skip_whitespace();
        let is_next = self.object.get(self.position) == Some(&expected);
        self.position += usize::from(is_next);
        is_next
    }

    /// Passes over a string without escapes, and returns the range between its quotes; `None` if none comes next.
    fn skip_plain_string(&mut self) -> Option<Range<usize>> {
        if !self.skip(b'"') {
            return None;
        }
        let start = self.position;
        let needs_decoding = |byte: &u8| matches!(byte, b'"' | b'\\' | 0..=0x1f);
        let length = self.object[start..].iter().position(needs_decoding)?;
        self.position = start + length + 1;
        (self.object[start + length] == b'"').then_some(start..start + length)
    }

    /// Passes over any value. Returns `None` if the object ends within it, or it has strings with escapes.
    fn skip_value(&mut self) -> Option<()> {
        let mut depth: usize = 0;
        loop {
            self.skip_whitespace();
            match self.object.get(self.position)? {
                b'"' => _ = self.skip_plain_string()?,
                b',' | b'}' if depth == 0 => return Some(()),
                b'[' | b'{' => (depth, self.position) = (depth + 1, self.position + 1),
                b']' | b'}' => (depth, self.position) = (depth.checked_sub(1)?, self.position + 1),
                _ => self.position += 1,
            }
        }
    }
}

/// Returns the range of a member's string in a JSON object, between the quotes. Returns `None` if the object has no
/// such member or more than one, or if the string or another one before it needs decoding: whether it is there is then
/// known only once the object is decoded.
pub fn find_plain_member(object: &[u8], name: &str) -> Option<Range<usize>> {
    let mut scan = MemberScan { object, position: 0 };
    let mut found = None;
    if !scan.skip(b'{') {
        return None;
    }
    loop {
        let key = scan.skip_plain_string()?;
        if !scan.skip(b':') {
            return None;
        }
        if &object[key] == name.as_bytes() {
            let value = scan.skip_plain_string()?;
            if found.replace(value).is_some() {
                return None;
            }
        } else {
            scan.skip_value()?;
        }
        if !scan.skip(b',') {
            return found.filter(|_| scan.skip(b'}'));
        }
    }
}
