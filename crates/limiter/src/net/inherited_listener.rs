//! The listening socket that the platform keeps open and that each process of the limiter inherits.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;

use config_check::KeyError;
use rustix::process::{PidfdFlags, PidfdGetfdFlags, getpid, pidfd_getfd, pidfd_open};
use socket2::{SockRef, Type};

/// Environment variable that holds the number of the socket's descriptor.
pub const ENV_VARIABLE: &str = "ROUTER_PASSED_SOCKET";

/// Duplicates the descriptor with this number, which must be a TCP socket listening on this address.
///
/// A raw number can't become an owned descriptor without unsafe code; `pidfd_getfd` on this process returns a
/// duplicate instead. The original stays open for the lifetime of the process.
///
/// # Errors
/// The descriptor is not open, can't be duplicated, or is not a TCP socket listening on `address`.
pub fn duplicate(number: u32, address: SocketAddr) -> Result<TcpListener, KeyError> {
    let fault = |text: String| KeyError::new(ENV_VARIABLE, format!("descriptor {number} {text}"));
    let duplicate = || -> rustix::io::Result<OwnedFd> {
        let number = i32::try_from(number).map_err(|_| rustix::io::Errno::BADF)?;
        let process = pidfd_open(getpid(), PidfdFlags::empty())?;
        pidfd_getfd(&process, number, PidfdGetfdFlags::empty())
    };
    let descriptor = duplicate().map_err(|error| match error {
        rustix::io::Errno::BADF => fault("is not open".to_string()),
        error => fault(format!("cannot be duplicated: {error}")),
    })?;
    let socket = SockRef::from(&descriptor);
    let is_tcp_listener = socket.r#type().is_ok_and(|kind| kind == Type::STREAM)
        && socket.is_listener().unwrap_or(false);
    let bound = socket
        .local_addr()
        .ok()
        .and_then(|address| address.as_socket());
    match bound {
        Some(bound) if is_tcp_listener && bound == address => {}
        Some(bound) if is_tcp_listener => {
            return Err(fault(format!("listens on {bound}, not on {address}")));
        }
        _ => return Err(fault("is not a listening TCP socket".to_string())),
    }
    // The flag applies to all processes that share the socket. Each of them needs it: otherwise one could block in
    // accept, waiting for a connection that another process has accepted.
    socket
        .set_nonblocking(true)
        .map_err(|error| fault(format!("cannot be made non-blocking: {error}")))?;
    Ok(TcpListener::from(descriptor))
}

#[cfg(test)]
mod tests;
