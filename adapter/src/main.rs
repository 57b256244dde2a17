//! Connects the library to the simulator: converts its input lines to events, and actions to output lines.
//!
//! Makes no decisions. Each line of standard input is a batch of events; each line of standard output is the
//! reply to one batch.

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

/// Handles one line of input and writes its reply. An empty line gets no reply.
fn answer_line(
    controllers: &mut Controllers,
    line: std::io::Result<String>,
    output: &mut impl Write,
) -> Result<(), WireError> {
    let line = line?;
    if line.trim().is_empty() {
        return Ok(());
    }
    let reply = controllers.handle_batch(&line)?;
    output.write_all(reply.as_bytes())?;
    output.flush()?;
    Ok(())
}
