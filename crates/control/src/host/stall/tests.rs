use super::*;

#[test]
fn stall_is_detected_once() {
    let mut stall = StallDetector::default();
    for turn in 1..100 {
        assert_eq!(stall.detect(turn * 200_000), None);
        stall.record_iteration(turn * 200_000);
    }
    assert!(!stall.is_suspect());
    let now = 99 * 200_000 + limits::STALL_THRESHOLD;
    assert_eq!(
        (stall.detect(now), stall.detect(now + 1)),
        (Some(limits::STALL_THRESHOLD), None)
    );
    (0..limits::STALL_ITERATIONS).for_each(|_| {
        assert!(stall.is_suspect());
        stall.record_iteration(now + 2);
    });
    assert!(!stall.is_suspect());
}
