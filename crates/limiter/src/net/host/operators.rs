//! Calls of operators: taken, carried out and answered ahead of the turn in which clients' work is decided on.

use std::net::Shutdown;

use super::*;
use crate::operators::{OperatorCommand, OperatorConnections};

/// The operators' address, where there is one, and who is connected to it.
pub(super) struct Operators {
    listener: Rc<TcpListener>,
    callers: OperatorConnections,
}

impl Host {
    pub(super) fn listen_to_operators(&mut self, address: SocketAddr) -> io::Result<()> {
        let accept = |host: &mut Host| host.accept_operators();
        let (listener, _) = register_listener(
            &self.loop_handle,
            bind_listener(address, &self.limits)?,
            accept,
        )?;
        self.operators = Some(Operators {
            listener,
            callers: OperatorConnections::default(),
        });
        Ok(())
    }

    /// Where operators call, if they may.
    pub fn operators_address(&self) -> Option<SocketAddr> {
        self.operators
            .as_ref()
            .and_then(|operators| operators.listener.local_addr().ok())
    }

    fn accept_operators(&mut self) {
        let listener = self
            .operators
            .as_ref()
            .map(|operators| operators.listener.clone());
        while let Some(Ok((stream, _))) = listener.as_ref().map(|listener| listener.accept()) {
            let ready = stream
                .set_nonblocking(true)
                .and_then(|()| stream.set_nodelay(true));
            let key =
                match ready.and_then(|()| self.register_connection(stream, Role::Operator, true)) {
                    Ok(key) => key,
                    Err(error) => {
                        self.warn(&format!("cannot take an operators' connection: {error}"));
                        continue;
                    }
                };
            let now = self.now();
            let spared = self
                .operators
                .as_mut()
                .and_then(|o| o.callers.insert(key, now, &self.limits));
            spared.into_iter().for_each(|oldest| _ = self.close(oldest));
            self.deadlines
                .schedule(now + self.limits.operator_idle_timeout, Timer::OperatorIdle);
            // The line is there already, most often.
            self.read_connection(key);
        }
    }

    /// Callers that finish no call in time are gone.
    pub(super) fn close_overdue_operators(&mut self, now: Micros) {
        while let Some(key) = self
            .operators
            .as_ref()
            .and_then(|o| o.callers.first_timed_out(now, &self.limits))
        {
            self.close(key);
        }
    }

    pub(super) fn remove_operator(&mut self, key: ConnectionKey) {
        self.operators
            .iter_mut()
            .for_each(|operators| operators.callers.remove(key));
    }

    pub(super) fn read_operator_command(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if connection.close_when_written {
            // What comes behind the call is thrown away, so that the close does not reset the answer.
            return connection.input.clear();
        }
        let call = match OperatorCommand::parse(&connection.input, &self.limits) {
            Ok(None) => return,
            Ok(Some(call)) => Ok(call),
            Err(fault) => Err(fault),
        };
        connection.input.clear();
        let (asked, outcome) = match call {
            Ok(call) => (call.to_string(), self.execute_operator_command(&call)),
            Err(fault) => ("not a call".to_string(), Err(fault.to_string())),
        };
        let answer = match outcome {
            Ok(()) => "done".to_string(),
            Err(reason) => format!("error {reason}"),
        };
        // Asked for several times a second while a start is waited for: no line each.
        match asked == OperatorCommand::Ready.to_string() {
            true => tracing::debug!(limiter = %self.name, "operators: {asked}: {answer}"),
            false => self.log(&format!("operators: {asked}: {answer}")),
        }
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        connection.close_when_written = true;
        connection
            .output
            .extend_from_slice(format!("{answer}\n").as_bytes());
        self.flush(key);
    }

    /// The answer is written. The end of it is told at once; the connection goes when the caller closes.
    pub(super) fn finish_operator_command(&mut self, key: ConnectionKey) {
        let Some(connection) = self
            .connections
            .get(key)
            .filter(|connection| connection.close_when_written)
        else {
            return;
        };
        if connection.stream.shutdown(Shutdown::Write).is_err() {
            self.close(key);
        }
    }

    fn execute_operator_command(&mut self, call: &OperatorCommand) -> Result<(), String> {
        let now = self.now();
        match call {
            OperatorCommand::Ready if self.lifecycle.is_shutting_down() => {
                Err("ending".to_string())
            }
            OperatorCommand::Ready if !self.routing_table.has_ready_server() => {
                Err("no server is known yet".to_string())
            }
            OperatorCommand::Ready => Ok(()),
            OperatorCommand::DisableServer(id) => {
                self.update_disabled_servers(|table| table.disable(id, now))
            }
            OperatorCommand::EnableServer(id) => {
                self.update_disabled_servers(|table| table.enable(id, now))
            }
            OperatorCommand::Drain => {
                if self.lifecycle.begin_drain(now) {
                    self.schedule_drain_notice(now);
                    self.write_operations_file();
                }
                Ok(())
            }
            OperatorCommand::Resume if self.lifecycle.is_shutting_down() => {
                Err("ending".to_string())
            }
            OperatorCommand::Resume => {
                if self.lifecycle.end_drain(now) {
                    self.write_operations_file();
                }
                Ok(())
            }
        }
    }

    /// Clients are sent away, or no longer.
    pub(super) fn schedule_drain_notice(&mut self, now: Micros) {
        self.deadlines.schedule(
            now + self.limits.shutdown_notice_period,
            Timer::NoticeExpired,
        );
    }

    fn update_disabled_servers(
        &mut self,
        change: impl FnOnce(&mut RoutingTable) -> Result<(bool, TableUpdate), UnknownServer>,
    ) -> Result<(), String> {
        let (changed, news) = change(&mut self.routing_table).map_err(|error| error.to_string())?;
        self.apply_table_update(news);
        if changed {
            self.write_operations_file();
        }
        Ok(())
    }
}
