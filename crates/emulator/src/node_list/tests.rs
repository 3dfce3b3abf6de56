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
    let mut node_list = NodeList::new(vec![entry(0, Status::Ready), entry(1, Status::Ready)]);
    node_list.schedule_change(50, entry(0, Status::Gone));
    assert!(
        !node_list.publish_due(49)
            && node_list.next_event_at() == Some(50)
            && node_list.publish_due(50)
    );
    let message = |from| node_list.changes_since(from, |n| format!("127.0.0.1:{n}"));
    assert!(message(None).contains("\"snapshot\":true") && !message(None).contains("s-0"));
    assert!(message(Some(1)).contains("Gone") && message(Some(1)).contains("\"index\":2"));
    assert!(message(Some(2)).contains("\"endpoints\":[]"));
    assert!(message(Some(9)).contains("\"snapshot\":true"));
}
