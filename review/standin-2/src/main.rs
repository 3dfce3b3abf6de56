//! Stand-ins and drivers of the cases 4 to 8 of the review.

mod cases;
mod http;
mod server;
mod system;

use std::process::ExitCode;
use std::time::Duration;

/// The longest time that a case may take.
const LONGEST: Duration = Duration::from_secs(117);

fn main() -> ExitCode {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let word = |index: usize| args.get(index).map(String::as_str).unwrap_or_default();
    if word(0) == "server" {
        let server = server::Server {
            id: word(2).to_string(),
            work: Duration::from_millis(word(3).parse().unwrap_or(50)),
            mode: word(4).to_string(),
            size: word(5).parse().unwrap_or(1000),
        };
        server::run(word(1).parse().expect("an address"), server);
        return ExitCode::SUCCESS;
    }
    system::raise_descriptor_limit();
    std::thread::spawn(|| {
        std::thread::sleep(LONGEST);
        eprintln!("took too long");
        std::fs::remove_dir_all(system::folder()).ok();
        // The programs that were started end with this one.
        std::process::exit(2);
    });
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = system::Record::new();
    let result = cases::run(word(0), trouble, &record);
    let (text, code) = match &result {
        Ok(Ok(())) => ("the rule held".to_string(), 0),
        Ok(Err(broken)) => (format!("THE RULE WAS BROKEN: {broken}"), 1),
        Err(error) => (format!("could not run: {error}"), 2),
    };
    record.line(text);
    record.save(word(1));
    ExitCode::from(code)
}
