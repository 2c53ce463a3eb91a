//! Selects the headers that pass through the gateway.

use http::header::{self, HeaderMap, HeaderName, HeaderValue};

use super::dialect::HeaderNames;

/// Returns whether a header concerns a single connection (RFC 9110, section 7.6.1) or is an older
/// header that is treated in the same way.
fn is_hop_by_hop(name: &HeaderName) -> bool {
    const NAMES: [HeaderName; 6] = [
        header::CONNECTION,
        header::TE,
        header::TRAILER,
        header::TRANSFER_ENCODING,
        header::UPGRADE,
        header::PROXY_AUTHORIZATION,
    ];
    NAMES.contains(name) || matches!(name.as_str(), "keep-alive" | "proxy-connection")
}

/// Returns a copy of the end-to-end headers.
pub(crate) fn end_to_end(headers: &HeaderMap) -> HeaderMap {
    let listed: Vec<String> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .map(|name| name.trim().to_ascii_lowercase())
        .collect();
    let mut kept = HeaderMap::with_capacity(headers.len());
    for (name, value) in headers {
        if !is_hop_by_hop(name) && !listed.iter().any(|listed| listed == name.as_str()) {
            kept.append(name.clone(), value.clone());
        }
    }
    kept
}

/// Returns the headers of a request to an endpoint, without those that differ between dispatches
/// (deadline, expected endpoint).
pub(crate) fn for_endpoint(
    headers: &HeaderMap,
    names: &HeaderNames,
    workspace: Option<&str>,
) -> HeaderMap {
    let mut kept = end_to_end(headers);
    for name in [&names.api_key, &names.workspace, &names.expected_endpoint] {
        kept.remove(name);
    }
    for name in &names.reserved {
        kept.remove(name);
    }
    // The body is sent in one piece with its own length.
    kept.remove(header::CONTENT_LENGTH);
    kept.remove(header::EXPECT);
    if let Some(value) = workspace.and_then(|name| HeaderValue::from_str(name).ok()) {
        kept.insert(names.workspace.clone(), value);
    }
    kept
}

/// Returns the value of a header if it is text.
pub(crate) fn text<'a>(headers: &'a HeaderMap, name: &HeaderName) -> Option<&'a str> {
    headers.get(name).and_then(|value| value.to_str().ok())
}
