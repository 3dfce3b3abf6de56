//! CONFIG: routes are split by weights that a program has computed (one eleventh, one thirteenth, ...). What the operator
//! reads back at the end of the day must be what was sent.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::world::{Record, System};

/// The parts into which a day's changes split the routes, and their weights with few digits for the play without trouble.
const PARTS: [u32; 6] = [11, 13, 17, 21, 53, 70];

/// A route split between two services; `first` is the weight of one of them.
fn route(number: usize, version: u64, first: &str, second: &str) -> String {
    format!(
        r#"{{"type":"routes","meta":{{"name":"r-{number}","ver":{version}}},"spec":{{"host":"records.example","prefix":"/part{number}/","kind":"idem","timeout":"3000ms","target_time":"500ms","prio":2,"split":[{{"svc":"titulos","wt":{first}}},{{"svc":"historial","wt":{second}}}],"tries":2,"public":true,"pins":[]}}}}"#
    )
}

fn patch(objects: &[String]) -> String {
    format!(r#"{{"upsert":{{"objs":[{}]}},"remove":{{"routes":[]}}}}"#, objects.join(","))
}

/// The weights of a route in a configuration that was read, as they stand in the text.
fn weights(text: &str, number: usize) -> Option<(u64, Vec<String>)> {
    let object = text.split("{\"type\":").find(|object| object.contains(&format!("\"name\":\"r-{number}\"")))?;
    let version = object.split("\"ver\":").nth(1)?.split(|c: char| !c.is_ascii_digit()).next()?.parse().ok()?;
    let weight = |part: &str| part.split(['}', ',', ']']).next().unwrap_or("").trim().to_string();
    Some((version, object.split("\"wt\":").skip(1).map(weight).collect()))
}

pub fn play(record: &Arc<Record>, trouble: bool) -> Option<bool> {
    let system = System::start();
    let service = |name: &str| {
        format!(r#"{{"type":"svcs","meta":{{"name":"{name}","ver":3}},"spec":{{"hcheck":"/healthz","maxconn":120,"proto":"h1","tls":false,"warmup":"3s","cold_rate_s":20.0}}}}"#)
    };
    let mut objects = vec![service("titulos"), service("historial")];
    objects.extend((0..PARTS.len()).map(|number| route(number, 3, "90", "10")));
    let first = system.order("POST", "/api/cfg/patch", &patch(&objects), Duration::from_secs(20));
    record.note(format!("first configuration: {:?}", first.as_ref().map(|(status, _)| *status)));
    first.filter(|(status, _)| *status == 200)?;
    // A change of the weights each half second, as a day of the bench has them.
    let mut sent = Vec::new();
    for (number, part) in PARTS.into_iter().enumerate() {
        thread::sleep(Duration::from_millis(500));
        let share = 1.0 / f64::from(part);
        // The shortest texts that stand for these numbers, as JSON encoders write them.
        let (one, rest) = if trouble { (share.to_string(), (1.0 - share).to_string()) } else { (format!("{share:.3}"), format!("{:.3}", 1.0 - share)) };
        let version = 5 + number as u64;
        let body = patch(&[route(number, version, &one, &rest)]);
        let answer = system.order("POST", "/api/cfg/patch", &body, Duration::from_secs(8));
        record.note(format!("sent r-{number} ver {version} wt {one} and {rest}: {:?}", answer.as_ref().map(|(status, _)| *status)));
        answer.filter(|(status, _)| *status == 200)?;
        sent.push((number, version, vec![one, rest]));
    }
    // Longer than `apply`.
    thread::sleep(Duration::from_secs(5));
    let mut differing = 0;
    for address in &system.ctl {
        let answer = crate::world::call(*address, "GET", "/api/cfg/get", "").ok().filter(|answer| answer.status() == 200)?;
        let text = String::from_utf8_lossy(&answer.body).to_string();
        for (number, version, wanted) in &sent {
            let Some((read_version, read)) = weights(&text, *number) else {
                record.note(format!("{address}: r-{number} is absent"));
                differing += 1;
                continue;
            };
            // Compared as numbers, not as texts.
            let numbers = |texts: &[String]| texts.iter().map(|t| t.parse::<f64>().ok()).collect::<Vec<_>>();
            let is_same = read_version == *version && numbers(&read) == numbers(wanted);
            record.note(format!("{address}: r-{number} ver {read_version} wt {} {}", read.join(" and "), if is_same { "as sent" } else { "DIFFERS from what was sent" }));
            differing += usize::from(!is_same);
        }
    }
    record.note(format!("{differing} items read back differ from what was sent"));
    Some(differing == 0)
}
