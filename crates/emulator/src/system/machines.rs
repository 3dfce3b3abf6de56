//! The system's machines on one host, each at its own loopback address: settings files, the built programs as child
//! processes, signals to them by machine number, and an orderly stop of all.

use std::collections::{BTreeMap, BTreeSet};
use std::fs::File;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::os::unix::fs::PermissionsExt;
use std::os::unix::process::CommandExt;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::{Duration, Instant};

use rustix::param::{clock_ticks_per_second, page_size};
use rustix::process::{Pid, Resource, Rlimit, Signal, getrlimit, kill_process, prlimit};
use serde_json::json;

use super::client::call;
use super::wait_for;

/// Listening ports, the same on all machines.
const HTTP_PORT: u16 = 8686;
const READYZ_PORT: u16 = 8680;
const CTL_PORT: u16 = 8688;
const DIR_PORT: u16 = 8684;
const PORT_RANGE: [u16; 2] = [7740, 7755];
/// Indices of the fields of `/proc/PID/stat` after the program's name: user time, system time, resident pages.
const USER_TICKS: usize = 11;
const SYSTEM_TICKS: usize = 12;
const RESIDENT_PAGES: usize = 21;
/// Time to exit after SIGTERM, equal to `bounds.grace` in the settings.
const SHUTDOWN_GRACE: Duration = Duration::from_secs(6);

/// One of the system's programs.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Role {
    /// The control program, on a core machine.
    Control,
    /// The agent, on an edge.
    Agent,
    /// The proxy, on an edge.
    Proxy,
}

impl Role {
    /// The program's name.
    pub fn program(self) -> &'static str {
        match self {
            Role::Control => "control",
            Role::Agent => "agent",
            Role::Proxy => "proxy",
        }
    }
}

/// Resource usage of a program.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Usage {
    /// CPU time in user and system mode.
    pub cpu_time: Duration,
    /// Resident set size in bytes.
    pub resident_bytes: u64,
}

/// Layout of the machines.
#[derive(Clone, Debug)]
pub struct Layout {
    /// Folder for settings, logs and data directories.
    pub folder: PathBuf,
    /// Folder of the built programs.
    pub programs_folder: PathBuf,
    /// `(A, B)`: core machines have addresses 127.A.B.x, edges 127.A.(B+1).x.
    pub net: (u8, u8),
    /// Zones and their regions; each has one core machine.
    pub zones: Vec<(String, String)>,
    /// Edge machines per zone.
    pub edges: usize,
    /// Address of the platform's instance list.
    pub platform: SocketAddr,
    /// Calls per second that the platform accepts.
    pub per_s: usize,
}

/// Zones `z1`, `z2` and so on, each in its own region.
pub fn zones(count: usize) -> Vec<(String, String)> {
    (1..=count)
        .map(|n| (format!("z{n}"), format!("r{n}")))
        .collect()
}

/// A loopback network that concurrent tests are unlikely to use, derived from the process id and a call counter.
pub fn unused_net() -> (u8, u8) {
    static ASKED: AtomicU32 = AtomicU32::new(0);
    let number = std::process::id()
        .wrapping_mul(8)
        .wrapping_add(ASKED.fetch_add(1, Ordering::Relaxed))
        % 20_000;
    ((16 + number / 100) as u8, (number % 100 * 2) as u8)
}

/// The machines and the programs running on them. Dropping it kills the remaining programs.
pub struct Machines {
    plan: Layout,
    running: BTreeMap<(Role, usize), Child>,
    /// Programs that were sent SIGTERM and whose exit has not been observed yet.
    shutting_down: BTreeSet<(Role, usize)>,
}

impl Machines {
    /// Writes the settings files of all machines; starts no program.
    ///
    /// # Errors
    /// The folder can't be written.
    pub fn new(plan: Layout) -> io::Result<Machines> {
        let machines = Machines {
            plan,
            running: BTreeMap::new(),
            shutting_down: BTreeSet::new(),
        };
        for number in 0..machines.cores() {
            machines.write_settings(Role::Control, number, true)?;
        }
        for number in 0..machines.edges() {
            machines.write_settings(Role::Proxy, number, true)?;
            machines.write_settings(Role::Agent, number, true)?;
        }
        Ok(machines)
    }

    /// Number of core machines.
    pub fn cores(&self) -> usize {
        self.plan.zones.len()
    }

    /// Number of edge machines.
    pub fn edges(&self) -> usize {
        self.plan.zones.len() * self.plan.edges
    }

    fn ip(&self, core: bool, number: usize) -> Ipv4Addr {
        let (a, b) = self.plan.net;
        Ipv4Addr::new(
            127,
            a,
            if core { b } else { b.wrapping_add(1) },
            10 + number as u8,
        )
    }

    fn zone(&self, number: usize) -> &(String, String) {
        &self.plan.zones[number % self.plan.zones.len()]
    }

    /// Address for operators' calls to a core machine.
    pub fn ctl(&self, number: usize) -> SocketAddr {
        SocketAddr::from((self.ip(true, number), CTL_PORT))
    }

    /// Address of a core machine's directory for clients.
    pub fn dir(&self, number: usize) -> SocketAddr {
        SocketAddr::from((self.ip(true, number), DIR_PORT))
    }

    /// Address at which an edge accepts requests.
    pub fn http(&self, number: usize) -> SocketAddr {
        SocketAddr::from((self.ip(false, number), HTTP_PORT))
    }

    /// Writes a program's settings file.
    ///
    /// # Errors
    /// The folder can't be written.
    pub fn write_settings(&self, role: Role, number: usize, bootstrap: bool) -> io::Result<()> {
        let core = role == Role::Control;
        let (ip, (zone, region)) = (self.ip(core, number), self.zone(number));
        let at = |port: u16| Some(SocketAddr::from((ip, port)).to_string());
        let bind: BTreeMap<&str, Option<String>> = match role {
            Role::Control => [("ctl", at(CTL_PORT)), ("dir", at(DIR_PORT))].into(),
            Role::Proxy => [("http", at(HTTP_PORT)), ("readyz", at(READYZ_PORT))].into(),
            Role::Agent => BTreeMap::new(),
        };
        let folder = self.disk_folder(number);
        if core {
            std::fs::create_dir_all(&folder)?;
        }
        let settings = json!({
            "node": format!("{}-{zone}-{number}", if core { "core" } else { "edge" }), "role": role.program(),
            "mclass": if core { "core" } else { "edge" }, "serves": bind.keys().collect::<Vec<_>>(),
            "ip": ip.to_string(), "zone": zone, "region": region,
            "zones": self.plan.zones.iter().cloned().collect::<BTreeMap<_, _>>(), "bind": bind,
            "port_range": PORT_RANGE, "bootstrap": bootstrap, "quorum": core,
            "seed_peers": (0..self.cores().min(3)).map(|n| self.ctl(n).to_string()).collect::<Vec<_>>(),
            "limits": {"cpu_quota": 1.0, "ncpu": 1, "mem_mb": 260, "nofile": 4096, "disk_mb": 64},
            "datadir": core.then_some(folder),
            "bounds": {"grace": "6s", "drain": "4000ms", "apply": "4000ms", "ttl_max": "5s"},
            "cloud_api": {"addr": self.plan.platform.to_string(), "per_s": self.plan.per_s, "max_lag": "500ms"}
        });
        // JSON is valid YAML.
        std::fs::write(self.file(role, number, "yaml"), settings.to_string())
    }

    /// Path of a program's settings file (`yaml`) or log (`log`).
    pub fn file(&self, role: Role, number: usize, end: &str) -> PathBuf {
        self.plan
            .folder
            .join(format!("{}-{number}.{end}", role.program()))
    }

    /// Starts a program with its current settings file.
    ///
    /// # Errors
    /// The program is missing or can't be started.
    pub fn start(&mut self, role: Role, number: usize) -> io::Result<()> {
        let program = self.plan.programs_folder.join(role.program());
        let log = File::options()
            .create(true)
            .append(true)
            .open(self.file(role, number, "log"))?;
        let child = Command::new(&program)
            .env("STREAMARCH_SETTINGS", self.file(role, number, "yaml"))
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            // A terminal's interrupt must reach only the process that started the programs.
            .process_group(0)
            .spawn()
            .map_err(|error| {
                io::Error::new(error.kind(), format!("{}: {error}", program.display()))
            })?;
        self.running.insert((role, number), child);
        Ok(())
    }

    /// Starts all control programs.
    ///
    /// # Errors
    /// As for [`Machines::start`].
    pub fn start_cores(&mut self) -> io::Result<()> {
        (0..self.cores()).try_for_each(|number| self.start(Role::Control, number))
    }

    /// Starts all agents and proxies.
    ///
    /// # Errors
    /// As for [`Machines::start`].
    pub fn start_edges(&mut self) -> io::Result<()> {
        (0..self.edges()).try_for_each(|number| {
            self.start(Role::Agent, number)?;
            self.start(Role::Proxy, number)
        })
    }

    /// Kills a program (SIGKILL) and waits for its exit.
    pub fn kill(&mut self, role: Role, number: usize) {
        self.shutting_down.remove(&(role, number));
        if let Some(mut child) = self.running.remove(&(role, number)) {
            // Killing a program that has already exited fails, which is harmless.
            let _ = child.kill();
            let _ = child.wait();
        }
    }

    /// Asks a program to exit (SIGTERM).
    pub fn terminate(&mut self, role: Role, number: usize) {
        if self.is_running(role, number) {
            self.shutting_down.insert((role, number));
        }
        self.signal(role, number, Signal::TERM);
    }

    /// Makes a program reload its settings file (SIGHUP).
    pub fn reload_settings(&self, role: Role, number: usize) {
        self.signal(role, number, Signal::HUP);
    }

    /// Pauses a program (SIGSTOP): its connections stay open, and incoming data waits.
    pub fn pause(&self, role: Role, number: usize) {
        self.signal(role, number, Signal::STOP);
    }

    /// Resumes a paused program (SIGCONT).
    pub fn resume(&self, role: Role, number: usize) {
        self.signal(role, number, Signal::CONT);
    }

    /// Limits the size of a program's files to `most` bytes; `None` lifts the limit. A program that does not ignore
    /// SIGXFSZ is terminated by the first write beyond it.
    ///
    /// # Errors
    /// The program is not running, or the operating system refuses.
    pub fn limit_file_size(&self, role: Role, number: usize, most: Option<u64>) -> io::Result<()> {
        let pid = self.pid(role, number).ok_or(io::ErrorKind::NotFound)?;
        prlimit(
            Some(pid),
            Resource::Fsize,
            Rlimit {
                current: most,
                maximum: None,
            },
        )?;
        Ok(())
    }

    /// Makes the disk of a core machine reject whatever its control program appends, or accept writes again. The programs must be
    /// [`programs_ignoring_file_size_signal`].
    ///
    /// # Errors
    /// The program is not running, or the operating system refuses.
    pub fn fail_disk(&self, number: usize, fails: bool) -> io::Result<()> {
        let most = if fails {
            let wal = self.disk_folder(number).join("headworks.db-wal");
            Some(std::fs::metadata(wal)?.len())
        } else {
            None
        };
        self.limit_file_size(Role::Control, number, most)
    }

    /// Kills a control program, and removes its disk. Its settings say that it does not start the system anew.
    ///
    /// # Errors
    /// The folder can't be removed or written.
    pub fn lose_disk(&mut self, number: usize) -> io::Result<()> {
        self.kill(Role::Control, number);
        std::fs::remove_dir_all(self.disk_folder(number))?;
        self.write_settings(Role::Control, number, false)
    }

    fn disk_folder(&self, number: usize) -> PathBuf {
        self.plan.folder.join(format!("disk-{number}"))
    }

    /// Lets a program open no further descriptors, so that it neither accepts nor opens connections, or restores the
    /// limit. Open connections stay; a program that is also paused loses them, and is then isolated while it runs.
    ///
    /// # Errors
    /// The program is not running, or the operating system refuses.
    pub fn refuse_connections(&self, role: Role, number: usize, refuse: bool) -> io::Result<()> {
        let pid = self.pid(role, number).ok_or(io::ErrorKind::NotFound)?;
        let process_limit = getrlimit(Resource::Nofile);
        let current = if refuse {
            Some(0)
        } else {
            process_limit.current
        };
        let limit = Rlimit {
            current,
            ..process_limit
        };
        prlimit(Some(pid), Resource::Nofile, limit)?;
        Ok(())
    }

    /// Resource usage of a program so far.
    ///
    /// # Errors
    /// The program is not running, or `/proc` can't be read.
    pub fn usage(&self, role: Role, number: usize) -> io::Result<Usage> {
        let pid = self
            .pid(role, number)
            .ok_or(io::ErrorKind::NotFound)?
            .as_raw_nonzero();
        let invalid = || io::Error::from(io::ErrorKind::InvalidData);
        let stat = std::fs::read_to_string(format!("/proc/{pid}/stat"))?;
        // The second field is the program's name in brackets, which may hold spaces.
        let (_, fields) = stat.rsplit_once(") ").ok_or_else(invalid)?;
        let fields: Vec<&str> = fields.split(' ').collect();
        let number = |at: usize| {
            fields
                .get(at)
                .and_then(|field| field.parse::<u64>().ok())
                .ok_or_else(invalid)
        };
        let ticks = number(USER_TICKS)? + number(SYSTEM_TICKS)?;
        let processor = Duration::from_secs_f64(ticks as f64 / clock_ticks_per_second() as f64);
        Ok(Usage {
            cpu_time: processor,
            resident_bytes: number(RESIDENT_PAGES)? * page_size() as u64,
        })
    }

    fn pid(&self, role: Role, number: usize) -> Option<Pid> {
        self.running
            .get(&(role, number))
            .and_then(|child| Pid::from_raw(child.id() as i32))
    }

    fn signal(&self, role: Role, number: usize, signal: Signal) {
        if let Some(pid) = self.pid(role, number) {
            // A program that has already exited needs no signal.
            let _ = kill_process(pid, signal);
        }
    }

    /// Waits for a program's exit and returns its status; `None` if it is still running at the deadline.
    pub fn wait_for_exit(
        &mut self,
        role: Role,
        number: usize,
        until: Instant,
    ) -> Option<ExitStatus> {
        let child = self.running.get_mut(&(role, number))?;
        let status = wait_for(until, || child.try_wait().ok().flatten())?;
        self.running.remove(&(role, number));
        self.shutting_down.remove(&(role, number));
        Some(status)
    }

    /// Whether a program was started and its exit has not been observed.
    pub fn is_running(&self, role: Role, number: usize) -> bool {
        self.running.contains_key(&(role, number))
    }

    /// Whether a program was sent SIGTERM and its exit has not been observed yet.
    pub fn is_shutting_down(&self, role: Role, number: usize) -> bool {
        self.shutting_down.contains(&(role, number))
    }

    /// Programs whose exit has not been collected, with their status and last 30 log lines.
    pub fn unexpected_exits(&mut self) -> Vec<String> {
        let ended = |(at, child): (&(Role, usize), &mut Child)| {
            Some((*at, child.try_wait().ok().flatten()?))
        };
        let ended: Vec<_> = self.running.iter_mut().filter_map(ended).collect();
        let reports = ended.into_iter().map(|((role, number), status)| {
            let log = self.log(role, number);
            let last_lines: Vec<&str> = log.lines().rev().take(30).collect();
            let last_lines: Vec<&str> = last_lines.into_iter().rev().collect();
            format!(
                "{} {number}: {status}\n{}",
                role.program(),
                last_lines.join("\n")
            )
        });
        reports.collect()
    }

    /// Whether an edge reports ready.
    pub fn is_ready(&self, edge: usize) -> bool {
        self.readiness(edge) == Some(200)
    }

    /// Whether an edge answers the readiness check, ready or not.
    pub fn answers_readiness_check(&self, edge: usize) -> bool {
        self.readiness(edge).is_some()
    }

    fn readiness(&self, edge: usize) -> Option<u16> {
        let to = SocketAddr::from((self.ip(false, edge), READYZ_PORT));
        let until = Instant::now() + Duration::from_secs(1);
        let reply = call(to, "GET", "/api/readyz", "", b"", until).ok()?;
        Some(reply.status)
    }

    /// Waits until all edges are ready.
    pub fn wait_until_ready(&self, until: Instant) -> bool {
        (0..self.edges())
            .all(|edge| wait_for(until, || self.is_ready(edge).then_some(())).is_some())
    }

    /// A program's log so far.
    pub fn log(&self, role: Role, number: usize) -> String {
        // Without a log file nothing has been written.
        std::fs::read_to_string(self.file(role, number, "log")).unwrap_or_default()
    }

    /// Asks all programs to exit, edges first, and kills those that do not within the shutdown grace; returns
    /// those that did not exit in order.
    pub fn stop(&mut self) -> Vec<String> {
        let mut failures = self.unexpected_exits();
        for role in [Role::Proxy, Role::Agent, Role::Control] {
            let all: Vec<_> = self
                .running
                .keys()
                .copied()
                .filter(|(of, _)| *of == role)
                .collect();
            all.iter()
                .for_each(|(role, number)| self.terminate(*role, *number));
            let until = Instant::now() + SHUTDOWN_GRACE;
            for (role, number) in all {
                match self.wait_for_exit(role, number, until) {
                    Some(status) if status.success() => {}
                    Some(status) => failures.push(format!("{} {number}: {status}", role.program())),
                    None => {
                        failures.push(format!("{} {number}: killed", role.program()));
                        self.kill(role, number);
                    }
                }
            }
        }
        failures
    }
}

impl Drop for Machines {
    fn drop(&mut self) {
        let remaining: Vec<_> = self.running.keys().copied().collect();
        remaining
            .into_iter()
            .for_each(|(role, number)| self.kill(role, number));
    }
}

/// The folder of the built programs, from the path of one that Cargo passes to a test. If the whole workspace is
/// tested, programs of other packages are already there; if only one package is, they are built first.
///
/// # Panics
/// They can't be built.
pub fn built_programs_folder(program: &Path, cargo: &str) -> PathBuf {
    let folder = program.parent().unwrap_or(Path::new(".")).to_path_buf();
    let roles = [Role::Control, Role::Agent, Role::Proxy];
    let missing: Vec<_> = roles
        .iter()
        .filter(|role| !folder.join(role.program()).exists())
        .collect();
    if !missing.is_empty() {
        let mut build = Command::new(cargo);
        build.arg("build");
        missing
            .iter()
            .for_each(|role| _ = build.args(["-p", &format!("streamarch-{}", role.program())]));
        if folder.ends_with("release") {
            build.arg("--release");
        }
        assert!(
            build.status().is_ok_and(|status| status.success()),
            "{missing:?} can't be built"
        );
    }
    folder
}

/// Programs in a new folder that start the built ones with SIGXFSZ ignored: otherwise a write beyond the file size limit ends the
/// process instead of failing.
///
/// # Errors
/// The folder can't be created or written.
pub fn programs_ignoring_file_size_signal(folder: &Path, built: &Path) -> io::Result<PathBuf> {
    let programs = folder.join("programs");
    std::fs::create_dir(&programs)?;
    for role in [Role::Control, Role::Agent, Role::Proxy] {
        let (path, program) = (programs.join(role.program()), built.join(role.program()));
        let text = format!(
            "#!/bin/sh\ntrap '' XFSZ\nexec '{}' \"$@\"\n",
            program.display()
        );
        std::fs::write(&path, text)?;
        std::fs::set_permissions(&path, std::fs::Permissions::from_mode(0o755))?;
    }
    Ok(programs)
}
