//! What a policy wants done.

use trefoildyke_types::time;

/// Asks for one action. Requests and endpoints are named by position.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Action {
    /// Send the request to the endpoint.
    Place {
        /// The request.
        number: usize,
        /// The endpoint.
        endpoint: usize,
    },
    /// Refuse the request.
    Shed {
        /// The request.
        number: usize,
    },
    /// Ask the endpoint for a load report outside the usual period.
    Probe {
        /// The endpoint.
        endpoint: usize,
    },
    /// Tell the host at this time; replaces its earlier wake-up.
    WakeAt {
        /// The host.
        host: u16,
        /// When.
        at: time::Timestamp,
    },
}
