//! Parses the head and the chunk lines of HTTP/1.1 requests that may be incomplete.

/// How many header lines a head may have; hyper's own limit.
const MAX_HEADERS: usize = 100;

/// The result of parsing a request's head. Lengths are in bytes.
#[derive(Debug, PartialEq)]
pub enum Head {
    /// More bytes are needed.
    Partial,
    /// The bytes are not the head of a request.
    Unreadable,
    /// The body's length can be read in two ways.
    Ambiguous {
        /// The length of the head.
        head: usize,
    },
    /// A body of known length follows, which may be empty.
    Sized {
        /// The length of the head.
        head: usize,
        /// The length of the body.
        body: u64,
    },
    /// A chunked body follows.
    Chunked {
        /// The length of the head.
        head: usize,
    },
}

/// The result of parsing a chunk line of a chunked body. Lengths are in bytes.
#[derive(Debug, PartialEq)]
pub enum Chunk {
    /// More bytes are needed.
    Partial,
    /// The bytes are not a chunk line.
    Unreadable,
    /// The length of the line, the chunk and the line end after it.
    Sized(u64),
    /// The length of the last chunk's line and the trailers.
    Last(usize),
}

/// Parses the head of a request at the start of the bytes.
pub fn parse_head(bytes: &[u8]) -> Head {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Head::Partial,
        Err(_) => return Head::Unreadable,
    };
    let content_lengths = header_values(request.headers, "content-length");
    let transfer_encodings = header_values(request.headers, "transfer-encoding");
    match (content_lengths.as_slice(), transfer_encodings.as_slice()) {
        ([], []) => Head::Sized { head, body: 0 },
        ([length], []) => match parse_length(length) {
            Some(body) => Head::Sized { head, body },
            None => Head::Ambiguous { head },
        },
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => Head::Chunked { head },
        _ => Head::Ambiguous { head },
    }
}

/// The values of all headers of this name.
fn header_values<'a>(headers: &[httparse::Header<'a>], name: &str) -> Vec<&'a [u8]> {
    let named = headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
    named.map(|header| header.value).collect()
}

/// Parses the chunk line at the start of the bytes.
pub fn parse_chunk(bytes: &[u8]) -> Chunk {
    match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((line, 0))) => parse_trailers(&bytes[line..], line),
        Ok(httparse::Status::Complete((line, size))) => {
            let framing_length = (line + "\r\n".len()) as u64;
            size.checked_add(framing_length).map_or(Chunk::Unreadable, Chunk::Sized)
        }
        Ok(httparse::Status::Partial) => Chunk::Partial,
        Err(_) => Chunk::Unreadable,
    }
}

/// Parses the trailers after the last chunk's line, which has this length.
fn parse_trailers(bytes: &[u8], last_line: usize) -> Chunk {
    let mut trailers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(bytes, &mut trailers) {
        Ok(httparse::Status::Complete((end, _))) => Chunk::Last(last_line + end),
        Ok(httparse::Status::Partial) => Chunk::Partial,
        Err(_) => Chunk::Unreadable,
    }
}

/// Parses a `Content-Length` of digits only; signs, lists and blanks are not accepted.
fn parse_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    if !is_number {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}

#[cfg(test)]
mod tests;
