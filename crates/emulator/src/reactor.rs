//! Readiness of sockets with waits that are exact to microseconds: epoll through rustix.
//!
//! Waits in whole milliseconds, as the usual loops have them, would put up to a millisecond of lag of our own on
//! every request that is sent by a schedule.

use std::io;
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpStream};
use std::num::NonZeroU64;
use std::os::fd::{AsFd, OwnedFd};
use std::sync::Arc;

use rustix::event::{EventfdFlags, Timespec, epoll, eventfd};

use socket2::{Domain, Socket, Type};

use crate::Micros;

/// What the system says of a socket.
#[derive(Clone, Copy, Debug)]
pub struct Ready {
    /// As given to [`Reactor::add`].
    pub token: u64,
    /// There is something to read, an end included.
    pub readable: bool,
    /// Something can be written.
    pub writable: bool,
    /// The peer has ended its side, or the connection is broken: reading must go on to the end, since this is told
    /// but once.
    pub ended: bool,
}

/// Tells of sockets that have become ready; each change once (edge-triggered), so that a socket is named to the system
/// once and never again.
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
        // A full counter means that a wake is under way already.
        let _ = rustix::io::write(&*self.0, &1_u64.to_ne_bytes());
    }
}

/// Begins a connection; it is up once it can be written.
///
/// # Errors
/// The system's: no descriptor, no port, or a refusal that is known at once.
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

/// Makes room for so many descriptors ahead, or for as many as the system allows. A process with several threads else
/// stands still for some 20 ms each time its table of descriptors grows (at 256, 512 and so on), in the middle of the run.
pub fn reserve_descriptors(descriptors: usize) {
    let Ok(any) = eventfd(0, EventfdFlags::CLOEXEC) else {
        return;
    };
    let mut highest = descriptors.min(i32::MAX as usize) as i32;
    while highest > 64 && rustix::io::fcntl_dupfd_cloexec(&any, highest).is_err() {
        highest /= 2;
    }
}

/// Told when a [`Waker`] was used.
pub const WAKE_TOKEN: u64 = u64::MAX;
/// Most events taken at once.
const MAX_EVENTS: usize = 512;

impl Reactor {
    /// A reactor without sockets.
    ///
    /// # Errors
    /// The system's, most often for want of descriptors.
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

    /// Lets other threads end a wait.
    pub fn waker(&self) -> Waker {
        Waker(self.wake.clone())
    }

    /// Asks the system to wake this thread within a microsecond or so of the time, not within its usual 50.
    pub fn set_precise_timer(&self) {
        // Without it waits are a little longer: nothing else is lost.
        let _ = rustix::thread::set_current_timer_slack(NonZeroU64::new(1_000));
    }

    /// Watches a socket until it is closed.
    ///
    /// # Errors
    /// The system's.
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

    /// Waits until something is ready, or so long, forever without an end; `ready` then holds what is.
    ///
    /// # Errors
    /// The system's; an interruption is none.
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
        let mut room = [const { MaybeUninit::uninit() }; MAX_EVENTS];
        let events: &[epoll::Event] = match epoll::wait(&self.epoll, &mut room, time.as_ref()) {
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
                ended: flags.intersects(F::RDHUP | F::HUP | F::ERR),
            }
        }));
        Ok(())
    }
}
