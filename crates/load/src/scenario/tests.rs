use super::*;

fn fault(text: &str) -> String {
    Scenario::read(text).map(|_| ()).unwrap_err().to_string()
}

#[test]
fn a_minimal_scenario_is_whole_and_faults_name_their_keys() {
    let minimal = r#"{"seconds": 10, "arrivals": [{"shape": "constant", "rate": 500}]}"#;
    assert_eq!(Scenario::read(minimal).unwrap().classes.len(), 2);
    assert_eq!(
        fault("{}"),
        "key 'arrivals': is missing or empty: there is nothing to send"
    );
    let arrivals = |a: &str| fault(&format!("{{\"arrivals\":[{a}]}}"));
    assert_eq!(
        arrivals(r#"{"shape":"constant","rat":5}"#),
        "key 'arrivals[0].rat': unknown key; did you mean 'rate'?"
    );
    assert!(arrivals(r#"{"shape":"constant"}"#).starts_with("key 'arrivals[0].rate': is missing"));
    assert!(
        arrivals(r#"{"shape":"constant","rate":-1}"#).starts_with("key 'arrivals[0].rate': is -1")
    );
    assert!(arrivals(r#"{"shape":"constant","rate":1e7}"#).contains("50000000 at most"));
    let with = |more: &str| {
        fault(&format!(
            "{{\"arrivals\":[{{\"shape\":\"constant\",\"rate\":5}}],{more}}}"
        ))
    };
    assert!(with(r#""limiters":{"count":0}"#).starts_with("key 'limiters.count'"));
    assert!(
        with(r#""world":{"faults":[{"kind":"freeze","on":"node:10"}]}"#)
            .contains("'world.faults[0].on'")
    );
    assert!(
        with(r#""workshops":{"plans":[{"name":"a b"}]}"#).contains("'workshops.plans[0].name'")
    );
    assert!(with(r#""seconds":"ten""#).starts_with("key 'seconds': invalid type"));
}
