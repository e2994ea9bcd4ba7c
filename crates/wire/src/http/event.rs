//! Items of a server-sent event stream.

/// One item of a server-sent event stream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Event {
    /// A message.
    Message {
        /// The event's name; empty if it has none.
        name: String,
        /// The data lines, joined by line feeds.
        data: String,
    },
    /// An item without data lines, such as a comment; it shows that the other side is alive.
    Comment,
}
