use super::*;

#[test]
fn the_last_try_that_was_written_says_how_a_request_ended() {
    let t = |request, number, outcome| Try {
        request,
        number,
        target: 0,
        intended: 0,
        sent: (outcome != Outcome::NotSent).then_some(1),
        ended: 10 * i64::from(number) + 5,
        status: 0,
        outcome,
    };
    let tries = [
        t(0, 0, Outcome::Failed),
        t(0, 1, Outcome::Served),
        t(1, 0, Outcome::Declined),
    ];
    let more = [t(1, 1, Outcome::NotSent), t(2, 0, Outcome::NotSent)];
    let fates = fates(4, &[&tries[..], &more[..]].concat());
    let ends: Vec<_> = fates
        .iter()
        .map(|f| (f.outcome, f.ended, f.tries))
        .collect();
    assert_eq!(
        ends,
        [
            (Outcome::Served, Some(15), 2),
            (Outcome::Declined, Some(15), 2),
            (Outcome::NotSent, Some(5), 1),
            (Outcome::NotSent, None, 0)
        ]
    );
}
