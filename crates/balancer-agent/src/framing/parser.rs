//! A parser for the heads and chunk headers of HTTP/1.1 requests, which may have been received in part.
//!
//! A chunk header is the line before the data of a chunk, which states the chunk's size.

/// The maximum number of header lines in a head, which is also hyper's limit.
const MAX_HEADERS: usize = 100;

/// The result of parsing a request's head. Sizes are in bytes.
#[derive(Debug, PartialEq)]
pub enum Head {
    /// The head has not been received completely.
    Partial,
    /// The bytes are not a valid request head.
    Invalid,
    /// The body's length is ambiguous: the headers state it more than once, or in a form that is not
    /// supported.
    Ambiguous {
        /// The size of the head.
        head_size: usize,
    },
    /// A body of a known size follows. The size may be 0.
    Sized {
        /// The size of the head.
        head_size: usize,
        /// The size of the body.
        body_size: u64,
    },
    /// A chunked body follows.
    Chunked {
        /// The size of the head.
        head_size: usize,
    },
}

/// The result of parsing a chunk header. Sizes are in bytes.
#[derive(Debug, PartialEq)]
pub enum ChunkHeader {
    /// The chunk header, or the trailers after the last chunk header, have not been received completely.
    Partial,
    /// The bytes are not a valid chunk header, or invalid trailers follow the header of the last chunk.
    Invalid,
    /// A chunk that is not the last one. The value is the total size of the chunk header, the data and the
    /// line end after the data.
    Sized(u64),
    /// The last chunk, which has no data. The value is the total size of the chunk header and the trailers.
    Last(usize),
}

/// Parses the head of a request at the start of the bytes.
pub fn parse_head(bytes: &[u8]) -> Head {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head_size = match request.parse(bytes) {
        Ok(httparse::Status::Complete(head_size)) => head_size,
        Ok(httparse::Status::Partial) => return Head::Partial,
        Err(_) => return Head::Invalid,
    };
    let content_lengths = header_values(request.headers, "content-length");
    let transfer_encodings = header_values(request.headers, "transfer-encoding");
    match (content_lengths.as_slice(), transfer_encodings.as_slice()) {
        ([], []) => Head::Sized { head_size, body_size: 0 },
        ([length], []) => match parse_length(length) {
            Some(body_size) => Head::Sized { head_size, body_size },
            None => Head::Ambiguous { head_size },
        },
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => Head::Chunked { head_size },
        _ => Head::Ambiguous { head_size },
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
        Ok(httparse::Status::Complete((header_end, 0))) => parse_trailers(&bytes[header_end..], header_end),
        Ok(httparse::Status::Complete((header_end, data_size))) => {
            let framing_size = (header_end + "\r\n".len()) as u64;
            data_size.checked_add(framing_size).map_or(ChunkHeader::Invalid, ChunkHeader::Sized)
        }
        Ok(httparse::Status::Partial) => ChunkHeader::Partial,
        Err(_) => ChunkHeader::Invalid,
    }
}

/// Parses the trailers at the start of the bytes. `header_end` is the end of the last chunk header, which the
/// trailers follow.
fn parse_trailers(bytes: &[u8], header_end: usize) -> ChunkHeader {
    let mut trailers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(bytes, &mut trailers) {
        Ok(httparse::Status::Complete((trailers_size, _))) => ChunkHeader::Last(header_end + trailers_size),
        Ok(httparse::Status::Partial) => ChunkHeader::Partial,
        Err(_) => ChunkHeader::Invalid,
    }
}

/// Parses the value of a `Content-Length` header. Returns `None` if the value is too large or does not
/// consist of digits only. Signs, lists and blanks are not accepted.
fn parse_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    if !is_number {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}

#[cfg(test)]
mod tests;
