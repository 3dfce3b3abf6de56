//! An HTTP request to a replica with an absolute deadline.

use std::io::{ErrorKind, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Instant;

use eyre::{WrapErr, ensure, eyre};

/// The maximum size of a response body, in bytes.
const MAX_BODY_BYTES: usize = 64 * 1024 * 1024;
/// The maximum size of a response head, in bytes.
const MAX_HEAD_BYTES: usize = 16 * 1024;

/// Requests a path with GET, and returns the body of the response.
///
/// # Errors
/// The response is not complete by the deadline, is invalid, or has a status other than 200. The error names the address and
/// the step that failed.
pub fn get(address: SocketAddr, path: &str, deadline: Instant) -> eyre::Result<Vec<u8>> {
    let (status, body) = request(address, path, deadline)
        .wrap_err_with(|| format!("asking {address} for {path}"))?;
    let excerpt = || {
        String::from_utf8_lossy(&body)
            .chars()
            .take(200)
            .collect::<String>()
    };
    ensure!(
        status == 200,
        "asking {address} for {path}: answered {status}: {}",
        excerpt()
    );
    Ok(body)
}

fn request(address: SocketAddr, path: &str, deadline: Instant) -> eyre::Result<(u16, Vec<u8>)> {
    let time_left = || {
        let time_left = deadline.saturating_duration_since(Instant::now());
        if time_left.is_zero() {
            Err(eyre!("no answer in time"))
        } else {
            Ok(time_left)
        }
    };
    let mut stream = TcpStream::connect_timeout(&address, time_left()?).wrap_err("connecting")?;
    stream
        .set_write_timeout(Some(time_left()?))
        .wrap_err("writing")?;
    let request = format!("GET {path} HTTP/1.1\r\nHost: {address}\r\nConnection: close\r\n\r\n");
    stream.write_all(request.as_bytes()).wrap_err("writing")?;
    let (mut input, mut buffer) = (Vec::new(), [0; 16 * 1024]);
    loop {
        if let Some(response) = parse_response(&input)? {
            return Ok(response);
        }
        stream
            .set_read_timeout(Some(time_left()?))
            .wrap_err("reading")?;
        match stream.read(&mut buffer) {
            Ok(0) => {
                return Err(eyre!("reading: it ended in the middle of an answer"));
            }
            Ok(length) => input.extend_from_slice(&buffer[..length]),
            Err(error) if error.kind() == ErrorKind::Interrupted => {}
            Err(error) => return Err(error).wrap_err("reading"),
        }
    }
}

/// Parses the status and the body; `None` if the response is not complete.
fn parse_response(input: &[u8]) -> eyre::Result<Option<(u16, Vec<u8>)>> {
    let Some(end) = input
        .windows(4)
        .take(MAX_HEAD_BYTES)
        .position(|window| window == b"\r\n\r\n")
    else {
        ensure!(
            input.len() < MAX_HEAD_BYTES,
            "reading: a head that does not end"
        );
        return Ok(None);
    };
    let head = std::str::from_utf8(&input[..end]).wrap_err("reading: the head")?;
    let mut lines = head.split("\r\n");
    let status = lines
        .next()
        .and_then(|line| line.split(' ').nth(1))
        .and_then(|word| word.parse().ok());
    let status = status.ok_or_else(|| eyre!("reading: no status"))?;
    let length = lines.filter_map(|line| line.split_once(':'));
    let length = length.filter(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    let length = length
        .filter_map(|(_, value)| value.trim().parse::<usize>().ok())
        .next();
    let length = length.ok_or_else(|| eyre!("reading: an answer without its length"))?;
    ensure!(
        length <= MAX_BODY_BYTES,
        "reading: an answer of {length} bytes"
    );
    let body = input.get(end + 4..end + 4 + length);
    Ok(body.map(|body| (status, body.to_vec())))
}

#[cfg(test)]
mod tests;
