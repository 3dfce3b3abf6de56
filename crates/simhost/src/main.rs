//! The adapter between the module and the simulator's wire: parses batches, hosts the instances, writes replies.
//! It decides nothing.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use streamarch::{Action, Balancer, Event, ListKind, Micros, RequestId, ServerEntry};
use wire::{Fields, InputError};

/// A request's word on the wire, kept until it is finished and no attempt is out.
struct RequestEntry {
    name: String,
    is_open: bool,
    in_flight: u32,
}

/// One instance of the module with its names.
struct Instance {
    balancer: Balancer,
    requests: BTreeMap<u64, RequestEntry>,
    ids: BTreeMap<String, u64>,
    next_id: u64,
    /// Requests that ended in this batch, in whole or in part.
    ended: Vec<u64>,
}

impl Instance {
    fn boot(fields: &Fields) -> Result<Instance, InputError> {
        let settings = limiter::config::settings_text(fields.required_text("Params")?)
            .map_err(|error| InputError::new(&error.to_string()))?;
        let balancer = Balancer::new(settings, fields.optional_integer("RngSeed")?.unwrap_or(0));
        Ok(Instance {
            balancer,
            requests: BTreeMap::new(),
            ids: BTreeMap::new(),
            next_id: 0,
            ended: Vec::new(),
        })
    }

    fn add_request(&mut self, word: &str) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        self.requests.insert(
            id,
            RequestEntry {
                name: word.to_string(),
                is_open: true,
                in_flight: 0,
            },
        );
        self.ids.insert(word.to_string(), id);
        RequestId(id)
    }

    fn close_request(&mut self, id: RequestId) {
        if let Some(named) = self.requests.get_mut(&id.0) {
            named.is_open = false;
            self.ended.push(id.0);
        }
    }

    fn end_attempt(&mut self, id: RequestId, finished: bool) {
        if let Some(named) = self.requests.get_mut(&id.0) {
            named.in_flight = named.in_flight.saturating_sub(1);
            named.is_open &= !finished;
            self.ended.push(id.0);
        }
    }

    /// Forgets the words of requests that are over. Only after the reply: an action may still name a request
    /// that a later event of the same batch ended.
    fn remove_ended(&mut self) {
        for id in std::mem::take(&mut self.ended) {
            if self
                .requests
                .get(&id)
                .is_some_and(|n| !n.is_open && n.in_flight == 0)
                && let Some(named) = self.requests.remove(&id)
            {
                self.ids.remove(&named.name);
            }
        }
    }

    fn request_name(&self, id: RequestId) -> &str {
        self.requests.get(&id.0).map_or("", |n| n.name.as_str())
    }

    fn write_action(&mut self, action: &Action, out: &mut String) {
        use std::fmt::Write;
        let result = match action {
            Action::Send {
                request,
                server,
                timeout,
            } => {
                if let Some(named) = self.requests.get_mut(&request.0) {
                    named.in_flight += 1;
                }
                let word = self.request_name(*request);
                writeln!(
                    out,
                    "issue\tReq={word}\tServer={}\tGiveUpAfterUs={timeout}",
                    server.0
                )
            }
            Action::Shed {
                request,
                retry_after: stay_away,
                ..
            } => {
                let done = writeln!(
                    out,
                    "shed\tReq={}\tStayAwayUs={stay_away}",
                    self.request_name(*request)
                );
                self.close_request(*request);
                done
            }
            Action::Fail(request) => {
                let done = writeln!(out, "fail\tReq={}", self.request_name(*request));
                self.close_request(*request);
                done
            }
            Action::Cancel { request, attempt } => {
                writeln!(
                    out,
                    "call_off\tReq={}\tN={attempt}",
                    self.request_name(*request)
                )
            }
            Action::AddToCounter {
                key: name,
                amount: add,
                expires_in: expires,
            } => {
                writeln!(
                    out,
                    "tally\tAdd={add}\tSlotName={}\tExpireInUs={expires}",
                    name.0
                )
            }
            Action::NotifyGateway(peer, notice) => {
                writeln!(
                    out,
                    "publish\tPeer={peer}\tMsg={}",
                    wire::encode_notice(notice)
                )
            }
            Action::Probe(server) => writeln!(out, "touch\tServer={}", server.0),
            Action::WatchServerList => writeln!(out, "observe\tEnable=1"),
            Action::WakeAt(at) => writeln!(out, "after\tToken=0\tFireAtUs={at}"),
            Action::Log(text) => writeln!(out, "write_log\tText={text}"),
        };
        result.expect("writing to a string");
    }
}

/// The process: its instances, and the lists that events refer to.
#[derive(Default)]
struct Host {
    instances: BTreeMap<String, Instance>,
    server_lists: BTreeMap<u64, Vec<ServerEntry>>,
}

/// One batch as it is read.
#[derive(Default)]
struct Batch {
    now: Micros,
    current_instance: Option<String>,
    instance_order: Vec<String>,
    events: BTreeMap<String, Vec<Event>>,
    unfinished_list: Option<(u64, u64)>,
}

impl Host {
    fn read_line(&mut self, batch: &mut Batch, line: &str) -> Result<(), InputError> {
        let fields = Fields::parse(line);
        if let Some((sheet, left)) = batch.unfinished_list {
            if fields.kind != "item" {
                return Err(InputError::new("a list has fewer items than it announced"));
            }
            self.server_lists
                .entry(sheet)
                .or_default()
                .push(wire::server_entry(&fields)?);
            batch.unfinished_list = (left > 1).then_some((sheet, left - 1));
            return Ok(());
        }
        match fields.kind {
            "on" => {
                let who = fields.required_text("Who")?.to_string();
                if !batch.instance_order.contains(&who) {
                    batch.instance_order.push(who.clone());
                }
                batch.current_instance = Some(who);
                Ok(())
            }
            "pool" => {
                let (sheet, items) = (
                    fields.required_integer("Sheet")?,
                    fields.required_integer("Items")?,
                );
                self.server_lists.insert(sheet, Vec::new());
                batch.unfinished_list = (items > 0).then_some((sheet, items));
                Ok(())
            }
            _ => self.read_event(batch, &fields),
        }
    }

    fn read_event(&mut self, batch: &mut Batch, fields: &Fields) -> Result<(), InputError> {
        let who = batch
            .current_instance
            .clone()
            .ok_or_else(|| InputError::new("an event before any 'on' line"))?;
        match fields.kind {
            "boot" => {
                self.instances.insert(who.clone(), Instance::boot(fields)?);
                batch.events.insert(who, Vec::new());
                return Ok(());
            }
            "kill" => {
                self.instances.remove(&who);
                batch.events.remove(&who);
                return Ok(());
            }
            _ => {}
        }
        let instance = self
            .instances
            .get_mut(&who)
            .ok_or_else(|| InputError::new("an event for an instance never booted"))?;
        let event = match fields.kind {
            "membership" => {
                let kind = wire::list_kind(fields.required_integer("Kind")?)?;
                let entries = match kind {
                    ListKind::Failed => Vec::new(),
                    ListKind::Changes | ListKind::Full | ListKind::Cached => {
                        let sheet = fields.required_integer("Sheet")?;
                        self.server_lists
                            .get(&sheet)
                            .cloned()
                            .ok_or_else(|| InputError::new("an unknown list"))?
                    }
                };
                Some(Event::ServerList { kind, entries })
            }
            "query" => {
                let word = fields.required_text("Req")?;
                let id = instance.add_request(word);
                Some(Event::Request(wire::request(fields, id)?))
            }
            "closed_attempt" => match instance.ids.get(fields.required_text("Req")?).copied() {
                Some(number) => {
                    let end = wire::attempt_end(fields, RequestId(number))?;
                    instance.end_attempt(end.request, end.request_finished);
                    Some(Event::AttemptEnd(end))
                }
                None => None,
            },
            "left" => instance
                .ids
                .get(fields.required_text("Req")?)
                .copied()
                .map(|number| {
                    instance.close_request(RequestId(number));
                    Event::ClientDisconnected(RequestId(number))
                }),
            "first_byte" => match instance.ids.get(fields.required_text("Req")?).copied() {
                Some(number) => {
                    let attempt = fields.required_integer("N")? as u32;
                    Some(Event::StreamStarted {
                        request: RequestId(number),
                        attempt,
                    })
                }
                None => None,
            },
            "reckoned" => Some(wire::counter_answer(fields)?),
            "status_back" => Some(wire::probe_end(fields)?),
            "bell" => Some(Event::Timer),
            "memo" => wire::parse_notice(fields)?,
            other => return Err(InputError::new(&format!("unknown message '{other}'"))),
        };
        batch.events.entry(who).or_default().extend(event);
        Ok(())
    }

    fn run_batch(&mut self, batch: Batch) -> String {
        let mut out = String::new();
        let mut actions = Vec::new();
        for who in &batch.instance_order {
            let (Some(instance), Some(events)) =
                (self.instances.get_mut(who), batch.events.get(who))
            else {
                continue;
            };
            actions.clear();
            instance.balancer.handle(batch.now, events, &mut actions);
            if !actions.is_empty() {
                out.push_str("on_behalf\tWho=");
                out.push_str(who);
                out.push('\n');
            }
            for action in &actions {
                instance.write_action(action, &mut out);
            }
            instance.remove_ended();
        }
        out.push_str("ack\n");
        out
    }
}

fn serve(input: impl BufRead, output: impl Write) -> Result<(), InputError> {
    let mut output = BufWriter::new(output);
    let mut host = Host::default();
    let mut batch: Option<Batch> = None;
    for (number, line) in input.lines().enumerate() {
        let line = line.map_err(|e| InputError::new(&format!("unreadable input: {e}")))?;
        let at = |fault: InputError| fault.at_line(number + 1);
        match (batch.as_mut(), line.as_str()) {
            (None, "") => {}
            (None, text) => {
                let fields = Fields::parse(text);
                if fields.kind != "begin_batch" {
                    return Err(at(InputError::new("expected 'begin_batch'")));
                }
                let now = fields.required_time("TUs").map_err(at)?;
                batch = Some(Batch {
                    now,
                    ..Batch::default()
                });
            }
            (Some(open), "eob") => {
                if open.unfinished_list.is_some() {
                    return Err(at(InputError::new(
                        "a list has fewer items than it announced",
                    )));
                }
                let reply = host.run_batch(batch.take().expect("open"));
                output
                    .write_all(reply.as_bytes())
                    .and_then(|()| output.flush())
                    .map_err(|e| InputError::new(&format!("cannot write the reply: {e}")))?;
            }
            (Some(open), text) => host.read_line(open, text).map_err(at)?,
        }
    }
    match batch {
        Some(_) => Err(InputError::new("the input ends inside a batch")),
        None => Ok(()),
    }
}

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("streamarch-simhost: {fault}");
            ExitCode::from(2)
        }
    }
}
