use super::*;

#[test]
fn a_watch_receives_the_changes_after_its_version() {
    let entry = |node, status| Entry {
        node,
        name: format!("s-{node}"),
        rack: 0,
        status,
        since_ms: 0,
    };
    let mut roster = NodeList::new(vec![entry(0, Status::Ready), entry(1, Status::Ready)]);
    roster.schedule_change(50, entry(0, Status::Gone));
    assert!(
        !roster.publish_due(49) && roster.next_event_at() == Some(50) && roster.publish_due(50)
    );
    let told = |from| roster.changes_since(from, |n| format!("127.0.0.1:{n}"));
    assert!(told(None).contains("\"snapshot\":true") && !told(None).contains("s-0"));
    assert!(told(Some(1)).contains("Gone") && told(Some(1)).contains("\"index\":2"));
    assert!(told(Some(2)).contains("\"endpoints\":[]"));
    assert!(told(Some(9)).contains("\"snapshot\":true"));
}
