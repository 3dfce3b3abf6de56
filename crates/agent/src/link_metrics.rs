//! What operators are told about an agent's link to the control programs.

use protocol::metrics::MetricsText;

/// Counts since the start, and since when the agent has had no link. Times are in microseconds.
#[derive(Debug, Default)]
pub struct LinkMetrics {
    /// Connections to control programs that were begun.
    pub attempts: u64,
    /// Those that were given up because they were not established in time.
    pub attempts_timed_out: u64,
    /// Those that were refused or reset.
    pub attempts_failed: u64,
    /// Established links that were lost or given up.
    pub links_lost: u64,
    /// Attempts and time-outs when the last link was lost.
    counts_at_loss: (u64, u64),
    /// Since when there is no link on which a control program has told its view.
    outage_started_at: Option<i64>,
}

/// A time without a link that is over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LinkOutage {
    /// Its length.
    pub duration: i64,
    /// Connections that were begun in it.
    pub attempts: u64,
    /// Those of them that were given up because they were not established in time.
    pub attempts_timed_out: u64,
}

impl LinkMetrics {
    /// There is no link from now on.
    pub fn record_loss(&mut self, now: i64) {
        if self.outage_started_at.is_none() {
            self.links_lost += 1;
            self.counts_at_loss = (self.attempts, self.attempts_timed_out);
            self.outage_started_at = Some(now);
        }
    }

    /// A control program has told its view on a link; gives the outage that this ends.
    pub fn record_link(&mut self, now: i64) -> Option<LinkOutage> {
        let started_at = self.outage_started_at.take()?;
        Some(LinkOutage {
            duration: now - started_at,
            attempts: self.attempts - self.counts_at_loss.0,
            attempts_timed_out: self.attempts_timed_out - self.counts_at_loss.1,
        })
    }

    /// Adds the figures to a report.
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
