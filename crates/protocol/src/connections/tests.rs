use super::*;

/// Turns until something of the wanted kind happens; bounded.
fn until(wires: &mut Connections, wanted: fn(&IoEvent) -> bool) -> IoEvent {
    for _ in 0..200 {
        let mut happenings = Vec::new();
        wires.flush_all(&mut happenings);
        wires.wait(Some(10_000), || 0, &mut happenings).unwrap();
        if let Some(found) = happenings.into_iter().find(wanted) {
            return found;
        }
    }
    panic!("it did not happen");
}

#[test]
fn input_beyond_the_limit_waits_and_the_end_comes_last() {
    let mut wires = Connections::new(&[]).unwrap();
    let (_, address) = wires.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let near = wires.connect(address, 0).unwrap();
    let IoEvent::Accepted(0, far) = until(&mut wires, |h| matches!(h, IoEvent::Accepted(..)))
    else {
        panic!()
    };
    wires.get_mut(far).unwrap().max_input_bytes = 3;
    wires.output(near).unwrap().extend_from_slice(b"hello");
    until(&mut wires, |h| matches!(h, IoEvent::Received(_)));
    assert_eq!(wires.get(far).unwrap().input, b"hel");
    wires.get_mut(far).unwrap().input.clear();
    wires.close(near);
    let mut happenings = Vec::new();
    for _ in 0..200 {
        wires.get_mut(far).unwrap().max_input_bytes = 100;
        wires.resume_reading(far, 0, &mut happenings);
        wires.wait(Some(1_000), || 0, &mut happenings).unwrap();
        if happenings.contains(&IoEvent::PeerClosed(far)) {
            break;
        }
    }
    assert_eq!(wires.get(far).unwrap().input, b"lo");
    let came = happenings.iter().position(|h| *h == IoEvent::Received(far));
    assert!(
        came < happenings
            .iter()
            .position(|h| *h == IoEvent::PeerClosed(far))
    );
}

#[test]
fn received_bytes_are_reported_before_a_reset() {
    let mut wires = Connections::new(&[]).unwrap();
    let (_, address) = wires.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let near = wires.connect(address, 0).unwrap();
    let IoEvent::Accepted(0, far) = until(&mut wires, |h| matches!(h, IoEvent::Accepted(..)))
    else {
        panic!()
    };
    wires.get_mut(far).unwrap().max_input_bytes = 0;
    wires
        .output(near)
        .unwrap()
        .extend_from_slice(b"a part of a request");
    until(&mut wires, |h| matches!(h, IoEvent::Flushed(_)));
    assert_eq!(wires.get(near).unwrap().sent_bytes(), 19);
    // It answers without reading on, and closes: what it had not read resets the connection.
    wires
        .get_mut(far)
        .unwrap()
        .stream
        .write_all(b"not run")
        .unwrap();
    wires.close(far);
    wires.output(near).unwrap().extend_from_slice(b"the rest");
    let mut happenings = Vec::new();
    wires.flush_all(&mut happenings);
    let place = |wanted| happenings.iter().position(|h| *h == wanted);
    assert!(
        place(IoEvent::Received(near)) < place(IoEvent::Failed(near)),
        "{happenings:?}"
    );
    assert_eq!(
        (
            place(IoEvent::Received(near)).is_some(),
            &wires.get(near).unwrap().input[..]
        ),
        (true, &b"not run"[..])
    );
}

#[test]
fn wait_until_a_past_time_returns_at_once() {
    let mut wires = Connections::new(&[]).unwrap();
    wires
        .wait(Some(i64::MIN), || 1_000_000, &mut Vec::new())
        .unwrap();
}

#[test]
fn id_of_a_closed_connection_finds_nothing() {
    let mut wires = Connections::new(&[]).unwrap();
    let (_, address) = wires.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let old = wires.connect(address, 0).unwrap();
    wires.close(old);
    let new = wires.connect(address, 0).unwrap();
    assert!(wires.output(old).is_none() && wires.get(new).is_some() && old != new);
}
