//! The scenario file and its checks.

use trefoildyke_types::error;

use crate::experiment::scenario;

/// Describes a tier of a scenario; the first one of a file is the most urgent.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct TierPlan {
    /// The name.
    pub name: String,
    /// How long a caller waits for the whole answer, in milliseconds.
    pub deadline_ms: u64,
}

/// Describes an experiment: what arrives, what serves it and what fails.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Scenario {
    /// The name.
    pub name: String,
    /// What the scenario is for, in one sentence.
    pub summary: String,
    /// The loads to run at, as multiples of the pool's measured capacity.
    pub loads: Vec<f64>,
    /// For how long requests arrive, in milliseconds.
    pub duration_ms: u64,
    /// How many entry hosts share the arrivals.
    pub hosts: u16,
    /// Load reports and cache events.
    pub reports: scenario::ReportPlan,
    /// The engines.
    pub engines: Vec<scenario::EngineGroup>,
    /// The tiers, the most urgent first.
    pub tiers: Vec<TierPlan>,
    /// The client accounts.
    pub accounts: Vec<scenario::AccountPlan>,
    /// The request classes.
    pub classes: Vec<scenario::ClassPlan>,
    /// How far a caller's token limit may lie above the answer's real length; 1 for exact limits.
    #[serde(default = "exact")]
    pub limit_slack: f64,
    /// Requests that arrive at one moment.
    #[serde(default)]
    pub bursts: Vec<scenario::Burst>,
    /// Engines that become slow.
    #[serde(default)]
    pub stragglers: Vec<scenario::Straggler>,
    /// Endpoints that are taken back.
    #[serde(default)]
    pub taken_back: Vec<scenario::TakeBack>,
    /// Losses of the scheduler.
    #[serde(default)]
    pub lost_schedulers: Vec<scenario::LostScheduler>,
}

fn exact() -> f64 {
    1.0
}

impl Scenario {
    /// Reads a scenario from YAML and checks it; unknown keys are refused.
    ///
    /// # Errors
    ///
    /// Names the field that does not have the expected form.
    pub fn from_yaml(text: &str) -> Result<Self, error::Error> {
        let scenario: Self = serde_yaml_ng::from_str(text)
            .map_err(|e| error::Error::new(error::ErrorKind::Invalid, e.to_string()))?;
        scenario.check()?;
        Ok(scenario)
    }

    /// Returns the number of engines.
    pub fn engine_count(&self) -> usize {
        self.engines.iter().map(|group| usize::from(group.count)).sum()
    }

    /// Returns the rank of the tier named `name`.
    pub fn rank(&self, name: &str) -> Option<u8> {
        let position = self.tiers.iter().position(|tier| tier.name == name)?;
        u8::try_from(position).ok()
    }

    fn check(&self) -> Result<(), error::Error> {
        require(!self.loads.is_empty(), "loads", "name at least one load")?;
        require(self.hosts > 0, "hosts", "use 1 or more")?;
        require(self.engine_count() > 0, "engines", "name at least one engine")?;
        require(!self.accounts.is_empty(), "accounts", "name at least one client account")?;
        require(!self.classes.is_empty(), "classes", "name at least one class")?;
        require(self.reports.period_ms > 0, "reports.period_ms", "use 1 or more")?;
        require(self.limit_slack >= 1.0, "limit_slack", "use 1 or more")?;
        self.classes.iter().try_for_each(|class| self.check_class(class))?;
        self.bursts.iter().try_for_each(|burst| self.check_burst(burst))?;
        self.check_faults()
    }

    fn check_class(&self, class: &scenario::ClassPlan) -> Result<(), error::Error> {
        let known = self.rank(&class.tier).is_some();
        require(known, "classes.tier", "name one of `tiers`")?;
        check_range(&class.prompt, "classes.prompt")?;
        check_range(&class.output, "classes.output")?;
        let Some(prefixes) = &class.prefixes else {
            return Ok(());
        };
        require(prefixes.count > 0, "classes.prefixes.count", "use 1 or more")?;
        check_range(&prefixes.tokens, "classes.prefixes.tokens")
    }

    fn check_burst(&self, burst: &scenario::Burst) -> Result<(), error::Error> {
        let known = self.classes.iter().any(|class| class.name == burst.class);
        require(known, "bursts.class", "name one of `classes`")?;
        let Some(name) = &burst.account else {
            return Ok(());
        };
        let known = self.accounts.iter().any(|account| account.name == *name);
        require(known, "bursts.account", "name one of `accounts`")
    }

    fn check_faults(&self) -> Result<(), error::Error> {
        let count = self.engine_count();
        let known = |endpoint: u16| usize::from(endpoint) < count;
        let stragglers = self.stragglers.iter().all(|straggler| known(straggler.endpoint));
        require(stragglers, "stragglers.endpoint", "name an engine by position, from 0")?;
        let taken = self.taken_back.iter().all(|taken| known(taken.endpoint));
        require(taken, "taken_back.endpoint", "name an engine by position, from 0")
    }
}

fn check_range(range: &scenario::TokenRange, field: &str) -> Result<(), error::Error> {
    require(range.min > 0 && range.min <= range.max, field, "use 0 < min <= max")
}

fn require(holds: bool, field: &str, remedy: &str) -> Result<(), error::Error> {
    if holds {
        return Ok(());
    }
    let error = error::Error::new(error::ErrorKind::Invalid, "the value is not usable");
    Err(error.at(field).remedy(remedy))
}
