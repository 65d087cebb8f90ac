//! Errors of commands and their exit codes.

use displaydoc::Display;
use http::StatusCode;

use super::{client, show};

/// Error of a command.
#[derive(Debug, Display)]
pub enum Error {
    /// {0}
    Usage(String),
    /// {0}
    Client(client::Error),
    /// revision {0} was accepted, but was not in force everywhere before the timeout
    NotInForce(u64),
    /// no log line mentions request {0}
    UnknownRequest(String),
}

impl std::error::Error for Error {}

impl From<client::Error> for Error {
    fn from(error: client::Error) -> Self {
        Self::Client(error)
    }
}

impl Error {
    /// Returns the exit code of the program.
    pub fn exit_code(&self) -> u8 {
        match self {
            Self::Usage(_) => 2,
            Self::NotInForce(_) => 7,
            Self::UnknownRequest(_) => 9,
            Self::Client(client::Error::Refused { status, .. }) => match *status {
                StatusCode::UNPROCESSABLE_ENTITY => 3,
                StatusCode::CONFLICT => 4,
                StatusCode::SERVICE_UNAVAILABLE => 5,
                StatusCode::GATEWAY_TIMEOUT => 6,
                StatusCode::UNAUTHORIZED => 8,
                StatusCode::NOT_FOUND => 9,
                _ => 1,
            },
            Self::Client(error) if error.in_doubt() => 6,
            Self::Client(_) => 5,
        }
    }

    /// Returns one line for each mistake or conflict of a refused change; empty for other errors.
    pub fn details(&self) -> String {
        match self {
            Self::Client(client::Error::Refused { failure, .. }) => show::failure(failure),
            _ => String::new(),
        }
    }
}
