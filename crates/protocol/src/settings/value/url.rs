//! The address of an HTTP service.

use std::{
    fmt,
    str::FromStr, //
};

use serde_json::Value;

use crate::settings::form::{
    Field,
    Mistake,
    field, //
};

const SCHEME: &str = "http://";

/// The address of an HTTP service, as in `http://10.0.0.1:7000`, without a slash at its end.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Url(String);

impl Url {
    /// Returns the address as text.
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Returns the address with a path behind it; the path begins with a slash.
    pub fn join(&self, path: &str) -> String {
        format!("{}{path}", self.0)
    }
}

impl fmt::Display for Url {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl FromStr for Url {
    type Err = Mistake;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let wrong = || Mistake::Url {
            found: text.to_owned(),
        };
        let rest = text.strip_prefix(SCHEME).ok_or_else(wrong)?;
        let host = rest.split('/').next().unwrap_or_default();
        if !is_host(host) || !rest.chars().all(is_accepted) {
            return Err(wrong());
        }
        Ok(Self(text.trim_end_matches('/').to_owned()))
    }
}

impl Field for Url {
    fn read(value: &Value) -> Result<Self, Mistake> {
        field::text(value)?.parse()
    }
}

/// Returns whether the text is a host with an optional port.
fn is_host(text: &str) -> bool {
    let (host, port) = match text.rsplit_once(':') {
        Some((host, port)) if !port.ends_with(']') => (host, Some(port)),
        _ => (text, None),
    };
    let is_port = |port: &str| port.parse::<u16>().is_ok_and(|port| port > 0);
    !host.is_empty() && port.is_none_or(is_port)
}

/// Returns whether a character may stand in the address; user, query and fragment may not.
fn is_accepted(c: char) -> bool {
    c.is_ascii_alphanumeric() || matches!(c, '.' | '-' | '_' | '~' | ':' | '[' | ']' | '/')
}
