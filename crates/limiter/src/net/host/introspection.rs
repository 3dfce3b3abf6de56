//! The introspection front on its connections: bearer requests, callers' questions, and what was found.

use super::*;
use crate::engine::{Authorisation, EngineRejection};
use crate::frontend::introspection::{
    self, Caller, Challenge, Identity, IntrospectionEndpoint, IntrospectionResult, Token,
    TokenCache,
};
use crate::frontend::platform::CommonFields;
use crate::net::framing::Request;

/// A bearer request whose token is being asked about.
pub(super) struct BearerRequest {
    request: Request,
    basics: CommonFields,
    units: f64,
    token: Token,
}

/// What the front holds.
pub(super) struct IntrospectionFrontend {
    callers: Vec<Caller>,
    endpoint: IntrospectionEndpoint,
    cache: TokenCache,
    upstreams: Vec<SocketAddr>,
    /// Position of the plan without quota, for what we ask on our own account.
    internal_plan: usize,
}

const NO_STORE: (&str, &str) = ("Cache-Control", "no-store");
const JSON: (&str, &str) = ("Content-Type", "application/json");

impl IntrospectionFrontend {
    pub(super) fn new(front: IntrospectionConfig, house: usize) -> IntrospectionFrontend {
        IntrospectionFrontend {
            cache: TokenCache::new(front.cache_entries, front.cache_ttl),
            callers: front.callers,
            endpoint: front.endpoint,
            upstreams: front.upstreams,
            internal_plan: house,
        }
    }
}

impl IntrospectionFrontend {
    /// Who may ask from now on.
    pub(super) fn set_callers(&mut self, callers: Vec<Caller>) {
        self.callers = callers;
    }
}

impl Host {
    /// The introspection servers are the token engine's routing table; it never changes.
    pub(super) fn list_introspection_servers(&mut self) {
        let (Some(tokens), Some(service)) = (
            &self.introspection,
            self.services.get_mut(INTROSPECTION_SERVICE),
        ) else {
            return;
        };
        let mut entries = Vec::new();
        for (n, address) in tokens.upstreams.iter().enumerate() {
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

    /// A request at the introspection front.
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
        let read = self
            .platform
            .parse_common_fields(&request, &self.limits, now)
            .and_then(|basics| {
                let query = request
                    .target
                    .split_once('?')
                    .map_or("", |(_, query)| query);
                if query.split('&').any(|part| part.starts_with("account=")) {
                    return Err(crate::frontend::reject(400, "a token names the account"));
                }
                let terms = request.headers.get("X-Call-Terms").unwrap_or("units=1");
                let everywhere = Some((self.platform.limiter_count.max(1), 0));
                let (units, _) = self
                    .platform
                    .parse_call_terms(terms, &self.limits, everywhere)?;
                Ok((basics, units))
            });
        let (basics, units) = match read {
            Ok(read) => read,
            Err(rejection) => return self.respond_rejection(key, &rejection, !request.keep_alive),
        };
        let token = match introspection::bearer_token(&request.headers) {
            Ok(token) => token,
            Err(challenge) => return self.respond_challenge(key, challenge),
        };
        let Some(tokens) = &mut self.introspection else {
            return;
        };
        let known = tokens.cache.get(&token, now);
        let bearing = BearerRequest {
            request,
            basics,
            units,
            token,
        };
        match known {
            Some(identity) => self.submit_identified(key, bearing, identity),
            None => {
                let asking = Authorisation {
                    plan: tokens.internal_plan,
                    customer: introspection::internal_customer(),
                    deadline: bearing.basics.deadline,
                    units: 1.0,
                    limiter_count: 1,
                    ..Authorisation::default()
                };
                let forward = tokens.endpoint.build_request(&bearing.token);
                self.submit_authorisation(
                    key,
                    INTROSPECTION_SERVICE,
                    asking,
                    forward,
                    RequestKind::TokenLookup(Box::new(bearing)),
                );
            }
        }
    }

    /// Whose the token is, is known: the work itself is asked for, in the same time and good no longer than it.
    fn submit_identified(
        &mut self,
        key: ConnectionKey,
        bearing: BearerRequest,
        identity: Identity,
    ) {
        let BearerRequest {
            mut request,
            basics,
            units,
            ..
        } = bearing;
        let joint = if request.target.contains('?') {
            '&'
        } else {
            '?'
        };
        request
            .target
            .push_str(&format!("{joint}account={:016x}", identity.customer.0));
        let authorisation = Authorisation {
            class: basics.class,
            plan: identity.plan,
            customer: identity.customer,
            deadline: basics.deadline,
            units,
            limiter_count: self.platform.limiter_count.max(1),
            first_limiter: 0,
            is_retry: basics.is_retry,
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

    /// A caller asks about a token.
    fn read_introspection_request(&mut self, now: Micros, key: ConnectionKey, request: &Request) {
        let Some(tokens) = &self.introspection else {
            return;
        };
        if request.method != "POST" {
            return self.respond(key, 405, &[("Allow", "POST"), NO_STORE], b"");
        }
        let Some(caller) = introspection::authenticate_caller(&request.headers, &tokens.callers)
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
        let wait = self
            .platform
            .parse_deadline(&request.headers, &self.limits, now);
        let question = Authorisation {
            plan: caller.plan,
            customer: caller.customer,
            deadline: wait.unwrap_or(now + self.limits.introspection_timeout),
            units: 1.0,
            limiter_count: self.platform.limiter_count.max(1),
            ..Authorisation::default()
        };
        let forward = tokens.endpoint.build_request(&token);
        self.submit_authorisation(
            key,
            INTROSPECTION_SERVICE,
            question,
            forward,
            RequestKind::Introspection(token),
        );
    }

    fn respond_challenge(&mut self, key: ConnectionKey, challenge: Challenge) {
        let (status, text) = challenge.response();
        self.respond(key, status, &[("WWW-Authenticate", text), NO_STORE], b"");
    }

    /// A leg whose answer is known already needs no server: the question has passed the caller's quota by then.
    pub(super) fn answer_from_cache(
        &mut self,
        now: Micros,
        ticket: AuthorisationRef,
        leg: u32,
    ) -> bool {
        let (service, key) = ticket;
        let Some(tokens) = self
            .introspection
            .as_mut()
            .filter(|_| service == INTROSPECTION_SERVICE)
        else {
            return false;
        };
        let known = &mut self.services[service];
        let Some(RequestKind::Introspection(token)) = known.pending.get(key).map(|p| &p.kind)
        else {
            return false;
        };
        let finding = match tokens.cache.get(token, now) {
            Some(identity) => IntrospectionResult::Active(identity),
            None if token.is_invalid() => IntrospectionResult::Inactive,
            None => return false,
        };
        // Guards the budget: what a question holds is given back by the one way in which an answer stops being owed.
        if known
            .engine
            .handle_attempt_ended(now, key, leg, Outcome::Ok, None)
            && let Some(pending) = self.take_pending(ticket)
        {
            self.respond_finding(now, pending.connection, finding);
        }
        true
    }

    fn respond_finding(&mut self, now: Micros, key: ConnectionKey, finding: IntrospectionResult) {
        let body = introspection::encode_result(finding, &self.platform.names.plans, now);
        self.respond(key, 200, &[JSON, NO_STORE], &body);
    }

    /// The outcome of a leg to an introspection server. One that lies has failed, whatever its status.
    pub(super) fn introspection_outcome(&self, now: Micros, answer: &Response) -> Outcome {
        match introspection::parse_response(answer, &self.platform.names.plans, now) {
            Ok(_) => Outcome::Ok,
            Err(_) if matches!(answer.status, 429 | 503) => Outcome::Rejected,
            Err(lie) => {
                self.warn(&format!("{lie} (status {})", answer.status));
                Outcome::Error
            }
        }
    }

    /// An introspection server's answer, judged before.
    pub(super) fn handle_introspection_response(
        &mut self,
        key: ConnectionKey,
        purpose: RequestKind,
        answer: &Response,
    ) {
        let now = self.now();
        // Guards the instant between the two looks at the clock: fails closed.
        let finding = introspection::parse_response(answer, &self.platform.names.plans, now)
            .unwrap_or(IntrospectionResult::Inactive);
        let Some(tokens) = &mut self.introspection else {
            return;
        };
        match (purpose, finding) {
            (RequestKind::TokenLookup(bearing), finding) => {
                tokens.cache.insert(&bearing.token, finding, now);
                match finding {
                    IntrospectionResult::Active(identity) => {
                        self.submit_identified(key, *bearing, identity)
                    }
                    IntrospectionResult::Inactive => {
                        self.respond_challenge(key, Challenge::Invalid)
                    }
                }
            }
            (RequestKind::Introspection(token), finding) => {
                tokens.cache.insert(&token, finding, now);
                self.respond_finding(now, key, finding);
            }
            (RequestKind::Platform | RequestKind::Bearer, _) => {}
        }
    }

    /// An ending that no server gave, at this front.
    pub(super) fn reject_introspection(
        &mut self,
        key: ConnectionKey,
        purpose: RequestKind,
        ending: EngineRejection,
    ) {
        let ending = match purpose {
            // Whose it is could not be learned: nothing has run, and a retry is harmless.
            RequestKind::TokenLookup(_) if !matches!(ending, EngineRejection::Declined { .. }) => {
                EngineRejection::Declined {
                    retry_after: 0,
                    over_quota: false,
                }
            }
            _ => ending,
        };
        let (status, challenge) = introspection::rejection_status(ending);
        let stay_away = match ending {
            EngineRejection::Declined { retry_after: 0, .. } => self.limits.default_retry_after,
            EngineRejection::Declined {
                retry_after: stay_away,
                ..
            } => stay_away,
            _ => 0,
        };
        let mut headers = vec![NO_STORE];
        headers.extend(challenge.map(|text| ("WWW-Authenticate", text)));
        self.respond_retry_later(key, status, stay_away, &headers, b"");
    }
}
