use super::*;
use std::process::Command;

fn state(pid: u32) -> Option<char> {
    let text = std::fs::read_to_string(format!("/proc/{pid}/stat")).ok()?;
    text.rsplit_once(") ")?.1.chars().next()
}

#[test]
fn a_limiter_stands_still_for_its_time_and_all_go_on_at_the_end() {
    let text =
        r#"{"faults": [{"kind": "pause", "on": "limiter:1", "at_s": 0.05, "for_ms": 60000}]}"#;
    let plan: WorldPlan = config_check::parse_json(text).unwrap();
    assert!(
        plan.check(2).is_ok() && plan.check(1).is_err(),
        "there is no limiter 1 of one"
    );
    let wrong: WorldPlan = config_check::parse_json(&text.replace("limiter:1", "counter")).unwrap();
    assert!(wrong.check(2).is_err(), "only a limiter pauses");
    let mut children: Vec<_> = (0..2)
        .map(|_| Command::new("sleep").arg("30").spawn().unwrap())
        .collect();
    let pids = children.iter().map(|c| c.id() as i32).collect();
    let mut pauses = Pauses::begin(&plan, pids, 120_000_000);
    thread::sleep(Duration::from_millis(400));
    assert_eq!(
        [state(children[0].id()), state(children[1].id())],
        [Some('S'), Some('T')]
    );
    assert_eq!(pauses.end(), 1);
    thread::sleep(Duration::from_millis(50));
    assert_eq!(
        state(children[1].id()),
        Some('S'),
        "let go on before the end of its pause"
    );
    for child in &mut children {
        child.kill().unwrap();
        child.wait().unwrap();
    }
}
