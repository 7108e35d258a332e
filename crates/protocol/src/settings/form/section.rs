//! One object of a JSON document while it is checked.

use std::{
    cell::RefCell,
    fmt::Display,
    ops::RangeInclusive, //
};

use serde_json::{
    Map,
    Value, //
};

use super::{
    Error,
    Errors,
    Field,
    Mistake,
    field, //
};
use crate::{
    settings::Document,
    suggest, //
};

/// A part of the settings that is one JSON object.
pub trait Form: Sized {
    /// Reads the part; `None` where something was wrong, which has then been noted.
    ///
    /// All fields are read before the first `?`, so that every mistake is noted.
    fn read(section: &mut Section<'_>) -> Option<Self>;
}

/// One object of a JSON document, with the place to note its mistakes.
pub struct Section<'a> {
    path: String,
    fields: Option<&'a Map<String, Value>>,
    known: Vec<&'static str>,
    errors: &'a RefCell<Vec<Error>>,
}

/// Checks a whole document.
///
/// # Errors
///
/// Fails with all mistakes of the document.
pub(in crate::settings) fn document<T: Form>(document: &Document) -> Result<T, Errors> {
    let errors = RefCell::default();
    let form = Section::object(String::new(), &document.0, &errors);
    let errors = errors.into_inner();
    match form {
        Some(form) if errors.is_empty() => Ok(form),
        _ => Err(Errors(errors)),
    }
}

impl<'a> Section<'a> {
    /// Reads a field that has no default.
    pub fn required<T: Field>(&mut self, key: &'static str) -> Option<T> {
        match self.get(key) {
            Some(value) => self.value(key, value),
            None => self.note(key, Mistake::Missing),
        }
    }

    /// Reads a field that has a default.
    pub fn or<T: Field>(&mut self, key: &'static str, default: T) -> Option<T> {
        match self.get(key) {
            Some(value) => self.value(key, value),
            None => Some(default),
        }
    }

    /// Reads a field that may be missing.
    pub fn optional<T: Field>(&mut self, key: &'static str) -> Option<Option<T>> {
        match self.get(key) {
            Some(value) => self.value(key, value).map(Some),
            None => Some(None),
        }
    }

    /// Reads a field that has a default and a range.
    pub fn within<T>(
        &mut self,
        key: &'static str,
        default: T,
        range: RangeInclusive<T>,
    ) -> Option<T>
    where
        T: Field + PartialOrd + Display,
    {
        let value = self.or(key, default)?;
        if range.contains(&value) {
            return Some(value);
        }
        let mistake = Mistake::Range {
            found: value.to_string(),
            least: range.start().to_string(),
            most: range.end().to_string(),
        };
        self.note(key, mistake)
    }

    /// Reads an object; where it is missing, all its fields are.
    pub fn form<T: Form>(&mut self, key: &'static str) -> Option<T> {
        let path = self.path(key);
        match self.get(key) {
            Some(value) => Self::object(path, value, self.errors),
            None => Self::read(path, None, self.errors),
        }
    }

    /// Reads a list of objects; where it is missing, it is empty.
    pub fn forms<T: Form>(&mut self, key: &'static str) -> Option<Vec<T>> {
        self.list(key, |path, value, errors| Self::object(path, value, errors))
    }

    /// Reads a list of plain values; where it is missing, it is empty.
    pub fn values<T: Field>(&mut self, key: &'static str) -> Option<Vec<T>> {
        self.list(key, |path, value, errors| match T::read(value) {
            Ok(value) => Some(value),
            Err(mistake) => {
                errors.borrow_mut().push(Error { path, mistake });
                None
            }
        })
    }

    /// Notes a mistake of a field.
    pub fn note<T>(&self, key: &str, mistake: Mistake) -> Option<T> {
        let path = self.path(key);
        self.errors.borrow_mut().push(Error { path, mistake });
        None
    }

    /// Notes every value that stands twice in a list.
    pub fn unique<T: PartialEq + Display>(&mut self, key: &str, values: &[T]) {
        for (index, value) in values.iter().enumerate() {
            if values[..index].contains(value) {
                let value = value.to_string();
                self.note::<()>(key, Mistake::Twice { value });
            }
        }
    }

    /// Notes an empty list.
    pub fn not_empty<T>(&mut self, key: &str, values: &[T]) {
        if values.is_empty() {
            self.note::<()>(key, Mistake::Empty);
        }
    }

    fn get(&mut self, key: &'static str) -> Option<&'a Value> {
        self.known.push(key);
        self.fields?.get(key)
    }

    fn value<T: Field>(&mut self, key: &'static str, value: &Value) -> Option<T> {
        match T::read(value) {
            Ok(value) => Some(value),
            Err(mistake) => self.note(key, mistake),
        }
    }

    fn list<T>(
        &mut self,
        key: &'static str,
        read: impl Fn(String, &'a Value, &'a RefCell<Vec<Error>>) -> Option<T>,
    ) -> Option<Vec<T>> {
        let Some(value) = self.get(key) else {
            return Some(Vec::new());
        };
        let Some(entries) = value.as_array() else {
            return self.note(key, field::wrong("a list", value));
        };
        let path = self.path(key);
        let read: Vec<_> = entries
            .iter()
            .enumerate()
            .map(|(index, entry)| read(format!("{path}[{index}]"), entry, self.errors))
            .collect();
        read.into_iter().collect()
    }

    fn object<T: Form>(
        path: String,
        value: &'a Value,
        errors: &'a RefCell<Vec<Error>>,
    ) -> Option<T> {
        if let Some(fields) = value.as_object() {
            return Self::read(path, Some(fields), errors);
        }
        let path = match path.is_empty() {
            true => ".".to_owned(),
            false => path,
        };
        let mistake = field::wrong("an object", value);
        errors.borrow_mut().push(Error { path, mistake });
        None
    }

    fn read<T: Form>(
        path: String,
        fields: Option<&'a Map<String, Value>>,
        errors: &'a RefCell<Vec<Error>>,
    ) -> Option<T> {
        let mut section = Section {
            path,
            fields,
            known: Vec::new(),
            errors,
        };
        let form = T::read(&mut section);
        section.refuse_unknown();
        form
    }

    /// Notes the fields that are not known; a known one that is there was hardly meant.
    fn refuse_unknown(&self) {
        let Some(fields) = self.fields else {
            return;
        };
        let known = &self.known;
        let absent: Vec<_> = known
            .iter()
            .filter(|key| !fields.contains_key(**key))
            .collect();
        let unknown = fields.keys().filter(|key| !known.contains(&key.as_str()));
        for key in unknown {
            let suggestion = suggest::nearest(key, absent.iter().map(|key| **key));
            let suggestion = suggestion.map(str::to_owned);
            self.note::<()>(key, Mistake::Unknown { suggestion });
        }
    }

    fn path(&self, key: &str) -> String {
        match self.path.is_empty() {
            true => key.to_owned(),
            false => format!("{}.{key}", self.path),
        }
    }
}

/// Reads a word out of a closed set.
///
/// # Errors
///
/// Fails where the value is no string or no word of the set.
pub(in crate::settings) fn word<T: Copy>(
    value: &Value,
    known: &'static [&'static str],
    values: &[T],
) -> Result<T, Mistake> {
    let found = field::text(value)?;
    let place = known.iter().position(|word| *word == found);
    let value = place.and_then(|place| values.get(place));
    value.copied().ok_or_else(|| Mistake::Word {
        found: found.to_owned(),
        known,
        suggestion: suggest::nearest(found, known.iter().copied()),
    })
}
