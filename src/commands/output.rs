//! Output of commands: JSON, and tables of at most 80 columns with colour on terminals.

use std::fmt;
use std::io::IsTerminal;
use std::net::SocketAddr;
use std::process::ExitCode;

use clap::{Args, ValueEnum};
use serde::Serialize;

use super::client::AdminError;

/// Maximum width of tables and text, in columns.
const MAX_WIDTH: usize = 80;

/// Exit codes, shown in the help of commands that read from an entry.
pub const EXIT_CODES: &str =
    "Exit codes: 0 success, 1 the entry cannot be reached or returned an error, 2 usage error";

/// Format of the output.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, ValueEnum)]
pub enum OutputFormat {
    /// Human-readable text.
    #[default]
    Text,
    /// A single JSON value.
    Json,
}

/// Arguments of commands that read from an entry.
#[derive(Debug, Args)]
pub struct AdminArguments {
    /// Administration address of an entry.
    #[arg(long, value_name = "ADDRESS")]
    pub admin: SocketAddr,
    /// Output format.
    #[arg(long, value_enum, default_value_t)]
    pub output: OutputFormat,
}

impl AdminArguments {
    /// Prints the response of an entry, as JSON or formatted by `text`, and returns the exit
    /// code.
    pub fn print<T: Serialize>(
        &self,
        response: Result<T, AdminError>,
        text: impl Fn(&T) -> String,
    ) -> ExitCode {
        match response {
            Ok(value) if self.output == OutputFormat::Json => {
                println!("{}", serde_json::to_string_pretty(&value).unwrap_or_default());
                ExitCode::SUCCESS
            }
            Ok(value) => {
                print!("{}", text(&value));
                ExitCode::SUCCESS
            }
            Err(error) => {
                eprintln!("{error}");
                ExitCode::FAILURE
            }
        }
    }
}

/// Colour of a table row on a terminal.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RowColour {
    /// Default colour of the terminal.
    Plain,
    /// Needs attention.
    Yellow,
    /// Does not work.
    Red,
}

/// Returns `true` if standard output is a terminal and `NO_COLOR` is not set (see
/// no-color.org).
fn supports_colour() -> bool {
    let disabled = std::env::var_os("NO_COLOR").is_some_and(|value| !value.is_empty());
    !disabled && std::io::stdout().is_terminal()
}

/// A table with a heading for each column and a colour for each row.
#[derive(Clone, Debug)]
pub struct TextTable {
    headings: Vec<String>,
    rows: Vec<(RowColour, Vec<String>)>,
}

impl TextTable {
    /// Creates a table without rows.
    pub fn new(headings: &[&str]) -> Self {
        Self { headings: headings.iter().map(ToString::to_string).collect(), rows: Vec::new() }
    }

    /// Adds a row with one cell for each heading.
    pub fn add(&mut self, colour: RowColour, cells: Vec<String>) {
        self.rows.push((colour, cells));
    }

    /// Returns the width of each column. Shrinks the widest columns until a row fits in
    /// [`MAX_WIDTH`].
    fn widths(&self) -> Vec<usize> {
        let mut widths: Vec<_> = self.headings.iter().map(|cell| cell.chars().count()).collect();
        for (_, cells) in &self.rows {
            for (width, cell) in widths.iter_mut().zip(cells) {
                *width = (*width).max(cell.chars().count());
            }
        }
        let gaps = 2 * widths.len().saturating_sub(1);
        while widths.iter().sum::<usize>() + gaps > MAX_WIDTH {
            let Some(widest) = widths.iter_mut().max().filter(|width| **width > 1) else { break };
            *widest -= 1;
        }
        widths
    }
}

impl fmt::Display for TextTable {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        let widths = self.widths();
        writeln!(formatter, "{}", format_row(&self.headings, &widths))?;
        for (colour, cells) in &self.rows {
            let text = format_row(cells, &widths);
            match colour {
                RowColour::Yellow if supports_colour() => {
                    writeln!(formatter, "\x1b[33m{text}\x1b[0m")?;
                }
                RowColour::Red if supports_colour() => {
                    writeln!(formatter, "\x1b[31m{text}\x1b[0m")?;
                }
                _ => writeln!(formatter, "{text}")?,
            }
        }
        Ok(())
    }
}

/// Formats a row: pads short cells and truncates long ones with an ellipsis.
fn format_row(cells: &[String], widths: &[usize]) -> String {
    let cells = cells.iter().zip(widths).map(|(cell, width)| {
        if cell.chars().count() > *width {
            let truncated: String = cell.chars().take(width - 1).collect();
            format!("{truncated}…")
        } else {
            format!("{cell:width$}")
        }
    });
    cells.collect::<Vec<_>>().join("  ").trim_end().to_owned()
}

/// Wraps text at word boundaries into lines of at most [`MAX_WIDTH`] columns.
pub fn wrap_text(text: &str) -> String {
    let mut wrapped = String::new();
    let mut column = 0;
    for word in text.split_whitespace() {
        let length = word.chars().count();
        if column > 0 && column + 1 + length > MAX_WIDTH {
            wrapped.push('\n');
            column = 0;
        } else if column > 0 {
            wrapped.push(' ');
            column += 1;
        }
        wrapped.push_str(word);
        column += length;
    }
    wrapped.push('\n');
    wrapped
}

/// Formats the time from `earlier` to `now`, both in microseconds, in the largest suitable
/// unit.
pub fn format_age(now: u64, earlier: u64) -> String {
    let seconds = now.saturating_sub(earlier) / 1_000_000;
    match seconds {
        0..60 => format!("{seconds} s"),
        60..3_600 => format!("{} min", seconds / 60),
        3_600..172_800 => format!("{} h", seconds / 3_600),
        _ => format!("{} d", seconds / 86_400),
    }
}
