//! The settings file.

use std::path;

use trefoildyke_types::id;

use crate::{config, endpoints, hosts, intents, orders, schedule, settings};

/// Holds the settings of one daemon.
///
/// ```
/// use trefoildyke_daemon::settings;
///
/// let text = "{host: entry-1, zone: salem, peers: {keys: [sixteen-bytes-or-more]}}";
/// let settings = settings::Settings::from_yaml(text)?;
/// assert_eq!(settings.listen, settings::Listen::default());
/// # Ok::<(), settings::Error>(())
/// ```
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Settings {
    /// The host's name, as the platform's list has it; required.
    pub host: id::HostName,
    /// The availability zone; required.
    pub zone: id::ZoneName,
    /// Threads that carry traffic; at least 1.
    pub threads: usize,
    /// Where the daemon listens.
    pub listen: settings::Listen,
    /// Where the platform's services are.
    pub platform: settings::Platform,
    /// How the daemon finds the others.
    pub peers: settings::Peers,
    /// Limits of the callers' face.
    pub callers: settings::Callers,
    /// Who may operate the system.
    pub operators: settings::Operators,
    /// Limits and bounds of the coordinator.
    pub coordinate: settings::Coordinate,
    /// Settings of the configuration service.
    pub config: config::Settings,
    /// Settings of the reading of the host list.
    pub hosts: hosts::Settings,
    /// Settings of the watch over endpoints.
    pub endpoints: endpoints::Settings,
    /// Settings of the records.
    pub intents: intents::Settings,
    /// Settings of the orders to engines.
    pub orders: orders::Settings,
    /// Settings of the schedulers.
    pub schedule: schedule::Settings,
    /// The most events that the time line keeps; at least 1.
    pub events: usize,
    /// What is logged.
    pub logs: settings::Logs,
}

impl Default for Settings {
    fn default() -> Self {
        Self {
            host: "".into(),
            zone: "".into(),
            threads: 2,
            listen: settings::Listen::default(),
            platform: settings::Platform::default(),
            peers: settings::Peers::default(),
            callers: settings::Callers::default(),
            operators: settings::Operators::default(),
            coordinate: settings::Coordinate::default(),
            config: config::Settings::default(),
            hosts: hosts::Settings::default(),
            endpoints: endpoints::Settings::default(),
            intents: intents::Settings::default(),
            orders: orders::Settings::default(),
            schedule: schedule::Settings::default(),
            events: 20_000,
            logs: settings::Logs::default(),
        }
    }
}

impl Settings {
    /// Reads and checks a file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read, has an unknown key, or a value outside its range.
    pub fn read(file: &path::Path) -> Result<Self, settings::Error> {
        let text = std::fs::read_to_string(file)
            .map_err(|cause| settings::Error::Read { file: file.to_owned(), cause })?;
        Self::from_yaml(&text)
    }

    /// Reads and checks settings from their text.
    ///
    /// # Errors
    ///
    /// Fails if there is an unknown key or a value outside its range.
    pub fn from_yaml(text: &str) -> Result<Self, settings::Error> {
        let settings: Self = serde_yaml_ng::from_str(text)
            .map_err(|error| settings::Error::Form(error.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the settings as YAML, every default included and secrets hidden.
    ///
    /// # Errors
    ///
    /// Fails if a value has no YAML form.
    pub fn to_yaml(&self) -> Result<String, settings::Error> {
        serde_yaml_ng::to_string(self).map_err(|error| settings::Error::Form(error.to_string()))
    }
}
