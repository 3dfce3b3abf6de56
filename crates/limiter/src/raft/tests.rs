use super::*;

/// Members that hand each other their letters.
struct Tier {
    folder: tempfile::TempDir,
    members: Vec<Option<Member>>,
}

impl Tier {
    fn new() -> Tier {
        let mut tier = Tier {
            folder: tempfile::tempdir().unwrap(),
            members: (0..3).map(|_| None).collect(),
        };
        (1..=3).for_each(|id| tier.open(id));
        tier
    }

    fn open(&mut self, id: u64) {
        let folder = self.folder.path().join(id.to_string());
        self.members[id as usize - 1] = Some(Member::open(id, &[1, 2, 3], &folder).unwrap());
    }

    fn deliver(&mut self, news: StepOutput) {
        let mut letters = news.messages;
        while let Some(letter) = letters.pop() {
            if let Some(member) = &mut self.members[letter.to as usize - 1] {
                letters.extend(member.receive(&letter.bytes).unwrap().messages);
            }
        }
    }

    fn pass(&mut self, ticks: usize) {
        for _ in 0..ticks {
            for at in 0..3 {
                if let Some(member) = &mut self.members[at] {
                    let news = member.tick().unwrap();
                    self.deliver(news);
                }
            }
        }
    }

    fn leader(&self) -> u64 {
        let leads = |m: &&Member| m.is_leader();
        let leaders: Vec<u64> = self
            .members
            .iter()
            .flatten()
            .filter(leads)
            .map(|m| m.id)
            .collect();
        assert_eq!(leaders.len(), 1, "one leads");
        leaders[0]
    }

    fn propose(&mut self, text: &str) {
        let leader = self.leader();
        let news = self.members[leader as usize - 1]
            .as_mut()
            .unwrap()
            .propose(text.as_bytes())
            .unwrap();
        self.deliver(news);
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
fn members_agree_and_a_new_leader_keeps_what_was_committed() {
    let mut tier = Tier::new();
    tier.pass(30);
    tier.propose("{\"a\":1}");
    tier.pass(5);
    assert_eq!(tier.documents(), [b"{\"a\":1}"; 3]);
    let first = tier.leader();
    tier.members[first as usize - 1] = None;
    tier.pass(60);
    assert_ne!(tier.leader(), first);
    tier.propose("{\"a\":2}");
    tier.open(first);
    tier.pass(60);
    assert_eq!(tier.documents(), [b"{\"a\":2}"; 3]);
}

#[test]
fn all_come_back_from_their_folders_with_what_was_committed() {
    let mut tier = Tier::new();
    tier.pass(30);
    tier.propose("{\"a\":1}");
    tier.pass(5);
    for id in 1..=3 {
        tier.members[id as usize - 1] = None;
        tier.open(id);
    }
    tier.pass(60);
    assert_eq!(tier.documents(), [b"{\"a\":1}"; 3]);
}

#[test]
fn a_member_cut_off_commits_nothing() {
    let mut tier = Tier::new();
    tier.pass(30);
    let leader = tier.leader();
    let news = tier.members[leader as usize - 1]
        .as_mut()
        .unwrap()
        .propose(b"{\"lost\":1}")
        .unwrap();
    drop(news);
    assert!(tier.documents().iter().all(|document| *document == b"{}"));
}

#[test]
fn what_is_no_document_or_no_message_is_turned_down() {
    let mut tier = Tier::new();
    tier.pass(30);
    let leader = tier.leader();
    let other = if leader == 1 { 2 } else { 1 };
    let member = tier.members[leader as usize - 1].as_mut().unwrap();
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
    let member = tier.members[other as usize - 1].as_mut().unwrap();
    assert!(matches!(member.propose(b"{}"), Err(RaftError::NotLeader(Some(id))) if id == leader));
}

#[test]
fn a_vote_once_given_is_remembered_after_a_restart() {
    let mut tier = Tier::new();
    tier.pass(30);
    let before: Vec<(u64, u64)> = (tier.members.iter().flatten())
        .map(|m| (m.node.raft.term, m.node.raft.vote))
        .collect();
    assert!(before.iter().any(|(_, vote)| *vote != 0));
    (1..=3).for_each(|id| tier.open(id));
    let after: Vec<(u64, u64)> = (tier.members.iter().flatten())
        .map(|m| (m.node.raft.term, m.node.raft.vote))
        .collect();
    assert_eq!(before, after);
}
