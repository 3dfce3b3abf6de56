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
    let ring = LogRing::default();
    let (at_panic, usual) = (ring.clone(), std::panic::take_hook());
    std::panic::set_hook(Box::new(move |panic| {
        at_panic.write_out();
        usual(panic);
    }));
    match start(arguments, check, &ring)
        .and_then(|started| started.map_or(Ok(()), run))
        .wrap_err(name)
    {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            ring.write_out();
            eprintln!("{error:#}");
            ExitCode::FAILURE
        }
    }
}

fn start(
    arguments: Arguments,
    check: impl FnOnce(&Settings) -> eyre::Result<()>,
    ring: &LogRing,
) -> eyre::Result<Option<ProgramContext>> {
    let named = arguments
        .settings
        .or_else(|| std::env::var_os(SETTINGS_VARIABLE).map(PathBuf::from));
    let file = named.ok_or_else(|| {
        eyre!("no settings: neither --settings nor {SETTINGS_VARIABLE} names a file")
    })?;
    let settings = Settings::load(&file)?;
    check(&settings).wrap_err_with(|| format!("in {}", file.display()))?;
    if arguments.check {
        println!("{}: in order", file.display());
        return Ok(None);
    }
    Ok(Some(ProgramContext {
        settings,
        settings_path: file,
        log_ring: ring.clone(),
    }))
}
