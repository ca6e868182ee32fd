//! Reading heads and chunk lines of HTTP/1.1 requests from the bytes so far.

/// Header lines that a head may have; hyper's own bound.
const MAX_HEADERS: usize = 100;

/// What the bytes so far are: a complete head with its length and that of its body, or less.
#[derive(Debug, PartialEq)]
pub enum Head {
    Partial,
    Unreadable,
    /// The body's length can be read in two ways.
    Ambiguous {
        head: usize,
    },
    Sized {
        head: usize,
        body: u64,
    },
    Chunked {
        head: usize,
    },
}

/// What the bytes so far are of a chunked body: a chunk's line, or the end of the body.
#[derive(Debug, PartialEq)]
pub enum Chunk {
    Partial,
    Unreadable,
    /// The length of the line, the chunk and its end.
    Sized(u64),
    /// The length of the last line and the trailers.
    Last(usize),
}

/// Reads the head that the bytes begin with.
pub fn parse_head(bytes: &[u8]) -> Head {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    let head = match request.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Head::Partial,
        Err(_) => return Head::Unreadable,
    };
    let values = |name: &str| {
        let named = request.headers.iter().filter(|header| header.name.eq_ignore_ascii_case(name));
        named.map(|header| header.value).collect::<Vec<_>>()
    };
    match (values("content-length").as_slice(), values("transfer-encoding").as_slice()) {
        ([], []) => Head::Sized { head, body: 0 },
        ([length], []) => match parse_length(length) {
            Some(body) => Head::Sized { head, body },
            None => Head::Ambiguous { head },
        },
        ([], [coding]) if coding.eq_ignore_ascii_case(b"chunked") => Head::Chunked { head },
        _ => Head::Ambiguous { head },
    }
}

/// Reads the chunk line that the bytes begin with.
pub fn parse_chunk(bytes: &[u8]) -> Chunk {
    match httparse::parse_chunk_size(bytes) {
        Ok(httparse::Status::Complete((line, 0))) => parse_trailers(&bytes[line..], line),
        Ok(httparse::Status::Complete((line, size))) => {
            let length = size.checked_add((line + "\r\n".len()) as u64);
            length.map_or(Chunk::Unreadable, Chunk::Sized)
        }
        Ok(httparse::Status::Partial) => Chunk::Partial,
        Err(_) => Chunk::Unreadable,
    }
}

fn parse_trailers(bytes: &[u8], last_line: usize) -> Chunk {
    let mut trailers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    match httparse::parse_headers(bytes, &mut trailers) {
        Ok(httparse::Status::Complete((end, _))) => Chunk::Last(last_line + end),
        Ok(httparse::Status::Partial) => Chunk::Partial,
        Err(_) => Chunk::Unreadable,
    }
}

/// Digits and nothing else: no sign, no list, no blank in between.
fn parse_length(value: &[u8]) -> Option<u64> {
    let is_number = !value.is_empty() && value.iter().all(u8::is_ascii_digit);
    if !is_number {
        return None;
    }
    std::str::from_utf8(value).ok()?.parse().ok()
}

#[cfg(test)]
mod tests;
