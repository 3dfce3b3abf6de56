//! The start of a program of the system: its arguments, settings, log and exit code.

use std::path::PathBuf;
use std::process::ExitCode;

use argh::FromArgs;
use eyre::{WrapErr, eyre};

use crate::log_ring::LogRing;
use crate::settings::{SETTINGS_VARIABLE, Settings};

/// A program of the streamarch system; docs/system.md describes each of them.
#[derive(FromArgs)]
struct Arguments {
    /// the settings file; overrides the environment variable `STREAMARCH_SETTINGS`
    #[argh(option)]
    settings: Option<PathBuf>,
    /// check the settings, report the first error and exit
    #[argh(switch)]
    check: bool,
}

/// The context that a program is started with.
pub struct ProgramContext {
    /// The settings of the program.
    pub settings: Settings,
    /// The path of the file that the settings were read from.
    pub settings_path: PathBuf,
    /// The log of the program.
    pub log_ring: LogRing,
}

/// Reads arguments and settings, validates the settings, also with the program's own `check`, and runs the program. The
/// buffered log is written to standard error before the error that ended the program, and before the message of a panic.
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

/// Loads and checks the settings; `None` if the program was only asked to check them.
fn prepare(
    arguments: Arguments,
    check: impl FnOnce(&Settings) -> eyre::Result<()>,
    log_ring: &LogRing,
) -> eyre::Result<Option<ProgramContext>> {
    let path = arguments
        .settings
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let settings_path =
        path.ok_or_else(|| eyre!("no settings file: set --settings or {SETTINGS_VARIABLE}"))?;
    let settings = Settings::load(&settings_path)?;
    check(&settings).wrap_err_with(|| format!("in {}", settings_path.display()))?;
    if arguments.check {
        println!("{}: settings are valid", settings_path.display());
        return Ok(None);
    }
    Ok(Some(ProgramContext {
        settings,
        settings_path,
        log_ring: log_ring.clone(),
    }))
}
