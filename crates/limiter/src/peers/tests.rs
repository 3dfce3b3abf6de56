use super::*;

#[test]
fn notices_are_accepted_only_from_peers_and_rejections_are_reported_at_intervals() {
    let address = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let mut peers = Peers::new(vec![address(1), address(2)]);
    let bytes = encode_notice(&OverQuotaNotice {
        customer: CustomerId(7),
        plan: 0,
    })
    .unwrap();
    assert!(peers.receive(address(2), &bytes, 1).is_some());
    assert_eq!(
        peers.take_rejected_count(0, 10),
        None,
        "nothing was rejected"
    );
    assert!(
        peers.receive(address(3), &bytes, 1).is_none(),
        "the sender is not a peer"
    );
    assert!(
        peers.receive(address(1), &[0; 256], 0).is_none(),
        "malformed notice"
    );
    assert_eq!(peers.take_rejected_count(0, 10), Some(2));
    assert!(peers.receive(address(3), &bytes, 1).is_none());
    assert_eq!(
        (
            peers.take_rejected_count(9, 10),
            peers.take_rejected_count(10, 10)
        ),
        (None, Some(1))
    );
    peers.set_addresses(vec![address(3)]);
    assert!(
        peers.receive(address(3), &bytes, 1).is_some()
            && peers.receive(address(2), &bytes, 1).is_none()
    );
    assert_eq!(
        (peers.address(0), peers.address(1)),
        (Some(address(3)), None)
    );
}

#[test]
fn a_notice_round_trips_and_malformed_datagrams_are_rejected() {
    let notice = OverQuotaNotice {
        customer: CustomerId(0x1_2345_6789),
        plan: 2,
    };
    let bytes = encode_notice(&notice).unwrap();
    assert_eq!(decode_notice(&bytes, 3), Some(notice));
    assert_eq!(decode_notice(&bytes, 2), None);
    for cut in 0..bytes.len() {
        assert_eq!(decode_notice(&bytes[..cut], 3), None);
    }
    assert_eq!(decode_notice(&[&bytes[..], b"x"].concat(), 3), None);
}
