//! The transition relation: the steps that are possible in a state.

use trefoildyke_decide::intents;

use crate::commits::{Bounds, Late, Owner, Phase, Step, World, owner::CREATED_MS, world::AGES_MS};

/// Collects the steps that are possible in one state, each with its successor state.
struct Steps<'a> {
    bounds: &'a Bounds,
    world: &'a World,
    successors: Vec<(Step, World)>,
}

/// Returns every step that is possible in a state, with its successor state.
pub fn next(bounds: &Bounds, world: &World) -> Vec<(Step, World)> {
    let mut steps = Steps { bounds, world, successors: vec![] };
    for (number, owner) in world.owners.iter().enumerate() {
        steps.owner(number, owner);
    }
    steps.environment();
    steps.successors
}

impl Steps<'_> {
    fn add(&mut self, step: Step, change: impl FnOnce(&mut World)) {
        let mut world = self.world.clone();
        change(&mut world);
        self.successors.push((step, world));
    }

    fn owner(&mut self, number: usize, owner: &Owner) {
        let bounds = self.bounds;
        match &owner.phase {
            Phase::Ready => self.ask(number, owner),
            Phase::Asked(step) => self.asked(number, step),
            Phase::Answered(event) => self.add(Step::Answer(number), |world| {
                world.owners[number].commit.observe(event.clone());
                world.owners[number].phase = Phase::Ready;
            }),
            Phase::Ended => return,
        }
        if matches!(owner.phase, Phase::Ready) {
            self.add(Step::Finish(number), |world| world.finish(bounds, number));
        }
        if self.world.losses > 0 && matches!(owner.phase, Phase::Answered(_)) {
            self.add(Step::LoseAnswer(number), |world| {
                world.losses -= 1;
                world.owners[number].commit.observe(intents::StepResult::Unanswered);
                world.owners[number].phase = Phase::Ready;
            });
        }
    }

    fn ask(&mut self, number: usize, owner: &Owner) {
        let mut commit = owner.commit.clone();
        let step = commit.next(self.world.clock_ms(number));
        if step != intents::Step::Done {
            self.add(Step::Ask(number), |world| {
                world.owners[number].commit = commit;
                world.owners[number].phase = Phase::Asked(step);
            });
        }
    }

    fn asked(&mut self, number: usize, step: &intents::Step) {
        let compare = self.bounds.compare;
        self.add(Step::Serve(number), |world| {
            let event = serve(world, compare, step);
            world.owners[number].phase = Phase::Answered(event);
        });
        self.add(Step::Refuse(number), |world| {
            world.owners[number].commit.observe(intents::StepResult::Refused);
            world.owners[number].phase = Phase::Ready;
        });
        let intents::Step::Write { index, expected_revision, part } = step else { return };
        if self.world.losses > 0 {
            let late =
                Late { index: *index, expected_revision: *expected_revision, part: part.clone() };
            self.add(Step::Lose(number), |world| {
                world.losses -= 1;
                world.late.push(late);
                world.owners[number].commit.observe(intents::StepResult::Unanswered);
                world.owners[number].phase = Phase::Ready;
            });
        }
    }

    fn environment(&mut self) {
        let compare = self.bounds.compare;
        if !self.world.late.is_empty() {
            self.add(Step::Late, |world| {
                let late = world.late.remove(0);
                write(world, compare, late.index, late.expected_revision, &late.part);
            });
        }
        if self.bounds.ageing && self.world.age + 1 < AGES_MS.len() {
            self.add(Step::Grow(AGES_MS[self.world.age + 1]), |world| world.age += 1);
        }
        let retention = self.bounds.retention();
        let layout = intents::Layout { buckets: 1, slice_ms: 1, retention };
        let is_expired = layout.is_expired(CREATED_MS, self.world.now_ms());
        if is_expired && !self.world.parts.is_empty() {
            self.add(Step::Delete, |world| world.parts.clear());
        }
    }
}

fn serve(world: &mut World, compare: bool, step: &intents::Step) -> intents::StepResult {
    match step {
        intents::Step::Read { first } => intents::StepResult::Found(
            world.parts.range(first..).map(|(_, part)| part.clone()).collect(),
        ),
        intents::Step::Write { index, expected_revision, part } => {
            write(world, compare, *index, *expected_revision, part)
        }
        intents::Step::Done => intents::StepResult::Refused,
    }
}

fn write(
    world: &mut World,
    compare: bool,
    index: u32,
    expected_revision: u64,
    part: &intents::Part,
) -> intents::StepResult {
    let existing = world.parts.get(&index);
    if compare && existing.map_or(0, |stored| stored.revision) != expected_revision {
        return intents::StepResult::Conflict(existing.cloned());
    }
    world.revision += 1;
    let stored = intents::Stored { index, revision: world.revision, part: part.clone() };
    world.parts.insert(index, stored);
    intents::StepResult::Written { revision: world.revision }
}
