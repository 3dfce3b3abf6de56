//! The platform's protocol: thin. A request's headers become an authorisation, an ending becomes a status.

use streamarch::{Class, CustomerId, Idempotency, Micros};

use crate::config::NameTables;
use crate::engine::{Authorisation, EngineRejection};
use crate::frontend::{Rejection, reject};
use crate::limits::Limits;
use crate::net::framing::{Headers, Request};

/// Customers are numbers below this.
pub(crate) const CUSTOMERS: u64 = 1 << 33;
/// Longest time that a client may say it waits, in seconds.
const LONGEST_WAIT: f64 = 3_600.0;

/// What the front knows of the deployment.
#[derive(Clone, Debug)]
pub struct PlatformFrontend {
    /// Names of classes and plans.
    pub names: NameTables,
    /// The classes.
    pub classes: Vec<Class>,
    /// Number of limiters.
    pub limiter_count: u32,
}

fn number(text: &str) -> Option<f64> {
    // Guards against what Rust's parser takes beside plain decimals: signs, exponents, "inf" and "nan".
    let plain = !text.is_empty()
        && text.len() <= 20
        && text.bytes().all(|b| b.is_ascii_digit() || b == b'.');
    text.parse::<f64>().ok().filter(|n| plain && n.is_finite())
}

/// A request's parts that both fronts read alike: class and time.
pub struct CommonFields {
    /// Position of the class.
    pub class: usize,
    /// When the final answer is due.
    pub deadline: Micros,
    /// A client's repeat.
    pub is_retry: bool,
}

impl PlatformFrontend {
    /// Reads class, method, key, id and time. `now`: when the last byte came.
    ///
    /// # Errors
    /// A header is missing or malformed.
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
        let trace = headers
            .get("X-Trace-Id")
            .filter(|t| !t.is_empty() && t.len() <= 128);
        trace.ok_or(reject(400, "X-Trace-Id"))?;
        let safe = self
            .classes
            .get(class)
            .is_some_and(|c| c.idempotency == Idempotency::Idempotent);
        let keyed = self
            .classes
            .get(class)
            .is_some_and(|c| matches!(c.idempotency, Idempotency::Keyed { .. }));
        if request.method != if safe { "GET" } else { "POST" } {
            return Err(reject(400, "the class has another method"));
        }
        if safe && !request.body.is_empty() {
            return Err(reject(400, "a request that is safe to repeat has no body"));
        }
        if keyed
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
            is_retry: headers.get("X-Second-Try") == Some("1"),
        })
    }

    /// When the final answer is due, by `X-Expires-In`.
    pub fn parse_deadline(
        &self,
        headers: &Headers,
        limits: &Limits,
        now: Micros,
    ) -> Option<Micros> {
        let wait = headers
            .get("X-Expires-In")
            .and_then(number)
            .filter(|s| *s > 0.0 && *s <= LONGEST_WAIT)?;
        let wait = (wait * 1e6) as Micros;
        // Guards rule 1: the client's time began at its send, and the final answer needs time on its way back.
        Some(now + wait - limits.response_margin.min(wait / 2))
    }

    /// Reads a whole request.
    ///
    /// # Errors
    /// A header is missing or malformed.
    pub fn parse_request(
        &self,
        request: &Request,
        limits: &Limits,
        now: Micros,
    ) -> Result<Authorisation, Rejection> {
        let basics = self.parse_common_fields(request, limits, now)?;
        let headers = &request.headers;
        headers.get("X-Qos").ok_or(reject(400, "X-Qos"))?;
        let plan = headers
            .get("X-Tier")
            .and_then(|name| self.names.plans.iter().position(|p| p == name));
        let plan = plan.ok_or(reject(400, "X-Tier"))?;
        let terms = headers
            .get("X-Call-Terms")
            .ok_or(reject(400, "X-Call-Terms"))?;
        let (units, (spread, first)) = self.parse_call_terms(terms, limits, None)?;
        Ok(Authorisation {
            class: basics.class,
            plan,
            customer: account(&request.target).ok_or(reject(400, "account"))?,
            deadline: basics.deadline,
            units,
            limiter_count: spread,
            first_limiter: first,
            is_retry: basics.is_retry,
            token_expires_at: None,
            ..Authorisation::default()
        })
    }

    /// Reads `units=2,spread=3,first=1`; each once, others ignored. The set may be left out where it is known.
    ///
    /// # Errors
    /// A header is missing or malformed.
    pub fn parse_call_terms(
        &self,
        text: &str,
        limits: &Limits,
        set: Option<LimiterSet>,
    ) -> Result<(f64, LimiterSet), Rejection> {
        let bad = reject(400, "X-Call-Terms");
        let (mut units, mut spread, mut first) = (None, None, None);
        for part in text.split(',') {
            let (name, value) = part.trim().split_once('=').ok_or(bad.clone())?;
            let field = match name {
                "units" => &mut units,
                "spread" => &mut spread,
                "first" => &mut first,
                _ => continue,
            };
            let number = number(value).ok_or(bad.clone())?;
            if field.replace(number).is_some() {
                return Err(bad);
            }
        }
        let units = units
            .filter(|units| *units > 0.0 && units * 1_000.0 <= limits.max_units_thousandths as f64);
        let most = f64::from(self.limiter_count.max(1));
        let told = spread.zip(first).and_then(|(spread, first)| {
            let whole = spread.fract() == 0.0 && first.fract() == 0.0;
            let fits = whole && (1.0..=most).contains(&spread) && (0.0..most).contains(&first);
            fits.then_some((spread as u32, first as u32))
        });
        units.zip(set.or(told)).ok_or(bad)
    }
}

/// A customer's limiters: how many, and the number of the first.
pub type LimiterSet = (u32, u32);

/// The customer in the query: `account`, once, 16 hex digits.
fn account(target: &str) -> Option<CustomerId> {
    let (_, query) = target.split_once('?')?;
    let mut named = query
        .split('&')
        .filter_map(|part| part.strip_prefix("account="));
    let (text, None) = (named.next()?, named.next()) else {
        return None;
    };
    parse_customer_id(text)
}

/// A customer as 16 hex digits.
pub fn parse_customer_id(text: &str) -> Option<CustomerId> {
    let plain = text.len() == 16 && text.bytes().all(|b| b.is_ascii_hexdigit());
    let number = u64::from_str_radix(text, 16).ok()?;
    (plain && number < CUSTOMERS).then_some(CustomerId(number))
}

/// The status of an ending, and how long the client had better stay away.
pub fn rejection_status(ending: EngineRejection) -> (u16, Micros) {
    match ending {
        EngineRejection::Declined {
            retry_after: stay_away,
            over_quota: true,
        } => (429, stay_away),
        EngineRejection::Declined {
            retry_after: stay_away,
            over_quota: false,
        } => (503, stay_away),
        EngineRejection::Failed => (504, 0),
        EngineRejection::Expired {
            may_have_run: false,
        } => (401, 0),
        EngineRejection::Expired { may_have_run: true } => (504, 0),
    }
}
