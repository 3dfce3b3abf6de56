//! Reading the parts of a line.

use std::fmt;

use streamarch::{
    AttemptEnd, CounterKey, CustomerId, Event, ListKind, LoadReport, Micros, Outcome,
    OverQuotaNotice, Request, RequestId, ServerEntry, ServerId, ServerState,
};

/// What is wrong with the input, in plain words.
#[derive(Debug)]
pub struct Fault(String);

impl Fault {
    /// A fault with this text.
    pub fn new(text: &str) -> Fault {
        Fault(text.to_string())
    }

    /// The same fault with the number of its line.
    pub fn at(self, line: usize) -> Fault {
        Fault(format!("line {line}: {}", self.0))
    }
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A line: what it is and its named parts.
pub struct Fields<'a> {
    /// The first part.
    pub kind: &'a str,
    parts: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Splits a line at its tabs; parts without '=' are ignored. `Params` and `Text` run to the end of the line.
    pub fn parse(line: &'a str) -> Fields<'a> {
        let (kind, mut rest) = line.split_once('\t').unwrap_or((line, ""));
        let mut parts = Vec::new();
        while !rest.is_empty() {
            if rest.starts_with("Params=") || rest.starts_with("Text=") {
                parts.extend(rest.split_once('='));
                break;
            }
            let (part, tail) = rest.split_once('\t').unwrap_or((rest, ""));
            parts.extend(part.split_once('='));
            rest = tail;
        }
        Fields { kind, parts }
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.parts
            .iter()
            .find(|(n, _)| *n == name)
            .map(|(_, value)| *value)
    }

    /// A text that must be there.
    pub fn text(&self, name: &str) -> Result<&'a str, Fault> {
        self.get(name)
            .ok_or_else(|| Fault(format!("'{}' lacks '{name}'", self.kind)))
    }

    fn bad(&self, name: &str, value: &str) -> Fault {
        Fault(format!("'{}' has a bad '{name}': '{value}'", self.kind))
    }

    /// A whole number that may be absent.
    pub fn whole(&self, name: &str) -> Result<Option<u64>, Fault> {
        self.get(name)
            .map(|v| v.parse().map_err(|_| self.bad(name, v)))
            .transpose()
    }

    /// A whole number that must be there.
    pub fn need(&self, name: &str) -> Result<u64, Fault> {
        let value = self.text(name)?;
        value.parse().map_err(|_| self.bad(name, value))
    }

    /// A time that must be there.
    pub fn signed(&self, name: &str) -> Result<Micros, Fault> {
        let value = self.text(name)?;
        value.parse().map_err(|_| self.bad(name, value))
    }

    fn number(&self, name: &str) -> Result<Option<f64>, Fault> {
        match self.get(name) {
            None => Ok(None),
            Some(v) => match v.parse::<f64>() {
                Ok(number) if number.is_finite() => Ok(Some(number)),
                _ => Err(self.bad(name, v)),
            },
        }
    }
}

/// An entry of a server list.
pub fn entry(fields: &Fields) -> Result<ServerEntry, Fault> {
    let state = match fields.need("Readiness")? {
        0 => ServerState::Removed,
        1 => ServerState::Ready,
        2 => ServerState::Draining,
        other => return Err(fields.bad("Readiness", &other.to_string())),
    };
    Ok(ServerEntry {
        server: server(fields)?,
        zone: fields.whole("RegionPart")?.unwrap_or(0) as u32,
        machine_type: fields.whole("Hw")?.unwrap_or(0) as u32,
        cell: fields.whole("Block")?.unwrap_or(0) as u32,
        state,
        weight: fields.number("Heft")?.unwrap_or(1.0),
        started_at: fields.whole("SinceUs")?.unwrap_or(0) as Micros,
    })
}

fn server(fields: &Fields) -> Result<ServerId, Fault> {
    let number = fields.need("Server")?;
    u32::try_from(number)
        .map(ServerId)
        .map_err(|_| fields.bad("Server", &number.to_string()))
}

/// How a list is to be read.
pub fn list_kind(code: u64) -> Result<ListKind, Fault> {
    match code {
        0 => Ok(ListKind::Failed),
        1 => Ok(ListKind::Changes),
        2 => Ok(ListKind::Cached),
        3 => Ok(ListKind::Full),
        other => Err(Fault(format!("unknown kind of list '{other}'"))),
    }
}

/// A request.
pub fn request(fields: &Fields, id: RequestId) -> Result<Request, Fault> {
    Ok(Request {
        id,
        class: fields.need("Category")? as usize,
        plan: fields.need("Tariff")? as usize,
        customer: CustomerId(fields.need("Account")?),
        deadline: fields.signed("NotAfterUs")?,
        units: fields.number("Weight")?.unwrap_or(1.0),
        customer_gateways: fields.whole("Doors")?.unwrap_or(0) as u32,
        first_gateway: fields.whole("FirstDoor")?.unwrap_or(0) as u32,
        is_client_retry: fields.whole("AgainByClient")?.unwrap_or(0) == 1,
        ..Request::default()
    })
}

fn outcome(fields: &Fields) -> Result<Outcome, Fault> {
    match fields.need("Result")? {
        0 => Ok(Outcome::Ok),
        5 => Ok(Outcome::Error),
        11 => Ok(Outcome::Rejected),
        104 => Ok(Outcome::Reset),
        110 => Ok(Outcome::TimedOut),
        111 => Ok(Outcome::ConnectFailed),
        114 => Ok(Outcome::NotSent),
        125 => Ok(Outcome::Cancelled),
        other => Err(fields.bad("Result", &other.to_string())),
    }
}

fn report(fields: &Fields) -> Result<Option<LoadReport>, Fault> {
    let Some(text) = fields
        .get("Pressure")
        .filter(|t| !t.is_empty() && *t != "-")
    else {
        return Ok(None);
    };
    let mut report = LoadReport::default();
    for pair in text.split(',') {
        let (name, value) = pair
            .split_once(':')
            .ok_or_else(|| fields.bad("Pressure", text))?;
        let value: f64 = value.parse().map_err(|_| fields.bad("Pressure", text))?;
        match name {
            "active" => report.active_requests = Some(value),
            "waiting" => report.queued_requests = Some(value),
            "cpu" => report.cpu_utilization = Some(value),
            "avg_ms" => report.latency_ms = Some(value),
            "rps" => report.served_per_s = Some(value),
            "err_rps" => report.errors_per_s = Some(value),
            _ => {}
        }
    }
    Ok(Some(report))
}

/// The end of an attempt.
pub fn attempt_end(fields: &Fields, request: RequestId) -> Result<AttemptEnd, Fault> {
    Ok(AttemptEnd {
        request,
        attempt: fields.need("N")? as u32,
        server: server(fields)?,
        outcome: outcome(fields)?,
        elapsed: fields.whole("RttUs")?.unwrap_or(0) as Micros,
        request_finished: fields.whole("Closed")?.unwrap_or(0) == 1,
        actual_units: fields.number("Actual")?.filter(|units| *units > 0.0),
        load_report: report(fields)?,
    })
}

/// The counter's answer.
pub fn counted(fields: &Fields) -> Result<Event, Fault> {
    Ok(Event::CounterAnswered {
        key: CounterKey(fields.need("SlotName")?),
        outcome: outcome(fields)?,
        total: fields.number("Total")?.unwrap_or(0.0),
    })
}

/// A notice as message bytes in hex: two bytes of plan, then the customer.
pub fn notice(notice: &OverQuotaNotice) -> String {
    let digits = format!("{:x}", notice.customer.0);
    format!(
        "{:04x}{}{digits}",
        notice.plan,
        "0".repeat(digits.len() % 2)
    )
}

/// A message from another gateway; `None` if it is no notice of this form.
pub fn told(fields: &Fields) -> Result<Option<Event>, Fault> {
    let message = fields.text("Msg")?;
    let parts = message
        .is_ascii()
        .then(|| message.split_at_checked(4))
        .flatten();
    let read = |(plan, customer): (&str, &str)| {
        let (plan, customer) = (
            u16::from_str_radix(plan, 16),
            u64::from_str_radix(customer, 16),
        );
        Some(OverQuotaNotice {
            plan: usize::from(plan.ok()?),
            customer: CustomerId(customer.ok()?),
        })
    };
    Ok(parts.and_then(read).map(Event::NoticeReceived))
}

/// The end of a probe.
pub fn probe_end(fields: &Fields) -> Result<Event, Fault> {
    Ok(Event::ProbeEnd {
        server: server(fields)?,
        outcome: outcome(fields)?,
        load_report: report(fields)?,
    })
}
