//! Socket readiness with waits of microsecond resolution: epoll through rustix.
//!
//! Waits in whole milliseconds, as in common event loops, would delay every scheduled request by up to a millisecond.

use std::io;
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpStream};
use std::num::NonZeroU64;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::Arc;

use rustix::event::{EventfdFlags, Timespec, epoll, eventfd};

use socket2::{Domain, Socket, Type};

use crate::Micros;

/// Readiness of a socket.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// As given to [`Reactor::add`].
    pub token: u64,
    /// There is data to read, or the end of the stream.
    pub readable: bool,
    /// Data can be written.
    pub writable: bool,
    /// The peer has closed its side, or the connection has failed: read to the end, since this is reported only once.
    pub peer_closed: bool,
}

/// Reports sockets that have become ready, each change once (edge-triggered), so that each socket is registered only
/// once.
#[derive(Debug)]
pub struct Reactor {
    epoll: OwnedFd,
    wake: Arc<OwnedFd>,
}

/// Ends a reactor's wait from another thread.
#[derive(Clone, Debug)]
pub struct Waker(Arc<OwnedFd>);

impl Waker {
    /// Ends the wait.
    pub fn wake(&self) {
        // A write to a full eventfd fails, which means that a wake-up is already pending.
        let _ = rustix::io::write(&*self.0, &1_u64.to_ne_bytes());
    }
}

/// Starts a non-blocking connect; the connection is established once it is writable.
///
/// # Errors
/// Errors of the operating system: no descriptor, no port, or an immediate refusal.
pub fn connect(to: SocketAddr) -> io::Result<TcpStream> {
    let socket = Socket::new(Domain::for_address(to), Type::STREAM, None)?;
    socket.set_nonblocking(true)?;
    socket.set_tcp_nodelay(true)?;
    match socket.connect(&to.into()) {
        Err(error)
            if error.raw_os_error() != Some(rustix::io::Errno::INPROGRESS.raw_os_error()) =>
        {
            Err(error)
        }
        _ => Ok(socket.into()),
    }
}

/// Grows the descriptor table in advance to `descriptors`, or to what the system allows. Otherwise a process with
/// several threads stalls for some 20 ms each time the table grows (at 256, 512 and so on), in the middle of a run.
pub fn reserve_descriptors(descriptors: usize) {
    let Ok(descriptor) = eventfd(0, EventfdFlags::CLOEXEC) else {
        return;
    };
    let mut highest = descriptors.min(i32::MAX as usize) as i32;
    while highest > 64 && rustix::io::fcntl_dupfd_cloexec(&descriptor, highest).is_err() {
        highest /= 2;
    }
}

/// Token reported after a [`Waker`] was used.
pub const WAKE_TOKEN: u64 = u64::MAX;
/// Maximum number of events per wait.
const MAX_EVENTS: usize = 512;

impl Reactor {
    /// A reactor without sockets.
    ///
    /// # Errors
    /// Errors of the operating system, most often a lack of file descriptors.
    pub fn new() -> io::Result<Reactor> {
        let epoll = epoll::create(epoll::CreateFlags::CLOEXEC)?;
        let wake = eventfd(0, EventfdFlags::CLOEXEC | EventfdFlags::NONBLOCK)?;
        epoll::add(
            &epoll,
            &wake,
            epoll::EventData::new_u64(WAKE_TOKEN),
            epoll::EventFlags::IN | epoll::EventFlags::ET,
        )?;
        Ok(Reactor {
            epoll,
            wake: Arc::new(wake),
        })
    }

    /// A handle by which other threads end a wait.
    pub fn waker(&self) -> Waker {
        Waker(self.wake.clone())
    }

    /// Sets this thread's timer slack to 1 µs instead of the default of 50 µs.
    pub fn set_precise_timer(&self) {
        // If this fails, waits are slightly longer, with no other effect.
        let _ = rustix::thread::set_current_timer_slack(NonZeroU64::new(1_000));
    }

    /// Watches a socket until it is closed.
    ///
    /// # Errors
    /// Errors of the operating system.
    pub fn add(&self, socket: impl AsFd, token: u64) -> io::Result<()> {
        use epoll::EventFlags as F;
        epoll::add(
            &self.epoll,
            socket,
            epoll::EventData::new_u64(token),
            F::IN | F::OUT | F::RDHUP | F::ET,
        )?;
        Ok(())
    }

    /// Waits until a socket is ready or `longest` microseconds have passed (`None`: no limit), and fills `ready`.
    ///
    /// # Errors
    /// Errors of the operating system; an interruption is not an error.
    pub fn wait(&self, longest: Option<Micros>, ready: &mut Vec<Ready>) -> io::Result<()> {
        use epoll::EventFlags as F;
        ready.clear();
        let time = longest.map(|us| {
            let us = us.max(0);
            Timespec {
                tv_sec: us / 1_000_000,
                tv_nsec: (us % 1_000_000 * 1_000) as _,
            }
        });
        let mut buffer = [const { MaybeUninit::uninit() }; MAX_EVENTS];
        let events: &[epoll::Event] = match epoll::wait(&self.epoll, &mut buffer, time.as_ref()) {
            Ok((events, _)) => events,
            Err(rustix::io::Errno::INTR) => return Ok(()),
            Err(error) => return Err(error.into()),
        };
        ready.extend(events.iter().map(|event| {
            let flags = event.flags;
            Ready {
                token: event.data.u64(),
                readable: flags.intersects(F::IN | F::RDHUP | F::HUP | F::ERR),
                writable: flags.intersects(F::OUT | F::HUP | F::ERR),
                peer_closed: flags.intersects(F::RDHUP | F::HUP | F::ERR),
            }
        }));
        Ok(())
    }
}
