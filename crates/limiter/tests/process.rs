//! The program as a process: what a signal does to it.

mod common;

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, UdpSocket};
use std::os::fd::OwnedFd;
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use common::*;

/// Ends the process also when the test fails.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

#[test]
fn at_sighup_a_faulty_file_changes_nothing_and_a_good_one_is_taken() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    let server = StandIn::start(|_, _| ok("served"));
    let write = |text: &str| std::fs::write(&path, text).unwrap();
    write(&config(&[server.address], nobody()));
    let mut child = Command::new(env!("CARGO_BIN_EXE_streamarch"))
        .args(["serve", "--config"])
        .arg(&path)
        .stderr(Stdio::piped())
        .spawn()
        .unwrap();
    let mut log = BufReader::new(child.stderr.take().unwrap()).lines();
    let process = Process(child);
    // Ends with the log if the program does.
    let mut line_with = |text: &str| {
        log.by_ref()
            .map(Result::unwrap)
            .find(|line| line.contains(text))
            .expect(text)
    };
    let serving = line_with("serving on ");
    let address = serving.rsplit(' ').next().unwrap().parse().unwrap();
    let signal = |name: &str| {
        let told = Command::new("sh")
            .args(["-c", &format!("kill -{name} {}", process.0.id())])
            .status();
        assert!(told.unwrap().success());
    };

    let good = config(&[server.address], nobody());
    write(&good.replace("\"discovery\":\"", "\"discovery\":\"nowhere"));
    signal("HUP");
    assert!(line_with("configuration rejected").contains("key 'discovery'"));
    assert_eq!(
        ask(address, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n").status,
        200
    );
    write(&good);
    signal("HUP");
    line_with("configuration reloaded");
    signal("TERM");
    line_with("shutting down");
}

/// A process that inherits the clients' listening socket: as its standard input, the one descriptor that a test can
/// hand over without unsafe code.
struct Version {
    process: Process,
    operators: SocketAddr,
}

impl Version {
    fn start(folder: &std::path::Path, config: &str, socket: &TcpListener) -> Version {
        let operators = free_address();
        let path = folder.join(format!("config-{}.json", operators.port()));
        let text = config.replacen('{', &format!("{{\"ops\":\"{operators}\","), 1);
        std::fs::write(&path, text).unwrap();
        let child = Command::new(env!("CARGO_BIN_EXE_streamarch"))
            .args(["serve", "--config"])
            .arg(&path)
            .env("ROUTER_PASSED_SOCKET", "0")
            .env("TMPDIR", folder)
            .stdin(OwnedFd::from(socket.try_clone().unwrap()))
            .stderr(Stdio::null())
            .spawn()
            .unwrap();
        Version {
            process: Process(child),
            operators,
        }
    }

    /// Waits until it says that it takes clients.
    fn ready(&mut self) {
        let asked = Instant::now();
        while std::net::TcpStream::connect(self.operators).is_err()
            || call(self.operators, "ready\n") != "done"
        {
            assert!(
                self.process.0.try_wait().unwrap().is_none() && asked.elapsed() < HANG,
                "it starts"
            );
            thread::sleep(Duration::from_millis(5));
        }
    }

    fn signal(&self, name: &str) {
        let told = Command::new("sh")
            .args(["-c", &format!("kill -{name} {}", self.process.0.id())])
            .status();
        assert!(told.unwrap().success());
    }

    fn ended(&mut self) -> bool {
        self.process.0.wait().unwrap().success()
    }
}

/// An address that was free a moment ago; guards against two tests that are given the same one by holding none.
fn free_address() -> SocketAddr {
    TcpListener::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap()
}

#[test]
fn a_process_started_again_takes_over_the_inherited_socket_and_no_request_is_lost() {
    let folder = tempfile::tempdir().unwrap();
    let server = StandIn::start(|_, _| {
        thread::sleep(Duration::from_millis(2));
        ok("served")
    });
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let peers = UdpSocket::bind("127.0.0.1:0")
        .unwrap()
        .local_addr()
        .unwrap();
    let text = config(&[server.address], counter().address)
        .replace("127.0.0.1:0", &address.to_string())
        .replacen('{', &format!("{{\"peer_listen\":\"{peers}\","), 1)
        .replace(
            "\"Permissions\":{",
            "\"Permissions\":{\"PeerMessages\":true,",
        );
    let mut old = Version::start(folder.path(), &text, &socket);
    old.ready();
    let stop = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    // Each client goes on on its connection for as long as that stays open, and is told its end before it asks again.
    let clients: Vec<_> = (0..4)
        .map(|number| {
            let stop = stop.clone();
            thread::spawn(move || {
                let (mut client, mut asked) = (Client::connect(address), 0);
                while !stop.load(std::sync::atomic::Ordering::SeqCst) {
                    let answer = client.ask(&lookup(&format!("c{number}-{asked}")));
                    assert_eq!(answer.status, 200);
                    asked += 1;
                    if !answer.keep_alive {
                        client = Client::connect(address);
                    }
                }
                asked
            })
        })
        .collect();
    let serves_on = || {
        let before = server.count();
        while server.count() < before + 50 {
            thread::sleep(Duration::from_millis(1));
        }
    };
    // Twice in a row, and before each of them one that dies before it is ready.
    for _ in 0..2 {
        serves_on();
        let broken = text.replace("\"Lanes\"", "\"Lines\"");
        assert!(!Version::start(folder.path(), &broken, &socket).ended());
        let mut new = Version::start(folder.path(), &text, &socket);
        new.ready();
        old.signal("TERM");
        let told = Instant::now();
        assert!(
            old.ended() && told.elapsed() < Duration::from_secs(4),
            "what is idle does not keep it"
        );
        old = new;
    }
    serves_on();
    stop.store(true, std::sync::atomic::Ordering::SeqCst);
    let asked: usize = clients
        .into_iter()
        .map(|client| client.join().unwrap())
        .sum();
    assert_eq!(server.count(), asked, "each ran once");
}

#[test]
fn what_operators_asked_for_holds_over_an_upgrade_at_whichever_process() {
    let folder = tempfile::tempdir().unwrap();
    let servers = ["out", "in"].map(|name| StandIn::start(move |_, _| ok(name)));
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let text = config(
        &servers.each_ref().map(|server| server.address),
        counter().address,
    )
    .replace("127.0.0.1:0", &address.to_string());
    // What an earlier process left torn stops nobody.
    std::fs::write(
        folder.path().join("streamarch-operations"),
        "streamarch-operations-1 00",
    )
    .unwrap();
    let mut old = Version::start(folder.path(), &text, &socket);
    old.ready();
    assert_eq!(call(old.operators, "disable-server s-0\n"), "done");
    let mut new = Version::start(folder.path(), &text, &socket);
    new.ready();
    let served =
        |count: usize| (0..count).all(|n| ask(address, &lookup(&format!("t{n}"))).body == b"in");
    assert!(served(40), "the new process has it out from its start");
    assert_eq!(servers[0].count(), 0);
    // Called back at the new one, and out again, with the server's fellow: the old one hears of it.
    assert_eq!(call(new.operators, "enable-server s-0\n"), "done");
    assert_eq!(call(new.operators, "disable-server s-1\n"), "done");
    assert_eq!(call(new.operators, "drain\n"), "done");
    thread::sleep(Duration::from_millis(300));
    new.signal("KILL");
    let up = ask(address, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n");
    assert_eq!(
        (up.status, up.keep_alive),
        (503, false),
        "the old one drains"
    );
    assert_eq!(call(old.operators, "resume\n"), "done");
    let asked = Instant::now();
    while ask(address, &lookup("u")).body != b"out" {
        assert!(asked.elapsed() < HANG, "called back at the old one too");
    }
    let before = servers[1].count();
    (0..20).for_each(|n| _ = ask(address, &lookup(&format!("v{n}"))));
    assert_eq!(servers[1].count(), before, "taken out at the old one too");
    old.signal("TERM");
    assert!(old.ended());
}

/// The most memory that a process has had, in KiB.
fn most_memory(process: &Process) -> usize {
    let status = std::fs::read_to_string(format!("/proc/{}/status", process.0.id())).unwrap();
    let line = status
        .lines()
        .find_map(|line| line.strip_prefix("VmHWM:"))
        .unwrap();
    line.trim().trim_end_matches(" kB").parse().unwrap()
}

#[test]
fn many_transfers_of_32_mb_both_ways_with_slow_peers_stay_within_a_bound_of_memory() {
    const LENGTH: usize = 32 << 20;
    const EACH: usize = 8;
    let folder = tempfile::tempdir().unwrap();
    // Takes a body in slowly at first, and gives one as long as fast as it is taken.
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let server = listener.local_addr().unwrap();
    thread::spawn(move || {
        for stream in listener.incoming() {
            thread::spawn(move || {
                let (mut stream, mut part) = (stream.unwrap(), vec![7; 1 << 20]);
                let mut head = Vec::new();
                while !head.windows(4).any(|four| four == b"\r\n\r\n") {
                    let mut byte = [0];
                    stream.read_exact(&mut byte).unwrap();
                    head.push(byte[0]);
                }
                thread::sleep(Duration::from_millis(300));
                let mut left = if head.starts_with(b"POST") { LENGTH } else { 0 };
                while left > 0 {
                    match stream.read(&mut part) {
                        Ok(length) if length > 0 => left -= length,
                        // The leg is over; its client tells.
                        _ => return,
                    }
                }
                let _ = write!(
                    stream,
                    "HTTP/1.1 200 OK\r\nContent-Length: {LENGTH}\r\n\r\n"
                );
                let _ = (0..LENGTH >> 20).try_for_each(|_| stream.write_all(&part));
            });
        }
    });
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    // These servers take 0.3 s to answer, as long as silence needs to be suspected: on a busy machine all are, and what
    // may be repeated would be moved from one to the next until its tries are over. That is for other tests.
    let text = config(&[server; 32], counter().address)
        .replace("127.0.0.1:0", &address.to_string())
        .replace("\"Cancelling\":true", "\"Cancelling\":false");
    let mut limiter = Version::start(folder.path(), &text, &socket);
    limiter.ready();
    let transfer = move |number: usize| {
        let mut client = std::net::TcpStream::connect(address).unwrap();
        let uploads = number.is_multiple_of(2);
        let text = match uploads {
            true => sign_off(&format!("k{number}")).replace(
                "Content-Length: 5\r\n\r\nhours",
                &format!("Content-Length: {LENGTH}\r\n\r\n"),
            ),
            false => lookup(&format!("t{number}")),
        };
        client
            .write_all(
                text.replace("X-Expires-In: 2.5", "X-Expires-In: 60")
                    .as_bytes(),
            )
            .unwrap();
        if uploads {
            let part = vec![3; 1 << 20];
            (0..LENGTH >> 20).for_each(|_| client.write_all(&part).unwrap());
        }
        // Takes nothing in for a while, then all.
        thread::sleep(Duration::from_millis(300));
        let (mut part, mut come) = (vec![0; 1 << 20], 0);
        while come < LENGTH {
            match client.read(&mut part).unwrap() {
                0 => break,
                length => come += length,
            }
        }
        come
    };
    let clients: Vec<_> = (0..2 * EACH)
        .map(|number| thread::spawn(move || transfer(number)))
        .collect();
    for client in clients {
        assert!(client.join().unwrap() >= LENGTH);
    }
    let memory = most_memory(&limiter.process);
    println!("{memory} KiB for {} transfers of 32 MB", 2 * EACH);
    assert!(
        memory < 24 * 1024,
        "{memory} KiB for {} transfers",
        2 * EACH
    );
}

#[test]
fn the_log_is_lines_or_json_and_its_options_are_checked() {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join("config.json");
    std::fs::write(&path, config(&[nobody()], nobody())).unwrap();
    let start = |options: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_streamarch"));
        command
            .args(["serve", "--config"])
            .arg(&path)
            .args(options)
            .stderr(Stdio::piped())
            .spawn()
            .unwrap()
    };
    let first = |options: &[&str]| {
        let mut child = start(options);
        let mut line = String::new();
        BufReader::new(child.stderr.take().unwrap())
            .read_line(&mut line)
            .unwrap();
        drop(Process(child));
        line
    };
    assert!(first(&[]).starts_with("n0 serving on 127.0.0.1:"));
    let json: serde_json::Value = serde_json::from_str(&first(&["--log-format", "json"])).unwrap();
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
        let mut child = start(&options);
        assert_eq!(child.wait().unwrap().code(), Some(2), "{options:?}");
    }
}

#[test]
fn use_is_verified_exported_and_acknowledged_on_the_command_line() {
    let folder = tempfile::tempdir().unwrap();
    let (ledger, out) = (folder.path().join("ledger"), folder.path().join("out"));
    {
        let (mut ledger, _) = usage::ledger::Ledger::open(&ledger, "n0").unwrap();
        (0..3).for_each(|n| {
            _ = ledger
                .book(usage::booking::Booking {
                    customer: n,
                    ..Default::default()
                })
                .unwrap()
        });
        ledger.write().unwrap();
        ledger.went_out();
        ledger.sync().unwrap();
    }
    let call = |words: &[&str], paths: &[&std::path::Path], rest: &[&str]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_streamarch"));
        let output = command
            .arg("usage")
            .args(words)
            .args(paths)
            .args(rest)
            .output()
            .unwrap();
        (
            output.status.success(),
            String::from_utf8(output.stdout).unwrap(),
        )
    };
    assert!(
        call(&["verify"], &[&ledger], &[])
            .1
            .contains("3 tries, 0 of them unsure, a torn tail of 0 bytes")
    );
    assert_eq!(call(&["show"], &[&ledger], &[]).1.lines().count(), 3);
    for _ in 0..2 {
        assert!(
            call(&["export"], &[&ledger, &out], &[])
                .1
                .starts_with("batch 1: 3 tries")
        );
    }
    assert!(!call(&["acknowledge"], &[&ledger], &["2"]).0);
    assert!(call(&["acknowledge"], &[&ledger], &["1"]).0);
    assert_eq!(call(&["export"], &[&ledger, &out], &[]).1, "nothing new\n");
    let path = ledger.join("life-00000001.use");
    let mut bytes = std::fs::read(&path).unwrap();
    bytes[20] ^= 1;
    std::fs::write(&path, bytes).unwrap();
    let (whole, said) = call(&["verify"], &[&ledger], &[]);
    assert!(!whole && said.contains("damaged at byte "), "{said}");
}

/// Guards what a limiter that stood still does with requests whose clients gave up meanwhile: the request and the
/// client's end are read together, and the request costs no call of the counter. A burst of such calls after a
/// pause starved the other limiters' calls (`docs/shared-state.md`).
#[test]
fn a_request_read_with_its_clients_end_after_a_pause_makes_no_call() {
    let folder = tempfile::tempdir().unwrap();
    let (server, counter) = (StandIn::start(|_, _| ok("served")), counter());
    let socket = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = socket.local_addr().unwrap();
    let text =
        config(&[server.address], counter.address).replace("127.0.0.1:0", &address.to_string());
    let mut process = Version::start(folder.path(), &text, &socket);
    process.ready();
    process.signal("STOP");
    for n in 0..3 {
        let mut gone = std::net::TcpStream::connect(address).unwrap();
        gone.write_all(lookup(&format!("gone-{n}")).as_bytes())
            .unwrap();
    }
    process.signal("CONT");
    thread::sleep(Duration::from_millis(300));
    assert_eq!(
        (counter.count(), server.count()),
        (0, 0),
        "no call and no leg for a client that has gone"
    );
    assert_eq!(ask(address, &lookup("here")).status, 200, "it serves on");
    process.signal("TERM");
    assert!(process.ended());
}
