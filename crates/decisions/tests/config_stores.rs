//! Tests of the stores in the configuration.

mod config_fixtures;

use config_fixtures::{document, id};
use yuccapass_decisions::config::{
    ActiveConfig, ChunkItems, DEFAULT_BLOCK_PAYLOAD, Document, Manifest, Model, Store,
};
use yuccapass_types::Bytes;

fn store(name: &str) -> Store {
    Store {
        id: id(name),
        zone: id("burnaby-yard"),
        addresses: vec!["127.0.0.1:1".parse().unwrap(), "127.0.0.1:2".parse().unwrap()],
    }
}

fn document_with_stores() -> Document {
    let mut document = document(3);
    document.stores = vec![store("bench-cache"), store("manifest-cache")];
    document.models[0].store = Some(id("manifest-cache"));
    document.models[0].block_payload_bytes = Bytes::new(300);
    document
}

/// Guards against stores or block sizes that are lost when a document is split into chunks.
#[test]
fn stores_are_split_and_rebuilt() {
    // Arrange
    let config = ActiveConfig::from_document(document_with_stores()).unwrap();
    let manifest = Manifest::decode(&config.manifest().encode()).unwrap();

    // Act
    let rebuilt = ActiveConfig::assemble(manifest, |hash| {
        Some(ChunkItems::decode(&config.chunk_bytes(hash).unwrap()).unwrap())
    })
    .unwrap();

    // Assert
    assert_eq!(rebuilt, config);
    assert_eq!(rebuilt.document().stores.len(), 2);
}

/// Guards against refusing documents of earlier versions, and against new hashes of their chunks.
#[test]
fn documents_without_stores_and_sizes_stay_valid() {
    // Arrange
    let mut value = serde_json::to_value(document(1)).unwrap();
    value.as_object_mut().unwrap().remove("stores");

    // Act
    let parsed: Document = serde_json::from_value(value).unwrap();
    let model: Model =
        serde_json::from_value(serde_json::to_value(&parsed.models[0]).unwrap()).unwrap();

    // Assert
    assert_eq!(parsed, document(1));
    assert_eq!(model.block_payload_bytes, DEFAULT_BLOCK_PAYLOAD);
    assert!(!serde_json::to_string(&model).unwrap().contains("block_payload_bytes"));
}

/// Guards against putting a document in force that refers to what does not exist or cannot be used.
#[test]
fn invalid_stores_are_refused_with_their_field() {
    // Arrange
    type Fault = fn(&mut Document);
    let faults: [(&str, Fault); 7] = [
        ("models.clip-models.store", |d| d.models[0].store = Some(id("prompt-keep-w"))),
        ("models.clip-models.block_payload_bytes", |d| {
            d.models[0].block_payload_bytes = Bytes::ZERO;
        }),
        ("models.clip-models.block_payload_bytes", |d| {
            d.models[0].block_payload_bytes = Bytes::new((64 << 20) + 1);
        }),
        ("stores", |d| d.stores.reverse()),
        ("stores.bench-cache.zone", |d| d.stores[0].zone = id("wolves-ring")),
        ("stores.bench-cache.addresses", |d| d.stores[0].addresses.clear()),
        ("stores.bench-cache.addresses", |d| d.stores[0].addresses.reverse()),
    ];
    for (field, fault) in faults {
        let mut document = document_with_stores();
        fault(&mut document);

        // Act
        let error = ActiveConfig::from_document(document).unwrap_err();

        // Assert
        assert_eq!(error.field(), field);
    }
}
