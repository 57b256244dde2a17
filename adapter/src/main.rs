//! Speaks the simulator's wire: turns its lines into the library's events and actions back into lines.
//!
//! Decides nothing. One line of standard input is one batch of events, one line of standard output the reply.

mod controllers;
mod wire;

use std::io::{BufRead, Write};

use controllers::Controllers;
use wire::WireError;

fn main() {
    let input = std::io::stdin().lock();
    let mut output = std::io::BufWriter::new(std::io::stdout().lock());
    let mut controllers = Controllers::default();
    for (number, line) in input.lines().enumerate() {
        if let Err(error) = answer_line(&mut controllers, line, &mut output) {
            eprintln!("nettleferry-adapter: line {}: {error}", number + 1);
            std::process::exit(1);
        }
    }
}

/// Answers one line; an empty one has no answer.
fn answer_line(
    controllers: &mut Controllers,
    line: std::io::Result<String>,
    output: &mut impl Write,
) -> Result<(), WireError> {
    let line = line?;
    if line.trim().is_empty() {
        return Ok(());
    }
    let reply = controllers.answer(&line)?;
    output.write_all(reply.as_bytes())?;
    output.flush()?;
    Ok(())
}
