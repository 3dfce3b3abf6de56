//! Graceful shutdown of the proxy, with the real programs: accepted requests are finished first.

use std::path::Path;
use std::time::{Duration, Instant};

use emulator::system::calls::Connection;
use emulator::system::machines::{Role, beside, net};
use emulator::system::wait_for;
use emulator::system::whole::{Size, Whole, lines};
use tempfile::TempDir;

/// The deadline of an awaited event.
fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

#[test]
fn shutdown_finishes_accepted_requests_and_closes() {
    let directory = TempDir::new().unwrap();
    let programs = beside(Path::new(env!("CARGO_BIN_EXE_proxy")), env!("CARGO"));
    let size = Size {
        zones: 1,
        edges: 1,
        net: net(),
    };
    let mut system = Whole::start(directory.path(), &programs, size, deadline()).unwrap();
    let mut connection = Connection::open(system.machines.http(0), deadline()).unwrap();
    let head = lines("under-way", 3_000);
    let request =
        format!("POST /write/1 HTTP/1.1\r\n{head}X-Work-Ms: 2500\r\nContent-Length: 2\r\n\r\nhi");
    connection.send(request.as_bytes(), deadline()).unwrap();
    assert!(
        wait_for(deadline(), || (system.town.counts().arrived > 0)
            .then_some(()))
        .is_some()
    );
    system.machines.tell_to_end(Role::Proxy, 0);
    let signalled_at = Instant::now();
    let reply = connection.answer(deadline()).unwrap();
    assert!(
        signalled_at.elapsed() > Duration::from_millis(500),
        "the request was not in progress at the signal"
    );
    assert_eq!((reply.status, reply.close), (200, true), "{}", reply.text());
    assert!(
        reply.text().contains("under-way POST /write/1"),
        "{}",
        reply.text()
    );
    assert!(
        reply.line("X-Server-Seal").is_some() && reply.line("X-Request-Id") == Some("under-way")
    );
    assert_eq!(system.town.runs("under-way"), 1);
    let status = system.machines.ended(Role::Proxy, 0, deadline());
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}
