//! Log lines of a gateway.

/// The fields that are not repeated in `detail`.
const COLUMNS: [&str; 4] = ["at_ms", "host", "event", "id"];

/// One log line of a gateway.
#[derive(Clone, Debug, PartialEq, serde::Serialize)]
pub struct Entry {
    /// The wall clock of the host, in milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// The host.
    pub host: String,
    /// The event's name.
    pub event: String,
    /// The request, if the line is about one.
    pub id: Option<String>,
    /// The endpoint, if the line is about one.
    pub endpoint: Option<String>,
    /// The other fields, as `name=value`.
    pub detail: String,
}

impl Entry {
    /// Parses a line, skipping any text before the first brace, such as the prefix of a log collector.
    ///
    /// Returns `None` for a line that is not an event.
    pub fn parse(line: &str) -> Option<Self> {
        let start = line.find('{')?;
        let value: serde_json::Value = serde_json::from_str(line[start..].trim_end()).ok()?;
        let fields = value.as_object()?;
        let text =
            |name: &str| fields.get(name).and_then(|value| value.as_str()).map(str::to_owned);
        let is_other = |(name, value): &(&String, &serde_json::Value)| {
            !COLUMNS.contains(&name.as_str()) && !value.is_null()
        };
        let format_field = |(name, value): (&String, &serde_json::Value)| match value.as_str() {
            Some(text) => format!("{name}={text}"),
            None => format!("{name}={value}"),
        };
        Some(Self {
            at_ms: fields.get("at_ms")?.as_u64()?,
            host: text("host").unwrap_or_default(),
            event: text("event")?,
            id: text("id"),
            endpoint: text("endpoint"),
            detail: fields.iter().filter(is_other).map(format_field).collect::<Vec<_>>().join(" "),
        })
    }

    /// Returns whether the line is a state change of its host: an event, and not a log message, that
    /// concerns no request.
    pub(super) fn is_state_change(&self) -> bool {
        self.id.is_none() && self.event != "log"
    }
}
