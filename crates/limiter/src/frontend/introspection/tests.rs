use super::*;

const SECOND: Micros = 1_000_000;

fn plans() -> Vec<String> {
    vec!["taller".into(), "empresa".into()]
}

fn active(expires: Micros) -> IntrospectionResult {
    IntrospectionResult::Active(Identity {
        customer: CustomerId(5),
        plan: 1,
        expires_at: Some(expires),
    })
}

#[test]
fn a_finding_survives_its_wording() {
    let found = active(90 * SECOND);
    let body = encode_result(found, &plans(), 10 * SECOND);
    assert_eq!(parse_result(&body, &plans(), 10 * SECOND), Ok(found));
}

#[test]
fn of_a_token_that_ran_out_only_that_is_told() {
    let body = encode_result(active(9 * SECOND), &plans(), 10 * SECOND);
    assert_eq!(body, b"{\"active\":false}");
}

#[test]
fn lies_are_not_believed() {
    for lie in [
        "",
        "[]",
        "{}",
        "{\"active\":\"true\"}",
        "{\"active\":1}",
        "{\"active\":true}",
        "{\"active\":true,\"sub\":\"5\",\"plan\":\"empresa\",\"exp\":90}",
        "{\"active\":true,\"sub\":\"0000000000000005\",\"plan\":\"gold\",\"exp\":90}",
        "{\"active\":true,\"sub\":\"0000000000000005\",\"plan\":\"empresa\",\"exp\":\"90\"}",
        "{\"active\":true,\"sub\":\"0000000000000005\",\"plan\":\"empresa\",\"exp\":9}",
        "{\"active\":true,\"sub\":\"0000000000000005\",\"plan\":\"empresa\",\"exp\":9e99}",
        "{\"active\":true,\"sub\":\"ffffffffffffffff\",\"plan\":\"empresa\",\"exp\":90}",
    ] {
        assert!(
            parse_result(lie.as_bytes(), &plans(), 10 * SECOND).is_err(),
            "{lie}"
        );
    }
}

#[test]
fn the_cache_is_bounded_in_size_and_by_expiry() {
    let mut cache = TokenCache::new(2, 30 * SECOND);
    let token = |n: u32| Token::parse(&format!("t{n}")).unwrap();
    for (n, end) in [(1, 100), (2, 20), (3, 200)] {
        cache.insert(&token(n), active(end * SECOND), 10 * SECOND);
    }
    assert_eq!(cache.len(), 2);
    assert!(
        cache.get(&token(2), 10 * SECOND).is_none(),
        "the one that ends first made room"
    );
    assert!(cache.get(&token(1), 39 * SECOND).is_some());
    assert!(
        cache.get(&token(1), 40 * SECOND).is_none(),
        "kept no longer than the longest"
    );
    assert!(cache.is_empty());
    cache.insert(&token(4), active(50 * SECOND), 45 * SECOND);
    assert!(
        cache.get(&token(4), 50 * SECOND).is_none(),
        "not kept past its expiry"
    );
    cache.insert(&token(5), active(99 * SECOND), 50 * SECOND);
    cache.insert(&token(5), IntrospectionResult::Inactive, 51 * SECOND);
    assert!(
        cache.get(&token(5), 51 * SECOND).is_none(),
        "a later finding stands"
    );
}

#[test]
fn tokens_and_secrets_do_not_show_when_printed() {
    let caller = Caller {
        client_id: "office".into(),
        client_secret: "hush".into(),
        customer: CustomerId(1),
        plan: 0,
    };
    let asking = IntrospectionEndpoint {
        path: "/introspect".into(),
        client_id: "us".into(),
        client_secret: "hush".into(),
    };
    let shown = format!("{:?} {caller:?} {asking:?}", Token::parse("hush").unwrap());
    assert!(!shown.contains("hush"), "{shown}");
}

#[test]
fn what_is_no_token_is_none() {
    for bad in ["", "=", "a b", "a\"", "é", &"a".repeat(TOKEN_BYTES + 1)] {
        assert!(Token::parse(bad).is_none(), "{bad}");
    }
    assert!(Token::parse("aZ09-._~+/==").is_some());
}
