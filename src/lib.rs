//! A request scheduler for heterogeneous model engines on hosts that can disappear at any time.

pub use trefoildyke_daemon as daemon;
pub use trefoildyke_decide as decide;
pub use trefoildyke_kernel as kernel;
pub use trefoildyke_types as types;
pub use trefoildyke_wire as wire;
