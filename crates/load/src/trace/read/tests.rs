use super::*;

fn fault<T>(read: Result<T, TraceError>) -> String {
    read.map(|_| ()).unwrap_err().to_string()
}

#[test]
fn both_forms_read_alike() {
    let lines = "at,account,plan,class,units,id\n0.5,00ff,empresa,sign-off,2,a\n1.25,,,,,\n";
    let json = "{\"at\":0.5,\"account\":\"00ff\",\"plan\":\"empresa\",\"class\":\"sign-off\",\"units\":2,\"id\":\"a\"}\n\n\
                    {\"at_us\":1250000}\n";
    let rows = csv(lines.as_bytes()).unwrap();
    assert_eq!(rows, json_lines(json.as_bytes()).unwrap());
    assert_eq!(
        (rows[0].at, rows[0].account, rows[1].units),
        (500_000, 255, 1)
    );
}

#[test]
fn what_cannot_be_read_is_named_with_line_and_column() {
    let csv = |text: &str| fault(csv(text.as_bytes()));
    assert_eq!(
        csv("at,units\n1,1\n2,none\n"),
        "line 3, column 2: 'units' is 'none', not 1 to 255"
    );
    assert_eq!(
        csv("at,units\n1,1\n2"),
        "line 3, column 1: 1 fields where the head has 2"
    );
    assert!(csv("at,unit\n").starts_with("line 1, column 2: unknown column 'unit'"));
    assert!(csv("units\n1\n").contains("'at' and 'at_us'"));
    assert!(csv("at\n-1\n").starts_with("line 2, column 1"));
    assert!(csv("at,account\n1,zz\n").contains("a customer"));
    let json = |text: &str| fault(json_lines(text.as_bytes()));
    assert!(json("{\"at\":1}\n{\"at\":1,\"uni").starts_with("line 2, column 12"));
    assert_eq!(
        json("{\"at\":1,\"units\":0}\n"),
        "line 1, column 9: 'units' is '0', not 1 to 255"
    );
    assert!(json("{\"units\":1}\n").contains("'at' and 'at_us'"));
    assert!(json("[1]\n").starts_with("line 1, column"));
}
