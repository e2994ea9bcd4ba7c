//! Orders and the fencing tokens that they carry.

use trefoildyke_wire::endpoint::message;

use crate::engine;

/// Remembers the orders carried out and the newest fencing token.
#[derive(Clone, Debug)]
pub(super) struct Orders {
    checks: bool,
    /// Never falls.
    newest: u64,
    done: Vec<engine::CarriedOrder>,
}

impl Orders {
    pub(super) fn new(checks: bool) -> Self {
        Self { checks, newest: 0, done: Vec::new() }
    }

    /// Lets an order begin, unless its fencing token is old and this engine checks.
    pub(super) fn admit(&mut self, fence: u64) -> Result<(), message::StaleFence> {
        if self.checks && fence < self.newest {
            return Err(message::StaleFence { current_fence: self.newest });
        }
        self.newest = self.newest.max(fence);
        Ok(())
    }

    /// Notes the end of an order, unless a newer fencing token has come meanwhile.
    pub(super) fn finish(&mut self, order: &message::Order) -> Result<(), message::StaleFence> {
        self.admit(order.fence)?;
        self.done.push(engine::CarriedOrder { order: order.order.clone(), fence: order.fence });
        Ok(())
    }

    pub(super) fn done(&self) -> &[engine::CarriedOrder] {
        &self.done
    }
}
