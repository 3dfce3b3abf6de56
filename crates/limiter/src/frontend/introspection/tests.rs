use super::*;

const SECOND: Micros = 1_000_000;

fn plans() -> Vec<String> {
    vec!["taller".into(), "empresa".into()]
}

fn active(expires_at: Micros) -> IntrospectionResult {
    IntrospectionResult::Active(Identity {
        customer: CustomerId(5),
        plan: 1,
        expires_at: Some(expires_at),
    })
}

#[test]
fn a_result_round_trips() {
    let result = active(90 * SECOND);
    let body = encode_result(result, &plans(), 10 * SECOND);
    assert_eq!(parse_result(&body, &plans(), 10 * SECOND), Ok(result));
}

#[test]
fn an_expired_token_is_encoded_as_inactive_without_details() {
    let body = encode_result(active(9 * SECOND), &plans(), 10 * SECOND);
    assert_eq!(body, b"{\"active\":false}");
}

#[test]
fn invalid_responses_are_rejected() {
    for body in [
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
            parse_result(body.as_bytes(), &plans(), 10 * SECOND).is_err(),
            "{body}"
        );
    }
}

#[test]
fn the_cache_is_bounded_in_size_and_by_expiry() {
    let mut cache = TokenCache::new(2, 30 * SECOND);
    let token = |n: u32| Token::parse(&format!("t{n}")).unwrap();
    for (n, expires_at_s) in [(1, 100), (2, 20), (3, 200)] {
        cache.insert(&token(n), active(expires_at_s * SECOND), 10 * SECOND);
    }
    assert_eq!(cache.len(), 2);
    assert!(
        cache.get(&token(2), 10 * SECOND).is_none(),
        "the entry that expires first was evicted"
    );
    assert!(cache.get(&token(1), 39 * SECOND).is_some());
    assert!(
        cache.get(&token(1), 40 * SECOND).is_none(),
        "kept no longer than the maximum TTL"
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
        "a later result replaces the entry"
    );
}

#[test]
fn debug_output_contains_no_token_or_secret() {
    let caller = Caller {
        client_id: "office".into(),
        client_secret: "hush".into(),
        customer: CustomerId(1),
        plan: 0,
    };
    let endpoint = IntrospectionEndpoint {
        path: "/introspect".into(),
        client_id: "us".into(),
        client_secret: "hush".into(),
    };
    let output = format!(
        "{:?} {caller:?} {endpoint:?}",
        Token::parse("hush").unwrap()
    );
    assert!(!output.contains("hush"), "{output}");
}

#[test]
fn invalid_tokens_are_rejected() {
    for text in ["", "=", "a b", "a\"", "é", &"a".repeat(MAX_TOKEN_BYTES + 1)] {
        assert!(Token::parse(text).is_none(), "{text}");
    }
    assert!(Token::parse("aZ09-._~+/==").is_some());
}
