use super::*;
use test_case::test_case;

/// A history as text: `from-to what`, `w` wrote, `c` refused, `v` refused for another item, `u` unclear, `r` read; version and content, as `7a`.
fn check(text: &str) -> bool {
    let value = |text: &str| -> (u64, u64) {
        let (ver, content) = text.split_at(text.len() - 1);
        let content = content.as_bytes()[0];
        (
            ver.parse().unwrap(),
            if content == b'-' {
                DROPPED
            } else {
                u64::from(content)
            },
        )
    };
    let one = |text: &str| {
        let (span, what) = text.trim().split_once(' ').unwrap();
        let (from, to) = span.split_once('-').unwrap();
        let (word, rest) = what.split_at(1);
        let did = match (word, rest) {
            ("r", "0") => Did::Read(None),
            ("r", rest) => Did::Read(Some(value(rest))),
            ("w", rest) => Did::Wrote(value(rest).0, value(rest).1),
            ("v", rest) => Did::Void(value(rest).0, value(rest).1),
            ("c", rest) => Did::Refused(value(rest).0, value(rest).1),
            (_, rest) => Did::Unclear(value(rest).0, value(rest).1),
        };
        let to = if word == "u" {
            i64::MAX
        } else {
            to.parse().unwrap()
        };
        Op {
            from: from.parse().unwrap(),
            to,
            did,
        }
    };
    explained(&text.split(',').map(one).collect::<Vec<_>>()).is_ok()
}

#[test_case("1-2 w3a, 3-4 r3a, 5-6 w5b, 7-8 r5b", true; "one after the other")]
#[test_case("1-2 w3a, 3-4 r0", false; "an acknowledged write is not read")]
#[test_case("1-2 w3a, 3-4 w5b, 5-6 r3a", false; "a reading goes back")]
#[test_case("1-2 w3a, 3-4 w3b", false; "two contents for one version")]
#[test_case("1-2 w3a, 3-4 c3b", true; "refused for what stands")]
#[test_case("1-2 w3a, 3-4 c2b", false; "an overtaken write is refused")]
#[test_case("1-2 w3a, 3-4 c3a", false; "a repeat of what stands is refused")]
#[test_case("1-2 w3a, 3-4 w5b, 5-6 c3a", false; "a repeat of what was overtaken is refused")]
#[test_case("1-2 w3a, 3-4 w5b, 5-6 w3a, 7-8 r5b", true; "a repeat of what was overtaken has no effect")]
#[test_case("1-2 w3a, 3-4 w5b, 5-6 w3a, 7-8 r3a", false; "a repeat of what was overtaken takes effect again")]
#[test_case("1-2 u3a, 3-4 r3a, 5-6 c3a", false; "a write whose answer was lost was read, and is refused")]
#[test_case("1-2 u3a, 3-4 w3b, 5-6 c3a, 7-8 r3b", true; "an unclear write that had no effect is refused")]
#[test_case("1-9 c3a, 1-9 c3b", false; "of two contents under one version both are refused")]
#[test_case("1-9 w3a, 1-9 c3b, 10-11 r3a", true; "of two contents under one version one is refused")]
#[test_case("1-2 w4a, 3-4 v5b, 5-6 r4a", true; "refused for another item, without effect")]
#[test_case("1-2 u5b, 3-4 v5b, 5-6 r5b", false; "refused for another item, and in force")]
#[test_case("1-2 w3-, 3-4 c3-", false; "a repeat of a drop is refused")]
#[test_case("1-2 w3a, 3-4 w4-, 5-6 w3a, 7-8 r0", true; "a repeat of a write whose item was dropped")]
#[test_case("1-2 w3a, 3-4 c5b", false; "refused though nothing stands against it")]
#[test_case("1-9 c3b, 2-3 r3b", false; "a refused write is read")]
#[test_case("1-2 u3a, 3-4 r0, 5-6 r3a, 7-8 r3a", true; "an unclear write takes effect late")]
#[test_case("1-2 u3a, 3-4 r3a, 5-6 r0", false; "an unclear write is read and then is not there")]
#[test_case("1-2 u3a, 3-4 w3a, 5-6 r3a", true; "sent again")]
#[test_case("1-2 w3a, 3-4 w5-, 5-6 r0, 7-8 w9c, 9-10 r9c", true; "dropped and set anew")]
#[test_case("1-2 w3a, 3-4 w5-, 5-6 r3a", false; "a dropped item returns")]
#[test_case("1-2 w3a, 3-4 r0, 3-4 u5-", true; "dropped without an answer")]
#[test_case("1-6 w5b, 1-6 w3a, 2-3 r5b, 4-5 r5b", true; "side by side")]
#[test_case("1-6 w5b, 1-6 w3a, 2-3 r5b, 4-5 r3a", false; "side by side and back")]
#[test_case("3-4 r3a, 5-6 w3a", false; "read before it was asked for")]
#[test_case("1-2 w4a, 3-4 w3b", true; "an older write acknowledged after a newer")]
#[test_case("1-2 w3a, 3-4 w5b, 5-6 r5b, 7-8 w7c, 9-10 r5b", false; "a write among others is lost")]
#[test_case("1-9 w5b, 2-3 r5b, 4-5 r3a, 1-2 w3a", false; "stale after a newer one while its write is open")]
#[test_case("1-2 w3a, 3-4 r3a, 5-6 c3b, 7-8 w2c, 9-10 w3b", false; "two contents for one version, others between")]
#[test_case("1-2 u3a, 3-4 r3a, 5-6 w3b", false; "an unclear write is read, and its version is given anew")]
#[test_case("1-2 u3a, 3-4 w3b, 5-6 r3a", false; "an unclear write takes a version that was acknowledged")]
#[test_case("1-2 w3a, 3-4 w5-, 5-6 r0, 7-8 w4b, 9-10 r4b", false; "a drop is forgotten by a lower write")]
#[test_case("1-2 w3a, 3-4 u5-, 5-6 r0, 7-8 r3a", false; "an unclear drop is seen, and the item returns")]
#[test_case("1-2 w3a, 3-9 w5-, 4-5 r0, 6-7 r3a", false; "a drop under way is seen, and the item returns")]
#[test_case("1-2 w5b, 3-4 w3a, 5-6 r3a", false; "an overtaken write takes effect")]
#[test_case("1-2 w5-, 3-4 c5a, 5-6 w5-, 7-8 r0", true; "a drop sent again, and refused to another")]
fn a_history_has_an_order_or_not(text: &str, is: bool) {
    assert_eq!(check(text), is);
}
