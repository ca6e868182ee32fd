//! A parser for the heads and chunk headers of HTTP/1.1 requests, which may have been received in part.
//!
//! A chunk header is the line before the data of a chunk, which states the chunk's size.

/// The maximum number of header lines in a head, which is also hyper's limit.
const MAX_HEADERS: usize = 100;

/// The result of parsing a request's head. Lengths are in bytes.
#[derive(Debug, PartialEq)]
pub enum Head {
    /// More bytes are needed.
    Partial,
    /// The bytes are not a valid request head.
    Invalid,
    /// The body's length is ambiguous: the headers state it more than once, or in a form that is not
    /// supported.
    Ambiguous {
        /// The length of the head.
        head: usize,
    },
    /// A body of a known length follows. The length may be 0.
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

/// The result of parsing a chunk header. Lengths are in bytes.
#[derive(Debug, PartialEq)]
pub enum ChunkHeader {
    /// More bytes are needed.
    Partial,
    /// The bytes are not a valid chunk header, or invalid trailers follow the header of the last chunk.
    Invalid,
    /// A chunk follows. The value is the length of the chunk header, the chunk's data and the line end after
    /// the data.
    Sized(u64),
    /// The last chunk, which has no data. The value is the length of the chunk header and the trailers.
    Last(usize),
}

/// Parses the head of a request at the start of the bytes.
pub fn parse_head(bytes: &[u8]) -> Head {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Head::Partial,
        Err(_) => return Head::Invalid,
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

/// Returns the values of all headers with this name.
fn header_values<'a>(headers: &[httparse::Header<'a>], name: &str) -> Vec<&'a [u8]> {
    let named = headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
    named.map(|header| header.value).collect()
}

/// Parses the chunk header at the start of the bytes, and the trailers if the chunk is the last one.
pub fn parse_chunk_header(bytes: &[u8]) -> ChunkHeader {
    match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((header, 0))) => parse_trailers(&bytes[header..], header),
        Ok(httparse::Status::Complete((header, size))) => {
            let framing_length = (header + "\r\n".len()) as u64;
            size.checked_add(framing_length).map_or(ChunkHeader::Invalid, ChunkHeader::Sized)
        }
        Ok(httparse::Status::Partial) => ChunkHeader::Partial,
        Err(_) => ChunkHeader::Invalid,
    }
}

/// Parses the trailers after the last chunk header, whose length is `last_header`.
fn parse_trailers(bytes: &[u8], last_header: usize) -> ChunkHeader {
    let mut trailers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(bytes, &mut trailers) {
        Ok(httparse::Status::Complete((end, _))) => ChunkHeader::Last(last_header + end),
        Ok(httparse::Status::Partial) => ChunkHeader::Partial,
        Err(_) => ChunkHeader::Invalid,
    }
}

/// Parses the value of a `Content-Length` header. Returns `None` unless it consists of digits only: signs,
/// lists and blanks are not accepted.
fn parse_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    if !is_number {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}

#[cfg(test)]
mod tests;
