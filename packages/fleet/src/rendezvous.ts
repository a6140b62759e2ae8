/**
 * Rendezvous hashing: all VMs with the same view of the fleet pick the same owners, and a change of
 * the fleet changes the owners of few keys.
 */

import * as kernel from "@hemlockwalk/kernel";
import * as xxhash from "xxhash-wasm";

// The package is CommonJS whose default export is the function itself.
const createHasher = xxhash.default;
const hasher = await createHasher();

/** Hashes of candidates are cached, since the same few VMs are ranked for every key. */
const MAX_CACHED_HASHES = 16_384;
const candidateHashes = new Map<string, number>();

/** A stable 32-bit hash of a text. */
export function hashText(text: string): number {
  return hasher.h32(text);
}

function getCandidateHash(candidate: string): number {
  const known = candidateHashes.get(candidate);
  if (known !== undefined) {
    return known;
  }
  if (candidateHashes.size >= MAX_CACHED_HASHES) {
    candidateHashes.clear();
  }
  const hash = hasher.h32(candidate);
  candidateHashes.set(candidate, hash);
  return hash;
}

/** Mixes two hashes into one score with the finalizer of MurmurHash3. */
function mixHashes(candidateHash: number, keyHash: number): number {
  let hash = candidateHash ^ Math.imul(keyHash, 0x9e3779b1);
  hash = Math.imul(hash ^ (hash >>> 16), 0x85ebca6b);
  hash = Math.imul(hash ^ (hash >>> 13), 0xc2b2ae35);
  return (hash ^ (hash >>> 16)) >>> 0;
}

/**
 * Ranks candidates as owners of a key, best first.
 *
 * @param count Maximum number of candidates to return.
 */
export function rankOwners<Candidate extends string>(
  key: string,
  candidates: readonly Candidate[],
  count: number,
): Candidate[] {
  const keyHash = hashText(key);
  const scored = candidates.map((candidate) => ({
    candidate,
    score: mixHashes(getCandidateHash(candidate), keyHash),
  }));
  scored.sort((left, right) => {
    if (left.score !== right.score) {
      return right.score - left.score;
    }
    return left.candidate < right.candidate ? -1 : 1;
  });
  return scored.slice(0, count).map((entry) => entry.candidate);
}

/**
 * The first result of {@link rankOwners}, without sorting or allocation; undefined if there are no
 * candidates.
 */
export function findOwner<Candidate extends string>(
  key: string,
  candidates: readonly Candidate[],
): Candidate | undefined {
  const keyHash = hashText(key);
  let best: Candidate | undefined;
  let bestScore = -1;
  for (let index = 0; index < candidates.length; index++) {
    const candidate = kernel.getDefined(candidates[index], "The index is within the array.");
    const score = mixHashes(getCandidateHash(candidate), keyHash);
    const isBetter = score > bestScore ||
      (score === bestScore && best !== undefined && candidate < best);
    if (isBetter) {
      best = candidate;
      bestScore = score;
    }
  }
  return best;
}
