//! Commands on the configuration document.

use std::net::SocketAddr;
use std::path::Path;

use tamarackbend_config::{Document, diff as changes};
use tamarackbend_objects::{Client, Publication, Published, Store};

use crate::error::{Code, Error, Result};

/// First line of a document that was shown, before its version.
const VERSION_LINE: &str = "# version ";

pub(crate) fn check(file: &Path) -> Result<()> {
    let (document, _) = read(file)?;
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
    let (published, document) = load(&mut Store::new(Client::new(platform))).await?;
    if json {
        println!("{}", serde_json::to_string_pretty(&document).unwrap_or_default());
    } else {
        println!("{VERSION_LINE}{}\n{}", published.version, document.to_yaml()?);
    }
    Ok(())
}

pub(crate) async fn diff(platform: SocketAddr, file: &Path) -> Result<()> {
    let (document, _) = read(file)?;
    let (_, current) = load(&mut Store::new(Client::new(platform))).await?;
    print_changes(&current, &document);
    Ok(())
}

pub(crate) async fn apply(
    platform: SocketAddr,
    file: &Path,
    base: Option<u64>,
    author: &str,
) -> Result<()> {
    let (document, shown) = read(file)?;
    let base = base.or(shown).ok_or_else(|| Error::new(Code::NoBase))?;
    let mut store = Store::new(Client::new(platform));
    let (published, current) = load(&mut store).await?;
    if published.version != base {
        print_changes(&current, &document);
        return Err(Error::new(Code::Conflict(base, published.version)));
    }
    let update = format!("{:016x}", rand::random::<u64>());
    let change = Publication { document: &document, base: &published, author, update_id: &update };
    let version = store.publish(&change).await?;
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
    let count = published.head.history.len() as u64;
    for (age, revision) in published.head.history.iter().enumerate() {
        let version = published.version + 1 + age as u64 - count;
        println!("{version:>6}  {:<20}  {}", revision.author, revision.changed.join(" "));
    }
    Ok(())
}

async fn load(store: &mut Store) -> Result<(Published, Document)> {
    let published = store.load().await?;
    let document = if published.sections.is_empty() {
        Document::default()
    } else {
        Document::from_sections(&published.sections)?
    };
    Ok((published, document))
}

/// Reads and checks a file; returns the version that it names, too.
fn read(file: &Path) -> Result<(Document, Option<u64>)> {
    let text = std::fs::read_to_string(file)
        .map_err(|error| Error::new(Code::File(file.display().to_string(), error)))?;
    let document = match Document::from_yaml(&text) {
        Ok(document) => document,
        Err(error) => {
            let line = error.line().unwrap_or_default();
            eprintln!("{}:{line}: not a document", file.display());
            return Err(error.into());
        }
    };
    let problems = document.check();
    for problem in &problems {
        eprintln!("{}: {}: {}", file.display(), problem.path, problem.text);
    }
    if !problems.is_empty() {
        return Err(Error::new(Code::Faults(problems.len())));
    }
    let version = text.lines().next().and_then(|line| line.strip_prefix(VERSION_LINE));
    Ok((document, version.and_then(|version| version.trim().parse().ok())))
}

fn print_changes(old: &Document, new: &Document) {
    for change in changes(old, new) {
        match (change.old, change.new) {
            (Some(old), Some(new)) => println!("~ {}: {old} -> {new}", change.path),
            (Some(old), None) => println!("- {}: {old}", change.path),
            (None, Some(new)) => println!("+ {}: {new}", change.path),
            (None, None) => {}
        }
    }
}
