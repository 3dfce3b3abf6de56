use std::net::{TcpStream, UdpSocket};
use std::os::fd::AsRawFd;

use super::*;

#[test]
fn a_listening_socket_is_taken_over_and_stays_open_for_the_other() {
    let held = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = held.local_addr().unwrap();
    let taken = duplicate(held.as_raw_fd() as u32, address).unwrap();
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
        let fault = duplicate(number, address).unwrap_err();
        assert!(
            fault.key == ENV_VARIABLE && fault.to_string().contains(text),
            "{fault}"
        );
    }
}
