//! A small specification of the core protocol, explored exhaustively.
