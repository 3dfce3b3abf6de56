use super::*;

/// Polls until an event matches, for a bounded number of iterations.
fn poll_until(connections: &mut Connections, is_match: fn(&IoEvent) -> bool) -> IoEvent {
    for _ in 0..200 {
        let mut events = Vec::new();
        connections.flush_all(&mut events);
        connections.wait(Some(10_000), || 0, &mut events).unwrap();
        if let Some(event) = events.into_iter().find(is_match) {
            return event;
        }
    }
    panic!("the expected event did not occur");
}

#[test]
fn input_beyond_the_limit_is_read_later_and_before_the_end_of_stream() {
    let mut connections = Connections::new(&[]).unwrap();
    let (_, address) = connections.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = connections.connect(address, 0).unwrap();
    let IoEvent::Accepted(0, server) =
        poll_until(&mut connections, |e| matches!(e, IoEvent::Accepted(..)))
    else {
        panic!()
    };
    connections.get_mut(server).unwrap().max_input_bytes = 3;
    connections
        .output(client)
        .unwrap()
        .extend_from_slice(b"hello");
    poll_until(&mut connections, |e| matches!(e, IoEvent::Received(_)));
    assert_eq!(connections.get(server).unwrap().input, b"hel");
    connections.get_mut(server).unwrap().input.clear();
    connections.close(client);
    let mut events = Vec::new();
    for _ in 0..200 {
        connections.get_mut(server).unwrap().max_input_bytes = 100;
        connections.resume_reading(server, 0, &mut events);
        connections.wait(Some(1_000), || 0, &mut events).unwrap();
        if events.contains(&IoEvent::PeerClosed(server)) {
            break;
        }
    }
    assert_eq!(connections.get(server).unwrap().input, b"lo");
    let received = events.iter().position(|e| *e == IoEvent::Received(server));
    assert!(
        received
            < events
                .iter()
                .position(|e| *e == IoEvent::PeerClosed(server))
    );
}

#[test]
fn received_bytes_are_reported_before_a_reset() {
    let mut connections = Connections::new(&[]).unwrap();
    let (_, address) = connections.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = connections.connect(address, 0).unwrap();
    let IoEvent::Accepted(0, server) =
        poll_until(&mut connections, |e| matches!(e, IoEvent::Accepted(..)))
    else {
        panic!()
    };
    connections.get_mut(server).unwrap().max_input_bytes = 0;
    connections
        .output(client)
        .unwrap()
        .extend_from_slice(b"a part of a request");
    poll_until(&mut connections, |e| matches!(e, IoEvent::Flushed(_)));
    assert_eq!(connections.get(client).unwrap().sent_bytes(), 19);
    // The server responds without reading the rest and closes: its unread input makes the kernel reset the connection.
    connections
        .get_mut(server)
        .unwrap()
        .stream
        .write_all(b"not run")
        .unwrap();
    connections.close(server);
    connections
        .output(client)
        .unwrap()
        .extend_from_slice(b"the rest");
    let mut events = Vec::new();
    connections.flush_all(&mut events);
    let position = |event| events.iter().position(|e| *e == event);
    assert!(
        position(IoEvent::Received(client)) < position(IoEvent::Failed(client)),
        "{events:?}"
    );
    assert_eq!(
        (
            position(IoEvent::Received(client)).is_some(),
            &connections.get(client).unwrap().input[..]
        ),
        (true, &b"not run"[..])
    );
}

#[test]
fn wait_until_a_past_time_returns_at_once() {
    let mut connections = Connections::new(&[]).unwrap();
    connections
        .wait(Some(i64::MIN), || 1_000_000, &mut Vec::new())
        .unwrap();
}

#[test]
fn id_of_a_closed_connection_finds_nothing() {
    let mut connections = Connections::new(&[]).unwrap();
    let (_, address) = connections.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let old = connections.connect(address, 0).unwrap();
    connections.close(old);
    let new = connections.connect(address, 0).unwrap();
    assert!(connections.output(old).is_none() && connections.get(new).is_some() && old != new);
}
