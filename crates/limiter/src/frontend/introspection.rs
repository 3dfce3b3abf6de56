//! The front end of OAuth 2 token introspection (RFC 7662, with RFC 6750 for bearer tokens and RFC 6749 for callers). Parses
//! what clients, callers and introspection servers send, and encodes the responses. It does no I/O and decides nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use streamarch::{CustomerId, Micros};

use crate::engine::EngineRejection;
use crate::frontend::platform::{CUSTOMER_ID_LIMIT, parse_customer_id};
use crate::frontend::{Rejection, UpstreamRequest, reject};
use crate::net::framing::{Headers, Request, Response};

/// Maximum length of a token.
const MAX_TOKEN_BYTES: usize = 4_096;
/// Expiries must be before this, in seconds of the epoch: far later ones would overflow in microseconds.
const EXPIRY_LIMIT_S: i64 = 1 << 40;

/// A client of the limiter's own introspection endpoint.
#[derive(Clone, PartialEq, Eq)]
pub struct Caller {
    /// Its `client_id`.
    pub client_id: String,
    /// Its `client_secret`.
    pub client_secret: String,
    /// The customer whose quota its calls use...
    pub customer: CustomerId,
    /// ...and that customer's plan, by position.
    pub plan: usize,
}

impl fmt::Debug for Caller {
    /// Omits the secret, which must not end up in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Caller({})", self.client_id)
    }
}

/// A bearer token. It has no `Display`, and `Debug` omits its text: tokens must never be logged.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(String);

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

impl Token {
    /// Parses a token of the characters that RFC 6750 allows (`b64token`).
    pub fn parse(text: &str) -> Option<Token> {
        let body = text.trim_end_matches('=');
        let is_allowed = |b: u8| b.is_ascii_alphanumeric() || b"-._~+/".contains(&b);
        (!body.is_empty() && text.len() <= MAX_TOKEN_BYTES && body.bytes().all(is_allowed))
            .then(|| Token(text.into()))
    }
}

/// The customer that a token belongs to, and its expiry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The customer.
    pub customer: CustomerId,
    /// Position of its plan.
    pub plan: usize,
    /// When the token expires; `None` if the introspection server does not say.
    pub expires_at: Option<Micros>,
}

/// The result of the introspection of a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntrospectionResult {
    /// The token is valid.
    Active(Identity),
    /// The token is unknown, expired or revoked; the protocol does not tell which.
    Inactive,
}

/// An introspection response that is malformed or contradicts itself, with the reason. It counts as no response, so that
/// the request fails closed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidIntrospectionResponse(pub &'static str);

impl fmt::Display for InvalidIntrospectionResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "invalid introspection response: {}", self.0)
    }
}

impl std::error::Error for InvalidIntrospectionResponse {}

/// Parses the body of an introspection response.
///
/// # Errors
/// The body is invalid.
pub fn parse_result(
    body: &[u8],
    plans: &[String],
    now: Micros,
) -> Result<IntrospectionResult, InvalidIntrospectionResponse> {
    let value: Value =
        serde_json::from_slice(body).map_err(|_| InvalidIntrospectionResponse("not JSON"))?;
    let members = value
        .as_object()
        .ok_or(InvalidIntrospectionResponse("not an object"))?;
    match members
        .get("active")
        .and_then(Value::as_bool)
        .ok_or(InvalidIntrospectionResponse("missing or invalid 'active'"))?
    {
        false => Ok(IntrospectionResult::Inactive),
        true => {
            let subject = members
                .get("sub")
                .and_then(Value::as_str)
                .and_then(parse_customer_id)
                .ok_or(InvalidIntrospectionResponse("missing or invalid 'sub'"))?;
            let plan = members
                .get("plan")
                .and_then(Value::as_str)
                .ok_or(InvalidIntrospectionResponse("missing or invalid 'plan'"))?;
            let plan = plans
                .iter()
                .position(|name| name == plan)
                .ok_or(InvalidIntrospectionResponse("unknown plan"))?;
            let expires_at = match members.get("exp") {
                None => None,
                Some(exp) => {
                    let seconds = exp
                        .as_i64()
                        .filter(|s| (0..EXPIRY_LIMIT_S).contains(s))
                        .ok_or(InvalidIntrospectionResponse("invalid 'exp'"))?;
                    Some(seconds * 1_000_000)
                }
            };
            // A server may call a token active although it has expired.
            if expires_at.is_some_and(|at| at <= now) {
                return Err(InvalidIntrospectionResponse("token active but expired"));
            }
            Ok(IntrospectionResult::Active(Identity {
                customer: subject,
                plan,
                expires_at,
            }))
        }
    }
}

/// Encodes a result as the body of the response to a caller. For a token that is not active, the body says only that.
pub fn encode_result(result: IntrospectionResult, plans: &[String], now: Micros) -> Vec<u8> {
    let value = match result {
        IntrospectionResult::Active(identity) if identity.expires_at.is_none_or(|at| at > now) => {
            let mut value = json!({
                "active": true,
                "token_type": "Bearer",
                "sub": format!("{:016x}", identity.customer.0),
                "plan": plans.get(identity.plan),
            });
            if let Some(at) = identity.expires_at {
                value["exp"] = json!(at / 1_000_000);
            }
            value
        }
        IntrospectionResult::Active(_) | IntrospectionResult::Inactive => {
            json!({ "active": false })
        }
    };
    value.to_string().into_bytes()
}

/// A cache of token identities, bounded in number. No entry outlives its token.
#[derive(Debug)]
pub struct TokenCache {
    max_entries: usize,
    max_ttl: Micros,
    /// Expiry of the entry and identity, by token.
    entries: BTreeMap<Token, (Micros, Identity)>,
    /// The same entries in the order of their expiry.
    expiries: BTreeSet<(Micros, Token)>,
}

impl TokenCache {
    /// Creates an empty cache for at most `max_entries` tokens, each kept for at most `max_ttl`.
    pub fn new(max_entries: usize, max_ttl: Micros) -> TokenCache {
        TokenCache {
            max_entries,
            max_ttl,
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// The cached identity of a token. Removes expired entries.
    pub fn get(&mut self, token: &Token, now: Micros) -> Option<Identity> {
        while let Some((expiry, _)) = self.expiries.first().filter(|(expiry, _)| *expiry <= now) {
            let expiry = *expiry;
            if let Some((_, token)) = self
                .expiries
                .pop_first()
                .filter(|(first, _)| *first == expiry)
            {
                self.entries.remove(&token);
            }
        }
        self.entries.get(token).map(|(_, identity)| *identity)
    }

    /// Caches the result for a token, in place of an earlier one. A token that is not active or has no expiry is not cached,
    /// so it is introspected each time.
    pub fn insert(&mut self, token: &Token, result: IntrospectionResult, now: Micros) {
        if let Some((expiry, _)) = self.entries.remove(token) {
            self.expiries.remove(&(expiry, token.clone()));
        }
        let IntrospectionResult::Active(identity) = result else {
            return;
        };
        let Some(expires_at) = identity
            .expires_at
            .filter(|at| *at > now && self.max_entries > 0)
        else {
            return;
        };
        if self.entries.len() >= self.max_entries
            && let Some((_, soonest)) = self.expiries.pop_first()
        {
            self.entries.remove(&soonest);
        }
        let expiry = expires_at.min(now + self.max_ttl);
        self.entries.insert(token.clone(), (expiry, identity));
        self.expiries.insert((expiry, token.clone()));
    }

    /// Number of tokens in the cache.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Whether the cache is empty.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }
}

/// The bearer token of a request. By RFC 6750, a request without credentials is answered without an error code, and one
/// with a malformed token by `invalid_request`.
///
/// # Errors
/// There is no token, or more than one, or it is malformed.
pub fn bearer_token(headers: &Headers) -> Result<Token, Challenge> {
    if !headers.contains("Authorization") {
        return Err(Challenge::Missing);
    }
    let value = headers.get("Authorization").ok_or(Challenge::Malformed)?;
    let (scheme, text) = value.split_once(' ').ok_or(Challenge::Malformed)?;
    if !scheme.eq_ignore_ascii_case("Bearer") {
        return Err(Challenge::Missing);
    }
    Token::parse(text.trim()).ok_or(Challenge::Malformed)
}

/// Why a request is not authorised by a bearer token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Challenge {
    /// The request has no bearer token.
    Missing,
    /// The token or its header is malformed.
    Malformed,
    /// The token is not active, or has expired.
    Invalid,
}

impl Challenge {
    /// The status and the value of `WWW-Authenticate`.
    pub fn response(self) -> (u16, &'static str) {
        match self {
            Challenge::Missing => (401, "Bearer"),
            Challenge::Malformed => (400, "Bearer error=\"invalid_request\""),
            Challenge::Invalid => (401, "Bearer error=\"invalid_token\""),
        }
    }
}

/// Compares two secrets in a time that does not depend on how many bytes match.
pub fn constant_time_eq(a: &str, b: &str) -> bool {
    let difference = a
        .bytes()
        .zip(b.bytes())
        .fold(0, |difference, (a, b)| difference | (a ^ b));
    a.len() == b.len() && difference == 0
}

/// The caller that a request to `/introspect` authenticates as by HTTP Basic, with id and secret form-encoded as RFC 6749
/// requires.
pub fn authenticate_caller<'a>(headers: &Headers, callers: &'a [Caller]) -> Option<&'a Caller> {
    let (scheme, text) = headers.get("Authorization")?.split_once(' ')?;
    let text = String::from_utf8(STANDARD.decode(text.trim()).ok()?).ok()?;
    let (id, secret) = text.split_once(':')?;
    let (id, secret) = (decode_form_value(id), decode_form_value(secret));
    let authenticated = callers.iter().find(|caller| {
        constant_time_eq(&caller.client_id, &id) && constant_time_eq(&caller.client_secret, &secret)
    });
    authenticated.filter(|_| scheme.eq_ignore_ascii_case("Basic"))
}

fn decode_form_value(text: &str) -> String {
    form_urlencoded::parse(text.as_bytes())
        .map(|(value, _)| value.into_owned())
        .next()
        .unwrap_or_default()
}

/// The token in a caller's introspection request.
///
/// # Errors
/// The request is not a valid introspection request.
pub fn parse_token_request(request: &Request) -> Result<Token, Rejection> {
    let content_type = request.headers.get("Content-Type").unwrap_or_default();
    let content_type = content_type.split(';').next().unwrap_or_default().trim();
    if !content_type.eq_ignore_ascii_case("application/x-www-form-urlencoded") {
        return Err(reject(400, "{\"error\":\"invalid_request\"}"));
    }
    let mut tokens = form_urlencoded::parse(&request.body).filter(|(name, _)| name == "token");
    let (Some((_, text)), None) = (tokens.next(), tokens.next()) else {
        return Err(reject(400, "{\"error\":\"invalid_request\"}"));
    };
    // Text that cannot be a token is not an error of the caller: it is answered as an inactive token.
    Ok(Token::parse(&text).unwrap_or(Token(String::new())))
}

impl Token {
    /// Whether the text could not be a token, so that it is inactive without asking.
    pub fn is_invalid(&self) -> bool {
        self.0.is_empty()
    }
}

/// The endpoint of the introspection servers, and the limiter's credentials there.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct IntrospectionEndpoint {
    /// Path of the endpoint.
    pub path: String,
    /// The limiter's `client_id`.
    pub client_id: String,
    /// The limiter's `client_secret`.
    pub client_secret: String,
}

impl fmt::Debug for IntrospectionEndpoint {
    /// Omits the secret.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "IntrospectionEndpoint({} as {})",
            self.path, self.client_id
        )
    }
}

impl IntrospectionEndpoint {
    /// The request that introspects a token.
    pub fn build_request(&self, token: &Token) -> UpstreamRequest {
        let encode =
            |text: &str| form_urlencoded::byte_serialize(text.as_bytes()).collect::<String>();
        let body = format!("token={}&token_type_hint=access_token", encode(&token.0)).into_bytes();
        let credentials = STANDARD.encode(format!(
            "{}:{}",
            encode(&self.client_id),
            encode(&self.client_secret)
        ));
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: introspection.local\r\nAuthorization: Basic {credentials}\r\n\
             Content-Type: application/x-www-form-urlencoded\r\nAccept: application/json\r\n\
             Content-Length: {}\r\n",
            self.path,
            body.len()
        );
        UpstreamRequest {
            head: head.into_bytes(),
            body,
            request_id: String::new(),
        }
    }
}

/// Parses the complete response of an introspection server.
///
/// # Errors
/// The response is invalid.
pub fn parse_response(
    response: &Response,
    plans: &[String],
    now: Micros,
) -> Result<IntrospectionResult, InvalidIntrospectionResponse> {
    match response.status {
        200 => parse_result(&response.body, plans, now),
        _ => Err(InvalidIntrospectionResponse("unexpected status")),
    }
}

/// The status and `WWW-Authenticate` value of a rejection, for a client that sent a token.
pub fn rejection_status(rejection: EngineRejection) -> (u16, Option<&'static str>) {
    match rejection {
        EngineRejection::Declined {
            over_quota: true, ..
        } => (429, None),
        EngineRejection::Declined {
            over_quota: false, ..
        } => (503, None),
        EngineRejection::Failed | EngineRejection::Expired { may_have_run: true } => (504, None),
        EngineRejection::Expired {
            may_have_run: false,
        } => {
            let (status, challenge) = Challenge::Invalid.response();
            (status, Some(challenge))
        }
    }
}

/// The customer that the limiter's own introspection requests are made for. Its id is outside the range of the platform's
/// customers.
pub fn internal_customer() -> CustomerId {
    CustomerId(CUSTOMER_ID_LIMIT)
}

#[cfg(test)]
mod tests;
