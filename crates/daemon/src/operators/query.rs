//! The query parameters of a call.

use std::str;

use trefoildyke_types::error;

/// The query parameters of a call.
pub(crate) struct Query<'a>(&'a str);

impl<'a> Query<'a> {
    /// Creates the query of a call; fails with `Invalid` if it has a parameter that is not in `known`.
    pub(crate) fn new(uri: &'a hyper::Uri, known: &[&str]) -> Result<Self, error::Error> {
        let this = Self(uri.query().unwrap_or(""));
        match this.pairs().find(|(name, _)| !known.contains(name)) {
            None => Ok(this),
            Some((name, _)) => {
                let remedy = format!("use {}", known.join(", "));
                let remedy = if known.is_empty() { "send none".to_owned() } else { remedy };
                Err(invalid(name, "the parameter is not known").remedy(remedy))
            }
        }
    }

    /// Returns the text of a parameter, or `None` if it is not set.
    pub(crate) fn text(&self, name: &str) -> Option<&'a str> {
        self.pairs().find(|(other, _)| *other == name).map(|(_, value)| value)
    }

    /// Returns the number in a parameter, or `None` if it is not set; fails if it is not a number.
    pub(crate) fn number<T: str::FromStr>(&self, name: &str) -> Result<Option<T>, error::Error> {
        let parse = |text: &str| text.parse().map_err(|_| invalid(name, "is not a whole number"));
        self.text(name).map(parse).transpose()
    }

    fn pairs(&self) -> impl Iterator<Item = (&'a str, &'a str)> + use<'a> {
        let parts = self.0.split('&').filter(|part| !part.is_empty());
        parts.map(|part| part.split_once('=').unwrap_or((part, "")))
    }
}

fn invalid(name: &str, message: &str) -> error::Error {
    error::Error::new(error::ErrorKind::Invalid, message).at(name)
}
