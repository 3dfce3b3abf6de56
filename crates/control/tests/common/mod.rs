//! Set-up that the cluster tests share.

#![allow(dead_code)]

use control::operator_api::{Command, Reply};
use protocol::messages::NodeInfo;
use simulation::cluster::{Cluster, SECOND};

/// All replicas of the cluster.
pub const ALL: [usize; 6] = [0, 1, 2, 3, 4, 5];

/// A cluster of six replicas, three seconds after its start.
pub fn started(seed: u64) -> Cluster {
    let mut cluster = Cluster::new(seed);
    cluster.run_to(3 * SECOND);
    cluster
}

/// The configuration as this replica returns it to an operator.
pub fn read_back(cluster: &mut Cluster, replica: usize) -> String {
    match cluster.ask(replica, Command::GetConfiguration) {
        Some(Reply::Items(body)) => String::from_utf8(body).unwrap(),
        other => panic!("{other:?}"),
    }
}

/// An edge of this name, in this zone of region `r`.
pub fn edge(name: &str, zone: &str) -> NodeInfo {
    let http = "10.1.0.9:8686".parse().unwrap();
    NodeInfo {
        name: name.to_string(),
        zone: zone.to_string(),
        region: "r".to_string(),
        http_address: http,
    }
}
