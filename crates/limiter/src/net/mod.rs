//! The event loop: one thread, one calloop loop. A dispatch reads all input first; then timers that are due and the
//! engines run; then all output is written.

mod host;
pub mod inherited_listener;
pub mod operations_file;

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use calloop::EventLoop;
use calloop::channel::{self, Sender};
use calloop::ping::{Ping, make_ping};
use calloop::signals::{Event, Signal, Signals};

use crate::config::{Config, ConfigError};
pub use dataplane::clock::Clock;
pub use dataplane::framing;
pub use host::Host;

/// Controls a running daemon from another thread.
#[derive(Clone, Debug)]
pub struct DaemonHandle {
    stop: Ping,
    wake: Ping,
    reload: Sender<Config>,
}

impl DaemonHandle {
    /// Applies the parts of a new configuration that may change while the daemon runs.
    pub fn reload(&self, config: Config) {
        // A daemon that has ended ignores it.
        let _ = self.reload.send(config);
    }

    /// Makes the daemon finish the accepted requests and end.
    pub fn stop(&self) {
        self.stop.ping();
    }

    /// Makes the daemon read its clock again.
    pub fn wake(&self) {
        self.wake.ping();
    }
}

/// A limiter with its sockets open.
pub struct Daemon {
    event_loop: EventLoop<'static, Host>,
    host: Host,
    handle: DaemonHandle,
}

impl Daemon {
    /// Opens the sockets.
    ///
    /// # Errors
    /// An address can't be used, or a file can't be read or written.
    pub fn open(config: Config, clock: Clock) -> io::Result<Daemon> {
        let event_loop: EventLoop<'static, Host> = EventLoop::try_new()?;
        let loop_handle = event_loop.handle();
        let (stop, stop_source) = make_ping()?;
        let (wake, wake_source) = make_ping()?;
        let (reload, reload_source) = channel::channel();
        loop_handle
            .insert_source(stop_source, |(), _, host: &mut Host| host.begin_shutdown())
            .map_err(|e| e.error)?;
        loop_handle
            .insert_source(wake_source, |(), _, _: &mut Host| {})
            .map_err(|e| e.error)?;
        let on_reload = |event, _: &mut _, host: &mut Host| {
            if let channel::Event::Msg(config) = event {
                host.reload(config);
            }
        };
        loop_handle
            .insert_source(reload_source, on_reload)
            .map_err(|e| e.error)?;
        let host = Host::open(config, loop_handle, clock)?;
        Ok(Daemon {
            event_loop,
            host,
            handle: DaemonHandle { stop, wake, reload },
        })
    }

    /// The addresses on which clients are accepted: the platform front end's, and the introspection front end's if it
    /// is enabled.
    ///
    /// # Errors
    /// The address of a socket can't be read.
    pub fn addresses(&self) -> io::Result<(SocketAddr, Option<SocketAddr>)> {
        self.host.addresses()
    }

    /// The address for operator commands, if one is configured.
    pub fn operators_address(&self) -> Option<SocketAddr> {
        self.host.operators_address()
    }

    /// A handle for other threads.
    pub fn handle(&self) -> DaemonHandle {
        self.handle.clone()
    }

    /// Runs until the shutdown is finished.
    ///
    /// # Errors
    /// The event loop fails.
    pub fn run(mut self) -> io::Result<()> {
        while !self.host.is_finished() {
            let now = self.host.now();
            let timeout = self
                .host
                .next_wakeup()
                .map(|at| Duration::from_micros(at.saturating_sub(now).max(0) as u64));
            self.event_loop.dispatch(timeout, &mut self.host)?;
            self.host.run_turn();
        }
        Ok(())
    }
}

/// Runs the limiter until SIGTERM or SIGINT. SIGHUP reloads the configuration; an invalid one is logged and changes
/// nothing.
///
/// # Errors
/// The daemon can't be opened, or its event loop fails.
pub fn serve(
    config: Config,
    load_config: impl Fn() -> Result<Config, ConfigError> + 'static,
) -> io::Result<()> {
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])?;
    let daemon = Daemon::open(config, Clock::system())?;
    let loop_handle = daemon.event_loop.handle();
    let on_signal = move |event: Event, _: &mut _, host: &mut Host| match event.signal() {
        Signal::SIGHUP => match load_config() {
            Ok(config) => host.reload(config),
            Err(error) => host.reject_reload(&error),
        },
        _ => host.begin_shutdown(),
    };
    loop_handle
        .insert_source(signals, on_signal)
        .map_err(|e| e.error)?;
    daemon.run()
}
