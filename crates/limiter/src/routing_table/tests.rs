use super::*;

fn list_line(index: u64, is_full: bool, entries: &[(&str, &str)]) -> Vec<u8> {
    let entry = |(name, status): &(&str, &str)| {
        format!(
            "{{\"name\":\"{name}\",\"address\":\"127.0.0.1:80\",\"zone\":\"b\",\"type\":\"m2\",\"group\":3,\
                 \"status\":\"{status}\",\"weight\":1.5,\"since_ms\":7}}"
        )
    };
    let entries: Vec<String> = entries.iter().map(entry).collect();
    format!(
        "{{\"index\":{index},\"snapshot\":{is_full},\"endpoints\":[{}]}}\n",
        entries.join(",")
    )
    .into_bytes()
}

fn table() -> RoutingTable {
    RoutingTable::new(vec!["a".into(), "b".into()], vec!["m1".into(), "m2".into()])
}

#[test]
fn entries_are_parsed_and_a_server_keeps_its_number() {
    let mut table = table();
    let update = table
        .apply_line(&list_line(4, true, &[("s-1", "Ready"), ("s-2", "Ready")]))
        .unwrap()
        .unwrap();
    let first = &update.entries[0];
    assert_eq!(
        (
            first.zone,
            first.machine_type,
            first.cell,
            first.weight,
            first.started_at
        ),
        (1, 1, 3, 1.5, 7_000)
    );
    let again = table
        .apply_line(&list_line(5, false, &[("s-1", "Terminating")]))
        .unwrap()
        .unwrap();
    assert_eq!(
        (again.kind, again.entries[0].server),
        (ListKind::Changes, first.server)
    );
    assert_eq!(
        (again.entries[0].state, table.list_version),
        (ServerState::Draining, 5)
    );
    assert!(table.has_usable_server(), "the other is ready");
}

#[test]
fn a_server_gone_or_absent_from_a_full_list_is_reported_removed_once() {
    let mut table = table();
    table
        .apply_line(&list_line(
            1,
            true,
            &[("s-1", "Ready"), ("s-2", "Ready"), ("s-3", "Ready")],
        ))
        .unwrap();
    let update = table
        .apply_line(&list_line(2, false, &[("s-1", "Gone"), ("s-9", "Gone")]))
        .unwrap()
        .unwrap();
    assert_eq!(
        (update.entries.len(), update.removed.len()),
        (1, 1),
        "s-9 was never listed"
    );
    let update = table
        .apply_line(&list_line(3, true, &[("s-3", "Ready")]))
        .unwrap()
        .unwrap();
    assert_eq!((update.entries.len(), update.removed.len()), (1, 1));
    let back = table
        .apply_line(&list_line(4, false, &[("s-1", "Ready")]))
        .unwrap()
        .unwrap();
    assert!(back.entries[0].server.0 > 3, "numbers are not reused");
}

#[test]
fn malformed_and_blank_lines_change_nothing() {
    let mut table = table();
    table
        .apply_line(&list_line(1, true, &[("s-1", "Ready")]))
        .unwrap();
    let valid =
        String::from_utf8(list_line(2, true, &[("s-2", "Ready"), ("s-3", "Ready")])).unwrap();
    for (from, to) in [
        ("\"index\":2", "\"index\":\"2\""),
        ("true", "1"),
        ("\"s-3\"", "3"),
        ("Ready", "Up"),
        ("127.0.0.1:80", "nowhere"),
        ("endpoints", "hosts"),
        ("{", ""),
    ] {
        assert!(
            table
                .apply_line(valid.replacen(from, to, 1).as_bytes())
                .is_err(),
            "{from}"
        );
    }
    assert_eq!((table.list_version, table.listed.len()), (1, 1));
    assert_eq!(table.apply_line(b"\r\n"), Ok(None));
}

#[test]
fn a_large_fleet_drains_disappears_and_returns_in_single_lines() {
    let mut table = table();
    let names: Vec<String> = (0..60).map(|n| format!("s-{n}")).collect();
    let all = |status: &'static str| {
        names
            .iter()
            .map(|n| (n.as_str(), status))
            .collect::<Vec<_>>()
    };
    let first = table
        .apply_line(&list_line(1, true, &all("Ready")))
        .unwrap()
        .unwrap();
    assert_eq!((first.entries.len(), first.removed.len()), (60, 0));
    // Sixty changes in one line, each of a known server.
    let drained = table
        .apply_line(&list_line(2, false, &all("Terminating")))
        .unwrap()
        .unwrap();
    assert!(
        drained
            .entries
            .iter()
            .zip(&first.entries)
            .all(|(a, b)| a.server == b.server)
    );
    assert!(!table.has_usable_server());
    let removal_update = table
        .apply_line(&list_line(3, false, &all("Gone")))
        .unwrap()
        .unwrap();
    assert_eq!(
        (removal_update.entries.len(), removal_update.removed.len()),
        (60, 60)
    );
    // Repeating the removals, or sending an empty full list, changes nothing.
    for again in [list_line(3, false, &all("Gone")), list_line(4, true, &[])] {
        let update = table.apply_line(&again).unwrap().unwrap();
        assert_eq!((update.entries.len(), update.removed.len()), (0, 0));
    }
    let back = table
        .apply_line(&list_line(5, true, &all("Ready")))
        .unwrap()
        .unwrap();
    assert!(back.entries.iter().all(|e| e.server.0 > 60) && table.has_usable_server());
}

/// Applies random lists, commands and merges with another process, and compares the last reported state of each server
/// with a model that holds its listed state and whether it is disabled.
#[test]
fn disabled_servers_override_any_list_until_enabled_once() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let names = ["s-0", "s-1", "s-2"];
        let states = ["Ready", "Terminating", "Gone"];
        let (mut table, mut other_process) = (table(), table());
        let mut reported = std::collections::BTreeMap::<ServerId, ServerState>::new();
        let mut listed = [None::<&str>; 3];
        let (mut was_listed, mut disabled) = ([false; 3], [false; 3]);
        for (now, (step, selector)) in steps.into_iter().enumerate() {
            let (now, index) = (now as Micros + 1, usize::from(selector % 3));
            let state = states[usize::from(selector / 3 % 3)];
            let update = match step % 6 {
                0 | 1 => {
                    listed[index] = Some(state).filter(|s| *s != "Gone");
                    was_listed[index] |= state != "Gone";
                    table
                        .apply_line(&list_line(now as u64, false, &[(names[index], state)]))
                        .unwrap()
                        .unwrap()
                }
                2 => {
                    listed = [None; 3];
                    listed[index] = Some("Ready");
                    was_listed[index] = true;
                    table
                        .apply_line(&list_line(now as u64, true, &[(names[index], "Ready")]))
                        .unwrap()
                        .unwrap()
                }
                command => {
                    let disables = command < 5;
                    let result = match command {
                        3 | 4 => table.disable(names[index], now),
                        _ => table.enable(names[index], now),
                    };
                    if result.is_ok() != was_listed[index] {
                        return false;
                    }
                    let Ok((changed, update)) = result else {
                        continue;
                    };
                    if changed != (disabled[index] != disables) {
                        return false;
                    }
                    disabled[index] = disables;
                    update
                }
            };
            reported.extend(
                update
                    .entries
                    .iter()
                    .map(|entry| (entry.server, entry.state)),
            );
            update
                .removed
                .iter()
                .for_each(|server| _ = reported.remove(server));
            // The other process merges the changes and has none of its own to return.
            other_process.merge(table.disabled_servers());
            if other_process.disabled_servers() != table.disabled_servers()
                || !table
                    .merge(other_process.disabled_servers())
                    .entries
                    .is_empty()
            {
                return false;
            }
            let reported_state = |index: usize| {
                table
                    .listed
                    .get(names[index])
                    .map(|server| reported.get(&server.entry.server))
            };
            for index in 0..3 {
                let state = match (listed[index], disabled[index]) {
                    (None, _) => None,
                    (Some("Ready"), false) => Some(Some(&ServerState::Ready)),
                    _ => Some(Some(&ServerState::Draining)),
                };
                if reported_state(index) != state {
                    return false;
                }
            }
            let has_usable_server =
                (0..3).any(|index| listed[index] == Some("Ready") && !disabled[index]);
            if table.has_usable_server() != has_usable_server {
                return false;
            }
        }
        true
    }
    let generator = quickcheck::Gen::from_size_and_seed(60, 5);
    let mut check = quickcheck::QuickCheck::new().rng(generator).tests(2_000);
    check.quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn an_enabled_server_counts_as_just_started_unless_the_list_shows_a_later_start() {
    let mut table = table();
    // The list gives a start at 7 ms, which is after the server is disabled.
    table
        .apply_line(&list_line(1, true, &[("s-1", "Ready")]))
        .unwrap();
    table.disable("s-1", 5_000).unwrap();
    let (_, update) = table.enable("s-1", 9_000).unwrap();
    assert_eq!(
        update.entries[0].started_at, 7_000,
        "restarted while it was disabled"
    );
    table.disable("s-1", 20_000).unwrap();
    table.disable("s-1", 25_000).unwrap();
    let (_, update) = table.enable("s-1", 30_000).unwrap();
    assert_eq!(
        (update.entries[0].started_at, update.entries[0].state),
        (30_000, ServerState::Ready)
    );
    let again = table
        .apply_line(&list_line(2, false, &[("s-1", "Ready")]))
        .unwrap()
        .unwrap();
    assert_eq!(
        again.entries[0].started_at, 30_000,
        "the listed start is unchanged"
    );
}
