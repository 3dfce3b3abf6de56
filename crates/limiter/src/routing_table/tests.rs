use super::*;

fn line(index: u64, full: bool, entries: &[(&str, &str)]) -> Vec<u8> {
    let entry = |(name, status): &(&str, &str)| {
        format!(
            "{{\"name\":\"{name}\",\"address\":\"127.0.0.1:80\",\"zone\":\"b\",\"type\":\"m2\",\"group\":3,\
                 \"status\":\"{status}\",\"weight\":1.5,\"since_ms\":7}}"
        )
    };
    let entries: Vec<String> = entries.iter().map(entry).collect();
    format!(
        "{{\"index\":{index},\"snapshot\":{full},\"endpoints\":[{}]}}\n",
        entries.join(",")
    )
    .into_bytes()
}

fn table() -> RoutingTable {
    RoutingTable::new(vec!["a".into(), "b".into()], vec!["m1".into(), "m2".into()])
}

#[test]
fn entries_are_read_and_a_name_keeps_its_number() {
    let mut table = table();
    let news = table
        .apply_line(&line(4, true, &[("s-1", "Ready"), ("s-2", "Ready")]))
        .unwrap()
        .unwrap();
    let first = &news.entries[0];
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
        .apply_line(&line(5, false, &[("s-1", "Terminating")]))
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
fn what_is_gone_or_missing_from_a_whole_list_is_told_as_gone_once() {
    let mut table = table();
    table
        .apply_line(&line(
            1,
            true,
            &[("s-1", "Ready"), ("s-2", "Ready"), ("s-3", "Ready")],
        ))
        .unwrap();
    let news = table
        .apply_line(&line(2, false, &[("s-1", "Gone"), ("s-9", "Gone")]))
        .unwrap()
        .unwrap();
    assert_eq!(
        (news.entries.len(), news.removed.len()),
        (1, 1),
        "of s-9 nobody had heard"
    );
    let news = table
        .apply_line(&line(3, true, &[("s-3", "Ready")]))
        .unwrap()
        .unwrap();
    assert_eq!((news.entries.len(), news.removed.len()), (1, 1));
    let back = table
        .apply_line(&line(4, false, &[("s-1", "Ready")]))
        .unwrap()
        .unwrap();
    assert!(back.entries[0].server.0 > 3, "a number is not used twice");
}

#[test]
fn a_bad_line_changes_nothing_and_an_empty_one_says_nothing() {
    let mut table = table();
    table
        .apply_line(&line(1, true, &[("s-1", "Ready")]))
        .unwrap();
    let good = String::from_utf8(line(2, true, &[("s-2", "Ready"), ("s-3", "Ready")])).unwrap();
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
                .apply_line(good.replacen(from, to, 1).as_bytes())
                .is_err(),
            "{from}"
        );
    }
    assert_eq!((table.list_version, table.listed.len()), (1, 1));
    assert_eq!(table.apply_line(b"\r\n"), Ok(None));
}

#[test]
fn lists_of_a_large_fleet_change_all_at_once_to_none_and_back() {
    let mut table = table();
    let names: Vec<String> = (0..60).map(|n| format!("s-{n}")).collect();
    let all = |status: &'static str| {
        names
            .iter()
            .map(|n| (n.as_str(), status))
            .collect::<Vec<_>>()
    };
    let first = table
        .apply_line(&line(1, true, &all("Ready")))
        .unwrap()
        .unwrap();
    assert_eq!((first.entries.len(), first.removed.len()), (60, 0));
    // Sixty changes in one line, each of a server known before.
    let drained = table
        .apply_line(&line(2, false, &all("Terminating")))
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
    let gone = table
        .apply_line(&line(3, false, &all("Gone")))
        .unwrap()
        .unwrap();
    assert_eq!((gone.entries.len(), gone.removed.len()), (60, 60));
    // The same once more, and a whole list that is empty, say nothing new.
    for again in [line(3, false, &all("Gone")), line(4, true, &[])] {
        let news = table.apply_line(&again).unwrap().unwrap();
        assert_eq!((news.entries.len(), news.removed.len()), (0, 0));
    }
    let back = table
        .apply_line(&line(5, true, &all("Ready")))
        .unwrap()
        .unwrap();
    assert!(back.entries.iter().all(|e| e.server.0 > 60) && table.has_usable_server());
}

/// Random lists, calls out and back, and records of another process, against a model that knows each server's state
/// by the list and whether it is out: what was told of it last is that of the model.
#[test]
fn bans_hold_over_any_list_and_end_with_one_call_back() {
    fn property(steps: Vec<(u8, u8)>) -> bool {
        let names = ["s-0", "s-1", "s-2"];
        let states = ["Ready", "Terminating", "Gone"];
        let (mut table, mut other) = (table(), table());
        let mut told = std::collections::BTreeMap::<ServerId, ServerState>::new();
        let mut listed = [None::<&str>; 3];
        let (mut ever, mut out) = ([false; 3], [false; 3]);
        for (now, (step, which)) in steps.into_iter().enumerate() {
            let (now, at) = (now as Micros + 1, usize::from(which % 3));
            let state = states[usize::from(which / 3 % 3)];
            let news = match step % 6 {
                0 | 1 => {
                    listed[at] = Some(state).filter(|s| *s != "Gone");
                    ever[at] |= state != "Gone";
                    table
                        .apply_line(&line(now as u64, false, &[(names[at], state)]))
                        .unwrap()
                        .unwrap()
                }
                2 => {
                    listed = [None; 3];
                    listed[at] = Some("Ready");
                    ever[at] = true;
                    table
                        .apply_line(&line(now as u64, true, &[(names[at], "Ready")]))
                        .unwrap()
                        .unwrap()
                }
                call => {
                    let disables = call < 5;
                    let done = match call {
                        3 | 4 => table.disable(names[at], now),
                        _ => table.enable(names[at], now),
                    };
                    if done.is_ok() != ever[at] {
                        return false;
                    }
                    let Ok((changed, news)) = done else { continue };
                    if changed != (out[at] != disables) {
                        return false;
                    }
                    out[at] = disables;
                    news
                }
            };
            told.extend(news.entries.iter().map(|entry| (entry.server, entry.state)));
            news.removed
                .iter()
                .for_each(|server| _ = told.remove(server));
            // The other process hears of it, and has nothing to add.
            other.merge(table.disabled_servers());
            if other.disabled_servers() != table.disabled_servers()
                || !table.merge(other.disabled_servers()).entries.is_empty()
            {
                return false;
            }
            let known = |at: usize| {
                table
                    .listed
                    .get(names[at])
                    .map(|known| told.get(&known.entry.server))
            };
            for at in 0..3 {
                let state = match (listed[at], out[at]) {
                    (None, _) => None,
                    (Some("Ready"), false) => Some(Some(&ServerState::Ready)),
                    _ => Some(Some(&ServerState::Draining)),
                };
                if known(at) != state {
                    return false;
                }
            }
            let ready = (0..3).any(|at| listed[at] == Some("Ready") && !out[at]);
            if table.has_usable_server() != ready {
                return false;
            }
        }
        true
    }
    let seeded = quickcheck::Gen::from_size_and_seed(60, 5);
    let mut check = quickcheck::QuickCheck::new().rng(seeded).tests(2_000);
    check.quickcheck(property as fn(Vec<(u8, u8)>) -> bool);
}

#[test]
fn one_called_back_has_just_started_unless_the_list_tells_of_a_later_start() {
    let mut table = table();
    // The list has it started at 7 ms.
    table
        .apply_line(&line(1, true, &[("s-1", "Ready")]))
        .unwrap();
    table.disable("s-1", 5_000).unwrap();
    let (_, news) = table.enable("s-1", 9_000).unwrap();
    assert_eq!(
        news.entries[0].started_at, 7_000,
        "restarted while it was out"
    );
    table.disable("s-1", 20_000).unwrap();
    table.disable("s-1", 25_000).unwrap();
    let (_, news) = table.enable("s-1", 30_000).unwrap();
    assert_eq!(
        (news.entries[0].started_at, news.entries[0].state),
        (30_000, ServerState::Ready)
    );
    let again = table
        .apply_line(&line(2, false, &[("s-1", "Ready")]))
        .unwrap()
        .unwrap();
    assert_eq!(
        again.entries[0].started_at, 30_000,
        "the list says the same as before"
    );
}
