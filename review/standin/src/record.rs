//! The record of a run of a script: what was sent, answered and run, with the time.

use std::{
    fs::File,
    io::{self, BufWriter, Write},
    path::Path,
    sync::{Arc, Mutex, PoisonError},
    time::{Duration, Instant},
};

/// A file with one line for each event; cheap to clone.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<BufWriter<File>>>,
}

impl Record {
    /// Creates the file.
    ///
    /// # Errors
    ///
    /// Fails if the file can't be created.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(BufWriter::new(File::create(path)?))),
        })
    }

    /// Returns the time since the record began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Adds a line.
    pub fn line(&self, text: &str) {
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = writeln!(file, "{:9.3} {text}", self.now().as_secs_f64());
    }

    /// Adds a line and prints it too.
    pub fn tell(&self, text: &str) {
        println!("{:9.3} {text}", self.now().as_secs_f64());
        self.line(text);
        let mut file = self.file.lock().unwrap_or_else(PoisonError::into_inner);
        let _ = file.flush();
    }
}
