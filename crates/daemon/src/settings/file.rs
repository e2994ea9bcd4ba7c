//! The settings file.

use std::path;

use trefoildyke_types::id;

use crate::{config, endpoints, hosts, intents, orders, schedule, settings};

/// The settings of one daemon.
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
    /// The name of the host, as in the platform's list of hosts; required.
    pub host: id::HostName,
    /// The availability zone of the host; required.
    pub zone: id::ZoneName,
    /// The number of threads that handle traffic; from 1 to 1,024.
    pub threads: usize,
    /// The addresses on which the daemon listens.
    pub listen: settings::Listen,
    /// The addresses of the platform's services.
    pub platform: settings::Platform,
    /// How the daemon finds the other daemons and authenticates to them.
    pub peers: settings::Peers,
    /// The limits of the callers' API.
    pub callers: settings::Callers,
    /// The tokens of operators and the limits of their API.
    pub operators: settings::Operators,
    /// The limits of the coordinator.
    pub coordinate: settings::Coordinate,
    /// The settings of the configuration service.
    pub config: config::Settings,
    /// The settings of the service that reads the list of hosts.
    pub hosts: hosts::Settings,
    /// The settings of the monitoring of endpoints.
    pub endpoints: endpoints::Settings,
    /// The settings of the intent service, which records requests.
    pub intents: intents::Settings,
    /// The settings of the orders to engines.
    pub orders: orders::Settings,
    /// The settings of the schedulers.
    pub schedule: schedule::Settings,
    /// The maximum number of events that the timeline keeps; from 1 to 10,000,000.
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
    /// Reads and checks a settings file.
    ///
    /// # Errors
    ///
    /// Fails if the file cannot be read or is not valid YAML, has an unknown key, or a value is outside its
    /// range.
    pub fn read(file: &path::Path) -> Result<Self, settings::Error> {
        let text = std::fs::read_to_string(file)
            .map_err(|cause| settings::Error::Read { file: file.to_owned(), cause })?;
        Self::from_yaml(&text)
    }

    /// Parses and checks settings in YAML.
    ///
    /// # Errors
    ///
    /// Fails if the text is not valid YAML, has an unknown key, or a value is outside its range.
    pub fn from_yaml(text: &str) -> Result<Self, settings::Error> {
        let settings: Self = serde_yaml_ng::from_str(text)
            .map_err(|error| settings::Error::Form(error.to_string()))?;
        settings.check()?;
        Ok(settings)
    }

    /// Returns the settings as YAML, with every default included and secrets hidden.
    ///
    /// # Errors
    ///
    /// Fails if a value cannot be represented in YAML.
    pub fn to_yaml(&self) -> Result<String, settings::Error> {
        serde_yaml_ng::to_string(self).map_err(|error| settings::Error::Form(error.to_string()))
    }
}
