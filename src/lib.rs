//! A request scheduler for unlike model engines on hosts that may vanish at any moment.

pub use trefoildyke_daemon as daemon;
pub use trefoildyke_decide as decide;
pub use trefoildyke_kernel as kernel;
pub use trefoildyke_types as types;
pub use trefoildyke_wire as wire;
