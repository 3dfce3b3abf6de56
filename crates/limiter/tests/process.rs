//! The program as a process: signals, restarts with an inherited socket, memory, log and usage commands.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Kills the process on drop, also when the test fails.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn sighup_ignores_an_invalid_configuration_and_applies_a_valid_one() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("config.json");
    let server = MockServer::start(|_, _| ok("served"));
    let write_config = |text: &str| std::fs::write(&path, text).unwrap();
    write_config(&config(&[server.address], unreachable_address()));
    let mut child = Command::new(env!("CARGO_BIN_EXE_streamarch"))
        .args(["serve", "--config"])
        .arg(&path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
    let process = Process(child);
    // Fails when the log ends, so an early exit of the program does not hang the test.
    let mut next_log_line_containing = |text: &str| {
        log.by_ref()
            .map(Result::unwrap)
            .find(|line| line.contains(text))
            .expect(text)
    };
    let serving_line = next_log_line_containing("serving on ");
    let address = serving_line.rsplit(' ').next().unwrap().parse().unwrap();
    let send_signal = |name: &str| {
        let status = Command::new("sh")
            .args(["-c", &format!("kill -{name} {}", process.0.id())])
            .status();
        assert!(status.unwrap().success());
    };

    let valid_config = config(&[server.address], unreachable_address());
    write_config(&valid_config.replace("\"discovery\":\"", "\"discovery\":\"nowhere"));
    send_signal("HUP");
    assert!(next_log_line_containing("configuration rejected").contains("key 'discovery'"));
    assert_eq!(
        send_request(address, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status,
        200
    );
    write_config(&valid_config);
    send_signal("HUP");
    next_log_line_containing("configuration reloaded");
    send_signal("TERM");
    next_log_line_containing("shutting down");
}

/// A limiter process that inherits the clients' listening socket as its standard input, the one descriptor that a test
/// can pass on without unsafe code.
struct InheritingProcess {
    process: Process,
    operator_address: SocketAddr,
}

impl InheritingProcess {
    fn start(directory: &std::path::Path, config: &str, socket: &TcpListener) -> InheritingProcess {
        let operator_address = free_address();
        let path = directory.join(format!("config-{}.json", operator_address.port()));
        let config_text = config.replacen('{', &format!("{{\"ops\":\"{operator_address}\","), 1);
        std::fs::write(&path, config_text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_streamarch"))
            .args(["serve", "--config"])
            .arg(&path)
            .env("ROUTER_PASSED_SOCKET", "0")
            .env("TMPDIR", directory)
            .stdin(OwnedFd::from(socket.try_clone().unwrap()))
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        InheritingProcess {
            process: Process(child),
            operator_address,
        }
    }

    /// Waits until the process reports that it accepts clients.
    fn wait_until_ready(&mut self) {
        let started_at = Instant::now();
        while std::net::TcpStream::connect(self.operator_address).is_err()
            || send_operator_command(self.operator_address, "ready\n") != "done"
        {
            assert!(
                self.process.0.try_wait().unwrap().is_none() && started_at.elapsed() < TEST_TIMEOUT,
                "the process exited or did not become ready in time"
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn send_signal(&self, name: &str) {
        let status = Command::new("sh")
            .args(["-c", &format!("kill -{name} {}", self.process.0.id())])
            .status();
        assert!(status.unwrap().success());
    }

    fn exited_successfully(&mut self) -> bool {
        self.process.0.wait().unwrap().success()
    }
}

/// An address that the system assigned a moment ago and that is free again. Another test can be assigned the same one,
/// as it is not held until it is used.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

#[test]
fn restarted_process_takes_over_the_inherited_socket_without_losing_requests() {
    let directory = tempfile::tempdir().unwrap();
    let server = MockServer::start(|_, _| {
        thread::sleep(Duration::from_millis(2));
        ok("served")
    });
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let peer_address = UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let config_text = config(&[server.address], start_counter().address)
        .replace("127.0.0.1:0", &address.to_string())
        .replacen('{', &format!("{{\"peer_listen\":\"{peer_address}\","), 1)
        .replace(
            "\"Permissions\":{",
            "\"Permissions\":{\"PeerMessages\":true,",
        );
    let mut old_process = InheritingProcess::start(directory.path(), &config_text, &socket);
    old_process.wait_until_ready();
    let stop_requested = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    // Each client keeps its connection until a response announces its close, then opens a new one for the next request.
    let client_threads: Vec<_> = (0..4)
        .map(|number| {
            let stop_requested = stop_requested.clone();
            thread::spawn(move || {
                let (mut client, mut request_count) = (Client::connect(address), 0);
                while !stop_requested.load(std::sync::atomic::Ordering::SeqCst) {
                    let response = client
                        .send_request(&idempotent_request(&format!("c{number}-{request_count}")));
                    assert_eq!(response.status, 200);
                    request_count += 1;
                    if !response.keep_alive {
                        client = Client::connect(address);
                    }
                }
                request_count
            })
        })
        .collect();
    let wait_for_50_requests = || {
        let count_before = server.request_count();
        while server.request_count() < count_before + 50 {
            thread::sleep(Duration::from_millis(1));
        }
    };
    // Two restarts, each preceded by a process that fails before it is ready.
    for _ in 0..2 {
        wait_for_50_requests();
        let invalid_config = config_text.replace("\"Lanes\"", "\"Lines\"");
        assert!(
            !InheritingProcess::start(directory.path(), &invalid_config, &socket)
                .exited_successfully()
        );
        let mut new_process = InheritingProcess::start(directory.path(), &config_text, &socket);
        new_process.wait_until_ready();
        old_process.send_signal("TERM");
        let signalled_at = Instant::now();
        assert!(
            old_process.exited_successfully() && signalled_at.elapsed() < Duration::from_secs(4),
            "idle connections do not delay the exit"
        );
        old_process = new_process;
    }
    wait_for_50_requests();
    stop_requested.store(true, std::sync::atomic::Ordering::SeqCst);
    let request_count: usize = client_threads
        .into_iter()
        .map(|client_thread| client_thread.join().unwrap())
        .sum();
    assert_eq!(
        server.request_count(),
        request_count,
        "each request was executed once"
    );
}

#[test]
fn operator_commands_survive_an_upgrade_and_reach_both_processes() {
    let directory = tempfile::tempdir().unwrap();
    let servers = ["out", "in"].map(|name| MockServer::start(move |_, _| ok(name)));
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let config_text = config(
        &servers.each_ref().map(|server| server.address),
        start_counter().address,
    )
    .replace("127.0.0.1:0", &address.to_string());
    // A truncated record of an earlier process does not prevent the start.
    std::fs::write(
        directory.path().join("streamarch-operations"),
        "streamarch-operations-1 00",
    )
    .unwrap();
    let mut old_process = InheritingProcess::start(directory.path(), &config_text, &socket);
    old_process.wait_until_ready();
    assert_eq!(
        send_operator_command(old_process.operator_address, "disable-server s-0\n"),
        "done"
    );
    let mut new_process = InheritingProcess::start(directory.path(), &config_text, &socket);
    new_process.wait_until_ready();
    let all_served_by_second = |count: usize| {
        (0..count)
            .all(|n| send_request(address, &idempotent_request(&format!("t{n}"))).body == b"in")
    };
    assert!(
        all_served_by_second(40),
        "the server is disabled at the new process from its start"
    );
    assert_eq!(servers[0].request_count(), 0);
    // The new process enables this server, disables the other one and drains; the old process learns of it.
    assert_eq!(
        send_operator_command(new_process.operator_address, "enable-server s-0\n"),
        "done"
    );
    assert_eq!(
        send_operator_command(new_process.operator_address, "disable-server s-1\n"),
        "done"
    );
    assert_eq!(
        send_operator_command(new_process.operator_address, "drain\n"),
        "done"
    );
    thread::sleep(Duration::from_millis(300));
    new_process.send_signal("KILL");
    let readiness = send_request(address, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(
        (readiness.status, readiness.keep_alive),
        (503, false),
        "the old process drains too"
    );
    assert_eq!(
        send_operator_command(old_process.operator_address, "resume\n"),
        "done"
    );
    let started_at = Instant::now();
    while send_request(address, &idempotent_request("u")).body != b"out" {
        assert!(
            started_at.elapsed() < TEST_TIMEOUT,
            "the server is enabled at the old process too"
        );
    }
    let count_before = servers[1].request_count();
    (0..20).for_each(|n| _ = send_request(address, &idempotent_request(&format!("v{n}"))));
    assert_eq!(
        servers[1].request_count(),
        count_before,
        "the other server is disabled at the old process too"
    );
    old_process.send_signal("TERM");
    assert!(old_process.exited_successfully());
}

/// Peak resident memory of a process in KiB.
fn peak_memory_kib(process: &Process) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.0.id())).unwrap();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

#[test]
fn memory_stays_bounded_during_concurrent_32_mib_uploads_and_downloads() {
    const BODY_BYTES: usize = 32 << 20;
    const TRANSFERS_PER_DIRECTION: usize = 8;
    let directory = tempfile::tempdir().unwrap();
    // Waits before it reads a request body, then sends a response body of the same length as fast as the client reads.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || {
                let (mut stream, mut buffer) = (stream.unwrap(), vec![7; 1 << 20]);
                let mut head = Vec::new();
                while !head.windows(4).any(|window| window == b"\r\n\r\n") {
                    let mut byte = [0];
                    stream.read_exact(&mut byte).unwrap();
                    head.push(byte[0]);
                }
                thread::sleep(Duration::from_millis(300));
                let mut remaining_bytes = if head.starts_with(b"POST") {
                    BODY_BYTES
                } else {
                    0
                };
                while remaining_bytes > 0 {
                    match stream.read(&mut buffer) {
                        Ok(length) if length > 0 => remaining_bytes -= length,
                        // The attempt is over; the client's assertion reports a failure.
                        _ => return,
                    }
                }
                let _ = write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nContent-Length: {BODY_BYTES}\r\n\r\n"
                );
                let _ = (0..BODY_BYTES >> 20).try_for_each(|_| stream.write_all(&buffer));
            });
        }
    });
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    // The server waits 0.3 s before it responds, as long as a server may be silent before it is suspected. On a busy
    // machine all would be suspected, and idempotent requests would be moved between them until their attempts are used
    // up. Other tests cover that, so cancelling is off here.
    let config_text = config(&[server; 32], start_counter().address)
        .replace("127.0.0.1:0", &address.to_string())
        .replace("\"Cancelling\":true", "\"Cancelling\":false");
    let mut limiter = InheritingProcess::start(directory.path(), &config_text, &socket);
    limiter.wait_until_ready();
    let transfer = move |number: usize| {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        let is_upload = number.is_multiple_of(2);
        let request = match is_upload {
            true => keyed_request(&format!("k{number}")).replace(
                "Content-Length: 5\r\n\r\nhours",
                &format!("Content-Length: {BODY_BYTES}\r\n\r\n"),
            ),
            false => idempotent_request(&format!("t{number}")),
        };
        client
            .write_all(
                request
                    .replace("X-Expires-In: 2.5", "X-Expires-In: 60")
                    .as_bytes(),
            )
            .unwrap();
        if is_upload {
            let buffer = vec![3; 1 << 20];
            (0..BODY_BYTES >> 20).for_each(|_| client.write_all(&buffer).unwrap());
        }
        // Reads nothing for a while, then everything.
        thread::sleep(Duration::from_millis(300));
        let (mut buffer, mut received_bytes) = (vec![0; 1 << 20], 0);
        while received_bytes < BODY_BYTES {
            match client.read(&mut buffer).unwrap() {
                0 => break,
                length => received_bytes += length,
            }
        }
        received_bytes
    };
    let client_threads: Vec<_> = (0..2 * TRANSFERS_PER_DIRECTION)
        .map(|number| thread::spawn(move || transfer(number)))
        .collect();
    for client_thread in client_threads {
        assert!(client_thread.join().unwrap() >= BODY_BYTES);
    }
    let peak_kib = peak_memory_kib(&limiter.process);
    println!(
        "{peak_kib} KiB for {} transfers of 32 MB",
        2 * TRANSFERS_PER_DIRECTION
    );
    assert!(
        peak_kib < 24 * 1024,
        "{peak_kib} KiB for {} transfers",
        2 * TRANSFERS_PER_DIRECTION
    );
}

#[test]
fn log_format_is_text_or_json_and_invalid_options_are_rejected() {
    let directory = tempfile::tempdir().unwrap();
    let path = directory.path().join("config.json");
    std::fs::write(
        &path,
        config(&[unreachable_address()], unreachable_address()),
    )
    .unwrap();
    let spawn = |options: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_streamarch"));
        command
            .args(["serve", "--config"])
            .arg(&path)
            .args(options)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap()
    };
    let first_log_line = |options: &[&str]| {
        let mut child = spawn(options);
        let mut line = String::new();
        BufReader::new(child.stderr.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        drop(Process(child));
        line
    };
    assert!(first_log_line(&[]).starts_with("n0 serving on 127.0.0.1:"));
    let json: serde_json::Value =
        serde_json::from_str(&first_log_line(&["--log-format", "json"])).unwrap();
    assert_eq!(
        (json["level"].as_str(), json["fields"]["limiter"].as_str()),
        (Some("INFO"), Some("n0"))
    );
    assert!(
        json["fields"]["message"]
            .as_str()
            .unwrap()
            .starts_with("serving on ")
    );
    for options in [["--log-format", "xml"], ["--log-level", "loud"]] {
        let mut child = spawn(&options);
        assert_eq!(child.wait().unwrap().code(), Some(2), "{options:?}");
    }
}

#[test]
fn usage_commands_verify_export_and_acknowledge_the_ledger() {
    let directory = tempfile::tempdir().unwrap();
    let (ledger_directory, export_directory) = (
        directory.path().join("ledger"),
        directory.path().join("out"),
    );
    {
        let (mut ledger, _) = usage::ledger::Ledger::open(&ledger_directory, "n0").unwrap();
        (0..3).for_each(|n| {
            _ = ledger
                .record(usage::record::AttemptUsage {
                    customer: n,
                    ..Default::default()
                })
                .unwrap()
        });
        ledger.write().unwrap();
        ledger.mark_sent();
        ledger.sync().unwrap();
    }
    let run_usage = |subcommand: &[&str], paths: &[&std::path::Path], arguments: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_streamarch"));
        let output = command
            .arg("usage")
            .args(subcommand)
            .args(paths)
            .args(arguments)
            .output()
            .unwrap();
        (
            output.status.success(),
            String::from_utf8(output.stdout).unwrap(),
        )
    };
    assert!(
        run_usage(&["verify"], &[&ledger_directory], &[])
            .1
            .contains("3 tries, 0 of them unsure, a torn tail of 0 bytes")
    );
    assert_eq!(
        run_usage(&["show"], &[&ledger_directory], &[])
            .1
            .lines()
            .count(),
        3
    );
    for _ in 0..2 {
        assert!(
            run_usage(&["export"], &[&ledger_directory, &export_directory], &[])
                .1
                .starts_with("batch 1: 3 tries")
        );
    }
    assert!(!run_usage(&["acknowledge"], &[&ledger_directory], &["2"]).0);
    assert!(run_usage(&["acknowledge"], &[&ledger_directory], &["1"]).0);
    assert_eq!(
        run_usage(&["export"], &[&ledger_directory, &export_directory], &[]).1,
        "nothing new\n"
    );
    let path = ledger_directory.join("life-00000001.use");
    let mut bytes = std::fs::read(&path).unwrap();
    bytes[20] ^= 1;
    std::fs::write(&path, bytes).unwrap();
    let (is_valid, output) = run_usage(&["verify"], &[&ledger_directory], &[]);
    assert!(!is_valid && output.contains("damaged at byte "), "{output}");
}

/// Guards against counter calls for requests whose clients disconnected while the limiter was paused. The request and
/// the disconnect are then read together. A burst of such calls after a pause starved the calls of the other limiters
/// (`docs/shared-state.md`).
#[test]
fn request_read_after_a_pause_together_with_its_clients_disconnect_makes_no_counter_call() {
    let directory = tempfile::tempdir().unwrap();
    let (server, counter) = (MockServer::start(|_, _| ok("served")), start_counter());
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let config_text =
        config(&[server.address], counter.address).replace("127.0.0.1:0", &address.to_string());
    let mut process = InheritingProcess::start(directory.path(), &config_text, &socket);
    process.wait_until_ready();
    process.send_signal("STOP");
    for n in 0..3 {
        let mut disconnecting_client = std::net::TcpStream::connect(address).unwrap();
        disconnecting_client
            .write_all(idempotent_request(&format!("gone-{n}")).as_bytes())
            .unwrap();
    }
    process.send_signal("CONT");
    thread::sleep(Duration::from_millis(300));
    assert_eq!(
        (counter.request_count(), server.request_count()),
        (0, 0),
        "no counter call and no attempt for a disconnected client"
    );
    assert_eq!(
        send_request(address, &idempotent_request("here")).status,
        200,
        "later requests are served"
    );
    process.send_signal("TERM");
    assert!(process.exited_successfully());
}
