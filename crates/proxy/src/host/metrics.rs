//! The metrics of a proxy.

use std::collections::BTreeMap;

use protocol::metrics::{MetricsText, PROXY_METRICS_PORT};
use slog::warn;

use super::*;

/// Counters since the start of the process.
#[derive(Debug, Default)]
pub(super) struct ProxyMetrics {
    /// Responses that the proxy itself generated, by status.
    pub(super) local_responses: BTreeMap<u16, u64>,
    /// Health checks of servers that have ended, by outcome.
    pub(super) probes: BTreeMap<&'static str, u64>,
    /// Attempts whose connection the proxy closed before their response.
    pub(super) attempts_cancelled: u64,
    /// Requests that the proxy ended by itself before their deadline although a server may have
    /// been running them.
    pub(super) running_requests_failed: u64,
    /// Requests admitted before the agent had sent its complete state.
    pub(super) admitted_before_complete: u64,
    /// Batches of additions to the shared counter.
    pub(super) counter_batches: u64,
    /// Batches whose totals did not arrive in time.
    pub(super) counter_batches_timed_out: u64,
    /// Batches whose totals arrived after the time-out.
    pub(super) counter_batches_late: u64,
    /// Batches that reached no counter.
    pub(super) counter_batches_failed: u64,
}

/// The outcome as part of a metric's name.
pub(super) fn outcome_name(outcome: Outcome) -> &'static str {
    match outcome {
        Outcome::Ok => "ok",
        Outcome::Error => "error",
        Outcome::Rejected => "rejected",
        Outcome::TimedOut => "timed_out",
        Outcome::ConnectFailed => "connect_failed",
        Outcome::Reset => "reset",
        Outcome::Cancelled => "cancelled",
        Outcome::NotSent => "not_sent",
    }
}

impl ProxyMetrics {
    fn write_to(&self, text: &mut MetricsText) {
        for (status, count) in &self.local_responses {
            text.add_counter(
                &format!("proxy_local_responses_{status}_total"),
                "answers of the proxy itself with this status",
                count,
            );
        }
        for (outcome, count) in &self.probes {
            text.add_counter(
                &format!("proxy_health_checks_{outcome}_total"),
                "health checks of servers with this outcome",
                count,
            );
        }
        text.add_counter(
            "proxy_attempts_cancelled_total",
            "attempts whose connection was closed before their response",
            self.attempts_cancelled,
        );
        text.add_counter(
            "proxy_running_requests_failed_total",
            "requests ended by the proxy before their deadline although a server may have been running them",
            self.running_requests_failed,
        );
        text.add_counter(
            "proxy_admitted_before_complete_total",
            "requests admitted before the configuration was complete",
            self.admitted_before_complete,
        );
        text.add_counter(
            "proxy_counter_batches_total",
            "batches of additions to the shared counter",
            self.counter_batches,
        );
        text.add_counter(
            "proxy_counter_batches_timed_out_total",
            "of these, without totals in time",
            self.counter_batches_timed_out,
        );
        text.add_counter(
            "proxy_counter_batches_late_total",
            "of these, with totals after that",
            self.counter_batches_late,
        );
        text.add_counter(
            "proxy_counter_batches_failed_total",
            "batches that reached no counter",
            self.counter_batches_failed,
        );
    }
}

impl Host {
    /// Serves metrics to operators. If the port can't be opened, the proxy runs without them.
    pub fn serve_metrics(&mut self) {
        let ip = self.settings.ip;
        let result = self
            .metrics_endpoint
            .listen(&mut self.connections, ip, PROXY_METRICS_PORT);
        if let Err(error) = result {
            warn!(self.log, "cannot serve metrics"; "error" => error.to_string());
        }
    }

    pub(super) fn handle_metrics_event(&mut self, now: Micros, event: IoEvent) {
        let mut endpoint = std::mem::take(&mut self.metrics_endpoint);
        let text = self.metrics_text(now);
        endpoint.handle_event(&mut self.connections, event, || text);
        self.metrics_endpoint = endpoint;
    }

    /// All metrics at this time.
    fn metrics_text(&mut self, now: Micros) -> MetricsText {
        let mut text = MetricsText::default();
        self.metrics.write_to(&mut text);
        text.add_connection_ends("proxy", &self.connections.end_counts());
        text.add_gauge(
            "proxy_ready",
            "1 if the proxy is ready",
            u8::from(self.node_state() == NodeState::Ready),
        );
        text.add_gauge(
            "proxy_config_items",
            "items in force, removed ones included",
            self.config_store.item_count(),
        );
        text.add_gauge(
            "proxy_config_tenants",
            "tenants in force",
            self.config_store.tenant_count(),
        );
        text.add_gauge(
            "proxy_config_complete",
            "1 once the agent has sent its complete state",
            u8::from(self.completeness == Completeness::Complete),
        );
        text.add_gauge(
            "proxy_quota_shares_binding",
            "1 while quotas are enforced by local shares",
            u8::from(self.router.enforces_local_shares(now)),
        );
        text.add_gauge(
            "proxy_config_current",
            "1 while no change can be missing that has to be in force",
            u8::from(self.config_freshness.is_current(now)),
        );
        text.add_invariant(self.config_freshness.invariant());
        text.add_invariant(&self.forwarded_keys);
        text
    }
}
