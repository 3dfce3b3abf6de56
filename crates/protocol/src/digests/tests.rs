use super::*;
use crate::items::ItemKind;

#[test]
fn only_differing_buckets_are_found() {
    let item = |at: usize, ver| {
        let name = ItemName {
            kind: ItemKind::Route,
            name: format!("r{at}"),
        };
        Item {
            name,
            ver,
            spec: None,
        }
    };
    let all = |changed: usize| {
        let mut digests = Digests::default();
        for at in (0..5_000).rev() {
            let item = item(at, if at == changed { 2 } else { 1 });
            digests.toggle(&item.name, Digests::item_digest(&item));
        }
        digests
    };
    let (old, mut new) = (all(usize::MAX), all(77));
    let differ = (0..5_000)
        .filter(|at| old.bucket_differs(new.buckets(), &item(*at, 1).name))
        .count();
    assert!((1..100).contains(&differ), "{differ}");
    assert!(
        old.bucket_differs(new.buckets(), &item(77, 1).name)
            && old.bucket_differs(&[], &item(78, 1).name)
    );
    new.toggle(&item(77, 2).name, Digests::item_digest(&item(77, 2)));
    new.toggle(&item(77, 1).name, Digests::item_digest(&item(77, 1)));
    assert_eq!(old, new);
}
