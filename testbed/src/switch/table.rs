//! The modes in force, by source address.

use std::{collections, net, sync};

use crate::switch;

/// Holds the modes in force. Clones share them.
#[derive(Clone, Debug, Default)]
pub struct Switch {
    modes: sync::Arc<sync::Mutex<collections::BTreeMap<Option<net::IpAddr>, switch::Mode>>>,
}

impl Switch {
    /// Sets a mode; `ok` for all sources ends every other mode.
    pub fn set(&self, mode: switch::Mode) {
        let mut modes = self.modes.lock().unwrap_or_else(sync::PoisonError::into_inner);
        if mode.only_source.is_none() && mode.mode == switch::ModeKind::Ok {
            modes.clear();
        }
        modes.insert(mode.only_source, mode);
    }

    /// Returns the mode that a call meets.
    ///
    /// `writes` says whether the call changes something: only such calls lose their answers.
    pub fn meet(&self, source: net::IpAddr, writes: bool) -> switch::Mode {
        let mut modes = self.modes.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let slot = if modes.contains_key(&Some(source)) { Some(source) } else { None };
        let Some(mode) = modes.get_mut(&slot) else {
            return switch::Mode::default();
        };
        if mode.mode == switch::ModeKind::LoseAnswers && !writes {
            return switch::Mode::default();
        }
        let met = mode.clone();
        if let Some(calls) = &mut mode.calls {
            *calls = calls.saturating_sub(1);
            if *calls == 0 {
                modes.remove(&slot);
            }
        }
        met
    }

    /// Returns the mode in force for a source, without counting a call.
    pub fn current(&self, source: net::IpAddr) -> switch::ModeKind {
        let modes = self.modes.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let mode = modes.get(&Some(source)).or_else(|| modes.get(&None));
        mode.map_or(switch::ModeKind::Ok, |mode| mode.mode)
    }
}
