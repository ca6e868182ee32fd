//! The headers of a client's request, and the selection of those that are forwarded to servers.

use hyper::header::HeaderMap;

/// The header with a request's id.
pub const REQUEST_ID_HEADER: &str = "x-request-id";
/// The headers that are not forwarded, because they apply only to the client's connection or because the
/// agent sets its own value.
const NOT_FORWARDED: [&str; 12] = [
    "connection",
    "keep-alive",
    "proxy-connection",
    "proxy-authenticate",
    "proxy-authorization",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
    "expect",
    "content-length",
    "x-timeout",
];

/// Returns the value of a header, or `None` if the header is missing or its value is not ASCII text.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}

/// Returns the headers that are forwarded: all except those in [`NOT_FORWARDED`] and those that a
/// `Connection` header lists.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_values = headers.get_all("connection").iter().filter_map(|value| value.to_str().ok());
    let listed_names: Vec<String> = connection_values
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let is_forwarded =
        |name: &str| !NOT_FORWARDED.contains(&name) && !listed_names.iter().any(|listed| listed == name);
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name.as_str()));
    forwarded.map(|(name, value)| (name.clone(), value.clone())).collect()
}

#[cfg(test)]
mod tests;
