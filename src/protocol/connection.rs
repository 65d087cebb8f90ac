//! Hop-by-hop headers.

use std::time::Duration;

use http::{HeaderMap, HeaderName, Version, header};

use crate::state::call::KeepAlive;

/// Headers that are never forwarded.
const HOP_BY_HOP: &[&str] = &[
    "connection",
    "content-length",
    "expect",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Removes hop-by-hop headers, including those listed in `Connection`.
///
/// ```
/// use persimmoncroft::protocol::connection;
/// let mut headers = http::HeaderMap::new();
/// headers.insert("connection", "x-hop".parse().unwrap());
/// headers.insert("x-hop", "1".parse().unwrap());
/// headers.insert("x-kept", "1".parse().unwrap());
/// connection::strip(&mut headers);
/// assert_eq!(headers.len(), 1);
/// ```
pub fn strip(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    for name in named {
        headers.remove(name);
    }
    for name in HOP_BY_HOP {
        headers.remove(*name);
    }
}

/// Returns how long a connection may be reused after a response with this version and these headers.
///
/// ```
/// use std::time::Duration;
/// use persimmoncroft::protocol::connection;
/// use persimmoncroft::state::call::KeepAlive;
/// let mut headers = http::HeaderMap::new();
/// headers.insert("keep-alive", "timeout=5, max=100".parse().unwrap());
/// let keep = connection::keep_alive(http::Version::HTTP_11, &headers);
/// assert_eq!(keep, KeepAlive::For(Duration::from_secs(5)));
/// ```
pub fn keep_alive(version: Version, headers: &HeaderMap) -> KeepAlive {
    let closes = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|token| token.trim().eq_ignore_ascii_case("close"));
    if closes || version != Version::HTTP_11 {
        return KeepAlive::Close;
    }
    let header_value = headers.get("keep-alive").and_then(|v| v.to_str().ok());
    let seconds = header_value.and_then(|value| {
        let mut fields = value.split(',');
        fields.find_map(|field| field.trim().strip_prefix("timeout="))
    });
    match seconds.and_then(|seconds| seconds.trim().parse().ok()) {
        Some(seconds) => KeepAlive::For(Duration::from_secs(seconds)),
        None => KeepAlive::Open,
    }
}
