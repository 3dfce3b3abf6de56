//! OAuth 2 token introspection (RFC 7662, with RFC 6750 for bearer tokens and RFC 6749 for callers): reads what
//! clients, callers and introspection servers send, and words the answers. It opens nothing and decides nothing.

use std::collections::{BTreeMap, BTreeSet};
use std::fmt;

use base64::Engine as _;
use base64::engine::general_purpose::STANDARD;
use serde_json::{Value, json};
use streamarch::{CustomerId, Micros};

use crate::engine::EngineRejection;
use crate::frontend::platform::{CUSTOMERS, parse_customer_id};
use crate::frontend::{Rejection, UpstreamRequest, reject};
use crate::net::framing::{Headers, Request, Response};

/// Longest token that is taken, in bytes.
const TOKEN_BYTES: usize = 4_096;
/// Latest expiry that is believed, in seconds of the epoch: beyond it the sum in microseconds would overflow.
const LATEST: i64 = 1 << 40;

/// A caller of our own introspection server.
#[derive(Clone, PartialEq, Eq)]
pub struct Caller {
    /// Its `client_id`.
    pub client_id: String,
    /// Its `client_secret`.
    pub client_secret: String,
    /// Whose quota its calls take from...
    pub customer: CustomerId,
    /// ...and that customer's plan, by position.
    pub plan: usize,
}

impl fmt::Debug for Caller {
    /// Without the secret: what can be printed ends up in a log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Caller({})", self.client_id)
    }
}

/// A bearer token. It has no `Display` and hides in `Debug`: tokens are never logged.
#[derive(Clone, PartialEq, Eq, PartialOrd, Ord)]
pub struct Token(String);

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}

impl Token {
    /// A token of the characters that RFC 6750 allows (`b64token`).
    pub fn parse(text: &str) -> Option<Token> {
        let body = text.trim_end_matches('=');
        let plain = |b: u8| b.is_ascii_alphanumeric() || b"-._~+/".contains(&b);
        (!body.is_empty() && text.len() <= TOKEN_BYTES && body.bytes().all(plain))
            .then(|| Token(text.into()))
    }
}

/// Whose a token is, and until when it is good.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// The customer.
    pub customer: CustomerId,
    /// The position of its plan.
    pub plan: usize,
    /// The token is good until then; `None`: its server does not say.
    pub expires_at: Option<Micros>,
}

/// What an introspection server found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum IntrospectionResult {
    /// A good token.
    Active(Identity),
    /// Unknown, expired, revoked: which of these nobody is told.
    Inactive,
}

/// An answer that cannot be true. Identity fails closed: it is as good as none.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct InvalidIntrospectionResponse(pub &'static str);

impl fmt::Display for InvalidIntrospectionResponse {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "introspection answer not believed: {}", self.0)
    }
}

impl std::error::Error for InvalidIntrospectionResponse {}

/// Reads the body of an introspection answer.
///
/// # Errors
/// The body can't be believed; the error says why.
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
        .ok_or(InvalidIntrospectionResponse("active"))?
    {
        false => Ok(IntrospectionResult::Inactive),
        true => {
            let subject = members
                .get("sub")
                .and_then(Value::as_str)
                .and_then(parse_customer_id)
                .ok_or(InvalidIntrospectionResponse("sub"))?;
            let plan = members
                .get("plan")
                .and_then(Value::as_str)
                .ok_or(InvalidIntrospectionResponse("plan"))?;
            let plan = plans
                .iter()
                .position(|name| name == plan)
                .ok_or(InvalidIntrospectionResponse("plan unknown"))?;
            let expires = match members.get("exp") {
                None => None,
                Some(exp) => {
                    let seconds = exp
                        .as_i64()
                        .filter(|s| (0..LATEST).contains(s))
                        .ok_or(InvalidIntrospectionResponse("exp"))?;
                    Some(seconds * 1_000_000)
                }
            };
            // Guards against a server that calls a token active past its own expiry.
            if expires.is_some_and(|at| at <= now) {
                return Err(InvalidIntrospectionResponse("active past exp"));
            }
            Ok(IntrospectionResult::Active(Identity {
                customer: subject,
                plan,
                expires_at: expires,
            }))
        }
    }
}

/// Words a finding for a caller of ours. Of a token that is not active nothing more is told.
pub fn encode_result(finding: IntrospectionResult, plans: &[String], now: Micros) -> Vec<u8> {
    let value = match finding {
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

/// What is believed of tokens for a while: bounded in number, and no longer than a token is good.
#[derive(Debug)]
pub struct TokenCache {
    most: usize,
    longest: Micros,
    known: BTreeMap<Token, (Micros, Identity)>,
    ends: BTreeSet<(Micros, Token)>,
}

impl TokenCache {
    /// An empty cache of at most `most` tokens, each for `longest` at the most.
    pub fn new(most: usize, longest: Micros) -> TokenCache {
        TokenCache {
            most,
            longest,
            known: BTreeMap::new(),
            ends: BTreeSet::new(),
        }
    }

    /// What is known of a token now.
    pub fn get(&mut self, token: &Token, now: Micros) -> Option<Identity> {
        while let Some((end, _)) = self.ends.first().filter(|(end, _)| *end <= now) {
            let end = *end;
            if let Some((_, token)) = self.ends.pop_first().filter(|(at, _)| *at == end) {
                self.known.remove(&token);
            }
        }
        self.known.get(token).map(|(_, identity)| *identity)
    }

    /// Keeps what was found of a token. A token that is not active, or without an expiry, is asked for each time.
    pub fn insert(&mut self, token: &Token, finding: IntrospectionResult, now: Micros) {
        if let Some((end, _)) = self.known.remove(token) {
            self.ends.remove(&(end, token.clone()));
        }
        let IntrospectionResult::Active(identity) = finding else {
            return;
        };
        let Some(expires) = identity.expires_at.filter(|at| *at > now && self.most > 0) else {
            return;
        };
        if self.known.len() >= self.most
            && let Some((_, soonest)) = self.ends.pop_first()
        {
            self.known.remove(&soonest);
        }
        let end = expires.min(now + self.longest);
        self.known.insert(token.clone(), (end, identity));
        self.ends.insert((end, token.clone()));
    }

    /// Tokens in it.
    pub fn len(&self) -> usize {
        self.known.len()
    }

    /// Nothing is in it.
    pub fn is_empty(&self) -> bool {
        self.known.is_empty()
    }
}

/// Reads the bearer token of a request. RFC 6750: no credentials, no error code; malformed, `invalid_request`.
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

/// Why a bearer token does not do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Challenge {
    /// There is none.
    Missing,
    /// It cannot be one.
    Malformed,
    /// It is not active, or ran out.
    Invalid,
}

impl Challenge {
    /// Status and `WWW-Authenticate`.
    pub fn response(self) -> (u16, &'static str) {
        match self {
            Challenge::Missing => (401, "Bearer"),
            Challenge::Malformed => (400, "Bearer error=\"invalid_request\""),
            Challenge::Invalid => (401, "Bearer error=\"invalid_token\""),
        }
    }
}

/// Compares without telling by its time how much was right.
pub fn constant_time_eq(a: &str, b: &str) -> bool {
    let differ = a
        .bytes()
        .zip(b.bytes())
        .fold(0, |differ, (a, b)| differ | (a ^ b));
    a.len() == b.len() && differ == 0
}

/// The caller of `/introspect`, by HTTP Basic as RFC 6749 words it (both parts form-encoded).
pub fn authenticate_caller<'a>(headers: &Headers, callers: &'a [Caller]) -> Option<&'a Caller> {
    let (scheme, text) = headers.get("Authorization")?.split_once(' ')?;
    let text = String::from_utf8(STANDARD.decode(text.trim()).ok()?).ok()?;
    let (id, secret) = text.split_once(':')?;
    let (id, secret) = (form_word(id), form_word(secret));
    let known = callers.iter().find(|caller| {
        constant_time_eq(&caller.client_id, &id) && constant_time_eq(&caller.client_secret, &secret)
    });
    known.filter(|_| scheme.eq_ignore_ascii_case("Basic"))
}

fn form_word(text: &str) -> String {
    form_urlencoded::parse(text.as_bytes())
        .map(|(word, _)| word.into_owned())
        .next()
        .unwrap_or_default()
}

/// The token that a caller asks about.
///
/// # Errors
/// The request is no question about a token.
pub fn parse_token_request(request: &Request) -> Result<Token, Rejection> {
    let kind = request.headers.get("Content-Type").unwrap_or_default();
    let kind = kind.split(';').next().unwrap_or_default().trim();
    if !kind.eq_ignore_ascii_case("application/x-www-form-urlencoded") {
        return Err(reject(400, "{\"error\":\"invalid_request\"}"));
    }
    let mut tokens = form_urlencoded::parse(&request.body).filter(|(name, _)| name == "token");
    let (Some((_, text)), None) = (tokens.next(), tokens.next()) else {
        return Err(reject(400, "{\"error\":\"invalid_request\"}"));
    };
    // A word that can be no token is not an error of the caller: it is a token that nobody knows.
    Ok(Token::parse(&text).unwrap_or(Token(String::new())))
}

impl Token {
    /// No token can be this.
    pub fn is_invalid(&self) -> bool {
        self.0.is_empty()
    }
}

/// How we ask an introspection server: where, and as whom.
#[derive(Clone, Default, PartialEq, Eq)]
pub struct IntrospectionEndpoint {
    /// Path of its endpoint.
    pub path: String,
    /// Our `client_id` there.
    pub client_id: String,
    /// Our `client_secret` there.
    pub client_secret: String,
}

impl fmt::Debug for IntrospectionEndpoint {
    /// Without the secret.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "Asking({} as {})", self.path, self.client_id)
    }
}

impl IntrospectionEndpoint {
    /// The request that asks about a token.
    pub fn build_request(&self, token: &Token) -> UpstreamRequest {
        let word =
            |text: &str| form_urlencoded::byte_serialize(text.as_bytes()).collect::<String>();
        let body = format!("token={}&token_type_hint=access_token", word(&token.0)).into_bytes();
        let basic = STANDARD.encode(format!(
            "{}:{}",
            word(&self.client_id),
            word(&self.client_secret)
        ));
        let head = format!(
            "POST {} HTTP/1.1\r\nHost: introspection.local\r\nAuthorization: Basic {basic}\r\n\
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

/// What an introspection server's whole answer comes to.
///
/// # Errors
/// The answer can't be believed; the error says why.
pub fn parse_response(
    answer: &Response,
    plans: &[String],
    now: Micros,
) -> Result<IntrospectionResult, InvalidIntrospectionResponse> {
    match answer.status {
        200 => parse_result(&answer.body, plans, now),
        _ => Err(InvalidIntrospectionResponse("status")),
    }
}

/// Status and `WWW-Authenticate` of an ending, for a client that showed a token.
pub fn rejection_status(ending: EngineRejection) -> (u16, Option<&'static str>) {
    match ending {
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

/// Customers beyond those of the platform are nobody's.
pub fn internal_customer() -> CustomerId {
    CustomerId(CUSTOMERS)
}

#[cfg(test)]
mod tests;
