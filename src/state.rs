//! What a gateway remembers: plain data, and the bookkeeping of chance and due times. Nothing here decides.

use std::collections::{BTreeMap, VecDeque};

use crate::interface::*;

/// Scrambles a number: the same on every gateway.
pub(crate) fn mix(mut x: u64) -> u64 {
    x = x.wrapping_add(0x9e37_79b9_7f4a_7c15);
    x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}

/// A call to the counter that is not answered yet. `id` is the request that waits for it, if one does.
#[derive(Clone, Copy, Default)]
pub(crate) struct Call {
    pub(crate) id: Option<RequestId>,
    pub(crate) customer: CustomerId,
    pub(crate) window: i64,
    pub(crate) add: f64,
    /// What of it stands for requests without a call of their own.
    pub(crate) stands_for: f64,
    pub(crate) open: bool,
    pub(crate) made: Micros,
    /// It carries over what the window before left over.
    pub(crate) carries: bool,
}

/// One shared count of a customer, as this gateway knows it.
#[derive(Default)]
pub(crate) struct Meter {
    /// When the last call for it was made.
    pub(crate) called: Micros,
    /// Number of the window and its last known total; what of the one before it counts in it, as known here;
    /// what has spilled in it because the store was full.
    pub(crate) window: i64,
    pub(crate) current: f64,
    pub(crate) debt: f64,
    pub(crate) spill: f64,
    /// Units this gateway added in this window and had confirmed, those on their way, units it was asked for,
    /// units yet to be added.
    pub(crate) own: f64,
    pub(crate) flying: f64,
    pub(crate) asked: f64,
    pub(crate) carry: f64,
    /// A total of this window has come in, so that the one before need not be read.
    pub(crate) read: bool,
    /// When the last total came in, what of it was added by others, and their units a second.
    pub(crate) told: Micros,
    pub(crate) foreign: f64,
    pub(crate) others: f64,
    /// Units let through here since the last total came in, times the customer's gateways: what the fleet would have
    /// let through if all of them did as this one; what exceeds the window's filling counts in the next.
    pub(crate) unheard: f64,
    /// What the fleet would have let through in this window if all of its gateways did as this one, and what earlier
    /// windows left over: by it goes this gateway's even slice.
    pub(crate) fleet: f64,
    /// A total has shown the customer over its allowance; share of the allowance in use as last told.
    pub(crate) over: bool,
    pub(crate) used: f64,
}

/// What this gateway knows of one customer.
#[derive(Default)]
pub(crate) struct Customer {
    pub(crate) plan: usize,
    pub(crate) seen: Micros,
    /// Its units, and the seconds of its attempts.
    pub(crate) units: Meter,
    pub(crate) open: Meter,
    /// Share of its requests that verdicts have let through.
    pub(crate) grant: f64,
    /// When its gateways were last told that it is over, and the share that this kept out then.
    pub(crate) told: Micros,
    pub(crate) kept_out: f64,
    /// Requests let through here that are not over.
    pub(crate) out: i64,
    /// Units left under the ceiling here.
    pub(crate) ceiling: f64,
    pub(crate) ceiling_at: Micros,
}

/// Health of the counter as this gateway sees it.
#[derive(Default)]
pub(crate) struct CounterHealth {
    pub(crate) failures: u32,
    /// When the last of them was heard of.
    pub(crate) failed: Micros,
    pub(crate) next_probe: Micros,
    /// When it was last told that another one has taken over.
    pub(crate) since: Micros,
    /// Share of the requests that make a call.
    pub(crate) pace: f64,
    /// No call has failed since it was first asked or came back.
    pub(crate) climbs: bool,
}

/// Attempts that a server ended lately, and how many of them it had answered well, both fading.
#[derive(Default)]
pub(crate) struct Taken {
    pub(crate) good: f64,
    pub(crate) ends: f64,
    pub(crate) at: Micros,
}

/// Bad ends in a row, and until when nothing is sent for them.
#[derive(Default)]
pub(crate) struct Rest {
    pub(crate) bad: u32,
    pub(crate) until: Micros,
}

/// What this gateway knows of one server.
#[derive(Default)]
pub(crate) struct Server {
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) kind: u32,
    pub(crate) weight: f64,
    pub(crate) ready: bool,
    pub(crate) gone: bool,
    /// Its place by chance in this gateway's order of servers, and whether it is among the first, which are used.
    pub(crate) rank: f64,
    pub(crate) used: bool,
    pub(crate) started: Micros,
    /// Attempts out from here, and since when no sign of life has come while some were.
    pub(crate) out: u32,
    pub(crate) unheard: Option<Micros>,
    /// Most attempts out from here, learned from how late its answers come.
    pub(crate) bound: f64,
    /// For each plan that met bad ends there: its rest.
    pub(crate) rests: BTreeMap<usize, Rest>,
    /// For each plan: how attempts ended there.
    pub(crate) taken: BTreeMap<usize, Taken>,
    /// Answer time over the fleet's mean for the class, and when it was last fed.
    pub(crate) ratio: f64,
    pub(crate) ratio_at: Micros,
    /// What others have there, by its report, and when that came.
    pub(crate) others: f64,
    pub(crate) others_at: Micros,
    /// Suspected: when the next trial is due and the step to the one after.
    pub(crate) suspect: Option<(Micros, Micros)>,
    /// Its silence was confirmed by a probe.
    pub(crate) confirmed: bool,
    /// Work sent to it while cold that its budget has not covered, and when that was reckoned.
    pub(crate) sent_work: f64,
    pub(crate) sent_at: Micros,
}

/// Where and when the first attempt was sent that may have had its effect.
#[derive(Clone, Copy)]
pub(crate) struct Ran {
    pub(crate) zone: u32,
    pub(crate) cell: u32,
    pub(crate) sent: Micros,
}

/// A request that was taken and is not over, or has attempts out.
#[derive(Default)]
pub(crate) struct Held {
    pub(crate) request: Request,
    /// Counter answers still awaited, whether one refused it, and what of it was added to which window.
    pub(crate) calls: u32,
    pub(crate) denied: bool,
    pub(crate) counted: Vec<(bool, i64, f64)>,
    pub(crate) opened: bool,
    /// Attempts made, and those out (number, server, when sent).
    pub(crate) attempts: u32,
    pub(crate) out: Vec<(u32, ServerId, Micros)>,
    pub(crate) ran: Option<Ran>,
    /// Where its last attempt ended.
    pub(crate) last: Option<ServerId>,
    pub(crate) streaming: bool,
    pub(crate) done: bool,
}

/// What falls due.
pub(crate) enum Due {
    Wait(RequestId),
    Deadline(RequestId),
    Tick,
}

/// One gateway's decisions.
#[derive(Default)]
pub struct Balancer {
    pub(crate) settings: Settings,
    pub(crate) random: u64,
    pub(crate) now: Micros,
    pub(crate) booted: Option<Micros>,
    pub(crate) actions: Vec<Action>,
    pub(crate) customers: BTreeMap<CustomerId, Customer>,
    /// When customers were last looked through for those to forget.
    pub(crate) swept: Micros,
    pub(crate) calls: BTreeMap<CounterKey, VecDeque<Call>>,
    pub(crate) counter: CounterHealth,
    pub(crate) servers: BTreeMap<ServerId, Server>,
    /// How attempts ended at each kind of machine, for each plan and (the last number) for all.
    pub(crate) kinds: BTreeMap<(u32, usize), Taken>,
    /// Work of a request of each class: the answer time where nothing waits.
    pub(crate) works: Vec<f64>,
    /// Mean answer time of each class over the fleet.
    pub(crate) means: Vec<f64>,
    /// Further attempts that may be made.
    pub(crate) retries: f64,
    /// Gateways that use one server.
    pub(crate) sharers: f64,
    /// Usual worth of a request for its work.
    pub(crate) usual_worth: f64,
    pub(crate) held: BTreeMap<RequestId, Held>,
    pub(crate) dues: BTreeMap<(Micros, u64), Due>,
    pub(crate) due_number: u64,
    pub(crate) armed: Option<Micros>,
}

impl Balancer {
    /// The next number of this instance's own chance, from 0 to below 1.
    pub(crate) fn random(&mut self) -> f64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        (mix(self.random) >> 11) as f64 / (1u64 << 53) as f64
    }

    /// Notes something that falls due.
    pub(crate) fn due(&mut self, at: Micros, due: Due) {
        self.due_number += 1;
        self.dues.insert((at, self.due_number), due);
    }

    /// A line for the operators' log.
    pub(crate) fn log(&mut self, text: String) {
        self.actions.push(Action::Log(text));
    }
}

impl Customer {
    /// A customer of whom nothing is known; its ceiling fills from `since`, and it is
    /// taken to use this share of its allowance.
    pub(crate) fn unknown(plan: usize, since: Micros, used: f64) -> Customer {
        let meter = || Meter {
            window: i64::MIN / 2,
            used,
            ..Meter::default()
        };
        let (units, open) = (meter(), meter());
        Customer {
            plan,
            units,
            open,
            grant: 1.0,
            told: Micros::MIN / 2,
            ceiling_at: since,
            ..Customer::default()
        }
    }
}

impl Server {
    /// A server of which nothing is known, not even a start.
    pub(crate) fn unknown(bound: f64, rank: f64) -> Server {
        Server {
            bound,
            rank,
            ratio: 1.0,
            started: -1,
            ..Server::default()
        }
    }
}
