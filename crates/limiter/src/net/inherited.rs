//! A listening socket that the platform holds and each process of the limiter inherits.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;

use config_check::KeyError;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use socket2::{SockRef, Type};

/// Name of the variable that tells the descriptor's number.
pub const VARIABLE: &str = "ROUTER_PASSED_SOCKET";

/// A duplicate of the descriptor of this number, which must be the socket that listens on this address.
///
/// The number alone gives no owned descriptor without unsafe code; the system hands out a duplicate through a pidfd of
/// this process. The original stays as it is, for as long as the process lives.
///
/// # Errors
/// What the variable names is no such socket.
pub fn listener(number: u32, address: SocketAddr) -> Result<TcpListener, KeyError> {
    let fault = |text: String| KeyError::new(VARIABLE, format!("descriptor {number} {text}"));
    let duplicate = || -> rustix::io::Result<OwnedFd> {
        let number = i32::try_from(number).map_err(|_| rustix::io::Errno::BADF)?;
        let this = pidfd_open(getpid(), PidfdFlags::empty())?;
        pidfd_getfd(&this, number, PidfdGetfdFlags::empty())
    };
    let descriptor = duplicate().map_err(|error| match error {
        rustix::io::Errno::BADF => fault("is not open".to_string()),
        error => fault(format!("cannot be taken over: {error}")),
    })?;
    let socket = SockRef::from(&descriptor);
    let listens = socket.r#type().is_ok_and(|kind| kind == Type::STREAM)
        && socket.is_listener().unwrap_or(false);
    let bound = socket
        .local_addr()
        .ok()
        .and_then(|address| address.as_socket());
    match bound {
        Some(bound) if listens && bound == address => {}
        Some(bound) if listens => {
            return Err(fault(format!("listens on {bound}, not on {address}")));
        }
        _ => return Err(fault("is no listening TCP socket".to_string())),
    }
    // Holds for all processes that share the socket, and each of them wants it: none may wait in an accept for a
    // connection that another has taken.
    socket
        .set_nonblocking(true)
        .map_err(|error| fault(format!("cannot be used: {error}")))?;
    Ok(TcpListener::from(descriptor))
}

#[cfg(test)]
mod tests;
