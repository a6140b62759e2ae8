/**
 * A hash of texts for sharding, ranking and digests.
 */

const FNV_OFFSET = 0x811c9dc5;
const FNV_PRIME = 0x01000193;

/** Returns the 32-bit FNV-1a hash of a text, as a signed integer. */
export function hashText(text: string): number {
  let hash = FNV_OFFSET;
  for (let index = 0; index < text.length; index++) {
    hash = Math.imul(hash ^ text.charCodeAt(index), FNV_PRIME);
  }
  return hash;
}

/**
 * Spreads a 32-bit hash over all bits, unsigned (the finalizer of MurmurHash3). Hashes that are added
 * up need it: the FNV-1a hashes of texts that differ only in their last characters differ by few
 * values, so that different sets of such texts often have the same sum.
 */
export function spreadHash(hash: number): number {
  let spread = hash;
  spread = Math.imul(spread ^ (spread >>> 16), 0x85ebca6b);
  spread = Math.imul(spread ^ (spread >>> 13), 0xc2b2ae35);
  return (spread ^ (spread >>> 16)) >>> 0;
}
