//! Timelines as text.

use control::core::ids::SingletonRole;
use control::operator_api::Command;

use super::{Cluster, Node};

impl Cluster {
    /// A line of a timeline: one column a machine. `.` is down, `r` rebuilds, `x` is set aside, `-` is out of touch, `o`
    /// takes part; `P` and `C` are the duties; then the versions of the items by name.
    pub fn line(&self, names: &[&str]) -> String {
        let one = |node: &Node| {
            let Some(core) = &node.core else {
                return ".".to_string();
            };
            let now = node.clock.at(self.now);
            let mut text = match core {
                core if core.is_superseded() => "x",
                core if !core.is_participant() => "r",
                core if !core.has_quorum_contact(now) => "-",
                _ => "o",
            }
            .to_string();
            text.extend(
                core.acting_term(now, SingletonRole::PlatformPoller)
                    .map(|_| 'P'),
            );
            text.extend(core.acting_term(now, SingletonRole::Counter).map(|_| 'C'));
            for name in names {
                let found = core.chosen_items().find(|item| item.name.name == *name);
                text.push_str(&found.map_or("_".to_string(), |item| item.ver.to_string()));
            }
            text
        };
        let columns: Vec<String> = self
            .nodes
            .iter()
            .map(|node| format!("{:<6}", one(node)))
            .collect();
        let time = format!("{:>6}", format!("{:.1}s", self.now as f64 / 1e6));
        format!("{time}  {}", columns.join(""))
            .trim_end()
            .to_string()
    }
}

/// A change of one service, whose content is told by a number.
pub fn service(name: &str, ver: u64, content: u64) -> Command {
    let text = format!(
        r#"{{"upsert":{{"objs":[{{"type":"svcs","meta":{{"name":"{name}","ver":{ver}}},"spec":{{"hcheck":"/{content}"}}}}]}}}}"#
    );
    Command::ApplyPatch(text.into_bytes())
}

/// The whole text of a timeline.
pub fn timeline(lines: &[String]) -> String {
    let head = "        a    b    c    d    e    f";
    std::iter::once(head)
        .chain(lines.iter().map(String::as_str))
        .collect::<Vec<_>>()
        .join("\n")
}

/// Compares a timeline with what is drawn; how wide the columns are does not matter.
///
/// # Panics
/// They differ.
#[track_caller]
pub fn assert_timeline(lines: &[String], drawn: &str) {
    let text = timeline(lines);
    let words = |text: &str| -> Vec<String> {
        let lines = text
            .lines()
            .map(|line| line.split_whitespace().collect::<Vec<_>>().join(" "));
        lines.filter(|line| !line.is_empty()).collect()
    };
    assert_eq!(words(&text), words(drawn), "\n{text}\n");
}
