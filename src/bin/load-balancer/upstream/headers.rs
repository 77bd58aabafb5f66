//! Headers of forwarded requests and responses.

use hyper::header::{HeaderMap, HeaderName, CONNECTION};

/// Returns the headers that a proxy forwards. Hop-by-hop headers are dropped, and so is
/// Content-Length, which is set again for the forwarded message if the length of its body is known.
#[must_use]
pub fn end_to_end_headers(headers: &HeaderMap) -> HeaderMap {
    const HOP_BY_HOP: [&str; 10] = [
        "connection",
        "content-length",
        "expect",
        "keep-alive",
        "proxy-authenticate",
        "proxy-authorization",
        "te",
        "trailer",
        "transfer-encoding",
        "upgrade",
    ];
    let is_hop_by_hop = |name: &HeaderName| {
        HOP_BY_HOP.contains(&name.as_str()) || lists_token(headers, CONNECTION, name.as_str())
    };
    headers
        .iter()
        .filter(|(name, _)| !is_hop_by_hop(name))
        .map(|(name, value)| (name.clone(), value.clone()))
        .collect()
}

/// Returns whether the comma-separated values of the header `list` contain `token`, ignoring case.
pub(super) fn lists_token(headers: &HeaderMap, list: HeaderName, token: &str) -> bool {
    headers
        .get_all(list)
        .into_iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .any(|item| item.trim().eq_ignore_ascii_case(token))
}
