//! The event loop: one thread, one calloop loop. What a dispatch brought is taken in first; then what is due and
//! the engines have their turn; then all that is to be written goes out.

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

/// Reaches a running daemon from another thread.
#[derive(Clone, Debug)]
pub struct DaemonHandle {
    stop: Ping,
    wake: Ping,
    reload: Sender<Config>,
}

impl DaemonHandle {
    /// Has the daemon take over what a new configuration may change while it runs.
    pub fn reload(&self, config: Config) {
        // A daemon that has ended takes nothing over any more.
        let _ = self.reload.send(config);
    }

    /// Tells the daemon to finish what it has taken and end.
    pub fn stop(&self) {
        self.stop.ping();
    }

    /// Has the daemon look at its clock.
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
        let events: EventLoop<'static, Host> = EventLoop::try_new()?;
        let handle = events.handle();
        let (stop, stopped) = make_ping()?;
        let (wake, woken) = make_ping()?;
        let (reload, reloaded) = channel::channel();
        handle
            .insert_source(stopped, |(), _, host: &mut Host| host.begin_shutdown())
            .map_err(|e| e.error)?;
        handle
            .insert_source(woken, |(), _, _: &mut Host| {})
            .map_err(|e| e.error)?;
        let take = |event, _: &mut _, host: &mut Host| {
            if let channel::Event::Msg(config) = event {
                host.reload(config);
            }
        };
        handle.insert_source(reloaded, take).map_err(|e| e.error)?;
        let host = Host::open(config, handle, clock)?;
        Ok(Daemon {
            event_loop: events,
            host,
            handle: DaemonHandle { stop, wake, reload },
        })
    }

    /// Where the fronts listen: the platform's, and introspection's if it is on.
    ///
    /// # Errors
    /// The system does not tell an address.
    pub fn addresses(&self) -> io::Result<(SocketAddr, Option<SocketAddr>)> {
        self.host.addresses()
    }

    /// Where operators call, if they may.
    pub fn operators_address(&self) -> Option<SocketAddr> {
        self.host.operators_address()
    }

    /// A handle for other threads.
    pub fn handle(&self) -> DaemonHandle {
        self.handle.clone()
    }

    /// Runs until told to end.
    ///
    /// # Errors
    /// The event loop fails.
    pub fn run(mut self) -> io::Result<()> {
        while !self.host.is_finished() {
            let now = self.host.now();
            let wait = self
                .host
                .next_wakeup()
                .map(|at| Duration::from_micros(at.saturating_sub(now).max(0) as u64));
            self.event_loop.dispatch(wait, &mut self.host)?;
            self.host.run_turn();
        }
        Ok(())
    }
}

/// Runs the limiter until SIGTERM or SIGINT. At SIGHUP the configuration is loaded anew; one that is faulty is
/// logged and changes nothing.
///
/// # Errors
/// The daemon can't be opened, or its event loop fails.
pub fn serve(
    config: Config,
    load: impl Fn() -> Result<Config, ConfigError> + 'static,
) -> io::Result<()> {
    let signals = Signals::new(&[Signal::SIGTERM, Signal::SIGINT, Signal::SIGHUP])?;
    let daemon = Daemon::open(config, Clock::system())?;
    let handle = daemon.event_loop.handle();
    let signalled = move |event: Event, _: &mut _, host: &mut Host| match event.signal() {
        Signal::SIGHUP => match load() {
            Ok(config) => host.reload(config),
            Err(error) => host.reject_reload(&error),
        },
        _ => host.begin_shutdown(),
    };
    handle
        .insert_source(signals, signalled)
        .map_err(|e| e.error)?;
    daemon.run()
}
