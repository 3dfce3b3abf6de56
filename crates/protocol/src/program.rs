//! The start of a program of the system: its arguments, its settings, its log and its exit code.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use eyre::{WrapErr, eyre};

use crate::log_ring::LogRing;
use crate::settings::{SETTINGS_VARIABLE, Settings};

/// A program of the whole system; docs/system.md says what each does.
#[derive(FromArgs)]
struct Arguments {
    /// the settings file, in place of the one that `STREAMARCH_SETTINGS` names
    #[argh(option)]
    settings: Option<PathBuf>,
    /// read and check the settings, say what is wrong with them, and end
    #[argh(switch)]
    check: bool,
}

/// What a program is started with.
pub struct ProgramContext {
    /// Its settings.
    pub settings: Settings,
    /// The file that the settings were read from.
    pub settings_path: PathBuf,
    /// Its log.
    pub log_ring: LogRing,
}

/// Reads arguments and settings, checks them, also with the program's own `check`, and runs the program. An error is written
/// to standard error after the buffered log, which is written out when the program panics as well.
pub fn run(
    name: &'static str,
    check: impl FnOnce(&Settings) -> eyre::Result<()>,
    run: impl FnOnce(ProgramContext) -> eyre::Result<()>,
) -> ExitCode {
    let arguments: Arguments = argh::from_env();
    let log_ring = LogRing::default();
    let (panic_log, default_hook) = (log_ring.clone(), std::panic::take_hook());
    std::panic::set_hook(Box::new(move |panic| {
        panic_log.write_out();
        default_hook(panic);
    }));
    match prepare(arguments, check, &log_ring)
        .and_then(|context| context.map_or(Ok(()), run))
        .wrap_err(name)
    {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            log_ring.write_out();
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn prepare(
    arguments: Arguments,
    check: impl FnOnce(&Settings) -> eyre::Result<()>,
    log_ring: &LogRing,
) -> eyre::Result<Option<ProgramContext>> {
    let path = arguments
        .settings
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let settings_path = path.ok_or_else(|| {
        eyre!("no settings: neither --settings nor {SETTINGS_VARIABLE} names a file")
    })?;
    let settings = Settings::load(&settings_path)?;
    check(&settings).wrap_err_with(|| format!("in {}", settings_path.display()))?;
    if arguments.check {
        println!("{}: in order", settings_path.display());
        return Ok(None);
    }
    Ok(Some(ProgramContext {
        settings,
        settings_path,
        log_ring: log_ring.clone(),
    }))
}
