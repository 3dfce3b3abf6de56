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
        warm_up_left_us: 0,
    }
}

fn server_table(servers: Vec<Server>) -> ServerTable {
    let zones = [("a", "r"), ("b", "r"), ("c", "q")].map(|(z, r)| (z.to_string(), r.to_string()));
    let mut server_table = ServerTable::new("a", zones.into());
    server_table.update(NOW, (1, 1), servers);
    server_table
}

/// The instance ids of the servers that may receive requests, and their weights.
fn ready(server_table: &ServerTable, now: Micros, regions: &[&str]) -> Vec<(String, f64)> {
    let regions: Vec<String> = regions.iter().map(|region| region.to_string()).collect();
    let entries = server_table.entries(now, "s", &regions);
    let ready = entries
        .iter()
        .filter(|entry| entry.state == ServerState::Ready);
    ready
        .map(|entry| {
            (
                server_table.get(entry.server).unwrap().listing.id.clone(),
                entry.weight,
            )
        })
        .collect()
}

#[test]
fn near_servers_have_greater_weight_and_disallowed_regions_are_excluded() {
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
fn server_receives_no_requests_until_its_warm_up_ends() {
    let server_table = server_table(vec![Server {
        warm_up_left_us: 500,
        ..server("i-a", "a")
    }]);
    assert!(ready(&server_table, NOW + 499, &[]).is_empty());
    assert_eq!(server_table.next_warm_up_end(NOW), Some(NOW + 500));
    assert_eq!(ready(&server_table, NOW + 500, &[]).len(), 1);
}

#[test]
fn zone_is_warming_up_after_its_evacuation_whatever_the_list_says() {
    let mut server_table = server_table(vec![server("i-a", "a"), server("i-b", "b")]);
    server_table.set_evacuated_zones(NOW, &["b".to_string()].into(), Vec::new(), 3_000);
    assert_eq!(ready(&server_table, NOW, &[]).len(), 1);
    server_table.set_evacuated_zones(NOW, &BTreeSet::new(), vec!["b".to_string()], 3_000);
    server_table.update(NOW, (1, 2), vec![server("i-a", "a"), server("i-b", "b")]);
    assert_eq!(ready(&server_table, NOW + 2_999, &[]).len(), 1);
    assert_eq!(ready(&server_table, NOW + 3_000, &[]).len(), 2);
}

#[test]
fn older_list_has_no_effect_and_a_new_instance_has_a_new_id() {
    let mut server_table = server_table(vec![server("i-a", "a")]);
    let first_server_id = server_table.entries(NOW, "s", &[])[0].server;
    assert!(server_table.update(NOW, (2, 1), vec![server("i-z", "a")]));
    assert!(!server_table.update(NOW, (1, 9), vec![server("i-a", "a")]));
    let second_server_id = server_table.entries(NOW, "s", &[])[0].server;
    assert!(second_server_id != first_server_id && server_table.get(first_server_id).is_none());
}

#[test]
fn replaced_server_receives_no_requests_until_a_new_address_is_listed() {
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
