//! The commands on traces.

use std::fs::File;
use std::io::BufReader;
use std::path::Path;

use super::options::{Failure, Options, fault, usage};
use super::*;

fn mending(options: &Options) -> Result<mend::Mending, Failure> {
    let gap = match options.gap {
        Some(s) if s > 0.0 && s.is_finite() => Some((s * 1e6) as crate::Micros),
        Some(s) => return Err(usage(format!("--gap: {s} is no length of time"))),
        None => None,
    };
    Ok(mend::Mending {
        duplicates: if options.drop_duplicates {
            mend::Duplicates::Drop
        } else {
            mend::Duplicates::Keep
        },
        gaps: if options.close_gaps {
            mend::Gaps::Close
        } else {
            mend::Gaps::Keep
        },
        gap,
    })
}

fn odd(found: &mend::Found, options: &Options) -> String {
    format!(
        "out of order: {} (sorted)\nduplicates: {} ({})\ngaps: {}, {:.3} s in all, the longest {:.3} s ({})",
        found.out_of_order,
        found.duplicates,
        if options.drop_duplicates {
            "dropped"
        } else {
            "kept"
        },
        found.gaps,
        found.in_gaps as f64 / 1e6,
        found.longest_gap as f64 / 1e6,
        if options.close_gaps { "closed" } else { "kept" }
    )
}

pub(super) fn import(options: &Options, from: &Path, to: &Path) -> Result<(), Failure> {
    let mending = mending(options)?;
    let file = File::open(from).map_err(|e| fault(format!("{}: {e}", from.display())))?;
    let csv = from
        .extension()
        .is_some_and(|e| e.eq_ignore_ascii_case("csv"));
    let read = if csv {
        trace::read::csv(file)
    } else {
        trace::read::json_lines(BufReader::new(file))
    };
    let mut rows = read.map_err(|e| fault(format!("{}: {e}", from.display())))?;
    let count = rows.len();
    let found = mend::mend(&mut rows, &mending);
    trace::store::write(to, &rows).map_err(fault)?;
    println!(
        "read: {count} requests\n{}\nwritten: {} requests",
        odd(&found, options),
        rows.len()
    );
    Ok(())
}

pub(super) fn inspect(options: &Options, path: &Path) -> Result<(), Failure> {
    let mut rows = trace::store::read(path).map_err(fault)?;
    let found = mend::mend(&mut rows, &mending(options)?);
    let span = rows.last().map_or(0.0, |r| r.at as f64 / 1e6);
    let accounts: std::collections::HashSet<u64> = rows.iter().map(|r| r.account).collect();
    let mut seconds = vec![0_u64; span as usize + 1];
    rows.iter()
        .for_each(|r| seconds[(r.at / 1_000_000) as usize] += 1);
    let busiest = seconds.iter().max().copied().unwrap_or(0);
    println!(
        "requests: {}\nlength: {span:.3} s\na second: {:.1} on average, {busiest} in the busiest\ncustomers: {}\n{}",
        rows.len(),
        rows.len() as f64 / span.max(1e-6),
        accounts.len(),
        odd(&found, options)
    );
    for (what, get) in [
        ("plan", (|r| &r.plan) as fn(&trace::Row) -> &String),
        ("class", |r| &r.class),
    ] {
        let mut counts = std::collections::BTreeMap::<&str, usize>::new();
        rows.iter()
            .for_each(|r| *counts.entry(get(r)).or_default() += 1);
        counts
            .iter()
            .for_each(|(name, count)| println!("{what} {name}: {count}"));
    }
    Ok(())
}

pub(super) fn replay(options: &Options, path: &Path) -> Result<(), Failure> {
    let speed = options.speed.unwrap_or(1.0);
    if !(1e-3..=1e6).contains(&speed) {
        return Err(usage(format!(
            "--speed: {speed} is not between 0.001 and 1000000"
        )));
    }
    let mut rows = trace::store::read(path).map_err(fault)?;
    if rows.is_empty() {
        return Err(fault(format!("{}: holds no requests", path.display())));
    }
    mend::mend(&mut rows, &mending(options)?);
    let mut scenario = match &options.scenario {
        Some(path) => scenario(path)?,
        None => Scenario {
            name: format!("Replay of {}", path.display()),
            ..Scenario::default()
        },
    };
    if !options.targets.is_empty() {
        scenario.limiters.count = options.targets.len();
    }
    let seed = options.seed.unwrap_or(scenario.seed);
    let limiters = scenario.limiters.count;
    let schedule = trace::replay::lay(&mut scenario, &rows, limiters, speed);
    send(
        options,
        scenario,
        schedule,
        seed,
        options.report.as_deref(),
        stopped()?,
    )
    .map(drop)
}
