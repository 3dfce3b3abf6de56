//! A small deployment on loopback addresses: the programs of the deploy file as separate processes, and stand-ins for the
//! platform, the servers, the operator and the clients. It uses the standard library only.

use std::collections::HashMap;
use std::fs::{self, File};
use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// The zones, each a region of its own, with one core machine.
pub const ZONES: [(&str, &str); 3] = [("alajuela", "meseta"), ("santa-cruz", "pacifico"), ("siquirres", "caribe")];

/// A message of HTTP/1.1: its first line, its fields and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    pub line: String,
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        self.fields.iter().find(|(n, _)| n.eq_ignore_ascii_case(name)).map(|(_, value)| value.as_str())
    }
    pub fn status(&self) -> u16 {
        self.line.split(' ').nth(1).and_then(|s| s.parse().ok()).unwrap_or(0)
    }
    pub fn method(&self) -> &str {
        self.line.split(' ').next().unwrap_or("")
    }
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("")
    }
    pub fn closes(&self) -> bool {
        self.field("Connection").is_some_and(|v| v.eq_ignore_ascii_case("close"))
    }
}

/// Reads the head of a message; `None` at the end of the stream.
pub fn read_head(input: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if input.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    let mut message = Message { line: line.trim_end().to_string(), ..Message::default() };
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        match line.split_once(':') {
            _ if line.is_empty() => return Ok(Some(message)),
            Some((name, value)) => message.fields.push((name.to_string(), value.trim().to_string())),
            None => return Err(io::ErrorKind::InvalidData.into()),
        }
    }
}

/// Reads the body that belongs to a head. An answer (`is_answer`) without a length ends with its connection.
pub fn read_body(input: &mut impl BufRead, message: &mut Message, is_answer: bool) -> io::Result<()> {
    if message.field("Transfer-Encoding").is_some_and(|v| v.eq_ignore_ascii_case("chunked")) {
        loop {
            let mut line = String::new();
            input.read_line(&mut line)?;
            let size = usize::from_str_radix(line.trim().split(';').next().unwrap_or(""), 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let start = message.body.len();
            message.body.resize(start + size, 0);
            input.read_exact(&mut message.body[start..])?;
            let mut end = String::new();
            input.read_line(&mut end)?;
            if size == 0 {
                return Ok(());
            }
        }
    }
    match message.field("Content-Length").map(str::parse::<usize>) {
        Some(Ok(length)) => {
            message.body = vec![0; length];
            input.read_exact(&mut message.body)
        }
        Some(Err(_)) => Err(io::ErrorKind::InvalidData.into()),
        None if is_answer && !matches!(message.status(), 204 | 304) => input.read_to_end(&mut message.body).map(|_| ()),
        None => Ok(()),
    }
}

/// What was sent, answered and run, line by line.
pub struct Record {
    start: Instant,
    lines: Mutex<Vec<String>>,
}

impl Record {
    pub fn new() -> Arc<Record> {
        Arc::new(Record { start: Instant::now(), lines: Mutex::new(Vec::new()) })
    }
    pub fn note(&self, text: impl AsRef<str>) {
        let line = format!("{:9.3} s  {}", self.start.elapsed().as_secs_f64(), text.as_ref());
        self.lines.lock().unwrap().push(line);
    }
    pub fn write(&self, path: &Path) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.push(String::new());
        fs::write(path, lines.join("\n")).expect("record.txt is written");
    }
}

/// A server as the platform lists it.
#[derive(Clone)]
pub struct Listed {
    pub svc: String,
    pub addr: SocketAddr,
    pub zone: String,
    pub id: String,
    pub draining: bool,
}

pub type Fleet = Arc<Mutex<Vec<Listed>>>;

/// Serves each connection of a listener in a thread of its own.
pub fn serve(listener: TcpListener, handle: impl Fn(TcpStream) + Send + Sync + 'static) {
    let handle = Arc::new(handle);
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let handle = handle.clone();
            thread::spawn(move || handle(stream));
        }
    });
}

/// The platform's list of servers.
pub fn start_platform(listener: TcpListener, fleet: Fleet) {
    serve(listener, move |stream| {
        let mut output = stream.try_clone().expect("a second handle");
        let mut input = BufReader::new(stream);
        while let Ok(Some(_)) = read_head(&mut input) {
            let rows: Vec<String> = fleet
                .lock()
                .unwrap()
                .iter()
                .map(|s| {
                    let state = if s.draining { "draining" } else { "up" };
                    format!(r#"["{}","{}","{}","v1",6,"{state}","0ms","{}"]"#, s.svc, s.addr, s.zone, s.id)
                })
                .collect();
            let body = format!(
                r#"{{"insts":{{"cols":["svc","addr","zone","ver","slots","state","warm_left","id"],"rows":[{}]}},"next_cursor":null}}"#,
                rows.join(",")
            );
            let answer = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if output.write_all(answer.as_bytes()).is_err() {
                return;
            }
        }
    });
}

/// A program of the deployment.
pub struct Program {
    pub name: String,
    child: Child,
    binary: &'static str,
    settings: PathBuf,
    log: PathBuf,
}

impl Program {
    fn spawn(binary: &str, settings: &Path, log: &Path) -> Child {
        let output = File::options().create(true).append(true).open(log).expect("a log file");
        let mut command = Command::new(format!("target/release/{binary}"));
        command.env_clear().env("STREAMARCH_SETTINGS", settings).stdin(Stdio::null());
        for name in ["PATH", "HOME", "LANG"] {
            if let Ok(value) = std::env::var(name) {
                command.env(name, value);
            }
        }
        command.stdout(output.try_clone().expect("a second handle")).stderr(output);
        command.spawn().unwrap_or_else(|e| fail_to_run(&format!("target/release/{binary}: {e}")))
    }
    pub fn signal(&self, signal: &str) {
        let _ = Command::new("kill").arg(format!("-{signal}")).arg(self.child.id().to_string()).status();
    }
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
    /// Whether it has ended.
    pub fn has_ended(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(Some(_)))
    }
    /// Starts it again; what ran before has ended.
    pub fn restart(&mut self) {
        let text = fs::read_to_string(&self.settings).expect("its settings");
        fs::write(&self.settings, text.replace("bootstrap: true", "bootstrap: false")).expect("its settings");
        self.child = Program::spawn(self.binary, &self.settings, &self.log);
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Ends the run: the case could not be played.
pub fn fail_to_run(reason: &str) -> ! {
    eprintln!("the case could not run: {reason}");
    std::process::exit(2);
}

/// The deployment.
pub struct System {
    pub cores: Vec<Program>,
    pub agents: Vec<Program>,
    pub proxies: Vec<Program>,
    pub ctl: Vec<SocketAddr>,
    pub dir: Vec<SocketAddr>,
    pub readyz: Vec<SocketAddr>,
    pub fleet: Fleet,
    pub folder: PathBuf,
    net: (u8, u8),
    next_server: AtomicU64,
}

impl Drop for System {
    fn drop(&mut self) {
        for program in self.proxies.iter_mut().chain(&mut self.agents).chain(&mut self.cores) {
            program.kill();
        }
        if std::env::var("KEEP").is_err() {
            let _ = fs::remove_dir_all(&self.folder);
        }
    }
}

impl System {
    /// Starts three core machines and as many edges.
    pub fn start() -> System {
        let pid = std::process::id();
        let folder = std::env::temp_dir().join(format!("streamarch-review-{pid}"));
        fs::create_dir_all(&folder).unwrap_or_else(|e| fail_to_run(&format!("a temporary folder: {e}")));
        // Addresses of this run alone: the programs use fixed ports on them.
        let net = (60 + (pid / 250 % 150) as u8, (1 + pid % 250) as u8);
        let ip = |host: u8| format!("127.{}.{}.{host}", net.0, net.1);
        let fleet = Fleet::default();
        let platform = TcpListener::bind(format!("{}:0", ip(250))).unwrap_or_else(|e| fail_to_run(&format!("the platform: {e}")));
        let platform_address = platform.local_addr().expect("its address");
        start_platform(platform, fleet.clone());
        let mut system = System {
            cores: Vec::new(),
            agents: Vec::new(),
            proxies: Vec::new(),
            ctl: Vec::new(),
            dir: Vec::new(),
            readyz: Vec::new(),
            fleet,
            folder: folder.clone(),
            net,
            next_server: AtomicU64::new(0),
        };
        let seeds: String = (0..3).map(|n| format!("  - \"{}:8688\"\n", ip(10 + n))).collect();
        let zones: String = ZONES.iter().map(|(zone, region)| format!("  {zone}: \"{region}\"\n")).collect();
        let common = |node: &str, ip: &str, zone: usize| {
            format!(
                "node: \"{node}\"\nip: \"{ip}\"\nzone: \"{}\"\nregion: \"{}\"\nzones:\n{zones}port_range:\n  - 7740\n  - 7755\nseed_peers:\n{seeds}bootstrap: true\nsurvive:\n  nodes: 1\n  zones: 1\n  regions: 1\nlimits:\n  cpu_quota: 1.0\n  ncpu: 1\n  mem_mb: 260\n  nofile: 4100\n  link_mbps: 1000.0\n  disk_mb: 256\ndisco: \"poll\"\ningress: \"dir\"\nheartbeat: \"1500ms\"\nguarantees: [\"base\", \"drain\", \"config\", \"cost\", \"retry\", \"recover\", \"places\", \"tenants\", \"quota\"]\nbounds:\n  seed_lag: \"3s\"\n  reuse: \"2s\"\n  contact: \"5000ms\"\n  ack: \"8000ms\"\n  sync_time: \"4s\"\n  drain: \"4000ms\"\n  grace: \"6s\"\n  loss: \"200ms\"\n  apply: \"4000ms\"\n  downgrade: \"250ms\"\n  stretch: \"10000ms\"\n  revoked: false\n  revoke: \"5000ms\"\n  retry_ratio: 0.2\n  retry_window: \"10s\"\n  retry_slack: 60\n  quota_window: \"5s\"\n  quota_over: 0.1\n  quota_slack: 20\n  warm_over: 1.5\n  warm_slack: 5\n  evac: \"5000ms\"\n  recover: \"15s\"\n  ttl_max: \"5s\"\ncfg_mode: \"parts\"\ncloud_api:\n  addr: \"{platform_address}\"\n  per_s: 50.0\n  jobs: []\n  max_lag: \"800ms\"\n",
                ZONES[zone].0, ZONES[zone].1
            )
        };
        let program = |binary: &'static str, name: String, text: String| {
            let (settings, log) = (folder.join(format!("{name}.yaml")), folder.join(format!("{name}.log")));
            fs::write(&settings, text).expect("settings are written");
            let child = Program::spawn(binary, &settings, &log);
            Program { name, child, binary, settings, log }
        };
        for zone in 0..3 {
            let own = ip(10 + zone as u8);
            let name = format!("core-{}-1", ZONES[zone].0);
            let data = folder.join(format!("data-{zone}"));
            let text = common(&name, &own, zone)
                + &format!("role: \"control\"\nmclass: \"core\"\nserves: [\"ctl\", \"dir\"]\nquorum: true\nbind:\n  ctl: \"{own}:8688\"\n  dir: \"{own}:8684\"\ndatadir: \"{}\"\n", data.display());
            system.cores.push(program("control", name, text));
            system.ctl.push(format!("{own}:8688").parse().expect("an address"));
            system.dir.push(format!("{own}:8684").parse().expect("an address"));
        }
        for zone in 0..3 {
            let own = ip(30 + zone as u8);
            let name = format!("edge-{}-1", ZONES[zone].0);
            let text = |role: &str, serves: &str| {
                common(&name, &own, zone)
                    + &format!("role: \"{role}\"\nmclass: \"edge\"\nserves: [{serves}]\nquorum: false\nbind:\n  http: \"{own}:8686\"\n  readyz: \"{own}:8680\"\ndatadir: null\n")
            };
            system.agents.push(program("agent", format!("{name}-agent"), text("agent", "")));
            system.proxies.push(program("proxy", format!("{name}-proxy"), text("proxy", "\"edge\"")));
            system.readyz.push(format!("{own}:8680").parse().expect("an address"));
        }
        system
    }

    /// Adds a server to the platform's list; `handle` serves its connections.
    pub fn add_server(&self, svc: &str, zone: usize, handle: impl Fn(&str, TcpStream) + Send + Sync + 'static) -> Listed {
        let number = self.next_server.fetch_add(1, Ordering::Relaxed);
        let ip = format!("127.{}.{}.{}", self.net.0, self.net.1, 100 + number);
        let listener = TcpListener::bind(format!("{ip}:0")).unwrap_or_else(|e| fail_to_run(&format!("a server: {e}")));
        let listed = Listed {
            svc: svc.to_string(),
            addr: listener.local_addr().expect("its address"),
            zone: ZONES[zone].0.to_string(),
            id: format!("i-{number:08x}"),
            draining: false,
        };
        let id = listed.id.clone();
        serve(listener, move |stream| handle(&id, stream));
        self.fleet.lock().unwrap().push(listed.clone());
        listed
    }

    /// Sends an order of the operator until it has a clear answer, at most for `limit`. Gives status and body.
    pub fn order(&self, method: &str, path: &str, body: &str, limit: Duration) -> Option<(u16, Vec<u8>)> {
        let until = Instant::now() + limit;
        let mut at = 0;
        while Instant::now() < until {
            let answer = call(self.ctl[at % self.ctl.len()], method, path, body);
            at += 1;
            match answer {
                Ok(message) if message.status() < 500 && !matches!(message.status(), 408 | 429) => {
                    return Some((message.status(), message.body));
                }
                _ => thread::sleep(Duration::from_millis(100)),
            }
        }
        None
    }

    /// Waits until every edge says that it is ready.
    pub fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        while Instant::now() < until {
            let ready = |address: &SocketAddr| call(*address, "GET", "/api/readyz", "").is_ok_and(|m| m.status() == 200);
            if self.readyz.iter().all(ready) {
                return true;
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Where the directory sends a client of this zone.
    pub fn lookup(&self, zone: usize) -> Vec<SocketAddr> {
        lookup(&self.dir, zone)
    }
}

/// Asks the directory, nearer replicas first.
pub fn lookup(dir: &[SocketAddr], zone: usize) -> Vec<SocketAddr> {
    for n in 0..3 {
        let path = format!("/api/lookup?name=records.example&region={}&zone={}", ZONES[zone].1, ZONES[zone].0);
        let Ok(answer) = call(dir[(zone + n) % 3], "GET", &path, "") else { continue };
        let text = String::from_utf8_lossy(&answer.body).to_string();
        let list = text.split('[').nth(1).and_then(|t| t.split(']').next()).unwrap_or("");
        let addresses: Vec<SocketAddr> = list.split(',').filter_map(|t| t.trim().trim_matches('"').parse().ok()).collect();
        if answer.status() == 200 && !addresses.is_empty() {
            return addresses;
        }
    }
    Vec::new()
}

/// One call on a connection of its own, with a second for its answer.
pub fn call(address: SocketAddr, method: &str, path: &str, body: &str) -> io::Result<Message> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_read_timeout(Some(Duration::from_secs(1)))?;
    let mut output = stream.try_clone()?;
    write!(output, "{method} {path} HTTP/1.1\r\nHost: {address}\r\n")?;
    if method == "POST" {
        write!(output, "Content-Type: application/json\r\nContent-Length: {}\r\n", body.len())?;
    }
    write!(output, "Connection: close\r\n\r\n{body}")?;
    let mut input = BufReader::new(stream);
    let mut message = read_head(&mut input)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    read_body(&mut input, &mut message, true)?;
    Ok(message)
}

/// The FNV-1a hash of some bytes.
pub fn hash(bytes: &[u8]) -> u64 {
    bytes.iter().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(*b)).wrapping_mul(0x100_0000_01b3))
}

/// Bytes that differ by seed.
pub fn bytes(seed: u64, length: usize) -> Vec<u8> {
    let mut state = seed | 1;
    let mut next = || {
        state ^= state << 13;
        state ^= state >> 7;
        state ^= state << 17;
        state as u8
    };
    (0..length).map(|_| b'a' + next() % 26).collect()
}

/// A run of a request at a server, and the answer that it made.
#[derive(Clone, Debug)]
pub struct Run {
    pub status: u16,
    pub answer: u64,
}

/// What ran, by request id.
pub type Runs = Arc<Mutex<HashMap<String, Vec<Run>>>>;

