/**
 * Rendezvous hashing: all VMs with the same view of the fleet pick the same owners, and a change of
 * the fleet moves few of them.
 */

import * as xxhash from "xxhash-wasm";

// The package is CommonJS whose default export is the function itself.
const createHasher = xxhash.default;
const hasher = await createHasher();

/** A stable 32-bit hash of a text. */
export function hashText(text: string): number {
  return hasher.h32(text);
}

/**
 * Ranks candidates as owners of a key, best first.
 *
 * @param count How many to return at the most.
 */
export function rankOwners<Candidate extends string>(
  key: string,
  candidates: readonly Candidate[],
  count: number,
): Candidate[] {
  const scored = candidates.map((candidate) => ({
    candidate,
    score: hasher.h64(`${candidate}\n${key}`),
  }));
  scored.sort((left, right) => {
    if (left.score !== right.score) {
      return left.score > right.score ? -1 : 1;
    }
    return left.candidate < right.candidate ? -1 : 1;
  });
  return scored.slice(0, count).map((entry) => entry.candidate);
}
