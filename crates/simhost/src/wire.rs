//! Parsing of the wire format's lines: a type and tab-separated `Name=value` fields.

use std::fmt;

use streamarch::{
    AttemptEnd, CounterKey, CustomerId, Event, ListKind, LoadReport, Micros, Outcome,
    OverQuotaNotice, Request, RequestId, ServerEntry, ServerId, ServerState,
};

/// An error in the input, with a message for the user.
#[derive(Debug)]
pub struct InputError(String);

impl InputError {
    /// An error with this message.
    pub fn new(text: &str) -> InputError {
        InputError(text.to_string())
    }

    /// Adds the number of the line.
    pub fn at_line(self, line: usize) -> InputError {
        InputError(format!("line {line}: {}", self.0))
    }
}

impl fmt::Display for InputError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

/// A line: its type and its fields.
pub struct Fields<'a> {
    /// The type of the line.
    pub kind: &'a str,
    parts: Vec<(&'a str, &'a str)>,
}

impl<'a> Fields<'a> {
    /// Splits a line at its tabs. Parts without `=` are ignored; `Params` and `Text` extend to the end of the
    /// line.
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

    /// The text of a required field.
    pub fn required_text(&self, name: &str) -> Result<&'a str, InputError> {
        self.get(name)
            .ok_or_else(|| InputError(format!("'{}' line has no '{name}' field", self.kind)))
    }

    fn invalid(&self, name: &str, value: &str) -> InputError {
        InputError(format!(
            "'{}' line has an invalid '{name}': '{value}'",
            self.kind
        ))
    }

    /// The integer of an optional field.
    pub fn optional_integer(&self, name: &str) -> Result<Option<u64>, InputError> {
        self.get(name)
            .map(|v| v.parse().map_err(|_| self.invalid(name, v)))
            .transpose()
    }

    /// The integer of a required field.
    pub fn required_integer(&self, name: &str) -> Result<u64, InputError> {
        let value = self.required_text(name)?;
        value.parse().map_err(|_| self.invalid(name, value))
    }

    /// The time of a required field, in microseconds.
    pub fn required_time(&self, name: &str) -> Result<Micros, InputError> {
        let value = self.required_text(name)?;
        value.parse().map_err(|_| self.invalid(name, value))
    }

    fn optional_float(&self, name: &str) -> Result<Option<f64>, InputError> {
        match self.get(name) {
            None => Ok(None),
            Some(v) => match v.parse::<f64>() {
                Ok(number) if number.is_finite() => Ok(Some(number)),
                _ => Err(self.invalid(name, v)),
            },
        }
    }
}

/// Parses an entry of a server list.
pub fn server_entry(fields: &Fields) -> Result<ServerEntry, InputError> {
    let state = match fields.required_integer("Readiness")? {
        0 => ServerState::Removed,
        1 => ServerState::Ready,
        2 => ServerState::Draining,
        other => return Err(fields.invalid("Readiness", &other.to_string())),
    };
    Ok(ServerEntry {
        server: server_id(fields)?,
        zone: fields.optional_integer("RegionPart")?.unwrap_or(0) as u32,
        machine_type: fields.optional_integer("Hw")?.unwrap_or(0) as u32,
        cell: fields.optional_integer("Block")?.unwrap_or(0) as u32,
        state,
        weight: fields.optional_float("Heft")?.unwrap_or(1.0),
        started_at: fields.optional_integer("SinceUs")?.unwrap_or(0) as Micros,
    })
}

fn server_id(fields: &Fields) -> Result<ServerId, InputError> {
    let number = fields.required_integer("Server")?;
    u32::try_from(number)
        .map(ServerId)
        .map_err(|_| fields.invalid("Server", &number.to_string()))
}

/// The kind of a server list by its code on the wire.
pub fn list_kind(code: u64) -> Result<ListKind, InputError> {
    match code {
        0 => Ok(ListKind::Failed),
        1 => Ok(ListKind::Changes),
        2 => Ok(ListKind::Cached),
        3 => Ok(ListKind::Full),
        other => Err(InputError(format!("unknown kind of server list '{other}'"))),
    }
}

/// Parses a request.
pub fn request(fields: &Fields, id: RequestId) -> Result<Request, InputError> {
    Ok(Request {
        id,
        class: fields.required_integer("Category")? as usize,
        plan: fields.required_integer("Tariff")? as usize,
        customer: CustomerId(fields.required_integer("Account")?),
        deadline: fields.required_time("NotAfterUs")?,
        units: fields.optional_float("Weight")?.unwrap_or(1.0),
        customer_gateways: fields.optional_integer("Doors")?.unwrap_or(0) as u32,
        first_gateway: fields.optional_integer("FirstDoor")?.unwrap_or(0) as u32,
        is_client_retry: fields.optional_integer("AgainByClient")?.unwrap_or(0) == 1,
        ..Request::default()
    })
}

fn outcome(fields: &Fields) -> Result<Outcome, InputError> {
    match fields.required_integer("Result")? {
        0 => Ok(Outcome::Ok),
        5 => Ok(Outcome::Error),
        11 => Ok(Outcome::Rejected),
        104 => Ok(Outcome::Reset),
        110 => Ok(Outcome::TimedOut),
        111 => Ok(Outcome::ConnectFailed),
        114 => Ok(Outcome::NotSent),
        125 => Ok(Outcome::Cancelled),
        other => Err(fields.invalid("Result", &other.to_string())),
    }
}

fn load_report(fields: &Fields) -> Result<Option<LoadReport>, InputError> {
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
            .ok_or_else(|| fields.invalid("Pressure", text))?;
        let value: f64 = value
            .parse()
            .map_err(|_| fields.invalid("Pressure", text))?;
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

/// Parses the end of an attempt.
pub fn attempt_end(fields: &Fields, request: RequestId) -> Result<AttemptEnd, InputError> {
    Ok(AttemptEnd {
        request,
        attempt: fields.required_integer("N")? as u32,
        server: server_id(fields)?,
        outcome: outcome(fields)?,
        elapsed: fields.optional_integer("RttUs")?.unwrap_or(0) as Micros,
        request_finished: fields.optional_integer("Closed")?.unwrap_or(0) == 1,
        actual_units: fields
            .optional_float("Actual")?
            .filter(|units| *units > 0.0),
        load_report: load_report(fields)?,
    })
}

/// Parses the answer to a call to the counter service.
pub fn counter_answer(fields: &Fields) -> Result<Event, InputError> {
    Ok(Event::CounterResult {
        key: CounterKey(fields.required_integer("SlotName")?),
        outcome: outcome(fields)?,
        total: fields.optional_float("Total")?.unwrap_or(0.0),
    })
}

/// Encodes a notice as a message in hexadecimal: two bytes of plan, then the customer.
pub fn encode_notice(notice: &OverQuotaNotice) -> String {
    let digits = format!("{:x}", notice.customer.0);
    format!(
        "{:04x}{}{digits}",
        notice.plan,
        "0".repeat(digits.len() % 2)
    )
}

/// Parses a message from another gateway; `None` if it is not an encoded notice.
pub fn parse_notice(fields: &Fields) -> Result<Option<Event>, InputError> {
    let message = fields.required_text("Msg")?;
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

/// Parses the end of a probe.
pub fn probe_end(fields: &Fields) -> Result<Event, InputError> {
    Ok(Event::ProbeEnd {
        server: server_id(fields)?,
        outcome: outcome(fields)?,
        load_report: load_report(fields)?,
    })
}
