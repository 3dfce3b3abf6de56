use super::*;

#[test]
fn only_limiters_of_the_tier_are_believed_and_the_rest_is_told_now_and_then() {
    let at = |port: u16| SocketAddr::from(([127, 0, 0, 1], port));
    let mut peers = Peers::new(vec![at(1), at(2)]);
    let bytes = encode_notice(&OverQuotaNotice {
        customer: CustomerId(7),
        plan: 0,
    })
    .unwrap();
    assert!(peers.receive(at(2), &bytes, 1).is_some());
    assert_eq!(
        peers.take_rejected_count(0, 10),
        None,
        "nothing was refused"
    );
    assert!(
        peers.receive(at(3), &bytes, 1).is_none(),
        "no limiter is there"
    );
    assert!(peers.receive(at(1), &[0; 256], 0).is_none(), "not a notice");
    assert_eq!(peers.take_rejected_count(0, 10), Some(2));
    assert!(peers.receive(at(3), &bytes, 1).is_none());
    assert_eq!(
        (
            peers.take_rejected_count(9, 10),
            peers.take_rejected_count(10, 10)
        ),
        (None, Some(1))
    );
    peers.set_addresses(vec![at(3)]);
    assert!(peers.receive(at(3), &bytes, 1).is_some() && peers.receive(at(2), &bytes, 1).is_none());
    assert_eq!((peers.address(0), peers.address(1)), (Some(at(3)), None));
}

#[test]
fn a_notice_survives_the_wire_and_odd_datagrams_are_none() {
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
