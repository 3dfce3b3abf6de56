//! The adapter between the module and the simulator's wire: parses batches, hosts the instances, writes replies.
//! It decides nothing.

mod wire;

use std::collections::BTreeMap;
use std::io::{self, BufRead, BufWriter, Write};
use std::process::ExitCode;

use streamarch::{Action, Balancer, Event, ListKind, Micros, RequestId, ServerEntry};
use wire::{Fault, Fields};

/// A request's word on the wire, kept until it is finished and no attempt is out.
struct Named {
    word: String,
    open: bool,
    out: u32,
}

/// One instance of the module with its names.
struct Instance {
    balancer: Balancer,
    words: BTreeMap<u64, Named>,
    numbers: BTreeMap<String, u64>,
    next: u64,
    /// Requests that ended in this batch, in whole or in part.
    ended: Vec<u64>,
}

impl Instance {
    fn boot(fields: &Fields) -> Result<Instance, Fault> {
        let settings = limiter::config::parse_settings(fields.text("Params")?)
            .map_err(|error| Fault::new(&error.to_string()))?;
        let balancer = Balancer::new(settings, fields.whole("RngSeed")?.unwrap_or(0));
        Ok(Instance {
            balancer,
            words: BTreeMap::new(),
            numbers: BTreeMap::new(),
            next: 0,
            ended: Vec::new(),
        })
    }

    fn take(&mut self, word: &str) -> RequestId {
        let id = self.next;
        self.next += 1;
        self.words.insert(
            id,
            Named {
                word: word.to_string(),
                open: true,
                out: 0,
            },
        );
        self.numbers.insert(word.to_string(), id);
        RequestId(id)
    }

    fn close(&mut self, id: RequestId) {
        if let Some(named) = self.words.get_mut(&id.0) {
            named.open = false;
            self.ended.push(id.0);
        }
    }

    fn attempt_ended(&mut self, id: RequestId, finished: bool) {
        if let Some(named) = self.words.get_mut(&id.0) {
            named.out = named.out.saturating_sub(1);
            named.open &= !finished;
            self.ended.push(id.0);
        }
    }

    /// Forgets the words of requests that are over. Only after the reply: an action may still name a request
    /// that a later event of the same batch ended.
    fn forget(&mut self) {
        for id in std::mem::take(&mut self.ended) {
            if self.words.get(&id).is_some_and(|n| !n.open && n.out == 0)
                && let Some(named) = self.words.remove(&id)
            {
                self.numbers.remove(&named.word);
            }
        }
    }

    fn word(&self, id: RequestId) -> &str {
        self.words.get(&id.0).map_or("", |n| n.word.as_str())
    }

    fn write_action(&mut self, action: &Action, out: &mut String) {
        use std::fmt::Write;
        let result = match action {
            Action::Send {
                request,
                server,
                timeout,
            } => {
                if let Some(named) = self.words.get_mut(&request.0) {
                    named.out += 1;
                }
                let word = self.word(*request);
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
                    self.word(*request)
                );
                self.close(*request);
                done
            }
            Action::Fail(request) => {
                let done = writeln!(out, "fail\tReq={}", self.word(*request));
                self.close(*request);
                done
            }
            Action::Cancel { request, attempt } => {
                writeln!(out, "call_off\tReq={}\tN={attempt}", self.word(*request))
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
                writeln!(out, "publish\tPeer={peer}\tMsg={}", wire::notice(notice))
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
    sheets: BTreeMap<u64, Vec<ServerEntry>>,
}

/// One batch as it is read.
#[derive(Default)]
struct Batch {
    now: Micros,
    who: Option<String>,
    order: Vec<String>,
    events: BTreeMap<String, Vec<Event>>,
    sheet: Option<(u64, u64)>,
}

impl Host {
    fn line(&mut self, batch: &mut Batch, line: &str) -> Result<(), Fault> {
        let fields = Fields::parse(line);
        if let Some((sheet, left)) = batch.sheet {
            if fields.kind != "item" {
                return Err(Fault::new("a list has fewer items than it announced"));
            }
            self.sheets
                .entry(sheet)
                .or_default()
                .push(wire::entry(&fields)?);
            batch.sheet = (left > 1).then_some((sheet, left - 1));
            return Ok(());
        }
        match fields.kind {
            "on" => {
                let who = fields.text("Who")?.to_string();
                if !batch.order.contains(&who) {
                    batch.order.push(who.clone());
                }
                batch.who = Some(who);
                Ok(())
            }
            "pool" => {
                let (sheet, items) = (fields.need("Sheet")?, fields.need("Items")?);
                self.sheets.insert(sheet, Vec::new());
                batch.sheet = (items > 0).then_some((sheet, items));
                Ok(())
            }
            _ => self.event(batch, &fields),
        }
    }

    fn event(&mut self, batch: &mut Batch, fields: &Fields) -> Result<(), Fault> {
        let who = batch
            .who
            .clone()
            .ok_or_else(|| Fault::new("an event before any 'on' line"))?;
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
            .ok_or_else(|| Fault::new("an event for an instance never booted"))?;
        let event = match fields.kind {
            "membership" => {
                let kind = wire::list_kind(fields.need("Kind")?)?;
                let entries = match kind {
                    ListKind::Failed => Vec::new(),
                    ListKind::Changes | ListKind::Full | ListKind::Cached => {
                        let sheet = fields.need("Sheet")?;
                        self.sheets
                            .get(&sheet)
                            .cloned()
                            .ok_or_else(|| Fault::new("an unknown list"))?
                    }
                };
                Some(Event::ServerList { kind, entries })
            }
            "query" => {
                let word = fields.text("Req")?;
                let id = instance.take(word);
                Some(Event::Request(wire::request(fields, id)?))
            }
            "closed_attempt" => match instance.numbers.get(fields.text("Req")?).copied() {
                Some(number) => {
                    let end = wire::attempt_end(fields, RequestId(number))?;
                    instance.attempt_ended(end.request, end.request_finished);
                    Some(Event::AttemptEnd(end))
                }
                None => None,
            },
            "left" => instance
                .numbers
                .get(fields.text("Req")?)
                .copied()
                .map(|number| {
                    instance.close(RequestId(number));
                    Event::ClientDisconnected(RequestId(number))
                }),
            "first_byte" => match instance.numbers.get(fields.text("Req")?).copied() {
                Some(number) => {
                    let attempt = fields.need("N")? as u32;
                    Some(Event::StreamStarted {
                        request: RequestId(number),
                        attempt,
                    })
                }
                None => None,
            },
            "reckoned" => Some(wire::counted(fields)?),
            "status_back" => Some(wire::probe_end(fields)?),
            "bell" => Some(Event::Timer),
            "memo" => wire::told(fields)?,
            other => return Err(Fault::new(&format!("unknown message '{other}'"))),
        };
        batch.events.entry(who).or_default().extend(event);
        Ok(())
    }

    fn reply(&mut self, batch: Batch) -> String {
        let mut out = String::new();
        let mut actions = Vec::new();
        for who in &batch.order {
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
            instance.forget();
        }
        out.push_str("ack\n");
        out
    }
}

fn serve(input: impl BufRead, output: impl Write) -> Result<(), Fault> {
    let mut output = BufWriter::new(output);
    let mut host = Host::default();
    let mut batch: Option<Batch> = None;
    for (number, line) in input.lines().enumerate() {
        let line = line.map_err(|e| Fault::new(&format!("unreadable input: {e}")))?;
        let at = |fault: Fault| fault.at(number + 1);
        match (batch.as_mut(), line.as_str()) {
            (None, "") => {}
            (None, text) => {
                let fields = Fields::parse(text);
                if fields.kind != "begin_batch" {
                    return Err(at(Fault::new("expected 'begin_batch'")));
                }
                let now = fields.signed("TUs").map_err(at)?;
                batch = Some(Batch {
                    now,
                    ..Batch::default()
                });
            }
            (Some(open), "eob") => {
                if open.sheet.is_some() {
                    return Err(at(Fault::new("a list has fewer items than it announced")));
                }
                let reply = host.reply(batch.take().expect("open"));
                output
                    .write_all(reply.as_bytes())
                    .and_then(|()| output.flush())
                    .map_err(|e| Fault::new(&format!("cannot write the reply: {e}")))?;
            }
            (Some(open), text) => host.line(open, text).map_err(at)?,
        }
    }
    match batch {
        Some(_) => Err(Fault::new("the input ends inside a batch")),
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
