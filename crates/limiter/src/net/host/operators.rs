//! Commands of operators: read, executed and answered as their input arrives, before the engines run in that turn.

use std::net::Shutdown;

use super::*;
use crate::operators::{OperatorCommand, OperatorConnections};

/// The listener for operator commands, and the connections accepted on it.
pub(super) struct Operators {
    listener: Rc<TcpListener>,
    connections: OperatorConnections,
}

impl Host {
    /// Opens the listener for operator commands.
    pub(super) fn listen_to_operators(&mut self, address: SocketAddr) -> io::Result<()> {
        let accept = |host: &mut Host| host.accept_operators();
        let (listener, _) = register_listener(
            &self.loop_handle,
            bind_listener(address, &self.limits)?,
            accept,
        )?;
        self.operators = Some(Operators {
            listener,
            connections: OperatorConnections::default(),
        });
        Ok(())
    }

    /// The address for operator commands, if one is configured.
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
            let configured = stream
                .set_nonblocking(true)
                .and_then(|()| stream.set_nodelay(true));
            let key = match configured
                .and_then(|()| self.register_connection(stream, Role::Operator, true))
            {
                Ok(key) => key,
                Err(error) => {
                    self.warn(&format!("cannot register operator connection: {error}"));
                    continue;
                }
            };
            let now = self.now();
            let evicted = self
                .operators
                .as_mut()
                .and_then(|o| o.connections.insert(key, now, &self.limits));
            evicted
                .into_iter()
                .for_each(|oldest| _ = self.close(oldest));
            self.deadlines
                .schedule(now + self.limits.operator_idle_timeout, Timer::OperatorIdle);
            // Usually the line has already arrived.
            self.read_connection(key);
        }
    }

    /// Closes the connections without a complete command within the time-out.
    pub(super) fn close_overdue_operators(&mut self, now: Micros) {
        while let Some(key) = self
            .operators
            .as_ref()
            .and_then(|o| o.connections.first_timed_out(now, &self.limits))
        {
            self.close(key);
        }
    }

    /// Removes a closed connection from the list.
    pub(super) fn remove_operator(&mut self, key: ConnectionKey) {
        self.operators
            .iter_mut()
            .for_each(|operators| operators.connections.remove(key));
    }

    /// Executes and answers the command on a connection once its line is complete. A connection carries one command.
    pub(super) fn read_operator_command(&mut self, key: ConnectionKey) {
        let Some(connection) = self.connections.get_mut(key) else {
            return;
        };
        if connection.close_when_written {
            // Input after the command is discarded: if it stayed unread, the close would reset the connection and the
            // answer could be lost.
            return connection.input.clear();
        }
        let command = match OperatorCommand::parse(&connection.input, &self.limits) {
            Ok(None) => return,
            Ok(Some(command)) => Ok(command),
            Err(error) => Err(error),
        };
        connection.input.clear();
        let (command_text, outcome) = match command {
            Ok(command) => (command.to_string(), self.execute_operator_command(&command)),
            Err(error) => ("(invalid)".to_string(), Err(error.to_string())),
        };
        let answer = match outcome {
            Ok(()) => "done".to_string(),
            Err(reason) => format!("error {reason}"),
        };
        // Logged at debug level only: while a start is awaited, `ready` is polled several times a second.
        match command_text == OperatorCommand::Ready.to_string() {
            true => {
                tracing::debug!(limiter = %self.name, "operator command {command_text}: {answer}")
            }
            false => self.log(&format!("operator command {command_text}: {answer}")),
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

    /// The answer is written: shuts down the write side, so that the caller sees its end. The connection is closed once
    /// the caller closes it.
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

    fn execute_operator_command(&mut self, command: &OperatorCommand) -> Result<(), String> {
        let now = self.now();
        match command {
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

    /// Schedules the closing of idle client connections at the end of the notice period, after a drain has begun or
    /// ended.
    pub(super) fn schedule_drain_notice(&mut self, now: Micros) {
        self.deadlines.schedule(
            now + self.limits.shutdown_notice_period,
            Timer::NoticeExpired,
        );
    }

    /// Disables or enables a server, and shares that with the limiter's other process.
    fn update_disabled_servers(
        &mut self,
        change: impl FnOnce(&mut RoutingTable) -> Result<(bool, TableUpdate), UnknownServer>,
    ) -> Result<(), String> {
        let (changed, update) =
            change(&mut self.routing_table).map_err(|error| error.to_string())?;
        self.apply_table_update(update);
        if changed {
            self.write_operations_file();
        }
        Ok(())
    }
}
