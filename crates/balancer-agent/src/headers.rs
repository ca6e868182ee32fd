//! Headers that pass from clients to servers.

use hyper::header::HeaderMap;

/// Headers that belong to the connection or are set anew; they are not forwarded.
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

/// The headers that are forwarded: neither the listed ones nor those that `Connection` names.
pub fn forwarded_headers(headers: &HeaderMap) -> HeaderMap {
    let connection_values = headers.get_all("connection").iter().filter_map(|value| value.to_str().ok());
    let connection_names: Vec<String> = connection_values
        .flat_map(|value| value.split(',').map(|name| name.trim().to_ascii_lowercase()))
        .collect();
    let is_forwarded =
        |name: &str| !NOT_FORWARDED.contains(&name) && !connection_names.iter().any(|named| named == name);
    let forwarded = headers.iter().filter(|(name, _)| is_forwarded(name.as_str()));
    forwarded.map(|(name, value)| (name.clone(), value.clone())).collect()
}

#[cfg(test)]
mod tests;
