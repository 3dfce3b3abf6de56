//! Admits a request by its head: its route, tenant, service, regions and deadline.

use dataplane::framing::{BodyFraming, Headers};

use super::clients::RESPONSE_MARGIN;
use super::responses::{DEFAULT_RETRY_AFTER, LocalResponse, local_response, retry_later};
use super::*;
use crate::config_store::AuthenticationError;
use crate::response_class::is_hop_by_hop_field;
use crate::router::RoutingRequest;
use crate::shedding::SheddingRequest;

/// Mean `Retry-After` of a proxy that has no configuration or servers yet: after a power failure of
/// all zones the server list is back within a second.
const STARTUP_RETRY_AFTER: Micros = 700 * MS;

/// Longest request id that is accepted.
const MAX_REQUEST_ID_BYTES: usize = 256;

/// A request body that is forwarded while it arrives.
pub(super) struct StreamedBody {
    pub(super) framing: BodyFraming,
    /// The time that the request is allowed in addition, for the body to arrive.
    pub(super) extra_time: Micros,
}

impl Host {
    /// Whether a request is shed by its head alone: it is rejected before its body is read, and the
    /// connection is closed after the response. Checked once, when the head is complete, and only if
    /// the route has a single service: with several the service is not selected yet.
    pub(super) fn is_shed_by_head(&mut self, now: Micros, connection_id: ConnectionId) -> bool {
        let Some(Role::Client(client)) = self.roles.get_mut(connection_id) else {
            return false;
        };
        let Some(head) = client.incoming.head() else {
            return false;
        };
        if std::mem::replace(&mut client.shedding_checked, true) {
            return false;
        }
        let matched_route = head
            .headers
            .get("Host")
            .and_then(|host| self.config_store.find_route(host, &head.target));
        let (Some(route), Some(request_id)) = (matched_route, head.headers.get("X-Request-Id"))
        else {
            return false;
        };
        let mut services = route.services().filter(|(_, weight)| *weight > 0.0);
        let (Some((service, _)), None) = (services.next(), services.next()) else {
            return false;
        };
        let Ok(tenant) = self
            .config_store
            .authenticate(api_key(&head.headers), route)
        else {
            return false;
        };
        let tenant = tenant.map(|named| (named.name.as_str(), &named.tenant));
        let shedding_request = SheddingRequest {
            request_id,
            route,
            service,
            tenant,
        };
        client.band = shedding_request.band();
        self.router.is_shed_by_head(now, &shedding_request)
    }

    /// Admits a request by its head and submits it to the router. `streamed`: its body is forwarded
    /// while it arrives.
    ///
    /// # Errors
    /// The response to a request that can't be routed.
    pub(super) fn admit(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        head: RequestHead,
        body: Vec<u8>,
        streamed: Option<StreamedBody>,
    ) -> Result<(), LocalResponse> {
        self.check_configuration_loaded()?;
        if self.lifecycle.should_reject_requests(now, &self.limits) {
            return Err(retry_later(503, DEFAULT_RETRY_AFTER, "shutting down"));
        }
        let host = head
            .headers
            .get("Host")
            .ok_or(local_response(400, "Host"))?;
        let route = self
            .config_store
            .find_route(host, &head.target)
            .ok_or_else(|| self.refusal_by_configuration(now, 404, "no route"))?
            .clone();
        let request_id = head
            .headers
            .get("X-Request-Id")
            .filter(|request_id| !request_id.is_empty() && request_id.len() <= MAX_REQUEST_ID_BYTES)
            .ok_or(local_response(400, "X-Request-Id"))?
            .to_string();
        let api_key = api_key(&head.headers);
        let tenant = self
            .config_store
            .authenticate(api_key, &route)
            .map_err(|error| self.authentication_error_response(now, error))?
            .cloned();
        self.forwarded_keys
            .check(tenant.is_some() || api_key.is_none());
        self.metrics.admitted_before_complete +=
            u64::from(self.completeness < Completeness::Complete);
        let allowed_time = allowed_time(&head.headers, &route);
        let extra_time = streamed.as_ref().map_or(0, |body| body.extra_time);
        let service = choose_service(&route).ok_or(retry_later(
            503,
            DEFAULT_RETRY_AFTER,
            "no service takes it",
        ))?;
        let tenant_pins = tenant.as_ref().map_or(&[][..], |named| &named.tenant.pins);
        let regions = common_regions(&route.pins, tenant_pins).ok_or(retry_later(
            503,
            DEFAULT_RETRY_AFTER,
            "no region may serve it",
        ))?;
        self.ensure_engine(now, &service, &regions, &route);
        let tenant_name = tenant.as_ref().map(|named| named.name.as_str());
        let header_lines = forwarded_header_lines(&head.headers, tenant_name);
        let request = self.requests.insert(Request {
            client: connection_id,
            method: head.method,
            target: head.target,
            header_lines,
            body,
            id: request_id.clone(),
            route: route.clone(),
            deadline: now + allowed_time + extra_time,
            allowed_time,
            body_framing: streamed.map(|body| body.framing),
            handle: RequestHandle {
                engine_index: 0,
                key: AuthorisationKey::default(),
            },
            attempts: Vec::new(),
            may_have_run: false,
            failed_response: None,
        });
        let routing = RoutingRequest {
            key: request,
            request_id: &request_id,
            route: &route,
            service: &service,
            tenant: tenant
                .as_ref()
                .map(|named| (named.name.as_str(), &named.tenant)),
            allowed_regions: &regions,
            deadline: now + allowed_time + extra_time,
        };
        self.submit_request(now, connection_id, &routing)
    }

    /// Checks that a whole configuration and the servers have been received. Of a part nothing is served: a longer prefix, the
    /// tenants, or the evacuation of a zone may be missing.
    ///
    /// # Errors
    /// The response until then, which asks clients to retry.
    fn check_configuration_loaded(&self) -> Result<(), LocalResponse> {
        let has_configuration =
            self.completeness >= Completeness::Snapshot && self.config_store.has_routes();
        let reason = if !has_configuration {
            "no configuration yet"
        } else if !self.server_table.has_servers() {
            "no server is known yet"
        } else {
            return Ok(());
        };
        Err(retry_later(503, startup_retry_after(), reason))
    }

    fn authentication_error_response(
        &self,
        now: Micros,
        error: AuthenticationError,
    ) -> LocalResponse {
        match error {
            AuthenticationError::UnknownKey => {
                self.refusal_by_configuration(now, 401, "no such key")
            }
            AuthenticationError::NoTenants => {
                retry_later(503, startup_retry_after(), "no tenant is known yet")
            }
        }
    }

    /// The response to a request that the configuration does not allow: final, unless this proxy may lack a change.
    pub(super) fn refusal_by_configuration(
        &self,
        now: Micros,
        status: u16,
        reason: &'static str,
    ) -> LocalResponse {
        if self.config_freshness.is_current(now) {
            local_response(status, reason)
        } else {
            retry_later(503, startup_retry_after(), "configuration may be old")
        }
    }

    /// Creates the engine of a service in these regions if there is none.
    fn ensure_engine(&mut self, now: Micros, service: &str, regions: &[String], route: &Route) {
        if self.router.engine_index(service, regions).is_some() {
            return;
        }
        let entries = self.server_table.entries(now, service, regions);
        self.add_servers_to_pool(entries.iter().map(|entry| entry.server).collect());
        self.router
            .create_engine(service, regions, route.target_time.0, entries);
    }

    /// Submits a request to the router.
    ///
    /// # Errors
    /// The response if the router's capacity is exhausted.
    fn submit_request(
        &mut self,
        now: Micros,
        connection_id: ConnectionId,
        routing_request: &RoutingRequest<'_>,
    ) -> Result<(), LocalResponse> {
        let request_key = routing_request.key;
        let Some(handle) = self.router.submit(now, routing_request) else {
            self.requests.remove(request_key);
            return Err(retry_later(503, DEFAULT_RETRY_AFTER, "no room"));
        };
        self.requests[request_key].handle = handle;
        if let Some(client) = self.client(connection_id) {
            client.request = Some(request_key);
            client.band = routing_request.shedding_request().band();
        }
        Ok(())
    }
}

/// The API key of a request.
fn api_key(headers: &Headers) -> Option<&str> {
    headers
        .get("Authorization")
        .and_then(|credentials| credentials.strip_prefix("Bearer "))
        .map(str::trim)
}

/// The time allowed for a request: the client's or its route's, whichever is less, minus the margin
/// for the response to reach the client.
fn allowed_time(headers: &Headers, route: &Route) -> Micros {
    let requested = headers
        .get("X-Time-Left")
        .and_then(|value| value.parse::<f64>().ok())
        .filter(|ms| ms.is_finite() && *ms >= 0.0)
        .map_or(route.timeout.0, |ms| (ms * 1e3) as Micros);
    let allowed = requested.min(route.timeout.0);
    allowed - RESPONSE_MARGIN.min(allowed / 4)
}

/// Selects the service of a request, at random by weight if the route has several.
fn choose_service(route: &Route) -> Option<String> {
    let total_weight: f64 = route.services().map(|(_, weight)| weight).sum();
    let mut point = fastrand::f64() * total_weight;
    let chosen = route.services().find(|(_, weight)| {
        point -= weight;
        *weight > 0.0 && point < 0.0
    });
    let last_weighted = || route.services().filter(|(_, weight)| *weight > 0.0).last();
    chosen
        .or_else(last_weighted)
        .map(|(service, _)| service.to_string())
}

/// A wait with jitter. With the same wait for all, the clients of a proxy that has just started
/// would all return at the same time; with a short one they would spend their retries before it is
/// ready.
fn startup_retry_after() -> Micros {
    let jitter = 0.5 + fastrand::f64();
    (STARTUP_RETRY_AFTER as f64 * jitter) as Micros
}

/// The regions that both lists allow; an empty list allows all. `None` if they have none in common.
fn common_regions(route_regions: &[String], tenant_regions: &[String]) -> Option<Vec<String>> {
    match (route_regions.is_empty(), tenant_regions.is_empty()) {
        (true, _) => Some(tenant_regions.to_vec()),
        (false, true) => Some(route_regions.to_vec()),
        (false, false) => {
            let common: Vec<String> = route_regions
                .iter()
                .filter(|region| tenant_regions.contains(region))
                .cloned()
                .collect();
            (!common.is_empty()).then_some(common)
        }
    }
}

/// The header fields as servers receive them, without those that are written for each attempt.
fn forwarded_header_lines(headers: &Headers, tenant: Option<&str>) -> Vec<u8> {
    const REPLACED_FIELDS: [&str; 4] = [
        "authorization",
        "x-tenant",
        "x-time-left",
        "x-want-instance",
    ];
    let mut lines = Vec::with_capacity(256);
    let mut write_line = |name: &str, value: &str| {
        lines.extend_from_slice(name.as_bytes());
        lines.extend_from_slice(b": ");
        lines.extend_from_slice(value.as_bytes());
        lines.extend_from_slice(b"\r\n");
    };
    // Fields named by `Connection` are hop-by-hop as well...
    let connection_options = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
    let connection_options =
        connection_options.flat_map(|(_, value)| value.split(',').map(str::trim));
    // ...except those that a server requires.
    let connection_options: Vec<&str> = connection_options
        .filter(|name| {
            !name.eq_ignore_ascii_case("host") && !name.eq_ignore_ascii_case("x-request-id")
        })
        .collect();
    let is_forwarded = |name: &str| {
        let is_listed = |list: &[&str]| {
            list.iter()
                .any(|listed_name| name.eq_ignore_ascii_case(listed_name))
        };
        !is_hop_by_hop_field(name)
            && !is_listed(&REPLACED_FIELDS)
            && !is_listed(&connection_options)
    };
    for (name, value) in headers.iter().filter(|(name, _)| is_forwarded(name)) {
        write_line(name, value);
    }
    tenant
        .into_iter()
        .for_each(|tenant| write_line("X-Tenant", tenant));
    lines
}

/// Whether a request is forwarded as having a body: every request except a GET or HEAD without one.
pub(super) fn has_body(method: &str, framing: BodyFraming) -> bool {
    !matches!((method, framing), ("GET" | "HEAD", BodyFraming::Length(0)))
}

#[cfg(test)]
mod tests;
