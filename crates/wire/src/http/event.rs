//! One item of a server-sent event stream.

/// Holds one item of a server-sent event stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A message.
    Message {
        /// The event's name; empty if it has none.
        name: String,
        /// The data lines, joined by line feeds.
        data: String,
    },
    /// A comment line, which shows that the other side still lives.
    Comment,
}
