/**
 * Statistical tests on counts of calls.
 *
 * The Chernoff bound limits the tail of a binomial distribution: of `calls` calls that fail with
 * probability `share` each, `events` or more fail with a probability of at most
 * `exp(-calls * divergence)`. A threshold in nats therefore limits the rate of false positives:
 * 12 nats allow one in 160,000 evaluations.
 */

/** Tested probabilities are kept at least this far from 0 and 1. */
const SHARE_LIMIT = 1e-6;

/** Evidence, in nats, that the true share differs from the given one. */
export function getEvidence(events: number, calls: number, share: number): number {
  if (calls <= 0) {
    return 0;
  }
  const expected = Math.min(Math.max(share, SHARE_LIMIT), 1 - SHARE_LIMIT);
  const observed = Math.min(events / calls, 1);
  return calls * (getTerm(observed, expected) + getTerm(1 - observed, 1 - expected));
}

/** Whether there is enough evidence that the true share is above the given one. */
export function isAboveShare(events: number, calls: number, share: number, nats: number): boolean {
  return events > share * calls && getEvidence(events, calls, share) >= nats;
}

/** Whether there is enough evidence that the true share is below the given one. */
export function isBelowShare(events: number, calls: number, share: number, nats: number): boolean {
  return events < share * calls && getEvidence(events, calls, share) >= nats;
}

function getTerm(observed: number, expected: number): number {
  return observed === 0 ? 0 : observed * Math.log(observed / expected);
}
