//! Runs instances of the decision module for the simulator: reads batches of events from standard input, passes
//! them to the instances, and writes the resulting actions to standard output.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use streamarch::{Action, Balancer, Event, ListKind, Micros, RequestId, ServerEntry};
use wire::{Fields, InputError};

/// A request under its name on the wire, kept until it has finished and no attempt is in flight.
struct RequestEntry {
    name: String,
    /// The request has no final response yet.
    is_open: bool,
    in_flight: u32,
}

/// One instance of the decision module, with the names of its requests.
struct Instance {
    balancer: Balancer,
    requests: BTreeMap<u64, RequestEntry>,
    ids: BTreeMap<String, u64>,
    next_id: u64,
    /// Requests that ended, or of which an attempt ended, in this batch.
    ended: Vec<u64>,
}

impl Instance {
    fn boot(fields: &Fields) -> Result<Instance, InputError> {
        let settings = limiter::config::parse_settings(fields.required_text("Params")?)
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

    fn add_request(&mut self, name: &str) -> RequestId {
        let id = self.next_id;
        self.next_id += 1;
        self.requests.insert(
            id,
            RequestEntry {
                name: name.to_string(),
                is_open: true,
                in_flight: 0,
            },
        );
        self.ids.insert(name.to_string(), id);
        RequestId(id)
    }

    fn close_request(&mut self, id: RequestId) {
        if let Some(entry) = self.requests.get_mut(&id.0) {
            entry.is_open = false;
            self.ended.push(id.0);
        }
    }

    fn end_attempt(&mut self, id: RequestId, finished: bool) {
        if let Some(entry) = self.requests.get_mut(&id.0) {
            entry.in_flight = entry.in_flight.saturating_sub(1);
            entry.is_open &= !finished;
            self.ended.push(id.0);
        }
    }

    /// Removes requests that have ended. Must follow the reply: an action may still name a request that a later
    /// event of the same batch ended.
    fn remove_ended(&mut self) {
        for id in std::mem::take(&mut self.ended) {
            if self
                .requests
                .get(&id)
                .is_some_and(|entry| !entry.is_open && entry.in_flight == 0)
                && let Some(entry) = self.requests.remove(&id)
            {
                self.ids.remove(&entry.name);
            }
        }
    }

    fn request_name(&self, id: RequestId) -> &str {
        self.requests
            .get(&id.0)
            .map_or("", |entry| entry.name.as_str())
    }

    fn write_action(&mut self, action: &Action, out: &mut String) {
        use std::fmt::Write;
        let written = match action {
            Action::Send {
                request,
                server,
                timeout,
            } => {
                if let Some(entry) = self.requests.get_mut(&request.0) {
                    entry.in_flight += 1;
                }
                let name = self.request_name(*request);
                writeln!(
                    out,
                    "issue\tReq={name}\tServer={}\tGiveUpAfterUs={timeout}",
                    server.0
                )
            }
            Action::Shed {
                request,
                retry_after,
                ..
            } => {
                let written = writeln!(
                    out,
                    "shed\tReq={}\tStayAwayUs={retry_after}",
                    self.request_name(*request)
                );
                self.close_request(*request);
                written
            }
            Action::Fail(request) => {
                let written = writeln!(out, "fail\tReq={}", self.request_name(*request));
                self.close_request(*request);
                written
            }
            Action::Cancel { request, attempt } => {
                writeln!(
                    out,
                    "call_off\tReq={}\tN={attempt}",
                    self.request_name(*request)
                )
            }
            Action::AddToCounter { key, amount, ttl } => {
                writeln!(
                    out,
                    "tally\tAdd={amount}\tSlotName={}\tExpireInUs={ttl}",
                    key.0
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
            Action::WakeAt(wake_at) => writeln!(out, "after\tToken=0\tFireAtUs={wake_at}"),
            Action::Log(text) => writeln!(out, "write_log\tText={text}"),
        };
        written.expect("writing to a string");
    }
}

/// The instances of the process, and the server lists that events refer to.
#[derive(Default)]
struct Host {
    instances: BTreeMap<String, Instance>,
    server_lists: BTreeMap<u64, Vec<ServerEntry>>,
}

/// A batch while it is being read.
#[derive(Default)]
struct Batch {
    now: Micros,
    current_instance: Option<String>,
    instance_order: Vec<String>,
    events: BTreeMap<String, Vec<Event>>,
    /// The server list that is being read, and the number of its items still to come.
    unfinished_list: Option<(u64, u64)>,
}

impl Host {
    fn read_line(&mut self, batch: &mut Batch, line: &str) -> Result<(), InputError> {
        let fields = Fields::parse(line);
        if let Some((list, items_left)) = batch.unfinished_list {
            if fields.kind != "item" {
                return Err(InputError::new(
                    "server list is truncated: fewer 'item' lines than announced by 'Items'",
                ));
            }
            self.server_lists
                .entry(list)
                .or_default()
                .push(wire::server_entry(&fields)?);
            batch.unfinished_list = (items_left > 1).then_some((list, items_left - 1));
            return Ok(());
        }
        match fields.kind {
            "on" => {
                let instance = fields.required_text("Who")?.to_string();
                if !batch.instance_order.contains(&instance) {
                    batch.instance_order.push(instance.clone());
                }
                batch.current_instance = Some(instance);
                Ok(())
            }
            "pool" => {
                let (list, items) = (
                    fields.required_integer("Sheet")?,
                    fields.required_integer("Items")?,
                );
                self.server_lists.insert(list, Vec::new());
                batch.unfinished_list = (items > 0).then_some((list, items));
                Ok(())
            }
            _ => self.read_event(batch, &fields),
        }
    }

    fn read_event(&mut self, batch: &mut Batch, fields: &Fields) -> Result<(), InputError> {
        let instance_name = batch
            .current_instance
            .clone()
            .ok_or_else(|| InputError::new("event line before the first 'on' line"))?;
        match fields.kind {
            "boot" => {
                self.instances
                    .insert(instance_name.clone(), Instance::boot(fields)?);
                batch.events.insert(instance_name, Vec::new());
                return Ok(());
            }
            "kill" => {
                self.instances.remove(&instance_name);
                batch.events.remove(&instance_name);
                return Ok(());
            }
            _ => {}
        }
        let instance = self
            .instances
            .get_mut(&instance_name)
            .ok_or_else(|| InputError::new("event for an instance that was not booted"))?;
        let event = match fields.kind {
            "membership" => {
                let kind = wire::list_kind(fields.required_integer("Kind")?)?;
                let entries = match kind {
                    ListKind::Failed => Vec::new(),
                    ListKind::Changes | ListKind::Full | ListKind::Cached => {
                        let list = fields.required_integer("Sheet")?;
                        self.server_lists.get(&list).cloned().ok_or_else(|| {
                            InputError::new("'Sheet' refers to an unknown server list")
                        })?
                    }
                };
                Some(Event::ServerList { kind, entries })
            }
            "query" => {
                let name = fields.required_text("Req")?;
                let id = instance.add_request(name);
                Some(Event::Request(wire::request(fields, id)?))
            }
            "closed_attempt" => match instance.ids.get(fields.required_text("Req")?).copied() {
                Some(id) => {
                    let end = wire::attempt_end(fields, RequestId(id))?;
                    instance.end_attempt(end.request, end.request_finished);
                    Some(Event::AttemptEnd(end))
                }
                None => None,
            },
            "left" => instance
                .ids
                .get(fields.required_text("Req")?)
                .copied()
                .map(|id| {
                    instance.close_request(RequestId(id));
                    Event::ClientDisconnected(RequestId(id))
                }),
            "first_byte" => match instance.ids.get(fields.required_text("Req")?).copied() {
                Some(id) => {
                    let attempt = fields.required_integer("N")? as u32;
                    Some(Event::StreamStarted {
                        request: RequestId(id),
                        attempt,
                    })
                }
                None => None,
            },
            "reckoned" => Some(wire::counter_answer(fields)?),
            "status_back" => Some(wire::probe_end(fields)?),
            "bell" => Some(Event::Timer),
            "memo" => wire::parse_notice(fields)?,
            other => return Err(InputError::new(&format!("unknown line type '{other}'"))),
        };
        batch.events.entry(instance_name).or_default().extend(event);
        Ok(())
    }

    fn run_batch(&mut self, batch: Batch) -> String {
        let mut reply = String::new();
        let mut actions = Vec::new();
        for name in &batch.instance_order {
            let (Some(instance), Some(events)) =
                (self.instances.get_mut(name), batch.events.get(name))
            else {
                continue;
            };
            actions.clear();
            instance.balancer.handle(batch.now, events, &mut actions);
            if !actions.is_empty() {
                reply.push_str("on_behalf\tWho=");
                reply.push_str(name);
                reply.push('\n');
            }
            for action in &actions {
                instance.write_action(action, &mut reply);
            }
            instance.remove_ended();
        }
        reply.push_str("ack\n");
        reply
    }
}

fn serve(input: impl BufRead, output: impl Write) -> Result<(), InputError> {
    let mut output = BufWriter::new(output);
    let mut host = Host::default();
    let mut batch: Option<Batch> = None;
    for (index, line) in input.lines().enumerate() {
        let line = line.map_err(|e| InputError::new(&format!("cannot read the input: {e}")))?;
        let with_line = |error: InputError| error.at_line(index + 1);
        match (batch.as_mut(), line.as_str()) {
            (None, "") => {}
            (None, text) => {
                let fields = Fields::parse(text);
                if fields.kind != "begin_batch" {
                    return Err(with_line(InputError::new("expected a 'begin_batch' line")));
                }
                let now = fields.required_time("TUs").map_err(with_line)?;
                batch = Some(Batch {
                    now,
                    ..Batch::default()
                });
            }
            (Some(current), "eob") => {
                if current.unfinished_list.is_some() {
                    return Err(with_line(InputError::new(
                        "server list is truncated: fewer 'item' lines than announced by 'Items'",
                    )));
                }
                let reply = host.run_batch(batch.take().expect("open"));
                output
                    .write_all(reply.as_bytes())
                    .and_then(|()| output.flush())
                    .map_err(|e| InputError::new(&format!("cannot write the reply: {e}")))?;
            }
            (Some(current), text) => host.read_line(current, text).map_err(with_line)?,
        }
    }
    match batch {
        Some(_) => Err(InputError::new(
            "input ended inside a batch, before its 'eob' line",
        )),
        None => Ok(()),
    }
}

fn main() -> ExitCode {
    match serve(io::stdin().lock(), io::stdout().lock()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("streamarch-simhost: {error}");
            ExitCode::from(2)
        }
    }
}
