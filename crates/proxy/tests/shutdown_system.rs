//! Graceful shutdown of the proxy, with the real programs: accepted requests are finished first.

use std::path::Path;
use std::time::{Duration, Instant};

use emulator::system::client::Connection;
use emulator::system::machines::{Role, built_programs_folder, unused_net};
use emulator::system::test_system::{Size, TestSystem, request_headers};
use emulator::system::wait_for;
use tempfile::TempDir;

/// The deadline of an awaited event.
fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

#[test]
fn shutdown_finishes_accepted_requests_and_closes() {
    let directory = TempDir::new().unwrap();
    let programs = built_programs_folder(Path::new(env!("CARGO_BIN_EXE_proxy")), env!("CARGO"));
    let size = Size {
        zones: 1,
        edges: 1,
        net: unused_net(),
    };
    let mut system = TestSystem::start(directory.path(), &programs, size, deadline()).unwrap();
    let mut connection = Connection::open(system.machines.http(0), deadline()).unwrap();
    let head = request_headers("under-way", 3_000);
    let request =
        format!("POST /write/1 HTTP/1.1\r\n{head}X-Work-Ms: 2500\r\nContent-Length: 2\r\n\r\nhi");
    connection.send(request.as_bytes(), deadline()).unwrap();
    assert!(
        wait_for(deadline(), || (system.fleet.counts().arrived > 0)
            .then_some(()))
        .is_some()
    );
    system.machines.terminate(Role::Proxy, 0);
    let signalled_at = Instant::now();
    let reply = connection.read_reply(deadline()).unwrap();
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
        reply.header("X-Server-Seal").is_some()
            && reply.header("X-Request-Id") == Some("under-way")
    );
    assert_eq!(system.fleet.run_count("under-way"), 1);
    let status = system.machines.wait_for_exit(Role::Proxy, 0, deadline());
    assert!(status.is_some_and(|status| status.success()), "{status:?}");
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}
