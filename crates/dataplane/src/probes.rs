//! Health checks: the request to a server, and how its answer is interpreted.

use streamarch::{LoadReport, Outcome};

use crate::framing::Response;

/// The request of a health check. It has no id, so that servers do not count it as a client's.
pub fn build_request(host: &str, reports: bool) -> Vec<u8> {
    let path = if reports { "/metrics/load" } else { "/alive" };
    format!("GET {path} HTTP/1.1\r\nHost: {host}\r\n\r\n").into_bytes()
}

/// The outcome of an answered health check.
pub fn probe_outcome(answer: &Response) -> Outcome {
    match answer.status {
        200 => Outcome::Ok,
        503 => Outcome::Rejected,
        _ => Outcome::Error,
    }
}

/// Parses a load report: `TEXT inflight=7, queue=2, util=0.61`. Entries that can't be parsed are
/// left out.
pub fn parse_load_report(text: &str) -> Option<LoadReport> {
    let text = text.trim();
    let text = text.strip_prefix("TEXT").unwrap_or(text);
    let mut report = LoadReport::default();
    let mut any = false;
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
        (*field, any) = (Some(value), true);
    }
    any.then_some(report)
}

#[cfg(test)]
mod tests;
