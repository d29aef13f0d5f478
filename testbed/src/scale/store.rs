//! Storage of results: a JSON file for each axis in one directory.

use super::plan::AXES;
use super::result::{Axis, Run, FORMAT};
use std::io;
use std::path::{Path, PathBuf};

/// Error of the store.
#[derive(Debug, thiserror::Error)]
pub enum StoreError {
    /// The file cannot be read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// Path of the file.
        path: PathBuf,
        /// Error of the system.
        source: io::Error,
    },
    /// The file does not contain results of this format version.
    #[error("{}: {message}", path.display())]
    Content {
        /// Path of the file.
        path: PathBuf,
        /// Description of the error.
        message: String,
    },
}

/// Returns the path of an axis.
pub fn file(folder: &Path, axis: Axis) -> PathBuf {
    let name = match axis {
        Axis::Nodes => "nodes.json",
        Axis::Workers => "workers.json",
        Axis::Tenants => "tenants.json",
        Axis::Zones => "zones.json",
        Axis::Starts => "starts.json",
        Axis::Together => "together.json",
    };
    folder.join(name)
}

/// Writes the results of one axis.
///
/// # Errors
/// [`StoreError`] if the file cannot be written.
pub fn save(folder: &Path, axis: Axis, run: &Run) -> Result<(), StoreError> {
    let path = file(folder, axis);
    let text = serde_json::to_string_pretty(run)
        .map_err(|e| StoreError::Content { path: path.clone(), message: e.to_string() })?;
    let written = std::fs::create_dir_all(folder).and_then(|()| std::fs::write(&path, text + "\n"));
    written.map_err(|source| StoreError::File { path, source })
}

/// Reads the results of all axes that have a file, in the order of the axes.
///
/// # Errors
/// [`StoreError`] if a file cannot be read or does not contain results of this format version.
pub fn read_all(folder: &Path) -> Result<Vec<Run>, StoreError> {
    let files = AXES.iter().map(|axis| file(folder, *axis)).filter(|path| path.exists());
    files.map(|path| read(&path)).collect()
}

fn read(path: &Path) -> Result<Run, StoreError> {
    let text = std::fs::read_to_string(path)
        .map_err(|source| StoreError::File { path: path.to_path_buf(), source })?;
    let content = |message: String| StoreError::Content { path: path.to_path_buf(), message };
    let run: Run = serde_json::from_str(&text).map_err(|e| content(e.to_string()))?;
    if run.format != FORMAT {
        return Err(content(format!("result format {} is not supported; expected {FORMAT}", run.format)));
    }
    Ok(run)
}
