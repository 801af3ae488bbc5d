//! Assignment of blocks to the VMs of a store.

use std::net::SocketAddr;

use yuccapass_types::BlockHash;

/// Returns the usable address that holds a block, or `None` if none is usable.
///
/// Uses rendezvous hashing: each address gets a weight from the hash of the block and the address,
/// and the largest weight wins. If an address becomes unusable, only its blocks get another owner.
pub fn owner_of(
    block: BlockHash,
    addresses: &[SocketAddr],
    is_usable: impl Fn(&SocketAddr) -> bool,
) -> Option<SocketAddr> {
    let usable = addresses.iter().filter(|address| is_usable(address));
    usable.copied().max_by_key(|address| (weight(block, *address), *address))
}

fn weight(block: BlockHash, address: SocketAddr) -> u64 {
    let mut hasher = blake3::Hasher::new();
    hasher.update(&block.to_bits().to_be_bytes());
    hasher.update(address.to_string().as_bytes());
    let hash = hasher.finalize();
    let (head, _) = hash.as_bytes().split_first_chunk().expect("a hash has more than 8 bytes");
    u64::from_be_bytes(*head)
}
