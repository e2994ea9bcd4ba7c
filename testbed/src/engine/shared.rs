//! What the stand-in's calls and its clock share.

use std::{sync, time};

use tokio::sync::watch;
use trefoildyke_types::{engine as report, time::Timestamp};

use crate::{engine, model};

/// Holds the core, the clock and the switches.
#[derive(Debug)]
pub(super) struct Shared {
    origin: time::Instant,
    /// The origin on the wall clock, in milliseconds since the Unix epoch.
    origin_ms: u64,
    core: sync::Mutex<engine::core::Core>,
    /// Wakes the clock when the core has something new to do.
    pub(super) changed: tokio::sync::Notify,
    /// The mode, and how often it was set.
    mode: watch::Sender<(u64, engine::Mode)>,
    pub(super) order_time: time::Duration,
}

impl Shared {
    pub(super) fn new(settings: &engine::Settings) -> Self {
        let wall = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
        Self {
            origin: time::Instant::now(),
            origin_ms: u64::try_from(wall.as_millis()).unwrap_or(u64::MAX),
            core: sync::Mutex::new(engine::core::Core::new(settings)),
            changed: tokio::sync::Notify::new(),
            mode: watch::Sender::new((0, engine::Mode::new(engine::ModeKind::Ok))),
            order_time: settings.order_time,
        }
    }

    pub(super) fn now(&self) -> Timestamp {
        let micros = self.origin.elapsed().as_micros();
        Timestamp::from_micros(u64::try_from(micros).unwrap_or(u64::MAX))
    }

    /// Returns the load as it was a lag ago, on the wall clock.
    pub(super) fn load(&self) -> report::LoadReport {
        let mut load = self.with(|core, now| core.model.load(now));
        load.as_of_ms += self.origin_ms;
        load
    }

    /// Calls `use_core` with the core moved to the present, and wakes the clock.
    pub(super) fn with<T>(
        &self,
        use_core: impl FnOnce(&mut engine::core::Core, Timestamp) -> T,
    ) -> T {
        let mut core = self.core.lock().unwrap_or_else(sync::PoisonError::into_inner);
        let now = self.now();
        core.advance(now);
        let result = use_core(&mut core, now);
        drop(core);
        self.changed.notify_one();
        result
    }

    pub(super) fn modes(&self) -> watch::Receiver<(u64, engine::Mode)> {
        self.mode.subscribe()
    }

    pub(super) fn set_mode(&self, mode: engine::Mode) {
        let steps = match mode.mode {
            engine::ModeKind::Freeze => model::Mode::Freeze,
            engine::ModeKind::Straggle => model::Mode::Straggle(mode.factor),
            engine::ModeKind::Ok | engine::ModeKind::Silent | engine::ModeKind::Cross => {
                model::Mode::Ok
            }
        };
        self.with(|core, now| core.model.set_mode(now, steps));
        self.mode.send_modify(|(count, current)| {
            *count += 1;
            *current = mode;
        });
    }

    /// Moves the core through time until the surrounding task ends.
    pub(super) async fn run_clock(&self) {
        loop {
            let next = self.advance();
            let pause = match next {
                Some(time) => time.since(self.now()),
                None => time::Duration::MAX,
            };
            tokio::select! {
                () = self.changed.notified() => {}
                () = tokio::time::sleep(pause) => {}
            }
        }
    }

    fn advance(&self) -> Option<Timestamp> {
        let mut core = self.core.lock().unwrap_or_else(sync::PoisonError::into_inner);
        core.advance(self.now());
        core.model.next_time()
    }
}
