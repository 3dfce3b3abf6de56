//! The cases of the review that are scripts: `review-standin CASE RECORD`. With `TROUBLE=0` a case is played without its
//! disruption. RECORD is the file that takes what was sent, answered and run. Exit code 0: the rule held; 1: it was broken; 2: the case could not run.

mod readback;
mod unframed;
#[allow(dead_code)]
mod world;

use std::path::Path;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, case, record_path] = arguments.as_slice() else {
        world::fail_to_run("usage: review-standin CASE RECORD");
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let record = world::Record::new();
    record.note(format!("case {case}, trouble: {trouble}"));
    let play = match case.as_str() {
        "unframed" => unframed::play,
        "readback" => readback::play,
        other => world::fail_to_run(&format!("no case {other}")),
    };
    let held = play(&record, trouble);
    record.note(match held {
        Some(true) => "the rule held",
        Some(false) => "the rule was broken",
        None => "the case could not run",
    });
    record.write(Path::new(record_path));
    std::process::exit(match held {
        Some(true) => 0,
        Some(false) => 1,
        None => 2,
    });
}
