//! The introspection front end: requests with bearer tokens, and callers' introspection requests (RFC 7662).

use super::*;
use crate::engine::{Authorisation, EngineRejection};
use crate::frontend::introspection::{
    self, Caller, Challenge, Identity, IntrospectionEndpoint, IntrospectionResult, Token,
    TokenCache,
};
use crate::frontend::platform::CommonFields;
use crate::net::framing::Request;

/// A request with a bearer token that is being looked up.
pub(super) struct BearerRequest {
    request: Request,
    /// Its class and deadline.
    common_fields: CommonFields,
    units: f64,
    token: Token,
}

/// The state of the introspection front end.
pub(super) struct IntrospectionFrontend {
    callers: Vec<Caller>,
    /// The endpoint of the introspection servers, and the credentials for it.
    endpoint: IntrospectionEndpoint,
    cache: TokenCache,
    upstreams: Vec<SocketAddr>,
    /// Position of the plan without quota, for the look-up of bearer tokens.
    internal_plan: usize,
}

const NO_STORE: (&str, &str) = ("Cache-Control", "no-store");
const JSON: (&str, &str) = ("Content-Type", "application/json");

impl IntrospectionFrontend {
    pub(super) fn new(config: IntrospectionConfig, internal_plan: usize) -> IntrospectionFrontend {
        IntrospectionFrontend {
            cache: TokenCache::new(config.cache_entries, config.cache_ttl),
            callers: config.callers,
            endpoint: config.endpoint,
            upstreams: config.upstreams,
            internal_plan,
        }
    }
}

impl IntrospectionFrontend {
    /// Replaces the callers that may send introspection requests.
    pub(super) fn set_callers(&mut self, callers: Vec<Caller>) {
        self.callers = callers;
    }
}

impl Host {
    /// Passes the configured introspection servers to their engine. The list never changes.
    pub(super) fn list_introspection_servers(&mut self) {
        let (Some(frontend), Some(service)) = (
            &self.introspection,
            self.services.get_mut(INTROSPECTION_SERVICE),
        ) else {
            return;
        };
        let mut entries = Vec::new();
        for (n, address) in frontend.upstreams.iter().enumerate() {
            let server = ServerId(n as u32);
            service.pool.add_server(server, *address);
            let state = streamarch::ServerState::Ready;
            entries.push(ServerEntry {
                server,
                zone: 0,
                machine_type: 0,
                cell: 0,
                state,
                weight: 1.0,
                started_at: 0,
            });
        }
        service.engine.update_servers(ListKind::Full, entries);
    }

    /// Handles a request at the introspection front end: looks up the token of a bearer request.
    pub(super) fn read_bearer_request(
        &mut self,
        now: Micros,
        key: ConnectionKey,
        request: Request,
    ) {
        let path = request.target.split('?').next().unwrap_or_default();
        if path == "/introspect" {
            return self.read_introspection_request(now, key, &request);
        }
        let result = self
            .platform
            .parse_common_fields(&request, &self.limits, now)
            .and_then(|common_fields| {
                let query = request
                    .target
                    .split_once('?')
                    .map_or("", |(_, query)| query);
                if query.split('&').any(|part| part.starts_with("account=")) {
                    return Err(crate::frontend::reject(400, "a token names the account"));
                }
                let terms = request.headers.get("X-Call-Terms").unwrap_or("units=1");
                let all_limiters = Some((self.platform.limiter_count.max(1), 0));
                let (units, _) =
                    self.platform
                        .parse_call_terms(terms, &self.limits, all_limiters)?;
                Ok((common_fields, units))
            });
        let (common_fields, units) = match result {
            Ok(parsed) => parsed,
            Err(rejection) => return self.respond_rejection(key, &rejection, !request.keep_alive),
        };
        let token = match introspection::bearer_token(&request.headers) {
            Ok(token) => token,
            Err(challenge) => return self.respond_challenge(key, challenge),
        };
        let Some(frontend) = &mut self.introspection else {
            return;
        };
        let cached = frontend.cache.get(&token, now);
        let bearer_request = BearerRequest {
            request,
            common_fields,
            units,
            token,
        };
        match cached {
            Some(identity) => self.submit_identified(key, bearer_request, identity),
            None => {
                let token_lookup = Authorisation {
                    plan: frontend.internal_plan,
                    customer: introspection::internal_customer(),
                    deadline: bearer_request.common_fields.deadline,
                    units: 1.0,
                    customer_limiters: 1,
                    ..Authorisation::default()
                };
                let upstream_request = frontend.endpoint.build_request(&bearer_request.token);
                self.submit_authorisation(
                    key,
                    INTROSPECTION_SERVICE,
                    token_lookup,
                    upstream_request,
                    RequestKind::TokenLookup(Box::new(bearer_request)),
                );
            }
        }
    }

    /// Submits a bearer request whose customer is known to the records service. It keeps its deadline, and does not run
    /// after the token has expired.
    fn submit_identified(
        &mut self,
        key: ConnectionKey,
        bearer_request: BearerRequest,
        identity: Identity,
    ) {
        let BearerRequest {
            mut request,
            common_fields,
            units,
            ..
        } = bearer_request;
        let separator = if request.target.contains('?') {
            '&'
        } else {
            '?'
        };
        request
            .target
            .push_str(&format!("{separator}account={:016x}", identity.customer.0));
        let authorisation = Authorisation {
            class: common_fields.class,
            plan: identity.plan,
            customer: identity.customer,
            deadline: common_fields.deadline,
            units,
            customer_limiters: self.platform.limiter_count.max(1),
            first_limiter: 0,
            is_client_retry: common_fields.is_client_retry,
            token_expires_at: identity.expires_at,
            ..Authorisation::default()
        };
        self.submit_authorisation(
            key,
            RECORDS_SERVICE,
            authorisation,
            UpstreamRequest::from_request(&request),
            RequestKind::Bearer,
        );
    }

    /// Handles a caller's introspection request.
    fn read_introspection_request(&mut self, now: Micros, key: ConnectionKey, request: &Request) {
        let Some(frontend) = &self.introspection else {
            return;
        };
        if request.method != "POST" {
            return self.respond(key, 405, &[("Allow", "POST"), NO_STORE], b"");
        }
        let Some(caller) = introspection::authenticate_caller(&request.headers, &frontend.callers)
        else {
            let headers = [
                ("WWW-Authenticate", "Basic realm=\"introspection\""),
                NO_STORE,
                JSON,
            ];
            return self.respond(key, 401, &headers, b"{\"error\":\"invalid_client\"}");
        };
        let token = match introspection::parse_token_request(request) {
            Ok(token) => token,
            Err(rejection) => {
                let body = rejection.text.as_bytes();
                return self.respond(key, rejection.status, &[NO_STORE, JSON], body);
            }
        };
        let requested_deadline = self
            .platform
            .parse_deadline(&request.headers, &self.limits, now);
        let authorisation = Authorisation {
            plan: caller.plan,
            customer: caller.customer,
            deadline: requested_deadline.unwrap_or(now + self.limits.introspection_timeout),
            units: 1.0,
            customer_limiters: self.platform.limiter_count.max(1),
            ..Authorisation::default()
        };
        let upstream_request = frontend.endpoint.build_request(&token);
        self.submit_authorisation(
            key,
            INTROSPECTION_SERVICE,
            authorisation,
            upstream_request,
            RequestKind::Introspection(token),
        );
    }

    fn respond_challenge(&mut self, key: ConnectionKey, challenge: Challenge) {
        let (status, header_value) = challenge.response();
        self.respond(
            key,
            status,
            &[("WWW-Authenticate", header_value), NO_STORE],
            b"",
        );
    }

    /// Answers an introspection request from the cache instead of starting an attempt. It counts against the caller's
    /// quota all the same, as the engine has admitted it. Returns whether it was answered.
    pub(super) fn answer_from_cache(
        &mut self,
        now: Micros,
        authorisation: AuthorisationRef,
        attempt: u32,
    ) -> bool {
        let (service, key) = authorisation;
        let Some(frontend) = self
            .introspection
            .as_mut()
            .filter(|_| service == INTROSPECTION_SERVICE)
        else {
            return false;
        };
        let service_state = &mut self.services[service];
        let Some(RequestKind::Introspection(token)) =
            service_state.pending.get(key).map(|p| &p.kind)
        else {
            return false;
        };
        let introspection_result = match frontend.cache.get(token, now) {
            Some(identity) => IntrospectionResult::Active(identity),
            None if token.is_invalid() => IntrospectionResult::Inactive,
            None => return false,
        };
        // The request ends like any other, by `handle_attempt_ended` and `take_pending`, so that its share of the
        // buffer limit is released.
        if service_state
            .engine
            .handle_attempt_ended(now, key, attempt, Outcome::Ok, None)
            && let Some(pending) = self.take_pending(authorisation)
        {
            self.respond_introspection_result(now, pending.connection, introspection_result);
        }
        true
    }

    fn respond_introspection_result(
        &mut self,
        now: Micros,
        key: ConnectionKey,
        introspection_result: IntrospectionResult,
    ) {
        let body =
            introspection::encode_result(introspection_result, &self.platform.names.plans, now);
        self.respond(key, 200, &[JSON, NO_STORE], &body);
    }

    /// The outcome of an attempt at an introspection server. An invalid response is a failure, whatever its status.
    pub(super) fn introspection_outcome(&self, now: Micros, response: &Response) -> Outcome {
        match introspection::parse_response(response, &self.platform.names.plans, now) {
            Ok(_) => Outcome::Ok,
            Err(_) if matches!(response.status, 429 | 503) => Outcome::Rejected,
            Err(error) => {
                self.warn(&format!("{error} (status {})", response.status));
                Outcome::Error
            }
        }
    }

    /// Handles an introspection server's response, which was found valid before.
    pub(super) fn handle_introspection_response(
        &mut self,
        key: ConnectionKey,
        kind: RequestKind,
        response: &Response,
    ) {
        let now = self.now();
        // The token may have expired since the first check: then it counts as inactive.
        let introspection_result =
            introspection::parse_response(response, &self.platform.names.plans, now)
                .unwrap_or(IntrospectionResult::Inactive);
        let Some(frontend) = &mut self.introspection else {
            return;
        };
        match (kind, introspection_result) {
            (RequestKind::TokenLookup(bearer_request), introspection_result) => {
                frontend
                    .cache
                    .insert(&bearer_request.token, introspection_result, now);
                match introspection_result {
                    IntrospectionResult::Active(identity) => {
                        self.submit_identified(key, *bearer_request, identity)
                    }
                    IntrospectionResult::Inactive => {
                        self.respond_challenge(key, Challenge::Invalid)
                    }
                }
            }
            (RequestKind::Introspection(token), introspection_result) => {
                frontend.cache.insert(&token, introspection_result, now);
                self.respond_introspection_result(now, key, introspection_result);
            }
            (RequestKind::Platform | RequestKind::Bearer, _) => {}
        }
    }

    /// Responds to a request at this front end that the engine rejected.
    pub(super) fn reject_introspection(
        &mut self,
        key: ConnectionKey,
        kind: RequestKind,
        rejection: EngineRejection,
    ) {
        let rejection = match kind {
            // The token could not be looked up: the request itself has not run, and may be retried.
            RequestKind::TokenLookup(_)
                if !matches!(rejection, EngineRejection::Declined { .. }) =>
            {
                EngineRejection::Declined {
                    retry_after: 0,
                    over_quota: false,
                }
            }
            _ => rejection,
        };
        let (status, challenge) = introspection::rejection_status(rejection);
        let retry_after = match rejection {
            EngineRejection::Declined { retry_after: 0, .. } => self.limits.default_retry_after,
            EngineRejection::Declined { retry_after, .. } => retry_after,
            _ => 0,
        };
        let mut headers = vec![NO_STORE];
        headers.extend(challenge.map(|value| ("WWW-Authenticate", value)));
        self.respond_retry_later(key, status, retry_after, &headers, b"");
    }
}
