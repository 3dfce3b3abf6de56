//! Writing responses.

/// Writes a response with a body. `close`: the connection is closed after it.
pub fn write_response(
    out: &mut Vec<u8>,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
    close: bool,
) {
    let length = body.len().to_string();
    let all_headers = [("Content-Length", length.as_str())]
        .into_iter()
        .chain(headers.iter().copied());
    write_head(out, status, all_headers, close);
    out.extend_from_slice(body);
}

/// Writes a chunk, or nothing if `data` is empty: an empty chunk would end the body.
pub fn write_chunk(out: &mut Vec<u8>, data: &[u8]) {
    use std::io::Write;
    if data.is_empty() {
        return;
    }
    // Writing to a vector cannot fail.
    let _ = write!(out, "{:x}\r\n", data.len());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Writes the head of a response. `close`: the connection is closed after it.
pub fn write_head<'a>(
    out: &mut Vec<u8>,
    status: u16,
    headers: impl Iterator<Item = (&'a str, &'a str)>,
    close: bool,
) {
    use std::io::Write;
    let reason = match status {
        200 => "OK",
        307 => "Temporary Redirect",
        400 => "Bad Request",
        401 => "Unauthorized",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        413 => "Content Too Large",
        421 => "Misdirected Request",
        429 => "Too Many Requests",
        431 => "Request Header Fields Too Large",
        502 => "Bad Gateway",
        503 => "Service Unavailable",
        504 => "Gateway Timeout",
        _ => "Other",
    };
    // Writing to a vector cannot fail.
    let _ = write!(out, "HTTP/1.1 {status} {reason}\r\n");
    for (name, value) in headers {
        let _ = write!(out, "{name}: {value}\r\n");
    }
    out.extend_from_slice(if close {
        b"Connection: close\r\n\r\n"
    } else {
        b"\r\n"
    });
}
