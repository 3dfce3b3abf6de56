//! What a run is: read from JSON, checked, faults named by key.

use config_check::{KeyError, check_range, check_within};
use emulator::plan::WorldPlan;
use serde::{Deserialize, Serialize};

use crate::shapes::Arrival;

/// Most requests that one run lays out ahead.
pub const MOST_REQUESTS: usize = 50_000_000;

/// A run. Everything but `arrivals` has a default.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Scenario {
    /// A name for reports.
    pub name: String,
    /// How long requests arrive.
    pub seconds: f64,
    /// From it every choice is drawn.
    pub seed: u64,
    /// Traffic, added up.
    pub arrivals: Vec<Arrival>,
    /// Who asks.
    pub workshops: Workshops,
    /// What is asked for.
    pub classes: Vec<ClassPlan>,
    /// Through whom.
    pub limiters: Limiters,
    /// What clients do when they are not served.
    pub retries: Retries,
    /// The generator itself.
    pub generator: GeneratorPlan,
    /// The emulated world behind the limiters.
    pub world: WorldPlan,
}

impl Default for Scenario {
    fn default() -> Scenario {
        Scenario {
            name: String::new(),
            seconds: 10.0,
            seed: 1,
            arrivals: Vec::new(),
            workshops: Workshops::default(),
            classes: vec![ClassPlan::lookup(), ClassPlan::sign_off()],
            limiters: Limiters::default(),
            retries: Retries::default(),
            generator: GeneratorPlan::default(),
            world: WorldPlan::default(),
        }
    }
}

/// The member workshops.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Workshops {
    /// How many.
    pub count: usize,
    /// Exponent of how unevenly traffic falls on them: 0 evenly, 1 as one over the rank.
    pub skew: f64,
    /// Their plans.
    pub plans: Vec<PlanPlan>,
}

impl Default for Workshops {
    fn default() -> Workshops {
        let plan = |name: &str, share, rate, burst, worth, over_cost| PlanPlan {
            name: name.to_string(),
            share,
            rate,
            burst,
            worth,
            over_cost,
            units: [1, 4],
        };
        let plans = vec![
            plan("taller", 0.5, 1.6, 8.0, 0.8, 0.0),
            plan("empresa", 0.35, 3.8, 18.0, 1.3, 0.6),
            plan("institucion", 0.15, 15.0, 30.0, 1.8, 1.0),
        ];
        Workshops {
            count: 100,
            skew: 0.8,
            plans,
        }
    }
}

/// A plan and its quota.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct PlanPlan {
    /// Its name.
    pub name: String,
    /// Share of the workshops that have it.
    pub share: f64,
    /// Units a second for each workshop.
    pub rate: f64,
    /// Units that may be used at once.
    pub burst: f64,
    /// Factor on the worth of an answer.
    pub worth: f64,
    /// Share of its worth that a try costs beyond the quota.
    pub over_cost: f64,
    /// Least and most units of a request; fewer are likelier.
    pub units: [u8; 2],
}

/// A class of requests.
#[derive(Clone, Debug, Default, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct ClassPlan {
    /// Its name, the first part of the path.
    pub name: String,
    /// Share of the requests.
    pub share: f64,
    /// It carries a key and is sent again only after a refusal; otherwise it is safe to repeat.
    pub keyed: bool,
    /// Least and most bytes of a body, for keyed ones.
    pub body_bytes: [usize; 2],
    /// An answer within this earns its full worth, in milliseconds.
    pub aim_ms: f64,
    /// The client gives up after this, all tries together, in milliseconds.
    pub deadline_ms: f64,
    /// One try is given up after a share of that, from this range.
    pub try_share: [f64; 2],
    /// Worth of an answer.
    pub worth: f64,
}

impl ClassPlan {
    fn lookup() -> ClassPlan {
        ClassPlan {
            name: "lookup".into(),
            share: 0.68,
            keyed: false,
            body_bytes: [0, 0],
            aim_ms: 1_200.0,
            deadline_ms: 4_000.0,
            try_share: [0.5, 1.0],
            worth: 1.0,
        }
    }

    fn sign_off() -> ClassPlan {
        ClassPlan {
            name: "sign-off".into(),
            share: 0.32,
            keyed: true,
            body_bytes: [100, 600],
            aim_ms: 1_000.0,
            worth: 2.0,
            ..ClassPlan::lookup()
        }
    }
}

/// The limiters, and how a workshop's requests are spread over its set of them.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Limiters {
    /// How many; with `--target` as many as are named there.
    pub count: usize,
    /// Least and most limiters in a workshop's set.
    pub spread: [usize; 2],
    /// Share of a workshop's requests that goes to the one it favours, beside its even part of the rest.
    pub uneven: f64,
    /// It favours another one after so many seconds, from this range.
    pub shift_s: [f64; 2],
    /// The limiters' own file of shared state (`deploy/shared.json`), as it is given to each with `--shared`.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub shared: Option<serde_json::Value>,
}

impl Default for Limiters {
    fn default() -> Limiters {
        Limiters {
            count: 2,
            spread: [2, 4],
            uneven: 0.5,
            shift_s: [5.6, 25.0],
            shared: None,
        }
    }
}

/// What clients do when they are not served.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Retries {
    /// Most tries after the first.
    pub most: u32,
    /// The first wait, drawn from this range; it doubles with each try, in milliseconds.
    pub wait_ms: [f64; 2],
    /// Share of the tries that go through another limiter of the set.
    pub elsewhere: f64,
    /// Share of the clients that heed `Retry-After`.
    pub heed: f64,
    /// They heed it up to this, in milliseconds.
    pub heed_most_ms: f64,
}

impl Default for Retries {
    fn default() -> Retries {
        Retries {
            most: 3,
            wait_ms: [50.0, 400.0],
            elsewhere: 0.5,
            heed: 0.8,
            heed_most_ms: 1_000.0,
        }
    }
}

/// The generator itself.
#[derive(Clone, Debug, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct GeneratorPlan {
    /// Threads, each with a loop and a part of the requests; 0: as many as the rate asks for.
    pub threads: usize,
    /// Most connections open at once.
    pub connections: usize,
    /// The schedule was held if 999 in 1,000 requests went out within so many milliseconds of their time.
    pub lag_bound_ms: f64,
    /// Quotas over the fleet are judged by windows of so many seconds (`bounds`).
    pub quota_window_s: f64,
}

impl Default for GeneratorPlan {
    fn default() -> GeneratorPlan {
        GeneratorPlan {
            threads: 0,
            connections: 4_000,
            lag_bound_ms: 10.0,
            quota_window_s: 60.0,
        }
    }
}

impl Scenario {
    /// Reads and checks a scenario.
    ///
    /// # Errors
    /// Text that is not JSON; the first key that is unknown, of a wrong type or impossible.
    pub fn read(text: &str) -> Result<Scenario, KeyError> {
        let scenario: Scenario = config_check::parse_json(text)?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Checks what types can't say.
    ///
    /// # Errors
    /// The first value that makes no run, by its key.
    pub fn check(&self) -> Result<(), KeyError> {
        check_within("seconds", self.seconds, 0.001, 86_400.0)?;
        if self.arrivals.is_empty() {
            return Err(KeyError::new(
                "arrivals",
                "is missing or empty: there is nothing to send",
            ));
        }
        for (k, arrival) in self.arrivals.iter().enumerate() {
            arrival
                .check(&self.workshops)
                .map_err(|e| e.under_parent(&format!("arrivals[{k}]")))?;
        }
        self.workshops
            .check()
            .map_err(|e| e.under_parent("workshops"))?;
        if self.classes.is_empty() || self.classes.len() > 255 {
            return Err(KeyError::new("classes", "are not 1 to 255"));
        }
        for (k, class) in self.classes.iter().enumerate() {
            class
                .check()
                .map_err(|e| e.under_parent(&format!("classes[{k}]")))?;
        }
        self.limiters
            .check()
            .map_err(|e| e.under_parent("limiters"))?;
        self.retries
            .check()
            .map_err(|e| e.under_parent("retries"))?;
        let g = &self.generator;
        check_within("generator.threads", g.threads as f64, 0.0, 64.0)?;
        check_within("generator.connections", g.connections as f64, 1.0, 1e6)?;
        check_within("generator.lag_bound_ms", g.lag_bound_ms, 0.001, 60_000.0)?;
        check_within("generator.quota_window_s", g.quota_window_s, 0.1, 86_400.0)?;
        let requests: f64 = self
            .arrivals
            .iter()
            .map(|a| a.expected(self.seconds, &self.workshops))
            .sum();
        if requests > MOST_REQUESTS as f64 {
            return Err(KeyError::new(
                "arrivals",
                format!("ask for {requests:.0} requests, {MOST_REQUESTS} at most"),
            ));
        }
        self.world
            .check(self.limiters.count)
            .map_err(|e| e.under_parent("world"))
    }
}

fn named(name: &str) -> Result<(), KeyError> {
    let plain = |b: u8| b.is_ascii_alphanumeric() || b"-_.".contains(&b);
    match !name.is_empty() && name.len() <= 64 && name.bytes().all(plain) {
        true => Ok(()),
        false => Err(KeyError::new(
            "name",
            format!("'{name}' is not 1 to 64 letters, digits, '-', '_' or '.'"),
        )),
    }
}

impl Workshops {
    fn check(&self) -> Result<(), KeyError> {
        check_within("count", self.count as f64, 1.0, 10_000_000.0)?;
        check_within("skew", self.skew, 0.0, 10.0)?;
        if self.plans.is_empty() || self.plans.len() > 255 {
            return Err(KeyError::new("plans", "are not 1 to 255"));
        }
        for (k, plan) in self.plans.iter().enumerate() {
            plan.check()
                .map_err(|e| e.under_parent(&format!("plans[{k}]")))?;
        }
        match self.plans.iter().map(|p| p.share).sum::<f64>() > 0.0 {
            true => Ok(()),
            false => Err(KeyError::new("plans", "have no share at all")),
        }
    }
}

impl PlanPlan {
    fn check(&self) -> Result<(), KeyError> {
        named(&self.name)?;
        check_within("share", self.share, 0.0, 1e6)?;
        check_within("rate", self.rate, 0.0, 1e9)?;
        check_within("burst", self.burst, 0.0, 1e9)?;
        check_within("worth", self.worth, 0.0, 1e6)?;
        check_within("over_cost", self.over_cost, 0.0, 1.0)?;
        check_range("units", self.units.map(f64::from), 1.0, 255.0)
    }
}

impl ClassPlan {
    fn check(&self) -> Result<(), KeyError> {
        named(&self.name)?;
        check_within("share", self.share, 0.0, 1e6)?;
        check_range(
            "body_bytes",
            self.body_bytes.map(|b| b as f64),
            0.0,
            65_536.0,
        )?;
        if !self.keyed && self.body_bytes[1] > 0 {
            return Err(KeyError::new(
                "body_bytes",
                "a class that is safe to repeat has no body",
            ));
        }
        check_within("aim_ms", self.aim_ms, 0.0, 3.6e6)?;
        check_within("deadline_ms", self.deadline_ms, 1.0, 3.6e6)?;
        check_range("try_share", self.try_share, 0.001, 1.0)?;
        check_within("worth", self.worth, 0.0, 1e6)
    }
}

impl Limiters {
    fn check(&self) -> Result<(), KeyError> {
        check_within("count", self.count as f64, 1.0, 64.0)?;
        check_range("spread", self.spread.map(|s| s as f64), 1.0, 64.0)?;
        check_within("uneven", self.uneven, 0.0, 1.0)?;
        check_range("shift_s", self.shift_s, 0.01, 86_400.0)
    }
}

impl Retries {
    fn check(&self) -> Result<(), KeyError> {
        check_within("most", f64::from(self.most), 0.0, 100.0)?;
        check_range("wait_ms", self.wait_ms, 0.0, 3.6e6)?;
        check_within("elsewhere", self.elsewhere, 0.0, 1.0)?;
        check_within("heed", self.heed, 0.0, 1.0)?;
        check_within("heed_most_ms", self.heed_most_ms, 0.0, 3.6e6)
    }
}

#[cfg(test)]
mod tests;
