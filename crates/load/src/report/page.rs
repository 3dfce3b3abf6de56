//! Pages that stand alone: tables and plots in one HTML file.

use std::fmt::Write;

use crate::generator::Setup;
use crate::report::plot::{Chart, Line};
use crate::summary::{Point, Summary, Times};

const STYLE: &str = "body{font:15px/1.45 system-ui,sans-serif;margin:2em auto;max-width:940px;color:#222}\
table{border-collapse:collapse;margin:1em 0}td,th{padding:.2em .7em;border-bottom:1px solid #ddd;text-align:right}\
td:first-child,th:first-child{text-align:left}.bad{background:#fdd;padding:.6em 1em;border-left:4px solid #c00}\
svg{max-width:100%;height:auto;margin:.6em 0}pre{background:#f6f6f6;padding:1em;overflow:auto}";

/// Text that means itself in HTML.
pub fn escaped(text: &str) -> String {
    text.replace('&', "&amp;")
        .replace('<', "&lt;")
        .replace('>', "&gt;")
        .replace('"', "&quot;")
}

/// A page with a title.
pub fn page(title: &str, body: &str) -> String {
    let title = escaped(title);
    format!(
        "<!doctype html><html lang=\"en\"><meta charset=\"utf-8\"><title>{title}</title><style>{STYLE}</style>\
         <h1>{title}</h1>{body}</html>\n"
    )
}

/// A table; the first row is its head.
pub fn table(rows: &[Vec<String>]) -> String {
    let mut text = String::from("<table>");
    for (k, row) in rows.iter().enumerate() {
        let cell = if k == 0 { "th" } else { "td" };
        let cells: String = row
            .iter()
            .map(|c| format!("<{cell}>{}</{cell}>", escaped(c)))
            .collect();
        let _ = write!(text, "<tr>{cells}</tr>");
    }
    text + "</table>"
}

fn ms(us: u64) -> String {
    format!("{:.3}", us as f64 / 1e3)
}

fn times_row(name: &str, t: &Times) -> Vec<String> {
    let mut row = vec![name.to_string(), t.count.to_string()];
    row.extend([t.p50, t.p90, t.p99, t.p99_9, t.max].map(ms));
    row
}

/// A line through the spans of a run.
pub fn over_time(summary: &Summary, name: &str, get: impl Fn(&Point, f64) -> f64) -> Line {
    let points = &summary.over_time;
    let width = points.get(1).map_or(1.0, |p| p.at_s);
    // The last span is cut off by the run's end: its rate would look like a fall.
    let whole = &points[..points.len().saturating_sub(usize::from(points.len() > 2))];
    Line {
        name: name.to_string(),
        points: whole.iter().map(|p| (p.at_s, get(p, width))).collect(),
    }
}

/// The plots of one run.
fn plots(summary: &Summary) -> String {
    let percentiles = |of: fn(&Point) -> &Times| -> Vec<Line> {
        let line =
            |name, get: fn(&Times) -> u64| over_time(summary, name, |p, _| get(of(p)) as f64 / 1e3);
        vec![
            line("p50", |t| t.p50),
            line("p90", |t| t.p90),
            line("p99", |t| t.p99),
            line("max", |t| t.max),
        ]
    };
    let rate = |name: &str, get: &dyn Fn(&Point) -> u64| {
        over_time(summary, name, |p, w| get(p) as f64 / w)
    };
    let declined = summary
        .plans
        .iter()
        .enumerate()
        .map(|(k, plan)| rate(plan, &|p| p.declined_by_plan[k]));
    let charts = [
        Chart {
            title: "Latency of what was served, from the intended time",
            x: "seconds",
            y: "milliseconds",
            log: true,
            lines: percentiles(|p| &p.served_us),
        },
        Chart {
            title: "Latency of everything sent, clients' retries and waits included",
            x: "seconds",
            y: "milliseconds",
            log: true,
            lines: percentiles(|p| &p.latency_us),
        },
        Chart {
            title: "Offered against served",
            x: "seconds",
            y: "requests a second",
            log: false,
            lines: vec![
                rate("offered", &|p| p.ends.offered),
                rate("served", &|p| p.ends.served),
                rate("declined", &|p| p.ends.declined),
                rate("failed, unanswered, not sent", &|p| {
                    p.ends.failed + p.ends.unanswered + p.ends.not_sent
                }),
            ],
        },
        Chart {
            title: "Declined, by plan",
            x: "seconds",
            y: "requests a second",
            log: false,
            lines: declined.collect(),
        },
        Chart {
            title: "The generator's lag behind its schedule",
            x: "seconds",
            y: "milliseconds",
            log: true,
            lines: vec![
                over_time(summary, "p50", |p, _| p.send_lag_us.p50 as f64 / 1e3),
                over_time(summary, "max", |p, _| p.send_lag_us.max as f64 / 1e3),
            ],
        },
    ];
    charts.iter().map(Chart::svg).collect()
}

/// The page of one run.
pub fn run(setup: &Setup, summary: &Summary) -> String {
    let mut body = String::new();
    if !summary.schedule_held {
        let _ = write!(
            body,
            "<p class=bad>The schedule was not held: 999 in 1,000 first tries were not sent within {} ms of their time, or \
             connections ran out ({} times). The latencies below are in part the generator's own.</p>",
            ms(summary.lag_bound_us),
            summary.no_connections
        );
    }
    if summary.interrupted {
        body += "<p class=bad>The run was ended before its time; what was not taken up counts as not sent.</p>";
    }
    let ends = |name: &str, e: &crate::summary::Ends| {
        let numbers = [
            e.offered,
            e.served,
            e.declined,
            e.failed,
            e.unanswered,
            e.not_sent,
        ];
        [
            vec![name.to_string()],
            numbers.map(|n| n.to_string()).to_vec(),
        ]
        .concat()
    };
    let head = [
        "",
        "offered",
        "served",
        "declined",
        "failed",
        "unanswered",
        "not sent",
    ]
    .map(String::from)
    .to_vec();
    let all = crate::summary::Ends {
        offered: summary.offered,
        served: summary.served,
        declined: summary.declined,
        failed: summary.failed,
        unanswered: summary.unanswered,
        not_sent: summary.not_sent,
    };
    let mut rows = vec![head, ends("all", &all)];
    rows.extend(
        summary
            .by_plan
            .iter()
            .map(|(name, e)| ends(&format!("plan {name}"), e)),
    );
    rows.extend(
        summary
            .by_class
            .iter()
            .map(|(name, e)| ends(&format!("class {name}"), e)),
    );
    body += &table(&rows);
    let head = ["milliseconds", "count", "p50", "p90", "p99", "p99.9", "max"]
        .map(String::from)
        .to_vec();
    let mut rows = vec![
        head,
        times_row("from the intended time", &summary.latency_us),
        times_row("from the sending (uncorrected)", &summary.service_us),
        times_row("lag behind the schedule", &summary.send_lag_us),
    ];
    rows.extend(
        summary
            .latency_by_end_us
            .iter()
            .map(|(end, t)| times_row(&format!("from the intended time: {end}"), t)),
    );
    body += &table(&rows);
    let _ = write!(
        body,
        "<p>Worth answered within the wanted time: {:.3}. Tries: {}, of them retries: {}. Connections opened: {}.</p>",
        summary.worth_kept, summary.tries, summary.retries, summary.connections_opened
    );
    body += &plots(summary);
    if let Some(world) = &summary.world {
        let text = serde_json::to_string_pretty(world).unwrap_or_default();
        let _ = write!(
            body,
            "<h2>What the emulated nodes counted</h2><pre>{}</pre>",
            escaped(&text)
        );
    }
    let scenario = serde_json::to_string_pretty(&setup.scenario).unwrap_or_default();
    let _ = write!(
        body,
        "<details><summary>The scenario, seed {}</summary><pre>{}</pre></details>",
        summary.seed,
        escaped(&scenario)
    );
    let name = if summary.name.is_empty() {
        "A run"
    } else {
        &summary.name
    };
    page(name, &body)
}
