use super::*;
use crate::items::ItemKind;

#[test]
fn only_items_of_differing_buckets_are_reported() {
    let item = |number: usize, ver| {
        let name = ItemName {
            kind: ItemKind::Route,
            name: format!("r{number}"),
        };
        Item {
            name,
            ver,
            spec: None,
        }
    };
    let digests_with_change = |changed: usize| {
        let mut digests = Digests::default();
        for number in (0..5_000).rev() {
            let item = item(number, if number == changed { 2 } else { 1 });
            digests.toggle(&item.name, Digests::item_digest(&item));
        }
        digests
    };
    let (old, mut new) = (digests_with_change(usize::MAX), digests_with_change(77));
    let differing_count = (0..5_000)
        .filter(|number| old.bucket_differs(new.buckets(), &item(*number, 1).name))
        .count();
    assert!((1..100).contains(&differing_count), "{differing_count}");
    assert!(
        old.bucket_differs(new.buckets(), &item(77, 1).name)
            && old.bucket_differs(&[], &item(78, 1).name)
    );
    new.toggle(&item(77, 2).name, Digests::item_digest(&item(77, 2)));
    new.toggle(&item(77, 1).name, Digests::item_digest(&item(77, 1)));
    assert_eq!(old, new);
}
