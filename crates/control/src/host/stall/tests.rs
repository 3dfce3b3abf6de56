use super::*;

#[test]
fn stall_is_detected_once() {
    let mut stall = StallDetector::default();
    for iteration in 1..100 {
        assert_eq!(stall.detect(iteration * 200_000), None);
        stall.record_iteration(iteration * 200_000);
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
