//! What follows from the records of a run: counts that add up, latencies from the intended time and from the real one,
//! and how all of it went over time.

use std::collections::BTreeMap;

use emulator::world::Counts;
use hdrhistogram::Histogram;
use serde::{Deserialize, Serialize};

use crate::Micros;
use crate::bounds::{self, Bounds};
use crate::driver::Outcomes;
use crate::generator::Setup;
use crate::records::{Fate, OUTCOMES, Outcome, fates};

/// Longest time that is told apart, an hour.
const LONGEST: u64 = 3_600_000_000;
/// Points of a run over time.
const POINTS: usize = 120;

/// Times by percentile, in microseconds.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Times {
    /// How many there are.
    pub count: u64,
    /// Half are at most this.
    pub p50: u64,
    /// 90 in 100.
    pub p90: u64,
    /// 99 in 100.
    pub p99: u64,
    /// 999 in 1,000.
    pub p99_9: u64,
    /// The longest.
    pub max: u64,
}

/// Counts times.
pub struct Counted(Histogram<u64>);

impl Default for Counted {
    fn default() -> Counted {
        Counted(
            Histogram::new_with_bounds(1, LONGEST, 3).expect("bounds that hold for any histogram"),
        )
    }
}

impl Counted {
    /// Counts one.
    pub fn add(&mut self, span: Micros) {
        self.0
            .saturating_record(span.clamp(1, LONGEST as Micros) as u64);
    }

    /// The percentiles so far.
    pub fn times(&self) -> Times {
        let at = |q| self.0.value_at_quantile(q).min(self.0.max());
        Times {
            count: self.0.len(),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            p99_9: at(0.999),
            max: self.0.max(),
        }
    }
}

/// Intended requests by how they ended.
#[derive(Clone, Copy, Debug, Default, Deserialize, PartialEq, Eq, Serialize)]
pub struct Ends {
    /// Intended.
    pub offered: u64,
    /// Served.
    pub served: u64,
    /// Refused.
    pub declined: u64,
    /// Failed.
    pub failed: u64,
    /// Without an answer when the client's time was up.
    pub unanswered: u64,
    /// Never written whole.
    pub not_sent: u64,
}

impl Ends {
    fn add(&mut self, outcome: Outcome) {
        self.offered += 1;
        *match outcome {
            Outcome::Served => &mut self.served,
            Outcome::Declined => &mut self.declined,
            Outcome::Failed => &mut self.failed,
            Outcome::Unanswered => &mut self.unanswered,
            Outcome::NotSent => &mut self.not_sent,
        } += 1;
    }
}

/// A span of the run.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Point {
    /// Its begin, in seconds; requests belong to the span of their intended time.
    pub at_s: f64,
    /// What became of its requests.
    pub ends: Ends,
    /// Refused, by plan.
    pub declined_by_plan: Vec<u64>,
    /// Latency from the intended time.
    pub latency_us: Times,
    /// The same of what was served.
    pub served_us: Times,
    /// Lag of the sending behind the schedule.
    pub send_lag_us: Times,
}

/// All that a report holds.
#[derive(Clone, Debug, Default, Deserialize, PartialEq, Serialize)]
pub struct Summary {
    /// The scenario's name.
    pub name: String,
    /// The seed.
    pub seed: u64,
    /// How long the run took, in seconds.
    pub span_s: f64,
    /// Requests intended.
    pub offered: u64,
    /// Requests of which a try was written whole.
    pub sent: u64,
    /// Requests served.
    pub served: u64,
    /// Requests refused.
    pub declined: u64,
    /// Requests failed.
    pub failed: u64,
    /// Requests without an answer in time.
    pub unanswered: u64,
    /// Requests never written whole.
    pub not_sent: u64,
    /// Whether served, declined, failed, unanswered and not sent add up to offered.
    pub adds_up: bool,
    /// Tries that were made, clients' retries included.
    pub tries: u64,
    /// Of these, retries.
    pub retries: u64,
    /// Worth answered within the wanted time over the worth of all that was intended.
    pub worth_kept: f64,
    /// From the intended time of a request's first try to its end, clients' retries and waits included; over all
    /// requests that were sent, whatever their end.
    pub latency_us: Times,
    /// The same by end.
    pub latency_by_end_us: BTreeMap<String, Times>,
    /// Uncorrected: from the real sending of a try to its end.
    pub service_us: Times,
    /// From the intended time of a first try to its real sending.
    pub send_lag_us: Times,
    /// Whether 999 in 1,000 first tries went out within the bound. If not, the latencies above are in part the
    /// generator's own.
    pub schedule_held: bool,
    /// That bound.
    pub lag_bound_us: u64,
    /// The run was ended before its time.
    pub interrupted: bool,
    /// Times that a try waited because all connections were taken.
    pub no_connections: u64,
    /// Times that the system gave no descriptor or port.
    pub no_sockets: u64,
    /// Connections opened.
    pub connections_opened: u64,
    /// By plan.
    pub by_plan: BTreeMap<String, Ends>,
    /// By class.
    pub by_class: BTreeMap<String, Ends>,
    /// Quotas over the whole fleet, window by window.
    pub quota: Bounds,
    /// Answers by status; 0 for none.
    pub by_status: BTreeMap<u16, u64>,
    /// What the emulated world counted, where there was one.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub world: Option<Counts>,
    /// CPU time of each limiter, in microseconds, where the run started them.
    #[serde(skip_serializing_if = "Vec::is_empty", default)]
    pub limiter_cpu_us: Vec<u64>,
    /// Plan names, in the order of [`Point::declined_by_plan`].
    pub plans: Vec<String>,
    /// The run over time.
    pub over_time: Vec<Point>,
}

impl Summary {
    /// Sums a run up.
    pub fn of(setup: &Setup, outcomes: &Outcomes) -> Summary {
        let scenario = &setup.scenario;
        let requests = &setup.schedule.requests;
        let fates = fates(requests.len(), &outcomes.tries);
        let plans: Vec<String> = scenario
            .workshops
            .plans
            .iter()
            .map(|p| p.name.clone())
            .collect();
        let last = requests
            .last()
            .map_or(0, |r| r.at)
            .max((scenario.seconds * 1e6) as Micros)
            .max(1);
        let width = (last / POINTS as Micros + 1).max(100_000);
        let count = (last / width + 1) as usize;
        let mut points: Vec<(Point, [Counted; 3])> = (0..count)
            .map(|k| {
                let at_s = (k as Micros * width) as f64 / 1e6;
                let point = Point {
                    at_s,
                    declined_by_plan: vec![0; plans.len()],
                    ..Point::default()
                };
                (
                    point,
                    [Counted::default(), Counted::default(), Counted::default()],
                )
            })
            .collect();
        let (mut latency, mut lag, mut service) =
            (Counted::default(), Counted::default(), Counted::default());
        let mut by_end: BTreeMap<Outcome, Counted> = BTreeMap::new();
        let (mut by_plan, mut by_class) = (
            vec![Ends::default(); plans.len()],
            vec![Ends::default(); scenario.classes.len()],
        );
        let (mut ends, mut worth, mut kept) = (Ends::default(), 0.0, 0.0);
        for (request, fate) in requests.iter().zip(&fates) {
            let Fate {
                outcome,
                ended,
                first_sent,
                ..
            } = *fate;
            let plan = usize::from(setup.schedule.workshops[request.workshop as usize].plan);
            let class = &scenario.classes[usize::from(request.class)];
            let (point, [point_latency, point_served, point_lag]) =
                &mut points[((request.at / width) as usize).min(count - 1)];
            for counts in [
                &mut ends,
                &mut by_plan[plan],
                &mut by_class[usize::from(request.class)],
                &mut point.ends,
            ] {
                counts.add(outcome);
            }
            point.declined_by_plan[plan] += u64::from(outcome == Outcome::Declined);
            let value =
                class.worth * scenario.workshops.plans[plan].worth * f64::from(request.units);
            worth += value;
            if let Some(ended) = ended.filter(|_| outcome != Outcome::NotSent) {
                let took = ended - request.at;
                latency.add(took);
                point_latency.add(took);
                if outcome == Outcome::Served {
                    point_served.add(took);
                }
                by_end.entry(outcome).or_default().add(took);
                if outcome == Outcome::Served && took as f64 <= class.aim_ms * 1e3 {
                    kept += value;
                }
            }
            if let Some(sent) = first_sent {
                lag.add(sent - request.at);
                point_lag.add(sent - request.at);
            }
        }
        let mut by_status: BTreeMap<u16, u64> = BTreeMap::new();
        for t in &outcomes.tries {
            *by_status.entry(t.status).or_default() += 1;
            if let Some(sent) = t.sent {
                service.add(t.ended - sent);
            }
        }
        let bound = (scenario.generator.lag_bound_ms * 1e3) as u64;
        let told = [
            ends.served,
            ends.declined,
            ends.failed,
            ends.unanswered,
            ends.not_sent,
        ];
        let named = |names: Vec<String>, ends: Vec<Ends>| names.into_iter().zip(ends).collect();
        let classes: Vec<String> = scenario.classes.iter().map(|c| c.name.clone()).collect();
        let end_times = |o: &Outcome| by_end.get(o).map(|c| (o.name().to_string(), c.times()));
        Summary {
            name: scenario.name.clone(),
            seed: setup.seed,
            span_s: outcomes.span as f64 / 1e6,
            offered: ends.offered,
            sent: ends.offered - ends.not_sent,
            served: ends.served,
            declined: ends.declined,
            failed: ends.failed,
            unanswered: ends.unanswered,
            not_sent: ends.not_sent,
            adds_up: told.iter().sum::<u64>() == requests.len() as u64,
            tries: outcomes.tries.len() as u64,
            retries: outcomes.tries.iter().filter(|t| t.number > 0).count() as u64,
            worth_kept: if worth > 0.0 { kept / worth } else { 0.0 },
            latency_us: latency.times(),
            latency_by_end_us: OUTCOMES.iter().filter_map(end_times).collect(),
            service_us: service.times(),
            schedule_held: lag.times().p99_9 <= bound && outcomes.no_connections == 0,
            send_lag_us: lag.times(),
            lag_bound_us: bound,
            interrupted: outcomes.interrupted,
            no_connections: outcomes.no_connections,
            no_sockets: outcomes.no_sockets,
            connections_opened: outcomes.opened,
            by_plan: named(plans.clone(), by_plan),
            by_class: named(classes, by_class),
            by_status,
            quota: bounds::of(
                &setup.schedule,
                &scenario.workshops.plans,
                &fates,
                (scenario.generator.quota_window_s * 1e6) as Micros,
                (scenario.seconds * 1e6) as Micros,
            ),
            world: None,
            limiter_cpu_us: Vec::new(),
            plans,
            over_time: points
                .into_iter()
                .map(|(point, [latency, served, lag])| Point {
                    latency_us: latency.times(),
                    served_us: served.times(),
                    send_lag_us: lag.times(),
                    ..point
                })
                .collect(),
        }
    }

    /// The lines that a person reads first.
    pub fn text(&self) -> String {
        let row = |name: &str, t: &Times| {
            let ms = |us: u64| us as f64 / 1e3;
            let [p50, p90, p99, p99_9, max] = [t.p50, t.p90, t.p99, t.p99_9, t.max].map(ms);
            format!("{name:<28}{p50:>10.3}{p90:>10.3}{p99:>10.3}{p99_9:>10.3}{max:>11.3}\n")
        };
        let mut text = format!(
            "offered {}  sent {}  served {}  declined {}  failed {}  unanswered {}  not sent {}\n\
             tries {} (retries {})  worth answered in time {:.3}  {:.1} s{}\n",
            self.offered,
            self.sent,
            self.served,
            self.declined,
            self.failed,
            self.unanswered,
            self.not_sent,
            self.tries,
            self.retries,
            self.worth_kept,
            self.span_s,
            if self.interrupted {
                ", ended before its time"
            } else {
                ""
            }
        );
        text += "milliseconds                       p50       p90       p99     p99.9        max\n";
        text += &row("from the intended time", &self.latency_us);
        text += &row("from the sending", &self.service_us);
        text += &row("lag behind the schedule", &self.send_lag_us);
        let q = &self.quota;
        if q.windows > 0 {
            text += &format!(
                "quotas over the fleet, {} windows of {} s: worst {:.3} (workshop {} at {} s), {} over 1.10, least {:.3} \
                 where the quota was asked\n",
                q.windows,
                q.window_s,
                q.overuse_ratio,
                q.worst.workshop,
                q.worst.from_s,
                q.over_tenth,
                q.least_share
            );
        }
        if let Some(w) = &self.world {
            text += &format!(
                "nodes: arrived {}  ids {}  again {}  copies {}  keys run twice {}  after drain {}  counter calls {}\n",
                w.arrived, w.ids, w.again, w.copies, w.keys_twice, w.after_drain, w.calls
            );
        }
        if !self.limiter_cpu_us.is_empty() {
            let total: u64 = self.limiter_cpu_us.iter().sum();
            let each = total as f64 / self.tries.max(1) as f64;
            text += &format!("limiters: {each:.0} µs of CPU a try\n");
        }
        if !self.schedule_held {
            text += &format!(
                "THE SCHEDULE WAS NOT HELD: 999 in 1,000 were not sent within {:.1} ms of their time, or connections ran \
                 out; the latencies are in part the generator's own\n",
                self.lag_bound_us as f64 / 1e3
            );
        }
        text
    }
}
