//! Deliberate harm done by the world around the programs; docs/core.md says which rule sees each.

/// Deliberate harm done by the world around the programs, to show that the drill sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bug {
    /// A disk says that rows are there before they are.
    Sync,
    /// A seat with an empty disk counts at once.
    Empty,
    /// A start is not counted, so that ballots come twice.
    Run,
    /// Steady clocks step back now and then.
    Clock,
    /// A rebuilt seat hears nothing of earlier promises.
    Floor,
    /// Seats do not hear of newer lives.
    Lives,
    /// Dropped items are not on disk after a start.
    Tombstone,
    /// Promises are not on disk after a start.
    Promise,
    /// Granted terms are not on disk after a start.
    Term,
    /// An edge forgets what it showed.
    Forget,
    /// Acceptances arrive that were never sent.
    Accepted,
    /// The holder of the count counts nothing.
    Count,
}

impl Bug {
    /// All of them, by name.
    pub const ALL: [(&'static str, Bug); 12] = [
        ("sync", Bug::Sync),
        ("empty", Bug::Empty),
        ("run", Bug::Run),
        ("clock", Bug::Clock),
        ("floor", Bug::Floor),
        ("lives", Bug::Lives),
        ("tombstone", Bug::Tombstone),
        ("promise", Bug::Promise),
        ("term", Bug::Term),
        ("forget", Bug::Forget),
        ("accepted", Bug::Accepted),
        ("count", Bug::Count),
    ];
}
