//! All goals in one run.

use std::{fs, path};

use trefoildyke_types::error;

use crate::experiment::{compare, goals, policy, scenario};

/// Says where the scenarios are and how to run them.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Suite {
    /// The directory with the scenario files.
    pub directory: path::PathBuf,
    /// The seeds are 1 to this number.
    pub seeds: u64,
    /// How many runs go on at once.
    pub threads: usize,
    /// How many requests wait while decisions are timed, from few to many; the middle one is
    /// judged.
    pub waiting: [u64; 3],
}

impl Suite {
    /// Reads the scenario named `name`.
    ///
    /// # Errors
    ///
    /// Says which file cannot be read or which field is wrong.
    pub(super) fn read(&self, name: &str) -> Result<scenario::Scenario, error::Error> {
        let file = self.directory.join(format!("{name}.yaml"));
        let text = fs::read_to_string(&file).map_err(|e| {
            let error = error::Error::new(error::ErrorKind::NotFound, e.to_string());
            error.about(&file.display()).remedy("name the directory with --scenarios")
        })?;
        scenario::Scenario::from_yaml(&text).map_err(|error| error.about(&file.display()))
    }

    /// Compares policies on the scenario named `name`.
    pub(super) fn compare(
        &self,
        name: &str,
        policies: &[policy::Variant],
    ) -> Result<compare::Comparison, error::Error> {
        let scenario = self.read(name)?;
        let policies = policies.to_vec();
        let plan = compare::Plan { policies, seeds: self.seeds, threads: self.threads };
        Ok(compare::compare(&scenario, &plan))
    }
}

/// Measures every goal.
///
/// # Errors
///
/// Fails if a scenario file is missing or wrong.
pub fn measure(suite: &Suite) -> Result<Vec<goals::Goal>, error::Error> {
    let all = &policy::Variant::ALL;
    let own = &[policy::Variant::Trefoildyke];
    let stragglers = suite.compare("cascadia-stragglers", all)?;
    let even = suite.compare("cascadia-even-deadlines", all)?;
    let lost_endpoint = suite.compare("agec-lost-endpoint", all)?;
    let flood = suite.compare("cascadia-flood", own)?;
    let others = ["cascadia", "agec", "cascadia-burst", "cascadia-lost-scheduler"];
    let mut runs =
        others.map(|name| suite.compare(name, own)).into_iter().collect::<Result<Vec<_>, _>>()?;
    let mut goals = vec![
        goals::overload::near_bound(&stragglers),
        goals::overload::twice_best(&stragglers),
        goals::overload::near_bound(&even),
        goals::overload::twice_best(&even),
        goals::waste::third_of_best(&lost_endpoint),
        goals::waste::none_failed(&lost_endpoint),
        goals::long_prompt::measure(suite)?,
    ];
    goals.push(goals::flood::measure(&flood));
    runs.extend([stragglers, even, lost_endpoint, flood]);
    goals.push(goals::order::measure(&runs));
    goals.extend(goals::takeover::measure(suite)?);
    goals.extend(goals::cost::measure(suite.waiting));
    Ok(goals)
}
