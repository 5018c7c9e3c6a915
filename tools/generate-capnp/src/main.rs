//! Generates a Rust module from the output of `capnp compile -o-` on standard input.
//!
//! Arguments: the folder for the module and, optionally, its parent module.

use std::process::ExitCode;

fn main() -> ExitCode {
    let Some(folder) = std::env::args().nth(1) else {
        eprintln!("usage: generate-capnp FOLDER [PARENT_MODULE]");
        return ExitCode::from(2);
    };
    let mut command = capnpc::codegen::CodeGenerationCommand::new();
    let parents = std::env::args().nth(2).map(|module| vec![module]).unwrap_or_default();
    command.output_directory(folder).default_parent_module(parents);
    match command.run(std::io::stdin()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("cannot generate the Rust module: {error}; check the schema");
            ExitCode::FAILURE
        }
    }
}
