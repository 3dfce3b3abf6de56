//! `streamarch usage`: inspection and export of a usage ledger.

use std::io::Write;
use std::path::Path;

use usage::export::Exporter;
use usage::ledger::{file_name, list_incarnations};
use usage::reader::{self, RecordedAttempt};

/// Maximum number of tries in an exported batch.
const MAX_BATCH_TRIES: usize = 1_000_000;

/// Runs a sub-command, given the arguments that follow `usage`.
///
/// # Errors
/// A message for the user.
pub fn run(args: &[String]) -> Result<(), String> {
    let args: Vec<&str> = args.iter().map(String::as_str).collect();
    match args.as_slice() {
        ["verify", folder] => verify(Path::new(folder)),
        ["show", folder] => show(Path::new(folder)),
        ["export", folder, out] => export(Path::new(folder), Path::new(out)),
        ["acknowledge", folder, number] => {
            let number = number
                .parse()
                .map_err(|_| format!("'{number}' is not a batch number"))?;
            let mut export = Exporter::open(Path::new(folder)).map_err(|e| e.to_string())?;
            export.acknowledge(number).map_err(|e| e.to_string())
        }
        _ => {
            Err("usage: verify FOLDER, show FOLDER, export FOLDER OUT, acknowledge FOLDER N".into())
        }
    }
}

/// Prints a summary of each life (the ledger file of one run of a limiter). A life that cannot be read is reported and
/// the remaining ones are still checked.
fn verify(folder: &Path) -> Result<(), String> {
    let numbers = list_incarnations(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
    let mut failed_lives = 0;
    for number in &numbers {
        match reader::read_incarnation(folder, *number) {
            Ok(life) => {
                let unsure = life.attempts.iter().filter(|t| t.maybe_unsent).count();
                let (name, tries, torn) =
                    (file_name(*number), life.attempts.len(), life.torn_bytes);
                println!(
                    "{name}: {tries} tries, {unsure} of them unsure, a torn tail of {torn} bytes"
                );
            }
            Err(error) => {
                failed_lives += 1;
                println!("{error}");
            }
        }
    }
    match failed_lives {
        0 => Ok(()),
        _ => Err(format!(
            "{failed_lives} of {} lives cannot be read completely",
            numbers.len()
        )),
    }
}

fn format_try(booked: &RecordedAttempt) -> String {
    let booking = &booked.usage;
    format!(
        "{} {}.{} at {} account {:016x} {} {} v{} units {}{}{}{}{}",
        booked.limiter,
        booked.incarnation,
        booked.number,
        booking.sent_at,
        booking.customer,
        booking.class,
        booking.plan,
        booking.plan_version,
        booking.milli_units as f64 / 1e3,
        booking
            .reservation
            .as_deref()
            .map_or(String::new(), |r| format!(" reservation {r}")),
        booking
            .idempotency_key
            .as_deref()
            .map_or(String::new(), |k| format!(" key {k}")),
        if booking.is_retry { " again" } else { "" },
        if booked.maybe_unsent { " unsure" } else { "" }
    )
}

fn show(folder: &Path) -> Result<(), String> {
    let mut out = std::io::stdout().lock();
    for life in reader::read_all(folder).map_err(|e| e.to_string())? {
        for booked in &life.attempts {
            // The reader may have closed the pipe.
            if writeln!(out, "{}", format_try(booked)).is_err() {
                return Ok(());
            }
        }
    }
    Ok(())
}

fn export(folder: &Path, out: &Path) -> Result<(), String> {
    let mut export = Exporter::open(folder).map_err(|e| e.to_string())?;
    match export
        .write_batch(out, MAX_BATCH_TRIES, &mut |_| true)
        .map_err(|e| e.to_string())?
    {
        Some(batch) => println!(
            "batch {}: {} tries in {}",
            batch.number,
            batch.attempt_count(),
            out.join(batch.file_name()).display()
        ),
        None => println!("nothing new"),
    }
    Ok(())
}
