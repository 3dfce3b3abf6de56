//! A trial of the whole system on this host's loopback: the built programs on machines of their own, the platform's
//! list, servers and the operator beside them, clients with an open-loop schedule, and a day in small: a configuration
//! that changes, a server that leaves, a control program that is killed and returns, servers in trouble.

pub(crate) mod clients;

use std::collections::HashMap;
use std::fmt::Write;
use std::path::PathBuf;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use emulator::system::machines::{Role, zones};
use emulator::system::operator::Change;
use emulator::system::server::{AnswerFault, Counts};
use emulator::system::test_system::{
    READ_PREFIX, SERVICES, Size, TestSystem, WRITE_PREFIX, route, server_config,
};
use emulator::system::wait_for;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use serde_json::json;

use self::clients::{Clients, Rules, Wrong};
use crate::records::{Outcome, Try, fates};
use crate::shapes::instants;
use crate::summary::{Counted, Times};

/// Core machines stand at 127.0.1.x, edges at 127.0.2.x.
const NET: (u8, u8) = (0, 1);
/// Requests a second.
const RATE: f64 = 150.0;
/// The route's target time: what is answered later is late.
const AIM: i64 = 500_000;
/// The operator's orders are taken within this, as the rules' `ack` has it.
const ACK: Duration = Duration::from_secs(8);
/// What was acknowledged is in force within this, as the rules' `apply` has it.
const APPLY: Duration = Duration::from_secs(4);
/// Everything is ready within this after the start.
const READY: Duration = Duration::from_secs(20);
/// The prefix of the route that is added.
const MORE: &str = "/more/";

/// What is played.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How long requests arrive, in seconds.
    pub seconds: f64,
    /// For what is drawn by chance.
    pub seed: u64,
    /// Zones, each of a region of its own, with a core machine.
    pub zones: usize,
    /// Edges in each.
    pub edges: usize,
    /// Where the built programs are.
    pub programs: PathBuf,
}

/// What came of it.
#[derive(Clone, Debug, Default)]
pub struct Played {
    /// Requests.
    pub asked: usize,
    /// Answered within the aim...
    pub ok: usize,
    /// ...or after it; refused; failed or unanswered.
    pub late: usize,
    /// Refused at last.
    pub refused: usize,
    /// Failed, unanswered, or never sent.
    pub failed: usize,
    /// Tries, clients' own further ones included.
    pub tries: usize,
    /// From the intended time to the end of what was answered.
    pub times: Times,
    /// What arrived at servers.
    pub counts: Counts,
    /// What happened, line by line.
    pub lines: Vec<String>,
    /// What must hold, and whether it does.
    pub held: Vec<(String, bool)>,
}

impl Played {
    /// Whether all holds that must.
    pub fn holds(&self) -> bool {
        self.held.iter().all(|(_, held)| *held)
    }

    /// The lines that a person reads.
    pub fn text(&self) -> String {
        let ms = |us: u64| us as f64 / 1e3;
        let Played {
            asked,
            ok,
            late,
            refused,
            failed,
            tries,
            times,
            counts,
            ..
        } = self;
        let mut text = self.lines.join("\n");
        // Writing to a string cannot fail.
        let _ = write!(
            text,
            "\nclients: asked {asked}  ok {ok}  late {late}  refused {refused}  failed {failed}  (tries {tries})\n\
             milliseconds: p50 {:.1}  p99 {:.1}  longest {:.1}\n\
             servers: arrived {}  ran {}  again {}  twice {}  turned away {}  spoilt answers {}\n",
            ms(times.p50),
            ms(times.p99),
            ms(times.max),
            counts.arrived,
            counts.ran,
            counts.repeated_idempotent,
            counts.repeated_mutating,
            counts.rejected,
            counts.faulty_answers
        );
        for (what, held) in &self.held {
            let _ = writeln!(
                text,
                "{} {what}",
                if *held { "holds:" } else { "DOES NOT HOLD:" }
            );
        }
        text
    }
}

/// A day that is under way.
struct Day<'a> {
    whole: TestSystem,
    clients: &'a Clients,
    stop: &'a AtomicBool,
    scale: f64,
    lines: Vec<String>,
    held: Vec<(String, bool)>,
}

/// Plays it. Its child processes have ended when it returns.
///
/// # Errors
/// The system can't be started, or its first configuration is not taken.
pub fn play(plan: &Plan, stop: &AtomicBool) -> Result<Played, String> {
    let folder = tempfile::TempDir::new().map_err(|e| format!("a folder for settings: {e}"))?;
    let began = Instant::now();
    let size = Size {
        zones: plan.zones,
        edges: plan.edges,
        net: NET,
    };
    let whole = TestSystem::start(folder.path(), &plan.programs, size, began + READY)?;
    let ready = format!(
        "{} control programs, {} edges, each with agent and proxy: ready after {:.1} s",
        whole.machines.cores(),
        whole.machines.edges(),
        began.elapsed().as_secs_f64()
    );
    let places = zones(plan.zones)
        .into_iter()
        .enumerate()
        .map(|(at, (zone, region))| {
            let replicas = (0..plan.zones)
                .map(|n| whole.machines.dir((at + n) % plan.zones))
                .collect();
            (zone, region, replicas)
        });
    let allowed = HashMap::from([
        (READ_PREFIX, vec![SERVICES[0]]),
        (WRITE_PREFIX, vec![SERVICES[0]]),
    ]);
    let mut rng = ChaCha8Rng::seed_from_u64(plan.seed);
    let instants = instants(&[(0.0, RATE), (plan.seconds, RATE)], true, &mut rng);
    let clients = Clients::new(
        instants,
        plan.seed,
        places.collect(),
        Rules {
            allowed,
            more: Vec::new(),
        },
    );
    let (scale, held) = (plan.seconds / 15.0, Vec::new());
    let mut day = Day {
        whole,
        clients: &clients,
        stop,
        scale,
        lines: vec![ready],
        held,
    };
    let (tries, wrong) = std::thread::scope(|scope| {
        let running = scope.spawn(|| clients.run(stop));
        day.pass();
        running.join().unwrap_or_default()
    });
    Ok(day.close(&tries, &wrong))
}

impl Day<'_> {
    /// Waits for an instant of the day, given for one of 15 s.
    fn at(&self, seconds: f64) {
        let at = self.clients.start + Duration::from_secs_f64(seconds * self.scale);
        while Instant::now() < at && !self.stop.load(Ordering::Relaxed) {
            std::thread::sleep(
                at.saturating_duration_since(Instant::now())
                    .min(Duration::from_millis(20)),
            );
        }
    }

    fn note(&mut self, text: impl AsRef<str>) {
        let line = format!(
            "{:>5.1} s  {}",
            self.clients.start.elapsed().as_secs_f64(),
            text.as_ref()
        );
        self.lines.push(line);
    }

    fn rules(&self, change: impl FnOnce(&mut Rules)) {
        change(
            &mut self
                .clients
                .rules
                .lock()
                .unwrap_or_else(std::sync::PoisonError::into_inner),
        );
    }

    /// Sends a change; an order that is not taken is said and counts.
    fn change(&mut self, what: &str, change: &Change) {
        let began = Instant::now();
        match self.whole.operator.change(change, began + ACK) {
            Ok(()) => self.note(format!(
                "{what}: acknowledged after {} ms",
                began.elapsed().as_millis()
            )),
            Err(error) => {
                self.note(format!("{what}: {error}"));
                self.held.push((format!("{what} is acknowledged"), false));
            }
        }
    }

    fn pass(&mut self) {
        let victim = 1 % self.whole.machines.cores();
        self.at(2.0);
        self.rules(|rules| {
            rules
                .allowed
                .entry(READ_PREFIX)
                .or_default()
                .push(SERVICES[1])
        });
        let change = Change::default()
            .set("routes", "reads", 3, route(READ_PREFIX, SERVICES[1]))
            .set("routes", "more", 2, route(MORE, SERVICES[1]));
        self.change("reads go to another service, and a route is added", &change);
        let (began, edges) = (Instant::now(), self.whole.machines.edges());
        let moved = |edge| {
            (self.whole.served_by(edge, "/read/check").as_deref() == Some(SERVICES[1]))
                .then_some(())
        };
        let applied = (0..edges).all(|edge| wait_for(began + APPLY, || moved(edge)).is_some());
        self.held
            .push(("a change is in force at all edges in time".into(), applied));
        self.note(format!(
            "it is in force at all edges {} ms later",
            began.elapsed().as_millis()
        ));
        self.at(2.0);
        std::thread::sleep(
            (began + APPLY)
                .saturating_duration_since(Instant::now())
                .min(APPLY),
        );
        self.rules(|rules| {
            rules.allowed = HashMap::from([
                (READ_PREFIX, vec![SERVICES[1]]),
                (WRITE_PREFIX, vec![SERVICES[0]]),
            ]);
            rules.allowed.insert(MORE, vec![SERVICES[1]]);
            rules.more.push(MORE);
        });

        // The first server found is of the first service, in the first zone.
        self.at(6.2);
        self.whole.fleet.drain_server(0);
        self.note("a server is to leave");
        self.at(6.6);
        self.whole.machines.kill(Role::Control, victim);
        self.note(format!("control program {victim} is killed"));
        let keys = json!({"apikeys": [emulator::system::test_system::TENANT_KEY, "another-key"], "prio": 1, "per_s": 0, "burst": 0,
            "pins": []});
        let change =
            Change::default().set("tenants", emulator::system::test_system::TENANT, 4, keys);
        self.change("a key is added without it", &change);
        self.at(8.5);
        let started = self.whole.machines.start(Role::Control, victim);
        self.held.push((
            format!("control program {victim} starts again"),
            started.is_ok(),
        ));
        self.note("it is started again");
        self.at(9.5);
        let all = [
            AnswerFault::Reset,
            AnswerFault::Truncated,
            AnswerFault::Malformed,
            AnswerFault::Unsolicited,
        ];
        for server in 1..4 {
            self.whole.fleet.inject_faults(server, &all.repeat(3));
        }
        self.whole.fleet.freeze(2, 700_000);
        self.note(
            "three servers reset, cut short, garble and add answers; one of them freezes for 0.7 s",
        );
        self.at(12.0);
        if let Some(address) = self.whole.fleet.stop_server(0) {
            let zone = &zones(1)[0].0;
            let found = self.whole.fleet.start_server(
                server_config(SERVICES[1], zone),
                false,
                Some(address),
            );
            self.held
                .push(("the address is to be had again".into(), found.is_ok()));
            self.note(
                "the server that left has ended; a cold one of another service takes its address",
            );
        }
    }

    fn close(mut self, tries: &[Try], wrong: &Wrong) -> Played {
        let requests = self.clients.instants.len();
        let differences = self.whole.operator.differences(Instant::now() + ACK);
        let ended = self.whole.machines.stop();
        let counts = self.whole.fleet.counts();
        let mut played = Played {
            asked: requests,
            tries: tries.len(),
            counts,
            ..Played::default()
        };
        let mut times = Counted::default();
        for (at, fate) in self.clients.instants.iter().zip(fates(requests, tries)) {
            let took = fate.ended.map_or(0, |ended| ended - at);
            match fate.outcome {
                Outcome::Served if took <= AIM => played.ok += 1,
                Outcome::Served => played.late += 1,
                Outcome::Declined => played.refused += 1,
                Outcome::Failed | Outcome::Unanswered | Outcome::NotSent => played.failed += 1,
            }
            if fate.outcome == Outcome::Served {
                times.add(took);
            }
        }
        played.times = times.times();
        let ran: Vec<&String> = wrong
            .refused
            .iter()
            .filter(|id| self.whole.fleet.run_count(id) > 0)
            .collect();
        let mut must = |what: &str, held: bool, why: String| {
            let why = if held {
                String::new()
            } else {
                format!(" ({why})")
            };
            self.held.push((format!("{what}{why}"), held));
        };
        let first = |all: &[String]| format!("{}, first {:?}", all.len(), all.first());
        let whole = !self.stop.load(Ordering::Relaxed);
        must(
            "the day is played to its end",
            whole,
            "it was interrupted".into(),
        );
        must(
            "nothing that may run once ran twice",
            counts.repeated_mutating == 0,
            counts.repeated_mutating.to_string(),
        );
        must(
            "nothing that was refused ran",
            ran.is_empty(),
            format!("{ran:?}"),
        );
        must(
            "every success is the server's own answer to it",
            wrong.mixed.is_empty(),
            first(&wrong.mixed),
        );
        must(
            "the configuration in force decides",
            wrong.stale.is_empty(),
            first(&wrong.stale),
        );
        must(
            "no key went on to a server",
            counts.with_client_key == 0,
            counts.with_client_key.to_string(),
        );
        must(
            "nothing came to a server that left",
            counts.after_drain == 0,
            counts.after_drain.to_string(),
        );
        let same = differences.as_ref().is_ok_and(Vec::is_empty);
        must(
            "what is read back is what was acknowledged",
            same,
            format!("{differences:?}"),
        );
        must(
            "all programs ended when told",
            ended.is_empty(),
            ended.join("; "),
        );
        let served = played.ok + played.late;
        must(
            "nine in ten are served",
            served * 10 >= requests * 9,
            format!("{served} of {requests}"),
        );
        (played.lines, played.held) = (self.lines, self.held);
        played
    }
}
