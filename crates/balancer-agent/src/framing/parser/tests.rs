//! Tests of the parsing of heads and chunk headers: body lengths that are accepted, and ambiguous ones.

use super::*;

/// Parses the head of a request with these header lines.
fn parse_with(header_lines: &str) -> Head {
    parse_head(format!("POST /pay HTTP/1.1\r\n{header_lines}\r\nrest").as_bytes())
}

#[test]
fn a_length_that_can_be_read_in_two_ways_is_ambiguous() {
    for header_lines in [
        "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: chunked\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\nContent-Length: 4\r\n",
        "Content-Length: 4\r\ncontent-length: 5\r\n",
        "Content-Length: 4, 4\r\n",
        "Content-Length: +4\r\n",
        "Content-Length: -1\r\n",
        "Content-Length: 4 4\r\n",
        "Content-Length: 0x4\r\n",
        "Content-Length:\r\n",
        "Content-Length: 99999999999999999999999\r\n",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n",
        "Transfer-Encoding: identity\r\n",
    ] {
        let head_size = "POST /pay HTTP/1.1\r\n\r\n".len() + header_lines.len();
        assert_eq!(parse_with(header_lines), Head::Ambiguous { head_size }, "{header_lines}");
    }
}

#[test]
fn a_chunked_body_ends_with_its_last_chunk_and_the_trailers() {
    assert_eq!(parse_chunk_header(b"4\r\nabcd\r\n0\r\n\r\n"), ChunkHeader::Sized(9));
    assert_eq!(parse_chunk_header(b"4;a=b\r\n"), ChunkHeader::Sized(13));
    assert_eq!(parse_chunk_header(b"0\r\n\r\nGET "), ChunkHeader::Last(5));
    assert_eq!(parse_chunk_header(b"0\r\nA: b\r\n\r\nGET "), ChunkHeader::Last(11));
    for partial in [&b""[..], b"4", b"4\r", b"0\r\n", b"0\r\n\r", b"0\r\nA: b\r\n"] {
        assert_eq!(parse_chunk_header(partial), ChunkHeader::Partial, "{partial:?}");
    }
    for invalid in [&b"x\r\n"[..], b"fffffffffffffffff\r\n", b"0\r\nno colon\r\n\r\n"] {
        assert_eq!(parse_chunk_header(invalid), ChunkHeader::Invalid, "{invalid:?}");
    }
}

#[test]
fn unambiguous_lengths_are_parsed() {
    assert_eq!(parse_with("Content-Length: 4\r\n"), Head::Sized { head_size: 41, body_size: 4 });
    assert_eq!(parse_with("A: b\r\n"), Head::Sized { head_size: 28, body_size: 0 });
    assert_eq!(parse_with("transfer-encoding: Chunked\r\n"), Head::Chunked { head_size: 50 });
    assert_eq!(parse_head(b"POST /pay HTTP/1.1\r\nContent-Le"), Head::Partial);
    assert_eq!(parse_head(b"\0\x01\x02"), Head::Invalid);
}
