//! An agent and a proxy on one machine: whichever is lost, the other stays, and what was lost returns to the newest.

use std::path::Path;
use std::time::{Duration, Instant};

use emulator::system::machines::{Role, beside, net};
use emulator::system::operator::Change;
use emulator::system::wait_for;
use emulator::system::whole::{READS, SERVICES, Size, Whole, route};
use tempfile::TempDir;

fn soon() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

fn one_edge(folder: &TempDir) -> Whole {
    let programs = beside(Path::new(env!("CARGO_BIN_EXE_agent")), env!("CARGO"));
    let size = Size {
        zones: 1,
        edges: 1,
        net: net(),
    };
    Whole::start(folder.path(), &programs, size, soon()).unwrap()
}

fn reads_go_to(whole: &mut Whole, ver: u64, svc: &str) {
    let change = Change::default().set("routes", "reads", ver, route(READS, svc));
    whole.operator.change(&change, soon()).unwrap();
}

fn served_by(whole: &Whole, svc: &str) -> bool {
    wait_for(soon(), || {
        (whole.served_by(0, "/read/1").as_deref() == Some(svc)).then_some(())
    })
    .is_some()
}

#[test]
fn edge_serves_newest_items_after_either_program_is_killed() {
    let folder = TempDir::new().unwrap();
    let mut whole = one_edge(&folder);
    assert!(served_by(&whole, SERVICES[0]));
    whole.machines.kill(Role::Proxy, 0);
    reads_go_to(&mut whole, 2, SERVICES[1]);
    whole.machines.start(Role::Proxy, 0).unwrap();
    assert!(whole.machines.all_ready(soon()));
    assert_eq!(whole.served_by(0, "/read/1").as_deref(), Some(SERVICES[1]));

    whole.machines.kill(Role::Agent, 0);
    reads_go_to(&mut whole, 3, SERVICES[0]);
    assert_eq!(whole.served_by(0, "/read/2").as_deref(), Some(SERVICES[1]));
    whole.machines.start(Role::Agent, 0).unwrap();
    assert!(served_by(&whole, SERVICES[0]));
    assert_eq!(whole.machines.stop(), Vec::<String>::new());
}

#[test]
fn invalid_settings_at_sighup_are_logged_and_ignored() {
    let folder = TempDir::new().unwrap();
    let mut whole = one_edge(&folder);
    std::fs::write(whole.machines.file(Role::Agent, 0, "yaml"), "node: [").unwrap();
    for role in [Role::Control, Role::Proxy, Role::Agent] {
        whole.machines.tell_to_read(role, 0);
    }
    let named = || {
        whole
            .machines
            .log(Role::Agent, 0)
            .contains("WARN settings rejected error=")
            .then_some(())
    };
    assert!(
        wait_for(soon(), named).is_some(),
        "{}",
        whole.machines.log(Role::Agent, 0)
    );
    reads_go_to(&mut whole, 2, SERVICES[1]);
    assert!(served_by(&whole, SERVICES[1]));
    assert_eq!(whole.machines.stop(), Vec::<String>::new());
}
