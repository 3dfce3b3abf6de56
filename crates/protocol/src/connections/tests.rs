use std::io::Write;

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

/// A connection within one poll: the ends of its client and of its server.
fn connect_pair() -> (Connections, ConnectionId, ConnectionId) {
    let mut connections = Connections::new(&[]).unwrap();
    let (_, address) = connections.listen("127.0.0.1:0".parse().unwrap()).unwrap();
    let client = connections.connect(address, 0).unwrap();
    let accepted = poll_until(&mut connections, |e| matches!(e, IoEvent::Accepted(..)));
    let IoEvent::Accepted(0, server) = accepted else {
        panic!("accepted by another listener")
    };
    connections.get_mut(server).unwrap().max_input_bytes = 0;
    (connections, client, server)
}

/// Polls and writes a few times; returns all events.
fn collect_events(connections: &mut Connections) -> Vec<IoEvent> {
    let mut events = Vec::new();
    for _ in 0..20 {
        connections.flush_all(&mut events);
        connections.wait(Some(1_000), || 0, &mut events).unwrap();
    }
    events
}

/// Queues more output than the buffers of both ends hold.
fn block_output(connections: &mut Connections, id: ConnectionId) {
    let output = connections.output(id).unwrap();
    output.resize(32 << 20, b'x');
    collect_events(connections);
    assert!(connections.has_pending_output(id));
}

fn write_directly(connections: &mut Connections, id: ConnectionId, bytes: &[u8]) {
    let stream = &mut connections.get_mut(id).unwrap().stream;
    stream.write_all(bytes).unwrap();
}

/// What the events say of the client's connection.
fn of_connection(events: &[IoEvent], id: ConnectionId) -> Vec<IoEvent> {
    let concerns = |event: &&IoEvent| {
        [
            IoEvent::Received(id),
            IoEvent::PeerClosed(id),
            IoEvent::Failed(id),
        ]
        .contains(event)
    };
    events.iter().filter(concerns).copied().collect()
}

// Guards against a reset that passes for an end in order, as the kernel reports its error to a write and then an end of input
// to the read.
#[test]
fn end_of_input_after_a_failed_write_is_no_end_in_order() {
    let (mut connections, client, server) = connect_pair();
    collect_events(&mut connections);
    write_directly(&mut connections, client, b"unread");
    write_directly(&mut connections, server, b"half");
    connections.close(server);
    connections.output(client).unwrap().extend(b"the rest");
    let mut events = Vec::new();
    connections.flush_all(&mut events);
    events.extend(collect_events(&mut connections));
    let events = of_connection(&events, client);
    assert_eq!(
        events[..2],
        [IoEvent::Received(client), IoEvent::Failed(client)]
    );
    assert!(!events.contains(&IoEvent::PeerClosed(client)), "{events:?}");
    let connection = connections.get(client).unwrap();
    assert_eq!(connection.failed_call(), Some(FailedCall::Write));
    assert_eq!(connection.input, b"half");
    assert!(!connections.has_pending_output(client));
    assert_eq!(connections.end_counts().orderly, 0);
}

// Guards against the same where the poll finds the connection writable and at its end at once.
#[test]
fn reset_of_a_connection_with_blocked_output_is_no_end_in_order() {
    let (mut connections, client, server) = connect_pair();
    block_output(&mut connections, client);
    write_directly(&mut connections, server, b"half");
    connections.close(server);
    let events = of_connection(&collect_events(&mut connections), client);
    assert_eq!(
        events[..2],
        [IoEvent::Received(client), IoEvent::Failed(client)]
    );
    assert!(!events.contains(&IoEvent::PeerClosed(client)), "{events:?}");
}

// Guards against an end in order that is lost, as a reset follows and a write fails before the input is read.
#[test]
fn end_in_order_is_reported_before_the_reset_that_follows() {
    let (mut connections, client, server) = connect_pair();
    block_output(&mut connections, client);
    write_directly(&mut connections, server, b"whole");
    connections.shutdown_write(server);
    connections.close(server);
    let events = of_connection(&collect_events(&mut connections), client);
    assert_eq!(
        events[..2],
        [IoEvent::Received(client), IoEvent::PeerClosed(client)]
    );
}

// Guards against a reset that is noticed only once the full input buffer is read, and against the loss of the input that
// the socket still holds then.
#[test]
fn reset_is_reported_at_once_and_again_after_the_input_that_was_left_in_the_socket() {
    let (mut connections, client, server) = connect_pair();
    connections.get_mut(client).unwrap().max_input_bytes = 3;
    block_output(&mut connections, client);
    write_directly(&mut connections, server, b"half");
    connections.close(server);
    let events = of_connection(&collect_events(&mut connections), client);
    assert!(events.contains(&IoEvent::Failed(client)), "{events:?}");
    let connection = connections.get_mut(client).unwrap();
    assert!(connection.has_failed() && connection.has_unread());
    assert_eq!(connection.input, b"hal");
    connection.max_input_bytes = 100;
    let mut events = Vec::new();
    connections.resume_reading(client, 0, &mut events);
    assert_eq!(events, [IoEvent::Received(client), IoEvent::Failed(client)]);
    assert_eq!(connections.get(client).unwrap().input, b"half");
}

#[test]
fn connection_whose_peer_has_closed_in_order_can_be_written_to() {
    let (mut connections, client, server) = connect_pair();
    connections.get_mut(server).unwrap().max_input_bytes = 100;
    connections.shutdown_write(server);
    poll_until(&mut connections, |e| matches!(e, IoEvent::PeerClosed(_)));
    assert!(!connections.get(client).unwrap().has_failed());
    connections.output(client).unwrap().extend(b"more");
    poll_until(&mut connections, |e| matches!(e, IoEvent::Received(_)));
    assert_eq!(connections.get(server).unwrap().input, b"more");
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
