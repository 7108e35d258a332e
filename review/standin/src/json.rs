//! A small JSON reader; bodies are written with `format!` and [`quote`].

use std::collections::BTreeMap;

/// A JSON value.
#[derive(Clone, Debug, PartialEq)]
pub enum Value {
    Null,
    Bool(bool),
    Number(f64),
    Text(String),
    List(Vec<Value>),
    Object(BTreeMap<String, Value>),
}

impl Value {
    /// Returns a field of an object.
    pub fn get(&self, name: &str) -> Option<&Value> {
        match self {
            Self::Object(fields) => fields.get(name),
            _ => None,
        }
    }

    /// Returns a text field of an object.
    pub fn text(&self, name: &str) -> Option<&str> {
        match self.get(name)? {
            Self::Text(text) => Some(text),
            _ => None,
        }
    }

    /// Returns a whole number in a field of an object.
    pub fn number(&self, name: &str) -> Option<u64> {
        match self.get(name)? {
            Self::Number(number) => Some(*number as u64),
            _ => None,
        }
    }
}

/// Reads a JSON text; `None` if it isn't one.
pub fn parse(text: &[u8]) -> Option<Value> {
    let mut reader = Reader { text, at: 0 };
    let value = reader.value()?;
    reader.space();
    (reader.at == text.len()).then_some(value)
}

/// Returns a text as a JSON string.
pub fn quote(text: &str) -> String {
    let mut quoted = String::from("\"");
    for c in text.chars() {
        match c {
            '"' => quoted.push_str("\\\""),
            '\\' => quoted.push_str("\\\\"),
            c if (c as u32) < 0x20 => quoted.push_str(&format!("\\u{:04x}", c as u32)),
            c => quoted.push(c),
        }
    }
    quoted.push('"');
    quoted
}

struct Reader<'a> {
    text: &'a [u8],
    at: usize,
}

impl Reader<'_> {
    fn space(&mut self) {
        while self.peek().is_some_and(|byte| byte.is_ascii_whitespace()) {
            self.at += 1;
        }
    }

    fn peek(&self) -> Option<u8> {
        self.text.get(self.at).copied()
    }

    fn take(&mut self, expected: u8) -> Option<()> {
        self.space();
        (self.peek()? == expected).then(|| self.at += 1)
    }

    fn word(&mut self, word: &str, value: Value) -> Option<Value> {
        let rest = self.text.get(self.at..)?;
        rest.starts_with(word.as_bytes()).then(|| {
            self.at += word.len();
            value
        })
    }

    fn value(&mut self) -> Option<Value> {
        self.space();
        match self.peek()? {
            b'{' => self.object(),
            b'[' => self.list(),
            b'"' => self.string().map(Value::Text),
            b't' => self.word("true", Value::Bool(true)),
            b'f' => self.word("false", Value::Bool(false)),
            b'n' => self.word("null", Value::Null),
            _ => self.number(),
        }
    }

    fn number(&mut self) -> Option<Value> {
        let from = self.at;
        while self
            .peek()
            .is_some_and(|byte| b"+-.eE0123456789".contains(&byte))
        {
            self.at += 1;
        }
        let text = std::str::from_utf8(&self.text[from..self.at]).ok()?;
        text.parse().ok().map(Value::Number)
    }

    fn list(&mut self) -> Option<Value> {
        self.take(b'[')?;
        let mut items = Vec::new();
        if self.take(b']').is_some() {
            return Some(Value::List(items));
        }
        loop {
            items.push(self.value()?);
            if self.take(b']').is_some() {
                return Some(Value::List(items));
            }
            self.take(b',')?;
        }
    }

    fn object(&mut self) -> Option<Value> {
        self.take(b'{')?;
        let mut fields = BTreeMap::new();
        if self.take(b'}').is_some() {
            return Some(Value::Object(fields));
        }
        loop {
            self.space();
            let name = self.string()?;
            self.take(b':')?;
            fields.insert(name, self.value()?);
            if self.take(b'}').is_some() {
                return Some(Value::Object(fields));
            }
            self.take(b',')?;
        }
    }

    fn string(&mut self) -> Option<String> {
        self.take(b'"')?;
        let mut bytes = Vec::new();
        loop {
            let byte = self.peek()?;
            self.at += 1;
            match byte {
                b'"' => return String::from_utf8(bytes).ok(),
                b'\\' => {
                    let escape = self.peek()?;
                    self.at += 1;
                    match escape {
                        b'n' => bytes.push(b'\n'),
                        b't' => bytes.push(b'\t'),
                        b'r' => bytes.push(b'\r'),
                        b'u' => {
                            let digits = self.text.get(self.at..self.at + 4)?;
                            self.at += 4;
                            let digits = std::str::from_utf8(digits).ok()?;
                            let c = char::from_u32(u32::from_str_radix(digits, 16).ok()?)?;
                            bytes.extend(c.to_string().bytes());
                        }
                        other => bytes.push(other),
                    }
                }
                byte => bytes.push(byte),
            }
        }
    }
}
