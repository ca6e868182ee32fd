//! The text of an endpoint list while it is received.

/// The longest text of a list, in bytes, with each run of whitespace counted as one byte. The STANDING page
/// allows 500 bytes for each server of the largest fleet, 3,200 servers.
pub const MAX_LIST_BYTES: usize = 2 << 20;
/// The longest response with a list, in bytes, with all whitespace. No page limits the indentation of lists.
pub const MAX_RESPONSE_BYTES: usize = 64 << 20;

/// The JSON text of a list, as far as it has been received.
///
/// Lists may be indented, so most of a response may be whitespace. Each run of whitespace outside strings is
/// kept as one space, which does not change the meaning of the text.
#[derive(Default)]
pub struct ListText {
    text: Vec<u8>,
    response_bytes: usize,
    position: Position,
}

/// What the next byte of a text belongs to.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Position {
    /// A token that is not a string, or the beginning of a string or of whitespace.
    #[default]
    Token,
    /// A run of whitespace.
    Whitespace,
    /// A string.
    String,
    /// A string, directly after a backslash.
    Escape,
}

/// The list is longer than permitted.
#[derive(Debug, PartialEq, Eq)]
pub struct ListTooLong;

impl ListText {
    /// Appends the next part of the response.
    ///
    /// # Errors
    ///
    /// Returns an error if the response exceeds [`MAX_RESPONSE_BYTES`], or the text [`MAX_LIST_BYTES`].
    pub fn push(&mut self, part: &[u8]) -> Result<(), ListTooLong> {
        self.response_bytes += part.len();
        if self.response_bytes > MAX_RESPONSE_BYTES {
            return Err(ListTooLong);
        }
        for byte in part {
            self.push_byte(*byte)?;
        }
        Ok(())
    }

    /// Returns the text that has been received.
    pub fn as_bytes(&self) -> &[u8] {
        &self.text
    }

    fn push_byte(&mut self, byte: u8) -> Result<(), ListTooLong> {
        let position = self.position.after(byte);
        let is_repeated_whitespace = position == Position::Whitespace && self.position == position;
        self.position = position;
        if is_repeated_whitespace {
            return Ok(());
        }
        if self.text.len() == MAX_LIST_BYTES {
            return Err(ListTooLong);
        }
        self.text.push(if position == Position::Whitespace { b' ' } else { byte });
        Ok(())
    }
}

impl Position {
    /// Returns the position after a byte at this position.
    fn after(self, byte: u8) -> Self {
        match (self, byte) {
            (Position::String, b'\\') => Position::Escape,
            (Position::String, b'"') => Position::Token,
            (Position::String | Position::Escape, _) | (Position::Token | Position::Whitespace, b'"') => {
                Position::String
            }
            (Position::Token | Position::Whitespace, b' ' | b'\t' | b'\n' | b'\r') => Position::Whitespace,
            (Position::Token | Position::Whitespace, _) => Position::Token,
        }
    }
}

#[cfg(test)]
mod tests;
