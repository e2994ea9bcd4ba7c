//! The transition relation: the steps that are possible in a state.

use std::collections;

use trefoildyke_decide::orders;

use crate::orders::{
    Bounds, Call, Daemon, Lease, Sending, Step, World, bounds::SETTLE_TIME, daemon,
    daemon::timestamp,
};

/// Collects the steps that are possible in one state, each with its successor state.
struct Steps<'a> {
    bounds: &'a Bounds,
    world: &'a World,
    successors: Vec<(Step, World)>,
}

/// Returns every step that is possible in a state, with its successor state.
pub fn next(bounds: &Bounds, world: &World) -> Vec<(Step, World)> {
    let mut steps = Steps { bounds, world, successors: vec![] };
    for (number, daemon) in world.daemons.iter().enumerate() {
        steps.daemon(number, daemon);
    }
    steps.orders();
    steps.clock();
    steps.successors
}

impl Steps<'_> {
    fn add(&mut self, step: Step, change: impl FnOnce(&mut World)) {
        let mut world = self.world.clone();
        change(&mut world);
        self.successors.push((step, world));
    }

    /// Advances the clock, unless an order in flight has reached the end of its settle time: such an order
    /// must first take effect or be lost.
    fn clock(&mut self) {
        let now = self.world.now;
        let waits = self.world.orders.iter().any(|(written, _)| written + SETTLE_TIME <= now);
        if now < self.bounds.end && !waits {
            self.add(Step::Clock(now + 1), |world| world.now += 1);
        }
    }

    fn daemon(&mut self, number: usize, daemon: &Daemon) {
        let now = self.world.now;
        self.add(Step::Tick(number), |world| {
            world.daemons[number].step(now, orders::Input::Tick);
        });
        match &daemon.call {
            Some(Call::Answer(input)) => self.add(Step::Answer(number), |world| {
                world.daemons[number].call = None;
                world.daemons[number].step(now, input.clone());
            }),
            Some(call) => self.call(number, call),
            None => {}
        }
        if let Some(sending) = &daemon.sending {
            self.send(number, sending);
        }
    }

    fn call(&mut self, number: usize, call: &Call) {
        let ttl = self.bounds.ttl;
        let failed = match call {
            Call::Renew(_) => orders::Input::NotRenewed,
            _ => orders::Input::NotAcquired,
        };
        self.add(Step::Fail(number), |world| {
            world.daemons[number].call = Some(Call::Answer(failed));
        });
        self.add(Step::Serve(number), |world| {
            let answer = match call {
                Call::Renew(call_start) => renew(world, number, ttl, *call_start),
                Call::Acquire(call_start) => acquire(world, number, ttl, *call_start),
                Call::Answer(input) => input.clone(),
            };
            world.daemons[number].call = Some(Call::Answer(answer));
        });
    }

    fn send(&mut self, number: usize, sending: &Sending) {
        let now = self.world.now;
        let key = sending.key.clone();
        let Some(checked_at) = sending.checked_at else {
            if self.bounds.rechecks_clock && timestamp(now) >= sending.send_deadline {
                self.add(Step::Refrain(number), |world| {
                    end_sending(world, number, key, orders::SendResult::NotSent);
                });
            } else {
                self.add(Step::Look(number), |world| {
                    if let Some(sending) = &mut world.daemons[number].sending {
                        sending.checked_at = Some(now);
                    }
                });
            }
            return;
        };
        if now - checked_at <= self.bounds.pause {
            let fence = sending.fence;
            self.add(Step::Write(number), |world| {
                world.orders.push((now, fence));
                end_sending(world, number, key, orders::SendResult::Unknown);
            });
        }
    }

    fn orders(&mut self) {
        for (number, (_, fence)) in self.world.orders.iter().enumerate() {
            let checks = self.bounds.checks_fencing;
            self.add(Step::Reach(*fence), |world| {
                world.orders.remove(number);
                take_effect(world, checks, *fence);
            });
            self.add(Step::Lose(*fence), |world| {
                world.orders.remove(number);
            });
        }
    }
}

fn acquire(world: &mut World, daemon: usize, ttl: u64, call_start: u64) -> orders::Input {
    if world.lease.is_some_and(|lease| world.now < lease.end) {
        return orders::Input::NotAcquired;
    }
    world.token += 1;
    let token = world.token;
    world.lease = Some(Lease { daemon, token, end: world.now + ttl });
    let ended = collections::BTreeSet::new();
    let version = daemon::VERSION;
    orders::Input::Acquired { token, call_start: timestamp(call_start), version, ended }
}

fn renew(world: &mut World, daemon: usize, ttl: u64, call_start: u64) -> orders::Input {
    let now = world.now;
    match &mut world.lease {
        Some(lease) if lease.daemon == daemon && now < lease.end => {
            lease.end = now + ttl;
            orders::Input::Renewed { call_start: timestamp(call_start) }
        }
        _ => orders::Input::LeaseGone,
    }
}

fn end_sending(
    world: &mut World,
    daemon: usize,
    key: orders::OrderKey,
    result: orders::SendResult,
) {
    let now = world.now;
    world.daemons[daemon].sending = None;
    world.daemons[daemon].step(now, orders::Input::Sent { key, result });
}

/// Applies an order, unless the engine checks fencing tokens and has seen a newer one.
fn take_effect(world: &mut World, checks: bool, fence: u64) {
    let newest = world.effects.last().copied().unwrap_or(0);
    if checks && fence < newest {
        return;
    }
    world.effects.push(fence);
    if world.effects.len() > 2 {
        world.effects.remove(0);
    }
}
