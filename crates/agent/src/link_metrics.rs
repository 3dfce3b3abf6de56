//! Metrics about an agent's link to the control programs.

use protocol::metrics::MetricsText;

/// Counts since the start of the process, and the start of the current outage, if any. Times are in microseconds.
#[derive(Debug, Default)]
pub struct LinkMetrics {
    /// Attempts to connect to a control program.
    pub attempts: u64,
    /// Attempts that did not become the link in time.
    pub attempts_timed_out: u64,
    /// Attempts that were refused or reset.
    pub attempts_failed: u64,
    /// Links that were lost, or that were silent for too long.
    pub links_lost: u64,
    /// The values of `attempts` and `attempts_timed_out` when the last link was lost.
    counts_at_loss: (u64, u64),
    /// When the current outage began; `None` while there is a link on which a control program has sent its cluster view.
    outage_started_at: Option<i64>,
}

/// A completed period without a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkOutage {
    /// The duration in microseconds.
    pub duration: i64,
    /// The attempts to connect during the outage.
    pub attempts: u64,
    /// The attempts during the outage that did not become the link in time.
    pub attempts_timed_out: u64,
}

impl LinkMetrics {
    /// Records that the link was lost, which begins an outage unless one has begun already.
    pub fn record_loss(&mut self, now: i64) {
        if self.outage_started_at.is_none() {
            self.links_lost += 1;
            self.counts_at_loss = (self.attempts, self.attempts_timed_out);
            self.outage_started_at = Some(now);
        }
    }

    /// Records that a control program has sent its cluster view on the link. Returns the outage that this ends, if any.
    pub fn record_link(&mut self, now: i64) -> Option<LinkOutage> {
        let started_at = self.outage_started_at.take()?;
        Some(LinkOutage {
            duration: now - started_at,
            attempts: self.attempts - self.counts_at_loss.0,
            attempts_timed_out: self.attempts_timed_out - self.counts_at_loss.1,
        })
    }

    /// Adds these metrics to a report.
    pub fn add_metrics(&self, now: i64, text: &mut MetricsText) {
        text.add_counter(
            "agent_link_attempts_total",
            "connections to control programs that were begun",
            self.attempts,
        );
        text.add_counter(
            "agent_link_attempts_timed_out_total",
            "of these, not established in time",
            self.attempts_timed_out,
        );
        text.add_counter(
            "agent_link_attempts_failed_total",
            "of these, refused or reset",
            self.attempts_failed,
        );
        text.add_counter(
            "agent_links_lost_total",
            "links that were lost or given up",
            self.links_lost,
        );
        let outage_us = self
            .outage_started_at
            .map_or(0, |started_at| now - started_at);
        text.add_gauge(
            "agent_without_link_seconds",
            "for how long there has been no link, 0 with one",
            outage_us as f64 / 1e6,
        );
    }
}
