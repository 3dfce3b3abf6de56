use std::net::{TcpStream, UdpSocket};
use std::os::fd::AsRawFd;

use super::*;

#[test]
fn duplicate_accepts_and_original_stays_open() {
    let original = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = original.local_addr().unwrap();
    let copy = duplicate(original.as_raw_fd() as u32, address).unwrap();
    let client = TcpStream::connect(address).unwrap();
    assert_eq!(copy.accept().unwrap().1, client.local_addr().unwrap());
    drop(copy);
    let client = TcpStream::connect(address).unwrap();
    assert_eq!(original.accept().unwrap().1, client.local_addr().unwrap());
}

#[test]
fn descriptor_that_does_not_listen_on_the_address_is_rejected_by_variable() {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    let (client, udp_socket) = (
        TcpStream::connect(address).unwrap(),
        UdpSocket::bind("127.0.0.1:0").unwrap(),
    );
    let file = tempfile::tempfile().unwrap();
    let other_address = "127.0.0.1:1".parse().unwrap();
    for (number, address, text) in [
        (u32::MAX, address, "not open"),
        (100_000, address, "not open"),
        (
            client.as_raw_fd() as u32,
            client.local_addr().unwrap(),
            "not a listening TCP socket",
        ),
        (
            udp_socket.as_raw_fd() as u32,
            udp_socket.local_addr().unwrap(),
            "not a listening TCP socket",
        ),
        (
            file.as_raw_fd() as u32,
            address,
            "not a listening TCP socket",
        ),
        (
            listener.as_raw_fd() as u32,
            other_address,
            "not on 127.0.0.1:1",
        ),
    ] {
        let fault = duplicate(number, address).unwrap_err();
        assert!(
            fault.key == ENV_VARIABLE && fault.to_string().contains(text),
            "{fault}"
        );
    }
}
