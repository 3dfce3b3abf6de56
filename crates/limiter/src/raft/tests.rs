use super::*;

/// Three members that deliver each other's messages at once.
struct Cluster {
    folder: tempfile::TempDir,
    members: Vec<Option<Member>>,
}

impl Cluster {
    fn new() -> Cluster {
        let mut cluster = Cluster {
            folder: tempfile::tempdir().unwrap(),
            members: (0..3).map(|_| None).collect(),
        };
        (1..=3).for_each(|id| cluster.open(id));
        cluster
    }

    fn open(&mut self, id: u64) {
        let folder = self.folder.path().join(id.to_string());
        self.members[id as usize - 1] = Some(Member::open(id, &[1, 2, 3], &folder).unwrap());
    }

    fn deliver(&mut self, output: StepOutput) {
        let mut messages = output.messages;
        while let Some(message) = messages.pop() {
            if let Some(member) = &mut self.members[message.to as usize - 1] {
                messages.extend(member.receive(&message.bytes).unwrap().messages);
            }
        }
    }

    fn run_ticks(&mut self, ticks: usize) {
        for _ in 0..ticks {
            for index in 0..3 {
                if let Some(member) = &mut self.members[index] {
                    let output = member.tick().unwrap();
                    self.deliver(output);
                }
            }
        }
    }

    fn leader(&self) -> u64 {
        let is_leader = |m: &&Member| m.is_leader();
        let leaders: Vec<u64> = self
            .members
            .iter()
            .flatten()
            .filter(is_leader)
            .map(|m| m.id)
            .collect();
        assert_eq!(leaders.len(), 1, "exactly one leader");
        leaders[0]
    }

    fn propose(&mut self, text: &str) {
        let leader = self.leader();
        let output = self.members[leader as usize - 1]
            .as_mut()
            .unwrap()
            .propose(text.as_bytes())
            .unwrap();
        self.deliver(output);
    }

    fn documents(&self) -> Vec<&[u8]> {
        self.members
            .iter()
            .flatten()
            .map(|member| member.document().0)
            .collect()
    }
}

#[test]
fn a_new_leader_keeps_committed_documents_and_a_restarted_member_catches_up() {
    let mut cluster = Cluster::new();
    cluster.run_ticks(30);
    cluster.propose("{\"a\":1}");
    cluster.run_ticks(5);
    assert_eq!(cluster.documents(), [b"{\"a\":1}"; 3]);
    let first_leader = cluster.leader();
    cluster.members[first_leader as usize - 1] = None;
    cluster.run_ticks(60);
    assert_ne!(cluster.leader(), first_leader);
    cluster.propose("{\"a\":2}");
    cluster.open(first_leader);
    cluster.run_ticks(60);
    assert_eq!(cluster.documents(), [b"{\"a\":2}"; 3]);
}

#[test]
fn a_committed_document_survives_a_restart_of_all_members() {
    let mut cluster = Cluster::new();
    cluster.run_ticks(30);
    cluster.propose("{\"a\":1}");
    cluster.run_ticks(5);
    for id in 1..=3 {
        cluster.members[id as usize - 1] = None;
        cluster.open(id);
    }
    cluster.run_ticks(60);
    assert_eq!(cluster.documents(), [b"{\"a\":1}"; 3]);
}

#[test]
fn a_leader_whose_messages_are_lost_commits_nothing() {
    let mut cluster = Cluster::new();
    cluster.run_ticks(30);
    let leader = cluster.leader();
    let output = cluster.members[leader as usize - 1]
        .as_mut()
        .unwrap()
        .propose(b"{\"lost\":1}")
        .unwrap();
    drop(output);
    assert!(
        cluster
            .documents()
            .iter()
            .all(|document| *document == b"{}")
    );
}

#[test]
fn invalid_documents_and_messages_are_rejected() {
    let mut cluster = Cluster::new();
    cluster.run_ticks(30);
    let leader = cluster.leader();
    let follower = if leader == 1 { 2 } else { 1 };
    let member = cluster.members[leader as usize - 1].as_mut().unwrap();
    for bad in [
        "",
        "[]",
        "{",
        &format!("{{\"a\":\"{}\"}}", "x".repeat(MAX_DOCUMENT_BYTES)),
    ] {
        assert!(matches!(
            member.propose(bad.as_bytes()),
            Err(RaftError::BadDocument)
        ));
    }
    assert!(member.receive(b"\xff\xff").is_err());
    let member = cluster.members[follower as usize - 1].as_mut().unwrap();
    assert!(matches!(member.propose(b"{}"), Err(RaftError::NotLeader(Some(id))) if id == leader));
}

#[test]
fn votes_survive_a_restart() {
    let mut cluster = Cluster::new();
    cluster.run_ticks(30);
    let before: Vec<(u64, u64)> = (cluster.members.iter().flatten())
        .map(|m| (m.node.raft.term, m.node.raft.vote))
        .collect();
    assert!(before.iter().any(|(_, vote)| *vote != 0));
    (1..=3).for_each(|id| cluster.open(id));
    let after: Vec<(u64, u64)> = (cluster.members.iter().flatten())
        .map(|m| (m.node.raft.term, m.node.raft.vote))
        .collect();
    assert_eq!(before, after);
}
