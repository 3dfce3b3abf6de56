//! The front end of the platform's protocol: maps a request's headers to an authorisation, and a rejection to a status.

use streamarch::{Class, CustomerId, Idempotency, Micros};

use crate::config::NameTables;
use crate::engine::{Authorisation, EngineRejection};
use crate::frontend::{Rejection, reject};
use crate::limits::Limits;
use crate::net::framing::{Headers, Request};

/// Ids of customers are below this.
pub(crate) const CUSTOMER_ID_LIMIT: u64 = 1 << 33;
/// Maximum time that a client may wait for its response, in seconds.
const MAX_WAIT_S: f64 = 3_600.0;

/// The settings of the deployment that requests are checked against.
#[derive(Clone, Debug)]
pub struct PlatformFrontend {
    /// Names of classes and plans, by position.
    pub names: NameTables,
    /// The classes, by position.
    pub classes: Vec<Class>,
    /// Number of limiters in the tier.
    pub limiter_count: u32,
}

/// Parses a plain decimal number. Signs, exponents, "inf" and "nan", which Rust's own parser accepts, are rejected.
fn parse_decimal(text: &str) -> Option<f64> {
    let is_plain = !text.is_empty()
        && text.len() <= 20
        && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse::<f64>()
        .ok()
        .filter(|n| is_plain && n.is_finite())
}

/// The fields of a request that both front ends parse alike.
pub struct CommonFields {
    /// Position of the class.
    pub class: usize,
    /// Deadline of the final response.
    pub deadline: Micros,
    /// Whether it is a client's retry.
    pub is_client_retry: bool,
}

impl PlatformFrontend {
    /// Checks class, method, key and id, and parses the deadline. `now` is when the last byte arrived.
    ///
    /// # Errors
    /// The class is unknown, the method or body does not suit it, or a header is missing or malformed.
    pub fn parse_common_fields(
        &self,
        request: &Request,
        limits: &Limits,
        now: Micros,
    ) -> Result<CommonFields, Rejection> {
        let headers = &request.headers;
        let path = request.target.split('?').next().unwrap_or_default();
        let name = path
            .strip_prefix('/')
            .unwrap_or_default()
            .split('/')
            .next()
            .unwrap_or_default();
        let class = self
            .names
            .classes
            .iter()
            .position(|c| c == name)
            .ok_or(reject(404, "no such class"))?;
        if headers.contains("X-Qos") && headers.get("X-Qos") != Some(name) {
            return Err(reject(400, "X-Qos is not the path's class"));
        }
        let trace_id = headers
            .get("X-Trace-Id")
            .filter(|t| !t.is_empty() && t.len() <= 128);
        trace_id.ok_or(reject(400, "X-Trace-Id"))?;
        let is_safe = self
            .classes
            .get(class)
            .is_some_and(|c| c.idempotency == Idempotency::Idempotent);
        let is_keyed = self
            .classes
            .get(class)
            .is_some_and(|c| matches!(c.idempotency, Idempotency::Keyed { .. }));
        if request.method != if is_safe { "GET" } else { "POST" } {
            return Err(reject(400, "the class has another method"));
        }
        if is_safe && !request.body.is_empty() {
            return Err(reject(400, "a request that is safe to repeat has no body"));
        }
        if is_keyed
            && headers
                .get("Idempotency-Key")
                .is_none_or(|k| k.is_empty() || k.len() > 256)
        {
            return Err(reject(400, "Idempotency-Key"));
        }
        let deadline = self
            .parse_deadline(headers, limits, now)
            .ok_or(reject(400, "X-Expires-In"))?;
        Ok(CommonFields {
            class,
            deadline,
            is_client_retry: headers.get("X-Second-Try") == Some("1"),
        })
    }

    /// The deadline of the final response by `X-Expires-In`, which gives the client's time-out in seconds; `None` if it is
    /// missing or invalid.
    pub fn parse_deadline(
        &self,
        headers: &Headers,
        limits: &Limits,
        now: Micros,
    ) -> Option<Micros> {
        let wait_s = headers
            .get("X-Expires-In")
            .and_then(parse_decimal)
            .filter(|s| *s > 0.0 && *s <= MAX_WAIT_S)?;
        let wait = (wait_s * 1e6) as Micros;
        // The client's time-out runs from when it sent the request, and the response takes time to travel back: without this
        // margin the final response could arrive after the client has given up.
        Some(now + wait - limits.response_margin.min(wait / 2))
    }

    /// Parses a complete request into an authorisation.
    ///
    /// # Errors
    /// The class is unknown, the method or body does not suit it, or a header is missing or malformed.
    pub fn parse_request(
        &self,
        request: &Request,
        limits: &Limits,
        now: Micros,
    ) -> Result<Authorisation, Rejection> {
        let fields = self.parse_common_fields(request, limits, now)?;
        let headers = &request.headers;
        headers.get("X-Qos").ok_or(reject(400, "X-Qos"))?;
        let plan = headers
            .get("X-Tier")
            .and_then(|name| self.names.plans.iter().position(|p| p == name));
        let plan = plan.ok_or(reject(400, "X-Tier"))?;
        let terms = headers
            .get("X-Call-Terms")
            .ok_or(reject(400, "X-Call-Terms"))?;
        let (units, (customer_limiters, first_limiter)) =
            self.parse_call_terms(terms, limits, None)?;
        Ok(Authorisation {
            class: fields.class,
            plan,
            customer: customer_in_query(&request.target).ok_or(reject(400, "account"))?,
            deadline: fields.deadline,
            units,
            customer_limiters,
            first_limiter,
            is_client_retry: fields.is_client_retry,
            token_expires_at: None,
            ..Authorisation::default()
        })
    }

    /// Parses `X-Call-Terms`, such as `units=2,spread=3,first=1`: each key at most once, unknown keys ignored. If
    /// `limiter_set` is given, it takes the place of `spread` and `first`, which may then be missing.
    ///
    /// # Errors
    /// The value is malformed or out of range.
    pub fn parse_call_terms(
        &self,
        text: &str,
        limits: &Limits,
        limiter_set: Option<LimiterSet>,
    ) -> Result<(f64, LimiterSet), Rejection> {
        let rejection = reject(400, "X-Call-Terms");
        let (mut units, mut spread, mut first) = (None, None, None);
        for part in text.split(',') {
            let (name, value) = part.trim().split_once('=').ok_or(rejection.clone())?;
            let field = match name {
                "units" => &mut units,
                "spread" => &mut spread,
                "first" => &mut first,
                _ => continue,
            };
            let number = parse_decimal(value).ok_or(rejection.clone())?;
            if field.replace(number).is_some() {
                return Err(rejection);
            }
        }
        let units = units
            .filter(|units| *units > 0.0 && units * 1_000.0 <= limits.max_units_thousandths as f64);
        let limiter_count = f64::from(self.limiter_count.max(1));
        let parsed_set = spread.zip(first).and_then(|(spread, first)| {
            let is_whole = spread.fract() == 0.0 && first.fract() == 0.0;
            let is_valid = is_whole
                && (1.0..=limiter_count).contains(&spread)
                && (0.0..limiter_count).contains(&first);
            is_valid.then_some((spread as u32, first as u32))
        });
        units.zip(limiter_set.or(parsed_set)).ok_or(rejection)
    }
}

/// The limiters that a customer is spread over: how many, and the number of the first.
pub type LimiterSet = (u32, u32);

/// The customer named by the query parameter `account`, which must occur exactly once.
fn customer_in_query(target: &str) -> Option<CustomerId> {
    let (_, query) = target.split_once('?')?;
    let mut accounts = query
        .split('&')
        .filter_map(|part| part.strip_prefix("account="));
    let (text, None) = (accounts.next()?, accounts.next()) else {
        return None;
    };
    parse_customer_id(text)
}

/// Parses a customer's id: 16 hex digits, below `CUSTOMER_ID_LIMIT`.
pub fn parse_customer_id(text: &str) -> Option<CustomerId> {
    let is_hex = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let number = u64::from_str_radix(text, 16).ok()?;
    (is_hex && number < CUSTOMER_ID_LIMIT).then_some(CustomerId(number))
}

/// The HTTP status of a rejection, and how long the client should wait before a retry; 0 gives no advice.
pub fn rejection_status(rejection: EngineRejection) -> (u16, Micros) {
    match rejection {
        EngineRejection::Declined {
            retry_after,
            over_quota: true,
        } => (429, retry_after),
        EngineRejection::Declined {
            retry_after,
            over_quota: false,
        } => (503, retry_after),
        EngineRejection::Failed => (504, 0),
        EngineRejection::Expired {
            may_have_run: false,
        } => (401, 0),
        EngineRejection::Expired { may_have_run: true } => (504, 0),
    }
}
