//! An agent and a proxy on one machine: the loss of one must not affect the other, and after its restart it must have the
//! newest configuration.

use std::path::Path;
use std::time::{Duration, Instant};

use emulator::system::machines::{Role, built_programs_folder, unused_net};
use emulator::system::operator::Change;
use emulator::system::test_system::{READ_PREFIX, SERVICES, Size, TestSystem, route};
use emulator::system::wait_for;
use tempfile::TempDir;

fn test_deadline() -> Instant {
    Instant::now() + Duration::from_secs(12)
}

fn start_one_edge(folder: &TempDir) -> TestSystem {
    let programs = built_programs_folder(Path::new(env!("CARGO_BIN_EXE_agent")), env!("CARGO"));
    let size = Size {
        zones: 1,
        edges: 1,
        net: unused_net(),
    };
    TestSystem::start(folder.path(), &programs, size, test_deadline()).unwrap()
}

fn route_reads_to(system: &mut TestSystem, version: u64, service: &str) {
    let change = Change::default().set("routes", "reads", version, route(READ_PREFIX, service));
    system.operator.change(&change, test_deadline()).unwrap();
}

fn reads_are_served_by(system: &TestSystem, service: &str) -> bool {
    wait_for(test_deadline(), || {
        (system.served_by(0, "/read/1").as_deref() == Some(service)).then_some(())
    })
    .is_some()
}

#[test]
fn edge_serves_newest_items_after_either_program_is_killed() {
    let folder = TempDir::new().unwrap();
    let mut system = start_one_edge(&folder);
    assert!(reads_are_served_by(&system, SERVICES[0]));
    system.machines.kill(Role::Proxy, 0);
    route_reads_to(&mut system, 2, SERVICES[1]);
    system.machines.start(Role::Proxy, 0).unwrap();
    assert!(system.machines.wait_until_ready(test_deadline()));
    assert_eq!(system.served_by(0, "/read/1").as_deref(), Some(SERVICES[1]));

    system.machines.kill(Role::Agent, 0);
    route_reads_to(&mut system, 3, SERVICES[0]);
    assert_eq!(system.served_by(0, "/read/2").as_deref(), Some(SERVICES[1]));
    system.machines.start(Role::Agent, 0).unwrap();
    assert!(reads_are_served_by(&system, SERVICES[0]));
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}

#[test]
fn invalid_settings_at_sighup_are_logged_and_ignored() {
    let folder = TempDir::new().unwrap();
    let mut system = start_one_edge(&folder);
    std::fs::write(system.machines.file(Role::Agent, 0, "yaml"), "node: [").unwrap();
    for role in [Role::Control, Role::Proxy, Role::Agent] {
        system.machines.reload_settings(role, 0);
    }
    let rejection_logged = || {
        system
            .machines
            .log(Role::Agent, 0)
            .contains("WARN settings rejected error=")
            .then_some(())
    };
    assert!(
        wait_for(test_deadline(), rejection_logged).is_some(),
        "{}",
        system.machines.log(Role::Agent, 0)
    );
    route_reads_to(&mut system, 2, SERVICES[1]);
    assert!(reads_are_served_by(&system, SERVICES[1]));
    assert_eq!(system.machines.stop(), Vec::<String>::new());
}
