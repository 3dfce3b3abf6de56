use super::*;

#[test]
fn entries_are_due_in_order_of_time_and_never_early() {
    let mut deadlines = Deadlines::default();
    for (deadline, entry) in [(30, 'c'), (10, 'a'), (30, 'd'), (20, 'b')] {
        deadlines.schedule(deadline, entry);
    }
    assert_eq!(deadlines.earliest(), Some(10));
    assert_eq!(deadlines.pop_due(9), None);
    let due: Vec<char> = std::iter::from_fn(|| deadlines.pop_due(30)).collect();
    assert_eq!(due, ['a', 'b', 'c', 'd']);
    assert_eq!(deadlines.earliest(), None);
}
