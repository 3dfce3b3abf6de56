use super::*;

#[test]
fn the_list_is_delayed_paginated_and_rate_limited() {
    let mut platform = Platform::new(PlatformConfig {
        visibility_delay: 500,
        page_size: 2,
        per_s: 5,
    });
    let entry = |n: u16| Entry {
        id: format!("i-{n}"),
        svc: "s".into(),
        address: SocketAddr::from(([127, 0, 0, 1], n)),
        zone: if n == 2 { "b" } else { "a" }.into(),
        slots: 2,
        draining: n == 3,
        warm_at: 3_000_000,
    };
    assert_eq!(
        platform.change(0, |entries| entries.extend((1..=3).map(entry))),
        500
    );
    assert!(!platform.answer(499, "GET", "/insts").1.contains("i-1"));
    let first = platform.answer(1_000_000, "GET", "/insts").1;
    assert!(
        first.contains(r#""next_cursor":"p-2""#) && first.contains("2000ms"),
        "{first}"
    );
    let last = platform.answer(1_000_001, "GET", "/insts?pagetok=p-2").1;
    assert!(
        last.contains(r#""draining""#) && last.contains(r#""next_cursor":null"#),
        "{last}"
    );
    let zone = platform.answer(1_000_002, "GET", "/insts?zone=b").1;
    assert!(zone.contains("i-2") && !zone.contains("i-1"), "{zone}");
    assert_eq!(platform.answer(1_000_003, "GET", "/insts").0, 200);
    assert_eq!(platform.answer(1_000_004, "GET", "/insts").0, 429);
}
