//! The metrics of a program in the Prometheus exposition format, served over HTTP under any path.
//!
//! The endpoint shares the program's event loop. It answers one request per connection. A client is disconnected if it sends
//! more than 8 KiB without completing the request head, or if eight others are connected already.

use std::collections::BTreeSet;
use std::fmt::{Display, Write};
use std::io;
use std::net::{Ipv4Addr, SocketAddr};

use crate::connections::{ConnectionId, Connections, EndCounts, IoEvent};
use crate::invariant::Invariant;

/// The port of the control program's metrics endpoint, on the address of its machine. `deploy/system.toml` has to name the
/// same port.
pub const CONTROL_METRICS_PORT: u16 = 9464;
/// As [`CONTROL_METRICS_PORT`], for the agent.
pub const AGENT_METRICS_PORT: u16 = 9465;
/// As [`CONTROL_METRICS_PORT`], for the proxy.
pub const PROXY_METRICS_PORT: u16 = 9466;

/// The maximum size of a request head, in bytes.
const MAX_REQUEST_BYTES: usize = 8 * 1024;
/// The maximum number of connected clients.
const MAX_CLIENTS: usize = 8;

/// A report of metrics as text.
#[derive(Debug, Default)]
pub struct MetricsText(String);

impl MetricsText {
    /// Adds a counter: a value that only rises while the process runs.
    pub fn add_counter(&mut self, name: &str, help: &str, value: impl Display) {
        self.add_metric("counter", name, help, value);
    }

    /// Adds a gauge: a value that rises and falls.
    pub fn add_gauge(&mut self, name: &str, help: &str, value: impl Display) {
        self.add_metric("gauge", name, help, value);
    }

    /// Adds the numbers of checks and violations of an invariant.
    pub fn add_invariant(&mut self, invariant: &Invariant) {
        let name = invariant.name();
        let (checks, violations) = (invariant.checks(), invariant.violations());
        self.add_counter(
            &format!("invariant_{name}_checks_total"),
            "checks of the invariant",
            checks,
        );
        self.add_counter(
            &format!("invariant_{name}_violations_total"),
            "checks that failed",
            violations,
        );
    }

    fn add_metric(&mut self, kind: &str, name: &str, help: &str, value: impl Display) {
        // Writing to a string can't fail.
        let _ = writeln!(
            self.0,
            "# HELP {name} {help}\n# TYPE {name} {kind}\n{name} {value}"
        );
    }

    /// Adds how the connections of a program have ended, under names that begin with `prefix`.
    pub fn add_connection_ends(&mut self, prefix: &str, counts: &EndCounts) {
        for (name, help, count) in [
            (
                "closed_in_order",
                "connections that the peer has closed in order",
                counts.orderly,
            ),
            (
                "failed_reading",
                "reads from connections that failed",
                counts.failed_reads,
            ),
            (
                "failed_writing",
                "writes to connections that failed",
                counts.failed_writes,
            ),
            (
                "ended_after_failed_write",
                "ends of input that were read after a write had failed",
                counts.after_failed_write,
            ),
        ] {
            self.add_counter(&format!("{prefix}_connections_{name}_total"), help, count);
        }
    }

    /// The text in the exposition format.
    pub fn into_string(self) -> String {
        self.0
    }
}

/// The HTTP endpoint of a program's metrics: its listener and its clients.
#[derive(Debug, Default)]
pub struct MetricsEndpoint {
    listener: Option<usize>,
    clients: BTreeSet<ConnectionId>,
}

impl MetricsEndpoint {
    /// Listens on a port of the machine's address. Returns the address that the listener is bound to.
    ///
    /// # Errors
    /// The address can't be bound. A program can go on without the endpoint.
    pub fn listen(
        &mut self,
        connections: &mut Connections,
        ip: Ipv4Addr,
        port: u16,
    ) -> io::Result<SocketAddr> {
        let (listener, address) = connections.listen(SocketAddr::from((ip, port)))?;
        self.listener = Some(listener);
        Ok(address)
    }

    /// Whether an event concerns this endpoint's listener or one of its clients.
    pub fn owns(&self, event: &IoEvent) -> bool {
        match event {
            IoEvent::Accepted(listener, _) => self.listener == Some(*listener),
            IoEvent::Connected(id)
            | IoEvent::Received(id)
            | IoEvent::Flushed(id)
            | IoEvent::PeerClosed(id)
            | IoEvent::Failed(id) => self.clients.contains(id),
            IoEvent::Signal(_) => false,
        }
    }

    /// Handles an event of this endpoint (see [`MetricsEndpoint::owns`]); `report` collects the metrics for a response.
    pub fn handle_event(
        &mut self,
        connections: &mut Connections,
        event: IoEvent,
        report: impl FnOnce() -> MetricsText,
    ) {
        match event {
            IoEvent::Accepted(_, id) if self.clients.len() < MAX_CLIENTS => {
                self.clients.insert(id);
            }
            IoEvent::Accepted(_, id) | IoEvent::PeerClosed(id) | IoEvent::Failed(id) => {
                self.close(connections, id);
            }
            IoEvent::Received(id) => self.read_request(connections, id, report),
            // Only the sending direction is closed, and the client closes the connection: closing it here while the client
            // still sends would reset it, and the client might lose the response.
            IoEvent::Flushed(id) => connections.shutdown_write(id),
            IoEvent::Connected(_) | IoEvent::Signal(_) => {}
        }
    }

    fn read_request(
        &mut self,
        connections: &mut Connections,
        id: ConnectionId,
        report: impl FnOnce() -> MetricsText,
    ) {
        let Some(connection) = connections.get_mut(id) else {
            return;
        };
        let is_complete = connection
            .input
            .windows(4)
            .any(|bytes| bytes == b"\r\n\r\n");
        if !is_complete {
            if connection.input.len() > MAX_REQUEST_BYTES {
                self.close(connections, id);
            }
            return;
        }
        connection.input.clear();
        let body = report().into_string();
        let head = format!(
            "HTTP/1.1 200 OK\r\nContent-Type: text/plain; version=0.0.4\r\nContent-Length: {}\r\nConnection: close\r\n\r\n",
            body.len()
        );
        if let Some(output) = connections.output(id) {
            output.extend_from_slice(head.as_bytes());
            output.extend_from_slice(body.as_bytes());
        }
    }

    fn close(&mut self, connections: &mut Connections, id: ConnectionId) {
        self.clients.remove(&id);
        connections.close(id);
    }
}

#[cfg(test)]
mod tests;
