//! Stand-ins for the outside systems, a load tool and experiments.

pub mod model;
