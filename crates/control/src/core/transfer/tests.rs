use super::*;
use protocol::items::ItemKind;

fn entries(count: usize, bytes: usize) -> Vec<(Ballot, Item)> {
    let entry = |index: usize| {
        let name = ItemName {
            kind: ItemKind::Route,
            name: format!("r{index:05}"),
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
    (0..count).map(entry).collect()
}

/// Runs a transfer to its end, with each response modified by `deliver`. Returns the received names and the number of
/// requests.
fn run_transfer(
    all: &[(Ballot, Item)],
    deliver: impl Fn(usize, Vec<Chunk>) -> Vec<Chunk>,
) -> (Vec<ItemName>, usize) {
    let (mut transfer, mut received, mut request_count) =
        (TransferProgress::default(), Vec::new(), 0);
    while !transfer.is_complete && request_count < 100 {
        request_count += 1;
        let start_after = transfer.start_after.clone();
        let remaining = all.iter().filter(|(_, item)| {
            start_after
                .as_ref()
                .is_none_or(|start_after| item.name > *start_after)
        });
        for chunk in deliver(
            request_count,
            response_chunks(
                TransferLimits::default(),
                start_after.clone(),
                remaining.cloned(),
            ),
        ) {
            if transfer.record_chunk(&chunk).is_some() {
                received.extend(chunk.items.into_iter().map(|(_, item)| item.name));
            }
        }
    }
    (received, request_count)
}

#[test]
fn lost_duplicate_and_reordered_chunks_leave_no_gap() {
    let all = entries(900, 20_000);
    let names: Vec<ItemName> = all.iter().map(|(_, item)| item.name.clone()).collect();
    let largest_chunk_bytes = |chunks: &[Chunk]| {
        chunks
            .iter()
            .map(|chunk| chunk.items.len())
            .max()
            .unwrap_or(0)
            * 20_000
    };
    let complete = run_transfer(&all, |_, chunks| {
        assert!(
            largest_chunk_bytes(&chunks) <= limits::CHUNK_BYTES
                && chunks.len() * limits::CHUNK_BYTES < 2 * limits::TRANSFER_RESPONSE_BYTES
        );
        chunks
    });
    assert_eq!(
        complete,
        (names.clone(), 5),
        "18 MB in responses of at most 4 MiB"
    );
    let drop_chunk = |request_count: usize, mut chunks: Vec<Chunk>| {
        if request_count.is_multiple_of(2) {
            chunks.remove(request_count % chunks.len());
        }
        chunks
    };
    assert_eq!(run_transfer(&all, drop_chunk).0, names);
    let duplicate_chunks = |_, chunks: Vec<Chunk>| chunks.iter().chain(&chunks).cloned().collect();
    assert_eq!(run_transfer(&all, duplicate_chunks), (names.clone(), 5));
    let reverse_chunks = |request_count: usize, mut chunks: Vec<Chunk>| {
        if request_count % 3 == 1 {
            chunks.reverse();
        }
        chunks
    };
    assert_eq!(run_transfer(&all, reverse_chunks).0, names);
}
