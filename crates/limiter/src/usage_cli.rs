//! `streamarch usage`: a ledger for people, and its export.

use std::io::Write;
use std::path::Path;

use usage::export::Export;
use usage::ledger::{file_name, lives};
use usage::reading::{self, Booked};

/// Most tries of a batch.
const BATCH: usize = 1_000_000;

/// Runs a sub-command; its words behind `usage`.
///
/// # Errors
/// What went wrong, in words.
pub fn run(words: &[String]) -> Result<(), String> {
    let words: Vec<&str> = words.iter().map(String::as_str).collect();
    match words.as_slice() {
        ["verify", folder] => verify(Path::new(folder)),
        ["show", folder] => show(Path::new(folder)),
        ["export", folder, out] => export(Path::new(folder), Path::new(out)),
        ["acknowledge", folder, number] => {
            let number = number
                .parse()
                .map_err(|_| format!("'{number}' is no batch's number"))?;
            let mut export = Export::open(Path::new(folder)).map_err(|e| e.to_string())?;
            export.acknowledge(number).map_err(|e| e.to_string())
        }
        _ => {
            Err("usage: verify FOLDER, show FOLDER, export FOLDER OUT, acknowledge FOLDER N".into())
        }
    }
}

/// Says of every life what it holds; one that can't be read does not hide the others.
fn verify(folder: &Path) -> Result<(), String> {
    let numbers = lives(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut faults = 0;
    for number in &numbers {
        match reading::life(folder, *number) {
            Ok(life) => {
                let unsure = life.tries.iter().filter(|t| t.unsure).count();
                let (name, tries, torn) = (file_name(*number), life.tries.len(), life.torn);
                println!(
                    "{name}: {tries} tries, {unsure} of them unsure, a torn tail of {torn} bytes"
                );
            }
            Err(error) => {
                faults += 1;
                println!("{error}");
            }
        }
    }
    match faults {
        0 => Ok(()),
        _ => Err(format!(
            "{faults} of {} lives can't be read whole",
            numbers.len()
        )),
    }
}

fn line(t: &Booked) -> String {
    let b = &t.booking;
    format!(
        "{} {}.{} at {} account {:016x} {} {} v{} units {}{}{}{}{}",
        t.limiter,
        t.life,
        t.number,
        b.at,
        b.customer,
        b.class,
        b.plan,
        b.version,
        b.milli_units as f64 / 1e3,
        b.reservation
            .as_deref()
            .map_or(String::new(), |r| format!(" reservation {r}")),
        b.key
            .as_deref()
            .map_or(String::new(), |k| format!(" key {k}")),
        if b.again { " again" } else { "" },
        if t.unsure { " unsure" } else { "" }
    )
}

fn show(folder: &Path) -> Result<(), String> {
    let mut out = std::io::stdout().lock();
    for life in reading::all(folder).map_err(|e| e.to_string())? {
        for t in &life.tries {
            // Whoever reads may have seen enough.
            if writeln!(out, "{}", line(t)).is_err() {
                return Ok(());
            }
        }
    }
    Ok(())
}

fn export(folder: &Path, out: &Path) -> Result<(), String> {
    let mut export = Export::open(folder).map_err(|e| e.to_string())?;
    match export
        .write(out, BATCH, &mut |_| true)
        .map_err(|e| e.to_string())?
    {
        Some(batch) => println!(
            "batch {}: {} tries in {}",
            batch.number,
            batch.tries(),
            out.join(batch.file_name()).display()
        ),
        None => println!("nothing new"),
    }
    Ok(())
}
