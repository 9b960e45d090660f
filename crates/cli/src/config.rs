//! Commands that read and change the configuration document.

use std::net::SocketAddr;
use std::path::Path;

use tamarackbend_config::{Document, diff as diff_documents};
use tamarackbend_objects::{Client, Publication, Published, Store};

use crate::error::{Code, Error, Result};

/// Start of the first line that `config show` prints, before the version of the document.
const VERSION_PREFIX: &str = "# version ";

pub(crate) fn check(file: &Path) -> Result<()> {
    let (document, _) = read_document(file)?;
    let databases = document.databases().count();
    println!(
        "{}: {} clubs, {} services, {databases} databases",
        document.federation,
        document.clubs.len(),
        document.services.len()
    );
    Ok(())
}

pub(crate) async fn show(platform: SocketAddr, json: bool) -> Result<()> {
    let (published, document) = load_document(&mut Store::new(Client::new(platform))).await?;
    if json {
        println!("{}", serde_json::to_string_pretty(&document).unwrap_or_default());
    } else {
        println!("{VERSION_PREFIX}{}\n{}", published.version, document.to_yaml()?);
    }
    Ok(())
}

pub(crate) async fn diff(platform: SocketAddr, file: &Path) -> Result<()> {
    let (document, _) = read_document(file)?;
    let (_, current) = load_document(&mut Store::new(Client::new(platform))).await?;
    print_changes(&current, &document);
    Ok(())
}

pub(crate) async fn apply(
    platform: SocketAddr,
    file: &Path,
    base: Option<u64>,
    author: &str,
) -> Result<()> {
    let (document, file_version) = read_document(file)?;
    let base = base.or(file_version).ok_or_else(|| Error::new(Code::NoBase))?;
    let mut store = Store::new(Client::new(platform));
    let (published, current) = load_document(&mut store).await?;
    if published.version != base {
        print_changes(&current, &document);
        return Err(Error::new(Code::Conflict(base, published.version)));
    }
    let update_id = format!("{:016x}", rand::random::<u64>());
    let publication =
        Publication { document: &document, base: &published, author, update_id: &update_id };
    let version = store.publish(&publication).await?;
    print_changes(&current, &document);
    println!("version {version} is in force");
    Ok(())
}

pub(crate) async fn history(platform: SocketAddr, json: bool) -> Result<()> {
    let published = Store::new(Client::new(platform)).load().await?;
    if json {
        let history = serde_json::to_string_pretty(&published.head.history);
        println!("{}", history.unwrap_or_default());
        return Ok(());
    }
    let revision_count = published.head.history.len() as u64;
    for (position, revision) in published.head.history.iter().enumerate() {
        let version = published.version + 1 + position as u64 - revision_count;
        println!("{version:>6}  {:<20}  {}", revision.author, revision.changed.join(" "));
    }
    Ok(())
}

/// Loads the current document; an empty one if none has been published.
async fn load_document(store: &mut Store) -> Result<(Published, Document)> {
    let published = store.load().await?;
    let document = if published.sections.is_empty() {
        Document::default()
    } else {
        Document::from_sections(&published.sections)?
    };
    Ok((published, document))
}

/// Reads and validates a document; also returns the version that its first line states, if any.
fn read_document(file: &Path) -> Result<(Document, Option<u64>)> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| Error::new(Code::File(file.display().to_string(), error)))?;
    let document = match Document::from_yaml(&text) {
        Ok(document) => document,
        Err(error) => {
            let line = error.line().unwrap_or_default();
            eprintln!("{}:{line}: not a valid configuration document", file.display());
            return Err(error.into());
        }
    };
    let problems = document.check();
    for problem in &problems {
        eprintln!("{}: {}: {}", file.display(), problem.path, problem.text);
    }
    if !problems.is_empty() {
        return Err(Error::new(Code::Problems(problems.len())));
    }
    let version = text.lines().next().and_then(|line| line.strip_prefix(VERSION_PREFIX));
    Ok((document, version.and_then(|version| version.trim().parse().ok())))
}

fn print_changes(old: &Document, new: &Document) {
    for change in diff_documents(old, new) {
        match (change.old, change.new) {
            (Some(old), Some(new)) => println!("~ {}: {old} -> {new}", change.path),
            (Some(old), None) => println!("- {}: {old}", change.path),
            (None, Some(new)) => println!("+ {}: {new}", change.path),
            (None, None) => {}
        }
    }
}
