//! THE decision module. The ordinary path: each request adds its units to the customer's window count on the
//! counter service and passes if the sliding estimate stays within quota, behind a local count; when there is
//! no counter, requests pass. All else names the danger it meets.

use crate::interface::*;
use crate::state::*;

const SECOND: Micros = 1_000_000;
/// Window of the count of attempts out: what a dead gateway left in it is forgotten at the turn.
const OPEN_WINDOW: Micros = 4 * SECOND;
/// So long after its last request what is known of a customer is forgotten.
const CUSTOMER_KEPT: Micros = 60 * SECOND;
/// Within its slice a gateway asks anew for a customer found over quota, but not more often than this.
const VERDICT_FRESH: Micros = 100_000;
/// The wait for the counter is at most this share of the aim.
const WAIT_SHARE: f64 = 0.15;
/// So many calls in a row without any sign of life, and the counter counts as lost.
const LOST_AFTER: u32 = 4;
/// Calls that fail within this of one another are one sign: they were on one connection that broke.
const FAILURES_APART: Micros = 3_000;
/// Pace, the share of requests that make a call: at first that of so many gateways in all, times the
/// climb while no call has failed yet; then cut and raised by calls, down to the least. Low: as if lost.
const PACE_FIRST: f64 = 64.0;
const PACE_CLIMB: f64 = 1.5;
const PACE_CUT: f64 = 0.75;
const PACE_RISE: f64 = 1.15;
const PACE_LOW: f64 = 0.5;
const PACE_LEAST: f64 = 1.0 / 65536.0;
/// Odds of a call, times this at the allowance and for the plan where use beyond the quota costs most.
const PACE_FAVOUR: f64 = 6.0;
/// A total within this share of one's own add is that add alone.
const SAME: f64 = 1e-5;
/// What is missing at the counter is told so many seconds after the turn, with this chance for each total.
const MISSING_AFTER: f64 = 0.2;
const MISSING_TOLD: f64 = 0.3;
/// Time constant, in seconds, of what other gateways let through of a customer.
const OTHERS_TAU: f64 = 0.5;
/// Share of its allowance that an unknown customer is taken to use.
const USE_GUESS: f64 = 0.5;
/// Least share of the tries of a customer at its cap that still asks a crowded counter.
const ASK_LEAST: f64 = 0.1;
/// A call adds its units from this chance on that they pass; else a little, to know itself as the first.
const LIKELY: f64 = 0.5;
const ADD_LEAST: f64 = 0.02;
/// Gain of the share granted to a customer for each verdict.
const GRANT_GAIN: f64 = 0.6;
/// Time in which a verdict told by another gateway fades, and least time between two for one customer.
const TOLD_TAU: f64 = 4.0e6;
const TELL_EVERY: Micros = SECOND;
/// While the counter is lost, one call in this time looks whether it is back.
const LOST_PROBE: Micros = SECOND;
/// Period of the housekeeping: silent servers, idle customers.
const TICK: Micros = 20_000;
/// A server that owes answers is suspected after this multiple of the usual answer time, at least this long.
const SILENT_MULTIPLE: f64 = 5.0;
const SILENT_MIN: Micros = 300_000;
/// First and longest time between trials of a suspect.
const TRIAL_FIRST: Micros = 250_000;
const TRIAL_LONGEST: Micros = 2 * SECOND;
/// What a further attempt takes of the budget if none before has run: it costs the servers next to nothing.
const UNRUN_COST: f64 = 0.2;
/// Further attempts earned by each new request, and the most that can be saved up: bounds a retry storm.
const RETRY_EARN: f64 = 0.1;
const RETRY_MOST: f64 = 20.0;
/// Time constants: answer times of a server; what is known of it, when unheard; load reports.
const ANSWER_TAU: f64 = 1.0e6;
const FORGET_TAU: f64 = 8.0e6;
const REPORT_TAU: f64 = 0.6e6;
/// Share of the cold budget that is used: the rest is for chance.
const COLD_MARGIN: f64 = 0.5;
/// Attempts out at a server: first bound and rise for all gateways together, to which more than a few add up,
/// share of the aim after which an answer is late, cuts for a late answer and a refusal.
const BOUND_FIRST: f64 = 12.0;
const BOUND_RISE: f64 = 1.5;
const BOUND_FEW: f64 = 4.0;
const LATE_SHARE: f64 = 0.5;
const LATE_CUT: f64 = 0.9;
const FULL_CUT: f64 = 0.7;
/// A server that turned a request away or let one run out rests this long, doubled up to the longest.
const REST_FIRST: Micros = 50_000;
const REST_LONGEST: Micros = 4 * SECOND;
/// A server where an attempt of the same request has just ended badly looks so many times slower to it.
const AGAIN: f64 = 8.0;
/// Chance of an answer from a server: so many ends seen weigh as much as what is expected.
const TAKEN_PRIOR: f64 = 1.0;
/// A request of less than usual worth for its work may fill this share of the bounds; gain of the usual.
const CHEAP_SHARE: f64 = 0.4;
const WORTH_GAIN: f64 = 0.005;
/// Guessed mean work of a request before any answer.
const WORK_GUESS: f64 = 100_000.0;
/// Gains of a class's work by answers quicker and slower than it: most answers have also waited.
const WORK_DOWN: f64 = 0.05;
const WORK_UP: f64 = 0.01;
/// Gain of a class's mean answer time for each answer.
const MEAN_GAIN: f64 = 0.02;
/// A server's answer time over the mean: the most, and the least time between two.
const RATIO_MOST: f64 = 20.0;
const RATIO_STEP: Micros = 60_000;
/// Share of a bound that must be out for a good answer to raise it.
const BOUND_USED: f64 = 0.7;
/// Gateways that use one server, where there are more; servers that one gateway uses, at least.
const SHARERS: f64 = 20.0;
const USED_LEAST: f64 = 8.0;
/// Servers drawn by chance for a choice between them, at least.
const DRAWN: usize = 2;

/// A quota as a store: rate in units a second, most units held, and the window of its count.
#[derive(Clone, Copy)]
struct Store {
    rate: f64,
    burst: f64,
    window: Micros,
}

impl Store {
    /// Units against a rate.
    fn of_rate(plan: &Plan) -> Store {
        Store { rate: plan.rate, burst: plan.burst, window: plan.window_length() }
    }

    fn fill(&self) -> f64 {
        self.rate * self.window as f64 / SECOND as f64
    }

    /// What of a window's total still counts in the next: what exceeds its filling, as far as the store goes.
    fn overhang(&self, total: f64) -> f64 {
        (total - self.fill()).clamp(0.0, self.burst)
    }
}

/// A count: of attempts out or of units, its store, and what a request counts.
type Counted = (bool, Store, f64);

/// Number of the window and the share of it left. Danger: demand crowds where all customers turn at once.
fn window_at(now: Micros, length: Micros, customer: CustomerId) -> (i64, f64) {
    let shifted = now + (mix(customer.0) % length as u64) as Micros;
    (shifted.div_euclid(length), 1.0 - shifted.rem_euclid(length) as f64 / length as f64)
}

/// All gateways compute the same name.
fn count_name(customer: CustomerId, window: i64, open: bool) -> CounterName {
    CounterName(mix(mix(customer.0.wrapping_mul(2) + u64::from(open)) ^ window as u64) >> 1)
}

impl Meter {
    /// Brings the window up to `now`; gives what may have been counted: a full store and what flowed in.
    fn turn(&mut self, store: Store, customer: CustomerId, now: Micros) -> f64 {
        let (window, left) = window_at(now, store.window, customer);
        let flowed = store.fill() * (1.0 - left);
        if window != self.window {
            let next = window == self.window + 1 && store.rate > 0.0;
            // Danger: units not yet added after an outage must not fill the new window.
            self.debt = if next { store.overhang(self.estimate() + self.carry) } else { 0.0 };
            (self.window, self.current, self.asked, self.spill) = (window, self.debt, 0.0, 0.0);
            (self.own, self.flying, self.carry, self.read) = (0.0, 0.0, 0.0, false);
            (self.told, self.foreign, self.unheard) =
                (now, 0.0, if next { store.overhang(self.unheard) } else { 0.0 });
            // Danger: verdicts clearing together at the turn let held-back demand go at once.
            self.over &= next;
        }
        store.burst + flowed
    }

    /// The plan changed in service: what is left stays, as far as the new store holds it. Danger: the new
    /// figures alone would grant a second burst in the window, or take back what is left.
    fn replan(&mut self, old: Store, new: Store, customer: CustomerId, now: Micros) {
        let room = self.turn(old, customer, now);
        let flowed = new.fill() * (1.0 - window_at(now, new.window, customer).1);
        let left = room - self.estimate() - self.carry;
        self.spill += new.burst + flowed - room + (left - new.burst).max(0.0);
    }

    /// The sliding window: what still counts of the window before is part of the present total.
    fn estimate(&self) -> f64 {
        self.current + self.spill
    }

    /// What is known here, and what others are likely to have added since the last total came in.
    fn expected(&self, now: Micros) -> f64 {
        self.estimate() + self.carry + self.others * (now - self.told) as f64 / SECOND as f64
    }

    /// A total came in. Danger: an emptied counter shows less than was added here; own adds then stand in.
    fn learn(&mut self, add: f64, total: f64, flowed: f64, (rate, now): (f64, Micros)) -> f64 {
        self.own += add;
        // Danger: the one who was to add what the window before left over may have failed: it stands in here.
        let (total, least) = (total.max(self.own), self.own + self.debt);
        let (foreign, since) = (total - self.own, (now - self.told) as f64 / SECOND as f64);
        // The first total of a window also holds what the one before left over, which is no use of others.
        if self.read && since > 0.0 {
            let others = ((foreign - self.foreign) / since).clamp(0.0, rate);
            self.others += (others - self.others) * (1.0 - (-since / OTHERS_TAU).exp());
        }
        (self.told, self.foreign, self.unheard) = (now, foreign, 0.0);
        let total = total.max(least);
        self.current = total + self.flying;
        // Danger: an idle spell must not let a customer save more than its store holds.
        self.spill = self.spill.max(flowed - (total - add));
        total
    }

    /// What stands in here for what the counter lacks goes along with the next call: others lack it too.
    fn tell_missing(&mut self, total: f64) {
        let missing = (self.own + self.debt - total).max(0.0);
        let left_over = missing.min(self.debt);
        (self.debt, self.own) = (self.debt - left_over, self.own - (missing - left_over));
        (self.current, self.carry) = (self.current - missing, self.carry + missing);
    }
}

impl Customer {
    fn meter(&mut self, open: bool) -> &mut Meter {
        if open { &mut self.open } else { &mut self.units }
    }

    /// The share that its verdicts let through, less what notices to all its gateways keep out for a while.
    fn granted(&self, now: Micros) -> f64 {
        self.grant * self.let_in(now)
    }

    fn let_in(&self, now: Micros) -> f64 {
        1.0 - self.kept_out * (-((now - self.told) as f64) / TOLD_TAU).exp()
    }

    /// Danger: who stays over must not have back by the next notice what the last took. Told over is seen.
    fn told_over(&mut self, now: Micros) {
        (self.kept_out, self.told, self.seen) = (1.0 - self.let_in(now) * (1.0 - GRANT_GAIN), now, now);
    }

    /// The hard ceiling, kept by each gateway alone: an even share, empty at its start: a restart fills none.
    fn take_ceiling(&mut self, plan: &Plan, spread: f64, units: f64, now: Micros) -> bool {
        let flow = (now - self.ceiling_at) as f64 / SECOND as f64 * plan.ceiling_rate / spread;
        (self.ceiling, self.ceiling_at) = ((self.ceiling + flow).min(plan.ceiling_burst / spread), now);
        let fits = self.ceiling >= units;
        self.ceiling -= if fits { units } else { 0.0 };
        fits
    }
}

impl Taken {
    fn faded(&self, now: Micros) -> (f64, f64) {
        let fade = (-((now - self.at) as f64) / FORGET_TAU).exp();
        (self.good * fade, self.ends * fade)
    }

    fn learn(&mut self, now: Micros, good: bool) {
        let (before, ends) = self.faded(now);
        (self.good, self.ends, self.at) = (before + f64::from(u8::from(good)), ends + 1.0, now);
    }

    /// The chance by what was seen here, and where that is little by what is expected.
    fn chance(&self, now: Micros, expected: f64) -> f64 {
        let (good, ends) = self.faded(now);
        (good + TAKEN_PRIOR * expected) / (ends + TAKEN_PRIOR)
    }
}

impl Server {
    /// Answer time over the fleet's mean; an unheard server drifts back to the mean and so to a new trial.
    fn ratio(&self, now: Micros) -> f64 {
        1.0 + (self.ratio - 1.0) * (-((now - self.ratio_at) as f64) / FORGET_TAU).exp()
    }

    fn learn_ratio(&mut self, now: Micros, ratio: f64) {
        let before = self.ratio(now);
        let gain = 1.0 - (-((now - self.ratio_at).max(RATIO_STEP) as f64) / ANSWER_TAU).exp();
        (self.ratio, self.ratio_at) = (before + (ratio.min(RATIO_MOST) - before) * gain, now);
    }

    /// Danger: a jam of work that nobody waits for outlives its cause; only what comes back in time is sent.
    fn learn_bound(&mut self, outcome: Outcome, late: bool, least: f64) {
        let used = f64::from(self.out) + 1.0 >= BOUND_USED * self.bound;
        let rise = BOUND_RISE * least * (BOUND_FEW * least).min(1.0);
        self.bound = match outcome {
            Outcome::Ok if late => self.bound * LATE_CUT,
            Outcome::Ok if used => self.bound + rise / self.bound,
            Outcome::Full | Outcome::TimedOut => self.bound * FULL_CUT,
            _ => self.bound,
        };
        self.bound = self.bound.max(least);
    }

    /// Danger: a server kept full never drains. By plan, since some refuse one customer or plan only.
    fn learn_rest(&mut self, now: Micros, plan: usize, outcome: Outcome) {
        if outcome == Outcome::Ok {
            self.rests.remove(&plan);
        } else if matches!(outcome, Outcome::Full | Outcome::TimedOut | Outcome::ConnectFailed) {
            let rest = self.rests.entry(plan).or_default();
            if now >= rest.until {
                rest.until = now + (REST_FIRST << rest.bad.min(16)).min(REST_LONGEST);
                rest.bad += 1;
            }
        }
    }

    fn load(&self, now: Micros) -> f64 {
        let fade = (-((now - self.others_at) as f64) / REPORT_TAU).exp();
        f64::from(self.out) + self.others * fade
    }

    fn learn_report(&mut self, now: Micros, report: Option<LoadReport>) {
        if let Some(told) = report.and_then(|r| r.active.map(|a| a - f64::from(self.out)).or(r.waiting)) {
            (self.others, self.others_at) = (told.max(0.0), now);
        }
    }
}

/// Danger: gateways that start together would crowd the counter before any of them has heard of it.
fn first_pace(settings: &Settings) -> f64 {
    (PACE_FIRST / f64::from(settings.gateways.max(1))).min(1.0)
}

impl Balancer {
    /// A gateway that has just started and knows nothing but its settings.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        let (means, works) = (vec![0.0; settings.classes.len()], vec![WORK_GUESS; settings.classes.len()]);
        let counter = CounterHealth { pace: first_pace(&settings), climbs: true, ..CounterHealth::default() };
        let (sharers, retries) = (SHARERS.min(f64::from(settings.gateways.max(1))), RETRY_MOST / 2.0);
        let known = Balancer { settings, random: seed, means, works, counter, ..Balancer::default() };
        Balancer { sharers, retries, ..known }
    }

    /// Takes what happened up to `now` and appends what is to be done, in order.
    pub fn handle(&mut self, now: Micros, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        if self.booted.is_none() {
            self.booted = Some(self.now);
            self.due(self.now + TICK, Due::Tick);
            self.actions.extend(self.settings.ask_for_list.then_some(Action::WatchList));
        }
        for event in events {
            self.event(event);
        }
        while let Some(entry) = self.dues.first_entry().filter(|e| e.key().0 <= self.now) {
            match entry.remove() {
                Due::Wait(id) if self.held.get(&id).is_some_and(|h| h.calls > 0) => self.verdict(id),
                Due::Wait(_) => {}
                Due::Deadline(id) => self.give_up(id),
                Due::Tick => self.tick(),
            }
        }
        if let Some((&(at, _), _)) = self.dues.first_key_value()
            && self.armed.is_none_or(|armed| at < armed)
        {
            self.armed = Some(at);
            self.actions.push(Action::WakeAt(at));
        }
        actions.append(&mut self.actions);
    }

    fn event(&mut self, event: &Event) {
        match event {
            Event::ServerList { kind, entries } => self.on_list(*kind, entries),
            Event::Request(request) => self.on_request(request),
            Event::AttemptEnd(end) => self.on_attempt_end(end),
            Event::StreamBegan { request, .. } => _ = self.held.get_mut(request).map(|h| h.streaming = true),
            Event::ClientLeft(id) => self.on_left(*id),
            Event::Counted { name, outcome, total } => self.on_counted(*name, *outcome, *total),
            // Danger: a slow or crowded counter taken for lost. It is asked less until it answers in time.
            Event::CounterLate if !self.counter_lost() => self.counter.failures = 0,
            Event::CounterLate => {}
            Event::ProbeEnd { server, outcome, report } => self.on_probe(*server, *outcome, *report),
            Event::Told(notice) => self.on_told(*notice),
            Event::Plan(plan) => self.settings.plans.push(plan.clone()),
            Event::Timer => self.armed = None,
        }
    }

    fn gateways(&self) -> f64 {
        f64::from(self.settings.gateways.max(1))
    }

    // --------------------------------------------------------------------------------------- quota

    fn counter_lost(&self) -> bool {
        self.counter.failures >= LOST_AFTER
    }

    /// The ordinary path: local count, then the calls; the verdict falls when they are answered.
    fn ask(&mut self, id: RequestId) {
        let Some(request) = self.held.get(&id).map(|h| h.request.clone()) else { return };
        let (now, booted, who) = (self.now, self.booted.unwrap_or(self.now), request.customer);
        let Some(plan) = self.settings.plans.get(request.plan).cloned() else { return self.place(id) };
        // Danger: who is unknown here may have used up much of the window under the plan before.
        let same = |since| window_at(since, plan.window, who).0 == window_at(now, plan.window, who).0;
        let changed = plan.changed.filter(|(since, _)| plan.window > 0 && same(*since));
        let first = changed.map_or(request.plan, |c| c.1);
        let unknown = || Customer::unknown(first, booted, USE_GUESS);
        let customer = self.customers.entry(who).or_insert_with(unknown);
        customer.seen = now;
        let before = std::mem::replace(&mut customer.plan, request.plan);
        let changed = |old: &&Plan| old.window.max(plan.window) > 0 && old.rate.min(plan.rate) > 0.0;
        if let Some(old) = self.settings.plans.get(before).filter(|_| before != request.plan).filter(changed)
        {
            customer.units.replan(Store::of_rate(old), Store::of_rate(&plan), who, now);
        }
        let granted = customer.granted(now).max(ASK_LEAST);
        let spread = f64::from(request.spread.clamp(1, self.settings.gateways.max(1)));
        let lost = self.counter_lost();
        // Danger: cut off, all gateways grant all, and verdicts' shares hold until the counter is back.
        let sliced = self.settings.lost_slices && lost;
        // Danger: at a crowded counter denied tries hold places of the cap while they wait and deny others.
        let asks = plan.most_open == 0 || self.counter.pace >= 1.0 || self.random() < granted;
        let usable = asks && self.settings.counter && (!lost || now >= self.counter.next_probe);
        let share = if lost { 1.0 } else { self.call_share(&request) };
        // A crowded counter: the call of one request stands for those that make none.
        let weight = if usable && self.random() < share { 1.0 / share } else { 0.0 };
        let store = |open: &bool| self.store_of(request.plan, request.units, *open);
        let meters: Vec<Counted> = [false, true].iter().filter_map(store).collect();
        let mut fits = self.fits_here(who, (plan.most_open, spread, sliced), &meters, weight == 0.0);
        // Danger: a share of the tries that pass unasked grows with them, and the refused come back at once.
        let informed = plan.most_open == 0 && self.customers.get(&who).is_some_and(|c| c.units.read);
        fits = fits && (weight > 0.0 || informed || sliced || self.random() < self.alone(who));
        let ceiling = |c: &mut Customer| c.take_ceiling(&plan, spread, request.units, now);
        fits = fits && (plan.ceiling_rate <= 0.0 || self.customers.get_mut(&who).is_some_and(ceiling));
        if fits {
            self.count(&request, &meters, weight, spread);
        }
        let Some(held) = self.held.get_mut(&id) else { return };
        held.denied = !fits;
        self.counter.next_probe =
            if lost && weight > 0.0 { now + LOST_PROBE } else { self.counter.next_probe };
        if !fits || held.calls == 0 || lost {
            return self.verdict(id);
        }
        let aim = self.settings.classes.get(request.class).map_or(SECOND, |c| c.aim);
        self.due(now + (aim as f64 * WAIT_SHARE) as Micros, Due::Wait(id));
    }

    /// What a request counts. Danger: attempts out of a dead gateway must not fill the cap for good: windows.
    fn store_of(&self, plan: usize, units: f64, open: bool) -> Option<Counted> {
        let plan = self.settings.plans.get(plan)?;
        match open {
            false if plan.rate > 0.0 => Some((open, Store::of_rate(plan), units)),
            true if plan.most_open > 0 => {
                Some((open, Store { rate: 0.0, burst: plan.most_open.into(), window: OPEN_WINDOW }, 1.0))
            }
            _ => None,
        }
    }

    /// The chance to pass without a verdict: as verdicts went; none where passing beyond would cost more.
    fn alone(&self, customer: CustomerId) -> f64 {
        let Some(known) = self.customers.get(&customer) else { return 1.0 };
        let loss = self.settings.plans.get(known.plan).map_or(0.0, |p| (p.over_cost - p.over_worth).max(0.0));
        let even = loss / (1.0 + loss);
        ((known.granted(self.now) - even) / (1.0 - even)).clamp(0.0, 1.0)
    }

    /// The local count: past its slice, or with the counter lost or crowded, who is over makes no call.
    fn fits_here(&mut self, who: CustomerId, how: (u32, f64, bool), meters: &[Counted], alone: bool) -> bool {
        let (most, spread, sliced) = how;
        let (now, lost) = (self.now, alone || self.counter_lost() || self.counter.pace < PACE_LOW);
        let Some(customer) = self.customers.get_mut(&who) else { return true };
        let mut fits = most == 0 || customer.out < i64::from(most);
        for (open, store, units) in meters {
            let meter = customer.meter(*open);
            let room = meter.turn(*store, who, now);
            meter.asked += units;
            let past_slice = store.rate > 0.0 && meter.asked > (room / spread).max(*units);
            let told_lately = now - meter.called < VERDICT_FRESH;
            let known = units + if alone { meter.expected(now) } else { meter.estimate() + meter.carry };
            fits &= known <= room || !(lost || (meter.over && (past_slice || told_lately)));
            fits &= !sliced || store.rate <= 0.0 || meter.unheard + (units * spread).min(room) <= room;
        }
        fits
    }

    fn count(&mut self, request: &Request, meters: &[Counted], weight: f64, spread: f64) {
        let now = self.now;
        let (grant, mut counted) = (self.alone(request.customer), Vec::new());
        let likely = self.customers.get(&request.customer).is_none_or(|c| c.granted(now) >= LIKELY);
        for (open, store, units) in meters {
            let Some(customer) = self.customers.get_mut(&request.customer) else { return };
            let meter = customer.meter(*open);
            meter.unheard += if *open { 0.0 } else { *units * spread };
            if weight == 0.0 {
                // What the counter was not told goes along with the next call.
                meter.carry += if *open { 0.0 } else { *units };
                continue;
            }
            meter.called = now;
            // It adds its own if that is likely let through, and what is likely let through of others.
            let own = units * if *open || likely { 1.0 } else { ADD_LEAST };
            let others = units * (weight - 1.0) * grant;
            let (stands_for, add) = (own + others - units, own + others + std::mem::take(&mut meter.carry));
            // Danger: the chance of few calls adds up over a window. Where those that one stood for do not
            // come, or are more, the next puts it right.
            meter.carry = if *open { 0.0 } else { -others };
            meter.flying += add;
            meter.current += add;
            let (id, window) = (Some(request.id), meter.window);
            counted.push((*open, window, if *open { own + others } else { own }));
            let (customer, open) = (request.customer, *open);
            let call = Call { id, customer, window, add, stands_for, open, ..Call::default() };
            self.call(call, store.window);
        }
        self.customers.entry(request.customer).and_modify(|c| c.out += 1);
        self.held.entry(request.id).and_modify(|h| (h.opened, h.counted) = (true, counted));
    }

    /// The share of requests that make a call: more of those that may find the customer over at a cost.
    fn call_share(&self, request: &Request) -> f64 {
        let known = self.customers.get(&request.customer);
        let used = known.map_or(USE_GUESS, |c| c.units.used.max(c.open.used).clamp(0.0, 1.0));
        let cost = |p: &Plan| p.price * p.over_cost;
        let most = self.settings.plans.iter().map(cost).fold(f64::MIN_POSITIVE, f64::max);
        let stake = self.settings.plans.get(request.plan).map_or(0.0, |p| cost(p) / most);
        let favoured = self.counter.pace * PACE_FAVOUR.powf(used + stake - 1.0);
        favoured / (favoured + (1.0 - self.counter.pace))
    }

    fn call(&mut self, call: Call, length: Micros) {
        let name = count_name(call.customer, call.window, call.open);
        let call = Call { made: self.now, ..call };
        self.calls.entry(name).or_default().push_back(call);
        call.id.into_iter().for_each(|id| _ = self.held.get_mut(&id).map(|h| h.calls += 1));
        self.actions.push(Action::Count { name, add: call.add, expires: 2 * length + SECOND });
    }

    fn on_counted(&mut self, name: CounterName, outcome: Outcome, total: f64) {
        let Some(queue) = self.calls.get_mut(&name) else { return };
        let Some(call) = queue.pop_front() else { return };
        if queue.is_empty() {
            self.calls.remove(&name);
        }
        self.counter_heard(outcome, self.now - call.made > self.settings.counter_timeout);
        let denied = self.answer(call, outcome, total);
        let Some(id) = call.id else { return };
        let Some(held) = self.held.get_mut(&id).filter(|h| h.calls > 0) else { return };
        held.denied |= denied;
        held.calls -= 1;
        if held.calls == 0 {
            if outcome == Outcome::Ok {
                self.learn_grant(id);
            }
            self.verdict(id);
        }
    }

    /// Danger: each of hundreds of gateways lets a customer's first requests pass before it has a verdict of
    /// its own. While the counter is crowded a verdict against a customer is told to all its gateways.
    fn learn_grant(&mut self, id: RequestId) {
        let Some((request, denied)) = self.held.get(&id).map(|h| (&h.request, h.denied)) else { return };
        let (now, many, own) = (self.now, self.settings.gateways.max(1), self.settings.own_number);
        let Some(known) = self.customers.get_mut(&request.customer) else { return };
        known.grant += (f64::from(u8::from(!denied)) - known.grant) * GRANT_GAIN;
        let crowded = self.settings.may_tell && self.counter.pace < 1.0;
        if !denied || !crowded || now - known.told < TELL_EVERY {
            return;
        }
        known.told_over(now);
        let notice = OverNotice { customer: request.customer, plan: request.plan };
        let set = (0..request.spread.min(many)).map(|n| (request.first % many + n) % many);
        self.actions.extend(set.filter(|n| *n != own).map(|n| Action::Tell(n, notice)));
    }

    /// Another gateway's verdict counts as one's own; it fades, so that the customer is tried again.
    fn on_told(&mut self, notice: OverNotice) {
        let (now, booted) = (self.now, self.booted.unwrap_or(self.now));
        let unknown = || Customer::unknown(notice.plan, booted, 1.0);
        let known = self.customers.entry(notice.customer).or_insert_with(unknown);
        known.told_over(now);
    }

    fn answer(&mut self, call: Call, outcome: Outcome, total: f64) -> bool {
        let (now, chance, grant) = (self.now, self.random(), self.alone(call.customer));
        let Some(plan) = self.customers.get(&call.customer).map(|c| c.plan) else { return false };
        let Some((_, store, _)) = self.store_of(plan, 0.0, call.open) else { return false };
        let Some(known) = self.customers.get_mut(&call.customer) else { return false };
        let meter = known.meter(call.open);
        let room = meter.turn(store, call.customer, now);
        let present = call.window == meter.window;
        meter.flying = (meter.flying - if present { call.add.max(0.0) } else { 0.0 }).max(0.0);
        match outcome {
            Outcome::Ok if present => {
                // Danger: a give-back makes a count look fresh again; what still counts is added once.
                let first = call.id.is_some() && (total - call.add).abs() < SAME * call.add && !meter.read;
                meter.read |= call.id.is_some();
                meter.debt = if call.carries { 0.0 } else { meter.debt };
                let (told, flowed) = (total, room - store.burst);
                let total = meter.learn(call.add, told, flowed, (store.rate, now));
                let total = total + meter.spill - call.stands_for;
                // Not all at once, and not while the first of the window may still be reading the one before.
                if flowed > store.rate * MISSING_AFTER && chance < MISSING_TOLD {
                    meter.tell_missing(told);
                }
                let over = total > room;
                meter.used = total / room.max(1e-9);
                // What is given back or read says nothing of who asks next.
                let asks = call.add > 0.0 || (call.id.is_some() && !call.open);
                meter.over = if asks { over } else { meter.over };
                if first && store.rate > 0.0 {
                    // The first to count in a window reads the total of the one before, for all.
                    let read = Call { id: None, window: call.window - 1, add: 0.0, stands_for: 0.0, ..call };
                    self.call(read, store.window);
                }
                over
            }
            Outcome::Ok if call.window + 1 == meter.window && call.add == 0.0 => {
                let (window, add) = (meter.window, store.overhang(total).max(meter.debt));
                (meter.current, meter.flying) = (meter.current + add, meter.flying + add);
                if add > 0.0 {
                    self.call(Call { window, add, carries: true, ..call }, store.window);
                }
                false
            }
            Outcome::Ok => total - call.stands_for > room,
            // No verdict: the request passes, unless what is known shows the customer over.
            Outcome::TimedOut => meter.expected(now) > room || (!meter.read && chance >= grant),
            // Nothing was added: what passes goes along with the next call. Danger: what was never added and
            // is given back leaves a counter that turns calls away below nothing.
            _ => {
                let held = call.id.and_then(|id| self.held.get_mut(&id));
                let units = held.as_ref().filter(|_| !call.open).map_or(0.0, |h| h.request.units);
                let counted = held.map(|h| &mut h.counted);
                let own = counted.map_or(0.0, |c| c.extract_if(.., |c| c.0 == call.open).map(|c| c.2).sum());
                if present {
                    meter.current -= call.add;
                    meter.carry += call.add - own;
                }
                let denied = meter.expected(now) + units > room || (!meter.read && chance >= grant);
                meter.carry += if denied || !present { 0.0 } else { units };
                denied
            }
        }
    }

    /// Danger: a crowded counter taken for lost. One that turns calls away is alive and only asked less.
    fn counter_heard(&mut self, outcome: Outcome, slow: bool) {
        let lost = self.counter_lost();
        // Danger: one connection that breaks fails all calls on it at once, and the counter passes for lost.
        let unheard = !matches!(outcome, Outcome::Ok | Outcome::Full);
        let another = unheard && self.now - self.counter.failed >= FAILURES_APART;
        self.counter.failed = if another { self.now } else { self.counter.failed };
        let (factor, silent) = match outcome {
            Outcome::Ok if self.counter.climbs && !slow => (PACE_CLIMB, 0),
            Outcome::Ok if !slow => (PACE_RISE, 0),
            Outcome::Ok | Outcome::Full => (PACE_CUT, 0),
            _ => (PACE_CUT, self.counter.failures.saturating_add(u32::from(another))),
        };
        self.counter.failures = silent;
        self.counter.climbs &= outcome == Outcome::Ok && !slow;
        self.counter.pace = (self.counter.pace * factor).clamp(PACE_LEAST, 1.0);
        if lost != self.counter_lost() {
            self.log(if lost { "counter is back" } else { "counter lost: requests pass" }.to_string());
            (self.counter.pace, self.counter.climbs) = (first_pace(&self.settings), true);
        }
    }

    /// All calls are answered, or the wait for them is over: then the request passes.
    fn verdict(&mut self, id: RequestId) {
        let Some(held) = self.held.get_mut(&id).filter(|h| !h.done) else { return };
        held.calls = 0;
        if held.denied {
            self.give_back(id);
            self.refuse(id);
        } else {
            self.settle(id, true);
            self.place(id);
        }
    }

    /// What of its units was not added, or not used, is told at once. Danger: of many gateways each makes its
    /// next call for the customer windows later, and what passes on such verdicts is never counted.
    fn settle(&mut self, id: RequestId, used: bool) {
        let Some(held) = self.held.get_mut(&id) else { return };
        let units = if used { held.request.units } else { 0.0 };
        let of_units = held.counted.iter_mut().filter(|(open, ..)| !open);
        let spare: Vec<_> =
            of_units.map(|(_, at, own)| (*at, std::mem::replace(own, units) - units)).collect();
        for (window, units) in spare.into_iter().filter(|(_, units)| *units != 0.0) {
            self.add_back(id, false, window, units);
        }
    }

    /// Refused units are added back negatively, and a place among the attempts out is given up.
    fn give_back(&mut self, id: RequestId) {
        self.close_open(id);
        self.settle(id, false);
    }

    fn add_back(&mut self, id: RequestId, open: bool, window: i64, units: f64) {
        let Some(request) = self.held.get(&id).map(|h| h.request.clone()) else { return };
        let (customer, store) = (request.customer, self.store_of(request.plan, units, open));
        let Some((_, store, _)) = store else { return };
        let lost = self.counter_lost();
        let Some(meter) = self.customers.get_mut(&customer).map(|known| known.meter(open)) else { return };
        meter.turn(store, customer, self.now);
        // Danger: given back to a later window than it was counted in, the new one would grant it again.
        if window == meter.window {
            if !open && (lost || units.abs() < LIKELY * request.units) {
                meter.carry -= units;
                return;
            }
            meter.flying += (-units).max(0.0);
            let scarce = meter.current * 2.0 >= store.burst || meter.asked < store.burst;
            meter.current = (meter.current - units).max(0.0);
            // A place is given up at once where they are scarce or no call follows soon, else with the next.
            if open && (lost || (!scarce && units <= 1.0)) {
                meter.carry -= units;
                return;
            }
        } else if open {
            return;
        }
        let back = Call { customer, window, add: -units, open, ..Call::default() };
        self.call(back, store.window);
    }

    fn close_open(&mut self, id: RequestId) {
        let Some(held) = self.held.get_mut(&id).filter(|h| h.opened) else { return };
        held.opened = false;
        let place = held.counted.iter().position(|(open, _, _)| *open).map(|n| held.counted.remove(n));
        self.customers.entry(held.request.customer).and_modify(|c| c.out -= 1);
        if let Some((open, window, units)) = place {
            self.add_back(id, open, window, units);
        }
    }

    // --------------------------------------------------------------------------------------- server view

    fn on_list(&mut self, kind: ListKind, entries: &[ServerEntry]) {
        match kind {
            ListKind::Failed => return self.actions.push(Action::WatchList),
            ListKind::Changes => {}
            ListKind::Full | ListKind::Cached => {
                let listed = |id: &ServerId| entries.iter().any(|e| e.server == *id);
                for (_, server) in self.servers.iter_mut().filter(|(id, _)| !listed(id)) {
                    (server.ready, server.gone) = (false, true);
                }
            }
        }
        for entry in entries {
            // All gateways hear of a start at about the same time: their first requests are spread out.
            let first = BOUND_FIRST / self.sharers;
            let (now, stagger, rank) = (self.now, self.random() * WORK_GUESS, self.random());
            let server = self.servers.entry(entry.server).or_insert_with(|| Server::unknown(first, rank));
            if entry.started > server.started {
                let (out, bound, sent_work, sent_at) = (server.out, server.bound, stagger, now);
                *server = Server { out, bound, sent_work, sent_at, ..Server::unknown(first, server.rank) };
            }
            (server.zone, server.cell, server.kind) = (entry.zone, entry.cell, entry.kind);
            (server.started, server.ready) = (entry.started, entry.state == ServerState::Ready);
            server.gone = entry.state == ServerState::Gone;
            server.weight = if entry.weight > 0.0 { entry.weight } else { 1.0 };
        }
        self.servers.retain(|_, s| !s.gone || s.out > 0);
        let mut ranks: Vec<f64> = self.servers.values().filter(|s| s.ready).map(|s| s.rank).collect();
        ranks.sort_by(f64::total_cmp);
        // Danger: where each of hundreds sends to all, each try needs a connection, each hears too little.
        let used = (ranks.len() as f64 * SHARERS / self.gateways()).ceil().max(USED_LEAST);
        let last = ranks.get(used as usize - 1).copied().unwrap_or(1.0);
        self.servers.values_mut().for_each(|s| s.used = s.rank <= last);
        self.sharers = self.gateways() * (used / ranks.len().max(1) as f64).min(1.0);
    }

    fn warmth(&self, server: &Server) -> f64 {
        let age = (self.now - server.started).max(0);
        if server.started <= 0 || age >= self.settings.cold_for {
            return 1.0;
        }
        let from = self.settings.cold_from.clamp(0.01, 1.0);
        from + (1.0 - from) * (age as f64 / self.settings.cold_for as f64)
    }

    /// Work sent to a cold server not yet covered by its budget, and whether more fits: half a window's.
    /// Danger: overfed by all gateways together it falls over. Each has its share of a core at least.
    fn cold_debt(&self, server: &Server, work: f64) -> (f64, bool) {
        let share = self.settings.fall_multiple * COLD_MARGIN / self.sharers;
        let rate = self.warmth(server) * share * server.weight.max(1.0);
        let debt = (server.sent_work - (self.now - server.sent_at) as f64 * rate).max(0.0);
        (debt, debt <= 0.0 || debt + work <= rate * self.settings.fall_window as f64 / 2.0)
    }

    fn work_of(&self, class: usize) -> f64 {
        self.works.get(class).copied().unwrap_or(WORK_GUESS)
    }

    /// Housekeeping: servers that owe answers are probed, and suspected if that stays unanswered too.
    fn tick(&mut self) {
        let now = self.now;
        self.due(now + TICK, Due::Tick);
        let usual = self.means.iter().copied().fold(0.0, f64::max);
        let patience = ((usual * SILENT_MULTIPLE) as Micros).max(SILENT_MIN);
        let ready = self.servers.values().filter(|s| s.ready).count();
        let mut suspects = self.servers.values().filter(|s| s.suspect.is_some()).count();
        let mut trials = Vec::new();
        for (id, server) in self.servers.iter_mut().filter(|(_, s)| s.ready) {
            match server.suspect {
                // Never more than half the fleet: when all are silent the trouble lies elsewhere.
                None if server.unheard.is_some_and(|t| now - t > patience) && (suspects + 1) * 2 <= ready => {
                    suspects += 1;
                    server.suspect = Some((now + TRIAL_FIRST, TRIAL_FIRST));
                    trials.push(*id);
                }
                Some((at, step)) if at <= now => {
                    server.suspect = Some((now + step, (step * 2).min(TRIAL_LONGEST)));
                    trials.push(*id);
                }
                None | Some(_) => {}
            }
        }
        for id in trials {
            self.try_again(id);
        }
        // Danger: a day brings thousands of customers; to look through them all at each tick costs the most.
        if now - self.swept < SECOND {
            return;
        }
        self.swept = now;
        let plans = &self.settings.plans;
        let refill = |p: &Plan| (p.ceiling_burst / p.ceiling_rate.max(1e-9) * SECOND as f64) as Micros;
        let longest = plans.iter().map(refill).fold(CUSTOMER_KEPT, Micros::max);
        self.customers.retain(|_, c| c.out > 0 || now - c.seen < longest);
    }

    /// A suspected server's trial: a probe, or where there are none, the end of a confirmed suspicion.
    fn try_again(&mut self, id: ServerId) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        match (self.settings.may_probe, server.confirmed) {
            (true, _) => self.actions.push(Action::Probe(id)),
            (false, true) => (server.suspect, server.unheard, server.confirmed) = (None, None, false),
            (false, false) => self.confirm(id),
        }
    }

    /// The probe failed too: one long request alone must not move work. What may be repeated is moved.
    fn confirm(&mut self, id: ServerId) {
        let suspect = self.servers.get_mut(&id).filter(|s| s.suspect.is_some() && !s.confirmed);
        let Some(server) = suspect else { return };
        server.confirmed = true;
        self.log(format!("server {} suspected: silent", id.0));
        for (request, held) in self.held.iter().filter(|(_, h)| !h.done && !h.streaming) {
            let repeat = self.settings.classes.get(held.request.class).map(|c| c.repeat);
            let moves = self.settings.may_cancel && repeat.is_some_and(|r| r != Repeat::Unsafe);
            let there = held.out.iter().filter(|(_, at, _)| moves && *at == id);
            self.actions.extend(there.map(|(n, _, _)| Action::Cancel { request: *request, attempt: *n }));
        }
    }

    fn on_probe(&mut self, id: ServerId, outcome: Outcome, report: Option<LoadReport>) {
        let Some(server) = self.servers.get_mut(&id) else { return };
        server.learn_report(self.now, report);
        if outcome != Outcome::Ok {
            return self.confirm(id);
        }
        server.unheard = (server.out > 0).then_some(self.now);
        server.suspect = None;
        if std::mem::take(&mut server.confirmed) {
            self.log(format!("server {} answers again", id.0));
        }
    }

    // --------------------------------------------------------------------------------------- placement

    /// The server where this request is likely to be done first, if any may take it.
    fn choose(&mut self, id: RequestId) -> Option<ServerId> {
        let share = self.worth_share(id);
        let used = self.servers.values().filter(|s| s.used && s.ready && s.suspect.is_none());
        let bounds: f64 = used.map(|s| s.bound).sum();
        if self.out() >= (bounds * share).max(1.0) {
            return None;
        }
        let chances: Vec<f64> = (0..self.servers.len()).map(|_| -(1.0 - self.random()).ln()).collect();
        let held = self.held.get(&id)?;
        let work = self.work_of(held.request.class);
        // Danger: without chance all gateways would take the same servers and leave out the cold.
        let ready = self.servers.values().filter(|s| s.ready).count();
        let few = DRAWN.max((ready as f64 / self.gateways()).ceil() as usize);
        let mut drawn: Vec<(f64, f64, ServerId)> = Vec::with_capacity(few + 1);
        for ((server_id, server), chance) in self.servers.iter().zip(chances) {
            let allowed = server.ready && server.suspect.is_none() && self.may_go(held, server);
            let rest = server.rests.get(&held.request.plan);
            let most = if rest.is_some() { 1.0 } else { (server.bound * share).max(1.0) };
            let warmth = self.warmth(server);
            if !allowed
                || f64::from(server.out) >= most
                || rest.is_some_and(|r| r.until > self.now)
                || (warmth < 1.0 && !self.cold_debt(server, work).1)
            {
                continue;
            }
            let again = if held.last == Some(*server_id) { AGAIN } else { 1.0 };
            let taken = self.taken_chance(server, held.request.plan) / again;
            let slowness = server.ratio(self.now) / (server.weight * warmth * taken);
            let turn = chance * slowness * server.ratio(self.now) / taken;
            let place = drawn.partition_point(|(t, _, _)| *t < turn);
            if place < few {
                drawn.insert(place, (turn, slowness * server.load(self.now), *server_id));
                drawn.truncate(few);
            }
        }
        drawn.iter().min_by(|a, b| a.1.total_cmp(&b.1)).map(|(_, _, server)| *server)
    }

    /// The chance that this server takes a request of the plan: by its own ends, shrunk to those of its kind
    /// for the plan, and these to those of its kind.
    fn taken_chance(&self, server: &Server, plan: usize) -> f64 {
        let all = self.kinds.get(&(server.kind, usize::MAX));
        let kind = self.kinds.get(&(server.kind, plan));
        let own = server.taken.get(&plan);
        [all, kind, own].into_iter().flatten().fold(1.0, |expected, t| t.chance(self.now, expected))
    }

    /// Rule 2: a keyed request that may have run goes only to servers that would drop its repeat. Danger: a
    /// small group may hold no other server that is used here.
    fn may_go(&self, held: &Held, server: &Server) -> bool {
        let repeat = self.settings.classes.get(held.request.class).map(|c| c.repeat);
        match (repeat, held.ran) {
            (Some(Repeat::Keyed { group: Group::Zone, .. }), Some(ran)) => server.zone == ran.zone,
            (Some(Repeat::Keyed { group: Group::Cell, .. }), Some(ran)) => server.cell == ran.cell,
            (Some(Repeat::Keyed { .. } | Repeat::Safe | Repeat::Unsafe) | None, _) => server.used,
        }
    }

    fn worth_share(&self, id: RequestId) -> f64 {
        let worth = self.held.get(&id).map_or(0.0, |h| self.worth_for_work(&h.request));
        if self.usual_worth <= 0.0 { 1.0 } else { (worth / self.usual_worth).clamp(CHEAP_SHARE, 1.0) }
    }

    fn worth_for_work(&self, request: &Request) -> f64 {
        let worth = self.settings.classes.get(request.class).map_or(0.0, |c| c.worth);
        let price = self.settings.plans.get(request.plan).map_or(1.0, |p| p.price);
        worth * price / self.work_of(request.class)
    }

    fn place(&mut self, id: RequestId) {
        let Some(server_id) = self.choose(id) else { return self.give_up(id) };
        let now = self.now;
        let Some(held) = self.held.get_mut(&id) else { return };
        held.out.push((held.attempts, server_id, now));
        held.attempts += 1;
        let class = held.request.class;
        let work = self.work_of(class);
        let debt = self.servers.get(&server_id).map_or(0.0, |s| self.cold_debt(s, work).0);
        if let Some(server) = self.servers.get_mut(&server_id) {
            (server.sent_work, server.sent_at) = (debt + work, now);
            server.out += 1;
            server.unheard.get_or_insert(now);
        }
        self.actions.push(Action::Send { request: id, server: server_id, timeout: 0 });
    }

    // --------------------------------------------------------------------------- request lifecycle

    fn on_request(&mut self, request: &Request) {
        let (id, deadline) = (request.id, request.deadline);
        if self.held.contains_key(&id) {
            return;
        }
        self.retries = (self.retries + RETRY_EARN).min(RETRY_MOST);
        self.held.insert(id, Held { request: request.clone(), ..Held::default() });
        if self.settings.classes.get(request.class).is_none() || deadline <= self.now {
            return self.refuse(id);
        }
        self.usual_worth += (self.worth_for_work(request) - self.usual_worth) * WORTH_GAIN;
        self.due(deadline, Due::Deadline(id));
        self.ask(id);
    }

    fn on_attempt_end(&mut self, end: &AttemptEnd) {
        self.server_outcome(end);
        let id = end.request;
        let Some(held) = self.held.get_mut(&id) else { return };
        let Some(index) = held.out.iter().position(|(n, _, _)| *n == end.attempt) else { return };
        let (_, server, sent) = held.out.remove(index);
        held.last = Some(server);
        let may_have_run = match end.outcome {
            Outcome::Ok | Outcome::Error | Outcome::TimedOut | Outcome::Reset | Outcome::Cancelled => true,
            Outcome::Full | Outcome::ConnectFailed | Outcome::Moot => false,
        };
        if may_have_run && held.ran.is_none() {
            let (zone, cell) = self.servers.get(&server).map_or((u32::MAX, u32::MAX), |s| (s.zone, s.cell));
            held.ran = Some(Ran { zone, cell, sent });
        }
        // The difference between guessed and true units goes along with the customer's next call.
        if let Some(actual) = end.actual_units.filter(|_| self.settings.settles && !held.counted.is_empty())
            && let Some(known) = self.customers.get_mut(&held.request.customer)
        {
            known.units.carry += actual - held.request.units;
        }
        let none_out = held.out.is_empty();
        if end.finished || end.outcome == Outcome::Ok || held.done {
            if none_out {
                self.close_open(id);
            }
            self.close(id);
        } else if none_out && end.outcome != Outcome::Moot && self.may_repeat(id) && self.retries >= 1.0 {
            self.retries -= if may_have_run { 1.0 } else { UNRUN_COST };
            self.place(id);
        } else if none_out {
            self.give_up(id);
        }
    }

    fn server_outcome(&mut self, end: &AttemptEnd) {
        let (now, least) = (self.now, 1.0 / self.sharers);
        let (class, plan) = self.held.get(&end.request).map(|h| (h.request.class, h.request.plan)).unzip();
        let aim = class.and_then(|c| self.settings.classes.get(c)).map_or(SECOND, |c| c.aim);
        let Some(server) = self.servers.get_mut(&end.server) else { return };
        server.out = server.out.saturating_sub(1);
        server.learn_bound(end.outcome, end.took as f64 > aim as f64 * LATE_SHARE, least);
        server.learn_rest(now, plan.unwrap_or(usize::MAX), end.outcome);
        if let Some(plan) = plan.filter(|p| *p < self.settings.plans.len() && end.outcome != Outcome::Moot) {
            // Danger: a server that fails at once has little out, looks idle and draws ever more work.
            let good = end.outcome == Outcome::Ok;
            server.taken.entry(plan).or_default().learn(now, good);
            for plans in [plan, usize::MAX] {
                self.kinds.entry((server.kind, plans)).or_default().learn(now, good);
            }
        }
        server.learn_report(now, end.report);
        let heard = matches!(end.outcome, Outcome::Ok | Outcome::Error | Outcome::Full | Outcome::Reset);
        server.unheard = if heard { Some(now) } else { server.unheard }.filter(|_| server.out > 0);
        if let (Outcome::Ok, Some(mean)) = (end.outcome, class.and_then(|c| self.means.get_mut(c))) {
            let took = end.took.max(1) as f64;
            if let Some(work) = class.and_then(|c| self.works.get_mut(c)) {
                *work += (took - *work) * if took < *work { WORK_DOWN } else { WORK_UP };
            }
            *mean = if *mean > 0.0 { *mean + (took - *mean) * MEAN_GAIN } else { took };
            server.learn_ratio(now, took / *mean);
        }
    }

    fn out(&self) -> f64 {
        f64::from(self.servers.values().map(|s| s.out).sum::<u32>())
    }

    /// Rule 2: a further attempt only where it cannot have its effect twice.
    fn may_repeat(&self, id: RequestId) -> bool {
        let Some(held) = self.held.get(&id) else { return false };
        let Some(class) = self.settings.classes.get(held.request.class) else { return false };
        let harmless = match (class.repeat, held.ran) {
            (Repeat::Safe, _) | (_, None) => true,
            (Repeat::Keyed { window, .. }, Some(ran)) => self.now - ran.sent + self.settings.period < window,
            (Repeat::Unsafe, Some(_)) => false,
        };
        harmless && held.attempts < self.settings.max_attempts.max(1) && self.now < held.request.deadline
    }

    /// The client left: nothing is owed, but what the request took and never used is given back.
    fn on_left(&mut self, id: RequestId) {
        if self.held.get(&id).is_some_and(|h| h.attempts == 0) {
            self.give_back(id);
        }
        self.close(id);
    }

    /// Rule 1: no server, no further attempt or no time left; refused where that is true, else failed.
    fn give_up(&mut self, id: RequestId) {
        let Some(held) = self.held.get(&id).filter(|h| !h.done && !h.streaming) else { return };
        match (held.attempts, held.out.is_empty()) {
            (0, _) => self.give_back(id),
            (_, true) => self.close_open(id),
            (_, false) => {}
        }
        self.refuse(id);
    }

    fn refuse(&mut self, id: RequestId) {
        let chance = self.random();
        let Some(held) = self.held.get(&id) else { return };
        let may_run = held.ran.is_some() || !held.out.is_empty();
        let harmless = match self.settings.classes.get(held.request.class).map(|c| c.repeat) {
            None | Some(Repeat::Safe | Repeat::Keyed { group: Group::All, .. }) => true,
            Some(Repeat::Keyed { .. } | Repeat::Unsafe) => !may_run,
        };
        let most = if self.settings.retry_after { self.settings.max_retry_after } else { 0 };
        let plan = self.settings.plans.get(held.request.plan).filter(|p| held.denied && p.rate > 0.0);
        let refill = |p: &Plan| held.request.units / p.rate * SECOND as f64;
        // Danger: told the same time, all that were refused come back together. A place comes free in about
        // the time of an answer; later than the aim allows, a return is of no use.
        let time = plan.map_or(self.work_of(held.request.class), refill) * (0.5 + chance);
        let stay_away = (time as Micros).min(most);
        let shed = Action::Shed { request: id, stay_away, over_quota: held.denied };
        self.actions.push(if harmless { shed } else { Action::Fail(id) });
        self.close(id);
    }

    /// The request is over; it is remembered only while attempts are out.
    fn close(&mut self, id: RequestId) {
        let Some(held) = self.held.get_mut(&id) else { return };
        held.done = true;
        if held.out.is_empty() && !held.opened {
            self.held.remove(&id);
        }
    }
}
