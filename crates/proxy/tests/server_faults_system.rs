//! The real programs with servers that reset or drop connections, don't respond, truncate
//! responses, and send malformed, duplicate or surplus ones. Guards against a write that runs twice
//! and against a response that reaches another caller.

use std::path::Path;
use std::time::{Duration, Instant};

use emulator::system::client::{Connection, Failure};
use emulator::system::machines::{Role, built_programs_folder, unused_net};
use emulator::system::server::{AnswerFault, echo};
use emulator::system::test_system::{Size, TENANT, TestSystem, request_headers};
use tempfile::TempDir;

/// Number of requests of each client, which sends them one by one.
const REQUESTS_PER_CLIENT: usize = 40;
/// Number of concurrent clients.
const CLIENT_COUNT: usize = 4;
/// Clients' timeout in milliseconds, which is how long each silent server delays the test.
const CLIENT_TIMEOUT_MS: u128 = 400;
/// All kinds of server faults.
const SERVER_FAULTS: [AnswerFault; 8] = [
    AnswerFault::Duplicated,
    AnswerFault::Reset,
    AnswerFault::Unsolicited,
    AnswerFault::ClosedUnannounced,
    AnswerFault::Truncated,
    AnswerFault::Malformed,
    AnswerFault::NoAnswer,
    AnswerFault::Unframed,
];
/// Statuses that promise that the request has not run and never will.
const NOT_RUN_STATUSES: [u16; 4] = [503, 429, 408, 421];

/// The deadline of an awaited event.
fn deadline() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

/// A request that was sent, and the status of its response, if there was one.
struct SentRequest {
    id: String,
    is_write: bool,
    status: Option<u16>,
}

/// Sends the requests of a client one by one. A successful response echoes its request, by which it
/// is checked that it belongs to the request.
fn run_client(system: &TestSystem, client_index: usize) -> Vec<SentRequest> {
    let (mut connection, mut sent_requests) = (None, Vec::new());
    for index in 0..REQUESTS_PER_CLIENT {
        let (id, is_write) = (format!("c{client_index}-{index}"), index % 3 > 0);
        let body = if is_write {
            "x".repeat(index * 37)
        } else {
            String::new()
        };
        let (method, path) = if is_write {
            ("POST", "/write/1")
        } else {
            ("GET", "/read/1")
        };
        let content_length = if is_write {
            format!("Content-Length: {}\r\n", body.len())
        } else {
            String::new()
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\n{}{content_length}\r\n{body}",
            request_headers(&id, CLIENT_TIMEOUT_MS)
        );
        let deadline = Instant::now() + Duration::from_secs(4);
        let mut open_connection = match connection.take() {
            Some(open_connection) => open_connection,
            None => Connection::open(system.machines.http(0), deadline).unwrap(),
        };
        let result = open_connection
            .send(text.as_bytes(), deadline)
            .and_then(|()| open_connection.read_reply(deadline));
        let status = match result {
            Ok(reply) => {
                if [200, 201].contains(&reply.status) {
                    let expected = echo(&id, method, path, TENANT, body.as_bytes());
                    assert!(
                        reply.text().contains(&expected),
                        "{id}: response to another request: {}",
                        reply.text()
                    );
                    assert_eq!(reply.header("X-Request-Id"), Some(id.as_str()));
                }
                connection = Some(open_connection).filter(|_| !reply.close);
                Some(reply.status)
            }
            Err(Failure::UnexpectedBytes) => panic!("{id}: surplus bytes after the response"),
            Err(_) => None,
        };
        sent_requests.push(SentRequest {
            id,
            is_write,
            status,
        });
    }
    sent_requests
}

#[test]
fn each_response_reaches_its_own_caller_and_no_write_runs_twice() {
    let directory = TempDir::new().unwrap();
    let programs = built_programs_folder(Path::new(env!("CARGO_BIN_EXE_proxy")), env!("CARGO"));
    let size = Size {
        zones: 1,
        edges: 1,
        net: unused_net(),
    };
    let mut system = TestSystem::start(directory.path(), &programs, size, deadline()).unwrap();
    // All routes go to one service with two servers. Each has the same faults, starting with
    // another one.
    for server in 0..2 {
        let mut faults: Vec<AnswerFault> = SERVER_FAULTS.repeat(2);
        faults.rotate_left(3 * server);
        system.fleet.inject_faults(server, &faults);
    }
    let requests: Vec<SentRequest> = std::thread::scope(|scope| {
        let system = &system;
        let clients: Vec<_> = (0..CLIENT_COUNT)
            .map(|index| scope.spawn(move || run_client(system, index)))
            .collect();
        clients
            .into_iter()
            .flat_map(|client| client.join().unwrap())
            .collect()
    });
    let counts = system.fleet.counts();
    assert_eq!(counts.repeated_mutating, 0, "{counts:?}");
    assert!(
        counts.faulty_answers >= 14,
        "too few faults occurred: {counts:?}"
    );
    for SentRequest {
        id,
        is_write,
        status,
    } in requests.iter().filter(|request| request.is_write)
    {
        let runs = system.fleet.run_count(id);
        assert!(*is_write && runs <= 1, "{id} ran {runs} times");
        if status.is_some_and(|status| NOT_RUN_STATUSES.contains(&status)) {
            assert_eq!(
                runs, 0,
                "{id} ran although {status:?} promises that it did not"
            );
        }
        if *status == Some(200) {
            assert_eq!(runs, 1, "{id}");
        }
    }
    let success_count = requests
        .iter()
        .filter(|request| request.status == Some(200))
        .count();
    let statuses: Vec<_> = requests.iter().map(|request| request.status).collect();
    assert!(
        success_count * 2 > requests.len(),
        "{success_count} of {} requests succeeded: {statuses:?}",
        requests.len()
    );
    // A restarted agent and control program count their messages from the start again: no reply may
    // be matched to an earlier message of the same number.
    system.machines.kill(Role::Agent, 0);
    system.machines.kill(Role::Control, 0);
    system.machines.start(Role::Control, 0).unwrap();
    system.machines.start(Role::Agent, 0).unwrap();
    let requests = run_client(&system, CLIENT_COUNT);
    assert!(
        requests
            .iter()
            .all(|request| system.fleet.run_count(&request.id)
                <= if request.is_write { 1 } else { 3 })
    );
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}
