//! Limiters of this project, started in an emulated world: what `try`, `run` and `stand-ins` stand on.

use std::fmt;
use std::fs::File;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::mpsc;
use std::time::{Duration, Instant};

use emulator::serving::WorldServer;
use emulator::world::{Counts, Service};
use serde_json::{Value, json};
use tempfile::TempDir;

use crate::pauses::Pauses;
use crate::scenario::Scenario;

/// A limiter must be ready within this.
const READY: Duration = Duration::from_secs(15);
/// After SIGTERM it ends by itself within this, or is killed.
const ENDING: Duration = Duration::from_secs(8);

/// Why limiters can't be started.
#[derive(Debug)]
pub enum TrialError {
    /// The system's word, and on what.
    System(String, io::Error),
    /// A limiter ended, or did not become ready in time; its last lines.
    NotReady(usize, String),
}

impl fmt::Display for TrialError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            TrialError::System(what, error) => write!(f, "{what}: {error}"),
            TrialError::NotReady(number, text) => {
                write!(f, "limiter {number} did not become ready: {text}")
            }
        }
    }
}

impl std::error::Error for TrialError {}

fn system(what: impl fmt::Display) -> impl FnOnce(io::Error) -> TrialError {
    move |error| TrialError::System(what.to_string(), error)
}

/// A world and limiters in it. Dropped, it ends them.
pub struct Trial {
    world: Option<WorldServer>,
    limiters: Vec<Limiter>,
    pauses: Option<Pauses>,
    _folder: TempDir,
}

struct Limiter {
    child: Child,
    address: SocketAddr,
}

impl Drop for Limiter {
    fn drop(&mut self) {
        // One that has ended already can't be killed, and that is as good.
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// The limiter's program beside this one.
pub fn program() -> PathBuf {
    let own = std::env::current_exe().unwrap_or_default();
    own.with_file_name("streamarch")
}

/// The settings that a scenario makes for limiter `number`, in the form that the platform gives.
pub fn settings(scenario: &Scenario, number: usize, limiters: usize) -> Value {
    let nodes = &scenario.world.nodes;
    let class = |c: &crate::scenario::ClassPlan| {
        json!({"Name": c.name, "ObjectiveUs": c.aim_ms * 1e3, "GiveUpUs": c.deadline_ms * 1e3, "Value": c.worth,
            "LateValue": 0.2, "Semantics": if c.keyed { "dedup" } else { "retryable" },
            "Group": if c.keyed { "cell" } else { "all" }, "RepeatWindowUs": nodes.keys_ms * 1e3, "Stream": false})
    };
    let plan = |p: &crate::scenario::PlanPlan| {
        json!({"Name": p.name, "UnitsPerS": p.rate, "StoreSize": p.burst, "WorthFactor": p.worth,
            "OverCost": p.over_cost, "BeyondEarns": 0.0, "Open": 0, "CeilingRate": 0.0, "CapDepth": 0.0,
            "HardSlack": 0.0})
    };
    let most_units = scenario
        .workshops
        .plans
        .iter()
        .map(|p| p.units[1])
        .max()
        .unwrap_or(1);
    json!({
        "Instances": limiters, "SlotNo": number, "PeriodUs": 2_000, "Discovery": "push", "Zone": 0,
        "FailureDomains": ["a"], "Skus": ["std-2c"], "WeightKind": "nominal",
        "Report": {"How": "probe", "Columns": ["cpu"]},
        "Lanes": scenario.classes.iter().map(class).collect::<Vec<_>>(),
        "Tariffs": scenario.workshops.plans.iter().map(plan).collect::<Vec<_>>(),
        "Specifics": {"Counter": true, "CounterTimeoutUs": 30_000, "MostUnits": most_units, "InboxPerS": 40.0},
        "Permissions": {"Cancelling": true, "Probes": true, "PeerMessages": true, "MaxAttempts": 4, "RetryAfter": true,
            "MaxRetryAfterUs": 1_000_000, "ConnIdleUs": 15_000_000, "ConnectTimeoutUs": 250_000, "MostHeld": 20_000},
        "Rules": {"AnswerSlackUs": 8_000, "ColdFrom": nodes.cold_from.min(0.15), "ColdUs": nodes.cold_s * 1e6,
            "FallMultiple": 3.0, "FallUs": 3_000_000, "StopSendingWithinUs": 2_000_000}
    })
}

/// A limiter's whole configuration in a served world.
pub fn configuration(
    scenario: &Scenario,
    seed: u64,
    number: usize,
    listen: SocketAddr,
    peers: &[SocketAddr],
    world: &WorldServer,
) -> Value {
    let address = |service| world.address(service, number).map(|a| a.to_string());
    let known: Value = world
        .list(number)
        .and_then(|list| serde_json::from_str(list).ok())
        .unwrap_or_default();
    json!({
        "name": format!("n{number}"), "listen": listen.to_string(),
        "discovery": address(Service::Discovery), "counter": address(Service::Counter),
        "peer_listen": peers.get(number).map(|p| p.to_string()),
        "peers": peers.iter().map(|p| p.to_string()).collect::<Vec<_>>(),
        "seed": format!("{:016x}", seed.wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number as u64),
        "limits": {"sockets": 4096, "memory_mb": 512}, "known": known,
        "settings": settings(scenario, number, peers.len())
    })
}

/// Free ports for datagrams, taken all at once so that they differ.
///
/// # Errors
/// The system has no free port.
pub fn datagram_addresses(count: usize) -> io::Result<Vec<SocketAddr>> {
    let sockets = (0..count)
        .map(|_| UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)))
        .collect::<io::Result<Vec<_>>>()?;
    sockets.iter().map(UdpSocket::local_addr).collect()
}

impl Trial {
    /// Starts the scenario's world and limiters, and waits until they take requests. `logs`: where their logs go.
    ///
    /// # Errors
    /// The program or a socket can't be had; a limiter does not become ready.
    pub fn start(
        scenario: &Scenario,
        seed: u64,
        program: &Path,
        logs: Option<&Path>,
    ) -> Result<Trial, TrialError> {
        let count = scenario.limiters.count;
        let world = WorldServer::start(&scenario.world, seed, count)
            .map_err(system("the emulated world"))?;
        let folder = TempDir::new().map_err(system("a folder for configurations"))?;
        let peers = datagram_addresses(count).map_err(system("sockets for datagrams"))?;
        let mut limiters = Vec::new();
        let shared = folder.path().join("shared.json");
        let text = scenario
            .limiters
            .shared
            .as_ref()
            .map_or_else(|| "{}".to_string(), Value::to_string);
        std::fs::write(&shared, text).map_err(system(shared.display()))?;
        for number in 0..count {
            let listen = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
            let text = configuration(scenario, seed, number, listen, &peers, &world).to_string();
            let path = folder.path().join(format!("limiter-{number}.json"));
            std::fs::write(&path, text).map_err(system(path.display()))?;
            limiters.push(Limiter::start(program, [&path, &shared], number, logs)?);
        }
        limiters
            .iter()
            .enumerate()
            .try_for_each(|(number, l)| l.ready(number))?;
        Ok(Trial {
            world: Some(world),
            limiters,
            pauses: None,
            _folder: folder,
        })
    }

    /// Where the limiters listen.
    pub fn targets(&self) -> Vec<SocketAddr> {
        self.limiters.iter().map(|l| l.address).collect()
    }

    /// The load begins, and with it the faults of the world and the pauses of limiters.
    pub fn begin(&mut self, scenario: &Scenario) {
        let span = (scenario.seconds * 1e6) as crate::Micros;
        if let Some(world) = &self.world {
            world.begin(span);
        }
        let pids = self.limiters.iter().map(|l| l.child.id() as i32).collect();
        self.pauses = Some(Pauses::begin(&scenario.world, pids, span));
    }

    /// CPU time that each limiter has used so far, in microseconds; 0 where the system doesn't say.
    pub fn cpu_us(&self) -> Vec<u64> {
        let used = |l: &Limiter| {
            let text = std::fs::read_to_string(format!("/proc/{}/schedstat", l.child.id())).ok()?;
            text.split(' ')
                .next()?
                .parse::<u64>()
                .ok()
                .map(|ns| ns / 1_000)
        };
        self.limiters.iter().map(|l| used(l).unwrap_or(0)).collect()
    }

    /// Ends the limiters, then the world; what arrived there.
    pub fn stop(mut self) -> Counts {
        // A limiter that stands still would not hear that it is to end.
        let paused = self.pauses.take().map_or(0, |mut pauses| pauses.end());
        if paused > 0 {
            tracing::info!(paused, "limiters were paused");
        }
        for limiter in &self.limiters {
            if let Some(pid) = rustix::process::Pid::from_raw(limiter.child.id() as i32) {
                // One that has ended already is not there to be told.
                let _ = rustix::process::kill_process(pid, rustix::process::Signal::TERM);
            }
        }
        let until = Instant::now() + ENDING;
        for limiter in &mut self.limiters {
            while Instant::now() < until && matches!(limiter.child.try_wait(), Ok(None)) {
                std::thread::sleep(Duration::from_millis(10));
            }
        }
        self.limiters.clear();
        self.world.take().map(WorldServer::stop).unwrap_or_default()
    }
}

impl Limiter {
    fn start(
        program: &Path,
        [config, shared]: [&Path; 2],
        number: usize,
        logs: Option<&Path>,
    ) -> Result<Limiter, TrialError> {
        let mut child = Command::new(program)
            .arg("serve")
            .arg("--config")
            .arg(config)
            .arg("--shared")
            .arg(shared)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(Stdio::piped())
            .spawn()
            .map_err(system(format!(
                "the limiter's program {}",
                program.display()
            )))?;
        let mut log = match logs {
            Some(folder) => {
                std::fs::create_dir_all(folder).map_err(system(folder.display()))?;
                let path = folder.join(format!("limiter-{number}.log"));
                Some(File::create(&path).map_err(system(path.display()))?)
            }
            None => None,
        };
        let (tell, told) = mpsc::channel();
        let stderr = child.stderr.take();
        std::thread::spawn(move || {
            for line in stderr
                .into_iter()
                .flat_map(|s| BufReader::new(s).lines())
                .map_while(Result::ok)
            {
                if let Some(log) = &mut log {
                    // A log that can't be kept does not end the run.
                    let _ = writeln!(log, "{line}");
                }
                let _ = tell.send(line);
            }
        });
        let until = Instant::now() + READY;
        let mut last = String::new();
        let address = loop {
            match told.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(line) => match line
                    .split("serving on ")
                    .nth(1)
                    .and_then(|a| a.trim().parse().ok())
                {
                    Some(address) => break address,
                    None => last = line,
                },
                Err(_) => {
                    let _ = child.kill();
                    let _ = child.wait();
                    return Err(TrialError::NotReady(number, last));
                }
            }
        };
        Ok(Limiter { child, address })
    }

    /// Waits until `/up` says 200.
    fn ready(&self, number: usize) -> Result<(), TrialError> {
        let until = Instant::now() + READY;
        while Instant::now() < until {
            let asked = TcpStream::connect(self.address).and_then(|mut stream| {
                stream.set_read_timeout(Some(Duration::from_secs(1)))?;
                stream.write_all(b"GET /up HTTP/1.1\r\nHost: l\r\nConnection: close\r\n\r\n")?;
                let mut head = [0; 12];
                stream.read_exact(&mut head)?;
                Ok(head)
            });
            if asked.is_ok_and(|head| head.ends_with(b"200")) {
                return Ok(());
            }
            std::thread::sleep(Duration::from_millis(20));
        }
        Err(TrialError::NotReady(
            number,
            "/up was not 200 in time".into(),
        ))
    }
}
