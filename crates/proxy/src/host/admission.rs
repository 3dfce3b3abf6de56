//! Admits a request by its head: its route, tenant, service, regions and deadline.

use dataplane::framing::{BodyFraming, Headers};

use super::clients::RESPONSE_MARGIN;
use super::responses::{DEFAULT_RETRY_AFTER, LocalResponse, local_response, retry_later};
use super::*;
use crate::response_class::is_hop_by_hop_field;
use crate::router::RoutingRequest;
use crate::shedding::SheddingRequest;

/// The mean wait told by a proxy that has no configuration or servers yet: after a loss of power
/// everywhere the server list is back within a second.
const STARTUP_RETRY_AFTER: Micros = 700 * MS;

/// Longest id of a request, in bytes.
const MAX_REQUEST_ID_BYTES: usize = 256;

/// A body that is forwarded while it arrives.
pub(super) struct StreamedBody {
    pub(super) framing: BodyFraming,
    /// The additional time that it is given to arrive.
    pub(super) extra_time: Micros,
}

impl Host {
    /// Whether a request is shed by its head alone: it is rejected before its body is read, and the
    /// connection closed after the answer. Checked once, when the head is complete and the route
    /// has one service; with several it is not known yet which one will be chosen.
    pub(super) fn is_shed_by_head(&mut self, now: Micros, key: ConnectionId) -> bool {
        let Some(Role::Client(client)) = self.roles.get_mut(key) else {
            return false;
        };
        let Some(head) = client.incoming.head() else {
            return false;
        };
        if std::mem::replace(&mut client.shedding_checked, true) {
            return false;
        }
        let asked = head
            .headers
            .get("Host")
            .and_then(|host| self.config_store.find_route(host, &head.target));
        let (Some(route), Some(id)) = (asked, head.headers.get("X-Request-Id")) else {
            return false;
        };
        let mut services = route.services().filter(|(_, weight)| *weight > 0.0);
        let (Some((svc, _)), None) = (services.next(), services.next()) else {
            return false;
        };
        let tenant =
            api_key(&head.headers).and_then(|key| self.config_store.tenant_by_api_key(key));
        if tenant.is_none() && !route.public && self.config_store.requires_api_keys() {
            return false;
        }
        let tenant = tenant.map(|known| (known.name.as_str(), &known.tenant));
        let asker = SheddingRequest {
            request_id: id,
            route,
            service: svc,
            tenant,
        };
        client.band = asker.band();
        self.router.is_shed_by_head(now, &asker)
    }

    /// Admits a request by its head; `streamed`: its body is forwarded while it arrives.
    ///
    /// # Errors
    /// The answer to a request that can't be routed.
    pub(super) fn admit(
        &mut self,
        now: Micros,
        key: ConnectionId,
        head: RequestHead,
        body: Vec<u8>,
        streamed: Option<StreamedBody>,
    ) -> Result<(), LocalResponse> {
        self.check_configuration_loaded()?;
        let host = head
            .headers
            .get("Host")
            .ok_or(local_response(400, "Host"))?;
        let route = self
            .config_store
            .find_route(host, &head.target)
            .ok_or_else(|| self.unknown_route_or_key_response(now, 404, "no route"))?
            .clone();
        let id = head
            .headers
            .get("X-Request-Id")
            .filter(|id| !id.is_empty() && id.len() <= MAX_REQUEST_ID_BYTES)
            .ok_or(local_response(400, "X-Request-Id"))?
            .to_string();
        let tenant = api_key(&head.headers)
            .and_then(|key| self.config_store.tenant_by_api_key(key))
            .cloned();
        if tenant.is_none() && !route.public && self.config_store.requires_api_keys() {
            return Err(self.unknown_route_or_key_response(now, 401, "no such key"));
        }
        let allowed_time = allowed_time(&head.headers, &route);
        let extra_time = streamed.as_ref().map_or(0, |body| body.extra_time);
        let svc = choose_service(&route).ok_or(retry_later(
            503,
            DEFAULT_RETRY_AFTER,
            "no service takes it",
        ))?;
        let tenant_pins = tenant.as_ref().map_or(&[][..], |known| &known.tenant.pins);
        let pins = common_regions(&route.pins, tenant_pins).ok_or(retry_later(
            503,
            DEFAULT_RETRY_AFTER,
            "no region may serve it",
        ))?;
        self.ensure_engine(now, &svc, &pins, &route);
        let tenant_name = tenant.as_ref().map(|known| known.name.as_str());
        let header_lines = forwarded_header_lines(&head.headers, tenant_name);
        let request = self.requests.insert(Request {
            client: key,
            method: head.method,
            target: head.target,
            header_lines,
            body,
            id: id.clone(),
            route: route.clone(),
            deadline: now + allowed_time + extra_time,
            allowed_time,
            body_framing: streamed.map(|body| body.framing),
            handle: RequestHandle {
                engine_index: 0,
                key: AuthorisationKey::default(),
            },
            attempt_connections: Vec::new(),
            may_have_run: false,
            failed_response: None,
        });
        let routing = RoutingRequest {
            key: request,
            request_id: &id,
            route: &route,
            service: &svc,
            tenant: tenant.as_ref().map(|t| (t.name.as_str(), &t.tenant)),
            allowed_regions: &pins,
            deadline: now + allowed_time + extra_time,
        };
        self.submit_request(now, key, &routing)
    }

    /// A proxy without configuration or servers sends clients away for a moment.
    fn check_configuration_loaded(&self) -> Result<(), LocalResponse> {
        let reason = if !self.config_store.has_routes() {
            "no configuration yet"
        } else if !self.server_table.has_servers() {
            "no server is known yet"
        } else {
            return Ok(());
        };
        Err(retry_later(503, startup_retry_after(), reason))
    }

    /// The answer where the configuration has no such route or key: final, unless a change may be missing here.
    fn unknown_route_or_key_response(
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

    /// Opens the engine of a service in these regions if there is none.
    fn ensure_engine(&mut self, now: Micros, svc: &str, pins: &[String], route: &Route) {
        if self.router.engine_index(svc, pins).is_some() {
            return;
        }
        let entries = self.server_table.entries(now, svc, pins);
        self.add_servers_to_pool(entries.iter().map(|entry| entry.server).collect());
        self.router
            .create_engine(svc, pins, route.target_time.0, entries);
    }

    fn submit_request(
        &mut self,
        now: Micros,
        key: ConnectionId,
        routing: &RoutingRequest<'_>,
    ) -> Result<(), LocalResponse> {
        let request = routing.key;
        let Some(handle) = self.router.submit(now, routing) else {
            self.requests.remove(request);
            return Err(retry_later(503, DEFAULT_RETRY_AFTER, "no room"));
        };
        self.requests[request].handle = handle;
        if let Some(client) = self.client(key) {
            client.request = Some(request);
            client.band = routing.shedding_request().band();
        }
        Ok(())
    }
}

/// The API key that a client shows.
fn api_key(headers: &Headers) -> Option<&str> {
    headers
        .get("Authorization")
        .and_then(|value| value.strip_prefix("Bearer "))
        .map(str::trim)
}

/// The time for a request: the client's or its route's, whichever is less, without the margin for
/// the answer's way back.
fn allowed_time(headers: &Headers, route: &Route) -> Micros {
    let asked = headers
        .get("X-Time-Left")
        .and_then(|text| text.parse::<f64>().ok())
        .filter(|ms| ms.is_finite() && *ms >= 0.0)
        .map_or(route.timeout.0, |ms| (ms * 1e3) as Micros);
    let allowed = asked.min(route.timeout.0);
    allowed - RESPONSE_MARGIN.min(allowed / 4)
}

/// Chooses the service of a request, at random by weight where the route has several.
fn choose_service(route: &Route) -> Option<String> {
    let all: f64 = route.services().map(|(_, weight)| weight).sum();
    let mut point = fastrand::f64() * all;
    let chosen = route.services().find(|(_, weight)| {
        point -= weight;
        *weight > 0.0 && point < 0.0
    });
    let positive = || route.services().filter(|(_, weight)| *weight > 0.0).last();
    chosen.or_else(positive).map(|(svc, _)| svc.to_string())
}

/// A wait with jitter. With the same wait for all, the clients of a proxy that has just started
/// would return at once; with a short one they would spend their retries before it is ready.
fn startup_retry_after() -> Micros {
    let spread = 0.5 + fastrand::f64();
    (STARTUP_RETRY_AFTER as f64 * spread) as Micros
}

/// The regions that both lists allow, where an empty list allows all; `None` if they have none in
/// common.
fn common_regions(route: &[String], tenant: &[String]) -> Option<Vec<String>> {
    match (route.is_empty(), tenant.is_empty()) {
        (true, _) => Some(tenant.to_vec()),
        (false, true) => Some(route.to_vec()),
        (false, false) => {
            let both: Vec<String> = route
                .iter()
                .filter(|region| tenant.contains(region))
                .cloned()
                .collect();
            (!both.is_empty()).then_some(both)
        }
    }
}

/// The header fields as servers receive them, without those written for each attempt.
fn forwarded_header_lines(headers: &Headers, tenant: Option<&str>) -> Vec<u8> {
    const OWN: [&str; 4] = [
        "authorization",
        "x-tenant",
        "x-time-left",
        "x-want-instance",
    ];
    let mut out = Vec::with_capacity(256);
    let mut line = |name: &str, value: &str| {
        out.extend_from_slice(name.as_bytes());
        out.extend_from_slice(b": ");
        out.extend_from_slice(value.as_bytes());
        out.extend_from_slice(b"\r\n");
    };
    // Fields named by `Connection` are hop-by-hop as well,
    let named = headers
        .iter()
        .filter(|(name, _)| name.eq_ignore_ascii_case("connection"));
    let named = named.flat_map(|(_, value)| value.split(',').map(str::trim));
    // except those that a server needs.
    let named: Vec<&str> = named
        .filter(|name| {
            !name.eq_ignore_ascii_case("host") && !name.eq_ignore_ascii_case("x-request-id")
        })
        .collect();
    let passes = |name: &str| {
        let listed = |list: &[&str]| list.iter().any(|other| name.eq_ignore_ascii_case(other));
        !is_hop_by_hop_field(name) && !listed(&OWN) && !listed(&named)
    };
    for (name, value) in headers.iter().filter(|(name, _)| passes(name)) {
        line(name, value);
    }
    tenant
        .into_iter()
        .for_each(|tenant| line("X-Tenant", tenant));
    out
}

/// Whether a body is forwarded, with its length.
pub(super) fn has_body(method: &str, extent: BodyFraming) -> bool {
    !matches!((method, extent), ("GET" | "HEAD", BodyFraming::Length(0)))
}

#[cfg(test)]
mod tests;
