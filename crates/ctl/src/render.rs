//! Answers and refusals as text for people.

use std::fmt::Write;

use fulmarpier_protocol::{
    http::table::Table,
    problem::Problem, //
};
use fulmarpier_state::refusal::Outcome;

const GAP: usize = 2;

/// Lays out a table with its notes and, after a dry run, the way to carry it out.
pub fn table(table: &Table) -> String {
    let rows = cells(table);
    let widths = widths(&rows);
    let mut text = String::new();
    for row in &rows {
        push_row(&mut text, row, &widths);
    }
    if table.rows.is_empty() && !table.columns.is_empty() {
        text.push_str("(no rows)\n");
    }
    for note in &table.notes {
        push_line(&mut text, note);
    }
    if let Some(token) = &table.confirm {
        push_line(
            &mut text,
            &format!("To carry it out, repeat it with --confirm {token}"),
        );
    }
    text
}

/// Lays out a refusal.
pub fn problem(problem: &Problem) -> String {
    let mut text = String::new();
    push_line(
        &mut text,
        &format!("error: {} ({})", problem.title, problem.reason),
    );
    for line in problem.detail.lines() {
        push_line(&mut text, &format!("  {line}"));
    }
    let outcome = match problem.outcome {
        Outcome::NotRun => "it had no effect",
        Outcome::Ran => "it was carried out",
        Outcome::Unknown => "it may have taken effect; `show config` tells",
    };
    push_line(&mut text, &format!("outcome: {outcome}"));
    if let Some(hint) = &problem.hint {
        push_line(&mut text, &format!("hint: {hint}"));
    }
    if let Some(span) = problem.retry_after {
        push_line(&mut text, &format!("ask again in {span}"));
    }
    text
}

/// Returns the cells as text, the names of the columns first.
fn cells(table: &Table) -> Vec<Vec<String>> {
    let head = table.columns.iter().map(|column| column.to_uppercase());
    let mut rows = vec![head.collect()];
    for row in &table.rows {
        rows.push(
            row.iter()
                .map(|cell| printable(&cell.to_string()))
                .collect(),
        );
    }
    rows
}

fn widths(rows: &[Vec<String>]) -> Vec<usize> {
    let columns = rows.iter().map(Vec::len).max().unwrap_or(0);
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        cells.map(|cell| cell.chars().count()).max().unwrap_or(0)
    };
    (0..columns).map(width).collect()
}

fn push_row(text: &mut String, row: &[String], widths: &[usize]) {
    let mut line = String::new();
    for (cell, width) in row.iter().zip(widths) {
        // Writing to a string can't fail.
        let _ = write!(line, "{cell:<width$}{:GAP$}", "");
    }
    push_line(text, line.trim_end());
}

fn push_line(text: &mut String, line: &str) {
    if line.is_empty() {
        return;
    }
    text.push_str(&printable(line));
    text.push('\n');
}

/// Replaces control characters, which could change what a terminal shows.
fn printable(text: &str) -> String {
    text.replace(char::is_control, "\u{fffd}")
}
