//! Reading an instance's settings.

use millreach::{Class, Group, Micros, Plan, Repeat, Settings};
use serde_json::Value;

use crate::wire::Fault;

fn number(value: &Value, name: &str) -> f64 {
    value[name].as_f64().unwrap_or(0.0)
}

fn micros(value: &Value, name: &str) -> Micros {
    number(value, name) as Micros
}

fn count(value: &Value, name: &str) -> u32 {
    number(value, name) as u32
}

/// A flag: true or false, or a number other than 0.
fn flag(value: &Value, name: &str) -> bool {
    value[name].as_bool().unwrap_or(number(value, name) != 0.0)
}

fn list<'a>(value: &'a Value, name: &str) -> &'a [Value] {
    value[name].as_array().map_or(&[], Vec::as_slice)
}

fn class(value: &Value) -> Result<Class, Fault> {
    let group = match value["Group"].as_str() {
        Some("zone") => Group::Zone,
        Some("cell") => Group::Cell,
        Some("all") | None => Group::All,
        Some(other) => return Err(Fault::new(&format!("unknown group '{other}'"))),
    };
    let repeat = match value["Semantics"].as_str() {
        Some("retryable") => Repeat::Safe,
        Some("dedup") => Repeat::Keyed { group, window: micros(value, "RepeatWindowUs") },
        Some("fragile") => Repeat::Unsafe,
        other => return Err(Fault::new(&format!("unknown semantics {other:?}"))),
    };
    Ok(Class {
        aim: micros(value, "ObjectiveUs"),
        deadline: micros(value, "GiveUpUs"),
        late_worth: number(value, "LateValue"),
        worth: number(value, "Value"),
        repeat,
        stream: flag(value, "Stream"),
    })
}

fn plan(value: &Value) -> Plan {
    Plan {
        rate: number(value, "UnitsPerS"),
        burst: number(value, "StoreSize"),
        most_open: count(value, "Open"),
        price: number(value, "WorthFactor"),
        over_cost: number(value, "OverCost"),
        over_worth: number(value, "BeyondEarns"),
        ceiling_rate: number(value, "CeilingRate"),
        ceiling_burst: number(value, "CapDepth"),
        ceiling_slack: number(value, "HardSlack"),
    }
}

/// Reads the settings; keys that are not known are ignored.
pub fn parse(text: &str) -> Result<Settings, Fault> {
    let value: Value =
        serde_json::from_str(text).map_err(|e| Fault::new(&format!("settings are not JSON: {e}")))?;
    let (allow, rules, facts) = (&value["Permissions"], &value["Rules"], &value["Specifics"]);
    Ok(Settings {
        gateways: count(&value, "Instances"),
        own_number: count(&value, "SlotNo"),
        zone: count(&value, "Zone"),
        classes: list(&value, "Lanes").iter().map(class).collect::<Result<_, _>>()?,
        plans: list(&value, "Tariffs").iter().map(plan).collect(),
        period: micros(&value, "PeriodUs"),
        ask_for_list: value["Discovery"].as_str() == Some("ask"),
        counter: flag(facts, "Counter"),
        counter_timeout: micros(facts, "CounterTimeoutUs"),
        settles: flag(facts, "Settles"),
        may_cancel: flag(allow, "Cancelling"),
        may_probe: flag(allow, "Probes"),
        second_copies: flag(allow, "SecondCopies"),
        max_attempts: count(allow, "MaxAttempts"),
        retry_after: flag(allow, "RetryAfter"),
        may_tell: flag(allow, "PeerMessages"),
        max_retry_after: micros(allow, "MaxRetryAfterUs"),
        cold_from: number(rules, "ColdFrom"),
        cold_for: micros(rules, "ColdUs"),
        fall_multiple: number(rules, "FallMultiple"),
        fall_window: micros(rules, "FallUs"),
    })
}
