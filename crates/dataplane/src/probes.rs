//! Health checks: the request to a server, and how its response is interpreted.

use streamarch::{LoadReport, Outcome};

use crate::framing::Response;

/// Builds the request of a health check. With `requests_load` it asks for the server's load report,
/// whose response also serves as the health check. It has no request id, so that servers do not
/// count it as a client's request.
pub fn build_request(host: &str, requests_load: bool) -> Vec<u8> {
    let path = if requests_load {
        "/metrics/load"
    } else {
        "/alive"
    };
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// The outcome of a health check that was answered with this response.
pub fn probe_outcome(response: &Response) -> Outcome {
    match response.status {
        200 => Outcome::Ok,
        503 => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

/// Parses a load report such as `TEXT inflight=7, queue=2, util=0.61`. Entries that are unknown or
/// malformed are ignored; without any valid entry there is no report.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let text = text.trim();
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    let mut report = LoadReport::default();
    let mut has_entries = false;
    for (name, value) in text.split(',').filter_map(|pair| pair.split_once('=')) {
        let Some(value) = value.trim().parse::<f64>().ok().filter(|v| v.is_finite()) else {
            continue;
        };
        let field = match name.trim() {
            "inflight" => &mut report.active_requests,
            "queue" => &mut report.queued_requests,
            "util" => &mut report.cpu_utilization,
            "latency_ms" => &mut report.latency_ms,
            "qps" => &mut report.served_per_s,
            "eps" => &mut report.errors_per_s,
            _ => continue,
        };
        (*field, has_entries) = (Some(value), true);
    }
    has_entries.then_some(report)
}

#[cfg(test)]
mod tests;
