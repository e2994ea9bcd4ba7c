//! Which daemons there are, and which of them takes a soft role.

mod member;
mod state;
mod view;

pub use member::Member;
pub use state::State;
pub use view::View;
