use super::*;

const NOW: Micros = 1_000_000;

fn server(id: &str, zone: &str) -> Server {
    let addr = "10.128.0.9:8080".parse().unwrap();
    Server {
        id: id.into(),
        svc: "s".into(),
        addr,
        zone: zone.into(),
        slots: 2,
        accepts_requests: true,
        warm_up_left: 0,
    }
}

fn server_table(servers: Vec<Server>) -> ServerTable {
    let zones = [("a", "r"), ("b", "r"), ("c", "q")].map(|(z, r)| (z.to_string(), r.to_string()));
    let mut server_table = ServerTable::new("a", zones.into());
    server_table.update(NOW, (1, 1), servers);
    server_table
}

/// The ids that may receive requests, and their weights.
fn ready(server_table: &ServerTable, now: Micros, pins: &[&str]) -> Vec<(String, f64)> {
    let pins: Vec<String> = pins.iter().map(|pin| pin.to_string()).collect();
    let entries = server_table.entries(now, "s", &pins);
    let ready = entries
        .iter()
        .filter(|entry| entry.state == ServerState::Ready);
    ready
        .map(|e| {
            (
                server_table.get(e.server).unwrap().listing.id.clone(),
                e.weight,
            )
        })
        .collect()
}

#[test]
fn near_servers_weigh_more_and_other_regions_are_left_out() {
    let server_table = server_table(vec![
        server("i-a", "a"),
        server("i-b", "b"),
        server("i-c", "c"),
    ]);
    let weights = ready(&server_table, NOW, &[]);
    assert!(
        weights[0].1 > weights[1].1 && weights[1].1 > 5.0 * weights[2].1,
        "{weights:?}"
    );
    assert_eq!(ready(&server_table, NOW, &["q"]).len(), 1);
}

#[test]
fn cold_server_gets_nothing_until_it_is_warm() {
    let server_table = server_table(vec![Server {
        warm_up_left: 500,
        ..server("i-a", "a")
    }]);
    assert!(ready(&server_table, NOW + 499, &[]).is_empty());
    assert_eq!(server_table.next_warm_up_end(NOW), Some(NOW + 500));
    assert_eq!(ready(&server_table, NOW + 500, &[]).len(), 1);
}

#[test]
fn returned_zone_counts_as_cold_whatever_the_list_says() {
    let mut server_table = server_table(vec![server("i-a", "a"), server("i-b", "b")]);
    server_table.set_evacuated_zones(NOW, &["b".to_string()].into(), Vec::new(), 3_000);
    assert_eq!(ready(&server_table, NOW, &[]).len(), 1);
    server_table.set_evacuated_zones(NOW, &BTreeSet::new(), vec!["b".to_string()], 3_000);
    server_table.update(NOW, (1, 2), vec![server("i-a", "a"), server("i-b", "b")]);
    assert_eq!(ready(&server_table, NOW + 2_999, &[]).len(), 1);
    assert_eq!(ready(&server_table, NOW + 3_000, &[]).len(), 2);
}

#[test]
fn older_list_changes_nothing_and_a_new_incarnation_has_a_new_number() {
    let mut server_table = server_table(vec![server("i-a", "a")]);
    let old = server_table.entries(NOW, "s", &[])[0].server;
    assert!(server_table.update(NOW, (2, 1), vec![server("i-z", "a")]));
    assert!(!server_table.update(NOW, (1, 9), vec![server("i-a", "a")]));
    let new = server_table.entries(NOW, "s", &[])[0].server;
    assert!(new != old && server_table.get(old).is_none());
}

#[test]
fn replaced_server_gets_nothing_until_its_address_is_listed_anew() {
    let mut server_table = server_table(vec![server("i-a", "a")]);
    server_table.mark_replaced(server_table.entries(NOW, "s", &[])[0].server);
    server_table.update(NOW, (1, 2), vec![server("i-a", "a")]);
    assert!(ready(&server_table, NOW, &[]).is_empty());
    let moved = Server {
        addr: "10.128.0.10:8080".parse().unwrap(),
        ..server("i-a", "a")
    };
    server_table.update(NOW, (1, 3), vec![moved]);
    assert_eq!(ready(&server_table, NOW, &[]).len(), 1);
}
