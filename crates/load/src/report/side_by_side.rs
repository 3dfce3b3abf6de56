//! Runs side by side: what a change does, and where a sweep bends.

use crate::report::page::{over_time, page, table};
use crate::report::plot::{Chart, Line};
use crate::summary::Summary;

type Figure = (&'static str, fn(&Summary) -> f64);

const FIGURES: [Figure; 17] = [
    ("offered", |s| s.offered as f64),
    ("served", |s| s.served as f64),
    ("declined", |s| s.declined as f64),
    ("failed", |s| s.failed as f64),
    ("unanswered", |s| s.unanswered as f64),
    ("not sent", |s| s.not_sent as f64),
    ("retries", |s| s.retries as f64),
    ("worth answered in time", |s| s.worth_kept),
    ("latency p50, ms", |s| s.latency_us.p50 as f64 / 1e3),
    ("latency p90, ms", |s| s.latency_us.p90 as f64 / 1e3),
    ("latency p99, ms", |s| s.latency_us.p99 as f64 / 1e3),
    ("latency p99.9, ms", |s| s.latency_us.p99_9 as f64 / 1e3),
    ("latency max, ms", |s| s.latency_us.max as f64 / 1e3),
    ("uncorrected p99, ms", |s| s.service_us.p99 as f64 / 1e3),
    ("lag p99.9, ms", |s| s.send_lag_us.p99_9 as f64 / 1e3),
    ("schedule held", |s| f64::from(u8::from(s.schedule_held))),
    ("limiters' CPU a try, µs", |s| {
        s.limiter_cpu_us.iter().sum::<u64>() as f64 / s.tries.max(1) as f64
    }),
];

fn figure(value: f64) -> String {
    if value.fract() == 0.0 {
        format!("{value}")
    } else {
        format!("{value:.3}")
    }
}

/// The figures as rows: the first run, and each other one with its difference from the first.
fn rows(runs: &[(String, Summary)]) -> Vec<Vec<String>> {
    let head = [
        vec![String::new()],
        runs.iter().map(|(name, _)| name.clone()).collect(),
    ]
    .concat();
    let row = |(name, get): &Figure| {
        let base = get(&runs[0].1);
        let cell = |(k, (_, s)): (usize, &(String, Summary))| match get(s) {
            value if k == 0 || value == base => figure(value),
            value if base == 0.0 => format!("{} (+{})", figure(value), figure(value)),
            value => format!("{} ({:+.1} %)", figure(value), (value / base - 1.0) * 100.0),
        };
        [
            vec![name.to_string()],
            runs.iter().enumerate().map(cell).collect(),
        ]
        .concat()
    };
    std::iter::once(head)
        .chain(FIGURES.iter().map(row))
        .collect()
}

fn columns(rows: &[Vec<String>]) -> String {
    let width = |k: usize| rows.iter().map(|r| r[k].chars().count()).max().unwrap_or(0);
    let line = |row: &Vec<String>| {
        let cell = |(k, text): (usize, &String)| match k {
            0 => format!("{text:<w$}", w = width(0)),
            _ => format!("  {text:>w$}", w = width(k)),
        };
        row.iter()
            .enumerate()
            .map(cell)
            .collect::<String>()
            .trim_end()
            .to_string()
            + "\n"
    };
    rows.iter().map(line).collect()
}

/// Two or more runs: lines for a terminal, and a page with plots. The first is what the others are measured against.
pub fn compare(runs: &[(String, Summary)]) -> (String, String) {
    let rows = rows(runs);
    let lines = |get: fn(&crate::summary::Point, f64) -> f64| {
        runs.iter()
            .map(|(name, s)| over_time(s, name, get))
            .collect::<Vec<Line>>()
    };
    let charts = [
        Chart {
            title: "Latency p99 from the intended time",
            x: "seconds",
            y: "milliseconds",
            log: true,
            lines: lines(|p, _| p.latency_us.p99 as f64 / 1e3),
        },
        Chart {
            title: "Latency p50 from the intended time",
            x: "seconds",
            y: "milliseconds",
            log: true,
            lines: lines(|p, _| p.latency_us.p50 as f64 / 1e3),
        },
        Chart {
            title: "Served",
            x: "seconds",
            y: "requests a second",
            log: false,
            lines: lines(|p, w| p.ends.served as f64 / w),
        },
        Chart {
            title: "Declined",
            x: "seconds",
            y: "requests a second",
            log: false,
            lines: lines(|p, w| p.ends.declined as f64 / w),
        },
    ];
    let plots: String = charts.iter().map(Chart::svg).collect();
    (
        columns(&rows),
        page("Runs side by side", &format!("{}{plots}", table(&rows))),
    )
}

/// A sweep over the values of one key: lines for a terminal, and a page with the knee.
pub fn knee(key: &str, runs: &[(String, Summary)]) -> (String, String) {
    let rows = rows(runs);
    // Values that are no numbers stand side by side in the order given.
    let at = |(k, (name, _)): (usize, &(String, Summary))| name.parse::<f64>().unwrap_or(k as f64);
    let xs: Vec<f64> = runs.iter().enumerate().map(at).collect();
    let line = |name: &str, get: &dyn Fn(&Summary) -> f64| {
        let mut points: Vec<(f64, f64)> = xs
            .iter()
            .copied()
            .zip(runs.iter().map(|(_, s)| get(s)))
            .collect();
        points.sort_by(|a, b| a.0.total_cmp(&b.0));
        Line {
            name: name.to_string(),
            points,
        }
    };
    let a_second =
        |n: u64, s: &Summary| n as f64 / s.over_time.last().map_or(1.0, |p| p.at_s).max(0.1);
    let charts = [
        Chart {
            title: "Offered against served",
            x: key,
            y: "requests a second",
            log: false,
            lines: vec![
                line("offered", &|s| a_second(s.offered, s)),
                line("served", &|s| a_second(s.served, s)),
                line("declined", &|s| a_second(s.declined, s)),
            ],
        },
        Chart {
            title: "Latency from the intended time",
            x: key,
            y: "milliseconds",
            log: true,
            lines: vec![
                line("p50", &|s| s.latency_us.p50 as f64 / 1e3),
                line("p99", &|s| s.latency_us.p99 as f64 / 1e3),
                line("p99.9", &|s| s.latency_us.p99_9 as f64 / 1e3),
            ],
        },
        Chart {
            title: "Worth answered within the wanted time",
            x: key,
            y: "share",
            log: false,
            lines: vec![line("kept", &|s| s.worth_kept)],
        },
    ];
    let plots: String = charts.iter().map(Chart::svg).collect();
    (
        columns(&rows),
        page(
            &format!("Sweep over {key}"),
            &format!("{}{plots}", table(&rows)),
        ),
    )
}
