use super::*;
use protocol::items::ItemKind;

fn entries(count: usize, bytes: usize) -> Vec<(Ballot, Item)> {
    let one = |at: usize| {
        let name = ItemName {
            kind: ItemKind::Route,
            name: format!("r{at:05}"),
        };
        (
            Ballot::default(),
            Item {
                name,
                ver: 1,
                spec: Some("x".repeat(bytes)),
            },
        )
    };
    (0..count).map(one).collect()
}

/// Requests until the end, with every answer passed through `treat`; returns what arrived and the
/// number of requests.
fn transferred(
    all: &[(Ballot, Item)],
    treat: impl Fn(usize, Vec<Chunk>) -> Vec<Chunk>,
) -> (Vec<ItemName>, usize) {
    let (mut transfer, mut got, mut asked) = (TransferProgress::default(), Vec::new(), 0);
    while !transfer.is_complete && asked < 100 {
        asked += 1;
        let after = transfer.start_after.clone();
        let rest = all
            .iter()
            .filter(|(_, item)| after.as_ref().is_none_or(|after| item.name > *after));
        for piece in treat(
            asked,
            response_chunks(TransferLimits::default(), after.clone(), rest.cloned()),
        ) {
            if transfer.record_chunk(&piece).is_some() {
                got.extend(piece.items.into_iter().map(|(_, item)| item.name));
            }
        }
    }
    (got, asked)
}

#[test]
fn lost_duplicate_and_reordered_chunks_leave_no_gap() {
    let all = entries(900, 20_000);
    let names: Vec<ItemName> = all.iter().map(|(_, item)| item.name.clone()).collect();
    let largest = |pieces: &[Chunk]| {
        pieces
            .iter()
            .map(|piece| piece.items.len())
            .max()
            .unwrap_or(0)
            * 20_000
    };
    let whole = transferred(&all, |_, pieces| {
        assert!(
            largest(&pieces) <= limits::CHUNK_BYTES
                && pieces.len() * limits::CHUNK_BYTES < 2 * limits::TRANSFER_RESPONSE_BYTES
        );
        pieces
    });
    assert_eq!(whole, (names.clone(), 5), "18 MB in questions of 4 MiB");
    let lost = |asked: usize, mut pieces: Vec<Chunk>| {
        if asked.is_multiple_of(2) {
            pieces.remove(asked % pieces.len());
        }
        pieces
    };
    assert_eq!(transferred(&all, lost).0, names);
    let doubled = |_, pieces: Vec<Chunk>| pieces.iter().chain(&pieces).cloned().collect();
    assert_eq!(transferred(&all, doubled), (names.clone(), 5));
    let turned = |asked: usize, mut pieces: Vec<Chunk>| {
        if asked % 3 == 1 {
            pieces.reverse();
        }
        pieces
    };
    assert_eq!(transferred(&all, turned).0, names);
}
