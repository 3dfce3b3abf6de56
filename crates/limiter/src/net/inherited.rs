//! A listening socket that the platform holds and each process of the limiter inherits.

use std::net::{SocketAddr, TcpListener};
use std::os::fd::OwnedFd;

use config_check::Fault;
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
pub fn listener(number: u32, address: SocketAddr) -> Result<TcpListener, Fault> {
    let fault = |text: String| Fault::at(VARIABLE, format!("descriptor {number} {text}"));
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
mod tests {
    use std::net::{TcpStream, UdpSocket};
    use std::os::fd::AsRawFd;

    use super::*;

    #[test]
    fn a_listening_socket_is_taken_over_and_stays_open_for_the_other() {
        let held = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = held.local_addr().unwrap();
        let taken = listener(held.as_raw_fd() as u32, address).unwrap();
        let client = TcpStream::connect(address).unwrap();
        assert_eq!(taken.accept().unwrap().1, client.local_addr().unwrap());
        drop(taken);
        let client = TcpStream::connect(address).unwrap();
        assert_eq!(held.accept().unwrap().1, client.local_addr().unwrap());
    }

    #[test]
    fn what_is_no_listening_socket_on_the_address_is_refused_by_key() {
        let held = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = held.local_addr().unwrap();
        let (client, datagrams) = (
            TcpStream::connect(address).unwrap(),
            UdpSocket::bind("127.0.0.1:0").unwrap(),
        );
        let file = tempfile::tempfile().unwrap();
        let other = "127.0.0.1:1".parse().unwrap();
        for (number, address, text) in [
            (u32::MAX, address, "not open"),
            (100_000, address, "not open"),
            (
                client.as_raw_fd() as u32,
                client.local_addr().unwrap(),
                "no listening TCP socket",
            ),
            (
                datagrams.as_raw_fd() as u32,
                datagrams.local_addr().unwrap(),
                "no listening TCP socket",
            ),
            (file.as_raw_fd() as u32, address, "no listening TCP socket"),
            (held.as_raw_fd() as u32, other, "not on 127.0.0.1:1"),
        ] {
            let fault = listener(number, address).unwrap_err();
            assert!(
                fault.key == VARIABLE && fault.to_string().contains(text),
                "{fault}"
            );
        }
    }
}
